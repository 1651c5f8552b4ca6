//! Passing entries and snapshots on: to the successor, and from a tail to members outside the chain.

use std::sync::Arc;
use std::time::Duration;

use super::{Replica, ReplicaAction};
use crate::{MemberId, ReplicaMessage};

/// Parts of a snapshot on their way at once.
const CHUNKS_UNDER_WAY: u64 = 4;

/// A state that the host has encoded, shared by all that need it.
#[derive(Clone, Debug)]
pub(super) struct HostSnapshot {
    index: u64,
    bytes: Arc<Vec<u8>>,
}

#[derive(Clone, Debug, PartialEq)]
enum FeedState {
    /// The member hasn't said where to go on.
    Waiting,
    /// Entries are sent from `next` on.
    Entries,
    /// A snapshot is sent; none until the host has encoded one.
    Snapshot { index: Option<u64>, received: u64, sent: Option<u64> },
}

/// One member that gets its entries from here.
#[derive(Clone, Debug)]
pub(super) struct Feed {
    member: MemberId,
    learner: bool,
    state: FeedState,
    next: u64,
    acked: u64,
    in_sync_index: Option<u64>,
    /// When the member last moved on, or was last reminded.
    progress_at: Duration,
    /// When the member was last heard of.
    heard_at: Duration,
}

impl Feed {
    pub fn new(member: MemberId, learner: bool, now: Duration) -> Self {
        let state = FeedState::Waiting;
        Self {
            member,
            learner,
            state,
            next: 0,
            acked: 0,
            in_sync_index: None,
            progress_at: now,
            heard_at: now,
        }
    }

    pub fn ask_at_once(&mut self) {
        if self.state == FeedState::Waiting {
            self.progress_at = Duration::ZERO;
        }
    }
}

impl Replica {
    /// Asks the successor where to go on, unless it has said so.
    pub(super) fn ask_resume(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_serving() {
            return;
        }
        let epoch = self.epoch();
        for feed in self.feeds.iter_mut().filter(|feed| feed.state == FeedState::Waiting && !feed.learner) {
            feed.progress_at = now;
            out.push(ReplicaAction::Send {
                to: feed.member,
                message: ReplicaMessage::RequestResume { epoch },
            });
        }
    }

    pub(super) fn on_resume(
        &mut self,
        now: Duration,
        from: MemberId,
        last_index: u64,
        in_sync: bool,
        learner: bool,
        out: &mut Vec<ReplicaAction>,
    ) {
        if !self.is_serving()
            || last_index > self.log.durable_index()
            || (learner && !self.admit_learner(now, from))
        {
            return;
        }
        if learner {
            // A learner holds nothing but committed entries: a tail that has started again may not know of them yet.
            self.log.commit(last_index);
        }
        let offset = self.log.compacted_index();
        let in_sync_index = (!in_sync && !learner).then(|| self.log.durable_index());
        let Some(feed) = self.feeds.iter_mut().find(|feed| feed.member == from && feed.learner == learner)
        else {
            return;
        };
        feed.heard_at = now;
        feed.progress_at = now;
        feed.in_sync_index = in_sync_index;
        if last_index < offset {
            let index = self.snapshot.as_ref().map(|snapshot| snapshot.index);
            feed.state = FeedState::Snapshot { index, received: 0, sent: None };
            return;
        }
        feed.state = FeedState::Entries;
        feed.acked = last_index;
        feed.next = last_index + 1;
        self.send_batch(from, out);
        self.report_learner(from, out);
    }

