//! Faults of servers and hosts, by symptom: ejection, slow servers, restarts, unexpected input.
#![allow(clippy::unnecessary_to_owned)] // the copy frees the harness for the calls in the loop

mod common;

use common::{
    class, harness_with_latency_samples, harness_with_spare_parts, last_server, ready, settings, Harness,
};
use gingerledge_dispatch::{
    Action, Class, Event, ListKind, Outcome, Repeat, ServerEntry, ServerStatus, Settings,
};

#[test]
fn a_server_that_fails_immediately_does_not_stay_the_least_loaded() {
    let mut harness = harness_with_latency_samples();
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
    let mut harness = harness_with_latency_samples();
    harness.query(1, 0, &[0]);
    let bad = harness.sent.last().copied().unwrap();
    harness.end_attempt(bad, Outcome::Failure);
    harness.end_turn();
    let again = harness.sent.last().copied().unwrap();
    assert_ne!(again.server, bad.server);
    // The other server now holds one part more, so the other class's next goes by count.
    harness.query(2, 1, &[0]);
    assert_eq!(last_server(&harness), bad.server);
}

#[test]
fn an_ejected_server_gets_one_trial_and_is_trusted_after_a_success() {
    let mut harness = harness_with_latency_samples();
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
    let mut harness = harness_with_latency_samples();
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
    let mut harness = harness_with_latency_samples();
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
fn a_shard_whose_only_replica_is_ejected_is_still_served() {
    let mut harness = Harness::new(settings(1, 1, 1), 1);
    harness.query(1, 0, &[0]);
    harness.end_attempts_from(0, Outcome::Failure);
    harness.query(2, 0, &[0]);
    assert!(harness.sent.iter().any(|sent| sent.attempt == 0 && sent.part == 1002));
}

#[test]
fn a_listed_restart_clears_failures_and_begins_a_warm_up() {
    let mut harness = harness_with_latency_samples();
    harness.query(1, 0, &[0]);
    let bad = harness.sent.last().copied().unwrap();
    harness.end_attempt(bad, Outcome::Broken);
    harness.end_turn();
    harness
        .update_list(ListKind::Changes, vec![ServerEntry { started_at: harness.now, ..ready(bad.server) }]);
    let from = harness.sent.len();
    for id in 2..14 {
        harness.query(id, 0, &[0]);
    }
    let sent = harness.sent[from..].iter().filter(|s| s.server == bad.server).count();
    assert!((1..=2).contains(&sent), "a cold server's count weighs more, but it is used: {sent}");
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

/// Two servers without hedged requests; a part is out at either, of class 0 at server 0 first.
fn two_out(latency_target_ms: f64) -> Harness {
    let mut set = settings(2, 2, 2);
    set.classes = vec![Class {
        latency_target_ms,
        deadline_ms: 4.0 * latency_target_ms,
        repeat: Repeat::Unsafe,
        ..class()
    }];
    set.allows_parallel_attempts = false;
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
        assert_eq!(last_server(&harness), late.server, "{outcome:?}");
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
        assert_ne!(
            last_server(&harness),
            failed.server,
            "{aim}: still ejected, though it has no part outstanding"
        );
        harness.now += 0.1 * aim;
        harness.query(4, 0, &[0]);
        assert_eq!(last_server(&harness), failed.server, "{aim}: tried again");
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
    assert!(matches!(harness.answers_to(3)[..], [Action::Reject { .. }]));
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
    assert!(matches!(harness.answers_to(1)[..], [Action::Reject { .. }]));
    assert_eq!(harness.sent.len(), 2, "the third server is spared");
}

#[test]
fn a_failure_breaks_ties_until_a_success_also_after_the_ejection() {
    let mut harness = harness_with_latency_samples();
    harness.query(1, 0, &[0]);
    let lost = harness.sent.last().copied().unwrap();
    harness.now += 900.0;
    harness.end_attempt(lost, Outcome::TimedOut);
    harness.end_turn();
    harness.end_attempts_from(harness.sent.len() - 1, Outcome::Success);
    for id in 2..8 {
        harness.advance(2000.0);
        harness.query(id, 0, &[0]);
        assert_ne!(last_server(&harness), lost.server, "counts are equal, the failure is not forgotten");
        harness.now += 100.0;
        harness.end_attempts_from(harness.sent.len() - 1, Outcome::Success);
    }
    // Counts still come first.
    harness.query(20, 0, &[0]);
    harness.query(21, 0, &[0]);
    assert_eq!(last_server(&harness), lost.server);
}

#[test]
fn a_restarted_aggregator_with_an_old_list_learns_from_outcomes_which_servers_are_dead() {
    let mut harness = Harness::new(settings(2, 2, 2), 0);
    harness.update_list(ListKind::Restored, vec![ready(0), ready(1)]);
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
        assert!(
            matches!(harness.answers_to(id)[..], [Action::Answer { is_complete: true, .. }]),
            "query {id}"
        );
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
    harness.update_list(ListKind::Changes, vec![ServerEntry { status: ServerStatus::Removed, ..ready(0) }]);
    let lost = send_query(&mut harness, 5..10);
    assert_eq!(count(&harness, lost), 0);
    harness.update_list(ListKind::Changes, vec![ServerEntry { started_at: harness.now, ..ready(0) }]);
    let cold = send_query(&mut harness, 10..20);
    let few = count(&harness, cold);
    harness.advance(12_000.0);
    let warm = send_query(&mut harness, 20..30);
    assert!(few < 15 && count(&harness, warm) >= 15, "{few} cold, {} warm of 40", count(&harness, warm));
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
    let tries = harness.sent.iter().filter(|sent| sent.at >= harness.now - 4.0).count();
    assert_eq!(tries, 2, "one at each replica");
    harness.advance(200.0);
    assert!(harness.answers_to(1).is_empty());
    harness.advance(100.0);
    let third = harness.sent.last().copied().unwrap();
    assert_eq!(third.attempt, 2, "after the ejection");
    harness.end_attempt(third, Outcome::Success);
    harness.end_turn();
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: true }]);
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
