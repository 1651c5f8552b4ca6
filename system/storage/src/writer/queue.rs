//! The bounded queue between the callers and the thread of the writer.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use snafu::ensure;

use crate::error::{BusySnafu, StoppedSnafu};
use crate::StorageError;

/// Bound on the writes that wait.
const MAX_QUEUED_WRITES: usize = 4096;
/// While this much waits, nothing more is accepted. The last write accepted may exceed it, as a record may be long.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// A group ends with the write that reaches this length, so that its first writes do not wait for a long write.
const GROUP_BYTES: usize = 1024 * 1024;
/// What a record costs in memory beside its bytes.
const RECORD_OVERHEAD_BYTES: usize = size_of::<Vec<u8>>();

/// What is to be done with the records of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteKind {
    Append,
    Snapshot,
}

#[derive(Debug)]
pub(super) struct Write {
    pub token: u64,
    pub kind: WriteKind,
    pub records: Vec<Vec<u8>>,
}

/// Writes that are written and synced together: batches, or one snapshot.
pub(super) struct Group {
    pub kind: WriteKind,
    pub writes: Vec<Write>,
}

#[derive(Debug, Default)]
pub(super) struct Queue {
    state: Mutex<QueueState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct QueueState {
    writes: VecDeque<Write>,
    bytes: usize,
    /// No more writes come.
    is_closed: bool,
    /// The thread has ended.
    is_stopped: bool,
}

impl Queue {
    pub(super) fn push(&self, write: Write) -> Result<(), StorageError> {
        let mut state = self.lock();
        ensure!(!state.is_stopped, StoppedSnafu);
        let has_capacity = state.writes.len() < MAX_QUEUED_WRITES && state.bytes < MAX_QUEUED_BYTES;
        ensure!(has_capacity, BusySnafu);
        state.bytes += write.bytes();
        state.writes.push_back(write);
        self.changed.notify_one();
        Ok(())
    }

    /// Waits for writes; none once the queue is closed and empty.
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
