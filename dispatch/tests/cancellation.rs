//! A client that has gone gets nothing more: no attempt begins after the event that says so, in whatever state its parts are.

mod common;

use common::{class, settings, Harness};
use gingerledge_dispatch::{Class, Event, ListKind, Outcome, ServerEntry, Settings, SuccessorPart};

fn sends(harness: &Harness) -> usize {
    harness.sent.len()
}

fn cancel(harness: &mut Harness, query: u64) {
    harness.handle(Event::ClientGone { query });
}

#[test]
fn a_query_cancelled_in_the_turn_of_its_arrival_is_not_sent() {
    let mut harness = Harness::new(settings(3, 2, 3), 3);
    harness.begin_query(1, 0, &[0, 1, 2]);
    harness.begin_query(2, 0, &[0]);
    cancel(&mut harness, 1);
    harness.end_turn();
    assert_eq!(sends(&harness), 1, "the other query alone is sent");
    harness.advance(4000.0);
    assert!(harness.answers_to(1).is_empty(), "nobody is left to answer");
}

#[test]
fn parts_that_arrive_after_the_cancellation_of_their_query_are_not_sent() {
    let mut harness = Harness::new(settings(3, 2, 3), 3);
    let event = Event::Query {
        id: 1,
        number: 1,
        class: 0,
        tenant: None,
        deadline: 4000.0,
        parts: 3,
        repeated: false,
    };
    harness.handle(event);
    cancel(&mut harness, 1);
    harness.add_parts(1, &[0, 1, 2]);
    harness.advance(4000.0);
    assert_eq!(sends(&harness), 0);
}

/// Its only replica is ejected after an error, and the part waits for it.
#[test]
fn a_part_waiting_for_a_retry_is_not_sent_after_cancellation() {
    for outcome in [Outcome::Failure, Outcome::Overloaded, Outcome::Unreachable] {
        let plays = |cancels: bool| {
            let mut harness = Harness::new(settings(1, 1, 1), 1);
            harness.query(1, 0, &[0]);
            harness.now += 10.0;
            // The attempt's end and the client's come in one turn.
            let sent = harness.sent[0];
            harness.end_attempt(sent, outcome);
            if cancels {
                cancel(&mut harness, 1);
            }
            harness.end_turn();
            harness.advance(2000.0);
            sends(&harness)
        };
        assert!(plays(false) > 1, "{outcome:?}: it would have been sent again");
        assert_eq!(plays(true), 1, "{outcome:?}");
    }
}

/// A late part's hedged request, due in the turn in which its client goes.
#[test]
fn a_late_part_is_not_hedged_after_cancellation() {
    let plays = |cancels: bool| {
        let mut harness = Harness::new(settings(2, 2, 2), 2);
        for id in 1..40 {
            let from = harness.sent.len();
            harness.query(id, 0, &[0]);
            harness.now += 100.0;
            harness.end_attempts_from(from, Outcome::Success);
        }
        let from = harness.sent.len();
        harness.query(100, 0, &[0]);
        harness.advance(200.0);
        assert_eq!(harness.sent.len() - from, 1, "not late yet");
        if cancels {
            cancel(&mut harness, 100);
        }
        harness.advance(800.0);
        harness.sent.len() - from
    };
    assert_eq!((plays(false), plays(true)), (2, 1));
}

/// It waits for a store that warms up's room, and is dropped: room that comes goes to nobody.
#[test]
fn a_part_waiting_for_a_server_that_warms_up_is_not_sent_after_cancellation() {
    let plays = |cancels: bool| {
        let mut harness = Harness::new(settings(1, 1, 1), 1);
        harness.query(1, 0, &[0]);
        harness.now += 100.0;
        harness.end_attempts_from(0, Outcome::Success);
        harness.advance(2100.0);
        harness.update_list(
            ListKind::Changes,
            vec![ServerEntry { started_at: harness.now, ..common::ready(0) }],
        );
        (2..12).for_each(|id| drop(harness.query(id, 0, &[0])));
        let from = harness.sent.len();
        if cancels {
            (2..12).for_each(|id| cancel(&mut harness, id));
        }
        harness.advance(2500.0);
        harness.sent.len() - from
    };
    assert!(plays(false) > 0, "they wait for room");
    assert_eq!(plays(true), 0);
}

/// It waits for company while a call is out.
#[test]
fn a_part_in_its_batching_delay_is_not_sent_after_cancellation() {
    let plays = |cancels: bool| {
        let classes = vec![Class { latency_target_ms: 1000.0, ..class() }];
        let set = Settings { max_parts_per_call: 4, call_cost_ms: 50.0, classes, ..settings(1, 1, 1) };
        let mut harness = Harness::new(set, 1);
        harness.query(1, 0, &[0]);
        harness.now += 50.0;
        harness.end_attempts_from(0, Outcome::Success);
        harness.query(2, 0, &[0]);
        let from = harness.sent.len();
        harness.query(3, 0, &[0]);
        assert_eq!(harness.sent.len(), from, "it waits");
        if cancels {
            cancel(&mut harness, 3);
        }
        harness.advance(400.0);
        harness.sent.len() - from
    };
    assert_eq!((plays(false), plays(true)), (1, 0));
}

#[test]
fn successors_of_a_part_are_not_sent_after_cancellation() {
    let mut harness = Harness::new(settings(3, 2, 3), 3);
    let parts = harness.begin_query(1, 0, &[0]);
    cancel(&mut harness, 1);
    harness.handle(Event::SuccessorParts {
        part: parts[0],
        successors: vec![SuccessorPart { id: 5000, shard: 1, weight: 1.0 }],
    });
    harness.advance(4000.0);
    assert_eq!(sends(&harness), 0);
}
