//! The learned limit on outstanding parts, and what else is rejected under overload.
#![allow(clippy::unnecessary_to_owned)] // the copy frees the harness for the calls in the loop

mod common;

use common::{class, harness_with_latency_samples, harness_with_spare_parts, settings, Harness};
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
    let mut set = settings(2, 2, 2);
    set.classes = vec![Class { minimum_share: 0.3, ..class() }];
    let mut harness = Harness::new(set, 2);
    let mut least = usize::MAX;
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
            assert!(sent.iter().any(|s| s.part % 10_000 == 1), "the heaviest is kept");
            least = least.min(sent.len());
        }
        harness.advance(250.0);
        for sent in harness.sent.clone() {
            if sent.at <= harness.now - 1390.0 && sent.at > harness.now - 1640.0 {
                harness.end_attempt(sent, Outcome::Success);
            }
        }
        harness.end_turn();
    }
    assert!(least < 4, "some query was sent without its lightest parts");
}

/// How many of 40 queries are admitted, one every 2 s with nothing outstanding, after an overload.
fn admitted_after_an_overload(aggregators: u32) -> usize {
    let mut set = settings(10, 2, 10);
    set.aggregators = aggregators;
    let mut harness = Harness::new(set, 10);
    let shards: Vec<u32> = (0..10).collect();
    let mut sent = 0;
    for id in 1..=60 {
        let from = harness.sent.len();
        harness.query(id, 0, &shards);
        sent += usize::from(id > 20 && harness.sent.len() > from);
        harness.advance(700.0);
        harness.end_attempts_from(from, Outcome::Success);
        harness.advance(300.0);
    }
    sent
}

/// How many of 60 queries of ten parts are rejected at once, where one part of each is never served, always at another
/// server, and all others at once: the usual latency says nothing.
fn rejected_while_all_miss(aggregators: u32) -> usize {
    let mut set = settings(10, 1, 10);
    (set.aggregators, set.allows_parallel_attempts) = (aggregators, false);
    set.classes = vec![Class { late_value_share: 0.0, ..class() }];
    let mut harness = Harness::new(set, 10);
    let shards: Vec<u32> = (0..10).collect();
    let mut rejected_parts = 0;
    for id in 1..=60 {
        let from = harness.sent.len();
        harness.query(id, 0, &shards);
        rejected_parts += usize::from(!harness.answers_to(id).is_empty());
        harness.advance(50.0);
        let (lost, served): (Vec<_>, Vec<_>) =
            harness.sent[from..].iter().copied().partition(|sent| u64::from(sent.server) == id % 10);
        served.into_iter().for_each(|sent| harness.end_attempt(sent, Outcome::Success));
        harness.end_turn();
        harness.advance(1050.0);
        lost.into_iter().for_each(|sent| harness.end_attempt(sent, Outcome::TimedOut));
        harness.end_turn();
        assert_eq!(harness.answers_to(id).len(), 1);
    }
    rejected_parts
}

#[test]
fn with_few_samples_the_limit_follows_queries_that_miss_their_latency_target() {
    let (few, many) = (rejected_while_all_miss(3), rejected_while_all_miss(100));
    assert_eq!(few, 0, "whoever sees much of a server goes round it instead");
    assert!((20..60).contains(&many), "{many} of 60: some is admitted all the same, to see the end of it");
}

/// How many of 40 queries of 25 parts, two a second and each served at once, are rejected after three that missed their
/// aim.
fn rejected_after_misses(aggregators: u32) -> usize {
    let mut set = settings(30, 2, 30);
    (set.aggregators, set.allows_parallel_attempts) = (aggregators, false);
    set.classes = vec![Class { late_value_share: 0.0, ..class() }];
    let mut harness = Harness::new(set, 30);
    let shards: Vec<u32> = (0..25).collect();
    let mut rejected_parts = 0;
    for id in 1..=43 {
        let from = harness.sent.len();
        harness.query(id, 0, &shards);
        harness.advance(30.0);
        rejected_parts += usize::from(id > 3 && !harness.answers_to(id).is_empty());
        // Of the first three, one part each is never served.
        let lost = usize::from(id <= 3);
        let sent = harness.sent[from..].to_vec();
        sent.iter().skip(lost).for_each(|sent| harness.end_attempt(*sent, Outcome::Success));
        harness.end_turn();
        harness.advance(if id > 3 && id % 2 == 0 { 70.0 } else { 970.0 });
        sent.iter().take(lost).for_each(|sent| harness.end_attempt(*sent, Outcome::TimedOut));
        harness.end_turn();
    }
    rejected_parts
}

