//! One clock for the whole program: milliseconds of Unix time that never run backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::faults::{self, Skew};

/// A point in Unix time or a duration, in milliseconds.
pub type Millis = f64;

/// Reads Unix time once and counts on from there, so that a step of the system's clock moves nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_ms: Millis,
    skew: Skew,
}

impl Clock {
    /// A clock set by the system's.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let skew = faults::skew();
        Self { started: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 + skew.unix_ms, skew }
    }

    /// Now.
    pub fn now(&self) -> Millis {
        self.unix_ms + self.started.elapsed().as_secs_f64() * 1000.0 * self.skew.rate
    }

    /// The time from now until `at`; zero if that has passed.
    pub fn until(&self, at: Millis) -> Duration {
        millis((at - self.now()) / self.skew.rate)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// A duration in the library's terms; none is longer than a day, none is negative.
pub fn millis(ms: Millis) -> Duration {
    Duration::from_secs_f64(if ms > 0.0 { ms.min(86_400_000.0) / 1000.0 } else { 0.0 })
}
