//! Combined faults of the control plane, with the real programs: a paused node, concurrent changes with lost responses, a second disk
//! loss right after a repair, and a member that missed hundreds of changes. Each test forces the critical interleaving.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{run, step, Cluster, TEST_TIMEOUT};
use gingerledge_system_testkit::{call, configuration, Operator, REPLACE, UPDATE};
use hyper::Method;
use serde_json::{json, Value};

const CORE: [&str; 3] = ["core-1", "core-2", "core-3"];
/// Time-out of a call to one node; a paused one does not respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A configuration that differs from others of its version by the name of its first route.
fn marked(version: u64, mark: &str) -> Value {
    let mut configuration = configuration(version, &["m0"]);
    configuration["routes"][0]["name"] = mark.into();
    configuration
}

/// An update to a version that gives the first service another path for its health check.
fn marked_update(version: u64, mark: &str) -> Value {
    json!({"version": version, "upsert": {"services": [{"name": "colony-ledger", "healthPath": mark, "connectionLimit": 100}]}})
}

/// The configuration after a marked update.
fn updated(configuration: &Value, update: &Value) -> Value {
    let mut result = configuration.clone();
    result["version"] = update["version"].clone();
    result["services"][0] = update["upsert"]["services"][0].clone();
    result
}

async fn replace_at(node: SocketAddr, base: u64, configuration: &Value) -> Option<u16> {
    change_at(node, REPLACE, base, configuration).await
}

async fn change_at(node: SocketAddr, path: &str, base: u64, change: &Value) -> Option<u16> {
    let base = base.to_string();
    let headers = [("Content-Type", "application/json"), ("Base-Version", base.as_str())];
    let response =
        call(node, Method::POST, path, &headers, change.to_string().into_bytes(), CALL_TIMEOUT).await;
    response.ok().map(|response| response.status.as_u16())
}

/// The version that a node reads, if it responds with one.
async fn read_at(node: SocketAddr) -> Option<u64> {
    let response =
        call(node, Method::GET, "/configuration/read", &[], Vec::new(), CALL_TIMEOUT).await.ok()?;
    if !response.status.is_success() {
        return None;
    }
    serde_json::from_slice::<Value>(&response.body).ok()?["version"].as_u64()
}

async fn status_at(node: SocketAddr) -> Value {
    let response = call(node, Method::GET, "/status", &[], Vec::new(), CALL_TIMEOUT).await;
    response.ok().and_then(|response| serde_json::from_slice(&response.body).ok()).unwrap_or_default()
}

/// Waits until all three control nodes serve in one chain.
async fn wait_until_chain_is_complete(cluster: &Cluster) {
    for node in cluster.fleet.control() {
        let is_complete = || async move {
            let status = status_at(node).await;
            status["serving"] == true && status["chain"].as_array().is_some_and(|chain| chain.len() == 3)
        };
        cluster.wait_until("the chain is complete", is_complete).await;
    }
}

/// Case 1: a node that was paused while the others made progress returns no stale state, and acknowledges no change of it.
#[test]
fn a_control_node_that_was_paused_returns_no_stale_read_and_acknowledges_no_stale_change() {
    run(async {
        let cluster = Cluster::start(91).await;
        let mut version = 1;
        for (index, name) in CORE.iter().enumerate() {
            wait_until_chain_is_complete(&cluster).await;
            let control = cluster.fleet.control();
            let frozen = control[index];
            let others: Vec<_> = control.iter().copied().filter(|node| *node != frozen).collect();
            cluster.fleet.freeze(name).expect("frozen");
            let next = version + 3;
            let taken = Operator::new(others).replace(version, &marked(next, "next"), TEST_TIMEOUT).await;
            assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{name}\n{}", cluster.logs());
            // Both calls are in the paused node's socket when it resumes, and are the first that it serves.
            let rival = marked(version + 1, "rival");
            let (read, replaced, ()) =
                tokio::join!(read_at(frozen), replace_at(frozen, version, &rival), async {
                    tokio::task::yield_now().await;
                    cluster.fleet.thaw(name).expect("thawed");
                });
            assert!(read.is_none_or(|read| read == next), "{name} showed {read:?}, {next} is acknowledged");
            assert!(replaced.is_none_or(|status| status == 412 || status >= 500), "{name}: {replaced:?}");
            version = next;
            let back = || async move { read_at(frozen).await == Some(next) };
            cluster.wait_until("the node is back", back).await;
        }
    });
}

