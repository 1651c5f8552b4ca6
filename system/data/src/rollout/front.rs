//! Answers the calls of trainers: batch jobs are handed in, read, and ended; bodies of items are read.
//!
//! A 202 follows the word of the backends that they keep the batch job. A 503 to a batch job says that none of it runs, so it is
//! given only where no backend can have taken it; where that is not known, the connection is closed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::{ItemState, ListedResult, ResultPage};
use gingerledge_wire::{partition_of, JobsRequest, JobsResponse, ResultRecord};
use hyper::http::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::http::{HeaderMap, HeaderValue, Method, Request, StatusCode};

use super::backend_client::{member_address, Member};
use super::submission::{self, Arrival};
use super::{driver, hold};
use crate::{CloseConnection, Reply, ReplyBody, Shared};

/// How long a batch job is handed on for where its client sets no deadline.
const CREATE_PATIENCE: Duration = Duration::from_secs(4);
/// Of a client's deadline, the part after which it is answered at the latest.
const DEADLINE_SHARE: f64 = 0.9;
/// Clients wait 1.5 s longer than they allow a read to be held.
const READ_PATIENCE: Duration = Duration::from_millis(1_200);
/// How long the end of a batch job is asked for.
const END_PATIENCE: Duration = Duration::from_secs(3);
/// The longest time that a read is held.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// The most bytes of texts in one page: JSON takes more, and a page may have 1 MB.
const PAGE_TEXT_BYTES: u64 = 800_000;
/// The most bytes of one page.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// When a trainer may ask again: a chain is replaced in that time.
const RETRY_AFTER_S: &str = "0.5";

/// Answers a call of a trainer: its request was read whole.
pub async fn handle(shared: Rc<Shared>, request: Request<Bytes>) -> Result<Reply, CloseConnection> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    if let Some(job) = path.strip_prefix("/lots/") {
        return match *request.method() {
            Method::GET => Ok(results(&shared, job, &query, request.headers()).await),
            Method::DELETE => Ok(end(&shared, job).await),
            _ => Ok(ReplyBody::status(StatusCode::METHOD_NOT_ALLOWED)),
        };
    }
    if let Some(job) = path.strip_prefix("/items/") {
        return Ok(body(&shared, job, &query).await);
    }
    submit(&shared, request).await
}

async fn submit(shared: &Rc<Shared>, request: Request<Bytes>) -> Result<Reply, CloseConnection> {
    let headers = request.headers();
    let Some(id) = text(headers, "attempt-id").filter(|id| !id.is_empty()) else {
        return Ok(ReplyBody::status(StatusCode::BAD_REQUEST));
    };
    let host =
        headers.get(HOST).and_then(|host| host.to_str().ok()).or(request.uri().host()).unwrap_or_default();
    let arrival = Arrival { id: id.to_owned(), host: host.to_owned(), path: request.uri().path().to_owned() };
    let patience = number::<u32>(text(headers, "deadline-ms")).map_or(CREATE_PATIENCE, |deadline| {
        CREATE_PATIENCE.min(Duration::from_millis(deadline.into()).mul_f64(DEADLINE_SHARE))
    });
    let job = match submission::read(arrival, request.body()) {
        Ok(job) => Arc::new(job),
        Err(error) => {
            log::warn!("{error}");
            return Ok(ReplyBody::status(StatusCode::BAD_REQUEST));
        }
    };
    let partition = partition_of(&job.id);
    if shared.registry(|registry| member_address(registry, partition, Member::Head)).is_none() {
        return Ok(not_taken());
    }
    let asked_at = shared.now();
    let question = JobsRequest::CreateJob { job: Arc::clone(&job) };
    let asked = shared.rollout.backends.ask(shared, &job.id, Member::Head, question, patience).await;
    match asked.answer {
        Some(JobsResponse::Created { driver_term }) => {
            hold::tell_model_use(shared, &job);
            if let Some(term) = driver_term {
                let held_until = asked_at + hold::hold_time(shared);
                driver::begin(shared, driver::Assignment::of_new(job, term), held_until);
            }
            Ok(ReplyBody::status(StatusCode::ACCEPTED))
        }
        // It was taken before, and has ended since.
        Some(JobsResponse::Ended) => Ok(ReplyBody::status(StatusCode::ACCEPTED)),
        _ if asked.in_doubt => Err(CloseConnection),
        Some(JobsResponse::CapacityExceeded) | None => Ok(not_taken()),
        Some(_) => Err(CloseConnection),
    }
}

