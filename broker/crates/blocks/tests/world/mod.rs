//! A whole cluster in virtual time from one seed: stores, coordinators one after the other or two at once, a
//! broker whose map lags, entries and reads, and faults. What a run must hold is checked against a plain record of what the
//! clients were told.
#![allow(dead_code, clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use fastrand::Rng;
use gingerledge_blocks::*;

pub const WEIGHERS: u64 = 120;

#[derive(Clone, Debug)]
enum Ev {
    /// An order has reached a store.
    Order {
        by: usize,
        store: usize,
        tag: Tag,
        ordered: Ordered,
    },
    /// A store's word has reached a coordinator.
    Heard {
        to: usize,
        heard: Heard,
    },
    /// A copy's stretch is made now.
    Copy {
        by: usize,
        job: CopyJob,
    },
    Tick(usize),
    Wish,
    Fault,
    /// The broker learns the map.
    Learn,
    /// A client's entry or read sets out.
    Ask {
        key: String,
        weigher: u64,
        entry: bool,
        attempt: u32,
    },
    Call {
        key: String,
        weigher: u64,
        block: BlockId,
        epoch: Epoch,
        store: usize,
        entry: bool,
        attempt: u32,
    },
    /// Its store is back, its coordinator awake.
    Up(usize),
    Awake(usize),
    Elect,
}

pub struct Boss {
    pub coordinator: Coordinator,
    log: Log<ForgetfulDisk>,
    asleep: bool,
    missed: Vec<Heard>,
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Good,
    Failed,
    Later,
}

pub struct World {
    pub seed: u64,
    rng: Rng,
    pub now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Ev>,
    next: u64,
    pub stores: Vec<Holdings>,
    up: Vec<bool>,
    pub bosses: Vec<Boss>,
    term: u32,
    broker: BlockMap,
    pub told: BTreeMap<String, (u64, Told)>,
    pub runs: HashMap<String, u32>,
    calm: bool,
    pub loss: f64,
    pub changes: usize,
    pub done: usize,
    pub reads_unheld: usize,
}

pub fn bounds() -> Bounds {
    let patience = Patience { again_ms: 20, again_most_ms: 200, step_ms: 1500, lag: 2 };
    Bounds { blocks: 500, retired: 500, stores: 20, changes: 6, ended: 1000, patience }
}

