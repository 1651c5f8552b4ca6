//! The concurrency limit of the loads of one service, adapted to how long loads take (additive increase, multiplicative decrease).
//!
//! Loads slow one another down once more than some number of stores load at once, and that number is not known. The limit here grows while loads
//! that began among as many as allowed take hardly longer than the quickest, and shrinks when they take much longer. The quickest
//! is that of the last tens of seconds, so that a change of the engines is noticed.

use std::time::Duration;

/// The limit before any load was measured.
const INITIAL_LIMIT: f64 = 6.0;
const MIN_LIMIT: f64 = 2.0;
/// The limit however quick loads are.
const MAX_LIMIT: f64 = 256.0;
/// A load that takes no more than this many times the quickest is not slowed down by others, so the limit may grow.
const GROWTH_THRESHOLD: f64 = 1.35;
/// A load that takes more than this many times the quickest is slowed down, so the limit shrinks.
const SHRINK_THRESHOLD: f64 = 1.8;
const SHRINK_FACTOR: f64 = 0.8;
/// Only a load that began beside so many others, as a part of the limit, shows that the limit may grow.
const SATURATED: f64 = 0.75;
/// The quickest load is that of the current window of this length and the one before it.
const WINDOW: Duration = Duration::from_secs(20);

/// The loads of one service.
#[derive(Clone, Debug)]
pub struct LoadWindow {
    limit: f64,
    window_start: Duration,
    quickest_in_window: Option<Duration>,
    quickest_in_previous_window: Option<Duration>,
    last_shrink: Duration,
}

/// A load that succeeded.
#[derive(Clone, Copy, Debug)]
pub struct FinishedLoad {
    /// When it began.
    pub began: Duration,
    /// It may have waited for requests first, so that a long time says nothing.
    pub may_have_waited: bool,
    /// How many loads were in flight when it began, this one included.
    pub concurrency: usize,
}

impl Default for LoadWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            window_start: Duration::ZERO,
            quickest_in_window: None,
            quickest_in_previous_window: None,
            last_shrink: Duration::ZERO,
        }
    }
}

impl LoadWindow {
    /// How many stores may load concurrently.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// How long a load takes that others don't slow down; none before one was measured.
    #[must_use]
    pub fn usual(&self) -> Option<Duration> {
        self.quickest_in_window.into_iter().chain(self.quickest_in_previous_window).min()
    }

    /// Adapts the limit to a load that has succeeded.
    pub fn on_load_finished(&mut self, now: Duration, load: FinishedLoad) {
        let duration = now.saturating_sub(load.began);
        let known = self.usual();
        if !load.may_have_waited || known.is_some_and(|quickest| duration < quickest) {
            self.record_duration(now, duration);
        }
        let Some(quickest) = known else { return };
        if duration <= quickest.mul_f64(GROWTH_THRESHOLD) {
            if load.concurrency as f64 >= self.limit * SATURATED {
                self.limit = (self.limit + 1.0).min(MAX_LIMIT);
            }
        } else if duration > quickest.mul_f64(SHRINK_THRESHOLD)
            && !load.may_have_waited
            && load.began >= self.last_shrink
        {
            self.limit = (self.limit * SHRINK_FACTOR).max(MIN_LIMIT);
            self.last_shrink = now;
        }
    }

    fn record_duration(&mut self, now: Duration, duration: Duration) {
        if now.saturating_sub(self.window_start) >= WINDOW {
            self.window_start = now;
            self.quickest_in_previous_window = self.quickest_in_window.take();
        }
        self.quickest_in_window =
            Some(self.quickest_in_window.map_or(duration, |quickest| quickest.min(duration)));
    }
}
