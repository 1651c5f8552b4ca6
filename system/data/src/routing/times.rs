//! How long a request is held, how long one attempt may stay silent, and when a client may come again.

use std::time::Duration;

use crate::stores::Load;

/// With less time left, no store is asked any more.
pub const LEAST_OFFER: Duration = Duration::from_millis(5);
/// A request with neither a deadline nor a time-out is held this long.
const ASSUMED_HOLD: Duration = Duration::from_secs(30);
/// The least time that a connection to a store is given to come up.
const LEAST_CONNECT: Duration = Duration::from_millis(100);
/// The most.
const MOST_CONNECT: Duration = Duration::from_millis(700);
/// A store is silent for long if it takes this many times the usual latency.
const USUAL_TIMES: u32 = 3;
/// A stream that can go on elsewhere is left after a silence of so many objectives,
const SILENT_OBJECTIVES: u32 = 3;
/// or after this time, whichever is longer.
const LEAST_SILENCE: Duration = Duration::from_millis(1_400);
/// The shortest and the longest pause that a refused client is told.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Clients heed a pause up to this part of the time that they have left.
const RETRY_PART: u32 = 3;

/// When a request is given up: at the client's deadline or the route's time-out, whichever is earlier.
pub fn give_up_at(now: Duration, deadline: Option<Duration>, timeout: Option<Duration>) -> Duration {
    let hold = [deadline, timeout].into_iter().flatten().min().unwrap_or(ASSUMED_HOLD);
    now + hold
}

/// How long a connection may take to come up.
pub fn connect_time(left: Duration) -> Duration {
    (left / 3).clamp(LEAST_CONNECT, MOST_CONNECT).min(left)
}

/// How long the head of the answer may take. A request that can't be sent again waits for all the time left.
pub fn head_time(left: Duration, usual: Option<Duration>, may_go_elsewhere: bool) -> Duration {
    if !may_go_elsewhere {
        return left;
    }
    let patience = usual.map_or(Duration::ZERO, |usual| usual * USUAL_TIMES);
    patience.max(left / 3).min(left)
}

/// How long an answer's body may pause. Only a stream that can go on elsewhere is taken from a silent store, before the client
/// gives it up.
pub fn silence_time(left: Duration, objective: Duration, resumable: bool) -> Duration {
    if resumable {
        (objective * SILENT_OBJECTIVES).max(LEAST_SILENCE).min(left)
    } else {
        left
    }
}

/// Whether a request would wait at a store of this load for longer than it has, as far as can be told.
pub fn waits_too_long(load: Option<Load>, usual: Option<Duration>, left: Duration) -> bool {
    match (load, usual) {
        (Some(load), Some(usual)) => usual * load.waiting / load.slots.max(1) > left,
        _ => false,
    }
}

/// When a refused client may come again: a quarter of its objective, within bounds, and within a third of the time left.
pub fn retry_after(left: Duration, objective: Duration) -> Duration {
    let (least, most) = RETRY_BOUNDS;
    (objective / 4).clamp(least, most).min(left / RETRY_PART)
}
