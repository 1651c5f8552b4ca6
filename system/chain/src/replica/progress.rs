//! The progress of one follower, modelled on raft-rs: which entries it has acknowledged, what is in flight to it, and whether it
//! is sent entries or a snapshot.

use std::sync::Arc;
use std::time::Duration;

use super::ReplicaAction;
use crate::{MemberId, ReplicaMessage};

/// Maximum number of chunks of a snapshot in flight to one follower.
const MAX_INFLIGHT_CHUNKS: u64 = 4;

/// A state that the host has encoded, shared by all followers that need a snapshot.
#[derive(Clone, Debug)]
pub(super) struct EncodedSnapshot {
    /// Index of the last entry included in the state.
    pub index: u64,
    pub bytes: Arc<Vec<u8>>,
}

/// The role in which a member receives entries from this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FollowerRole {
    /// The follower is the successor in the chain.
    Successor,
    /// The follower is outside the chain, and replicates from the tail.
    Learner,
}

/// The state of the replication to a follower.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ProgressState {
    /// The last entry of the follower is not known yet.
    Probe,
    /// Entries are sent, from `next_index` on.
    Replicate,
    /// A snapshot is sent. `index` is `None` until the host has encoded one; `sent_bytes` is `None` until the first chunk has
    /// been sent.
    Snapshot { index: Option<u64>, received_bytes: u64, sent_bytes: Option<u64> },
}

/// One follower: a member that receives its entries from this one.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub member: MemberId,
    pub role: FollowerRole,
    pub state: ProgressState,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Index of the last entry that the follower has acknowledged as durable.
    pub acked_index: u64,
    /// Index up to which entries must be durable at the follower before it is in sync in the view; `None` if it already is, and
    /// for a learner.
    pub in_sync_index: Option<u64>,
    /// When the follower last made progress, or a message was last resent to it.
    pub last_progress_at: Duration,
    /// When the last message from the follower arrived.
    pub last_message_at: Duration,
}

impl Progress {
    /// Creates a follower whose last entry is not known yet.
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

    /// Makes the next [`ReplicaMessage::RequestResume`] due at once, if the last entry of the follower is not known yet.
    pub(super) fn expedite_probe(&mut self) {
        if self.state == ProgressState::Probe {
            self.last_progress_at = Duration::ZERO;
        }
    }

    /// Starts to send the entries after the last one that the follower holds.
    pub(super) fn become_replicate(&mut self, acked_index: u64) {
        self.state = ProgressState::Replicate;
        self.acked_index = acked_index;
        self.next_index = acked_index + 1;
    }

    /// Starts to send a snapshot from its beginning; `index` is `None` until the host has encoded one.
    pub(super) fn become_snapshot(&mut self, index: Option<u64>) {
        self.state = ProgressState::Snapshot { index, received_bytes: 0, sent_bytes: None };
    }

    /// Whether an acknowledgement is expected, so that a message has to be resent if none arrives in time.
    pub(super) fn is_outstanding(&self, has_uncommitted: bool) -> bool {
        match self.state {
            ProgressState::Probe => !self.is_learner(),
            ProgressState::Snapshot { index, .. } => index.is_some(),
            ProgressState::Replicate => {
                self.acked_index + 1 < self.next_index || (has_uncommitted && !self.is_learner())
            }
        }
    }

    /// Sends the chunks of a snapshot that fit into the window, if the follower needs a snapshot.
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
