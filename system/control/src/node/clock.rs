//! The monotonic clock of the process. All times in the state machines of a node are durations since its start.

use std::time::Duration;

use tokio::time::Instant;

/// The clock of the process. Copies share the same start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(super) fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Time since the start of the clock.
    pub(super) fn now(self) -> Duration {
        self.started.elapsed()
    }

    /// Converts a time since the start into an instant.
    pub(super) fn instant(self, time: Duration) -> Instant {
        self.started + time
    }
}
