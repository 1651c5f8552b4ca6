//! [`Writer`]: a thread that owns a ring and commits waiting batches together.
//!
//! A disk takes about as long to sync one batch as many. While one sync runs, batches wait; all that wait are then
//! written and synced as one. Events come in the order of the calls, from the thread of the writer.
//!
//! The log has no holes: after a batch has failed, all later ones fail too, until a snapshot succeeds.

mod queue;

use std::sync::Arc;
use std::thread::{self, JoinHandle};

use snafu::ResultExt;

use crate::error::ThreadSnafu;
use crate::{Disk, Ring, StorageError};

use queue::{Job, Queue, Work};

/// What became of a batch or a snapshot.
#[derive(Clone, Debug)]
pub enum WriterEvent {
    /// It is durable.
    Durable {
        /// The token it was given.
        token: u64,
        /// Whether a snapshot should be taken soon.
        wants_snapshot: bool,
    },
    /// It may not be on the disk, or not durably. Of batches: every later one fails too, until a snapshot succeeds.
    Failed {
        /// The token it was given.
        token: u64,
        /// Why.
        error: StorageError,
    },
}

/// The handle of the thread. Dropping it waits until all that was accepted has been written.
#[derive(Debug)]
pub struct Writer {
    queue: Arc<Queue>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. It calls `on_event` once for each accepted batch and snapshot.
    pub fn start<D: Disk + 'static>(
        ring: Ring<D>,
        on_event: Box<dyn Fn(WriterEvent) + Send>,
    ) -> Result<Writer, StorageError> {
        let queue = Arc::new(Queue::default());
        let committer = Committer { ring, on_event, queue: Arc::clone(&queue), failed: false };
        let spawned = thread::Builder::new().name("storage".to_owned()).spawn(move || committer.run());
        Ok(Writer { queue, thread: Some(spawned.context(ThreadSnafu)?) })
    }

    /// Queues records to be appended. [`StorageError::Busy`] if too much waits already.
    pub fn append(&self, token: u64, records: Vec<Vec<u8>>) -> Result<(), StorageError> {
        self.queue.push(Job { token, work: Work::Append, records })
    }

    /// Queues records that replace all that was queued before. [`StorageError::Busy`] if too much waits already.
    pub fn snapshot(&self, token: u64, records: Vec<Vec<u8>>) -> Result<(), StorageError> {
        self.queue.push(Job { token, work: Work::Snapshot, records })
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.queue.close();
        // The last handle may be dropped by `on_event`, on the thread itself, which cannot wait for its own end.
        let thread = self.thread.take().filter(|it| it.thread().id() != thread::current().id());
        if let Some(thread) = thread {
            // An error says that `on_event` panicked, which the panic hook has reported already.
            let _ = thread.join();
        }
    }
}

/// What runs on the thread.
struct Committer<D: Disk> {
    ring: Ring<D>,
    on_event: Box<dyn Fn(WriterEvent) + Send>,
    queue: Arc<Queue>,
    /// A batch was not written, so what follows it would leave a hole.
    failed: bool,
}

impl<D: Disk> Committer<D> {
    fn run(mut self) {
        while let Some(group) = self.queue.take_group() {
            let (tokens, records) = join(group.jobs);
            let result = match group.work {
                Work::Append if self.failed => Err(StorageError::Broken),
                Work::Append => self.ring.append(&records),
                Work::Snapshot => self.ring.snapshot(&records),
            };
            drop(records);
            self.failed = match group.work {
                Work::Append => result.is_err(),
                Work::Snapshot => self.failed && result.is_err(),
            };
            self.report(&tokens, &result);
        }
    }

    fn report(&self, tokens: &[u64], result: &Result<(), StorageError>) {
        let wants_snapshot = self.failed || self.ring.needs_snapshot();
        for &token in tokens {
            (self.on_event)(match result {
                Ok(()) => WriterEvent::Durable { token, wants_snapshot },
                Err(error) => WriterEvent::Failed { token, error: error.clone() },
            });
        }
    }
}

impl<D: Disk> Drop for Committer<D> {
    /// Also runs when `on_event` panics: nobody may wait for a thread that is gone.
    fn drop(&mut self) {
        self.queue.stop();
    }
}

/// The tokens of all jobs, and all their records in one list.
fn join(jobs: Vec<Job>) -> (Vec<u64>, Vec<Vec<u8>>) {
    let tokens = jobs.iter().map(|job| job.token).collect();
    let records = jobs.into_iter().flat_map(|job| job.records).collect();
    (tokens, records)
}
