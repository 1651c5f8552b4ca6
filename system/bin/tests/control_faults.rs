//! The worst days of the control plane, with the real programs: a node that was out of touch, two operators and lost answers, a second
//! loss right after a repair, and hundreds of changes behind a member's back. Each forces its crossing.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{step, World, PATIENCE};
use gingerledge_system_standin::{call, configuration, Operator, REPLACE, UPDATE};
use hyper::Method;
use serde_json::{json, Value};

const CORE: [&str; 3] = ["core-1", "core-2", "core-3"];
/// One node's answer is waited for at most this long; a frozen one gives none.
const ONE_CALL: Duration = Duration::from_secs(2);

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(test);
}

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

/// What a marked update makes of a configuration.
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
    let answer = call(node, Method::POST, path, &headers, change.to_string().into_bytes(), ONE_CALL).await;
    answer.ok().map(|answer| answer.status.as_u16())
}

/// The version that a node reads back, if it answers with one.
async fn read_at(node: SocketAddr) -> Option<u64> {
    let answer = call(node, Method::GET, "/configuration/read", &[], Vec::new(), ONE_CALL).await.ok()?;
    if !answer.status.is_success() {
        return None;
    }
    serde_json::from_slice::<Value>(&answer.body).ok()?["version"].as_u64()
}

async fn status_at(node: SocketAddr) -> Value {
    let answer = call(node, Method::GET, "/status", &[], Vec::new(), ONE_CALL).await;
    answer.ok().and_then(|answer| serde_json::from_slice(&answer.body).ok()).unwrap_or_default()
}

/// Waits until all three control nodes serve in one chain.
async fn until_whole(world: &World) {
    for node in world.fleet.control() {
        let whole = || async move {
            let status = status_at(node).await;
            status["serving"] == true && status["chain"].as_array().is_some_and(|chain| chain.len() == 3)
        };
        world.until("the chain is whole", whole).await;
    }
}

/// Point 1: a node that stood still while the others went on answers with nothing old, and confirms nothing on top of it.
#[test]
fn a_control_node_that_was_out_of_touch_shows_nothing_old_and_confirms_nothing() {
    run(async {
        let world = World::start(91).await;
        let mut version = 1;
        for (index, name) in CORE.iter().enumerate() {
            until_whole(&world).await;
            let control = world.fleet.control();
            let frozen = control[index];
            let others: Vec<_> = control.iter().copied().filter(|node| *node != frozen).collect();
            world.fleet.freeze(name).expect("frozen");
            let next = version + 3;
            let taken = Operator::new(others).replace(version, &marked(next, "next"), PATIENCE).await;
            assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{name}\n{}", world.logs());
            // Both calls stand in the frozen node's socket when it wakes, and are the first that it answers.
            let rival = marked(version + 1, "rival");
            let (read, replaced, ()) =
                tokio::join!(read_at(frozen), replace_at(frozen, version, &rival), async {
                    tokio::task::yield_now().await;
                    world.fleet.thaw(name).expect("thawed");
                });
            assert!(read.is_none_or(|read| read == next), "{name} showed {read:?}, {next} is acknowledged");
            assert!(replaced.is_none_or(|status| status == 412 || status >= 500), "{name}: {replaced:?}");
            version = next;
            let back = || async move { read_at(frozen).await == Some(next) };
            world.until("the node is back", back).await;
        }
    });
}

/// Point 2: three operators send different changes under one number at once, through three nodes, one of which is killed. Two of them
/// send updates.
#[test]
fn of_changes_under_one_number_one_is_confirmed_and_again_whenever_it_comes() {
    run(async {
        let mut world = World::start(92).await;
        let mut base = 1;
        let mut current = configuration(1, &["m0"]);
        for round in 0..6 {
            let version = base + 1;
            let replacement = marked(version, &format!("a{round}"));
            let updates = ["b", "c"].map(|mark| marked_update(version, &format!("/{mark}{round}")));
            let results = [&replacement, &updated(&current, &updates[0]), &updated(&current, &updates[1])];
            let rivals = [(REPLACE, &replacement), (UPDATE, &updates[0]), (UPDATE, &updates[1])];
            let control = world.fleet.control();
            // Each kind of change goes through each node, and meets the node that is killed.
            let node_of = |index: usize| control[(index + round / 3) % 3];
            let calls =
                [0, 1, 2].map(|index| change_at(node_of(index), rivals[index].0, base, rivals[index].1));
            let [first, second, third] = calls;
            let victim = CORE[round % 3];
            let ((first, second, third), ()) =
                tokio::join!(async { tokio::join!(first, second, third) }, async {
                    tokio::task::yield_now().await;
                    world.fleet.kill(victim);
                });
            let confirmed = [first, second, third].map(|status| status == Some(200));
            assert!(confirmed.iter().filter(|confirmed| **confirmed).count() <= 1, "{confirmed:?}");
            world.fleet.start_all().expect("processes");
            // Each sends its own change again, to any node, until the answer is clear.
            let mut taken = Vec::new();
            for (index, (path, rival)) in rivals.iter().enumerate() {
                let answer = world.operator.change(path, base, rival, PATIENCE).await;
                let status = answer.map(|status| status.as_u16());
                assert!(matches!(status, Some(200 | 412)), "{status:?}\n{}", world.logs());
                if status == Some(200) {
                    taken.push(index);
                }
                assert!(!confirmed[index] || status == Some(200), "confirmed, and then {status:?}");
            }
            assert_eq!(taken.len(), 1, "round {round}: {taken:?}");
            let read = world.operator.read(PATIENCE).await.expect("a configuration");
            let read: Value = serde_json::from_slice(&read.body).expect("JSON");
            assert_eq!(&read, results[taken[0]], "round {round}");
            base = version;
            current = read;
        }
    });
}