impl World {
    pub fn new(seed: u64, stores: usize) -> Self {
        let mut world = Self {
            seed,
            rng: Rng::with_seed(seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            stores: (0..stores).map(|_| Holdings::new(200)).collect(),
            up: vec![true; stores],
            bosses: Vec::new(),
            term: 0,
            broker: BlockMap::new(500, 500),
            told: BTreeMap::new(),
            runs: HashMap::new(),
            calm: false,
            loss: 0.03,
            changes: 0,
            done: 0,
            reads_unheld: 0,
        };
        world.elect();
        let mut work = Vec::new();
        for n in 0..stores {
            world.bosses[0].coordinator.note(&format!("s-{n}"), &mut work);
        }
        let blocks = (0..6u64)
            .map(|n| {
                let holders = (0..2).map(|j| StoreId(((n + j) % stores as u64) as u32)).collect();
                (BlockId(n as u32), Span::new(n * 20, n * 20 + 20), holders, None)
            })
            .collect();
        work.extend(world.bosses[0].coordinator.found(blocks).unwrap());
        world.work(0, work);
        world.at(1, Ev::Learn);
        world.at(300, Ev::Wish);
        world.at(400, Ev::Fault);
        world
    }

    fn at(&mut self, delay: u64, ev: Ev) {
        self.next += 1;
        self.events.insert(self.next, ev);
        self.queue.push(Reverse((self.now + delay, self.next)));
    }

    /// A message's way: it takes 1 to 8 ms, sometimes much longer, and now and then it is lost.
    fn send(&mut self, ev: Ev) {
        // The first blocks are founded in peace.
        let calm = self.calm || self.now < 300;
        if !calm && self.rng.f64() < self.loss {
            return;
        }
        let late = !calm && self.rng.f64() < 0.02;
        let delay = self.rng.u64(1..8) + if late { self.rng.u64(0..400) } else { 0 };
        self.at(delay, ev);
    }

    pub fn boss(&self) -> &Coordinator {
        &self.bosses.last().unwrap().coordinator
    }

    /// A new coordinator takes over, from what the last log says at this moment.
    fn elect(&mut self) {
        self.term += 1;
        let records = match self.bosses.last() {
            Some(last) => {
                let bytes = last.log_bytes();
                decode(&bytes).unwrap().0
            }
            None => Vec::new(),
        };
        let (coordinator, start) = Coordinator::begin(self.now, Term(self.term), records, bounds()).unwrap();
        let (mut log, _) = Log::open(ForgetfulDisk::default()).unwrap();
        log.append(&[start]).unwrap();
        self.bosses.push(Boss { coordinator, log, asleep: false, missed: Vec::new(), over: false });
        let by = self.bosses.len() - 1;
        self.at(1, Ev::Tick(by));
    }

    fn work(&mut self, by: usize, work: Vec<Work>) {
        for item in work {
            match item {
                Work::Append(record) => self.bosses[by].log.append(&[record]).unwrap(),
                Work::Send(store, tag, ordered) => {
                    self.send(Ev::Order { by, store: store.0 as usize, tag, ordered });
                    // A driver that hears nothing says so.
                    let heard = Heard::Silent(store, tag);
                    self.at(600, Ev::Heard { to: by, heard });
                }
                Work::Copy(job) => {
                    self.send(Ev::Copy { by, job });
                    let heard = Heard::Copied { change: job.change, round: job.round, upto: None };
                    self.at(600, Ev::Heard { to: by, heard });
                }
                Work::Publish(_) => {
                    let lag = if self.rng.f64() < 0.1 { 1500 } else { self.rng.u64(1..60) };
                    self.at(lag, Ev::Learn);
                }
                Work::Ended(_, step) => {
                    self.changes += 1;
                    self.done += usize::from(step == Step::Done);
                }
                Work::Deposed(_) => self.bosses[by].over = true,
            }
        }
    }

    fn hear(&mut self, to: usize, heard: Heard) {
        if self.bosses[to].over {
            return;
        }
        if self.bosses[to].asleep {
            self.bosses[to].missed.push(heard);
            return;
        }
        let work = self.bosses[to].coordinator.handle(self.now, heard);
        self.work(to, work);
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Reverse((at, id)) = self.queue.pop().unwrap();
            self.now = at;
            let ev = self.events.remove(&id).unwrap();
            self.play(ev);
            self.check_held();
        }
        self.now = until;
    }

    fn play(&mut self, ev: Ev) {
        match ev {
            Ev::Order { by, store, tag, ordered } => {
                if !self.up[store] {
                    return;
                }
                let word = self.stores[store].obey(&ordered);
                let traced = std::env::var("TRACE").unwrap_or_default();
                if ordered.order != Order::Inventory
                    && traced.split(',').any(|block| block == ordered.block.0.to_string())
                {
                    eprintln!("{} store {store} {ordered:?} -> {word:?}", self.now);
                }
                let id = StoreId(store as u32);
                let heard = match (&ordered.order, word) {
                    (Order::Inventory, Ok(_)) => {
                        Heard::Holds(id, self.stores[store].blocks().map(|(b, h)| (b, *h)).collect())
                    }
                    (_, word) => Heard::Said(id, tag, word),
                };
                self.send(Ev::Heard { to: by, heard });
            }
            Ev::Heard { to, heard } => self.hear(to, heard),
            Ev::Copy { by, job } => {
                let (from, to) = (job.from.0 as usize, job.to.0 as usize);
                if !self.up[from] || !self.up[to] {
                    return;
                }
                let Some(held) = self.stores[to].block(job.block).copied() else { return };
                let (entries, next) = self.stores[from].tail(held.span, job.at, 40);
                let length = self.stores[from].entries().len() as u64;
                self.stores[to].absorb(job.block, job.epoch, job.at, entries, next);
                let copied = self.stores[to].block(job.block).map_or(0, |h| h.copied);
                let heard =
                    Heard::Copied { change: job.change, round: job.round, upto: Some((copied, length)) };
                self.send(Ev::Heard { to: by, heard });
            }
            Ev::Tick(by) => {
                self.hear(by, Heard::Tick);
                if !self.bosses[by].over {
                    self.at(20, Ev::Tick(by));
                }
            }
            Ev::Wish => {
                self.wish();
                if !self.calm {
                    let wait = self.rng.u64(20..200);
                    self.at(wait, Ev::Wish);
                }
            }
            Ev::Fault => {
                if !self.calm {
                    self.fault();
                    let wait = self.rng.u64(100..900);
                    self.at(wait, Ev::Fault);
                }
            }
            Ev::Up(store) => self.up[store] = true,
            Ev::Awake(by) => {
                self.bosses[by].asleep = false;
                for heard in std::mem::take(&mut self.bosses[by].missed) {
                    self.hear(by, heard);
                }
            }
            Ev::Elect => self.elect(),
            Ev::Learn => self.learn(),
            Ev::Ask { key, weigher, entry, attempt } => self.ask(key, weigher, entry, attempt),
            Ev::Call { key, weigher, block, epoch, store, entry, attempt } => {
                self.call(key, weigher, block, epoch, store, entry, attempt);
            }
        }
    }

