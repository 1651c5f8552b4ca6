//! The proposer's part: when the chain is to change, and the two rounds of the vote on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::value::{next_members, Addition, Promise};
use super::{Agreement, AgreementAction, Status};
use crate::{AgreementMessage, ControlChainSettings, MemberId, Membership, ProposalNumber};

#[derive(Clone, Debug)]
enum Phase {
    Preparing { promises: BTreeMap<MemberId, Promise>, majority_at: Option<Duration> },
    Accepting { value: Membership, accepts: BTreeSet<MemberId> },
}

#[derive(Clone, Debug)]
struct Attempt {
    proposal: ProposalNumber,
    phase: Phase,
    addition: Option<Addition>,
    started_at: Duration,
    sent_at: Duration,
}

/// The attempt under way, and when the next one may start.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposer {
    attempt: Option<Attempt>,
    /// Not before this time.
    pause_until: Duration,
    /// Since when something has to change.
    wanted_since: Option<Duration>,
    highest_counter: u64,
    /// Attempts given up since the last change of the view.
    failures: u32,
}

/// How many times the time of an attempt is doubled at most: disks may be slow.
const MOST_DOUBLINGS: u32 = 2;

impl Proposer {
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn attempt_span(&self, settings: &ControlChainSettings) -> Duration {
        settings.attempt_timeout * (1 << self.failures.min(MOST_DOUBLINGS))
    }

    pub fn next_timer(&self, settings: &ControlChainSettings) -> Option<Duration> {
        let attempt = self.attempt.as_ref()?;
        let given_up_at = attempt.started_at + self.attempt_span(settings);
        let mut at = (attempt.sent_at + settings.heartbeat_interval).min(given_up_at);
        if let Phase::Preparing { majority_at: Some(majority_at), .. } = attempt.phase {
            at = at.min(majority_at + settings.promise_grace_period);
        }
        Some(at)
    }
}

impl Agreement {
    /// Starts an attempt where the chain has to change and this member is the one to propose it.
    pub(super) fn consider(&mut self, now: Duration, status: Status, out: &mut Vec<AgreementAction>) {
        let Some(members) = self.members.clone() else { return };
        let Some(position) = members.chain.iter().position(|member| *member == self.me) else { return };
        if self.proposer.attempt.is_some() || !status.disk_ready {
            return;
        }
        let suspects = members.chain.iter().any(|member| self.is_suspect(now, *member));
        let sealed = members.voters.iter().any(|voter| self.liveness.is_sealed(*voter, members.epoch));
        if !suspects && !sealed && self.promised.is_none() {
            self.proposer.wanted_since = None;
            return;
        }
        let since = *self.proposer.wanted_since.get_or_insert(now);
        let before = &members.chain[..position];
        let rank = before.iter().filter(|member| !self.is_suspect(now, **member)).count() as u32;
        let due = (since + self.settings.retry_backoff * rank).max(self.proposer.pause_until);
        if due <= now && self.hears_majority(now, &members) {
            self.start_attempt(now, None, out);
        }
    }

    fn is_suspect(&self, now: Duration, member: MemberId) -> bool {
        member != self.me && !self.liveness.is_live(now, member, self.settings.suspect_timeout)
    }

    fn hears_majority(&self, now: Duration, members: &Membership) -> bool {
        let live = members.voters.iter().filter(|voter| !self.is_suspect(now, **voter));
        live.count() >= members.majority()
    }

    /// A member outside the chain has caught up with this tail: takes it in, if all in the chain hear it.
    pub fn caught_up(
        &mut self,
        now: Duration,
        member: MemberId,
        behind: u64,
        status: Status,
        out: &mut Vec<AgreementAction>,
    ) {
        let Some(members) = self.members.clone() else { return };
        let idle = self.proposer.attempt.is_none() && self.promised.is_none();
        let may = idle && status.serving && status.disk_ready && self.proposer.pause_until <= now;
        let near = behind <= self.settings.learner_max_lag && !members.chain.contains(&member);
        if !may || !near || !self.is_well_connected(now, member, &members) {
            return;
        }
        if let Some(addition) = self.place_for(now, member, &members) {
            if self.hears_majority(now, &members) {
                self.start_attempt(now, Some(addition), out);
            }
        }
    }

