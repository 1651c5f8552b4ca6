//! The time spans of a lease.

use std::time::Duration;

/// The time spans of a lease. All processes are given the same.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// For how long a voter grants.
    pub term: Duration,
    /// By how much the clocks of two machines may differ in rate, as a part of the time passed.
    pub drift: f64,
    /// How long a candidate waits for a majority.
    pub attempt: Duration,
    /// By how much each candidate lets those before it go first. Also the shortest pause between attempts.
    pub stagger: Duration,
}

impl LeaseSettings {
    /// The usual settings for a term.
    pub fn new(term: Duration) -> Self {
        Self { term, drift: 0.01, attempt: term / 8, stagger: term / 16 }
    }

    /// For how long a holder acts, from when it asked.
    pub fn usable(&self) -> Duration {
        self.term.mul_f64(1.0 - self.drift)
    }

    /// For how long a voter that remembers nothing grants nothing.
    pub fn silence(&self) -> Duration {
        self.term.mul_f64(1.0 + self.drift)
    }

    /// Time between renewals.
    pub fn renew_every(&self) -> Duration {
        self.term / 4
    }
}
