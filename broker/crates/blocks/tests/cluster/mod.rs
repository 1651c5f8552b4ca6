//! Simulation of a cluster in virtual time from one seed: stores, coordinators one after the other or two at
//! once, a broker whose map is out of date, entries and reads, and faults. The invariants are checked against a
//! record of the replies that the clients received.
#![allow(dead_code, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use fastrand::Rng;
use gingerledge_blocks::*;

pub const WEIGHERS: u64 = 120;

#[derive(Clone, Debug)]
enum SimulationEvent {
    /// An order has arrived at a store.
    Order {
        coordinator_index: usize,
        store: usize,
        purpose: OrderPurpose,
        stamped: StampedOrder,
    },
    /// A store's reply or another event has arrived at a coordinator.
    CoordinatorInput {
        to: usize,
        input: Event,
    },
    /// A section of the log is copied.
    Copy {
        coordinator_index: usize,
        job: CopyJob,
    },
    Tick(usize),
    RequestChange,
    Fault,
    /// The broker updates its map.
    UpdateBroker,
    /// A client sends an entry or a read.
    ClientRequest {
        key: String,
        weigher: u64,
        entry: bool,
        attempt: u32,
    },
    ExecutePart {
        key: String,
        weigher: u64,
        block: BlockId,
        epoch: Epoch,
        store: usize,
        entry: bool,
        attempt: u32,
    },
    /// The store is available again.
    StoreUp(usize),
    CoordinatorResumed(usize),
    StartCoordinator,
}

pub struct SimulatedCoordinator {
    pub coordinator: Coordinator,
    log: Log<SimulatedDisk>,
    is_paused: bool,
    queued_inputs: Vec<Event>,
    is_stopped: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientReply {
    Answered,
    Failed,
    NotExecuted,
}

pub struct Simulation {
    pub seed: u64,
    rng: Rng,
    pub now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    next: u64,
    pub stores: Vec<Holdings>,
    is_store_up: Vec<bool>,
    pub coordinators: Vec<SimulatedCoordinator>,
    term: u32,
    broker: BlockMap,
    pub replies: BTreeMap<String, (u64, ClientReply)>,
    pub executions: HashMap<String, u32>,
    is_fault_free: bool,
    pub loss: f64,
    pub changes: usize,
    pub done: usize,
    pub reads_without_holder: usize,
}

pub fn bounds() -> Bounds {
    let timeouts =
        Timeouts { retry_initial_ms: 20, retry_max_ms: 200, step_timeout_ms: 1500, max_lag_entries: 2 };
    Bounds { blocks: 500, retired: 500, stores: 20, changes: 6, ended: 1000, timeouts }
}

impl Simulation {
    pub fn new(seed: u64, stores: usize) -> Self {
        let mut world = Self {
            seed,
            rng: Rng::with_seed(seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            stores: (0..stores).map(|_| Holdings::new(200)).collect(),
            is_store_up: vec![true; stores],
            coordinators: Vec::new(),
            term: 0,
            broker: BlockMap::new(500, 500),
            replies: BTreeMap::new(),
            executions: HashMap::new(),
            is_fault_free: false,
            loss: 0.03,
            changes: 0,
            done: 0,
            reads_without_holder: 0,
        };
        world.start_coordinator();
        let mut work = Vec::new();
        for n in 0..stores {
            world.coordinators[0].coordinator.register_store(&format!("s-{n}"), &mut work);
        }
        let blocks = (0..6u64)
            .map(|n| {
                let holders = (0..2).map(|j| StoreId(((n + j) % stores as u64) as u32)).collect();
                (BlockId(n as u32), Span::new(n * 20, n * 20 + 20), holders, None)
            })
            .collect();
        work.extend(world.coordinators[0].coordinator.create_map(blocks).unwrap());
        world.perform_work(0, work);
        world.schedule(1, SimulationEvent::UpdateBroker);
        world.schedule(300, SimulationEvent::RequestChange);
        world.schedule(400, SimulationEvent::Fault);
        world
    }

    fn schedule(&mut self, delay: u64, event: SimulationEvent) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((self.now + delay, self.next)));
    }

