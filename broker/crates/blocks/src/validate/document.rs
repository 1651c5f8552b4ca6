//! A map as a document, in TOML, as an operator writes it. It owns the format, which `docs/design/blocks.md` states, and knows
//! the line of everything in it. A document that can be read at all may still be unsound: that is the validator's to say.
//!
//! ```toml
//! version = 7
//! keys = [0, 200]              # all there is to cover, half open
//! retired = [3]                # numbers that have come to their end
//! goal = { replicas = 2, zones = 2 }
//!
//! [[store]]
//! name = "s-5be2a07c"
//! zone = "a"
//! region = "north"             # may be left out
//! capacity = 100.0
//! state = "listed"             # or cold, draining, gone; listed if left out
//!
//! [[block]]
//! block = 1
//! first = 0
//! end = 200
//! epoch = 4294967297
//! load = 1.0                   # in the unit of capacity; 1 if left out
//! stores = ["s-5be2a07c", "s-93d04c1e"]
//! copying = ["s-0a4fb6d2"]     # may be left out
//! ```

use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;

use super::draft::{Draft, Least, Names, Row, Site, Standing};
use crate::types::{BlockId, Epoch, Span};

/// How large a document may be.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Its text, in bytes.
    pub bytes: usize,
    /// Its stores.
    pub stores: usize,
    /// Its blocks, and its retired numbers.
    pub blocks: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { bytes: 64 << 20, stores: 10_000, blocks: 200_000 }
    }
}

/// Why a document can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// It is no TOML, or not of this format.
    #[error("line {line}: {what}: see the format in docs/design/blocks.md")]
    Format {
        /// Where.
        line: u32,
        /// What is wrong there.
        what: String,
    },
    /// More of something than a document may have.
    #[error("{found} {what}, and {most} is the most: split it, or raise the bound")]
    Large {
        /// Of what.
        what: &'static str,
        /// So many.
        found: usize,
        /// The most.
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

/// A document that could be read.
#[derive(Clone, Debug)]
pub struct Document {
    /// Its version, if it says one.
    pub version: Option<u64>,
    /// What it says.
    pub draft: Draft,
}

impl Document {
    /// Reads a document. Documents that are to be held against each other share their names.
    pub fn read(text: &str, names: &mut Names, bounds: &Bounds) -> Result<Self, DocumentError> {
        let within = |what, found, most| match found <= most {
            true => Ok(()),
            false => Err(DocumentError::Large { what, found, most }),
        };
        within("bytes", text.len(), bounds.bytes)?;
        let lines = Lines::of(text);
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
            // No more zones than stores, and those are bounded.
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
        let least = Least { holders: table.goal.replicas, zones: table.goal.zones };
        let keys = Span::new(table.keys[0], table.keys[1]);
        let retired = table.retired.into_iter().map(BlockId).collect();
        Ok(Self { version: table.version, draft: Draft { keys, least, sites, rows, retired } })
    }
}

/// Where the lines of a text begin.
struct Lines(Vec<usize>);

impl Lines {
    fn of(text: &str) -> Self {
        Self(text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1).collect())
    }

    fn line(&self, at: usize) -> u32 {
        self.0.partition_point(|begins| *begins <= at) as u32 + 1
    }
}
