//! The feature front: OGC API - Features, Part 1, on the same core and with the same rules as the platform's protocol. An
//! items request becomes one query with a part for each weigher block that intersects its bounding box. The parts carry the
//! request to the stores, and the pages that they return are merged into one.

pub mod describe;
pub mod link;
pub mod query;

use std::cell::Cell;
use std::rc::Rc;

use serde_json::{json, Value};

use self::link::Position;
use self::query::InvalidRequest;
use super::{key, Accepted, Reply, Service};
use crate::clock::{Clock, Millis};
use crate::config::features::{Collection, Features};
use crate::core::{FinalAnswer, OpaqueBytes, PartRequest, Query, QueryFormat};
use crate::exchange::{Exchange, SubmitError};
use crate::geojson;
use crate::http::{self, Head, BODY_MAX};
use crate::routes::{RouteError, Routes};

/// Bytes of a response body reserved for everything but the features, such as links.
const PAGE_OVERHEAD_BYTES: usize = 12 * 1024;
/// A failure within this time before the deadline, in milliseconds, is reported as a time-out.
const DEADLINE_TOLERANCE_MS: Millis = 50.0;

/// The service of the feature front.
pub struct FeatureFront {
    /// Configuration of the front.
    pub config: Rc<Features>,
    /// The exchange to which queries are submitted.
    pub exchange: Rc<Exchange>,
    /// The program's clock.
    pub clock: Clock,
    /// Prefix of the URLs in links.
    pub base_url: Rc<str>,
    /// The map of blocks, if blocks are movable.
    pub routes: Option<Rc<Routes>>,
    /// Retry delay sent to clients while the broker is at capacity, in milliseconds.
    pub overload_retry_ms: Millis,
    /// Number in the name of the latest query. It starts at a value that differs between processes, so that names are
    /// unique.
    pub last_query_number: Cell<u64>,
}

fn json_reply(status: u16, kind: &str, value: &Value) -> Reply {
    Reply { status, headers: format!("Content-Type: {kind}\r\n"), body: value.to_string().into_bytes() }
}

/// Returns an error reply in the format of RFC 9457.
fn problem(status: u16, title: &str, detail: &str) -> Reply {
    let body = json!({ "type": "about:blank", "title": title, "status": status, "detail": detail });
    json_reply(status, describe::PROBLEM, &body)
}

fn bad_request(InvalidRequest(fault): InvalidRequest) -> Reply {
    problem(400, "Bad Request", &fault)
}

/// Returns the reply for a refused query. `Retry-After` is in whole seconds, since clients of this front may support nothing
/// else.
fn overloaded_reply(retry_after_ms: Millis) -> Reply {
    let mut reply = problem(503, "Service Unavailable", "refused; trying again is harmless");
    let seconds = (retry_after_ms / 1000.0).ceil().max(1.0);
    reply.headers.push_str(&format!("Retry-After: {seconds}\r\n"));
    reply
}

/// Whether the `Accept` header of a request allows this media type. The most specific range that matches decides.
fn accepts(head: &Head, kind: &str) -> bool {
    let Some(accept) = head.header("Accept").filter(|accept| !accept.is_empty()) else { return true };
    let plain = kind.split(';').next().unwrap_or(kind);
    let (mut is_accepted, mut highest_specificity) = (false, 0);
    for range in accept.split(',') {
        let mut parts = range.split(';').map(str::trim);
        let name = parts.next().unwrap_or_default().to_ascii_lowercase();
        let specificity = match name.as_str() {
            "*/*" => 1,
            "application/*" => 2,
            // Every media type of this front is a form of JSON.
            "application/json" if plain != describe::JSON => 3,
            exact if exact == plain => 4,
            _ => continue,
        };
        let quality = parts.find_map(|piece| piece.strip_prefix("q=")).map_or(Ok(1.0), str::parse::<f64>);
        if specificity >= highest_specificity {
            (is_accepted, highest_specificity) = (quality.is_ok_and(|q| q > 0.0), specificity);
        }
    }
    is_accepted
}

/// A request for the features of a collection.
struct FeatureRequest {
    position: Position,
    /// Id of the feature, if a single one is requested.
    feature_id: Option<String>,
}

