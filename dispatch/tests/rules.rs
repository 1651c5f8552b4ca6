//! The safeguards of the six rules that the sections below name. Each test fails if the safeguard that it
//! covers is removed.

#![allow(clippy::unnecessary_to_owned)] // The loops change the harness, so they iterate over a copy.

mod common;

use common::{class, ready, ring_settings, Harness};
use gingerledge_dispatch::{
    Action, Class, Event, ListKind, Outcome, Repeat, RetryBudget, ServerEntry, ServerStatus, Settings,
};

fn is_rejected(harness: &Harness, id: u64) -> bool {
    matches!(harness.answers_to(id)[..], [Action::Reject { .. }])
}

// Lost queries: every query gets one final answer in time.

#[test]
fn a_query_without_any_replica_gets_one_final_answer_before_its_deadline() {
    let mut harness = Harness::new(ring_settings(4, 2, 4), 0);
    harness.query(1, 0, &[0, 1]);
    harness.advance(3000.0);
    assert!(harness.sent.is_empty());
    assert!(is_rejected(&harness, 1), "{:?}", harness.answers_to(1));
}

#[test]
fn a_query_without_listed_replicas_is_rejected_before_half_its_time() {
    let mut harness = Harness::new(ring_settings(4, 2, 4), 0);
    harness.query(1, 0, &[0, 1]);
    harness.advance(1300.0);
    assert!(harness.answers_to(1).is_empty(), "a list may still arrive");
    harness.advance(195.0);
    assert!(is_rejected(&harness, 1), "{:?}", harness.answers_to(1));
}

#[test]
fn a_query_with_a_part_sent_is_not_given_up_at_half_its_time() {
    let mut harness = Harness::new(ring_settings(4, 1, 4), 1);
    harness.query(1, 0, &[0, 1]);
    harness.advance(1495.0);
    assert_eq!(harness.sent.len(), 1, "only one of the shards has a replica");
    assert!(harness.answers_to(1).is_empty(), "{:?}", harness.answers_to(1));
}

#[test]
fn a_query_without_any_outcome_gets_one_final_answer_before_its_deadline() {
    let mut harness = Harness::new(ring_settings(4, 2, 4), 4);
    harness.query(1, 0, &[0, 1]);
    harness.advance(2995.0);
    assert_eq!(harness.answers_to(1).len(), 1);
    let sends = harness.sent.len();
    harness.end_attempts_from(0, Outcome::TimedOut);
    harness.advance(100.0);
    assert_eq!(harness.answers_to(1).len(), 1, "nothing follows the final answer");
    assert_eq!(harness.sent.len(), sends, "no part of a query is sent after its end");
}

#[test]
fn a_query_whose_client_disconnected_gets_no_answer_and_no_attempt() {
    let mut harness = Harness::new(ring_settings(4, 2, 4), 4);
    harness.query(1, 0, &[0, 1]);
    harness.handle(Event::ClientGone { query: 1 });
    harness.end_attempts_from(0, Outcome::Failure);
    harness.advance(4000.0);
    assert!(harness.answers_to(1).is_empty());
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn a_second_step_without_any_outcome_gets_a_final_answer() {
    let mut settings = ring_settings(4, 2, 4);
    settings.classes = vec![Class { follow_up_parts: 2, ..class() }];
    let mut harness = Harness::new(settings, 4);
    harness.query(1, 0, &[0, 1, 2]);
    harness.now += 50.0;
    harness.end_attempts_from(0, Outcome::Success);
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: true }]);
    harness.add_parts(1, &[0, 1]);
    harness.end_turn();
    harness.advance(2940.0);
    assert_eq!(harness.answers_to(1).len(), 2, "{:?}", harness.answers_to(1));
}

#[test]
fn a_query_without_parts_is_rejected_in_its_first_turn() {
    let mut harness = Harness::new(ring_settings(4, 2, 4), 4);
    harness.query(1, 0, &[]);
    assert!(is_rejected(&harness, 1));
}

