//! A cluster of all programs on loopback, with simulated stores, for tests with several processes.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use gingerledge_system_testkit::{
    call, configuration, Answer, Fleet, Operator, Step, Store, StoreSettings, Trainer,
};
use hyper::Method;

/// Bounds every wait in these tests; only a fault reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// How many of the stores make texts; the others answer look-ups.
const ENGINES: u8 = 3;
const STORES: u8 = 5;
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a test on one thread.
pub fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(test);
}

/// The processes, simulated stores, an operator and a trainer.
pub struct Cluster {
    pub fleet: Fleet,
    pub stores: Vec<Store>,
    pub operator: Operator,
    pub trainer: Trainer,
    folder: PathBuf,
}

impl Cluster {
    /// Starts everything and sends the first configuration. `network` is part of the addresses, and differs between tests.
    pub async fn start(network: u8) -> Cluster {
        let programs =
            Path::new(env!("CARGO_BIN_EXE_gingerledge-edge")).parent().expect("folder of the programs");
        let folder = std::env::temp_dir().join(format!("gingerledge-{}-{network}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("folder for disks and logs");
        let mut fleet = Fleet::new(programs, &folder, network, (3, 3, 2)).expect("fleet");
        fleet.start_all().expect("processes");
        let mut stores = Vec::new();
        for number in 0..STORES {
            stores.push(Store::start(store(network, number), fleet.control()).await.expect("store"));
        }
        let operator = Operator::new(fleet.control());
        let trainer = Trainer::new(fleet.edges());
        let cluster = Cluster { fleet, stores, operator, trainer, folder };
        let taken = cluster.operator.replace(0, &configuration(1, &["m0"]), TEST_TIMEOUT).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{}", cluster.logs());
        for edge in cluster.fleet.readiness() {
            cluster.wait_until("edge ready", || has_status(edge, "/readiness", 200)).await;
        }
        for edge in cluster.fleet.edges() {
            cluster.wait_until("request served", || is_lookup_served(edge)).await;
        }
        cluster
    }

    /// Waits until a condition holds.
    pub async fn wait_until<F: std::future::Future<Output = bool>>(
        &self,
        what: &str,
        mut holds: impl FnMut() -> F,
    ) {
        let began = Instant::now();
        while !holds().await {
            assert!(began.elapsed() < TEST_TIMEOUT, "{what}: not within {TEST_TIMEOUT:?}\n{}", self.logs());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// The logs of all processes.
    pub fn logs(&self) -> String {
        let nodes = self.fleet.nodes().iter();
        nodes.map(|node| format!("== {}\n{}", node.name, self.fleet.log(&node.name))).collect()
    }

    /// How often an item has run, over all stores.
    pub fn runs(&self, id: &str) -> u32 {
        self.stores.iter().map(|store| store.ledger().runs.get(id).copied().unwrap_or(0)).sum()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A temporary directory that can't be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A batch job of four groups with four items each, all of which are required.
pub fn step(number: u64, min_version: u64) -> Step {
    let id = format!("{:016x}", 0xbeef_0000 + number);
    Step { id, step: number, model: "m0".to_owned(), min_version, groups: 4, size: 4, desired: 4 }
}

async fn has_status(to: SocketAddr, path: &str, status: u16) -> bool {
    let response = call(to, Method::GET, path, &[], Vec::new(), Duration::from_secs(1)).await;
    response.is_ok_and(|response| response.status == status)
}

/// Sends a request with a new id; returns whether a store served it.
pub async fn is_lookup_served(edge: SocketAddr) -> bool {
    post(edge, "/weights/hive-7")
        .await
        .is_some_and(|response| response.headers.contains_key("server-signature"))
}

/// Sends a request to a path, with a new id.
pub async fn post(edge: SocketAddr, path: &str) -> Option<Answer> {
    let id = format!("{:016x}", fastrand::u64(..));
    let headers = [("Host", "hives.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "2000")];
    call(edge, Method::POST, path, &headers, b"query".to_vec(), Duration::from_secs(3)).await.ok()
}

fn store(network: u8, number: u8) -> StoreSettings {
    let models: &[&str] = if number < ENGINES { &["m0"] } else { &[] };
    StoreSettings::numbered(network, number, models)
}
