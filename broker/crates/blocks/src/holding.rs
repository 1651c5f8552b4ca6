//! What a store does with the blocks it holds: the fence. It owns each block's mode and epoch, the log of entries that
//! ran here, and the highest term seen. It promises that an order repeated changes nothing more, that an order of
//! an old term changes nothing at all, and that an entry known by its key is not run again. Whoever hosts it makes
//! each change durable before it answers; it does not know how.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::types::{BlockId, Epoch, Span, StoreId, Term};

/// What a store lets in for a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Mode {
    /// Nothing: it copies.
    Copying,
    /// Reads only: it has all that the source had when that was fenced.
    Reading,
    /// Everything.
    Open,
    /// Reads only: another is to take over.
    Fenced,
    /// Nothing: another has taken over.
    Retired,
}

/// A block at a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// Its weigher numbers.
    pub span: Span,
    /// The epoch of its last change here.
    pub epoch: Epoch,
    /// Parts placed under an older epoch than this were meant for an earlier tenure.
    pub since: Epoch,
    /// What is let in.
    pub mode: Mode,
    /// Where it copies from, or who takes over from it.
    pub peer: Option<StoreId>,
    /// Up to where of the peer's log it has copied.
    pub copied: u64,
}

/// A block at a store, with its size and use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Which.
    pub block: BlockId,
    /// How.
    pub holding: Holding,
    /// Its size.
    pub bytes: u64,
    /// Parts that ran since the store started.
    pub parts: u64,
}

/// An entry that ran, or a reading that was there from the beginning.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Says whether two are the same.
    pub key: String,
    /// Whose it is.
    pub weigher: u64,
    /// What it carries.
    pub value: Vec<u8>,
}

/// What a coordinator asks of a store. Each may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Order {
    /// To hear the term, and say what is held.
    Inventory,
    /// To hold a block from the beginning, without a copy: the first blocks of all.
    Found {
        /// Its weigher numbers.
        span: Span,
    },
    /// To get ready to copy a block. A store that is open for it stays so and follows the source's log.
    Prepare {
        /// Its weigher numbers.
        span: Span,
        /// Whose log it will copy.
        from: StoreId,
    },
    /// To let no more entries in, and say how long the log is.
    Fence {
        /// Who is to take over.
        to: StoreId,
    },
    /// To let reads in: all up to the source's watermark has been copied.
    Read,
    /// To let nothing in: the map has changed.
    Retire,
    /// To let everything in.
    Open,
    /// To give the copy up, retired or never opened.
    Forget,
    /// To let entries in again, under this fresh epoch.
    Unfence,
    /// To answer to these new names too, which together cover the old ones.
    Name {
        /// The old names.
        old: Vec<BlockId>,
        /// The new names and their numbers.
        new: Vec<(BlockId, Span)>,
    },
    /// To answer no longer to these names, whose weighers are covered by others.
    Unname {
        /// The names.
        names: Vec<BlockId>,
    },
}

/// An order with its stamp.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ordered {
    /// Of whose term it is.
    pub term: Term,
    /// Rises with each order of the term: one that comes after a later one of its block is too late.
    pub serial: u64,
    /// Which block it is about.
    pub block: BlockId,
    /// The epoch of the change it belongs to.
    pub epoch: Epoch,
    /// What to do.
    pub order: Order,
}

/// What a store says to an order that it has carried out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Done {
    /// The block's mode now; `None` if it is not held.
    pub mode: Option<Mode>,
    /// The length of the log: what the other side has to copy up to.
    pub watermark: u64,
    /// Up to where of the peer's log has been copied.
    pub copied: u64,
}

/// Why an order was not carried out; nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// Another coordinator has taken over.
    #[error("a coordinator of term {} has taken over", .0 .0)]
    Deposed(Term),
    /// The block is not in a mode in which this can be done.
    #[error("the block is {0:?} here")]
    Mode(Mode),
    /// The store knows nothing of the block.
    #[error("the block is not held here")]
    Unheld,
    /// The change is older than what has been done since.
    #[error("{0} has come since")]
    Old(Epoch),
    /// A later order for the block has come before this one.
    #[error("a later order has come before")]
    Late,
    /// The store has no room for one more block.
    #[error("no room for one more block")]
    Full,
    /// New names do not cover what the old ones cover.
    #[error("the new names cover other weigher numbers than the old ones")]
    Uneven,
}

/// What a store's disk holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The highest term seen.
    pub term: Term,
    /// Its blocks.
    pub blocks: Vec<(BlockId, Holding)>,
    /// Blocks it let go.
    pub gone: Vec<(BlockId, Epoch)>,
    /// The last orders of the term.
    pub latest: Vec<(BlockId, u64)>,
    /// Its log.
    pub entries: Vec<Entry>,
}

