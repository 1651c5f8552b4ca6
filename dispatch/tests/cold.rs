//! Fleets at a store that starts cold, in virtual time: what those that were told send it together stays within the settings, with
//! little slack for chance, N + 2 root N + 2 requests of mean work in a window.

mod common;

use common::fleet::{World, STEP_MS};
use common::{class, settings};
use gingerledge_dispatch::{Class, Event, Millis, Settings};

const STOPS_AT: Millis = 3000.0;
const STARTS_AT: Millis = 4000.0;
const ENDS_AT: Millis = 15_000.0;
/// Each aggregator asks the cold store so often, where they flood it; more of them more seldom.
const FLOOD_MS: Millis = 100.0;
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
    /// Each of them asks the cold store for a part of some class several times a second, and knows what the classes' parts take.
    Flood,
    /// The same, but that nobody asks in the first 3 s.
    Pent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ends {
    Nobody,
    /// One in three is killed within 4 s of the start, and a new process takes its place at once.
    Killed,
    /// Seven in ten are killed at once, 3 s after the start.
    Herd,
    /// One in three ends in order within 4 s of the start: for 3 s a new process is there beside it, and clients use both.
    Relieved,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    aggregators: u32,
    reach: u32,
    told: Told,
    numbered: bool,
    demand: Demand,
    ends: Ends,
    uneven: f64,
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
    world.uneven = case.uneven;
    // Where they are to know what parts take, each first asks for one of each class.
    let floods = matches!(case.demand, Demand::Flood | Demand::Pent);
    let learns = if floods { 60.0 * f64::from(case.aggregators) } else { 0.0 };
    let (stops_at, starts_at, ends_at) = (learns + STOPS_AT, learns + STARTS_AT, learns + ENDS_AT);
    // It is warm then, and the rule is over.
    let ends_at = if floods { starts_at + world.set.warm_up_ms } else { ends_at };
    let (each, from) =
        (FLOOD_MS.max(f64::from(case.aggregators)), if case.demand == Demand::Pent { 3000.0 } else { 0.0 });
    let delay: Vec<Millis> = (0..case.aggregators)
        .map(|_| match (case.told, world.chance.unit()) {
            (Told::Once, _) => 0.0,
            (Told::Some, never) if never < 1.0 / 3.0 => f64::INFINITY,
            (_, late) => 5000.0 * late,
        })
        .collect();
    // Whose process ends when; the process that clients ask, and one that they still ask too.
    let ends: Vec<Millis> = (0..case.aggregators)
        .map(|_| match case.ends {
            Ends::Nobody => f64::INFINITY,
            Ends::Herd => {
                if world.chance.unit() < 0.7 {
                    starts_at + 3000.0
                } else {
                    f64::INFINITY
                }
            }
            _ if world.chance.unit() > 1.0 / 3.0 => f64::INFINITY,
            _ => starts_at + (world.chance.unit() * 4000.0 / STEP_MS).floor() * STEP_MS,
        })
        .collect();
    let mut serving: Vec<usize> = (0..case.aggregators as usize).collect();
    let mut leaving: Vec<Option<usize>> = vec![None; serving.len()];
    // Four tenths of what the four stores can do: for the cold one, much more than it may be sent.
    let a_step = 0.8 * 4.0 * STEP_MS / mean();
    while world.now < ends_at {
        if world.now == stops_at {
            world.stop(COLD);
        } else if world.now == starts_at {
            world.start(COLD);
        }
        for (side, delay) in delay.iter().enumerate() {
            let at = starts_at + delay;
            if world.now >= at && world.now < at + STEP_MS {
                world.tell(serving[side], COLD);
                leaving[side].into_iter().for_each(|old| world.tell(old, COLD));
            }
            if world.now == ends[side] {
                let (old, new) = (serving[side], world.another(serving[side]));
                serving[side] = new;
                if case.ends != Ends::Relieved {
                    world.kill(old);
                } else {
                    world.hear(old, Event::Leaving);
                    leaving[side] = Some(old);
                }
            } else if world.now == ends[side] + 3000.0 {
                leaving[side].take().into_iter().for_each(|old| world.kill(old));
            }
        }
        let since = world.now - starts_at;
        let lull = case.demand == Demand::Burst && (0.0..3000.0).contains(&since);
        let bursts = case.demand == Demand::Burst && since == 3000.0;
        let many = if bursts { 3000.0 / STEP_MS } else { f64::from(u8::from(!lull)) } * a_step;
        let many = if floods { 0.0 } else { many };
        let many = many.floor() as usize + usize::from(world.chance.unit() < many.fract());
        for _ in 0..many {
            let draw = world.chance.unit();
            let class = if draw < SHARES[0] { 0 } else { 1 + usize::from(draw > SHARES[0] + SHARES[1]) };
            let (side, shard) = (world.chance.below(serving.len()), world.chance.below(4) as u32);
            let side = leaving[side].filter(|_| world.chance.unit() < 0.5).unwrap_or(serving[side]);
            world.ask(side, class, None, &[shard]);
        }
        if floods {
            let learned = |at: Millis| (3.0 * at.min(learns) / 60.0) as usize;
            for n in learned(world.now)..learned(world.now + STEP_MS) {
                world.ask(n / 3, n % 3, None, &[n as u32 % 4]);
            }
            for side in (0..serving.len())
                .filter(|&side| since >= from && (since + side as f64 * STEP_MS) % each == 0.0)
            {
                let class = world.chance.below(WORKS.len());
                let old = leaving[side].filter(|_| world.chance.unit() < 0.5);
                world.ask(old.unwrap_or(serving[side]), class, None, &[COLD as u32]);
            }
        }
        if case.demand == Demand::Rush && [STEP_MS, 3000.0].contains(&since) {
            for side in (0..case.aggregators as usize).cycle().take(300) {
                let class = world.chance.below(WORKS.len());
                world.ask(serving[side], class, None, &[COLD as u32]);
                leaving[side].into_iter().for_each(|old| world.ask(old, class, None, &[COLD as u32]));
            }
        }
        world.step();
    }
    let told = |sent: &&common::fleet::Sent| sent.told && sent.server == COLD && sent.at >= starts_at;
    let sent: Vec<(Millis, f64)> =
        world.sent.iter().filter(told).map(|sent| (sent.at, sent.work / mean())).collect();
    let mut most = f64::NEG_INFINITY;
    for (n, &(at, _)) in sent.iter().enumerate() {
        let window = sent[..=n].iter().rev().take_while(|one| one.0 > at - world.set.overload_window_ms);
        let requests: f64 = window.map(|one| one.1).sum();
        let allowed =
            world.set.overload_factor * world.capacity(COLD, at) * world.set.overload_window_ms / mean();
        most = most.max(requests - (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    (most, mean() * sent.iter().map(|one| one.1).sum::<f64>())
}

fn every(aggregators: u32) {
    let seed = 7 + u64::from(aggregators);
    let some = Case {
        aggregators,
        reach: 1,
        told: Told::Once,
        numbered: true,
        demand: Demand::Flood,
        ends: Ends::Nobody,
        uneven: 0.0,
        seed,
    };
    let mut cases = Vec::new();
    for reach in [1, 2] {
        for told in [Told::Once, Told::Late, Told::Some] {
            for numbered in [false, true] {
                for demand in [Demand::Steady, Demand::Burst, Demand::Rush] {
                    cases.push(Case { reach, told, numbered, demand, ..some });
                }
            }
        }
    }
    for demand in [Demand::Flood, Demand::Pent] {
        for ends in [Ends::Nobody, Ends::Killed, Ends::Herd, Ends::Relieved] {
            cases.push(Case { demand, ends, ..some });
        }
        cases.push(Case { demand, numbered: false, ..some });
        cases.push(Case { demand, told: Told::Late, uneven: 0.5, ends: Ends::Killed, ..some });
        cases.push(Case { demand, told: Told::Some, uneven: 0.5, ends: Ends::Relieved, ..some });
    }
    let mut broken = Vec::new();
    for case in &cases {
        let (over, work) = play(case);
        println!("{case:?}: {over:.1} over, {work:.0} ms in all");
        if over > 0.0 || work == 0.0 {
            broken.push(format!("{case:?}: {over:.1} over, {work:.0} ms in all"));
        }
    }
    assert!(broken.is_empty(), "{} of {}: {broken:#?}", broken.len(), cases.len());
}

#[test]
fn one_that_was_told_spares_a_cold_store() {
    every(1);
}

#[test]
fn three_that_were_told_spare_a_cold_store() {
    every(3);
}

#[test]
fn twenty_that_were_told_spare_a_cold_store() {
    every(20);
}

#[test]
fn thirty_that_were_told_spare_a_cold_store() {
    every(30);
}

#[test]
fn three_hundred_that_were_told_spare_a_cold_store() {
    every(300);
}
