//! What goes in and what comes out: names as newtypes, so that none is taken for another, facts, proposals, answers and refusals.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

/// A store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Store(pub u32);

/// A zone: what fails together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub u16);

/// A region: zones near each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Region(pub u16);

/// A block of the map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Block(pub u32);

/// A half-open range of keys, `first < end`. `u64::MAX` is only ever an end: that key itself can't be in a range.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Keys {
    /// The first key in it.
    pub first: u64,
    /// The first key behind it.
    pub end: u64,
}

impl Keys {
    /// From `first` up to `end`, without it.
    pub fn new(first: u64, end: u64) -> Self {
        Self { first, end }
    }

    /// How many keys there are; none where the end is not behind the first.
    pub fn count(self) -> u64 {
        self.end.saturating_sub(self.first)
    }

    /// Whether the key is in it.
    pub fn holds(self, key: u64) -> bool {
        self.first <= key && key < self.end
    }
}

/// How a store stands. Sound are `Listed` and `Cold` alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It may be asked.
    Listed,
    /// It is being emptied.
    Draining,
    /// It does not answer, or is not known.
    Gone,
    /// It may be asked, and can do this share of what it could warm.
    Cold {
        /// 0 to 1.
        share: f64,
    },
    /// An operator took it out.
    OutByHand,
    /// It is out for a window that has begun.
    InWindow,
}

impl State {
    /// Whether a store that stands so counts as a holder.
    pub fn sound(self) -> bool {
        matches!(self, State::Listed | State::Cold { .. })
    }
}

/// A store with where it stands and how. A capacity that is no number or below 0 counts as 0; above 1e9 as that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Site {
    /// Which.
    pub store: Store,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// What it can do warm, in the unit of loads.
    pub capacity: f64,
    /// How it stands.
    pub state: State,
}

/// A block with its keys, who holds it and what is asked of it. A holder that no site is set for counts as gone.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Which.
    pub block: Block,
    /// Its keys.
    pub keys: Keys,
    /// Its holders, each once, in any order.
    pub holders: Vec<Store>,
    /// What is asked of all holders together, in the unit of capacities.
    pub load: f64,
}

/// What each range must have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Least {
    /// Sound holders of each key. With 0 here and in `zones`, gaps are no shortage.
    pub holders: u32,
    /// Zones with a sound holder, of each key.
    pub zones: u32,
    /// What each zone must have to spare, as a share of its sound capacity.
    pub headroom: f64,
}

/// How a range is covered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cover {
    /// The range: a block's keys.
    pub keys: Keys,
    /// The block.
    pub block: Block,
    /// Its sound holders.
    pub sound: u32,
    /// The zones that they are in.
    pub zones: u32,
    /// The regions that they are in.
    pub regions: u32,
    /// What its sound holders can do above what falls on them, in the unit of capacities.
    pub spare: f64,
}

/// What would change: stores away, zones' shares, blocks held otherwise. Empty: the state as it is.
///
/// What is `gone` goes first, then each of `held` replaces what its block was; of two for one block the last counts. A range
/// without keys holds nothing, a holder named twice counts once, and a load that can't be set counts as the nearest that can.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Proposal {
    /// Stores that would not count as holders.
    pub away: BTreeSet<Store>,
    /// Shares that would be other than set.
    pub shares: BTreeMap<Zone, f64>,
    /// Blocks that would be new or otherwise.
    pub held: Vec<Held>,
    /// Blocks that would be no more.
    pub gone: Vec<Block>,
}

/// What a range is short of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Short {
    /// Sound holders.
    Holders {
        /// So many.
        sound: u32,
        /// Of these.
        least: u32,
    },
    /// Zones with a sound holder.
    Zones {
        /// So many.
        sound: u32,
        /// Of these.
        least: u32,
    },
    /// Room in a zone that some of the range's load falls on.
    Capacity {
        /// The zone.
        zone: Zone,
        /// What falls on it, from all ranges.
        load: f64,
        /// What may.
        room: f64,
    },
    /// A block: keys that nobody holds, between others or held before the proposal.
    Gap,
    /// Clearness: two blocks hold these keys.
    Overlap {
        /// The other one.
        other: Block,
    },
}

/// Where a holder is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lost {
    /// Not lost: it counts.
    Sound,
    /// It does not count, because of how it stands.
    State(State),
    /// The proposal takes it away.
    Proposed,
    /// It counts, but part of what falls on it is led out of its zone; told where room is what is short.
    Share(Zone),
}

/// The smallest range that a proposal leaves short (fewest keys, then the first), who holds it, and what takes each away.
#[derive(Clone, Debug, PartialEq)]
pub struct Counterexample {
    /// The range.
    pub keys: Keys,
    /// Its block; none for a gap.
    pub block: Option<Block>,
    /// What it is short of.
    pub short: Short,
    /// Its holders after the proposal, by number.
    pub holders: Vec<(Store, Lost)>,
}

/// A zone's load against its room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// What falls on it.
    pub load: f64,
    /// What may: its capacity less the headroom.
    pub room: f64,
    /// What its sound stores can do.
    pub capacity: f64,
}

impl Room {
    /// Whether the load is within the room.
    pub fn enough(&self) -> bool {
        self.load <= self.room
    }
}

/// How much a [`crate::Coverage`] takes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Stores.
    pub stores: usize,
    /// Blocks.
    pub blocks: usize,
    /// Holders of one block; no more than 1,000.
    pub holders: usize,
    /// Zones with stores.
    pub zones: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { stores: 10_000, blocks: 200_000, holders: 16, zones: 256 }
    }
}

/// No place for a store. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Full {
    /// Too many stores.
    #[error("store {0}: {most} stores are in the table already; remove one, or raise `stores`", store.0)]
    Stores {
        /// The one refused.
        store: Store,
        /// The bound.
        most: usize,
    },
    /// Too many zones.
    #[error("store {0} is in zone {1}: {most} zones have stores already; raise `zones`", store.0, zone.0)]
    Zones {
        /// The one refused.
        store: Store,
        /// Its zone.
        zone: Zone,
        /// The bound.
        most: usize,
    },
}

/// What can't be a held block. Nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum Unfit {
    /// A range without keys.
    #[error("block {0}: keys {1} to {2} are none; the end must be above the first", block.0, keys.first, keys.end)]
    Empty {
        /// The one refused.
        block: Block,
        /// Its range.
        keys: Keys,
    },
    /// A load that is none.
    #[error("block {0}: a load of {load} is not between 0 and 1e9", block.0)]
    Load {
        /// The one refused.
        block: Block,
        /// Its load.
        load: f64,
    },
    /// Too many holders.
    #[error("block {0}: {count} holders, and {most} may be; hold it less often, or raise `holders`", block.0)]
    Holders {
        /// The one refused.
        block: Block,
        /// So many.
        count: usize,
        /// The bound.
        most: usize,
    },
    /// A holder that is named twice.
    #[error("block {0}: store {1} is named twice; name each holder once", block.0, store.0)]
    Twice {
        /// The one refused.
        block: Block,
        /// The store.
        store: Store,
    },
    /// Too many blocks.
    #[error("block {0}: {most} blocks are in the table already; remove one, or raise `blocks`", block.0)]
    Full {
        /// The one refused.
        block: Block,
        /// The bound.
        most: usize,
    },
}
