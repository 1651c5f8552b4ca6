//! Handles a client's request by its route: forwards it to a store, or passes it to the trainers' API of batch jobs.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::{Limits, RouteKind, Verdict};
use hyper::body::Incoming;
use hyper::http::{header, HeaderValue, Request, StatusCode};
use tokio::time::timeout;

use super::budget::{RequestBudget, RequestPermit};
use super::request_body::{read_body, BodyError};
use crate::forward::{
    Attempts, ForwardError, ForwardedResponse, OutgoingRequest, ResumableStream, StreamedBody,
    StreamedResponse,
};
use crate::routing::{failure_response, request_deadline, retry_after, FailureResponse, RouteEntry};
use crate::{headers, rollout, CloseConnection, Reply, ReplyBody, Shared};

/// Path prefixes of the trainers' API, except for submissions, which have a route of their own.
const JOB_PATH_PREFIXES: [&str; 2] = ["/lots/", "/items/"];
/// Timeout for reading the body of a trainer's request.
const JOB_BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length of a request body if the configuration sets none.
const DEFAULT_MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// Assumed time left and assumed latency target of a request whose route is not known.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(1);

/// Handles a client's request.
pub(super) async fn handle(
    shared: Rc<Shared>,
    budget: Rc<RequestBudget>,
    request: Request<Incoming>,
) -> Result<Reply, CloseConnection> {
    let Some(permit) = budget.admit() else {
        return Ok(unavailable_reply(DEFAULT_TIME_LEFT, DEFAULT_TIME_LEFT));
    };
    let path = request.uri().path();
    if JOB_PATH_PREFIXES.iter().any(|prefix| path.starts_with(prefix)) {
        return handle_job_request(shared, permit, request).await;
    }
    match shared.route(host(&request), path) {
        None => Ok(no_route_reply(&shared)),
        Some(route) if route.kind == RouteKind::Deployment => {
            handle_job_request(shared, permit, request).await
        }
        Some(route) => forward(shared, route, permit, request).await,
    }
}

/// Returns the host of a request, from its URI or its `Host` header.
fn host(request: &Request<Incoming>) -> &str {
    let uri_host = request.uri().host();
    uri_host.or_else(|| headers::text(request.headers(), &header::HOST)).unwrap_or_default()
}

/// Returns the reply if no route matches: 404 only if this edge is certain that its configuration is the newest one, else 503.
fn no_route_reply(shared: &Shared) -> Reply {
    if shared.configuration().is_some() && shared.is_registry_fresh() {
        ReplyBody::empty_reply(StatusCode::NOT_FOUND)
    } else {
        unavailable_reply(DEFAULT_TIME_LEFT, DEFAULT_TIME_LEFT)
    }
}

async fn handle_job_request(
    shared: Rc<Shared>,
    mut permit: RequestPermit,
    request: Request<Incoming>,
) -> Result<Reply, CloseConnection> {
    let (head, body) = request.into_parts();
    let body_read = timeout(JOB_BODY_TIMEOUT, read_body(body, max_body_bytes(&shared), &mut permit));
    match body_read.await.map_err(|_elapsed| CloseConnection)? {
        Ok(body) => rollout::trainer_api::handle(shared, Request::from_parts(head, body)).await,
        Err(error) => body_error_reply(error, DEFAULT_TIME_LEFT, DEFAULT_TIME_LEFT),
    }
}

