//! The feature front: OGC API - Features, Part 1, over the same core and under the same rules as the
//! platform's protocol. An items request becomes one query with a part for each weigher block that its
//! box touches; the parts carry the request, and their values are put together in one page.

pub mod describe;
pub mod link;
pub mod query;

use std::cell::Cell;
use std::rc::Rc;

use serde_json::{json, Value};

use self::link::Position;
use self::query::Bad;
use super::{key, Accepted, Reply, Service};
use crate::clock::{Clock, Millis};
use crate::config::features::{Collection, Features};
use crate::core::{FinalAnswer, OpaqueBytes, PartRequest, Query, QueryFormat};
use crate::exchange::{Exchange, SubmitError};
use crate::geojson;
use crate::http::{self, Head, BODY_MAX};
use crate::routes::{RouteError, Routes};

/// Left of a page's bytes for its links and the rest round the features.
const FRAME: usize = 12 * 1024;
/// A failure so soon before the deadline is put down to it.
const NEAR: Millis = 50.0;

/// The feature front.
pub struct Front {
    /// As set up.
    pub set: Rc<Features>,
    /// Where queries go.
    pub exchange: Rc<Exchange>,
    /// The time.
    pub clock: Clock,
    /// What links begin with.
    pub base: Rc<str>,
    /// Where blocks move: the map.
    pub routes: Option<Rc<Routes>>,
    /// Advice where the broker holds all that it may.
    pub full_retry_ms: Millis,
    /// Queries are named after a number that no other start has, and count from there.
    pub named: Cell<u64>,
}

fn json_reply(status: u16, kind: &str, value: &Value) -> Reply {
    Reply { status, headers: format!("Content-Type: {kind}\r\n"), body: value.to_string().into_bytes() }
}

/// An error, as RFC 9457 has it.
fn problem(status: u16, title: &str, detail: &str) -> Reply {
    let body = json!({ "type": "about:blank", "title": title, "status": status, "detail": detail });
    json_reply(status, describe::PROBLEM, &body)
}

fn bad(Bad(fault): Bad) -> Reply {
    problem(400, "Bad Request", &fault)
}

/// Clients of this front may read whole seconds only.
fn refused(retry_after_ms: Millis) -> Reply {
    let mut reply = problem(503, "Service Unavailable", "refused; trying again is harmless");
    let seconds = (retry_after_ms / 1000.0).ceil().max(1.0);
    reply.headers.push_str(&format!("Retry-After: {seconds}\r\n"));
    reply
}

/// Whether a client takes this media type. The most exact range that matches decides.
fn accepts(head: &Head, kind: &str) -> bool {
    let Some(accept) = head.header("Accept").filter(|accept| !accept.is_empty()) else { return true };
    let plain = kind.split(';').next().unwrap_or(kind);
    let (mut taken, mut exactness) = (false, 0);
    for range in accept.split(',') {
        let mut pieces = range.split(';').map(str::trim);
        let name = pieces.next().unwrap_or_default().to_ascii_lowercase();
        let matched = match name.as_str() {
            "*/*" => 1,
            "application/*" => 2,
            // All that this front gives is JSON, whatever its exact name.
            "application/json" if plain != describe::JSON => 3,
            exact if exact == plain => 4,
            _ => continue,
        };
        let weight = pieces.find_map(|piece| piece.strip_prefix("q=")).map_or(Ok(1.0), str::parse::<f64>);
        if matched >= exactness {
            (taken, exactness) = (weight.is_ok_and(|q| q > 0.0), matched);
        }
    }
    taken
}

/// Which features a query asks for.
struct Wanted {
    position: Position,
    /// One feature alone.
    single: Option<String>,
}

impl Wanted {
    /// What each part carries: the request as a store in the feature form reads it, but for the block.
    fn text(&self) -> String {
        let Position { collection, bbox, datetime, limit, after } = &self.position;
        let mut text = format!("collections/{collection}/items?limit={limit}");
        let after = after.as_ref().map(ToString::to_string);
        let given = [("bbox", bbox), ("datetime", datetime), ("after", &after), ("ids", &self.single)];
        for (name, value) in given {
            if let Some(value) = value {
                text.push_str(&format!("&{name}={}", query::encode(value)));
            }
        }
        text
    }
}

