//! When the list is asked for, over whole fleets in virtual time: no size lets a call pass the bound that the settings give.

mod common;

use common::settings;
use gingerledge_dispatch::{Action, Aggregator, Event, ListKind, Millis};

const SIZES: [u32; 4] = [3, 100, 300, 1000];
const EVERY_MS: Millis = 10_000.0;
/// A call waits so long for its answer, at the most.
const CALL_MS: Millis = 3500.0;
const TURN_MS: Millis = 5.0;

/// One aggregator that nobody asks anything; it acts when its timers fall due.
struct IdleAggregator {
    aggregator: Aggregator,
    timer: Option<Millis>,
}

impl IdleAggregator {
    fn new(seed: u64, aggregators: u32) -> Self {
        let mut set = settings(12, 2, 12);
        (set.requires_subscription, set.aggregators, set.list_refresh_ms) = (true, aggregators, EVERY_MS);
        // Some hosts tell an aggregator its number.
        set.index = (seed % 2 == 0).then_some(seed as u32 % aggregators);
        let mut idle = Self { aggregator: Aggregator::new(seed, set, 0.0), timer: None };
        assert!(!idle.turn(0.0, None));
        idle
    }

    /// Plays a turn; whether the list is asked for in it.
    fn turn(&mut self, now: Millis, event: Option<Event>) -> bool {
        let mut actions = Vec::new();
        if self.timer.take_if(|at| *at <= now).is_some() {
            self.aggregator.handle(now, Event::Timer { token: 0 }, &mut actions);
        }
        if let Some(event) = event {
            self.aggregator.handle(now, event, &mut actions);
        }
        self.aggregator.end_turn(now, &mut actions);
        for action in &actions {
            if let Action::Timer { wait_ms, .. } = action {
                self.timer = Some(now + wait_ms);
            }
        }
        actions.contains(&Action::Subscribe)
    }

    /// When it asks next.
    fn next_call(&mut self) -> Millis {
        loop {
            let now = self.timer.expect("a timer");
            if self.turn(now, None) {
                return now;
            }
        }
    }

    fn fails(&mut self, now: Millis) {
        assert!(!self.turn(now, Some(Event::ServerList { kind: ListKind::Failed, entries: Vec::new() })));
    }
}

/// Calls of a fleet that discovery never answers, each call failing after `CALL_MS`, up to `end`.
fn unanswered(aggregators: u32, end: Millis) -> Vec<Millis> {
    let mut calls = Vec::new();
    for seed in 0..u64::from(aggregators) {
        let mut idle = IdleAggregator::new(seed, aggregators);
        let mut at = idle.next_call();
        while at < end {
            calls.push(at);
            idle.fails(at + CALL_MS);
            at = idle.next_call();
        }
    }
    calls.sort_by(f64::total_cmp);
    calls
}

/// The most calls in any second from `from` on.
fn busiest(calls: &[Millis], from: Millis) -> usize {
    let later: Vec<Millis> = calls.iter().copied().filter(|at| *at >= from).collect();
    (0..later.len()).map(|i| later.partition_point(|at| *at < later[i] + 1000.0) - i).max().unwrap_or(0)
}

#[test]
fn the_first_call_can_end_before_the_list_counts_as_received() {
    for aggregators in SIZES {
        for seed in 0..200 {
            let at = IdleAggregator::new(seed, aggregators).next_call();
            assert!(at <= EVERY_MS / 2.0 + TURN_MS, "{aggregators} aggregators, seed {seed}: {at} ms");
        }
    }
}

#[test]
fn after_any_number_of_failures_the_next_call_can_end_before_the_list_counts_as_received() {
    for aggregators in SIZES {
        for seed in 0..20 {
            let mut idle = IdleAggregator::new(seed, aggregators);
            let mut queries = idle.next_call();
            for failures in 1..40 {
                idle.fails(queries + CALL_MS);
                let next = idle.next_call();
                let allowed = 4.0 * EVERY_MS - CALL_MS;
                assert!(
                    next - queries <= allowed,
                    "{aggregators} aggregators, seed {seed}: after {failures} failures {} ms",
                    next - queries
                );
                queries = next;
            }
        }
    }
}

/// The first calls come one by one, and those after failures no more often than the bound makes them.
#[test]
fn calls_of_a_fleet_are_spread_and_back_off_while_they_fail() {
    for aggregators in SIZES {
        let calls = unanswered(aggregators, 300_000.0);
        let share = f64::from(aggregators) / (EVERY_MS / 2.0) * 1000.0;
        let first = busiest(&calls, 0.0) as f64;
        assert!(
            first <= 2.0 * share.max(4.0),
            "{aggregators} aggregators: {first} calls in a second at first"
        );
        let late = calls.iter().filter(|at| **at >= 150_000.0).count() as f64 / 150.0;
        // Four a second, or each of them once in twice the time that the settings give.
        let bound = f64::from(aggregators) / (2.0 * EVERY_MS) * 1000.0;
        assert!(late <= bound.max(4.0), "{aggregators} aggregators: {late} calls a second in the end");
        let burst = busiest(&calls, 150_000.0) as f64;
        assert!(burst <= 3.0 * bound.max(4.0), "{aggregators} aggregators: {burst} in one second");
    }
}
