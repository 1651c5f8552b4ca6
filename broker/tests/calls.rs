//! Calls that several parts of one turn share: which parts travel in which frame, and that each part ends for itself.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;

use common::rig::{play, Rig, LONG};
use gingerledge::core::AttemptRequest;
use gingerledge::store::frame;
use gingerledge_dispatch::Outcome;
use gingerledge_testkit::scripted::{exchange, listener, query, run, World};
use serde_json::json;

fn ids(parts: &[u64]) -> Vec<String> {
    parts.iter().map(|part| format!("q.{part}")).collect()
}

#[test]
fn parts_of_one_turn_share_calls_up_to_the_number_in_the_settings() {
    play(Rig::new(32, 3, 1000), |mut rig| async move {
        rig.turn(0..5);
        rig.turn([5, 6]);
        let mut peer = rig.accept().await;
        for expected in [&[0, 1, 2][..], &[3, 4], &[5, 6]] {
            assert_eq!(peer.call().await, ids(expected));
        }
        for part in [6, 0, 3, 1, 5, 2, 4] {
            peer.answer(&format!("q.{part}")).await;
        }
        assert!(rig.ends(7).await.values().all(|outcome| *outcome == Outcome::Success));
        assert_eq!(rig.sides.stores.link_count(), 1);
    });
}

#[test]
fn without_shared_calls_each_part_travels_alone_as_it_did() {
    play(Rig::new(32, 1, 1000), |rig| async move {
        rig.turn(0..3);
        let mut peer = rig.accept().await;
        for part in 0..3 {
            let (letter, rest) = peer.frame().await.unwrap();
            assert_eq!(letter, frame::CALL);
            assert_eq!(rest, format!("q.{part} {part} d=20000 4\nc41e").into_bytes());
        }
    });
}

#[test]
fn a_connection_carries_no_more_parts_than_it_may_however_many_share_a_call() {
    play(Rig::new(4, 8, 1000), |rig| async move {
        rig.turn(0..6);
        let (mut one, mut other) = (rig.accept().await, rig.accept().await);
        let mut calls = [one.call().await, other.call().await];
        calls.sort();
        assert_eq!(calls, [ids(&[0, 1, 2, 3]), ids(&[4, 5])]);
    });
}

#[test]
fn what_is_given_up_before_the_call_is_written_is_not_in_it() {
    play(Rig::new(32, 8, 1000), |mut rig| async move {
        rig.turn(0..3);
        rig.stop(0);
        rig.stop(2);
        let mut peer = rig.accept().await;
        assert_eq!(peer.call().await, ids(&[1]));
        peer.answer("q.1").await;
        let expected = BTreeMap::from([(0, Outcome::Void), (1, Outcome::Success), (2, Outcome::Void)]);
        assert_eq!(*rig.ends(3).await, expected);
    });
}

/// Each with its own timer: one runs out, one is given up, one is answered, and the store is told which.
#[test]
fn after_the_call_is_written_each_part_ends_for_itself() {
    play(Rig::new(32, 8, 1000), |mut rig| async move {
        rig.sides.stores.send(rig.order(0, 60.0));
        rig.turn([1, 2]);
        let mut peer = rig.accept().await;
        assert_eq!(peer.call().await, ids(&[0, 1, 2]));
        rig.stop(1);
        for part in ["q.1", "q.0"] {
            assert_eq!(peer.frame().await, Some((frame::WITHDRAW, part.as_bytes().to_vec())));
        }
        peer.answer("q.2").await;
        let expected =
            BTreeMap::from([(0, Outcome::TimedOut), (1, Outcome::Withdrawn), (2, Outcome::Success)]);
        assert_eq!(*rig.ends(3).await, expected);
    });
}

#[test]
fn a_store_that_drains_before_the_call_is_written_gets_none_of_it() {
    // So short a grace is over at once.
    play(Rig::new(32, 8, 150), |mut rig| async move {
        rig.turn(0..3);
        rig.sides.stores.upsert("s-0", rig.at, false);
        let mut peer = rig.accept().await;
        assert_eq!(peer.frame().await, None);
        assert!(rig.ends(3).await.values().all(|outcome| *outcome == Outcome::Void));
    });
}

#[test]
fn a_repeat_that_comes_too_late_to_be_written_is_left_out() {
    play(Rig::new(32, 8, 1000), |mut rig| async move {
        rig.sides.stores.send(AttemptRequest { send_within_ms: Some(0.0), ..rig.order(0, LONG) });
        rig.sides.stores.send(AttemptRequest { send_within_ms: Some(LONG), ..rig.order(1, LONG) });
        rig.turn([2]);
        let mut peer = rig.accept().await;
        assert_eq!(peer.call().await, ids(&[1, 2]));
        assert_eq!(*rig.ends(1).await, BTreeMap::from([(0, Outcome::Void)]));
    });
}

#[test]
fn a_break_ends_all_parts_of_a_call_by_whether_it_was_written() {
    play(Rig::new(32, 8, 1000), |mut rig| async move {
        rig.turn(0..3);
        let mut peer = rig.accept().await;
        assert_eq!(peer.call().await.len(), 3);
        drop(peer);
        assert!(rig.ends(3).await.values().all(|outcome| *outcome == Outcome::Broken));
    });
    play(Rig::new(32, 8, 1000), |mut rig| async move {
        rig.store = listener().0;
        rig.turn(0..3);
        assert!(rig.ends(3).await.values().all(|outcome| *outcome == Outcome::Unreachable));
    });
}

#[test]
fn the_settings_say_how_many_parts_share_a_call_and_the_values_come_back() {
    let calls = |world: &World| {
        let mut calls: BTreeMap<usize, usize> = BTreeMap::new();
        world.sent.borrow().iter().for_each(|part| *calls.entry(part.call).or_default() += 1);
        calls.into_values().collect::<Vec<_>>()
    };
    run(1, |world| async move {
        let mut settings = world.settings();
        (settings["domain"]["slabs"], settings["domain"]["batch"]) = (json!(3), json!(2));
        (settings["domain"]["reach"], settings["categories"][0]["repeat"]) = (json!(1), json!("keyed"));
        let broker = world.broker(settings, None).await;
        let text = query("q1", "yard-compare", 2000, &[0, 1, 2], "c41e");
        let got = exchange(broker.platform, &text).await.unwrap();
        let values: Vec<_> = (0..3).map(|n| json!({ "range": n, "blob": format!("v{n}-false") })).collect();
        assert_eq!(got.json(), json!({ "total": true, "answers": values }));
        assert_eq!((calls(&world), broker.counters.calls.get()), (vec![2, 1], 2));
        world.sent.borrow_mut().clear();
        let text = String::from_utf8(query("q2", "flow-report", 5000, &[0, 1, 2], "c41e")).unwrap();
        let text = text.replacen("\r\n", "\r\nIdempotency-Key: a\r\n", 1);
        assert_eq!(exchange(broker.platform, text.as_bytes()).await.unwrap().status, 200);
        // The second step's two parts share a call.
        assert_eq!(calls(&world), [2, 1, 2]);
        assert!(world.sent.borrow().iter().all(|part| part.key.as_deref() == Some("a")));
    });
}