    /// Whether a member and all members of the chain hear each other.
    fn is_well_connected(&self, now: Duration, member: MemberId, members: &Membership) -> bool {
        let others = members.chain.iter().filter(|other| **other != self.me);
        let mut chain = members.chain.iter();
        !self.is_suspect(now, member)
            && self.liveness.epoch_of(member) == members.epoch
            && others.clone().all(|other| !self.is_suspect(now, *other))
            && others.clone().all(|other| self.liveness.hears_other(*other, member))
            && chain.all(|other| self.liveness.hears_other(member, *other))
    }

    fn place_for(&self, now: Duration, member: MemberId, members: &Membership) -> Option<Addition> {
        if members.is_voter(member) || members.voters.len() < self.settings.target_voters {
            return Some(Addition { member, replaces: None });
        }
        let free = |voter: &&MemberId| !members.chain.contains(voter) && self.is_lost(now, **voter, members);
        let replaces = members.voters.iter().find(free).copied();
        replaces.map(|_| Addition { member, replaces })
    }

    /// Whether a voter is gone for good, or nobody in the chain has heard of it for long.
    fn is_lost(&self, now: Duration, voter: MemberId, members: &Membership) -> bool {
        let mut others = members.chain.iter().filter(|other| **other != self.me);
        let unheard = voter != self.me
            && !self.liveness.is_heard(now, voter, self.settings.replace_after)
            && others.all(|other| !self.liveness.hears_other(*other, voter));
        unheard || self.liveness.is_gone(voter)
    }

    fn start_attempt(&mut self, now: Duration, addition: Option<Addition>, out: &mut Vec<AgreementAction>) {
        let seen = self.promised.map_or(0, |proposal| proposal.counter).max(self.proposer.highest_counter);
        let proposal = ProposalNumber { counter: seen + 1, proposer: self.me.0 };
        self.proposer.highest_counter = proposal.counter;
        let phase = Phase::Preparing { promises: BTreeMap::new(), majority_at: None };
        self.proposer.attempt = Some(Attempt { proposal, phase, addition, started_at: now, sent_at: now });
        self.send_round(out);
    }