    fn learn(&mut self) {
        let boss = &self.bosses.last().unwrap().coordinator;
        let (mut from, mut all) = (Cursor::at(self.broker.version()), Vec::new());
        let caught_up = loop {
            match boss.map().since(from, 3) {
                Some((records, upto)) if upto > from => {
                    all.extend(records);
                    from = upto;
                }
                Some(_) => break self.broker.catch_up(all, from.version).is_ok(),
                None => break false,
            }
        };
        if !caught_up {
            self.broker = BlockMap::restore(&boss.map().snapshot(), 500, 500).unwrap();
        }
    }

    fn wish(&mut self) {
        let by = self.bosses.len() - 1;
        if self.bosses[by].asleep || self.bosses[by].over {
            return;
        }
        let boss = &self.bosses[by].coordinator;
        let blocks: Vec<(BlockId, Span, Vec<StoreId>)> =
            boss.map().blocks().map(|b| (b.id, b.span, b.holders().collect())).collect();
        let n = self.rng.usize(..blocks.len());
        let (id, span, holders) = blocks[n].clone();
        let to = StoreId(self.rng.u32(..self.stores.len() as u32));
        let from = holders[self.rng.usize(..holders.len())];
        let wish = match self.rng.u32(..10) {
            0..=3 => Wish::Move(id, from, to),
            4 => Wish::Add(id, to),
            5 => Wish::Remove(id, from),
            6 | 7 if blocks.len() < 20 => Wish::Split(id, span.first + (span.end - span.first) / 2),
            _ => Wish::Merge(id, blocks[(n + 1) % blocks.len()].0),
        };
        let now = self.now;
        let mut work = Vec::new();
        let _ = self.bosses[by].coordinator.wish(now, &wish, &mut work);
        if self.rng.f64() < 0.05 {
            let some = self.bosses[by].coordinator.changes().map(|c| c.id).next();
            if let Some(id) = some {
                self.bosses[by].coordinator.abandon(now, id, &mut work);
            }
        }
        self.work(by, work);
    }

    fn fault(&mut self) {
        let by = self.bosses.len() - 1;
        match self.rng.u32(..10) {
            // A store is away for a while; what it holds lasts.
            0..=4 => {
                let store = self.rng.usize(..self.stores.len());
                let long = self.rng.u64(50..3000);
                self.up[store] = false;
                self.at(long, Ev::Up(store));
            }
            // The coordinator dies; another takes over from its log.
            5 | 6 => {
                self.bosses[by].over = true;
                let wait = self.rng.u64(10..800);
                self.at(wait, Ev::Elect);
            }
            // It sleeps for longer than its lease, another takes over, and it awakes.
            7 => {
                self.bosses[by].asleep = true;
                let long = self.rng.u64(300..2000);
                self.at(200, Ev::Elect);
                self.at(long, Ev::Awake(by));
            }
            // A store restarts and is asked anew.
            _ => {
                let store = StoreId(self.rng.u32(..self.stores.len() as u32));
                self.bosses[by].coordinator.unheard(store);
            }
        }
    }

    /// A client's entries and reads, spread over a stretch of time.
    pub fn clients(&mut self, count: usize, over: u64) {
        for n in 0..count {
            let (weigher, entry) = (self.rng.u64(..WEIGHERS), self.rng.bool());
            let delay = self.rng.u64(10..over);
            let key = format!("q{n}.{weigher}");
            self.at(delay, Ev::Ask { key, weigher, entry, attempt: 0 });
        }
    }

