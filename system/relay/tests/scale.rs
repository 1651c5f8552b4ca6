//! The tree at its target size: how soon it forms, how soon it mends, and what it costs at rest.

mod world;

use std::time::Duration;

use gingerledge_wire::Role;
use world::{ms, store, World};

const CONTROL: usize = 5;
const BACKENDS: usize = 120;
const EDGES: usize = 715;

/// 840 nodes; control nodes begin to listen half a second later than the others start.
fn target(seed: u64) -> World {
    let mut world = World::with_nodes(seed, 0, EDGES, BACKENDS, ms(300));
    world.processor_costs = true;
    for _ in 0..CONTROL {
        let after = ms(500 + world.rng.u64(0..50));
        let address = world.add(Role::Control);
        world.start_after(after, address);
    }
    world
}

fn depths(world: &World) -> Vec<usize> {
    let mut counts = Vec::new();
    for (address, node) in &world.nodes {
        if node.runs() {
            let depth = world.depth(*address).unwrap_or(99);
            counts.resize(counts.len().max(depth + 1), 0);
            counts[depth] += 1;
        }
    }
    counts
}

#[test]
fn a_tree_of_840_forms_and_mends_and_is_cheap_at_rest() {
    let mut world = target(1);
    world.run(ms(500));
    let formed = world.run_until(Duration::from_secs(10), |world| {
        world.nodes.values().all(|node| node.relay.is_some()) && world.all_fresh()
    });
    println!("formed {formed:?} after control nodes listen, depths {:?}", depths(&world));
    world.expect(formed.is_some_and(|time| time < ms(1500)), "the tree forms in time");

    report(&mut world, "at rest");
    for number in 0..4200 {
        world.learn(store(number, 1));
    }
    let last = store(4199, 1);
    let spread = world.run_until(Duration::from_secs(10), |world| world.lacking(&last).is_empty());
    println!("4200 stores at every node {spread:?}");
    world.expect(spread.is_some(), "stores reach every node");
    world.run(Duration::from_secs(3));

    let mut victims = world.with_role(Role::Edge);
    world.rng.shuffle(&mut victims);
    for victim in victims.iter().take(EDGES / 3) {
        world.darken(*victim);
    }
    world.run(ms(1));
    let mended = world.run_until(Duration::from_secs(20), |world| world.all_fresh());
    let fresh = world
        .nodes
        .values()
        .filter(|n| n.runs() && n.relay.as_ref().is_some_and(|r| r.fresh(world.now)))
        .count();
    println!("mended {mended:?} after a third went dark, depths {:?}, fresh {fresh}", depths(&world));
    world.run(ms(850));
    let mended = world.run_until(Duration::from_secs(20), |world| world.all_fresh());
    println!("after 850 ms more {mended:?}, depths {:?}", depths(&world));
    world.expect(mended.is_some_and(|time| time < ms(1500)), "the tree mends in time");
    report(&mut world, "at rest after it");
}

fn report(world: &mut World, when: &str) {
    let before: Vec<_> = world.nodes.values().map(|node| (node.sent, node.received)).collect();
    let seconds = 10;
    world.run(Duration::from_secs(seconds));
    for role in [Role::Control, Role::Edge, Role::Backend] {
        let mut sums = [0u64; 4];
        let mut most = 0;
        let mut count = 0;
        for (node, (sent, received)) in world.nodes.values().zip(&before) {
            if node.role != role || !node.runs() {
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
