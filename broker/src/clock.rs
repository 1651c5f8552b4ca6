//! The program's clock: monotonic time in milliseconds, based on Unix time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::faults::{self, Skew};

/// A point in Unix time or a duration, in milliseconds.
pub type Millis = f64;

/// A clock that reads Unix time once and then adds elapsed monotonic time, so that steps of the system clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_ms: Millis,
    skew: Skew,
}

impl Clock {
    /// Creates a clock from the current time of the system clock.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let skew = faults::skew();
        Self { started: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 + skew.unix_ms, skew }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.unix_ms + self.started.elapsed().as_secs_f64() * 1000.0 * self.skew.rate
    }

    /// Returns the time from now until `at`; zero if `at` has passed.
    pub fn until(&self, at: Millis) -> Duration {
        millis((at - self.now()) / self.skew.rate)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Converts milliseconds to a `Duration`, limited to the range from zero to one day.
pub fn millis(ms: Millis) -> Duration {
    Duration::from_secs_f64(if ms > 0.0 { ms.min(86_400_000.0) / 1000.0 } else { 0.0 })
}
