//! The state machine of one item of a batch job: waiting, generating, scoring, finished.

use std::time::Duration;

use super::{GeneratedText, Rules};

/// The backoff after a store without capacity, in milliseconds; drawn from this range.
const BACKOFF_MS: std::ops::RangeInclusive<u64> = 20..=100;
/// The backoff after other failures doubles up to this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GenerationOutcome {
    /// The stream came to its proper end.
    Completed,
    /// It never ran: no connection, no capacity, or another instance or version at the address.
    NeverRan,
    /// The store's own 500.
    Failed,
    /// The store's own 422, or no valid request can be built: no attempt can ever succeed.
    Rejected,
    /// The stream was interrupted or timed out, or an event was missing.
    Interrupted,
    /// It was cancelled at a slow store, to be resumed at another.
    Migrated,
    /// The weights there, or from some event on, are of a version that is not allowed.
    WrongVersion,
    /// No store serves the version of the text so far any more.
    VersionLost,
    /// Another response that says nothing about the item.
    Other,
}

/// How a scoring call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoringOutcome {
    /// A success with this signature.
    Scored(String),
    /// Responses 500 of the stores themselves.
    Failed {
        /// How many.
        times: u32,
        /// That many of them abandon the item, by the scoring call's route.
        max_attempts: u32,
    },
    /// Anything else.
    Other,
}

/// After so many outcomes in a row without a new event, the text so far may be what no store can continue: it is discarded.
const MAX_OUTCOMES_WITHOUT_PROGRESS: u32 = 5;

/// The state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It waits for a store.
    Waiting { not_before: Duration },
    /// It is in flight at a store.
    Generating,
    /// Its text is complete, and waits to be scored.
    AwaitingScore { not_before: Duration },
    /// The scoring call is in flight.
    Scoring,
    /// It has its result.
    Finished,
}

/// What an outcome leads to, inside the plan.
pub(super) enum ItemStep {
    Wait,
    Score,
    Completed { score: String },
    Abandoned,
}

/// One item of a batch job.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) state: State,
    pub(super) text: GeneratedText,
    /// Identifies the start of its text: drawn anew whenever it is generated from scratch.
    pub(super) origin: u64,
    /// Responses 500 to its generation.
    failures: u32,
    /// Responses 500 to its scoring call.
    scoring_failures: u32,
    /// Outcomes in a row that brought no new event.
    outcomes_without_progress: u32,
    /// Whether it was ever sent to a store, or resumed from a checkpoint.
    has_started: bool,
    /// Id of its last event when it was last sent to a store.
    last_id_at_start: Option<u64>,
}

impl Default for Item {
    fn default() -> Self {
        Self {
            state: State::Waiting { not_before: Duration::ZERO },
            text: GeneratedText::default(),
            origin: 0,
            failures: 0,
            scoring_failures: 0,
            outcomes_without_progress: 0,
            has_started: false,
            last_id_at_start: None,
        }
    }
}

impl Item {
    /// Whether it waits and was never sent to a store.
    pub(super) fn is_unstarted(&self) -> bool {
        matches!(self.state, State::Waiting { .. }) && !self.has_started
    }

    /// Whether it waits for a store and its backoff has ended.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        matches!(self.state, State::Waiting { not_before } if not_before <= now)
    }

    /// It is sent to a store. Hands out the text so far, which the store continues.
    pub(super) fn start_generation(&mut self, random: &mut fastrand::Rng) -> GeneratedText {
        self.state = State::Generating;
        if self.text.is_empty() {
            self.origin = random.u64(..);
        }
        self.has_started = true;
        self.last_id_at_start = self.text.last_id();
        std::mem::take(&mut self.text)
    }

    /// Resumes from the checkpoint of another driver.
    pub(super) fn restore_checkpoint(
        &mut self,
        now: Duration,
        text: GeneratedText,
        origin: u64,
        is_complete: bool,
    ) {
        self.text = text;
        self.origin = origin;
        self.has_started = true;
        if is_complete {
            self.state = State::AwaitingScore { not_before: now };
        }
    }

    /// Discards the text so far, which can't be used.
    pub(super) fn discard_text(&mut self) {
        self.text = GeneratedText::default();
    }

    pub(super) fn generation_ended(
        &mut self,
        now: Duration,
        outcome: GenerationOutcome,
        rules: Rules,
        random: &mut fastrand::Rng,
    ) -> ItemStep {
        match outcome {
            GenerationOutcome::Completed if !self.text.is_empty() => {
                self.outcomes_without_progress = 0;
                self.state = State::Scoring;
                return ItemStep::Score;
            }
            GenerationOutcome::Rejected => return self.abandon(),
            GenerationOutcome::Failed => {
                self.failures += 1;
                if self.failures >= rules.max_attempts.max(1) {
                    return self.abandon();
                }
                self.wait_until(now);
            }
            GenerationOutcome::VersionLost => {
                self.discard_text();
                self.wait_until(now);
            }
            GenerationOutcome::Migrated => self.wait_until(now),
            GenerationOutcome::Interrupted if self.text.last_id() > self.last_id_at_start => {
                self.outcomes_without_progress = 0;
                self.wait_until(now);
            }
            GenerationOutcome::NeverRan => {
                self.wait_until(now + Duration::from_millis(random.u64(BACKOFF_MS)));
            }
            GenerationOutcome::Interrupted | GenerationOutcome::Other
                if self.outcomes_without_progress >= MAX_OUTCOMES_WITHOUT_PROGRESS =>
            {
                self.discard_text();
                self.back_off(now, random);
            }
            GenerationOutcome::Interrupted
            | GenerationOutcome::WrongVersion
            | GenerationOutcome::Other
            | GenerationOutcome::Completed => self.back_off(now, random),
        }
        self.wait_or_abandon(now, rules)
    }

    pub(super) fn scoring_ended(
        &mut self,
        now: Duration,
        outcome: ScoringOutcome,
        rules: Rules,
        random: &mut fastrand::Rng,
    ) -> ItemStep {
        match outcome {
            ScoringOutcome::Scored(score) => {
                self.state = State::Finished;
                return ItemStep::Completed { score };
            }
            ScoringOutcome::Failed { times, max_attempts } => {
                self.scoring_failures = self.scoring_failures.saturating_add(times);
                if self.scoring_failures >= max_attempts.max(rules.max_attempts).max(1) {
                    return self.abandon();
                }
            }
            ScoringOutcome::Other => {}
        }
        self.state = State::AwaitingScore { not_before: now + self.next_backoff(random) };
        self.wait_or_abandon(now, rules)
    }

    fn abandon(&mut self) -> ItemStep {
        self.state = State::Finished;
        ItemStep::Abandoned
    }

    fn wait_or_abandon(&mut self, now: Duration, rules: Rules) -> ItemStep {
        if rules.abandon_after.is_some_and(|deadline| now >= deadline) {
            return self.abandon();
        }
        ItemStep::Wait
    }

    fn wait_until(&mut self, not_before: Duration) {
        self.state = State::Waiting { not_before };
    }

    fn back_off(&mut self, now: Duration, random: &mut fastrand::Rng) {
        let backoff = self.next_backoff(random);
        self.wait_until(now + backoff);
    }

    /// Grows with each outcome in a row that brought no new event.
    fn next_backoff(&mut self, random: &mut fastrand::Rng) -> Duration {
        let backoff_ms = random.u64(BACKOFF_MS) << self.outcomes_without_progress.min(MAX_BACKOFF_DOUBLINGS);
        self.outcomes_without_progress = self.outcomes_without_progress.saturating_add(1);
        Duration::from_millis(backoff_ms)
    }
}
