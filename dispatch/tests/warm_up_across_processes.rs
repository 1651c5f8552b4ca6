//! Whose hands a store that warms up's budget is in, in virtual time, each crossing forced: all processes of a fleet use their whole part
//! again and again, and are killed, relieved, joined or told late in the middle of the warm-up. What all of them send together stays
//! within N + 2 root N + 2 parts in any window, N being what the settings allow then.

mod common;

use common::fleet::{FleetSimulation, STEP_MS};
use common::{class, ready, settings, Harness};
use gingerledge_dispatch::{Class, Event, ListKind, Millis, Outcome, ServerEntry, Settings};

const WORK_MS: Millis = 20.0;
/// The store that warms up; the others teach what a part takes.
const WARMING_UP: usize = 0;
const STORES: usize = 13;
const FLEETS: [u32; 5] = [1, 3, 20, 30, 300];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Crossing {
    /// Every process is killed, and a new one takes its place at once.
    Killed,
    /// Every process is told to end, and a new one serves beside it.
    Relieved,
    /// A second process serves beside every one, and both are told.
    Joined,
}

fn set(aggregators: u32) -> Settings {
    let mut set = settings(STORES as u32, 1, STORES as u32);
    (set.aggregators, set.index) = (aggregators, Some(0));
    set.classes = vec![Class { deadline_ms: 1000.0, latency_target_ms: 4000.0, ..class() }];
    set
}

/// Asks the warm stores for a part each, spread over a second, so that every process knows what one takes.
fn teach(fleet_simulation: &mut FleetSimulation, processes: &[usize], since: Millis) {
    let from = (processes.len() as f64 * since / 1000.0) as usize;
    let to = (processes.len() as f64 * (since + STEP_MS) / 1000.0) as usize;
    for (n, &process) in processes.iter().enumerate().take(to).skip(from) {
        fleet_simulation.send_query(process, 0, None, &[1 + n as u32 % (STORES as u32 - 1)]);
    }
}

/// The most by which any window passes the rule's figure, in parts, and how many were sent after the crossing.
fn simulate(aggregators: u32, crossing: Crossing, crosses_at: Millis) -> (f64, usize) {
    let mut fleet_simulation =
        FleetSimulation::new(3 + u64::from(aggregators), set(aggregators), &[WORK_MS], STORES);
    let starts_at = 3000.0;
    let mut serving: Vec<usize> = (0..aggregators as usize).collect();
    let mut old: Vec<usize> = Vec::new();
    while fleet_simulation.now < starts_at + fleet_simulation.set.warm_up_ms {
        let since = fleet_simulation.now - starts_at;
        if fleet_simulation.now == 2000.0 {
            fleet_simulation.stop(WARMING_UP);
        } else if since == 0.0 {
            fleet_simulation.start(WARMING_UP);
            serving.iter().for_each(|&process| fleet_simulation.announce(process, WARMING_UP));
        }
        if since == crosses_at {
            old = serving.clone();
            serving = old.iter().map(|&process| fleet_simulation.start_process(process)).collect();
            for (&old, &new) in old.iter().zip(&serving) {
                match crossing {
                    Crossing::Killed => fleet_simulation.kill_process(old),
                    Crossing::Relieved => fleet_simulation.send_event(old, Event::ShuttingDown),
                    Crossing::Joined => {
                        let count = 2 * aggregators;
                        [old, new].iter().for_each(|&process| {
                            fleet_simulation.send_event(process, Event::Aggregators { count })
                        });
                    }
                }
            }
        }
        let learns = if since >= crosses_at { since - crosses_at } else { fleet_simulation.now };
        teach(&mut fleet_simulation, &serving, learns);
        // Everybody wants to send it all that it may.
        let everybody = serving.iter().chain(if crossing == Crossing::Killed { &[] } else { &old[..] });
        let everybody: Vec<usize> = everybody.copied().collect();
        for (n, process) in everybody.into_iter().enumerate() {
            let every = if aggregators > 100 { 400.0 } else { 200.0 };
            if since >= 0.0 && (since + n as f64 * STEP_MS) % every == 0.0 {
                let many = (60 / aggregators).max(1);
                (0..many).for_each(|_| fleet_simulation.send_query(process, 0, None, &[WARMING_UP as u32]));
            }
        }
        fleet_simulation.step();
    }
    let sent: Vec<Millis> = fleet_simulation
        .sent
        .iter()
        .filter(|sent| sent.knows_restart && sent.server == WARMING_UP)
        .map(|s| s.at)
        .collect();
    let over = sent.iter().enumerate().map(|(n, &at)| {
        let window = sent[..=n]
            .iter()
            .rev()
            .take_while(|one| **one > at - fleet_simulation.set.overload_window_ms)
            .count();
        let allowed = fleet_simulation.set.overload_factor
            * fleet_simulation.capacity(WARMING_UP, at)
            * fleet_simulation.set.overload_window_ms
            / WORK_MS;
        window as f64 - (allowed + 2.0 * allowed.sqrt() + 2.0)
    });
    let after = sent.iter().filter(|at| **at >= starts_at + crosses_at).count();
    (over.fold(f64::NEG_INFINITY, f64::max), after)
}

