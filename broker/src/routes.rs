//! Routing of parts by the broker's copy of the block map. Owns the copy and the core's ids of the map's stores. A block
//! number of any age resolves to the blocks that now cover its weighers, each with a slice of them; an entry (a write) whose
//! block has several successors is never assigned to one of them by a guess. No I/O. Not used where blocks never move.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};

use gingerledge_blocks::validate::{self, Facts, Finding, Standing};
use gingerledge_blocks::wire::MapPage;
use gingerledge_blocks::{
    BlockId, BlockMap, Cursor, Epoch, Extent, MapError, Record, Snapshot, Span, StoreId,
};
use gingerledge_dispatch::ServerId;
use thiserror::Error;

/// The reason for which no block can serve a part.
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
    NotInBlock(u32, u64),
    /// No map has been received yet.
    #[error("no map of the blocks yet")]
    NoMap,
}

/// The reason for which an update of the map was not applied; the current map is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapUpdateError {
    /// The update does not fit the current map.
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
    /// Number of the block.
    pub block: u32,
    /// The first requested weigher, by which values are ordered.
    pub first_weigher: u64,
    /// The block's share of the part, from 0 to 1.
    pub share: f64,
    /// The requested weighers, if not all of the block.
    pub slice: Option<Span>,
}

/// Blocks whose owners changed, each with the core's ids of its stores; a block that no longer exists has none.
pub type BlockOwners = Vec<(u32, Vec<ServerId>)>;

/// The state of [`Routes`].
#[derive(Debug, Default)]
struct State {
    map: BlockMap,
    /// Term of the coordinator that the map came from; 0 for none.
    term: u32,
    /// Names of the map's stores.
    names: HashMap<StoreId, String>,
    /// The core's ids of listed stores, by name.
    servers: HashMap<String, ServerId>,
    /// Blocks whose owners must be reported to the core.
    dirty: BTreeSet<BlockId>,
    /// Records of an update whose pages have not all arrived.
    pending: Vec<Record>,
    /// Whether these records make up a complete map, not changes to the current one.
    pending_is_full_map: bool,
    /// Where the next page of that update must start.
    pending_up_to: Cursor,
}

/// The block map and the core's ids of its stores.
#[derive(Debug)]
pub struct Routes {
    state: RefCell<State>,
    /// Maximum number of current blocks.
    max_blocks: usize,
    /// Maximum number of remembered former blocks.
    max_retired: usize,
}

/// The effect of a page of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapUpdate {
    /// More pages of the update follow.
    MorePages,
    /// The map now equals the coordinator's at this version.
    UpToDate(u64),
    /// The page came from a coordinator of an earlier term and was ignored.
    OutdatedTerm,
}

impl Routes {
    /// Creates an empty map for at most `max_blocks` current and `max_retired` former blocks.
    pub fn new(max_blocks: usize, max_retired: usize) -> Self {
        let state = State { map: BlockMap::new(max_blocks, max_retired), ..State::default() };
        Self { state: RefCell::new(state), max_blocks, max_retired }
    }

