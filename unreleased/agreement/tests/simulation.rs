//! Seeded runs of 3, 5 and 7 voters with every fault at once. `SEEDS=` says how many, `SEED=` runs one.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod world;

use gingerledge_agreement::{Torn, Unmet};
use world::{bounds, Weather, World, FAIR};

fn a_fault(world: &mut World) {
    let count = world.count();
    let (who, other) = (world.rng.usize(..count), world.rng.usize(..count));
    match world.rng.u32(..12) {
        0 => drop(world.cut.insert((who, other))),
        1 => world.cut.extend([(who, other), (other, who)]),
        2 => {
            let side: Vec<bool> = (0..count).map(|_| world.rng.bool()).collect();
            let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
            world.cut.extend(pairs.filter(|(a, b)| side[*a] != side[*b]));
        }
        3..=5 => world.cut.clear(),
        6 => {
            let lost = [0.0, 0.05, 0.3][world.rng.usize(..3)];
            let delay_most = [5.0, 100.0, 3_000.0][world.rng.usize(..3)];
            world.weather = Weather { lost, twice: 0.2 * world.rng.f64(), delay_most };
        }
        7 => {
            world.crash(who);
            let later = 1_500.0 * world.rng.f64();
            world.reopen_later(who, later);
        }
        8 | 9 => {
            let kept = world.rng.usize(..200);
            let torn = [Torn::Kept(kept), Torn::Zeros(kept), Torn::Whole][world.rng.usize(..3)];
            let after = world.rng.u32(..12);
            world.doom(who, after, torn);
        }
        _ => {
            if world.lose_disk(who) {
                let later = 400.0 * world.rng.f64();
                world.reopen_later(who, later);
            }
        }
    }
}

fn storm(seed: u64) -> World {
    let count = [3, 3, 5, 7][(seed % 4) as usize];
    let mut world = World::new(count, seed, bounds());
    // Half begin with faults from the very first start on.
    if seed.is_multiple_of(2) {
        world.run(1_500.0);
    }
    for _ in 0..40 {
        if world.rng.f64() < 0.5 {
            a_fault(&mut world);
        }
        for _ in 0..4 {
            let anyone = world.rng.usize(..count);
            let who = world.leader().filter(|_| world.rng.f64() < 0.7).unwrap_or(anyone);
            match world.rng.u32(..3) {
                0 => {
                    world.read(anyone);
                }
                _ => {
                    world.propose(who);
                }
            }
            let span = 60.0 * world.rng.f64();
            world.run(span);
        }
    }
    world.heal();
    world
}

/// Once faults end a command is done within this much virtual time, and everyone has all of it.
const AGAIN_MS: f64 = 6_000.0;

fn calm(world: &mut World) {
    let (seed, began) = (world.seed, world.now);
    let ready = world.until(AGAIN_MS, |world| {
        world.leader().is_some()
            && (0..world.count()).all(|who| world.node(who).is_some_and(|node| node.votes()))
    });
    assert!(
        ready,
        "seed {seed}: no leader, or not all vote, {AGAIN_MS} ms after the faults: {}",
        world.standing()
    );
    while world.now < began + AGAIN_MS {
        let Some(leader) = world.leader() else {
            world.run(20.0);
            continue;
        };
        let ticket = world.propose(leader);
        world.until(1_000.0, |world| world.done.contains_key(&ticket) || world.unmet.contains_key(&ticket));
        if let Some(index) = world.done.get(&ticket).copied() {
            let all = world.until(AGAIN_MS, |world| {
                (0..world.count()).all(|who| world.node(who).is_some_and(|node| node.applied() >= index))
            });
            assert!(all, "seed {seed}: not all have applied {index}: {}", world.standing());
            assert!(
                world.until(AGAIN_MS, |world| world.unanswered() == 0),
                "seed {seed}: an unanswered ticket"
            );
            return;
        }
    }
    panic!("seed {seed}: nothing done {AGAIN_MS} ms after the faults");
}

