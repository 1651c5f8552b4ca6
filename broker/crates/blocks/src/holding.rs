//! State machine of a store for the blocks that it holds, including the fence. It owns the mode and epoch of
//! each block, the log of executed entries, and the highest term seen. A repeated order changes nothing more,
//! an order of an earlier term changes nothing, and an entry whose key is in the log is not executed again. The
//! caller must make each change durable before it replies; this module does no I/O.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::types::{BlockId, Epoch, Span, StoreId, Term};

/// Mode of a block at a store, which determines the requests that the store accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Mode {
    /// No requests: the store is copying the block.
    Copying,
    /// Reads only: the store has copied everything that the source had when it was fenced.
    Reading,
    /// Reads and entries.
    Open,
    /// Reads only: another store is going to take the block over.
    Fenced,
    /// No requests: another store has taken the block over.
    Retired,
}

/// State of a block at a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// Weigher numbers in the block.
    pub span: Span,
    /// Epoch of the last change of the block at this store.
    pub epoch: Epoch,
    /// Epoch since which the store has held the block. Parts placed under an earlier epoch were meant for an
    /// earlier period in which it held the block, and are rejected.
    pub held_since: Epoch,
    /// Mode of the block.
    pub mode: Mode,
    /// Store from which this store copies, or which takes over from it.
    pub peer: Option<StoreId>,
    /// Index in the peer's log up to which entries have been copied.
    pub copied: u64,
}

/// State of a block at a store with its size and use, as reported to the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldBlock {
    /// Identifier of the block.
    pub block: BlockId,
    /// State of the block at the store.
    pub holding: Holding,
    /// Size of the block, in bytes.
    pub bytes: u64,
    /// Number of parts executed since the store started.
    pub parts: u64,
}

/// An executed entry, or a reading that the store had from the beginning.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Key that identifies the entry: two entries with the same key are the same entry.
    pub key: String,
    /// Number of the weigher that the entry belongs to.
    pub weigher: u64,
    /// Payload of the entry.
    pub value: Vec<u8>,
}

/// Order from a coordinator to a store. Every order is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Record the coordinator's term and report the blocks held.
    Inventory,
    /// Hold a block from the beginning without copying it; used for the initial map.
    Create {
        /// Weigher numbers in the block.
        span: Span,
    },
    /// Prepare to copy a block. A store on which the block is open keeps it open and follows the source's log.
    Prepare {
        /// Weigher numbers in the block.
        span: Span,
        /// Store whose log will be copied.
        from: StoreId,
    },
    /// Accept no more entries, and report the length of the log.
    Fence {
        /// Store that takes over.
        to: StoreId,
    },
    /// Accept reads: everything up to the source's watermark has been copied.
    AllowReads,
    /// Accept no requests: the map has changed.
    Retire,
    /// Accept reads and entries.
    Open,
    /// Delete a copy that is retired or was never opened.
    Forget,
    /// Accept entries again, under this new epoch.
    Unfence,
    /// Hold the block under these new identifiers too, which together cover the old ones.
    AddNames {
        /// Old block identifiers.
        old: Vec<BlockId>,
        /// New block identifiers with their weigher numbers.
        new: Vec<(BlockId, Span)>,
    },
    /// Stop holding blocks under these identifiers, whose weighers are covered by others.
    RemoveNames {
        /// Block identifiers to remove.
        names: Vec<BlockId>,
    },
}

/// An order with its term, sequence number, block and epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StampedOrder {
    /// Term of the coordinator that issued the order.
    pub term: Term,
    /// Sequence number within the term. An order with a lower number than a later order for the same block is
    /// rejected.
    pub serial: u64,
    /// Block that the order is about.
    pub block: BlockId,
    /// Epoch of the change that the order belongs to.
    pub epoch: Epoch,
    /// Operation to carry out.
    pub order: Order,
}

/// Reply of a store to an order that it has carried out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderOutcome {
    /// Current mode of the block; `None` if the store does not hold it.
    pub mode: Option<Mode>,
    /// Length of the store's log, up to which the other store has to copy.
    pub watermark: u64,
    /// Index in the peer's log up to which entries have been copied.
    pub copied: u64,
}

