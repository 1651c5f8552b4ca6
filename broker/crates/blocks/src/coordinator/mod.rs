//! The coordinator: one broker that carries changes out in a term of its own. It owns the map, the changes under
//! way and the numbers given to blocks, changes and epochs. It promises that it gives a store no order before it knows
//! what the store holds, that whatever it acts on is in its log first, and that what a deposed coordinator left behind
//! is put right. It knows no socket and no disk; [`Work`] says what to write, send and copy, in order.

mod interface;
mod advance;
mod recover;
mod requests;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use recover::fold;

use crate::change::{Change, Input, Millis};
use crate::holding::{Holding, Mode, Order, Ordered, Refusal};
use crate::log::LogRecord;
use crate::map::{Batch, Block, BlockMap, Record, Replica, ReplicaState};
use crate::types::{BlockId, ChangeId, Epoch, Extent, Span, StoreId, Term};

pub use interface::{Bounds, CopyJob, Heard, Past, Tag, Unmet, Wish, Work};
pub use recover::RecoverError;

/// The coordinator. See the module's description.
#[derive(Debug)]
pub struct Coordinator {
    pub(crate) bounds: Bounds,
    pub(crate) term: Term,
    pub(crate) map: BlockMap,
    pub(crate) names: HashMap<String, StoreId>,
    pub(crate) stores: BTreeMap<StoreId, String>,
    /// Stores that have said in this term what they hold, and those that have been asked.
    pub(crate) heard: HashSet<StoreId>,
    asked: HashMap<StoreId, Millis>,
    repairs: HashMap<StoreId, u32>,
    pub(crate) changes: BTreeMap<ChangeId, Change>,
    pub(crate) locks: HashMap<BlockId, ChangeId>,
    past: VecDeque<Past>,
    paused: bool,
    given: (u32, u64, u32),
    serial: u64,
    deposed: Option<Term>,
}

/// A store that did not say what it holds is asked again after so long.
const ASK_AGAIN_MS: Millis = 500;
/// So often in a row what a store holds is put right before anything else is begun with it.
const REPAIRS_MOST: u32 = 4;

impl Coordinator {
    /// Begins a term, on what an earlier term's log says. Its state is the first record of this term's log: the caller
    /// writes that before anything else.
    pub fn begin(
        now: Millis,
        term: Term,
        records: Vec<LogRecord>,
        bounds: Bounds,
    ) -> Result<(Self, LogRecord), RecoverError> {
        let mut state = fold(records, &bounds)?;
        state.term = term;
        state.given.2 = 0;
        let map = BlockMap::restore(&state.map, bounds.blocks, bounds.retired)?;
        let mut this = Self {
            bounds,
            term,
            map,
            names: state.stores.iter().map(|(id, name)| (name.clone(), *id)).collect(),
            stores: state.stores.iter().cloned().collect(),
            heard: HashSet::new(),
            asked: HashMap::new(),
            repairs: HashMap::new(),
            changes: BTreeMap::new(),
            locks: HashMap::new(),
            past: VecDeque::new(),
            paused: state.paused,
            given: state.given,
            serial: 0,
            deposed: None,
        };
        for change in &state.changes {
            this.locks.extend(change.blocks().into_iter().map(|block| (block, change.id)));
            let mut change = change.clone();
            change.resumed(now);
            this.changes.insert(change.id, change);
        }
        Ok((this, LogRecord::Start(Box::new(state))))
    }

    /// The map.
    pub fn map(&self) -> &BlockMap {
        &self.map
    }

