//! Reception of entries and snapshots from the upstream member: the predecessor in the chain, or the tail for a learner.

use std::time::Duration;

use super::{doubled, PendingRecord, Replica, ReplicaAction};
use crate::{LogRecord, MemberId, ReplicaMessage};

/// A learner that has received nothing for this number of resend intervals sends its request again, so that the tail continues to
/// serve it.
const LEARNER_IDLE_RESENDS: u32 = 2;

/// Upper bound of the number of times that the interval between two requests to resume doubles. Low enough that a learner that waits
/// for an answer is not evicted.
const MAX_RESUME_DOUBLINGS: u32 = 2;

/// The member from which entries are received in the current view, and the state of the reception.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    source: Option<MemberId>,
    /// Whether the last [`ReplicaMessage::Resume`] has not been answered yet.
    awaits_resume_reply: bool,
    /// When a [`ReplicaMessage::Resume`] was last sent, or a message from the source last arrived.
    last_message_at: Duration,
    /// Number of requests to resume that were sent because of silence, since the last message from the source.
    overdue_resumes: u32,
    /// Index of the last entry that the source knows to be committed.
    commit_index: u64,
    /// Index up to which entries must be durable at this member before it is in sync in the view.
    in_sync_index: Option<u64>,
    incoming_snapshot: Option<IncomingSnapshot>,
    /// Whether a received snapshot is being written to the disk.
    is_installing_snapshot: bool,
    /// The durable index and the commit index of the last acknowledgement.
    last_ack: Option<(u64, u64)>,
}

impl Upstream {
    /// Switches to another source, or to none.
    pub(super) fn reset(&mut self, source: Option<MemberId>) {
        *self = Self {
            source,
            awaits_resume_reply: source.is_some(),
            is_installing_snapshot: self.is_installing_snapshot,
            ..Self::default()
        };
    }

    /// Index up to which entries must be durable at this member before it is in sync in the view; `None` until the source has
    /// sent it.
    pub(super) fn in_sync_index(&self) -> Option<u64> {
        self.in_sync_index
    }

    /// Whether a received snapshot is being written to the disk.
    pub(super) fn is_installing_snapshot(&self) -> bool {
        self.is_installing_snapshot
    }

    /// Handles the arrival of entries or of a part of a snapshot from the source.
    fn on_received(&mut self, now: Duration) {
        self.awaits_resume_reply = false;
        self.last_message_at = now;
        self.overdue_resumes = 0;
    }

    /// Whether nothing has been received in this view yet, so that there is nothing to acknowledge.
    fn has_received_nothing(&self) -> bool {
        self.awaits_resume_reply
            && self.last_ack.is_none()
            && self.incoming_snapshot.is_none()
            && !self.is_installing_snapshot
    }
}

/// The content of a [`ReplicaMessage::Append`].
pub(super) struct Append {
    pub first_index: u64,
    pub commands: Vec<Vec<u8>>,
    pub commit_index: u64,
    pub in_sync_index: Option<u64>,
}

/// The content of a [`ReplicaMessage::SnapshotChunk`].
pub(super) struct Chunk {
    pub index: u64,
    pub total_bytes: u64,
    pub offset: u64,
    pub bytes: Vec<u8>,
}

