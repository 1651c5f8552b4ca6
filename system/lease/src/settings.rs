//! The time spans of a lease.

use std::time::Duration;

/// The time spans of a lease. All processes are given the same.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// For how long a voter grants.
    pub grant_duration: Duration,
    /// By how much the clocks of two machines may differ in rate, as a part of the time passed.
    pub max_clock_drift: f64,
    /// How long a candidate waits for a majority.
    pub attempt_timeout: Duration,
    /// By how much each candidate lets those before it go first. Also the shortest pause between attempts.
    pub candidate_stagger: Duration,
}

impl LeaseSettings {
    /// The usual settings for a term.
    pub fn new(grant_duration: Duration) -> Self {
        Self {
            grant_duration,
            max_clock_drift: 0.01,
            attempt_timeout: grant_duration / 8,
            candidate_stagger: grant_duration / 16,
        }
    }

    /// For how long a holder acts, from when it asked.
    pub fn usable_duration(&self) -> Duration {
        self.grant_duration.mul_f64(1.0 - self.max_clock_drift)
    }

    /// For how long a voter that remembers nothing grants nothing.
    pub fn outstanding_grant_bound(&self) -> Duration {
        self.grant_duration.mul_f64(1.0 + self.max_clock_drift)
    }

    /// Time between renewals.
    pub fn renewal_interval(&self) -> Duration {
        self.grant_duration / 4
    }
}
