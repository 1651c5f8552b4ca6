//! Taking entries and snapshots from the predecessor, or from the tail as a learner.

use std::time::Duration;

use super::{Pending, Replica, ReplicaAction};
use crate::{LogRecord, MemberId, ReplicaMessage};

/// A learner that has heard nothing for this many times the resend span asks again, so that the tail knows of it.
const LEARNER_IDLE_RESENDS: u32 = 2;

/// Where entries come from in the view, and what is known of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Intake {
    source: Option<MemberId>,
    /// Whether a `Resume` has not been answered yet.
    awaiting: bool,
    /// When it was last sent, or something came.
    heard_at: Duration,
    /// Up to where the source knows the log to be committed.
    commit_index: u64,
    /// What must be durable here to count in the view.
    pub in_sync_index: Option<u64>,
    assembly: Option<Assembly>,
    /// Whether a snapshot is being written.
    installing: bool,
    /// What was acknowledged last.
    acknowledged: Option<(u64, u64)>,
}

impl Intake {
    pub fn reset(&mut self, source: Option<MemberId>) {
        *self = Self { source, awaiting: source.is_some(), installing: self.installing, ..Self::default() };
    }
}

/// A part of a snapshot.
pub(super) struct Chunk {
    pub index: u64,
    pub total: u64,
    pub offset: u64,
    pub bytes: Vec<u8>,
}

/// A snapshot on its way in.
#[derive(Clone, Debug)]
struct Assembly {
    index: u64,
    total: u64,
    bytes: Vec<u8>,
}

impl Replica {
    pub(super) fn send_resume(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let Some(source) = self.intake.source else { return };
        if self.intake.installing || !self.is_active() {
            return;
        }
        self.intake.awaiting = true;
        self.intake.heard_at = now;
        let learner = !self.in_chain();
        let message = ReplicaMessage::Resume {
            epoch: self.epoch(),
            last_index: self.log.last_index(),
            in_sync: self.is_in_sync(),
            learner,
        };
        out.push(ReplicaAction::Send { to: source, message });
    }

