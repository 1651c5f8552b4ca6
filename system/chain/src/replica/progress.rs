//! The progress of one follower, modelled on raft-rs: which entries it has acknowledged, what is in flight to it, and whether it
//! is sent entries or a snapshot.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::ReplicaAction;
use crate::{MemberId, OutgoingSnapshot, OutgoingSnapshotState, ReplicaMessage};

/// Maximum number of chunks of a snapshot in flight to one follower.
const MAX_INFLIGHT_CHUNKS: u64 = 4;

/// Upper bound of the number of times that the interval between two probes of a snapshot's follower doubles.
const MAX_PROBE_DOUBLINGS: u32 = 3;

/// Interval between two probes of a snapshot's follower, as a multiple of the measured round trip.
const PROBE_ROUND_TRIPS: u32 = 2;

/// Number of unanswered probes from which on a transfer counts as stalled.
const STALLED_PROBES: u32 = 3;

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
    /// A snapshot is sent.
    Snapshot(SnapshotTransfer),
}

/// The transfer of a snapshot to one follower.
///
/// What has been sent is not sent again because of a time-out alone: the follower may not have read it yet, and repeated chunks
/// would only make it wait longer. Instead the follower is probed with an empty chunk, which it acknowledges with the number of bytes
/// that it holds. The transfer continues from there if that shows that chunks were lost.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct SnapshotTransfer {
    /// Index of the snapshot; `None` until the host has encoded one.
    index: Option<u64>,
    /// Number of bytes that the follower has acknowledged.
    received_bytes: u64,
    /// Number of bytes that have been sent; `None` until the first chunk has been sent.
    sent_bytes: Option<u64>,
    /// Number of probes since the follower last made progress.
    probes: u32,
    /// Whether a probe has not been answered yet.
    is_probe_outstanding: bool,
    /// The chunk whose round trip is being measured.
    timed_chunk: Option<TimedChunk>,
    /// The round trip of the last chunk that was measured.
    round_trip: Option<Duration>,
}

/// A chunk whose round trip is being measured.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TimedChunk {
    /// Offset of the byte after the chunk.
    end: u64,
    sent_at: Duration,
}

impl SnapshotTransfer {
    /// A transfer from the first byte; `index` is `None` until the host has encoded a snapshot.
    fn new(index: Option<u64>) -> Self {
        Self { index, ..Self::default() }
    }

    /// Index of the snapshot; `None` until the host has encoded one.
    pub(super) fn index(&self) -> Option<u64> {
        self.index
    }

    /// Time after the last progress or probe at which the next probe is due. It follows the measured round trip, and doubles with
    /// each probe (as in RFC 6298).
    fn probe_interval(&self, resend_interval: Duration) -> Duration {
        let measured = self.round_trip.unwrap_or_default() * PROBE_ROUND_TRIPS;
        resend_interval.max(measured) * 2u32.pow(self.probes.min(MAX_PROBE_DOUBLINGS))
    }

    /// Handles the number of bytes that the follower holds. Returns whether the follower has made progress.
    pub(super) fn on_chunk_ack(&mut self, now: Duration, index: u64, acked_bytes: u64) -> bool {
        if self.index != Some(index) {
            return false;
        }
        if acked_bytes > self.received_bytes {
            if let Some(timed) = self.timed_chunk.take_if(|timed| timed.end <= acked_bytes) {
                self.round_trip = Some(now.saturating_sub(timed.sent_at));
            }
            self.received_bytes = acked_bytes;
            self.sent_bytes = self.sent_bytes.max(Some(acked_bytes));
            (self.probes, self.is_probe_outstanding) = (0, false);
            return true;
        }
        // A follower that has restarted holds nothing. It acknowledges no other number below an earlier one, unless late.
        let is_answer = acked_bytes == self.received_bytes || acked_bytes == 0;
        if self.is_probe_outstanding && is_answer {
            self.is_probe_outstanding = false;
            // The acknowledgement of a chunk that is sent twice does not tell which of the two it answers.
            self.timed_chunk = None;
            self.received_bytes = acked_bytes;
            self.sent_bytes = (acked_bytes > 0).then_some(acked_bytes);
        }
        false
    }

