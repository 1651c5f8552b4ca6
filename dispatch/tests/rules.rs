//! The guards of the six rules, each with the case that breaks when its guard is taken out.

#![allow(clippy::unnecessary_to_owned)] // the copy frees the harness for `end`

mod common;

use common::{class, ready, settings, Harness};
use gingerledge_dispatch::{
    Action, Class, Event, ListKind, Outcome, Repeat, RetryBudget, ServerEntry, ServerStatus, Settings,
};

fn refused(harness: &Harness, id: u64) -> bool {
    matches!(harness.answers_to(id)[..], [Action::Reject { .. }])
}

// Lost: one final answer in time for every query.

#[test]
fn a_query_without_any_replica_gets_one_final_answer_before_its_deadline() {
    let mut harness = Harness::new(settings(4, 2, 4), 0);
    harness.query(1, 0, &[0, 1]);
    harness.advance(3000.0);
    assert!(harness.sent.is_empty());
    assert!(refused(&harness, 1), "{:?}", harness.answers_to(1));
}

#[test]
fn a_query_without_listed_replicas_is_rejected_before_half_its_time() {
    let mut harness = Harness::new(settings(4, 2, 4), 0);
    harness.query(1, 0, &[0, 1]);
    harness.advance(1300.0);
    assert!(harness.answers_to(1).is_empty(), "a list may still come");
    harness.advance(195.0);
    assert!(refused(&harness, 1), "{:?}", harness.answers_to(1));
}

#[test]
fn a_query_with_a_part_sent_is_not_given_up_at_half_its_time() {
    let mut harness = Harness::new(settings(4, 1, 4), 1);
    harness.query(1, 0, &[0, 1]);
    harness.advance(1495.0);
    assert_eq!(harness.sent.len(), 1, "only one of the shards has a server");
    assert!(harness.answers_to(1).is_empty(), "{:?}", harness.answers_to(1));
}

#[test]
fn a_query_without_any_outcome_gets_one_final_answer_before_its_deadline() {
    let mut harness = Harness::new(settings(4, 2, 4), 4);
    harness.query(1, 0, &[0, 1]);
    harness.advance(2995.0);
    assert_eq!(harness.answers_to(1).len(), 1);
    let sends = harness.sent.len();
    harness.end_attempts_from(0, Outcome::TimedOut);
    harness.advance(100.0);
    assert_eq!(harness.answers_to(1).len(), 1, "nothing follows the final answer");
    assert_eq!(harness.sent.len(), sends, "no part of an ended query is sent");
}