// Duplicate effects: parts that may be sent twice.

fn harness_with_repeat(repeat: Repeat) -> Harness {
    let mut settings = ring_settings(4, 4, 4);
    settings.classes = vec![Class { repeat, deduplication_ms: 400.0, ..class() }];
    Harness::new(settings, 4)
}

#[test]
fn a_safe_part_is_retried_at_another_replica_after_an_error() {
    let mut harness = harness_with_repeat(Repeat::Safe);
    harness.query(1, 0, &[0]);
    harness.end_attempts_from(0, Outcome::Failure);
    assert_eq!(harness.sent.len(), 2);
    assert_ne!(harness.sent[0].server, harness.sent[1].server);
}

#[test]
fn an_unsafe_part_is_retried_only_if_it_never_ran() {
    let mut harness = harness_with_repeat(Repeat::Unsafe);
    harness.query(1, 0, &[0]);
    harness.end_attempts_from(0, Outcome::Unreachable);
    assert_eq!(harness.sent.len(), 2, "the first attempt never ran");
    harness.end_attempts_from(1, Outcome::Broken);
    harness.advance(500.0);
    assert_eq!(harness.sent.len(), 2, "the second attempt may have run");
    assert_eq!(
        harness.answers_to(1),
        [Action::Fail { query: 1 }],
        "the client is not told that a repeat is safe"
    );
}

#[test]
fn an_unsafe_part_is_not_hedged() {
    let mut harness = harness_with_repeat(Repeat::Unsafe);
    harness.query(1, 0, &[0]);
    harness.advance(3000.0);
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn a_keyed_part_is_retried_only_within_the_deduplication_time() {
    let mut harness = harness_with_repeat(Repeat::Keyed);
    harness.query(1, 0, &[0]);
    harness.now += 100.0;
    harness.end_attempts_from(0, Outcome::Broken);
    assert_eq!(harness.sent.len(), 2, "within the deduplication time");
    let mut harness = harness_with_repeat(Repeat::Keyed);
    harness.query(1, 0, &[0]);
    harness.now += 401.0;
    harness.end_attempts_from(0, Outcome::Broken);
    assert_eq!(harness.sent.len(), 1, "after the deduplication time");
    let mut harness = harness_with_repeat(Repeat::Keyed);
    harness.query(1, 0, &[0]);
    harness.advance(3000.0);
    assert_eq!(
        harness.sent.len(),
        1,
        "a hedged request after half the latency target would be sent after the deduplication time"
    );
}

/// The deduplication time begins when the first attempt is sent, whichever of two attempts ends first.
#[test]
fn a_keyed_part_is_retried_only_within_the_deduplication_time_of_the_first_of_two_attempts() {
    let mut harness = harness_with_repeat(Repeat::Keyed);
    for id in 100..110 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 1, 2, 3]);
        harness.now += 20.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    let from = harness.sent.len();
    harness.query(1, 0, &[0]);
    let first = harness.sent[from];
    while harness.sent.len() < from + 2 {
        assert!(harness.now < first.at + 300.0, "no hedged request");
        harness.advance(5.0);
    }
    harness.end_attempt(harness.sent[from + 1], Outcome::Broken);
    harness.now = first.at + 390.0;
    harness.end_attempt(first, Outcome::TimedOut);
    harness.now = first.at + 401.0;
    harness.end_turn();
    assert_eq!(harness.sent.len(), from + 2, "the deduplication time of the first attempt has passed");
}

#[test]
fn without_parallel_attempts_nothing_is_hedged() {
    let mut settings = ring_settings(4, 4, 4);
    settings.allows_parallel_attempts = false;
    let mut harness = Harness::new(settings, 4);
    harness.query(1, 0, &[0]);
    harness.advance(3000.0);
    assert_eq!(harness.sent.len(), 1);
}

// Draining: no part is sent to a server that is draining or has been removed.

