//! Adaptive concurrency limit for the loads of one service, based on how long loads take (additive increase, multiplicative
//! decrease).
//!
//! Loads slow one another down once more than some unknown number of stores load at the same time. The limit grows while loads
//! that started close to the limit take hardly longer than the quickest load, and shrinks when loads take much longer. The
//! quickest load is taken over the last tens of seconds, so that the limit follows changes of the engines.

use std::time::Duration;

/// Concurrency limit before any load was measured.
const INITIAL_LIMIT: f64 = 6.0;
const MIN_LIMIT: f64 = 2.0;
/// Upper bound of the concurrency limit, however quick loads are.
const MAX_LIMIT: f64 = 256.0;
/// A load that takes at most this many times as long as the quickest is not slowed down by others, so the limit may grow.
const GROWTH_THRESHOLD: f64 = 1.35;
/// A load that takes more than this many times as long as the quickest is slowed down by others, so the limit shrinks.
const SHRINK_THRESHOLD: f64 = 1.8;
const SHRINK_FACTOR: f64 = 0.8;
/// Fraction of the limit that must be in flight when a load starts for that load to show that the limit may grow.
const SATURATION_THRESHOLD: f64 = 0.75;
/// Length of a measurement window. The quickest load is taken over the current window and the previous one.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(20);

/// The concurrency limit of the loads of one service, with the measurements behind it.
#[derive(Clone, Debug)]
pub struct LoadWindow {
    limit: f64,
    window_start: Duration,
    quickest_in_window: Option<Duration>,
    quickest_in_previous_window: Option<Duration>,
    last_shrink_at: Duration,
}

/// A load that has succeeded.
#[derive(Clone, Copy, Debug)]
pub struct FinishedLoad {
    /// Time at which the load started.
    pub started_at: Duration,
    /// Whether the load may have waited for running requests first, so that a long duration does not show that loads slow one
    /// another down.
    pub may_have_waited: bool,
    /// Number of loads in flight when the load started, including this one.
    pub concurrency: usize,
}

impl Default for LoadWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            window_start: Duration::ZERO,
            quickest_in_window: None,
            quickest_in_previous_window: None,
            last_shrink_at: Duration::ZERO,
        }
    }
}

impl LoadWindow {
    /// Number of stores that may load concurrently.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Duration of a load that others do not slow down; `None` before one was measured.
    #[must_use]
    pub fn typical_duration(&self) -> Option<Duration> {
        self.quickest_in_window.into_iter().chain(self.quickest_in_previous_window).min()
    }

    /// Adapts the limit to the duration of a load that has succeeded.
    pub fn on_load_finished(&mut self, now: Duration, load: FinishedLoad) {
        let duration = now.saturating_sub(load.started_at);
        let quickest_before = self.typical_duration();
        if !load.may_have_waited || quickest_before.is_some_and(|quickest| duration < quickest) {
            self.record_duration(now, duration);
        }
        let Some(quickest) = quickest_before else { return };
        if duration <= quickest.mul_f64(GROWTH_THRESHOLD) {
            if load.concurrency as f64 >= self.limit * SATURATION_THRESHOLD {
                self.limit = (self.limit + 1.0).min(MAX_LIMIT);
            }
        } else if duration > quickest.mul_f64(SHRINK_THRESHOLD)
            && !load.may_have_waited
            && load.started_at >= self.last_shrink_at
        {
            self.limit = (self.limit * SHRINK_FACTOR).max(MIN_LIMIT);
            self.last_shrink_at = now;
        }
    }

    fn record_duration(&mut self, now: Duration, duration: Duration) {
        if now.saturating_sub(self.window_start) >= MEASUREMENT_WINDOW {
            self.window_start = now;
            self.quickest_in_previous_window = self.quickest_in_window.take();
        }
        self.quickest_in_window =
            Some(self.quickest_in_window.map_or(duration, |quickest| quickest.min(duration)));
    }
}
