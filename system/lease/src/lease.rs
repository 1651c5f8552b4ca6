//! The lease of one process: when it requests, renews and releases it.

use std::time::Duration;

use crate::candidate::Candidate;
use crate::voter::{Request, Voter};
use crate::{LeaseAction, LeaseEvent, LeaseMessage, LeaseSettings, VoterId};

/// Position of the epoch in a generation: the bits from this one on hold the epoch in which the generation was requested.
const EPOCH_SHIFT: u32 = 32;

/// Number of additional staggers by which all other candidates are delayed behind the preferred one, since it may have started
/// slightly later.
const PREFERRED_CANDIDATE_LEAD: u32 = 2;

/// The state of one process, as a voter and as a candidate.
#[derive(Clone, Debug)]
pub struct Lease {
    local_id: VoterId,
    settings: LeaseSettings,
    rng: fastrand::Rng,
    /// The epoch of `voters`.
    epoch: u64,
    voters: Vec<VoterId>,
    /// The processes that may hold the lease, the preferred one first.
    candidate_order: Vec<VoterId>,
    voter: Voter,
    candidate: Candidate,
    is_started: bool,
    /// Whether no voter can have granted the lease before this process started.
    is_founding: bool,
}

impl Lease {
    /// Creates the state of a process that has just started. The seed must differ from one start to the next.
    #[must_use]
    pub fn new(local_id: VoterId, settings: LeaseSettings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Attempts are numbered from a random number on: responses to attempts of an earlier incarnation must not count for this
        // one.
        let candidate = Candidate { last_attempt: rng.u64(..) >> 1, ..Candidate::default() };
        Self {
            local_id,
            settings,
            rng,
            epoch: 0,
            voters: Vec::new(),
            candidate_order: Vec::new(),
            voter: Voter::default(),
            candidate,
            is_started: false,
            is_founding: false,
        }
    }

    /// Whether the lease is held now. The host must check this immediately before each action that requires the lease.
    #[must_use]
    pub fn is_held(&self, now: Duration) -> bool {
        self.candidate.is_held(now)
    }

    /// The time at which the lease expires, if it is held.
    #[must_use]
    pub fn held_until(&self, now: Duration) -> Option<Duration> {
        self.candidate.held_until.filter(|held_until| now < *held_until)
    }

