//! The circle in virtual time: many brokers, a slow store, lost and hostile datagrams.

#![allow(clippy::unwrap_used)]

use fastrand::Rng;
use gingerledge_gossip::{Circle, End, Entry, Report, Settings, DATAGRAM_MOST};

const STORES: u32 = 60;

fn circle(members: u32, number: u64, phase: f64) -> Circle {
    let mut circle = Circle::new(Settings::of(members), number, phase, 0.0);
    (0..STORES).for_each(|store| circle.list(store, &format!("s-{store:08x}"), 0.0));
    circle
}

/// Brokers that send three parts in 100 ms each, to any store; store 7 is ten times slower. Returns how many see it so
/// after so many seconds, and how many datagrams one broker has been sent.
fn play(members: u32, seconds: u32, lost: f64, seed: u64) -> (usize, usize) {
    let mut rng = Rng::with_seed(seed);
    let mut brokers: Vec<Circle> = (0..members).map(|_| circle(members, 1, rng.f64())).collect();
    let mut heard = 0;
    for turn in 1..=seconds * 10 {
        let now = f64::from(turn) * 100.0;
        let mut said = Vec::new();
        for (sender, broker) in (0..).zip(&mut brokers) {
            for _ in 0..3 {
                let store = rng.u32(..STORES);
                broker.ended(
                    store,
                    if store == 7 { 200.0 } else { 15.0 + 10.0 * rng.f64() },
                    End::Served,
                    now,
                );
            }
            broker.views(now);
            said.extend(broker.say(now).map(|datagram| (sender, datagram)));
        }
        for (sender, datagram) in said {
            assert!(datagram.len() <= DATAGRAM_MOST);
            heard += usize::from(sender != 0);
            for (number, broker) in (0..).zip(&mut brokers) {
                if number != sender && rng.f64() >= lost {
                    broker.hear(sender, &datagram, now).unwrap();
                }
            }
        }
    }
    let now = f64::from(seconds) * 1000.0;
    let sees = |broker: &mut Circle| {
        broker.views(now).iter().any(|(store, view)| *store == 7 && view.is_some_and(|view| view.pace > 5.0))
    };
    (brokers.iter_mut().map(sees).filter(|sees| *sees).count(), heard)
}

#[test]
fn all_see_what_one_alone_sees_too_seldom_within_a_bounded_rate() {
    for (members, lost) in [(10, 0.0), (60, 0.0), (100, 0.3)] {
        let (see, heard) = play(members, 5, lost, 3);
        assert!(see as u32 >= members * 9 / 10, "{see} of {members}, seed 3");
        let most = 5.0 * Settings::of(members).heard_per_s + 2.0 * f64::from(members);
        assert!(heard as f64 <= most, "{heard} heard of {most} by one of {members}, seed 3");
    }
}

#[test]
fn what_is_old_from_nobody_or_garbage_changes_nothing() {
    let entry = Entry { store: Entry::hash("s-00000007"), wait_ms: 500.0, waits: 15, failed: 0 };
    let bytes = |number| Report { number, entries: vec![entry] }.bytes();
    let mut one = circle(3, 1, 0.0);
    assert!(one.hear(3, &bytes(9), 0.0).is_ok());
    assert_eq!(one.views(0.0)[7].1, None, "there is no fourth broker");
    one.hear(1, &bytes(9), 0.0).unwrap();
    let known = one.views(0.0);
    assert!(known[7].1.is_some());
    for number in [9, 3] {
        one.hear(1, &bytes(number), 0.0).unwrap();
    }
    let mut rng = Rng::with_seed(5);
    for cut in 0..bytes(10).len() {
        assert!(one.hear(2, &bytes(10)[..cut], 0.0).is_err());
    }
    for _ in 0..2000 {
        let noise: Vec<u8> = (0..rng.usize(..300)).map(|_| rng.u8(..)).collect();
        assert!(one.hear(2, &noise, 0.0).is_err(), "{noise:?}, seed 5");
    }
    assert_eq!(one.views(0.0), known);
}

#[test]
fn reports_read_as_they_were_written_and_never_pass_the_most() {
    let entries: Vec<Entry> = (0..100)
        .map(|n| Entry { store: n, wait_ms: 0.25 * f64::from(n % 60 / 8).exp2(), waits: 3, failed: 40 })
        .collect();
    let report = Report { number: u64::MAX, entries };
    let bytes = report.bytes();
    assert!(bytes.len() <= DATAGRAM_MOST);
    let read = Report::read(&bytes).unwrap();
    assert_eq!((read.number, read.entries.len()), (u64::MAX, Report::ENTRIES_MOST));
    for (told, read) in report.entries.iter().zip(&read.entries) {
        assert_eq!(
            (told.store, told.wait_ms, told.waits, 15),
            (read.store, read.wait_ms, read.waits, read.failed)
        );
    }
}

#[test]
fn stores_no_longer_listed_are_let_go_and_views_fade() {
    let mut one = circle(3, 1, 0.0);
    one.ended(7, 100.0, End::Failed, 0.0);
    assert_eq!(one.views(0.0)[7].1.map(|view| view.failing), Some(1.0));
    assert_eq!(one.views(60_000.0)[7].1, None);
    one.keep(|store| store != 7);
    assert_eq!(one.views(60_000.0).len(), STORES as usize - 1);
}
