//! The limit on the work sent to a store that warms up must also hold if aggregator processes are replaced
//! meanwhile. In virtual time, all processes of a fleet use up their shares again and again. During the
//! warm-up, all of them are killed, shut down, or joined by a second process. In any window, all processes
//! together may send N + 2 sqrt(N) + 2 parts, where N is the number that the settings allow.

mod common;

use common::fleet::{FleetSimulation, STEP_MS};
use common::{class, ready, ring_settings, Harness};
use gingerledge_dispatch::{Class, Event, ListKind, Millis, Outcome, ServerEntry, Settings};

const WORK_MS: Millis = 20.0;
/// The store that is restarted and warms up. From the others, aggregators learn the latency of a part.
const WARMING_UP: usize = 0;
const STORES: usize = 13;
/// Numbers of aggregators.
const FLEET_SIZES: [u32; 5] = [1, 3, 20, 30, 300];

/// How the processes of the aggregators are replaced.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Replacement {
    /// Each process is killed, and a new one replaces it at once.
    Killed,
    /// Each process shuts down while a new one runs beside it.
    ShutDown,
    /// A second process runs beside each process, and both know of it.
    Joined,
}

fn fleet_settings(aggregators: u32) -> Settings {
    let mut settings = ring_settings(STORES as u32, 1, STORES as u32);
    (settings.aggregators, settings.index) = (aggregators, Some(0));
    settings.classes = vec![Class { deadline_ms: 1000.0, latency_target_ms: 4000.0, ..class() }];
    settings
}

/// Submits one query to each process for the other stores, spread over a second, so that each process learns
/// the latency of a part. `elapsed` is the time since the processes started.
fn submit_learning_queries(fleet: &mut FleetSimulation, processes: &[usize], elapsed: Millis) {
    let from = (processes.len() as f64 * elapsed / 1000.0) as usize;
    let to = (processes.len() as f64 * (elapsed + STEP_MS) / 1000.0) as usize;
    for (n, &process) in processes.iter().enumerate().take(to).skip(from) {
        fleet.send_query(process, 0, None, &[1 + n as u32 % (STORES as u32 - 1)]);
    }
}

/// Returns the maximum excess over the limit in any window, in parts, and the number of parts sent after the
/// replacement.
fn simulate(aggregators: u32, replacement: Replacement, replaced_at: Millis) -> (f64, usize) {
    let mut fleet =
        FleetSimulation::new(3 + u64::from(aggregators), fleet_settings(aggregators), &[WORK_MS], STORES);
    let restarts_at = 3000.0;
    let mut serving: Vec<usize> = (0..aggregators as usize).collect();
    let mut replaced: Vec<usize> = Vec::new();
    while fleet.now < restarts_at + fleet.settings.warm_up_ms {
        let since_restart = fleet.now - restarts_at;
        if fleet.now == 2000.0 {
            fleet.stop_store(WARMING_UP);
        } else if since_restart == 0.0 {
            fleet.restart_store(WARMING_UP);
            serving.iter().for_each(|&process| fleet.announce(process, WARMING_UP));
        }
        if since_restart == replaced_at {
            replaced = serving.clone();
            serving = replaced.iter().map(|&process| fleet.start_process(process)).collect();
            for (&old, &new) in replaced.iter().zip(&serving) {
                match replacement {
                    Replacement::Killed => fleet.kill_process(old),
                    Replacement::ShutDown => fleet.send_event(old, Event::ShuttingDown),
                    Replacement::Joined => {
                        let count = 2 * aggregators;
                        [old, new]
                            .iter()
                            .for_each(|&process| fleet.send_event(process, Event::Aggregators { count }));
                    }
                }
            }
        }
        let learning_elapsed =
            if since_restart >= replaced_at { since_restart - replaced_at } else { fleet.now };
        submit_learning_queries(&mut fleet, &serving, learning_elapsed);
        // Each running process gets more queries for the store than it may send.
        let running =
            serving.iter().chain(if replacement == Replacement::Killed { &[] } else { &replaced[..] });
        let running: Vec<usize> = running.copied().collect();
        for (n, process) in running.into_iter().enumerate() {
            let interval = if aggregators > 100 { 400.0 } else { 200.0 };
            if since_restart >= 0.0 && (since_restart + n as f64 * STEP_MS) % interval == 0.0 {
                let count = (60 / aggregators).max(1);
                (0..count).for_each(|_| fleet.send_query(process, 0, None, &[WARMING_UP as u32]));
            }
        }
        fleet.step();
    }
    let sent: Vec<Millis> = fleet
        .sent
        .iter()
        .filter(|sent| sent.knows_restart && sent.server == WARMING_UP)
        .map(|s| s.at)
        .collect();
    let excesses = sent.iter().enumerate().map(|(n, &at)| {
        let window = sent[..=n]
            .iter()
            .rev()
            .take_while(|sent_at| **sent_at > at - fleet.settings.overload_window_ms)
            .count();
        let allowed = fleet.settings.overload_factor
            * fleet.capacity(WARMING_UP, at)
            * fleet.settings.overload_window_ms
            / WORK_MS;
        window as f64 - (allowed + 2.0 * allowed.sqrt() + 2.0)
    });
    let after = sent.iter().filter(|at| **at >= restarts_at + replaced_at).count();
    (excesses.fold(f64::NEG_INFINITY, f64::max), after)
}

