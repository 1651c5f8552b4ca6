//! Simulation of backends, edges and a coordinator under faults. Acknowledged data must never be lost or changed.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::clients::{partition_of, Clients};
use common::cluster::{Cluster, PARTITION_COUNT};
use common::observations::ObservedJob;
use gingerledge_jobs::store::Store;

const FAULT_DURATION: Duration = Duration::from_secs(25);
const QUIESCENT_DURATION: Duration = Duration::from_secs(12);

fn run_until(cluster: &mut Cluster, clients: &mut Clients, end: Duration) {
    clients.run_due_actions(cluster);
    while let Some(message) = cluster.step(end) {
        if let Some((to, message)) = message {
            clients.receive(cluster, to, message);
        }
        clients.run_due_actions(cluster);
    }
}

/// Checks that every acknowledged batch job is stored at every member of its chain, with the received results at their positions.
fn check_replicas(cluster: &Cluster, clients: &Clients) {
    for partition in 0..PARTITION_COUNT {
        let chain = cluster.chain(partition);
        let outside = cluster.backends().filter(|(member, _)| !chain.chain.contains(member));
        for replica in outside.filter_map(|(_, backend)| backend.partition(partition)) {
            assert_eq!(replica.bytes(), 0, "a member outside the chain has batch jobs");
        }
        let in_chain = cluster.backends().filter(|(member, _)| chain.chain.contains(member));
        let replicas: Vec<_> = in_chain.filter_map(|(_, backend)| backend.partition(partition)).collect();
        assert_eq!(replicas.len(), chain.chain.len());
        for replica in &replicas {
            assert_eq!(replica.in_sync_epoch(), Some(chain.epoch), "{chain:?}, here {:?}", replica.view());
            assert_eq!(replica.store(), replicas[0].store(), "replicas of partition {partition} differ");
        }
        for (id, observed) in clients.observations.jobs.iter().filter(|(id, _)| partition_of(id) == partition)
        {
            check_job(replicas[0].store(), id, observed, clients);
        }
    }
}

fn check_job(store: &Store, id: &str, observed: &ObservedJob, clients: &Clients) {
    let Some(job) = store.job(id) else {
        assert!(observed.created.is_none(), "{id} was acknowledged and is lost");
        return;
    };
    for (position, (_, result, _)) in &observed.received {
        assert_eq!(job.results().get(*position as usize), Some(result), "{id}: position {position}");
    }
    assert!(
        observed.acknowledged_items.iter().all(|item| job.has_result(*item)),
        "{id}: an acknowledged result is lost"
    );
    assert!(observed.ended.is_none() || job.is_ended(), "{id}: an acknowledged end is lost");
    assert!(!job.needs_driver() || clients.is_driven(id), "{id} has no driver");
}

fn run(seed: u64, totals: &mut BTreeMap<&'static str, u64>) {
    let mut cluster = Cluster::new(seed);
    let mut clients = Clients::new(&mut cluster);
    run_until(&mut cluster, &mut clients, FAULT_DURATION);
    cluster.end_faults();
    clients.is_quiescent = true;
    run_until(&mut cluster, &mut clients, FAULT_DURATION + QUIESCENT_DURATION);
    check_replicas(&cluster, &clients);
    for (kind, count) in &clients.observations.responses {
        *totals.entry(kind).or_default() += count;
    }
    let has_measured_age = |observed: &&ObservedJob| observed.highest_age > Duration::from_secs(5);
    *totals.entry("age of seconds").or_default() +=
        clients.observations.jobs.values().filter(has_measured_age).count() as u64;
}

/// Prints the seed of a run that panics.
struct SeedReport(u64);

impl Drop for SeedReport {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {}", self.0);
        }
    }
}

#[test]
fn acknowledged_jobs_results_and_ends_survive_crashes_partitions_and_view_changes() {
    let first_seed: u64 = std::env::var("SEED").ok().and_then(|value| value.parse().ok()).unwrap_or(1);
    let seed_count: u64 = std::env::var("SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(60);
    let mut totals = BTreeMap::new();
    for seed in first_seed..first_seed + seed_count {
        let _seed_report = SeedReport(seed);
        run(seed, &mut totals);
    }
    eprintln!("{totals:?}");
    for kind in [
        "created",
        "appended",
        "ended",
        "page",
        "empty page",
        "body",
        "lease held",
        "assignment",
        "age of seconds",
    ] {
        assert!(
            totals.get(kind).is_some_and(|value| *value > 0),
            "no run had a response or message of the kind '{kind}'"
        );
    }
}
