//! The platform's own protocol: a query is a `POST` to its class's path.

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

/// No client waits longer.
pub const TIMEOUT_MAX_MS: u64 = 600_000;
const NAME_MAX: usize = 128;
/// How far the portions of a query's parts may be from 1 together.
const PORTIONS_OFF: f64 = 0.01;

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

/// Why a request is no query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bad {
    /// The status for it.
    pub status: u16,
    /// What is wrong.
    pub what: String,
}

fn bad(status: u16, what: impl Into<String>) -> Bad {
    Bad { status, what: what.into() }
}

/// The names that requests use.
#[derive(Clone, Debug)]
pub struct Names {
    /// Classes.
    pub classes: HashMap<String, usize>,
    /// By class, whether its queries carry a key.
    pub keyed: Vec<bool>,
    /// Tenants; with none, requests name none.
    pub tenants: HashMap<String, usize>,
    /// How many shards there are.
    pub shards: u32,
    /// Whether blocks move: then the map says which there are, and a range may name one weigher.
    pub moves: bool,
}

/// Reads a query.
pub fn question(head: &Head, body: &[u8], names: &Names, now: Millis) -> Result<Query, Bad> {
    let need = |name: &'static str| {
        head.header(name).filter(|v| !v.is_empty()).ok_or_else(|| bad(400, format!("{name}: missing")))
    };
    let in_path = head.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = need("X-Priority-Class")?;
    let Some(&class_index) = names.classes.get(class) else {
        return Err(bad(404, format!("X-Priority-Class: unknown class `{class}`")));
    };
    if in_path != class {
        return Err(bad(400, format!("path: expected /{class}, as X-Priority-Class says")));
    }
    let name = need("X-Request-ID")?;
    // It becomes part of a line in a frame, and of part ids cut at dots from the right.
    if name.len() > NAME_MAX || !name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(bad(400, "X-Request-ID: expected up to 128 visible characters"));
    }
    let tenant = match names.tenants.is_empty() {
        true => None,
        false => {
            let tenant = need("X-Tenant-Id")?;
            let index = names.tenants.get(tenant);
            Some(*index.ok_or_else(|| bad(403, format!("X-Tenant-Id: unknown tenant `{tenant}`")))?)
        }
    };
    let keyed = names.keyed.get(class_index).copied().unwrap_or(false);
    let key = key::of(head, keyed).map_err(|fault| bad(400, fault.to_string()))?;
    let timeout = need("X-Timeout-Ms")?;
    let timeout: u64 = timeout
        .parse()
        .ok()
        .filter(|ms| (1..=TIMEOUT_MAX_MS).contains(ms))
        .ok_or_else(|| bad(400, format!("X-Timeout-Ms: expected 1 to {TIMEOUT_MAX_MS}")))?;
    let body: Body = serde_json::from_slice(body).map_err(|e| bad(400, format!("body: {e}")))?;
    let mut shards = HashSet::new();
    let mut parts = Vec::with_capacity(body.ranges.len());
    for Range { range, portion, price, hash, weigher } in &body.ranges {
        if !names.moves && *range >= names.shards {
            return Err(bad(400, format!("ranges: no range {range}, there are {}", names.shards)));
        }
        if !shards.insert(*range) {
            return Err(bad(400, format!("ranges: range {range} stands twice")));
        }
        if !(0.0..=1.0).contains(portion) {
            return Err(bad(400, format!("portion: expected 0 to 1, found {portion}")));
        }
        if hash.as_ref().is_some_and(|h| h.len() != 16 || !h.bytes().all(|b| b.is_ascii_hexdigit())) {
            return Err(bad(400, "hash: expected 16 hex digits"));
        }
        let cost_ms = price.filter(|us| us.is_finite() && *us >= 0.0).map(|us| us / 1000.0);
        let weigher = weigher.filter(|_| names.moves);
        parts.push(PartRequest { shard: *range, weight: *portion, cost_ms, weigher });
    }
    if parts.is_empty() {
        return Err(bad(400, "ranges: expected one at least"));
    }
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    if (sum - 1.0).abs() > PORTIONS_OFF {
        return Err(bad(400, format!("portion: together {sum}, expected 1")));
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

/// Writes an answer's body; `None` if it is longer than a body may be, or holds a value that no JSON
/// text can carry unchanged.
pub fn answer(whole: bool, values: &[(u32, OpaqueBytes)]) -> Option<Vec<u8>> {
    let mut body = format!("{{\"total\":{whole},\"answers\":[").into_bytes();
    for (n, (shard, value)) in values.iter().enumerate() {
        let gap = if n == 0 { "" } else { "," };
        body.extend_from_slice(format!("{gap}{{\"range\":{shard},\"blob\":").as_bytes());
        // What needs no escape goes on as it came.
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

/// The advice of a refusal, as a header line.
pub fn retry_after(ms: Millis) -> String {
    if ms > 0.0 {
        format!("Retry-After: {:.3}\r\n", ms / 1000.0)
    } else {
        String::new()
    }
}

/// The platform's front.
pub struct Platform {
    /// Where queries go.
    pub exchange: Rc<Exchange>,
    /// What requests may name.
    pub names: Names,
    /// The time.
    pub clock: Clock,
    /// Whether the broker is ready.
    pub lifecycle: Rc<Lifecycle>,
    /// Advice where the broker holds all that it may.
    pub full_retry_ms: Millis,
}

impl Service for Platform {
    fn accept(&self, head: &Head, body: Vec<u8>) -> Accepted {
        let reply = match (head.method.as_str(), head.path()) {
            ("GET" | "HEAD", "/ready") if !self.lifecycle.is_ready() => Reply::text(503, "not ready"),
            ("GET" | "HEAD", "/ready" | "/health") => Reply::text(200, "ok"),
            ("POST", _) => match question(head, &body, &self.names, self.clock.now()) {
                Err(Bad { status, what }) => Reply::text(status, &what),
                Ok(question) => match self.exchange.submit(question) {
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
        reply(FinalAnswer::Refused { retry_after_ms: self.full_retry_ms })
    }
}

fn reply(final_answer: FinalAnswer) -> Reply {
    match final_answer {
        FinalAnswer::Answered { is_complete, values } => match answer(is_complete, &values) {
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