    /// Sends a message: it takes 1 to 8 ms, occasionally up to 400 ms longer, and is lost at the configured
    /// rate.
    fn send(&mut self, event: SimulationEvent) {
        // There are no faults while the initial map is created, in the first 300 ms.
        let is_fault_free = self.is_fault_free || self.now < 300;
        if !is_fault_free && self.rng.f64() < self.loss {
            return;
        }
        let late = !is_fault_free && self.rng.f64() < 0.02;
        let delay = self.rng.u64(1..8) + if late { self.rng.u64(0..400) } else { 0 };
        self.schedule(delay, event);
    }

    pub fn current_coordinator(&self) -> &Coordinator {
        &self.coordinators.last().unwrap().coordinator
    }

    /// Starts a new coordinator from the current content of the last log.
    fn start_coordinator(&mut self) {
        self.term += 1;
        let records = match self.coordinators.last() {
            Some(last) => {
                let bytes = last.log_bytes();
                decode(&bytes).unwrap().0
            }
            None => Vec::new(),
        };
        let (coordinator, start) = Coordinator::begin(self.now, Term(self.term), records, bounds()).unwrap();
        let (mut log, _) = Log::open(SimulatedDisk::default()).unwrap();
        log.append(&[start]).unwrap();
        self.coordinators.push(SimulatedCoordinator {
            coordinator,
            log,
            is_paused: false,
            queued_inputs: Vec::new(),
            is_stopped: false,
        });
        let coordinator_index = self.coordinators.len() - 1;
        self.schedule(1, SimulationEvent::Tick(coordinator_index));
    }

    fn perform_work(&mut self, coordinator_index: usize, work: Vec<Work>) {
        for item in work {
            match item {
                Work::Append(record) => self.coordinators[coordinator_index].log.append(&[record]).unwrap(),
                Work::Send(store, purpose, stamped) => {
                    self.send(SimulationEvent::Order {
                        coordinator_index,
                        store: store.0 as usize,
                        purpose,
                        stamped,
                    });
                    // The caller reports a missing reply.
                    let input = Event::NoReply(store, purpose);
                    self.schedule(600, SimulationEvent::CoordinatorInput { to: coordinator_index, input });
                }
                Work::Copy(job) => {
                    self.send(SimulationEvent::Copy { coordinator_index, job });
                    let input = Event::Copied { change: job.change, round: job.round, progress: None };
                    self.schedule(600, SimulationEvent::CoordinatorInput { to: coordinator_index, input });
                }
                Work::Publish(_) => {
                    let lag = if self.rng.f64() < 0.1 { 1500 } else { self.rng.u64(1..60) };
                    self.schedule(lag, SimulationEvent::UpdateBroker);
                }
                Work::ChangeEnded(_, step) => {
                    self.changes += 1;
                    self.done += usize::from(step == Step::Done);
                }
                Work::HigherTerm(_) => self.coordinators[coordinator_index].is_stopped = true,
            }
        }
    }

