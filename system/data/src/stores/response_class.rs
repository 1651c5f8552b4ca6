//! Classifies a store's response from its head alone: whether the response belongs to the request, and whether the request ran.

use std::time::Duration;

use hyper::http::{header, HeaderMap, Method, StatusCode};

use super::rejection::{Rejection, StoreLoad};
use crate::headers;

/// Class of a store's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseClass {
    /// The response is the store's own response to this request, so the request has run.
    Executed,
    /// The store did not run the request and never will.
    Rejected(Rejection),
    /// The response does not belong to this request, or cannot be trusted.
    Invalid,
}

/// Classifies the response to a request with a given method and `Attempt-Id`.
pub fn classify_response(
    method: &Method,
    id: Option<&[u8]>,
    status: StatusCode,
    head: &HeaderMap,
) -> ResponseClass {
    let response_id = head.get(headers::ATTEMPT_ID).map(hyper::http::HeaderValue::as_bytes);
    if id.is_none() || response_id != id {
        return ResponseClass::Invalid;
    }
    let not_executed = head.contains_key(headers::NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    match (not_executed, promises_never_ran(status)) {
        (true, _) if status.is_success() => ResponseClass::Invalid,
        (true, _) => ResponseClass::Rejected(rejection(status, head)),
        (false, true) => ResponseClass::Invalid,
        (false, false) if status.is_success() && !is_valid_success(method, status, head) => {
            ResponseClass::Invalid
        }
        (false, false) => ResponseClass::Executed,
    }
}

/// Whether a status promises to the client that the request never ran. Without `Not-Executed`, such a response cannot be forwarded.
fn promises_never_ran(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
    )
}

/// Whether a successful response is valid: it must have a signature, no content encoding, and a body whose truncation would be
/// detected.
fn is_valid_success(method: &Method, status: StatusCode, head: &HeaderMap) -> bool {
    let is_signed = head.contains_key(headers::SERVER_SIGNATURE);
    let is_unencoded = !head.contains_key(header::CONTENT_ENCODING);
    let has_no_body = method == Method::HEAD || status == StatusCode::NO_CONTENT;
    let is_framed = head.contains_key(header::CONTENT_LENGTH) || head.contains_key(header::TRANSFER_ENCODING);
    is_signed && is_unencoded && (has_no_body || is_framed)
}

fn rejection(status: StatusCode, head: &HeaderMap) -> Rejection {
    Rejection { status, retry_after: retry_after(head), load: reported_load(head) }
}

fn retry_after(head: &HeaderMap) -> Option<Duration> {
    headers::seconds(head, &header::RETRY_AFTER)
}

/// Parses the load that a store reports in `Server-Load`, as `RUNNING,WAITING,SLOTS`.
#[must_use]
pub fn reported_load(head: &HeaderMap) -> Option<StoreLoad> {
    let mut parts =
        headers::text(head, &headers::SERVER_LOAD)?.split(',').map(|part| part.trim().parse().ok());
    let (running, waiting, slots) = (parts.next()??, parts.next()??, parts.next()??);
    Some(StoreLoad { running, waiting, slots })
}
