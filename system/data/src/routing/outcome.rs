//! What follows an attempt, and what a request that is given up is answered.

use std::time::Duration;

use gingerledge_protocol::Verdict;
use hyper::http::StatusCode;

use super::times::{retry_after, LEAST_OFFER};

/// Attempts that found no connection don't count against a request's attempts, but there are not more than these.
const MAX_UNSENT: usize = 4;

/// What has been tried for a request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Attempts that were handed to a store.
    pub offered: usize,
    /// Attempts that found no connection.
    pub unsent: usize,
    /// What all of them together say.
    pub verdict: Verdict,
}

impl Default for Sent {
    fn default() -> Self {
        Self { offered: 0, unsent: 0, verdict: Verdict::NeverRan }
    }
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another store is asked.
    AnotherStore,
    /// The request is given up.
    GiveUp,
}

/// Whether another store may be asked: the request may be repeated after what its attempts say, and has attempts and time left.
pub fn next_step(sent: &Sent, max_attempts: usize, idempotent: bool, left: Duration) -> Next {
    let repeatable = sent.verdict == Verdict::NeverRan || idempotent;
    let within = sent.offered < max_attempts.max(1) && sent.unsent < MAX_UNSENT;
    if repeatable && within && left >= LEAST_OFFER {
        Next::AnotherStore
    } else {
        Next::GiveUp
    }
}

/// The answer to a request that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Its status.
    pub status: StatusCode,
    /// Where the status promises that the request never runs: when to come again.
    pub retry_after: Option<Duration>,
}

/// The answer to a request that was given up with this much time left. Only what never ran gets the promise of a 503.
pub fn failure(verdict: Verdict, left: Duration, objective: Duration) -> Failure {
    match verdict {
        Verdict::NeverRan => {
            let pause = Some(retry_after(left, objective));
            Failure { status: StatusCode::SERVICE_UNAVAILABLE, retry_after: pause }
        }
        _ if left < LEAST_OFFER => Failure { status: StatusCode::GATEWAY_TIMEOUT, retry_after: None },
        _ => Failure { status: StatusCode::BAD_GATEWAY, retry_after: None },
    }
}
