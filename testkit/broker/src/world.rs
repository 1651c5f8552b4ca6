//! A small installation on loopback: discovery, stores with data, and who holds what at the beginning.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use gingerledge::clock::Clock;
use gingerledge::config::Config;
use gingerledge::service::Broker;
use gingerledge_blocks::Span;
use serde_json::Value;

use crate::agent::Agent;
use crate::client;
use crate::discovery::{Discovery, View};
use crate::fleet::ledger::Ledger;
use crate::settings::{self, ZONES};
use crate::site::{Mode, Site};
use crate::store::{Runs, Store};
use crate::strict::Strict;
use crate::witness::Witness;

/// How large it is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Stores.
    pub stores: usize,
    /// Stores that hold blocks at the beginning.
    pub used: usize,
    /// Blocks.
    pub blocks: u64,
    /// Weighers, over all blocks.
    pub weighers: u64,
    /// How long a part takes.
    pub work: Duration,
}

/// The installation without its brokers.
pub struct World {
    /// How large it is.
    pub size: Size,
    /// Its stores.
    pub stores: Vec<Rc<Store>>,
    /// Its discovery.
    pub discovery: Rc<Discovery>,
    /// How often each entry ran.
    pub runs: Runs,
}

impl World {
    /// Starts stores and discovery.
    pub fn start(executor: &Rc<LocalExecutor<'static>>, size: Size) -> std::io::Result<Self> {
        let runs: Runs = Rc::new(RefCell::default());
        let discovery = Discovery::start(executor)?;
        let mut stores = Vec::new();
        for n in 0..size.stores {
            let held: Vec<Span> = (0..size.blocks)
                .filter(|block| {
                    [*block, block + 1].iter().any(|m| n < size.used && *m as usize % size.used == n)
                })
                .map(|block| size.span(block))
                .collect();
            let store = Store::start(executor, &format!("s-{n}"), &held, size.work, &runs)?;
            discovery.list(&store, ZONES[n % ZONES.len()]);
            stores.push(store);
        }
        Ok(Self { size, stores, discovery, runs })
    }

    /// The operator's file: the feature front, and blocks with more settings of theirs.
    pub fn operator(&self, blocks: &str) -> String {
        format!(
            "listen = \"127.0.0.1:0\"\ntitle = \"Hive weights\"\nlink_key = \"for this world only, no secret\"\n\
             limit_max = 1000\ndefault_club = \"west-shore-club\"\n[[collection]]\nid = \"weighers\"\n\
             title = \"Weighers\"\nclass = \"yard-compare\"\n[blocks]\n{blocks}\n{}",
            settings::found(self.size.blocks, self.size.weighers, self.size.stores, self.size.used)
        )
    }

    /// Starts a broker on this thread, with its state in a folder, and waits until it serves a query.
    pub async fn broker(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
        name: &str,
        dir: &Path,
        operator: &str,
    ) -> Result<Broker, Box<dyn std::error::Error>> {
        let any = ([127, 0, 0, 1], 0).into();
        let settings = settings::settings(1, self.size.stores, self.size.blocks as usize);
        let config = settings::config(name, self.discovery.address, any, any, settings);
        let broker = in_process(executor, dir, config, Some(operator))?;
        let probe =
            client::query(&format!("probe-{name}"), settings::CLASSES[1], 2000, &[(0, None)], "hello");
        serves(broker, &probe).await
    }

    /// Whether some store lets reads of a weigher in, though it may be away just then.
    pub fn held(&self, weigher: u64) -> bool {
        use gingerledge_blocks::Mode::{Fenced, Open, Reading};
        self.stores.iter().any(|store| {
            let reads = |mode| matches!(mode, Open | Fenced | Reading);
            store.holdings().blocks().any(|(_, held)| held.span.contains(weigher) && reads(held.mode))
        })
    }
}

impl Size {
    /// The weighers of a block at the beginning.
    pub fn span(&self, block: u64) -> Span {
        let size = self.weighers / self.blocks;
        Span::new(block * size, block * size + size)
    }
}

