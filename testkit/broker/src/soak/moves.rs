//! Blocks move, split and merge without end under load of all classes, first in peace, then while stores and the
//! coordinator are killed, stalled and paused. Every answer is held against what the readings are, and at the end every
//! acknowledged entry is looked for at the holders of its weigher.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use fastrand::Rng;
use gingerledge::counters::count;
use gingerledge_blocks::Span;
use hdrhistogram::Histogram;
use rustix::process::Signal;
use serde_json::Value;

use crate::broker::{free_address, Broker};
use crate::client::{self, get, put, Got};
use crate::data;
use crate::settings::{self, CLASSES};
use crate::store::{Fault, Store};
use crate::world::{Size, World};

/// How it is run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// How long, in all.
    pub seconds: u64,
    /// The seed of load, moves and faults.
    pub seed: u64,
    /// Queries a second.
    pub rate: f64,
}

const SIZE: Size = Size { stores: 6, used: 4, blocks: 12, weighers: 600, work: Duration::from_millis(4) };
const LEASE_MS: u64 = 1200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Still,
    Moves,
    Faults,
    Settling,
}

/// What was counted.
#[derive(Default)]
struct Tally {
    queries: Cell<u64>,
    answered: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
    wrong: Cell<u64>,
    unheld: Cell<u64>,
    /// Refused or failed in peace, while blocks moved.
    unserved_in_peace: Cell<u64>,
    /// Entries acknowledged: key and weigher.
    stored: RefCell<Vec<(String, u64)>>,
    times: RefCell<BTreeMap<Phase, Histogram<u64>>>,
    complaints: RefCell<Vec<String>>,
}

struct Soak {
    plan: Plan,
    world: World,
    brokers: RefCell<Vec<Broker>>,
    doors: Vec<SocketAddr>,
    platforms: Vec<SocketAddr>,
    phase: Cell<Phase>,
    tally: Tally,
    /// Kinds of changes done, by their numbers.
    done: RefCell<HashMap<u64, String>>,
    under_way: Cell<usize>,
}

/// Runs it; the line of figures, and whether all promises were kept.
pub fn run(plan: Plan, dir: &Path) -> std::io::Result<(String, bool)> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let world = World::start(&executor, SIZE)?;
        let addresses: Vec<_> =
            (0..2).map(|_| Ok((free_address()?, free_address()?))).collect::<std::io::Result<_>>()?;
        let doors: Vec<SocketAddr> = addresses.iter().map(|(_, admin)| *admin).collect();
        let listed: Vec<String> = doors.iter().map(|door| format!("\"{door}\"")).collect();
        let operator = format!(
            "[blocks]\nstate_dir = {:?}\ncoordinate = true\ncoordinators = [{}]\nlease_ms = {LEASE_MS}\n\
             step_ms = 4000\n{}",
            dir.join("shared"),
            listed.join(", "),
            settings::found(SIZE.blocks, SIZE.weighers, SIZE.stores, SIZE.used)
        );
        let mut brokers = Vec::new();
        for (n, at) in addresses.iter().enumerate() {
            let settings = settings::settings(2, SIZE.stores, SIZE.blocks as usize);
            let name = format!("n{n}");
            let config = settings::config(&name, world.discovery.address, at.0, at.1, settings);
            brokers.push(Broker::start(
                std::env::current_exe()?,
                dir,
                &name,
                *at,
                &config,
                &operator,
                "info",
            )?);
        }
        let soak = Rc::new(Soak {
            plan,
            world,
            doors,
            platforms: addresses.iter().map(|(platform, _)| *platform).collect(),
            brokers: RefCell::new(brokers),
            phase: Cell::new(Phase::Still),
            tally: Tally::default(),
            done: RefCell::default(),
            under_way: Cell::new(0),
        });
        soak.clone().play(&executor).await
    }))
}

