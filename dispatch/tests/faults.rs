//! Faults of servers and hosts, by symptom: ejection, slow servers, restarts, unexpected input.
#![allow(clippy::unnecessary_to_owned)] // The loops change the harness, so they iterate over a copy.

mod common;

use common::{
    class, harness_with_latency_samples, harness_with_spare_parts, last_server, ready, ring_settings, Harness,
};
use gingerledge_dispatch::{
    Action, Class, Event, ListKind, Outcome, Repeat, ServerEntry, ServerStatus, Settings,
};

#[test]
fn a_server_that_fails_immediately_does_not_stay_the_least_loaded() {
    let mut harness = harness_with_latency_samples();
    let (mut to_failing, mut total) = (0, 0);
    for id in 1..=20 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        for sent in harness.sent[from..].to_vec() {
            total += 1;
            to_failing += usize::from(sent.server == 0);
            harness.end_attempt(sent, if sent.server == 0 { Outcome::Unreachable } else { Outcome::Success });
        }
        harness.end_turn();
        harness.now += 20.0;
    }
    assert!(to_failing <= 3, "{to_failing} of {total} parts were sent to the failing server");
}

#[test]
fn an_error_in_one_class_does_not_eject_the_server_for_the_others() {
    let mut harness = harness_with_latency_samples();
    harness.query(1, 0, &[0]);
    let failed = harness.sent.last().copied().unwrap();
    harness.end_attempt(failed, Outcome::Failure);
    harness.end_turn();
    let retry = harness.sent.last().copied().unwrap();
    assert_ne!(retry.server, failed.server);
    // The other server now has one outstanding part more, so the next part of the other class is placed by
    // the counts.
    harness.query(2, 1, &[0]);
    assert_eq!(last_server(&harness), failed.server);
}

#[test]
fn an_ejected_server_gets_one_trial_and_is_trusted_after_a_success() {
    let mut harness = harness_with_latency_samples();
    harness.query(1, 0, &[0]);
    let failed = harness.sent.last().copied().unwrap();
    harness.end_attempt(failed, Outcome::Overloaded);
    harness.now += 300.0;
    harness.query(2, 0, &[0]);
    harness.query(3, 0, &[0]);
    harness.query(4, 0, &[0]);
    let trials: Vec<_> =
        harness.sent.iter().filter(|s| s.at == harness.now && s.server == failed.server).copied().collect();
    assert_eq!(trials.len(), 1, "an ejected server gets one part at a time");
    harness.now += 100.0;
    harness.end_attempt(trials[0], Outcome::Success);
    let from = harness.sent.len();
    for id in 5..9 {
        harness.query(id, 0, &[0]);
    }
    assert!(harness.sent[from..].iter().filter(|s| s.server == failed.server).count() >= 2);
}

#[test]
fn an_unresponsive_server_is_avoided_before_its_attempts_time_out() {
    let mut harness = harness_with_latency_samples();
    let from = harness.sent.len();
    harness.query(1, 0, &[0, 1]);
    let unresponsive = harness.sent[from].server;
    for sent in harness.sent[from..].to_vec() {
        if sent.server != unresponsive {
            harness.now += 100.0;
            harness.end_attempt(sent, Outcome::Success);
        }
    }
    harness.now += 500.0;
    // Each server has one outstanding part now, but that of the unresponsive one has been outstanding for six
    // usual latencies.
    harness.query(2, 0, &[0]);
    harness.query(3, 0, &[0]);
    assert!(harness.sent.iter().filter(|s| s.at == harness.now).all(|s| s.server != unresponsive));
}

#[test]
fn a_slower_server_loses_ties_and_then_its_calls_count_for_more() {
    let mut harness = harness_with_latency_samples();
    for id in 1..=8 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 1]);
        for sent in harness.sent[from..].to_vec() {
            let latency_ms = if sent.server == 0 { 300.0 } else { 100.0 };
            harness.now = sent.at + latency_ms;
            harness.end_attempt(sent, Outcome::Success);
        }
        harness.end_turn();
    }
    let from = harness.sent.len();
    harness.query(50, 0, &[0]);
    harness.query(51, 0, &[0]);
    assert!(
        harness.sent[from..].iter().all(|s| s.server == 1),
        "two calls at the fast server count for less than one at server 0"
    );
}

