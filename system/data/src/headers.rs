//! HTTP headers that an edge reads or sets, and the removal of hop-by-hop headers.

use std::time::Duration;

use hyper::http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Id of one attempt; the response must carry the same value.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Time in milliseconds that the caller will wait for the response.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Instance id of the store that the request is sent to.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// Signature that a store adds to its own responses.
pub const SERVER_SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
/// Set by a store that did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Load of the store: the numbers of running requests, waiting requests and slots.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// Time for which the sender keeps an idle connection open.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Id of the event after which a stream is resumed.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Priority of a request at an inference engine, from 0 (most urgent) to 9.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Model that a request is for.
pub const MODEL: HeaderName = HeaderName::from_static("model");
/// Parts of the prompt, as `ID:TOKENS,ID:TOKENS`.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");

const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that are always hop-by-hop, even if `Connection` does not list them.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the hop-by-hop headers, including those that `Connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in connection_header_names(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns the names that `Connection` lists, except for headers that must not be dropped.
fn connection_header_names(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_protected(name))
        .collect()
}

/// Whether a header must be kept even if `Connection` lists it, because the meaning of the message depends on it.
fn is_protected(name: &HeaderName) -> bool {
    [
        ATTEMPT_ID,
        DEADLINE_MS,
        SERVER_SIGNATURE,
        NOT_EXECUTED,
        LAST_EVENT_ID,
        header::HOST,
        header::CONTENT_LENGTH,
    ]
    .contains(name)
}

/// Whether the sender closes the connection after this message.
pub fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Returns the value of a header without surrounding white space; `None` if it is missing or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

/// Parses a header that holds a time in milliseconds, possibly with a fraction.
pub fn milliseconds(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value: f64 = text(headers, name)?.parse().ok()?;
    duration_from_seconds(value / 1_000.0)
}

/// Parses a header that holds a time in seconds, possibly with a fraction.
pub fn seconds(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    duration_from_seconds(text(headers, name)?.parse().ok()?)
}

/// Converts seconds to a duration of at most one day; `None` if the number is negative or not finite.
fn duration_from_seconds(seconds: f64) -> Option<Duration> {
    const MAX_SECONDS: f64 = 86_400.0;
    (seconds.is_finite() && seconds >= 0.0).then(|| Duration::from_secs_f64(seconds.min(MAX_SECONDS)))
}

/// Returns the timeout of a `Keep-Alive: timeout=N` header, where `N` is in seconds.
#[must_use]
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    text(headers, &KEEP_ALIVE)?
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| duration_from_seconds(seconds.trim().parse().ok()?))
}

/// Converts a number to a header value.
#[must_use]
pub fn from_number(value: u128) -> HeaderValue {
    HeaderValue::from_str(&value.to_string()).unwrap_or_else(|_| HeaderValue::from_static("0"))
}
