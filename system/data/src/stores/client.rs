//! Sends requests to stores over pooled connections, and classifies how each attempt ends.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::http::{HeaderValue, Method, Request, Response};
use tokio::time::timeout;

use super::pool::{ConnectionPool, ConnectionSource, PoolError, PooledConnection};
use super::response_class::{classify_response, load, ResponseClass};
use super::{AttemptError, AttemptTimeouts, StoreBody, StoreResponse, StoreTarget};
use crate::headers;

/// The limit of connections to a store whose service's limit isn't known.
const DEFAULT_LIMIT: usize = 4;
/// The least limit of an edge, however many edges share the service's limit.
const MIN_LIMIT: usize = 2;
/// The longest body of a rejection that is read so that the connection can be reused.
const MAX_REJECTION_BYTES: usize = 16 * 1024;
/// The time-out of the body of a rejection.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(10);

/// Sends requests to stores.
pub struct StoreClient {
    pool: ConnectionPool,
    limits: RefCell<HashMap<String, usize>>,
}

impl Default for StoreClient {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreClient {
    /// A client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self { pool: ConnectionPool::new(), limits: RefCell::default() }
    }

    /// Makes one attempt of a request at one store. The request's URI is its path and query; `Expected-Instance` is set here.
    /// `Attempt-Id` must be set by the caller, and the response's must equal it.
    ///
    /// # Errors
    ///
    /// [`AttemptError::Rejected`] if the store did not run the request; other errors if there is no valid response. Any other
    /// response of the store itself, also one of an error, is a [`StoreResponse`].
    pub async fn send(
        &self,
        target: &StoreTarget,
        mut request: Request<Full<Bytes>>,
        timeouts: AttemptTimeouts,
    ) -> Result<StoreResponse, AttemptError> {
        let instance = HeaderValue::from_str(&target.id).map_err(|_| AttemptError::ConnectFailed)?;
        request.headers_mut().insert(headers::EXPECTED_INSTANCE, instance);
        let identity = RequestIdentity::of(&request);
        let (connection, response) = self.exchange(target, request, timeouts).await?;
        receive(connection, response, &identity, timeouts.idle).await
    }

    /// Sets the limit of connections to each store of a service: this edge's share of the service's limit.
    pub fn set_limit(&self, service: &str, connection_limit: usize, edges: usize) {
        let share = (connection_limit / edges.max(1)).max(MIN_LIMIT);
        self.limits.borrow_mut().insert(service.to_owned(), share);
    }

    /// Sets the limit of connections to all stores together.
    pub fn set_total_limit(&self, limit: usize) {
        self.pool.set_total_limit(limit);
    }

    /// The number of idle connections to a store.
    pub fn idle_connections(&self, store: &str) -> usize {
        self.pool.idle_connections(store)
    }

    /// Closes connections that were idle for too long, and idle ones to stores for which `is_known` is false.
    pub fn close_expired(&self, is_known: impl Fn(&str) -> bool) {
        self.pool.close_expired(is_known);
    }

    /// The most connections that this edge may have to each store of a service.
    pub fn connection_limit(&self, service: &str) -> usize {
        self.limits.borrow().get(service).copied().unwrap_or(DEFAULT_LIMIT)
    }

    /// Sends the request and waits for the head of the response. If an idle connection turns out closed before anything was
    /// written, a new one is used.
    async fn exchange(
        &self,
        target: &StoreTarget,
        mut request: Request<Full<Bytes>>,
        timeouts: AttemptTimeouts,
    ) -> Result<(PooledConnection, Response<Incoming>), AttemptError> {
        let began = Instant::now();
        let limit = self.connection_limit(&target.service);
        let mut source = ConnectionSource::IdleOrNew;
        loop {
            let acquired = self.pool.acquire(target, limit, timeouts.connect, source).await;
            let mut connection = acquired.map_err(no_connection)?;
            if !target.takes_requests.get() {
                return Err(AttemptError::StoreRemoved);
            }
            let left = timeouts.head.saturating_sub(began.elapsed());
            match timeout(left, connection.sender.try_send_request(request)).await {
                Err(_elapsed) => return Err(AttemptError::TimedOut),
                Ok(Ok(response)) => return Ok((connection, response)),
                Ok(Err(mut error)) => match unwritten(&mut error) {
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

/// What of a request is needed to classify its response.
struct RequestIdentity {
    method: Method,
    id: Option<HeaderValue>,
}

impl RequestIdentity {
    fn of(request: &Request<Full<Bytes>>) -> Self {
        Self { method: request.method().clone(), id: request.headers().get(headers::ATTEMPT_ID).cloned() }
    }
}

/// The request, if nothing of it was written.
fn unwritten(error: &mut TrySendError<Request<Full<Bytes>>>) -> Option<Request<Full<Bytes>>> {
    error.take_message()
}

async fn receive(
    connection: PooledConnection,
    response: Response<Incoming>,
    identity: &RequestIdentity,
    idle_timeout: Duration,
) -> Result<StoreResponse, AttemptError> {
    let (mut head, incoming) = response.into_parts();
    let id = identity.id.as_ref().map(hyper::http::HeaderValue::as_bytes);
    let class = classify_response(&identity.method, id, head.status, &head.headers);
    if class == ResponseClass::Invalid {
        return Err(AttemptError::InvalidResponse);
    }
    if let Some(time) = headers::keep_alive(&head.headers) {
        connection.slot.store().on_keep_alive(time);
    }
    let load = load(&head.headers);
    let is_reusable = !headers::closes(&head.headers);
    let body = StoreBody::new(incoming, connection, is_reusable, idle_timeout);
    if let ResponseClass::Rejected(rejection) = class {
        drain(body).await;
        return Err(AttemptError::Rejected { rejection });
    }
    headers::strip_hop_by_hop(&mut head.headers);
    Ok(StoreResponse { status: head.status, headers: head.headers, load, body })
}

/// Reads the body of a rejection if it arrives shortly, so that its connection can be reused.
async fn drain(body: StoreBody) {
    if !body.is_end_stream() {
        let _ = timeout(REJECTION_BODY_TIMEOUT, body.collect(MAX_REJECTION_BYTES)).await;
    }
}

fn no_connection(error: PoolError) -> AttemptError {
    match error {
        PoolError::Unreachable => AttemptError::ConnectFailed,
        PoolError::LimitReached => AttemptError::NoConnectionAvailable,
    }
}
