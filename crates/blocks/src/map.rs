//! The block map: who holds what, under which epoch. It owns the living blocks, which tile the weigher
//! numbers they cover, and the spans of retired ones. It promises that a batch of changes is taken whole or not
//! at all, that epochs only rise, and that a look-up costs the same with a hundred blocks as with a
//! hundred thousand. It does not know how a change comes about, nor what a store's name or address is.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rstar::primitives::{GeomWithData, Rectangle};
use rstar::{RTree, AABB};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::index::Index;
use crate::types::{BlockId, Epoch, Extent, Span, StoreId};

/// A block has no more replicas.
pub const REPLICAS_MOST: usize = 8;

/// What a replica may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// Everything.
    Serving,
    /// It copies; nothing is to be sent to it yet.
    Joining,
    /// Everything until the change under way has been committed.
    Leaving,
}

/// One holder of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Where.
    pub store: StoreId,
    /// What it may be sent.
    pub state: ReplicaState,
}

/// A living block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Block {
    /// Its number.
    pub id: BlockId,
    /// The weigher numbers in it.
    pub span: Span,
    /// Rises with each change.
    pub epoch: Epoch,
    /// Its holders.
    pub replicas: Vec<Replica>,
    /// Where its weighers stand, for those who ask by place.
    pub extent: Option<Extent>,
}

impl Block {
    /// The stores that may be sent parts.
    pub fn holders(&self) -> impl Iterator<Item = StoreId> + '_ {
        self.replicas.iter().filter(|r| r.state != ReplicaState::Joining).map(|r| r.store)
    }

    /// Whether a store may be sent its parts.
    pub fn held_by(&self, store: StoreId) -> bool {
        self.holders().any(|holder| holder == store)
    }
}

/// One line of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The block is so from now on.
    Living(Block),
    /// The block is no more; its span is asked at others.
    Retired {
        /// Which.
        id: BlockId,
        /// What it covered.
        span: Span,
        /// The epoch of its end.
        epoch: Epoch,
    },
}

impl Record {
    /// The block it speaks of.
    pub fn id(&self) -> BlockId {
        match self {
            Self::Living(block) => block.id,
            Self::Retired { id, .. } => *id,
        }
    }

    fn epoch(&self) -> Epoch {
        match self {
            Self::Living(block) => block.epoch,
            Self::Retired { epoch, .. } => *epoch,
        }
    }
}

/// Changes that are taken together, and the version of the map that they make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Versions follow each other without gap.
    pub version: u64,
    /// The changes.
    pub records: Vec<Record>,
}

/// How far the changes of a map have been told: all up to a version's block.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The version.
    pub version: u64,
    /// The last block told of it.
    pub block: BlockId,
}

impl Cursor {
    /// Behind all of a version.
    pub fn at(version: u64) -> Self {
        Self { version, block: BlockId(u32::MAX) }
    }
}

/// Why a batch was refused; the map is as before.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapError {
    /// A batch is missing before this one.
    #[error("version {found} does not follow version {held}: ask for what lies between")]
    Gap {
        /// The map's version.
        held: u64,
        /// The batch's.
        found: u64,
    },
    /// An epoch that does not rise.
    #[error("{block}: {found} does not rise above {held}")]
    Stale {
        /// Which block.
        block: BlockId,
        /// Its epoch.
        held: Epoch,
        /// The batch's.
        found: Epoch,
    },
    /// A number that was retired comes back, or one stands twice in a batch.
    #[error("{0}: the number has been used before; a new block takes a new one")]
    Reused(BlockId),
    /// A block without weighers, holders, or with a holder twice or too many.
    #[error("{0}: {1}")]
    Malformed(BlockId, &'static str),
    /// The batch would leave numbers uncovered, or covered twice.
    #[error("the batch covers other weigher numbers than it gives up, first at {0}")]
    Uneven(u64),
    /// More blocks than the map may have.
    #[error("more than {0} blocks")]
    Full(usize),
}