    /// The term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The changes under way.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.values()
    }

    /// Those that have ended, the latest last.
    pub fn past(&self) -> impl Iterator<Item = &Past> {
        self.past.iter()
    }

    /// A store's name.
    pub fn name(&self, store: StoreId) -> Option<&str> {
        self.stores.get(&store).map(String::as_str)
    }

    /// The store of a name.
    pub fn store(&self, name: &str) -> Option<StoreId> {
        self.names.get(name).copied()
    }

    /// All stores, by number.
    pub fn stores(&self) -> impl Iterator<Item = (StoreId, String)> + '_ {
        self.stores.iter().map(|(id, name)| (*id, name.clone()))
    }

    /// Whether a store has said in this term what it holds.
    pub fn has_heard(&self, store: StoreId) -> bool {
        self.heard.contains(&store)
    }

    /// Whether a change has made no progress for longer than it should need.
    pub fn stuck(&self, change: &Change, now: Millis) -> bool {
        change.stuck(now, &self.bounds.patience)
    }

    /// The question what a store holds, for its own sake.
    pub fn inventory(&mut self) -> Ordered {
        self.stamp(BlockId::default(), Epoch::default(), Order::Inventory)
    }

    /// Whether operators have paused changes.
    pub fn paused(&self) -> bool {
        self.paused
    }

    /// Notes a store; the first time with a number of its own.
    pub fn note(&mut self, name: &str, work: &mut Vec<Work>) -> Option<StoreId> {
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

    /// Forgets that a store has said what it holds: it has started anew, or was long away.
    pub fn unheard(&mut self, store: StoreId) {
        self.heard.remove(&store);
        self.asked.remove(&store);
    }

    pub(crate) fn epoch(&mut self) -> Epoch {
        self.given.2 += 1;
        Epoch::of(self.term, self.given.2)
    }

    pub(crate) fn block_id(&mut self) -> BlockId {
        self.given.0 += 1;
        BlockId(self.given.0)
    }

    fn given(&self) -> LogRecord {
        let (blocks, changes, epochs) = self.given;
        LogRecord::Given { blocks, changes, epochs }
    }

    /// Makes the first map: blocks with these numbers, spans and holders, which the stores hold already or are told to.
    pub fn found(
        &mut self,
        blocks: Vec<(BlockId, Span, Vec<StoreId>, Option<Extent>)>,
    ) -> Result<Vec<Work>, Unmet> {
        let epoch = self.epoch();
        let serving = |store| Replica { store, state: ReplicaState::Serving };
        let mut records = Vec::new();
        for (id, span, stores, extent) in blocks {
            self.given.0 = self.given.0.max(id.0);
            let replicas = stores.into_iter().map(serving).collect();
            records.push(Record::Living(Block { id, span, epoch, replicas, extent }));
        }
        let batch = Batch { version: self.map.version() + 1, records };
        self.map.check(&batch.records, false)?;
        if let Some(why) = self.prove(&batch.records, &|_, _| false) {
            return Err(Unmet::Unsound(why));
        }
        self.map.apply(&batch)?;
        let mut work = vec![Work::Append(self.given()), Work::Append(LogRecord::Batch(batch.clone()))];
        for record in &batch.records {
            let Record::Living(block) = record else { continue };
            for store in block.holders() {
                let order = Order::Found { span: block.span };
                let ordered = self.stamp(block.id, epoch, order);
                work.push(Work::Send(store, Tag::Repair(block.id), ordered));
            }
        }
        work.push(Work::Publish(self.map.version()));
        Ok(work)
    }

    pub(crate) fn stamp(&mut self, block: BlockId, epoch: Epoch, order: Order) -> Ordered {
        self.serial += 1;
        Ordered { term: self.term, serial: self.serial, block, epoch, order }
    }

    /// Takes what happened; says what is to be done, in order.
    pub fn handle(&mut self, now: Millis, heard: Heard) -> Vec<Work> {
        let mut work = Vec::new();
        if self.deposed.is_some() {
            return work;
        }
        match heard {
            Heard::Said(_, _, Err(Refusal::Deposed(term))) => {
                self.deposed = Some(term);
                work.push(Work::Deposed(term));
            }
            Heard::Said(store, Tag::Change(id, round), word) => {
                self.play_round(now, (id, round), Input::Said(store, word), &mut work);
            }
            // It is asked once more, until nothing differs.
            Heard::Said(store, Tag::Repair(_), _) => self.unheard(store),
            Heard::Said(..) => {}
            Heard::Silent(store, Tag::Change(id, round)) => {
                self.play_round(now, (id, round), Input::Silent(store), &mut work);
            }
            Heard::Silent(store, Tag::Repair(_)) => self.unheard(store),
            Heard::Silent(..) => {}
            Heard::Holds(store, holdings) => self.holds(now, store, &holdings, &mut work),
            Heard::Copied { change, round, upto } => {
                if let Some((from, _)) = self.changes.get(&change).and_then(Change::copy) {
                    let input = match upto {
                        Some((copied, length)) => Input::Copied { copied, length },
                        None => Input::Silent(from),
                    };
                    self.play_round(now, (change, round), input, &mut work);
                }
            }
            Heard::Tick => {
                self.ask_stores(now, &mut work);
                let due: Vec<ChangeId> = self
                    .changes
                    .values()
                    .filter(|change| change.due().is_some_and(|at| at <= now))
                    .map(|change| change.id)
                    .collect();
                for id in due {
                    self.play(now, id, Input::Tick, &mut work);
                }
            }
        }
        work
    }

    /// A store has said what it holds: what differs from the map is put right, and changes that waited for it go on.
    fn holds(&mut self, now: Millis, store: StoreId, holdings: &[(BlockId, Holding)], work: &mut Vec<Work>) {
        self.asked.remove(&store);
        if !self.stores.contains_key(&store) || !self.heard.insert(store) {
            return;
        }
        self.reconcile(now, store, holdings, work);
        // While something is being put right there nothing else is begun with it, unless that is refused
        // again and again: then the rest goes on, and the difference stays for an operator to see.
        if work.iter().any(|item| matches!(item, Work::Send(_, Tag::Repair(_), _))) {
            let tries = self.repairs.entry(store).or_default();
            *tries += 1;
            if *tries <= REPAIRS_MOST {
                self.heard.remove(&store);
                return;
            }
        }
        self.repairs.remove(&store);
        let waits = |change: &&Change| change.stores().contains(&store);
        let waiting: Vec<ChangeId> = self.changes.values().filter(waits).map(|change| change.id).collect();
        for id in waiting {
            let Some(change) = self.changes.get(&id) else { continue };
            if let Some(said) = deposed_word(change, store, holdings) {
                self.play(now, id, said, work);
            }
            self.play(now, id, Input::Resume, work);
        }
    }

    fn ask_stores(&mut self, now: Millis, work: &mut Vec<Work>) {
        for store in self.stores.keys().copied().collect::<Vec<_>>() {
            let again = self.asked.get(&store).is_none_or(|at| now >= at + ASK_AGAIN_MS);
            if !self.heard.contains(&store) && again {
                self.asked.insert(store, now);
                let order = self.inventory();
                work.push(Work::Send(store, Tag::Inventory, order));
            }
        }
    }

    /// When [`Heard::Tick`] is due, if nothing happens before.
    pub fn due(&self) -> Option<Millis> {
        let asks = self.stores.keys().filter(|s| !self.heard.contains(s));
        let asks = asks.map(|s| self.asked.get(s).map_or(0, |at| at + ASK_AGAIN_MS));
        asks.chain(self.changes.values().filter_map(Change::due)).min()
    }
}

/// What a change's source shows of a deposed coordinator's doings: that it had committed, or gone back.
fn deposed_word(change: &Change, store: StoreId, holdings: &[(BlockId, Holding)]) -> Option<Input> {
    change.copy().filter(|(from, _)| *from == store)?;
    let (_, held) = holdings.iter().find(|(block, _)| *block == change.block)?;
    if held.epoch > change.epoch {
        return Some(Input::Undone(held.epoch));
    }
    (held.epoch == change.epoch && held.mode == Mode::Retired).then_some(Input::Overtaken)
}