impl FeatureRequest {
    /// Returns the path and query of the request to stores, which each part carries; the block is added for each part.
    fn store_request(&self) -> String {
        let Position { collection, bbox, datetime, limit, after } = &self.position;
        let mut text = format!("collections/{collection}/items?limit={limit}");
        let after = after.as_ref().map(ToString::to_string);
        let given = [("bbox", bbox), ("datetime", datetime), ("after", &after), ("ids", &self.feature_id)];
        for (name, value) in given {
            if let Some(value) = value {
                text.push_str(&format!("&{name}={}", query::encode(value)));
            }
        }
        text
    }
}

impl FeatureFront {
    fn collection(&self, id: &str) -> Result<&Collection, Reply> {
        let found = self.config.collections.iter().find(|collection| collection.id == id);
        found.ok_or_else(|| problem(404, "Not Found", &format!("there is no collection `{id}`")))
    }

    /// Returns the query parameters except `f`, which is validated here.
    ///
    /// # Errors
    ///
    /// If a parameter is not in `known`, or `f` is not `json`.
    fn parameters(&self, head: &Head, known: &[&str]) -> Result<Vec<(String, String)>, Reply> {
        let mut given = query::parameters(head.query()).map_err(bad_request)?;
        for (name, value) in &given {
            if name == "f" && value != "json" {
                return Err(bad_request(InvalidRequest(format!("f: expected json, found `{value}`"))));
            }
            if name != "f" && !known.contains(&name.as_str()) {
                return Err(bad_request(InvalidRequest(format!("{name}: there is no such parameter"))));
            }
        }
        given.retain(|(name, _)| name != "f");
        Ok(given)
    }

    /// Returns a metadata document. The parameters are validated before the media type.
    fn document(&self, head: &Head, kind: &str, document: Value) -> Result<Accepted, Reply> {
        self.parameters(head, &[])?;
        self.check_accept(head, kind)?;
        Ok(Accepted::Reply(json_reply(200, kind, &document)))
    }

