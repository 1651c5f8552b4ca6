//! Monotonic clock of the process.

use std::time::{Duration, Instant};

/// Monotonic clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    /// Time since the clock was started.
    #[must_use]
    pub fn now(self) -> Duration {
        self.started_at.elapsed()
    }
}
