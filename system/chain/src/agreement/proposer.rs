//! The proposer: decides when the chain has to change, and runs the two phases of the vote.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::value::{next_membership, Addition, Promise};
use super::{Agreement, AgreementAction, MemberStatus};
use crate::{AgreementMessage, ControlChainSettings, MemberId, Membership, ProposalNumber};

/// The phase of an attempt, with the responses so far.
#[derive(Clone, Debug)]
enum Phase {
    Preparing { promises: BTreeMap<MemberId, Promise>, majority_at: Option<Duration> },
    Accepting { value: Membership, accepts: BTreeSet<MemberId> },
}

/// One attempt to have the next membership decided.
#[derive(Clone, Debug)]
struct Attempt {
    proposal: ProposalNumber,
    phase: Phase,
    addition: Option<Addition>,
    started_at: Duration,
    sent_at: Duration,
}

/// The current attempt, and the state that determines when the next one may start.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposer {
    attempt: Option<Attempt>,
    /// Earliest start of the next attempt.
    backoff_until: Duration,
    /// Since when the chain has had to change; `None` if it does not have to.
    change_needed_since: Option<Duration>,
    /// The highest counter of a proposal number that this member has used or received in a rejection.
    highest_counter: u64,
    /// Number of attempts abandoned since the last change of the membership.
    failures: u32,
}