#[test]
fn a_shard_whose_only_replica_is_ejected_is_still_served() {
    let mut harness = Harness::new(ring_settings(1, 1, 1), 1);
    harness.query(1, 0, &[0]);
    harness.end_attempts_from(0, Outcome::Failure);
    harness.query(2, 0, &[0]);
    assert!(harness.sent.iter().any(|sent| sent.attempt == 0 && sent.part == 1002));
}

#[test]
fn a_listed_restart_clears_failures_and_begins_a_warm_up() {
    let mut harness = harness_with_latency_samples();
    harness.query(1, 0, &[0]);
    let failed = harness.sent.last().copied().unwrap();
    harness.end_attempt(failed, Outcome::Broken);
    harness.end_turn();
    harness.update_list(
        ListKind::Changes,
        vec![ServerEntry { started_at: harness.now, ..ready(failed.server) }],
    );
    let from = harness.sent.len();
    for id in 2..14 {
        harness.query(id, 0, &[0]);
    }
    let sent = harness.sent[from..].iter().filter(|s| s.server == failed.server).count();
    assert!(
        (1..=2).contains(&sent),
        "the calls of a server that warms up count for more, but it is used: {sent}"
    );
}

#[test]
fn unexpected_events_are_ignored() {
    let mut harness = harness_with_latency_samples();
    harness.handle(Event::ClientGone { query: 999 });
    harness.handle(Event::Timer { token: 77 });
    let (part, attempt, server) = (424_242, 3, 9);
    let outcome = Outcome::Success;
    harness.handle(Event::AttemptEnded {
        part,
        attempt,
        server,
        elapsed_ms: 1.0,
        outcome,
        report: vec![1.0],
    });
    harness.handle(Event::ProbeResult { server, outcome, elapsed_ms: 1.0, report: Vec::new() });
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

/// Creates a harness with two servers, without hedged requests, and with one outstanding part at each server.
fn harness_with_a_part_at_each_server(latency_target_ms: f64) -> Harness {
    let mut settings = ring_settings(2, 2, 2);
    settings.classes = vec![Class {
        latency_target_ms,
        deadline_ms: 4.0 * latency_target_ms,
        repeat: Repeat::Unsafe,
        ..class()
    }];
    settings.allows_parallel_attempts = false;
    let mut harness = Harness::new(settings, 2);
    harness.query(1, 0, &[0]);
    harness.query(2, 0, &[0]);
    assert_ne!(harness.sent[0].server, harness.sent[1].server);
    harness
}

/// If it were ejected, its load would move to the next replica, which would then respond late and be ejected,
/// and so on.
#[test]
fn a_server_that_responds_late_is_not_ejected() {
    for outcome in [Outcome::TimedOut, Outcome::Withdrawn] {
        let mut harness = harness_with_a_part_at_each_server(1000.0);
        let (late, other) = (harness.sent[0], harness.sent[1]);
        harness.query(3, 0, &[0]);
        harness.query(4, 0, &[0]);
        let later: Vec<_> = harness.sent[2..].to_vec();
        let next = later.iter().find(|sent| sent.server == late.server).copied().unwrap();
        harness.now += 100.0;
        harness.end_attempt(next, Outcome::Success);
        harness.now += 10.0;
        harness.end_attempt(late, outcome);
        harness.end_turn();
        // The late server has no outstanding part now, and the other server has two.
        harness.query(5, 0, &[0]);
        assert_eq!(last_server(&harness), late.server, "{outcome:?}");
        assert_eq!(harness.sent.iter().filter(|sent| sent.server == other.server).count(), 2);
    }
}

/// With short latency targets, an ejection of a fixed duration would last for most of the time that a query
/// takes.
#[test]
fn a_server_is_ejected_for_a_share_of_the_latency_target() {
    for target_ms in [100.0, 1000.0] {
        let mut harness = harness_with_a_part_at_each_server(target_ms);
        let failed = harness.sent[0];
        harness.end_attempt(failed, Outcome::Failure);
        harness.end_turn();
        harness.now += 0.15 * target_ms;
        harness.query(3, 0, &[0]);
        assert_ne!(
            last_server(&harness),
            failed.server,
            "{target_ms}: the server is still ejected, although it has no outstanding part"
        );
        harness.now += 0.1 * target_ms;
        harness.query(4, 0, &[0]);
        assert_eq!(last_server(&harness), failed.server, "{target_ms}: the server is tried again");
    }
}

#[test]
fn with_unusable_settings_each_query_still_gets_one_final_answer() {
    for unusable in [0.0, -1.0, 1e300, f64::INFINITY, f64::NAN] {
        let class = Class {
            latency_target_ms: unusable,
            deadline_ms: unusable,
            required_share: unusable,
            minimum_share: unusable,
            value: unusable,
            ..class()
        };
        let settings = Settings {
            classes: vec![class],
            overload_window_ms: unusable,
            warm_up_ms: unusable,
            turn_ms: unusable,
            ..Settings::default()
        };
        let mut harness = Harness::new(settings, 3);
        harness.query(1, 0, &[0, 1, 2, 4_000_000_000]);
        harness.advance(200.0);
        harness.end_attempts_from(0, Outcome::Failure);
        harness.advance(4000.0);
        assert_eq!(harness.answers_to(1).len(), 1, "settings of {unusable}");
    }
}

#[test]
fn a_query_that_needs_a_shard_without_a_healthy_replica_is_rejected_in_its_turn() {
    let mut harness = Harness::new(ring_settings(2, 2, 2), 2);
    harness.query(1, 0, &[0, 1]);
    harness.end_attempts_from(0, Outcome::Overloaded);
    harness.advance(300.0);
    assert_eq!(harness.sent.len(), 4, "the parts are sent again after the ejection");
    harness.end_attempts_from(2, Outcome::Overloaded);
    harness.handle(Event::ClientGone { query: 1 });
    // Both replicas have rejected parts twice, so the work of other parts of the query would be wasted.
    let from = harness.sent.len();
    harness.query(3, 0, &[0, 1]);
    assert!(matches!(harness.answers_to(3)[..], [Action::Reject { .. }]));
    assert_eq!(harness.sent.len(), from);
    harness.advance(2000.0);
    harness.query(4, 0, &[0, 1]);
    assert!(
        harness.answers_to(4).is_empty() && harness.sent.len() > from,
        "a trial follows when the ejection has ended"
    );
}

#[test]
fn a_query_that_crashed_two_servers_is_not_sent_to_a_third() {
    let mut settings = ring_settings(3, 3, 3);
    settings.classes = vec![class()];
    let mut harness = Harness::new(settings, 3);
    let part = harness.query(1, 0, &[0])[0];
    for _ in 0..2 {
        assert!(harness.answers_to(1).is_empty());
        let sent = harness.sent.iter().rfind(|sent| sent.part == part).copied().unwrap();
        harness.now += 10.0;
        harness.end_attempt(sent, Outcome::Broken);
        harness.end_turn();
    }
    assert!(matches!(harness.answers_to(1)[..], [Action::Reject { .. }]));
    assert_eq!(harness.sent.len(), 2, "the part is not sent to the third server");
}

#[test]
fn a_failure_breaks_ties_until_a_success_also_after_the_ejection() {
    let mut harness = harness_with_latency_samples();
    harness.query(1, 0, &[0]);
    let timed_out = harness.sent.last().copied().unwrap();
    harness.now += 900.0;
    harness.end_attempt(timed_out, Outcome::TimedOut);
    harness.end_turn();
    harness.end_attempts_from(harness.sent.len() - 1, Outcome::Success);
    for id in 2..8 {
        harness.advance(2000.0);
        harness.query(id, 0, &[0]);
        assert_ne!(
            last_server(&harness),
            timed_out.server,
            "the counts are equal, so the failure breaks the tie"
        );
        harness.now += 100.0;
        harness.end_attempts_from(harness.sent.len() - 1, Outcome::Success);
    }
    // The counts still take precedence.
    harness.query(20, 0, &[0]);
    harness.query(21, 0, &[0]);
    assert_eq!(last_server(&harness), timed_out.server);
}

#[test]
fn a_restarted_aggregator_with_an_old_list_learns_from_outcomes_which_servers_are_dead() {
    let mut harness = Harness::new(ring_settings(2, 2, 2), 0);
    harness.update_list(ListKind::Restored, vec![ready(0), ready(1)]);
    let mut to_dead = 0;
    for id in 1..=20 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0]);
        // Server 0 died while this aggregator was not running, but the list shows it as ready.
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
        assert!(
            matches!(harness.answers_to(id)[..], [Action::Answer { is_complete: true, .. }]),
            "query {id}"
        );
        harness.advance(3000.0);
    }
    assert!(
        to_dead <= 2,
        "outcomes take precedence over the list: {to_dead} parts were sent to a dead server"
    );
}

