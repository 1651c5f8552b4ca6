//! A client that has gone gets nothing more: no attempt begins after the event that says so, in whatever state its parts are.

mod common;

use common::{class, settings, Rig};
use gingerledge_dispatch::{Class, Entry, Event, ListKind, Outcome, Settings, SuccessorPart};

fn sends(rig: &Rig) -> usize {
    rig.sent.len()
}

fn cancel(rig: &mut Rig, query: u64) {
    rig.event(Event::ClientGone { query });
}

#[test]
fn one_that_goes_in_the_turn_in_which_it_came_is_sent_nowhere() {
    let mut rig = Rig::new(settings(3, 2, 3), 3);
    rig.arrive(1, 0, &[0, 1, 2]);
    rig.arrive(2, 0, &[0]);
    cancel(&mut rig, 1);
    rig.turn();
    assert_eq!(sends(&rig), 1, "the other query alone is sent");
    rig.pass(4000.0);
    assert!(rig.answers(1).is_empty(), "nobody is left to answer");
}

#[test]
fn parts_that_come_after_their_query_was_cancelled_are_sent_nowhere() {
    let mut rig = Rig::new(settings(3, 2, 3), 3);
    let event = Event::Query {
        id: 1,
        number: 1,
        class: 0,
        tenant: None,
        deadline: 4000.0,
        parts: 3,
        repeated: false,
    };
    rig.event(event);
    cancel(&mut rig, 1);
    rig.parts(1, &[0, 1, 2]);
    rig.pass(4000.0);
    assert_eq!(sends(&rig), 0);
}

/// Its only replica is kept out after an error, and the part waits for it.
#[test]
fn one_that_waits_to_be_sent_again_is_not() {
    for outcome in [Outcome::Failure, Outcome::Overloaded, Outcome::Unreachable] {
        let plays = |cancels: bool| {
            let mut rig = Rig::new(settings(1, 1, 1), 1);
            rig.query(1, 0, &[0]);
            rig.now += 10.0;
            // The attempt's end and the client's come in one turn.
            let sent = rig.sent[0];
            rig.end(sent, outcome);
            if cancels {
                cancel(&mut rig, 1);
            }
            rig.turn();
            rig.pass(2000.0);
            sends(&rig)
        };
        assert!(plays(false) > 1, "{outcome:?}: it would have been sent again");
        assert_eq!(plays(true), 1, "{outcome:?}");
    }
}

/// A late part's second copy, due in the turn in which its client goes.
#[test]
fn one_that_is_late_gets_no_second_copy() {
    let plays = |cancels: bool| {
        let mut rig = Rig::new(settings(2, 2, 2), 2);
        for id in 1..40 {
            let from = rig.sent.len();
            rig.query(id, 0, &[0]);
            rig.now += 100.0;
            rig.end_from(from, Outcome::Success);
        }
        let from = rig.sent.len();
        rig.query(100, 0, &[0]);
        rig.pass(200.0);
        assert_eq!(rig.sent.len() - from, 1, "not late yet");
        if cancels {
            cancel(&mut rig, 100);
        }
        rig.pass(800.0);
        rig.sent.len() - from
    };
    assert_eq!((plays(false), plays(true)), (2, 1));
}

/// It waits for a cold store's room, and is dropped: room that comes goes to nobody.
#[test]
fn one_that_waits_for_room_at_a_cold_store_is_dropped() {
    let plays = |cancels: bool| {
        let mut rig = Rig::new(settings(1, 1, 1), 1);
        rig.query(1, 0, &[0]);
        rig.now += 100.0;
        rig.end_from(0, Outcome::Success);
        rig.pass(2100.0);
        rig.list(ListKind::Changes, vec![Entry { since: rig.now, ..common::ready(0) }]);
        (2..12).for_each(|id| drop(rig.query(id, 0, &[0])));
        let from = rig.sent.len();
        if cancels {
            (2..12).for_each(|id| cancel(&mut rig, id));
        }
        rig.pass(2500.0);
        rig.sent.len() - from
    };
    assert!(plays(false) > 0, "they wait for room");
    assert_eq!(plays(true), 0);
}

/// It waits for company while a call is out.
#[test]
fn one_that_waits_for_company_is_dropped() {
    let plays = |cancels: bool| {
        let classes = vec![Class { latency_target_ms: 1000.0, ..class() }];
        let set = Settings { batch: 4, call_cost_ms: 50.0, classes, ..settings(1, 1, 1) };
        let mut rig = Rig::new(set, 1);
        rig.query(1, 0, &[0]);
        rig.now += 50.0;
        rig.end_from(0, Outcome::Success);
        rig.query(2, 0, &[0]);
        let from = rig.sent.len();
        rig.query(3, 0, &[0]);
        assert_eq!(rig.sent.len(), from, "it waits");
        if cancels {
            cancel(&mut rig, 3);
        }
        rig.pass(400.0);
        rig.sent.len() - from
    };
    assert_eq!((plays(false), plays(true)), (1, 0));
}

#[test]
fn heirs_of_a_part_whose_query_was_cancelled_are_sent_nowhere() {
    let mut rig = Rig::new(settings(3, 2, 3), 3);
    let parts = rig.arrive(1, 0, &[0]);
    cancel(&mut rig, 1);
    rig.event(Event::SuccessorParts {
        part: parts[0],
        successors: vec![SuccessorPart { id: 5000, shard: 1, weight: 1.0 }],
    });
    rig.pass(4000.0);
    assert_eq!(sends(&rig), 0);
}