/// Reads the body of a request and forwards the request to a store.
async fn forward(
    shared: Rc<Shared>,
    route: Rc<RouteEntry>,
    mut permit: RequestPermit,
    request: Request<Incoming>,
) -> Result<Reply, CloseConnection> {
    if !request.headers().contains_key(headers::ATTEMPT_ID) {
        return Ok(ReplyBody::empty_reply(StatusCode::BAD_REQUEST));
    }
    let client_timeout = headers::milliseconds(request.headers(), &headers::DEADLINE_MS);
    let deadline = request_deadline(shared.now(), client_timeout, route.timeout);
    let (head, body) = request.into_parts();
    let time_left = deadline.saturating_sub(shared.now());
    let target_latency = route.target_latency;
    let body = match timeout(time_left, read_body(body, max_body_bytes(&shared), &mut permit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return body_error_reply(error, time_left, target_latency),
        Err(_elapsed) => return body_error_reply(BodyError::NotAdmitted, Duration::ZERO, target_latency),
    };
    let outgoing = Rc::new(OutgoingRequest::new(Request::from_parts(head, body), route, deadline));
    let mut attempts = Attempts::new(Rc::clone(&shared), outgoing);
    match attempts.run(None).await {
        Ok(response) => Ok(response_reply(shared, response, attempts, permit)),
        Err(error) => Ok(forward_error_reply(error, attempts.time_left(), target_latency)),
    }
}

fn max_body_bytes(shared: &Shared) -> usize {
    let limits = shared.configuration().and_then(|configuration| configuration.limits.clone());
    let max_bytes = limits.map_or(0, |limits: Limits| limits.max_body_bytes);
    usize::try_from(if max_bytes == 0 { DEFAULT_MAX_BODY_BYTES } else { max_bytes }).unwrap_or(usize::MAX)
}

fn response_reply(
    shared: Rc<Shared>,
    response: ForwardedResponse,
    attempts: Attempts,
    permit: RequestPermit,
) -> Reply {
    let (status, mut headers, body) = match response {
        ForwardedResponse::Complete(response) => {
            (response.status, response.headers, ReplyBody::complete(response.body))
        }
        ForwardedResponse::Streamed(mut streamed) => {
            let (status, headers) = (streamed.status, std::mem::take(&mut streamed.headers));
            (status, headers, streamed_body(shared, streamed, attempts, permit))
        }
    };
    if matches!(&body, ReplyBody::Streamed(body) if hyper::body::Body::size_hint(body).exact().is_none()) {
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut reply = Reply::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// Returns the body of a reply that is forwarded while it arrives; on a resumable route, one that is resumed at another store.
fn streamed_body(
    shared: Rc<Shared>,
    streamed: StreamedResponse,
    attempts: Attempts,
    permit: RequestPermit,
) -> ReplyBody {
    let route = &attempts.outgoing().route;
    if route.kind == RouteKind::Streaming && route.is_idempotent() {
        return ReplyBody::Streamed(Box::pin(ResumableStream::new(attempts, streamed, permit)));
    }
    let deadline = attempts.outgoing().deadline;
    ReplyBody::Streamed(Box::pin(StreamedBody::new(shared, streamed, deadline, permit)))
}

fn forward_error_reply(error: ForwardError, time_left: Duration, target_latency: Duration) -> Reply {
    match error {
        ForwardError::BadRequest { .. } => ReplyBody::empty_reply(StatusCode::BAD_REQUEST),
        ForwardError::AttemptsExhausted { verdict } => {
            failure_reply(failure_response(verdict, time_left, target_latency))
        }
    }
}

fn body_error_reply(
    error: BodyError,
    time_left: Duration,
    target_latency: Duration,
) -> Result<Reply, CloseConnection> {
    match error {
        BodyError::Disconnected => Err(CloseConnection),
        BodyError::TooLong => {
            Ok(with_connection_close(ReplyBody::empty_reply(StatusCode::PAYLOAD_TOO_LARGE)))
        }
        BodyError::NotAdmitted => Ok(with_connection_close(failure_reply(failure_response(
            Verdict::NeverRan,
            time_left,
            target_latency,
        )))),
    }
}

fn unavailable_reply(time_left: Duration, target_latency: Duration) -> Reply {
    let retry_after = Some(retry_after(time_left, target_latency));
    failure_reply(FailureResponse { status: StatusCode::SERVICE_UNAVAILABLE, retry_after })
}

fn failure_reply(failure: FailureResponse) -> Reply {
    let mut reply = ReplyBody::empty_reply(failure.status);
    if let Some(retry_after) = failure.retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}

fn with_connection_close(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}
