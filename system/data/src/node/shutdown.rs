//! Graceful shutdown: the process serves new requests until the platform has detected that it is not ready, then closes idle
//! connections, and exits when no request is in flight and no connection is open, or shortly before the end of its grace period.

use std::time::Duration;

/// Time after which the platform has removed a process that is not ready: it does so after two failed readiness checks, which it
/// makes once per second.
const REMOVAL_TIME: Duration = Duration::from_millis(2_500);
/// New requests are served for at most the grace period divided by this.
const SERVING_TIME_DIVISOR: u32 = 2;
/// At the latest, the process exits before the end of the grace period by the period divided by this.
const EXIT_MARGIN_DIVISOR: u32 = 16;

/// Step of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Serve new requests.
    Serve,
    /// Close idle connections, and complete the requests in flight.
    CloseIdle,
    /// Exit.
    Exit,
}

/// Timing of a shutdown, on the clock of [`crate::Shared::now`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    close_idle_from: Duration,
    exit_at: Duration,
}

impl Shutdown {
    /// A connection may be closed during a shutdown once it has been idle for this time.
    pub const MIN_IDLE: Duration = Duration::from_millis(100);

    /// Plans a shutdown that starts now and is complete within the grace period.
    #[must_use]
    pub fn new(now: Duration, grace_period: Duration) -> Self {
        let close_idle_from = now + REMOVAL_TIME.min(grace_period / SERVING_TIME_DIVISOR);
        Self { close_idle_from, exit_at: now + grace_period - grace_period / EXIT_MARGIN_DIVISOR }
    }

    /// Returns the step to take now, given the number of requests in flight and of open client connections.
    #[must_use]
    pub fn step(&self, now: Duration, requests_in_flight: usize, open_connections: usize) -> ShutdownStep {
        if now >= self.exit_at {
            return ShutdownStep::Exit;
        }
        if now < self.close_idle_from {
            return ShutdownStep::Serve;
        }
        if requests_in_flight == 0 && open_connections == 0 {
            return ShutdownStep::Exit;
        }
        ShutdownStep::CloseIdle
    }
}
