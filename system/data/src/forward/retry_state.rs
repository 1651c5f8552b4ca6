//! The state of the retry policy for one request: what its attempts say together, and the last server error. No I/O.

use std::time::Duration;

use gingerledge_protocol::Verdict;

use super::response::{CompleteResponse, ForwardError, ForwardedResponse};
use crate::routing::{decide_retry, AttemptHistory, RetryDecision, RouteEntry};
use crate::stores::AttemptError;

/// The attempts of one request so far.
#[derive(Default)]
pub(super) struct RetryState {
    history: AttemptHistory,
    /// The last server error of a store, forwarded if no other store does better.
    server_error: Option<CompleteResponse>,
    server_errors: u32,
}

impl RetryState {
    /// Whether another attempt follows.
    pub(super) fn should_retry(&self, route: &RouteEntry, time_left: Duration) -> bool {
        let decision = decide_retry(&self.history, route.max_attempts(), route.is_idempotent(), time_left);
        decision == RetryDecision::Retry
    }

    /// Whether the attempt that starts now may be followed by another one, if it times out.
    pub(super) fn can_retry_after_this(&self, route: &RouteEntry) -> bool {
        route.is_idempotent() && self.history.sent + 1 < route.max_attempts()
    }

    /// Whether an attempt may have run the request.
    pub(super) fn verdict(&self) -> Verdict {
        self.history.verdict
    }

    /// How many stores responded with a server error.
    pub(super) fn server_errors(&self) -> u32 {
        self.server_errors
    }

    /// A store responded.
    pub(super) fn on_response(&mut self) {
        self.history.sent += 1;
    }

    /// An attempt ended without a response.
    pub(super) fn on_no_response(&mut self, error: &AttemptError) {
        match error {
            AttemptError::ConnectFailed
            | AttemptError::NoConnectionAvailable
            | AttemptError::StoreRemoved => {
                self.history.unsent += 1;
            }
            AttemptError::Rejected { .. }
            | AttemptError::Disconnected
            | AttemptError::InvalidResponse
            | AttemptError::TimedOut => self.history.sent += 1,
        }
        self.on_failed(error.verdict());
    }

    /// An attempt failed, maybe after the head of its response.
    pub(super) fn on_failed(&mut self, verdict: Verdict) {
        self.history.verdict = self.history.verdict.and(verdict);
    }

    /// A response is complete: returns it, unless it is a server error and the request may run again.
    pub(super) fn on_complete(
        &mut self,
        route: &RouteEntry,
        response: CompleteResponse,
    ) -> Option<ForwardedResponse> {
        if !response.status.is_server_error() {
            return Some(ForwardedResponse::Complete(response));
        }
        self.server_errors += 1;
        self.history.verdict = Verdict::Ran;
        if !route.is_idempotent() {
            return Some(ForwardedResponse::Complete(response));
        }
        self.server_error = Some(response);
        None
    }

    /// There is no further attempt: the last server error, if there was one.
    pub(super) fn give_up(&mut self) -> Result<ForwardedResponse, ForwardError> {
        let verdict = self.history.verdict;
        let response = self.server_error.take().map(ForwardedResponse::Complete);
        response.ok_or(ForwardError::AttemptsExhausted { verdict })
    }
}