impl Front {
    fn collection(&self, id: &str) -> Result<&Collection, Reply> {
        let found = self.set.collections.iter().find(|collection| collection.id == id);
        found.ok_or_else(|| problem(404, "Not Found", &format!("there is no collection `{id}`")))
    }

    /// The parameters, of which only these are known; `f` is checked here.
    fn parameters(&self, head: &Head, known: &[&str]) -> Result<Vec<(String, String)>, Reply> {
        let mut given = query::parameters(head.query()).map_err(bad)?;
        for (name, value) in &given {
            if name == "f" && value != "json" {
                return Err(bad(Bad(format!("f: expected json, found `{value}`"))));
            }
            if name != "f" && !known.contains(&name.as_str()) {
                return Err(bad(Bad(format!("{name}: there is no such parameter"))));
            }
        }
        given.retain(|(name, _)| name != "f");
        Ok(given)
    }

    /// A document that is made here; the media type is looked at after the parameters.
    fn document(&self, head: &Head, kind: &str, document: Value) -> Result<Accepted, Reply> {
        self.parameters(head, &[])?;
        self.acceptable(head, kind)?;
        Ok(Accepted::Reply(json_reply(200, kind, &document)))
    }

    fn acceptable(&self, head: &Head, kind: &str) -> Result<(), Reply> {
        let by_name = head.query().split('&').any(|pair| pair == "f=json");
        match by_name || accepts(head, kind) {
            true => Ok(()),
            false => Err(problem(406, "Not Acceptable", &format!("this is given as {kind}"))),
        }
    }

    fn route(&self, head: &Head) -> Result<Accepted, Reply> {
        if head.method != "GET" {
            let mut reply = problem(405, "Method Not Allowed", "this front answers GET");
            reply.headers.push_str("Allow: GET\r\n");
            return Err(reply);
        }
        let path = head.path().strip_prefix('/').unwrap_or_default();
        let pieces = path.split('/').map(query::decode).collect::<Result<Vec<_>, _>>().map_err(bad)?;
        let pieces: Vec<&str> = pieces.iter().map(String::as_str).collect();
        let (set, base) = (&*self.set, &*self.base);
        match pieces[..] {
            [""] => self.document(head, describe::JSON, describe::landing(set, base)),
            ["api"] => self.document(head, describe::OPENAPI, describe::api(set, base)),
            ["conformance"] => self.document(head, describe::JSON, describe::conformance()),
            ["collections"] => self.document(head, describe::JSON, describe::collections(set, base)),
            ["collections", id] => {
                let collection = self.collection(id)?;
                self.document(head, describe::JSON, describe::collection(set, collection, base))
            }
            ["collections", id, "items"] => {
                let collection = self.collection(id)?;
                let wanted = self.wanted(head, collection)?;
                self.submit(head, collection, wanted)
            }
            ["collections", id, "items", feature] if !feature.is_empty() => {
                let collection = self.collection(id)?;
                self.parameters(head, &[])?;
                let collection_id = collection.id.clone();
                let position =
                    Position { collection: collection_id, bbox: None, datetime: None, limit: 1, after: None };
                self.submit(head, collection, Wanted { position, single: Some(feature.to_owned()) })
            }
            _ => Err(problem(404, "Not Found", "there is no such path")),
        }
    }

    fn wanted(&self, head: &Head, collection: &Collection) -> Result<Wanted, Reply> {
        let given = self.parameters(head, &["bbox", "datetime", "limit", "cursor"])?;
        let find = |name: &str| given.iter().find(|(n, _)| n == name).map(|(_, value)| value.clone());
        if let Some(cursor) = find("cursor") {
            if given.len() > 1 {
                return Err(bad(Bad("cursor: holds all parameters, none goes beside it".to_owned())));
            }
            let position = link::open(&cursor, &self.set.link_key).map_err(bad)?;
            if position.collection != collection.id {
                return Err(bad(Bad("cursor: of another collection".to_owned())));
            }
            return Ok(Wanted { position, single: None });
        }
        let limit = find("limit").map_or(Ok(self.set.limit), |text| query::limit(&text, self.set.limit_max));
        let position = Position {
            collection: collection.id.clone(),
            bbox: find("bbox"),
            datetime: find("datetime"),
            limit: limit.map_err(bad)?,
            after: None,
        };
        position.datetime.as_deref().map_or(Ok(()), query::datetime).map_err(bad)?;
        Ok(Wanted { position, single: None })
    }

