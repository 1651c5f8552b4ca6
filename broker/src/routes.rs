//! Where a part goes: the broker's copy of the block map, and which of its stores is which of the map's. It owns both. It
//! promises that a block's old number is asked at whoever covers its weighers now, each for its slice, and that an entry
//! is never guessed into one of several heirs. No I/O; there is none of it where blocks do not move.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};

use gingerledge_blocks::validate::{self, Facts, Finding, Standing};
use gingerledge_blocks::wire::News;
use gingerledge_blocks::{
    BlockId, BlockMap, Cursor, Epoch, Extent, MapError, Record, Snapshot, Span, StoreId,
};
use gingerledge_dispatch::ServerId;
use thiserror::Error;

/// Why a part can't be asked anywhere.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unrouted {
    /// The number was never given, or is forgotten.
    #[error("no block {0}")]
    Unknown(u32),
    /// The block has split, and an entry belongs to one of its heirs only.
    #[error("block {0} has split into {1:?}: name the weigher, or its block")]
    Ambiguous(u32, Vec<u32>),
    /// The weigher is in no such block.
    #[error("block {0} does not hold weigher {1}")]
    Elsewhere(u32, u64),
    /// There is no map yet.
    #[error("no map of the blocks yet")]
    NoMap,
}

/// Why news of the map is not followed; the map held is as it was.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unfollowed {
    /// It does not fit the map held.
    #[error(transparent)]
    Map(#[from] MapError),
    /// The map that it makes is not sound.
    #[error("version {version} is not sound: {why}")]
    Unsound {
        /// The version.
        version: u64,
        /// What is wrong with it.
        why: String,
    },
}

/// A living block to be asked, and which of its weighers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// The block.
    pub block: u32,
    /// The first weigher asked for: the order of the values.
    pub first: u64,
    /// Its share of what was asked for.
    pub share: f64,
    /// The weighers asked for, if not all of it.
    pub slice: Option<Span>,
}

/// Stores, by the core's numbers, that may be asked for a block; nobody once it is no more.
pub type Told = Vec<(u32, Vec<ServerId>)>;

#[derive(Debug, Default)]
struct Inner {
    map: BlockMap,
    term: u32,
    /// The map's stores by number, and the core's by name.
    names: HashMap<StoreId, String>,
    servers: HashMap<String, ServerId>,
    /// Blocks that the core has to be told of.
    dirty: BTreeSet<BlockId>,
    /// A whole map or a catch-up whose pages are still coming.
    pending: Vec<Record>,
    pending_whole: bool,
    pending_upto: Cursor,
}

/// See the module's description.
#[derive(Debug)]
pub struct Routes {
    inner: RefCell<Inner>,
    most: usize,
    retired: usize,
}

/// What came of a page of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// There is more to come.
    More,
    /// The map is the coordinator's, of this version.
    All(u64),
    /// It is older than what is known: a deposed coordinator's.
    Old,
}

impl Routes {
    /// No map yet. It may hold so many blocks, and remember so many that are no more.
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

    /// Behind what news is wanted: the pages that have come, or the map as it is.
    pub fn wanted(&self) -> Cursor {
        let inner = self.inner.borrow();
        match inner.pending.is_empty() {
            true => Cursor::at(inner.map.version()),
            false => inner.pending_upto,
        }
    }

    /// Notes the core's number of a store.
    pub fn noted(&self, name: &str, server: ServerId) {
        let mut inner = self.inner.borrow_mut();
        if inner.servers.insert(name.to_owned(), server) != Some(server) {
            inner.dirty_store(name);
        }
    }

    /// Forgets a store that is gone.
    pub fn gone(&self, name: &str) {
        let mut inner = self.inner.borrow_mut();
        if inner.servers.remove(name).is_some() {
            inner.dirty_store(name);
        }
    }

    /// Takes a page of news.
    pub fn learn(&self, news: News) -> Result<Learned, Unfollowed> {
        let mut inner = self.inner.borrow_mut();
        if news.term < inner.term {
            return Ok(Learned::Old);
        }
        // Numbers of stores hold within a term and are carried over to the next; they never change.
        inner.names.extend(news.stores);
        inner.term = news.term;
        if news.whole {
            (inner.pending_whole, inner.pending) = (true, Vec::new());
        }
        inner.pending.extend(news.records);
        inner.pending_upto = news.upto;
        // Guards the memory: no coordinator has more to tell than this.
        if inner.pending.len() > 2 * (self.most + self.retired) + 1024 {
            (inner.pending, inner.pending_whole, inner.term) = (Vec::new(), false, 0);
            return Err(MapError::Full(self.most).into());
        }
        if news.upto < Cursor::at(news.version) {
            return Ok(Learned::More);
        }
        let records = std::mem::take(&mut inner.pending);
        let whole = std::mem::take(&mut inner.pending_whole);
        let touched: Vec<BlockId> = records.iter().map(Record::id).collect();
        // What can't be used is asked for anew, from the beginning.
        let known = std::mem::take(&mut inner.term);
        if whole {
            let map = whole_map(records, news.version, self.most, self.retired)?;
            sound(&inner.names, news.version, |facts| validate::whole(&map, facts))?;
            let before: Vec<BlockId> = inner.map.blocks().map(|block| block.id).collect();
            inner.map = map;
            inner.dirty.extend(before);
        } else {
            let records = inner.map.news(records);
            sound(&inner.names, news.version, |facts| validate::batch(&inner.map, &records, facts).findings)?;
            inner.map.catch_up(records, news.version)?;
        }
        inner.term = known;
        inner.dirty.extend(touched);
        Ok(Learned::All(news.version))
    }

