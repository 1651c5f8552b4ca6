//! Kinds of trouble, by symptom: one defence each.
#![allow(clippy::unnecessary_to_owned)] // the copy frees the harness for `end`

mod common;

use common::{class, ready, settings, Harness};
use gingerledge_dispatch::{Action, Class, Entry, Event, ListKind, Outcome, Repeat, Settings, Status};

/// Two servers that hold every shard, and a usual latency of 100 ms learned from both.
fn warm() -> Harness {
    warm_for(1000.0)
}

fn warm_for(latency_target_ms: f64) -> Harness {
    let mut set = settings(2, 2, 2);
    set.classes = vec![Class { latency_target_ms, ..class() }; 2];
    let mut harness = Harness::new(set, 2);
    for id in 100..110 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 1]);
        harness.query(id + 100, 1, &[0, 1]);
        harness.now += 100.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    harness
}

fn last(harness: &Harness) -> gingerledge_dispatch::ServerId {
    harness.sent.last().unwrap().server
}

#[test]
fn a_server_that_fails_immediately_does_not_stay_the_least_loaded() {
    let mut harness = warm();
    let (mut failing, mut total) = (0, 0);
    for id in 1..=20 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        for sent in harness.sent[from..].to_vec() {
            total += 1;
            failing += usize::from(sent.server == 0);
            harness.end_attempt(sent, if sent.server == 0 { Outcome::Unreachable } else { Outcome::Success });
        }
        harness.end_turn();
        harness.now += 20.0;
    }
    assert!(failing <= 3, "{failing} of {total} went to the failing server");
}

#[test]
fn an_error_in_one_class_does_not_eject_the_server_for_the_others() {
    let mut harness = warm();
    harness.query(1, 0, &[0]);
    let bad = harness.sent.last().copied().unwrap();
    harness.end_attempt(bad, Outcome::Failure);
    harness.end_turn();
    let again = harness.sent.last().copied().unwrap();
    assert_ne!(again.server, bad.server);
    // The other server now holds one part more, so the other class's next goes by count.
    harness.query(2, 1, &[0]);
    assert_eq!(last(&harness), bad.server);
}

#[test]
fn an_ejected_server_gets_one_trial_and_is_trusted_after_a_success() {
    let mut harness = warm();
    harness.query(1, 0, &[0]);
    let bad = harness.sent.last().copied().unwrap();
    harness.end_attempt(bad, Outcome::Overloaded);
    harness.now += 300.0;
    harness.query(2, 0, &[0]);
    harness.query(3, 0, &[0]);
    harness.query(4, 0, &[0]);
    let trials: Vec<_> =
        harness.sent.iter().filter(|s| s.at == harness.now && s.server == bad.server).copied().collect();
    assert_eq!(trials.len(), 1, "one part at a time");
    harness.now += 100.0;
    harness.end_attempt(trials[0], Outcome::Success);
    let from = harness.sent.len();
    for id in 5..9 {
        harness.query(id, 0, &[0]);
    }
    assert!(harness.sent[from..].iter().filter(|s| s.server == bad.server).count() >= 2);
}

#[test]
fn an_unresponsive_server_is_avoided_before_its_attempts_time_out() {
    let mut harness = warm();
    let from = harness.sent.len();
    harness.query(1, 0, &[0, 1]);
    let silent = harness.sent[from].server;
    for sent in harness.sent[from..].to_vec() {
        if sent.server != silent {
            harness.now += 100.0;
            harness.end_attempt(sent, Outcome::Success);
        }
    }
    harness.now += 500.0;
    // One part is out on each now, but the silent one's has been out for six usual latencies.
    harness.query(2, 0, &[0]);
    harness.query(3, 0, &[0]);
    assert!(harness.sent.iter().filter(|s| s.at == harness.now).all(|s| s.server != silent));
}