    /// The blocks whose extents the box touches; all where there is no box.
    fn blocks(&self, bbox: Option<&str>) -> Result<Vec<u32>, Reply> {
        let bbox = bbox.map(query::bbox).transpose().map_err(bad)?;
        if let Some(routes) = &self.routes {
            let everywhere = [-180.0, -90.0, 180.0, 90.0];
            let corners = bbox.as_ref().map_or(everywhere, |bbox| bbox.corners());
            return Ok(routes.in_extent(corners));
        }
        let touched = (0..).zip(&self.set.blocks);
        let touched = touched.filter(|(_, block)| bbox.as_ref().is_none_or(|bbox| bbox.intersects(block)));
        Ok(touched.map(|(shard, _)| shard).collect())
    }

    fn tenant(&self, head: &Head) -> Result<Option<usize>, Reply> {
        let header = self.set.club_header.as_deref();
        let Some((name, given)) = header.and_then(|name| Some((name, head.header(name)?))) else {
            return match self.set.default_tenant {
                None if !self.set.clubs.is_empty() => {
                    Err(bad(Bad(format!("{}: missing", header.unwrap_or_default()))))
                }
                tenant => Ok(tenant),
            };
        };
        let known = self.set.clubs.get(given).copied();
        known.map(Some).ok_or_else(|| bad(Bad(format!("{name}: unknown club `{given}`"))))
    }

    fn submit(&self, head: &Head, collection: &Collection, wanted: Wanted) -> Result<Accepted, Reply> {
        let tenant = self.tenant(head)?;
        let key = key::of(head, collection.keyed).map_err(|fault| bad(Bad(fault.to_string())))?;
        let blocks = self.blocks(wanted.position.bbox.as_deref())?;
        self.acceptable(head, describe::GEOJSON)?;
        let reader = Reader { set: self.set.clone(), base: self.base.clone(), wanted };
        if blocks.is_empty() {
            return Ok(Accepted::Reply(reader.reply(&[])));
        }
        self.named.set(self.named.get().wrapping_add(1));
        let now = self.clock.now();
        let deadline = now + collection.timeout_ms;
        let weight = 1.0 / blocks.len() as f64;
        let part = |shard: &u32| PartRequest { shard: *shard, weight, ..PartRequest::default() };
        let query = Query {
            name: format!("f{:016x}", self.named.get()).into(),
            class: collection.class,
            tenant,
            deadline,
            is_retry: false,
            key,
            parts: blocks.iter().map(part).collect(),
            text: reader.wanted.text().into_bytes().into(),
            format: QueryFormat::Features,
        };
        let ticket = self.exchange.submit(query).map_err(|error| match error {
            SubmitError::AtCapacity => refused(self.full_retry_ms),
            SubmitError::Unrouted(RouteError::NoMap) => refused(self.full_retry_ms),
            SubmitError::Unrouted(reason) => problem(503, "Service Unavailable", &reason.to_string()),
            SubmitError::Duplicate => problem(502, "Bad Gateway", "a query of this name is open"),
        })?;
        let clock = self.clock;
        let reply = move |answer| match answer {
            FinalAnswer::Answered { is_complete, values } => {
                // One whose block has split meanwhile has a value for each heir.
                let mut answered: Vec<u32> = values.iter().map(|(shard, _)| *shard).collect();
                answered.dedup();
                let complete = is_complete && blocks == answered;
                match complete {
                    true => reader.reply(&values),
                    // Never a silent cut: a page without some of its blocks is no page.
                    false => problem(502, "Bad Gateway", "not all weigher blocks answered"),
                }
            }
            FinalAnswer::Refused { retry_after_ms } => refused(retry_after_ms),
            FinalAnswer::Failed if clock.now() + NEAR >= deadline => {
                problem(504, "Gateway Timeout", "the reading stores did not answer in time")
            }
            FinalAnswer::Failed => problem(502, "Bad Gateway", "the reading stores could not answer"),
        };
        Ok(Accepted::Query(ticket, Box::new(reply)))
    }
}

