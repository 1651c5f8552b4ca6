//! The front for the platform's own protocol: a query is a `POST` request to the path of its class.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use gingerledge_dispatch::Millis;
use serde::Deserialize;

use super::{key, Accepted, Reply, Service};
use crate::clock::Clock;
use crate::core::{FinalAnswer, OpaqueBytes, PartRequest, Query, QueryFormat};
use crate::exchange::{Exchange, SubmitError};
use crate::http::{self, Head, BODY_MAX};
use crate::lifecycle::Lifecycle;
use crate::routes::RouteError;

/// Maximum time-out that a client may request, in milliseconds.
pub const TIMEOUT_MAX_MS: u64 = 600_000;
/// Maximum length of a query's name, in bytes.
const NAME_MAX_BYTES: usize = 128;
/// Maximum deviation from 1 of the sum of the portions of a query's parts.
const PORTION_SUM_TOLERANCE: f64 = 0.01;

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    ranges: Vec<Range<'a>>,
    #[serde(borrow)]
    predicate: std::borrow::Cow<'a, str>,
}

#[derive(Deserialize)]
struct Range<'a> {
    range: u32,
    portion: f64,
    price: Option<f64>,
    weigher: Option<u64>,
    #[serde(borrow)]
    hash: Option<std::borrow::Cow<'a, str>>,
}

/// Error for a request that is not a valid query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadRequest {
    /// HTTP status of the reply.
    pub status: u16,
    /// Text of the reply.
    pub message: String,
}

fn bad_request(status: u16, message: impl Into<String>) -> BadRequest {
    BadRequest { status, message: message.into() }
}

/// Names and limits that requests are validated against.
#[derive(Clone, Debug)]
pub struct RequestNames {
    /// Indices of classes, by name.
    pub classes: HashMap<String, usize>,
    /// Whether the queries of a class must carry an idempotency key, by class index.
    pub keyed: Vec<bool>,
    /// Indices of tenants, by name. If empty, requests need no tenant.
    pub tenants: HashMap<String, usize>,
    /// Number of shards.
    pub shards: u32,
    /// Whether blocks are movable. If so, the block map defines which blocks exist, and a range may select one weigher.
    pub has_movable_blocks: bool,
}

/// Parses a query.
///
/// # Errors
///
/// The reply to a request that is not a valid query.
pub fn parse_query(head: &Head, body: &[u8], names: &RequestNames, now: Millis) -> Result<Query, BadRequest> {
    let required_header = |name: &'static str| {
        head.header(name)
            .filter(|v| !v.is_empty())
            .ok_or_else(|| bad_request(400, format!("{name}: missing")))
    };
    let path_class = head.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = required_header("X-Priority-Class")?;
    let Some(&class_index) = names.classes.get(class) else {
        return Err(bad_request(404, format!("X-Priority-Class: unknown class `{class}`")));
    };
    if path_class != class {
        return Err(bad_request(400, format!("path: expected /{class}, as X-Priority-Class says")));
    }
    let name = required_header("X-Request-ID")?;
    // The name becomes part of a line in a frame, and of part ids, which are split at dots from the right.
    if name.len() > NAME_MAX_BYTES || !name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(bad_request(400, "X-Request-ID: expected up to 128 visible characters"));
    }
    let tenant = match names.tenants.is_empty() {
        true => None,
        false => {
            let tenant = required_header("X-Tenant-Id")?;
            let index = names.tenants.get(tenant);
            Some(*index.ok_or_else(|| bad_request(403, format!("X-Tenant-Id: unknown tenant `{tenant}`")))?)
        }
    };
    let keyed = names.keyed.get(class_index).copied().unwrap_or(false);
    let key = key::read_key(head, keyed).map_err(|fault| bad_request(400, fault.to_string()))?;
    let timeout = required_header("X-Timeout-Ms")?;
    let timeout: u64 = timeout
        .parse()
        .ok()
        .filter(|ms| (1..=TIMEOUT_MAX_MS).contains(ms))
        .ok_or_else(|| bad_request(400, format!("X-Timeout-Ms: expected 1 to {TIMEOUT_MAX_MS}")))?;
    let body: Body = serde_json::from_slice(body).map_err(|e| bad_request(400, format!("body: {e}")))?;
    let mut shards = HashSet::new();
    let mut parts = Vec::with_capacity(body.ranges.len());
    for Range { range, portion, price, hash, weigher } in &body.ranges {
        if !names.has_movable_blocks && *range >= names.shards {
            return Err(bad_request(400, format!("ranges: no range {range}, there are {}", names.shards)));
        }
        if !shards.insert(*range) {
            return Err(bad_request(400, format!("ranges: range {range} stands twice")));
        }
        if !(0.0..=1.0).contains(portion) {
            return Err(bad_request(400, format!("portion: expected 0 to 1, found {portion}")));
        }
        if hash.as_ref().is_some_and(|h| h.len() != 16 || !h.bytes().all(|b| b.is_ascii_hexdigit())) {
            return Err(bad_request(400, "hash: expected 16 hex digits"));
        }
        let cost_ms = price.filter(|us| us.is_finite() && *us >= 0.0).map(|us| us / 1000.0);
        let weigher = weigher.filter(|_| names.has_movable_blocks);
        parts.push(PartRequest { shard: *range, weight: *portion, cost_ms, weigher });
    }
    if parts.is_empty() {
        return Err(bad_request(400, "ranges: expected one at least"));
    }
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    if (sum - 1.0).abs() > PORTION_SUM_TOLERANCE {
        return Err(bad_request(400, format!("portion: together {sum}, expected 1")));
    }
    Ok(Query {
        name: name.into(),
        class: class_index,
        tenant,
        deadline: now + timeout as f64,
        is_retry: head.header("X-Retried") == Some("1"),
        key,
        parts,
        text: body.predicate.as_bytes().into(),
        format: QueryFormat::Opaque,
    })
}

