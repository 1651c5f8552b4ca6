//! The progress of one follower, modelled on raft-rs: which entries it has acknowledged, what is in flight to it, and whether it
//! is sent entries or a snapshot.

use std::time::Duration;

use super::inflight::InflightBatches;
use super::snapshot_transfer::{EncodedSnapshot, SnapshotTransfer};
use super::ReplicaAction;
use crate::{MemberId, OutgoingSnapshot, OutgoingSnapshotState};

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
    /// A snapshot is sent.
    Snapshot(SnapshotTransfer),
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
    inflight: InflightBatches,
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
            inflight: InflightBatches::default(),
            in_sync_index: None,
            last_progress_at: now,
            last_message_at: now,
        }
    }

    pub(super) fn is_learner(&self) -> bool {
        self.role == FollowerRole::Learner
    }

    pub(super) fn needs_snapshot(&self) -> bool {
        matches!(self.state, ProgressState::Snapshot(_))
    }

    /// Makes the next [`ReplicaMessage::RequestResume`](crate::ReplicaMessage::RequestResume) due at once, if the last entry of the follower is not known yet.
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
        self.inflight = InflightBatches::default();
    }

    /// Records that the next entries have been sent, as one batch of a size in bytes.
    pub(super) fn on_batch_sent(&mut self, entries: u64, bytes: usize) {
        self.next_index += entries;
        if entries > 0 {
            self.inflight.push(self.next_index - 1, bytes);
        }
    }

    /// Records that the follower has acknowledged all entries up to an index.
    pub(super) fn on_entries_acked(&mut self, index: u64) {
        self.acked_index = index;
        self.next_index = self.next_index.max(index + 1);
        self.inflight.remove_acked(index);
    }

    /// Size in bytes of the entries in flight.
    pub(super) fn inflight_bytes(&self) -> usize {
        self.inflight.bytes()
    }

    /// The transfer of the snapshot that the follower needs, if it needs one. `is_encoded` tells whether this member has a snapshot.
    pub(super) fn outgoing_snapshot(&self, is_encoded: bool) -> Option<OutgoingSnapshot> {
        let ProgressState::Snapshot(transfer) = &self.state else { return None };
        let state = if is_encoded { transfer.state() } else { OutgoingSnapshotState::Waiting };
        Some(OutgoingSnapshot { receiver: self.member, state })
    }

    /// Starts to send a snapshot from its beginning; `index` is `None` until the host has encoded one.
    pub(super) fn become_snapshot(&mut self, index: Option<u64>) {
        self.state = ProgressState::Snapshot(SnapshotTransfer::new(index));
    }

    /// Time at which a message has to be sent again if an acknowledgement is still expected.
    pub(super) fn resend_at(&self, resend_interval: Duration) -> Duration {
        let interval = match &self.state {
            ProgressState::Snapshot(transfer) => transfer.probe_interval(resend_interval),
            ProgressState::Probe | ProgressState::Replicate => resend_interval,
        };
        self.last_progress_at + interval
    }

    /// Whether an acknowledgement is expected, so that a message has to be resent if none arrives in time.
    pub(super) fn is_outstanding(&self, has_uncommitted: bool) -> bool {
        match &self.state {
            ProgressState::Probe => !self.is_learner(),
            ProgressState::Snapshot(transfer) => transfer.index().is_some(),
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
        let ProgressState::Snapshot(transfer) = &mut self.state else { return };
        if transfer.index() != Some(snapshot.index) {
            *transfer = SnapshotTransfer::new(Some(snapshot.index));
            self.last_progress_at = now;
        }
        while let Some(message) = transfer.next_chunk(now, epoch, snapshot, chunk_bytes) {
            out.push(ReplicaAction::Send { to: self.member, message });
        }
    }

    /// Asks the follower of a snapshot how many bytes it holds.
    pub(super) fn probe_transfer(
        &mut self,
        epoch: u64,
        snapshot: &EncodedSnapshot,
        out: &mut Vec<ReplicaAction>,
    ) {
        let ProgressState::Snapshot(transfer) = &mut self.state else { return };
        if transfer.index() != Some(snapshot.index) {
            return;
        }
        let message = transfer.probe(epoch, snapshot);
        out.push(ReplicaAction::Send { to: self.member, message });
    }
}