    /// Makes room for a member outside the chain, at a tail that commits or would.
    fn admit_learner(&mut self, now: Duration, member: MemberId) -> bool {
        if !self.is_tail() || self.view.as_ref().is_some_and(|view| view.contains(member)) {
            return false;
        }
        if self.feeds.iter().any(|feed| feed.member == member) {
            return true;
        }
        let learners = self.feeds.iter().filter(|feed| feed.learner).count();
        if learners >= self.settings.max_learners {
            let oldest = self.feeds.iter().filter(|feed| feed.learner).map(|feed| feed.heard_at).min();
            let idle = oldest.is_some_and(|at| at + self.settings.resend_interval * 4 <= now);
            if !idle {
                return false;
            }
            self.feeds.retain(|feed| !feed.learner || Some(feed.heard_at) != oldest);
        }
        self.feeds.push(Feed::new(member, true, now));
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
        let Some(feed) = self.feeds.iter_mut().find(|feed| feed.member == from) else { return };
        feed.heard_at = now;
        if let FeedState::Snapshot { index: Some(index), .. } = feed.state {
            if durable_index >= index {
                feed.state = FeedState::Entries;
                feed.acked = durable_index;
                feed.next = durable_index + 1;
                feed.progress_at = now;
                self.send_batch(from, out);
            }
        } else if durable_index > feed.acked {
            feed.acked = durable_index;
            feed.next = feed.next.max(durable_index + 1);
            feed.progress_at = now;
        }
        if self.view.as_ref().and_then(|view| view.successor(self.me)) == Some(from) {
            self.log.commit(commit_index);
        }
        self.report_learner(from, out);
    }

    fn report_learner(&mut self, member: MemberId, out: &mut Vec<ReplicaAction>) {
        let commit_index = self.log.commit_index();
        let feed = self.feeds.iter().find(|feed| feed.member == member && feed.learner);
        if let Some(feed) = feed.filter(|feed| feed.state == FeedState::Entries) {
            let behind = commit_index.saturating_sub(feed.acked);
            out.push(ReplicaAction::LearnerProgress { member, behind });
        }
    }

    pub(super) fn on_chunk_ack(&mut self, now: Duration, from: MemberId, of: u64, up_to: u64) {
        let Some(feed) = self.feeds.iter_mut().find(|feed| feed.member == from) else { return };
        feed.heard_at = now;
        if let FeedState::Snapshot { index: Some(index), received, sent } = &mut feed.state {
            if *index == of && up_to > *received {
                *received = up_to;
                *sent = (*sent).max(Some(up_to));
                feed.progress_at = now;
            }
        }
    }

    pub(super) fn on_snapshot_ready(
        &mut self,
        now: Duration,
        index: u64,
        bytes: Vec<u8>,
        _out: &mut Vec<ReplicaAction>,
    ) {
        self.snapshot_asked = false;
        if index < self.log.compacted_index() || index > self.log.applied_index() {
            return;
        }
        self.snapshot = Some(HostSnapshot { index, bytes: Arc::new(bytes) });
        for feed in &mut self.feeds {
            if let FeedState::Snapshot { .. } = feed.state {
                feed.state = FeedState::Snapshot { index: Some(index), received: 0, sent: None };
                feed.progress_at = now;
            }
        }
    }

    /// Sends what each member may get.
    pub(super) fn pump_feeds(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_serving() {
            return;
        }
        let members: Vec<_> = self.feeds.iter().map(|feed| feed.member).collect();
        for member in members {
            while self.has_more_for(member) {
                if !self.send_batch(member, out) {
                    break;
                }
            }
        }
        self.pump_snapshots(now, out);
    }

    fn limit_for(&self, feed: &Feed) -> u64 {
        if feed.learner {
            self.log.commit_index()
        } else {
            self.log.durable_index()
        }
    }

    fn has_more_for(&self, member: MemberId) -> bool {
        let Some(feed) = self.feeds.iter().find(|feed| feed.member == member) else { return false };
        let open = feed.next <= feed.acked + self.settings.max_inflight_entries;
        feed.state == FeedState::Entries && open && feed.next <= self.limit_for(feed)
    }

    /// Sends the next entries, or none at all as a reminder. Tells whether there were any.
    fn send_batch(&mut self, member: MemberId, out: &mut Vec<ReplicaAction>) -> bool {
        let Some(position) = self.feeds.iter().position(|feed| feed.member == member) else { return false };
        let feed = &self.feeds[position];
        if feed.next <= self.log.compacted_index() {
            let index = self.snapshot.as_ref().map(|snapshot| snapshot.index);
            self.feeds[position].state = FeedState::Snapshot { index, received: 0, sent: None };
            return false;
        }
        let commands = self.batch(feed.next, self.limit_for(feed));
        let sent = commands.len() as u64;
        let message = ReplicaMessage::Append {
            epoch: self.epoch(),
            first_index: feed.next,
            commands,
            commit_index: self.log.commit_index(),
            in_sync_index: feed.in_sync_index,
        };
        out.push(ReplicaAction::Send { to: member, message });
        self.feeds[position].next += sent;
        sent > 0
    }

