//! Types of the interface: numbers of stores, zones, regions and blocks as newtypes, so that they can't be confused, and facts,
//! proposals, answers and errors.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

/// Number of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Store(pub u32);

/// Number of a zone: a failure domain of stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub u16);

/// Number of a region: a group of zones that are near each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Region(pub u16);

/// Number of a block of the block map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Block(pub u32);

/// A half-open range of keys, `first < end`. The key `u64::MAX` can't be in a range, since the end is exclusive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyRange {
    /// First key of the range.
    pub first: u64,
    /// First key after the range.
    pub end: u64,
}

impl KeyRange {
    /// Creates the range from `first` to `end`, exclusive.
    pub fn new(first: u64, end: u64) -> Self {
        Self { first, end }
    }

    /// Number of keys in the range; 0 if `end` is not above `first`.
    pub fn count(self) -> u64 {
        self.end.saturating_sub(self.first)
    }

    /// Whether the key is in the range.
    pub fn contains(self, key: u64) -> bool {
        self.first <= key && key < self.end
    }
}

/// State of a store. Only `Listed` and `Cold` stores are sound, that is, count as holders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// The store accepts requests.
    Listed,
    /// The store is being drained.
    Draining,
    /// The store does not answer, or is unknown.
    Gone,
    /// The store accepts requests, but with a reduced capacity because it is not warmed up yet.
    Cold {
        /// Share of the warm capacity that the store has now, from 0 to 1.
        share: f64,
    },
    /// An operator took the store out of service.
    OutByHand,
    /// The store is out of service for a maintenance window that has begun.
    InWindow,
}

impl State {
    /// Whether a store in this state counts as a holder.
    pub fn is_sound(self) -> bool {
        matches!(self, State::Listed | State::Cold { .. })
    }
}

/// Location, capacity and state of a store. A capacity that is NaN or below 0 counts as 0, one above 1e9 as 1e9.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Site {
    /// The store.
    pub store: Store,
    /// Zone of the store.
    pub zone: Zone,
    /// Region of the store.
    pub region: Region,
    /// Capacity of the store when it is warm, in the unit of loads.
    pub capacity: f64,
    /// State of the store.
    pub state: State,
}

/// A block with its key range, its holders and its load. A holder without a [`Site`] counts as gone.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockAssignment {
    /// The block.
    pub block: Block,
    /// Key range of the block.
    pub keys: KeyRange,
    /// Stores that hold the block, in any order and without duplicates.
    pub holders: Vec<Store>,
    /// Load of the block on all holders together, in the unit of capacities.
    pub load: f64,
}

/// Minimum cover of each range, and minimum headroom of each zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirements {
    /// Minimum number of sound holders of each key. If both this and `zones` are 0, gaps are no shortage.
    pub holders: u32,
    /// Minimum number of zones with a sound holder, for each key.
    pub zones: u32,
    /// Share of its sound capacity that each zone has to keep free.
    pub headroom: f64,
}

/// Cover of the key range of a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cover {
    /// Key range of the block.
    pub keys: KeyRange,
    /// The block.
    pub block: Block,
    /// Number of sound holders.
    pub sound: u32,
    /// Number of zones with a sound holder.
    pub zones: u32,
    /// Number of regions with a sound holder.
    pub regions: u32,
    /// Free capacity of the sound holders, in the unit of capacities: capacity minus load of each, and at least 0 each.
    pub spare: f64,
}

/// A proposed change: stores to exclude, zones' shares, blocks to set and to remove. An empty proposal stands for the present
/// state.
///
/// `removed_blocks` are removed first, then each of `changed_blocks` replaces the block of that number; the last of several
/// entries for one block counts. An entry with an empty range removes its block, a holder that is named twice counts once, and an
/// invalid load counts as the nearest valid one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Proposal {
    /// Stores that would no longer count as holders.
    pub excluded_stores: BTreeSet<Store>,
    /// Shares of zones that would differ from those set; see [`crate::Coverage::set_share`].
    pub shares: BTreeMap<Zone, f64>,
    /// Blocks that would be new or changed.
    pub changed_blocks: Vec<BlockAssignment>,
    /// Blocks that would be removed.
    pub removed_blocks: Vec<Block>,
}

