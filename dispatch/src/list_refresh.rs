//! Decides when to subscribe to the list of servers.
//!
//! Many aggregators share the service that has the list. Their first calls are spread over time, and while calls fail they
//! become rarer, so that all together call about as often as a few would.
//!
//! The settings bound the spread: an aggregator that has neither called nor received a list for `list_refresh_ms` counts as
//! informed of what it has not received, or after four times that if a call failed. So, however many aggregators share the
//! service, the first call is made within [`FIRST_CALL_SHARE`] of that time from the start, and the next one within
//! [`RETRY_SHARE`] of it from a failure. The rest is left for calls that queue, and for one that fails.
//!
//! This rule serves an aggregator that is alone with its host, as in the simulator. The broker has a stricter one, in
//! `broker/src/discovery/watching.rs`: there only the first call is timed here, and a host may always call sooner.

use crate::{Millis, Settings};

/// The mean of the first backoff after a failure, and the shortest refresh interval.
const BASE_BACKOFF_MS: Millis = 1000.0;
/// With more aggregators than this, the backoff doubles with each failure until all together call as often as this many.
const UNSHARED_AGGREGATORS: f64 = 4.0;
/// Calls of that many aggregators are spread over the base backoff divided by this.
const FIRST_CALL_SPREAD: f64 = 4.0;
/// The first call is made within this share of the refresh interval.
const FIRST_CALL_SHARE: f64 = 0.5;
/// A call after a failure is made within this share of the refresh interval.
const RETRY_SHARE: f64 = 3.0;
/// A backoff is spread from this share of its mean up, as far above the mean as below.
const JITTER_FROM: f64 = 0.5;
/// The backoff doubles at most this many times.
const MAX_DOUBLINGS: u32 = 16;

/// The subscription calls of one aggregator.
#[derive(Debug)]
pub(crate) struct ListRefresh {
    /// Whether the list has to be subscribed to.
    is_required: bool,
    interval: Millis,
    /// When to call next; `None` while a subscription stands or none is required.
    next_call_at: Option<Millis>,
    consecutive_failures: u32,
}

impl ListRefresh {
    /// Schedules the first call; `jitter`, from 0 up to 1, picks its time.
    pub(crate) fn new(settings: &Settings, now: Millis, jitter: f64) -> Self {
        // Not `max`: an interval that is not a number is replaced, too.
        let configured = settings.list_refresh_ms;
        let interval = if configured >= BASE_BACKOFF_MS { configured } else { BASE_BACKOFF_MS };
        let spread = sharing_factor(settings.aggregators) * BASE_BACKOFF_MS / FIRST_CALL_SPREAD;
        let longest_delay = spread.min(interval * FIRST_CALL_SHARE);
        Self {
            is_required: settings.requires_subscription,
            interval,
            next_call_at: settings.requires_subscription.then_some(now + jitter * longest_delay),
            consecutive_failures: 0,
        }
    }

    /// When to call next, if at all.
    pub(crate) fn next_call_at(&self) -> Option<Millis> {
        self.next_call_at
    }

    /// Whether to call now. A call without any response is repeated after the refresh interval.
    pub(crate) fn start_due_call(&mut self, now: Millis) -> bool {
        let is_due = self.next_call_at.is_some_and(|at| now >= at);
        if is_due {
            self.next_call_at = Some(now + self.interval);
        }
        is_due
    }

    /// A call failed, or a subscription broke; `jitter`, from 0 up to 1, picks the time of the next call.
    pub(crate) fn on_failure(&mut self, now: Millis, aggregators: u32, jitter: f64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let doublings = (self.consecutive_failures - 1).min(MAX_DOUBLINGS);
        let factor = f64::from(1u32 << doublings).min(sharing_factor(aggregators));
        let longest_mean = self.interval * RETRY_SHARE / (JITTER_FROM + 1.0);
        let backoff = (JITTER_FROM + jitter) * (BASE_BACKOFF_MS * factor).min(longest_mean);
        self.next_call_at = self.is_required.then_some(now + backoff);
    }

    /// The list was received, and updates to it will follow.
    pub(crate) fn on_subscribed(&mut self) {
        self.consecutive_failures = 0;
        self.next_call_at = None;
    }
}

/// How many times as many aggregators as [`UNSHARED_AGGREGATORS`] share the service; at least 1.
fn sharing_factor(aggregators: u32) -> f64 {
    (f64::from(aggregators) / UNSHARED_AGGREGATORS).max(1.0)
}
