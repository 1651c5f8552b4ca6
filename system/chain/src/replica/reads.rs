//! Linearizable reads. Once each member of the chain has confirmed that the view is still in force, the entries that the tail had
//! committed include everything that was acknowledged before the read began.

use std::time::Duration;

use super::{Replica, ReplicaAction};
use crate::{MemberId, ReplicaMessage, View};

/// A read that has not been answered yet.
#[derive(Clone, Debug)]
struct PendingRead {
    token: u64,
    deadline: Duration,
}

/// One round of confirmations of the view by all its members, for all reads that were queued before it.
#[derive(Clone, Debug)]
struct ConfirmationRound {
    number: u64,
    reads: Vec<PendingRead>,
    /// The members that have not confirmed the view yet.
    unconfirmed: Vec<MemberId>,
    /// Index of the last entry that must be applied before the reads are answered.
    required_index: u64,
    sent_at: Duration,
}

/// The reads in progress: those queued for the next round, those of the current round, and confirmed ones that wait until the
/// entries that they require are applied at this member.
#[derive(Clone, Debug)]
pub(super) struct Reads {
    last_round: u64,
    queued: Vec<PendingRead>,
    round: Option<ConfirmationRound>,
    /// Confirmed reads, each with its required index.
    confirmed: Vec<(u64, PendingRead)>,
}

impl Reads {
    /// Creates an empty list. The numbers of rounds start at random, so that a late confirmation for an earlier process does not
    /// count for a round of this one.
    pub(super) fn new(seed: u64) -> Self {
        let last_round = fastrand::Rng::with_seed(seed).u64(..) >> 1;
        Self { last_round, queued: Vec::new(), round: None, confirmed: Vec::new() }
    }

    /// Moves the reads of the current round into the next one. Called when another view is in force.
    pub(super) fn restart(&mut self) {
        if let Some(round) = self.round.take() {
            self.queued.extend(round.reads);
        }
    }

    fn len(&self) -> usize {
        self.queued.len() + self.confirmed.len() + self.round.as_ref().map_or(0, |round| round.reads.len())
    }

    /// Removes the reads whose deadline has passed, and returns their tokens.
    fn expire(&mut self, now: Duration) -> Vec<u64> {
        let is_expired = |read: &PendingRead| read.deadline <= now;
        let mut expired_reads = drain_where(&mut self.queued, is_expired);
        if let Some(round) = &mut self.round {
            expired_reads.extend(drain_where(&mut round.reads, is_expired));
        }
        expired_reads.extend(
            drain_where(&mut self.confirmed, |(_, read)| is_expired(read)).into_iter().map(|(_, read)| read),
        );
        expired_reads.into_iter().map(|read| read.token).collect()
    }

    fn next_deadline(&self) -> Option<Duration> {
        let round = self.round.iter().flat_map(|round| &round.reads);
        let confirmed = self.confirmed.iter().map(|(_, read)| read);
        self.queued.iter().chain(round).chain(confirmed).map(|read| read.deadline).min()
    }
}

/// Removes the elements that satisfy a predicate, and returns them in order.
fn drain_where<T>(list: &mut Vec<T>, test: impl Fn(&T) -> bool) -> Vec<T> {
    let (removed, rest) = std::mem::take(list).into_iter().partition(test);
    *list = rest;
    removed
}

impl Replica {
    pub(super) fn on_read(&mut self, now: Duration, token: u64, out: &mut Vec<ReplicaAction>) {
        if self.reads.len() >= self.settings.max_reads {
            out.push(ReplicaAction::ReadFailed { token });
            return;
        }
        self.reads.queued.push(PendingRead { token, deadline: now + self.settings.read_timeout });
    }

    /// An index that covers every entry that has ever been acknowledged, with all entries up to it committed. Only the tail can
    /// determine it. If the chain is too short to commit, it can only do so if its whole log is committed.
    pub(super) fn certain_commit_index(&mut self) -> Option<u64> {
        if !self.is_serving() || !self.is_tail() {
            return None;
        }
        self.commit_as_tail();
        let is_complete = self.log.commit_index() == self.log.last_index();
        (self.can_commit() || is_complete).then(|| self.log.commit_index())
    }

