//! The coordinator: the broker that carries out changes, in a term of its own. It owns the map, the changes in
//! progress, and the assignment of identifiers to blocks, changes and epochs. It sends no order to a store
//! before it has the store's inventory, except to create the initial map. Whatever it acts on is written to its
//! log first, and it completes or reverts the changes of a deposed coordinator. It uses no socket and no disk;
//! [`Work`] lists in order what to write, send and copy.

mod advance;
mod interface;
mod recover;
mod requests;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use recover::replay;

use crate::change::{Change, Input, Millis};
use crate::holding::{Holding, Mode, Order, Refusal, StampedOrder};
use crate::log::LogRecord;
use crate::map::{Batch, Block, BlockMap, Record, Replica, ReplicaState};
use crate::types::{BlockId, ChangeId, Epoch, Extent, Span, StoreId, Term};

pub use interface::{Bounds, ChangeRequest, CopyJob, EndedChange, Event, OrderPurpose, RequestError, Work};
pub use recover::RecoverError;

/// The coordinator; see the module documentation.
#[derive(Debug)]
pub struct Coordinator {
    pub(crate) bounds: Bounds,
    pub(crate) term: Term,
    pub(crate) map: BlockMap,
    pub(crate) names: HashMap<String, StoreId>,
    pub(crate) stores: BTreeMap<StoreId, String>,
    /// Stores whose inventory has been received in this term. `inventory_requested_at` has the stores whose
    /// inventory has been requested.
    pub(crate) inventoried: HashSet<StoreId>,
    inventory_requested_at: HashMap<StoreId, Millis>,
    repair_attempts: HashMap<StoreId, u32>,
    pub(crate) changes: BTreeMap<ChangeId, Change>,
    pub(crate) locked_blocks: HashMap<BlockId, ChangeId>,
    ended: VecDeque<EndedChange>,
    paused: bool,
    last_assigned: (u32, u64, u32),
    serial: u64,
    higher_term: Option<Term>,
}

/// Delay in milliseconds before the inventory of a store is requested again.
const INVENTORY_RETRY_MS: Millis = 500;
/// Maximum number of consecutive repair attempts at a store before other changes with it may begin.
const MAX_REPAIR_ATTEMPTS: u32 = 4;

impl Coordinator {
    /// Begins a term on the records of an earlier term's log. The returned record holds the initial state of
    /// this term and must be written to the new log before anything else.
    pub fn begin(
        now: Millis,
        term: Term,
        records: Vec<LogRecord>,
        bounds: Bounds,
    ) -> Result<(Self, LogRecord), RecoverError> {
        let mut state = replay(records, &bounds)?;
        state.term = term;
        state.last_assigned.2 = 0;
        let map = BlockMap::restore(&state.map, bounds.blocks, bounds.retired)?;
        let mut this = Self {
            bounds,
            term,
            map,
            names: state.stores.iter().map(|(id, name)| (name.clone(), *id)).collect(),
            stores: state.stores.iter().cloned().collect(),
            inventoried: HashSet::new(),
            inventory_requested_at: HashMap::new(),
            repair_attempts: HashMap::new(),
            changes: BTreeMap::new(),
            locked_blocks: HashMap::new(),
            ended: VecDeque::new(),
            paused: state.paused,
            last_assigned: state.last_assigned,
            serial: 0,
            higher_term: None,
        };
        for change in &state.changes {
            this.locked_blocks.extend(change.blocks().into_iter().map(|block| (block, change.id)));
            let mut change = change.clone();
            change.resume(now);
            this.changes.insert(change.id, change);
        }
        Ok((this, LogRecord::Start(Box::new(state))))
    }

    /// Returns the block map.
    pub fn map(&self) -> &BlockMap {
        &self.map
    }