/// Whether a part may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Yes, over these weigher numbers.
    Run(Span),
    /// It is an entry that ran before: the answer is what it was.
    Known(usize),
    /// No, and it never did: `later`, with the newest epoch known here.
    Later(Option<Epoch>),
}

/// A store's blocks. See the module's description.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    term: Term,
    most: usize,
    blocks: BTreeMap<BlockId, Holding>,
    /// Blocks that were forgotten: the epoch of that, so that an old order can't bring them back.
    gone: BTreeMap<BlockId, Epoch>,
    /// The last order for each block in this term.
    latest: HashMap<BlockId, u64>,
    /// Parts that ran, by block.
    parts: HashMap<BlockId, u64>,
    entries: Vec<Entry>,
    keys: HashMap<String, usize>,
    bytes: u64,
    fenceless: bool,
}

impl Holdings {
    /// A store that may hold so many blocks.
    pub fn new(most: usize) -> Self {
        Self { most, ..Self::default() }
    }

    /// One whose fence is broken: it lets entries in whatever its mode. For tests that have to notice.
    pub fn without_fence(most: usize) -> Self {
        Self { fenceless: true, ..Self::new(most) }
    }

    /// What a store that lasts finds again: the term, its blocks, those it let go, and its log.
    pub fn restore(most: usize, kept: Kept) -> Self {
        let mut this = Self::new(most);
        (this.term, this.latest) = (kept.term, kept.latest.into_iter().collect());
        this.blocks = kept.blocks.into_iter().collect();
        this.gone = kept.gone.into_iter().collect();
        for entry in kept.entries {
            this.run(entry);
        }
        this
    }

    /// What has to last, but for the entries.
    pub fn kept(&self) -> Kept {
        let mut latest: Vec<(BlockId, u64)> = self.latest.iter().map(|(id, n)| (*id, *n)).collect();
        latest.sort_unstable();
        Kept {
            term: self.term,
            blocks: self.blocks.iter().map(|(id, held)| (*id, *held)).collect(),
            gone: self.gone.iter().map(|(id, epoch)| (*id, *epoch)).collect(),
            latest,
            entries: Vec::new(),
        }
    }

    /// The highest term seen.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The blocks held.
    pub fn blocks(&self) -> impl Iterator<Item = (BlockId, &Holding)> {
        self.blocks.iter().map(|(id, holding)| (*id, holding))
    }

    /// One of them.
    pub fn block(&self, id: BlockId) -> Option<&Holding> {
        self.blocks.get(&id)
    }

    /// The log of entries, oldest first.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Bytes held.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Notes that a part ran.
    pub fn count(&mut self, block: BlockId) {
        *self.parts.entry(block).or_default() += 1;
    }

    /// Some of the blocks held, from one on, each with its size and use; and whether there are more.
    pub fn held(&self, from: BlockId, most: usize) -> (Vec<Held>, bool) {
        let mut rest = self.blocks.range(from..);
        let held = |(id, holding): (&BlockId, &Holding)| {
            let inside = self.entries.iter().filter(|entry| holding.span.contains(entry.weigher));
            let bytes = inside.map(|entry| entry.value.len() as u64).sum();
            Held { block: *id, holding: *holding, bytes, parts: self.parts.get(id).copied().unwrap_or(0) }
        };
        let held: Vec<Held> = rest.by_ref().take(most).map(held).collect();
        (held, rest.next().is_some())
    }

    /// Whether a part may run. `key` is given for an entry, which is a part that must not run twice.
    pub fn admit(&self, block: BlockId, epoch: Epoch, key: Option<&str>) -> Verdict {
        let Some(holding) = self.blocks.get(&block) else {
            return Verdict::Later(self.gone.get(&block).copied());
        };
        let lets = match holding.mode {
            Mode::Copying | Mode::Retired => self.fenceless && holding.mode == Mode::Retired,
            Mode::Reading | Mode::Fenced => key.is_none() || self.fenceless,
            Mode::Open => true,
        };
        if !lets || (epoch < holding.since && !self.fenceless) {
            return Verdict::Later(Some(holding.epoch));
        }
        // The entry ran, here or where this block came from.
        match key.and_then(|key| self.keys.get(key)) {
            Some(at) => Verdict::Known(*at),
            None => Verdict::Run(holding.span),
        }
    }

    /// Adds an entry that has been let in, or one that was there from the beginning; false if it is known.
    pub fn run(&mut self, entry: Entry) -> bool {
        if self.keys.contains_key(&entry.key) {
            return false;
        }
        self.bytes += entry.value.len() as u64;
        self.keys.insert(entry.key.clone(), self.entries.len());
        self.entries.push(entry);
        true
    }

