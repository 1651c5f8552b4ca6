//! Backends, edges and a coordinator with faults at every step: what was acknowledged stays, and stays as it was.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::edges::{partition_of, Edges};
use common::facts::Known;
use common::world::{World, PARTITION_COUNT};
use gingerledge_jobs::store::Store;

const TROUBLE: Duration = Duration::from_secs(25);
const CALM: Duration = Duration::from_secs(12);

fn run_until(world: &mut World, edges: &mut Edges, end: Duration) {
    edges.act(world);
    while let Some(message) = world.step(end) {
        if let Some((to, message)) = message {
            edges.receive(world, to, message);
        }
        edges.act(world);
    }
}

/// Every acknowledged batch job is at every member of its chain, with what was shown where it was shown.
fn check_copies(world: &World, edges: &Edges) {
    for partition in 0..PARTITION_COUNT {
        let chain = world.chain(partition);
        let outside = world.backends().filter(|(member, _)| !chain.chain.contains(member));
        for copy in outside.filter_map(|(_, backend)| backend.partition(partition)) {
            assert_eq!(copy.bytes(), 0, "a copy outside the chain is kept");
        }
        let in_chain = world.backends().filter(|(member, _)| chain.chain.contains(member));
        let copies: Vec<_> = in_chain.filter_map(|(_, backend)| backend.partition(partition)).collect();
        assert_eq!(copies.len(), chain.chain.len());
        for copy in &copies {
            assert_eq!(copy.full_epoch(), Some(chain.epoch), "{chain:?}, here {:?}", copy.view());
            assert_eq!(copy.store(), copies[0].store(), "copies of partition {partition} differ");
        }
        for (id, known) in edges.facts.jobs.iter().filter(|(id, _)| partition_of(id) == partition) {
            check_job(copies[0].store(), id, known, edges);
        }
    }
}

fn check_job(store: &Store, id: &str, known: &Known, edges: &Edges) {
    let Some(job) = store.job(id) else {
        assert!(known.created.is_none(), "{id} was acknowledged and is lost");
        return;
    };
    for (position, (_, result, _)) in &known.shown {
        assert_eq!(job.results().get(*position as usize), Some(result), "{id}: position {position}");
    }
    assert!(known.kept.iter().all(|item| job.is_listed(*item)), "{id}: an acknowledged result is lost");
    assert!(known.ended.is_none() || job.is_ended(), "{id}: an acknowledged end is lost");
    assert!(!job.needs_driver() || edges.is_driven(id), "{id} has no driver");
}

fn run(seed: u64, totals: &mut BTreeMap<&'static str, u64>) {
    let mut world = World::new(seed);
    let mut edges = Edges::new(&mut world);
    run_until(&mut world, &mut edges, TROUBLE);
    world.heal();
    edges.calm = true;
    run_until(&mut world, &mut edges, TROUBLE + CALM);
    check_copies(&world, &edges);
    for (what, count) in &edges.facts.answers {
        *totals.entry(what).or_default() += count;
    }
    let well_known = |known: &&Known| known.oldest_told > Duration::from_secs(5);
    *totals.entry("age of seconds").or_default() +=
        edges.facts.jobs.values().filter(well_known).count() as u64;
}

/// Prints the seed of a run that fails.
struct Seed(u64);

impl Drop for Seed {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {}", self.0);
        }
    }
}

#[test]
fn what_was_acknowledged_stays() {
    let first: u64 = std::env::var("SEED").ok().and_then(|it| it.parse().ok()).unwrap_or(1);
    let count: u64 = std::env::var("SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(60);
    let mut totals = BTreeMap::new();
    for seed in first..first + count {
        let _printed = Seed(seed);
        run(seed, &mut totals);
    }
    eprintln!("{totals:?}");
    for what in
        ["created", "appended", "ended", "page", "empty page", "body", "held", "drive", "age of seconds"]
    {
        assert!(totals.get(what).is_some_and(|it| *it > 0), "no run had an answer of the kind '{what}'");
    }
}
