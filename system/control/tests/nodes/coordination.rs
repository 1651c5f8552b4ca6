//! The coordinator at work: partitions over backends that report, the emptying of one, and weights at stand-in stores.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::{run, Call, Cluster};
use gingerledge_system_testkit::{Store, StoreSettings};
use gingerledge_transport::{Network, NetworkSettings};
use gingerledge_wire::{BackendReport, ControlMessage, Envelope, NodeRecord, Role};
use serde_json::Value;
use tokio::task::JoinHandle;

/// Time between the heartbeats of a stand-in backend.
const INTERVAL: Duration = Duration::from_millis(200);
const FIRST_BACKEND: u8 = 100;

/// A backend that only reports. It says of every partition asked of it that it is full.
struct Backend {
    member: u64,
    in_sync: Arc<Mutex<Vec<(u16, u64)>>>,
    task: JoinHandle<()>,
}

impl Backend {
    async fn start(cluster: &Cluster, number: u8) -> Self {
        let address = cluster.other_internal_address(FIRST_BACKEND + number);
        let member = u64::from(number) + 1;
        let in_sync: Arc<Mutex<Vec<(u16, u64)>>> = Arc::default();
        let node = NodeRecord {
            role: Role::Backend,
            name: format!("backend-{number}"),
            incarnation: member * 1_000,
            member,
            address,
            zone: format!("zone-{number}"),
        };
        let task =
            tokio::task::spawn_local(report(address, node, cluster.internal_addresses(), in_sync.clone()));
        Self { member, in_sync, task }
    }

    fn name(&self) -> String {
        format!("{:x}", self.member)
    }

