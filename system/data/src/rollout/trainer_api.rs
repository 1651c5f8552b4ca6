//! The HTTP API of trainers: submits and ends batch jobs, and reads their results and the bodies of items.
//!
//! The response 202 is sent only after the backends acknowledged that the batch job is durable. The response 503 to a submission promises
//! that nothing of the batch job runs, so it is sent only if no backend can have accepted the submission. If that is not certain, the
//! connection is closed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::{ItemState, ListedResult, ResultPage};
use gingerledge_wire::{partition_of, DriverLeaseState, DriverTerm, JobsRequest, JobsResponse, ResultRecord};
use hyper::http::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::http::{HeaderMap, HeaderValue, Method, Request, StatusCode};

use super::backend_client::{member_address, ChainMember};
use super::submission::{self, SubmissionMetadata};
use super::{delegation, driver, driver_lease};
use crate::{CloseConnection, Reply, ReplyBody, Shared};

/// The time-out of a submission; a client can set a shorter deadline.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(4);
/// The time-out of a submission as a fraction of the client's deadline, so that the response arrives before the deadline.
const DEADLINE_FRACTION: f64 = 0.9;
/// The time-out of a read, in addition to its long-polling time. Clients allow 1.5 s.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The time-out of a request to end a batch job.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum long-polling time of a read.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The maximum size of the texts in one page of results, in bytes. The JSON of the page is longer, and bounded by [`MAX_PAGE_BYTES`].
const MAX_PAGE_TEXT_BYTES: u64 = 800_000;
/// The maximum size of one page of results as JSON, in bytes.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// The time after which a trainer may retry a submission, in seconds: a chain can be reconfigured in this time.
const RETRY_AFTER_S: &str = "0.5";

/// Handles a trainer's request whose body has been received completely.
///
/// # Errors
///
/// [`CloseConnection`] if it is unknown whether a submission took effect.
pub async fn handle(shared: Rc<Shared>, request: Request<Bytes>) -> Result<Reply, CloseConnection> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    if let Some(job) = path.strip_prefix("/lots/") {
        return match *request.method() {
            Method::GET => Ok(read_results(&shared, job, &query, request.headers()).await),
            Method::DELETE => Ok(end_job(&shared, job).await),
            _ => Ok(ReplyBody::empty_reply(StatusCode::METHOD_NOT_ALLOWED)),
        };
    }
    if let Some(job) = path.strip_prefix("/items/") {
        return Ok(read_item_body(&shared, job, &query).await);
    }
    submit(&shared, request).await
}

async fn submit(shared: &Rc<Shared>, request: Request<Bytes>) -> Result<Reply, CloseConnection> {
    let headers = request.headers();
    let Some(id) = header_text(headers, "attempt-id").filter(|id| !id.is_empty()) else {
        return Ok(ReplyBody::empty_reply(StatusCode::BAD_REQUEST));
    };
    let host =
        headers.get(HOST).and_then(|host| host.to_str().ok()).or(request.uri().host()).unwrap_or_default();
    let metadata = SubmissionMetadata {
        id: id.to_owned(),
        host: host.to_owned(),
        path: request.uri().path().to_owned(),
    };
    let timeout = parse::<u32>(header_text(headers, "deadline-ms")).map_or(SUBMIT_TIMEOUT, |deadline_ms| {
        SUBMIT_TIMEOUT.min(Duration::from_millis(deadline_ms.into()).mul_f64(DEADLINE_FRACTION))
    });
    let job = match submission::parse(metadata, request.body()) {
        Ok(job) => Arc::new(job),
        Err(error) => {
            log::warn!("{error}");
            return Ok(ReplyBody::empty_reply(StatusCode::BAD_REQUEST));
        }
    };
    let partition = partition_of(&job.id);
    if shared.registry(|registry| member_address(registry, partition, ChainMember::Head)).is_none() {
        return Ok(not_accepted());
    }
    let sent_at = shared.now();
    let body = JobsRequest::CreateJob { job: Arc::clone(&job) };
    let outcome = shared.rollout.backends.request(shared, &job.id, ChainMember::Head, body, timeout).await;
    match outcome.response {
        Some(JobsResponse::Created { driver_term }) => {
            driver_lease::report_model_use(shared, &job);
            if let Some(term) = driver_term {
                let assignment = driver::Assignment::for_new_job(job, term);
                let age = shared.now().saturating_sub(sent_at);
                if !delegation::delegate(shared, &assignment, age) {
                    let lease_valid_until = sent_at + driver_lease::lease_duration(shared);
                    driver::start_job(shared, assignment, lease_valid_until);
                }
            }
            Ok(ReplyBody::empty_reply(StatusCode::ACCEPTED))
        }
        // The batch job was accepted by an earlier submission, and has ended since.
        Some(JobsResponse::Ended) => Ok(ReplyBody::empty_reply(StatusCode::ACCEPTED)),
        _ if outcome.may_have_executed => Err(CloseConnection),
        Some(JobsResponse::CapacityExceeded) | None => Ok(not_accepted()),
        Some(_) => Err(CloseConnection),
    }
}

