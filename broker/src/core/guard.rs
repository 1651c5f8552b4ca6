//! The last check of the rules on attempts before one is sent, independent of what the decision module requested: no more
//! than the maximum for a part, no two in parallel unless the settings allow it, and none that could take effect twice.

use gingerledge_dispatch::{Millis, Repeat, Settings};

/// The attempts that have been made for a part so far.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    /// Index of the query's class.
    pub class: usize,
    /// Number of attempts that have been made.
    pub attempts: u32,
    /// Whether one of them is in flight.
    pub in_flight: bool,
    /// Time at which the earliest attempt was sent that is in flight or may have been executed.
    pub first_sent: Option<Millis>,
}

/// The limits that every attempt is checked against.
#[derive(Clone, Debug)]
pub struct Guard {
    max_attempts: u32,
    allows_parallel: bool,
    /// For each class, whether an executed part may be retried, and for how many milliseconds stores remember idempotency
    /// keys.
    retry_rules: Vec<(Repeat, Millis)>,
}

impl Guard {
    /// Takes the limits from the settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            max_attempts: settings.max_attempts.max(1),
            allows_parallel: settings.allows_parallel_attempts,
            retry_rules: settings
                .classes
                .iter()
                .map(|class| (class.repeat, class.deduplication_ms))
                .collect(),
        }
    }

    /// Returns the number of milliseconds from `now` within which the next attempt must be sent, or `None` if it must not be
    /// made. The number is infinite if a retry is harmless at any time.
    pub fn allows(&self, now: Millis, history: AttemptHistory) -> Option<Millis> {
        let remaining_ms =
            history.first_sent.map_or(f64::INFINITY, |sent| match self.retry_rules.get(history.class) {
                Some((Repeat::Keyed, deduplication_ms)) => sent + deduplication_ms - now,
                Some((Repeat::Unsafe, _)) => f64::NEG_INFINITY,
                Some((Repeat::Safe, _)) | None => f64::INFINITY,
            });
        let is_allowed = history.attempts < self.max_attempts
            && (self.allows_parallel || !history.in_flight)
            && remaining_ms >= 0.0;
        is_allowed.then_some(remaining_ms)
    }
}