#[test]
fn a_slower_server_loses_ties_and_then_its_calls_count_for_more() {
    let mut harness = warm();
    for id in 1..=8 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 1]);
        for sent in harness.sent[from..].to_vec() {
            let slow = if sent.server == 0 { 300.0 } else { 100.0 };
            harness.now = sent.at + slow;
            harness.end_attempt(sent, Outcome::Success);
        }
        harness.end_turn();
    }
    let from = harness.sent.len();
    harness.query(50, 0, &[0]);
    harness.query(51, 0, &[0]);
    assert!(
        harness.sent[from..].iter().all(|s| s.server == 1),
        "two on the quick one weigh less than one on 0"
    );
}

#[test]
fn a_late_part_is_hedged_at_another_replica() {
    let mut harness = warm();
    harness.query(1, 0, &[0]);
    let first = harness.sent.last().copied().unwrap();
    harness.advance(340.0);
    assert_eq!(
        harness.sent.last().copied().unwrap(),
        first,
        "not before its silence doubles the other's pace"
    );
    harness.advance(30.0);
    let copy = harness.sent.last().copied().unwrap();
    assert_eq!((copy.part, copy.attempt), (first.part, 1));
    assert_ne!(copy.server, first.server);
    harness.end_attempt(copy, Outcome::Success);
    harness.end_turn();
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, whole: true }]);
}

#[test]
fn a_shard_whose_only_replica_is_ejected_is_still_served() {
    let mut harness = Harness::new(settings(1, 1, 1), 1);
    harness.query(1, 0, &[0]);
    harness.end_attempts_from(0, Outcome::Failure);
    harness.query(2, 0, &[0]);
    assert!(harness.sent.iter().any(|sent| sent.attempt == 0 && sent.part == 1002));
}

#[test]
fn a_listed_restart_clears_failures_and_begins_a_warm_up() {
    let mut harness = warm();
    harness.query(1, 0, &[0]);
    let bad = harness.sent.last().copied().unwrap();
    harness.end_attempt(bad, Outcome::Broken);
    harness.end_turn();
    harness.update_list(ListKind::Changes, vec![Entry { since: harness.now, ..ready(bad.server) }]);
    let from = harness.sent.len();
    for id in 2..14 {
        harness.query(id, 0, &[0]);
    }
    let sent = harness.sent[from..].iter().filter(|s| s.server == bad.server).count();
    assert!((1..=2).contains(&sent), "a cold server's count weighs more, but it is used: {sent}");
}

