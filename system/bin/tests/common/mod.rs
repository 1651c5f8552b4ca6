//! A whole system on loopback with stand-in stores, for tests with several processes.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use gingerledge_system_standin::{
    call, configuration, Answer, Fleet, Operator, Step, Store, StoreSettings, Trainer,
};
use hyper::Method;

/// A bound that only a fault reaches.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// The pause before a condition is looked at again.
const PAUSE: Duration = Duration::from_millis(50);

/// The programs, stores, an operator and a trainer.
pub struct World {
    pub fleet: Fleet,
    pub stores: Vec<Store>,
    pub operator: Operator,
    pub trainer: Trainer,
    folder: PathBuf,
}

impl World {
    /// Starts everything and sends the first configuration. `network` keeps the addresses of tests apart.
    pub async fn start(network: u8) -> World {
        let programs =
            Path::new(env!("CARGO_BIN_EXE_gingerledge-edge")).parent().expect("folder of the programs");
        let folder = std::env::temp_dir().join(format!("gingerledge-{}-{network}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("folder for disks and logs");
        let mut fleet = Fleet::new(programs, &folder, network, (3, 3, 2)).expect("fleet");
        fleet.start_all().expect("processes");
        let mut stores = Vec::new();
        for index in 0..5 {
            stores.push(Store::start(store(network, index), fleet.control()).await.expect("store"));
        }
        let operator = Operator::new(fleet.control());
        let trainer = Trainer::new(fleet.edges());
        let world = World { fleet, stores, operator, trainer, folder };
        let taken = world.operator.replace(0, &configuration(1, &["m0"]), PATIENCE).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{}", world.logs());
        for edge in world.fleet.readiness() {
            world.until("edge ready", || get(edge, "/readiness", 200)).await;
        }
        for edge in world.fleet.edges() {
            world.until("look-up served", || look_up(edge)).await;
        }
        world
    }

    /// Waits for a condition.
    pub async fn until<F: std::future::Future<Output = bool>>(
        &self,
        what: &str,
        mut holds: impl FnMut() -> F,
    ) {
        let began = Instant::now();
        while !holds().await {
            assert!(began.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}\n{}", self.logs());
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// What all processes have logged.
    pub fn logs(&self) -> String {
        let nodes = self.fleet.nodes().iter();
        nodes.map(|node| format!("== {}\n{}", node.name, self.fleet.log(&node.name))).collect()
    }

    /// How often an id has run, over all stores.
    pub fn runs(&self, id: &str) -> u32 {
        self.stores.iter().map(|store| store.ledger().runs.get(id).copied().unwrap_or(0)).sum()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // The folder is in the way of nobody if it can't be removed.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A step of four groups of four, all of which are waited for.
pub fn step(number: u64, min_version: u64) -> Step {
    let id = format!("{:016x}", 0xbeef_0000 + number);
    Step { id, step: number, model: "m0".to_owned(), min_version, groups: 4, size: 4, desired: 4 }
}

async fn get(to: SocketAddr, path: &str, status: u16) -> bool {
    let answer = call(to, Method::GET, path, &[], Vec::new(), Duration::from_secs(1)).await;
    answer.is_ok_and(|answer| answer.status == status)
}

/// A look-up with an id of its own; whether it was served by a store.
pub async fn look_up(edge: SocketAddr) -> bool {
    ask(edge, "/weights/hive-7").await.is_some_and(|answer| answer.headers.contains_key("server-signature"))
}

/// A look-up at a path.
pub async fn ask(edge: SocketAddr, path: &str) -> Option<Answer> {
    let id = format!("{:016x}", fastrand::u64(..));
    let headers = [("Host", "hives.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "2000")];
    call(edge, Method::POST, path, &headers, b"query".to_vec(), Duration::from_secs(3)).await.ok()
}

fn store(network: u8, index: usize) -> StoreSettings {
    let engine = index < 3;
    StoreSettings {
        id: format!("i-{index}"),
        service: if engine { "forage-model" } else { "colony-ledger" }.to_owned(),
        zone: format!("zone-{}", index % 3),
        listen: ([127, network, 3, index as u8 + 1], 0).into(),
        models: if engine { vec!["m0".to_owned()] } else { Vec::new() },
        events: 8,
        pause: Duration::from_millis(5),
        heartbeat: Duration::from_millis(300),
    }
}
