//! State of the retry policy for one request: the combined outcome of its attempts, and the last server error. Performs no I/O.

use std::time::Duration;

use gingerledge_protocol::Verdict;

use super::response::{CompleteResponse, ForwardError, ForwardedResponse};
use crate::routing::{decide_retry, AttemptHistory, RetryDecision, RouteEntry};
use crate::stores::AttemptError;

/// Outcome of the attempts made for one request so far.
#[derive(Default)]
pub(super) struct RetryState {
    history: AttemptHistory,
    /// Last server error of a store, forwarded to the client if no other attempt succeeds.
    server_error: Option<CompleteResponse>,
    /// Number of server errors that stores responded with.
    server_error_count: u32,
}

impl RetryState {
    /// Whether another attempt, or the first one, should be made.
    pub(super) fn should_retry(&self, route: &RouteEntry, time_left: Duration) -> bool {
        let decision = decide_retry(&self.history, route.max_attempts(), route.is_idempotent(), time_left);
        decision == RetryDecision::Retry
    }

    /// Whether another attempt may be made if the attempt that starts now times out.
    pub(super) fn can_retry_after_timeout(&self, route: &RouteEntry) -> bool {
        route.is_idempotent() && self.history.sent_attempts + 1 < route.max_attempts()
    }

    /// Whether any attempt may have run the request.
    pub(super) fn verdict(&self) -> Verdict {
        self.history.verdict
    }

    /// Number of server errors that stores responded with.
    pub(super) fn server_error_count(&self) -> u32 {
        self.server_error_count
    }

    /// Records that a store responded.
    pub(super) fn on_response(&mut self) {
        self.history.sent_attempts += 1;
    }

    /// Records that an attempt ended without a response.
    pub(super) fn on_no_response(&mut self, error: &AttemptError) {
        match error {
            AttemptError::ConnectFailed
            | AttemptError::NoConnectionAvailable
            | AttemptError::StoreRemoved => {
                self.history.unsent_attempts += 1;
            }
            AttemptError::Rejected { .. }
            | AttemptError::Disconnected
            | AttemptError::InvalidResponse
            | AttemptError::TimedOut => self.history.sent_attempts += 1,
        }
        self.merge_verdict(error.verdict());
    }

    /// Adds the verdict of a failed attempt, which may have failed after the head of its response.
    pub(super) fn merge_verdict(&mut self, verdict: Verdict) {
        self.history.verdict = self.history.verdict.and(verdict);
    }

    /// Records a complete response. Returns it for forwarding, unless it is a server error and the request may run again.
    pub(super) fn on_complete(
        &mut self,
        route: &RouteEntry,
        response: CompleteResponse,
    ) -> Option<ForwardedResponse> {
        if !response.status.is_server_error() {
            return Some(ForwardedResponse::Complete(response));
        }
        self.server_error_count += 1;
        self.history.verdict = Verdict::Ran;
        if !route.is_idempotent() {
            return Some(ForwardedResponse::Complete(response));
        }
        self.server_error = Some(response);
        None
    }

    /// Ends the request without a further attempt. Returns the last server error, if there was one.
    pub(super) fn give_up(&mut self) -> Result<ForwardedResponse, ForwardError> {
        let verdict = self.history.verdict;
        let response = self.server_error.take().map(ForwardedResponse::Complete);
        response.ok_or(ForwardError::AttemptsExhausted { verdict })
    }
}
