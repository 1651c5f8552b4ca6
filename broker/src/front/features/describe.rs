//! Metadata documents of the feature front: the landing page, the conformance declaration, the collections and the OpenAPI
//! description.

use serde_json::{json, Value};

use crate::config::features::{Collection, Features};
use crate::core::KEY_MAX;
use crate::front::key;

/// Conformance classes of OGC API - Features, Part 1, that the feature front implements.
pub const CONFORMANCE: [&str; 3] = [
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/oas30",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson",
];
/// Media type of metadata documents.
pub const JSON: &str = "application/json";
/// Media type of features.
pub const GEOJSON: &str = "application/geo+json";
/// Media type of the OpenAPI description.
pub const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.0";
/// Media type of errors (RFC 9457).
pub const PROBLEM: &str = "application/problem+json";

/// Returns a link object; `kind` is the media type of its target.
pub fn link(href: String, rel: &str, kind: &str, title: &str) -> Value {
    json!({ "href": href, "rel": rel, "type": kind, "title": title })
}

/// Returns the landing page.
pub fn landing(config: &Features, base_url: &str) -> Value {
    json!({
        "title": config.title,
        "description": config.description,
        "links": [
            link(format!("{base_url}/"), "self", JSON, "this document"),
            link(format!("{base_url}/api"), "service-desc", OPENAPI, "the API description"),
            link(format!("{base_url}/conformance"), "conformance", JSON, "conformance classes"),
            link(format!("{base_url}/collections"), "data", JSON, "the collections"),
        ],
    })
}

/// Returns the conformance declaration.
pub fn conformance() -> Value {
    json!({ "conformsTo": CONFORMANCE })
}

/// Returns the description of a collection.
pub fn collection(config: &Features, collection: &Collection, base_url: &str) -> Value {
    let Collection { id, title, description, .. } = collection;
    let collection_url = format!("{base_url}/collections/{id}");
    let boxes: Vec<_> = config.blocks.iter().map(|block| block.corners()).collect();
    json!({
        "id": id,
        "title": title,
        "description": description,
        "extent": { "spatial": {
            "bbox": spatial_extents(&boxes),
            "crs": "http://www.opengis.net/def/crs/OGC/1.3/CRS84",
        }},
        "itemType": "feature",
        "crs": ["http://www.opengis.net/def/crs/OGC/1.3/CRS84"],
        "links": [
            link(collection_url.clone(), "self", JSON, "this document"),
            link(format!("{collection_url}/items"), "items", GEOJSON, title),
        ],
    })
}

/// Returns the bounding box of all blocks, followed by the box of each: the order that the standard requires if there are
/// several.
fn spatial_extents(boxes: &[[f64; 4]]) -> Vec<[f64; 4]> {
    if let [only] = boxes {
        return vec![*only];
    }
    let min_at = |at: usize| boxes.iter().map(|b| b[at]).fold(f64::INFINITY, f64::min);
    let max_at = |at: usize| boxes.iter().map(|b| b[at]).fold(f64::NEG_INFINITY, f64::max);
    // If a box crosses the antimeridian, the bounding box of all covers every longitude.
    let crosses = boxes.iter().any(|b| b[0] > b[2]);
    let (west, east) = if crosses { (-180.0, 180.0) } else { (min_at(0), max_at(2)) };
    std::iter::once([west, min_at(1), east, max_at(3)]).chain(boxes.iter().copied()).collect()
}

/// Returns the list of collections.
pub fn collections(config: &Features, base_url: &str) -> Value {
    let all: Vec<Value> = config.collections.iter().map(|c| collection(config, c, base_url)).collect();
    json!({
        "links": [link(format!("{base_url}/collections"), "self", JSON, "this document")],
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

/// Returns the OpenAPI 3.0 description of the feature front.
pub fn api(config: &Features, base_url: &str) -> Value {
    let format_parameter =
        || parameter("f", "query", "the form of the answer", json!({ "type": "string", "enum": ["json"] }));
    let ids: Vec<&str> = config.collections.iter().map(|c| c.id.as_str()).collect();
    let id = || parameter("collectionId", "path", "the collection", json!({ "type": "string", "enum": ids }));
    let number = |min_items: usize, max_items: usize| json!({ "type": "array", "minItems": min_items, "maxItems": max_items, "items": { "type": "number" } });
    let bbox = json!({ "oneOf": [number(4, 4), number(6, 6)] });
    let mut bbox = parameter("bbox", "query", "west, south, east, north in degrees (CRS84)", bbox);
    bbox["style"] = json!("form");
    bbox["explode"] = json!(false);
    let limit =
        json!({ "type": "integer", "minimum": 1, "maximum": config.limit_max, "default": config.limit });
    let text = || json!({ "type": "string" });
    let items = vec![
        id(),
        bbox,
        parameter("datetime", "query", "a date-time of RFC 3339, or an interval", text()),
        parameter("limit", "query", "features on a page", limit),
        parameter("cursor", "query", "from a next link, which holds all other parameters", text()),
        format_parameter(),
    ];
    // The idempotency key is a header parameter. Only keyed collections need it, so it is marked as required only if all
    // collections are keyed.
    let keyed: Vec<&str> = config.collections.iter().filter(|c| c.keyed).map(|c| c.id.as_str()).collect();
    let key = (!keyed.is_empty()).then(|| {
        let what = format!("what repeats of a request are told by; needed for {}", keyed.join(", "));
        let schema = json!({ "type": "string", "minLength": 1, "maxLength": KEY_MAX });
        let mut key = parameter(key::IDEMPOTENCY_KEY_HEADER, "header", &what, schema);
        key["required"] = json!(keyed.len() == ids.len());
        key
    });
    let items: Vec<Value> = items.into_iter().chain(key.clone()).collect();
    let one = [id(), parameter("featureId", "path", "the feature", text()), format_parameter()];
    let plain = ["400", "406"];
    let named = ["400", "404", "406"];
    let query = ["400", "404", "406", "502", "503", "504"];
    json!({
        "openapi": "3.0.3",
        "info": { "title": config.title, "description": config.description, "version": env!("CARGO_PKG_VERSION") },
        "servers": [{ "url": base_url }],
        "paths": {
            "/": operation("getLandingPage", "the landing page", JSON, vec![format_parameter()], &plain),
            "/api": operation("getApi", "this description", OPENAPI, vec![format_parameter()], &plain),
            "/conformance": operation("getConformance", "conformance classes", JSON, vec![format_parameter()], &plain),
            "/collections": operation("getCollections", "the collections", JSON, vec![format_parameter()], &plain),
            "/collections/{collectionId}":
                operation("describeCollection", "one collection", JSON, vec![id(), format_parameter()], &named),
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
