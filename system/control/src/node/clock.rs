//! The monotonic clock of the process: all times of the node's machines are durations since its start.

use std::time::Duration;

use tokio::time::Instant;

/// The clock of one process. Copies share its start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(super) fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// The time since the start.
    pub(super) fn now(self) -> Duration {
        self.started.elapsed()
    }

    /// The instant of a time since the start.
    pub(super) fn instant(self, time: Duration) -> Instant {
        self.started + time
    }
}
