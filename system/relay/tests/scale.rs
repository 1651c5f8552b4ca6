//! The tree at its target size: how soon it forms, how soon it mends, and what it costs at rest.

mod cluster;

use std::time::Duration;

use cluster::{millis, store, Cluster};
use gingerledge_wire::Role;

const CONTROL: usize = 5;
const BACKENDS: usize = 120;
const EDGES: usize = 715;
const STORES: usize = 4200;

/// 840 nodes; control nodes begin to listen half a second later than the others start.
fn target_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_nodes(seed, 0, EDGES, BACKENDS, millis(300));
    cluster.charges_processor_time = true;
    for _ in 0..CONTROL {
        let after = millis(500 + cluster.rng.u64(0..50));
        let address = cluster.add(Role::Control);
        cluster.start_after(after, address);
    }
    cluster
}

/// How many nodes there are at each depth, and how many hang on no root.
fn tree_shape(cluster: &Cluster) -> (Vec<usize>, usize) {
    let mut counts = Vec::new();
    let mut apart = 0;
    for (address, _) in cluster.nodes.iter().filter(|(_, node)| node.is_running()) {
        match cluster.depth(*address) {
            Some(depth) => {
                counts.resize(counts.len().max(depth + 1), 0);
                counts[depth] += 1;
            }
            None => apart += 1,
        }
    }
    (counts, apart)
}

/// Checks that all become fresh in time, and stay so, and prints how long it took.
fn expect_all_fresh(cluster: &mut Cluster, most: Duration, what: &str) {
    let took = cluster.run_until(most, |cluster| {
        cluster.nodes.values().all(|node| node.is_running() || node.is_powered_off) && cluster.are_all_fresh()
    });
    println!("{what}: all fresh after {took:?}, nodes by depth {:?}", tree_shape(cluster));
    cluster.assert_holds(took.is_some(), what);
    // Long enough for every tick from before to have lost its force.
    for _ in 0..9 {
        cluster.run(millis(100));
        cluster.assert_holds(cluster.are_all_fresh(), "all stay fresh");
    }
}

#[test]
fn a_tree_of_840_nodes_forms_and_recovers_and_costs_little_when_idle() {
    let mut cluster = target_cluster(1);
    cluster.run(millis(500));
    expect_all_fresh(&mut cluster, millis(1500), "from when the control nodes listen");
    report(&mut cluster, "at rest");

    for number in 0..STORES {
        cluster.learn_at_roots(store(number, 1));
    }
    let have_all =
        |cluster: &Cluster| cluster.nodes.keys().all(|at| cluster.relay(*at).registry().len() == STORES);
    let took = cluster.run_until(Duration::from_secs(5), have_all);
    println!("{STORES} stores at every node after {took:?}");
    cluster.assert_holds(took.is_some(), "stores reach every node");
    cluster.run(Duration::from_secs(2));

    let mut victims = cluster.with_role(Role::Edge);
    cluster.rng.shuffle(&mut victims);
    for victim in victims.iter().take(EDGES / 3) {
        cluster.power_off(*victim);
    }
    // For this long a node can't know that its parent is dark.
    cluster.run(millis(800));
    expect_all_fresh(&mut cluster, millis(1500), "from 0.8 s after a third of the edges went dark");
    report(&mut cluster, "at rest after it");

    for at in cluster.with_role(Role::Control) {
        cluster.kill(at);
        let after = millis(cluster.rng.u64(400..600));
        cluster.start_after(after, at);
    }
    // By then no tick of the old core counts any more.
    cluster.run(millis(850));
    expect_all_fresh(
        &mut cluster,
        millis(1500),
        "from 0.85 s after the whole core ended, 0.25 s after it runs again",
    );
}

fn report(cluster: &mut Cluster, when: &str) {
    let before: Vec<_> = cluster.nodes.values().map(|node| (node.sent, node.received)).collect();
    let seconds = 10;
    cluster.run(Duration::from_secs(seconds));
    for role in [Role::Control, Role::Edge, Role::Backend] {
        let mut sums = [0u64; 4];
        let mut most = 0;
        let mut count = 0;
        for (node, (sent, received)) in cluster.nodes.values().zip(&before) {
            if node.role != role || !node.is_running() {
                continue;
            }
            count += 1;
            let now = [node.sent.messages, node.sent.bytes, node.received.messages, node.received.bytes];
            let then = [sent.messages, sent.bytes, received.messages, received.bytes];
            for ((sum, now), then) in sums.iter_mut().zip(now).zip(then) {
                *sum += now - then;
            }
            most = most.max(now[0] + now[2] - then[0] - then[2]);
        }
        let each = sums.map(|sum| sum as f64 / seconds as f64 / f64::from(count));
        println!(
            "{when}: {role:?} x {count}: a second each {:.1} messages, {:.0} bytes out; {:.1} messages, {:.0} bytes in; busiest {} messages",
            each[0], each[1], each[2], each[3], most / seconds
        );
    }
}
