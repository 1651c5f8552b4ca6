//! Reads that wait at the tail: for a result, or for the chain's word that there is nothing newer.
//!
//! What a replica has applied is committed for good, so a positive answer goes out at once. "Nothing" may be out of date,
//! so it goes out only after a read through the chain that started after the question came.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::{JobId, JobsResponse};

use crate::store::{Asker, Job, Store};

/// What is read.
#[derive(Clone, Debug)]
pub(crate) enum Wanted {
    /// Results from a position on.
    Page { start_after: u64, max_bytes: u64 },
    /// The body of an item.
    Body { item: String },
}

/// A question.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub asker: Asker,
    pub job: JobId,
    pub wanted: Wanted,
    /// Until when it waits for a result.
    pub until: Duration,
}

impl Question {
    /// The answer that can't be wrong whatever came since.
    pub fn certain_answer(&self, store: &Store) -> Option<JobsResponse> {
        let job = store.job(&self.job)?;
        match &self.wanted {
            Wanted::Body { item } => Some(
                job.body(item).map_or(JobsResponse::NotFound, |body| JobsResponse::ItemBody(body.to_vec())),
            ),
            Wanted::Page { start_after, max_bytes } => {
                let has_results = *start_after < job.results().len() as u64;
                (has_results || !job.needs_driver()).then(|| page(job, *start_after, *max_bytes))
            }
        }
    }

    /// The answer where the state is confirmed to be the newest.
    fn confirmed_answer(&self, store: &Store) -> JobsResponse {
        match (store.job(&self.job), &self.wanted) {
            (Some(job), Wanted::Page { start_after, max_bytes }) => page(job, *start_after, *max_bytes),
            (Some(_), Wanted::Body { .. }) | (None, _) => {
                self.certain_answer(store).unwrap_or(JobsResponse::NotFound)
            }
        }
    }
}

fn page(job: &Job, start_after: u64, max_bytes: u64) -> JobsResponse {
    JobsResponse::Results {
        total: job.record().items.len() as u64,
        results: job.page(start_after, max_bytes),
        ended: job.is_ended(),
    }
}

#[derive(Debug)]
struct Waiting {
    question: Question,
    confirmed: bool,
}

/// All reads that wait, by the token of their read through the chain.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    waiting: BTreeMap<u64, Waiting>,
}

impl Reads {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Lets a question wait; the chain is asked under this token.
    pub fn wait(&mut self, token: u64, question: Question) {
        self.waiting.insert(token, Waiting { question, confirmed: false });
    }

    /// The chain has confirmed a read.
    pub fn confirm(&mut self, token: u64) {
        if let Some(waiting) = self.waiting.get_mut(&token) {
            waiting.confirmed = true;
        }
    }

    /// The chain could not confirm a read.
    pub fn fail(&mut self, token: u64) -> Option<Asker> {
        self.waiting.remove(&token).map(|waiting| waiting.question.asker)
    }

    /// Nothing can be confirmed here any more.
    pub fn fail_all(&mut self) -> Vec<Asker> {
        std::mem::take(&mut self.waiting).into_values().map(|waiting| waiting.question.asker).collect()
    }

    /// Takes out all that can be answered from the state.
    pub fn answers(&mut self, now: Duration, store: &Store) -> Vec<(Asker, JobsResponse)> {
        let mut answers = Vec::new();
        self.waiting.retain(|_, waiting| match waiting.answer(now, store) {
            Some(answer) => {
                answers.push((waiting.question.asker, answer));
                false
            }
            None => true,
        });
        answers
    }

    /// When the next read has waited long enough.
    pub fn next_timer(&self) -> Option<Duration> {
        self.waiting.values().filter(|waiting| waiting.confirmed).map(|waiting| waiting.question.until).min()
    }
}

impl Waiting {
    fn answer(&self, now: Duration, store: &Store) -> Option<JobsResponse> {
        if let Some(answer) = self.question.certain_answer(store) {
            return Some(answer);
        }
        let waits = now < self.question.until && store.job(&self.question.job).is_some();
        (self.confirmed && !waits).then(|| self.question.confirmed_answer(store))
    }
}