    /// Says of all partitions in the status that it holds everything.
    fn fill(&self, status: &Value) {
        let chains = partitions(status).into_iter().filter(|(_, _, chain, _)| chain.contains(&self.name()));
        *self.in_sync.lock().expect("in sync") =
            chains.map(|(partition, epoch, _, _)| (partition, epoch)).collect();
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn report(
    address: SocketAddr,
    node: NodeRecord,
    control: Vec<SocketAddr>,
    in_sync: Arc<Mutex<Vec<(u16, u64)>>>,
) {
    let (network, _inbox) = Network::<Envelope>::bind(NetworkSettings::new(address)).await.expect("network");
    let mut ticks = tokio::time::interval(INTERVAL);
    for sequence in 1.. {
        ticks.tick().await;
        let report =
            BackendReport { in_sync: in_sync.lock().expect("in sync").clone(), ..BackendReport::default() };
        for to in &control {
            let heartbeat =
                ControlMessage::Heartbeat { node: node.clone(), sequence, report: Some(report.clone()) };
            let _ = network.send(*to, &Envelope::Control(heartbeat));
        }
    }
}

/// Partition, epoch, chain, and how many of it are full.
fn partitions(status: &Value) -> Vec<(u16, u64, Vec<String>, usize)> {
    let read = |entry: &Value| {
        let chain =
            entry["chain"].as_array()?.iter().filter_map(|name| Some(name.as_str()?.to_owned())).collect();
        let partition = u16::try_from(entry["partition"].as_u64()?).ok()?;
        Some((partition, entry["epoch"].as_u64()?, chain, usize::try_from(entry["full"].as_u64()?).ok()?))
    };
    status["partitions"].as_array().map(|all| all.iter().filter_map(read).collect()).unwrap_or_default()
}

fn all_founded(status: &Value) -> bool {
    partitions(status).len() == usize::from(gingerledge_wire::PARTITION_COUNT)
}

async fn backends(cluster: &Cluster, count: u8) -> Vec<Backend> {
    let mut backends = Vec::new();
    for number in 0..count {
        backends.push(Backend::start(cluster, number).await);
    }
    backends
}

#[test]
fn partitions_are_spread_over_all_backends_and_leave_one_whose_reports_time_out() {
    run(async {
        let cluster = Cluster::start(21);
        let mut all = backends(&cluster, 3).await;
        let status = cluster.status_until(0, all_founded).await;
        for backend in &all {
            let chains =
                partitions(&status).into_iter().filter(|(_, _, chain, _)| chain.contains(&backend.name()));
            assert!(chains.count() > 30, "{} has its share", backend.name());
        }
        let lost = all.pop().expect("a backend").name();
        let left = |status: &Value| {
            partitions(status).iter().all(|(_, _, chain, _)| chain.len() == 2 && !chain.contains(&lost))
        };
        let status = cluster.status_until(1, left).await;
        assert!(partitions(&status).iter().any(|(_, epoch, _, full)| (*epoch, *full) == (2, 1)));
        all.iter().for_each(|backend| backend.fill(&status));
        cluster.status_until(2, |status| partitions(status).iter().all(|(_, _, _, full)| *full == 2)).await;
    });
}

#[test]
fn a_backend_is_retired_only_once_the_others_are_in_sync() {
    run(async {
        let cluster = Cluster::start(22);
        let all = backends(&cluster, 3).await;
        cluster.status_until(0, all_founded).await;
        let begin = Call::post("/retire/backend-0/begin", "", "{\"deadlineS\":10}");
        cluster.until(0, &begin, 200).await;
        cluster.until(1, &begin, 200).await;
        let joined = |status: &Value| {
            partitions(status)
                .iter()
                .filter(|(_, _, chain, _)| chain.contains(&all[0].name()))
                .all(|(_, epoch, chain, _)| *epoch == 2 && chain.len() == 3)
        };
        let status = cluster.status_until(0, joined).await;
        let read = Call::get("/retire/backend-0/read");
        assert_eq!(cluster.until(2, &read, 200).await.body(), r#"{"state":"active"}"#);
        all.iter().for_each(|backend| backend.fill(&status));
        let empty = |status: &Value| {
            partitions(status)
                .iter()
                .all(|(_, _, chain, _)| chain.len() == 2 && !chain.contains(&all[0].name()))
        };
        cluster.status_until(1, empty).await;
        while cluster.until(2, &read, 200).await.body() != r#"{"state":"completed"}"# {}
        let second = Call::post("/retire/backend-1/begin", "", "{\"deadlineS\":10}");
        cluster.until(0, &second, 409).await;
    });
}

#[test]
fn the_state_of_a_retirement_is_read_by_the_operator() {
    run(async {
        let cluster = Cluster::start(24);
        let all = backends(&cluster, 3).await;
        cluster.status_until(0, all_founded).await;
        let begin = Call::post("/retire/backend-0/begin", "", "{\"deadlineS\":10}");
        let read = Call::get("/retire/backend-0/read");
        let transcript = crate::common::transcript();
        cluster.until(0, &begin, 200).await;
        cluster.call(1, &begin, Some(&transcript)).await;
        let joined = |status: &Value| {
            partitions(status)
                .iter()
                .filter(|(_, _, chain, _)| chain.contains(&all[0].name()))
                .all(|(_, epoch, chain, _)| *epoch == 2 && chain.len() == 3)
        };
        let status = cluster.status_until(0, joined).await;
        cluster.call(2, &read, Some(&transcript)).await;
        all.iter().for_each(|backend| backend.fill(&status));
        while cluster.until(2, &read, 200).await.body() != r#"{"state":"completed"}"# {}
        cluster.call(2, &read, Some(&transcript)).await;
        cluster.call(0, &begin, Some(&transcript)).await;
        let second = Call::post("/retire/backend-1/begin", "", "{\"deadlineS\":10}");
        cluster.until(0, &second, 409).await;
        cluster.call(0, &second, Some(&transcript)).await;
        transcript.check("retire");
    });
}

fn engine() -> String {
    r#"{"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/g/","routeKind":"deployment","service":"s","singleVersion":true}],
        "services":[{"name":"s","healthPath":"/healthz","engine":{"slots":4,"models":[{"name":"a"},{"name":"b"}]}}]}"#
        .to_owned()
}

async fn store(cluster: &Cluster, number: u8) -> Store {
    let settings = StoreSettings {
        id: format!("i-{number}"),
        service: "s".to_owned(),
        zone: format!("zone-{number}"),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        models: vec!["a".to_owned(), "b".to_owned()],
        events: 1,
        pause: Duration::from_millis(1),
        work: Duration::ZERO,
        heartbeat: Duration::from_millis(300),
    };
    Store::start(settings, (0..3).map(|node| cluster.address(node)).collect()).await.expect("a store")
}

/// Stores of the engine.
const STORES: usize = 4;

/// How many stores have a version of a model in a node's status.
fn loaded(status: &Value, model: &str, version: u64) -> usize {
    let stores = status["stores"].as_array().cloned().unwrap_or_default();
    stores.iter().filter(|store| store["versions"][model] == version).count()
}

#[test]
fn a_named_version_is_loaded_at_all_stores_by_one_coordinator_under_rising_tokens() {
    run(async {
        let mut cluster = Cluster::start(23);
        let mut stores = Vec::new();
        for number in 0..STORES as u8 {
            stores.push(store(&cluster, number).await);
        }
        cluster.until(0, &Call::post("/configuration/replace", "Base-Version: 0\r\n", &engine()), 200).await;
        cluster.until(1, &Call::post("/version-put", "", r#"{"model":"a","version":2}"#), 200).await;
        let status = cluster.status_until(2, |status| loaded(status, "a", 2) == STORES).await;
        assert_eq!(loaded(&status, "b", 1), STORES, "the other model stays");
        // The coordinator goes, and another one takes over after the time that holders keep apart.
        let active = coordinator(&cluster).await;
        cluster.kill(active).await;
        let other = (active + 1) % 3;
        cluster.until(other, &Call::post("/version-put", "", r#"{"model":"a","version":3}"#), 200).await;
        cluster.status_until(other, |status| loaded(status, "a", 3) == STORES).await;
        for store in &stores {
            let orders = store.ledger().orders.clone();
            let fences: Vec<u64> = orders.iter().map(|(_, fence, _, _)| *fence).collect();
            assert!(fences.is_sorted(), "{orders:?}");
            for pair in orders.windows(2) {
                assert_eq!(pair[0].0 == pair[1].0, pair[0].1 == pair[1].1, "one holder a token: {orders:?}");
            }
        }
    });
}

/// The stores have seen orders of a coordinator after this one, which has not heard of it. It is refused once by each, and goes on under a
/// higher token.
#[test]
fn a_refused_fencing_token_is_given_up_for_a_higher_one() {
    run(async {
        let cluster = Cluster::start(29);
        let mut stores = Vec::new();
        for number in 0..STORES as u8 {
            stores.push(store(&cluster, number).await);
        }
        cluster.until(0, &Call::post("/configuration/replace", "Base-Version: 0\r\n", &engine()), 200).await;
        cluster.until(1, &Call::post("/version-put", "", r#"{"model":"a","version":2}"#), 200).await;
        cluster.status_until(2, |status| loaded(status, "a", 2) == STORES).await;
        let active = coordinator(&cluster).await;
        let token = stores[0].ledger().fence;
        stores.iter().for_each(|store| store.ledger().fence = token + 1);
        cluster.until(active, &Call::post("/version-put", "", r#"{"model":"a","version":3}"#), 200).await;
        cluster.status_until(active, |status| loaded(status, "a", 3) == STORES).await;
        let refused: Vec<Vec<u64>> =
            stores.iter().map(|store| store.ledger().refused_tokens.clone()).collect();
        assert!(refused.iter().any(|tokens| !tokens.is_empty()), "the old token was tried");
        assert!(refused.iter().all(|tokens| tokens.len() <= 1), "{refused:?}");
        for store in &stores {
            let orders = store.ledger().orders.clone();
            assert!(orders.last().is_some_and(|(_, last, _, _)| *last > token), "{orders:?}");
        }
    });
}

/// The node that coordinates.
async fn coordinator(cluster: &Cluster) -> u8 {
    for node in [0, 1, 2].into_iter().cycle() {
        let status = cluster.status_until(node, |status| status["serving"] == true).await;
        if status["leadership"].as_str().is_some_and(|leadership| leadership.starts_with("Active")) {
            return node;
        }
    }
    0
}
