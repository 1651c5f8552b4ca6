//! Fleets at a store that warms up, in virtual time: what those that were told send it together stays within the settings, with
//! little slack for chance, N + 2 root N + 2 requests of mean work in a window.

mod common;

use common::fleet::{FleetSimulation, STEP_MS};
use common::{class, settings};
use gingerledge_dispatch::{Class, Event, Millis, Settings};

const STOPS_AT: Millis = 3000.0;
const STARTS_AT: Millis = 4000.0;
const ENDS_AT: Millis = 15_000.0;
/// Each aggregator asks the store that warms up so often, where they flood it; more of them more seldom.
const FLOOD_MS: Millis = 100.0;
/// Work by class, and the share of the requests.
const WORKS: [Millis; 3] = [100.0, 10.0, 25.0];
const SHARES: [f64; 3] = [0.1, 0.6, 0.3];
const WARMING_UP: usize = 1;

#[derive(Clone, Copy, Debug, PartialEq)]
enum RestartNotice {
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
    /// They ask the store that warms up for 300 parts at once when it has started, and again 3 s later.
    Rush,
    /// Each of them asks the store that warms up for a part of some class several times a second, and knows what the classes' parts take.
    Flood,
    /// The same, but that nobody asks in the first 3 s.
    Pent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ProcessEnds {
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
    knows_restart: RestartNotice,
    has_indices: bool,
    demand: Demand,
    ends: ProcessEnds,
    work_spread: f64,
    seed: u64,
}

fn set(case: &Case) -> Settings {
    let mut set = settings(4, case.reach, 4);
    set.aggregators = case.aggregators;
    set.index = case.has_indices.then_some(0);
    set.classes = vec![Class { deadline_ms: 2000.0, ..class() }; WORKS.len()];
    set
}

fn mean() -> Millis {
    WORKS.iter().zip(SHARES).map(|(work, share)| work * share).sum()
}

/// The most by which any window passes the rule's figure, in requests of mean work: below 0 it is kept; and how much work the
/// told sent in all.
fn simulate(case: &Case) -> (f64, Millis) {
    let mut fleet_simulation = FleetSimulation::new(case.seed, set(case), &WORKS, 4);
    fleet_simulation.work_spread = case.work_spread;
    // Where they are to know what parts take, each first asks for one of each class.
    let is_flood = matches!(case.demand, Demand::Flood | Demand::Pent);
    let learns = if is_flood { 60.0 * f64::from(case.aggregators) } else { 0.0 };
    let (stops_at, starts_at, ends_at) = (learns + STOPS_AT, learns + STARTS_AT, learns + ENDS_AT);
    // It is warm then, and the rule is over.
    let ends_at = if is_flood { starts_at + fleet_simulation.set.warm_up_ms } else { ends_at };
    let (each, from) =
        (FLOOD_MS.max(f64::from(case.aggregators)), if case.demand == Demand::Pent { 3000.0 } else { 0.0 });
    let delay: Vec<Millis> = (0..case.aggregators)
        .map(|_| match (case.knows_restart, fleet_simulation.random.unit()) {
            (RestartNotice::Once, _) => 0.0,
            (RestartNotice::Some, never) if never < 1.0 / 3.0 => f64::INFINITY,
            (_, late) => 5000.0 * late,
        })
        .collect();
    // Whose process ends when; the process that clients ask, and one that they still ask too.
    let ends: Vec<Millis> = (0..case.aggregators)
        .map(|_| match case.ends {
            ProcessEnds::Nobody => f64::INFINITY,
            ProcessEnds::Herd => {
                if fleet_simulation.random.unit() < 0.7 {
                    starts_at + 3000.0
                } else {
                    f64::INFINITY
                }
            }
            _ if fleet_simulation.random.unit() > 1.0 / 3.0 => f64::INFINITY,
            _ => starts_at + (fleet_simulation.random.unit() * 4000.0 / STEP_MS).floor() * STEP_MS,
        })
        .collect();
    let mut serving: Vec<usize> = (0..case.aggregators as usize).collect();
    let mut leaving: Vec<Option<usize>> = vec![None; serving.len()];
    // Four tenths of what the four stores can do: for the one that warms up, much more than it may be sent.
    let a_step = 0.8 * 4.0 * STEP_MS / mean();
    while fleet_simulation.now < ends_at {
        if fleet_simulation.now == stops_at {
            fleet_simulation.stop(WARMING_UP);
        } else if fleet_simulation.now == starts_at {
            fleet_simulation.start(WARMING_UP);
        }
        for (process, delay) in delay.iter().enumerate() {
            let at = starts_at + delay;
            if fleet_simulation.now >= at && fleet_simulation.now < at + STEP_MS {
                fleet_simulation.announce(serving[process], WARMING_UP);
                leaving[process].into_iter().for_each(|old| fleet_simulation.announce(old, WARMING_UP));
            }
            if fleet_simulation.now == ends[process] {
                let (old, new) = (serving[process], fleet_simulation.start_process(serving[process]));
                serving[process] = new;
                if case.ends != ProcessEnds::Relieved {
                    fleet_simulation.kill_process(old);
                } else {
                    fleet_simulation.send_event(old, Event::ShuttingDown);
                    leaving[process] = Some(old);
                }
            } else if fleet_simulation.now == ends[process] + 3000.0 {
                leaving[process].take().into_iter().for_each(|old| fleet_simulation.kill_process(old));
            }
        }
        let since = fleet_simulation.now - starts_at;
        let lull = case.demand == Demand::Burst && (0.0..3000.0).contains(&since);
        let bursts = case.demand == Demand::Burst && since == 3000.0;
        let many = if bursts { 3000.0 / STEP_MS } else { f64::from(u8::from(!lull)) } * a_step;
        let many = if is_flood { 0.0 } else { many };
        let many = many.floor() as usize + usize::from(fleet_simulation.random.unit() < many.fract());
        for _ in 0..many {
            let draw = fleet_simulation.random.unit();
            let class = if draw < SHARES[0] { 0 } else { 1 + usize::from(draw > SHARES[0] + SHARES[1]) };
            let (process, shard) =
                (fleet_simulation.random.below(serving.len()), fleet_simulation.random.below(4) as u32);
            let process =
                leaving[process].filter(|_| fleet_simulation.random.unit() < 0.5).unwrap_or(serving[process]);
            fleet_simulation.send_query(process, class, None, &[shard]);
        }
        if is_flood {
            let learned = |at: Millis| (3.0 * at.min(learns) / 60.0) as usize;
            for n in learned(fleet_simulation.now)..learned(fleet_simulation.now + STEP_MS) {
                fleet_simulation.send_query(n / 3, n % 3, None, &[n as u32 % 4]);
            }
            for process in (0..serving.len())
                .filter(|&process| since >= from && (since + process as f64 * STEP_MS) % each == 0.0)
            {
                let class = fleet_simulation.random.below(WORKS.len());
                let old = leaving[process].filter(|_| fleet_simulation.random.unit() < 0.5);
                fleet_simulation.send_query(
                    old.unwrap_or(serving[process]),
                    class,
                    None,
                    &[WARMING_UP as u32],
                );
            }
        }
        if case.demand == Demand::Rush && [STEP_MS, 3000.0].contains(&since) {
            for process in (0..case.aggregators as usize).cycle().take(300) {
                let class = fleet_simulation.random.below(WORKS.len());
                fleet_simulation.send_query(serving[process], class, None, &[WARMING_UP as u32]);
                leaving[process]
                    .into_iter()
                    .for_each(|old| fleet_simulation.send_query(old, class, None, &[WARMING_UP as u32]));
            }
        }
        fleet_simulation.step();
    }
    let knows_restart =
        |sent: &&common::fleet::Sent| sent.knows_restart && sent.server == WARMING_UP && sent.at >= starts_at;
    let sent: Vec<(Millis, f64)> = fleet_simulation
        .sent
        .iter()
        .filter(knows_restart)
        .map(|sent| (sent.at, sent.work / mean()))
        .collect();
    let mut most = f64::NEG_INFINITY;
    for (n, &(at, _)) in sent.iter().enumerate() {
        let window =
            sent[..=n].iter().rev().take_while(|one| one.0 > at - fleet_simulation.set.overload_window_ms);
        let requests: f64 = window.map(|one| one.1).sum();
        let allowed = fleet_simulation.set.overload_factor
            * fleet_simulation.capacity(WARMING_UP, at)
            * fleet_simulation.set.overload_window_ms
            / mean();
        most = most.max(requests - (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    (most, mean() * sent.iter().map(|one| one.1).sum::<f64>())
}

fn every(aggregators: u32) {
    let seed = 7 + u64::from(aggregators);
    let some = Case {
        aggregators,
        reach: 1,
        knows_restart: RestartNotice::Once,
        has_indices: true,
        demand: Demand::Flood,
        ends: ProcessEnds::Nobody,
        work_spread: 0.0,
        seed,
    };
    let mut cases = Vec::new();
    for reach in [1, 2] {
        for knows_restart in [RestartNotice::Once, RestartNotice::Late, RestartNotice::Some] {
            for has_indices in [false, true] {
                for demand in [Demand::Steady, Demand::Burst, Demand::Rush] {
                    cases.push(Case { reach, knows_restart, has_indices, demand, ..some });
                }
            }
        }
    }
    for demand in [Demand::Flood, Demand::Pent] {
        for ends in [ProcessEnds::Nobody, ProcessEnds::Killed, ProcessEnds::Herd, ProcessEnds::Relieved] {
            cases.push(Case { demand, ends, ..some });
        }
        cases.push(Case { demand, has_indices: false, ..some });
        cases.push(Case {
            demand,
            knows_restart: RestartNotice::Late,
            work_spread: 0.5,
            ends: ProcessEnds::Killed,
            ..some
        });
        cases.push(Case {
            demand,
            knows_restart: RestartNotice::Some,
            work_spread: 0.5,
            ends: ProcessEnds::Relieved,
            ..some
        });
    }
    let mut broken = Vec::new();
    for case in &cases {
        let (over, work) = simulate(case);
        println!("{case:?}: {over:.1} over, {work:.0} ms in all");
        if over > 0.0 || work == 0.0 {
            broken.push(format!("{case:?}: {over:.1} over, {work:.0} ms in all"));
        }
    }
    assert!(broken.is_empty(), "{} of {}: {broken:#?}", broken.len(), cases.len());
}

#[test]
fn one_aggregator_keeps_the_budget_of_a_server_that_warms_up() {
    every(1);
}

#[test]
fn three_aggregators_keep_the_budget_of_a_server_that_warms_up() {
    every(3);
}

#[test]
fn twenty_aggregators_keep_the_budget_of_a_server_that_warms_up() {
    every(20);
}

#[test]
fn thirty_aggregators_keep_the_budget_of_a_server_that_warms_up() {
    every(30);
}

#[test]
fn three_hundred_aggregators_keep_the_budget_of_a_server_that_warms_up() {
    every(300);
}