    /// Returns the term of the coordinator.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Iterates over the changes in progress.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.values()
    }

    /// Iterates over the ended changes, latest last.
    pub fn ended_changes(&self) -> impl Iterator<Item = &EndedChange> {
        self.ended.iter()
    }

    /// Returns the name of a store.
    pub fn name(&self, store: StoreId) -> Option<&str> {
        self.stores.get(&store).map(String::as_str)
    }

    /// Returns the store with this name.
    pub fn store(&self, name: &str) -> Option<StoreId> {
        self.names.get(name).copied()
    }

    /// Iterates over all stores by number.
    pub fn stores(&self) -> impl Iterator<Item = (StoreId, String)> + '_ {
        self.stores.iter().map(|(id, name)| (*id, name.clone()))
    }

    /// Whether the inventory of a store has been received in this term.
    pub fn has_inventory(&self, store: StoreId) -> bool {
        self.inventoried.contains(&store)
    }

    /// Whether a change has made no progress for longer than its step timeout.
    pub fn is_stuck(&self, change: &Change, now: Millis) -> bool {
        change.is_stuck(now, &self.bounds.timeouts)
    }

    /// Creates an inventory request that belongs to no change.
    pub fn inventory(&mut self) -> StampedOrder {
        self.stamp_order(BlockId::default(), Epoch::default(), Order::Inventory)
    }

    /// Whether an operator has paused changes.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Returns the number of a store and registers the store if it is new. Returns `None` if the limit on
    /// stores has been reached.
    pub fn register_store(&mut self, name: &str, work: &mut Vec<Work>) -> Option<StoreId> {
        if let Some(id) = self.names.get(name) {
            return Some(*id);
        }
        if self.stores.len() >= self.bounds.stores {
            return None;
        }
        let id = StoreId(self.stores.keys().next_back().map_or(0, |last| last.0 + 1));
        self.names.insert(name.to_owned(), id);
        self.stores.insert(id, name.to_owned());
        work.push(Work::Append(LogRecord::Store(id, name.to_owned())));
        Some(id)
    }

    /// Discards the inventory of a store after the store has restarted or was away for long.
    pub fn discard_inventory(&mut self, store: StoreId) {
        self.inventoried.remove(&store);
        self.inventory_requested_at.remove(&store);
    }

    pub(crate) fn next_epoch(&mut self) -> Epoch {
        self.last_assigned.2 += 1;
        Epoch::from_parts(self.term, self.last_assigned.2)
    }

    pub(crate) fn next_block_id(&mut self) -> BlockId {
        self.last_assigned.0 += 1;
        BlockId(self.last_assigned.0)
    }

    fn assignment_record(&self) -> LogRecord {
        let (blocks, changes, epochs) = self.last_assigned;
        LogRecord::Assigned { blocks, changes, epochs }
    }

    /// Creates the initial map from blocks with their identifiers, spans and holders. The stores either hold
    /// these blocks already or are ordered to.
    pub fn create_map(
        &mut self,
        blocks: Vec<(BlockId, Span, Vec<StoreId>, Option<Extent>)>,
    ) -> Result<Vec<Work>, RequestError> {
        let epoch = self.next_epoch();
        let serving = |store| Replica { store, state: ReplicaState::Serving };
        let mut records = Vec::new();
        for (id, span, stores, extent) in blocks {
            self.last_assigned.0 = self.last_assigned.0.max(id.0);
            let replicas = stores.into_iter().map(serving).collect();
            records.push(Record::Active(Block { id, span, epoch, replicas, extent }));
        }
        let batch = Batch { version: self.map.version() + 1, records };
        self.map.check(&batch.records, false)?;
        if let Some(why) = self.validate_records(&batch.records, &|_, _| false) {
            return Err(RequestError::Invalid(why));
        }
        self.map.apply(&batch)?;
        let mut work =
            vec![Work::Append(self.assignment_record()), Work::Append(LogRecord::Batch(batch.clone()))];
        for record in &batch.records {
            let Record::Active(block) = record else { continue };
            for store in block.holders() {
                let order = Order::Create { span: block.span };
                let stamped = self.stamp_order(block.id, epoch, order);
                work.push(Work::Send(store, OrderPurpose::Repair(block.id), stamped));
            }
        }
        work.push(Work::Publish(self.map.version()));
        Ok(work)
    }

    pub(crate) fn stamp_order(&mut self, block: BlockId, epoch: Epoch, order: Order) -> StampedOrder {
        self.serial += 1;
        StampedOrder { term: self.term, serial: self.serial, block, epoch, order }
    }

    /// Processes an event and returns the work to carry out, in order.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Work> {
        let mut work = Vec::new();
        if self.higher_term.is_some() {
            return work;
        }
        match event {
            Event::Reply(_, _, Err(Refusal::Deposed(term))) => {
                self.higher_term = Some(term);
                work.push(Work::HigherTerm(term));
            }
            Event::Reply(store, OrderPurpose::Change(id, round), reply) => {
                self.advance_round(now, (id, round), Input::Reply(store, reply), &mut work);
            }
            // The inventory is requested again until it matches the map.
            Event::Reply(store, OrderPurpose::Repair(_), _) => self.discard_inventory(store),
            Event::Reply(..) => {}
            Event::NoReply(store, OrderPurpose::Change(id, round)) => {
                self.advance_round(now, (id, round), Input::NoReply(store), &mut work);
            }
            Event::NoReply(store, OrderPurpose::Repair(_)) => self.discard_inventory(store),
            Event::NoReply(..) => {}
            Event::Inventory(store, holdings) => self.handle_inventory(now, store, &holdings, &mut work),
            Event::Copied { change, round, progress } => {
                if let Some((from, _)) = self.changes.get(&change).and_then(Change::copy_endpoints) {
                    let input = match progress {
                        Some((copied, length)) => Input::Copied { copied, length },
                        None => Input::NoReply(from),
                    };
                    self.advance_round(now, (change, round), input, &mut work);
                }
            }
            Event::Tick => {
                self.request_inventories(now, &mut work);
                let due: Vec<ChangeId> = self
                    .changes
                    .values()
                    .filter(|change| change.due().is_some_and(|at| at <= now))
                    .map(|change| change.id)
                    .collect();
                for id in due {
                    self.advance(now, id, Input::Tick, &mut work);
                }
            }
        }
        work
    }

    /// Processes the inventory of a store: corrects differences from the map and resumes the changes that
    /// waited for it.
    fn handle_inventory(
        &mut self,
        now: Millis,
        store: StoreId,
        holdings: &[(BlockId, Holding)],
        work: &mut Vec<Work>,
    ) {
        self.inventory_requested_at.remove(&store);
        if !self.stores.contains_key(&store) || !self.inventoried.insert(store) {
            return;
        }
        self.reconcile(now, store, holdings, work);
        // While a repair is in progress at a store, no other change with it begins. If the store rejects
        // repairs repeatedly, the other changes continue and the difference remains for an operator to
        // inspect.
        if work.iter().any(|item| matches!(item, Work::Send(_, OrderPurpose::Repair(_), _))) {
            let attempts = self.repair_attempts.entry(store).or_default();
            *attempts += 1;
            if *attempts <= MAX_REPAIR_ATTEMPTS {
                self.inventoried.remove(&store);
                return;
            }
        }
        self.repair_attempts.remove(&store);
        let waits = |change: &&Change| change.stores().contains(&store);
        let waiting: Vec<ChangeId> = self.changes.values().filter(waits).map(|change| change.id).collect();
        for id in waiting {
            let Some(change) = self.changes.get(&id) else { continue };
            if let Some(observed) = outcome_elsewhere(change, store, holdings) {
                self.advance(now, id, observed, work);
            }
            self.advance(now, id, Input::Resume, work);
        }
    }

    fn request_inventories(&mut self, now: Millis, work: &mut Vec<Work>) {
        for store in self.stores.keys().copied().collect::<Vec<_>>() {
            let is_due =
                self.inventory_requested_at.get(&store).is_none_or(|at| now >= at + INVENTORY_RETRY_MS);
            if !self.inventoried.contains(&store) && is_due {
                self.inventory_requested_at.insert(store, now);
                let order = self.inventory();
                work.push(Work::Send(store, OrderPurpose::Inventory, order));
            }
        }
    }

    /// Returns the time at which [`Event::Tick`] is due if no other event arrives before.
    pub fn due(&self) -> Option<Millis> {
        let pending = self.stores.keys().filter(|s| !self.inventoried.contains(s));
        let pending =
            pending.map(|s| self.inventory_requested_at.get(s).map_or(0, |at| at + INVENTORY_RETRY_MS));
        pending.chain(self.changes.values().filter_map(Change::due)).min()
    }
}

/// Derives from the source's inventory whether a deposed coordinator had committed the change or rolled it
/// back.
fn outcome_elsewhere(change: &Change, store: StoreId, holdings: &[(BlockId, Holding)]) -> Option<Input> {
    change.copy_endpoints().filter(|(from, _)| *from == store)?;
    let (_, held) = holdings.iter().find(|(block, _)| *block == change.block)?;
    if held.epoch > change.epoch {
        return Some(Input::AlreadyRolledBack(held.epoch));
    }
    (held.epoch == change.epoch && held.mode == Mode::Retired).then_some(Input::AlreadyCommitted)
}