#[test]
fn a_burst_far_beyond_capacity_is_rejected_in_its_turn_with_advice() {
    let mut harness = warm();
    let mut rejected = 0;
    let mut id = 1;
    for _ in 0..60 {
        let from = harness.sent.len();
        for _ in 0..4 {
            harness.query(id, 0, &[0, 1]);
            rejected += harness.answers_to(id).iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
            if let [Action::Refuse { retry_after_ms, .. }] = harness.answers_to(id)[..] {
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

#[test]
fn unexpected_events_are_ignored() {
    let mut harness = warm();
    harness.handle(Event::ClientGone { query: 999 });
    harness.handle(Event::Timer { token: 77 });
    let (part, attempt, server) = (424_242, 3, 9);
    let outcome = Outcome::Success;
    harness.handle(Event::Outcome { part, attempt, server, wait_ms: 1.0, outcome, report: vec![1.0] });
    harness.handle(Event::ProbeResult { server, outcome, wait_ms: 1.0, report: Vec::new() });
    harness.handle(Event::Part { id: 5, number: 404, shard: u32::MAX, weight: f64::NAN, cost_ms: None });
    harness.update_list(ListKind::Complete, Vec::new());
    harness.query(1, 0, &[0, 7_000_000]);
    harness.handle(Event::Query {
        id: 2,
        number: 2,
        class: 99,
        tenant: Some(42),
        deadline: -1.0,
        parts: 0,
        repeated: true,
    });
    harness.end_turn();
    harness.advance(3000.0);
    assert_eq!(harness.answers_to(1).len(), 1);
    assert_eq!(harness.answers_to(2), [Action::Fail { query: 2 }]);
}

#[test]
fn no_part_is_hedged_at_an_ejected_server() {
    // Kept out for longer than a copy waits.
    let mut harness = warm_for(1250.0);
    harness.query(1, 0, &[0]);
    let first = harness.sent.last().copied().unwrap();
    let other = 1 - first.server;
    for id in 2..4 {
        // The other server rejects work; what failed goes to the first one.
        harness.query(id, 0, &[0]);
        let tried = harness.sent.iter().rfind(|sent| sent.server == other && sent.at == harness.now).copied();
        if let Some(tried) = tried {
            harness.end_attempt(tried, Outcome::Overloaded);
            harness.end_turn();
        }
    }
    // Still ejected when the first part becomes late.
    let from = harness.sent.len();
    harness.now += 245.0;
    harness.end_turn();
    harness.now += 4.0;
    harness.query(9, 1, &[1]);
    let tried = harness.sent.iter().rfind(|sent| sent.server == other).copied();
    assert!(tried.is_none_or(|sent| sent.at < harness.now - 200.0), "{:?}", &harness.sent[from..]);
}

/// Two servers without hedged requests; a part is out at either, of class 0 at server 0 first.
fn two_out(latency_target_ms: f64) -> Harness {
    let mut set = settings(2, 2, 2);
    set.classes = vec![Class {
        latency_target_ms,
        deadline_ms: 4.0 * latency_target_ms,
        repeat: Repeat::Unsafe,
        ..class()
    }];
    set.parallel = false;
    let mut harness = Harness::new(set, 2);
    harness.query(1, 0, &[0]);
    harness.query(2, 0, &[0]);
    assert_ne!(harness.sent[0].server, harness.sent[1].server);
    harness
}

/// Where it may not, its load goes to the next replica, which is late in turn and ejected, and so on.
#[test]
fn a_server_that_responds_late_is_not_ejected() {
    for outcome in [Outcome::TimedOut, Outcome::Withdrawn] {
        let mut harness = two_out(1000.0);
        let (late, other) = (harness.sent[0], harness.sent[1]);
        harness.query(3, 0, &[0]);
        harness.query(4, 0, &[0]);
        let both: Vec<_> = harness.sent[2..].to_vec();
        let next = both.iter().find(|sent| sent.server == late.server).copied().unwrap();
        harness.now += 100.0;
        harness.end_attempt(next, Outcome::Success);
        harness.now += 10.0;
        harness.end_attempt(late, outcome);
        harness.end_turn();
        // It has no part outstanding now, the other server two.
        harness.query(5, 0, &[0]);
        assert_eq!(last(&harness), late.server, "{outcome:?}");
        assert_eq!(harness.sent.iter().filter(|sent| sent.server == other.server).count(), 2);
    }
}

/// A fixed time would be most of a query's where latency targets are short.
#[test]
fn a_server_is_ejected_for_a_share_of_the_latency_target() {
    for aim in [100.0, 1000.0] {
        let mut harness = two_out(aim);
        let failed = harness.sent[0];
        harness.end_attempt(failed, Outcome::Failure);
        harness.end_turn();
        harness.now += 0.15 * aim;
        harness.query(3, 0, &[0]);
        assert_ne!(last(&harness), failed.server, "{aim}: still ejected, though it has no part outstanding");
        harness.now += 0.1 * aim;
        harness.query(4, 0, &[0]);
        assert_eq!(last(&harness), failed.server, "{aim}: tried again");
    }
}

#[test]
fn with_unusable_settings_each_query_still_gets_one_final_answer() {
    for odd in [0.0, -1.0, 1e300, f64::INFINITY, f64::NAN] {
        let class = Class {
            latency_target_ms: odd,
            deadline_ms: odd,
            required_share: odd,
            minimum_share: odd,
            value: odd,
            ..class()
        };
        let set = Settings {
            classes: vec![class],
            overload_window_ms: odd,
            warm_up_ms: odd,
            turn_ms: odd,
            ..Settings::default()
        };
        let mut harness = Harness::new(set, 3);
        harness.query(1, 0, &[0, 1, 2, 4_000_000_000]);
        harness.advance(200.0);
        harness.end_attempts_from(0, Outcome::Failure);
        harness.advance(4000.0);
        assert_eq!(harness.answers_to(1).len(), 1, "settings of {odd}");
    }
}

#[test]
fn a_query_that_needs_a_shard_without_a_healthy_replica_is_rejected_in_its_turn() {
    let mut harness = Harness::new(settings(2, 2, 2), 2);
    harness.query(1, 0, &[0, 1]);
    harness.end_attempts_from(0, Outcome::Overloaded);
    harness.advance(300.0);
    assert_eq!(harness.sent.len(), 4, "again after the ejection");
    harness.end_attempts_from(2, Outcome::Overloaded);
    harness.handle(Event::ClientGone { query: 1 });
    // Both replicas have rejected parts twice: the rest of the query's work would be wasted.
    let from = harness.sent.len();
    harness.query(3, 0, &[0, 1]);
    assert!(matches!(harness.answers_to(3)[..], [Action::Refuse { .. }]));
    assert_eq!(harness.sent.len(), from);
    harness.advance(2000.0);
    harness.query(4, 0, &[0, 1]);
    assert!(
        harness.answers_to(4).is_empty() && harness.sent.len() > from,
        "a trial follows when the ejection is over"
    );
}

#[test]
fn a_query_that_crashed_two_servers_is_not_sent_to_a_third() {
    let mut set = settings(3, 3, 3);
    set.classes = vec![class()];
    let mut harness = Harness::new(set, 3);
    let part = harness.query(1, 0, &[0])[0];
    for _ in 0..2 {
        assert!(harness.answers_to(1).is_empty());
        let sent = harness.sent.iter().rfind(|sent| sent.part == part).copied().unwrap();
        harness.now += 10.0;
        harness.end_attempt(sent, Outcome::Broken);
        harness.end_turn();
    }
    assert!(matches!(harness.answers_to(1)[..], [Action::Refuse { .. }]));
    assert_eq!(harness.sent.len(), 2, "the third server is spared");
}

#[test]
fn a_part_without_response_from_two_replicas_gets_a_third_attempt() {
    let mut set = settings(3, 3, 3);
    set.classes = vec![class()];
    let mut harness = Harness::new(set, 3);
    for id in 100..110 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 1, 2]);
        harness.now += 100.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    let from = harness.sent.len();
    harness.query(1, 0, &[0]);
    harness.advance(900.0);
    let mut servers: Vec<_> = harness.sent[from..].iter().map(|sent| sent.server).collect();
    servers.sort_unstable();
    assert_eq!(servers, [0, 1, 2], "each replica once, inside the latency target");
}

#[test]
fn a_failure_breaks_ties_until_a_success_also_after_the_ejection() {
    let mut harness = warm();
    harness.query(1, 0, &[0]);
    let lost = harness.sent.last().copied().unwrap();
    harness.now += 900.0;
    harness.end_attempt(lost, Outcome::TimedOut);
    harness.end_turn();
    harness.end_attempts_from(harness.sent.len() - 1, Outcome::Success);
    for id in 2..8 {
        harness.advance(2000.0);
        harness.query(id, 0, &[0]);
        assert_ne!(last(&harness), lost.server, "counts are equal, the failure is not forgotten");
        harness.now += 100.0;
        harness.end_attempts_from(harness.sent.len() - 1, Outcome::Success);
    }
    // Counts still come first.
    harness.query(20, 0, &[0]);
    harness.query(21, 0, &[0]);
    assert_eq!(last(&harness), lost.server);
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
    (set.aggregators, set.parallel) = (aggregators, false);
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
    (set.aggregators, set.parallel) = (aggregators, false);
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
        let mut harness = warm();
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
fn a_restarted_aggregator_with_an_old_list_learns_from_outcomes_which_servers_are_dead() {
    let mut harness = Harness::new(settings(2, 2, 2), 0);
    harness.update_list(ListKind::Remembered, vec![ready(0), ready(1)]);
    let mut to_dead = 0;
    for id in 1..=20 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        // Server 0 died while this aggregator was away; its list says ready.
        while let Some(&sent) =
            harness.sent[from..].iter().find(|sent| sent.server == 0 && sent.at == harness.now)
        {
            to_dead += 1;
            harness.end_attempt(sent, Outcome::Unreachable);
            harness.now += 1.0;
            harness.end_turn();
        }
        harness.now += 50.0;
        harness.end_attempts_from(harness.sent.len() - 1, Outcome::Success);
        harness.end_turn();
        assert!(matches!(harness.answers_to(id)[..], [Action::Answer { whole: true, .. }]), "query {id}");
        harness.advance(3000.0);
    }
    assert!(to_dead <= 2, "own outcomes outrank the list: {to_dead} sends to a dead server");
}

#[test]
fn a_zone_that_returns_is_used_again_but_spared_during_its_warm_up() {
    let mut set = settings(2, 2, 2);
    set.overload_factor = 100.0; // so that the budget of the rule is not what spares it
    let mut harness = Harness::new(set, 2);
    let count =
        |harness: &Harness, from: usize| harness.sent[from..].iter().filter(|sent| sent.server == 0).count();
    let send_query = |harness: &mut Harness, ids: std::ops::Range<u64>| {
        let from = harness.sent.len();
        for id in ids {
            harness.query(id, 0, &[0, 0, 0, 0]);
            harness.advance(100.0);
            harness.end_attempts_from(harness.sent.len() - 4, Outcome::Success);
        }
        from
    };
    send_query(&mut harness, 1..5);
    harness.update_list(ListKind::Changes, vec![Entry { status: Status::Gone, ..ready(0) }]);
    let lost = send_query(&mut harness, 5..10);
    assert_eq!(count(&harness, lost), 0);
    harness.update_list(ListKind::Changes, vec![Entry { since: harness.now, ..ready(0) }]);
    let cold = send_query(&mut harness, 10..20);
    let few = count(&harness, cold);
    harness.advance(12_000.0);
    let warm = send_query(&mut harness, 20..30);
    assert!(few < 15 && count(&harness, warm) >= 15, "{few} cold, {} warm of 40", count(&harness, warm));
}

// One attempt at a time: a late part moves.

fn withdrawals(harness: &Harness) -> Vec<(u64, u32)> {
    let of = |action: &Action| match *action {
        Action::Withdraw { part, attempt } => Some((part, attempt)),
        _ => None,
    };
    harness.actions.iter().filter_map(of).collect()
}

fn one_at_a_time(repeat: Repeat) -> Harness {
    let mut set = settings(2, 2, 2);
    (set.parallel, set.withdrawals) = (false, true);
    set.classes = vec![Class { repeat, deduplication_ms: 2000.0, ..class() }];
    let mut harness = Harness::new(set, 2);
    harness.query(100, 0, &[0, 0]);
    harness.now += 100.0;
    harness.end_attempts_from(0, Outcome::Success);
    harness.sent.clear();
    harness
}

#[test]
fn without_parallel_attempts_a_part_moves_from_an_unresponsive_server_after_half_the_latency_target() {
    for repeat in [Repeat::Safe, Repeat::Keyed] {
        let mut harness = one_at_a_time(repeat);
        let part = harness.query(1, 0, &[0])[0];
        harness.advance(480.0);
        assert!(withdrawals(&harness).is_empty());
        harness.advance(40.0);
        assert_eq!(withdrawals(&harness), [(part, 0)], "once");
        assert_eq!(harness.sent.len(), 1, "nothing until the outcome is in");
        let first = harness.sent[0];
        harness.end_attempt(first, Outcome::Withdrawn);
        harness.end_turn();
        assert_eq!(harness.sent.len(), 2);
        assert!(harness.answers_to(1).is_empty());
        assert_ne!(harness.sent[1].server, first.server);
    }
    let mut unsafe_part = one_at_a_time(Repeat::Unsafe);
    unsafe_part.query(1, 0, &[0]);
    unsafe_part.advance(990.0);
    assert!(withdrawals(&unsafe_part).is_empty());
}

/// Moved, it would wait anew elsewhere, and its server works on for nothing.
#[test]
fn a_late_part_stays_at_a_server_that_has_served_since() {
    let mut harness = one_at_a_time(Repeat::Safe);
    let part = harness.query(1, 0, &[0])[0];
    let (held, from) = (harness.sent[0].server, harness.sent.len());
    for id in 2..6 {
        // The other server serves as well, so that all is known of both.
        harness.query(id, 0, &[0, 0, 0]);
        harness.advance(80.0);
        harness.end_attempts_from(harness.sent.len() - 3, Outcome::Success);
    }
    assert!(harness.sent[from..].iter().any(|sent| sent.server == held));
    harness.advance(300.0);
    assert!(withdrawals(&harness).is_empty(), "{part} moved: {:?}", withdrawals(&harness));
}

#[test]
fn a_response_that_overtakes_its_withdrawal_counts() {
    let mut harness = one_at_a_time(Repeat::Safe);
    harness.query(1, 0, &[0]);
    harness.advance(520.0);
    assert_eq!(withdrawals(&harness).len(), 1);
    harness.end_attempts_from(0, Outcome::Success);
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, whole: true }]);
    assert_eq!(harness.sent.len(), 1);
}