/// What a range lacks. Callers include the `Debug` output in error texts, so that names of variants and fields have to stay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shortage {
    /// The range has too few sound holders.
    Holders {
        /// Number of sound holders.
        sound: u32,
        /// Required number.
        least: u32,
    },
    /// The sound holders of the range are in too few zones.
    Zones {
        /// Number of zones with a sound holder.
        sound: u32,
        /// Required number.
        least: u32,
    },
    /// A zone that serves part of the range's load is overloaded.
    Capacity {
        /// The zone.
        zone: Zone,
        /// Load of the zone from all ranges.
        load: f64,
        /// Maximum load of the zone.
        room: f64,
    },
    /// No block holds these keys, although blocks on both sides, or blocks before the proposal, do.
    Gap,
    /// Two blocks hold these keys.
    Overlap {
        /// The block of the two with the higher number.
        other: Block,
    },
}

/// Whether a holder counts, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HolderStatus {
    /// The holder counts.
    Sound,
    /// The holder does not count, because of its state.
    Unavailable(State),
    /// The proposal excludes the holder.
    Excluded,
    /// The holder counts, but its zone's share directs part of its load to other zones. Reported only where the shortage is one
    /// of capacity.
    ShareReduced(Zone),
}

/// The smallest range that a proposal leaves short (fewest keys, then the lowest first key), with the status of its holders.
#[derive(Clone, Debug, PartialEq)]
pub struct Counterexample {
    /// The range.
    pub keys: KeyRange,
    /// Block of the range; `None` for a gap.
    pub block: Option<Block>,
    /// What the range lacks.
    pub shortage: Shortage,
    /// Holders of the range after the proposal, by number.
    pub holders: Vec<(Store, HolderStatus)>,
}

/// Load and capacity of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLoad {
    /// Load of the zone.
    pub load: f64,
    /// Maximum load of the zone: its capacity minus the headroom.
    pub max_load: f64,
    /// Capacity of the zone's sound stores.
    pub capacity: f64,
}

impl ZoneLoad {
    /// Whether the load is within the maximum.
    pub fn is_within_limit(&self) -> bool {
        self.load <= self.max_load
    }
}

/// Limits on the contents of a [`crate::Coverage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of stores.
    pub stores: usize,
    /// Maximum number of blocks.
    pub blocks: usize,
    /// Maximum number of holders of one block; at most 1,000 apply.
    pub holders: usize,
    /// Maximum number of zones with stores.
    pub zones: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { stores: 10_000, blocks: 200_000, holders: 16, zones: 256 }
    }
}

/// Reason why a store was rejected. The table is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitError {
    /// The table has the maximum number of stores already.
    #[error("store {0}: {most} stores are in the table already; remove one, or raise `stores`", store.0, most = .limit)]
    Stores {
        /// The rejected store.
        store: Store,
        /// Maximum number of stores.
        limit: usize,
    },
    /// The maximum number of zones have stores already.
    #[error("store {0} is in zone {1}: {most} zones have stores already; raise `zones`", store.0, zone.0, most = .limit)]
    Zones {
        /// The rejected store.
        store: Store,
        /// Zone of the store.
        zone: Zone,
        /// Maximum number of zones.
        limit: usize,
    },
}

/// Reason why a block was rejected. The table is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum BlockError {
    /// The range has no keys.
    #[error("block {0}: keys {1} to {2} are none; the end must be above the first", block.0, keys.first, keys.end)]
    EmptyRange {
        /// The rejected block.
        block: Block,
        /// Its key range.
        keys: KeyRange,
    },
    /// The load is NaN or not between 0 and 1e9.
    #[error("block {0}: a load of {load} is not between 0 and 1e9", block.0)]
    InvalidLoad {
        /// The rejected block.
        block: Block,
        /// Its load.
        load: f64,
    },
    /// The block has too many holders.
    #[error("block {0}: {count} holders, and {most} may be; hold it less often, or raise `holders`", block.0, most = .limit)]
    TooManyHolders {
        /// The rejected block.
        block: Block,
        /// Number of its holders.
        count: usize,
        /// Maximum number of holders.
        limit: usize,
    },
    /// A holder is named twice.
    #[error("block {0}: store {1} is named twice; name each holder once", block.0, store.0)]
    DuplicateHolder {
        /// The rejected block.
        block: Block,
        /// The store that is named twice.
        store: Store,
    },
    /// The table has the maximum number of blocks already.
    #[error("block {0}: {most} blocks are in the table already; remove one, or raise `blocks`", block.0, most = .limit)]
    TooManyBlocks {
        /// The rejected block.
        block: Block,
        /// Maximum number of blocks.
        limit: usize,
    },
}
