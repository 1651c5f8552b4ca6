//! [`Writer`]: a thread that owns a ring and commits queued batches together (group commit).
//!
//! Syncing many batches takes a disk about as long as syncing one. While a sync runs, further batches are queued; all of
//! them are then written and synced together. Events are reported in the order of the calls, on the thread of the writer.
//!
//! The log has no gaps: after a batch has failed, all later ones fail as well, until a snapshot succeeds.

mod queue;

use std::sync::Arc;
use std::thread::{self, JoinHandle};

use snafu::ResultExt;

use crate::error::SpawnThreadSnafu;
use crate::{Disk, Ring, StorageError};

use queue::{Queue, Write, WriteKind};

/// The outcome of a batch or a snapshot.
#[derive(Clone, Debug)]
pub enum WriterEvent {
    /// The batch or snapshot is durable.
    Durable {
        /// The token that was passed with the batch or snapshot.
        token: u64,
        /// Whether a snapshot should be taken soon.
        needs_snapshot: bool,
    },
    /// The batch or snapshot is possibly missing on the disk or not durable. After a failed batch, every later batch fails as
    /// well, until a snapshot succeeds.
    Failed {
        /// The token that was passed with the batch or snapshot.
        token: u64,
        /// The reason.
        error: StorageError,
    },
}

/// Handle of the writer thread. Dropping it waits until all accepted batches and snapshots have been processed.
#[derive(Debug)]
pub struct Writer {
    queue: Arc<Queue>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the writer thread, which calls `on_event` once for each accepted batch or snapshot.
    ///
    /// # Errors
    ///
    /// [`StorageError::SpawnThread`] if the thread cannot be started.
    pub fn start<D: Disk + 'static>(
        ring: Ring<D>,
        on_event: Box<dyn Fn(WriterEvent) + Send>,
    ) -> Result<Writer, StorageError> {
        let queue = Arc::new(Queue::default());
        let committer = Committer { ring, on_event, queue: Arc::clone(&queue), has_failed: false };
        let spawned = thread::Builder::new().name("storage".to_owned()).spawn(move || committer.run());
        Ok(Writer { queue, thread: Some(spawned.context(SpawnThreadSnafu)?) })
    }

    /// Queues a batch of records to be appended; `token` identifies it in the event.
    ///
    /// # Errors
    ///
    /// [`StorageError::QueueFull`] if the queue has reached its limits, and [`StorageError::WriterStopped`] if the thread has
    /// ended.
    pub fn append(&self, token: u64, records: Vec<Vec<u8>>) -> Result<(), StorageError> {
        self.queue.push(Write { token, kind: WriteKind::Append, records })
    }

    /// Queues a snapshot, which replaces all earlier records, also those that are still queued; `token` identifies it in the
    /// event.
    ///
    /// # Errors
    ///
    /// [`StorageError::QueueFull`] if the queue has reached its limits, and [`StorageError::WriterStopped`] if the thread has
    /// ended.
    pub fn snapshot(&self, token: u64, records: Vec<Vec<u8>>) -> Result<(), StorageError> {
        self.queue.push(Write { token, kind: WriteKind::Snapshot, records })
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.queue.close();
        // `on_event` may drop the handle on the writer thread, which cannot join itself.
        let thread = self.thread.take().filter(|handle| handle.thread().id() != thread::current().id());
        if let Some(thread) = thread {
            // An error means that `on_event` panicked, which the panic hook has already reported.
            let _ = thread.join();
        }
    }
}

/// The state of the writer thread.
struct Committer<D: Disk> {
    ring: Ring<D>,
    on_event: Box<dyn Fn(WriterEvent) + Send>,
    queue: Arc<Queue>,
    /// Whether a batch has failed since the last successful snapshot, so that a later batch would leave a gap in the log.
    has_failed: bool,
}

impl<D: Disk> Committer<D> {
    fn run(mut self) {
        while let Some(group) = self.queue.next_group() {
            let (tokens, records) = merge_writes(group.writes);
            let result = match group.kind {
                WriteKind::Append if self.has_failed => Err(StorageError::SnapshotRequired),
                WriteKind::Append => self.ring.append(&records),
                WriteKind::Snapshot => self.ring.snapshot(&records),
            };
            drop(records);
            self.has_failed = match group.kind {
                WriteKind::Append => result.is_err(),
                WriteKind::Snapshot => self.has_failed && result.is_err(),
            };
            self.report(&tokens, &result);
        }
    }

    fn report(&self, tokens: &[u64], result: &Result<(), StorageError>) {
        let needs_snapshot = self.has_failed || self.ring.needs_snapshot();
        for &token in tokens {
            (self.on_event)(match result {
                Ok(()) => WriterEvent::Durable { token, needs_snapshot },
                Err(error) => WriterEvent::Failed { token, error: error.clone() },
            });
        }
    }
}

impl<D: Disk> Drop for Committer<D> {
    /// Marks the queue as stopped, also if `on_event` panics: later writes must be rejected, since nothing would process them.
    fn drop(&mut self) {
        self.queue.stop();
    }
}

/// The tokens of all writes, and their records in one list.
fn merge_writes(writes: Vec<Write>) -> (Vec<u64>, Vec<Vec<u8>>) {
    let tokens = writes.iter().map(|write| write.token).collect();
    let records = writes.into_iter().flat_map(|write| write.records).collect();
    (tokens, records)
}
