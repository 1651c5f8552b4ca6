//! The learned limit on outstanding parts, and the other reasons to reject queries under overload.
#![allow(clippy::unnecessary_to_owned)] // The loops change the harness, so they iterate over a copy.

mod common;

use common::{class, harness_with_latency_samples, harness_with_spare_parts, ring_settings, Harness};
use gingerledge_dispatch::{Action, Class, Event, Outcome};

#[test]
fn a_burst_far_beyond_capacity_is_rejected_in_its_turn_with_advice() {
    let mut harness = harness_with_latency_samples();
    let mut rejected = 0;
    let mut id = 1;
    for _ in 0..60 {
        let from = harness.sent.len();
        for _ in 0..4 {
            harness.query(id, 0, &[0, 1]);
            rejected += harness.answers_to(id).iter().filter(|a| matches!(a, Action::Reject { .. })).count();
            if let [Action::Reject { retry_after_ms, .. }] = harness.answers_to(id)[..] {
                assert!((100.0..=500.0).contains(&retry_after_ms), "{retry_after_ms}");
            }
            id += 1;
        }
        harness.advance(900.0);
        harness.end_attempts_from(from, Outcome::Success);
    }
    assert!(rejected > 20, "{rejected} of {id}");
}

#[test]
fn under_overload_a_partial_class_drops_its_lightest_parts_first() {
    let mut settings = ring_settings(2, 2, 2);
    settings.classes = vec![Class { minimum_share: 0.3, ..class() }];
    let mut harness = Harness::new(settings, 2);
    let mut fewest_sent = usize::MAX;
    for id in 1..200 {
        let from = harness.sent.len();
        let deadline = harness.now + 3000.0;
        let (number, class, parts) = (id, 0, 4);
        harness.handle(Event::Query { id, number, class, tenant: None, deadline, parts, repeated: false });
        for (k, weight) in [0.1, 0.5, 0.1, 0.3].into_iter().enumerate() {
            let id = 10_000 * id + k as u64;
            harness.handle(Event::Part { id, number, shard: k as u32 % 2, weight, cost_ms: None });
        }
        harness.end_turn();
        let sent: Vec<_> = harness.sent[from..].iter().filter(|s| s.part / 10_000 == id).collect();
        if !sent.is_empty() && sent.len() < 4 {
            assert!(sent.iter().any(|s| s.part % 10_000 == 1), "the heaviest part is kept");
            fewest_sent = fewest_sent.min(sent.len());
        }
        harness.advance(250.0);
        for sent in harness.sent.clone() {
            if sent.at <= harness.now - 1390.0 && sent.at > harness.now - 1640.0 {
                harness.end_attempt(sent, Outcome::Success);
            }
        }
        harness.end_turn();
    }
    assert!(fewest_sent < 4, "at least one query is sent without its lightest parts");
}

/// The number of queries that are admitted, of 40 at one per second, with nothing outstanding, after an
/// overload of 20 queries.
fn admitted_after_an_overload(aggregators: u32) -> usize {
    let mut settings = ring_settings(10, 2, 10);
    settings.aggregators = aggregators;
    let mut harness = Harness::new(settings, 10);
    let shards: Vec<u32> = (0..10).collect();
    let mut admitted = 0;
    for id in 1..=60 {
        let from = harness.sent.len();
        harness.query(id, 0, &shards);
        admitted += usize::from(id > 20 && harness.sent.len() > from);
        harness.advance(700.0);
        harness.end_attempts_from(from, Outcome::Success);
        harness.advance(300.0);
    }
    admitted
}

