//! Makes the attempts of one request, at one store after another, until a store responds or the retry policy permits no further
//! attempt.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::{RouteKind, Verdict};
use hyper::body::Body;
use hyper::http::{HeaderValue, StatusCode};
use tokio::time::timeout;

use super::outgoing::OutgoingRequest;
use super::response::{CompleteResponse, ForwardError, ForwardedResponse, StreamedResponse};
use super::retry_state::RetryState;
use super::store_selection::StoreSelection;
use crate::index::KnownStore;
use crate::routing::{connect_timeout, head_timeout, idle_timeout};
use crate::stores::{
    AttemptError, AttemptTimeouts, InFlightGuard, Rejection, StoreBody, StoreLoad, StoreResponse,
};
use crate::Shared;

/// Maximum length of a response body that is buffered completely before the response head is sent to the client, so that the
/// request can still be retried if the body is interrupted.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;

/// A timeout after less than this time does not count as a failure of the store, since the request had too little time left.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_millis(250);

/// Makes the attempts of one request and keeps their state.
pub struct Attempts {
    shared: Rc<Shared>,
    outgoing: Rc<OutgoingRequest>,
    retry: RetryState,
    selection: StoreSelection,
    /// Start of the last attempt, on the clock of [`Shared::now`].
    attempt_started_at: Duration,
}

impl Attempts {
    /// Creates the state before the first attempt.
    pub fn new(shared: Rc<Shared>, outgoing: Rc<OutgoingRequest>) -> Self {
        Self {
            selection: StoreSelection::new(&outgoing),
            shared,
            outgoing,
            retry: RetryState::default(),
            attempt_started_at: Duration::ZERO,
        }
    }

    /// Number of server errors that stores responded with.
    pub fn server_error_count(&self) -> u32 {
        self.retry.server_error_count()
    }

    /// The request as it is sent to stores.
    pub fn outgoing(&self) -> &OutgoingRequest {
        &self.outgoing
    }

    /// Time left until the deadline of the request.
    pub fn time_left(&self) -> Duration {
        self.outgoing.deadline.saturating_sub(self.shared.now())
    }

