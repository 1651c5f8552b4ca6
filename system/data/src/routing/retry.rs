//! The retry policy: whether another attempt follows, and the response to a request without one. No I/O; `forward` applies it.

use std::time::Duration;

use gingerledge_protocol::Verdict;
use hyper::http::StatusCode;

use super::timeouts::{retry_after, MIN_ATTEMPT_TIME};

/// The most attempts without a connection; they don't count against the route's attempts.
const MAX_UNSENT: usize = 4;

/// The attempts of a request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Attempts that a store received, or may have received.
    pub sent: usize,
    /// Attempts without a connection.
    pub unsent: usize,
    /// Whether one of them may have run the request.
    pub verdict: Verdict,
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self { sent: 0, unsent: 0, verdict: Verdict::NeverRan }
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt, at another store.
    Retry,
    /// No further attempt.
    GiveUp,
}

/// Decides whether another attempt follows: the request never ran or is idempotent, and has attempts and time left.
#[must_use]
pub fn decide_retry(
    history: &AttemptHistory,
    max_attempts: usize,
    is_idempotent: bool,
    time_left: Duration,
) -> RetryDecision {
    let is_repeatable = history.verdict == Verdict::NeverRan || is_idempotent;
    let has_attempts_left = history.sent < max_attempts.max(1) && history.unsent < MAX_UNSENT;
    if is_repeatable && has_attempts_left && time_left >= MIN_ATTEMPT_TIME {
        RetryDecision::Retry
    } else {
        RetryDecision::GiveUp
    }
}

/// The response to a request that no store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureResponse {
    /// Its status.
    pub status: StatusCode,
    /// When the client may retry, where the status promises that the request never ran.
    pub retry_after: Option<Duration>,
}

/// The response to a request without a further attempt. Only one that never ran gets the promise of a 503.
#[must_use]
pub fn failure_response(verdict: Verdict, time_left: Duration, objective: Duration) -> FailureResponse {
    match verdict {
        Verdict::NeverRan => {
            let retry_after = Some(retry_after(time_left, objective));
            FailureResponse { status: StatusCode::SERVICE_UNAVAILABLE, retry_after }
        }
        _ if time_left < MIN_ATTEMPT_TIME => {
            FailureResponse { status: StatusCode::GATEWAY_TIMEOUT, retry_after: None }
        }
        _ => FailureResponse { status: StatusCode::BAD_GATEWAY, retry_after: None },
    }
}
