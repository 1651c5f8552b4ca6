//! One process's part: voter and candidate.

use std::time::Duration;

use crate::granter::{Granter, Request};
use crate::holder::Holder;
use crate::{LeaseMessage, LeaseSettings, VoterId};

/// Rounds begin with the epoch in which they were asked for, above this many bits.
const ROUNDS_BITS: u32 = 32;

/// How many more staggers than the place in the order say the preferred candidate is ahead of the others, since it may have started
/// a little later.
const LEAD_OF_THE_PREFERRED: u32 = 2;

/// What happens to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The process has started; given once, first. A founder of the whole system, that can't have granted anything
    /// before, says so.
    Started {
        /// Whether this is its first life, and that of all the voters.
        founding: bool,
    },
    /// The voters of an epoch. Older and repeated ones are ignored.
    Voters {
        /// The epoch.
        epoch: u64,
        /// The voters.
        voters: Vec<VoterId>,
    },
    /// This process has sealed an epoch: it grants nothing more in it.
    Sealed {
        /// The epoch.
        epoch: u64,
    },
    /// Who may hold the lease, the preferred one first. A process that isn't named doesn't ask, and gives up the lease.
    Candidates {
        /// The candidates.
        order: Vec<VoterId>,
    },
    /// A message has arrived.
    Message {
        /// The sender.
        from: VoterId,
        /// The message.
        message: LeaseMessage,
    },
    /// Give the lease up; this process asks again only after a term.
    Release,
    /// The time of [`Lease::next_timer`] has come.
    TimerExpired,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send a message, once.
    Send {
        /// The receiver.
        to: VoterId,
        /// The message.
        message: LeaseMessage,
    },
    /// The lease is held.
    Acquired {
        /// The round: higher than those before, unless a majority of the voters has started again in this epoch.
        generation: u64,
        /// Until when, if it isn't renewed.
        until: Duration,
    },
    /// The lease is held for longer.
    Renewed {
        /// The round.
        generation: u64,
        /// Until when.
        until: Duration,
    },
    /// The lease isn't held any more.
    Lost {
        /// The round.
        generation: u64,
    },
}

/// One process's part in the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    me: VoterId,
    settings: LeaseSettings,
    rng: fastrand::Rng,
    epoch: u64,
    voters: Vec<VoterId>,
    candidates: Vec<VoterId>,
    granter: Granter,
    holder: Holder,
    started: bool,
    /// Whether nobody can have granted anything before this life.
    founding: bool,
}

impl Lease {
    /// A process that has just started. The seed must differ from life to life.
    pub fn new(me: VoterId, settings: LeaseSettings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Questions of an earlier life must not be taken for those of this one.
        let holder = Holder { attempts: rng.u64(..) >> 1, ..Holder::default() };
        Self {
            me,
            settings,
            rng,
            epoch: 0,
            voters: Vec::new(),
            candidates: Vec::new(),
            granter: Granter::default(),
            holder,
            started: false,
            founding: false,
        }
    }

    /// Whether the lease is held now. To be asked right before each act under it.
    pub fn is_held(&self, now: Duration) -> bool {
        self.holder.is_held(now)
    }

    /// Until when the lease is held, if it is.
    pub fn held_until(&self, now: Duration) -> Option<Duration> {
        self.holder.until.filter(|until| now < *until)
    }

    /// The round that is held or was asked for last.
    pub fn generation(&self) -> u64 {
        self.holder.generation
    }

    /// When [`LeaseEvent::TimerExpired`] is wanted next.
    pub fn next_timer(&self) -> Option<Duration> {
        if !self.started || self.voters.is_empty() {
            return None;
        }
        let attempt =
            self.holder.attempt.as_ref().map(|attempt| attempt.asked_at + self.settings.attempt_timeout);
        let asks = (self.is_candidate() && self.holder.attempt.is_none()).then_some(self.holder.ask_at);
        [attempt, asks, self.holder.until].into_iter().flatten().min()
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        self.check_expiry(now, out);
        match event {
            LeaseEvent::Started { founding } => self.on_started(now, founding),
            LeaseEvent::Voters { epoch, voters } => self.on_voters(now, epoch, voters),
            LeaseEvent::Sealed { epoch } => self.granter.seal(epoch),
            LeaseEvent::Candidates { order } => self.on_candidates(now, order, out),
            LeaseEvent::Message { from, message } => self.on_message(now, from, message, out),
            LeaseEvent::Release => self.on_release(now, out),
            LeaseEvent::TimerExpired => self.on_tick(now, out),
        }
    }

