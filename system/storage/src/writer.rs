//! [`Writer`]: a thread that owns a ring and commits queued batches together (group commit).
//!
//! A disk takes about as long to sync one batch as many. While one sync runs, batches are queued; all of them are
//! then written and synced as one. Events come in the order of the calls, from the thread of the writer.
//!
//! The log has no holes: after a batch has failed, all later ones fail too, until a snapshot succeeds.

mod queue;

use std::sync::Arc;
use std::thread::{self, JoinHandle};

use snafu::ResultExt;

use crate::error::ThreadSnafu;
use crate::{Disk, Ring, StorageError};

use queue::{Queue, Write, WriteKind};

/// The outcome of a batch or a snapshot.
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
        /// The reason.
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
    ///
    /// # Errors
    ///
    /// [`StorageError::Thread`] if the thread can't be started.
    pub fn start<D: Disk + 'static>(
        ring: Ring<D>,
        on_event: Box<dyn Fn(WriterEvent) + Send>,
    ) -> Result<Writer, StorageError> {
        let queue = Arc::new(Queue::default());
        let committer = Committer { ring, on_event, queue: Arc::clone(&queue), has_failed: false };
        let spawned = thread::Builder::new().name("storage".to_owned()).spawn(move || committer.run());
        Ok(Writer { queue, thread: Some(spawned.context(ThreadSnafu)?) })
    }

    /// Queues records to be appended.
    ///
    /// # Errors
    ///
    /// [`StorageError::Busy`] if too much is queued already, and [`StorageError::Stopped`] if the thread has ended.
    pub fn append(&self, token: u64, records: Vec<Vec<u8>>) -> Result<(), StorageError> {
        self.queue.push(Write { token, kind: WriteKind::Append, records })
    }

    /// Queues records that replace all that was queued before.
    ///
    /// # Errors
    ///
    /// [`StorageError::Busy`] if too much is queued already, and [`StorageError::Stopped`] if the thread has ended.
    pub fn snapshot(&self, token: u64, records: Vec<Vec<u8>>) -> Result<(), StorageError> {
        self.queue.push(Write { token, kind: WriteKind::Snapshot, records })
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

/// The thread of the writer.
struct Committer<D: Disk> {
    ring: Ring<D>,
    on_event: Box<dyn Fn(WriterEvent) + Send>,
    queue: Arc<Queue>,
    /// A batch was not written, so what follows it would leave a hole.
    has_failed: bool,
}

impl<D: Disk> Committer<D> {
    fn run(mut self) {
        while let Some(group) = self.queue.next_group() {
            let (tokens, records) = join(group.writes);
            let result = match group.kind {
                WriteKind::Append if self.has_failed => Err(StorageError::Broken),
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
        let wants_snapshot = self.has_failed || self.ring.needs_snapshot();
        for &token in tokens {
            (self.on_event)(match result {
                Ok(()) => WriterEvent::Durable { token, wants_snapshot },
                Err(error) => WriterEvent::Failed { token, error: error.clone() },
            });
        }
    }
}

impl<D: Disk> Drop for Committer<D> {
    /// Also runs when `on_event` panics: no caller may wait for a thread that has ended.
    fn drop(&mut self) {
        self.queue.stop();
    }
}

/// The tokens of all writes, and all their records in one list.
fn join(writes: Vec<Write>) -> (Vec<u64>, Vec<Vec<u8>>) {
    let tokens = writes.iter().map(|write| write.token).collect();
    let records = writes.into_iter().flat_map(|write| write.records).collect();
    (tokens, records)
}
