//! Sends requests to stores over pooled connections, and says of each attempt whether it may have run.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gingerledge_protocol::Verdict;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::http::{HeaderValue, Method, Request, Response};
use tokio::time::timeout;

use super::connection::Connection;
use super::judge::{judge, load, Meaning};
use super::pool::{NoConnection, Pool};
use super::{Attempt, Cause, StoreAnswer, StoreBody, StoreTarget, Timings};
use crate::headers;

/// Connections to a store whose service's limit isn't known.
const ASSUMED_LIMIT: usize = 4;
/// Every edge may have as many, however many edges there are.
const LEAST_LIMIT: usize = 2;
/// The longest body of a refusal that is read to keep the connection.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// How long the body of a refusal may take.
const REFUSAL_BODY_WAIT: Duration = Duration::from_millis(10);

/// Sends requests to stores.
pub struct StoreClient {
    pool: Pool,
    limits: RefCell<HashMap<String, usize>>,
}

impl Default for StoreClient {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreClient {
    /// A client without connections.
    pub fn new() -> Self {
        Self { pool: Pool::new(), limits: RefCell::default() }
    }

    /// One attempt of a request at one store. The request's URI is its path and query; `Expected-Instance` is set here.
    /// `Attempt-Id` must be set by the caller, and the answer's must equal it. A refusal by the store is an [`Attempt`] that
    /// never ran; anything else that the store said itself is an answer.
    pub async fn send(
        &self,
        target: &StoreTarget,
        mut request: Request<Full<Bytes>>,
        timings: Timings,
    ) -> Result<StoreAnswer, Attempt> {
        let instance = HeaderValue::from_str(&target.id).map_err(|_| never_ran(Cause::Connect))?;
        request.headers_mut().insert(headers::EXPECTED_INSTANCE, instance);
        let asked = Asked::of(&request);
        let (connection, response) = self.exchange(target, request, timings).await?;
        settle(connection, response, &asked, timings.silence).await
    }

    /// How many connections to each of a service's stores this edge may have: its share of the service's limit.
    pub fn set_limit(&self, service: &str, connection_limit: usize, edges: usize) {
        let share = (connection_limit / edges.max(1)).max(LEAST_LIMIT);
        self.limits.borrow_mut().insert(service.to_owned(), share);
    }

    /// From now on there are at most so many connections to all stores together.
    pub fn set_most(&self, most: usize) {
        self.pool.set_most(most);
    }

    /// Closes connections that have rested too long, and those to stores that `known` denies.
    pub fn sweep(&self, known: impl Fn(&str) -> bool) {
        self.pool.sweep(known);
    }

    fn limit(&self, service: &str) -> usize {
        self.limits.borrow().get(service).copied().unwrap_or(ASSUMED_LIMIT)
    }

    /// Hands the request over and waits for the head of the answer. Where a resting connection turned out closed before
    /// anything was written, a fresh one is used.
    async fn exchange(
        &self,
        target: &StoreTarget,
        mut request: Request<Full<Bytes>>,
        timings: Timings,
    ) -> Result<(Connection, Response<Incoming>), Attempt> {
        let began = Instant::now();
        let limit = self.limit(&target.service);
        let mut fresh = false;
        loop {
            let taken = self.pool.take(target, limit, timings.connect, fresh).await;
            let mut connection = taken.map_err(no_connection)?;
            if !target.takes_requests.get() {
                return Err(never_ran(Cause::Left));
            }
            let left = timings.head.saturating_sub(began.elapsed());
            match timeout(left, connection.sender.try_send_request(request)).await {
                Err(_elapsed) => return Err(may_have_run(Cause::Silent)),
                Ok(Ok(response)) => return Ok((connection, response)),
                Ok(Err(mut error)) => match unwritten(&mut error) {
                    Some(returned) if !fresh => {
                        request = returned;
                        fresh = true;
                    }
                    Some(_) => return Err(never_ran(Cause::Connect)),
                    None if error.error().is_parse() => return Err(may_have_run(Cause::Garbled)),
                    None => return Err(may_have_run(Cause::Broken)),
                },
            }
        }
    }
}

/// What is kept of a request to judge its answer.
struct Asked {
    method: Method,
    id: Option<HeaderValue>,
}

impl Asked {
    fn of(request: &Request<Full<Bytes>>) -> Self {
        Self { method: request.method().clone(), id: request.headers().get(headers::ATTEMPT_ID).cloned() }
    }
}

/// The request, if nothing of it was written.
fn unwritten(error: &mut TrySendError<Request<Full<Bytes>>>) -> Option<Request<Full<Bytes>>> {
    error.take_message()
}

async fn settle(
    mut connection: Connection,
    response: Response<Incoming>,
    asked: &Asked,
    silence: Duration,
) -> Result<StoreAnswer, Attempt> {
    let (mut head, incoming) = response.into_parts();
    let id = asked.id.as_ref().map(|id| id.as_bytes());
    let meaning = judge(&asked.method, id, head.status, &head.headers);
    if meaning == Meaning::Garbled {
        return Err(may_have_run(Cause::Garbled));
    }
    if let Some(time) = headers::keep_alive(&head.headers) {
        connection.place.store().note_keep_alive(time);
    }
    connection.used = true;
    let load = load(&head.headers);
    let reusable = !headers::closes(&head.headers);
    let body = StoreBody::new(incoming, connection, reusable, silence);
    if let Meaning::Refused(refusal) = meaning {
        keep_connection(body).await;
        return Err(never_ran(Cause::Refused(refusal)));
    }
    headers::strip_hop_by_hop(&mut head.headers);
    Ok(StoreAnswer { status: head.status, headers: head.headers, load, body })
}

/// Reads the body of a refusal if it comes at once, so that its connection can be used again.
async fn keep_connection(body: StoreBody) {
    if !body.is_end_stream() {
        let _ = timeout(REFUSAL_BODY_WAIT, body.collect(MAX_REFUSAL_BYTES)).await;
    }
}

fn no_connection(reason: NoConnection) -> Attempt {
    never_ran(match reason {
        NoConnection::Unreachable => Cause::Connect,
        NoConnection::Busy => Cause::Busy,
    })
}

fn never_ran(cause: Cause) -> Attempt {
    Attempt { verdict: Verdict::NeverRan, cause }
}

fn may_have_run(cause: Cause) -> Attempt {
    Attempt { verdict: Verdict::MayHaveRun, cause }
}