    fn check_accept(&self, head: &Head, kind: &str) -> Result<(), Reply> {
        let has_format_parameter = head.query().split('&').any(|pair| pair == "f=json");
        match has_format_parameter || accepts(head, kind) {
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
        let segments =
            path.split('/').map(query::decode).collect::<Result<Vec<_>, _>>().map_err(bad_request)?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let (config, base_url) = (&*self.config, &*self.base_url);
        match segments[..] {
            [""] => self.document(head, describe::JSON, describe::landing(config, base_url)),
            ["api"] => self.document(head, describe::OPENAPI, describe::api(config, base_url)),
            ["conformance"] => self.document(head, describe::JSON, describe::conformance()),
            ["collections"] => self.document(head, describe::JSON, describe::collections(config, base_url)),
            ["collections", id] => {
                let collection = self.collection(id)?;
                self.document(head, describe::JSON, describe::collection(config, collection, base_url))
            }
            ["collections", id, "items"] => {
                let collection = self.collection(id)?;
                let request = self.read_items_request(head, collection)?;
                self.submit(head, collection, request)
            }
            ["collections", id, "items", feature] if !feature.is_empty() => {
                let collection = self.collection(id)?;
                self.parameters(head, &[])?;
                let collection_id = collection.id.clone();
                let position =
                    Position { collection: collection_id, bbox: None, datetime: None, limit: 1, after: None };
                self.submit(
                    head,
                    collection,
                    FeatureRequest { position, feature_id: Some(feature.to_owned()) },
                )
            }
            _ => Err(problem(404, "Not Found", "there is no such path")),
        }
    }

    fn read_items_request(&self, head: &Head, collection: &Collection) -> Result<FeatureRequest, Reply> {
        let given = self.parameters(head, &["bbox", "datetime", "limit", "cursor"])?;
        let find = |name: &str| given.iter().find(|(n, _)| n == name).map(|(_, value)| value.clone());
        if let Some(cursor) = find("cursor") {
            if given.len() > 1 {
                return Err(bad_request(InvalidRequest(
                    "cursor: holds all parameters, none goes beside it".to_owned(),
                )));
            }
            let position = link::decode_cursor(&cursor, &self.config.link_key).map_err(bad_request)?;
            if position.collection != collection.id {
                return Err(bad_request(InvalidRequest("cursor: of another collection".to_owned())));
            }
            return Ok(FeatureRequest { position, feature_id: None });
        }
        let limit =
            find("limit").map_or(Ok(self.config.limit), |text| query::limit(&text, self.config.limit_max));
        let position = Position {
            collection: collection.id.clone(),
            bbox: find("bbox"),
            datetime: find("datetime"),
            limit: limit.map_err(bad_request)?,
            after: None,
        };
        position.datetime.as_deref().map_or(Ok(()), query::datetime).map_err(bad_request)?;
        Ok(FeatureRequest { position, feature_id: None })
    }

    /// Returns the blocks whose extents intersect the bounding box, or all blocks without one.
    fn intersecting_blocks(&self, bbox: Option<&str>) -> Result<Vec<u32>, Reply> {
        let bbox = bbox.map(query::bbox).transpose().map_err(bad_request)?;
        if let Some(routes) = &self.routes {
            let everywhere = [-180.0, -90.0, 180.0, 90.0];
            let corners = bbox.as_ref().map_or(everywhere, |bbox| bbox.corners());
            return Ok(routes.in_extent(corners));
        }
        let intersecting = (0..).zip(&self.config.blocks);
        let intersecting =
            intersecting.filter(|(_, block)| bbox.as_ref().is_none_or(|bbox| bbox.intersects(block)));
        Ok(intersecting.map(|(shard, _)| shard).collect())
    }

    fn tenant(&self, head: &Head) -> Result<Option<usize>, Reply> {
        let header = self.config.club_header.as_deref();
        let Some((name, given)) = header.and_then(|name| Some((name, head.header(name)?))) else {
            return match self.config.default_tenant {
                None if !self.config.clubs.is_empty() => {
                    Err(bad_request(InvalidRequest(format!("{}: missing", header.unwrap_or_default()))))
                }
                tenant => Ok(tenant),
            };
        };
        let known = self.config.clubs.get(given).copied();
        known.map(Some).ok_or_else(|| bad_request(InvalidRequest(format!("{name}: unknown club `{given}`"))))
    }

    fn submit(
        &self,
        head: &Head,
        collection: &Collection,
        request: FeatureRequest,
    ) -> Result<Accepted, Reply> {
        let tenant = self.tenant(head)?;
        let key = key::read_key(head, collection.keyed)
            .map_err(|fault| bad_request(InvalidRequest(fault.to_string())))?;
        let blocks = self.intersecting_blocks(request.position.bbox.as_deref())?;
        self.check_accept(head, describe::GEOJSON)?;
        let page_builder =
            PageBuilder { config: self.config.clone(), base_url: self.base_url.clone(), request };
        if blocks.is_empty() {
            return Ok(Accepted::Reply(page_builder.reply(&[])));
        }
        self.last_query_number.set(self.last_query_number.get().wrapping_add(1));
        let now = self.clock.now();
        let deadline = now + collection.timeout_ms;
        let weight = 1.0 / blocks.len() as f64;
        let part = |shard: &u32| PartRequest { shard: *shard, weight, ..PartRequest::default() };
        let query = Query {
            name: format!("f{:016x}", self.last_query_number.get()).into(),
            class: collection.class,
            tenant,
            deadline,
            is_retry: false,
            key,
            parts: blocks.iter().map(part).collect(),
            text: page_builder.request.store_request().into_bytes().into(),
            format: QueryFormat::Features,
        };
        let ticket = self.exchange.submit(query).map_err(|error| match error {
            SubmitError::AtCapacity => overloaded_reply(self.overload_retry_ms),
            SubmitError::Unrouted(RouteError::NoMap) => overloaded_reply(self.overload_retry_ms),
            SubmitError::Unrouted(reason) => problem(503, "Service Unavailable", &reason.to_string()),
            SubmitError::Duplicate => problem(502, "Bad Gateway", "a query of this name is open"),
        })?;
        let clock = self.clock;
        let reply = move |answer| match answer {
            FinalAnswer::Answered { is_complete, values } => {
                // A part whose block was split meanwhile has a value for each of the new blocks.
                let mut answered: Vec<u32> = values.iter().map(|(shard, _)| *shard).collect();
                answered.dedup();
                let complete = is_complete && blocks == answered;
                match complete {
                    true => page_builder.reply(&values),
                    // A page must not silently lack the features of some blocks.
                    false => problem(502, "Bad Gateway", "not all weigher blocks answered"),
                }
            }
            FinalAnswer::Refused { retry_after_ms } => overloaded_reply(retry_after_ms),
            FinalAnswer::Failed if clock.now() + DEADLINE_TOLERANCE_MS >= deadline => {
                problem(504, "Gateway Timeout", "the reading stores did not answer in time")
            }
            FinalAnswer::Failed => problem(502, "Bad Gateway", "the reading stores could not answer"),
        };
        Ok(Accepted::Query(ticket, Box::new(reply)))
    }
}

impl Service for FeatureFront {
    fn accept(&self, head: &Head, _body: Vec<u8>) -> Accepted {
        self.route(head).unwrap_or_else(Accepted::Reply)
    }

