//! The bounded queue between the callers and the thread of the writer.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use snafu::ensure;

use crate::error::{QueueFullSnafu, WriterStoppedSnafu};
use crate::StorageError;

/// Maximum number of queued writes.
const MAX_QUEUED_WRITES: usize = 4096;
/// Size of the queued writes from which on no more are accepted, in bytes. The last accepted write may exceed it, since records may
/// be long.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// Size in bytes with which a group is closed, so that its first writes do not wait for a long disk write.
const GROUP_BYTES: usize = 1024 * 1024;
/// Memory that a record takes in addition to its content, in bytes.
const RECORD_OVERHEAD_BYTES: usize = size_of::<Vec<u8>>();

/// The operation that a write requests for its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteKind {
    Append,
    Snapshot,
}

/// A queued batch or snapshot.
#[derive(Debug)]
pub(super) struct Write {
    pub token: u64,
    pub kind: WriteKind,
    pub records: Vec<Vec<u8>>,
}

/// Writes that are committed together: either batches or a single snapshot.
pub(super) struct Group {
    pub kind: WriteKind,
    pub writes: Vec<Write>,
}

/// The queue, shared by the callers and the writer thread.
#[derive(Debug, Default)]
pub(super) struct Queue {
    state: Mutex<QueueState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct QueueState {
    writes: VecDeque<Write>,
    /// Size of the queued writes in bytes, with the overhead of their records.
    bytes: usize,
    /// Whether the handle was dropped, so that no more writes are queued.
    is_closed: bool,
    /// Whether the writer thread has ended.
    is_stopped: bool,
}

impl Queue {
    pub(super) fn push(&self, write: Write) -> Result<(), StorageError> {
        let mut state = self.lock();
        ensure!(!state.is_stopped, WriterStoppedSnafu);
        let has_capacity = state.writes.len() < MAX_QUEUED_WRITES && state.bytes < MAX_QUEUED_BYTES;
        ensure!(has_capacity, QueueFullSnafu);
        state.bytes += write.bytes();
        state.writes.push_back(write);
        self.changed.notify_one();
        Ok(())
    }

    /// Waits for writes and removes the next group; `None` once the queue is closed and empty.
    pub(super) fn next_group(&self) -> Option<Group> {
        let mut state = self.lock();
        loop {
            if let Some(group) = state.next_group() {
                return Some(group);
            }
            if state.is_closed {
                return None;
            }
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    pub(super) fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_one();
    }

    pub(super) fn stop(&self) {
        let mut state = self.lock();
        state.is_stopped = true;
        state.writes.clear();
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueState {
    fn next_group(&mut self) -> Option<Group> {
        let kind = self.writes.front()?.kind;
        let mut writes = Vec::new();
        let mut bytes = 0;
        while self.writes.front().is_some_and(|write| write.kind == kind) && bytes < GROUP_BYTES {
            let Some(write) = self.writes.pop_front() else { break };
            bytes += write.bytes();
            writes.push(write);
            if kind == WriteKind::Snapshot {
                break;
            }
        }
        self.bytes -= bytes;
        Some(Group { kind, writes })
    }
}

impl Write {
    fn bytes(&self) -> usize {
        self.records.iter().map(|record| record.len() + RECORD_OVERHEAD_BYTES).sum()
    }
}