    pub(super) fn on_ask_resume(&mut self, now: Duration, from: MemberId, out: &mut Vec<ReplicaAction>) {
        let just_sent = self.intake.awaiting && self.intake.heard_at == now;
        if self.intake.source == Some(from) && !just_sent {
            self.send_resume(now, out);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_append(
        &mut self,
        now: Duration,
        from: MemberId,
        first_index: u64,
        commands: Vec<Vec<u8>>,
        commit_index: u64,
        in_sync_index: Option<u64>,
        out: &mut Vec<ReplicaAction>,
    ) {
        if self.intake.source != Some(from) || self.intake.installing || first_index == 0 {
            return;
        }
        if first_index > self.log.last_index() + 1 {
            if !self.intake.awaiting {
                self.send_resume(now, out);
            }
            return;
        }
        self.intake.awaiting = false;
        self.intake.heard_at = now;
        self.intake.assembly = None;
        self.intake.commit_index = self.intake.commit_index.max(commit_index);
        self.intake.in_sync_index = self.intake.in_sync_index.or(in_sync_index);
        let held = (self.log.last_index() + 1 - first_index) as usize;
        let epoch = self.epoch();
        let records: Vec<_> =
            commands.into_iter().skip(held).map(|command| self.log.append(epoch, command)).collect();
        if records.is_empty() {
            self.intake.acknowledged = None;
        } else {
            let pending = Pending::Entries { up_to: self.log.last_index() };
            self.persist(records, pending, out);
        }
        self.commit_as_told();
    }

    pub(super) fn commit_as_told(&mut self) {
        self.log.commit(self.intake.commit_index);
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Duration,
        from: MemberId,
        chunk: Chunk,
        out: &mut Vec<ReplicaAction>,
    ) {
        if self.intake.source != Some(from) || self.intake.installing {
            return;
        }
        // A late `Resume` of this member may have asked for it: the acknowledgement ends that.
        if chunk.index <= self.log.commit_index() || self.is_in_sync() {
            let (durable_index, commit_index) = (self.log.durable_index(), self.log.commit_index());
            let message = ReplicaMessage::Ack { epoch: self.epoch(), durable_index, commit_index };
            out.push(ReplicaAction::Send { to: from, message });
            return;
        }
        self.intake.heard_at = now;
        // The source has answered: once the snapshot is on the disk it is acknowledged at once.
        self.intake.awaiting = false;
        let Some(received) = self.assemble(&chunk) else { return };
        let message = ReplicaMessage::SnapshotChunkAck { epoch: self.epoch(), index: chunk.index, received };
        out.push(ReplicaAction::Send { to: from, message });
        if received == chunk.total {
            self.persist_snapshot(out);
        }
    }

    /// Adds a part, and gives how much there is.
    fn assemble(&mut self, chunk: &Chunk) -> Option<u64> {
        if chunk.total > self.settings.max_snapshot_bytes as u64 {
            return None;
        }
        let same = |assembly: &Assembly| assembly.index == chunk.index && assembly.total == chunk.total;
        if !self.intake.assembly.as_ref().is_some_and(same) {
            if chunk.offset != 0 {
                return Some(0);
            }
            self.intake.assembly =
                Some(Assembly { index: chunk.index, total: chunk.total, bytes: Vec::new() });
        }
        let assembly = self.intake.assembly.as_mut()?;
        let fits = assembly.bytes.len() + chunk.bytes.len() <= chunk.total as usize;
        if chunk.offset == assembly.bytes.len() as u64 && fits {
            assembly.bytes.extend_from_slice(&chunk.bytes);
        }
        Some(assembly.bytes.len() as u64)
    }

    fn persist_snapshot(&mut self, out: &mut Vec<ReplicaAction>) {
        let Some(Assembly { index, bytes, .. }) = self.intake.assembly.take() else { return };
        self.intake.installing = true;
        let record = LogRecord::Snapshot { index, bytes: bytes.clone() };
        self.persist(vec![record], Pending::Snapshot { index, bytes }, out);
    }

    pub(super) fn snapshot_durable(&mut self, index: u64, bytes: Vec<u8>, out: &mut Vec<ReplicaAction>) {
        self.intake.installing = false;
        self.intake.acknowledged = None;
        if index > self.log.commit_index() {
            self.log.reset(index);
            self.recovered = self.recovered.max(index);
            out.push(ReplicaAction::InstallSnapshot { index, bytes });
        }
    }

    /// Tells the source what has become durable or committed here.
    pub(super) fn acknowledge(&mut self, out: &mut Vec<ReplicaAction>) {
        let Some(source) = self.intake.source else { return };
        let state = (self.log.durable_index(), self.log.commit_index());
        if !self.is_active() || self.intake.awaiting_first() || self.intake.acknowledged == Some(state) {
            return;
        }
        self.intake.acknowledged = Some(state);
        let message =
            ReplicaMessage::Ack { epoch: self.epoch(), durable_index: state.0, commit_index: state.1 };
        out.push(ReplicaAction::Send { to: source, message });
    }

    pub(super) fn intake_tick(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if self.intake_timer().is_some_and(|at| at <= now) {
            self.send_resume(now, out);
        }
    }

    pub(super) fn intake_timer(&self) -> Option<Duration> {
        self.intake.source?;
        if self.intake.installing || !self.is_active() {
            return None;
        }
        if self.intake.awaiting || (self.in_chain() && !self.in_sync) {
            return Some(self.intake.heard_at + self.settings.resend_interval);
        }
        let learner = !self.in_chain();
        learner.then(|| self.intake.heard_at + self.settings.resend_interval * LEARNER_IDLE_RESENDS)
    }
}

impl Intake {
    /// Whether a snapshot is being written.
    pub fn is_installing(&self) -> bool {
        self.installing
    }

    /// Whether nothing has come in this view yet: there is nothing to acknowledge.
    fn awaiting_first(&self) -> bool {
        self.awaiting && self.acknowledged.is_none() && self.assembly.is_none() && !self.installing
    }
}