    pub(super) fn on_confirm_view(&mut self, from: MemberId, round: u64, out: &mut Vec<ReplicaAction>) {
        if !self.is_in_chain() {
            return;
        }
        let commit_index = self.certain_commit_index();
        let message = ReplicaMessage::ViewConfirmed { epoch: self.epoch(), round, commit_index };
        out.push(ReplicaAction::Send { to: from, message });
    }

    pub(super) fn on_view_confirmed(&mut self, from: MemberId, number: u64, commit_index: Option<u64>) {
        let tail = self.view.as_ref().and_then(View::tail);
        let Some(round) = self.reads.round.as_mut().filter(|round| round.number == number) else { return };
        if tail == Some(from) {
            let Some(commit_index) = commit_index else { return };
            round.required_index = round.required_index.max(commit_index);
        }
        round.unconfirmed.retain(|member| *member != from);
    }

    /// Completes the current round if it is confirmed, starts the next one, and completes the reads that are ready or have
    /// expired.
    pub(super) fn process_reads(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.complete_round();
        if self.reads.round.is_none() && !self.reads.queued.is_empty() {
            self.start_round(now, out);
            self.complete_round();
        }
        let applied_index = self.log.applied_index();
        for (_, read) in
            drain_where(&mut self.reads.confirmed, |(required_index, _)| *required_index <= applied_index)
        {
            out.push(ReplicaAction::ReadReady { token: read.token, index: applied_index });
        }
        for token in self.reads.expire(now) {
            out.push(ReplicaAction::ReadFailed { token });
        }
    }

    fn start_round(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_active() {
            return;
        }
        let certain = self.certain_commit_index();
        let Some(view) = &self.view else { return };
        let is_own_commit_certain = !self.is_tail() || certain.is_some();
        let unconfirmed: Vec<_> = view
            .chain
            .iter()
            .copied()
            .filter(|member| *member != self.local_id || !is_own_commit_certain)
            .collect();
        self.reads.last_round += 1;
        self.reads.round = Some(ConfirmationRound {
            number: self.reads.last_round,
            reads: std::mem::take(&mut self.reads.queued),
            unconfirmed,
            required_index: certain.unwrap_or(0),
            sent_at: now,
        });
        self.send_confirm_view(out);
    }

    fn send_confirm_view(&mut self, out: &mut Vec<ReplicaAction>) {
        let Some(round) = &self.reads.round else { return };
        let message = ReplicaMessage::ConfirmView { epoch: self.epoch(), round: round.number };
        for member in round.unconfirmed.iter().filter(|member| **member != self.local_id) {
            out.push(ReplicaAction::Send { to: *member, message: message.clone() });
        }
    }

    fn complete_round(&mut self) {
        if !self.is_active() {
            return;
        }
        if self.reads.round.as_ref().is_some_and(|round| round.unconfirmed.is_empty()) {
            if let Some(round) = self.reads.round.take() {
                let required_index = round.required_index;
                self.reads.confirmed.extend(round.reads.into_iter().map(|read| (required_index, read)));
            }
        }
    }

    /// Resends the request of the current round to the members that have not confirmed it. If this member is the tail and had no
    /// certain commit index when the round started, the round starts again.
    pub(super) fn resend_overdue_confirmations(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let resend = self.settings.resend_interval;
        let local_id = self.local_id;
        let Some(round) = self.reads.round.as_mut() else { return };
        if round.sent_at + resend > now {
            return;
        }
        round.sent_at = now;
        if round.reads.is_empty() {
            self.reads.round = None;
        } else if round.unconfirmed.contains(&local_id) {
            self.reads.restart();
        } else {
            self.send_confirm_view(out);
        }
    }

    /// The time at which [`Replica::resend_overdue_confirmations`] is due or the next read expires.
    pub(super) fn reads_timer(&self) -> Option<Duration> {
        let resend_at = self.reads.round.as_ref().map(|round| round.sent_at + self.settings.resend_interval);
        let deadline = self.reads.next_deadline();
        resend_at.into_iter().chain(deadline).min()
    }
}