    /// The empty chunk that asks the follower how many bytes it holds.
    fn probe(&mut self, epoch: u64, snapshot: &EncodedSnapshot) -> ReplicaMessage {
        self.probes = self.probes.saturating_add(1);
        self.is_probe_outstanding = true;
        ReplicaMessage::SnapshotChunk {
            epoch,
            index: snapshot.index,
            total_bytes: snapshot.bytes.len() as u64,
            offset: self.received_bytes,
            bytes: Vec::new(),
        }
    }

    /// The next chunk that fits into the window; `None` if there is none.
    fn next_chunk(
        &mut self,
        now: Duration,
        epoch: u64,
        snapshot: &EncodedSnapshot,
        chunk_bytes: u64,
    ) -> Option<ReplicaMessage> {
        let total_bytes = snapshot.bytes.len() as u64;
        let window_end = (self.received_bytes + MAX_INFLIGHT_CHUNKS * chunk_bytes).min(total_bytes);
        if self.sent_bytes.is_some_and(|sent_bytes| sent_bytes >= window_end) {
            return None;
        }
        let offset = self.sent_bytes.unwrap_or(0);
        let end = (offset + chunk_bytes).min(total_bytes);
        let bytes = snapshot.bytes.get(offset as usize..end as usize).unwrap_or_default().to_vec();
        self.sent_bytes = Some(end);
        if !self.is_probe_outstanding {
            self.timed_chunk.get_or_insert(TimedChunk { end, sent_at: now });
        }
        Some(ReplicaMessage::SnapshotChunk { epoch, index: snapshot.index, total_bytes, offset, bytes })
    }
}

/// A batch of entries that a follower has not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct InflightBatch {
    last_index: u64,
    bytes: usize,
}

/// The batches in flight to one follower, oldest first.
#[derive(Clone, Debug, Default)]
struct InflightBatches {
    batches: VecDeque<InflightBatch>,
    bytes: usize,
}

impl InflightBatches {
    fn push(&mut self, batch: InflightBatch) {
        self.bytes += batch.bytes;
        self.batches.push_back(batch);
    }

    /// Removes the batches whose entries have all been acknowledged.
    fn remove_acked(&mut self, acked_index: u64) {
        while let Some(batch) = self.batches.front().filter(|batch| batch.last_index <= acked_index) {
            self.bytes -= batch.bytes;
            self.batches.pop_front();
        }
    }
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
        self.inflight = InflightBatches::default();
    }

    /// Records that the next entries have been sent, as one batch of a size in bytes.
    pub(super) fn on_batch_sent(&mut self, entries: u64, bytes: usize) {
        self.next_index += entries;
        if entries > 0 {
            self.inflight.push(InflightBatch { last_index: self.next_index - 1, bytes });
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
        self.inflight.bytes
    }

    /// The transfer of the snapshot that the follower needs, if it needs one. `available_index` is the index of the snapshot that this
    /// member has encoded, if there is one; an earlier one is sent no further.
    pub(super) fn outgoing_snapshot(&self, available_index: Option<u64>) -> Option<OutgoingSnapshot> {
        let ProgressState::Snapshot(transfer) = &self.state else { return None };
        let state = match available_index {
            None => OutgoingSnapshotState::Waiting,
            Some(_) if transfer.probes >= STALLED_PROBES => OutgoingSnapshotState::Stalled,
            Some(_) => OutgoingSnapshotState::Sending,
        };
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
            ProgressState::Snapshot(transfer) => transfer.index.is_some(),
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
        if transfer.index != Some(snapshot.index) {
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
        if transfer.index != Some(snapshot.index) {
            return;
        }
        let message = transfer.probe(epoch, snapshot);
        out.push(ReplicaAction::Send { to: self.member, message });
    }
}
