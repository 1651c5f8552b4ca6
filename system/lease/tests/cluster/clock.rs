//! The clock of a process. It starts at zero with the process, and its rate differs from that of true time.

use std::time::Duration;

/// The clock of a process.
#[derive(Clone, Debug)]
pub struct ProcessClock {
    pub started_at: Duration,
    /// The rate of the clock, as a multiple of true time.
    pub rate: f64,
}

impl ProcessClock {
    /// The reading of the clock at a true time.
    pub fn read(&self, now: Duration) -> Duration {
        (now - self.started_at).mul_f64(self.rate)
    }

    /// The true time at which the clock shows `reading`.
    pub fn true_time(&self, reading: Duration) -> Duration {
        self.started_at + reading.div_f64(self.rate)
    }
}
