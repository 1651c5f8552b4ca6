//! Graceful shutdown: the process serves new requests until the platform has noticed that it is not ready, then closes idle
//! connections, and exits when no request is in flight, or shortly before the end of its grace period.

use std::time::Duration;

/// The platform removes a process after two failed readiness checks, one a second.
const REMOVAL_TIME: Duration = Duration::from_millis(2_500);
/// Serving new requests takes at most one part in so many of the grace period.
const SERVING_DIVISOR: u32 = 2;
/// The process exits one part in so many of the grace period before its end.
const MARGIN_DIVISOR: u32 = 16;

/// What a process does during its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// It serves new requests.
    Serve,
    /// It closes idle connections, and completes the requests in flight.
    CloseIdle,
    /// It exits.
    Exit,
}

/// The timing of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    close_idle_from: Duration,
    exit_at: Duration,
}

impl Shutdown {
    /// A connection counts as idle after this time without data.
    pub const MIN_IDLE: Duration = Duration::from_millis(100);

    /// A shutdown that starts now, to be complete within the grace period.
    #[must_use]
    pub fn new(now: Duration, grace_period: Duration) -> Self {
        let close_idle_from = now + REMOVAL_TIME.min(grace_period / SERVING_DIVISOR);
        Self { close_idle_from, exit_at: now + grace_period - grace_period / MARGIN_DIVISOR }
    }

    /// What to do now, with so many requests in flight and connections open.
    #[must_use]
    pub fn step(&self, now: Duration, requests: usize, connections: usize) -> ShutdownStep {
        if now >= self.exit_at {
            return ShutdownStep::Exit;
        }
        if now < self.close_idle_from {
            return ShutdownStep::Serve;
        }
        if requests == 0 && connections == 0 {
            return ShutdownStep::Exit;
        }
        ShutdownStep::CloseIdle
    }
}