    fn ask(&mut self, key: String, weigher: u64, entry: bool, attempt: u32) {
        let found = self.broker.of_weigher(weigher);
        let (Some(block), true) = (found, attempt < 3) else {
            self.told.insert(key, (weigher, Told::Later));
            return;
        };
        let holders: Vec<StoreId> = block.holders().collect();
        let (block, epoch) = (block.id, block.epoch);
        let store = holders[self.rng.usize(..holders.len())].0 as usize;
        let call = Ev::Call { key: key.clone(), weigher, block, epoch, store, entry, attempt };
        if !self.up[store] {
            // Refused: it never ran.
            self.at(30, Ev::Ask { key, weigher, entry, attempt: attempt + 1 });
        } else if self.calm || self.rng.f64() > self.loss {
            let delay = self.rng.u64(1..40);
            self.at(delay, call);
        } else {
            self.told.insert(key, (weigher, Told::Failed));
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn call(
        &mut self,
        key: String,
        weigher: u64,
        block: BlockId,
        epoch: Epoch,
        store: usize,
        entry: bool,
        attempt: u32,
    ) {
        if !self.up[store] {
            self.told.insert(key, (weigher, Told::Failed));
            return;
        }
        match self.stores[store].admit(block, epoch, entry.then_some(key.as_str())) {
            Verdict::Later(_) => {
                self.at(25, Ev::Ask { key, weigher, entry, attempt: attempt + 1 });
            }
            verdict => {
                if let (Verdict::Run(span), true) = (&verdict, entry) {
                    assert!(span.contains(weigher), "seed {}: {key} ran in {span}", self.seed);
                    if self.stores[store].run(Entry { key: key.clone(), weigher, value: vec![7; 9] }) {
                        *self.runs.entry(key.clone()).or_default() += 1;
                    }
                }
                let lost = !self.calm && self.rng.f64() < self.loss;
                self.told.insert(key, (weigher, if lost { Told::Failed } else { Told::Good }));
            }
        }
    }

    /// At every moment some store lets reads of every weigher in, though it may be away just then.
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
            panic!("seed {}: at {} nobody holds weigher {weigher}", self.seed, self.now);
        }
    }

    /// Faults end, all are up and awake, and everything under way comes to its end.
    pub fn calm_down(&mut self) {
        self.calm = true;
        self.up.iter_mut().for_each(|up| *up = true);
        let long = self.now + 2500;
        self.run(long);
        for by in 0..self.bosses.len() - 1 {
            self.bosses[by].over = true;
        }
        if self.bosses.last().unwrap().over {
            self.elect();
        }
        self.bosses.last_mut().unwrap().asleep = false;
        // Whatever the one before left at the stores is found by asking them anew.
        for round in 0..4 {
            let by = self.bosses.len() - 1;
            for store in 0..self.stores.len() {
                self.bosses[by].coordinator.unheard(StoreId(store as u32));
            }
            let until = self.now + 8000;
            self.run(until);
            let _ = round;
        }
    }

    pub fn check(&self) {
        let (seed, map) = (self.seed, self.boss().map());
        let stuck: Vec<_> = self.boss().changes().collect();
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
            assert!(map.of_weigher(weigher).is_some(), "seed {seed}: weigher {weigher} is in no block");
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
                let listed = map.block(id).is_some_and(|b| b.held_by(StoreId(n as u32)));
                assert!(listed, "seed {seed}: store {n} has {id} as {held:?}, and the map does not know");
            }
        }
        let twice: Vec<_> = self.runs.iter().filter(|(_, runs)| **runs > 1).collect();
        assert!(twice.is_empty(), "seed {seed}: ran twice: {twice:?}");
        let mut known: HashMap<usize, HashSet<&str>> = HashMap::new();
        for (n, store) in self.stores.iter().enumerate() {
            known.insert(n, store.entries().iter().map(|e| e.key.as_str()).collect());
        }
        for (key, (weigher, told)) in &self.told {
            let ran = self.runs.contains_key(key);
            if *told == Told::Later {
                assert!(!ran, "seed {seed}: {key} was told that it never ran, and it did");
            }
            if *told == Told::Good && ran {
                let kept = holders[weigher].iter().any(|n| known[n].contains(key.as_str()));
                assert!(kept, "seed {seed}: {key} was acknowledged, and no holder has it");
            }
        }
    }
}

impl Boss {
    fn log_bytes(&self) -> Vec<u8> {
        self.log.disk().bytes().to_vec()
    }
}