    /// Sends the round's message to the voters that haven't answered.
    fn send_round(&self, out: &mut Vec<AgreementAction>) {
        let (Some(members), Some(attempt)) = (&self.members, &self.proposer.attempt) else { return };
        let proposal = attempt.proposal;
        for voter in &members.voters {
            let message = match &attempt.phase {
                Phase::Preparing { promises, .. } if !promises.contains_key(voter) => {
                    AgreementMessage::Prepare { epoch: members.epoch + 1, proposal }
                }
                Phase::Accepting { value, accepts } if !accepts.contains(voter) => {
                    AgreementMessage::Accept { proposal, members: value.clone() }
                }
                _ => continue,
            };
            out.push(AgreementAction::Send { to: *voter, message });
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_promise(
        &mut self,
        now: Duration,
        from: MemberId,
        epoch: u64,
        proposal: ProposalNumber,
        promise: Promise,
        status: Status,
        out: &mut Vec<AgreementAction>,
    ) {
        let Some(members) = &self.members else { return };
        let (is_voter, majority) = (members.is_voter(from), members.majority());
        if epoch != members.epoch + 1 || !is_voter {
            return;
        }
        let Some(attempt) = self.proposer.attempt.as_mut().filter(|attempt| attempt.proposal == proposal)
        else {
            return;
        };
        if let Phase::Preparing { promises, majority_at } = &mut attempt.phase {
            promises.insert(from, promise);
            if promises.len() >= majority {
                majority_at.get_or_insert(now);
            }
        }
        self.try_accept(now, status, out);
    }

    /// Goes on to the second round once a majority and all others that live have promised, or have had their time.
    fn try_accept(&mut self, now: Duration, status: Status, out: &mut Vec<AgreementAction>) {
        let (Some(members), Some(attempt)) = (&self.members, &self.proposer.attempt) else { return };
        let Phase::Preparing { promises, majority_at: Some(majority_at) } = &attempt.phase else { return };
        let all =
            members.voters.iter().all(|voter| promises.contains_key(voter) || self.is_suspect(now, *voter));
        if !all && *majority_at + self.settings.promise_grace_period > now {
            return;
        }
        let left_out =
            |member: MemberId| self.is_suspect(now, member) || (member == self.me && !status.disk_ready);
        let accepted = promises.values().filter_map(|promise| promise.accepted.clone());
        let value = match accepted.max_by_key(|(proposal, _)| *proposal) {
            Some((_, value)) => Some(value),
            None => next_members(members, promises, left_out, attempt.addition),
        };
        let Some(value) = value else { return };
        if let Some(attempt) = self.proposer.attempt.as_mut() {
            attempt.phase = Phase::Accepting { value, accepts: BTreeSet::new() };
            attempt.sent_at = now;
        }
        self.send_round(out);
    }

    pub(super) fn on_accepted(
        &mut self,
        now: Duration,
        from: MemberId,
        epoch: u64,
        proposal: ProposalNumber,
        out: &mut Vec<AgreementAction>,
    ) {
        let Some(members) = self.members.clone() else { return };
        if epoch != members.epoch + 1 || !members.is_voter(from) {
            return;
        }
        let Some(attempt) = self.proposer.attempt.as_mut().filter(|attempt| attempt.proposal == proposal)
        else {
            return;
        };
        let Phase::Accepting { value, accepts } = &mut attempt.phase else { return };
        accepts.insert(from);
        if accepts.len() >= members.majority() {
            let value = value.clone();
            self.learn(now, value.clone(), out);
            self.broadcast(members, value, out);
        }
    }

    fn broadcast(&self, before: Membership, after: Membership, out: &mut Vec<AgreementAction>) {
        let mut receivers: BTreeSet<MemberId> = before.voters.into_iter().collect();
        receivers.extend(after.voters.iter().copied());
        receivers.remove(&self.me);
        for to in receivers {
            let message = AgreementMessage::MembershipDecided { members: after.clone() };
            out.push(AgreementAction::Send { to, message });
        }
    }

    pub(super) fn on_rejected(&mut self, now: Duration, epoch: u64, promised: ProposalNumber) {
        if epoch != self.epoch() + 1 {
            return;
        }
        self.proposer.highest_counter = self.proposer.highest_counter.max(promised.counter);
        if self.proposer.attempt.as_ref().is_some_and(|attempt| attempt.proposal < promised) {
            self.give_up(now);
        }
    }

    /// Somebody else is changing the view: gives it time.
    pub(super) fn make_way(&mut self, now: Duration, proposer: MemberId) {
        if proposer != self.me {
            self.proposer.pause_until =
                self.proposer.pause_until.max(now + self.settings.attempt_timeout / 2);
        }
    }

    fn give_up(&mut self, now: Duration) {
        self.proposer.attempt = None;
        self.proposer.failures += 1;
        let retry = self.settings.retry_backoff;
        self.proposer.pause_until = now + retry + retry.mul_f64(2.0 * self.rng.f64());
    }

    pub(super) fn proposer_tick(&mut self, now: Duration, status: Status, out: &mut Vec<AgreementAction>) {
        let span = self.proposer.attempt_span(&self.settings);
        let Some(attempt) = &mut self.proposer.attempt else { return };
        if attempt.started_at + span <= now {
            self.give_up(now);
            return;
        }
        if attempt.sent_at + self.settings.heartbeat_interval <= now {
            attempt.sent_at = now;
            self.send_round(out);
        }
        self.try_accept(now, status, out);
    }
}