/// Case 2: three operators concurrently send different changes with the same version, through three nodes, one of which is killed. Two
/// of them send updates.
#[test]
fn of_concurrent_changes_with_one_version_exactly_one_is_acknowledged_also_on_retries() {
    run(async {
        let mut cluster = Cluster::start(92).await;
        let mut base = 1;
        let mut current = configuration(1, &["m0"]);
        for round in 0..6 {
            let version = base + 1;
            let replacement = marked(version, &format!("a{round}"));
            let updates = ["b", "c"].map(|mark| marked_update(version, &format!("/{mark}{round}")));
            let results = [&replacement, &updated(&current, &updates[0]), &updated(&current, &updates[1])];
            let rivals = [(REPLACE, &replacement), (UPDATE, &updates[0]), (UPDATE, &updates[1])];
            let control = cluster.fleet.control();
            // Each kind of change goes through each node, and meets the node that is killed.
            let node_of = |index: usize| control[(index + round / 3) % 3];
            let calls =
                [0, 1, 2].map(|index| change_at(node_of(index), rivals[index].0, base, rivals[index].1));
            let [first, second, third] = calls;
            let victim = CORE[round % 3];
            let ((first, second, third), ()) =
                tokio::join!(async { tokio::join!(first, second, third) }, async {
                    tokio::task::yield_now().await;
                    cluster.fleet.kill(victim);
                });
            let confirmed = [first, second, third].map(|status| status == Some(200));
            assert!(confirmed.iter().filter(|confirmed| **confirmed).count() <= 1, "{confirmed:?}");
            cluster.fleet.start_all().expect("processes");
            // Each retries its own change, at any node, until the response is definite.
            let mut accepted = Vec::new();
            for (index, (path, rival)) in rivals.iter().enumerate() {
                let response = cluster.operator.change(path, base, rival, TEST_TIMEOUT).await;
                let status = response.map(|status| status.as_u16());
                assert!(matches!(status, Some(200 | 412)), "{status:?}\n{}", cluster.logs());
                if status == Some(200) {
                    accepted.push(index);
                }
                assert!(!confirmed[index] || status == Some(200), "confirmed, and then {status:?}");
            }
            assert_eq!(accepted.len(), 1, "round {round}: {accepted:?}");
            let read = cluster.operator.read(TEST_TIMEOUT).await.expect("a configuration");
            let read: Value = serde_json::from_slice(&read.body).expect("JSON");
            assert_eq!(&read, results[accepted[0]], "round {round}");
            base = version;
            current = read;
        }
    });
}

/// Case 3: as soon as the replacement of a lost disk is in sync, another disk is lost, and all processes crash.
#[test]
fn a_second_disk_loss_right_after_a_repair_loses_nothing_acknowledged() {
    run(async {
        let mut cluster = Cluster::start(93).await;
        let job = step(0, 1);
        assert!(cluster.trainer.submit(&job, TEST_TIMEOUT).await, "{}", cluster.logs());
        let results = cluster.trainer.collect(&job, TEST_TIMEOUT).await;
        let losses = [("core-1", "backend-1"), ("core-2", "backend-2"), ("core-3", "backend-3")];
        for (version, (core, backend)) in (1..).zip(losses) {
            let next = marked(version + 1, core);
            let taken = cluster.operator.replace(version, &next, TEST_TIMEOUT).await;
            assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{}", cluster.logs());
            // Only one disk may be lost at a time; those of control nodes and backends alternate.
            cluster.fleet.wipe(core).expect("disk");
            kill_all(&mut cluster);
            cluster.fleet.start_all().expect("processes");
            wait_until_chain_is_complete(&cluster).await;
            let lost = member_of(&cluster, backend);
            cluster.fleet.wipe(backend).expect("disk");
            kill_all(&mut cluster);
            cluster.fleet.start_all().expect("processes");
            let read = cluster.operator.read(TEST_TIMEOUT).await.expect("a configuration");
            let read: Value = serde_json::from_slice(&read.body).expect("JSON");
            assert_eq!(read, next, "{}", cluster.logs());
            let again = cluster.trainer.collect(&job, TEST_TIMEOUT).await;
            assert_eq!(again, results, "{}", cluster.logs());
            wait_until_replicated(&cluster, &lost).await;
        }
    });
}

