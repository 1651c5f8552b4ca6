//! The time spans of a lease.

use std::time::Duration;

/// The time spans of a lease. All processes are given the same.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// For how long a grant lasts at the voter.
    pub grant_duration: Duration,
    /// By how much the clocks of two machines may differ in rate, as a fraction of the elapsed time.
    pub max_clock_drift: f64,
    /// How long a candidate waits for a majority of grants.
    pub attempt_timeout: Duration,
    /// By how much each candidate waits longer than the one before it. Also the shortest pause between attempts.
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

    /// For how long a holder may act, from when it sent its requests: by any clock it stops before the first grant expires.
    #[must_use]
    pub fn usable_duration(&self) -> Duration {
        self.grant_duration.mul_f64(1.0 - self.max_clock_drift)
    }

    /// How long a grant that a voter doesn't remember can last, by any clock. A voter that has just started grants nothing before
    /// that has passed.
    #[must_use]
    pub fn outstanding_grant_bound(&self) -> Duration {
        self.grant_duration.mul_f64(1.0 + self.max_clock_drift)
    }

    /// Time between renewals.
    #[must_use]
    pub fn renewal_interval(&self) -> Duration {
        self.grant_duration / 4
    }
}