fn every(crossing: Crossing) {
    for aggregators in FLEETS {
        for crosses_at in [1000.0, 3000.0, 5000.0] {
            let (over, after) = simulate(aggregators, crossing, crosses_at);
            println!("{aggregators}, {crossing:?} at {crosses_at}: {over:.1} over, {after} sent after");
            assert!(over <= 0.0, "{aggregators}, {crossing:?} at {crosses_at}: {over:.1} over");
            assert!(after > 0, "{aggregators}, {crossing:?} at {crosses_at}: nothing sent after");
        }
    }
}

#[test]
fn a_fleet_killed_during_a_warm_up_does_not_use_the_budget_twice() {
    every(Crossing::Killed);
}

#[test]
fn processes_that_shut_down_leave_the_budget_to_their_successors() {
    every(Crossing::Relieved);
}

#[test]
fn two_processes_of_each_broker_share_its_budget() {
    every(Crossing::Joined);
}

/// One of three that knows work of 100 ms: of 800 ms in a window two parts are its own.
fn one_of_three() -> Harness {
    let mut harness = Harness::new(settings(1, 1, 1), 1);
    harness.query(1, 0, &[0]);
    harness.now += 100.0;
    harness.end_attempts_from(0, Outcome::Success);
    harness.advance(2100.0);
    harness
}

fn knows_restart(harness: &mut Harness, since: Millis) {
    harness.update_list(ListKind::Changes, vec![ServerEntry { started_at: since, ..ready(0) }]);
}

#[test]
fn parts_sent_before_a_restart_was_listed_count_against_the_budget() {
    let mut harness = one_of_three();
    let since = harness.now;
    (2..4).for_each(|id| drop(harness.query(id, 0, &[0])));
    harness.now += 50.0;
    knows_restart(&mut harness, since);
    (4..14).for_each(|id| drop(harness.query(id, 0, &[0])));
    assert_eq!(harness.sent.len() - 1, 2);
}

#[test]
fn retries_count_against_the_budget() {
    let mut harness = one_of_three();
    let since = harness.now;
    knows_restart(&mut harness, since);
    (2..5).for_each(|id| drop(harness.query(id, 0, &[0])));
    let mut from = 1;
    while harness.now < since + 1900.0 {
        harness.now += 50.0;
        let sent = harness.sent.len();
        harness.end_attempts_from(from, Outcome::Overloaded);
        harness.advance(50.0);
        from = sent;
    }
    let sent = harness.sent.len() - 1;
    // It grows by 0.16 of its capacity meanwhile: 4 parts in the end.
    assert!((2..=4).contains(&sent), "{sent} sent to a server that rejected all");
    assert!(harness.sent.iter().any(|sent| sent.attempt > 0), "none was sent again");
}

#[test]
fn parts_of_cancelled_queries_count_against_the_budget() {
    let mut harness = one_of_three();
    let since = harness.now;
    knows_restart(&mut harness, since);
    for id in 2..20 {
        harness.query(id, 0, &[0]);
        harness.handle(Event::ClientGone { query: id });
        harness.end_turn();
    }
    assert_eq!(harness.sent.len() - 1, 2);
}

#[test]
fn hedged_requests_count_against_the_budget() {
    // Two servers hold the shard; one is warm and falls silent, so that late parts get copies at the one that warms up.
    let mut harness = Harness::new(settings(1, 1, 1), 1);
    let cell = |server, since| ServerEntry { server, cell: 0, started_at: since, ..ready(0) };
    harness.update_list(ListKind::Complete, vec![cell(0, 0.0), cell(1, 0.0)]);
    for id in 1..40 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        harness.now += 100.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    harness.update_list(ListKind::Changes, vec![cell(1, harness.now)]);
    let from = harness.sent.len();
    for id in 100..110 {
        harness.query(id, 0, &[0]);
        harness.advance(90.0);
    }
    let cold: Vec<_> = harness.sent[from..].iter().filter(|sent| sent.server == 1).collect();
    assert!(cold.iter().any(|sent| sent.attempt > 0), "no hedged request went to it: {cold:?}");
    assert!(cold.len() <= 3, "{} sent, hedged requests among them", cold.len());
}