// Any parts that are enough make an answer complete.

fn any_two_of_three() -> Harness {
    let mut set = settings(3, 1, 3);
    set.classes = vec![class(), Class { required_share: 0.6, minimum_share: 0.6, ..class() }];
    (set.parallel, set.withdrawals) = (false, true);
    Harness::new(set, 3)
}

#[test]
fn where_any_parts_will_do_those_of_the_least_loaded_shards_are_sent() {
    let mut harness = any_two_of_three();
    for id in 1..4 {
        harness.query(id, 0, &[1]);
    }
    let from = harness.sent.len();
    harness.query(9, 1, &[0, 1, 2]);
    let mut queries: Vec<_> = harness.sent[from..].iter().map(|sent| sent.server).collect();
    queries.sort_unstable();
    assert_eq!(queries, [0, 2]);
}

#[test]
fn where_any_parts_will_do_a_spare_part_replaces_a_late_one() {
    let mut harness = any_two_of_three();
    harness.query(9, 1, &[0, 1, 2]);
    assert_eq!(harness.sent.len(), 2);
    let first = harness.sent[0];
    harness.end_attempt(first, Outcome::Success);
    harness.advance(520.0);
    assert_eq!(harness.sent.len(), 3, "the spare part");
    harness.end_attempts_from(2, Outcome::Success);
    assert_eq!(harness.answers_to(9), [Action::Answer { query: 9, whole: true }]);
}