/// Reason why an order was rejected. The state of the store is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// A coordinator with a higher term has taken over.
    #[error("a coordinator of term {} has taken over", .0 .0)]
    Deposed(Term),
    /// The operation is not possible in the block's current mode.
    #[error("the block is {0:?} here")]
    Mode(Mode),
    /// The store does not hold the block.
    #[error("the block is not held here")]
    Unheld,
    /// A later change of the block has already been carried out.
    #[error("{0} has come since")]
    Old(Epoch),
    /// A later order for the block arrived before this one.
    #[error("a later order has come before")]
    Late,
    /// The store has reached its limit on blocks.
    #[error("no room for one more block")]
    Full,
    /// The new block identifiers do not cover the same weighers as the old ones.
    #[error("the new names cover other weigher numbers than the old ones")]
    Uneven,
}

/// Durable state of a store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    /// Highest term seen.
    pub term: Term,
    /// Blocks held.
    pub blocks: Vec<(BlockId, Holding)>,
    /// Deleted blocks with the epoch of the deletion.
    pub deleted: Vec<(BlockId, Epoch)>,
    /// Sequence number of the last order of this term for each block.
    pub last_serials: Vec<(BlockId, u64)>,
    /// Log of entries.
    pub entries: Vec<Entry>,
}

/// Decision on whether a part may be executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The part may be executed, over these weigher numbers.
    Execute(Span),
    /// The part is an entry that was executed before, at this index in the log. Its answer is the same as
    /// before.
    Duplicate(usize),
    /// The part must not be executed and was never executed; the client is told `later`. Contains the newest
    /// epoch of the block at this store.
    Reject(Option<Epoch>),
}

/// State of all blocks at a store; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    term: Term,
    max_blocks: usize,
    blocks: BTreeMap<BlockId, Holding>,
    /// Deleted blocks with the epoch of the deletion, so that a late order cannot restore them.
    deleted: BTreeMap<BlockId, Epoch>,
    /// Sequence number of the last order for each block in this term.
    last_serials: HashMap<BlockId, u64>,
    /// Number of executed parts by block.
    part_counts: HashMap<BlockId, u64>,
    entries: Vec<Entry>,
    entry_index: HashMap<String, usize>,
    bytes: u64,
    is_fence_disabled: bool,
}

