//! GeoJSON types shared by the feature front and the clients of stores: bounding boxes, feature ids, and the merge of the
//! pages of several blocks into one. The page of a block contains the features whose ids follow a given id, in ascending
//! order and up to the limit; a link with the relation `next` indicates that the block has more. The features themselves
//! are passed on byte for byte.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::core::OpaqueBytes;

/// Maximum length of a feature id, in bytes.
const FEATURE_ID_MAX_BYTES: usize = 256;

/// A bounding box in degrees (CRS84). If it crosses the antimeridian, its western longitude is greater than its eastern one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bbox {
    west: f64,
    south: f64,
    east: f64,
    north: f64,
}

impl Bbox {
    /// Creates a bounding box from its western, southern, eastern and northern bounds, in degrees.
    ///
    /// # Errors
    ///
    /// If a longitude or latitude is out of range, or the southern bound lies north of the northern one.
    pub fn new([west, south, east, north]: [f64; 4]) -> Result<Self, String> {
        if ![west, east].iter().all(|lon| (-180.0..=180.0).contains(lon)) {
            return Err("longitudes go from -180 to 180".to_owned());
        }
        if ![south, north].iter().all(|lat| (-90.0..=90.0).contains(lat)) {
            return Err("latitudes go from -90 to 90".to_owned());
        }
        if south > north {
            return Err("its south lies north of its north".to_owned());
        }
        Ok(Self { west, south, east, north })
    }

    /// Returns the bounds in the order of GeoJSON: west, south, east, north.
    pub fn corners(&self) -> [f64; 4] {
        [self.west, self.south, self.east, self.north]
    }

    /// Returns the intervals of longitude that the box covers, none of which crosses the antimeridian. The antimeridian is
    /// both 180 and -180 degrees, so a box that touches one of these also covers the other.
    fn spans(&self) -> Vec<(f64, f64)> {
        let mut spans = match self.west <= self.east {
            true => vec![(self.west, self.east)],
            false => vec![(self.west, 180.0), (-180.0, self.east)],
        };
        if spans.iter().any(|span| span.1 == 180.0) {
            spans.push((-180.0, -180.0));
        }
        if spans.iter().any(|span| span.0 == -180.0) {
            spans.push((180.0, 180.0));
        }
        spans
    }

    /// Whether two boxes have a point in common. The edges belong to a box.
    pub fn intersects(&self, other: &Self) -> bool {
        let (own_spans, other_spans) = (self.spans(), other.spans());
        let longitudes_overlap =
            own_spans.iter().any(|a| other_spans.iter().any(|b| a.0 <= b.1 && b.0 <= a.1));
        longitudes_overlap && self.south <= other.north && other.south <= self.north
    }
}

/// A feature id. Numbers sort before strings.
// `expecting` keeps the error text, which is part of replies, independent of the name of the type.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(untagged, expecting = "data did not match any variant of untagged enum Id")]
pub enum FeatureId {
    /// An integer id.
    Number(i64),
    /// A string id.
    Text(String),
}

impl std::fmt::Display for FeatureId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => f.write_str(text),
        }
    }
}

#[derive(Deserialize)]
struct Collection<'a> {
    #[serde(rename = "type", borrow)]
    kind: std::borrow::Cow<'a, str>,
    #[serde(borrow)]
    features: Vec<&'a RawValue>,
    #[serde(default)]
    links: Vec<Link>,
}

#[derive(Deserialize)]
struct Link {
    #[serde(default)]
    rel: String,
}

#[derive(Deserialize)]
struct Feature {
    #[serde(rename = "type")]
    kind: String,
    id: FeatureId,
}

/// The page of one block: its features with their ids, and whether the block has more.
struct BlockPage<'a> {
    features: Vec<(FeatureId, &'a str)>,
    has_more: bool,
}

/// Parses the page of a block. Its ids must be ascending and greater than `after`: otherwise a feature could be missing from
/// the merged pages, or be on two of them.
fn parse_block_page<'a>(value: &'a [u8], after: Option<&FeatureId>) -> Result<BlockPage<'a>, String> {
    let collection: Collection = serde_json::from_slice(value).map_err(|e| format!("not GeoJSON: {e}"))?;
    if collection.kind != "FeatureCollection" {
        return Err("not a feature collection".to_owned());
    }
    let mut features: Vec<(FeatureId, &str)> = Vec::with_capacity(collection.features.len());
    for raw_feature in collection.features {
        let feature: Feature =
            serde_json::from_str(raw_feature.get()).map_err(|e| format!("a feature: {e}"))?;
        if feature.kind != "Feature"
            || matches!(&feature.id, FeatureId::Text(text) if text.len() > FEATURE_ID_MAX_BYTES)
        {
            return Err("something that is no feature, or of too long an id".to_owned());
        }
        let previous = features.last().map(|(id, _)| id).or(after);
        if previous.is_some_and(|previous| *previous >= feature.id) {
            return Err("features out of order".to_owned());
        }
        features.push((feature.id, raw_feature.get()));
    }
    let has_more = collection.links.iter().any(|link| link.rel == "next");
    if has_more && features.is_empty() {
        return Err("more features, but none on this page".to_owned());
    }
    Ok(BlockPage { features, has_more })
}

/// Whether a response body of a store is a valid page, which can be merged with others.
pub fn is_valid_page(value: &[u8]) -> bool {
    parse_block_page(value, None).is_ok()
}

/// A page merged from the pages of several blocks.
#[derive(Debug, PartialEq)]
pub struct Page<'a> {
    /// The features as JSON texts, unchanged.
    pub features: Vec<&'a str>,
    /// The id after which the next page begins; `None` on the last page.
    pub next: Option<FeatureId>,
}

/// Merges the pages of several blocks into one of at most `limit` features and about `max_bytes` bytes. Features that do not
/// fit are never skipped: the next page begins with them.
///
/// # Errors
///
/// If the page of a block is invalid, or the first feature alone exceeds `max_bytes`.
pub fn merge_pages<'a>(
    values: &'a [(u32, OpaqueBytes)],
    after: Option<&FeatureId>,
    limit: usize,
    max_bytes: usize,
) -> Result<Page<'a>, String> {
    let mut features_by_id = BTreeMap::new();
    // Beyond the last feature of a block that has more, features of that block may be missing.
    let mut complete_up_to: Option<FeatureId> = None;
    for (shard, value) in values {
        let block = parse_block_page(value, after).map_err(|fault| format!("block {shard} gave {fault}"))?;
        if let Some((last, _)) = block.features.last().filter(|_| block.has_more) {
            complete_up_to = Some(complete_up_to.map_or(last.clone(), |to| to.min(last.clone())));
        }
        features_by_id.extend(block.features);
    }
    let mut page = Page { features: Vec::new(), next: None };
    let (mut used_bytes, mut last, mut has_remaining) = (0, None, complete_up_to.is_some());
    for (id, text) in features_by_id {
        let is_in_complete_range = complete_up_to.as_ref().is_none_or(|to| id <= *to);
        if !is_in_complete_range || page.features.len() == limit || used_bytes + text.len() > max_bytes {
            has_remaining = true;
            break;
        }
        used_bytes += text.len() + 1;
        page.features.push(text);
        last = Some(id);
    }
    if has_remaining {
        page.next = Some(last.ok_or("a feature that is too large for a page")?);
    }
    Ok(page)
}