impl Soak {
    async fn play(self: Rc<Self>, executor: &Rc<LocalExecutor<'static>>) -> std::io::Result<(String, bool)> {
        if !self.ready().await {
            let logs: Vec<String> = self.brokers.borrow().iter().map(Broker::log).collect();
            return Err(std::io::Error::other(format!("the brokers do not serve:\n{}", logs.join("\n"))));
        }
        let watch = executor.spawn(self.clone().watch());
        let load = executor.spawn(self.clone().load(executor.clone()));
        let moves = executor.spawn(self.clone().moves());
        let faults = executor.spawn(self.clone().faults());
        let eighth = self.plan.seconds as f64 / 8.0;
        for (phase, eighths) in [(Phase::Still, 2.0), (Phase::Moves, 3.0), (Phase::Faults, 3.0)] {
            self.phase.set(phase);
            Timer::after(Duration::from_secs_f64(eighth * eighths)).await;
        }
        self.phase.set(Phase::Settling);
        faults.await;
        moves.await;
        load.await;
        let settled = self.settle().await;
        watch.cancel().await;
        Ok(self.report(settled).await)
    }

    async fn ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            let mut ready = 0;
            for (platform, name) in self.platforms.iter().zip(["a", "b"]) {
                let text = client::query(&format!("probe-{name}"), CLASSES[1], 2000, &[(0, None)], "x");
                let serves = client::exchange(*platform, &text).await.is_some_and(|got| got.status == 200);
                ready += usize::from(serves);
            }
            if ready == self.platforms.len() && self.boss().await.is_some() {
                return true;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        false
    }

    /// The broker that coordinates, and what it shows of the map.
    async fn boss(&self) -> Option<(usize, Value)> {
        for (n, door) in self.doors.iter().enumerate() {
            if let Some(got) = get(*door, "/blocks").await.filter(|got| got.status == 200) {
                return Some((n, got.json()));
            }
        }
        None
    }

    /// At every moment some store lets reads of every weigher in.
    async fn watch(self: Rc<Self>) {
        loop {
            for block in 0..SIZE.blocks {
                let span = SIZE.span(block);
                if !self.world.held(span.first) || !self.world.held(span.end - 1) {
                    count(&self.tally.unheld);
                    self.complain(format!("nobody holds weighers of block {block}"));
                }
            }
            Timer::after(Duration::from_millis(3)).await;
        }
    }

    fn complain(&self, what: String) {
        let mut complaints = self.tally.complaints.borrow_mut();
        if complaints.len() < 20 {
            complaints.push(what);
        }
    }