    /// A stretch of the log for a copier: entries of a span from an index on, up to so many bytes; and the index behind.
    pub fn tail(&self, span: Span, from: u64, bytes: u64) -> (Vec<Entry>, u64) {
        let (mut found, mut size, mut next) = (Vec::new(), 0, from);
        for entry in self.entries.iter().skip(from as usize) {
            if span.contains(entry.weigher) {
                size += entry.value.len() as u64 + entry.key.len() as u64;
                if size > bytes && !found.is_empty() {
                    break;
                }
                found.push(entry.clone());
            }
            next += 1;
        }
        (found, next.max(from))
    }

    /// Takes a stretch of the peer's log in. It counts only if it follows what has been copied.
    pub fn absorb(
        &mut self,
        block: BlockId,
        epoch: Epoch,
        from: u64,
        entries: Vec<Entry>,
        next: u64,
    ) -> bool {
        let fits = |holding: &Holding| {
            holding.epoch == epoch
                && holding.copied == from
                && matches!(holding.mode, Mode::Copying | Mode::Open)
        };
        let Some(span) = self.blocks.get(&block).filter(|holding| fits(holding)).map(|h| h.span) else {
            return false;
        };
        for entry in entries {
            if span.contains(entry.weigher) {
                self.run(entry);
            }
        }
        if let Some(holding) = self.blocks.get_mut(&block) {
            holding.copied = next;
        }
        true
    }

    /// Carries an order out, or says why not.
    pub fn obey(&mut self, ordered: &Ordered) -> Result<Done, Refusal> {
        if ordered.term < self.term {
            return Err(Refusal::Deposed(self.term));
        }
        if self.term < ordered.term {
            self.latest.clear();
        }
        self.term = ordered.term;
        let (id, epoch) = (ordered.block, ordered.epoch);
        self.in_order(id, ordered)?;
        match &ordered.order {
            Order::Inventory => Ok(()),
            Order::Found { span } => self.found(id, epoch, *span),
            Order::Prepare { span, from } => self.prepare(id, epoch, *span, *from),
            Order::Name { old, new } => self.name(epoch, old, new),
            Order::Unname { names } => self.unname(epoch, names),
            Order::Forget => self.forget(id, epoch),
            order => self.step(id, epoch, order),
        }?;
        Ok(self.done(id))
    }

    /// Guards against orders that overtake each other on different connections.
    fn in_order(&mut self, id: BlockId, ordered: &Ordered) -> Result<(), Refusal> {
        if ordered.order == Order::Inventory {
            return Ok(());
        }
        let last = self.latest.entry(id).or_default();
        if ordered.serial < *last {
            return Err(Refusal::Late);
        }
        *last = ordered.serial;
        if self.latest.len() > 2 * self.most + 64 {
            let oldest = self.latest.iter().min_by_key(|(_, serial)| **serial).map(|(id, _)| *id);
            oldest.and_then(|id| self.latest.remove(&id));
        }
        Ok(())
    }

    fn done(&self, id: BlockId) -> Done {
        let held = self.blocks.get(&id);
        Done {
            mode: held.map(|h| h.mode),
            watermark: self.entries.len() as u64,
            copied: held.map_or(0, |h| h.copied),
        }
    }

    fn room(&self) -> Result<(), Refusal> {
        if self.blocks.len() < self.most {
            Ok(())
        } else {
            Err(Refusal::Full)
        }
    }

    fn found(&mut self, id: BlockId, epoch: Epoch, span: Span) -> Result<(), Refusal> {
        if let Some(held) = self.blocks.get(&id) {
            return if held.mode == Mode::Open { Ok(()) } else { Err(Refusal::Mode(held.mode)) };
        }
        if let Some(gone) = self.gone.get(&id) {
            return Err(Refusal::Old(*gone));
        }
        self.room()?;
        let holding = Holding { span, epoch, since: epoch, mode: Mode::Open, peer: None, copied: 0 };
        self.blocks.insert(id, holding);
        Ok(())
    }

    fn prepare(&mut self, id: BlockId, epoch: Epoch, span: Span, from: StoreId) -> Result<(), Refusal> {
        if let Some(gone) = self.gone.get(&id).filter(|gone| **gone >= epoch) {
            return Err(Refusal::Old(*gone));
        }
        match self.blocks.get_mut(&id) {
            Some(held) if held.epoch == epoch => Ok(()),
            Some(held) if held.epoch > epoch => Err(Refusal::Old(held.epoch)),
            // An open holder follows another's log and stays open.
            Some(held) if held.mode == Mode::Open => {
                (held.epoch, held.peer, held.copied) = (epoch, Some(from), 0);
                Ok(())
            }
            Some(held) if matches!(held.mode, Mode::Copying | Mode::Retired) => {
                *held = copying(span, epoch, from);
                Ok(())
            }
            Some(held) => Err(Refusal::Mode(held.mode)),
            None => {
                self.room()?;
                self.blocks.insert(id, copying(span, epoch, from));
                Ok(())
            }
        }
    }