/// Few queries tell of many misses for long; a limit that each of them cuts once more would turn away most of what comes
/// while the servers stand idle.
#[test]
fn with_few_samples_queries_within_their_latency_target_do_not_lower_the_limit() {
    for aggregators in [30, 100, 300, 1000] {
        let rejected_parts = rejected_after_misses(aggregators);
        assert!(rejected_parts <= 4, "{rejected_parts} of 40 among {aggregators} aggregators");
    }
}

#[test]
fn the_limit_may_be_less_than_one_query() {
    let (few, many) = (admitted_after_an_overload(3), admitted_after_an_overload(85));
    // Parts that usually take 0.7 of the latency target let a query in with a chance; the limit rejects none.
    assert!(
        (21..=40).contains(&few),
        "{few}: three parts a server for all, a third of that for each: a query fits"
    );
    assert!((1..=20).contains(&many), "{many} of 40: a query now and then");
}

#[test]
fn a_query_with_a_deadline_below_the_usual_latency_is_not_begun() {
    let send_query = |wait: f64| {
        let mut harness = harness_with_latency_samples();
        harness.query(1, 0, &[0, 1]);
        let (id, number, class, parts) = (2, 2, 0, 1);
        let deadline = harness.now + wait;
        harness.handle(Event::Query { id, number, class, tenant: None, deadline, parts, repeated: false });
        harness.add_parts(2, &[0]);
        harness.end_turn();
        harness.answers_to(2).len()
    };
    assert_eq!((send_query(120.0), send_query(300.0)), (1, 0), "a part usually takes 100 ms");
}

#[test]
fn where_any_parts_will_do_those_of_the_least_loaded_shards_are_sent() {
    let mut harness = harness_with_spare_parts();
    for id in 1..4 {
        harness.query(id, 0, &[1]);
    }
    let from = harness.sent.len();
    harness.query(9, 1, &[0, 1, 2]);
    let mut queries: Vec<_> = harness.sent[from..].iter().map(|sent| sent.server).collect();
    queries.sort_unstable();
    assert_eq!(queries, [0, 2]);
}

/// Queries admitted, of 40, after parts of shard 0 took so many usual latencies; shard 1 stays quick.
fn admitted(usual: f64, minimum_share: f64, shards: &[u32]) -> usize {
    let mut set = settings(2, 1, 2);
    set.classes = vec![Class { minimum_share, ..class() }];
    set.allows_parallel_attempts = false;
    let mut harness = Harness::new(set, 2);
    for id in 1..60 {
        harness.query(id, 0, &[1]);
        harness.now += 100.0;
        harness.end_attempts_from(id as usize - 1, Outcome::Success);
    }
    for id in 100..106 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        harness.now += 100.0 * usual;
        harness.end_attempts_from(from, Outcome::Success);
    }
    (1000..1040)
        .filter(|&id| {
            let from = harness.sent.len();
            harness.query(id, 0, shards);
            let begun = harness.sent.len() > from;
            assert!(
                begun || matches!(harness.answers_to(id)[..], [Action::Reject { .. }]),
                "rejected in its turn"
            );
            harness.handle(Event::ClientGone { query: id });
            harness.end_attempts_from(from, Outcome::Void);
            begun
        })
        .count()
}

#[test]
fn a_query_that_needs_a_saturated_shard_is_rejected_with_a_probability() {
    let some = admitted(10.0, 1.0, &[0, 1]);
    assert!((5..36).contains(&some), "{some} of 40");
    assert_eq!(admitted(1.0, 1.0, &[0, 1]), 40, "no overload");
    assert_eq!(admitted(10.0, 1.0, &[1]), 40, "the saturated shard is not asked");
    assert_eq!(admitted(10.0, 0.5, &[0, 1]), 40, "a partial answer will do");
}

/// Advice of a fixed second used up the latency target of whoever followed it.
#[test]
fn advice_to_rejected_clients_is_about_the_usual_latency_of_a_part() {
    let mut harness = Harness::new(settings(4, 2, 4), 4);
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
    assert_eq!(rejected(&mut harness, 2), 500.0, "nothing is known yet");
    harness.advance(190.0);
    harness.end_attempt(harness.sent[0], Outcome::Success);
    harness.query(3, 0, &[0]);
    let advice = rejected(&mut harness, 4);
    assert!((150.0..=300.0).contains(&advice), "{advice}");
}
