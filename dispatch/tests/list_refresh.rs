//! When aggregators call for the list, for fleets of different sizes in virtual time: in a fleet of any size,
//! calls are made within the bounds that follow from the settings.

mod common;

use common::ring_settings;
use gingerledge_dispatch::{Action, Aggregator, Event, ListKind, Millis};

const FLEET_SIZES: [u32; 4] = [3, 100, 300, 1000];
const LIST_REFRESH_MS: Millis = 10_000.0;
/// Maximum time for which a call waits for its response.
const CALL_TIMEOUT_MS: Millis = 3500.0;
const TURN_MS: Millis = 5.0;

/// An aggregator that gets no queries and acts only when its timers expire.
struct IdleAggregator {
    aggregator: Aggregator,
    timer_at: Option<Millis>,
}

impl IdleAggregator {
    fn new(seed: u64, aggregators: u32) -> Self {
        let mut settings = ring_settings(12, 2, 12);
        (settings.requires_subscription, settings.aggregators, settings.list_refresh_ms) =
            (true, aggregators, LIST_REFRESH_MS);
        // Some hosts give the aggregator its index, others do not.
        settings.index = (seed % 2 == 0).then_some(seed as u32 % aggregators);
        let mut idle = Self { aggregator: Aggregator::new(seed, settings, 0.0), timer_at: None };
        assert!(!idle.turn(0.0, None));
        idle
    }

    /// Runs a turn. Returns whether the aggregator subscribed to the list in it.
    fn turn(&mut self, now: Millis, event: Option<Event>) -> bool {
        let mut actions = Vec::new();
        if self.timer_at.take_if(|at| *at <= now).is_some() {
            self.aggregator.handle(now, Event::Timer { token: 0 }, &mut actions);
        }
        if let Some(event) = event {
            self.aggregator.handle(now, event, &mut actions);
        }
        self.aggregator.end_turn(now, &mut actions);
        for action in &actions {
            if let Action::Timer { wait_ms, .. } = action {
                self.timer_at = Some(now + wait_ms);
            }
        }
        actions.contains(&Action::Subscribe)
    }

    /// Advances the time to the next call for the list, and returns that time.
    fn next_call(&mut self) -> Millis {
        loop {
            let now = self.timer_at.expect("a timer");
            if self.turn(now, None) {
                return now;
            }
        }
    }

    fn fail_call(&mut self, now: Millis) {
        assert!(!self.turn(now, Some(Event::ServerList { kind: ListKind::Failed, entries: Vec::new() })));
    }
}

/// The times, up to `end`, of all calls of a fleet if each call fails after [`CALL_TIMEOUT_MS`].
fn failing_calls(aggregators: u32, end: Millis) -> Vec<Millis> {
    let mut calls = Vec::new();
    for seed in 0..u64::from(aggregators) {
        let mut idle = IdleAggregator::new(seed, aggregators);
        let mut at = idle.next_call();
        while at < end {
            calls.push(at);
            idle.fail_call(at + CALL_TIMEOUT_MS);
            at = idle.next_call();
        }
    }
    calls.sort_by(f64::total_cmp);
    calls
}

/// The maximum number of calls in any second after `from`.
fn max_calls_in_a_second(calls: &[Millis], from: Millis) -> usize {
    let later: Vec<Millis> = calls.iter().copied().filter(|at| *at >= from).collect();
    (0..later.len()).map(|i| later.partition_point(|at| *at < later[i] + 1000.0) - i).max().unwrap_or(0)
}

#[test]
fn the_first_call_can_end_before_the_list_counts_as_received() {
    for aggregators in FLEET_SIZES {
        for seed in 0..200 {
            let at = IdleAggregator::new(seed, aggregators).next_call();
            assert!(at <= LIST_REFRESH_MS / 2.0 + TURN_MS, "{aggregators} aggregators, seed {seed}: {at} ms");
        }
    }
}

#[test]
fn after_any_number_of_failures_the_next_call_can_end_before_the_list_counts_as_received() {
    for aggregators in FLEET_SIZES {
        for seed in 0..20 {
            let mut idle = IdleAggregator::new(seed, aggregators);
            let mut called_at = idle.next_call();
            for failures in 1..40 {
                idle.fail_call(called_at + CALL_TIMEOUT_MS);
                let next = idle.next_call();
                let allowed = 4.0 * LIST_REFRESH_MS - CALL_TIMEOUT_MS;
                assert!(
                    next - called_at <= allowed,
                    "{aggregators} aggregators, seed {seed}: after {failures} failures {} ms",
                    next - called_at
                );
                called_at = next;
            }
        }
    }
}

/// The first calls are spread over time, and the calls after failures are as rare as the bound allows.
#[test]
fn calls_of_a_fleet_are_spread_and_back_off_while_they_fail() {
    for aggregators in FLEET_SIZES {
        let calls = failing_calls(aggregators, 300_000.0);
        let first_rate = f64::from(aggregators) / (LIST_REFRESH_MS / 2.0) * 1000.0;
        let first = max_calls_in_a_second(&calls, 0.0) as f64;
        assert!(
            first <= 2.0 * first_rate.max(4.0),
            "{aggregators} aggregators: {first} first calls in a second"
        );
        let late = calls.iter().filter(|at| **at >= 150_000.0).count() as f64 / 150.0;
        // At most four calls per second, or one per aggregator in two refresh intervals.
        let bound = f64::from(aggregators) / (2.0 * LIST_REFRESH_MS) * 1000.0;
        assert!(late <= bound.max(4.0), "{aggregators} aggregators: {late} calls per second at the end");
        let burst = max_calls_in_a_second(&calls, 150_000.0) as f64;
        assert!(
            burst <= 3.0 * bound.max(4.0),
            "{aggregators} aggregators: {burst} calls in one second at the end"
        );
    }
}