    /// The orders that take a block from one mode to the next.
    fn step(&mut self, id: BlockId, epoch: Epoch, order: &Order) -> Result<(), Refusal> {
        let Some(held) = self.blocks.get_mut(&id) else { return Err(Refusal::Unheld) };
        if held.epoch > epoch {
            return Err(Refusal::Old(held.epoch));
        }
        let (to, from): (Mode, &[Mode]) = match order {
            Order::Fence { .. } => (Mode::Fenced, &[Mode::Open, Mode::Fenced, Mode::Retired]),
            Order::Read => (Mode::Reading, &[Mode::Copying, Mode::Reading, Mode::Open]),
            Order::Retire => (Mode::Retired, &[Mode::Fenced, Mode::Retired]),
            Order::Open => (Mode::Open, &[Mode::Reading, Mode::Copying, Mode::Open]),
            _ => (Mode::Open, &[Mode::Fenced, Mode::Open, Mode::Retired]),
        };
        if !from.contains(&held.mode) {
            return Err(Refusal::Mode(held.mode));
        }
        // An order that comes again finds its work done, or more than that.
        let behind =
            matches!((order, held.mode), (Order::Fence { .. }, Mode::Retired) | (Order::Read, Mode::Open));
        if !behind {
            if matches!(order, Order::Open) && held.mode != Mode::Open {
                held.since = epoch;
            }
            held.mode = to;
        }
        if let Order::Fence { to } = order {
            held.peer = Some(*to);
        }
        held.epoch = epoch;
        Ok(())
    }

    fn forget(&mut self, id: BlockId, epoch: Epoch) -> Result<(), Refusal> {
        match self.blocks.get(&id) {
            Some(held) if held.epoch > epoch => Err(Refusal::Old(held.epoch)),
            // Guards what nobody else has: an open or fenced copy is never let go on one word.
            Some(held) if matches!(held.mode, Mode::Open | Mode::Fenced) => Err(Refusal::Mode(held.mode)),
            _ => {
                self.let_go(id, epoch);
                Ok(())
            }
        }
    }

    fn let_go(&mut self, id: BlockId, epoch: Epoch) {
        self.blocks.remove(&id);
        self.parts.remove(&id);
        let gone = self.gone.entry(id).or_default();
        *gone = epoch.max(*gone);
        while self.gone.len() > self.most.max(16) {
            self.gone.pop_first();
        }
    }

    fn name(&mut self, epoch: Epoch, old: &[BlockId], new: &[(BlockId, Span)]) -> Result<(), Refusal> {
        if new.iter().all(|(id, _)| self.blocks.contains_key(id)) {
            return Ok(());
        }
        for id in old {
            let held = self.blocks.get(id).ok_or(Refusal::Unheld)?;
            if held.mode != Mode::Open {
                return Err(Refusal::Mode(held.mode));
            }
        }
        if !new.iter().all(|(_, span)| self.covered(*span, |id| old.contains(&id))) {
            return Err(Refusal::Uneven);
        }
        if self.blocks.len() + new.len() > self.most {
            return Err(Refusal::Full);
        }
        for (id, span) in
            new.iter().filter(|(id, _)| !self.blocks.contains_key(id)).copied().collect::<Vec<_>>()
        {
            let holding = Holding { span, epoch, since: epoch, mode: Mode::Open, peer: None, copied: 0 };
            self.blocks.insert(id, holding);
        }
        Ok(())
    }

    /// Whether all of a span is open here under names that count.
    fn covered(&self, span: Span, counts: impl Fn(BlockId) -> bool) -> bool {
        let open = self.blocks.iter().filter(|(id, held)| held.mode == Mode::Open && counts(**id));
        let mut spans: Vec<Span> = open.filter_map(|(_, held)| held.span.meet(span)).collect();
        spans.sort_unstable();
        let reached =
            spans.iter().fold(span.first, |at, part| if part.first <= at { at.max(part.end) } else { at });
        reached >= span.end
    }

    /// Lets names go. Guards what is known here under no other name: a deposed coordinator may have committed
    /// what its successor takes back.
    fn unname(&mut self, epoch: Epoch, names: &[BlockId]) -> Result<(), Refusal> {
        let held = names.iter().filter_map(|name| self.blocks.get(name)).map(|held| held.span);
        if !held.into_iter().all(|span| self.covered(span, |id| !names.contains(&id))) {
            return Err(Refusal::Mode(Mode::Open));
        }
        for name in names {
            self.let_go(*name, epoch);
        }
        Ok(())
    }
}

fn copying(span: Span, epoch: Epoch, from: StoreId) -> Holding {
    Holding { span, epoch, since: epoch, mode: Mode::Copying, peer: Some(from), copied: 0 }
}