/// Checks a kind of replacement for all fleet sizes, at different times.
fn check_all_fleets(replacement: Replacement) {
    for aggregators in FLEET_SIZES {
        for replaced_at in [1000.0, 3000.0, 5000.0] {
            let (excess, after) = simulate(aggregators, replacement, replaced_at);
            println!(
                "{aggregators}, {replacement:?} at {replaced_at}: excess {excess:.1}, {after} sent after"
            );
            assert!(
                excess <= 0.0,
                "{aggregators}, {replacement:?} at {replaced_at}: {excess:.1} over the limit"
            );
            assert!(after > 0, "{aggregators}, {replacement:?} at {replaced_at}: nothing sent after it");
        }
    }
}

#[test]
fn a_fleet_killed_during_a_warm_up_does_not_use_the_budget_twice() {
    check_all_fleets(Replacement::Killed);
}

#[test]
fn processes_that_shut_down_leave_the_budget_to_their_successors() {
    check_all_fleets(Replacement::ShutDown);
}

#[test]
fn two_processes_of_each_broker_share_its_budget() {
    check_all_fleets(Replacement::Joined);
}

/// Creates a harness with one of three aggregators, which has learned that a part takes 100 ms. Of the 800 ms
/// that all of them together may send in a window, its share is two parts.
fn harness_with_one_of_three_aggregators() -> Harness {
    let mut harness = Harness::new(ring_settings(1, 1, 1), 1);
    harness.query(1, 0, &[0]);
    harness.now += 100.0;
    harness.end_attempts_from(0, Outcome::Success);
    harness.advance(2100.0);
    harness
}

/// Lists a restart of the only server.
fn list_restart(harness: &mut Harness, started_at: Millis) {
    harness.update_list(ListKind::Changes, vec![ServerEntry { started_at, ..ready(0) }]);
}

#[test]
fn parts_sent_before_a_restart_was_listed_count_against_the_budget() {
    let mut harness = harness_with_one_of_three_aggregators();
    let restarted_at = harness.now;
    (2..4).for_each(|id| drop(harness.query(id, 0, &[0])));
    harness.now += 50.0;
    list_restart(&mut harness, restarted_at);
    (4..14).for_each(|id| drop(harness.query(id, 0, &[0])));
    assert_eq!(harness.sent.len() - 1, 2);
}

#[test]
fn retries_count_against_the_budget() {
    let mut harness = harness_with_one_of_three_aggregators();
    let restarted_at = harness.now;
    list_restart(&mut harness, restarted_at);
    (2..5).for_each(|id| drop(harness.query(id, 0, &[0])));
    let mut from = 1;
    while harness.now < restarted_at + 1900.0 {
        harness.now += 50.0;
        let sent = harness.sent.len();
        harness.end_attempts_from(from, Outcome::Overloaded);
        harness.advance(50.0);
        from = sent;
    }
    let sent = harness.sent.len() - 1;
    // The server's capacity grows by 0.16 meanwhile, so that the share is 4 parts at the end.
    assert!((2..=4).contains(&sent), "{sent} sent to a server that rejected all of them");
    assert!(harness.sent.iter().any(|sent| sent.attempt > 0), "no part was retried");
}

#[test]
fn parts_of_cancelled_queries_count_against_the_budget() {
    let mut harness = harness_with_one_of_three_aggregators();
    let restarted_at = harness.now;
    list_restart(&mut harness, restarted_at);
    for id in 2..20 {
        harness.query(id, 0, &[0]);
        harness.handle(Event::ClientGone { query: id });
        harness.end_turn();
    }
    assert_eq!(harness.sent.len() - 1, 2);
}

#[test]
fn hedged_requests_count_against_the_budget() {
    // Two servers hold the shard. One of them has warmed up and stops responding, so that late parts are
    // hedged at the other, which warms up.
    let mut harness = Harness::new(ring_settings(1, 1, 1), 1);
    let entry = |server, started_at| ServerEntry { server, cell: 0, started_at, ..ready(0) };
    harness.update_list(ListKind::Complete, vec![entry(0, 0.0), entry(1, 0.0)]);
    for id in 1..40 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        harness.now += 100.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    harness.update_list(ListKind::Changes, vec![entry(1, harness.now)]);
    let from = harness.sent.len();
    for id in 100..110 {
        harness.query(id, 0, &[0]);
        harness.advance(90.0);
    }
    let to_warming_up: Vec<_> = harness.sent[from..].iter().filter(|sent| sent.server == 1).collect();
    assert!(
        to_warming_up.iter().any(|sent| sent.attempt > 0),
        "no hedged request was sent to it: {to_warming_up:?}"
    );
    assert!(to_warming_up.len() <= 3, "{} sent, hedged requests among them", to_warming_up.len());
}
