//! The progress of one follower, after raft-rs: which entries it has acknowledged, what is in flight to it, and in which mode it is
//! served.

use std::sync::Arc;
use std::time::Duration;

use super::ReplicaAction;
use crate::{MemberId, ReplicaMessage};

/// Chunks of a snapshot in flight at once.
const MAX_INFLIGHT_CHUNKS: u64 = 4;

/// A state that the host has encoded, shared by all followers that need it.
#[derive(Clone, Debug)]
pub(super) struct EncodedSnapshot {
    /// The last entry in the state.
    pub index: u64,
    pub bytes: Arc<Vec<u8>>,
}

/// Why a member gets its entries from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FollowerRole {
    /// It comes next in the chain.
    Successor,
    /// It is outside the chain, and follows the tail.
    Learner,
}

/// How a follower is served.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ProgressState {
    /// The follower hasn't said after which entry to continue.
    Probe,
    /// Entries are sent from `next_index` on.
    Replicate,
    /// A snapshot is sent; without an index until the host has encoded one.
    Snapshot { index: Option<u64>, received_bytes: u64, sent_bytes: Option<u64> },
}

/// One follower: a member that gets its entries from here.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub member: MemberId,
    pub role: FollowerRole,
    pub state: ProgressState,
    pub next_index: u64,
    pub acked_index: u64,
    /// What must be durable at the follower before it counts in the view.
    pub in_sync_index: Option<u64>,
    /// When the follower last moved on, or was last sent something again.
    pub last_progress_at: Duration,
    /// When the last message came from the follower.
    pub last_message_at: Duration,
}

impl Progress {
    /// A follower that hasn't said after which entry to continue.
    pub(super) fn new(member: MemberId, role: FollowerRole, now: Duration) -> Self {
        Self {
            member,
            role,
            state: ProgressState::Probe,
            next_index: 0,
            acked_index: 0,
            in_sync_index: None,
            last_progress_at: now,
            last_message_at: now,
        }
    }

    pub(super) fn is_learner(&self) -> bool {
        self.role == FollowerRole::Learner
    }

    pub(super) fn needs_snapshot(&self) -> bool {
        matches!(self.state, ProgressState::Snapshot { .. })
    }

    /// Makes the next request to resume due, if the follower still has to be asked.
    pub(super) fn expedite_probe(&mut self) {
        if self.state == ProgressState::Probe {
            self.last_progress_at = Duration::ZERO;
        }
    }

    /// Serves entries after one that the follower holds.
    pub(super) fn become_replicate(&mut self, acked_index: u64) {
        self.state = ProgressState::Replicate;
        self.acked_index = acked_index;
        self.next_index = acked_index + 1;
    }

    /// Serves a snapshot from its beginning; `index` is none until the host has encoded one.
    pub(super) fn become_snapshot(&mut self, index: Option<u64>) {
        self.state = ProgressState::Snapshot { index, received_bytes: 0, sent_bytes: None };
    }

    /// Whether an acknowledgement is due, so that something has to be sent again without one.
    pub(super) fn is_outstanding(&self, has_uncommitted: bool) -> bool {
        match self.state {
            ProgressState::Probe => !self.is_learner(),
            ProgressState::Snapshot { index, .. } => index.is_some(),
            ProgressState::Replicate => {
                self.acked_index + 1 < self.next_index || (has_uncommitted && !self.is_learner())
            }
        }
    }

    /// Sends the chunks of a snapshot that fit into the window, if the follower needs one.
    pub(super) fn send_chunks(
        &mut self,
        now: Duration,
        epoch: u64,
        snapshot: &EncodedSnapshot,
        chunk_bytes: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        let ProgressState::Snapshot { index, received_bytes, sent_bytes } = &mut self.state else { return };
        if *index != Some(snapshot.index) {
            (*index, *received_bytes, *sent_bytes) = (Some(snapshot.index), 0, None);
            self.last_progress_at = now;
        }
        let total_bytes = snapshot.bytes.len() as u64;
        let window_end = *received_bytes + MAX_INFLIGHT_CHUNKS * chunk_bytes;
        while sent_bytes.is_none_or(|sent_bytes| sent_bytes < total_bytes && sent_bytes < window_end) {
            let offset = sent_bytes.unwrap_or(0);
            let end = (offset + chunk_bytes).min(total_bytes);
            let bytes = snapshot.bytes.get(offset as usize..end as usize).unwrap_or_default().to_vec();
            let message =
                ReplicaMessage::SnapshotChunk { epoch, index: snapshot.index, total_bytes, offset, bytes };
            out.push(ReplicaAction::Send { to: self.member, message });
            *sent_bytes = Some(end);
        }
    }
}