#[test]
fn draining_and_removed_servers_get_no_new_parts() {
    for status in [ServerStatus::Draining, ServerStatus::Removed] {
        let mut harness = Harness::new(ring_settings(2, 2, 2), 2);
        harness.update_list(ListKind::Changes, vec![ServerEntry { status, ..ready(0) }]);
        harness.query(1, 0, &[0, 1]);
        assert!(harness.sent.iter().all(|sent| sent.server == 1), "{status:?}");
    }
}

#[test]
fn a_server_missing_from_a_complete_list_is_removed_and_may_return() {
    let mut harness = Harness::new(ring_settings(2, 2, 2), 2);
    harness.update_list(ListKind::Complete, vec![ready(1)]);
    harness.query(1, 0, &[0, 1]);
    assert!(harness.sent.iter().all(|sent| sent.server == 1));
    harness.update_list(ListKind::Changes, vec![ready(0)]);
    harness.query(2, 0, &[0]);
    assert_eq!(harness.sent[2].server, 0);
}

#[test]
fn after_a_failed_subscription_the_old_list_stays_and_the_call_is_repeated() {
    let mut settings = ring_settings(2, 2, 2);
    settings.requires_subscription = true;
    let mut harness = Harness::new(settings, 0);
    let subscribe_calls =
        |harness: &Harness| harness.actions.iter().filter(|a| **a == Action::Subscribe).count();
    harness.update_list(ListKind::Restored, vec![ready(0), ready(1)]);
    harness.update_list(ListKind::Failed, Vec::new());
    harness.end_turn();
    harness.advance(4000.0);
    assert_eq!(subscribe_calls(&harness), 1);
    harness.update_list(ListKind::Failed, Vec::new());
    harness.advance(4000.0);
    assert_eq!(subscribe_calls(&harness), 2);
    harness.update_list(ListKind::Changes, Vec::new());
    harness.advance(30_000.0);
    assert_eq!(subscribe_calls(&harness), 2, "an open subscription is not renewed");
    harness.query(1, 0, &[0]);
    assert_eq!(harness.sent.len(), 1);
}

/// The more aggregators there are, the less often each of them calls, so that all together call as often as a
/// few would.
#[test]
fn calls_of_many_aggregators_for_the_list_are_as_rare_as_those_of_a_few() {
    let subscribe_calls = |aggregators| {
        let mut settings = ring_settings(2, 2, 2);
        (settings.requires_subscription, settings.aggregators) = (true, aggregators);
        let mut harness = Harness::new(settings, 0);
        let mut calls = 0;
        harness.update_list(ListKind::Failed, Vec::new());
        for _ in 0..400 {
            harness.advance(100.0);
            let total_calls = harness.actions.iter().filter(|a| **a == Action::Subscribe).count();
            if total_calls > calls {
                calls = total_calls;
                harness.update_list(ListKind::Failed, Vec::new());
            }
        }
        calls
    };
    let (few, many) = (subscribe_calls(3), subscribe_calls(48));
    // In 40 s, three aggregators call about once per second each. With 48, the backoff doubles up to twelve
    // times as long.
    assert!(few >= 30 && (4..=10).contains(&many), "{few} and {many}");
}

// Warm-up: this aggregator's share of the work that all aggregators together may send.

#[test]
fn a_server_that_warms_up_gets_no_more_than_an_equal_share_of_its_budget() {
    let mut harness = Harness::new(ring_settings(1, 1, 1), 1);
    harness.query(1, 0, &[0]);
    harness.now += 100.0;
    harness.end_attempts_from(0, Outcome::Success);
    harness.advance(2100.0);
    // A part takes 100 ms. In a window of 2 s, 2 x 0.2 of one processor is 800 ms of work for all three
    // aggregators, which is two parts for this one.
    harness.update_list(ListKind::Changes, vec![ServerEntry { started_at: harness.now, ..ready(0) }]);
    for id in 2..12 {
        harness.query(id, 0, &[0]);
    }
    assert_eq!(harness.sent.len() - 1, 2);
    harness.advance(1900.0);
    assert!(harness.sent.len() - 1 <= 4, "the budget grows with the server: {}", harness.sent.len() - 1);
    harness.advance(600.0);
    assert!(harness.sent.len() > 5, "the window has moved on");
}

