//! The state of one partition: batch jobs by id. Deterministic: replicas that apply the same commands in the same order are equal.
//!
//! A position, once given, never changes; an item has one at most; nothing but [`Command::Forget`] drops a batch job.

mod command;
mod job;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobId, JobRecord, PartialText, ResultRecord};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

pub use command::{Asker, Command, EdgeProcess, Outcome, Proposal};
pub use job::{record_bytes, result_bytes, Job};

use crate::codec;
use crate::error::{JobsError, StateSnafu};

/// The batch jobs of one partition.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    jobs: BTreeMap<JobId, Job>,
    bytes: u64,
}

impl Store {
    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Create { job, edge } => self.create(job, edge),
            Command::Append { job, term, results } => self.append(&job, term, results),
            Command::Save { job, term, texts } => self.save(&job, term, texts),
            Command::End { job } => self.end(&job),
            Command::Drive { job, term, edge } => self.drive(&job, term, edge),
            Command::Forget { job } => self.forget(&job),
            Command::KeepAges { ages } => self.keep_ages(&ages),
        }
    }

    /// Keeps the age that a batch job has reached; one that is lower than what is known changes nothing.
    pub fn reach_age(&mut self, id: &str, age: Duration) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.reach_age(age);
        }
    }

    /// A batch job.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// All batch jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Bytes that they take in memory.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The whole state as bytes.
    pub fn encode(&self) -> Result<Vec<u8>, JobsError> {
        codec::encode(self).context(StateSnafu)
    }

    /// Reads the whole state.
    pub fn decode(bytes: &[u8]) -> Result<Self, JobsError> {
        codec::decode(bytes).context(StateSnafu)
    }

    fn create(&mut self, record: Arc<JobRecord>, edge: EdgeProcess) -> Outcome {
        if let Some(known) = self.jobs.get(&record.id) {
            return Outcome::Created { driver: current_driver(known) };
        }
        let record = Arc::try_unwrap(record).unwrap_or_else(|shared| (*shared).clone());
        let id = record.id.clone();
        let job = Job::new(record, edge);
        let driver = current_driver(&job);
        self.bytes += job.bytes();
        self.jobs.insert(id, job);
        Outcome::Created { driver }
    }

    fn append(&mut self, id: &str, term: DriverTerm, results: Vec<ResultRecord>) -> Outcome {
        self.driven(id, term, |job| results.into_iter().for_each(|result| job.list(result)))
    }

    fn save(&mut self, id: &str, term: DriverTerm, texts: Vec<PartialText>) -> Outcome {
        self.driven(id, term, |job| texts.into_iter().for_each(|text| job.save(text)))
    }

    /// Carries out what only the present driver may do.
    fn driven(&mut self, id: &str, term: DriverTerm, change: impl FnOnce(&mut Job)) -> Outcome {
        let Some(job) = self.jobs.get_mut(id) else { return Outcome::Unknown };
        if job.is_ended() {
            return Outcome::Ended { stopped: None };
        }
        if term != job.term() {
            return Outcome::Fenced;
        }
        self.bytes -= job.bytes();
        change(job);
        self.bytes += job.bytes();
        Outcome::Appended
    }

    fn end(&mut self, id: &str) -> Outcome {
        let Some(job) = self.jobs.get_mut(id) else { return Outcome::Unknown };
        self.bytes -= job.bytes();
        let stopped = job.end().then(|| (job.driver().incarnation, job.term()));
        self.bytes += job.bytes();
        Outcome::Ended { stopped }
    }

    fn drive(&mut self, id: &str, term: DriverTerm, edge: EdgeProcess) -> Outcome {
        match self.jobs.get_mut(id) {
            Some(job) if job.needs_driver() && term == job.term() + 1 => {
                job.drive(edge, term);
                Outcome::Driven
            }
            Some(_) => Outcome::Fenced,
            None => Outcome::Unknown,
        }
    }

    fn keep_ages(&mut self, ages: &[(JobId, Duration)]) -> Outcome {
        for (id, age) in ages {
            self.reach_age(id, *age);
        }
        Outcome::Kept
    }

    fn forget(&mut self, id: &str) -> Outcome {
        if !self.jobs.get(id).is_some_and(Job::is_ended) {
            return Outcome::Unknown;
        }
        if let Some(job) = self.jobs.remove(id) {
            self.bytes -= job.bytes();
        }
        Outcome::Forgotten
    }
}

fn current_driver(job: &Job) -> Option<(u64, DriverTerm)> {
    job.needs_driver().then(|| (job.driver().incarnation, job.term()))
}
