//! A fleet of real processes on loopback, with faults between them: so many brokers, each the program itself, stores and
//! discovery, and a relay of the rig's own on every link. Brokers can be killed, stopped and woken, told to end, started again with
//! or without their disk, with a clock that is off and with points that fail; links be cut, slowed and shaken; stores and
//! discovery have faults of their own. What was done where is in the [`ledger`].
//!
//! One seed fixes what the rig does by chance. What the machine does beside it no seed fixes, so verdicts are promises that
//! hold in every order of events, and waits are for conditions, with a bound that no sound run reaches.

pub mod ledger;
pub mod load;
pub mod relay;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use rustix::process::Signal;
use serde_json::{json, Value};

use crate::broker::{own_address, Broker};
use crate::client;
use crate::discovery::{Discovery, View};
use crate::settings::{self, ZONES};
use crate::site::Site;
use crate::store::{Runs, Store};
use crate::witness::Witness;
use crate::world::Installed;
use ledger::{Ledger, Who};
use relay::{Fault, Pair, Relay};

/// No sound run waits so long for anything.
pub const BOUND: Duration = Duration::from_secs(60);
const AGAIN: Duration = Duration::from_millis(20);
/// Nor does any scenario last so long: one that hangs ends.
const GUARD: Duration = Duration::from_secs(150);

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Brokers.
    pub brokers: usize,
    /// Stores, each a cell of the ring.
    pub stores: usize,
    /// How long a part takes at a store.
    pub work: Duration,
    /// The operator's file of every broker.
    pub operator: String,
    /// What goes to the brokers' logs.
    pub level: &'static str,
    /// The seed of all that the rig does by chance.
    pub seed: u64,
    /// The program that the brokers are: this one, unless it is a test's.
    pub program: Option<PathBuf>,
    /// The site that it is, with as many stores; without one, the small installation of [`settings`].
    pub site: Option<Site>,
}

impl Plan {
    /// A fleet of so many, with nothing in the operator's file.
    pub fn of(brokers: usize, stores: usize, seed: u64) -> Self {
        let (work, operator) = (Duration::from_millis(4), String::new());
        Self { brokers, stores, work, operator, level: "info", seed, program: None, site: None }
    }

    /// So many brokers at a site.
    pub fn at(site: Site, brokers: usize, seed: u64) -> Self {
        Self { site: Some(site.clone()), ..Self::of(brokers, site.stores.count, seed) }
    }
}

/// Lets so many milliseconds pass.
pub fn pause(ms: u64) -> Timer {
    Timer::after(Duration::from_millis(ms))
}

/// The fleet.
pub struct Fleet {
    /// What was done.
    pub ledger: Rc<Ledger>,
    /// Its stores.
    pub stores: Vec<Rc<Store>>,
    /// Its discovery.
    pub discovery: Rc<Discovery>,
    /// The witness, where it is a site.
    pub witness: Option<Rc<Witness>>,
    /// What it was made of.
    pub plan: Plan,
    executor: Rc<LocalExecutor<'static>>,
    brokers: RefCell<Vec<Broker>>,
    /// By broker: where clients and operators connect, and the links to stores and discovery.
    doors: Vec<(SocketAddr, SocketAddr)>,
    to_stores: Vec<Vec<Rc<Relay>>>,
    to_discovery: Vec<Rc<Relay>>,
    /// By the lower and the higher number.
    between: BTreeMap<(Who, Who), Pair>,
    /// How often each broker has been disturbed so that it may owe an answer, and whether it is now.
    disturbed: Vec<Cell<u32>>,
    away: Vec<Cell<bool>>,
    _dir: tempfile::TempDir,
}

/// So many addresses that are free now and stay so, no two alike; for each a port of TCP and one of UDP.
fn addresses(count: usize) -> io::Result<Vec<(SocketAddr, SocketAddr)>> {
    let own = own_address();
    // Held together, so that no two are the same.
    let tcp: Vec<_> = (0..count).map(|_| TcpListener::bind((own, 0))).collect::<io::Result<_>>()?;
    let udp: Vec<_> = (0..count).map(|_| UdpSocket::bind((own, 0))).collect::<io::Result<_>>()?;
    tcp.iter().zip(&udp).map(|(tcp, udp)| Ok((tcp.local_addr()?, udp.local_addr()?))).collect()
}