impl Service for Front {
    fn accept(&self, head: &Head, _body: Vec<u8>) -> Accepted {
        self.route(head).unwrap_or_else(Accepted::Reply)
    }

    fn unreadable(&self, fault: http::Fault) -> Reply {
        problem(fault.status(), "Unreadable", &fault.to_string())
    }

    fn overloaded(&self) -> Reply {
        refused(self.full_retry_ms)
    }
}

/// Makes replies of a query's values.
struct Reader {
    set: Rc<Features>,
    base: Rc<str>,
    wanted: Wanted,
}

impl Reader {
    fn reply(&self, values: &[(u32, OpaqueBytes)]) -> Reply {
        let Position { after, limit, .. } = &self.wanted.position;
        let page = match geojson::page(values, after.as_ref(), *limit, BODY_MAX - FRAME) {
            Ok(page) => page,
            Err(fault) => return problem(502, "Bad Gateway", &fault),
        };
        match &self.wanted.single {
            Some(id) => self.single(id, &page),
            None => self.items(page),
        }
    }

    fn geojson(body: Vec<u8>) -> Reply {
        Reply { status: 200, headers: format!("Content-Type: {}\r\n", describe::GEOJSON), body }
    }

    fn items(&self, page: geojson::Page) -> Reply {
        let position = &self.wanted.position;
        let here = format!("{}/collections/{}", self.base, position.collection);
        let items = |cursor: &str| format!("{here}/items?cursor={cursor}");
        let cursor = |position: &Position| link::seal(position, &self.set.link_key);
        let own = match position.after {
            Some(_) => cursor(position).map(|cursor| items(&cursor)),
            None => Some(self.href(&here)),
        };
        let mut links = vec![
            describe::link(own.unwrap_or_default(), "self", describe::GEOJSON, "this page"),
            describe::link(here.clone(), "collection", describe::JSON, "the collection"),
        ];
        if let Some(after) = page.next {
            let next = Position { after: Some(after), ..position.clone() };
            let Some(cursor) = cursor(&next) else {
                return problem(502, "Bad Gateway", "the next page's link would be too long");
            };
            links.push(describe::link(items(&cursor), "next", describe::GEOJSON, "the next page"));
        }
        let returned = page.features.len();
        let links = Value::from(links);
        let mut body = format!(
            "{{\"type\":\"FeatureCollection\",\"links\":{links},\"numberReturned\":{returned},\"features\":["
        );
        body.push_str(&page.features.join(","));
        body.push_str("]}");
        Self::geojson(body.into_bytes())
    }

    /// The first page's own link, with its parameters.
    fn href(&self, here: &str) -> String {
        let Position { bbox, datetime, limit, .. } = &self.wanted.position;
        let mut href = format!("{here}/items?limit={limit}");
        for (name, value) in [("bbox", bbox), ("datetime", datetime)] {
            if let Some(value) = value {
                href.push_str(&format!("&{name}={}", query::encode(value)));
            }
        }
        href
    }

    /// A feature alone: its own text, with its links at the end.
    fn single(&self, id: &str, page: &geojson::Page) -> Reply {
        let Some(feature) = page.features.first() else {
            return problem(404, "Not Found", &format!("there is no feature `{id}`"));
        };
        let here = format!("{}/collections/{}", self.base, self.wanted.position.collection);
        let own = format!("{here}/items/{}", query::encode(id).replace('/', "%2F"));
        let links = Value::from(vec![
            describe::link(own, "self", describe::GEOJSON, "this feature"),
            describe::link(here, "collection", describe::JSON, "the collection"),
        ]);
        let open = feature.trim_end().strip_suffix('}').unwrap_or(feature);
        Self::geojson(format!("{open},\"links\":{links}}}").into_bytes())
    }
}