#[test]
fn a_query_whose_client_disconnected_gets_no_answer_and_no_attempt() {
    let mut harness = Harness::new(settings(4, 2, 4), 4);
    harness.query(1, 0, &[0, 1]);
    harness.handle(Event::ClientGone { query: 1 });
    harness.end_attempts_from(0, Outcome::Failure);
    harness.advance(4000.0);
    assert!(harness.answers_to(1).is_empty());
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn a_second_step_without_any_outcome_gets_a_final_answer() {
    let mut set = settings(4, 2, 4);
    set.classes = vec![Class { follow_up_parts: 2, ..class() }];
    let mut harness = Harness::new(set, 4);
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
    let mut harness = Harness::new(settings(4, 2, 4), 4);
    harness.query(1, 0, &[]);
    assert!(refused(&harness, 1));
}

// Duplicate: what may run twice.

fn of(repeat: Repeat) -> Harness {
    let mut set = settings(4, 4, 4);
    set.classes = vec![Class { repeat, deduplication_ms: 400.0, ..class() }];
    Harness::new(set, 4)
}

#[test]
fn a_safe_part_is_retried_at_another_replica_after_an_error() {
    let mut harness = of(Repeat::Safe);
    harness.query(1, 0, &[0]);
    harness.end_attempts_from(0, Outcome::Failure);
    assert_eq!(harness.sent.len(), 2);
    assert_ne!(harness.sent[0].server, harness.sent[1].server);
}

#[test]
fn an_unsafe_part_is_retried_only_if_it_never_ran() {
    let mut harness = of(Repeat::Unsafe);
    harness.query(1, 0, &[0]);
    harness.end_attempts_from(0, Outcome::Unreachable);
    assert_eq!(harness.sent.len(), 2, "it never ran");
    harness.end_attempts_from(1, Outcome::Broken);
    harness.advance(500.0);
    assert_eq!(harness.sent.len(), 2, "it may have run");
    assert_eq!(harness.answers_to(1), [Action::Fail { query: 1 }], "no word that a repeat is harmless");
}

#[test]
fn an_unsafe_part_is_not_hedged() {
    let mut harness = of(Repeat::Unsafe);
    harness.query(1, 0, &[0]);
    harness.advance(3000.0);
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn a_keyed_part_is_retried_only_within_the_deduplication_time() {
    let mut harness = of(Repeat::Keyed);
    harness.query(1, 0, &[0]);
    harness.now += 100.0;
    harness.end_attempts_from(0, Outcome::Broken);
    assert_eq!(harness.sent.len(), 2, "inside the memory");
    let mut harness = of(Repeat::Keyed);
    harness.query(1, 0, &[0]);
    harness.now += 401.0;
    harness.end_attempts_from(0, Outcome::Broken);
    assert_eq!(harness.sent.len(), 1, "past the memory");
    let mut harness = of(Repeat::Keyed);
    harness.query(1, 0, &[0]);
    harness.advance(3000.0);
    assert_eq!(harness.sent.len(), 1, "a copy at half the latency target would be past the memory");
}

/// The servers remember it from the first attempt sent, whichever of two copies ends first.
#[test]
fn a_keyed_part_is_retried_only_within_the_deduplication_time_of_the_first_of_two_attempts() {
    let mut harness = of(Repeat::Keyed);
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
    assert_eq!(harness.sent.len(), from + 2, "past the memory of the first");
}

#[test]
fn without_parallel_attempts_nothing_is_hedged() {
    let mut set = settings(4, 4, 4);
    set.allows_parallel_attempts = false;
    let mut harness = Harness::new(set, 4);
    harness.query(1, 0, &[0]);
    harness.advance(3000.0);
    assert_eq!(harness.sent.len(), 1);
}

// Drain: nothing to a server that drains or is gone.

#[test]
fn draining_and_removed_servers_get_no_new_parts() {
    for status in [ServerStatus::Draining, ServerStatus::Removed] {
        let mut harness = Harness::new(settings(2, 2, 2), 2);
        harness.update_list(ListKind::Changes, vec![ServerEntry { status, ..ready(0) }]);
        harness.query(1, 0, &[0, 1]);
        assert!(harness.sent.iter().all(|sent| sent.server == 1), "{status:?}");
    }
}

#[test]
fn a_server_missing_from_a_complete_list_is_removed_and_may_return() {
    let mut harness = Harness::new(settings(2, 2, 2), 2);
    harness.update_list(ListKind::Complete, vec![ready(1)]);
    harness.query(1, 0, &[0, 1]);
    assert!(harness.sent.iter().all(|sent| sent.server == 1));
    harness.update_list(ListKind::Changes, vec![ready(0)]);
    harness.query(2, 0, &[0]);
    assert_eq!(harness.sent[2].server, 0);
}

#[test]
fn after_a_failed_subscription_the_old_list_stays_and_the_call_is_repeated() {
    let mut set = settings(2, 2, 2);
    set.requires_subscription = true;
    let mut harness = Harness::new(set, 0);
    let queries = |harness: &Harness| harness.actions.iter().filter(|a| **a == Action::Subscribe).count();
    harness.update_list(ListKind::Restored, vec![ready(0), ready(1)]);
    harness.update_list(ListKind::Failed, Vec::new());
    harness.end_turn();
    harness.advance(4000.0);
    assert_eq!(queries(&harness), 1);
    harness.update_list(ListKind::Failed, Vec::new());
    harness.advance(4000.0);
    assert_eq!(queries(&harness), 2);
    harness.update_list(ListKind::Changes, Vec::new());
    harness.advance(30_000.0);
    assert_eq!(queries(&harness), 2, "a standing subscription is not renewed");
    harness.query(1, 0, &[0]);
    assert_eq!(harness.sent.len(), 1);
}

/// Each of them asks so much less often that all together ask no more than a few would.
#[test]
fn calls_of_many_aggregators_for_the_list_are_as_rare_as_those_of_a_few() {
    let next_call = |aggregators| {
        let mut set = settings(2, 2, 2);
        (set.requires_subscription, set.aggregators) = (true, aggregators);
        let mut harness = Harness::new(set, 0);
        let mut queries = 0;
        harness.update_list(ListKind::Failed, Vec::new());
        for _ in 0..400 {
            harness.advance(100.0);
            let all = harness.actions.iter().filter(|a| **a == Action::Subscribe).count();
            if all > queries {
                queries = all;
                harness.update_list(ListKind::Failed, Vec::new());
            }
        }
        queries
    };
    let (few, many) = (next_call(3), next_call(48));
    // One in 40 s for every second or so; then waits double to twelve times as long.
    assert!(few >= 30 && (4..=10).contains(&many), "{few} and {many}");
}

// Cold: this aggregator's share of what all of them may send.

#[test]
fn a_server_that_warms_up_gets_no_more_than_an_equal_share_of_its_budget() {
    let mut harness = Harness::new(settings(1, 1, 1), 1);
    harness.query(1, 0, &[0]);
    harness.now += 100.0;
    harness.end_attempts_from(0, Outcome::Success);
    harness.advance(2100.0);
    // Work of 100 ms; 2 x 0.2 of one processor over 2 s is 800 ms for all three: two parts for this one.
    harness.update_list(ListKind::Changes, vec![ServerEntry { started_at: harness.now, ..ready(0) }]);
    for id in 2..12 {
        harness.query(id, 0, &[0]);
    }
    assert_eq!(harness.sent.len() - 1, 2);
    harness.advance(1900.0);
    assert!(harness.sent.len() - 1 <= 4, "the budget grows with the server: {}", harness.sent.len() - 1);
    harness.advance(600.0);
    assert!(harness.sent.len() > 5, "the window slid on");
}

/// What a server may be sent is work, of whatever classes.
#[test]
fn a_server_that_warms_up_gets_no_more_work_where_classes_differ() {
    let mut set = settings(1, 1, 1);
    (set.aggregators, set.classes) = (1, vec![class(); 2]);
    let mut harness = Harness::new(set, 1);
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
    // Twice a fifth of one processor for 2 s, and a little for what it warmed meanwhile.
    assert!((700.0..=900.0).contains(&work), "{work} ms of work for a server that may have 800");
}

/// Two processes of one host send to it while one takes over from the other.
#[test]
fn more_aggregators_have_smaller_shares_of_a_server_that_warms_up() {
    let sends = |count| {
        let mut harness = Harness::new(settings(1, 1, 1), 1);
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
    // 2 x 0.36 of one processor over 2 s is 14 parts of 100 ms: 4 for one of three, 2 for one of six.
    assert_eq!((sends(3), sends(6)), (4, 2));
}

#[test]
fn any_number_of_aggregators_keeps_the_budget_of_a_server_that_warms_up() {
    for aggregators in [3, 25, 85, 100, 300, 1000] {
        let mut set = settings(1, 1, 1);
        set.aggregators = aggregators;
        let mut at = Vec::new();
        let mut harness = |seed: u64| {
            // By chance all might take their turn at once; by their numbers they can't.
            set.index = (aggregators > 85).then_some(seed as u32);
            let mut harness = Harness::seeded(seed, set.clone(), 1);
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
        // 2 times 0.2 to 0.36 of one processor for 2 s and 100 ms of work: 8 to 14 parts. The bench's
        // smallest machine has two processors, so twice that is the rule's own figure.
        assert!(at.len() <= 16, "{} sent by {aggregators} in 2 s", at.len());
        let first = at.iter().filter(|&&at| at < 100.0).count();
        assert!(first <= 8, "{first} sent by {aggregators} at once");
        assert!(!at.is_empty(), "a share of less than one part is not nothing ({aggregators})");
    }
}

/// An equal share that is less than a part comes late; no number of them makes it come later than the warm-up.
#[test]
fn each_of_any_number_of_aggregators_may_send_to_a_server_during_its_warm_up() {
    for aggregators in [3, 100, 300, 1000] {
        for seed in 0..20 {
            let mut set = settings(1, 1, 1);
            set.aggregators = aggregators;
            let (warm_up_ms, mut harness) = (set.warm_up_ms, Harness::seeded(seed, set, 1));
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

/// Has the only server fail so many connections in a row, then answer; returns how many of ten queries it is
/// sent at once after that.
fn sent_after(failures: &[Outcome]) -> usize {
    let mut harness = Harness::new(settings(1, 1, 1), 1);
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
    let sent = sent_after(&[Outcome::Broken, Outcome::Unreachable]);
    assert!(sent <= 2, "{sent}");
}

/// On poor links single connections break while the process goes on.
#[test]
fn a_server_with_one_failed_connection_does_not_warm_up_again() {
    for outcome in [Outcome::Broken, Outcome::Unreachable] {
        assert_eq!(sent_after(&[outcome]), 10, "{outcome:?}");
    }
}

/// Days are long, and a server that is replaced never comes back under its id.
#[test]
fn state_of_removed_servers_is_removed() {
    let mut harness = Harness::new(settings(1, 1, 1), 1);
    let mut held = Vec::new();
    for server in 1..200 {
        let from = harness.sent.len();
        harness.query(u64::from(server), 0, &[0]);
        let gone =
            ServerEntry { server: server - 1, status: ServerStatus::Removed, ..ServerEntry::default() };
        harness.update_list(ListKind::Changes, vec![ServerEntry { cell: 0, ..ready(server) }, gone]);
        harness.end_turn();
        harness.now += 100.0;
        harness.end_attempts_from(from, Outcome::Success);
        held.push(format!("{:?}", harness.aggregator).len());
    }
    assert!(held[198] < 2 * held[9], "{} grows to {}", held[9], held[198]);
}

// Honest: what an answer may claim.

fn partial() -> Harness {
    let mut set = settings(4, 2, 4);
    set.classes = vec![Class { minimum_share: 0.7, ..class() }];
    Harness::new(set, 4)
}

#[test]
fn an_answer_is_complete_only_with_every_required_part() {
    let mut harness = partial();
    harness.query(1, 0, &[0, 1, 2, 3]);
    harness.now += 10.0;
    for sent in harness.sent[..3].to_vec() {
        harness.end_attempt(sent, Outcome::Success);
    }
    harness.end_turn();
    assert!(harness.answers_to(1).is_empty(), "the last part may still come");
    harness.advance(1000.0);
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: false }]);
}

#[test]
fn there_is_no_answer_from_less_than_the_minimum_share() {
    let mut harness = partial();
    harness.query(1, 0, &[0, 1, 2, 3]);
    for sent in harness.sent[..2].to_vec() {
        harness.end_attempt(sent, Outcome::Success);
    }
    harness.advance(3000.0);
    assert!(refused(&harness, 1), "{:?}", harness.answers_to(1));
}

#[test]
fn a_second_step_is_complete_only_if_both_steps_are() {
    for lost in [false, true] {
        let mut set = settings(4, 2, 4);
        set.classes = vec![Class { minimum_share: 0.5, follow_up_parts: 2, ..class() }];
        let mut harness = Harness::new(set, 4);
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

// RetryBudget: further attempts over the sliding window, and for one part.

#[test]
fn further_attempts_stay_within_the_retry_budget_of_any_window() {
    let mut set = settings(4, 4, 4);
    set.retry_budget = Some(RetryBudget { free_attempts: 2.0, attempts_per_arrival: 0.1, window_ms: 2000.0 });
    let mut harness = Harness::new(set, 4);
    let mut taken: Vec<f64> = Vec::new();
    for id in 0..60 {
        harness.query(id, 0, &[0, 1, 2, 3]);
        taken.extend([harness.now; 5]);
        let recent: Vec<_> = harness.sent.iter().copied().filter(|sent| sent.at == harness.now).collect();
        for sent in recent {
            harness.end_attempt(sent, Outcome::Failure);
        }
        harness.end_turn();
        harness.advance(70.0);
    }
    let extras: Vec<_> = harness.sent.iter().filter(|sent| sent.attempt > 0).map(|sent| sent.at).collect();
    assert!(extras.len() > 10, "the ration is used: {}", extras.len());
    for (i, &at) in extras.iter().enumerate() {
        let used = extras[..=i].iter().filter(|&&e| e > at - 2000.0).count() as f64;
        let earned = taken.iter().filter(|&&t| t > at - 2000.0 && t <= at).count() as f64;
        assert!(used <= 2.0 + 0.1 * earned, "{used} extras on {earned} taken at {at}");
    }
}

#[test]
fn a_part_gets_no_more_than_the_maximum_of_attempts() {
    let mut set = settings(4, 4, 4);
    set.max_attempts = 3;
    let mut harness = Harness::new(set, 4);
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
    assert!(refused(&harness, 1));
}

#[test]
fn a_latency_target_stretched_by_the_work_is_waited_for() {
    let mut set = settings(2, 2, 2);
    set.classes = vec![Class { minimum_share: 0.5, latency_target_stretch: 2.0, ..class() }];
    let mut harness = Harness::new(set, 2);
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
    assert!(harness.answers_to(1).is_empty(), "the latency target is 1 s and twice 500 ms of work");
    harness.advance(100.0);
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: false }]);
}

// A query given up gets its final answer in that same turn.

#[test]
fn a_query_with_a_part_out_of_attempts_is_rejected_in_that_turn_with_advice() {
    // At the last attempt of a safe part, and of a keyed one that servers remember as long as its client waits.
    for repeat in [Repeat::Keyed, Repeat::Safe] {
        let mut set = Settings { max_attempts: 1, ..settings(4, 4, 4) };
        set.classes = vec![Class { repeat, deduplication_ms: 4000.0, ..class() }];
        set.allows_parallel_attempts = false;
        let mut harness = Harness::new(set, 4);
        harness.query(1, 0, &[0, 1]);
        harness.now += 50.0;
        let first = harness.sent[0];
        harness.end_attempt(first, Outcome::Failure);
        harness.end_turn();
        assert_eq!(harness.answers_to(1), [Action::Reject { query: 1, retry_after_ms: 500.0 }], "{repeat:?}");
        assert_eq!(harness.sent.len(), 2);
    }
}

/// A refusal says that asking again is harmless; past the servers' memory it is not, and the client may wait longer.
#[test]
fn a_keyed_query_that_its_client_may_repeat_after_the_deduplication_time_fails() {
    for (outcome, harmless) in [(Outcome::Failure, false), (Outcome::Unreachable, true)] {
        let mut set = Settings { max_attempts: 1, ..settings(4, 4, 4) };
        set.classes = vec![Class { repeat: Repeat::Keyed, deduplication_ms: 3900.0, ..class() }];
        let mut harness = Harness::new(set, 4);
        harness.query(1, 0, &[0]);
        harness.now += 50.0;
        harness.end_attempts_from(0, outcome);
        let refused = matches!(harness.answers_to(1)[..], [Action::Reject { .. }]);
        assert_eq!(refused, harmless, "{outcome:?}: {:?}", harness.answers_to(1));
    }
}

#[test]
fn an_unsafe_query_with_a_part_that_may_have_run_fails_in_that_turn() {
    for outcome in [Outcome::Failure, Outcome::Broken, Outcome::TimedOut] {
        let mut harness = of(Repeat::Unsafe);
        harness.query(1, 0, &[0, 1]);
        harness.now += 50.0;
        let first = harness.sent[0];
        harness.end_attempt(first, outcome);
        harness.end_turn();
        assert_eq!(harness.answers_to(1), [Action::Fail { query: 1 }], "{outcome:?}");
        assert_eq!(harness.sent.len(), 2);
    }
}
