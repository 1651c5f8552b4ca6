//! Snapshots of the map, and incremental updates for followers.

use std::collections::BTreeSet;

use rstar::RTree;
use serde::{Deserialize, Serialize};

use super::apply::check_block;
use super::{area, Block, BlockMap, Cursor, MapError, Record};
use crate::types::{BlockId, Epoch, Extent, Span};

impl BlockMap {
    /// Creates a snapshot of the map.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            version: self.version,
            active: self.blocks().cloned().collect(),
            retired: self.retirements().collect(),
        }
    }

    /// Restores a map from a snapshot. Fails if the blocks overlap or are malformed.
    pub fn restore(snapshot: &Snapshot, max_blocks: usize, max_retired: usize) -> Result<Self, MapError> {
        let mut map = Self::new(max_blocks, max_retired);
        let mut seen = BTreeSet::new();
        let mut end = 0;
        for block in &snapshot.active {
            check_block(block)?;
            if !seen.insert(block.id) {
                return Err(MapError::Reused(block.id));
            }
            if block.span.first < end {
                return Err(MapError::CoverageMismatch(block.span.first));
            }
            end = block.span.end;
        }
        if snapshot.active.len() > max_blocks {
            return Err(MapError::TooManyBlocks(max_blocks));
        }
        for (id, span, epoch) in &snapshot.retired {
            if !seen.insert(*id) {
                return Err(MapError::Reused(*id));
            }
            map.apply_record(&Record::Retired { id: *id, span: *span, epoch: *epoch });
        }
        let areas = snapshot.active.iter().flat_map(|block| {
            block.extent.into_iter().flat_map(Extent::boxes).map(|part| area(block.id, part))
        });
        let areas = areas.collect();
        for block in &snapshot.active {
            let without_extent = Block { extent: None, ..block.clone() };
            map.apply_record(&Record::Active(without_extent));
            map.active.insert(block.id, block.clone());
        }
        map.by_extent = RTree::bulk_load(areas);
        map.version = snapshot.version;
        // The snapshot does not say in which version a block changed, so every block counts as changed in the
        // current version.
        for id in map.active.keys().chain(map.retired.keys()) {
            map.changed_at.insert(*id, map.version);
            map.changed.insert((map.version, *id));
        }
        Ok(map)
    }

    /// Returns the current records of blocks that changed after a cursor, at most `about` of them (at least
    /// one), and the cursor after these. Starting from [`Cursor::default`] this gives the whole map. Returns
    /// `None` for a cursor ahead of this map, which belongs to another history.
    pub fn changes_since(&self, from: Cursor, limit: usize) -> Option<(Vec<Record>, Cursor)> {
        if from.version > self.version {
            return None;
        }
        let after_cursor =
            (std::ops::Bound::Excluded((from.version, from.block)), std::ops::Bound::Unbounded);
        let mut rest = self.changed.range(after_cursor);
        let mut cursor = Cursor::after_version(self.version);
        let mut records = Vec::new();
        for (version, block) in rest.by_ref().take(limit.max(1)) {
            records.extend(self.record(*block));
            cursor = Cursor { version: *version, block: *block };
        }
        Some((records, if rest.next().is_none() { Cursor::after_version(self.version) } else { cursor }))
    }

    fn record(&self, id: BlockId) -> Option<Record> {
        let active = self.active.get(&id).cloned().map(Record::Active);
        active.or_else(|| self.retired.get(&id).map(|&(span, epoch)| Record::Retired { id, span, epoch }))
    }
}

/// Snapshot of a map.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the map.
    pub version: u64,
    /// Active blocks in the order of their weighers.
    #[serde(rename = "living")]
    pub active: Vec<Block>,
    /// Retired blocks with their spans and epochs, oldest first.
    pub retired: Vec<(BlockId, Span, Epoch)>,
}