impl Fleet {
    /// Starts it, and waits until every broker can serve.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>, plan: Plan) -> io::Result<Rc<Self>> {
        let (dir, ledger, runs) = (tempfile::tempdir()?, Rc::new(Ledger::default()), Runs::default());
        let installed =
            plan.site.clone().map(|site| Installed::start(executor, site, &ledger)).transpose()?;
        let (discovery, mut stores) = match &installed {
            Some(site) => (site.discovery.clone(), site.stores.clone()),
            None => (Discovery::start(executor)?, Vec::new()),
        };
        for n in stores.len()..plan.stores {
            let store = Store::start(executor, &format!("s-{n}"), &[], plan.work, &runs)?;
            discovery.list(&store, ZONES[n % ZONES.len()]);
            stores.push(store);
        }
        let (mut to_stores, mut to_discovery) = (Vec::new(), Vec::new());
        for who in 0..plan.brokers {
            let mut relays = Vec::new();
            for (n, store) in stores.iter().enumerate() {
                let door = store.door(&ledger, who, n)?;
                relays.push(Relay::start(executor, &ledger, who, Some(n), door)?);
            }
            let through = relays.iter().map(|relay| relay.address).collect();
            let view = View { through, noted: Some((ledger.clone(), who)) };
            let door = match &installed {
                Some(site) => site.door(executor, view)?,
                None => discovery.door(executor, view)?,
            };
            to_discovery.push(Relay::start(executor, &ledger, who, None, door)?);
            to_stores.push(relays);
        }
        let free = addresses(2 * plan.brokers)?;
        let doors: Vec<_> = (0..plan.brokers).map(|n| (free[2 * n].0, free[2 * n + 1].0)).collect();
        let peers: Vec<SocketAddr> = (0..plan.brokers).map(|n| free[2 * n].1).collect();
        let mut between = BTreeMap::new();
        for high in 0..plan.brokers {
            for low in 0..high {
                let seed = plan.seed ^ ((low as u64) << 32 | (high as u64) << 16);
                let pair = Pair::start(executor, &ledger, [low, high], [peers[low], peers[high]], seed)?;
                between.insert((low, high), pair);
            }
        }
        let mut brokers = Vec::new();
        for who in 0..plan.brokers {
            let mut settings = settings::settings(plan.brokers, plan.stores, plan.stores);
            settings["index"] = json!(who);
            if let Some(site) = &plan.site {
                settings = site.settings(plan.brokers, who);
            }
            let name = format!("n{who}");
            let (platform, admin) = doors[who];
            let mut config = settings::config(&name, to_discovery[who].address, platform, admin, settings);
            config["seed"] = json!(format!("{:x}", plan.seed.wrapping_mul(0x9E37_79B9) ^ who as u64));
            config["peer_listen"] = json!(peers[who].to_string());
            let sees = |other: Who| match between.get(&(who.min(other), who.max(other))) {
                Some(pair) => pair.seen[usize::from(who > other)],
                None => peers[who],
            };
            config["peers"] = (0..plan.brokers).map(|n| sees(n).to_string()).collect();
            let program = plan.program.clone().map_or_else(std::env::current_exe, Ok)?;
            let (at, operator) = (doors[who], &plan.operator);
            brokers.push(Broker::start(program, dir.path(), &name, at, &config, operator, plan.level)?);
        }
        let fleet = Rc::new(Self {
            ledger,
            stores,
            discovery,
            witness: installed.map(|site| site.witness),
            executor: executor.clone(),
            brokers: RefCell::new(brokers),
            doors,
            to_stores,
            to_discovery,
            between,
            disturbed: (0..plan.brokers).map(|_| Cell::default()).collect(),
            away: (0..plan.brokers).map(|_| Cell::default()).collect(),
            plan,
            _dir: dir,
        });
        fleet.serves(0..fleet.plan.brokers).await?;
        Ok(fleet)
    }

    /// Waits until these brokers can serve.
    pub async fn serves(&self, which: impl IntoIterator<Item = Who>) -> io::Result<()> {
        for who in which {
            let end = Instant::now() + BOUND;
            while client::get(self.doors[who].1, "/ready").await.is_none_or(|got| got.status != 200) {
                let ended = self.brokers.borrow_mut()[who].has_ended();
                if Instant::now() > end || ended {
                    return Err(io::Error::other(format!("broker {who} does not serve:\n{}", self.log(who))));
                }
                Timer::after(AGAIN).await;
            }
        }
        Ok(())
    }

    /// Waits until something holds; false if it does not within [`BOUND`].
    pub async fn until<F: Future<Output = bool>>(&self, holds: impl Fn() -> F) -> bool {
        let end = Instant::now() + BOUND;
        while !holds().await {
            if Instant::now() > end {
                return false;
            }
            Timer::after(AGAIN).await;
        }
        true
    }

    /// What a broker says at a path of its operators' door.
    pub async fn shown(&self, who: Who, path: &str) -> Option<Value> {
        let got = client::get(self.doors[who].1, path).await?;
        (got.status == 200).then(|| got.json())
    }

    /// Sends a query's text to a broker.
    pub async fn ask(&self, who: Who, text: &[u8]) -> Option<client::Got> {
        client::exchange(self.doors[who].0, text).await
    }

    /// The log of a broker so far, over all its starts.
    pub fn log(&self, who: Who) -> String {
        self.brokers.borrow()[who].log()
    }

    fn disturb(&self, who: Who, away: bool) {
        self.disturbed[who].set(self.disturbed[who].get() + 1);
        self.away[who].set(away);
    }

    /// How often a broker has been disturbed; nothing while it is away.
    pub fn undisturbed(&self, who: Who) -> Option<u32> {
        (!self.away[who].get()).then(|| self.disturbed[who].get())
    }

    /// Ends a broker at once.
    pub fn kill(&self, who: Who) {
        self.disturb(who, true);
        self.brokers.borrow_mut()[who].kill();
    }

    /// Starts one again that was killed or has ended; without its disk, if it is to forget.
    pub fn restart(&self, who: Who, forgets: bool) -> io::Result<()> {
        let broker = &mut self.brokers.borrow_mut()[who];
        broker.kill();
        if forgets {
            broker.forget_disk()?;
        }
        broker.restart()?;
        self.disturb(who, false);
        Ok(())
    }

    /// Stops a broker in its tracks.
    pub fn stop(&self, who: Who) {
        self.disturb(who, true);
        self.brokers.borrow()[who].signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn wake(&self, who: Who) {
        self.brokers.borrow()[who].signal(Signal::CONT);
        self.disturb(who, false);
    }

    /// Tells it to end; whether it does, with all that it had taken finished.
    pub async fn end(&self, who: Who) -> bool {
        self.brokers.borrow()[who].signal(Signal::TERM);
        let ended = client::until(BOUND, || self.brokers.borrow_mut()[who].has_ended()).await;
        self.disturb(who, true);
        ended
    }

    /// Sets a broker's faults, and waits until it has taken them; the clock's hold from its next start on.
    pub async fn faults(&self, who: Who, faults: &str) -> io::Result<bool> {
        self.brokers.borrow_mut()[who].set_faults(faults)?;
        if self.away[who].get() {
            return Ok(true);
        }
        Ok(client::until(BOUND, || self.brokers.borrow()[who].has_taken_faults()).await)
    }

    /// Gives the way from one broker to another a fault, or ends it.
    pub fn between(&self, from: Who, to: Who, fault: Fault) {
        if let Some(pair) = self.between.get(&(from.min(to), from.max(to))) {
            pair.ways[usize::from(from > to)].set(fault);
        }
    }

    /// The same for every way from some brokers to others.
    pub fn between_all(&self, from: &[Who], to: &[Who], fault: Fault) {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.between(a, b, fault);
        }
    }

    /// Cuts some brokers from others, both ways.
    pub fn cut(&self, some: &[Who], others: &[Who]) {
        let cut = Fault { cut: true, ..Fault::default() };
        self.between_all(some, others, cut);
        self.between_all(others, some, cut);
    }

    /// Ends every fault between brokers.
    pub fn heal(&self) {
        self.between.values().flat_map(|pair| &pair.ways).for_each(|way| way.set(Fault::default()));
    }

    /// The link of a broker to a store.
    pub fn to_store(&self, who: Who, store: usize) -> &Relay {
        &self.to_stores[who][store]
    }

    /// The link of a broker to discovery.
    pub fn to_discovery(&self, who: Who) -> &Relay {
        &self.to_discovery[who]
    }
}

/// Runs a scenario on this thread. A panic in it says the seed.
pub fn run<F: Future<Output = ()>>(plan: Plan, scenario: impl FnOnce(Rc<Fleet>) -> F) {
    struct Seed(u64);
    impl Drop for Seed {
        fn drop(&mut self) {
            if std::thread::panicking() {
                eprintln!("the fleet's seed was {}", self.0);
            }
        }
    }
    let _seed = Seed(plan.seed);
    let executor = Rc::new(LocalExecutor::new());
    let guard = async {
        Timer::after(GUARD).await;
        panic!("the scenario hangs");
    };
    let play = async {
        match Fleet::start(&executor, plan).await {
            Ok(fleet) => scenario(fleet).await,
            Err(fault) => panic!("the fleet does not start: {fault}"),
        }
    };
    async_io::block_on(executor.run(futures_lite::future::or(play, guard)));
}