/// Encodes the body of an answer; `None` if it exceeds the maximum length of a body, or a value is not valid UTF-8 and thus
/// can't be a JSON string.
pub fn encode_answer(is_complete: bool, values: &[(u32, OpaqueBytes)]) -> Option<Vec<u8>> {
    let mut body = format!("{{\"total\":{is_complete},\"answers\":[").into_bytes();
    for (n, (shard, value)) in values.iter().enumerate() {
        let separator = if n == 0 { "" } else { "," };
        body.extend_from_slice(format!("{separator}{{\"range\":{shard},\"blob\":").as_bytes());
        // Values without characters that JSON escapes are copied unchanged.
        if value.iter().all(|&b| (b' '..=b'~').contains(&b) && b != b'"' && b != b'\\') {
            body.push(b'"');
            body.extend_from_slice(value);
            body.push(b'"');
        } else {
            let text = std::str::from_utf8(value).ok()?;
            serde_json::to_writer(&mut body, text).ok()?;
        }
        body.push(b'}');
    }
    body.extend_from_slice(b"]}");
    (body.len() <= BODY_MAX).then_some(body)
}

/// Returns the `Retry-After` header line for a delay in milliseconds; empty if there is none.
pub fn retry_after(ms: Millis) -> String {
    if ms > 0.0 {
        format!("Retry-After: {:.3}\r\n", ms / 1000.0)
    } else {
        String::new()
    }
}

/// The service of the platform's front.
pub struct Platform {
    /// The exchange to which queries are submitted.
    pub exchange: Rc<Exchange>,
    /// Names and limits that requests are validated against.
    pub names: RequestNames,
    /// The program's clock.
    pub clock: Clock,
    /// The broker's lifecycle, which determines whether it is ready.
    pub lifecycle: Rc<Lifecycle>,
    /// Retry delay sent to clients while the broker is at capacity, in milliseconds.
    pub overload_retry_ms: Millis,
}

impl Service for Platform {
    fn accept(&self, head: &Head, body: Vec<u8>) -> Accepted {
        let reply = match (head.method.as_str(), head.path()) {
            ("GET" | "HEAD", "/ready") if !self.lifecycle.is_ready() => Reply::text(503, "not ready"),
            ("GET" | "HEAD", "/ready" | "/health") => Reply::text(200, "ok"),
            ("POST", _) => match parse_query(head, &body, &self.names, self.clock.now()) {
                Err(BadRequest { status, message }) => Reply::text(status, &message),
                Ok(query) => match self.exchange.submit(query) {
                    Ok(ticket) => return Accepted::Query(ticket, Box::new(reply)),
                    Err(SubmitError::AtCapacity) => self.overloaded(),
                    Err(SubmitError::Unrouted(RouteError::NoMap)) => self.overloaded(),
                    Err(SubmitError::Unrouted(reason @ RouteError::Unknown(_))) => {
                        Reply::text(404, &format!("ranges: {reason}"))
                    }
                    Err(SubmitError::Unrouted(reason)) => Reply::text(409, &format!("ranges: {reason}")),
                    Err(SubmitError::Duplicate) => Reply::text(409, "X-Request-ID: such a request is open"),
                },
            },
            ("GET" | "HEAD", _) => Reply::text(404, "no such path"),
            _ => Reply::text(405, "queries are posted"),
        };
        Accepted::Reply(reply)
    }

    fn unreadable(&self, fault: http::Fault) -> Reply {
        Reply::text(fault.status(), &fault.to_string())
    }

    fn overloaded(&self) -> Reply {
        reply(FinalAnswer::Refused { retry_after_ms: self.overload_retry_ms })
    }
}

fn reply(final_answer: FinalAnswer) -> Reply {
    match final_answer {
        FinalAnswer::Answered { is_complete, values } => match encode_answer(is_complete, &values) {
            Some(body) => {
                Reply { status: 200, headers: "Content-Type: application/json\r\n".to_owned(), body }
            }
            None => Reply::text(502, "the stores' values don't fit an answer"),
        },
        FinalAnswer::Refused { retry_after_ms } => {
            let reply = Reply::text(503, "refused; trying again is harmless");
            Reply { headers: reply.headers + &retry_after(retry_after_ms), ..reply }
        }
        FinalAnswer::Failed => Reply::text(504, "failed"),
    }
}
