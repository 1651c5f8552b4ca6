//! The clock of a process: it starts with the process, and its rate differs from that of true time.

use std::time::Duration;

/// A clock.
#[derive(Clone, Debug)]
pub struct ProcessClock {
    pub started_at: Duration,
    /// How fast it runs, as a multiple of true time.
    pub rate: f64,
}

impl ProcessClock {
    /// What the clock shows at a true time.
    pub fn read(&self, now: Duration) -> Duration {
        (now - self.started_at).mul_f64(self.rate)
    }

    /// The true time at which the clock shows `reading`.
    pub fn true_time(&self, reading: Duration) -> Duration {
        self.started_at + reading.div_f64(self.rate)
    }
}