    /// Version of the map; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.state.borrow().map.version()
    }

    /// Term of the coordinator that the map came from.
    pub fn term(&self) -> u32 {
        self.state.borrow().term
    }

    /// Position at which the next page of updates must start.
    pub fn next_cursor(&self) -> Cursor {
        let state = self.state.borrow();
        match state.pending.is_empty() {
            true => Cursor::after_version(state.map.version()),
            false => state.pending_up_to,
        }
    }

    /// Records the core's id of a listed store.
    pub fn store_listed(&self, name: &str, server: ServerId) {
        let mut state = self.state.borrow_mut();
        if state.servers.insert(name.to_owned(), server) != Some(server) {
            state.mark_store_dirty(name);
        }
    }

    /// Removes a store that is no longer listed.
    pub fn store_removed(&self, name: &str) {
        let mut state = self.state.borrow_mut();
        if state.servers.remove(name).is_some() {
            state.mark_store_dirty(name);
        }
    }

    /// Applies a page of an update.
    ///
    /// # Errors
    ///
    /// If the update does not fit the current map or would make it invalid; the next one then starts from the beginning.
    pub fn apply(&self, page: MapPage) -> Result<MapUpdate, MapUpdateError> {
        let mut state = self.state.borrow_mut();
        if page.term < state.term {
            return Ok(MapUpdate::OutdatedTerm);
        }
        // The numbers of stores are valid across terms and never change.
        state.names.extend(page.stores);
        state.term = page.term;
        if page.is_full_map {
            (state.pending_is_full_map, state.pending) = (true, Vec::new());
        }
        state.pending.extend(page.records);
        state.pending_up_to = page.cursor;
        // Bounds the memory: a correct coordinator never sends more records than this.
        if state.pending.len() > 2 * (self.max_blocks + self.max_retired) + 1024 {
            (state.pending, state.pending_is_full_map, state.term) = (Vec::new(), false, 0);
            return Err(MapError::TooManyBlocks(self.max_blocks).into());
        }
        if page.cursor < Cursor::after_version(page.version) {
            return Ok(MapUpdate::MorePages);
        }
        let records = std::mem::take(&mut state.pending);
        let is_full_map = std::mem::take(&mut state.pending_is_full_map);
        let changed: Vec<BlockId> = records.iter().map(Record::id).collect();
        // With term 0, the next request after an error starts from the beginning.
        let term = std::mem::take(&mut state.term);
        if is_full_map {
            let map = map_from_records(records, page.version, self.max_blocks, self.max_retired)?;
            validate_map(&state.names, page.version, |facts| validate::full_map(&map, facts))?;
            let former: Vec<BlockId> = state.map.blocks().map(|block| block.id).collect();
            state.map = map;
            state.dirty.extend(former);
        } else {
            let records = state.map.new_records(records);
            validate_map(&state.names, page.version, |facts| {
                validate::batch(&state.map, &records, facts).findings
            })?;
            state.map.catch_up(records, page.version)?;
        }
        state.term = term;
        state.dirty.extend(changed);
        Ok(MapUpdate::UpToDate(page.version))
    }

    /// Restores a map that was stored in a file.
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
        let map = BlockMap::restore(snapshot, self.max_blocks, self.max_retired)?;
        let names = stores.iter().cloned().collect();
        validate_map(&names, snapshot.version, |facts| validate::full_map(&map, facts))?;
        let mut state = self.state.borrow_mut();
        state.dirty.extend(map.blocks().map(|block| block.id));
        state.names = names;
        (state.map, state.term) = (map, term);
        Ok(())
    }

    /// The map, its stores and its term, in the form in which they are stored in a file.
    pub fn snapshot(&self) -> (Snapshot, Vec<(StoreId, String)>, u32) {
        let state = self.state.borrow();
        let mut stores: Vec<_> = state.names.iter().map(|(id, name)| (*id, name.clone())).collect();
        stores.sort_unstable();
        (state.map.snapshot(), stores, state.term)
    }

    /// Takes the changes of owners that have not been reported to the core.
    pub fn take_owner_changes(&self) -> BlockOwners {
        let mut state = self.state.borrow_mut();
        let dirty = std::mem::take(&mut state.dirty);
        dirty.into_iter().map(|id| (id.0, state.servers_of(id))).collect()
    }

    /// Epoch of a current block.
    pub fn epoch(&self, block: u32) -> Option<Epoch> {
        self.state.borrow().map.block(BlockId(block)).map(|block| block.epoch)
    }

    /// Whether a block exists in the current map.
    pub fn is_current(&self, block: u32) -> bool {
        self.state.borrow().map.block(BlockId(block)).is_some()
    }

    /// The current blocks that intersect a bounding box.
    pub fn in_extent(&self, extent: [f64; 4]) -> Vec<u32> {
        self.state.borrow().map.blocks_in_extent(Extent(extent)).into_iter().map(|id| id.0).collect()
    }

    /// Resolves the block number that a client used, possibly with one weigher of the block, to current blocks. An entry
    /// resolves to one block only.
    ///
    /// # Errors
    ///
    /// If the number is unknown, ambiguous for an entry, or does not contain the weigher.
    pub fn targets(
        &self,
        requested_block: u32,
        weigher: Option<u64>,
        is_entry: bool,
    ) -> Result<Vec<Target>, RouteError> {
        let state = self.state.borrow();
        if state.map.version() == 0 {
            return Err(RouteError::NoMap);
        }
        let pieces =
            state.map.resolve(BlockId(requested_block)).ok_or(RouteError::Unknown(requested_block))?;
        let target = |block: BlockId, slice: Span, is_all: bool, share: f64| Target {
            block: block.0,
            first_weigher: slice.first,
            share,
            slice: (!is_all).then_some(slice),
        };
        if let Some(weigher) = weigher {
            let piece = pieces.iter().find(|piece| piece.slice.contains(weigher));
            let piece = piece.ok_or(RouteError::NotInBlock(requested_block, weigher))?;
            return Ok(vec![target(piece.block, piece.slice, piece.is_whole_block, 1.0)]);
        }
        if is_entry && pieces.len() > 1 {
            return Err(RouteError::Ambiguous(
                requested_block,
                pieces.iter().map(|piece| piece.block.0).collect(),
            ));
        }
        let size = |span: Span| (span.end - span.first) as f64;
        let total: f64 = pieces.iter().map(|piece| size(piece.slice)).sum();
        Ok(pieces.iter().map(|p| target(p.block, p.slice, p.is_whole_block, size(p.slice) / total)).collect())
    }

    /// The successors of a block that no longer exists, for a part that requested these weighers of it.
    ///
    /// # Errors
    ///
    /// The errors are those of [`Routes::targets`].
    pub fn successors(
        &self,
        block: u32,
        slice: Option<Span>,
        weigher: Option<u64>,
        is_entry: bool,
    ) -> Result<Vec<Target>, RouteError> {
        let mut targets = self.targets(block, weigher, is_entry)?;
        if let Some(requested) = slice {
            // Each successor is asked only for the weighers that were requested of the block.
            let state = self.state.borrow();
            targets.retain_mut(|target| {
                let Some(successor) = state.map.block(BlockId(target.block)) else { return false };
                let Some(part) = successor.span.intersection(requested) else { return false };
                target.first_weigher = part.first;
                target.slice = (part != successor.span).then_some(part);
                target.share =
                    (part.end - part.first) as f64 / (requested.end - requested.first).max(1) as f64;
                true
            });
        }
        Ok(targets)
    }
}