/// Kills all processes of the cluster.
fn kill_all(cluster: &mut Cluster) {
    let names: Vec<String> = cluster.fleet.nodes().iter().map(|node| node.name.clone()).collect();
    names.iter().for_each(|name| cluster.fleet.kill(name));
}

/// Waits until every partition has two replicas in sync, and the lost member is in no chain any more.
///
/// The control state counts the replicas of a lost disk until the coordinator has handled the loss, so the number alone proves
/// nothing right after a restart.
async fn wait_until_replicated(cluster: &Cluster, lost: &str) {
    let node = cluster.fleet.control()[0];
    let replicated = || async move {
        let status = status_at(node).await;
        let partitions = status["partitions"].as_array();
        partitions
            .is_some_and(|all| !all.is_empty() && all.iter().all(|partition| is_replicated(partition, lost)))
    };
    cluster.wait_until("all partitions have their replicas", replicated).await;
}

/// Whether a partition in a node's status has two replicas in sync, and the lost member is not in its chain.
fn is_replicated(partition: &Value, lost: &str) -> bool {
    let full = partition["full"].as_u64();
    let chain = partition["chain"].as_array();
    full.is_some_and(|full| full >= 2) && chain.is_some_and(|chain| chain.iter().all(|member| member != lost))
}

/// The member of a backend: the last one that it has logged.
fn member_of(cluster: &Cluster, backend: &str) -> String {
    let log = cluster.fleet.log(backend);
    let (_, last) = log.rsplit_once("node: backend started member=").expect("a backend logs its identity");
    let padded = last.split_whitespace().next().expect("an identity");
    // The status has it without leading zeros.
    padded.trim_start_matches('0').to_owned()
}

/// Case 4: a member that missed more changes than the others retain in their logs catches up, and serves no stale state as head. Every
/// second change of the configuration is an update.
#[test]
fn a_member_that_missed_hundreds_of_changes_catches_up_and_serves_the_newest_state() {
    const CHANGES: u64 = 60;
    const MODELS: u64 = 24;
    const NAMED_VERSIONS: u64 = 60;
    run(async {
        let mut cluster = Cluster::start(94).await;
        wait_until_chain_is_complete(&cluster).await;
        cluster.fleet.kill("core-1");
        for version in 2..=CHANGES {
            let taken = if version % 2 == 0 {
                cluster.operator.replace(version - 1, &marked(version, "next"), TEST_TIMEOUT).await
            } else {
                cluster.operator.update(version - 1, &marked_update(version, "/next"), TEST_TIMEOUT).await
            };
            assert_eq!(taken.map(|status| status.as_u16()), Some(200), "change {version}");
        }
        for version in 2..=NAMED_VERSIONS {
            let names: Vec<String> = (0..MODELS).map(|model| format!("m{model}")).collect();
            let named = names.iter().map(|model| cluster.operator.name_version(model, version, TEST_TIMEOUT));
            for status in futures_util::future::join_all(named).await {
                assert_eq!(status.map(|status| status.as_u16()), Some(200), "version {version}");
            }
        }
        cluster.fleet.start_all().expect("processes");
        wait_until_chain_is_complete(&cluster).await;
        // Only the member that was down and one other are left, so that its state is needed.
        cluster.fleet.kill("core-2");
        let node = cluster.fleet.control()[0];
        cluster
            .wait_until("it reads the newest version", || async move { read_at(node).await == Some(CHANGES) })
            .await;
        let status = status_at(node).await;
        for model in 0..MODELS {
            assert_eq!(
                status["namedVersions"][format!("m{model}")].as_u64(),
                Some(NAMED_VERSIONS),
                "m{model}"
            );
        }
        let taken = cluster.operator.replace(CHANGES, &marked(CHANGES + 1, "more"), TEST_TIMEOUT).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{}", cluster.logs());
    });
}
