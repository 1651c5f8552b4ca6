//! The bounded queue between the callers and the thread of the writer.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use snafu::ensure;

use crate::error::{BusySnafu, StoppedSnafu};
use crate::StorageError;

/// Bound on the jobs that wait.
const MAX_WAITING_JOBS: usize = 4096;
/// While this much waits, nothing more is accepted. The last job accepted may exceed it, as a record may be long.
const MAX_WAITING_BYTES: usize = 16 * 1024 * 1024;
/// A group ends with the job that reaches this length, so that its first jobs do not wait for a long write.
const GROUP_BYTES: usize = 1024 * 1024;
/// What a record costs in memory beside its bytes.
const RECORD_OVERHEAD_BYTES: usize = size_of::<Vec<u8>>();

/// What is to be done with the records of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Work {
    Append,
    Snapshot,
}

#[derive(Debug)]
pub(super) struct Job {
    pub token: u64,
    pub work: Work,
    pub records: Vec<Vec<u8>>,
}

/// Jobs that are written and synced together: batches, or one snapshot.
pub(super) struct Group {
    pub work: Work,
    pub jobs: Vec<Job>,
}

#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Waiting {
    jobs: VecDeque<Job>,
    bytes: usize,
    /// No more jobs come.
    closed: bool,
    /// The thread is gone.
    stopped: bool,
}

impl Queue {
    pub fn push(&self, job: Job) -> Result<(), StorageError> {
        let mut waiting = self.lock();
        ensure!(!waiting.stopped, StoppedSnafu);
        let has_room = waiting.jobs.len() < MAX_WAITING_JOBS && waiting.bytes < MAX_WAITING_BYTES;
        ensure!(has_room, BusySnafu);
        waiting.bytes += job.bytes();
        waiting.jobs.push_back(job);
        self.changed.notify_one();
        Ok(())
    }

    /// Waits for jobs; nothing once the queue is closed and empty.
    pub fn take_group(&self) -> Option<Group> {
        let mut waiting = self.lock();
        loop {
            if let Some(group) = waiting.take_group() {
                return Some(group);
            }
            if waiting.closed {
                return None;
            }
            waiting = self.changed.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
    }

    pub fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_one();
    }

    pub fn stop(&self) {
        let mut waiting = self.lock();
        waiting.stopped = true;
        waiting.jobs.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting {
    fn take_group(&mut self) -> Option<Group> {
        let work = self.jobs.front()?.work;
        let mut jobs = Vec::new();
        let mut bytes = 0;
        while self.jobs.front().is_some_and(|job| job.work == work) && bytes < GROUP_BYTES {
            let Some(job) = self.jobs.pop_front() else { break };
            bytes += job.bytes();
            jobs.push(job);
            if work == Work::Snapshot {
                break;
            }
        }
        self.bytes -= bytes;
        Some(Group { work, jobs })
    }
}

impl Job {
    fn bytes(&self) -> usize {
        self.records.iter().map(|record| record.len() + RECORD_OVERHEAD_BYTES).sum()
    }
}
