//! One item of a batch job: where it stands, and what each outcome does to it.

use std::time::Duration;

use super::{Rules, Text};

/// The shortest and the longest pause after a store that had no room.
const REFUSED_PAUSE_MS: std::ops::RangeInclusive<u64> = 20..=100;
/// The pauses after other failures double up to this many times.
const MAX_DOUBLINGS: u32 = 4;

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The stream came to its proper end.
    Whole,
    /// It never ran: no connection, no room, or another instance or version there.
    NeverRan,
    /// The store's own 500.
    Failed,
    /// The store's own 422: it can never be done.
    Impossible,
    /// The stream broke off, fell silent, or an event was missing.
    Cut,
    /// It was taken from a slow store, to go on elsewhere.
    Moved,
    /// The weights there, or from some event on, are not of a version that fits.
    WrongVersion,
    /// No store has the version of the text so far any more.
    VersionLost,
    /// Another answer that says nothing about the item.
    Other,
}

/// How a reward call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RewardEnded {
    /// A success with this stamp.
    Scored(String),
    /// Stores' own 500s.
    Failed {
        /// How many.
        times: u32,
        /// So many of them may end the item, by the reward route.
        max_attempts: u32,
    },
    /// Anything else.
    Other,
}

/// After so many outcomes in a row that brought nothing, it is the text so far that may be at fault: no store goes on with it.
const FRUITLESS_ENOUGH: u32 = 5;

/// Where an item stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It waits for a store, from then on.
    Unplaced { from: Duration },
    /// It is at a store.
    Out,
    /// Its text is whole; the reward call is due from then on.
    Whole { from: Duration },
    /// The reward call is under way.
    Rewarding,
    /// It has its result.
    Listed,
}

/// What an outcome leads to.
pub(super) enum ItemStep {
    Wait,
    Reward,
    Completed { score: String },
    Abandoned,
}

/// One item of a batch job.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) state: State,
    pub(super) text: Text,
    /// Which beginning of its text this is: drawn anew with each.
    pub(super) origin: u64,
    /// 500s of stores to the generation.
    failures: u32,
    /// 500s of stores to the reward call.
    reward_failures: u32,
    /// Outcomes in a row that brought nothing.
    fruitless: u32,
    /// It has been at a store.
    begun: bool,
    /// The last event that it had when it last went to a store.
    had: Option<u64>,
}

impl Default for Item {
    fn default() -> Self {
        Self {
            state: State::Unplaced { from: Duration::ZERO },
            text: Text::default(),
            origin: 0,
            failures: 0,
            reward_failures: 0,
            fruitless: 0,
            begun: false,
            had: None,
        }
    }
}

impl Item {
    /// Whether it waits and was never at a store.
    pub(super) fn is_fresh(&self) -> bool {
        matches!(self.state, State::Unplaced { .. }) && !self.begun
    }

    /// Whether it waits for a store now.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        matches!(self.state, State::Unplaced { from } if from <= now)
    }

    /// It goes to a store; gives out the text so far, which its run carries on.
    pub(super) fn placed(&mut self, random: &mut fastrand::Rng) -> Text {
        self.state = State::Out;
        if self.text.is_empty() {
            self.origin = random.u64(..);
        }
        self.begun = true;
        self.had = self.text.last_id();
        std::mem::take(&mut self.text)
    }

    /// Goes on from what another driver has saved.
    pub(super) fn take_over(&mut self, now: Duration, text: Text, origin: u64, whole: bool) {
        self.text = text;
        self.origin = origin;
        self.begun = true;
        if whole {
            self.state = State::Whole { from: now };
        }
    }

    /// The text so far can't be used.
    pub(super) fn start_over(&mut self) {
        self.text = Text::default();
    }

    pub(super) fn generation_ended(
        &mut self,
        now: Duration,
        ended: Ended,
        rules: Rules,
        random: &mut fastrand::Rng,
    ) -> ItemStep {
        match ended {
            Ended::Whole if !self.text.is_empty() => {
                self.fruitless = 0;
                self.state = State::Rewarding;
                return ItemStep::Reward;
            }
            Ended::Impossible => return self.abandon(),
            Ended::Failed => {
                self.failures += 1;
                if self.failures >= rules.max_attempts.max(1) {
                    return self.abandon();
                }
                self.wait(now);
            }
            Ended::VersionLost => {
                self.start_over();
                self.wait(now);
            }
            Ended::Moved => self.wait(now),
            Ended::Cut if self.text.last_id() > self.had => {
                self.fruitless = 0;
                self.wait(now);
            }
            Ended::NeverRan => self.wait(now + Duration::from_millis(random.u64(REFUSED_PAUSE_MS))),
            Ended::Cut | Ended::Other if self.fruitless >= FRUITLESS_ENOUGH => {
                self.start_over();
                self.back_off(now, random);
            }
            Ended::Cut | Ended::WrongVersion | Ended::Other | Ended::Whole => self.back_off(now, random),
        }
        self.if_retained(now, rules)
    }

    pub(super) fn reward_ended(
        &mut self,
        now: Duration,
        ended: RewardEnded,
        rules: Rules,
        random: &mut fastrand::Rng,
    ) -> ItemStep {
        match ended {
            RewardEnded::Scored(score) => {
                self.state = State::Listed;
                return ItemStep::Completed { score };
            }
            RewardEnded::Failed { times, max_attempts } => {
                self.reward_failures = self.reward_failures.saturating_add(times);
                if self.reward_failures >= max_attempts.max(rules.max_attempts).max(1) {
                    return self.abandon();
                }
            }
            RewardEnded::Other => {}
        }
        self.state = State::Whole { from: now + self.pause(random) };
        self.if_retained(now, rules)
    }

    fn abandon(&mut self) -> ItemStep {
        self.state = State::Listed;
        ItemStep::Abandoned
    }

    fn if_retained(&mut self, now: Duration, rules: Rules) -> ItemStep {
        if rules.retained_until.is_some_and(|until| now >= until) {
            return self.abandon();
        }
        ItemStep::Wait
    }

    fn wait(&mut self, from: Duration) {
        self.state = State::Unplaced { from };
    }

    fn back_off(&mut self, now: Duration, random: &mut fastrand::Rng) {
        let pause = self.pause(random);
        self.wait(now + pause);
    }

    /// Grows with each outcome in a row that brought nothing.
    fn pause(&mut self, random: &mut fastrand::Rng) -> Duration {
        let pause = random.u64(REFUSED_PAUSE_MS) << self.fruitless.min(MAX_DOUBLINGS);
        self.fruitless = self.fruitless.saturating_add(1);
        Duration::from_millis(pause)
    }
}
