//! Random faults for a number of seeds. After every event of a node, the simulation checks that its copy has not regressed, that the
//! number of its children is bounded, and that a fresh node has the entries that the roots had at its tick.

mod cluster;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::{millis, seeds, store, tombstone, Cluster};
use gingerledge_wire::{Entry, Role};
use yare::parameterized;

const CONTROL_NODES: usize = 5;
const EDGES: usize = 160;
const BACKENDS: usize = 40;
const STORES: usize = 50;
/// Default number of seeds of each test.
const SEED_COUNT: u64 = 12;
/// Maximum time in which an entry reaches every connected node.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Creates a cluster and runs it until all nodes are fresh.
fn steady_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_nodes(seed, CONTROL_NODES, EDGES, BACKENDS, millis(300));
    cluster.freshness_slack = millis(900);
    let formed = cluster.run_until(Duration::from_secs(5), |cluster| {
        cluster.now > Duration::from_secs(2) && cluster.are_all_fresh()
    });
    cluster.assert_holds(formed.is_some(), "the tree forms");
    cluster
}

/// Passes an entry or a tombstone with a new version to the roots, and returns it.
fn receive_new_entry(cluster: &mut Cluster, last_version: &mut u64) -> Entry {
    *last_version += 1;
    let number = cluster.rng.usize(0..STORES);
    let entry = if cluster.rng.u8(0..4) == 0 {
        tombstone(number, *last_version)
    } else {
        store(number, *last_version)
    };
    cluster.receive_at_roots(entry.clone());
    entry
}

fn random_node(cluster: &mut Cluster) -> SocketAddr {
    let nodes: Vec<SocketAddr> = cluster.nodes.keys().copied().collect();
    nodes[cluster.rng.usize(0..nodes.len())]
}

/// Injects a random fault at a random node.
fn inject_fault(cluster: &mut Cluster) {
    let victim = random_node(cluster);
    let pause = millis(cluster.rng.u64(50..3000));
    match cluster.rng.u8(0..8) {
        0 => {
            cluster.kill(victim);
            cluster.start_after(pause, victim);
        }
        1 => {
            cluster.power_off(victim);
            cluster.start_after(pause, victim);
        }
        2 => cluster.pause(victim, pause),
        3 => {
            let other = random_node(cluster);
            cluster.block_link(victim, other);
        }
        4 => {
            let other = random_node(cluster);
            cluster.blocked_links.insert((victim, other));
        }
        5 => {
            for other in cluster.nodes.keys().copied().collect::<Vec<_>>() {
                cluster.block_link(victim, other);
            }
        }
        6 => cluster.ticks_enabled = !cluster.ticks_enabled,
        _ => {
            let roots = cluster.with_role(Role::Control);
            let root = roots[cluster.rng.usize(0..roots.len())];
            cluster.separate_root(root);
        }
    }
}

/// Ends some of the faults, chosen at random.
fn heal_some_faults(cluster: &mut Cluster) {
    cluster.ticks_enabled |= cluster.rng.bool();
    let remaining: Vec<_> =
        cluster.blocked_links.iter().copied().filter(|_| cluster.rng.u8(0..4) > 0).collect();
    cluster.blocked_links = remaining.into_iter().collect();
    for root in cluster.separated_roots.clone() {
        if cluster.rng.bool() {
            cluster.reconnect_root(root);
        }
    }
}

fn end_all_faults(cluster: &mut Cluster) {
    cluster.blocked_links.clear();
    cluster.ticks_enabled = true;
    for root in cluster.separated_roots.clone() {
        cluster.reconnect_root(root);
    }
    cluster.run(Duration::from_secs(4));
    cluster.assert_holds(cluster.nodes.values().all(|node| node.is_running()), "all nodes run again");
}

#[test]
fn random_faults_leave_copies_consistent_and_the_tree_recovers() {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        let mut last_version = 0;
        for _ in 0..150 {
            if cluster.rng.bool() {
                inject_fault(&mut cluster);
            }
            if cluster.rng.u8(0..3) == 0 {
                heal_some_faults(&mut cluster);
            }
            receive_new_entry(&mut cluster, &mut last_version);
            let pause = cluster.rng.u64(1..400);
            cluster.run(millis(pause));
        }
        end_all_faults(&mut cluster);
        cluster.assert_holds(cluster.are_all_fresh(), "all nodes are fresh again");
        for (_, entry) in cluster.received_at_roots.clone() {
            let nodes_lacking = cluster.nodes_lacking(&entry);
            cluster.assert_holds(nodes_lacking.is_empty(), &format!("{nodes_lacking:?} lack {entry:?}"));
        }
    }
}

/// A failure that affects some of the nodes together.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Killed,
    PoweredOff,
    Paused,
    Isolated,
    IsolatedOneWay,
}

fn fail(cluster: &mut Cluster, victim: SocketAddr, failure: Failure) {
    let others: Vec<SocketAddr> = cluster.nodes.keys().copied().collect();
    match failure {
        Failure::Killed => cluster.kill(victim),
        Failure::PoweredOff => cluster.power_off(victim),
        Failure::Paused => cluster.pause(victim, Duration::from_secs(3600)),
        Failure::Isolated => others.into_iter().for_each(|other| cluster.block_link(victim, other)),
        Failure::IsolatedOneWay => {
            cluster.blocked_links.extend(others.into_iter().map(|other| (victim, other)));
        }
    }
}