/// The limit applies to the work, regardless of the classes of the parts.
#[test]
fn a_server_that_warms_up_gets_no_more_work_where_classes_differ() {
    let mut settings = ring_settings(1, 1, 1);
    (settings.aggregators, settings.classes) = (1, vec![class(); 2]);
    let mut harness = Harness::new(settings, 1);
    let work_by_class = [100.0, 10.0];
    for class in [0, 1] {
        harness.query(1 + class as u64, class, &[0]);
        harness.now += work_by_class[class];
        harness.end_attempts_from(class, Outcome::Success);
    }
    harness.update_list(ListKind::Complete, vec![ServerEntry { started_at: harness.now, ..ready(0) }]);
    let mut work = 0.0;
    for id in 0..200 {
        let (from, class) = (harness.sent.len(), usize::from(id >= 100));
        harness.query(10 + id, class, &[0]);
        work += work_by_class[class] * (harness.sent.len() - from) as f64;
        harness.now += 1.0;
    }
    // The limit is twice a fifth of one processor for 2 s, and slightly more because the server has warmed up
    // meanwhile.
    assert!((700.0..=900.0).contains(&work), "{work} ms of work for a server that may be sent 800 ms");
}

/// While one process of a host takes over from another, both may send parts to the server.
#[test]
fn more_aggregators_have_smaller_shares_of_a_server_that_warms_up() {
    let sends = |count| {
        let mut harness = Harness::new(ring_settings(1, 1, 1), 1);
        harness.query(1, 0, &[0]);
        harness.now += 100.0;
        harness.end_attempts_from(0, Outcome::Success);
        harness.advance(2100.0);
        harness.handle(Event::Aggregators { count });
        harness.update_list(
            ListKind::Changes,
            vec![ServerEntry { started_at: harness.now - 2000.0, ..ready(0) }],
        );
        (2..12).for_each(|id| drop(harness.query(id, 0, &[0])));
        harness.sent.len() - 1
    };
    // In a window of 2 s, 2 x 0.36 of one processor is 14 parts of 100 ms: 4 for each of three aggregators, 2
    // for each of six.
    assert_eq!((sends(3), sends(6)), (4, 2));
}

#[test]
fn any_number_of_aggregators_keeps_the_budget_of_a_server_that_warms_up() {
    for aggregators in [3, 25, 85, 100, 300, 1000] {
        let mut settings = ring_settings(1, 1, 1);
        settings.aggregators = aggregators;
        let mut at = Vec::new();
        let mut harness = |seed: u64| {
            // Without indices, many aggregators might have the same slot by chance; with indices, they
            // cannot.
            settings.index = (aggregators > 85).then_some(seed as u32);
            let mut harness = Harness::with_seed(seed, settings.clone(), 1);
            harness.query(1, 0, &[0]);
            harness.now += 100.0;
            harness.end_attempts_from(0, Outcome::Success);
            harness.update_list(ListKind::Changes, vec![ServerEntry { started_at: harness.now, ..ready(0) }]);
            let (start, from) = (harness.now, harness.sent.len());
            for id in 2..50 {
                harness.query(id, 0, &[0]);
                harness.advance(40.0);
            }
            at.extend(harness.sent[from..].iter().map(|sent| sent.at - start));
        };
        (0..u64::from(aggregators)).for_each(&mut harness);
        // Twice 0.2 to 0.36 of one processor for 2 s is 8 to 14 parts of 100 ms. The smallest simulated
        // machine has two processors, so the actual limit is twice that.
        assert!(at.len() <= 16, "{} sent by {aggregators} in 2 s", at.len());
        let at_once = at.iter().filter(|&&at| at < 100.0).count();
        assert!(at_once <= 8, "{at_once} sent by {aggregators} at once");
        assert!(
            !at.is_empty(),
            "aggregators with a share of less than one part still send some ({aggregators})"
        );
    }
}