    fn is_candidate(&self) -> bool {
        self.candidates.contains(&self.me)
    }

    /// How many staggers this candidate leaves to others. The preferred one has a lead over all the others.
    fn rank(&self) -> u32 {
        match self.candidates.iter().position(|candidate| *candidate == self.me) {
            None | Some(0) => 0,
            Some(place) => LEAD_OF_THE_PREFERRED + place as u32,
        }
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn on_started(&mut self, now: Duration, founding: bool) {
        self.started = true;
        self.founding = founding;
        self.holder.ask_at = now + self.settings.candidate_stagger * self.rank();
    }

    /// Takes up the voters of a newer epoch. Where they differ, or may have differed in between, a majority of the old
    /// ones and one of the new ones need not meet: then this voter waits until all old grants have ended. So it does
    /// after a start, since it remembers no grants of its life before.
    fn on_voters(&mut self, now: Duration, epoch: u64, mut voters: Vec<VoterId>) {
        if epoch <= self.epoch {
            return;
        }
        voters.sort();
        let first = self.epoch == 0;
        let same = self.epoch + 1 == epoch && self.voters == voters;
        let fresh = first && self.founding;
        if !same && !fresh {
            self.granter.be_silent(now, &self.settings);
        }
        if !same {
            self.holder.attempt = None;
        }
        self.epoch = epoch;
        self.voters = voters;
    }

    fn on_candidates(&mut self, now: Duration, order: Vec<VoterId>, out: &mut Vec<LeaseAction>) {
        let before = self.rank();
        let was = self.is_candidate();
        self.candidates = order;
        if !self.is_candidate() {
            self.give_up(out);
        } else if !was || self.rank() != before {
            self.holder.ask_at = self.holder.ask_at.max(now + self.settings.candidate_stagger * self.rank());
        }
    }

    fn on_release(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        self.give_up(out);
        self.holder.ask_at = now + self.settings.grant_duration;
    }

    /// Ends the lease or the question under way, and tells the voters.
    fn give_up(&mut self, out: &mut Vec<LeaseAction>) {
        let held = self.holder.until.take().is_some();
        let asked = self.holder.attempt.take().is_some();
        if held {
            out.push(LeaseAction::Lost { generation: self.holder.generation });
        }
        if !held && !asked {
            return;
        }
        let generation = self.holder.generation;
        self.granter.release(self.me, generation);
        for to in self.others() {
            out.push(LeaseAction::Send { to, message: LeaseMessage::Release { generation } });
        }
    }

    fn others(&self) -> Vec<VoterId> {
        self.voters.iter().copied().filter(|voter| *voter != self.me).collect()
    }

    fn check_expiry(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if self.holder.until.is_some_and(|until| until <= now) {
            self.holder.until = None;
            out.push(LeaseAction::Lost { generation: self.holder.generation });
        }
    }

    fn on_tick(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if !self.started || self.voters.is_empty() {
            return;
        }
        let late = |asked_at: Duration| asked_at + self.settings.attempt_timeout <= now;
        if self.holder.attempt.as_ref().is_some_and(|attempt| late(attempt.asked_at)) {
            self.attempt_failed(now, out);
        }
        if self.holder.attempt.is_none() && self.is_candidate() && self.holder.ask_at <= now {
            self.consider(now, out);
        }
    }

    /// Renews the lease, or asks for it if nobody else is known to hold it.
    fn consider(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if !self.is_held(now) {
            let free_at = self.granter.taken_until(self.me);
            if free_at > now {
                self.holder.ask_at = free_at + self.settings.candidate_stagger * self.rank();
                return;
            }
            self.holder.generation = self.next_round();
        }
        self.ask(now, out);
    }

    /// Higher than all rounds known here, and than all of older epochs: new voters may know of none.
    fn next_round(&self) -> u64 {
        let known = self.holder.generation.max(self.granter.highest_generation()).max(self.holder.seen);
        known.max(self.epoch << ROUNDS_BITS) + 1
    }

    fn ask(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        let attempt = self.holder.start_attempt(now);
        self.holder.ask_at = now + self.settings.renewal_interval();
        let request = Request {
            epoch: self.epoch,
            generation: self.holder.generation,
            renewal: self.is_held(now),
            attempt,
        };
        let Request { epoch, generation, renewal, .. } = request;
        let message = LeaseMessage::Request { epoch, generation, renewal, attempt };
        for to in self.others() {
            out.push(LeaseAction::Send { to, message: message.clone() });
        }
        if self.voters.contains(&self.me) {
            let answer = self.granter.request(now, self.me, request, &self.settings);
            self.on_answer(now, self.me, answer, out);
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
            LeaseMessage::Request { epoch, generation, renewal, attempt } => {
                if self.started && epoch == self.epoch && self.voters.contains(&self.me) {
                    let request = Request { epoch, generation, renewal, attempt };
                    let message = self.granter.request(now, from, request, &self.settings);
                    out.push(LeaseAction::Send { to: from, message });
                }
            }
            LeaseMessage::Release { generation } => self.on_released(now, from, generation),
            answer => self.on_answer(now, from, answer, out),
        }
    }

    /// The holder has given up: the next one need not wait for the end of the term.
    fn on_released(&mut self, now: Duration, from: VoterId, generation: u64) {
        self.granter.release(from, generation);
        if !self.is_held(now) && self.granter.taken_until(self.me) <= now {
            let turn = now + self.settings.candidate_stagger * self.rank();
            self.holder.ask_at = self.holder.ask_at.min(turn.max(now));
        }
    }

    fn on_answer(&mut self, now: Duration, from: VoterId, answer: LeaseMessage, out: &mut Vec<LeaseAction>) {
        match answer {
            LeaseMessage::Grant { epoch, generation, attempt } => {
                let current = epoch == self.epoch
                    && generation == self.holder.generation
                    && self.voters.contains(&from);
                let majority = self.majority();
                let Some(asked) = self.holder.attempt.as_mut().filter(|asked| asked.number == attempt) else {
                    return;
                };
                if current {
                    asked.grants.insert(from);
                }
                if asked.grants.len() >= majority {
                    let (until, renewal) = (asked.asked_at + self.settings.usable_duration(), asked.renewal);
                    self.granted(now, until, renewal, out);
                }
            }
            LeaseMessage::Refuse { attempt, highest_generation, wait } => {
                self.on_refusal(now, from, attempt, highest_generation, wait, out)
            }
            LeaseMessage::Request { .. } | LeaseMessage::Release { .. } => {}
        }
    }

    /// Asks again when the voter would grant; at once gives up a question that can't have a majority any more.
    fn on_refusal(
        &mut self,
        now: Duration,
        from: VoterId,
        attempt: u64,
        highest_generation: u64,
        wait: Duration,
        out: &mut Vec<LeaseAction>,
    ) {
        let spare = self.voters.len() - self.majority().min(self.voters.len());
        let Some(asked) = self.holder.attempt.as_mut().filter(|asked| asked.number == attempt) else {
            return;
        };
        asked.refusals.insert(from, wait.min(self.settings.outstanding_grant_bound()));
        let hopeless = asked.refusals.len() > spare;
        self.holder.seen = self.holder.seen.max(highest_generation);
        if hopeless && !self.holder.is_held(now) {
            self.attempt_failed(now, out);
        }
    }

    /// A renewal that comes after the lease has ended is given back: a higher round may have been held since.
    fn granted(&mut self, now: Duration, until: Duration, renewal: bool, out: &mut Vec<LeaseAction>) {
        if until <= now || (renewal && !self.is_held(now)) {
            self.give_up(out);
            return;
        }
        self.holder.attempt = None;
        let generation = self.holder.generation;
        let action = match self.holder.until {
            Some(_) => LeaseAction::Renewed { generation, until },
            None => LeaseAction::Acquired { generation, until },
        };
        self.holder.until = Some(until);
        // A refusal by a few may have put the next question off.
        self.holder.ask_at = self.holder.ask_at.min(now + self.settings.renewal_interval());
        out.push(action);
    }

    /// When a majority may grant, by the refusals of the attempt under way.
    fn free_at(&self, now: Duration) -> Duration {
        let (majority, voters) = (self.majority(), self.voters.len());
        now + self
            .holder
            .attempt
            .as_ref()
            .map_or(Duration::ZERO, |attempt| attempt.wait_for(majority, voters))
    }

    /// No majority in time. Without a lease the few grants are given back, so that others need not wait for them.
    fn attempt_failed(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if self.is_held(now) {
            self.holder.attempt = None;
            self.holder.ask_at = now;
            return;
        }
        let free_at = self.free_at(now);
        self.give_up(out);
        let turn = self.settings.candidate_stagger * self.rank()
            + self.settings.candidate_stagger.mul_f64(self.rng.f64());
        self.holder.ask_at = free_at + turn;
    }
}
