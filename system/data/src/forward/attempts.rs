//! Makes the attempts of one request, store after store, until one responds or the retry policy ends it.

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

/// Bodies up to this length are buffered before the client gets the head, so that an interruption can still be retried.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;

/// A time-out after less than this is no failure of the store: the request had too little time.
const MIN_TIME_OF_A_FAILURE: Duration = Duration::from_millis(250);

/// The attempts of one request.
pub struct Attempts {
    shared: Rc<Shared>,
    outgoing: Rc<OutgoingRequest>,
    retry: RetryState,
    selection: StoreSelection,
    /// When the last attempt started.
    attempt_started_at: Duration,
}

impl Attempts {
    /// Before the first attempt.
    pub fn new(shared: Rc<Shared>, outgoing: Rc<OutgoingRequest>) -> Self {
        Self {
            selection: StoreSelection::new(&outgoing),
            shared,
            outgoing,
            retry: RetryState::default(),
            attempt_started_at: Duration::ZERO,
        }
    }

    /// How many stores responded with a server error.
    pub fn server_errors(&self) -> u32 {
        self.retry.server_errors()
    }

    /// The request.
    pub fn outgoing(&self) -> &OutgoingRequest {
        &self.outgoing
    }

    /// The time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.outgoing.deadline.saturating_sub(self.shared.now())
    }

    /// Makes attempts until a store responds; `last_event` resumes a stream after an event.
    ///
    /// # Errors
    ///
    /// [`ForwardError`] if there is no response to forward.
    pub async fn run(&mut self, last_event: Option<&HeaderValue>) -> Result<ForwardedResponse, ForwardError> {
        while self.retry.should_retry(&self.outgoing.route, self.time_left()) {
            let Some(store) = self.selection.select(&self.shared, &self.outgoing) else { break };
            let in_flight = InFlightGuard::on(&store.in_flight);
            match self.send(&store, last_event).await {
                Ok(response) => {
                    if let Some(response) = self.on_response(response, store, in_flight).await? {
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

    /// A stream was interrupted at its store while it was forwarded.
    pub fn on_stream_interrupted(&mut self, store: &KnownStore) {
        self.shared.health.on_failure(&store.target.id, self.shared.now());
        self.retry.on_failed(Verdict::MayHaveRun);
    }

    fn time_since_attempt(&self) -> Duration {
        self.shared.now().saturating_sub(self.attempt_started_at)
    }

    async fn send(
        &mut self,
        store: &Rc<KnownStore>,
        last_event: Option<&HeaderValue>,
    ) -> Result<StoreResponse, AttemptError> {
        self.selection.on_attempt(store);
        let time_left = self.time_left();
        let timeouts = self.timeouts(time_left);
        self.attempt_started_at = self.shared.now();
        let request = self.outgoing.attempt(time_left, last_event);
        let response = self.shared.stores.send(&store.target, request, timeouts).await?;
        self.outgoing.route.latency.record(self.time_since_attempt());
        self.selection.on_response(&self.shared, &self.outgoing, store);
        Ok(response)
    }

    fn timeouts(&self, time_left: Duration) -> AttemptTimeouts {
        let route = &self.outgoing.route;
        let is_resumable = route.kind == RouteKind::Streaming && route.is_idempotent();
        let can_retry = self.retry.can_retry_after_this(route);
        AttemptTimeouts {
            connect: connect_timeout(time_left),
            head: head_timeout(time_left, route.latency.get(), can_retry),
            idle: idle_timeout(time_left, route.objective, is_resumable),
        }
    }

    /// Handles a store's response: returns what to forward, or `None` to try another store.
    async fn on_response(
        &mut self,
        response: StoreResponse,
        store: Rc<KnownStore>,
        in_flight: InFlightGuard,
    ) -> Result<Option<ForwardedResponse>, ForwardError> {
        let now = self.shared.now();
        self.retry.on_response();
        self.shared.health.on_response(&store.target.id);
        if let Some(load) = response.load {
            store.on_load_report(load, now);
        }
        let StoreResponse { status, headers, body, .. } = response;
        if !self.is_buffered(status, &body) {
            let response = StreamedResponse { status, headers, body, store, in_flight };
            return Ok(Some(ForwardedResponse::Streamed(response)));
        }
        match self.collect(body).await {
            Ok(body) => {
                let response = CompleteResponse { status, headers, body };
                Ok(self.retry.on_complete(&self.outgoing.route, response))
            }
            Err(error) => {
                self.retry.on_failed(error.verdict());
                self.on_attempt_failed(&store, &error)?;
                Ok(None)
            }
        }
    }

    /// Whether a body is buffered completely before the client gets the head.
    fn is_buffered(&self, status: StatusCode, body: &StoreBody) -> bool {
        let is_stream = self.outgoing.route.kind == RouteKind::Streaming && status.is_success();
        !is_stream && body.size_hint().exact().is_some_and(|length| length <= MAX_BUFFERED_BODY_BYTES)
    }

    async fn collect(&self, body: StoreBody) -> Result<Bytes, AttemptError> {
        let collected = timeout(self.time_left(), body.collect(MAX_BUFFERED_BODY_BYTES as usize)).await;
        collected.map_err(|_elapsed| AttemptError::TimedOut)?
    }

    /// Records what a failed attempt reveals about its store.
    ///
    /// # Errors
    ///
    /// [`ForwardError::BadRequest`] if no store would accept the request.
    fn on_attempt_failed(&self, store: &KnownStore, error: &AttemptError) -> Result<(), ForwardError> {
        match *error {
            AttemptError::Rejected { rejection } => return self.on_rejected(store, rejection),
            AttemptError::NoConnectionAvailable | AttemptError::StoreRemoved => {}
            AttemptError::TimedOut if self.time_since_attempt() < MIN_TIME_OF_A_FAILURE => {}
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