#[test]
fn where_any_parts_will_do_one_shard_without_healthy_replicas_rejects_nothing() {
    let mut harness = any_two_of_three();
    for id in 1..4 {
        let from = harness.sent.len();
        harness.query(id, 0, &[1]);
        harness.end_attempts_from(from, Outcome::Unreachable);
        harness.advance(260.0);
    }
    harness.query(9, 1, &[0, 1, 2]);
    assert!(harness.answers_to(9).is_empty(), "{:?}", harness.answers_to(9));
}

#[test]
fn a_part_does_not_move_between_two_slow_replicas() {
    let mut harness = one_at_a_time(Repeat::Safe);
    for id in 1..4 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 0]);
        harness.now += 450.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    harness.query(9, 0, &[0, 0]);
    harness.advance(700.0);
    assert!(withdrawals(&harness).is_empty(), "{:?}", withdrawals(&harness));
}

#[test]
fn outstanding_attempts_are_withdrawn_when_their_query_is_given_up() {
    let mut harness = one_at_a_time(Repeat::Unsafe);
    let part = harness.query(1, 0, &[0])[0];
    harness.advance(3000.0);
    assert_eq!(harness.answers_to(1), [Action::Fail { query: 1 }]);
    assert_eq!(withdrawals(&harness), [(part, 0)]);
}