    /// Takes the map as it was kept.
    pub fn restore(
        &self,
        snapshot: &Snapshot,
        stores: &[(StoreId, String)],
        term: u32,
    ) -> Result<(), Unfollowed> {
        let map = BlockMap::restore(snapshot, self.most, self.retired)?;
        let names = stores.iter().cloned().collect();
        sound(&names, snapshot.version, |facts| validate::whole(&map, facts))?;
        let mut inner = self.inner.borrow_mut();
        inner.dirty.extend(map.blocks().map(|block| block.id));
        inner.names = names;
        (inner.map, inner.term) = (map, term);
        Ok(())
    }

    /// The map and its stores, to be kept.
    pub fn snapshot(&self) -> (Snapshot, Vec<(StoreId, String)>, u32) {
        let inner = self.inner.borrow();
        let mut stores: Vec<_> = inner.names.iter().map(|(id, name)| (*id, name.clone())).collect();
        stores.sort_unstable();
        (inner.map.snapshot(), stores, inner.term)
    }

    /// What the core has not been told yet.
    pub fn take(&self) -> Told {
        let mut inner = self.inner.borrow_mut();
        let dirty = std::mem::take(&mut inner.dirty);
        dirty.into_iter().map(|id| (id.0, inner.servers_of(id))).collect()
    }

    /// A living block's epoch.
    pub fn epoch(&self, block: u32) -> Option<Epoch> {
        self.inner.borrow().map.block(BlockId(block)).map(|block| block.epoch)
    }

    /// Whether a block lives.
    pub fn lives(&self, block: u32) -> bool {
        self.inner.borrow().map.block(BlockId(block)).is_some()
    }

    /// The living blocks that touch a box.
    pub fn in_extent(&self, extent: [f64; 4]) -> Vec<u32> {
        self.inner.borrow().map.in_extent(Extent(extent)).into_iter().map(|id| id.0).collect()
    }

    /// Whom to ask for what a client named: a block's number of any age, perhaps one weigher in it. An entry goes to one
    /// block or is refused.
    pub fn targets(&self, named: u32, weigher: Option<u64>, entry: bool) -> Result<Vec<Target>, Unrouted> {
        let inner = self.inner.borrow();
        if inner.map.version() == 0 {
            return Err(Unrouted::NoMap);
        }
        let pieces = inner.map.resolve(BlockId(named)).ok_or(Unrouted::Unknown(named))?;
        let target = |block: BlockId, slice: Span, all: bool, share: f64| Target {
            block: block.0,
            first: slice.first,
            share,
            slice: (!all).then_some(slice),
        };
        if let Some(weigher) = weigher {
            let piece = pieces.iter().find(|piece| piece.slice.contains(weigher));
            let piece = piece.ok_or(Unrouted::Elsewhere(named, weigher))?;
            return Ok(vec![target(piece.block, piece.slice, piece.all, 1.0)]);
        }
        if entry && pieces.len() > 1 {
            return Err(Unrouted::Ambiguous(named, pieces.iter().map(|piece| piece.block.0).collect()));
        }
        let size = |span: Span| (span.end - span.first) as f64;
        let whole: f64 = pieces.iter().map(|piece| size(piece.slice)).sum();
        Ok(pieces.iter().map(|p| target(p.block, p.slice, p.all, size(p.slice) / whole)).collect())
    }

    /// Who takes the place of a block that is no more, for a part that asked it for these weighers.
    pub fn heirs(
        &self,
        block: u32,
        slice: Option<Span>,
        weigher: Option<u64>,
        entry: bool,
    ) -> Result<Vec<Target>, Unrouted> {
        let mut targets = self.targets(block, weigher, entry)?;
        if let Some(wanted) = slice {
            // Of each heir only what was asked of the block.
            let inner = self.inner.borrow();
            targets.retain_mut(|target| {
                let Some(heir) = inner.map.block(BlockId(target.block)) else { return false };
                let Some(part) = heir.span.meet(wanted) else { return false };
                target.first = part.first;
                target.slice = (part != heir.span).then_some(part);
                target.share = (part.end - part.first) as f64 / (wanted.end - wanted.first).max(1) as f64;
                true
            });
        }
        Ok(targets)
    }
}

impl Inner {
    fn dirty_store(&mut self, name: &str) {
        let id = self.names.iter().find(|(_, known)| *known == name).map(|(id, _)| *id);
        let Some(id) = id else { return };
        let blocks: Vec<BlockId> = self.map.at_store(id).collect();
        self.dirty.extend(blocks);
    }

    fn servers_of(&self, id: BlockId) -> Vec<ServerId> {
        let Some(block) = self.map.block(id) else { return Vec::new() };
        let server = |store: StoreId| self.servers.get(self.names.get(&store)?).copied();
        let servers: Vec<ServerId> = block.holders().filter_map(server).collect();
        // Nobody known is not the same as no block: a number that no server has keeps it there.
        if servers.is_empty() {
            vec![ServerId::MAX]
        } else {
            servers
        }
    }
}

/// Has a map or what is new in it proved. Of copies under way a broker knows nothing: that a range has gone to none but new
/// holders the coordinator proved, at the version before.
fn sound(
    names: &HashMap<StoreId, String>,
    version: u64,
    prove: impl FnOnce(&Facts<'_>) -> Vec<Finding>,
) -> Result<(), Unfollowed> {
    let standing = |store| names.contains_key(&store).then_some(Standing::Listed);
    let text = |store| names.get(&store).map_or_else(|| store.to_string(), |name| format!("store {name}"));
    let found = prove(&Facts { standing: &standing, text: &text, copies: &|_, _| true });
    validate::first_of(&found).map_or(Ok(()), |why| Err(Unfollowed::Unsound { version, why }))
}

fn whole_map(records: Vec<Record>, version: u64, most: usize, retired: usize) -> Result<BlockMap, MapError> {
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