impl State {
    /// Marks all blocks of a store as changed.
    fn mark_store_dirty(&mut self, name: &str) {
        let id = self.names.iter().find(|(_, known)| *known == name).map(|(id, _)| *id);
        let Some(id) = id else { return };
        let blocks: Vec<BlockId> = self.map.blocks_at_store(id).collect();
        self.dirty.extend(blocks);
    }

    /// The core's ids of a block's stores.
    fn servers_of(&self, id: BlockId) -> Vec<ServerId> {
        let Some(block) = self.map.block(id) else { return Vec::new() };
        let server = |store: StoreId| self.servers.get(self.names.get(&store)?).copied();
        let servers: Vec<ServerId> = block.holders().filter_map(server).collect();
        // An existing block without a listed store gets a placeholder id, so that it does not count as removed.
        if servers.is_empty() {
            vec![ServerId::MAX]
        } else {
            servers
        }
    }
}

/// Validates a map or an update of it. A broker has no information on transfers in progress; the coordinator has validated,
/// at the version before, that each range moved only to its new owners.
fn validate_map(
    names: &HashMap<StoreId, String>,
    version: u64,
    check: impl FnOnce(&Facts<'_>) -> Vec<Finding>,
) -> Result<(), MapUpdateError> {
    let standing = |store| names.contains_key(&store).then_some(Standing::Listed);
    let text = |store| names.get(&store).map_or_else(|| store.to_string(), |name| format!("store {name}"));
    let findings = check(&Facts { standing: &standing, store_name: &text, copies: &|_, _| true });
    validate::summary(&findings).map_or(Ok(()), |why| Err(MapUpdateError::Unsound { version, why }))
}

/// Builds a map from the records of a complete update, of which the last one of each block counts.
fn map_from_records(
    records: Vec<Record>,
    version: u64,
    max_blocks: usize,
    max_retired: usize,
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
            Record::Active(block) => snapshot.active.push(block),
            Record::Retired { id, span, epoch } => snapshot.retired.push((id, span, epoch)),
        }
    }
    snapshot.active.sort_unstable_by_key(|block| block.span);
    BlockMap::restore(&snapshot, max_blocks, max_retired)
}
