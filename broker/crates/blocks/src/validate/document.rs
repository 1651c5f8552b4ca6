//! The TOML format in which operators write a map; `docs/design/blocks.md` states it. The parser keeps the line of every
//! element. A document that can be read may still be invalid; the validator decides that.
//!
//! ```toml
//! version = 7
//! keys = [0, 200]              # range to be covered, half-open
//! retired = [3]                # identifiers of retired blocks
//! goal = { replicas = 2, zones = 2 }
//!
//! [[store]]
//! name = "s-5be2a07c"
//! zone = "a"
//! region = "north"             # optional
//! capacity = 100.0
//! state = "listed"             # or cold, draining, gone; listed by default
//!
//! [[block]]
//! block = 1
//! first = 0
//! end = 200
//! epoch = 4294967297
//! load = 1.0                   # in the unit of capacity; 1 by default
//! stores = ["s-5be2a07c", "s-93d04c1e"]
//! copying = ["s-0a4fb6d2"]     # optional
//! ```

use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;

use super::draft::{Draft, Names, Redundancy, Row, Site, Standing};
use crate::types::{BlockId, Epoch, Span};

/// Limits on the size of a document.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Length of the text, in bytes.
    pub bytes: usize,
    /// Number of stores.
    pub stores: usize,
    /// Number of blocks, and of retired block identifiers.
    pub blocks: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { bytes: 64 << 20, stores: 10_000, blocks: 200_000 }
    }
}

/// Reason why a document cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The document is not valid TOML, or not of this format.
    #[error("line {line}: {what}: see the format in docs/design/blocks.md")]
    Format {
        /// Line of the error, from 1.
        line: u32,
        /// Description of the error.
        what: String,
    },
    /// A limit on the size of a document is exceeded.
    #[error("{found} {what}, and {most} is the most: split it, or raise the bound")]
    Large {
        /// What there is too much of.
        what: &'static str,
        /// Number found.
        found: usize,
        /// Maximum number allowed.
        most: usize,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    version: Option<u64>,
    keys: [u64; 2],
    #[serde(default)]
    retired: Vec<u32>,
    goal: GoalTable,
    #[serde(default)]
    store: Vec<StoreTable>,
    #[serde(default)]
    block: Vec<BlockTable>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GoalTable {
    replicas: u32,
    #[serde(default = "one")]
    zones: u32,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreTable {
    name: Spanned<String>,
    zone: String,
    #[serde(default)]
    region: String,
    capacity: f64,
    #[serde(default)]
    state: StateName,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateName {
    #[default]
    Listed,
    Cold,
    Draining,
    Gone,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BlockTable {
    block: Spanned<u32>,
    first: u64,
    end: u64,
    epoch: u64,
    #[serde(default = "unit")]
    load: f64,
    stores: Vec<Spanned<String>>,
    #[serde(default)]
    copying: Vec<Spanned<String>>,
}

fn unit() -> f64 {
    1.0
}

/// A parsed document.
#[derive(Clone, Debug)]
pub struct Document {
    /// Version of the map, if the document states it.
    pub version: Option<u64>,
    /// Map that the document describes.
    pub draft: Draft,
}

impl Document {
    /// Parses a document. Documents that are to be compared must share `names`.
    pub fn read(text: &str, names: &mut Names, bounds: &Bounds) -> Result<Self, DocumentError> {
        let within = |what, found, most| match found <= most {
            true => Ok(()),
            false => Err(DocumentError::Large { what, found, most }),
        };
        within("bytes", text.len(), bounds.bytes)?;
        let lines = Lines::new(text);
        let table: Table = toml::from_str(text).map_err(|fault| DocumentError::Format {
            line: fault.span().map_or(1, |span| lines.line(span.start)),
            what: fault.message().trim().replace('\n', " "),
        })?;
        within("stores", table.store.len(), bounds.stores.min(usize::from(u16::MAX)))?;
        within("blocks", table.block.len(), bounds.blocks)?;
        within("retired numbers", table.retired.len(), bounds.blocks)?;
        let (mut zones, mut regions) = (Names::default(), Names::default());
        let site = |store: StoreTable| Site {
            store: names.id(store.name.get_ref()),
            // There are no more zones than stores, whose number is limited to 65,535.
            zone: zones.id(&store.zone).0 as u16,
            region: regions.id(&store.region).0 as u16,
            capacity: store.capacity,
            standing: match store.state {
                StateName::Listed => Standing::Listed,
                StateName::Cold => Standing::Cold,
                StateName::Draining => Standing::Draining,
                StateName::Gone => Standing::Gone,
            },
            line: lines.line(store.name.span().start),
        };
        let sites = table.store.into_iter().map(site).collect();
        let row = |block: BlockTable| Row {
            id: BlockId(*block.block.get_ref()),
            span: Span::new(block.first, block.end),
            epoch: Epoch(block.epoch),
            holders: block.stores.iter().map(|name| names.id(name.get_ref())).collect(),
            copying: block.copying.iter().map(|name| names.id(name.get_ref())).collect(),
            load: block.load,
            line: lines.line(block.block.span().start),
            lines: block.stores.iter().chain(&block.copying).map(|n| lines.line(n.span().start)).collect(),
        };
        let rows = table.block.into_iter().map(row).collect();
        let minimum = Redundancy { holders: table.goal.replicas, zones: table.goal.zones };
        let keys = Span::new(table.keys[0], table.keys[1]);
        let retired = table.retired.into_iter().map(BlockId).collect();
        Ok(Self { version: table.version, draft: Draft { keys, minimum, sites, rows, retired } })
    }
}

/// Offsets, in bytes, at which the lines of a text begin, except for the first line.
struct Lines(Vec<usize>);

impl Lines {
    fn new(text: &str) -> Self {
        Self(text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1).collect())
    }

    fn line(&self, at: usize) -> u32 {
        self.0.partition_point(|begins| *begins <= at) as u32 + 1
    }
}