/// The number of queries that are rejected in their first turn, of 60 with ten parts. One part of each query
/// is not served, each time at a different server, and all others are served quickly, so that the usual
/// latency does not show the misses.
fn rejected_while_all_miss(aggregators: u32) -> usize {
    let mut settings = ring_settings(10, 1, 10);
    (settings.aggregators, settings.allows_parallel_attempts) = (aggregators, false);
    settings.classes = vec![Class { late_value_share: 0.0, ..class() }];
    let mut harness = Harness::new(settings, 10);
    let shards: Vec<u32> = (0..10).collect();
    let mut rejected = 0;
    for id in 1..=60 {
        let from = harness.sent.len();
        harness.query(id, 0, &shards);
        rejected += usize::from(!harness.answers_to(id).is_empty());
        harness.advance(50.0);
        let (unserved, served): (Vec<_>, Vec<_>) =
            harness.sent[from..].iter().copied().partition(|sent| u64::from(sent.server) == id % 10);
        served.into_iter().for_each(|sent| harness.end_attempt(sent, Outcome::Success));
        harness.end_turn();
        harness.advance(1050.0);
        unserved.into_iter().for_each(|sent| harness.end_attempt(sent, Outcome::TimedOut));
        harness.end_turn();
        assert_eq!(harness.answers_to(id).len(), 1);
    }
    rejected
}

#[test]
fn with_few_samples_the_limit_follows_queries_that_miss_their_latency_target() {
    let (few, many) = (rejected_while_all_miss(3), rejected_while_all_miss(100));
    assert_eq!(few, 0, "aggregators with many samples avoid the slow servers instead");
    assert!(
        (20..60).contains(&many),
        "{many} of 60: some queries are still admitted, so that the end of the overload is noticed"
    );
}

/// The number of queries that are rejected, of 40 with 25 parts that are all served quickly, at two per
/// second, after three queries that missed their latency target.
fn rejected_after_misses(aggregators: u32) -> usize {
    let mut settings = ring_settings(30, 2, 30);
    (settings.aggregators, settings.allows_parallel_attempts) = (aggregators, false);
    settings.classes = vec![Class { late_value_share: 0.0, ..class() }];
    let mut harness = Harness::new(settings, 30);
    let shards: Vec<u32> = (0..25).collect();
    let mut rejected = 0;
    for id in 1..=43 {
        let from = harness.sent.len();
        harness.query(id, 0, &shards);
        harness.advance(30.0);
        rejected += usize::from(id > 3 && !harness.answers_to(id).is_empty());
        // One part of each of the first three queries is not served.
        let unserved = usize::from(id <= 3);
        let sent = harness.sent[from..].to_vec();
        sent.iter().skip(unserved).for_each(|sent| harness.end_attempt(*sent, Outcome::Success));
        harness.end_turn();
        harness.advance(if id > 3 && id % 2 == 0 { 70.0 } else { 970.0 });
        sent.iter().take(unserved).for_each(|sent| harness.end_attempt(*sent, Outcome::TimedOut));
        harness.end_turn();
    }
    rejected
}

/// With few queries, the miss rate stays high for long after a few misses. If queries within their latency
/// target lowered the limit, too, most queries would be rejected while the servers are idle.
#[test]
fn with_few_samples_queries_within_their_latency_target_do_not_lower_the_limit() {
    for aggregators in [30, 100, 300, 1000] {
        let rejected = rejected_after_misses(aggregators);
        assert!(rejected <= 4, "{rejected} of 40 among {aggregators} aggregators");
    }
}

#[test]
fn the_limit_may_be_less_than_one_query() {
    let (few, many) = (admitted_after_an_overload(3), admitted_after_an_overload(85));
    // Parts usually take 0.7 of the latency target, so a query is admitted with a probability. The limit
    // rejects none.
    assert!(
        (21..=40).contains(&few),
        "{few} of 40: with three aggregators, the minimum limit of each is as many parts as a query has"
    );
    assert!((1..=20).contains(&many), "{many} of 40: a query is admitted from time to time");
}