    fn batch(&self, first_index: u64, limit: u64) -> Vec<Vec<u8>> {
        let mut commands = Vec::new();
        let mut bytes = 0;
        for index in first_index..=limit {
            let Some(entry) = self.log.get(index) else { break };
            bytes += entry.command.len();
            let over = commands.len() >= self.settings.batch_entries || bytes > self.settings.batch_bytes;
            if over && !commands.is_empty() {
                break;
            }
            commands.push(entry.command.clone());
        }
        commands
    }

    fn pump_snapshots(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let wanted = self.feeds.iter().any(|feed| matches!(feed.state, FeedState::Snapshot { .. }));
        if !wanted {
            self.snapshot = None;
            return;
        }
        let stale =
            self.snapshot.as_ref().is_some_and(|snapshot| snapshot.index < self.log.compacted_index());
        if stale {
            self.snapshot = None;
        }
        let Some(snapshot) = self.snapshot.clone() else {
            if !self.snapshot_asked {
                self.snapshot_asked = true;
                out.push(ReplicaAction::TakeSnapshot);
            }
            return;
        };
        let epoch = self.epoch();
        let chunk_bytes = self.settings.chunk_bytes as u64;
        for feed in &mut self.feeds {
            feed.send_chunks(now, epoch, &snapshot, chunk_bytes, out);
        }
    }

    pub(super) fn feeds_tick(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_serving() {
            return;
        }
        let resend = self.settings.resend_interval;
        let uncommitted = self.commits() && self.log.commit_index() < self.log.durable_index();
        let due: Vec<_> = self
            .feeds
            .iter()
            .filter(|feed| feed.is_outstanding(uncommitted) && feed.progress_at + resend <= now)
            .map(|feed| feed.member)
            .collect();
        for member in due {
            self.remind(now, member, out);
        }
    }

    fn remind(&mut self, now: Duration, member: MemberId, out: &mut Vec<ReplicaAction>) {
        let Some(feed) = self.feeds.iter_mut().find(|feed| feed.member == member) else { return };
        feed.progress_at = now;
        match &mut feed.state {
            FeedState::Waiting => self.ask_resume(now, out),
            FeedState::Snapshot { received, sent, .. } => *sent = (*received > 0).then_some(*received),
            FeedState::Entries => {
                self.send_batch(member, out);
            }
        }
    }

    pub(super) fn feed_timer(&self) -> Option<Duration> {
        if !self.is_serving() {
            return None;
        }
        let uncommitted = self.commits() && self.log.commit_index() < self.log.durable_index();
        let outstanding = self.feeds.iter().filter(|feed| feed.is_outstanding(uncommitted));
        outstanding.map(|feed| feed.progress_at + self.settings.resend_interval).min()
    }
}

impl Feed {
    fn is_outstanding(&self, uncommitted: bool) -> bool {
        match self.state {
            FeedState::Waiting => !self.learner,
            FeedState::Snapshot { index, .. } => index.is_some(),
            FeedState::Entries => self.acked + 1 < self.next || (uncommitted && !self.learner),
        }
    }

    fn send_chunks(
        &mut self,
        now: Duration,
        epoch: u64,
        snapshot: &HostSnapshot,
        chunk_bytes: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        let FeedState::Snapshot { index, received, sent } = &mut self.state else { return };
        if *index != Some(snapshot.index) {
            (*index, *received, *sent) = (Some(snapshot.index), 0, None);
            self.progress_at = now;
        }
        let total = snapshot.bytes.len() as u64;
        let window = *received + CHUNKS_UNDER_WAY * chunk_bytes;
        while sent.is_none_or(|sent| sent < total && sent < window) {
            let offset = sent.unwrap_or(0);
            let end = (offset + chunk_bytes).min(total);
            let bytes = snapshot.bytes.get(offset as usize..end as usize).unwrap_or_default().to_vec();
            let message =
                ReplicaMessage::SnapshotChunk { epoch, index: snapshot.index, total, offset, bytes };
            out.push(ReplicaAction::Send { to: self.member, message });
            *sent = Some(end);
        }
    }
}