// All parts are needed and one shard is saturated: what can't end in time is not begun.

/// Queries admitted, of 40, after parts of shard 0 took so many usual latencies; shard 1 stays quick.
fn admitted(usual: f64, minimum_share: f64, shards: &[u32]) -> usize {
    let mut set = settings(2, 1, 2);
    set.classes = vec![Class { minimum_share, ..class() }];
    set.parallel = false;
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
                begun || matches!(harness.answers_to(id)[..], [Action::Refuse { .. }]),
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

// Connections dropped unseen: what is sent on one that was idle for long gets no answer.

/// Releases asked for while `lost_after` of idleness loses what is sent, one query every `pause`, and a
/// new connection can be opened or not.
fn releases(lost_after: f64, pause: f64, opens: bool) -> usize {
    let mut set = settings(2, 1, 2);
    (set.parallel, set.idle_ms) = (false, 15_000.0);
    let mut harness = Harness::new(set, 2);
    for id in 1..40 {
        let from = harness.sent.len();
        let fresh = harness.actions.len();
        harness.query(id, 0, &[0]);
        let released = harness.actions[fresh..].iter().any(|a| matches!(a, Action::Release { server: 0 }));
        harness.now += 100.0;
        let lost = pause > lost_after && id > 1 && !released;
        let fails = released && !opens;
        let first = if fails { Outcome::Unreachable } else { Outcome::Success };
        harness.end_attempts_from(from, if lost { Outcome::TimedOut } else { first });
        harness.advance(if lost || fails { 300.0 } else { 0.0 });
        if harness.sent.len() > from + 1 {
            harness.end_attempts_from(from + 1, Outcome::Success);
        }
        harness.advance(pause);
    }
    harness.actions.iter().filter(|action| matches!(action, Action::Release { .. })).count()
}

#[test]
fn while_attempts_on_long_idle_connections_are_lost_these_are_closed_before_use() {
    let all = releases(1500.0, 3000.0, true);
    assert!(all > 20, "{all}");
    let shut = releases(1500.0, 3000.0, false);
    assert!(shut < all - 5, "{shut} of {all}: closing does not help");
    assert_eq!(releases(f64::MAX, 3000.0, true), 0, "nothing is lost");
    assert_eq!(releases(300.0, 600.0, true), 0, "lost without long idleness: not the connection's age");
}

/// Releases among sixty queries of one part over twelve servers, where some are silent for those that are picked. What is
/// lost is served by the other holder.
fn releases_with_unresponsive_servers(silent: impl Fn(u64, u32) -> bool) -> usize {
    let mut set = settings(12, 2, 12);
    (set.parallel, set.idle_ms) = (false, 15_000.0);
    let mut harness = Harness::new(set, 12);
    for id in 1..60 {
        let from = harness.sent.len();
        harness.query(id, 0, &[id as u32 * 5 % 12]);
        harness.now += 100.0;
        let outcome =
            if silent(id, harness.sent[from].server) { Outcome::TimedOut } else { Outcome::Success };
        harness.end_attempts_from(from, outcome);
        harness.advance(300.0);
        if harness.sent.len() > from + 1 {
            harness.end_attempts_from(from + 1, Outcome::Success);
        }
        harness.advance(1000.0);
    }
    harness.actions.iter().filter(|action| matches!(action, Action::Release { .. })).count()
}

#[test]
fn an_unresponsive_server_is_not_taken_for_dead_connections() {
    assert_eq!(releases_with_unresponsive_servers(|id, server| id > 20 && server % 2 == 0), 0, "for long");
    assert_eq!(
        releases_with_unresponsive_servers(|id, server| id > 20 && id % 4 < 2 && server % 2 == 0),
        0,
        "by turns"
    );
    assert_eq!(
        releases_with_unresponsive_servers(|id, _| id > 20 && id / 12 % 2 == 0),
        0,
        "once each, and well when next asked"
    );
}

#[test]
fn a_part_does_not_move_to_a_replica_without_recent_samples() {
    let mut harness = one_at_a_time(Repeat::Safe);
    harness.advance(20_000.0);
    harness.query(1, 0, &[0]);
    harness.advance(700.0);
    assert!(withdrawals(&harness).is_empty(), "{:?}", withdrawals(&harness));
}

#[test]
fn no_part_is_hedged_between_two_slow_replicas_or_to_one_without_recent_samples() {
    let mut harness = warm();
    for id in 1..6 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 0]);
        harness.now += 240.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    let copies = |harness: &mut Harness, id: u64, pause: f64, wait: f64| {
        harness.advance(pause);
        harness.query(id, 0, &[0]);
        let from = harness.sent.len();
        harness.advance(wait);
        harness.handle(Event::ClientGone { query: id });
        harness.sent.len() - from
    };
    assert_eq!(copies(&mut harness, 9, 5.0, 400.0), 0, "both are slow");
    assert_eq!(copies(&mut warm(), 9, 20_000.0, 400.0), 0, "the other is not known");
    assert_eq!(copies(&mut warm(), 9, 5.0, 400.0), 1);
}