/// Starts a broker on this thread.
fn in_process(
    executor: &Rc<LocalExecutor<'static>>,
    dir: &Path,
    config: Value,
    operator: Option<&str>,
) -> Result<Broker, Box<dyn std::error::Error>> {
    let home = dir.display().to_string();
    let var = |key: &str| match key {
        "LB_CONFIG" => Some("config".to_owned()),
        "LB_OPERATOR" => operator.map(|_| "operator".to_owned()),
        "TMPDIR" => Some(home.clone()),
        _ => std::env::var(key).ok().filter(|_| key == "LB_LOG"),
    };
    let read = |path: &str| match operator.filter(|_| path != "config") {
        Some(operator) => Ok(operator.to_owned()),
        None => Ok(config.to_string()),
    };
    let (config, clock) = (Config::read(var, read)?, Clock::new());
    gingerledge::logger::start(&config.name, config.log, clock);
    Ok(Broker::start(config, clock, executor.clone())?)
}

/// Waits until a broker answers this with 200.
async fn serves(broker: Broker, probe: &[u8]) -> Result<Broker, Box<dyn std::error::Error>> {
    let end = std::time::Instant::now() + Duration::from_secs(20);
    while client::exchange(broker.platform, probe).await.is_none_or(|got| got.status != 200) {
        if std::time::Instant::now() > end {
            return Err("the broker does not serve".into());
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    Ok(broker)
}

/// A site's stores and discovery, without its brokers.
pub struct Installed {
    /// The witness.
    pub witness: Rc<Witness>,
    /// Its stores.
    pub stores: Vec<Rc<Store>>,
    /// Its discovery; where lists are pushed, what the agents are sent from.
    pub discovery: Rc<Discovery>,
}

impl Installed {
    /// Starts them.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        site: Site,
        ledger: &Rc<Ledger>,
    ) -> std::io::Result<Self> {
        let (discovery, witness) = (Discovery::start(executor)?, Witness::new(site, ledger));
        let (site, mut stores) = (&witness.site, Vec::new());
        for n in 0..site.stores.count {
            let store = Store::start(executor, &format!("s-{n}"), &[], Duration::ZERO, &Runs::default())?;
            store.put(Strict::new(&witness, n));
            discovery.list_in(&store, &site.zones[site.zone(n)], site.cell(n));
            stores.push(store);
        }
        Ok(Self { witness, stores, discovery })
    }

    /// Where a broker with this view finds the list: at the service, or at an agent of its own.
    pub fn door(&self, executor: &Rc<LocalExecutor<'static>>, view: View) -> std::io::Result<SocketAddr> {
        match self.witness.site.discovery {
            Mode::Asked => self.discovery.door(executor, view),
            Mode::Pushed => Ok(Agent::start(executor, &self.discovery, view)?.address),
        }
    }

    /// Starts a broker on this thread, and waits until it has its list.
    pub async fn broker(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
        dir: &Path,
    ) -> Result<Broker, Box<dyn std::error::Error>> {
        let door = self.door(executor, View::default())?;
        let any = ([127, 0, 0, 1], 0).into();
        let config = settings::config("world", door, any, any, self.witness.site.settings(1, 0));
        let broker = in_process(executor, dir, config, None)?;
        serves(broker, b"GET /ready HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n").await
    }
}

/// Runs a scenario on this thread at the site that a text describes, without brokers.
pub fn at<F: Future<Output = ()>>(text: &str, play: impl FnOnce(Rc<LocalExecutor<'static>>, Installed) -> F) {
    let (executor, ledger) = (Rc::new(LocalExecutor::new()), Rc::new(Ledger::default()));
    async_io::block_on(executor.run(async {
        let site = Site::parse(text).map(|site| Installed::start(&executor, site, &ledger));
        match site {
            Ok(Ok(site)) => play(executor.clone(), site).await,
            Ok(Err(fault)) => panic!("the site does not start: {fault}"),
            Err(fault) => panic!("no site: {fault}"),
        }
    }));
}
