//! Reads through the whole chain: after each member of the view's chain has confirmed that the view is still in force,
//! what the tail had committed is everything that was acknowledged before the read was asked.

use std::time::Duration;

use super::{Replica, ReplicaAction};
use crate::{MemberId, ReplicaMessage};

#[derive(Clone, Debug)]
struct Waiting {
    token: u64,
    deadline: Duration,
}

/// One question to the chain, for all the reads that were asked before it.
#[derive(Clone, Debug)]
struct Round {
    number: u64,
    reads: Vec<Waiting>,
    missing: Vec<MemberId>,
    required: u64,
    asked_at: Duration,
}

/// The reads that wait: for the next round, in the round under way, and for the state here to be new enough.
#[derive(Clone, Debug)]
pub(super) struct Reads {
    number: u64,
    queued: Vec<Waiting>,
    round: Option<Round>,
    confirmed: Vec<(u64, Waiting)>,
}

impl Reads {
    /// Rounds start at a number that no earlier life has used, so that no late answer is taken for a new one.
    pub fn new(seed: u64) -> Self {
        let number = fastrand::Rng::with_seed(seed).u64(..) >> 1;
        Self { number, queued: Vec::new(), round: None, confirmed: Vec::new() }
    }

    /// Another view is in force: the round under way starts again in it.
    pub fn restart(&mut self) {
        if let Some(round) = self.round.take() {
            self.queued.extend(round.reads);
        }
    }

    fn len(&self) -> usize {
        self.queued.len() + self.confirmed.len() + self.round.as_ref().map_or(0, |round| round.reads.len())
    }

    fn expire(&mut self, now: Duration) -> Vec<u64> {
        let expired = |read: &Waiting| read.deadline <= now;
        let mut late = take_where(&mut self.queued, expired);
        if let Some(round) = &mut self.round {
            late.extend(take_where(&mut round.reads, expired));
        }
        late.extend(
            take_where(&mut self.confirmed, |(_, read)| expired(read)).into_iter().map(|(_, read)| read),
        );
        late.into_iter().map(|read| read.token).collect()
    }

    fn next_deadline(&self) -> Option<Duration> {
        let round = self.round.iter().flat_map(|round| &round.reads);
        let confirmed = self.confirmed.iter().map(|(_, read)| read);
        self.queued.iter().chain(round).chain(confirmed).map(|read| read.deadline).min()
    }
}

/// Takes out what a test holds for, in order.
fn take_where<T>(list: &mut Vec<T>, test: impl Fn(&T) -> bool) -> Vec<T> {
    let (taken, left) = std::mem::take(list).into_iter().partition(test);
    *list = left;
    taken
}

impl Replica {
    pub(super) fn on_read(&mut self, now: Duration, token: u64, out: &mut Vec<ReplicaAction>) {
        if self.reads.len() >= self.settings.max_reads {
            out.push(ReplicaAction::ReadFailed { token });
            return;
        }
        self.reads.queued.push(Waiting { token, deadline: now + self.settings.read_timeout });
    }

    /// Up to where everything that was ever acknowledged is committed: known to the tail alone.
    pub(super) fn certain_commit(&mut self) -> Option<u64> {
        if !self.is_serving() || !self.is_tail() {
            return None;
        }
        self.commit_as_tail();
        let complete = self.log.commit_index() == self.log.last_index();
        (self.commits() || complete).then(|| self.log.commit_index())
    }

    pub(super) fn on_probe(&mut self, from: MemberId, round: u64, out: &mut Vec<ReplicaAction>) {
        if !self.in_chain() {
            return;
        }
        let commit_index = self.certain_commit();
        let message = ReplicaMessage::ViewConfirmed { epoch: self.epoch(), round, commit_index };
        out.push(ReplicaAction::Send { to: from, message });
    }

    pub(super) fn on_confirm(&mut self, from: MemberId, number: u64, commit_index: Option<u64>) {
        let tail = self.view.as_ref().and_then(|view| view.tail());
        let Some(round) = self.reads.round.as_mut().filter(|round| round.number == number) else { return };
        if tail == Some(from) {
            let Some(commit_index) = commit_index else { return };
            round.required = round.required.max(commit_index);
        }
        round.missing.retain(|member| *member != from);
    }

    /// Starts the next round, and ends what can be ended.
    pub(super) fn finish_reads(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.end_round();
        if self.reads.round.is_none() && !self.reads.queued.is_empty() {
            self.start_round(now, out);
            self.end_round();
        }
        let applied_index = self.log.applied_index();
        for (_, read) in take_where(&mut self.reads.confirmed, |(required, _)| *required <= applied_index) {
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
        let certain = self.certain_commit();
        let Some(view) = &self.view else { return };
        let myself_certain = !self.is_tail() || certain.is_some();
        let missing: Vec<_> =
            view.chain.iter().copied().filter(|member| *member != self.me || !myself_certain).collect();
        self.reads.number += 1;
        self.reads.round = Some(Round {
            number: self.reads.number,
            reads: std::mem::take(&mut self.reads.queued),
            missing,
            required: certain.unwrap_or(0),
            asked_at: now,
        });
        self.send_probes(out);
    }

    fn send_probes(&mut self, out: &mut Vec<ReplicaAction>) {
        let Some(round) = &self.reads.round else { return };
        let message = ReplicaMessage::ConfirmView { epoch: self.epoch(), round: round.number };
        for member in round.missing.iter().filter(|member| **member != self.me) {
            out.push(ReplicaAction::Send { to: *member, message: message.clone() });
        }
    }

    fn end_round(&mut self) {
        if !self.is_active() {
            return;
        }
        if self.reads.round.as_ref().is_some_and(|round| round.missing.is_empty()) {
            if let Some(round) = self.reads.round.take() {
                let required = round.required;
                self.reads.confirmed.extend(round.reads.into_iter().map(|read| (required, read)));
            }
        }
    }

    /// Asks again those that haven't answered; a tail that wasn't certain looks at itself again.
    pub(super) fn reads_tick(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let resend = self.settings.resend_interval;
        let me = self.me;
        let Some(round) = self.reads.round.as_mut() else { return };
        if round.asked_at + resend > now {
            return;
        }
        round.asked_at = now;
        if round.reads.is_empty() {
            self.reads.round = None;
        } else if round.missing.contains(&me) {
            self.reads.restart();
        } else {
            self.send_probes(out);
        }
    }

    pub(super) fn reads_timer(&self) -> Option<Duration> {
        let again = self.reads.round.as_ref().map(|round| round.asked_at + self.settings.resend_interval);
        let deadline = self.reads.next_deadline();
        again.into_iter().chain(deadline).min()
    }
}