#[test]
fn a_failed_part_waits_while_all_its_replicas_are_ejected() {
    let mut harness = warm();
    harness.query(1, 0, &[0]);
    for _ in 0..2 {
        let from = harness.sent.len() - 1;
        harness.now += 2.0;
        harness.end_attempts_from(from, Outcome::Overloaded);
    }
    let tries = harness.sent.iter().filter(|sent| sent.at >= harness.now - 4.0).count();
    assert_eq!(tries, 2, "one at each replica");
    harness.advance(200.0);
    assert!(harness.answers_to(1).is_empty());
    harness.advance(100.0);
    let third = harness.sent.last().copied().unwrap();
    assert_eq!(third.attempt, 2, "after the ejection");
    harness.end_attempt(third, Outcome::Success);
    harness.end_turn();
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, whole: true }]);
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
            [Action::Refuse { retry_after_ms, .. }] => retry_after_ms,
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

/// Its errors come at once, so that by calls out it looks as free as any.
#[test]
fn a_server_that_fails_some_parts_gets_few_while_another_is_available() {
    let mut harness = Harness::new(settings(2, 2, 1), 2);
    let (mut to_flaky, mut rounds) = (0, 0);
    for id in 0..200 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        harness.now += 100.0;
        let sent = harness.sent[from];
        // One in three of the parts at server 0 fails.
        to_flaky += usize::from(sent.server == 0);
        rounds += 1;
        let fails = sent.server == 0 && to_flaky % 3 == 0;
        harness.end_attempt(sent, if fails { Outcome::Failure } else { Outcome::Success });
        harness.end_turn();
        for again in harness.sent[from + 1..].to_vec() {
            harness.end_attempt(again, Outcome::Success);
        }
        harness.end_turn();
        harness.advance(50.0);
    }
    assert!(to_flaky * 5 < rounds, "{to_flaky} of {rounds}");
    // Once its errors are long past it takes what the other has no room for, as any server does.
    harness.advance(60_000.0);
    let from = harness.sent.len();
    harness.query(300, 0, &[0]);
    harness.query(301, 0, &[0]);
    assert_eq!(harness.sent[from..].iter().map(|sent| sent.server).collect::<Vec<_>>(), [1, 0]);
}