    /// Makes attempts until a store responds. With `last_event_id`, a stream is resumed after that event.
    ///
    /// # Errors
    ///
    /// [`ForwardError`] if no store gave a response that can be forwarded.
    pub async fn run(
        &mut self,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<ForwardedResponse, ForwardError> {
        while self.retry.should_retry(&self.outgoing.route, self.time_left()) {
            let Some(store) = self.selection.select(&self.shared, &self.outgoing) else { break };
            let in_flight_guard = InFlightGuard::new(&store.in_flight_requests);
            match self.send(&store, last_event_id).await {
                Ok(response) => {
                    if let Some(response) = self.on_response(response, store, in_flight_guard).await? {
                        return Ok(response);
                    }
                }
                Err(error) => {
                    self.retry.on_no_response(&error);
                    self.on_attempt_failed(&store, &error)?;
                }
            }
        }
        self.retry.give_up()
    }

    /// Records that a stream was interrupted at its store while it was forwarded.
    pub fn on_stream_interrupted(&mut self, store: &KnownStore) {
        self.shared.health.on_failure(&store.target.id, self.shared.now());
        self.retry.merge_verdict(Verdict::MayHaveRun);
    }

    fn time_since_attempt(&self) -> Duration {
        self.shared.now().saturating_sub(self.attempt_started_at)
    }

    async fn send(
        &mut self,
        store: &Rc<KnownStore>,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<StoreResponse, AttemptError> {
        self.selection.on_attempt(store);
        let time_left = self.time_left();
        let timeouts = self.timeouts(time_left);
        self.attempt_started_at = self.shared.now();
        let request = self.outgoing.build_attempt(time_left, last_event_id);
        let response = self.shared.stores.send(&store.target, request, timeouts).await?;
        self.outgoing.route.average_latency.record(self.time_since_attempt());
        self.selection.on_response(&self.shared, &self.outgoing, store);
        Ok(response)
    }

    fn timeouts(&self, time_left: Duration) -> AttemptTimeouts {
        let route = &self.outgoing.route;
        let is_resumable = route.kind == RouteKind::Streaming && route.is_idempotent();
        let can_retry = self.retry.can_retry_after_timeout(route);
        AttemptTimeouts {
            connect: connect_timeout(time_left),
            head: head_timeout(time_left, route.average_latency.get(), can_retry),
            idle: idle_timeout(time_left, route.target_latency, is_resumable),
        }
    }

    /// Handles a store's response. Returns the response to forward, or `None` if another store should be tried.
    async fn on_response(
        &mut self,
        response: StoreResponse,
        store: Rc<KnownStore>,
        in_flight_guard: InFlightGuard,
    ) -> Result<Option<ForwardedResponse>, ForwardError> {
        let now = self.shared.now();
        self.retry.on_response();
        self.shared.health.on_response(&store.target.id);
        if let Some(load) = response.load {
            store.on_load_report(load, now);
        }
        let StoreResponse { status, headers, body, .. } = response;
        if !self.is_buffered(status, &body) {
            let response = StreamedResponse { status, headers, body, store, in_flight_guard };
            return Ok(Some(ForwardedResponse::Streamed(response)));
        }
        match self.collect(body).await {
            Ok(body) => {
                let response = CompleteResponse { status, headers, body };
                Ok(self.retry.on_complete(&self.outgoing.route, response))
            }
            Err(error) => {
                self.retry.merge_verdict(error.verdict());
                self.on_attempt_failed(&store, &error)?;
                Ok(None)
            }
        }
    }

    /// Whether a response body is buffered completely before the response head is sent to the client.
    fn is_buffered(&self, status: StatusCode, body: &StoreBody) -> bool {
        let is_stream = self.outgoing.route.kind == RouteKind::Streaming && status.is_success();
        !is_stream && body.size_hint().exact().is_some_and(|length| length <= MAX_BUFFERED_BODY_BYTES)
    }

    async fn collect(&self, body: StoreBody) -> Result<Bytes, AttemptError> {
        let collected = timeout(self.time_left(), body.collect(MAX_BUFFERED_BODY_BYTES as usize)).await;
        collected.map_err(|_elapsed| AttemptError::TimedOut)?
    }

    /// Updates the health and the load of a store after a failed attempt.
    ///
    /// # Errors
    ///
    /// [`ForwardError::BadRequest`] if the store rejected the request as invalid, since any other store would reject it too.
    fn on_attempt_failed(&self, store: &KnownStore, error: &AttemptError) -> Result<(), ForwardError> {
        match *error {
            AttemptError::Rejected { rejection } => return self.on_rejected(store, rejection),
            AttemptError::NoConnectionAvailable | AttemptError::StoreRemoved => {}
            AttemptError::TimedOut if self.time_since_attempt() < MIN_FAILURE_TIMEOUT => {}
            AttemptError::ConnectFailed
            | AttemptError::Disconnected
            | AttemptError::InvalidResponse
            | AttemptError::TimedOut => {
                self.shared.health.on_failure(&store.target.id, self.shared.now());
            }
        }
        Ok(())
    }

    fn on_rejected(&self, store: &KnownStore, rejection: Rejection) -> Result<(), ForwardError> {
        let now = self.shared.now();
        match rejection.status {
            StatusCode::BAD_REQUEST => {
                return Err(ForwardError::BadRequest { verdict: self.retry.verdict() });
            }
            StatusCode::MISDIRECTED_REQUEST => self.shared.health.on_failure(&store.target.id, now),
            _ => {
                let slots = u32::try_from(store.slots).unwrap_or(u32::MAX);
                let saturated = StoreLoad { running: slots, waiting: 1, slots };
                store.on_load_report(rejection.load.unwrap_or(saturated), now);
            }
        }
        Ok(())
    }
}
