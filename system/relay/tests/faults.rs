//! Faults at random, seed by seed. After every step of every node the simulation checks that no copy goes back, that the fan-out is
//! bounded and that a fresh node has what the roots had at its tick.

mod cluster;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::{millis, seeds, store, tombstone, Cluster};
use gingerledge_wire::{Entry, Role};
use yare::parameterized;

const CONTROL: usize = 5;
const EDGES: usize = 160;
const BACKENDS: usize = 40;
const STORES: usize = 50;
/// Seeds for each kind of test.
const SEEDS: u64 = 12;
/// An entry reaches every node that is in touch within this time.
const REACH: Duration = Duration::from_secs(2);

/// A cluster in which all nodes are fresh.
fn steady_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_nodes(seed, CONTROL, EDGES, BACKENDS, millis(300));
    cluster.freshness_slack = millis(900);
    let formed = cluster.run_until(Duration::from_secs(5), |cluster| {
        cluster.now > Duration::from_secs(2) && cluster.are_all_fresh()
    });
    cluster.assert_holds(formed.is_some(), "the tree forms");
    cluster
}

/// Teaches the roots something new.
fn learn_new_entry(cluster: &mut Cluster, versions: &mut u64) -> Entry {
    *versions += 1;
    let number = cluster.rng.usize(0..STORES);
    let entry =
        if cluster.rng.u8(0..4) == 0 { tombstone(number, *versions) } else { store(number, *versions) };
    cluster.learn_at_roots(entry.clone());
    entry
}

fn random_node(cluster: &mut Cluster) -> SocketAddr {
    let nodes: Vec<SocketAddr> = cluster.nodes.keys().copied().collect();
    nodes[cluster.rng.usize(0..nodes.len())]
}

/// One fault at random.
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

/// Some faults end at random.
fn heal_fault(cluster: &mut Cluster) {
    cluster.ticks_enabled |= cluster.rng.bool();
    let kept: Vec<_> = cluster.blocked_links.iter().copied().filter(|_| cluster.rng.u8(0..4) > 0).collect();
    cluster.blocked_links = kept.into_iter().collect();
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
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        let mut versions = 0;
        for _ in 0..150 {
            if cluster.rng.bool() {
                inject_fault(&mut cluster);
            }
            if cluster.rng.u8(0..3) == 0 {
                heal_fault(&mut cluster);
            }
            learn_new_entry(&mut cluster, &mut versions);
            let pause = cluster.rng.u64(1..400);
            cluster.run(millis(pause));
        }
        end_all_faults(&mut cluster);
        cluster.assert_holds(cluster.are_all_fresh(), "all nodes are fresh again");
        for (_, entry) in cluster.learned.clone() {
            let nodes_lacking = cluster.nodes_lacking(&entry);
            cluster.assert_holds(nodes_lacking.is_empty(), &format!("{nodes_lacking:?} lack {entry:?}"));
        }
    }
}

/// How a part of the nodes fails together.
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
    is_powered_off = { Failure::PoweredOff },
    is_paused = { Failure::Paused },
    isolate = { Failure::Isolated },
    cut_off_one_way = { Failure::IsolatedOneWay },
)]
fn an_entry_learned_during_a_failure_reaches_all_nodes_in_time(failure: Failure) {
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        let mut versions = 0;
        let mut nodes: Vec<SocketAddr> = cluster.nodes.keys().copied().collect();
        cluster.rng.shuffle(&mut nodes);
        // Two control nodes, and a fifth of the others.
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
            let entry = learn_new_entry(&mut cluster, &mut versions);
            due.insert(cluster.now + REACH, entry);
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
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        cluster.run(Duration::from_secs(2));
        let parents = |cluster: &Cluster| -> Vec<_> {
            cluster.nodes.keys().map(|at| cluster.relay(*at).parent()).collect()
        };
        let before = parents(&cluster);
        cluster.ticks_enabled = false;
        cluster.run(Duration::from_secs(4));
        cluster.assert_holds(!cluster.nodes.values().any(|node| node.is_fresh(cluster.now)), "none is fresh");
        cluster.ticks_enabled = true;
        let again = cluster.run_until(millis(500), Cluster::are_all_fresh);
        cluster.assert_holds(again.is_some(), "all are fresh soon");
        // Those that happen to ask a root between its first tick and their own parent's may change.
        let after = parents(&cluster);
        let changed = before.iter().zip(&after).filter(|(before, after)| before != after).count();
        cluster.assert_holds(changed <= before.len() / 10, &format!("{changed} nodes changed their parent"));
    }
}

#[test]
fn nodes_separated_from_all_roots_are_stale_until_the_network_partition_heals() {
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        let mut edges = cluster.with_role(Role::Edge);
        cluster.rng.shuffle(&mut edges);
        let (island, mainland) = edges.split_at(30);
        for inside in island {
            for outside in mainland.iter().copied().chain(cluster.with_role(Role::Control)) {
                cluster.block_link(*inside, outside);
            }
        }
        cluster.run(millis(820));
        for _ in 0..200 {
            let fresh = island.iter().filter(|at| cluster.nodes[*at].is_fresh(cluster.now)).count();
            cluster.assert_holds(fresh == 0, &format!("{fresh} nodes believe in ticks that go round"));
            cluster.run(millis(20));
        }
        cluster.blocked_links.clear();
        let healed = cluster.run_until(millis(1500), Cluster::are_all_fresh);
        cluster.assert_holds(healed.is_some(), "the island comes back in time");
    }
}

#[test]
fn control_nodes_that_restart_with_empty_copies_remove_no_entry() {
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        for number in 0..STORES {
            cluster.learn_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(2));
        cluster.restart_control_nodes();
        cluster.run(Duration::from_secs(4));
        cluster.assert_holds(cluster.are_all_fresh(), "all are fresh under the new core");
        for at in cluster.with_role(Role::Edge) {
            let has_entries = cluster.relay(at).registry().stores().count();
            cluster.assert_holds(has_entries == STORES, &format!("{at} holds {has_entries} stores"));
        }
    }
}

#[test]
fn all_nodes_restarted_together_become_fresh() {
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        for number in 0..STORES {
            cluster.learn_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(1));
        for at in cluster.nodes.keys().copied().collect::<Vec<_>>() {
            cluster.kill(at);
            let after = millis(cluster.rng.u64(0..300));
            cluster.start_after(after, at);
        }
        cluster.run(millis(2300));
        cluster.assert_holds(cluster.nodes.values().all(|node| node.is_running()), "all run");
        cluster.assert_holds(cluster.are_all_fresh(), "all are fresh");
        let nodes_lacking = cluster.nodes_lacking(&store(STORES - 1, 1));
        cluster.assert_holds(nodes_lacking.is_empty(), &format!("{nodes_lacking:?} lack an entry"));
    }
}
