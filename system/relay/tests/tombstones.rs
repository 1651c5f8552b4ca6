//! Tombstones: their retention and expiry, and the removal of entries whose tombstone a node has missed.

mod cluster;

use std::net::SocketAddr;
use std::time::Duration;

use cluster::{millis, seeds, store, store_key, tombstone, Cluster};
use gingerledge_wire::Role;
use yare::parameterized;

const SEED_COUNT: u64 = 8;
const RETENTION: Duration = Duration::from_secs(120);

fn steady_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_nodes(seed, 3, 20, 5, millis(300));
    // Few child slots, so that the tree is deep.
    for node in cluster.nodes.values_mut() {
        node.settings.max_children = node.settings.max_children.min(3);
    }
    cluster.freshness_slack = millis(900);
    cluster.run(Duration::from_secs(3));
    cluster.assert_holds(cluster.are_all_fresh(), "the tree forms");
    cluster
}

/// Isolates some nodes from all other nodes and from each other.
fn isolate(cluster: &mut Cluster, victims: &[SocketAddr]) {
    for victim in victims {
        for other in cluster.nodes.keys().copied().collect::<Vec<_>>() {
            cluster.block_link(*victim, other);
        }
    }
}

fn nodes_with_entry(cluster: &Cluster, number: usize) -> usize {
    let key = store_key(number);
    cluster.nodes.keys().filter(|at| cluster.relay(**at).registry().entry(&key).is_some()).count()
}

#[test]
fn a_tombstone_expires_at_all_nodes_while_nodes_join_and_leave() {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        cluster.receive_at_roots(store(1, 1));
        cluster.run(Duration::from_secs(1));
        cluster.receive_at_roots(tombstone(1, 2));
        let edges = cluster.with_role(Role::Edge);
        // Edges are killed and restarted all the time: copies are compared often, and the processes are short-lived.
        for _ in 0..242 {
            let victim = edges[cluster.rng.usize(0..edges.len())];
            cluster.kill(victim);
            cluster.start_after(millis(100), victim);
            cluster.run(millis(500));
        }
        cluster.assert_holds(
            nodes_with_entry(&cluster, 1) == 0,
            "no node has the tombstone after its retention",
        );
    }
}

#[parameterized(
    a_short_time = { 5 },
    nearly_half_the_retention = { 55 },
    longer_than_half_the_retention = { 80 },
    longer_than_the_retention = { 200 },
)]
fn a_reconnected_node_removes_deleted_entries_and_keeps_the_rest(seconds: u64) {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        for number in 0..10 {
            cluster.receive_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(1));
        let edges = cluster.with_role(Role::Edge);
        let victims = &edges[..4];
        isolate(&mut cluster, victims);
        cluster.run(Duration::from_secs(1));
        cluster.receive_at_roots(tombstone(1, 2));
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
                &format!("{at} still has the removed store"),
            );
            let store_count = cluster.relay(at).registry().stores().count();
            cluster.assert_holds(store_count == 9, &format!("{at} has {store_count} stores"));
        }
    }
}

#[test]
fn a_long_pause_of_the_control_chain_removes_no_entry() {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        for number in 0..10 {
            cluster.receive_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(1));
        cluster.ticks_enabled = false;
        cluster.run(Duration::from_secs(100));
        cluster.receive_at_roots(tombstone(1, 2));
        cluster.run(Duration::from_secs(1));
        cluster.ticks_enabled = true;
        for _ in 0..100 {
            cluster.run(Duration::from_secs(2));
            for at in cluster.nodes.keys().copied().collect::<Vec<_>>() {
                let store_count = cluster.relay(at).registry().stores().count();
                cluster.assert_holds(store_count == 9, &format!("{at} has {store_count} stores"));
            }
        }
    }
}

#[test]
fn stores_that_announce_themselves_in_time_after_a_long_control_outage_are_never_missing() {
    for seed in seeds(SEED_COUNT) {
        let mut cluster = steady_cluster(seed);
        for number in 0..10 {
            cluster.receive_at_roots(store(number, 1));
        }
        cluster.run(Duration::from_secs(1));
        let control = cluster.with_role(Role::Control);
        control.iter().for_each(|at| cluster.kill(*at));
        cluster.received_at_roots.clear();
        cluster.run(Duration::from_secs(100));
        control.iter().for_each(|at| cluster.start(*at));
        let edges = cluster.with_role(Role::Edge);
        for _ in 0..20 {
            cluster.run(Duration::from_secs(1));
            let all_present = edges.iter().all(|at| cluster.relay(*at).registry().stores().count() == 10);
            cluster.assert_holds(
                all_present,
                "no entry is removed before the stores had time to announce themselves",
            );
        }
        for number in 0..9 {
            cluster.receive_at_roots(store(number, 2));
        }
        for _ in 0..80 {
            cluster.run(Duration::from_secs(1));
            for at in &edges {
                let has_all_stores = (0..9).all(|number| cluster.has_live_entry(*at, &store_key(number)));
                cluster
                    .assert_holds(has_all_stores, &format!("{at} lacks a store that has announced itself"));
            }
        }
        for at in edges {
            cluster.assert_holds(
                !cluster.has_live_entry(at, &store_key(9)),
                "the store that has not announced itself is removed",
            );
        }
    }
}
