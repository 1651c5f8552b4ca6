//! The headers that an edge reads or sets, and those that concern one connection only.

use std::time::Duration;

use hyper::http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The id of one try; the answer carries it back.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// How many milliseconds the caller will wait.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The store that is meant.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// The store's stamp.
pub const SERVER_SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
/// The store's word that it did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// The store's load.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// How long an idle connection is kept.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// The event after which a stream goes on.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The urgency of a request at an engine, 0 to 9.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The model of a request for tokens.
pub const MODEL: HeaderName = HeaderName::from_static("model");
/// The parts of a prompt.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");

const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only, whatever `Connection` names.
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

/// Takes out what concerns one connection only, and what `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in named_by_connection(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_end_to_end(name))
        .collect()
}

/// What a sender can't have dropped by naming it in `Connection`: the message's meaning hangs on it.
fn is_end_to_end(name: &HeaderName) -> bool {
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
pub fn closes(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// The text of a header, if it has one.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

/// A header that holds milliseconds, fractions too.
pub fn milliseconds(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value: f64 = text(headers, name)?.parse().ok()?;
    duration(value / 1_000.0)
}

/// A header that holds seconds, fractions too.
pub fn seconds(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    duration(text(headers, name)?.parse().ok()?)
}

fn duration(seconds: f64) -> Option<Duration> {
    const LONGEST_S: f64 = 86_400.0;
    (seconds.is_finite() && seconds >= 0.0).then(|| Duration::from_secs_f64(seconds.min(LONGEST_S)))
}

/// The time that `Keep-Alive: timeout=N` names.
#[must_use]
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    text(headers, &KEEP_ALIVE)?
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| duration(seconds.trim().parse().ok()?))
}

/// A header value of a number.
#[must_use]
pub fn number(value: u128) -> HeaderValue {
    HeaderValue::from_str(&value.to_string()).unwrap_or_else(|_| HeaderValue::from_static("0"))
}
