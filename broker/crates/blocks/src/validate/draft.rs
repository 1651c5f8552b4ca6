//! Input of the validator: a map as it was written, valid or not, with its blocks, stores and their lines in
//! the file. Nothing is guaranteed about its content: overlaps, unknown stores and reversed ranges can all
//! occur.

use gingerledge_coverage::State;
use rustc_hash::FxHashMap;

use crate::map::{Block, Replica, ReplicaState};
use crate::types::{BlockId, Epoch, Span, StoreId};

/// State of a store that determines its suitability as a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The store is in service.
    Listed,
    /// The store is in service and is warming up.
    Cold,
    /// The store serves its blocks but receives no new ones; its blocks are to be moved away.
    Draining,
    /// The store no longer exists.
    Gone,
}

impl Standing {
    /// Whether the store counts as a holder.
    pub fn is_usable(self) -> bool {
        self.state().is_sound()
    }

    /// Returns the state for the coverage calculation. A map is checked for the time when all stores are warm.
    pub(crate) fn state(self) -> State {
        match self {
            Self::Listed => State::Listed,
            Self::Cold => State::Cold { share: 1.0 },
            Self::Draining => State::Draining,
            Self::Gone => State::Gone,
        }
    }

    /// Whether the store can be read: a draining store still has all its data.
    pub fn responds(self) -> bool {
        self != Self::Gone
    }
}

/// A store of the map.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Number of the store.
    pub store: StoreId,
    /// Number of the store's zone, assigned by the caller.
    pub zone: u16,
    /// Number of the store's region, assigned by the caller.
    pub region: u16,
    /// Load that the store can carry.
    pub capacity: f64,
    /// State of the store.
    pub standing: Standing,
    /// Line of the store in the file, from 1; 0 if there is no file.
    pub line: u32,
}

/// A block of the map.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Identifier of the block.
    pub id: BlockId,
    /// Keys in the block.
    pub span: Span,
    /// Epoch of the block.
    pub epoch: Epoch,
    /// Stores that may be sent the block's parts.
    pub holders: Vec<StoreId>,
    /// Stores that copy the block.
    pub copying: Vec<StoreId>,
    /// Load of the block, in the unit of the stores' capacity.
    pub load: f64,
    /// Line of the block in the file, from 1; 0 if there is no file.
    pub line: u32,
    /// Lines of the holders, followed by those of the copying stores, as far as known.
    pub lines: Vec<u32>,
}

impl Row {
    /// Converts a block of a map. Replicas in the state `Joining` count as copying.
    pub fn from_block(block: &Block) -> Self {
        let joins = |r: &&Replica| r.state == ReplicaState::Joining;
        Self {
            id: block.id,
            span: block.span,
            epoch: block.epoch,
            holders: block.holders().collect(),
            copying: block.replicas.iter().filter(joins).map(|r| r.store).collect(),
            load: 1.0,
            line: 0,
            lines: Vec::new(),
        }
    }

    /// Returns the line of the `n`th store, where holders come before copying stores.
    pub(crate) fn line_of(&self, n: usize) -> u32 {
        self.lines.get(n).copied().unwrap_or(self.line)
    }
}

/// Minimum redundancy of each range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Redundancy {
    /// Minimum number of usable holders.
    pub holders: u32,
    /// Minimum number of zones of the usable holders.
    pub zones: u32,
}

/// A proposed map.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// Keys that the map must cover.
    pub keys: Span,
    /// Minimum redundancy of each range.
    pub minimum: Redundancy,
    /// Stores of the map.
    pub sites: Vec<Site>,
    /// Blocks of the map, in any order.
    pub rows: Vec<Row>,
    /// Identifiers of retired blocks.
    pub retired: Vec<BlockId>,
}

impl Draft {
    /// Returns the entry of each store; of several entries for one store, the first counts.
    pub(crate) fn sites_by_store(&self) -> FxHashMap<StoreId, &Site> {
        let mut found = FxHashMap::default();
        for site in &self.sites {
            found.entry(site.store).or_insert(site);
        }
        found
    }
}

/// Names of stores and their numbers, shared by the documents of one transition.
#[derive(Clone, Debug, Default)]
pub struct Names {
    ids: FxHashMap<String, StoreId>,
    texts: Vec<String>,
}

impl Names {
    /// Returns the number of a name, and assigns one to a new name.
    pub fn id(&mut self, name: &str) -> StoreId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = StoreId(self.texts.len() as u32);
        self.ids.insert(name.to_owned(), id);
        self.texts.push(name.to_owned());
        id
    }

    /// Returns the display name of a store.
    pub fn text(&self, store: StoreId) -> String {
        self.texts.get(store.0 as usize).map_or_else(|| store.to_string(), |name| format!("store {name}"))
    }
}
