//! What the validator looks at: a map as somebody wrote it, sound or not. It owns the rows, the stores and the lines that they
//! stand on. It promises nothing of what is in it: overlaps, unknown stores and reversed ranges can all be said here.

use gingerledge_coverage::State;
use rustc_hash::FxHashMap;

use crate::map::{Block, Replica, ReplicaState};
use crate::types::{BlockId, Epoch, Span, StoreId};

/// What a store is fit for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It serves.
    Listed,
    /// It serves, and warms up.
    Cold,
    /// It serves what it has and is given nothing new: its blocks are to leave.
    Draining,
    /// It is no more.
    Gone,
}

impl Standing {
    /// Whether it counts as a holder.
    pub fn sound(self) -> bool {
        self.state().is_sound()
    }

    /// As the calculus of cover has it. A map is for when all are warm.
    pub(crate) fn state(self) -> State {
        match self {
            Self::Listed => State::Listed,
            Self::Cold => State::Cold { share: 1.0 },
            Self::Draining => State::Draining,
            Self::Gone => State::Gone,
        }
    }

    /// Whether it can be read: what drains still has all that it had.
    pub fn answers(self) -> bool {
        self != Self::Gone
    }
}

/// A store.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Which.
    pub store: StoreId,
    /// Its zone, by a number of the caller's.
    pub zone: u16,
    /// Its region, likewise.
    pub region: u16,
    /// The load that it can carry.
    pub capacity: f64,
    /// What it is fit for.
    pub standing: Standing,
    /// Where it stands in the file; 0: in none.
    pub line: u32,
}

/// A block.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Its number.
    pub id: BlockId,
    /// Its keys.
    pub span: Span,
    /// Its epoch.
    pub epoch: Epoch,
    /// Who may be sent its parts.
    pub holders: Vec<StoreId>,
    /// Who copies it.
    pub copying: Vec<StoreId>,
    /// Its load, in the unit of the stores' capacity.
    pub load: f64,
    /// Where it stands in the file; 0: in none.
    pub line: u32,
    /// Where its holders and then its copiers do, as far as known.
    pub lines: Vec<u32>,
}

impl Row {
    /// A block of a map; of its replicas those that join copy.
    pub fn of(block: &Block) -> Self {
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

    /// Where its `n`th store stands, holders before copiers.
    pub(crate) fn line_of(&self, n: usize) -> u32 {
        self.lines.get(n).copied().unwrap_or(self.line)
    }
}

/// What each range is to have at the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Least {
    /// Sound holders.
    pub holders: u32,
    /// Zones that they stand in.
    pub zones: u32,
}

/// A map as it would be.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// What is to be covered.
    pub keys: Span,
    /// What each range is to have.
    pub least: Least,
    /// The stores.
    pub sites: Vec<Site>,
    /// The blocks, in any order.
    pub rows: Vec<Row>,
    /// Numbers that have come to their end.
    pub retired: Vec<BlockId>,
}

impl Draft {
    /// What each store is fit for; what stands twice counts as it stands first.
    pub(crate) fn standings(&self) -> FxHashMap<StoreId, &Site> {
        let mut found = FxHashMap::default();
        for site in &self.sites {
            found.entry(site.store).or_insert(site);
        }
        found
    }
}

/// Names of stores and their numbers, shared by the documents of one passage.
#[derive(Clone, Debug, Default)]
pub struct Names {
    ids: FxHashMap<String, StoreId>,
    texts: Vec<String>,
}

impl Names {
    /// The number of a name, the first time a fresh one.
    pub fn id(&mut self, name: &str) -> StoreId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = StoreId(self.texts.len() as u32);
        self.ids.insert(name.to_owned(), id);
        self.texts.push(name.to_owned());
        id
    }

    /// A store as people call it.
    pub fn text(&self, store: StoreId) -> String {
        self.texts.get(store.0 as usize).map_or_else(|| store.to_string(), |name| format!("store {name}"))
    }
}
