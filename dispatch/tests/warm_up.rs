//! The limit on the work sent to a store that warms up, for fleets of aggregators in virtual time. In any
//! window, the aggregators that know of the store's restart may together send it what the settings allow, N
//! parts of mean work, plus a tolerance for random effects: N + 2 sqrt(N) + 2 parts.

mod common;

use common::fleet::{FleetSimulation, STEP_MS};
use common::{class, ring_settings};
use gingerledge_dispatch::{Class, Event, Millis, Settings};

const STORE_STOPS_AT: Millis = 3000.0;
const STORE_RESTARTS_AT: Millis = 4000.0;
const SIMULATION_ENDS_AT: Millis = 15_000.0;
/// Interval between the queries of an aggregator to the store that warms up, in a flood. With more than 100
/// aggregators, the interval is longer.
const FLOOD_INTERVAL_MS: Millis = 100.0;
/// Processing time of a part, by class.
const PART_WORK_MS: [Millis; 3] = [100.0, 10.0, 25.0];
/// Share of the queries, by class.
const CLASS_SHARES: [f64; 3] = [0.1, 0.6, 0.3];
/// The store that is restarted and warms up.
const WARMING_UP: usize = 1;

/// When the aggregators get to know of the store's restart.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RestartNotice {
    /// All of them at once.
    Immediate,
    /// Each of them after a random delay of up to 5 s.
    Delayed,
    /// One in three never, the others after a random delay.
    Incomplete,
}

/// The queries that the aggregators get.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Demand {
    /// Queries to all stores, at a constant rate.
    Steady,
    /// No queries for 3 s after the restart, then all of them at once.
    Burst,
    /// 300 queries to the store that warms up at its restart, and again 3 s later.
    Rush,
    /// Queries of random classes to the store that warms up, up to ten per second for each aggregator. The
    /// aggregators know the latencies of all classes.
    Flood,
    /// Like a flood, but without queries in the first 3 s.
    DelayedFlood,
}

/// Which aggregator processes end during the warm-up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProcessEnds {
    /// None of them.
    Unchanged,
    /// One in three is killed within 4 s of the restart, and a new process replaces it at once.
    Killed,
    /// Seven in ten are killed at the same time, 3 s after the restart.
    KilledTogether,
    /// One in three shuts down within 4 s of the restart. For 3 s, a new process runs beside it, and clients
    /// use both.
    ShutDown,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    aggregators: u32,
    reach: u32,
    restart_notice: RestartNotice,
    has_indices: bool,
    demand: Demand,
    ends: ProcessEnds,
    work_spread: f64,
    seed: u64,
}

fn fleet_settings(case: &Case) -> Settings {
    let mut settings = ring_settings(4, case.reach, 4);
    settings.aggregators = case.aggregators;
    settings.index = case.has_indices.then_some(0);
    settings.classes = vec![Class { deadline_ms: 2000.0, ..class() }; PART_WORK_MS.len()];
    settings
}

/// The mean processing time of a part.
fn mean_work() -> Millis {
    PART_WORK_MS.iter().zip(CLASS_SHARES).map(|(work, share)| work * share).sum()
}

