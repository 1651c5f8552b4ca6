//! What the head of a store's answer means for the attempt, decided from the head alone.

use std::time::Duration;

use hyper::http::{header, HeaderMap, Method, StatusCode};

use super::answer::{Load, Refusal};
use crate::headers;

/// The meaning of an answer's head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Meaning {
    /// It is the store's own answer to this request: it has run.
    Own,
    /// The store did not run the request and never will.
    Refused(Refusal),
    /// It can't be this request's answer, or can't be trusted.
    Garbled,
}

/// What a head means, for a request of that method and `Attempt-Id`.
pub fn judge(method: &Method, id: Option<&[u8]>, status: StatusCode, head: &HeaderMap) -> Meaning {
    let carried = head.get(headers::ATTEMPT_ID).map(|value| value.as_bytes());
    if id.is_none() || carried != id {
        return Meaning::Garbled;
    }
    let not_executed = head.contains_key(headers::NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    match (not_executed, is_promise(status)) {
        (true, _) if status.is_success() => Meaning::Garbled,
        (true, _) => Meaning::Refused(refusal(status, head)),
        (false, true) => Meaning::Garbled,
        (false, false) if status.is_success() && !is_whole_success(method, status, head) => Meaning::Garbled,
        (false, false) => Meaning::Own,
    }
}

/// Statuses that promise that a request never runs; without `Not-Executed` they can't be passed on.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
    )
}

/// A success counts only with the stamp, unencoded, and with a body whose end can be told from a cut.
fn is_whole_success(method: &Method, status: StatusCode, head: &HeaderMap) -> bool {
    let stamped = head.contains_key(headers::SERVER_SIGNATURE);
    let plain = !head.contains_key(header::CONTENT_ENCODING);
    let bodiless = method == Method::HEAD || status == StatusCode::NO_CONTENT;
    let framed = head.contains_key(header::CONTENT_LENGTH) || head.contains_key(header::TRANSFER_ENCODING);
    stamped && plain && (bodiless || framed)
}

fn refusal(status: StatusCode, head: &HeaderMap) -> Refusal {
    Refusal { status, retry_after: retry_after(head), load: load(head) }
}

fn retry_after(head: &HeaderMap) -> Option<Duration> {
    headers::seconds(head, &header::RETRY_AFTER)
}

/// The load that a store told: running, waiting, slots.
pub fn load(head: &HeaderMap) -> Option<Load> {
    let mut parts =
        headers::text(head, &headers::SERVER_LOAD)?.split(',').map(|part| part.trim().parse().ok());
    let (running, waiting, slots) = (parts.next()??, parts.next()??, parts.next()??);
    Some(Load { running, waiting, slots })
}