/// One slice of what was asked for, and the block that answers for it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The living block.
    pub block: BlockId,
    /// The weigher numbers asked of it.
    pub slice: Span,
    /// Whether that is all the block has.
    pub all: bool,
}

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

    /// Takes a batch, whole or not at all.
    pub fn apply(&mut self, batch: &Batch) -> Result<(), MapError> {
        if batch.version != self.version + 1 {
            return Err(MapError::Gap { held: self.version, found: batch.version });
        }
        self.check(&batch.records, false)?;
        for record in &batch.records {
            self.put(record);
        }
        self.mark(batch);
        Ok(())
    }

    /// Takes what [`BlockMap::since`] gave, all pages together, the later records of a block over the earlier ones:
    /// a whole way from the version held to that one, or nothing.
    pub fn catch_up(&mut self, records: Vec<Record>, version: u64) -> Result<(), MapError> {
        if version < self.version {
            return Err(MapError::Gap { held: self.version, found: version });
        }
        let mut last: BTreeMap<BlockId, Record> = BTreeMap::new();
        for record in records {
            last.insert(record.id(), record);
        }
        // What is held already says nothing new.
        let news = |record: &Record| match self.living.get(&record.id()) {
            Some(held) => held.epoch != record.epoch(),
            None => !self.retired.contains_key(&record.id()),
        };
        let records: Vec<Record> = last.into_values().filter(news).collect();
        self.check(&records, true)?;
        for record in &records {
            self.put(record);
        }
        self.mark(&Batch { version, records });
        Ok(())
    }

    /// `many`: the records come from several batches, so a block may have come and gone between.
    fn check(&self, records: &[Record], many: bool) -> Result<(), MapError> {
        let (mut seen, mut given, mut taken) = (BTreeSet::new(), Vec::new(), Vec::new());
        let mut more = 0usize;
        for record in records {
            let (id, found) = (record.id(), record.epoch());
            if !seen.insert(id) || self.retired.contains_key(&id) {
                return Err(MapError::Reused(id));
            }
            let held = self.living.get(&id);
            if let Some(held) = held.filter(|held| held.epoch >= found) {
                return Err(MapError::Stale { block: id, held: held.epoch, found });
            }
            given.extend(held.map(|held| held.span));
            match record {
                Record::Living(block) => {
                    check_block(block)?;
                    taken.push(block.span);
                    more += usize::from(held.is_none());
                }
                Record::Retired { span, .. } => match held {
                    Some(held) if held.span == *span => {}
                    None if many => {}
                    _ => return Err(MapError::Malformed(id, "retired, but no living block has its span")),
                },
            }
        }
        if self.living.len() + more > self.most {
            return Err(MapError::Full(self.most));
        }
        // What the batch covers afterwards is what its blocks covered before; the first batch of all is free to
        // cover what nobody does.
        let (given, taken) = (joined(given)?, joined(taken)?);
        let fresh = taken.iter().all(|span| self.covering(*span).is_empty());
        if given == taken || (given.is_empty() && fresh) {
            return Ok(());
        }
        let differ = given.iter().zip(&taken).find(|(g, t)| g != t);
        Err(MapError::Uneven(differ.map_or(0, |(g, t)| g.first.min(t.first))))
    }

    fn put(&mut self, record: &Record) {
        let id = record.id();
        let old = self.living.remove(&id);
        let new = match record {
            Record::Living(block) => Some(block),
            Record::Retired { .. } => None,
        };
        // Most changes are of holders only: what stays is left where it is.
        let stays =
            |what: fn(&Block, &Block) -> bool| old.as_ref().zip(new).is_some_and(|(old, new)| what(old, new));
        if !stays(|old, new| old.span == new.span) {
            if let Some(old) = &old {
                self.by_first.remove(old.span.first, id);
            }
            if let Some(new) = new {
                self.by_first.insert(new.span.first, id);
            }
        }
        if !stays(|old, new| old.extent == new.extent) {
            for part in old.iter().filter_map(|old| old.extent).flat_map(Extent::boxes) {
                self.by_place.remove(&area(id, part));
            }
            for part in new.iter().filter_map(|new| new.extent).flat_map(Extent::boxes) {
                self.by_place.insert(area(id, part));
            }
        }
        for replica in old.iter().flat_map(|old| &old.replicas) {
            if let Some(held) = self.by_store.get_mut(&replica.store) {
                held.remove(&id);
            }
        }
        match record {
            Record::Living(block) => {
                for replica in &block.replicas {
                    self.by_store.entry(replica.store).or_default().insert(id);
                }
                self.living.insert(id, block.clone());
            }
            Record::Retired { span, epoch, .. } => {
                self.retired.insert(id, (*span, *epoch));
                self.oldest.push_back(id);
                while self.oldest.len() > self.retired_most {
                    if let Some(gone) = self.oldest.pop_front() {
                        self.retired.remove(&gone);
                        self.unmark(gone);
                    }
                }
            }
        }
    }

    fn mark(&mut self, batch: &Batch) {
        self.version = batch.version;
        for record in &batch.records {
            self.unmark(record.id());
            self.changed_at.insert(record.id(), batch.version);
            self.changed.insert((batch.version, record.id()));
        }
    }

    fn unmark(&mut self, id: BlockId) {
        if let Some(at) = self.changed_at.remove(&id) {
            self.changed.remove(&(at, id));
        }
    }

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

fn check_block(block: &Block) -> Result<(), MapError> {
    let mut stores: Vec<StoreId> = block.replicas.iter().map(|r| r.store).collect();
    stores.sort_unstable();
    let fault = if block.span.is_empty() {
        "no weigher numbers in it"
    } else if block.holders().next().is_none() {
        "nobody would hold it"
    } else if stores.windows(2).any(|pair| pair[0] == pair[1]) {
        "a store holds it twice"
    } else if stores.len() > REPLICAS_MOST {
        "too many replicas"
    } else if block.extent.is_some_and(|e| e.0.iter().any(|degrees| !degrees.is_finite())) {
        "an extent that is no box"
    } else {
        return Ok(());
    };
    Err(MapError::Malformed(block.id, fault))
}

/// Spans sorted, with neighbours joined; an overlap is an error.
fn joined(mut spans: Vec<Span>) -> Result<Vec<Span>, MapError> {
    spans.sort_unstable();
    let mut out: Vec<Span> = Vec::new();
    for span in spans {
        match out.last_mut() {
            Some(last) if span.first < last.end => return Err(MapError::Uneven(span.first)),
            Some(last) if span.first == last.end => last.end = span.end,
            _ => out.push(span),
        }
    }
    Ok(out)
}
