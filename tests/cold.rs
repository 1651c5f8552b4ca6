//! Fleets at a store that starts cold, in virtual time: what those that were told send it together stays within the settings, with
//! the slack for chance of the rule, N + 3 root N + 3 requests of mean work in a window.

mod common;

use common::fleet::{World, STEP_MS};
use common::{class, settings};
use stoatlane::{Class, Millis, Settings};

const STOPS_AT: Millis = 3000.0;
const STARTS_AT: Millis = 4000.0;
const ENDS_AT: Millis = 15_000.0;
/// Work by class, and the share of the requests.
const WORKS: [Millis; 3] = [100.0, 10.0, 25.0];
const SHARES: [f64; 3] = [0.1, 0.6, 0.3];
const COLD: usize = 1;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    Once,
    /// Each by up to 5 s later, by chance.
    Late,
    /// One in three never, the others late.
    Some,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Demand {
    Steady,
    /// Nobody asks for 3 s after the start, then all at once.
    Burst,
    /// They ask the cold store for 300 parts at once when it has started, and again 3 s later.
    Rush,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    aggregators: u32,
    reach: u32,
    told: Told,
    numbered: bool,
    demand: Demand,
    seed: u64,
}

fn set(case: &Case) -> Settings {
    let mut set = settings(4, case.reach, 4);
    set.aggregators = case.aggregators;
    set.index = case.numbered.then_some(0);
    set.classes = vec![Class { deadline_ms: 2000.0, ..class() }; WORKS.len()];
    set
}

fn mean() -> Millis {
    WORKS.iter().zip(SHARES).map(|(work, share)| work * share).sum()
}

/// The most by which any window passes the rule's figure, in requests of mean work: below 0 it is kept; and how much work the
/// told sent in all.
fn play(case: &Case) -> (f64, Millis) {
    let mut world = World::new(case.seed, set(case), &WORKS, 4);
    let delay: Vec<Millis> = (0..case.aggregators)
        .map(|_| match (case.told, world.chance.unit()) {
            (Told::Once, _) => 0.0,
            (Told::Some, never) if never < 1.0 / 3.0 => f64::INFINITY,
            (_, late) => 5000.0 * late,
        })
        .collect();
    // Four tenths of what the four stores can do: for the cold one, much more than it may be sent.
    let a_step = 0.8 * 4.0 * STEP_MS / mean();
    while world.now < ENDS_AT {
        if world.now == STOPS_AT {
            world.stop(COLD);
        } else if world.now == STARTS_AT {
            world.start(COLD);
        }
        for (side, delay) in delay.iter().enumerate() {
            let at = STARTS_AT + delay;
            if world.now >= at && world.now < at + STEP_MS {
                world.tell(side, COLD);
            }
        }
        let since = world.now - STARTS_AT;
        let lull = case.demand == Demand::Burst && (0.0..3000.0).contains(&since);
        let bursts = case.demand == Demand::Burst && since == 3000.0;
        let many = if bursts { 3000.0 / STEP_MS } else { f64::from(u8::from(!lull)) } * a_step;
        let many = many.floor() as usize + usize::from(world.chance.unit() < many.fract());
        for _ in 0..many {
            let draw = world.chance.unit();
            let class = if draw < SHARES[0] { 0 } else { 1 + usize::from(draw > SHARES[0] + SHARES[1]) };
            let (side, shard) = (world.chance.below(world.sides.len()), world.chance.below(4) as u32);
            world.ask(side, class, None, &[shard]);
        }
        if case.demand == Demand::Rush && [STEP_MS, 3000.0].contains(&since) {
            for side in (0..case.aggregators as usize).cycle().take(300) {
                let class = world.chance.below(WORKS.len());
                world.ask(side, class, None, &[COLD as u32]);
            }
        }
        world.step();
    }
    let told = |sent: &&common::fleet::Sent| sent.told && sent.server == COLD && sent.at >= STARTS_AT;
    let sent: Vec<(Millis, f64)> =
        world.sent.iter().filter(told).map(|sent| (sent.at, WORKS[sent.class] / mean())).collect();
    let mut most = f64::NEG_INFINITY;
    for (n, &(at, _)) in sent.iter().enumerate() {
        let window = sent[..=n].iter().rev().take_while(|one| one.0 > at - world.set.fall_ms);
        let requests: f64 = window.map(|one| one.1).sum();
        let allowed = world.set.overload_factor * world.capacity(COLD, at) * world.set.fall_ms / mean();
        most = most.max(requests - (allowed + 3.0 * allowed.sqrt() + 3.0));
    }
    (most, mean() * sent.iter().map(|one| one.1).sum::<f64>())
}

fn every(aggregators: u32) {
    let mut broken = Vec::new();
    for reach in [1, 2] {
        for told in [Told::Once, Told::Late, Told::Some] {
            for numbered in [false, true] {
                for demand in [Demand::Steady, Demand::Burst, Demand::Rush] {
                    let seed = 7 + u64::from(aggregators);
                    let case = Case { aggregators, reach, told, numbered, demand, seed };
                    let (over, work) = play(&case);
                    println!("{case:?}: {over:.1} over, {work:.0} ms in all");
                    if over > 0.0 || work == 0.0 {
                        broken.push(format!("{case:?}: {over:.1} over, {work:.0} ms in all"));
                    }
                }
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn three_that_were_told_spare_a_cold_store() {
    every(3);
}

#[test]
fn thirty_that_were_told_spare_a_cold_store() {
    every(30);
}

#[test]
fn three_hundred_that_were_told_spare_a_cold_store() {
    every(300);
}
