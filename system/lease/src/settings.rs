//! The durations of a lease.

use std::time::Duration;

/// The durations of a lease. All processes must use the same settings.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// Duration of a grant, by the clock of the voter.
    pub grant_duration: Duration,
    /// Maximum difference between the rates of the clocks of two machines, as a fraction of the elapsed time.
    pub max_clock_drift: f64,
    /// Time that a candidate waits for a majority of grants.
    pub attempt_timeout: Duration,
    /// Additional time for which each candidate waits, compared with the one before it. Also the upper bound of the random
    /// backoff after an abandoned attempt.
    pub candidate_stagger: Duration,
}

impl LeaseSettings {
    /// The default settings for a duration of grants.
    #[must_use]
    pub fn new(grant_duration: Duration) -> Self {
        Self {
            grant_duration,
            max_clock_drift: 0.01,
            attempt_timeout: grant_duration / 8,
            candidate_stagger: grant_duration / 16,
        }
    }

    /// Time for which a holder may act, counted from when it sent its requests. By any clock, it stops before the first grant
    /// expires.
    #[must_use]
    pub fn usable_duration(&self) -> Duration {
        self.grant_duration.mul_f64(1.0 - self.max_clock_drift)
    }

    /// Maximum remaining duration, by any clock, of a grant that a voter has no record of. A voter that has just started grants
    /// nothing until this time has elapsed.
    #[must_use]
    pub fn outstanding_grant_bound(&self) -> Duration {
        self.grant_duration.mul_f64(1.0 + self.max_clock_drift)
    }

    /// Interval between renewals.
    #[must_use]
    pub fn renewal_interval(&self) -> Duration {
        self.grant_duration / 4
    }
}
