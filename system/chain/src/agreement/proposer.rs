//! The proposer's part: when the chain is to change, and the two phases of the vote on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::value::{next_membership, Addition, Promise};
use super::{Agreement, AgreementAction, MemberStatus};
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

/// The current attempt, and when the next one may start.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposer {
    attempt: Option<Attempt>,
    /// No attempt starts before this.
    backoff_until: Duration,
    /// Since when something has to change.
    change_needed_since: Option<Duration>,
    highest_counter: u64,
    /// Attempts abandoned since the last change of the view.
    failures: u32,
}

/// How many times the time-out of an attempt is doubled at most: disks may be slow.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

impl Proposer {
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    fn attempt_timeout(&self, settings: &ControlChainSettings) -> Duration {
        settings.attempt_timeout * (1 << self.failures.min(MAX_TIMEOUT_DOUBLINGS))
    }

    pub(super) fn next_timer(&self, settings: &ControlChainSettings) -> Option<Duration> {
        let attempt = self.attempt.as_ref()?;
        let abandon_at = attempt.started_at + self.attempt_timeout(settings);
        let mut at = (attempt.sent_at + settings.heartbeat_interval).min(abandon_at);
        if let Phase::Preparing { majority_at: Some(majority_at), .. } = attempt.phase {
            at = at.min(majority_at + settings.promise_grace_period);
        }
        Some(at)
    }
}

impl Agreement {
    /// Starts an attempt where the chain has to change and this member is the one to propose it.
    pub(super) fn propose_if_needed(
        &mut self,
        now: Duration,
        status: MemberStatus,
        out: &mut Vec<AgreementAction>,
    ) {
        let Some(members) = self.members.clone() else { return };
        let Some(position) = members.chain.iter().position(|member| *member == self.local_id) else { return };
        if self.proposer.attempt.is_some() || !status.disk_ready {
            return;
        }
        let has_suspect = members.chain.iter().any(|member| self.is_suspect(now, *member));
        let sealed = members.voters.iter().any(|voter| self.liveness.has_sealed(*voter, members.epoch));
        if !has_suspect && !sealed && self.promised.is_none() {
            self.proposer.change_needed_since = None;
            return;
        }
        let needed_since = *self.proposer.change_needed_since.get_or_insert(now);
        let predecessors = &members.chain[..position];
        let rank = predecessors.iter().filter(|member| !self.is_suspect(now, **member)).count() as u32;
        let due_at = (needed_since + self.settings.retry_backoff * rank).max(self.proposer.backoff_until);
        if due_at <= now && self.has_live_majority(now, &members) {
            self.start_attempt(now, None, out);
        }
    }

    fn is_suspect(&self, now: Duration, member: MemberId) -> bool {
        member != self.local_id && !self.liveness.is_live(now, member, self.settings.suspect_timeout)
    }

    fn has_live_majority(&self, now: Duration, members: &Membership) -> bool {
        let live = members.voters.iter().filter(|voter| !self.is_suspect(now, **voter));
        live.count() >= members.majority()
    }

    /// A member outside the chain follows this tail: adds it to the chain once it is near enough and all in the chain hear it.
    pub(crate) fn on_learner_progress(
        &mut self,
        now: Duration,
        member: MemberId,
        lag: u64,
        status: MemberStatus,
        out: &mut Vec<AgreementAction>,
    ) {
        let Some(members) = self.members.clone() else { return };
        let is_idle = self.proposer.attempt.is_none() && self.promised.is_none();
        let may_propose =
            is_idle && status.serving && status.disk_ready && self.proposer.backoff_until <= now;
        let is_near = lag <= self.settings.learner_max_lag && !members.chain.contains(&member);
        if !may_propose || !is_near || !self.is_well_connected(now, member, &members) {
            return;
        }
        if let Some(addition) = self.addition_for(now, member, &members) {
            if self.has_live_majority(now, &members) {
                self.start_attempt(now, Some(addition), out);
            }
        }
    }

    /// Whether a member and all members of the chain hear each other.
    fn is_well_connected(&self, now: Duration, member: MemberId, members: &Membership) -> bool {
        let others = members.chain.iter().filter(|other| **other != self.local_id);
        let mut chain = members.chain.iter();
        !self.is_suspect(now, member)
            && self.liveness.epoch_of(member) == members.epoch
            && others.clone().all(|other| !self.is_suspect(now, *other))
            && others.clone().all(|other| self.liveness.reports_live(*other, member))
            && chain.all(|other| self.liveness.reports_live(member, *other))
    }

    fn addition_for(&self, now: Duration, member: MemberId, members: &Membership) -> Option<Addition> {
        if members.is_voter(member) || members.voters.len() < self.settings.target_voters {
            return Some(Addition { member, replaces: None });
        }
        let is_replaceable =
            |voter: &&MemberId| !members.chain.contains(voter) && self.is_lost(now, **voter, members);
        let replaces = members.voters.iter().find(is_replaceable).copied();
        replaces.map(|_| Addition { member, replaces })
    }

    /// Whether a voter was replaced, or no member of the chain has heard of it for [`ControlChainSettings::replace_after`].
    fn is_lost(&self, now: Duration, voter: MemberId, members: &Membership) -> bool {
        let mut others = members.chain.iter().filter(|other| **other != self.local_id);
        let is_unreachable = voter != self.local_id
            && !self.liveness.is_reachable(now, voter, self.settings.replace_after)
            && others.all(|other| !self.liveness.reports_live(*other, voter));
        is_unreachable || self.liveness.is_replaced(voter)
    }

