//! What the feature front says of itself: the landing page, the conformance classes that it meets, its
//! collections and its OpenAPI description.

use serde_json::{json, Value};

use crate::config::features::{Collection, Features};
use crate::core::KEY_MAX;
use crate::front::key;

/// The conformance classes of OGC API - Features, Part 1, that this front meets.
pub const CONFORMANCE: [&str; 3] = [
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/oas30",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson",
];
/// Media types.
pub const JSON: &str = "application/json";
/// Of features.
pub const GEOJSON: &str = "application/geo+json";
/// Of the description.
pub const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.0";
/// Of errors.
pub const PROBLEM: &str = "application/problem+json";

/// A link.
pub fn link(href: String, rel: &str, kind: &str, title: &str) -> Value {
    json!({ "href": href, "rel": rel, "type": kind, "title": title })
}

/// The landing page.
pub fn landing(set: &Features, base: &str) -> Value {
    json!({
        "title": set.title,
        "description": set.description,
        "links": [
            link(format!("{base}/"), "self", JSON, "this document"),
            link(format!("{base}/api"), "service-desc", OPENAPI, "the API description"),
            link(format!("{base}/conformance"), "conformance", JSON, "conformance classes"),
            link(format!("{base}/collections"), "data", JSON, "the collections"),
        ],
    })
}

/// The conformance declaration.
pub fn conformance() -> Value {
    json!({ "conformsTo": CONFORMANCE })
}

/// One collection.
pub fn collection(set: &Features, collection: &Collection, base: &str) -> Value {
    let Collection { id, title, description, .. } = collection;
    let here = format!("{base}/collections/{id}");
    let boxes: Vec<_> = set.blocks.iter().map(|block| block.corners()).collect();
    json!({
        "id": id,
        "title": title,
        "description": description,
        "extent": { "spatial": {
            "bbox": overall(&boxes),
            "crs": "http://www.opengis.net/def/crs/OGC/1.3/CRS84",
        }},
        "itemType": "feature",
        "crs": ["http://www.opengis.net/def/crs/OGC/1.3/CRS84"],
        "links": [
            link(here.clone(), "self", JSON, "this document"),
            link(format!("{here}/items"), "items", GEOJSON, title),
        ],
    })
}

/// The box around all, then each: so the standard has it where there is more than one.
fn overall(boxes: &[[f64; 4]]) -> Vec<[f64; 4]> {
    if let [only] = boxes {
        return vec![*only];
    }
    let least = |at: usize| boxes.iter().map(|b| b[at]).fold(f64::INFINITY, f64::min);
    let most = |at: usize| boxes.iter().map(|b| b[at]).fold(f64::NEG_INFINITY, f64::max);
    // With one that crosses the antimeridian, all the way round.
    let crosses = boxes.iter().any(|b| b[0] > b[2]);
    let (west, east) = if crosses { (-180.0, 180.0) } else { (least(0), most(2)) };
    std::iter::once([west, least(1), east, most(3)]).chain(boxes.iter().copied()).collect()
}

/// The collections.
pub fn collections(set: &Features, base: &str) -> Value {
    let all: Vec<Value> = set.collections.iter().map(|c| collection(set, c, base)).collect();
    json!({
        "links": [link(format!("{base}/collections"), "self", JSON, "this document")],
        "collections": all,
    })
}

fn parameter(name: &str, place: &str, description: &str, schema: Value) -> Value {
    json!({ "name": name, "in": place, "required": place == "path", "description": description, "schema": schema })
}

fn operation(id: &str, summary: &str, kind: &str, parameters: Vec<Value>, errors: &[&str]) -> Value {
    let mut responses = json!({ "200": { "description": summary, "content": { kind: {} } } });
    for status in errors {
        responses[*status] = json!({ "description": "a problem", "content": { PROBLEM: {
            "schema": { "$ref": "#/components/schemas/problem" },
        }}});
    }
    if let Some(refused) = responses.get_mut("503") {
        refused["headers"] = json!({ "Retry-After": { "schema": { "type": "integer" } } });
    }
    json!({ "get": { "operationId": id, "summary": summary, "parameters": parameters, "responses": responses } })
}

/// The OpenAPI 3.0 description.
pub fn api(set: &Features, base: &str) -> Value {
    let f =
        || parameter("f", "query", "the form of the answer", json!({ "type": "string", "enum": ["json"] }));
    let ids: Vec<&str> = set.collections.iter().map(|c| c.id.as_str()).collect();
    let id = || parameter("collectionId", "path", "the collection", json!({ "type": "string", "enum": ids }));
    let number = |least: usize, most: usize| json!({ "type": "array", "minItems": least, "maxItems": most, "items": { "type": "number" } });
    let bbox = json!({ "oneOf": [number(4, 4), number(6, 6)] });
    let mut bbox = parameter("bbox", "query", "west, south, east, north in degrees (CRS84)", bbox);
    bbox["style"] = json!("form");
    bbox["explode"] = json!(false);
    let limit = json!({ "type": "integer", "minimum": 1, "maximum": set.limit_max, "default": set.limit });
    let text = || json!({ "type": "string" });
    let items = vec![
        id(),
        bbox,
        parameter("datetime", "query", "a date-time of RFC 3339, or an interval", text()),
        parameter("limit", "query", "features on a page", limit),
        parameter("cursor", "query", "from a next link, which holds all other parameters", text()),
        f(),
    ];
    // Its text is the header's; collections of one page may differ in what they need.
    let keyed: Vec<&str> = set.collections.iter().filter(|c| c.keyed).map(|c| c.id.as_str()).collect();
    let key = (!keyed.is_empty()).then(|| {
        let what = format!("what repeats of a request are told by; needed for {}", keyed.join(", "));
        let schema = json!({ "type": "string", "minLength": 1, "maxLength": KEY_MAX });
        let mut key = parameter(key::HEADER, "header", &what, schema);
        key["required"] = json!(keyed.len() == ids.len());
        key
    });
    let items: Vec<Value> = items.into_iter().chain(key.clone()).collect();
    let one = [id(), parameter("featureId", "path", "the feature", text()), f()];
    let plain = ["400", "406"];
    let named = ["400", "404", "406"];
    let query = ["400", "404", "406", "502", "503", "504"];
    json!({
        "openapi": "3.0.3",
        "info": { "title": set.title, "description": set.description, "version": env!("CARGO_PKG_VERSION") },
        "servers": [{ "url": base }],
        "paths": {
            "/": operation("getLandingPage", "the landing page", JSON, vec![f()], &plain),
            "/api": operation("getApi", "this description", OPENAPI, vec![f()], &plain),
            "/conformance": operation("getConformance", "conformance classes", JSON, vec![f()], &plain),
            "/collections": operation("getCollections", "the collections", JSON, vec![f()], &plain),
            "/collections/{collectionId}":
                operation("describeCollection", "one collection", JSON, vec![id(), f()], &named),
            "/collections/{collectionId}/items":
                operation("getFeatures", "features of a collection", GEOJSON, items, &query),
            "/collections/{collectionId}/items/{featureId}": operation(
                "getFeature", "one feature", GEOJSON,
                one.into_iter().chain(key).collect(), &query,
            ),
        },
        "components": { "schemas": { "problem": {
            "type": "object",
            "required": ["title", "status"],
            "properties": {
                "type": { "type": "string" },
                "title": { "type": "string" },
                "status": { "type": "integer" },
                "detail": { "type": "string" },
            },
        }}},
    })
}