#[test]
fn what_is_done_stays_and_all_apply_the_same() {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds: Vec<u64> =
        number("SEED").map_or_else(|| (0..number("SEEDS").unwrap_or(600)).collect(), |seed| vec![seed]);
    let threads = std::thread::available_parallelism().map_or(4, |count| count.get()).min(8);
    let sums = std::sync::Mutex::new([0u64; 6]);
    std::thread::scope(|scope| {
        for lane in 0..threads {
            let (seeds, sums) = (&seeds, &sums);
            scope.spawn(move || {
                for seed in seeds.iter().skip(lane).step_by(threads) {
                    let mut world = storm(*seed);
                    calm(&mut world);
                    let counts = [
                        world.done.len() as u64,
                        world.fresh,
                        world.crashes,
                        world.lost_disks,
                        world.terms.len() as u64,
                        world.unmet.values().filter(|why| **why == Unmet::Lost).count() as u64,
                    ];
                    let mut sums = sums.lock().unwrap();
                    sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
                }
            });
        }
    });
    let [done, fresh, crashes, lost_disks, terms, lost] = sums.into_inner().unwrap();
    println!("{} seeds: {done} done, {fresh} fresh, {lost} lost, {crashes} crashes, {lost_disks} disks lost, {terms} terms", seeds.len());
    // Else the runs would hold nothing.
    if seeds.len() >= 100 {
        let least = seeds.len() as u64;
        assert!(
            done > 10 * least
                && fresh > 3 * least
                && crashes > least
                && lost_disks > least / 2
                && lost > least / 4
        );
    }
}

#[test]
fn a_seed_replays() {
    for seed in [3, 8] {
        assert_eq!(storm(seed).trace, storm(seed).trace, "seed {seed}");
    }
}

fn settled(count: usize, seed: u64) -> World {
    let mut world = World::new(count, seed, bounds());
    assert!(
        world.until(3_000.0, |world| world.leader().is_some()),
        "seed {seed}: no leader at the first start"
    );
    world
}

#[test]
fn a_minority_does_nothing() {
    for seed in 0..20 {
        let count = [3, 5, 7][(seed % 3) as usize];
        let mut world = settled(count, seed);
        let leader = world.leader().unwrap();
        // The leader is among the minority.
        let minority: Vec<usize> = (0..count).map(|at| (leader + at) % count).take(count / 2).collect();
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        world.cut.extend(pairs.filter(|(a, b)| minority.contains(a) != minority.contains(b)));
        let mut tickets = Vec::new();
        for _ in 0..40 {
            for who in &minority {
                tickets.push(world.propose(*who));
                tickets.push(world.read(*who));
            }
            world.run(50.0);
        }
        world.run(3_000.0);
        assert!(
            tickets.iter().all(|ticket| world.unmet.contains_key(ticket)),
            "seed {seed}: met, or never answered"
        );
        let other = world.leader().unwrap();
        assert!(!minority.contains(&other), "seed {seed}: the majority leads itself");
    }
}

/// What pre-vote is for: a voter that was cut off comes back and the leader, and its term, stay.
#[test]
fn a_voter_that_was_cut_off_does_not_unseat_the_leader() {
    for seed in 0..20 {
        let mut world = settled(3, seed);
        world.run(1_000.0);
        let (leader, term) = (world.leader().unwrap(), world.node(world.leader().unwrap()).unwrap().term());
        let away = (leader + 1) % 3;
        world.cut.extend((0..3).flat_map(|other| [(away, other), (other, away)]));
        world.run(5_000.0);
        world.cut.clear();
        world.run(2_000.0);
        assert_eq!(world.node(away).unwrap().term(), term, "seed {seed}: it raised its term");
        assert_eq!(world.leader(), Some(leader), "seed {seed}");
    }
}

/// Beyond the assumption: with the disks of a majority gone nothing more is done, and nothing wrong.
#[test]
fn a_majority_without_disks_stands_still() {
    let mut world = settled(3, 1);
    let leader = world.leader().unwrap();
    let ticket = world.propose(leader);
    world.run(500.0);
    assert!(world.done.contains_key(&ticket));
    world.crash(0);
    world.lose_disk(1);
    world.crash(2);
    world.weather = FAIR;
    let done = world.done.len();
    world.wipe(2);
    (0..3).for_each(|who| world.reopen_later(who, 10.0));
    for _ in 0..100 {
        for who in 0..3 {
            world.propose(who);
        }
        world.run(100.0);
    }
    assert_eq!(world.done.len(), done);
    assert!(!world.node(1).unwrap().votes() && !world.node(2).unwrap().votes());
}
