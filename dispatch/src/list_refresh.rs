//! Decides when to subscribe to the list of servers.
//!
//! Many aggregators share the discovery service. Their first calls are spread over time, and the intervals
//! between calls grow while calls fail, so that all aggregators together call about as often as a few would.
//!
//! The settings limit the spread: an aggregator that has neither called nor received a list for
//! `list_refresh_ms` is assumed to know the present list, even if it has not received it. After a failed
//! call, this is assumed after four times that interval. Therefore, regardless of the number of aggregators,
//! the first call is made within [`FIRST_CALL_SHARE`] of the interval after the start, and each further call
//! within [`RETRY_INTERVALS`] intervals after a failure. The remaining time is left for calls that queue at
//! the service and for one call that fails.
//!
//! This rule is for an aggregator whose host has no rule of its own, as in the simulator. The broker has a
//! stricter rule, in `broker/src/discovery/watching.rs`: it uses only the time of the first call from here. A
//! host may always call sooner.

use crate::{Millis, Settings};

/// Mean of the first backoff after a failure, and minimum of the refresh interval.
const BASE_BACKOFF_MS: Millis = 1000.0;
/// Number of aggregators that may call at the base rate. If there are more, the backoff doubles with each
/// failure until all of them together call as often as this many would.
const BASE_RATE_AGGREGATORS: f64 = 4.0;
/// The first calls of [`BASE_RATE_AGGREGATORS`] are spread over the base backoff divided by this.
const FIRST_CALL_SPREAD: f64 = 4.0;
/// Share of the refresh interval within which the first call is made.
const FIRST_CALL_SHARE: f64 = 0.5;
/// Number of refresh intervals within which the next call is made after a failure.
const RETRY_INTERVALS: f64 = 3.0;
/// Lower bound of a backoff, as a share of its mean. The upper bound is as far above the mean.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 16;

/// The schedule of the subscription calls of one aggregator.
#[derive(Debug)]
pub(crate) struct ListRefresh {
    /// Whether the aggregator has to subscribe to the list.
    is_required: bool,
    interval: Millis,
    /// When to call next; `None` while a subscription is open or if none is required.
    next_call_at: Option<Millis>,
    consecutive_failures: u32,
}

impl ListRefresh {
    /// Schedules the first call. `jitter`, from 0 to below 1, determines its time within the spread.
    pub(crate) fn new(settings: &Settings, now: Millis, jitter: f64) -> Self {
        // A comparison instead of `max` also replaces an interval that is not a number.
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

    /// When to call next; `None` if no call is due.
    pub(crate) fn next_call_at(&self) -> Option<Millis> {
        self.next_call_at
    }

    /// Returns whether a call is due now, and schedules the next one: a call without any response is repeated
    /// after the refresh interval.
    pub(crate) fn start_due_call(&mut self, now: Millis) -> bool {
        let is_due = self.next_call_at.is_some_and(|at| now >= at);
        if is_due {
            self.next_call_at = Some(now + self.interval);
        }
        is_due
    }

    /// Schedules the next call after a call failed or a subscription broke. `jitter`, from 0 to below 1,
    /// determines its time within the backoff.
    pub(crate) fn on_failure(&mut self, now: Millis, aggregators: u32, jitter: f64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let doublings = (self.consecutive_failures - 1).min(MAX_DOUBLINGS);
        let factor = f64::from(1u32 << doublings).min(sharing_factor(aggregators));
        let longest_mean = self.interval * RETRY_INTERVALS / (MIN_JITTER_FACTOR + 1.0);
        let backoff = (MIN_JITTER_FACTOR + jitter) * (BASE_BACKOFF_MS * factor).min(longest_mean);
        self.next_call_at = self.is_required.then_some(now + backoff);
    }

    /// Records that the list was received and that updates to it will follow.
    pub(crate) fn on_subscribed(&mut self) {
        self.consecutive_failures = 0;
        self.next_call_at = None;
    }
}

/// The number of aggregators that share the service, as a multiple of [`BASE_RATE_AGGREGATORS`]; at least 1.
fn sharing_factor(aggregators: u32) -> f64 {
    (f64::from(aggregators) / BASE_RATE_AGGREGATORS).max(1.0)
}
