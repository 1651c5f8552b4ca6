//! Routing of parts by the broker's copy of the block map, together with the core's ids of the map's stores. It owns both.
//! A block number of any age resolves to the blocks that cover its weighers now, each with its slice; an entry is never
//! assigned to one of several successors by guessing. No I/O. Not used where blocks never move.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};

use gingerledge_blocks::validate::{self, Facts, Finding, Standing};
use gingerledge_blocks::wire::News;
use gingerledge_blocks::{
    BlockId, BlockMap, Cursor, Epoch, Extent, MapError, Record, Snapshot, Span, StoreId,
};
use gingerledge_dispatch::ServerId;
use thiserror::Error;

/// Why no block can serve a part.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// The block number was never assigned, or is no longer remembered.
    #[error("no block {0}")]
    Unknown(u32),
    /// The block was split, and an entry belongs to exactly one of its successors.
    #[error("block {0} has split into {1:?}: name the weigher, or its block")]
    Ambiguous(u32, Vec<u32>),
    /// The block does not contain the weigher.
    #[error("block {0} does not hold weigher {1}")]
    Elsewhere(u32, u64),
    /// No map has been received yet.
    #[error("no map of the blocks yet")]
    NoMap,
}

/// Why an update of the map was not applied; the current map is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapUpdateError {
    /// It does not fit the current map.
    #[error(transparent)]
    Map(#[from] MapError),
    /// The resulting map is invalid.
    #[error("version {version} is not sound: {why}")]
    Unsound {
        /// The version of the resulting map.
        version: u64,
        /// The first violated rule.
        why: String,
    },
}

/// A current block that serves a part, and the weighers requested of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// The block.
    pub block: u32,
    /// The first weigher requested, by which values are ordered.
    pub first: u64,
    /// Its share of the part, from 0 to 1.
    pub share: f64,
    /// The weighers requested, if not all of the block.
    pub slice: Option<Span>,
}

/// Blocks whose owners changed, each with its stores by the core's ids; a block that no longer exists has none.
pub type BlockOwners = Vec<(u32, Vec<ServerId>)>;

#[derive(Debug, Default)]
struct Inner {
    map: BlockMap,
    term: u32,
    /// Names of the map's stores, and the core's ids by name.
    names: HashMap<StoreId, String>,
    servers: HashMap<String, ServerId>,
    /// Blocks whose owners must be reported to the core.
    dirty: BTreeSet<BlockId>,
    /// Records of an update whose pages have not all arrived.
    pending: Vec<Record>,
    pending_is_complete: bool,
    pending_up_to: Cursor,
}

/// The block map and the core's ids of its stores.
#[derive(Debug)]
pub struct Routes {
    inner: RefCell<Inner>,
    most: usize,
    retired: usize,
}

/// The effect of a page of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapUpdate {
    /// More pages follow.
    More,
    /// The map equals the coordinator's at this version.
    All(u64),
    /// The page is from a coordinator of an earlier term, and was ignored.
    Old,
}

impl Routes {
    /// An empty map for at most `most` current and `retired` former blocks.
    pub fn new(most: usize, retired: usize) -> Self {
        let inner = Inner { map: BlockMap::new(most, retired), ..Inner::default() };
        Self { inner: RefCell::new(inner), most, retired }
    }

    /// The map's version; 0 for none.
    pub fn version(&self) -> u64 {
        self.inner.borrow().map.version()
    }

    /// The term of the coordinator that it came from.
    pub fn term(&self) -> u32 {
        self.inner.borrow().term
    }

    /// Where the next page of updates must start.
    pub fn next_cursor(&self) -> Cursor {
        let inner = self.inner.borrow();
        match inner.pending.is_empty() {
            true => Cursor::at(inner.map.version()),
            false => inner.pending_up_to,
        }
    }

    /// Records the core's id of a listed store.
    pub fn store_listed(&self, name: &str, server: ServerId) {
        let mut inner = self.inner.borrow_mut();
        if inner.servers.insert(name.to_owned(), server) != Some(server) {
            inner.mark_store_dirty(name);
        }
    }

    /// Removes a store that is no longer listed.
    pub fn store_removed(&self, name: &str) {
        let mut inner = self.inner.borrow_mut();
        if inner.servers.remove(name).is_some() {
            inner.mark_store_dirty(name);
        }
    }

