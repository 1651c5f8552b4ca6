//! Answers one request of a client: by its route, from a store or from the driver of batch jobs.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::{Limits, RouteKind, Verdict};
use hyper::body::Incoming;
use hyper::http::{header, HeaderValue, Request, StatusCode};
use tokio::time::timeout;

use super::budget::{Budget, Room};
use super::reading::{read, Unread};
use crate::forward::{Answer, Attempts, GivenUp, Outgoing, ResumableStream, Streamed, StreamedBody};
use crate::routing::{failure, give_up_at, retry_after, Failure, RouteEntry};
use crate::{headers, rollout, CloseConnection, Reply, ReplyBody, Shared};

/// Paths of the calls about batch jobs.
const JOB_PATHS: [&str; 2] = ["/lots/", "/items/"];
/// How long the body of a call about batch jobs may take.
const JOB_BODY_TIME: Duration = Duration::from_secs(20);
/// The longest body while no configuration says another.
const ASSUMED_MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// What a client whose route isn't known yet is taken to have left, and its objective.
const ASSUMED_LEFT: Duration = Duration::from_secs(1);

/// Answers a request.
pub async fn answer(
    shared: Rc<Shared>,
    budget: Rc<Budget>,
    request: Request<Incoming>,
) -> Result<Reply, CloseConnection> {
    let Some(room) = budget.admit() else { return Ok(come_again(ASSUMED_LEFT, ASSUMED_LEFT)) };
    let path = request.uri().path();
    if JOB_PATHS.iter().any(|prefix| path.starts_with(prefix)) {
        return job_call(shared, room, request).await;
    }
    match shared.route(host(&request), path) {
        None => Ok(no_route(&shared)),
        Some(route) if route.kind == RouteKind::Deployment => job_call(shared, room, request).await,
        Some(route) => forward(shared, route, room, request).await,
    }
}

/// The host that a request names.
fn host(request: &Request<Incoming>) -> &str {
    let named = request.uri().host();
    named.or_else(|| headers::text(request.headers(), &header::HOST)).unwrap_or_default()
}

/// Nothing is there: for sure, or as far as an edge knows that does not know all.
fn no_route(shared: &Shared) -> Reply {
    if shared.configuration().is_some() && shared.fresh() {
        ReplyBody::status(StatusCode::NOT_FOUND)
    } else {
        come_again(ASSUMED_LEFT, ASSUMED_LEFT)
    }
}

async fn job_call(
    shared: Rc<Shared>,
    mut room: Room,
    request: Request<Incoming>,
) -> Result<Reply, CloseConnection> {
    let (head, body) = request.into_parts();
    let reading = timeout(JOB_BODY_TIME, read(body, max_body(&shared), &mut room));
    match reading.await.map_err(|_elapsed| CloseConnection)? {
        Ok(body) => rollout::trainer_api::handle(shared, Request::from_parts(head, body)).await,
        Err(unread) => not_read(unread, ASSUMED_LEFT, ASSUMED_LEFT),
    }
}

async fn forward(
    shared: Rc<Shared>,
    route: Rc<RouteEntry>,
    mut room: Room,
    request: Request<Incoming>,
) -> Result<Reply, CloseConnection> {
    if !request.headers().contains_key(headers::ATTEMPT_ID) {
        return Ok(ReplyBody::status(StatusCode::BAD_REQUEST));
    }
    let deadline = headers::milliseconds(request.headers(), &headers::DEADLINE_MS);
    let until = give_up_at(shared.now(), deadline, route.timeout);
    let (head, body) = request.into_parts();
    let left = until.saturating_sub(shared.now());
    let objective = route.objective;
    let body = match timeout(left, read(body, max_body(&shared), &mut room)).await {
        Ok(Ok(body)) => body,
        Ok(Err(unread)) => return not_read(unread, left, objective),
        Err(_elapsed) => return not_read(Unread::NoRoom, Duration::ZERO, objective),
    };
    let outgoing = Rc::new(Outgoing::new(Request::from_parts(head, body), route, until));
    let mut attempts = Attempts::new(Rc::clone(&shared), outgoing);
    match attempts.run(None).await {
        Ok(answer) => Ok(pass_on(shared, answer, attempts, room)),
        Err(given_up) => Ok(give_up(given_up, attempts.left(), objective)),
    }
}

fn max_body(shared: &Shared) -> usize {
    let limits = shared.configuration().and_then(|configuration| configuration.limits.clone());
    let most = limits.map_or(0, |limits: Limits| limits.max_body_bytes);
    usize::try_from(if most == 0 { ASSUMED_MAX_BODY_BYTES } else { most }).unwrap_or(usize::MAX)
}

fn pass_on(shared: Rc<Shared>, answer: Answer, attempts: Attempts, room: Room) -> Reply {
    let (status, mut headers, body) = match answer {
        Answer::Whole(whole) => (whole.status, whole.headers, ReplyBody::whole(whole.body)),
        Answer::Streamed(mut streamed) => {
            let (status, headers) = (streamed.status, std::mem::take(&mut streamed.headers));
            (status, headers, stream(shared, streamed, attempts, room))
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

fn stream(shared: Rc<Shared>, streamed: Streamed, attempts: Attempts, room: Room) -> ReplyBody {
    let route = &attempts.outgoing().route;
    if route.kind == RouteKind::Streaming && route.idempotent() {
        return ReplyBody::Streamed(Box::pin(ResumableStream::new(attempts, streamed, room)));
    }
    let until = attempts.outgoing().until;
    ReplyBody::Streamed(Box::pin(StreamedBody::new(shared, streamed, until, room)))
}

fn give_up(given_up: GivenUp, left: Duration, objective: Duration) -> Reply {
    if given_up.bad_request {
        return ReplyBody::status(StatusCode::BAD_REQUEST);
    }
    reply_of(failure(given_up.verdict, left, objective))
}

fn not_read(unread: Unread, left: Duration, objective: Duration) -> Result<Reply, CloseConnection> {
    match unread {
        Unread::Broken => Err(CloseConnection),
        Unread::TooLong => Ok(closing(ReplyBody::status(StatusCode::PAYLOAD_TOO_LARGE))),
        Unread::NoRoom => Ok(closing(reply_of(failure(Verdict::NeverRan, left, objective)))),
    }
}

fn come_again(left: Duration, objective: Duration) -> Reply {
    let pause = Some(retry_after(left, objective));
    reply_of(Failure { status: StatusCode::SERVICE_UNAVAILABLE, retry_after: pause })
}

fn reply_of(failure: Failure) -> Reply {
    let mut reply = ReplyBody::status(failure.status);
    if let Some(pause) = failure.retry_after {
        let seconds = format!("{:.3}", pause.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}

fn closing(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}
