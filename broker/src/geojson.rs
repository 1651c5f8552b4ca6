//! What both sides know of GeoJSON: boxes on the globe, features by their ids, and how a page is put
//! together from what the blocks gave. Each block gives its features after a position, in the order of
//! their ids, up to the limit, and says with a next link of its own that it has more. The features
//! themselves go on as the bytes that came.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::core::OpaqueBytes;

/// No feature id is longer.
const ID_MAX: usize = 256;

/// A box on the globe, in degrees. Its west lies east of its east where it crosses the antimeridian.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bbox {
    west: f64,
    south: f64,
    east: f64,
    north: f64,
}

impl Bbox {
    /// A box from its west, south, east and north.
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

    /// Its corners, as in GeoJSON.
    pub fn corners(&self) -> [f64; 4] {
        [self.west, self.south, self.east, self.north]
    }

    /// The spans of longitude that it covers, none of which crosses the antimeridian. That meridian has
    /// two names, and what touches it under one touches it under the other.
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

    /// Whether the two have a point in common; edges belong to a box.
    pub fn intersects(&self, other: &Self) -> bool {
        let (ours, theirs) = (self.spans(), other.spans());
        let across = ours.iter().any(|a| theirs.iter().any(|b| a.0 <= b.1 && b.0 <= a.1));
        across && self.south <= other.north && other.south <= self.north
    }
}

/// A feature's id. Numbers come before texts.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(untagged)]
pub enum Id {
    /// A whole number.
    Number(i64),
    /// A text.
    Text(String),
}

impl std::fmt::Display for Id {
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
    id: Id,
}

/// What one block gave: its features by id, and whether it has more.
struct Block<'a> {
    features: Vec<(Id, &'a str)>,
    more: bool,
}

/// Reads what a block gave. It must be in order and go on from the position: otherwise a feature might
/// be left out or stand on two pages.
fn block<'a>(value: &'a [u8], after: Option<&Id>) -> Result<Block<'a>, String> {
    let collection: Collection = serde_json::from_slice(value).map_err(|e| format!("not GeoJSON: {e}"))?;
    if collection.kind != "FeatureCollection" {
        return Err("not a feature collection".to_owned());
    }
    let mut features: Vec<(Id, &str)> = Vec::with_capacity(collection.features.len());
    for raw in collection.features {
        let feature: Feature = serde_json::from_str(raw.get()).map_err(|e| format!("a feature: {e}"))?;
        if feature.kind != "Feature" || matches!(&feature.id, Id::Text(text) if text.len() > ID_MAX) {
            return Err("something that is no feature, or of too long an id".to_owned());
        }
        let before = features.last().map(|(id, _)| id).or(after);
        if before.is_some_and(|before| *before >= feature.id) {
            return Err("features out of order".to_owned());
        }
        features.push((feature.id, raw.get()));
    }
    let more = collection.links.iter().any(|link| link.rel == "next");
    if more && features.is_empty() {
        return Err("more features, but none on this page".to_owned());
    }
    Ok(Block { features, more })
}

/// Whether what a store gave is a page that can be put together with others.
pub fn readable(value: &[u8]) -> bool {
    block(value, None).is_ok()
}

/// A page.
#[derive(Debug, PartialEq)]
pub struct Page<'a> {
    /// Its features, as they came.
    pub features: Vec<&'a str>,
    /// Where the next page begins, if there is one.
    pub next: Option<Id>,
}

/// Puts a page together of at most `limit` features and about `bytes` bytes. What does not fit is
/// never left out: it begins the next page.
pub fn page<'a>(
    values: &'a [(u32, OpaqueBytes)],
    after: Option<&Id>,
    limit: usize,
    bytes: usize,
) -> Result<Page<'a>, String> {
    let mut all = BTreeMap::new();
    // Past the last feature of a block that has more, features of that block may be missing.
    let mut known_to: Option<Id> = None;
    for (shard, value) in values {
        let block = block(value, after).map_err(|fault| format!("block {shard} gave {fault}"))?;
        if let Some((last, _)) = block.features.last().filter(|_| block.more) {
            known_to = Some(known_to.map_or(last.clone(), |to| to.min(last.clone())));
        }
        all.extend(block.features);
    }
    let mut page = Page { features: Vec::new(), next: None };
    let (mut used, mut last, mut rest) = (0, None, known_to.is_some());
    for (id, text) in all {
        let known = known_to.as_ref().is_none_or(|to| id <= *to);
        if !known || page.features.len() == limit || used + text.len() > bytes {
            rest = true;
            break;
        }
        used += text.len() + 1;
        page.features.push(text);
        last = Some(id);
    }
    if rest {
        page.next = Some(last.ok_or("a feature that is too large for a page")?);
    }
    Ok(page)
}
