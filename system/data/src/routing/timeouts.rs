//! Deadlines of requests, timeouts of their attempts, and the delay after which a rejected client may retry.

use std::time::Duration;

use crate::stores::StoreLoad;

/// Minimum time left for which an attempt is made.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);
/// Timeout of a request if neither the client nor the route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Lower bound of the timeout for connecting to a store.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound of the timeout for connecting to a store.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a response head, as a multiple of the average latency of the route.
const HEAD_TIMEOUT_AVERAGE_LATENCIES: u32 = 3;
/// Idle timeout of a resumable stream, as a multiple of the latency target of the route.
const IDLE_TIMEOUT_TARGET_LATENCIES: u32 = 3;
/// Lower bound of the idle timeout of a resumable stream.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Lower and upper bounds of `Retry-After`.
const RETRY_AFTER_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// `Retry-After` is at most the time that the client has left, divided by this.
const RETRY_AFTER_TIME_LEFT_DIVISOR: u32 = 3;

/// Returns the deadline of a request, on the clock of `now`, from the shorter of the client's and the route's timeouts.
#[must_use]
pub fn request_deadline(
    now: Duration,
    client_timeout: Option<Duration>,
    route_timeout: Option<Duration>,
) -> Duration {
    let timeout = [client_timeout, route_timeout].into_iter().flatten().min().unwrap_or(DEFAULT_TIMEOUT);
    now + timeout
}

/// Returns the timeout for connecting to a store: a third of the time left, within bounds.
#[must_use]
pub fn connect_timeout(time_left: Duration) -> Duration {
    (time_left / 3).clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT).min(time_left)
}

/// Returns the timeout of the response head. A request that cannot be retried waits for all the time left; otherwise the timeout
/// is a multiple of the average latency, but at least a third of the time left.
#[must_use]
pub fn head_timeout(time_left: Duration, average_latency: Option<Duration>, can_retry: bool) -> Duration {
    if !can_retry {
        return time_left;
    }
    let latency_timeout =
        average_latency.map_or(Duration::ZERO, |latency| latency * HEAD_TIMEOUT_AVERAGE_LATENCIES);
    latency_timeout.max(time_left / 3).min(time_left)
}

/// Returns the idle timeout of a response body. Only a resumable stream can be moved from an unresponsive store to another one
/// before the deadline; any other body may be idle for all the time left.
#[must_use]
pub fn idle_timeout(time_left: Duration, target_latency: Duration, is_resumable: bool) -> Duration {
    if is_resumable {
        (target_latency * IDLE_TIMEOUT_TARGET_LATENCIES).max(MIN_IDLE_TIMEOUT).min(time_left)
    } else {
        time_left
    }
}

/// Whether the expected queueing time at a store exceeds the time left; false if it cannot be estimated.
#[must_use]
pub fn queueing_exceeds_time_left(
    load: Option<StoreLoad>,
    average_latency: Option<Duration>,
    time_left: Duration,
) -> bool {
    match (load, average_latency) {
        (Some(load), Some(latency)) => latency * load.waiting / load.slots.max(1) > time_left,
        _ => false,
    }
}

/// Returns the delay after which a rejected client may retry: a quarter of the latency target, within bounds, and at most a third
/// of the time left.
#[must_use]
pub fn retry_after(time_left: Duration, target_latency: Duration) -> Duration {
    let (shortest, longest) = RETRY_AFTER_BOUNDS;
    (target_latency / 4).clamp(shortest, longest).min(time_left / RETRY_AFTER_TIME_LEFT_DIVISOR)
}
