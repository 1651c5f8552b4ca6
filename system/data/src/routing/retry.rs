//! Retry policy: whether a request gets another attempt, and which response the client gets otherwise. Performs no I/O; the
//! `forward` module applies the decisions.

use std::time::Duration;

use gingerledge_protocol::Verdict;
use hyper::http::StatusCode;

use super::timeouts::{retry_after, MIN_ATTEMPT_TIME};

/// Maximum number of attempts that end before the request is sent, for instance because no connection could be opened. They do
/// not count against the route's `max_attempts`.
const MAX_UNSENT_ATTEMPTS: usize = 4;

/// Outcome of the attempts made for a request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of attempts that a store received, or may have received.
    pub sent_attempts: usize,
    /// Number of attempts that ended before the request was sent.
    pub unsent_attempts: usize,
    /// Whether one of the attempts may have run the request.
    pub verdict: Verdict,
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self { sent_attempts: 0, unsent_attempts: 0, verdict: Verdict::NeverRan }
    }
}

/// Whether a request gets another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt, at another store.
    Retry,
    /// Make no further attempt.
    GiveUp,
}

/// Decides whether a request gets another attempt: it must have never run or be idempotent, and have attempts and time left.
#[must_use]
pub fn decide_retry(
    history: &AttemptHistory,
    max_attempts: usize,
    is_idempotent: bool,
    time_left: Duration,
) -> RetryDecision {
    let is_repeatable = history.verdict == Verdict::NeverRan || is_idempotent;
    let has_attempts_left =
        history.sent_attempts < max_attempts.max(1) && history.unsent_attempts < MAX_UNSENT_ATTEMPTS;
    if is_repeatable && has_attempts_left && time_left >= MIN_ATTEMPT_TIME {
        RetryDecision::Retry
    } else {
        RetryDecision::GiveUp
    }
}

/// Response to a request for which there is no response of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Delay after which the client may retry; only set with a status that promises that the request never ran.
    pub retry_after: Option<Duration>,
}

/// Returns the response to a request that gets no further attempt. Only a request that certainly never ran is answered 503, since
/// that status permits the client to repeat it.
#[must_use]
pub fn failure_response(verdict: Verdict, time_left: Duration, target_latency: Duration) -> FailureResponse {
    match verdict {
        Verdict::NeverRan => {
            let retry_after = Some(retry_after(time_left, target_latency));
            FailureResponse { status: StatusCode::SERVICE_UNAVAILABLE, retry_after }
        }
        _ if time_left < MIN_ATTEMPT_TIME => {
            FailureResponse { status: StatusCode::GATEWAY_TIMEOUT, retry_after: None }
        }
        _ => FailureResponse { status: StatusCode::BAD_GATEWAY, retry_after: None },
    }
}
