//! The whole map at once, and what is new in it for those who follow.

use std::collections::BTreeSet;

use rstar::RTree;
use serde::{Deserialize, Serialize};

use super::apply::check_block;
use super::{area, Block, BlockMap, Cursor, MapError, Record};
use crate::types::{BlockId, Epoch, Extent, Span};

impl BlockMap {
    /// The whole map.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            version: self.version,
            living: self.blocks().cloned().collect(),
            retired: self.retirements().collect(),
        }
    }

    /// The map that a snapshot was taken of; refused if its blocks overlap or are malformed.
    pub fn restore(snapshot: &Snapshot, most: usize, retired_most: usize) -> Result<Self, MapError> {
        let mut map = Self::new(most, retired_most);
        let mut seen = BTreeSet::new();
        let mut end = 0;
        for block in &snapshot.living {
            check_block(block)?;
            if !seen.insert(block.id) {
                return Err(MapError::Reused(block.id));
            }
            if block.span.first < end {
                return Err(MapError::Uneven(block.span.first));
            }
            end = block.span.end;
        }
        if snapshot.living.len() > most {
            return Err(MapError::Full(most));
        }
        for (id, span, epoch) in &snapshot.retired {
            if !seen.insert(*id) {
                return Err(MapError::Reused(*id));
            }
            map.put(&Record::Retired { id: *id, span: *span, epoch: *epoch });
        }
        let areas = snapshot.living.iter().flat_map(|block| {
            block.extent.into_iter().flat_map(Extent::boxes).map(|part| area(block.id, part))
        });
        let areas = areas.collect();
        for block in &snapshot.living {
            let bare = Block { extent: None, ..block.clone() };
            map.put(&Record::Living(bare));
            map.living.insert(block.id, block.clone());
        }
        map.by_place = RTree::bulk_load(areas);
        map.version = snapshot.version;
        // When each was changed is not known any more: all of it counts as new.
        for id in map.living.keys().chain(map.retired.keys()) {
            map.changed_at.insert(*id, map.version);
            map.changed.insert((map.version, *id));
        }
        Ok(map)
    }

    /// What has changed behind a cursor, as records of today, about so many of them, and the cursor behind those. From
    /// [`Cursor::default`] on that is the whole map. `None` for a cursor ahead of this map: of another history.
    pub fn since(&self, from: Cursor, about: usize) -> Option<(Vec<Record>, Cursor)> {
        if from.version > self.version {
            return None;
        }
        let behind = (std::ops::Bound::Excluded((from.version, from.block)), std::ops::Bound::Unbounded);
        let mut rest = self.changed.range(behind);
        let mut upto = Cursor::at(self.version);
        let mut records = Vec::new();
        for (version, block) in rest.by_ref().take(about.max(1)) {
            records.extend(self.record(*block));
            upto = Cursor { version: *version, block: *block };
        }
        Some((records, if rest.next().is_none() { Cursor::at(self.version) } else { upto }))
    }

    fn record(&self, id: BlockId) -> Option<Record> {
        let living = self.living.get(&id).cloned().map(Record::Living);
        living.or_else(|| self.retired.get(&id).map(|&(span, epoch)| Record::Retired { id, span, epoch }))
    }
}

/// A whole map.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Its version.
    pub version: u64,
    /// Its living blocks in the order of their weighers.
    pub living: Vec<Block>,
    /// Retired ones, the oldest first.
    pub retired: Vec<(BlockId, Span, Epoch)>,
}
