//! Entries that say "gone": how long they are kept, that they fade, and what becomes of entries whose tombstone a node missed.

mod cluster;

use std::net::SocketAddr;
use std::time::Duration;

use cluster::{millis, seeds, store, store_key, tombstone, Cluster};
use gingerledge_wire::Role;
use yare::parameterized;

const SEEDS: u64 = 8;
const RETENTION: Duration = Duration::from_secs(120);

fn steady_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_nodes(seed, 3, 20, 5, millis(300));
    // Few places, so that the tree is deep.
    for node in cluster.nodes.values_mut() {
        node.settings.max_children = node.settings.max_children.min(3);
    }
    cluster.freshness_slack = millis(900);
    cluster.run(Duration::from_secs(3));
    cluster.assert_holds(cluster.are_all_fresh(), "the tree forms");
    cluster
}

/// Cuts some nodes off from all others and each other.
fn isolate(cluster: &mut Cluster, victims: &[SocketAddr]) {
    for victim in victims {
        for other in cluster.nodes.keys().copied().collect::<Vec<_>>() {
            cluster.block_link(*victim, other);
        }
    }
}

fn copies_of(cluster: &Cluster, number: usize) -> usize {
    let key = store_key(number);
    cluster.nodes.keys().filter(|at| cluster.relay(**at).registry().entry(&key).is_some()).count()
}

#[test]
fn a_tombstone_expires_at_all_nodes_while_nodes_join_and_leave() {
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        cluster.learn_at_roots(store(1, 1));
        cluster.run(Duration::from_secs(1));
        cluster.learn_at_roots(tombstone(1, 2));
        let edges = cluster.with_role(Role::Edge);
        // Edges end and start again, so that copies are compared all the time and each life of an edge is short.
        for _ in 0..242 {
            let victim = edges[cluster.rng.usize(0..edges.len())];
            cluster.kill(victim);
            cluster.start_after(millis(100), victim);
            cluster.run(millis(500));
        }
        cluster.assert_holds(copies_of(&cluster, 1) == 0, "nobody has the tombstone after its time");
    }
}

#[parameterized(
    shortly = { 5 },
    for_nearly_half_the_retention = { 55 },
    for_longer_than_half = { 80 },
    for_longer_than_the_retention = { 200 },
)]
fn a_reconnected_node_removes_deleted_entries_and_keeps_the_rest(seconds: u64) {
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        for number in 0..10 {
            cluster.learn_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(1));
        let edges = cluster.with_role(Role::Edge);
        let victims = &edges[..4];
        isolate(&mut cluster, victims);
        cluster.run(Duration::from_secs(1));
        cluster.learn_at_roots(tombstone(1, 2));
        cluster.run(Duration::from_secs(seconds));
        for victim in victims {
            cluster.assert_holds(
                cluster.has_live_entry(*victim, &store_key(1)),
                "nothing is removed without a tombstone",
            );
        }
        cluster.blocked_links.clear();
        cluster.run(Duration::from_secs(4) + RETENTION / 2);
        for at in cluster.nodes.keys().copied().collect::<Vec<_>>() {
            cluster.assert_holds(
                !cluster.has_live_entry(at, &store_key(1)),
                &format!("{at} still holds what is gone"),
            );
            let has_entries = cluster.relay(at).registry().stores().count();
            cluster.assert_holds(has_entries == 9, &format!("{at} holds {has_entries} stores"));
        }
    }
}

#[test]
fn a_long_pause_of_the_control_chain_removes_no_entry() {
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        for number in 0..10 {
            cluster.learn_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(1));
        cluster.ticks_enabled = false;
        cluster.run(Duration::from_secs(100));
        cluster.learn_at_roots(tombstone(1, 2));
        cluster.run(Duration::from_secs(1));
        cluster.ticks_enabled = true;
        for _ in 0..100 {
            cluster.run(Duration::from_secs(2));
            for at in cluster.nodes.keys().copied().collect::<Vec<_>>() {
                let has_entries = cluster.relay(at).registry().stores().count();
                cluster.assert_holds(has_entries == 9, &format!("{at} holds {has_entries} stores"));
            }
        }
    }
}

#[test]
fn after_a_long_outage_of_the_control_nodes_stores_that_announce_themselves_in_time_are_never_missing() {
    for seed in seeds(SEEDS) {
        let mut cluster = steady_cluster(seed);
        for number in 0..10 {
            cluster.learn_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(1));
        let control = cluster.with_role(Role::Control);
        control.iter().for_each(|at| cluster.kill(*at));
        cluster.learned.clear();
        cluster.run(Duration::from_secs(100));
        control.iter().for_each(|at| cluster.start(*at));
        let edges = cluster.with_role(Role::Edge);
        for _ in 0..20 {
            cluster.run(Duration::from_secs(1));
            let all = edges.iter().all(|at| cluster.relay(*at).registry().stores().count() == 10);
            cluster.assert_holds(all, "nothing goes before stores had time to announce themselves");
        }
        for number in 0..9 {
            cluster.learn_at_roots(store(number, 2));
        }
        for _ in 0..80 {
            cluster.run(Duration::from_secs(1));
            for at in &edges {
                let has_entries = (0..9).all(|number| cluster.has_live_entry(*at, &store_key(number)));
                cluster.assert_holds(has_entries, &format!("{at} misses a store that is there"));
            }
        }
        for at in edges {
            cluster.assert_holds(
                !cluster.has_live_entry(at, &store_key(9)),
                "the store that never came back is removed",
            );
        }
    }
}