    fn start_attempt(&mut self, now: Duration, addition: Option<Addition>, out: &mut Vec<AgreementAction>) {
        let highest_seen =
            self.promised.map_or(0, |proposal| proposal.counter).max(self.proposer.highest_counter);
        let proposal = ProposalNumber { counter: highest_seen + 1, proposer: self.local_id.0 };
        self.proposer.highest_counter = proposal.counter;
        let phase = Phase::Preparing { promises: BTreeMap::new(), majority_at: None };
        self.proposer.attempt = Some(Attempt { proposal, phase, addition, started_at: now, sent_at: now });
        self.send_phase_messages(out);
    }

    /// Sends the message of the current phase to the voters that haven't replied.
    fn send_phase_messages(&self, out: &mut Vec<AgreementAction>) {
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

    /// Records a voter's promise; returns whether it belongs to the current attempt.
    pub(super) fn record_promise(
        &mut self,
        now: Duration,
        from: MemberId,
        epoch: u64,
        proposal: ProposalNumber,
        promise: Promise,
    ) -> bool {
        let Some(members) = &self.members else { return false };
        let (is_voter, majority) = (members.is_voter(from), members.majority());
        if epoch != members.epoch + 1 || !is_voter {
            return false;
        }
        let Some(attempt) = self.proposer.attempt.as_mut().filter(|attempt| attempt.proposal == proposal)
        else {
            return false;
        };
        if let Phase::Preparing { promises, majority_at } = &mut attempt.phase {
            promises.insert(from, promise);
            if promises.len() >= majority {
                majority_at.get_or_insert(now);
            }
        }
        true
    }

    /// Begins the second phase once all live voters have promised, or a majority has and the grace period for the rest is over.
    pub(super) fn try_accept(&mut self, now: Duration, status: MemberStatus, out: &mut Vec<AgreementAction>) {
        let (Some(members), Some(attempt)) = (&self.members, &self.proposer.attempt) else { return };
        let Phase::Preparing { promises, majority_at: Some(majority_at) } = &attempt.phase else { return };
        let have_all_promised =
            members.voters.iter().all(|voter| promises.contains_key(voter) || self.is_suspect(now, *voter));
        if !have_all_promised && *majority_at + self.settings.promise_grace_period > now {
            return;
        }
        let is_left_out = |member: MemberId| {
            self.is_suspect(now, member) || (member == self.local_id && !status.disk_ready)
        };
        let accepted = promises.values().filter_map(|promise| promise.accepted.clone());
        let value = match accepted.max_by_key(|(proposal, _)| *proposal) {
            Some((_, value)) => Some(value),
            None => next_membership(members, promises, is_left_out, attempt.addition),
        };
        let Some(value) = value else { return };
        if let Some(attempt) = self.proposer.attempt.as_mut() {
            attempt.phase = Phase::Accepting { value, accepts: BTreeSet::new() };
            attempt.sent_at = now;
        }
        self.send_phase_messages(out);
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
            self.learn_membership(now, value.clone(), out);
            self.broadcast(members, value, out);
        }
    }

    fn broadcast(&self, previous: Membership, next: Membership, out: &mut Vec<AgreementAction>) {
        let mut receivers: BTreeSet<MemberId> = previous.voters.into_iter().collect();
        receivers.extend(next.voters.iter().copied());
        receivers.remove(&self.local_id);
        for to in receivers {
            let message = AgreementMessage::MembershipDecided { members: next.clone() };
            out.push(AgreementAction::Send { to, message });
        }
    }

    pub(super) fn on_rejected(&mut self, now: Duration, epoch: u64, promised: ProposalNumber) {
        if epoch != self.epoch() + 1 {
            return;
        }
        self.proposer.highest_counter = self.proposer.highest_counter.max(promised.counter);
        if self.proposer.attempt.as_ref().is_some_and(|attempt| attempt.proposal < promised) {
            self.abandon_attempt(now);
        }
    }

    /// Another member is changing the view: lets it finish.
    pub(super) fn defer_to(&mut self, now: Duration, proposer: MemberId) {
        if proposer != self.local_id {
            self.proposer.backoff_until =
                self.proposer.backoff_until.max(now + self.settings.attempt_timeout / 2);
        }
    }

    fn abandon_attempt(&mut self, now: Duration) {
        self.proposer.attempt = None;
        self.proposer.failures += 1;
        let retry = self.settings.retry_backoff;
        self.proposer.backoff_until = now + retry + retry.mul_f64(2.0 * self.rng.f64());
    }

    pub(super) fn on_proposer_timer(
        &mut self,
        now: Duration,
        status: MemberStatus,
        out: &mut Vec<AgreementAction>,
    ) {
        let timeout = self.proposer.attempt_timeout(&self.settings);
        let Some(attempt) = &mut self.proposer.attempt else { return };
        if attempt.started_at + timeout <= now {
            self.abandon_attempt(now);
            return;
        }
        if attempt.sent_at + self.settings.heartbeat_interval <= now {
            attempt.sent_at = now;
            self.send_phase_messages(out);
        }
        self.try_accept(now, status, out);
    }
}