/// An aggregator whose equal share is less than one part may have to wait before it sends one, but not longer
/// than the warm-up, however many aggregators there are.
#[test]
fn each_of_any_number_of_aggregators_may_send_to_a_server_during_its_warm_up() {
    for aggregators in [3, 100, 300, 1000] {
        for seed in 0..20 {
            let mut settings = ring_settings(1, 1, 1);
            settings.aggregators = aggregators;
            let (warm_up_ms, mut harness) = (settings.warm_up_ms, Harness::with_seed(seed, settings, 1));
            harness.query(1, 0, &[0]);
            harness.now += 100.0;
            harness.end_attempts_from(0, Outcome::Success);
            harness.update_list(ListKind::Changes, vec![ServerEntry { started_at: harness.now, ..ready(0) }]);
            let (start, from) = (harness.now, harness.sent.len());
            let mut id = 2;
            while harness.sent.len() == from {
                harness.query(id, 0, &[0]);
                harness.advance(500.0);
                id += 1;
                assert!(harness.now <= start + warm_up_ms + 500.0, "{aggregators} aggregators, seed {seed}");
            }
        }
    }
}

/// Makes the only server fail connections in a row and then respond. Returns how many of ten further queries
/// are sent to it at once.
fn sent_after_failures(failures: &[Outcome]) -> usize {
    let mut harness = Harness::new(ring_settings(1, 1, 1), 1);
    harness.query(1, 0, &[0]);
    harness.now += 100.0;
    harness.end_attempts_from(0, Outcome::Success);
    harness.query(2, 0, &[0]);
    for &outcome in failures {
        harness.end_attempts_from(harness.sent.len() - 1, outcome);
        harness.advance(600.0);
    }
    let from = harness.sent.len() - 1;
    harness.now += 100.0;
    harness.end_attempts_from(from, Outcome::Success);
    let before = harness.sent.len();
    for id in 3..13 {
        harness.query(id, 0, &[0]);
    }
    harness.sent.len() - before
}

#[test]
fn a_server_that_responds_after_it_was_down_warms_up() {
    let sent = sent_after_failures(&[Outcome::Broken, Outcome::Unreachable]);
    assert!(sent <= 2, "{sent}");
}

/// On unreliable networks, single connections break while the server's process continues to run.
#[test]
fn a_server_with_one_failed_connection_does_not_warm_up_again() {
    for outcome in [Outcome::Broken, Outcome::Unreachable] {
        assert_eq!(sent_after_failures(&[outcome]), 10, "{outcome:?}");
    }
}

/// An aggregator runs for long, and a server that was replaced never returns with the same id.
#[test]
fn state_of_removed_servers_is_removed() {
    let mut harness = Harness::new(ring_settings(1, 1, 1), 1);
    let mut sizes = Vec::new();
    for server in 1..200 {
        let from = harness.sent.len();
        harness.query(u64::from(server), 0, &[0]);
        let removed =
            ServerEntry { server: server - 1, status: ServerStatus::Removed, ..ServerEntry::default() };
        harness.update_list(ListKind::Changes, vec![ServerEntry { cell: 0, ..ready(server) }, removed]);
        harness.end_turn();
        harness.now += 100.0;
        harness.end_attempts_from(from, Outcome::Success);
        sizes.push(format!("{:?}", harness.aggregator).len());
    }
    assert!(sizes[198] < 2 * sizes[9], "{} grows to {}", sizes[9], sizes[198]);
}

// Honest answers: whether an answer is complete.