#[test]
fn a_zone_that_returns_is_used_again_but_spared_during_its_warm_up() {
    let mut settings = ring_settings(2, 2, 2);
    // With this factor, the limit on the work sent during a warm-up does not apply; only the server's rank
    // does.
    settings.overload_factor = 100.0;
    let mut harness = Harness::new(settings, 2);
    let count =
        |harness: &Harness, from: usize| harness.sent[from..].iter().filter(|sent| sent.server == 0).count();
    let send_queries = |harness: &mut Harness, ids: std::ops::Range<u64>| {
        let from = harness.sent.len();
        for id in ids {
            harness.query(id, 0, &[0, 0, 0, 0]);
            harness.advance(100.0);
            harness.end_attempts_from(harness.sent.len() - 4, Outcome::Success);
        }
        from
    };
    send_queries(&mut harness, 1..5);
    harness.update_list(ListKind::Changes, vec![ServerEntry { status: ServerStatus::Removed, ..ready(0) }]);
    let after_removal = send_queries(&mut harness, 5..10);
    assert_eq!(count(&harness, after_removal), 0);
    harness.update_list(ListKind::Changes, vec![ServerEntry { started_at: harness.now, ..ready(0) }]);
    let warming_up = send_queries(&mut harness, 10..20);
    let during_warm_up = count(&harness, warming_up);
    harness.advance(12_000.0);
    let warmed_up = send_queries(&mut harness, 20..30);
    assert!(
        during_warm_up < 15 && count(&harness, warmed_up) >= 15,
        "of 40 parts each, {during_warm_up} were sent during the warm-up and {} after it",
        count(&harness, warmed_up)
    );
}

