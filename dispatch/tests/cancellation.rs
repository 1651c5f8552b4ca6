//! Cancellation: once a client has disconnected, no further attempt of its query is sent, in whatever state
//! its parts are.

mod common;

use common::{class, ring_settings, Harness};
use gingerledge_dispatch::{Class, Event, ListKind, Outcome, ServerEntry, Settings, SuccessorPart};

fn send_count(harness: &Harness) -> usize {
    harness.sent.len()
}

fn cancel(harness: &mut Harness, query: u64) {
    harness.handle(Event::ClientGone { query });
}

#[test]
fn a_query_cancelled_in_the_turn_of_its_arrival_is_not_sent() {
    let mut harness = Harness::new(ring_settings(3, 2, 3), 3);
    harness.begin_query(1, 0, &[0, 1, 2]);
    harness.begin_query(2, 0, &[0]);
    cancel(&mut harness, 1);
    harness.end_turn();
    assert_eq!(send_count(&harness), 1, "only the other query is sent");
    harness.advance(4000.0);
    assert!(harness.answers_to(1).is_empty(), "no client is left to answer");
}

#[test]
fn parts_that_arrive_after_the_cancellation_of_their_query_are_not_sent() {
    let mut harness = Harness::new(ring_settings(3, 2, 3), 3);
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
    assert_eq!(send_count(&harness), 0);
}

/// The only replica of the part is ejected after an error, and the part waits for a retry.
#[test]
fn a_part_waiting_for_a_retry_is_not_sent_after_cancellation() {
    for outcome in [Outcome::Failure, Outcome::Overloaded, Outcome::Unreachable] {
        let sends_with = |is_cancelled: bool| {
            let mut harness = Harness::new(ring_settings(1, 1, 1), 1);
            harness.query(1, 0, &[0]);
            harness.now += 10.0;
            // The attempt ends and the client disconnects in the same turn.
            let sent = harness.sent[0];
            harness.end_attempt(sent, outcome);
            if is_cancelled {
                cancel(&mut harness, 1);
            }
            harness.end_turn();
            harness.advance(2000.0);
            send_count(&harness)
        };
        assert!(sends_with(false) > 1, "{outcome:?}: without cancellation, the part is sent again");
        assert_eq!(sends_with(true), 1, "{outcome:?}");
    }
}

/// The client of a late part disconnects before the part is hedged.
#[test]
fn a_late_part_is_not_hedged_after_cancellation() {
    let sends_with = |is_cancelled: bool| {
        let mut harness = Harness::new(ring_settings(2, 2, 2), 2);
        for id in 1..40 {
            let from = harness.sent.len();
            harness.query(id, 0, &[0]);
            harness.now += 100.0;
            harness.end_attempts_from(from, Outcome::Success);
        }
        let from = harness.sent.len();
        harness.query(100, 0, &[0]);
        harness.advance(200.0);
        assert_eq!(harness.sent.len() - from, 1, "the part is not late yet");
        if is_cancelled {
            cancel(&mut harness, 100);
        }
        harness.advance(800.0);
        harness.sent.len() - from
    };
    assert_eq!((sends_with(false), sends_with(true)), (2, 1));
}

/// The parts wait until the server's warm-up allows further work. They must not be sent when it does.
#[test]
fn a_part_waiting_for_a_server_that_warms_up_is_not_sent_after_cancellation() {
    let sends_with = |is_cancelled: bool| {
        let mut harness = Harness::new(ring_settings(1, 1, 1), 1);
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
        if is_cancelled {
            (2..12).for_each(|id| cancel(&mut harness, id));
        }
        harness.advance(2500.0);
        harness.sent.len() - from
    };
    assert!(sends_with(false) > 0, "without cancellation, the parts are sent when the warm-up allows it");
    assert_eq!(sends_with(true), 0);
}

/// The part waits for an outstanding call to end.
#[test]
fn a_part_in_its_batching_delay_is_not_sent_after_cancellation() {
    let sends_with = |is_cancelled: bool| {
        let classes = vec![Class { latency_target_ms: 1000.0, ..class() }];
        let settings =
            Settings { max_parts_per_call: 4, call_cost_ms: 50.0, classes, ..ring_settings(1, 1, 1) };
        let mut harness = Harness::new(settings, 1);
        harness.query(1, 0, &[0]);
        harness.now += 50.0;
        harness.end_attempts_from(0, Outcome::Success);
        harness.query(2, 0, &[0]);
        let from = harness.sent.len();
        harness.query(3, 0, &[0]);
        assert_eq!(harness.sent.len(), from, "the part waits");
        if is_cancelled {
            cancel(&mut harness, 3);
        }
        harness.advance(400.0);
        harness.sent.len() - from
    };
    assert_eq!((sends_with(false), sends_with(true)), (1, 0));
}

#[test]
fn successors_of_a_part_are_not_sent_after_cancellation() {
    let mut harness = Harness::new(ring_settings(3, 2, 3), 3);
    let parts = harness.begin_query(1, 0, &[0]);
    cancel(&mut harness, 1);
    harness.handle(Event::SuccessorParts {
        part: parts[0],
        successors: vec![SuccessorPart { id: 5000, shard: 1, weight: 1.0 }],
    });
    harness.advance(4000.0);
    assert_eq!(send_count(&harness), 0);
}
