//! The block map: the replicas, span and epoch of every block. It owns the active blocks, whose spans do not
//! overlap, and the spans of retired blocks. A batch of changes is applied completely or not at all, epochs
//! only increase, and the cost of a look-up does not depend on the number of blocks (100 or 100,000). The map
//! does not manage changes in progress and does not hold the names or addresses of stores.

mod apply;
mod record;
mod snapshot;

use std::collections::{BTreeSet, VecDeque};

use rstar::primitives::{GeomWithData, Rectangle};
use rstar::{RTree, AABB};
use rustc_hash::FxHashMap;

use crate::index::Index;
use crate::types::{BlockId, Epoch, Extent, Span, StoreId};

pub use record::{Batch, Block, Cursor, MapError, Piece, Record, Replica, ReplicaState, MAX_REPLICAS};
pub use snapshot::Snapshot;

type Area = GeomWithData<Rectangle<[f64; 2]>, BlockId>;

fn area(id: BlockId, [west, south, east, north]: [f64; 4]) -> Area {
    Area::new(Rectangle::from_corners([west, south], [east, north]), id)
}

/// The block map; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct BlockMap {
    version: u64,
    max_blocks: usize,
    active: FxHashMap<BlockId, Block>,
    by_first: Index,
    by_store: FxHashMap<StoreId, BTreeSet<BlockId>>,
    by_extent: RTree<Area>,
    /// Spans and epochs of retired blocks; `oldest` holds the order in which they are evicted.
    retired: FxHashMap<BlockId, (Span, Epoch)>,
    retirement_order: VecDeque<BlockId>,
    max_retired: usize,
    /// Blocks by the version that changed them last, for brokers that fetch incremental updates.
    changed: BTreeSet<(u64, BlockId)>,
    changed_at: FxHashMap<BlockId, u64>,
}

impl BlockMap {
    /// Creates an empty map with limits on the number of active blocks and of remembered retired blocks.
    pub fn new(max_blocks: usize, max_retired: usize) -> Self {
        Self { max_blocks, max_retired, ..Self::default() }
    }

    /// Returns the version of the last applied batch.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of active blocks.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Whether the map has no active block.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns an active block.
    pub fn block(&self, id: BlockId) -> Option<&Block> {
        self.active.get(&id)
    }

    /// Iterates over the active blocks in the order of their weighers.
    pub fn blocks(&self) -> impl Iterator<Item = &Block> {
        self.by_first.iter().filter_map(|id| self.active.get(&id))
    }

    /// Returns the active block that contains a weigher.
    pub fn block_of_weigher(&self, weigher: u64) -> Option<&Block> {
        let (_, id) = self.by_first.last_at_or_before(weigher)?;
        self.active.get(&id).filter(|block| block.span.contains(weigher))
    }

    /// Returns the blocks whose extents intersect a box, sorted by identifier.
    pub fn blocks_in_extent(&self, extent: Extent) -> Vec<BlockId> {
        let mut found: Vec<BlockId> = extent
            .boxes()
            .flat_map(|[west, south, east, north]| {
                let envelope = AABB::from_corners([west, south], [east, north]);
                self.by_extent.locate_in_envelope_intersecting(&envelope).map(|area| area.data)
            })
            .collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Iterates over the blocks that list a store as a replica, in any state.
    pub fn blocks_at_store(&self, store: StoreId) -> impl Iterator<Item = BlockId> + '_ {
        self.by_store.get(&store).into_iter().flatten().copied()
    }

    /// Resolves a block identifier to the active blocks that cover its span: the block itself, or its
    /// successors. Returns `None` for an identifier that was never assigned or is no longer remembered.
    pub fn resolve(&self, id: BlockId) -> Option<Vec<Piece>> {
        if let Some(block) = self.active.get(&id) {
            return Some(vec![Piece { block: id, slice: block.span, is_whole_block: true }]);
        }
        let (span, _) = *self.retired.get(&id)?;
        Some(self.covering(span))
    }

    /// Returns the active blocks that cover a span, in the order of their weighers.
    pub fn covering(&self, span: Span) -> Vec<Piece> {
        let from = self.by_first.last_at_or_before(span.first).map_or(span.first, |(first, _)| first);
        let touching = self.by_first.range(from, span.end).filter_map(|id| self.active.get(&id));
        let piece = |block: &Block| {
            let slice = block.span.intersection(span)?;
            Some(Piece { block: block.id, slice, is_whole_block: slice == block.span })
        };
        touching.filter_map(piece).collect()
    }

    /// Returns the span and epoch with which a block was retired.
    pub fn retired(&self, id: BlockId) -> Option<(Span, Epoch)> {
        self.retired.get(&id).copied()
    }

    /// Iterates over the retired blocks that are still remembered, oldest first.
    pub fn retirements(&self) -> impl Iterator<Item = (BlockId, Span, Epoch)> + '_ {
        let known = |id: &BlockId| self.retired.get(id).map(|(span, epoch)| (*id, *span, *epoch));
        self.retirement_order.iter().filter_map(known)
    }
}