    /// The generation that was held or requested last.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.candidate.generation
    }

    /// The time at which [`LeaseEvent::TimerExpired`] is due next; `None` if no timer is running.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        if !self.is_started || self.voters.is_empty() {
            return None;
        }
        let timeout =
            self.candidate.attempt.as_ref().map(|attempt| attempt.sent_at + self.settings.attempt_timeout);
        let next_attempt = (self.is_candidate() && self.candidate.attempt.is_none())
            .then_some(self.candidate.next_attempt_at);
        [timeout, next_attempt, self.candidate.held_until].into_iter().flatten().min()
    }

    /// Handles an event, and appends the actions that follow.
    pub fn handle(&mut self, now: Duration, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        self.check_expiry(now, out);
        match event {
            LeaseEvent::Started { is_founding } => self.on_started(now, is_founding),
            LeaseEvent::Voters { epoch, voters } => self.on_voters(now, epoch, voters),
            LeaseEvent::Sealed { epoch } => self.voter.seal(epoch),
            LeaseEvent::Candidates { order } => self.on_candidates(now, order, out),
            LeaseEvent::Message { from, message } => self.on_message(now, from, message, out),
            LeaseEvent::Release => self.on_release(now, out),
            LeaseEvent::TimerExpired => self.on_timer_expired(now, out),
        }
    }

    fn is_candidate(&self) -> bool {
        self.candidate_order.contains(&self.local_id)
    }

    /// Number of staggers for which this candidate waits before it requests the lease: 0 for the preferred one.
    fn rank(&self) -> u32 {
        match self.candidate_order.iter().position(|candidate| *candidate == self.local_id) {
            None | Some(0) => 0,
            Some(position) => PREFERRED_CANDIDATE_LEAD + position as u32,
        }
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn on_started(&mut self, now: Duration, is_founding: bool) {
        self.is_started = true;
        self.is_founding = is_founding;
        self.candidate.next_attempt_at = now + self.settings.candidate_stagger * self.rank();
    }

    /// Adopts the voters of a newer epoch. If they differ, or may have differed in an epoch in between, a majority of the old
    /// voters and a majority of the new ones need not overlap; this voter then waits until all old grants have expired. It also
    /// waits after a start, because it has no record of the grants of an earlier incarnation.
    fn on_voters(&mut self, now: Duration, epoch: u64, mut voters: Vec<VoterId>) {
        if epoch <= self.epoch {
            return;
        }
        voters.sort();
        let is_first = self.epoch == 0;
        let is_same = self.epoch + 1 == epoch && self.voters == voters;
        let has_no_grants = is_first && self.is_founding;
        if !is_same && !has_no_grants {
            self.voter.wait_out_unknown_grants(now, &self.settings);
        }
        if !is_same {
            self.candidate.attempt = None;
        }
        self.epoch = epoch;
        self.voters = voters;
    }

    fn on_candidates(&mut self, now: Duration, order: Vec<VoterId>, out: &mut Vec<LeaseAction>) {
        let rank_before = self.rank();
        let was_candidate = self.is_candidate();
        self.candidate_order = order;
        if !self.is_candidate() {
            self.step_down(out);
        } else if !was_candidate || self.rank() != rank_before {
            self.candidate.next_attempt_at =
                self.candidate.next_attempt_at.max(now + self.settings.candidate_stagger * self.rank());
        }
    }

    fn on_release(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        self.step_down(out);
        self.candidate.next_attempt_at = now + self.settings.grant_duration;
    }

    /// Ends the lease or the attempt in progress, and releases the grants at all voters.
    fn step_down(&mut self, out: &mut Vec<LeaseAction>) {
        let was_held = self.candidate.held_until.take().is_some();
        let had_attempt = self.candidate.attempt.take().is_some();
        if was_held {
            out.push(LeaseAction::Lost { generation: self.candidate.generation });
        }
        if !was_held && !had_attempt {
            return;
        }
        let generation = self.candidate.generation;
        self.voter.on_release(self.local_id, generation);
        for to in self.other_voters() {
            out.push(LeaseAction::Send { to, message: LeaseMessage::Release { generation } });
        }
    }

    fn other_voters(&self) -> Vec<VoterId> {
        self.voters.iter().copied().filter(|voter| *voter != self.local_id).collect()
    }

    fn check_expiry(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if self.candidate.held_until.is_some_and(|held_until| held_until <= now) {
            self.candidate.held_until = None;
            out.push(LeaseAction::Lost { generation: self.candidate.generation });
        }
    }

    fn on_timer_expired(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if !self.is_started || self.voters.is_empty() {
            return;
        }
        let is_late = |sent_at: Duration| sent_at + self.settings.attempt_timeout <= now;
        if self.candidate.attempt.as_ref().is_some_and(|attempt| is_late(attempt.sent_at)) {
            self.abandon_attempt(now, out);
        }
        if self.candidate.attempt.is_none() && self.is_candidate() && self.candidate.next_attempt_at <= now {
            self.acquire_or_renew(now, out);
        }
    }

    /// Renews the lease, or requests it unless this voter has granted it to another process.
    fn acquire_or_renew(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if !self.is_held(now) {
            let free_at = self.voter.granted_to_others_until(self.local_id);
            if free_at > now {
                self.candidate.next_attempt_at = free_at + self.settings.candidate_stagger * self.rank();
                return;
            }
            self.candidate.generation = self.next_generation();
        }
        self.send_requests(now, out);
    }

    /// A generation higher than all that this process knows, and than all of older epochs, since new voters may not know those.
    fn next_generation(&self) -> u64 {
        let highest_known = self
            .candidate
            .generation
            .max(self.voter.highest_generation())
            .max(self.candidate.highest_refused);
        highest_known.max(self.epoch << EPOCH_SHIFT) + 1
    }

    fn send_requests(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        let attempt = self.candidate.start_attempt(now);
        self.candidate.next_attempt_at = now + self.settings.renewal_interval();
        let request = Request {
            epoch: self.epoch,
            generation: self.candidate.generation,
            is_renewal: self.is_held(now),
            attempt,
        };
        let Request { epoch, generation, is_renewal, .. } = request;
        let message = LeaseMessage::Request { epoch, generation, is_renewal, attempt };
        for to in self.other_voters() {
            out.push(LeaseAction::Send { to, message: message.clone() });
        }
        if self.voters.contains(&self.local_id) {
            let response = self.voter.on_request(now, self.local_id, request, &self.settings);
            self.on_response(now, self.local_id, response, out);
        }
    }

    fn on_message(
        &mut self,
        now: Duration,
        from: VoterId,
        message: LeaseMessage,
        out: &mut Vec<LeaseAction>,
    ) {
        match message {
            LeaseMessage::Request { epoch, generation, is_renewal, attempt } => {
                if self.is_started && epoch == self.epoch && self.voters.contains(&self.local_id) {
                    let request = Request { epoch, generation, is_renewal, attempt };
                    let message = self.voter.on_request(now, from, request, &self.settings);
                    out.push(LeaseAction::Send { to: from, message });
                }
            }
            LeaseMessage::Release { generation } => self.on_holder_released(now, from, generation),
            response => self.on_response(now, from, response, out),
        }
    }

    /// Handles the release of the lease by its holder: this candidate need not wait until the grants expire.
    fn on_holder_released(&mut self, now: Duration, from: VoterId, generation: u64) {
        self.voter.on_release(from, generation);
        if !self.is_held(now) && self.voter.granted_to_others_until(self.local_id) <= now {
            let attempt_at = now + self.settings.candidate_stagger * self.rank();
            self.candidate.next_attempt_at = self.candidate.next_attempt_at.min(attempt_at.max(now));
        }
    }

    fn on_response(
        &mut self,
        now: Duration,
        from: VoterId,
        response: LeaseMessage,
        out: &mut Vec<LeaseAction>,
    ) {
        match response {
            LeaseMessage::Grant { epoch, generation, attempt } => {
                self.on_grant(now, from, epoch, generation, attempt, out);
            }
            LeaseMessage::Refuse { attempt, highest_generation, wait } => {
                self.on_refusal(now, from, attempt, highest_generation, wait, out);
            }
            LeaseMessage::Request { .. } | LeaseMessage::Release { .. } => {}
        }
    }

    fn on_grant(
        &mut self,
        now: Duration,
        from: VoterId,
        epoch: u64,
        generation: u64,
        attempt: u64,
        out: &mut Vec<LeaseAction>,
    ) {
        let is_current =
            epoch == self.epoch && generation == self.candidate.generation && self.voters.contains(&from);
        let majority = self.majority();
        let Some(attempt) = self.candidate.attempt_mut(attempt) else { return };
        if is_current {
            attempt.grants.insert(from);
        }
        if attempt.grants.len() >= majority {
            let (held_until, is_renewal) =
                (attempt.sent_at + self.settings.usable_duration(), attempt.is_renewal);
            self.on_majority(now, held_until, is_renewal, out);
        }
    }

    /// Records a refusal. Abandons the attempt if it can no longer get a majority; the next one starts when a majority may grant.
    fn on_refusal(
        &mut self,
        now: Duration,
        from: VoterId,
        attempt: u64,
        highest_generation: u64,
        wait: Duration,
        out: &mut Vec<LeaseAction>,
    ) {
        let tolerated_refusals = self.voters.len() - self.majority().min(self.voters.len());
        let Some(attempt) = self.candidate.attempt_mut(attempt) else { return };
        attempt.refusals.insert(from, wait.min(self.settings.outstanding_grant_bound()));
        let is_majority_impossible = attempt.refusals.len() > tolerated_refusals;
        self.candidate.highest_refused = self.candidate.highest_refused.max(highest_generation);
        if is_majority_impossible && !self.candidate.is_held(now) {
            self.abandon_attempt(now, out);
        }
    }

    /// Handles a majority of grants. A renewal that completes after the lease has expired is released, because a higher
    /// generation may have been held since.
    fn on_majority(
        &mut self,
        now: Duration,
        held_until: Duration,
        is_renewal: bool,
        out: &mut Vec<LeaseAction>,
    ) {
        if held_until <= now || (is_renewal && !self.is_held(now)) {
            self.step_down(out);
            return;
        }
        self.candidate.attempt = None;
        let generation = self.candidate.generation;
        let action = match self.candidate.held_until {
            Some(_) => LeaseAction::Renewed { generation, held_until },
            None => LeaseAction::Acquired { generation, held_until },
        };
        self.candidate.held_until = Some(held_until);
        // The attempt in which a minority refused may have moved the next attempt to a later time.
        self.candidate.next_attempt_at =
            self.candidate.next_attempt_at.min(now + self.settings.renewal_interval());
        out.push(action);
    }

    /// The time at which a majority may grant, according to the refusals of the attempt in progress.
    fn majority_possible_at(&self, now: Duration) -> Duration {
        let (majority, voter_count) = (self.majority(), self.voters.len());
        now + self
            .candidate
            .attempt
            .as_ref()
            .map_or(Duration::ZERO, |attempt| attempt.time_until_majority(majority, voter_count))
    }

    /// Abandons an attempt that got no majority in time. If the lease is not held, the grants so far are released, so that other
    /// candidates need not wait until they expire.
    fn abandon_attempt(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if self.is_held(now) {
            self.candidate.attempt = None;
            self.candidate.next_attempt_at = now;
            return;
        }
        let majority_possible_at = self.majority_possible_at(now);
        self.step_down(out);
        let backoff = self.settings.candidate_stagger * self.rank()
            + self.settings.candidate_stagger.mul_f64(self.rng.f64());
        self.candidate.next_attempt_at = majority_possible_at + backoff;
    }
}
