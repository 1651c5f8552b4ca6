//! Classifies a store's response from its head alone: whether it is one to this request, and whether the request ran.

use std::time::Duration;

use hyper::http::{header, HeaderMap, Method, StatusCode};

use super::rejection::{Rejection, StoreLoad};
use crate::headers;

/// The class of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseClass {
    /// It is the store's own response to this request: the request has run.
    Executed,
    /// The store did not run the request and never will.
    Rejected(Rejection),
    /// It is no response to this request, or can't be trusted.
    Invalid,
}

/// Classifies the response to a request of a method and `Attempt-Id`.
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

/// Statuses that promise that a request never ran; without `Not-Executed` they can't be forwarded.
fn promises_never_ran(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
    )
}

/// A success is valid only with the signature, without a content encoding, and with a body whose truncation would be noticed.
fn is_valid_success(method: &Method, status: StatusCode, head: &HeaderMap) -> bool {
    let is_signed = head.contains_key(headers::SERVER_SIGNATURE);
    let is_unencoded = !head.contains_key(header::CONTENT_ENCODING);
    let has_no_body = method == Method::HEAD || status == StatusCode::NO_CONTENT;
    let is_framed = head.contains_key(header::CONTENT_LENGTH) || head.contains_key(header::TRANSFER_ENCODING);
    is_signed && is_unencoded && (has_no_body || is_framed)
}

fn rejection(status: StatusCode, head: &HeaderMap) -> Rejection {
    Rejection { status, retry_after: retry_after(head), load: load(head) }
}

fn retry_after(head: &HeaderMap) -> Option<Duration> {
    headers::seconds(head, &header::RETRY_AFTER)
}

/// The load that a store reports: running, waiting, slots.
#[must_use]
pub fn load(head: &HeaderMap) -> Option<StoreLoad> {
    let mut parts =
        headers::text(head, &headers::SERVER_LOAD)?.split(',').map(|part| part.trim().parse().ok());
    let (running, waiting, slots) = (parts.next()??, parts.next()??, parts.next()??);
    Some(StoreLoad { running, waiting, slots })
}