#[parameterized(
    killed = { Failure::Killed },
    powered_off = { Failure::PoweredOff },
    paused = { Failure::Paused },
    isolated = { Failure::Isolated },
    isolated_one_way = { Failure::IsolatedOneWay },
)]
fn an_entry_received_during_a_failure_reaches_all_connected_nodes_in_time(failure: Failure) {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        let mut last_version = 0;
        let mut nodes: Vec<SocketAddr> = cluster.nodes.keys().copied().collect();
        cluster.rng.shuffle(&mut nodes);
        // The victims are two control nodes and a fifth of the other nodes.
        let (control, others): (Vec<_>, Vec<_>) =
            nodes.into_iter().partition(|at| cluster.nodes[at].role == Role::Control);
        let victims: Vec<SocketAddr> =
            control.into_iter().take(2).chain(others.into_iter().take((EDGES + BACKENDS) / 5)).collect();
        for victim in &victims {
            cluster.separate_root(*victim);
            fail(&mut cluster, *victim, failure);
        }
        let mut due: BTreeMap<Duration, Entry> = BTreeMap::new();
        for _ in 0..80 {
            let entry = receive_new_entry(&mut cluster, &mut last_version);
            due.insert(cluster.now + PROPAGATION_LIMIT, entry);
            cluster.run(millis(50));
            while let Some(first) = due.first_entry().filter(|first| *first.key() <= cluster.now) {
                let entry = first.remove();
                let mut nodes_lacking = cluster.nodes_lacking(&entry);
                nodes_lacking.retain(|at| !victims.contains(at));
                cluster.assert_holds(
                    nodes_lacking.is_empty(),
                    &format!("{} nodes lack {entry:?} in time", nodes_lacking.len()),
                );
            }
        }
    }
}

#[test]
fn a_pause_of_the_control_chain_leaves_most_parents_unchanged() {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        cluster.run(Duration::from_secs(2));
        let parents = |cluster: &Cluster| -> Vec<_> {
            cluster.nodes.keys().map(|at| cluster.relay(*at).parent()).collect()
        };
        let before = parents(&cluster);
        cluster.ticks_enabled = false;
        cluster.run(Duration::from_secs(4));
        cluster
            .assert_holds(!cluster.nodes.values().any(|node| node.is_fresh(cluster.now)), "no node is fresh");
        cluster.ticks_enabled = true;
        let recovered = cluster.run_until(millis(500), Cluster::are_all_fresh);
        cluster.assert_holds(recovered.is_some(), "all nodes are fresh soon");
        // A node changes its parent if its request reaches a root after the first new tick and before that tick reaches its parent.
        let after = parents(&cluster);
        let changed = before.iter().zip(&after).filter(|(before, after)| before != after).count();
        cluster.assert_holds(changed <= before.len() / 10, &format!("{changed} nodes changed their parent"));
    }
}

#[test]
fn nodes_partitioned_from_all_roots_are_stale_until_the_partition_heals() {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        let mut edges = cluster.with_role(Role::Edge);
        cluster.rng.shuffle(&mut edges);
        let (partitioned, others) = edges.split_at(30);
        for inside in partitioned {
            for outside in others.iter().copied().chain(cluster.with_role(Role::Control)) {
                cluster.block_link(*inside, outside);
            }
        }
        cluster.run(millis(820));
        for _ in 0..200 {
            let fresh = partitioned.iter().filter(|at| cluster.nodes[*at].is_fresh(cluster.now)).count();
            cluster.assert_holds(fresh == 0, &format!("{fresh} partitioned nodes are fresh"));
            cluster.run(millis(20));
        }
        cluster.blocked_links.clear();
        let healed = cluster.run_until(millis(1500), Cluster::are_all_fresh);
        cluster.assert_holds(healed.is_some(), "all nodes are fresh in time after the partition");
    }
}

#[test]
fn control_nodes_that_restart_with_empty_copies_remove_no_entry() {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        for number in 0..STORES {
            cluster.receive_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(2));
        cluster.restart_control_nodes();
        cluster.run(Duration::from_secs(4));
        cluster
            .assert_holds(cluster.are_all_fresh(), "all nodes are fresh under the restarted control nodes");
        for at in cluster.with_role(Role::Edge) {
            let store_count = cluster.relay(at).registry().stores().count();
            cluster.assert_holds(store_count == STORES, &format!("{at} has {store_count} stores"));
        }
    }
}

#[test]
fn all_nodes_restarted_together_become_fresh() {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        for number in 0..STORES {
            cluster.receive_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(1));
        for at in cluster.nodes.keys().copied().collect::<Vec<_>>() {
            cluster.kill(at);
            let after = millis(cluster.rng.u64(0..300));
            cluster.start_after(after, at);
        }
        cluster.run(millis(2300));
        cluster.assert_holds(cluster.nodes.values().all(|node| node.is_running()), "all nodes run");
        cluster.assert_holds(cluster.are_all_fresh(), "all nodes are fresh");
        let nodes_lacking = cluster.nodes_lacking(&store(STORES - 1, 1));
        cluster.assert_holds(nodes_lacking.is_empty(), &format!("{nodes_lacking:?} lack an entry"));
    }
}
