//! Replication to the followers: sends entries and snapshots to the successor in the chain, and from the tail to learners outside
//! the chain.

use std::sync::Arc;
use std::time::Duration;

use super::progress::{FollowerRole, Progress, ProgressState};
use super::snapshot_transfer::EncodedSnapshot;
use super::{Replica, ReplicaAction};
use crate::{MemberId, ReplicaMessage, ViewAction};

/// A learner from which no message has arrived for this number of resend intervals may be replaced by another one.
const LEARNER_EVICTION_RESENDS: u32 = 4;

/// The request of a follower for the entries after its last one.
pub(super) struct Resume {
    /// Index of the follower's last entry.
    pub last_index: u64,
    /// Whether the follower is already in sync in this view.
    pub in_sync: bool,
    pub role: FollowerRole,
}

impl Replica {
    /// Requests the index of the successor's last entry, unless it is known.
    pub(super) fn request_resume(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_serving() {
            return;
        }
        let epoch = self.epoch();
        let is_probed =
            |follower: &&mut Progress| follower.state == ProgressState::Probe && !follower.is_learner();
        for follower in self.followers.iter_mut().filter(is_probed) {
            follower.last_progress_at = now;
            out.push(ReplicaAction::Send {
                to: follower.member,
                message: ReplicaMessage::RequestResume { epoch },
            });
        }
    }

    pub(super) fn on_resume(
        &mut self,
        now: Duration,
        from: MemberId,
        resume: Resume,
        out: &mut Vec<ReplicaAction>,
    ) {
        let Resume { last_index, in_sync, role } = resume;
        let is_learner = role == FollowerRole::Learner;
        if !self.is_serving()
            || last_index > self.log.durable_index()
            || (is_learner && !self.admit_learner(now, from))
        {
            return;
        }
        if is_learner {
            // A learner holds only committed entries, which a restarted tail may not know to be committed yet.
            self.log.commit_to(last_index);
        }
        let compacted_index = self.log.compacted_index();
        let in_sync_index = (!in_sync && !is_learner).then(|| self.log.durable_index());
        let snapshot_index = self.snapshot.as_ref().map(|snapshot| snapshot.index);
        let is_sender = |follower: &&mut Progress| follower.member == from && follower.role == role;
        let Some(follower) = self.followers.iter_mut().find(is_sender) else { return };
        follower.last_message_at = now;
        if last_index < compacted_index && follower.needs_snapshot() {
            // The transfer is under way already. The probe of an overdue one finds out if the follower has lost what it received.
            return;
        }
        follower.last_progress_at = now;
        follower.in_sync_index = in_sync_index;
        if last_index < compacted_index {
            follower.become_snapshot(snapshot_index);
            return;
        }
        follower.become_replicate(last_index);
        self.send_batch(from, out);
        self.report_learner(from, out);
    }

    /// Adds a learner to the followers if this member is the tail, and returns whether it is among them. If there are too many
    /// learners, those with the oldest last message are removed first, provided that it is older than the eviction time.
    fn admit_learner(&mut self, now: Duration, member: MemberId) -> bool {
        if !self.is_tail() || self.view.as_ref().is_some_and(|view| view.contains(member)) {
            return false;
        }
        if self.followers.iter().any(|follower| follower.member == member) {
            return true;
        }
        let learners = || self.followers.iter().filter(|follower| follower.is_learner());
        if learners().count() >= self.settings.max_learners {
            let oldest = learners().map(|learner| learner.last_message_at).min();
            let eviction_time = self.settings.resend_interval * LEARNER_EVICTION_RESENDS;
            if oldest.is_none_or(|at| at + eviction_time > now) {
                return false;
            }
            self.followers
                .retain(|follower| !follower.is_learner() || Some(follower.last_message_at) != oldest);
        }
        self.followers.push(Progress::new(member, FollowerRole::Learner, now));
        true
    }

