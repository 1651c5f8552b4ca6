//! The concurrency limit of the loads of one service, adapted to how long loads take (additive increase, multiplicative decrease).
//!
//! Loads slow one another down once more than some number of stores load at once, and that number is not known. The limit here grows while loads
//! that began among as many as allowed take hardly longer than the quickest, and shrinks when they take much longer. The quickest
//! is that of the last tens of seconds, so that a change of the engines is noticed.

use std::time::Duration;

/// Stores that load at once before anything was seen.
const INITIAL_LIMIT: f64 = 6.0;
const MIN_LIMIT: f64 = 2.0;
/// However quick loads are, no more stores than this load at once.
const MAX_LIMIT: f64 = 256.0;
/// A load that takes no more than this many times the quickest is not slowed down by others.
const GROWTH_THRESHOLD: f64 = 1.35;
/// One that takes more than this many times the quickest is.
const SHRINK_THRESHOLD: f64 = 1.8;
const SHRINK_FACTOR: f64 = 0.8;
/// Only what began among this part of as many as allowed shows that more could load.
const SATURATED: f64 = 0.75;
/// The quickest load is that of the present span of this length and the one before it.
const WINDOW: Duration = Duration::from_secs(20);

/// The loads of one service.
#[derive(Clone, Debug)]
pub struct LoadWindow {
    limit: f64,
    window_began: Duration,
    quickest_in_window: Option<Duration>,
    quickest_before: Option<Duration>,
    shrunk_at: Duration,
}

/// A load that succeeded.
#[derive(Clone, Copy, Debug)]
pub struct FinishedLoad {
    /// When it began.
    pub began: Duration,
    /// It may have waited for requests first, so that a long time says nothing.
    pub may_have_waited: bool,
    /// With how many it loaded when it began, itself counted.
    pub among: usize,
}

impl Default for LoadWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            window_began: Duration::ZERO,
            quickest_in_window: None,
            quickest_before: None,
            shrunk_at: Duration::ZERO,
        }
    }
}

impl LoadWindow {
    /// How many stores may load at once.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// How long a load takes that others don't slow down; none before one was seen.
    pub fn usual(&self) -> Option<Duration> {
        self.quickest_in_window.into_iter().chain(self.quickest_before).min()
    }

    /// Takes in that a load has succeeded.
    pub fn on_load_finished(&mut self, now: Duration, load: FinishedLoad) {
        let took = now.saturating_sub(load.began);
        let known = self.usual();
        if !load.may_have_waited || known.is_some_and(|quickest| took < quickest) {
            self.record_duration(now, took);
        }
        let Some(quickest) = known else { return };
        if took <= quickest.mul_f64(GROWTH_THRESHOLD) {
            if load.among as f64 >= self.limit * SATURATED {
                self.limit = (self.limit + 1.0).min(MAX_LIMIT);
            }
        } else if took > quickest.mul_f64(SHRINK_THRESHOLD)
            && !load.may_have_waited
            && load.began >= self.shrunk_at
        {
            self.limit = (self.limit * SHRINK_FACTOR).max(MIN_LIMIT);
            self.shrunk_at = now;
        }
    }

    fn record_duration(&mut self, now: Duration, took: Duration) {
        if now.saturating_sub(self.window_began) >= WINDOW {
            self.window_began = now;
            self.quickest_before = self.quickest_in_window.take();
        }
        self.quickest_in_window = Some(self.quickest_in_window.map_or(took, |quickest| quickest.min(took)));
    }
}
