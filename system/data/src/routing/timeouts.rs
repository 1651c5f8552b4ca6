//! The deadline of a request, the time-outs of its attempts, and when a client may retry.

use std::time::Duration;

use crate::stores::StoreLoad;

/// With less time left, no further attempt is made.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);
/// The time-out of a request with neither a deadline nor a route's time-out.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The least time-out of connecting to a store.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The largest time-out of connecting to a store.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The time-out of a response head, in average latencies.
const HEAD_TIMEOUT_LATENCIES: u32 = 3;
/// The idle time-out of a resumable stream, in latency targets of its route,
const IDLE_TIMEOUT_OBJECTIVES: u32 = 3;
/// or this time, whichever is longer.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_400);
/// The shortest and the longest `Retry-After`.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// `Retry-After` is at most one part in so many of the time that the client has left.
const RETRY_TIME_DIVISOR: u32 = 3;

/// The deadline of a request: the client's, or that by the route's time-out, whichever is earlier.
#[must_use]
pub fn request_deadline(now: Duration, deadline: Option<Duration>, timeout: Option<Duration>) -> Duration {
    let timeout = [deadline, timeout].into_iter().flatten().min().unwrap_or(DEFAULT_TIMEOUT);
    now + timeout
}

/// The time-out of connecting to a store.
#[must_use]
pub fn connect_timeout(time_left: Duration) -> Duration {
    (time_left / 3).clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT).min(time_left)
}

/// The time-out of the response head. A request that can't be retried waits for all the time left.
#[must_use]
pub fn head_timeout(time_left: Duration, average_latency: Option<Duration>, can_retry: bool) -> Duration {
    if !can_retry {
        return time_left;
    }
    let by_latency = average_latency.map_or(Duration::ZERO, |latency| latency * HEAD_TIMEOUT_LATENCIES);
    by_latency.max(time_left / 3).min(time_left)
}

/// The idle time-out of a response's body. Only a resumable stream is taken from an unresponsive store before its deadline.
#[must_use]
pub fn idle_timeout(time_left: Duration, objective: Duration, is_resumable: bool) -> Duration {
    if is_resumable {
        (objective * IDLE_TIMEOUT_OBJECTIVES).max(MIN_IDLE_TIMEOUT).min(time_left)
    } else {
        time_left
    }
}

/// Whether the expected queueing time at a store exceeds the time left; false if it can't be estimated.
#[must_use]
pub fn exceeds_queueing_time(
    load: Option<StoreLoad>,
    average_latency: Option<Duration>,
    time_left: Duration,
) -> bool {
    match (load, average_latency) {
        (Some(load), Some(latency)) => latency * load.waiting / load.slots.max(1) > time_left,
        _ => false,
    }
}

/// When a rejected client may retry: after a quarter of its latency target, within bounds and a third of the time left.
#[must_use]
pub fn retry_after(time_left: Duration, objective: Duration) -> Duration {
    let (least, most) = RETRY_BOUNDS;
    (objective / 4).clamp(least, most).min(time_left / RETRY_TIME_DIVISOR)
}