fn harness_with_partial_answers() -> Harness {
    let mut settings = ring_settings(4, 2, 4);
    settings.classes = vec![Class { minimum_share: 0.7, ..class() }];
    Harness::new(settings, 4)
}

#[test]
fn an_answer_is_complete_only_with_every_required_part() {
    let mut harness = harness_with_partial_answers();
    harness.query(1, 0, &[0, 1, 2, 3]);
    harness.now += 10.0;
    for sent in harness.sent[..3].to_vec() {
        harness.end_attempt(sent, Outcome::Success);
    }
    harness.end_turn();
    assert!(harness.answers_to(1).is_empty(), "the last part may still be served");
    harness.advance(1000.0);
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: false }]);
}

#[test]
fn there_is_no_answer_from_less_than_the_minimum_share() {
    let mut harness = harness_with_partial_answers();
    harness.query(1, 0, &[0, 1, 2, 3]);
    for sent in harness.sent[..2].to_vec() {
        harness.end_attempt(sent, Outcome::Success);
    }
    harness.advance(3000.0);
    assert!(is_rejected(&harness, 1), "{:?}", harness.answers_to(1));
}

#[test]
fn a_second_step_is_complete_only_if_both_steps_are() {
    for lost in [false, true] {
        let mut settings = ring_settings(4, 2, 4);
        settings.classes = vec![Class { minimum_share: 0.5, follow_up_parts: 2, ..class() }];
        let mut harness = Harness::new(settings, 4);
        harness.query(1, 0, &[0, 1, 2, 3]);
        let first = harness.sent.clone();
        for &sent in first.iter().skip(usize::from(lost)) {
            harness.end_attempt(sent, Outcome::Success);
        }
        harness.end_turn();
        harness.advance(990.0);
        assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: !lost }]);
        let from = harness.sent.len();
        harness.add_parts(1, &[0, 1]);
        harness.end_turn();
        assert_eq!(harness.answers_to(1).len(), 1);
        harness.end_attempts_from(from, Outcome::Success);
        assert_eq!(harness.answers_to(1)[1], Action::Answer { query: 1, is_complete: !lost });
    }
}

// Retry budget: the number of further attempts in the sliding window and for one part.

#[test]
fn further_attempts_stay_within_the_retry_budget_of_any_window() {
    let mut settings = ring_settings(4, 4, 4);
    settings.retry_budget =
        Some(RetryBudget { free_attempts: 2.0, attempts_per_arrival: 0.1, window_ms: 2000.0 });
    let mut harness = Harness::new(settings, 4);
    let mut arrivals: Vec<f64> = Vec::new();
    for id in 0..60 {
        harness.query(id, 0, &[0, 1, 2, 3]);
        arrivals.extend([harness.now; 5]);
        let recent: Vec<_> = harness.sent.iter().copied().filter(|sent| sent.at == harness.now).collect();
        for sent in recent {
            harness.end_attempt(sent, Outcome::Failure);
        }
        harness.end_turn();
        harness.advance(70.0);
    }
    let further_attempts: Vec<_> =
        harness.sent.iter().filter(|sent| sent.attempt > 0).map(|sent| sent.at).collect();
    assert!(further_attempts.len() > 10, "the budget is used: {}", further_attempts.len());
    for (i, &at) in further_attempts.iter().enumerate() {
        let used = further_attempts[..=i].iter().filter(|&&e| e > at - 2000.0).count() as f64;
        let arrived = arrivals.iter().filter(|&&t| t > at - 2000.0 && t <= at).count() as f64;
        assert!(used <= 2.0 + 0.1 * arrived, "{used} further attempts for {arrived} arrivals at {at}");
    }
}

#[test]
fn a_part_gets_no_more_than_the_maximum_of_attempts() {
    let mut settings = ring_settings(4, 4, 4);
    settings.max_attempts = 3;
    let mut harness = Harness::new(settings, 4);
    harness.query(1, 0, &[0]);
    let mut done = 0;
    for _ in 0..40 {
        for sent in harness.sent[done..].to_vec() {
            harness.end_attempt(sent, Outcome::Overloaded);
            done += 1;
        }
        harness.end_turn();
        harness.advance(25.0);
    }
    assert_eq!(harness.sent.len(), 3);
    assert!(is_rejected(&harness, 1));
}

