//! The tree at its target size: the times to form and to recover, and the load when idle.

mod cluster;

use std::time::Duration;

use cluster::{millis, store, Cluster};
use gingerledge_wire::Role;

const CONTROL_NODES: usize = 5;
const BACKENDS: usize = 120;
const EDGES: usize = 715;
const STORES: usize = 4200;

/// Creates a cluster of 840 nodes. The other nodes start first, and the control nodes half a second later.
fn target_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_nodes(seed, 0, EDGES, BACKENDS, millis(300));
    cluster.charges_processor_time = true;
    for _ in 0..CONTROL_NODES {
        let after = millis(500 + cluster.rng.u64(0..50));
        let address = cluster.add(Role::Control);
        cluster.start_after(after, address);
    }
    cluster
}

/// The number of running nodes at each depth, and the number of those without a path to a root.
fn tree_shape(cluster: &Cluster) -> (Vec<usize>, usize) {
    let mut counts = Vec::new();
    let mut rootless = 0;
    for (address, _) in cluster.nodes.iter().filter(|(_, node)| node.is_running()) {
        match cluster.depth(*address) {
            Some(depth) => {
                counts.resize(counts.len().max(depth + 1), 0);
                counts[depth] += 1;
            }
            None => rootless += 1,
        }
    }
    (counts, rootless)
}

/// Checks that all nodes become fresh within `limit` and stay fresh; prints the time that it took.
fn expect_all_fresh(cluster: &mut Cluster, limit: Duration, description: &str) {
    let elapsed = cluster.run_until(limit, |cluster| {
        cluster.nodes.values().all(|node| node.is_running() || node.is_powered_off) && cluster.are_all_fresh()
    });
    println!("{description}: all fresh after {elapsed:?}, nodes by depth {:?}", tree_shape(cluster));
    cluster.assert_holds(elapsed.is_some(), description);
    // In this time, every earlier tick expires.
    for _ in 0..9 {
        cluster.run(millis(100));
        cluster.assert_holds(cluster.are_all_fresh(), "all nodes stay fresh");
    }
}

#[test]
fn a_tree_of_840_nodes_forms_and_recovers_and_costs_little_when_idle() {
    let mut cluster = target_cluster(1);
    cluster.run(millis(500));
    expect_all_fresh(&mut cluster, millis(1500), "after the start of the control nodes");
    print_load(&mut cluster, "idle");

    for number in 0..STORES {
        cluster.receive_at_roots(store(number, 1));
    }
    let all_have_all_stores =
        |cluster: &Cluster| cluster.nodes.keys().all(|at| cluster.relay(*at).registry().len() == STORES);
    let elapsed = cluster.run_until(Duration::from_secs(5), all_have_all_stores);
    println!("{STORES} stores at every node after {elapsed:?}");
    cluster.assert_holds(elapsed.is_some(), "stores reach every node");
    cluster.run(Duration::from_secs(2));

    let mut victims = cluster.with_role(Role::Edge);
    cluster.rng.shuffle(&mut victims);
    for victim in victims.iter().take(EDGES / 3) {
        cluster.power_off(*victim);
    }
    // For this long, a node cannot notice that its parent is powered off.
    cluster.run(millis(800));
    expect_all_fresh(&mut cluster, millis(1500), "from 0.8 s after a third of the edges was powered off");
    print_load(&mut cluster, "idle after the outage");

    for at in cluster.with_role(Role::Control) {
        cluster.kill(at);
        let after = millis(cluster.rng.u64(400..600));
        cluster.start_after(after, at);
    }
    // After this time, no tick of the killed control nodes is accepted any more.
    cluster.run(millis(850));
    expect_all_fresh(
        &mut cluster,
        millis(1500),
        "from 0.85 s after all control nodes were killed, 0.25 s after they run again",
    );
}

fn print_load(cluster: &mut Cluster, state: &str) {
    let before: Vec<_> = cluster.nodes.values().map(|node| (node.sent, node.received)).collect();
    let seconds = 10;
    cluster.run(Duration::from_secs(seconds));
    for role in [Role::Control, Role::Edge, Role::Backend] {
        let mut sums = [0u64; 4];
        let mut max_messages = 0;
        let mut count = 0;
        for (node, (sent, received)) in cluster.nodes.values().zip(&before) {
            if node.role != role || !node.is_running() {
                continue;
            }
            count += 1;
            let current = [node.sent.messages, node.sent.bytes, node.received.messages, node.received.bytes];
            let previous = [sent.messages, sent.bytes, received.messages, received.bytes];
            for ((sum, current), previous) in sums.iter_mut().zip(current).zip(previous) {
                *sum += current - previous;
            }
            max_messages = max_messages.max(current[0] + current[2] - previous[0] - previous[2]);
        }
        let rates = sums.map(|sum| sum as f64 / seconds as f64 / f64::from(count));
        println!(
            "{state}: {role:?} x {count}: per node and second {:.1} messages, {:.0} bytes out; {:.1} messages, {:.0} bytes in; busiest {} messages",
            rates[0], rates[1], rates[2], rates[3], max_messages / seconds
        );
    }
}
