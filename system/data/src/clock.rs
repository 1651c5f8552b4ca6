//! The monotonic clock of the process.

use std::time::{Duration, Instant};

/// A monotonic clock that starts at zero with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that shows zero now.
    #[must_use]
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// The time since the start.
    #[must_use]
    pub fn now(self) -> Duration {
        self.started.elapsed()
    }
}
