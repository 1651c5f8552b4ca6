//! The state machine of one item of a batch job: waiting, generating, scoring, finished.

use std::time::Duration;

use super::{GeneratedText, JobRules};

/// The range from which a backoff is drawn at random, in milliseconds. A generation that never ran is retried after such a backoff.
const BACKOFF_MS: std::ops::RangeInclusive<u64> = 20..=100;
/// The maximum number of doublings of the backoff after other outcomes without progress in a row.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The outcome of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GenerationOutcome {
    /// The stream ended properly, so that the text is complete.
    Completed,
    /// The generation never ran: no connection, no capacity, or another instance or version at the address.
    NeverRan,
    /// The store itself responded 500.
    Failed,
    /// The store itself responded 422, or no valid request can be built. No attempt can ever succeed.
    InvalidRequest,
    /// The stream was interrupted or timed out, or one of its events was missing or invalid.
    Interrupted,
    /// The generation was cancelled at a slow store, to be resumed at another.
    Migrated,
    /// The version of the weights, at the start or from some event on, is not allowed, or is missing at an event.
    WrongVersion,
    /// No store serves the version of the text so far any more.
    VersionUnavailable,
    /// Another response, from which nothing follows for the item.
    Other,
}

/// The outcome of a scoring call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoringOutcome {
    /// A successful response with this score, which is the signature of the store.
    Scored(String),
    /// Stores themselves responded 500.
    Failed {
        /// The number of responses 500.
        failures: u32,
        /// The number of responses 500 after which the item is abandoned, by the scoring call's route.
        max_attempts: u32,
    },
    /// Any other outcome.
    Other,
}

/// The number of outcomes in a row without a new event after which the text so far is discarded, because it may be one that no store can
/// continue.
const MAX_OUTCOMES_WITHOUT_PROGRESS: u32 = 5;

/// The state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The item waits to be placed at a store, which is possible once the backoff has ended.
    Waiting { not_before: Duration },
    /// The generation is in flight at a store.
    Generating,
    /// The text is complete. The item waits to be scored, which is possible once the backoff has ended.
    AwaitingScore { not_before: Duration },
    /// The scoring call is in flight.
    Scoring,
    /// The item has its result.
    Finished,
}

/// The plan's next action for an item after an outcome.
pub(super) enum ItemAction {
    /// Nothing now: the item waits for its next attempt.
    Wait,
    /// Make the scoring call.
    Score,
    /// Publish the text with this score as the result.
    Completed { score: String },
    /// Publish the result that the item was abandoned.
    Abandoned,
}

/// One item of a batch job.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) state: State,
    /// The text so far; empty while a generation is in flight, which owns the text.
    pub(super) text: GeneratedText,
    /// The identifier of the generation that started the text: a random number, drawn again whenever the item is generated from the start.
    pub(super) origin: u64,
    /// The number of responses 500 to generations of the item.
    failures: u32,
    /// The number of responses 500 to scoring calls of the item.
    scoring_failures: u32,
    /// The number of outcomes in a row that brought no new event.
    outcomes_without_progress: u32,
    /// Whether the item was ever sent to a store, or resumed from a checkpoint.
    has_started: bool,
    /// The id of the last event of the text when the item was last sent to a store.
    last_event_id_at_start: Option<u64>,
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
            last_event_id_at_start: None,
        }
    }
}

impl Item {
    /// Whether the item waits and has never started, at a store or from a checkpoint.
    pub(super) fn is_unstarted(&self) -> bool {
        matches!(self.state, State::Waiting { .. }) && !self.has_started
    }

    /// Whether the item waits to be placed and its backoff has ended.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        matches!(self.state, State::Waiting { not_before } if not_before <= now)
    }

    /// Marks the item as in flight at a store. Returns the text so far, which the store continues.
    pub(super) fn start_generation(&mut self, random: &mut fastrand::Rng) -> GeneratedText {
        self.state = State::Generating;
        if self.text.is_empty() {
            self.origin = random.u64(..);
        }
        self.has_started = true;
        self.last_event_id_at_start = self.text.last_event_id();
        std::mem::take(&mut self.text)
    }

    /// Restores the text from the checkpoint of another driver. If the text is complete, the item is scored next.
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

    /// Applies the outcome of a generation, whose text must have been stored in `text` before.
    pub(super) fn generation_ended(
        &mut self,
        now: Duration,
        outcome: GenerationOutcome,
        rules: JobRules,
        random: &mut fastrand::Rng,
    ) -> ItemAction {
        match outcome {
            GenerationOutcome::Completed if !self.text.is_empty() => {
                self.outcomes_without_progress = 0;
                self.state = State::Scoring;
                return ItemAction::Score;
            }
            GenerationOutcome::InvalidRequest => return self.abandon(),
            GenerationOutcome::Failed => {
                self.failures += 1;
                if self.failures >= rules.max_attempts.max(1) {
                    return self.abandon();
                }
                self.wait_until(now);
            }
            GenerationOutcome::VersionUnavailable => {
                self.discard_text();
                self.wait_until(now);
            }
            GenerationOutcome::Migrated => self.wait_until(now),
            GenerationOutcome::Interrupted if self.text.last_event_id() > self.last_event_id_at_start => {
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

    /// Applies the outcome of a scoring call.
    pub(super) fn scoring_ended(
        &mut self,
        now: Duration,
        outcome: ScoringOutcome,
        rules: JobRules,
        random: &mut fastrand::Rng,
    ) -> ItemAction {
        match outcome {
            ScoringOutcome::Scored(score) => {
                self.state = State::Finished;
                return ItemAction::Completed { score };
            }
            ScoringOutcome::Failed { failures, max_attempts } => {
                self.scoring_failures = self.scoring_failures.saturating_add(failures);
                if self.scoring_failures >= max_attempts.max(rules.max_attempts).max(1) {
                    return self.abandon();
                }
            }
            ScoringOutcome::Other => {}
        }
        self.state = State::AwaitingScore { not_before: now + self.next_backoff(random) };
        self.wait_or_abandon(now, rules)
    }

    fn abandon(&mut self) -> ItemAction {
        self.state = State::Finished;
        ItemAction::Abandoned
    }

    fn wait_or_abandon(&mut self, now: Duration, rules: JobRules) -> ItemAction {
        if rules.abandon_after.is_some_and(|deadline| now >= deadline) {
            return self.abandon();
        }
        ItemAction::Wait
    }

    fn wait_until(&mut self, not_before: Duration) {
        self.state = State::Waiting { not_before };
    }

    fn back_off(&mut self, now: Duration, random: &mut fastrand::Rng) {
        let backoff = self.next_backoff(random);
        self.wait_until(now + backoff);
    }

    /// Draws the next backoff, which grows with each outcome in a row that brought no new event, and counts the current outcome as such.
    fn next_backoff(&mut self, random: &mut fastrand::Rng) -> Duration {
        let backoff_ms = random.u64(BACKOFF_MS) << self.outcomes_without_progress.min(MAX_BACKOFF_DOUBLINGS);
        self.outcomes_without_progress = self.outcomes_without_progress.saturating_add(1);
        Duration::from_millis(backoff_ms)
    }
}
