//! The transfer of a snapshot to one follower: which chunks are in flight, and when the follower is probed.

use std::sync::Arc;
use std::time::Duration;

use super::doubled;
use crate::{OutgoingSnapshotState, ReplicaMessage};

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
    pub(super) fn new(index: Option<u64>) -> Self {
        Self { index, ..Self::default() }
    }

    /// Index of the snapshot; `None` until the host has encoded one.
    pub(super) fn index(&self) -> Option<u64> {
        self.index
    }

    /// How far the transfer is, now that the host has encoded a snapshot.
    pub(super) fn state(&self) -> OutgoingSnapshotState {
        if self.probes >= STALLED_PROBES {
            OutgoingSnapshotState::Stalled
        } else {
            OutgoingSnapshotState::Sending
        }
    }

    /// Time after the last progress or probe at which the next probe is due. It follows the measured round trip, and doubles with
    /// each probe (as in RFC 6298).
    pub(super) fn probe_interval(&self, resend_interval: Duration) -> Duration {
        let measured = self.round_trip.unwrap_or_default() * PROBE_ROUND_TRIPS;
        doubled(resend_interval.max(measured), self.probes, MAX_PROBE_DOUBLINGS)
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
    pub(super) fn probe(&mut self, epoch: u64, snapshot: &EncodedSnapshot) -> ReplicaMessage {
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
    pub(super) fn next_chunk(
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
