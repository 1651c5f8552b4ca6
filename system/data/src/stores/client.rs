//! Sends requests to stores over pooled connections, and classifies the outcome of each attempt.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::http::{HeaderValue, Method, Request, Response};
use tokio::time::timeout;

use super::carried_ids::IdHash;
use super::pool::{ConnectionPool, ConnectionSource, PoolError, PooledConnection};
use super::response_class::{classify_response, reported_load, ResponseClass};
use super::{AttemptError, AttemptTimeouts, StoreBody, StoreResponse, StoreTarget};
use crate::headers;

/// Maximum number of connections to a store if the limit of its service is not known.
const DEFAULT_CONNECTION_LIMIT: usize = 4;
/// Lower bound of this edge's share of a service's connection limit, however many edges divide the limit.
const MIN_CONNECTION_LIMIT: usize = 2;
/// Maximum length of a rejection body that is read so that the connection can be reused.
const MAX_REJECTION_BYTES: usize = 16 * 1024;
/// Timeout for reading the body of a rejection.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(10);

/// HTTP client for stores.
pub struct StoreClient {
    pool: ConnectionPool,
    /// Maximum number of connections from this edge to each store, by service.
    connection_limits: RefCell<HashMap<String, usize>>,
}

impl Default for StoreClient {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self { pool: ConnectionPool::new(), connection_limits: RefCell::default() }
    }

    /// Makes one attempt of a request at one store. The URI of the request has to consist of the path and query only.
    /// `Expected-Instance` is set here; `Attempt-Id` must be set by the caller, and the response must carry the same value.
    ///
    /// # Errors
    ///
    /// [`AttemptError::Rejected`] if the store did not run the request; other errors if there is no valid response. Any other
    /// response of the store, including one with an error status, is returned as a [`StoreResponse`].
    pub async fn send(
        &self,
        target: &StoreTarget,
        mut request: Request<Full<Bytes>>,
        timeouts: AttemptTimeouts,
    ) -> Result<StoreResponse, AttemptError> {
        let instance = HeaderValue::from_str(&target.id).map_err(|_| AttemptError::ConnectFailed)?;
        request.headers_mut().insert(headers::EXPECTED_INSTANCE, instance);
        let identity = RequestIdentity::from_request(&request);
        let (connection, response) = self.exchange(target, request, timeouts).await?;
        receive_response(connection, response, &identity, timeouts.idle).await
    }

    /// Sets the maximum number of connections to each store of a service: this edge's share of the limit of the service, which
    /// `edge_count` edges divide evenly.
    pub fn set_connection_limit(&self, service: &str, service_limit: usize, edge_count: usize) {
        let share = (service_limit / edge_count.max(1)).max(MIN_CONNECTION_LIMIT);
        self.connection_limits.borrow_mut().insert(service.to_owned(), share);
    }

    /// Sets the maximum number of connections to all stores together.
    pub fn set_total_connection_limit(&self, limit: usize) {
        self.pool.set_total_connection_limit(limit);
    }

    /// Number of idle connections to a store.
    pub fn idle_connections(&self, store: &str) -> usize {
        self.pool.idle_connections(store)
    }

    /// Closes connections whose idle timeout has expired, and idle connections to stores for which `is_known` is false.
    pub fn close_expired(&self, is_known: impl Fn(&str) -> bool) {
        self.pool.close_expired(is_known);
    }

    /// Maximum number of connections that this edge may have to each store of a service.
    pub fn connection_limit(&self, service: &str) -> usize {
        self.connection_limits.borrow().get(service).copied().unwrap_or(DEFAULT_CONNECTION_LIMIT)
    }

    /// Sends the request and waits for the response head. If an idle connection turns out to be closed before any of the request
    /// was written, the request is sent again on a new connection.
    async fn exchange(
        &self,
        target: &StoreTarget,
        mut request: Request<Full<Bytes>>,
        timeouts: AttemptTimeouts,
    ) -> Result<(PooledConnection, Response<Incoming>), AttemptError> {
        let started_at = Instant::now();
        let limit = self.connection_limit(&target.service);
        let id = IdHash::new(request.headers().get(headers::ATTEMPT_ID).map_or(&[], HeaderValue::as_bytes));
        let mut source = ConnectionSource::IdleOrNew;
        loop {
            let acquired = self.pool.acquire(target, id, limit, timeouts.connect, source).await;
            let mut connection = acquired.map_err(to_attempt_error)?;
            if !target.accepts_requests.get() {
                return Err(AttemptError::StoreRemoved);
            }
            let head_time_left = timeouts.head.saturating_sub(started_at.elapsed());
            match timeout(head_time_left, connection.sender.try_send_request(request)).await {
                Err(_elapsed) => return Err(AttemptError::TimedOut),
                Ok(Ok(response)) => return Ok((connection, response)),
                Ok(Err(mut error)) => match take_unwritten_request(&mut error) {
                    Some(returned) if source == ConnectionSource::IdleOrNew => {
                        request = returned;
                        source = ConnectionSource::New;
                    }
                    Some(_) => return Err(AttemptError::ConnectFailed),
                    None if error.error().is_parse() => return Err(AttemptError::InvalidResponse),
                    None => return Err(AttemptError::Disconnected),
                },
            }
        }
    }
}

/// Parts of a request that are needed to classify its response.
struct RequestIdentity {
    method: Method,
    id: Option<HeaderValue>,
}

impl RequestIdentity {
    fn from_request(request: &Request<Full<Bytes>>) -> Self {
        Self { method: request.method().clone(), id: request.headers().get(headers::ATTEMPT_ID).cloned() }
    }
}

/// Returns the request if none of it was written to the connection.
fn take_unwritten_request(error: &mut TrySendError<Request<Full<Bytes>>>) -> Option<Request<Full<Bytes>>> {
    error.take_message()
}

/// Classifies a response by its head, and reads the body of a rejection.
async fn receive_response(
    connection: PooledConnection,
    response: Response<Incoming>,
    identity: &RequestIdentity,
    idle_timeout: Duration,
) -> Result<StoreResponse, AttemptError> {
    let (mut head, incoming_body) = response.into_parts();
    let id = identity.id.as_ref().map(hyper::http::HeaderValue::as_bytes);
    let class = classify_response(&identity.method, id, head.status, &head.headers);
    if class == ResponseClass::Invalid {
        return Err(AttemptError::InvalidResponse);
    }
    if let Some(time) = headers::keep_alive_timeout(&head.headers) {
        connection.slot.store().on_keep_alive(time);
    }
    let load = reported_load(&head.headers);
    let is_reusable = !headers::has_connection_close(&head.headers);
    let body = StoreBody::new(incoming_body, connection, is_reusable, idle_timeout);
    if let ResponseClass::Rejected(rejection) = class {
        drain_rejection(body).await;
        return Err(AttemptError::Rejected { rejection });
    }
    headers::strip_hop_by_hop(&mut head.headers);
    Ok(StoreResponse { status: head.status, headers: head.headers, load, body })
}

/// Reads the body of a rejection if it arrives within a short timeout, so that its connection can be reused.
async fn drain_rejection(body: StoreBody) {
    if !body.is_end_stream() {
        let _ = timeout(REJECTION_BODY_TIMEOUT, body.collect(MAX_REJECTION_BYTES)).await;
    }
}

fn to_attempt_error(error: PoolError) -> AttemptError {
    match error {
        PoolError::Unreachable => AttemptError::ConnectFailed,
        PoolError::LimitReached => AttemptError::NoConnectionAvailable,
    }
}