    /// Queries come at their own times, however long others take.
    async fn load(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        let mut rng = Rng::with_seed(self.plan.seed);
        let (mut n, mut at, mut open) = (0u64, Instant::now(), Vec::new());
        while self.phase.get() < Phase::Settling {
            at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.plan.rate);
            Timer::at(at).await;
            n += 1;
            let class = match rng.u32(..100) {
                0..=11 => 0,
                12..=73 => 1,
                _ => 2,
            };
            let count = [4, rng.usize(3..6), rng.usize(1..3)][class];
            let first = rng.u32(..SIZE.blocks as u32);
            let block = |k: usize| (first + k as u32) % SIZE.blocks as u32;
            let parts: Vec<(u32, Option<u64>)> = (0..count)
                .map(|k| {
                    let span = SIZE.span(u64::from(block(k)));
                    (block(k), (class == 2).then(|| rng.u64(span.first..span.end)))
                })
                .collect();
            let platform = self.platforms[rng.usize(..self.platforms.len())];
            let task = executor.spawn(self.clone().ask(format!("q{n}"), class, parts, platform, at));
            open.retain(|task: &async_executor::Task<()>| !task.is_finished());
            open.push(task);
        }
        for task in open {
            task.await;
        }
    }

    async fn ask(
        self: Rc<Self>,
        id: String,
        class: usize,
        parts: Vec<(u32, Option<u64>)>,
        platform: SocketAddr,
        due: Instant,
    ) {
        let phase = self.phase.get();
        count(&self.tally.queries);
        let timeout = [6000, 2500, 3000][class];
        let text = client::query(&id, CLASSES[class], timeout, &parts, "entry");
        let got = client::exchange(platform, &text).await;
        let peace = phase <= Phase::Moves && self.phase.get() <= Phase::Moves;
        match got.as_ref().map(|got| got.status) {
            Some(200) => {
                count(&self.tally.answered);
                if let Err(what) = check(class, &parts, got.as_ref()) {
                    count(&self.tally.wrong);
                    self.complain(format!("{id} {parts:?}: {what}"));
                }
                if class == 2 {
                    let keys =
                        parts.iter().map(|(block, w)| (format!("{id}.{block}"), w.unwrap_or_default()));
                    self.tally.stored.borrow_mut().extend(keys);
                }
                let mut times = self.tally.times.borrow_mut();
                let times = times
                    .entry(phase)
                    .or_insert_with(|| Histogram::new(3).unwrap_or_else(|_| unreachable!()));
                let _ = times.record(due.elapsed().as_micros() as u64);
            }
            Some(429 | 503) => {
                count(&self.tally.refused);
                if peace {
                    count(&self.tally.unserved_in_peace);
                    self.complain(format!("{id} refused in peace"));
                }
                // What is refused may be repeated: nothing of it may have run.
                for (block, _) in parts.iter().filter(|_| class == 2) {
                    if self.world.runs.borrow().contains_key(&format!("{id}.{block}")) {
                        count(&self.tally.wrong);
                        self.complain(format!("{id} was refused and ran"));
                    }
                }
            }
            status => {
                count(&self.tally.failed);
                if peace {
                    count(&self.tally.unserved_in_peace);
                    self.complain(format!("{id} failed in peace: {status:?}"));
                }
            }
        }
    }

    /// Changes without end, through the operators' door.
    async fn moves(self: Rc<Self>) {
        let mut rng = Rng::with_seed(self.plan.seed ^ 0x5eed);
        while self.phase.get() < Phase::Settling {
            Timer::after(Duration::from_millis(rng.u64(20..120))).await;
            if self.phase.get() == Phase::Still {
                continue;
            }
            let Some((boss, shown)) = self.boss().await else { continue };
            self.note(&shown);
            let blocks = shown["blocks"].as_array().cloned().unwrap_or_default();
            let mut by_first: Vec<&Value> = blocks.iter().collect();
            by_first.sort_by_key(|block| block["first"].as_u64());
            if by_first.is_empty() {
                continue;
            }
            let n = rng.usize(..by_first.len());
            let block = by_first[n];
            let id = &block["block"];
            let store = |n: usize| format!("s-{n}");
            let holders: Vec<String> = block["stores"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|store| store.as_str().map(str::to_owned))
                .collect();
            let from = holders.get(rng.usize(..holders.len().max(1))).cloned().unwrap_or_default();
            let to = store(rng.usize(..SIZE.stores));
            let (first, end) = (block["first"].as_u64().unwrap_or(0), block["end"].as_u64().unwrap_or(0));
            let (path, body) = match rng.u32(..10) {
                0..=4 => ("move", serde_json::json!({ "block": id, "from": from, "to": to })),
                5 if holders.len() < 3 => ("move", serde_json::json!({ "block": id, "to": to })),
                6 if holders.len() > 2 => ("move", serde_json::json!({ "block": id, "from": from })),
                7 | 8 if by_first.len() < 24 && end > first + 2 => {
                    ("split", serde_json::json!({ "block": id, "at": rng.u64(first + 1..end) }))
                }
                _ => {
                    let with = by_first[(n + 1) % by_first.len()];
                    ("merge", serde_json::json!({ "block": id, "with": with["block"] }))
                }
            };
            let _ = put(self.doors[boss], &format!("/blocks/{path}"), &body.to_string()).await;
        }
    }

    fn note(&self, shown: &Value) {
        let changes = |key: &str| shown[key].as_array().cloned().unwrap_or_default();
        self.under_way.set(changes("changes").len());
        for past in changes("past").iter().filter(|past| past["step"] == "Done") {
            let (id, kind) =
                (past["change"].as_u64().unwrap_or(0), past["kind"].as_str().unwrap_or_default());
            self.done.borrow_mut().insert(id, kind.to_owned());
        }
    }

    /// One fault after the other.
    async fn faults(self: Rc<Self>) {
        let mut rng = Rng::with_seed(self.plan.seed ^ 0xfa17);
        while self.phase.get() < Phase::Settling {
            Timer::after(Duration::from_millis(rng.u64(100..500))).await;
            if self.phase.get() != Phase::Faults {
                continue;
            }
            let store = &self.world.stores[rng.usize(..SIZE.stores)];
            let long = Duration::from_millis(rng.u64(200..1500));
            match rng.u32(..10) {
                0..=3 => {
                    store.kill();
                    Timer::after(long).await;
                    self.start_again(store);
                }
                4 | 5 => store.set_fault(Fault::Stalled(Instant::now() + long)),
                6 => {
                    store.set_fault(Fault::Slow(6));
                    Timer::after(long).await;
                    store.set_fault(Fault::None);
                }
                7 => {
                    store.set_fault(Fault::Full);
                    Timer::after(long / 2).await;
                    // What could not be made to last is not believed by the store itself any more.
                    store.kill();
                    store.set_fault(Fault::None);
                    Timer::after(long / 2).await;
                    self.start_again(store);
                }
                8 => {
                    if let Some((boss, _)) = self.boss().await {
                        self.brokers.borrow_mut()[boss].kill();
                        Timer::after(long / 2).await;
                        let _ = self.brokers.borrow_mut()[boss].restart();
                    }
                }
                _ => {
                    // Asleep for longer than its lease, and then awake beside another.
                    if let Some((boss, _)) = self.boss().await {
                        self.brokers.borrow()[boss].signal(Signal::STOP);
                        Timer::after(Duration::from_millis(LEASE_MS + LEASE_MS / 2)).await;
                        self.brokers.borrow()[boss].signal(Signal::CONT);
                    }
                }
            }
        }
        for store in &self.world.stores {
            store.set_fault(Fault::None);
        }
    }

    fn start_again(&self, store: &Rc<Store>) {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        if let Err(fault) = store.restart(now.unwrap_or_default().as_millis() as u64) {
            self.complain(format!("{} did not start again: {fault}", store.name));
        }
        self.world.discovery.changed();
    }

    /// Waits until nothing is under way and every store has said what it holds.
    async fn settle(&self) -> Option<Value> {
        let end = Instant::now() + Duration::from_secs(20);
        let mut last = None;
        while Instant::now() < end {
            if let Some((_, shown)) = self.boss().await {
                self.note(&shown);
                let quiet = |key: &str| shown[key].as_array().is_some_and(Vec::is_empty);
                if quiet("changes") && quiet("unheard") {
                    return Some(shown);
                }
                last = Some(format!("changes {}, unheard {}", shown["changes"], shown["unheard"]));
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        self.complain(format!("did not settle: {last:?}"));
        for store in &self.world.stores {
            let answers = crate::store::answers(store.address).await;
            self.complain(format!(
                "{}: up {}, answers {answers}, {:?}",
                store.name,
                store.is_up(),
                store.fault()
            ));
        }
        None
    }

    async fn report(&self, settled: Option<Value>) -> (String, bool) {
        let tally = &self.tally;
        // The holders of each block as the map says.
        let blocks =
            settled.as_ref().and_then(|shown| shown["blocks"].as_array().cloned()).unwrap_or_default();
        let holders = |weigher: u64| {
            let block = blocks
                .iter()
                .find(|block| (block["first"].as_u64()..block["end"].as_u64()).contains(&Some(weigher)));
            block.and_then(|block| block["stores"].as_array().cloned()).unwrap_or_default()
        };
        let known: HashMap<&str, HashSet<String>> = self
            .world
            .stores
            .iter()
            .map(|store| {
                let keys = store.holdings().entries().iter().map(|entry| entry.key.clone()).collect();
                (store.name.as_str(), keys)
            })
            .collect();
        let mut lost = 0;
        for (key, weigher) in tally.stored.borrow().iter() {
            let has = |store: &Value| {
                known.get(store.as_str().unwrap_or_default()).is_some_and(|k| k.contains(key))
            };
            if !holders(*weigher).iter().any(has) {
                lost += 1;
                self.complain(format!("{key} of weigher {weigher} was acknowledged and no holder has it"));
            }
        }
        let twice = self.world.runs.borrow().values().filter(|runs| **runs > 1).count();
        let mut crashed = 0;
        for broker in self.brokers.borrow_mut().iter_mut() {
            crashed += usize::from(broker.has_ended());
        }
        let done = self.done.borrow();
        let count = |kinds: &[&str]| done.values().filter(|kind| kinds.contains(&kind.as_str())).count();
        let times = tally.times.borrow();
        let quantile = |phase, q| times.get(&phase).map_or(0.0, |t| t.value_at_quantile(q) as f64 / 1000.0);
        let (wrong, unheld) = (tally.wrong.get(), tally.unheld.get());
        for complaint in tally.complaints.borrow().iter() {
            eprintln!("{complaint}");
        }
        let line = format!(
            "queries={} answered={} refused={} failed={} wrong={wrong} lost={lost} unheld={unheld} twice={twice} \
             moves={} splits={} merges={} p50_ms={:.1} p99_ms={:.1} p99_still_ms={:.1} unserved_in_peace={} \
             settled={} crashed={crashed}",
            tally.queries.get(),
            tally.answered.get(),
            tally.refused.get(),
            tally.failed.get(),
            count(&["move", "add", "remove"]),
            count(&["split"]),
            count(&["merge"]),
            quantile(Phase::Moves, 0.5),
            quantile(Phase::Moves, 0.99),
            quantile(Phase::Still, 0.99),
            tally.unserved_in_peace.get(),
            settled.is_some(),
        );
        let kept = wrong == 0 && lost == 0 && unheld == 0 && twice == 0 && crashed == 0 && settled.is_some();
        (line, kept)
    }
}

/// Holds an answer against what the readings are: each value for the weighers that it names, and in a class of one step
/// all weighers of each block asked, in their order.
fn check(class: usize, parts: &[(u32, Option<u64>)], got: Option<&Got>) -> Result<(), String> {
    let json = got.map(Got::json).unwrap_or_default();
    if json["total"] != true {
        return Err(format!("not whole: {json}"));
    }
    let answers = json["answers"].as_array().cloned().unwrap_or_default();
    let mut spans: BTreeMap<u64, Vec<Span>> = BTreeMap::new();
    for answer in &answers {
        let (block, value) =
            (answer["range"].as_u64().unwrap_or(u64::MAX), answer["blob"].as_str().unwrap_or(""));
        if class == 2 {
            if value != "stored" {
                return Err(format!("block {block} says `{value}`"));
            }
            spans.entry(block).or_default();
            continue;
        }
        let named = value.split(' ').next().and_then(|span| span.split_once('-'));
        let span = named.and_then(|(first, end)| Some(Span::new(first.parse().ok()?, end.parse().ok()?)));
        let span = span.ok_or_else(|| format!("block {block} says `{value}`"))?;
        if value != data::expected(span) {
            return Err(format!("block {block} says `{value}`, expected `{}`", data::expected(span)));
        }
        spans.entry(block).or_default().push(span);
    }
    if class == 0 {
        return if answers.len() >= 2 { Ok(()) } else { Err(format!("{} values", answers.len())) };
    }
    for (block, _) in parts {
        let Some(found) = spans.get(&u64::from(*block)) else {
            return Err(format!("block {block} is missing"));
        };
        let whole = SIZE.span(u64::from(*block));
        let end = found.iter().try_fold(whole.first, |at, span| (span.first == at).then_some(span.end));
        if class == 1 && end != Some(whole.end) {
            return Err(format!("block {block} came as {found:?}, expected all of {whole}"));
        }
    }
    Ok(())
}
