//! The batching delay: parts wait to share a call if a call costs the server processing time beyond that of
//! its parts.

mod common;

use common::{class, ring_settings, Harness};
use gingerledge_dispatch::{Action, Class, Outcome, Settings};

const PART_LATENCY_MS: f64 = 100.0;

/// Creates a harness with one shard that all servers hold, and parts that usually take [`PART_LATENCY_MS`].
fn harness_with_call_cost(servers: u32, call_cost_ms: f64) -> Harness {
    let settings = Settings {
        max_parts_per_call: 8,
        call_cost_ms,
        reach: servers,
        ..ring_settings(servers, servers, 1)
    };
    harness_with_usual_latency(settings, servers, PART_LATENCY_MS)
}

/// Creates a harness in which one part has been served, with the given latency.
fn harness_with_usual_latency(settings: Settings, servers: u32, latency_ms: f64) -> Harness {
    let mut harness = Harness::new(settings, servers);
    harness.query(100, 0, &[0]);
    harness.now += latency_ms;
    harness.end_attempts_from(0, Outcome::Success);
    harness.sent.clear();
    harness
}

#[test]
fn parts_that_arrive_during_a_call_are_sent_as_one_when_it_ends() {
    let mut harness = harness_with_call_cost(1, 46.0);
    harness.query(1, 0, &[0]);
    assert_eq!(harness.sent.len(), 1, "nothing is outstanding, so the first part is sent at once");
    for id in 2..6 {
        harness.advance(20.0);
        harness.query(id, 0, &[0]);
    }
    assert_eq!(harness.sent.len(), 1, "the other parts wait to share a call");
    harness.end_attempts_from(0, Outcome::Success);
    assert_eq!(harness.sent.len(), 5);
    assert!(
        harness.sent[1..].iter().all(|sent| sent.at == harness.now),
        "the parts are sent in one turn, so in one call"
    );
}

#[test]
fn the_batching_delay_ends_after_its_share_of_the_latency_target() {
    let mut harness = harness_with_call_cost(1, 46.0);
    harness.query(1, 0, &[0]);
    harness.query(9, 0, &[0]);
    harness.advance(295.0);
    assert_eq!(harness.sent.len(), 1);
    // A part that arrived later shares the call that the first part opens when its delay ends, regardless of
    // their ids.
    harness.query(3, 0, &[0]);
    harness.advance(10.0);
    assert_eq!(harness.sent.len(), 3, "the parts no longer wait for the outstanding call");
}

#[test]
fn without_a_cost_of_calls_there_is_no_batching_delay() {
    let mut harness = harness_with_call_cost(1, 0.0);
    harness.query(1, 0, &[0]);
    harness.query(2, 0, &[0]);
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn a_low_cost_of_calls_gives_a_short_batching_delay() {
    let mut harness = harness_with_call_cost(1, 5.0);
    harness.query(1, 0, &[0]);
    harness.query(2, 0, &[0]);
    harness.advance(60.0);
    assert_eq!(
        harness.sent.len(),
        2,
        "the delay is a twentieth of the latency target, like the call's cost of the part's work"
    );
}

#[test]
fn among_replicas_with_equal_calls_one_with_a_joinable_call_is_chosen() {
    for seed in 0..20 {
        let settings = Settings { max_parts_per_call: 8, call_cost_ms: 46.0, ..ring_settings(2, 2, 1) };
        let mut harness = Harness::with_seed(seed, settings, 2);
        (1..4).for_each(|id| drop(harness.begin_query(id, 0, &[0])));
        harness.end_turn();
        let servers: Vec<_> = harness.sent.iter().map(|sent| sent.server).collect();
        assert_eq!(servers, [servers[0]; 3], "seed {seed}");
    }
}

#[test]
fn a_part_is_sent_without_delay_to_a_replica_without_outstanding_calls() {
    let mut harness = harness_with_call_cost(2, 46.0);
    harness.query(1, 0, &[0]);
    harness.query(2, 0, &[0]);
    assert_eq!(harness.sent.len(), 2);
    assert_ne!(
        harness.sent[0].server, harness.sent[1].server,
        "the number of outstanding calls latency_ms precedence over sharing a call"
    );
}

#[test]
fn a_failed_part_is_retried_without_a_batching_delay() {
    let mut harness = harness_with_call_cost(2, 46.0);
    let outstanding = harness.query(1, 0, &[0])[0];
    let part = harness.query(2, 0, &[0])[0];
    let failed = *harness.sent.iter().find(|sent| sent.part == part).unwrap();
    harness.end_attempt(failed, Outcome::Failure);
    harness.end_turn();
    let retry = harness.sent.iter().rfind(|sent| sent.part == part).unwrap();
    assert_eq!((retry.attempt, retry.at), (1, harness.now), "part {outstanding} is still outstanding");
}

/// The number of queries that are rejected, of 40 in quick succession, after 20 queries with the given
/// latency.
fn rejected_queries(settings: Settings, latency_ms: f64) -> usize {
    let mut harness = harness_with_usual_latency(settings, 4, latency_ms);
    for id in 200..220 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        harness.advance(latency_ms);
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
    let settings = |call_cost_ms| Settings { max_parts_per_call: 8, call_cost_ms, ..ring_settings(4, 4, 1) };
    // Slightly more than 0.3 of the latency target, from which the limit is lowered unless misses are few.
    // The batching delay uses almost a third of the target first.
    let latency_ms = 330.0;
    assert_eq!(rejected_queries(settings(0.0), latency_ms), 0);
    assert!(rejected_queries(settings(300.0), latency_ms) > 0);
}

#[test]
fn the_limit_tolerates_latency_in_proportion_of_required_to_minimum_share() {
    let with_minimum_share = |minimum_share| Settings {
        classes: vec![Class { minimum_share, ..class() }],
        ..ring_settings(4, 4, 1)
    };
    let latency_ms = 700.0;
    assert_eq!(
        rejected_queries(with_minimum_share(0.3), latency_ms),
        0,
        "three of ten parts are enough, so a late part costs little"
    );
    assert!(rejected_queries(with_minimum_share(0.7), latency_ms) > 0, "seven of ten parts are required");
}