    pub(super) fn on_ack(
        &mut self,
        now: Duration,
        from: MemberId,
        durable_index: u64,
        commit_index: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        let Some(follower) = self.followers.iter_mut().find(|follower| follower.member == from) else {
            return;
        };
        follower.last_message_at = now;
        if let ProgressState::Snapshot(transfer) = &follower.state {
            if transfer.index().is_some_and(|index| durable_index >= index) {
                follower.become_replicate(durable_index);
                follower.last_progress_at = now;
                self.send_batch(from, out);
            }
        } else if durable_index > follower.acked_index {
            follower.on_entries_acked(durable_index);
            follower.last_progress_at = now;
        }
        if self.successor() == Some(from) {
            self.log.commit_to(commit_index);
        }
        self.report_learner(from, out);
    }

    fn report_learner(&mut self, member: MemberId, out: &mut Vec<ReplicaAction>) {
        let learner =
            self.followers.iter().find(|follower| follower.member == member && follower.is_learner());
        if let Some(learner) = learner.filter(|learner| learner.state == ProgressState::Replicate) {
            let lag = self.log.commit_index().saturating_sub(learner.acked_index);
            out.push(ReplicaAction::View(ViewAction::LearnerProgress { member, lag }));
        }
    }

    pub(super) fn on_chunk_ack(
        &mut self,
        now: Duration,
        from: MemberId,
        snapshot_index: u64,
        acked_bytes: u64,
    ) {
        let Some(follower) = self.followers.iter_mut().find(|follower| follower.member == from) else {
            return;
        };
        follower.last_message_at = now;
        if let ProgressState::Snapshot(transfer) = &mut follower.state {
            if transfer.on_chunk_ack(now, snapshot_index, acked_bytes) {
                follower.last_progress_at = now;
            }
        }
    }

    pub(super) fn on_snapshot_ready(&mut self, now: Duration, index: u64, bytes: Vec<u8>) {
        self.is_snapshot_requested = false;
        if index < self.log.compacted_index() || index > self.log.applied_index() {
            return;
        }
        self.snapshot = Some(EncodedSnapshot { index, bytes: Arc::new(bytes) });
        for follower in self.followers.iter_mut().filter(|follower| follower.needs_snapshot()) {
            follower.become_snapshot(Some(index));
            follower.last_progress_at = now;
        }
    }

    /// Sends each follower the entries and chunks that its window allows.
    pub(super) fn send_to_followers(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_serving() {
            return;
        }
        let members: Vec<_> = self.followers.iter().map(|follower| follower.member).collect();
        for member in members {
            while self.can_send_to(member) {
                if !self.send_batch(member, out) {
                    break;
                }
            }
        }
        self.send_snapshots(now, out);
    }

    /// Index of the last entry that may be sent to a follower. A learner only receives committed entries.
    fn sendable_index(&self, follower: &Progress) -> u64 {
        match follower.role {
            FollowerRole::Learner => self.log.commit_index(),
            FollowerRole::Successor => self.log.durable_index(),
        }
    }

    fn can_send_to(&self, member: MemberId) -> bool {
        let Some(follower) = self.followers.iter().find(|follower| follower.member == member) else {
            return false;
        };
        let is_window_open = follower.next_index <= follower.acked_index + self.settings.max_inflight_entries
            && follower.inflight_bytes() < self.settings.max_inflight_bytes;
        follower.state == ProgressState::Replicate
            && is_window_open
            && follower.next_index <= self.sendable_index(follower)
    }

    /// Sends the next entries, or an empty message if there are none. Returns whether it sent any entries.
    fn send_batch(&mut self, member: MemberId, out: &mut Vec<ReplicaAction>) -> bool {
        let Some(position) = self.followers.iter().position(|follower| follower.member == member) else {
            return false;
        };
        let follower = &self.followers[position];
        if follower.next_index <= self.log.compacted_index() {
            let index = self.snapshot.as_ref().map(|snapshot| snapshot.index);
            self.followers[position].become_snapshot(index);
            return false;
        }
        let commands = self.next_batch(follower.next_index, self.sendable_index(follower));
        self.send_entries(position, commands, out)
    }