#[test]
fn a_query_with_a_deadline_below_the_usual_latency_is_not_begun() {
    let answers_with_deadline_in = |wait: f64| {
        let mut harness = harness_with_latency_samples();
        harness.query(1, 0, &[0, 1]);
        let (id, number, class, parts) = (2, 2, 0, 1);
        let deadline = harness.now + wait;
        harness.handle(Event::Query { id, number, class, tenant: None, deadline, parts, repeated: false });
        harness.add_parts(2, &[0]);
        harness.end_turn();
        harness.answers_to(2).len()
    };
    assert_eq!(
        (answers_with_deadline_in(120.0), answers_with_deadline_in(300.0)),
        (1, 0),
        "a part usually takes 100 ms"
    );
}

#[test]
fn where_any_parts_will_do_those_of_the_least_loaded_shards_are_sent() {
    let mut harness = harness_with_spare_parts();
    for id in 1..4 {
        harness.query(id, 0, &[1]);
    }
    let from = harness.sent.len();
    harness.query(9, 1, &[0, 1, 2]);
    let mut servers: Vec<_> = harness.sent[from..].iter().map(|sent| sent.server).collect();
    servers.sort_unstable();
    assert_eq!(servers, [0, 2]);
}

/// The number of queries that are admitted, of 40, after parts of shard 0 took the given number of usual
/// latencies. Shard 1 remains fast.
fn admitted(usual_latencies: f64, minimum_share: f64, shards: &[u32]) -> usize {
    let mut settings = ring_settings(2, 1, 2);
    settings.classes = vec![Class { minimum_share, ..class() }];
    settings.allows_parallel_attempts = false;
    let mut harness = Harness::new(settings, 2);
    for id in 1..60 {
        harness.query(id, 0, &[1]);
        harness.now += 100.0;
        harness.end_attempts_from(id as usize - 1, Outcome::Success);
    }
    for id in 100..106 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        harness.now += 100.0 * usual_latencies;
        harness.end_attempts_from(from, Outcome::Success);
    }
    (1000..1040)
        .filter(|&id| {
            let from = harness.sent.len();
            harness.query(id, 0, shards);
            let is_sent = harness.sent.len() > from;
            assert!(
                is_sent || matches!(harness.answers_to(id)[..], [Action::Reject { .. }]),
                "a query that is not sent is rejected in its first turn"
            );
            harness.handle(Event::ClientGone { query: id });
            harness.end_attempts_from(from, Outcome::Void);
            is_sent
        })
        .count()
}

#[test]
fn a_query_that_needs_a_saturated_shard_is_rejected_with_a_probability() {
    let saturated = admitted(10.0, 1.0, &[0, 1]);
    assert!((5..36).contains(&saturated), "{saturated} of 40");
    assert_eq!(admitted(1.0, 1.0, &[0, 1]), 40, "there is no overload");
    assert_eq!(admitted(10.0, 1.0, &[1]), 40, "the query does not need the saturated shard");
    assert_eq!(admitted(10.0, 0.5, &[0, 1]), 40, "a partial answer is enough");
}

/// Fixed advice of one second would use up the latency target of the clients that follow it.
#[test]
fn advice_to_rejected_clients_is_about_the_usual_latency_of_a_part() {
    let mut harness = Harness::new(ring_settings(4, 2, 4), 4);
    let rejected = |harness: &mut Harness, id: u64| {
        let deadline = harness.now + 20.0;
        let (number, class) = (id, 0);
        harness.handle(Event::Query { id, number, class, tenant: None, deadline, parts: 1, repeated: false });
        harness.add_parts(id, &[3]);
        harness.end_turn();
        harness.advance(10.0);
        match harness.answers_to(id)[..] {
            [Action::Reject { retry_after_ms, .. }] => retry_after_ms,
            ref other => panic!("{other:?}"),
        }
    };
    harness.query(1, 0, &[0]);
    assert_eq!(rejected(&mut harness, 2), 500.0, "no latency is known yet");
    harness.advance(190.0);
    harness.end_attempt(harness.sent[0], Outcome::Success);
    harness.query(3, 0, &[0]);
    let advice = rejected(&mut harness, 4);
    assert!((150.0..=300.0).contains(&advice), "{advice}");
}
