//! Parts that share calls, where a call costs the server work beside that of its parts.

mod common;

use common::{class, settings, Harness};
use gingerledge_dispatch::{Action, Class, Outcome, Settings};

const PART_MS: f64 = 100.0;

/// One shard at so many servers, and parts that usually take 100 ms, of which a call may be nearly half.
fn costly(servers: u32, call_cost_ms: f64) -> Harness {
    let set =
        Settings { max_parts_per_call: 8, call_cost_ms, reach: servers, ..settings(servers, servers, 1) };
    warm(set, servers, PART_MS)
}

fn warm(set: Settings, servers: u32, takes: f64) -> Harness {
    let mut harness = Harness::new(set, servers);
    harness.query(100, 0, &[0]);
    harness.now += takes;
    harness.end_attempts_from(0, Outcome::Success);
    harness.sent.clear();
    harness
}

#[test]
fn parts_that_arrive_during_a_call_are_sent_as_one_when_it_ends() {
    let mut harness = costly(1, 46.0);
    harness.query(1, 0, &[0]);
    assert_eq!(harness.sent.len(), 1, "nothing is outstanding, so the first goes at once");
    for id in 2..6 {
        harness.advance(20.0);
        harness.query(id, 0, &[0]);
    }
    assert_eq!(harness.sent.len(), 1, "the others wait for a call to share");
    harness.end_attempts_from(0, Outcome::Success);
    assert_eq!(harness.sent.len(), 5);
    assert!(harness.sent[1..].iter().all(|sent| sent.at == harness.now), "in one turn, so in one call");
}

#[test]
fn the_batching_delay_ends_after_its_share_of_the_latency_target() {
    let mut harness = costly(1, 46.0);
    harness.query(1, 0, &[0]);
    harness.query(9, 0, &[0]);
    harness.advance(295.0);
    assert_eq!(harness.sent.len(), 1);
    // One that came later shares the call that the first opens when its time is up, whatever their ids.
    harness.query(3, 0, &[0]);
    harness.advance(10.0);
    assert_eq!(harness.sent.len(), 3, "the call out is slow, and the latency target draws near");
}

#[test]
fn without_a_cost_of_calls_there_is_no_batching_delay() {
    let mut harness = costly(1, 0.0);
    harness.query(1, 0, &[0]);
    harness.query(2, 0, &[0]);
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn a_low_cost_of_calls_gives_a_short_batching_delay() {
    let mut harness = costly(1, 5.0);
    harness.query(1, 0, &[0]);
    harness.query(2, 0, &[0]);
    harness.advance(60.0);
    assert_eq!(
        harness.sent.len(),
        2,
        "a twentieth of the latency target, as a call is a twentieth of a part's work"
    );
}

#[test]
fn among_replicas_with_equal_calls_one_with_a_joinable_call_is_chosen() {
    for seed in 0..20 {
        let set = Settings { max_parts_per_call: 8, call_cost_ms: 46.0, ..settings(2, 2, 1) };
        let mut harness = Harness::seeded(seed, set, 2);
        (1..4).for_each(|id| drop(harness.begin_query(id, 0, &[0])));
        harness.end_turn();
        let servers: Vec<_> = harness.sent.iter().map(|sent| sent.server).collect();
        assert_eq!(servers, [servers[0]; 3], "seed {seed}");
    }
}

#[test]
fn a_part_is_sent_without_delay_to_a_replica_without_outstanding_calls() {
    let mut harness = costly(2, 46.0);
    harness.query(1, 0, &[0]);
    harness.query(2, 0, &[0]);
    assert_eq!(harness.sent.len(), 2);
    assert_ne!(harness.sent[0].server, harness.sent[1].server, "the fewest calls out come before company");
}

#[test]
fn a_failed_part_is_retried_without_a_batching_delay() {
    let mut harness = costly(2, 46.0);
    let out = harness.query(1, 0, &[0])[0];
    let part = harness.query(2, 0, &[0])[0];
    let failed = *harness.sent.iter().find(|sent| sent.part == part).unwrap();
    harness.end_attempt(failed, Outcome::Failure);
    harness.end_turn();
    let again = harness.sent.iter().rfind(|sent| sent.part == part).unwrap();
    assert_eq!((again.attempt, again.at), (1, harness.now), "beside {out}, which is still out there");
}

/// How many of 40 queries that come soon after one another are rejected, after 20 that each took so long.
fn refused(set: Settings, takes: f64) -> usize {
    let mut harness = warm(set, 4, takes);
    for id in 200..220 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        harness.advance(takes);
        harness.end_attempts_from(from, Outcome::Success);
    }
    for id in 300..340 {
        harness.query(id, 0, &[0]);
        harness.advance(20.0);
    }
    harness.actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}

#[test]
fn the_limit_allows_for_the_batching_delay_in_the_latency_target() {
    let set = |call_cost_ms| Settings { max_parts_per_call: 8, call_cost_ms, ..settings(4, 4, 1) };
    // Little more than what the limit bears of the latency target, once few are late; the wait takes a third of it first.
    let takes = 330.0;
    assert_eq!(refused(set(0.0), takes), 0);
    assert!(refused(set(300.0), takes) > 0);
}

#[test]
fn the_limit_tolerates_latency_in_proportion_of_required_to_minimum_share() {
    let with =
        |minimum_share| Settings { classes: vec![Class { minimum_share, ..class() }], ..settings(4, 4, 1) };
    let takes = 700.0;
    assert_eq!(refused(with(0.3), takes), 0, "three parts in ten will do: a late one costs little");
    assert!(refused(with(0.7), takes) > 0, "seven in ten are needed");
}