    fn unreadable(&self, fault: http::Fault) -> Reply {
        problem(fault.status(), "Unreadable", &fault.to_string())
    }

    fn overloaded(&self) -> Reply {
        overloaded_reply(self.overload_retry_ms)
    }
}

/// Builds the reply to a feature request from the values of its query.
struct PageBuilder {
    config: Rc<Features>,
    base_url: Rc<str>,
    request: FeatureRequest,
}

impl PageBuilder {
    fn reply(&self, values: &[(u32, OpaqueBytes)]) -> Reply {
        let Position { after, limit, .. } = &self.request.position;
        let page = match geojson::merge_pages(values, after.as_ref(), *limit, BODY_MAX - PAGE_OVERHEAD_BYTES)
        {
            Ok(page) => page,
            Err(fault) => return problem(502, "Bad Gateway", &fault),
        };
        match &self.request.feature_id {
            Some(id) => self.single_feature(id, &page),
            None => self.items(page),
        }
    }

    fn geojson(body: Vec<u8>) -> Reply {
        Reply { status: 200, headers: format!("Content-Type: {}\r\n", describe::GEOJSON), body }
    }

    fn items(&self, page: geojson::Page) -> Reply {
        let position = &self.request.position;
        let collection_url = format!("{}/collections/{}", self.base_url, position.collection);
        let items = |cursor: &str| format!("{collection_url}/items?cursor={cursor}");
        let cursor = |position: &Position| link::encode_cursor(position, &self.config.link_key);
        let self_url = match position.after {
            Some(_) => cursor(position).map(|cursor| items(&cursor)),
            None => Some(self.first_page_url(&collection_url)),
        };
        let mut links = vec![
            describe::link(self_url.unwrap_or_default(), "self", describe::GEOJSON, "this page"),
            describe::link(collection_url.clone(), "collection", describe::JSON, "the collection"),
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

    /// Returns the URL of the first page, with the parameters of the request.
    fn first_page_url(&self, collection_url: &str) -> String {
        let Position { bbox, datetime, limit, .. } = &self.request.position;
        let mut url = format!("{collection_url}/items?limit={limit}");
        for (name, value) in [("bbox", bbox), ("datetime", datetime)] {
            if let Some(value) = value {
                url.push_str(&format!("&{name}={}", query::encode(value)));
            }
        }
        url
    }

    /// Returns the reply for a single feature: its JSON text with a `links` member appended.
    fn single_feature(&self, id: &str, page: &geojson::Page) -> Reply {
        let Some(feature) = page.features.first() else {
            return problem(404, "Not Found", &format!("there is no feature `{id}`"));
        };
        let collection_url = format!("{}/collections/{}", self.base_url, self.request.position.collection);
        let self_url = format!("{collection_url}/items/{}", query::encode(id).replace('/', "%2F"));
        let links = Value::from(vec![
            describe::link(self_url, "self", describe::GEOJSON, "this feature"),
            describe::link(collection_url, "collection", describe::JSON, "the collection"),
        ]);
        let without_brace = feature.trim_end().strip_suffix('}').unwrap_or(feature);
        Self::geojson(format!("{without_brace},\"links\":{links}}}").into_bytes())
    }
}
