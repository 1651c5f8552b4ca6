//! The state of one partition: batch jobs by id. Deterministic: replicas that apply the same commands in the same order have equal
//! states.
//!
//! The position of a result never changes, an item has at most one result, and only [`Command::Delete`] removes a batch job.
//! Snapshots contain the state encoded with bincode: never reorder the fields of [`Store`] or [`Job`].

mod command;
mod job;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobId, JobRecord, PartialText, ResultRecord};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

pub use command::{Caller, Command, EdgeProcess, Outcome, Proposal};
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
    /// Applies a command, and returns its outcome.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Create { job, edge } => self.create(job, edge),
            Command::AppendResults { job, term, results } => self.append_results(&job, term, results),
            Command::SaveCheckpoint { job, term, texts } => self.save_checkpoint(&job, term, texts),
            Command::End { job } => self.end(&job),
            Command::AssignDriver { job, term, edge } => self.assign_driver(&job, term, edge),
            Command::Delete { job } => self.delete(&job),
            Command::RecordAges { ages } => self.record_ages(&ages),
        }
    }

    /// Raises the age of a batch job to a lower bound that is now known. An age below the stored one changes nothing.
    pub fn raise_age(&mut self, id: &str, age: Duration) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.raise_age(age);
        }
    }

    /// The batch job with this id, if it exists.
    #[must_use]
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// All batch jobs, in the order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Estimated bytes of all batch jobs in memory.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Encodes the whole state for a snapshot.
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, JobsError> {
        codec::encode(self).context(StateSnafu)
    }

    /// Decodes the state from the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are not exactly one state.
    pub fn decode(bytes: &[u8]) -> Result<Self, JobsError> {
        codec::decode(bytes).context(StateSnafu)
    }

    fn create(&mut self, record: Arc<JobRecord>, edge: EdgeProcess) -> Outcome {
        if let Some(existing) = self.jobs.get(&record.id) {
            return Outcome::Created { driver: current_driver(existing) };
        }
        let record = Arc::try_unwrap(record).unwrap_or_else(|shared| (*shared).clone());
        let id = record.id.clone();
        let job = Job::new(record, edge);
        let driver = current_driver(&job);
        self.bytes += job.bytes();
        self.jobs.insert(id, job);
        Outcome::Created { driver }
    }

    fn append_results(&mut self, id: &str, term: DriverTerm, results: Vec<ResultRecord>) -> Outcome {
        self.change_as_driver(id, term, |job| {
            results.into_iter().for_each(|result| job.append_result(result));
        })
    }

    fn save_checkpoint(&mut self, id: &str, term: DriverTerm, texts: Vec<PartialText>) -> Outcome {
        self.change_as_driver(id, term, |job| texts.into_iter().for_each(|text| job.append_text(text)))
    }

    /// Makes a change that only the current driver may make. The term fences former drivers (Burrows 2006: sequencers).
    fn change_as_driver(&mut self, id: &str, term: DriverTerm, change: impl FnOnce(&mut Job)) -> Outcome {
        let Some(job) = self.jobs.get_mut(id) else { return Outcome::NotApplicable };
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
        let Some(job) = self.jobs.get_mut(id) else { return Outcome::NotApplicable };
        self.bytes -= job.bytes();
        let stopped = job.end().then(|| (job.driver().incarnation, job.term()));
        self.bytes += job.bytes();
        Outcome::Ended { stopped }
    }

    fn assign_driver(&mut self, id: &str, term: DriverTerm, edge: EdgeProcess) -> Outcome {
        match self.jobs.get_mut(id) {
            Some(job) if job.needs_driver() && term == job.term() + 1 => {
                job.assign_driver(edge, term);
                Outcome::DriverAssigned
            }
            Some(_) => Outcome::Fenced,
            None => Outcome::NotApplicable,
        }
    }

    fn record_ages(&mut self, ages: &[(JobId, Duration)]) -> Outcome {
        for (id, age) in ages {
            self.raise_age(id, *age);
        }
        Outcome::AgesRecorded
    }

    fn delete(&mut self, id: &str) -> Outcome {
        if !self.jobs.get(id).is_some_and(Job::is_ended) {
            return Outcome::NotApplicable;
        }
        if let Some(job) = self.jobs.remove(id) {
            self.bytes -= job.bytes();
        }
        Outcome::Deleted
    }
}

fn current_driver(job: &Job) -> Option<(u64, DriverTerm)> {
    job.needs_driver().then(|| (job.driver().incarnation, job.term()))
}