async fn results(shared: &Rc<Shared>, job: &str, query: &str, headers: &HeaderMap) -> Reply {
    let start_after = number(parameter(query, "startAfter")).unwrap_or(0);
    let wait =
        Duration::from_millis(number::<u32>(text(headers, "wait-ms")).unwrap_or(0).into()).min(LONGEST_WAIT);
    let question = JobsRequest::ReadResults {
        job: job.to_owned(),
        start_after,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
        max_bytes: PAGE_TEXT_BYTES,
    };
    let asked = shared.rollout.backends.ask(shared, job, Member::Tail, question, wait + READ_PATIENCE).await;
    match asked.answer {
        Some(JobsResponse::Results { total, results, .. }) => page(total, start_after, results),
        Some(JobsResponse::NotFound) => ReplyBody::status(StatusCode::NOT_FOUND),
        _ => ReplyBody::status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// A page as JSON. It ends before the result that would not fit any more, but has one at least if there is one.
fn page(total: u64, start_after: u64, results: Vec<(String, ResultRecord)>) -> Reply {
    let mut page = ResultPage { total, next_page_token: start_after, results: Vec::new() };
    page.results.extend(results.into_iter().map(|(id, result)| listed(id, result)));
    loop {
        page.next_page_token = start_after + page.results.len() as u64;
        let Ok(json) = serde_json::to_vec(&page) else {
            return ReplyBody::status(StatusCode::SERVICE_UNAVAILABLE);
        };
        if json.len() <= MAX_PAGE_BYTES || page.results.len() <= 1 {
            return with_body("application/json", json.into());
        }
        page.results.truncate(page.results.len() / 2);
    }
}

fn listed(id: String, result: ResultRecord) -> ListedResult {
    let text = String::from_utf8(result.text)
        .unwrap_or_else(|error| String::from_utf8_lossy(error.as_bytes()).into_owned());
    let state = if result.completed { ItemState::Completed } else { ItemState::Abandoned };
    ListedResult { id, state, text, versions: result.versions, score: result.score }
}

async fn body(shared: &Rc<Shared>, job: &str, query: &str) -> Reply {
    let Some(item) = parameter(query, "id") else { return ReplyBody::status(StatusCode::NOT_FOUND) };
    let question = JobsRequest::ReadItemBody { job: job.to_owned(), item: item.to_owned() };
    let asked = shared.rollout.backends.ask(shared, job, Member::Tail, question, READ_PATIENCE).await;
    match asked.answer {
        Some(JobsResponse::ItemBody(bytes)) => with_body("application/octet-stream", bytes.into()),
        Some(JobsResponse::NotFound) => ReplyBody::status(StatusCode::NOT_FOUND),
        _ => ReplyBody::status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn end(shared: &Rc<Shared>, job: &str) -> Reply {
    let question = JobsRequest::EndJob { job: job.to_owned() };
    let asked = shared.rollout.backends.ask(shared, job, Member::Head, question, END_PATIENCE).await;
    match asked.answer {
        Some(JobsResponse::Ended) => {
            driver::ended(shared, job);
            ReplyBody::status(StatusCode::OK)
        }
        Some(JobsResponse::NotFound) => ReplyBody::status(StatusCode::NOT_FOUND),
        // It may have been taken, so this is no promise.
        _ => ReplyBody::status(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn not_taken() -> Reply {
    let mut reply = ReplyBody::status(StatusCode::SERVICE_UNAVAILABLE);
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    reply
}

fn with_body(kind: &'static str, body: Bytes) -> Reply {
    let mut reply = Reply::new(ReplyBody::whole(body));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn number<T: std::str::FromStr>(text: Option<&str>) -> Option<T> {
    text?.parse().ok()
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value))
}