    /// Applies a page of an update.
    ///
    /// # Errors
    ///
    /// If the update does not fit the current map or would make it invalid; the next one then starts from the beginning.
    pub fn apply(&self, news: News) -> Result<MapUpdate, MapUpdateError> {
        let mut inner = self.inner.borrow_mut();
        if news.term < inner.term {
            return Ok(MapUpdate::Old);
        }
        // Numbers of stores are valid across terms and never change.
        inner.names.extend(news.stores);
        inner.term = news.term;
        if news.whole {
            (inner.pending_is_complete, inner.pending) = (true, Vec::new());
        }
        inner.pending.extend(news.records);
        inner.pending_up_to = news.upto;
        // Bounds memory: no correct coordinator sends more records than this.
        if inner.pending.len() > 2 * (self.most + self.retired) + 1024 {
            (inner.pending, inner.pending_is_complete, inner.term) = (Vec::new(), false, 0);
            return Err(MapError::Full(self.most).into());
        }
        if news.upto < Cursor::at(news.version) {
            return Ok(MapUpdate::More);
        }
        let records = std::mem::take(&mut inner.pending);
        let whole = std::mem::take(&mut inner.pending_is_complete);
        let touched: Vec<BlockId> = records.iter().map(Record::id).collect();
        // After an error the next request starts from the beginning.
        let known = std::mem::take(&mut inner.term);
        if whole {
            let map = map_from_records(records, news.version, self.most, self.retired)?;
            validate_map(&inner.names, news.version, |facts| validate::whole(&map, facts))?;
            let before: Vec<BlockId> = inner.map.blocks().map(|block| block.id).collect();
            inner.map = map;
            inner.dirty.extend(before);
        } else {
            let records = inner.map.news(records);
            validate_map(&inner.names, news.version, |facts| {
                validate::batch(&inner.map, &records, facts).findings
            })?;
            inner.map.catch_up(records, news.version)?;
        }
        inner.term = known;
        inner.dirty.extend(touched);
        Ok(MapUpdate::All(news.version))
    }

    /// Restores the map from its file.
    ///
    /// # Errors
    ///
    /// If the stored map is invalid.
    pub fn restore(
        &self,
        snapshot: &Snapshot,
        stores: &[(StoreId, String)],
        term: u32,
    ) -> Result<(), MapUpdateError> {
        let map = BlockMap::restore(snapshot, self.most, self.retired)?;
        let names = stores.iter().cloned().collect();
        validate_map(&names, snapshot.version, |facts| validate::whole(&map, facts))?;
        let mut inner = self.inner.borrow_mut();
        inner.dirty.extend(map.blocks().map(|block| block.id));
        inner.names = names;
        (inner.map, inner.term) = (map, term);
        Ok(())
    }

    /// The map, its stores and its term, as stored in its file.
    pub fn snapshot(&self) -> (Snapshot, Vec<(StoreId, String)>, u32) {
        let inner = self.inner.borrow();
        let mut stores: Vec<_> = inner.names.iter().map(|(id, name)| (*id, name.clone())).collect();
        stores.sort_unstable();
        (inner.map.snapshot(), stores, inner.term)
    }

    /// Takes the owner changes that have not been reported to the core.
    pub fn take_owner_changes(&self) -> BlockOwners {
        let mut inner = self.inner.borrow_mut();
        let dirty = std::mem::take(&mut inner.dirty);
        dirty.into_iter().map(|id| (id.0, inner.servers_of(id))).collect()
    }

    /// Epoch of a current block.
    pub fn epoch(&self, block: u32) -> Option<Epoch> {
        self.inner.borrow().map.block(BlockId(block)).map(|block| block.epoch)
    }

    /// Whether a block exists in the current map.
    pub fn is_current(&self, block: u32) -> bool {
        self.inner.borrow().map.block(BlockId(block)).is_some()
    }

    /// The current blocks that intersect a bounding box.
    pub fn in_extent(&self, extent: [f64; 4]) -> Vec<u32> {
        self.inner.borrow().map.in_extent(Extent(extent)).into_iter().map(|id| id.0).collect()
    }