    /// Sends entries to a follower. Without any, the message only asks for an acknowledgement. Returns whether it sent any.
    fn send_entries(
        &mut self,
        position: usize,
        commands: Vec<Vec<u8>>,
        out: &mut Vec<ReplicaAction>,
    ) -> bool {
        let follower = &self.followers[position];
        let sent_entries = commands.len() as u64;
        let sent_bytes = commands.iter().map(Vec::len).sum();
        let message = ReplicaMessage::Append {
            epoch: self.epoch(),
            first_index: follower.next_index,
            commands,
            commit_index: self.log.commit_index(),
            in_sync_index: follower.in_sync_index,
        };
        out.push(ReplicaAction::Send { to: follower.member, message });
        self.followers[position].on_batch_sent(sent_entries, sent_bytes);
        sent_entries > 0
    }

    fn next_batch(&self, first_index: u64, last_index: u64) -> Vec<Vec<u8>> {
        let mut commands = Vec::new();
        let mut bytes = 0;
        for index in first_index..=last_index {
            let Some(entry) = self.log.get(index) else { break };
            bytes += entry.command.len();
            let is_full = commands.len() >= self.settings.batch_entries || bytes > self.settings.batch_bytes;
            if is_full && !commands.is_empty() {
                break;
            }
            commands.push(entry.command.clone());
        }
        commands
    }

    fn send_snapshots(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.followers.iter().any(Progress::needs_snapshot) {
            self.snapshot = None;
            return;
        }
        let compacted_index = self.log.compacted_index();
        // The entries that would have to follow an older snapshot are no longer in memory.
        self.snapshot = self.snapshot.take().filter(|snapshot| snapshot.index >= compacted_index);
        let Some(snapshot) = self.snapshot.clone() else {
            if !self.is_snapshot_requested {
                self.is_snapshot_requested = true;
                out.push(ReplicaAction::TakeSnapshot);
            }
            return;
        };
        let epoch = self.epoch();
        let chunk_bytes = self.settings.chunk_bytes as u64;
        for follower in &mut self.followers {
            follower.send_chunks(now, epoch, &snapshot, chunk_bytes, out);
        }
    }

    /// Resends to each follower whose acknowledgement is overdue.
    pub(super) fn resend_overdue(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_serving() {
            return;
        }
        let resend_interval = self.settings.resend_interval;
        let has_uncommitted = self.has_uncommitted();
        let overdue = self.followers.iter().filter(|follower| {
            follower.is_outstanding(has_uncommitted) && follower.resend_at(resend_interval) <= now
        });
        for member in overdue.map(|follower| follower.member).collect::<Vec<_>>() {
            self.resend_to(now, member, out);
        }
    }

    /// Asks a follower for an acknowledgement, without sending again what may still be on the way: it answers with what it holds, or
    /// requests the entries that it lacks.
    fn resend_to(&mut self, now: Duration, member: MemberId, out: &mut Vec<ReplicaAction>) {
        let epoch = self.epoch();
        let can_send_entries = self.can_send_to(member);
        let Some(position) = self.followers.iter().position(|follower| follower.member == member) else {
            return;
        };
        let follower = &mut self.followers[position];
        follower.last_progress_at = now;
        match &follower.state {
            ProgressState::Probe => self.request_resume(now, out),
            ProgressState::Snapshot(_) => {
                if let Some(snapshot) = &self.snapshot {
                    follower.probe_transfer(epoch, snapshot, out);
                }
            }
            ProgressState::Replicate if can_send_entries => {
                self.send_batch(member, out);
            }
            ProgressState::Replicate => {
                self.send_entries(position, Vec::new(), out);
            }
        }
    }

    /// The time at which [`Replica::resend_overdue`] is due; `None` if no acknowledgement is expected.
    pub(super) fn resend_timer(&self) -> Option<Duration> {
        if !self.is_serving() {
            return None;
        }
        let has_uncommitted = self.has_uncommitted();
        let outstanding = self.followers.iter().filter(|follower| follower.is_outstanding(has_uncommitted));
        outstanding.map(|follower| follower.resend_at(self.settings.resend_interval)).min()
    }

    /// Whether there are durable entries that are not committed, in a chain that is long enough to commit.
    fn has_uncommitted(&self) -> bool {
        self.can_commit() && self.log.commit_index() < self.log.durable_index()
    }
}