/// Returns the maximum excess over the limit in any window, in parts of mean work, which is negative if the
/// limit is kept, and the total work sent by aggregators that knew of the restart.
fn simulate(case: &Case) -> (f64, Millis) {
    let mut fleet = FleetSimulation::new(case.seed, fleet_settings(case), &PART_WORK_MS, 4);
    fleet.work_spread = case.work_spread;
    // For a flood, each aggregator first gets one query of each class, so that it learns their latencies.
    let is_flood = matches!(case.demand, Demand::Flood | Demand::DelayedFlood);
    let learning_ms = if is_flood { 60.0 * f64::from(case.aggregators) } else { 0.0 };
    let (stops_at, restarts_at, ends_at) =
        (learning_ms + STORE_STOPS_AT, learning_ms + STORE_RESTARTS_AT, learning_ms + SIMULATION_ENDS_AT);
    // The simulation of a flood ends with the warm-up, and with it the limit.
    let ends_at = if is_flood { restarts_at + fleet.settings.warm_up_ms } else { ends_at };
    let (interval, from) = (
        FLOOD_INTERVAL_MS.max(f64::from(case.aggregators)),
        if case.demand == Demand::DelayedFlood { 3000.0 } else { 0.0 },
    );
    let notice_delays: Vec<Millis> = (0..case.aggregators)
        .map(|_| match (case.restart_notice, fleet.random.unit()) {
            (RestartNotice::Immediate, _) => 0.0,
            (RestartNotice::Incomplete, random) if random < 1.0 / 3.0 => f64::INFINITY,
            (_, random) => 5000.0 * random,
        })
        .collect();
    // When the process of each aggregator ends.
    let ends_at_by_process: Vec<Millis> = (0..case.aggregators)
        .map(|_| match case.ends {
            ProcessEnds::Unchanged => f64::INFINITY,
            ProcessEnds::KilledTogether => {
                if fleet.random.unit() < 0.7 {
                    restarts_at + 3000.0
                } else {
                    f64::INFINITY
                }
            }
            _ if fleet.random.unit() > 1.0 / 3.0 => f64::INFINITY,
            _ => restarts_at + (fleet.random.unit() * 4000.0 / STEP_MS).floor() * STEP_MS,
        })
        .collect();
    // The process of each aggregator that clients use.
    let mut serving: Vec<usize> = (0..case.aggregators as usize).collect();
    // The process that is shutting down and that clients still use as well.
    let mut shutting_down: Vec<Option<usize>> = vec![None; serving.len()];
    // The number of queries per step: 0.8 of the capacity of the four stores. For the one that warms up, this
    // is much more than it may be sent.
    let queries_per_step = 0.8 * 4.0 * STEP_MS / mean_work();
    while fleet.now < ends_at {
        if fleet.now == stops_at {
            fleet.stop_store(WARMING_UP);
        } else if fleet.now == restarts_at {
            fleet.restart_store(WARMING_UP);
        }
        for (process, delay) in notice_delays.iter().enumerate() {
            let at = restarts_at + delay;
            if fleet.now >= at && fleet.now < at + STEP_MS {
                fleet.announce(serving[process], WARMING_UP);
                shutting_down[process].into_iter().for_each(|old| fleet.announce(old, WARMING_UP));
            }
            if fleet.now == ends_at_by_process[process] {
                let (old, new) = (serving[process], fleet.start_process(serving[process]));
                serving[process] = new;
                if case.ends != ProcessEnds::ShutDown {
                    fleet.kill_process(old);
                } else {
                    fleet.send_event(old, Event::ShuttingDown);
                    shutting_down[process] = Some(old);
                }
            } else if fleet.now == ends_at_by_process[process] + 3000.0 {
                shutting_down[process].take().into_iter().for_each(|old| fleet.kill_process(old));
            }
        }
        let since_restart = fleet.now - restarts_at;
        let is_pause = case.demand == Demand::Burst && (0.0..3000.0).contains(&since_restart);
        let is_burst = case.demand == Demand::Burst && since_restart == 3000.0;
        let count =
            if is_burst { 3000.0 / STEP_MS } else { f64::from(u8::from(!is_pause)) } * queries_per_step;
        let count = if is_flood { 0.0 } else { count };
        let count = count.floor() as usize + usize::from(fleet.random.unit() < count.fract());
        for _ in 0..count {
            let draw = fleet.random.unit();
            let class = if draw < CLASS_SHARES[0] {
                0
            } else {
                1 + usize::from(draw > CLASS_SHARES[0] + CLASS_SHARES[1])
            };
            let (process, shard) = (fleet.random.below(serving.len()), fleet.random.below(4) as u32);
            let process =
                shutting_down[process].filter(|_| fleet.random.unit() < 0.5).unwrap_or(serving[process]);
            fleet.send_query(process, class, None, &[shard]);
        }
        if is_flood {
            let learning_queries_until = |at: Millis| (3.0 * at.min(learning_ms) / 60.0) as usize;
            for n in learning_queries_until(fleet.now)..learning_queries_until(fleet.now + STEP_MS) {
                fleet.send_query(n / 3, n % 3, None, &[n as u32 % 4]);
            }
            for process in (0..serving.len()).filter(|&process| {
                since_restart >= from && (since_restart + process as f64 * STEP_MS) % interval == 0.0
            }) {
                let class = fleet.random.below(PART_WORK_MS.len());
                let old = shutting_down[process].filter(|_| fleet.random.unit() < 0.5);
                fleet.send_query(old.unwrap_or(serving[process]), class, None, &[WARMING_UP as u32]);
            }
        }
        if case.demand == Demand::Rush && [STEP_MS, 3000.0].contains(&since_restart) {
            for process in (0..case.aggregators as usize).cycle().take(300) {
                let class = fleet.random.below(PART_WORK_MS.len());
                fleet.send_query(serving[process], class, None, &[WARMING_UP as u32]);
                shutting_down[process]
                    .into_iter()
                    .for_each(|old| fleet.send_query(old, class, None, &[WARMING_UP as u32]));
            }
        }
        fleet.step();
    }
    let is_counted = |sent: &&common::fleet::SentPart| {
        sent.knows_restart && sent.server == WARMING_UP && sent.at >= restarts_at
    };
    let sent: Vec<(Millis, f64)> =
        fleet.sent.iter().filter(is_counted).map(|sent| (sent.at, sent.work / mean_work())).collect();
    let mut max_excess = f64::NEG_INFINITY;
    for (n, &(at, _)) in sent.iter().enumerate() {
        let window =
            sent[..=n].iter().rev().take_while(|part| part.0 > at - fleet.settings.overload_window_ms);
        let parts: f64 = window.map(|part| part.1).sum();
        let allowed = fleet.settings.overload_factor
            * fleet.capacity(WARMING_UP, at)
            * fleet.settings.overload_window_ms
            / mean_work();
        max_excess = max_excess.max(parts - (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    (max_excess, mean_work() * sent.iter().map(|part| part.1).sum::<f64>())
}

/// Checks all cases for a number of aggregators.
fn check_all_cases(aggregators: u32) {
    let seed = 7 + u64::from(aggregators);
    let base = Case {
        aggregators,
        reach: 1,
        restart_notice: RestartNotice::Immediate,
        has_indices: true,
        demand: Demand::Flood,
        ends: ProcessEnds::Unchanged,
        work_spread: 0.0,
        seed,
    };
    let mut cases = Vec::new();
    for reach in [1, 2] {
        for restart_notice in [RestartNotice::Immediate, RestartNotice::Delayed, RestartNotice::Incomplete] {
            for has_indices in [false, true] {
                for demand in [Demand::Steady, Demand::Burst, Demand::Rush] {
                    cases.push(Case { reach, restart_notice, has_indices, demand, ..base });
                }
            }
        }
    }
    for demand in [Demand::Flood, Demand::DelayedFlood] {
        for ends in
            [ProcessEnds::Unchanged, ProcessEnds::Killed, ProcessEnds::KilledTogether, ProcessEnds::ShutDown]
        {
            cases.push(Case { demand, ends, ..base });
        }
        cases.push(Case { demand, has_indices: false, ..base });
        cases.push(Case {
            demand,
            restart_notice: RestartNotice::Delayed,
            work_spread: 0.5,
            ends: ProcessEnds::Killed,
            ..base
        });
        cases.push(Case {
            demand,
            restart_notice: RestartNotice::Incomplete,
            work_spread: 0.5,
            ends: ProcessEnds::ShutDown,
            ..base
        });
    }
    let mut violations = Vec::new();
    for case in &cases {
        let (excess, work) = simulate(case);
        println!("{case:?}: {excess:.1} over the limit, {work:.0} ms of work in total");
        if excess > 0.0 || work == 0.0 {
            violations.push(format!("{case:?}: {excess:.1} over the limit, {work:.0} ms of work in total"));
        }
    }
    assert!(violations.is_empty(), "{} of {}: {violations:#?}", violations.len(), cases.len());
}

#[test]
fn one_aggregator_keeps_the_budget_of_a_server_that_warms_up() {
    check_all_cases(1);
}

#[test]
fn three_aggregators_keep_the_budget_of_a_server_that_warms_up() {
    check_all_cases(3);
}

#[test]
fn twenty_aggregators_keep_the_budget_of_a_server_that_warms_up() {
    check_all_cases(20);
}

#[test]
fn thirty_aggregators_keep_the_budget_of_a_server_that_warms_up() {
    check_all_cases(30);
}

#[test]
fn three_hundred_aggregators_keep_the_budget_of_a_server_that_warms_up() {
    check_all_cases(300);
}