/// Point 3: as soon as the member that took a lost disk's place counts, another disk is lost, and everything else loses power.
#[test]
fn a_second_disk_lost_right_after_a_repair_loses_nothing() {
    run(async {
        let mut world = World::start(93).await;
        let job = step(0, 1);
        assert!(world.trainer.submit(&job, PATIENCE).await, "{}", world.logs());
        let results = world.trainer.collect(&job, PATIENCE).await;
        let losses = [("core-1", "backend-1"), ("core-2", "backend-2"), ("core-3", "backend-3")];
        for (version, (core, backend)) in (1..).zip(losses) {
            let next = marked(version + 1, core);
            let taken = world.operator.replace(version, &next, PATIENCE).await;
            assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{}", world.logs());
            // One disk in all may be lost at once; the core's and the backends' take turns.
            world.fleet.wipe(core).expect("disk");
            kill_all(&mut world);
            world.fleet.start_all().expect("processes");
            until_whole(&world).await;
            let lost = member_of(&world, backend);
            world.fleet.wipe(backend).expect("disk");
            kill_all(&mut world);
            world.fleet.start_all().expect("processes");
            let read = world.operator.read(PATIENCE).await.expect("a configuration");
            let read: Value = serde_json::from_slice(&read.body).expect("JSON");
            assert_eq!(read, next, "{}", world.logs());
            let again = world.trainer.collect(&job, PATIENCE).await;
            assert_eq!(again, results, "{}", world.logs());
            until_copied(&world, &lost).await;
        }
    });
}

/// All processes of the fleet end at once.
fn kill_all(world: &mut World) {
    let names: Vec<String> = world.fleet.nodes().iter().map(|node| node.name.clone()).collect();
    names.iter().for_each(|name| world.fleet.kill(name));
}

/// Waits until every partition has its two copies, and none is counted on the lost member any more.
///
/// The control state counts a lost disk's copies until the coordinator has dealt with the loss, so the number alone says
/// nothing right after a restart.
async fn until_copied(world: &World, lost: &str) {
    let node = world.fleet.control()[0];
    let copied = || async move {
        let status = status_at(node).await;
        let partitions = status["partitions"].as_array();
        partitions
            .is_some_and(|all| !all.is_empty() && all.iter().all(|partition| is_copied(partition, lost)))
    };
    world.until("all partitions have their copies", copied).await;
}

/// Whether a partition of a node's status has two full copies, and the lost member is none of its replicas.
fn is_copied(partition: &Value, lost: &str) -> bool {
    let full = partition["full"].as_u64();
    let chain = partition["chain"].as_array();
    full.is_some_and(|full| full >= 2) && chain.is_some_and(|chain| chain.iter().all(|member| member != lost))
}

/// The identity that a backend runs under: the last that it has logged.
fn member_of(world: &World, backend: &str) -> String {
    let log = world.fleet.log(backend);
    let (_, last) = log.rsplit_once("node: backend started member=").expect("a backend logs its identity");
    let padded = last.split_whitespace().next().expect("an identity");
    // The status writes it without the zeros in front.
    padded.trim_start_matches('0').to_owned()
}

/// Point 4: a member that missed more changes than the others keep for it catches up, and leads with nothing old. Every second change
/// of the configuration is an update.
#[test]
fn a_member_that_missed_hundreds_of_changes_catches_up_and_leads_with_the_newest() {
    const CHANGES: u64 = 60;
    const MODELS: u64 = 24;
    const NAMED_VERSIONS: u64 = 60;
    run(async {
        let mut world = World::start(94).await;
        until_whole(&world).await;
        world.fleet.kill("core-1");
        for version in 2..=CHANGES {
            let taken = if version % 2 == 0 {
                world.operator.replace(version - 1, &marked(version, "next"), PATIENCE).await
            } else {
                world.operator.update(version - 1, &marked_update(version, "/next"), PATIENCE).await
            };
            assert_eq!(taken.map(|status| status.as_u16()), Some(200), "change {version}");
        }
        for version in 2..=NAMED_VERSIONS {
            let names: Vec<String> = (0..MODELS).map(|model| format!("m{model}")).collect();
            let named = names.iter().map(|model| world.operator.name_version(model, version, PATIENCE));
            for status in futures_util::future::join_all(named).await {
                assert_eq!(status.map(|status| status.as_u16()), Some(200), "version {version}");
            }
        }
        world.fleet.start_all().expect("processes");
        until_whole(&world).await;
        // Only the member that was away and one other are left: what it has is what counts.
        world.fleet.kill("core-2");
        let node = world.fleet.control()[0];
        world.until("it reads the newest", || async move { read_at(node).await == Some(CHANGES) }).await;
        let status = status_at(node).await;
        for model in 0..MODELS {
            assert_eq!(
                status["namedVersions"][format!("m{model}")].as_u64(),
                Some(NAMED_VERSIONS),
                "m{model}"
            );
        }
        let taken = world.operator.replace(CHANGES, &marked(CHANGES + 1, "more"), PATIENCE).await;
        assert_eq!(taken.map(|status| status.as_u16()), Some(200), "{}", world.logs());
    });
}
