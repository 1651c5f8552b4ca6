//! The last check of the rules on attempts before one is sent, independent of what the decision module requested: no more
//! than the maximum for a part, no two in parallel unless allowed, and none that could take effect twice.

use gingerledge_dispatch::{Millis, Repeat, Settings};

/// The attempts of a part so far.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    /// The class of its query, by index.
    pub class: usize,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Whether one of them is in flight.
    pub in_flight: bool,
    /// When the first one was sent that is in flight or may have been executed.
    pub first: Option<Millis>,
}

/// The limits that every attempt is checked against.
#[derive(Clone, Debug)]
pub struct Guard {
    max_attempts: u32,
    parallel: bool,
    /// For each class, whether an executed part may be retried, and how long stores remember idempotency keys.
    repeats: Vec<(Repeat, Millis)>,
}

impl Guard {
    /// The limits of these settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            max_attempts: settings.max_attempts.max(1),
            parallel: settings.allows_parallel_attempts,
            repeats: settings.classes.iter().map(|class| (class.repeat, class.deduplication_ms)).collect(),
        }
    }

    /// For how many milliseconds from `now` the next attempt may be sent; `None` if it must not be made.
    pub fn allows(&self, now: Millis, history: AttemptHistory) -> Option<Millis> {
        let left = history.first.map_or(f64::INFINITY, |first| match self.repeats.get(history.class) {
            Some((Repeat::Keyed, memory)) => first + memory - now,
            Some((Repeat::Unsafe, _)) => f64::NEG_INFINITY,
            Some((Repeat::Safe, _)) | None => f64::INFINITY,
        });
        let may =
            history.attempts < self.max_attempts && (self.parallel || !history.in_flight) && left >= 0.0;
        may.then_some(left)
    }
}
