//! The block map: who holds what, under which epoch. It owns the living blocks, which tile the weigher
//! numbers they cover, and the spans of retired ones. It promises that a batch of changes is taken whole or not
//! at all, that epochs only rise, and that a look-up costs the same with a hundred blocks as with a
//! hundred thousand. It does not know how a change comes about, nor what a store's name or address is.

mod apply;
mod record;
mod snapshot;

use std::collections::{BTreeSet, VecDeque};

use rstar::primitives::{GeomWithData, Rectangle};
use rstar::{RTree, AABB};
use rustc_hash::FxHashMap;

use crate::index::Index;
use crate::types::{BlockId, Epoch, Extent, Span, StoreId};

pub use record::{Batch, Block, Cursor, MapError, Piece, Record, Replica, ReplicaState, REPLICAS_MOST};
pub use snapshot::Snapshot;

type Area = GeomWithData<Rectangle<[f64; 2]>, BlockId>;

fn area(id: BlockId, [west, south, east, north]: [f64; 4]) -> Area {
    Area::new(Rectangle::from_corners([west, south], [east, north]), id)
}

/// The map. See the module's description.
#[derive(Clone, Debug, Default)]
pub struct BlockMap {
    version: u64,
    most: usize,
    living: FxHashMap<BlockId, Block>,
    by_first: Index,
    by_store: FxHashMap<StoreId, BTreeSet<BlockId>>,
    by_place: RTree<Area>,
    /// Spans of retired blocks, and the order in which they are forgotten.
    retired: FxHashMap<BlockId, (Span, Epoch)>,
    oldest: VecDeque<BlockId>,
    retired_most: usize,
    /// Which blocks each version changed last, for brokers that ask what is new.
    changed: BTreeSet<(u64, BlockId)>,
    changed_at: FxHashMap<BlockId, u64>,
}

impl BlockMap {
    /// An empty map that holds so many blocks, and remembers so many retired ones, at the most.
    pub fn new(most: usize, retired_most: usize) -> Self {
        Self { most, retired_most, ..Self::default() }
    }

    /// The last batch taken.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many blocks live.
    pub fn len(&self) -> usize {
        self.living.len()
    }

    /// Whether no block lives.
    pub fn is_empty(&self) -> bool {
        self.living.is_empty()
    }

    /// A living block.
    pub fn block(&self, id: BlockId) -> Option<&Block> {
        self.living.get(&id)
    }

    /// All living blocks in the order of their weighers.
    pub fn blocks(&self) -> impl Iterator<Item = &Block> {
        self.by_first.iter().filter_map(|id| self.living.get(&id))
    }

    /// The block of a weigher.
    pub fn of_weigher(&self, weigher: u64) -> Option<&Block> {
        let (_, id) = self.by_first.at(weigher)?;
        self.living.get(&id).filter(|block| block.span.contains(weigher))
    }

    /// The blocks that touch a box, in the order of their numbers.
    pub fn in_extent(&self, extent: Extent) -> Vec<BlockId> {
        let mut found: Vec<BlockId> = extent
            .boxes()
            .flat_map(|[west, south, east, north]| {
                let envelope = AABB::from_corners([west, south], [east, north]);
                self.by_place.locate_in_envelope_intersecting(&envelope).map(|area| area.data)
            })
            .collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    /// The blocks of which a store is a replica, whatever its state.
    pub fn at_store(&self, store: StoreId) -> impl Iterator<Item = BlockId> + '_ {
        self.by_store.get(&store).into_iter().flatten().copied()
    }

    /// Who answers for a block's number now: itself, or whoever covers what it covered. `None` for a number that was
    /// never given or is forgotten.
    pub fn resolve(&self, id: BlockId) -> Option<Vec<Piece>> {
        if let Some(block) = self.living.get(&id) {
            return Some(vec![Piece { block: id, slice: block.span, all: true }]);
        }
        let (span, _) = *self.retired.get(&id)?;
        Some(self.covering(span))
    }

    /// The living blocks that cover a span, in the order of their weighers.
    pub fn covering(&self, span: Span) -> Vec<Piece> {
        let from = self.by_first.at(span.first).map_or(span.first, |(first, _)| first);
        let touching = self.by_first.range(from, span.end).filter_map(|id| self.living.get(&id));
        let piece = |block: &Block| {
            let slice = block.span.meet(span)?;
            Some(Piece { block: block.id, slice, all: slice == block.span })
        };
        touching.filter_map(piece).collect()
    }

    /// What a block's number meant when it was retired.
    pub fn retired(&self, id: BlockId) -> Option<(Span, Epoch)> {
        self.retired.get(&id).copied()
    }

    /// The blocks that have come to their end and are still remembered, the oldest first.
    pub fn retirements(&self) -> impl Iterator<Item = (BlockId, Span, Epoch)> + '_ {
        let known = |id: &BlockId| self.retired.get(id).map(|(span, epoch)| (*id, *span, *epoch));
        self.oldest.iter().filter_map(known)
    }
}