    fn deliver_input(&mut self, to: usize, input: Event) {
        if self.coordinators[to].is_stopped {
            return;
        }
        if self.coordinators[to].is_paused {
            self.coordinators[to].queued_inputs.push(input);
            return;
        }
        let work = self.coordinators[to].coordinator.handle(self.now, input);
        self.perform_work(to, work);
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Reverse((at, id)) = self.queue.pop().unwrap();
            self.now = at;
            let event = self.events.remove(&id).unwrap();
            self.process(event);
            self.check_held();
        }
        self.now = until;
    }

    fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Order { coordinator_index, store, purpose, stamped } => {
                if !self.is_store_up[store] {
                    return;
                }
                let reply = self.stores[store].carry_out(&stamped);
                let traced = std::env::var("TRACE").unwrap_or_default();
                if stamped.order != Order::Inventory
                    && traced.split(',').any(|block| block == stamped.block.0.to_string())
                {
                    eprintln!("{} store {store} {stamped:?} -> {reply:?}", self.now);
                }
                let id = StoreId(store as u32);
                let input = match (&stamped.order, reply) {
                    (Order::Inventory, Ok(_)) => {
                        Event::Inventory(id, self.stores[store].blocks().map(|(b, h)| (b, *h)).collect())
                    }
                    (_, reply) => Event::Reply(id, purpose, reply),
                };
                self.send(SimulationEvent::CoordinatorInput { to: coordinator_index, input });
            }
            SimulationEvent::CoordinatorInput { to, input } => self.deliver_input(to, input),
            SimulationEvent::Copy { coordinator_index, job } => {
                let (from, to) = (job.from.0 as usize, job.to.0 as usize);
                if !self.is_store_up[from] || !self.is_store_up[to] {
                    return;
                }
                let Some(held) = self.stores[to].block(job.block).copied() else { return };
                let (entries, next) = self.stores[from].read_section(held.span, job.start, 40);
                let length = self.stores[from].entries().len() as u64;
                self.stores[to].apply_section(job.block, job.epoch, job.start, entries, next);
                let copied = self.stores[to].block(job.block).map_or(0, |h| h.copied);
                let input =
                    Event::Copied { change: job.change, round: job.round, progress: Some((copied, length)) };
                self.send(SimulationEvent::CoordinatorInput { to: coordinator_index, input });
            }
            SimulationEvent::Tick(coordinator_index) => {
                self.deliver_input(coordinator_index, Event::Tick);
                if !self.coordinators[coordinator_index].is_stopped {
                    self.schedule(20, SimulationEvent::Tick(coordinator_index));
                }
            }
            SimulationEvent::RequestChange => {
                self.request_change();
                if !self.is_fault_free {
                    let wait = self.rng.u64(20..200);
                    self.schedule(wait, SimulationEvent::RequestChange);
                }
            }
            SimulationEvent::Fault => {
                if !self.is_fault_free {
                    self.fault();
                    let wait = self.rng.u64(100..900);
                    self.schedule(wait, SimulationEvent::Fault);
                }
            }
            SimulationEvent::StoreUp(store) => self.is_store_up[store] = true,
            SimulationEvent::CoordinatorResumed(coordinator_index) => {
                self.coordinators[coordinator_index].is_paused = false;
                for input in std::mem::take(&mut self.coordinators[coordinator_index].queued_inputs) {
                    self.deliver_input(coordinator_index, input);
                }
            }
            SimulationEvent::StartCoordinator => self.start_coordinator(),
            SimulationEvent::UpdateBroker => self.update_broker(),
            SimulationEvent::ClientRequest { key, weigher, entry, attempt } => {
                self.send_client_request(key, weigher, entry, attempt)
            }
            SimulationEvent::ExecutePart { key, weigher, block, epoch, store, entry, attempt } => {
                self.execute_part(key, weigher, block, epoch, store, entry, attempt);
            }
        }
    }

    fn update_broker(&mut self) {
        let current = &self.coordinators.last().unwrap().coordinator;
        let (mut from, mut all) = (Cursor::after_version(self.broker.version()), Vec::new());
        let caught_up = loop {
            match current.map().changes_since(from, 3) {
                Some((records, upto)) if upto > from => {
                    all.extend(records);
                    from = upto;
                }
                Some(_) => break self.broker.catch_up(all, from.version).is_ok(),
                None => break false,
            }
        };
        if !caught_up {
            self.broker = BlockMap::restore(&current.map().snapshot(), 500, 500).unwrap();
        }
    }

    fn request_change(&mut self) {
        let coordinator_index = self.coordinators.len() - 1;
        if self.coordinators[coordinator_index].is_paused || self.coordinators[coordinator_index].is_stopped {
            return;
        }
        let current = &self.coordinators[coordinator_index].coordinator;
        let blocks: Vec<(BlockId, Span, Vec<StoreId>)> =
            current.map().blocks().map(|b| (b.id, b.span, b.holders().collect())).collect();
        let n = self.rng.usize(..blocks.len());
        let (id, span, holders) = blocks[n].clone();
        let to = StoreId(self.rng.u32(..self.stores.len() as u32));
        let from = holders[self.rng.usize(..holders.len())];
        let request = match self.rng.u32(..10) {
            0..=3 => ChangeRequest::Move(id, from, to),
            4 => ChangeRequest::Add(id, to),
            5 => ChangeRequest::Remove(id, from),
            6 | 7 if blocks.len() < 20 => ChangeRequest::Split(id, span.first + (span.end - span.first) / 2),
            _ => ChangeRequest::Merge(id, blocks[(n + 1) % blocks.len()].0),
        };
        let now = self.now;
        let mut work = Vec::new();
        let _ = self.coordinators[coordinator_index].coordinator.request_change(now, &request, &mut work);
        if self.rng.f64() < 0.05 {
            let some = self.coordinators[coordinator_index].coordinator.changes().map(|c| c.id).next();
            if let Some(id) = some {
                self.coordinators[coordinator_index].coordinator.abandon(now, id, &mut work);
            }
        }
        self.perform_work(coordinator_index, work);
    }

    fn fault(&mut self) {
        let coordinator_index = self.coordinators.len() - 1;
        match self.rng.u32(..10) {
            // A store is unavailable for a while; its state is durable.
            0..=4 => {
                let store = self.rng.usize(..self.stores.len());
                let duration_ms = self.rng.u64(50..3000);
                self.is_store_up[store] = false;
                self.schedule(duration_ms, SimulationEvent::StoreUp(store));
            }
            // The coordinator crashes; another takes over from its log.
            5 | 6 => {
                self.coordinators[coordinator_index].is_stopped = true;
                let wait = self.rng.u64(10..800);
                self.schedule(wait, SimulationEvent::StartCoordinator);
            }
            // The coordinator pauses for longer than its lease, another takes over, and the first one resumes.
            7 => {
                self.coordinators[coordinator_index].is_paused = true;
                let duration_ms = self.rng.u64(300..2000);
                self.schedule(200, SimulationEvent::StartCoordinator);
                self.schedule(duration_ms, SimulationEvent::CoordinatorResumed(coordinator_index));
            }
            // A store restarts, and its inventory is requested again.
            _ => {
                let store = StoreId(self.rng.u32(..self.stores.len() as u32));
                self.coordinators[coordinator_index].coordinator.discard_inventory(store);
            }
        }
    }

    /// Schedules entries and reads of clients over a period of time.
    pub fn clients(&mut self, count: usize, duration_ms: u64) {
        for n in 0..count {
            let (weigher, entry) = (self.rng.u64(..WEIGHERS), self.rng.bool());
            let delay = self.rng.u64(10..duration_ms);
            let key = format!("q{n}.{weigher}");
            self.schedule(delay, SimulationEvent::ClientRequest { key, weigher, entry, attempt: 0 });
        }
    }

    fn send_client_request(&mut self, key: String, weigher: u64, entry: bool, attempt: u32) {
        let found = self.broker.block_of_weigher(weigher);
        let (Some(block), true) = (found, attempt < 3) else {
            self.replies.insert(key, (weigher, ClientReply::NotExecuted));
            return;
        };
        let holders: Vec<StoreId> = block.holders().collect();
        let (block, epoch) = (block.id, block.epoch);
        let store = holders[self.rng.usize(..holders.len())].0 as usize;
        let call =
            SimulationEvent::ExecutePart { key: key.clone(), weigher, block, epoch, store, entry, attempt };
        if !self.is_store_up[store] {
            // The store was not reached, so the entry was never executed.
            self.schedule(30, SimulationEvent::ClientRequest { key, weigher, entry, attempt: attempt + 1 });
        } else if self.is_fault_free || self.rng.f64() > self.loss {
            let delay = self.rng.u64(1..40);
            self.schedule(delay, call);
        } else {
            self.replies.insert(key, (weigher, ClientReply::Failed));
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn execute_part(
        &mut self,
        key: String,
        weigher: u64,
        block: BlockId,
        epoch: Epoch,
        store: usize,
        entry: bool,
        attempt: u32,
    ) {
        if !self.is_store_up[store] {
            self.replies.insert(key, (weigher, ClientReply::Failed));
            return;
        }
        match self.stores[store].admission(block, epoch, entry.then_some(key.as_str())) {
            Admission::Reject(_) => {
                self.schedule(
                    25,
                    SimulationEvent::ClientRequest { key, weigher, entry, attempt: attempt + 1 },
                );
            }
            verdict => {
                if let (Admission::Execute(span), true) = (&verdict, entry) {
                    assert!(span.contains(weigher), "seed {}: {key} was executed in {span}", self.seed);
                    if self.stores[store].append(Entry { key: key.clone(), weigher, value: vec![7; 9] }) {
                        *self.executions.entry(key.clone()).or_default() += 1;
                    }
                }
                let lost = !self.is_fault_free && self.rng.f64() < self.loss;
                self.replies
                    .insert(key, (weigher, if lost { ClientReply::Failed } else { ClientReply::Answered }));
            }
        }
    }

    /// Checks that at any time some store accepts reads of a random weigher, although it may be unavailable.
    fn check_held(&mut self) {
        let weigher = self.rng.u64(..WEIGHERS);
        let reads = |store: &Holdings| {
            store.blocks().any(|(_, h)| {
                h.span.contains(weigher) && matches!(h.mode, Mode::Open | Mode::Fenced | Mode::Reading)
            })
        };
        if self.now > 300 && !self.stores.iter().any(reads) {
            for (n, store) in self.stores.iter().enumerate() {
                eprintln!(
                    "store {n}: {:?}",
                    store.blocks().filter(|(_, h)| h.span.contains(weigher)).collect::<Vec<_>>()
                );
            }
            panic!("seed {}: at {} no store accepts reads of weigher {weigher}", self.seed, self.now);
        }
    }

    /// Ends all faults, makes all stores available, and runs until all changes have ended.
    pub fn end_faults(&mut self) {
        self.is_fault_free = true;
        self.is_store_up.iter_mut().for_each(|up| *up = true);
        let end_time = self.now + 2500;
        self.run(end_time);
        for coordinator_index in 0..self.coordinators.len() - 1 {
            self.coordinators[coordinator_index].is_stopped = true;
        }
        if self.coordinators.last().unwrap().is_stopped {
            self.start_coordinator();
        }
        self.coordinators.last_mut().unwrap().is_paused = false;
        // Inventories are requested again to find what the last coordinator left at the stores.
        for round in 0..4 {
            let coordinator_index = self.coordinators.len() - 1;
            for store in 0..self.stores.len() {
                self.coordinators[coordinator_index].coordinator.discard_inventory(StoreId(store as u32));
            }
            let until = self.now + 8000;
            self.run(until);
            let _ = round;
        }
    }

    pub fn check(&self) {
        let (seed, map) = (self.seed, self.current_coordinator().map());
        let stuck: Vec<_> = self.current_coordinator().changes().collect();
        for change in &stuck {
            for (n, store) in self.stores.iter().enumerate() {
                eprintln!(
                    "store {n}: {:?}",
                    change.blocks().iter().map(|b| store.block(*b)).collect::<Vec<_>>()
                );
            }
        }
        assert!(stuck.is_empty(), "seed {seed}: not ended: {stuck:?}");
        for weigher in 0..WEIGHERS {
            assert!(map.block_of_weigher(weigher).is_some(), "seed {seed}: weigher {weigher} is in no block");
        }
        let mut holders: HashMap<u64, Vec<usize>> = HashMap::new();
        for block in map.blocks() {
            for holder in block.holders() {
                let held = self.stores[holder.0 as usize].block(block.id);
                let open = held.is_some_and(|h| h.mode == Mode::Open && h.span == block.span);
                assert!(open, "seed {seed}: {} of {} at {holder}: {held:?}", block.id, block.span);
                for weigher in block.span.first..block.span.end {
                    holders.entry(weigher).or_default().push(holder.0 as usize);
                }
            }
        }
        for (n, store) in self.stores.iter().enumerate() {
            for (id, held) in store.blocks() {
                let listed = map.block(id).is_some_and(|b| b.is_holder(StoreId(n as u32)));
                assert!(listed, "seed {seed}: store {n} has {id} as {held:?}, but the map does not list it");
            }
        }
        let twice: Vec<_> = self.executions.iter().filter(|(_, executions)| **executions > 1).collect();
        assert!(twice.is_empty(), "seed {seed}: executed twice: {twice:?}");
        let mut known: HashMap<usize, HashSet<&str>> = HashMap::new();
        for (n, store) in self.stores.iter().enumerate() {
            known.insert(n, store.entries().iter().map(|e| e.key.as_str()).collect());
        }
        for (key, (weigher, replies)) in &self.replies {
            let was_executed = self.executions.contains_key(key);
            if *replies == ClientReply::NotExecuted {
                assert!(
                    !was_executed,
                    "seed {seed}: {key} was executed although the client was told that it was not"
                );
            }
            if *replies == ClientReply::Answered && was_executed {
                let is_stored = holders[weigher].iter().any(|n| known[n].contains(key.as_str()));
                assert!(is_stored, "seed {seed}: {key} was acknowledged, but no holder has it");
            }
        }
    }
}

impl SimulatedCoordinator {
    fn log_bytes(&self) -> Vec<u8> {
        self.log.disk().bytes().to_vec()
    }
}