#[test]
fn a_latency_target_stretched_by_the_work_is_waited_for() {
    let mut settings = ring_settings(2, 2, 2);
    settings.classes = vec![Class { minimum_share: 0.5, latency_target_stretch: 2.0, ..class() }];
    let mut harness = Harness::new(settings, 2);
    let deadline = harness.now + 3000.0;
    let (number, parts) = (1, 2);
    harness.handle(Event::Query { id: 1, number, class: 0, tenant: None, deadline, parts, repeated: false });
    for shard in 0..2 {
        let (id, cost_ms) = (50 + u64::from(shard), Some(250.0));
        harness.handle(Event::Part { id, number, shard, weight: 0.5, cost_ms });
    }
    harness.end_turn();
    let first = harness.sent[0];
    harness.end_attempt(first, Outcome::Success);
    harness.advance(1900.0);
    assert!(harness.answers_to(1).is_empty(), "the latency target is 1 s plus twice the work of 500 ms");
    harness.advance(100.0);
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: false }]);
}

// A query that is given up gets its final answer in the same turn.

#[test]
fn a_query_with_a_part_out_of_attempts_is_rejected_in_that_turn_with_advice() {
    // The last attempt of a safe part fails, or of a keyed part whose deduplication time is as long as its
    // client waits.
    for repeat in [Repeat::Keyed, Repeat::Safe] {
        let mut settings = Settings { max_attempts: 1, ..ring_settings(4, 4, 4) };
        settings.classes = vec![Class { repeat, deduplication_ms: 4000.0, ..class() }];
        settings.allows_parallel_attempts = false;
        let mut harness = Harness::new(settings, 4);
        harness.query(1, 0, &[0, 1]);
        harness.now += 50.0;
        let first = harness.sent[0];
        harness.end_attempt(first, Outcome::Failure);
        harness.end_turn();
        assert_eq!(harness.answers_to(1), [Action::Reject { query: 1, retry_after_ms: 500.0 }], "{repeat:?}");
        assert_eq!(harness.sent.len(), 2);
    }
}

/// A rejection means that the client may safely repeat the query. After the deduplication time, this is not
/// true, and the client may wait longer than that.
#[test]
fn a_keyed_query_that_its_client_may_repeat_after_the_deduplication_time_fails() {
    for (outcome, is_repeatable) in [(Outcome::Failure, false), (Outcome::Unreachable, true)] {
        let mut settings = Settings { max_attempts: 1, ..ring_settings(4, 4, 4) };
        settings.classes = vec![Class { repeat: Repeat::Keyed, deduplication_ms: 3900.0, ..class() }];
        let mut harness = Harness::new(settings, 4);
        harness.query(1, 0, &[0]);
        harness.now += 50.0;
        harness.end_attempts_from(0, outcome);
        let is_rejected = matches!(harness.answers_to(1)[..], [Action::Reject { .. }]);
        assert_eq!(is_rejected, is_repeatable, "{outcome:?}: {:?}", harness.answers_to(1));
    }
}

#[test]
fn an_unsafe_query_with_a_part_that_may_have_run_fails_in_that_turn() {
    for outcome in [Outcome::Failure, Outcome::Broken, Outcome::TimedOut] {
        let mut harness = harness_with_repeat(Repeat::Unsafe);
        harness.query(1, 0, &[0, 1]);
        harness.now += 50.0;
        let first = harness.sent[0];
        harness.end_attempt(first, outcome);
        harness.end_turn();
        assert_eq!(harness.answers_to(1), [Action::Fail { query: 1 }], "{outcome:?}");
        assert_eq!(harness.sent.len(), 2);
    }
}
