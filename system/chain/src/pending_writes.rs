//! The writes in flight of a member, oldest first, each with the component that issued it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::agreement::Vote;

/// The component that issued a write.
#[derive(Clone, Debug)]
pub(crate) enum WriteOwner {
    /// The replica; `token` is the one that it assigned to the write.
    Replica { token: u64 },
    /// The agreement, with the vote that the write makes durable.
    Agreement(Vote),
}

/// A write that is not synced yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    token: u64,
    started_at: Duration,
    owner: WriteOwner,
}

/// The writes in flight. Both components of a member write to the same disk, in a common order.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingWrites {
    last_token: u64,
    writes: VecDeque<PendingWrite>,
}

impl PendingWrites {
    /// Adds a write and returns its token.
    pub(crate) fn start(&mut self, now: Duration, owner: WriteOwner) -> u64 {
        self.last_token += 1;
        self.writes.push_back(PendingWrite { token: self.last_token, started_at: now, owner });
        self.last_token
    }

    /// Removes the oldest write if its token is not above `synced_token`, and returns its owner.
    pub(crate) fn complete_next(&mut self, synced_token: u64) -> Option<WriteOwner> {
        self.writes.front().filter(|write| write.token <= synced_token)?;
        self.writes.pop_front().map(|write| write.owner)
    }

    /// Whether the oldest write has been in flight for less than `timeout`.
    pub(crate) fn is_disk_responsive(&self, now: Duration, timeout: Duration) -> bool {
        self.writes.front().is_none_or(|write| now < write.started_at + timeout)
    }
}