/// Maximum number of times that the time-out of an attempt is doubled after failures. Each phase waits for syncs of the voters'
/// disks, which may be slow.
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
    /// Starts an attempt if the chain has to change and it is this member's turn to propose. The first live member of the chain
    /// proposes at once; each later one waits longer by `retry_backoff` per live member before it.
    pub(super) fn propose_if_needed(
        &mut self,
        now: Duration,
        status: MemberStatus,
        out: &mut Vec<AgreementAction>,
    ) {
        let Some(membership) = self.membership.clone() else { return };
        let Some(position) = membership.chain.iter().position(|member| *member == self.local_id) else {
            return;
        };
        if self.proposer.attempt.is_some() || !status.disk_ready {
            return;
        }
        let has_suspect = membership.chain.iter().any(|member| self.is_suspect(now, *member));
        let sealed = membership.voters.iter().any(|voter| self.liveness.has_sealed(*voter, membership.epoch));
        if !has_suspect && !sealed && self.promised.is_none() {
            self.proposer.change_needed_since = None;
            return;
        }
        let needed_since = *self.proposer.change_needed_since.get_or_insert(now);
        let predecessors = &membership.chain[..position];
        let rank = predecessors.iter().filter(|member| !self.is_suspect(now, **member)).count() as u32;
        let due_at = (needed_since + self.settings.retry_backoff * rank).max(self.proposer.backoff_until);
        if due_at <= now && self.has_live_majority(now, &membership) {
            self.start_attempt(now, None, out);
        }
    }

    fn is_suspect(&self, now: Duration, member: MemberId) -> bool {
        member != self.local_id && !self.liveness.is_live(now, member, self.settings.suspect_timeout)
    }

    fn has_live_majority(&self, now: Duration, membership: &Membership) -> bool {
        let live = membership.voters.iter().filter(|voter| !self.is_suspect(now, **voter));
        live.count() >= membership.majority()
    }

    /// Handles the progress of a learner that follows this tail. Proposes to add it to the chain once its lag is small enough and
    /// it and all members of the chain receive each other's heartbeats.
    pub(crate) fn on_learner_progress(
        &mut self,
        now: Duration,
        member: MemberId,
        lag: u64,
        status: MemberStatus,
        out: &mut Vec<AgreementAction>,
    ) {
        let Some(membership) = self.membership.clone() else { return };
        let is_idle = self.proposer.attempt.is_none() && self.promised.is_none();
        let may_propose =
            is_idle && status.serving && status.disk_ready && self.proposer.backoff_until <= now;
        let is_within_max_lag = lag <= self.settings.learner_max_lag && !membership.chain.contains(&member);
        if !may_propose || !is_within_max_lag || !self.is_well_connected(now, member, &membership) {
            return;
        }
        if let Some(addition) = self.addition_for(now, member, &membership) {
            if self.has_live_majority(now, &membership) {
                self.start_attempt(now, Some(addition), out);
            }
        }
    }

    /// Whether a member and all members of the chain receive each other's heartbeats.
    fn is_well_connected(&self, now: Duration, member: MemberId, membership: &Membership) -> bool {
        let others = membership.chain.iter().filter(|other| **other != self.local_id);
        let mut chain = membership.chain.iter();
        !self.is_suspect(now, member)
            && self.liveness.epoch_of(member) == membership.epoch
            && others.clone().all(|other| !self.is_suspect(now, *other))
            && others.clone().all(|other| self.liveness.reports_live(*other, member))
            && chain.all(|other| self.liveness.reports_live(member, *other))
    }

    /// The addition of a member to the chain. A member that is not a voter becomes one: as a further voter while there are fewer
    /// than `target_voters`, otherwise in place of a lost voter outside the chain. `None` if it can become neither.
    fn addition_for(&self, now: Duration, member: MemberId, membership: &Membership) -> Option<Addition> {
        if membership.is_voter(member) || membership.voters.len() < self.settings.target_voters {
            return Some(Addition { member, replaces: None });
        }
        let is_replaceable =
            |voter: &&MemberId| !membership.chain.contains(voter) && self.is_lost(now, **voter, membership);
        let replaces = membership.voters.iter().find(is_replaceable).copied();
        replaces.map(|_| Addition { member, replaces })
    }

    /// Whether a voter has been replaced by another identity, or is unreachable: this member has received no heartbeat of it for
    /// [`ControlChainSettings::replace_after`], and no other member of the chain reports it as live.
    fn is_lost(&self, now: Duration, voter: MemberId, membership: &Membership) -> bool {
        let mut others = membership.chain.iter().filter(|other| **other != self.local_id);
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

    /// Sends the message of the current phase to the voters that have not responded.
    fn send_phase_messages(&self, out: &mut Vec<AgreementAction>) {
        let (Some(membership), Some(attempt)) = (&self.membership, &self.proposer.attempt) else { return };
        let proposal = attempt.proposal;
        for voter in &membership.voters {
            let message = match &attempt.phase {
                Phase::Preparing { promises, .. } if !promises.contains_key(voter) => {
                    AgreementMessage::Prepare { epoch: membership.epoch + 1, proposal }
                }
                Phase::Accepting { value, accepts } if !accepts.contains(voter) => {
                    AgreementMessage::Accept { proposal, membership: value.clone() }
                }
                _ => continue,
            };
            out.push(AgreementAction::Send { to: *voter, message });
        }
    }

    /// Records a voter's promise. Returns whether it belongs to the current attempt.
    pub(super) fn record_promise(
        &mut self,
        now: Duration,
        from: MemberId,
        epoch: u64,
        proposal: ProposalNumber,
        promise: Promise,
    ) -> bool {
        let Some(membership) = &self.membership else { return false };
        let (is_voter, majority) = (membership.is_voter(from), membership.majority());
        if epoch != membership.epoch + 1 || !is_voter {
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

    /// Starts the second phase once all live voters have promised, or a majority has promised and the grace period for the others
    /// has elapsed. A value that a voter has already accepted takes precedence: of several, the one with the highest proposal
    /// number.
    pub(super) fn try_accept(&mut self, now: Duration, status: MemberStatus, out: &mut Vec<AgreementAction>) {
        let (Some(membership), Some(attempt)) = (&self.membership, &self.proposer.attempt) else { return };
        let Phase::Preparing { promises, majority_at: Some(majority_at) } = &attempt.phase else { return };
        let have_all_promised = membership
            .voters
            .iter()
            .all(|voter| promises.contains_key(voter) || self.is_suspect(now, *voter));
        if !have_all_promised && *majority_at + self.settings.promise_grace_period > now {
            return;
        }
        let is_excluded = |member: MemberId| {
            self.is_suspect(now, member) || (member == self.local_id && !status.disk_ready)
        };
        let accepted = promises.values().filter_map(|promise| promise.accepted.clone());
        let value = match accepted.max_by_key(|(proposal, _)| *proposal) {
            Some((_, value)) => Some(value),
            None => next_membership(membership, promises, is_excluded, attempt.addition),
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
        let Some(membership) = self.membership.clone() else { return };
        if epoch != membership.epoch + 1 || !membership.is_voter(from) {
            return;
        }
        let Some(attempt) = self.proposer.attempt.as_mut().filter(|attempt| attempt.proposal == proposal)
        else {
            return;
        };
        let Phase::Accepting { value, accepts } = &mut attempt.phase else { return };
        accepts.insert(from);
        if accepts.len() >= membership.majority() {
            let value = value.clone();
            self.learn_membership(now, value.clone(), out);
            self.broadcast(membership, value, out);
        }
    }

    /// Sends a decided membership to all voters of the previous and of the decided membership.
    fn broadcast(&self, previous: Membership, next: Membership, out: &mut Vec<AgreementAction>) {
        let mut receivers: BTreeSet<MemberId> = previous.voters.into_iter().collect();
        receivers.extend(next.voters.iter().copied());
        receivers.remove(&self.local_id);
        for to in receivers {
            let message = AgreementMessage::MembershipDecided { membership: next.clone() };
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

    /// Delays the next attempt of this member, so that the attempt of another proposer can complete.
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