    /// Resolves the block number that a client used, perhaps with one weigher in it, to current blocks. An entry resolves to
    /// one block only.
    ///
    /// # Errors
    ///
    /// If the number is unknown, ambiguous for an entry, or does not contain the weigher.
    pub fn targets(&self, named: u32, weigher: Option<u64>, entry: bool) -> Result<Vec<Target>, RouteError> {
        let inner = self.inner.borrow();
        if inner.map.version() == 0 {
            return Err(RouteError::NoMap);
        }
        let pieces = inner.map.resolve(BlockId(named)).ok_or(RouteError::Unknown(named))?;
        let target = |block: BlockId, slice: Span, all: bool, share: f64| Target {
            block: block.0,
            first: slice.first,
            share,
            slice: (!all).then_some(slice),
        };
        if let Some(weigher) = weigher {
            let piece = pieces.iter().find(|piece| piece.slice.contains(weigher));
            let piece = piece.ok_or(RouteError::Elsewhere(named, weigher))?;
            return Ok(vec![target(piece.block, piece.slice, piece.all, 1.0)]);
        }
        if entry && pieces.len() > 1 {
            return Err(RouteError::Ambiguous(named, pieces.iter().map(|piece| piece.block.0).collect()));
        }
        let size = |span: Span| (span.end - span.first) as f64;
        let whole: f64 = pieces.iter().map(|piece| size(piece.slice)).sum();
        Ok(pieces.iter().map(|p| target(p.block, p.slice, p.all, size(p.slice) / whole)).collect())
    }

    /// The successors of a block that no longer exists, for a part that requested these weighers of it.
    ///
    /// # Errors
    ///
    /// As [`Routes::targets`].
    pub fn successors(
        &self,
        block: u32,
        slice: Option<Span>,
        weigher: Option<u64>,
        entry: bool,
    ) -> Result<Vec<Target>, RouteError> {
        let mut targets = self.targets(block, weigher, entry)?;
        if let Some(wanted) = slice {
            // Of each successor only the weighers that were requested of the block.
            let inner = self.inner.borrow();
            targets.retain_mut(|target| {
                let Some(successor) = inner.map.block(BlockId(target.block)) else { return false };
                let Some(part) = successor.span.meet(wanted) else { return false };
                target.first = part.first;
                target.slice = (part != successor.span).then_some(part);
                target.share = (part.end - part.first) as f64 / (wanted.end - wanted.first).max(1) as f64;
                true
            });
        }
        Ok(targets)
    }
}

impl Inner {
    fn mark_store_dirty(&mut self, name: &str) {
        let id = self.names.iter().find(|(_, known)| *known == name).map(|(id, _)| *id);
        let Some(id) = id else { return };
        let blocks: Vec<BlockId> = self.map.at_store(id).collect();
        self.dirty.extend(blocks);
    }

    fn servers_of(&self, id: BlockId) -> Vec<ServerId> {
        let Some(block) = self.map.block(id) else { return Vec::new() };
        let server = |store: StoreId| self.servers.get(self.names.get(&store)?).copied();
        let servers: Vec<ServerId> = block.holders().filter_map(server).collect();
        // An existing block without a listed store keeps a placeholder id, so that it is not taken for a removed one.
        if servers.is_empty() {
            vec![ServerId::MAX]
        } else {
            servers
        }
    }
}

/// Validates a map or an update of it. A broker knows nothing of transfers in progress: that a range moved only to its new
/// owners was validated by the coordinator at the version before.
fn validate_map(
    names: &HashMap<StoreId, String>,
    version: u64,
    prove: impl FnOnce(&Facts<'_>) -> Vec<Finding>,
) -> Result<(), MapUpdateError> {
    let standing = |store| names.contains_key(&store).then_some(Standing::Listed);
    let text = |store| names.get(&store).map_or_else(|| store.to_string(), |name| format!("store {name}"));
    let found = prove(&Facts { standing: &standing, text: &text, copies: &|_, _| true });
    validate::first_of(&found).map_or(Ok(()), |why| Err(MapUpdateError::Unsound { version, why }))
}

fn map_from_records(
    records: Vec<Record>,
    version: u64,
    most: usize,
    retired: usize,
) -> Result<BlockMap, MapError> {
    let mut snapshot = Snapshot { version, ..Snapshot::default() };
    let mut last = HashMap::new();
    for (n, record) in records.iter().enumerate() {
        last.insert(record.id(), n);
    }
    for (n, record) in records.into_iter().enumerate() {
        if last.get(&record.id()) != Some(&n) {
            continue;
        }
        match record {
            Record::Living(block) => snapshot.living.push(block),
            Record::Retired { id, span, epoch } => snapshot.retired.push((id, span, epoch)),
        }
    }
    snapshot.living.sort_unstable_by_key(|block| block.span);
    BlockMap::restore(&snapshot, most, retired)
}