async fn read_results(shared: &Rc<Shared>, job: &str, query: &str, headers: &HeaderMap) -> Reply {
    let start_after = parse(query_parameter(query, "startAfter")).unwrap_or(0);
    let wait = Duration::from_millis(parse::<u32>(header_text(headers, "wait-ms")).unwrap_or(0).into())
        .min(MAX_WAIT);
    let body = JobsRequest::ReadResults {
        job: job.to_owned(),
        start_after,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
        max_bytes: MAX_PAGE_TEXT_BYTES,
    };
    let outcome =
        shared.rollout.backends.request(shared, job, ChainMember::Tail, body, wait + READ_TIMEOUT).await;
    match outcome.response {
        Some(JobsResponse::Results { total, results, .. }) => page_reply(total, start_after, results),
        Some(JobsResponse::NotFound) => ReplyBody::empty_reply(StatusCode::NOT_FOUND),
        _ => ReplyBody::empty_reply(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// A page of results as JSON. The number of results is halved until the page has at most [`MAX_PAGE_BYTES`]; a page with a single result
/// may be larger, so that every result can be read.
fn page_reply(total: u64, start_after: u64, results: Vec<(String, ResultRecord)>) -> Reply {
    let mut page = ResultPage { total, next_page_token: start_after, results: Vec::new() };
    page.results.extend(results.into_iter().map(|(id, result)| listed_result(id, result)));
    loop {
        page.next_page_token = start_after + page.results.len() as u64;
        let Ok(json) = serde_json::to_vec(&page) else {
            return ReplyBody::empty_reply(StatusCode::SERVICE_UNAVAILABLE);
        };
        if json.len() <= MAX_PAGE_BYTES || page.results.len() <= 1 {
            return ok_reply("application/json", json.into());
        }
        page.results.truncate(page.results.len() / 2);
    }
}

fn listed_result(id: String, result: ResultRecord) -> ListedResult {
    let text = String::from_utf8(result.text)
        .unwrap_or_else(|error| String::from_utf8_lossy(error.as_bytes()).into_owned());
    let state = if result.completed { ItemState::Completed } else { ItemState::Abandoned };
    ListedResult { id, state, text, versions: result.versions, score: result.score }
}

async fn read_item_body(shared: &Rc<Shared>, job: &str, query: &str) -> Reply {
    let Some(item) = query_parameter(query, "id") else {
        return ReplyBody::empty_reply(StatusCode::NOT_FOUND);
    };
    let body = JobsRequest::ReadItemBody { job: job.to_owned(), item: item.to_owned() };
    let outcome = shared.rollout.backends.request(shared, job, ChainMember::Tail, body, READ_TIMEOUT).await;
    match outcome.response {
        Some(JobsResponse::ItemBody(bytes)) => ok_reply("application/octet-stream", bytes.into()),
        Some(JobsResponse::NotFound) => ReplyBody::empty_reply(StatusCode::NOT_FOUND),
        _ => ReplyBody::empty_reply(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn end_job(shared: &Rc<Shared>, job: &str) -> Reply {
    let body = JobsRequest::EndJob { job: job.to_owned() };
    let outcome = shared.rollout.backends.request(shared, job, ChainMember::Head, body, END_TIMEOUT).await;
    match outcome.response {
        Some(JobsResponse::Ended) => {
            shared.rollout.jobs.stop(job, DriverTerm::MAX, DriverLeaseState::Ended, shared.now());
            ReplyBody::empty_reply(StatusCode::OK)
        }
        Some(JobsResponse::NotFound) => ReplyBody::empty_reply(StatusCode::NOT_FOUND),
        // The request may have been executed, so the outcome is unknown.
        _ => ReplyBody::empty_reply(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// The response to a submission that no backend can have accepted.
fn not_accepted() -> Reply {
    let mut reply = ReplyBody::empty_reply(StatusCode::SERVICE_UNAVAILABLE);
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    reply
}

fn ok_reply(content_type: &'static str, body: Bytes) -> Reply {
    let mut reply = Reply::new(ReplyBody::complete(body));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn parse<T: std::str::FromStr>(text: Option<&str>) -> Option<T> {
    text?.parse().ok()
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value))
}