impl Holdings {
    /// Creates an empty state for a store that may hold up to `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self { max_blocks, ..Self::default() }
    }

    /// Creates a store without a working fence, which accepts entries in every mode except `Copying`. For tests
    /// that must detect this fault.
    pub fn without_fence(max_blocks: usize) -> Self {
        Self { is_fence_disabled: true, ..Self::new(max_blocks) }
    }

    /// Restores a store from its durable state: term, blocks, deleted blocks and log.
    pub fn restore(max_blocks: usize, state: DurableState) -> Self {
        let mut holdings = Self::new(max_blocks);
        (holdings.term, holdings.last_serials) = (state.term, state.last_serials.into_iter().collect());
        holdings.blocks = state.blocks.into_iter().collect();
        holdings.deleted = state.deleted.into_iter().collect();
        for entry in state.entries {
            holdings.append(entry);
        }
        holdings
    }

    /// Returns the state that must be durable, without the log of entries.
    pub fn durable_state(&self) -> DurableState {
        let mut last_serials: Vec<(BlockId, u64)> =
            self.last_serials.iter().map(|(id, n)| (*id, *n)).collect();
        last_serials.sort_unstable();
        DurableState {
            term: self.term,
            blocks: self.blocks.iter().map(|(id, held)| (*id, *held)).collect(),
            deleted: self.deleted.iter().map(|(id, epoch)| (*id, *epoch)).collect(),
            last_serials,
            entries: Vec::new(),
        }
    }

    /// Returns the highest term seen.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Iterates over the blocks held.
    pub fn blocks(&self) -> impl Iterator<Item = (BlockId, &Holding)> {
        self.blocks.iter().map(|(id, holding)| (*id, holding))
    }

    /// Returns the state of a block.
    pub fn block(&self, id: BlockId) -> Option<&Holding> {
        self.blocks.get(&id)
    }

    /// Returns the log of entries, oldest first.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the total size of the entries, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Counts an executed part of a block.
    pub fn count_part(&mut self, block: BlockId) {
        *self.part_counts.entry(block).or_default() += 1;
    }

    /// Reports up to `limit` blocks, starting at `from`, with their size and use. The second value is true if
    /// more blocks follow.
    pub fn inventory(&self, from: BlockId, limit: usize) -> (Vec<HeldBlock>, bool) {
        let mut rest = self.blocks.range(from..);
        let held = |(id, holding): (&BlockId, &Holding)| {
            let inside = self.entries.iter().filter(|entry| holding.span.contains(entry.weigher));
            let bytes = inside.map(|entry| entry.value.len() as u64).sum();
            HeldBlock {
                block: *id,
                holding: *holding,
                bytes,
                parts: self.part_counts.get(id).copied().unwrap_or(0),
            }
        };
        let held: Vec<HeldBlock> = rest.by_ref().take(limit).map(held).collect();
        (held, rest.next().is_some())
    }

    /// Decides whether a part may be executed. `key` is set for an entry, which must not be executed twice.
    pub fn admission(&self, block: BlockId, epoch: Epoch, key: Option<&str>) -> Admission {
        let Some(holding) = self.blocks.get(&block) else {
            return Admission::Reject(self.deleted.get(&block).copied());
        };
        let is_allowed = match holding.mode {
            Mode::Copying | Mode::Retired => self.is_fence_disabled && holding.mode == Mode::Retired,
            Mode::Reading | Mode::Fenced => key.is_none() || self.is_fence_disabled,
            Mode::Open => true,
        };
        if !is_allowed || (epoch < holding.held_since && !self.is_fence_disabled) {
            return Admission::Reject(Some(holding.epoch));
        }
        // The entry has been executed, here or at the store from which the block was copied.
        match key.and_then(|key| self.entry_index.get(key)) {
            Some(at) => Admission::Duplicate(*at),
            None => Admission::Execute(holding.span),
        }
    }

    /// Appends an accepted entry, or one that the store had from the beginning. Returns false if the log
    /// already contains it.
    pub fn append(&mut self, entry: Entry) -> bool {
        if self.entry_index.contains_key(&entry.key) {
            return false;
        }
        self.bytes += entry.value.len() as u64;
        self.entry_index.insert(entry.key.clone(), self.entries.len());
        self.entries.push(entry);
        true
    }

    /// Reads a section of the log for a store that copies: the entries of a span, from an index on, up to a
    /// size limit in bytes (at least one entry). Also returns the index after the section.
    pub fn read_section(&self, span: Span, from: u64, bytes: u64) -> (Vec<Entry>, u64) {
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

    /// Applies a section of the peer's log. It is ignored unless it begins where the last copied section ended.
    pub fn apply_section(
        &mut self,
        block: BlockId,
        epoch: Epoch,
        from: u64,
        entries: Vec<Entry>,
        next: u64,
    ) -> bool {
        let follows_copy = |holding: &Holding| {
            holding.epoch == epoch
                && holding.copied == from
                && matches!(holding.mode, Mode::Copying | Mode::Open)
        };
        let Some(span) =
            self.blocks.get(&block).filter(|holding| follows_copy(holding)).map(|held| held.span)
        else {
            return false;
        };
        for entry in entries {
            if span.contains(entry.weigher) {
                self.append(entry);
            }
        }
        if let Some(holding) = self.blocks.get_mut(&block) {
            holding.copied = next;
        }
        true
    }

    /// Carries out an order, or returns the reason why it was rejected.
    pub fn carry_out(&mut self, stamped: &StampedOrder) -> Result<OrderOutcome, Refusal> {
        if stamped.term < self.term {
            return Err(Refusal::Deposed(self.term));
        }
        if self.term < stamped.term {
            self.last_serials.clear();
        }
        self.term = stamped.term;
        let (id, epoch) = (stamped.block, stamped.epoch);
        self.check_serial(id, stamped)?;
        match &stamped.order {
            Order::Inventory => Ok(()),
            Order::Create { span } => self.create(id, epoch, *span),
            Order::Prepare { span, from } => self.prepare(id, epoch, *span, *from),
            Order::AddNames { old, new } => self.add_names(epoch, old, new),
            Order::RemoveNames { names } => self.remove_names(epoch, names),
            Order::Forget => self.forget(id, epoch),
            order => self.change_mode(id, epoch, order),
        }?;
        Ok(self.outcome(id))
    }

    /// Rejects orders that were overtaken by later ones on another connection.
    fn check_serial(&mut self, id: BlockId, stamped: &StampedOrder) -> Result<(), Refusal> {
        if stamped.order == Order::Inventory {
            return Ok(());
        }
        let last = self.last_serials.entry(id).or_default();
        if stamped.serial < *last {
            return Err(Refusal::Late);
        }
        *last = stamped.serial;
        if self.last_serials.len() > 2 * self.max_blocks + 64 {
            let oldest = self.last_serials.iter().min_by_key(|(_, serial)| **serial).map(|(id, _)| *id);
            oldest.and_then(|id| self.last_serials.remove(&id));
        }
        Ok(())
    }

    fn outcome(&self, id: BlockId) -> OrderOutcome {
        let held = self.blocks.get(&id);
        OrderOutcome {
            mode: held.map(|held| held.mode),
            watermark: self.entries.len() as u64,
            copied: held.map_or(0, |held| held.copied),
        }
    }

    fn check_capacity(&self) -> Result<(), Refusal> {
        if self.blocks.len() < self.max_blocks {
            Ok(())
        } else {
            Err(Refusal::Full)
        }
    }

    fn create(&mut self, id: BlockId, epoch: Epoch, span: Span) -> Result<(), Refusal> {
        if let Some(held) = self.blocks.get(&id) {
            return if held.mode == Mode::Open { Ok(()) } else { Err(Refusal::Mode(held.mode)) };
        }
        if let Some(deleted) = self.deleted.get(&id) {
            return Err(Refusal::Old(*deleted));
        }
        self.check_capacity()?;
        let holding = Holding { span, epoch, held_since: epoch, mode: Mode::Open, peer: None, copied: 0 };
        self.blocks.insert(id, holding);
        Ok(())
    }

    fn prepare(&mut self, id: BlockId, epoch: Epoch, span: Span, from: StoreId) -> Result<(), Refusal> {
        if let Some(deleted) = self.deleted.get(&id).filter(|deleted| **deleted >= epoch) {
            return Err(Refusal::Old(*deleted));
        }
        match self.blocks.get_mut(&id) {
            Some(held) if held.epoch == epoch => Ok(()),
            Some(held) if held.epoch > epoch => Err(Refusal::Old(held.epoch)),
            // A store on which the block is open follows another store's log and keeps the block open.
            Some(held) if held.mode == Mode::Open => {
                (held.epoch, held.peer, held.copied) = (epoch, Some(from), 0);
                Ok(())
            }
            Some(held) if matches!(held.mode, Mode::Copying | Mode::Retired) => {
                *held = copying_state(span, epoch, from);
                Ok(())
            }
            Some(held) => Err(Refusal::Mode(held.mode)),
            None => {
                self.check_capacity()?;
                self.blocks.insert(id, copying_state(span, epoch, from));
                Ok(())
            }
        }
    }

    /// Carries out the orders that change the mode of a block.
    fn change_mode(&mut self, id: BlockId, epoch: Epoch, order: &Order) -> Result<(), Refusal> {
        let Some(held) = self.blocks.get_mut(&id) else { return Err(Refusal::Unheld) };
        if held.epoch > epoch {
            return Err(Refusal::Old(held.epoch));
        }
        let (to, from): (Mode, &[Mode]) = match order {
            Order::Fence { .. } => (Mode::Fenced, &[Mode::Open, Mode::Fenced, Mode::Retired]),
            Order::AllowReads => (Mode::Reading, &[Mode::Copying, Mode::Reading, Mode::Open]),
            Order::Retire => (Mode::Retired, &[Mode::Fenced, Mode::Retired]),
            Order::Open => (Mode::Open, &[Mode::Reading, Mode::Copying, Mode::Open]),
            _ => (Mode::Open, &[Mode::Fenced, Mode::Open, Mode::Retired]),
        };
        if !from.contains(&held.mode) {
            return Err(Refusal::Mode(held.mode));
        }
        // A repeated order may find that its effect, or that of a later order, is already in place.
        let already_done = matches!(
            (order, held.mode),
            (Order::Fence { .. }, Mode::Retired) | (Order::AllowReads, Mode::Open)
        );
        if !already_done {
            if matches!(order, Order::Open) && held.mode != Mode::Open {
                held.held_since = epoch;
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
            // An open or fenced copy may be the only one, so a single order never deletes it.
            Some(held) if matches!(held.mode, Mode::Open | Mode::Fenced) => Err(Refusal::Mode(held.mode)),
            _ => {
                self.delete(id, epoch);
                Ok(())
            }
        }
    }

    fn delete(&mut self, id: BlockId, epoch: Epoch) {
        self.blocks.remove(&id);
        self.part_counts.remove(&id);
        let deleted = self.deleted.entry(id).or_default();
        *deleted = epoch.max(*deleted);
        while self.deleted.len() > self.max_blocks.max(16) {
            self.deleted.pop_first();
        }
    }

    fn add_names(&mut self, epoch: Epoch, old: &[BlockId], new: &[(BlockId, Span)]) -> Result<(), Refusal> {
        if new.iter().all(|(id, _)| self.blocks.contains_key(id)) {
            return Ok(());
        }
        for id in old {
            let held = self.blocks.get(id).ok_or(Refusal::Unheld)?;
            if held.mode != Mode::Open {
                return Err(Refusal::Mode(held.mode));
            }
        }
        if !new.iter().all(|(_, span)| self.is_covered(*span, |id| old.contains(&id))) {
            return Err(Refusal::Uneven);
        }
        if self.blocks.len() + new.len() > self.max_blocks {
            return Err(Refusal::Full);
        }
        for (id, span) in
            new.iter().filter(|(id, _)| !self.blocks.contains_key(id)).copied().collect::<Vec<_>>()
        {
            let holding = Holding { span, epoch, held_since: epoch, mode: Mode::Open, peer: None, copied: 0 };
            self.blocks.insert(id, holding);
        }
        Ok(())
    }

    /// Whether open blocks whose identifiers satisfy `counts` cover the complete span.
    fn is_covered(&self, span: Span, counts: impl Fn(BlockId) -> bool) -> bool {
        let open = self.blocks.iter().filter(|(id, held)| held.mode == Mode::Open && counts(**id));
        let mut spans: Vec<Span> = open.filter_map(|(_, held)| held.span.intersection(span)).collect();
        spans.sort_unstable();
        let reached =
            spans.iter().fold(span.first, |at, part| if part.first <= at { at.max(part.end) } else { at });
        reached >= span.end
    }

    /// Removes block identifiers, unless their weighers are covered by no other identifier here: a deposed
    /// coordinator may have committed a split or merge that its successor reverts.
    fn remove_names(&mut self, epoch: Epoch, names: &[BlockId]) -> Result<(), Refusal> {
        let held = names.iter().filter_map(|name| self.blocks.get(name)).map(|held| held.span);
        if !held.into_iter().all(|span| self.is_covered(span, |id| !names.contains(&id))) {
            return Err(Refusal::Mode(Mode::Open));
        }
        for name in names {
            self.delete(*name, epoch);
        }
        Ok(())
    }
}

fn copying_state(span: Span, epoch: Epoch, from: StoreId) -> Holding {
    Holding { span, epoch, held_since: epoch, mode: Mode::Copying, peer: Some(from), copied: 0 }
}