#[test]
fn where_any_parts_will_do_one_shard_without_healthy_replicas_rejects_nothing() {
    let mut harness = harness_with_spare_parts();
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
fn a_failed_part_waits_while_all_its_replicas_are_ejected() {
    let mut harness = harness_with_latency_samples();
    harness.query(1, 0, &[0]);
    for _ in 0..2 {
        let from = harness.sent.len() - 1;
        harness.now += 2.0;
        harness.end_attempts_from(from, Outcome::Overloaded);
    }
    let attempts = harness.sent.iter().filter(|sent| sent.at >= harness.now - 4.0).count();
    assert_eq!(attempts, 2, "one attempt at each replica");
    harness.advance(200.0);
    assert!(harness.answers_to(1).is_empty());
    harness.advance(100.0);
    let third = harness.sent.last().copied().unwrap();
    assert_eq!(third.attempt, 2, "the third attempt is made after the ejection");
    harness.end_attempt(third, Outcome::Success);
    harness.end_turn();
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: true }]);
}

/// The server returns errors at once, so that by outstanding calls it seems to be as free as the other one.
#[test]
fn a_server_that_fails_some_parts_gets_few_while_another_is_available() {
    let mut harness = Harness::new(ring_settings(2, 2, 1), 2);
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
        for retry in harness.sent[from + 1..].to_vec() {
            harness.end_attempt(retry, Outcome::Success);
        }
        harness.end_turn();
        harness.advance(50.0);
    }
    assert!(to_flaky * 5 < rounds, "{to_flaky} of {rounds}");
    // Long after its errors, the server gets the parts for which the other one has more outstanding calls.
    harness.advance(60_000.0);
    let from = harness.sent.len();
    harness.query(300, 0, &[0]);
    harness.query(301, 0, &[0]);
    assert_eq!(harness.sent[from..].iter().map(|sent| sent.server).collect::<Vec<_>>(), [1, 0]);
}
