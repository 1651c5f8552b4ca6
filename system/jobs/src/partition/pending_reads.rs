//! Reads that wait at the tail: for a result, or for the chain to confirm that there is nothing newer.
//!
//! What a replica has applied is committed, and a position never changes. So a response with results is sent immediately, from
//! whatever state is here. "No results" may be out of date: it is sent only after a read through the chain that started after
//! the request came (linearizability; van Renesse & Schneider 2004 answer reads at the tail for the same reason).

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::{JobId, JobsResponse};

use super::read_token::ReadToken;
use crate::settings::JobsSettings;
use crate::store::{Caller, Job, Store};

/// What a client reads of a batch job.
#[derive(Clone, Debug)]
pub(super) enum ReadTarget {
    /// Results from a position on, as many as fit.
    Results { start_after: u64, max_bytes: u64 },
    /// The body of an item.
    ItemBody { item: String },
}

/// One request to read.
#[derive(Clone, Debug)]
pub(super) struct Read {
    pub caller: Caller,
    pub job: JobId,
    pub target: ReadTarget,
    /// Until when it waits for a result.
    pub wait_until: Duration,
}

impl Read {
    /// The response that stays correct whatever newer commands there are, if the state allows one.
    pub(super) fn stable_response(&self, store: &Store) -> Option<JobsResponse> {
        let job = store.job(&self.job)?;
        match &self.target {
            ReadTarget::ItemBody { item } => Some(
                job.body(item).map_or(JobsResponse::NotFound, |body| JobsResponse::ItemBody(body.to_vec())),
            ),
            ReadTarget::Results { start_after, max_bytes } => {
                let has_results = *start_after < job.results().len() as u64;
                (has_results || !job.needs_driver()).then(|| results(job, *start_after, *max_bytes))
            }
        }
    }

    /// The response where the state is confirmed to be the newest.
    fn confirmed_response(&self, store: &Store) -> JobsResponse {
        match (store.job(&self.job), &self.target) {
            (Some(job), ReadTarget::Results { start_after, max_bytes }) => {
                results(job, *start_after, *max_bytes)
            }
            (Some(_), ReadTarget::ItemBody { .. }) | (None, _) => {
                self.stable_response(store).unwrap_or(JobsResponse::NotFound)
            }
        }
    }
}

fn results(job: &Job, start_after: u64, max_bytes: u64) -> JobsResponse {
    JobsResponse::Results {
        total: job.record().items.len() as u64,
        results: job.results_from(start_after, max_bytes),
        ended: job.is_ended(),
    }
}

#[derive(Debug)]
struct PendingRead {
    read: Read,
    /// Whether the chain has confirmed, since the request came, that the state here is the newest.
    is_confirmed: bool,
}

impl PendingRead {
    fn response(&self, now: Duration, store: &Store) -> Option<JobsResponse> {
        if let Some(response) = self.read.stable_response(store) {
            return Some(response);
        }
        let waits = now < self.read.wait_until && store.job(&self.read.job).is_some();
        (self.is_confirmed && !waits).then(|| self.read.confirmed_response(store))
    }
}

/// All reads that wait, by the token of their read through the chain; empty where the replica is not the tail.
#[derive(Debug)]
pub(super) struct PendingReads {
    max_pending: usize,
    max_wait: Duration,
    max_response_bytes: u64,
    by_token: BTreeMap<ReadToken, PendingRead>,
}

impl PendingReads {
    pub(super) fn new(settings: &JobsSettings) -> Self {
        Self {
            max_pending: settings.max_pending_reads,
            max_wait: settings.max_read_wait,
            max_response_bytes: settings.max_read_bytes,
            by_token: BTreeMap::new(),
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.by_token.len() >= self.max_pending
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_token.is_empty()
    }

    /// Until when a read may wait whose client would wait for this long.
    pub(super) fn wait_until(&self, now: Duration, wait: Duration) -> Duration {
        now + wait.min(self.max_wait)
    }

    /// How many bytes of results are sent to a client that would receive this many.
    pub(super) fn bounded_bytes(&self, max_bytes: u64) -> u64 {
        max_bytes.min(self.max_response_bytes)
    }

    /// Adds a read, for which the chain is read with this token.
    pub(super) fn insert(&mut self, token: ReadToken, read: Read) {
        self.by_token.insert(token, PendingRead { read, is_confirmed: false });
    }

    /// The chain has confirmed the read with this token.
    pub(super) fn confirm(&mut self, token: ReadToken) {
        if let Some(pending) = self.by_token.get_mut(&token) {
            pending.is_confirmed = true;
        }
    }

    /// The chain could not confirm the read with this token. Returns its caller.
    pub(super) fn remove(&mut self, token: ReadToken) -> Option<Caller> {
        self.by_token.remove(&token).map(|pending| pending.read.caller)
    }

    /// The replica is not the tail any more. Returns the callers, which are to be told.
    pub(super) fn remove_all(&mut self) -> Vec<Caller> {
        std::mem::take(&mut self.by_token).into_values().map(|pending| pending.read.caller).collect()
    }

    /// Removes all reads that have a response by now, and returns the responses.
    pub(super) fn poll_responses(&mut self, now: Duration, store: &Store) -> Vec<(Caller, JobsResponse)> {
        let mut responses = Vec::new();
        self.by_token.retain(|_, pending| match pending.response(now, store) {
            Some(response) => {
                responses.push((pending.read.caller, response));
                false
            }
            None => true,
        });
        responses
    }

    /// When the wait of the next confirmed read is over.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        let confirmed = self.by_token.values().filter(|pending| pending.is_confirmed);
        confirmed.map(|pending| pending.read.wait_until).min()
    }
}