/// A snapshot of which some chunks have arrived.
#[derive(Clone, Debug)]
struct IncomingSnapshot {
    index: u64,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl Replica {
    pub(super) fn send_resume(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let Some(source) = self.upstream.source else { return };
        if self.upstream.is_installing_snapshot || !self.is_active() {
            return;
        }
        self.upstream.awaits_resume_reply = true;
        self.upstream.last_message_at = now;
        let is_learner = !self.is_in_chain();
        let message = ReplicaMessage::Resume {
            epoch: self.epoch(),
            last_index: self.log.last_index(),
            in_sync: self.is_in_sync(),
            is_learner,
        };
        out.push(ReplicaAction::Send { to: source, message });
    }

    pub(super) fn on_request_resume(&mut self, now: Duration, from: MemberId, out: &mut Vec<ReplicaAction>) {
        let just_sent = self.upstream.awaits_resume_reply && self.upstream.last_message_at == now;
        if self.upstream.source == Some(from) && !just_sent {
            self.send_resume(now, out);
        }
    }

    pub(super) fn on_append(
        &mut self,
        now: Duration,
        from: MemberId,
        append: Append,
        out: &mut Vec<ReplicaAction>,
    ) {
        let Append { first_index, commands, commit_index, in_sync_index } = append;
        if self.upstream.source != Some(from) || self.upstream.is_installing_snapshot || first_index == 0 {
            return;
        }
        if first_index > self.log.last_index() + 1 {
            if !self.upstream.awaits_resume_reply {
                self.send_resume(now, out);
            }
            return;
        }
        self.upstream.on_received(now);
        self.upstream.incoming_snapshot = None;
        self.upstream.commit_index = self.upstream.commit_index.max(commit_index);
        self.upstream.in_sync_index = self.upstream.in_sync_index.or(in_sync_index);
        let already_held = (self.log.last_index() + 1 - first_index) as usize;
        let epoch = self.epoch();
        let records: Vec<_> =
            commands.into_iter().skip(already_held).map(|command| self.log.append(epoch, command)).collect();
        if records.is_empty() {
            self.upstream.last_ack = None;
        } else {
            self.persist_entries(records, out);
        }
        self.log.commit_to(self.upstream.commit_index);
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Duration,
        from: MemberId,
        chunk: Chunk,
        out: &mut Vec<ReplicaAction>,
    ) {
        if self.upstream.source != Some(from) || self.upstream.is_installing_snapshot {
            return;
        }
        // This member does not need the snapshot; a delayed `Resume` may have caused its transfer. The acknowledgement stops it.
        if chunk.index <= self.log.commit_index() || self.is_in_sync() {
            let (durable_index, commit_index) = (self.log.durable_index(), self.log.commit_index());
            let message = ReplicaMessage::Ack { epoch: self.epoch(), durable_index, commit_index };
            out.push(ReplicaAction::Send { to: from, message });
            return;
        }
        // The chunk answers the `Resume`; the snapshot itself is acknowledged as soon as it is durable.
        self.upstream.on_received(now);
        let Some(received_bytes) = self.add_chunk(&chunk) else { return };
        let message =
            ReplicaMessage::SnapshotChunkAck { epoch: self.epoch(), index: chunk.index, received_bytes };
        out.push(ReplicaAction::Send { to: from, message });
        if received_bytes == chunk.total_bytes {
            self.persist_snapshot(out);
        }
    }

    /// Adds a chunk, and returns the number of bytes received without a gap. `None` if the snapshot is too large.
    fn add_chunk(&mut self, chunk: &Chunk) -> Option<u64> {
        if chunk.total_bytes > self.settings.max_snapshot_bytes as u64 {
            return None;
        }
        let is_same = |incoming_snapshot: &IncomingSnapshot| {
            incoming_snapshot.index == chunk.index && incoming_snapshot.total_bytes == chunk.total_bytes
        };
        if !self.upstream.incoming_snapshot.as_ref().is_some_and(is_same) {
            if chunk.offset != 0 {
                return Some(0);
            }
            self.upstream.incoming_snapshot = Some(IncomingSnapshot {
                index: chunk.index,
                total_bytes: chunk.total_bytes,
                bytes: Vec::new(),
            });
        }
        let incoming_snapshot = self.upstream.incoming_snapshot.as_mut()?;
        let fits = incoming_snapshot.bytes.len() + chunk.bytes.len() <= chunk.total_bytes as usize;
        if chunk.offset == incoming_snapshot.bytes.len() as u64 && fits {
            incoming_snapshot.bytes.extend_from_slice(&chunk.bytes);
        }
        Some(incoming_snapshot.bytes.len() as u64)
    }

    fn persist_snapshot(&mut self, out: &mut Vec<ReplicaAction>) {
        let Some(IncomingSnapshot { index, bytes, .. }) = self.upstream.incoming_snapshot.take() else {
            return;
        };
        self.upstream.is_installing_snapshot = true;
        let record = LogRecord::Snapshot { index, bytes: bytes.clone() };
        self.persist(vec![record], PendingRecord::Snapshot { index, bytes }, out);
    }

    pub(super) fn on_snapshot_durable(&mut self, index: u64, bytes: Vec<u8>, out: &mut Vec<ReplicaAction>) {
        self.upstream.is_installing_snapshot = false;
        self.upstream.last_ack = None;
        if index > self.log.commit_index() {
            self.log.reset_to(index);
            self.recovered_index = self.recovered_index.max(index);
            out.push(ReplicaAction::InstallSnapshot { index, bytes });
        }
    }

    /// Acknowledges to the source the entries that have become durable or committed at this member.
    pub(super) fn acknowledge(&mut self, out: &mut Vec<ReplicaAction>) {
        let Some(source) = self.upstream.source else { return };
        let ack = (self.log.durable_index(), self.log.commit_index());
        if !self.is_active() || self.upstream.has_received_nothing() || self.upstream.last_ack == Some(ack) {
            return;
        }
        self.upstream.last_ack = Some(ack);
        let message = ReplicaMessage::Ack { epoch: self.epoch(), durable_index: ack.0, commit_index: ack.1 };
        out.push(ReplicaAction::Send { to: source, message });
    }

    /// Resends the request to resume if the source has sent nothing for too long.
    pub(super) fn resend_overdue_resume(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if self.upstream_timer().is_some_and(|at| at <= now) {
            self.upstream.overdue_resumes = self.upstream.overdue_resumes.saturating_add(1);
            self.send_resume(now, out);
        }
    }

    /// The time at which [`Replica::resend_overdue_resume`] is due; `None` if no message from the source is expected.
    pub(super) fn upstream_timer(&self) -> Option<Duration> {
        self.upstream.source?;
        if self.upstream.is_installing_snapshot || !self.is_active() {
            return None;
        }
        if self.upstream.awaits_resume_reply || (self.is_in_chain() && !self.in_sync) {
            let resumes = self.upstream.overdue_resumes;
            let interval = doubled(self.settings.resend_interval, resumes, MAX_RESUME_DOUBLINGS);
            return Some(self.upstream.last_message_at + interval);
        }
        let is_learner = !self.is_in_chain();
        is_learner
            .then(|| self.upstream.last_message_at + self.settings.resend_interval * LEARNER_IDLE_RESENDS)
    }
}
