//! The record, case by case: what is safe alone and unsafe together, windows checked again and called back, zones that don't swing.

mod fleet;

use fleet::*;
use gingerledge_common::*;

fn uncovered(refusal: Refusal) -> (Version, Decision, ExampleFact) {
    match refusal {
        Refusal::Uncovered { met, what, example } => (met, what, example),
        other => panic!("expected a range left short: {other:?}"),
    }
}

#[test]
fn of_two_windows_unsafe_together_the_first_is_taken_and_named() {
    for (first, second) in [("a", "b"), ("b", "a")] {
        let mut record = three();
        let book = |store: &str| Command::Book { at: Version(2), plan: plan(&[store], 100, 50, least(1, 1)) };
        assert!(matches!(record.would(&book(first)), Answer::Taken { .. }));
        assert!(matches!(record.would(&book(second)), Answer::Taken { .. }));
        assert_eq!(taken(record.apply(3, &book(first))), [Note::Booked(BookingId(3))]);
        let (met, what, example) = uncovered(refused(record.apply(4, &book(second))));
        assert_eq!((met, what), (Version(3), Decision::Booking(BookingId(3))));
        assert_eq!((example.block, example.first, example.end), (Some(0), 0, 10));
        let lost: Vec<_> = example.holders.iter().map(|(name, lost)| (name.as_str(), lost.clone())).collect();
        assert!(lost.contains(&(first, LostFact::Booking(BookingId(3)))), "{lost:?}");
        assert!(lost.contains(&(second, LostFact::Proposed)), "{lost:?}");
        assert_eq!(record.version(), Version(3));
        // After the first it may be.
        let later = Command::Book { at: Version(3), plan: plan(&[second], 150, 50, least(1, 1)) };
        taken(record.apply(5, &later));
    }
}

#[test]
fn windows_that_overlap_only_in_part_are_checked_where_they_do() {
    let mut record = three();
    let book = |store: &str, from, length| Command::Book {
        at: Version(2),
        plan: plan(&[store], from, length, least(1, 1)),
    };
    taken(record.apply(3, &book("a", 100, 100)));
    // It begins while the other is away.
    refused(record.apply(4, &book("b", 199, 10)));
    // The other begins while it is away.
    refused(record.apply(5, &book("b", 50, 51)));
    taken(record.apply(6, &book("b", 50, 50)));
    taken(record.apply(7, &book("b", 200, 10)));
}

#[test]
fn a_window_is_checked_where_another_ends_within_it_for_room_is_short_there() {
    // What y leaves is too much for x; with x away too it falls on w alone, which has the room.
    let mut record = Record::default();
    let sites = [("x", "A", 10_000), ("y", "B", 100_000), ("w", "C", 1000), ("w2", "C", 20_000)];
    let sites = sites.map(|(s, z, c)| site(s, z, z, c, StateFact::Listed)).to_vec();
    taken(record.apply(1, &Command::Sites { sites }));
    let held = vec![held(0, 0, 10, &["x", "y", "w"], 18_000)];
    taken(record.apply(2, &Command::Map { at: Version(1), from: 0, to: 1, hash: 1, held, gone: vec![] }));
    let book =
        |store: &str, length| Command::Book { at: Version(2), plan: plan(&[store], 0, length, least(1, 1)) };
    assert!(matches!(record.would(&book("y", 20)), Answer::Refused { .. }), "y alone leaves too much");
    taken(record.apply(3, &book("x", 10)));
    taken(record.apply(4, &book("y", 10)));
    taken(record.apply(5, &Command::Cancel { id: BookingId(4), by: "test".into() }));
    let (_, _, example) = uncovered(refused(record.apply(6, &book("y", 20))));
    assert!(example.short.starts_with("zone A"), "{example:?}");
}

#[test]
fn a_window_is_checked_again_as_it_begins() {
    let mut record = three();
    let id = BookingId(3);
    taken(record.apply(3, &Command::Book { at: Version(2), plan: plan(&["a"], 100, 50, least(1, 1)) }));
    let gone = |state| Command::Sites { sites: vec![site("b", "B", "near", 10_000, state)] };
    taken(record.apply(4, &gone(StateFact::Gone)));
    let begin = Command::Begin { at: Version(3), id };
    let (_, _, example) = uncovered(refused(record.apply(5, &begin)));
    assert_eq!(example.block, Some(0));
    assert!(record.view().out.is_empty(), "a window that is put off takes nobody out");
    taken(record.apply(6, &gone(StateFact::Listed)));
    assert_eq!(taken(record.apply(7, &begin)), [Note::Begun(id)]);
    assert_eq!(record.view().out.keys().collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_window_in_force_is_called_back_when_a_store_dies() {
    let mut record = three();
    let id = BookingId(3);
    taken(record.apply(3, &Command::Book { at: Version(2), plan: plan(&["a"], 100, 50, least(1, 1)) }));
    taken(record.apply(4, &Command::Begin { at: Version(3), id }));
    // The death of a store that holds nothing of what the window weakens leaves it alone.
    let dies = |store: &str, zone: &str| Command::Sites {
        sites: vec![site(store, zone, "near", 10_000, StateFact::Gone)],
    };
    assert_eq!(taken(record.apply(5, &dies("c", "C"))), []);
    let notes = taken(record.apply(6, &dies("b", "B")));
    assert!(
        matches!(&notes[..], [Note::CalledBack { id: of, example }] if *of == id && example.block == Some(0)),
        "{notes:?}"
    );
    assert!(record.view().out.is_empty());
    assert_eq!(record.bookings().count(), 0);
    assert_eq!(sound(&record, true)[&0], (1, 1), "the store that was out serves again");
}

#[test]
fn a_map_is_not_taken_that_a_window_leaves_short() {
    let mut record = three();
    taken(record.apply(3, &Command::Book { at: Version(2), plan: plan(&["a"], 100, 50, least(1, 1)) }));
    taken(record.apply(4, &Command::Begin { at: Version(3), id: BookingId(3) }));
    let map = |from, to, holders: &[&str]| Command::Map {
        at: Version(2),
        from,
        to,
        hash: 9,
        held: vec![held(0, 0, 10, holders, 2000)],
        gone: vec![],
    };
    let (met, what, _) = uncovered(refused(record.apply(5, &map(1, 2, &["a"]))));
    assert_eq!((met, what), (Version(4), Decision::Booking(BookingId(3))));
    taken(record.apply(6, &map(1, 2, &["a", "c"])));
    // One made from an older map hears of the newer.
    assert_eq!(refused(record.apply(7, &map(1, 3, &["b"]))), Refusal::Passed { map: 2, hash: 9 });
}

#[test]
fn a_map_is_refused_with_a_gap_an_overlap_or_names_that_nobody_knows() {
    let mut record = three();
    let map = |held| Command::Map { at: Version(2), from: 1, to: 2, hash: 9, held, gone: vec![] };
    for bad in [
        vec![held(0, 0, 9, &["a", "b"], 0)],
        vec![held(0, 0, 11, &["a", "b"], 0)],
        vec![held(0, 10, 10, &["a", "b"], 0)],
        vec![held(0, 0, 10, &["a", "x"], 0)],
        vec![held(0, 0, 10, &["a", "a"], 0)],
        vec![held(0, 0, 10, &["a"], 0), held(0, 0, 10, &["b"], 0)],
        vec![held(2, 0, 10, &["a"], 0)],
    ] {
        refused(record.apply(3, &map(bad)));
    }
    let gone = Command::Map { at: Version(2), from: 1, to: 2, hash: 9, held: vec![], gone: vec![1] };
    let was = record.map();
    refused(record.apply(3, &gone));
    assert_eq!(record.map(), was);
    let split = vec![held(2, 0, 5, &["a", "b"], 0), held(3, 5, 10, &["a", "b"], 0)];
    let split = Command::Map { at: Version(2), from: 1, to: 2, hash: 9, held: split, gone: vec![0] };
    taken(record.apply(3, &split));
}

#[test]
fn a_map_that_mends_one_range_is_taken_while_another_is_short() {
    let mut record = three();
    let dead = ["b", "c"].map(|s| site(s, &s.to_uppercase(), "near", 10_000, StateFact::Gone)).to_vec();
    taken(record.apply(3, &Command::Sites { sites: dead }));
    let map = |holders: &[&str]| Command::Map {
        at: Version(3),
        from: 1,
        to: 2,
        hash: 9,
        held: vec![held(0, 0, 10, holders, 0)],
        gone: vec![],
    };
    refused(record.apply(4, &map(&["b"])));
    taken(record.apply(5, &map(&["a"])));
}

#[test]
fn a_zone_is_led_away_only_while_the_others_have_room() {
    let mut record = three();
    let step = |permille, follows| Command::Shares {
        at: Version(2),
        zone: "B".into(),
        permille,
        follows,
        again: false,
    };
    taken(record.apply(3, &step(500, Version(0))));
    // Whoever has not seen that move hears of it.
    assert_eq!(refused(record.apply(4, &step(0, Version(0)))), Refusal::Overtaken { met: Version(3) });
    let small = Command::Sites { sites: vec![site("a", "A", "near", 1600, StateFact::Listed)] };
    taken(record.apply(5, &small));
    let (_, _, example) = uncovered(refused(record.apply(6, &step(0, Version(3)))));
    assert!(example.short.starts_with("zone A"), "{example:?}");
    assert_eq!(record.zone("B").map(|zone| zone.permille), Some(500));
    // Back is always open where the zone itself has room.
    taken(record.apply(7, &step(1000, Version(3))));
    assert_eq!(record.zone("B").map(|zone| (zone.up, zone.again)), Some((true, 0)));
}

#[test]
fn who_acts_under_what_changes_no_version_and_never_goes_back() {
    let mut record = three();
    let took = |version| Command::Took { broker: "n0".into(), version: Version(version) };
    taken(record.apply(3, &took(2)));
    taken(record.apply(4, &took(1)));
    refused(record.apply(5, &took(3)));
    assert_eq!(record.took().collect::<Vec<_>>(), [("n0", Version(2))]);
    assert_eq!(record.version(), Version(2));
}

#[test]
fn stores_of_the_gone_are_let_go() {
    let mut record = three();
    for n in 0..5000u64 {
        let name = format!("s{n}");
        let facts = |state| Command::Sites { sites: vec![site(&name, "A", "near", 1, state)] };
        taken(record.apply(3 + 2 * n, &facts(StateFact::Listed)));
        taken(record.apply(4 + 2 * n, &facts(StateFact::Gone)));
    }
    assert_eq!(record.sites().count(), 3);
}

#[test]
fn a_follower_never_goes_back_and_acts_on_nothing_unkept() {
    let record = three();
    let view = |version| View { version: Version(version), ..record.view() };
    let mut follower = Follower::new(None, 1000.0);
    assert_eq!(follower.standing(0.0), Standing::Alone);
    assert_eq!(follower.offer(0.0, &view(5)), Offered::Newer);
    assert_eq!(follower.standing(0.0), Standing::Alone, "not kept yet");
    follower.kept();
    assert_eq!(follower.standing(1000.0), Standing::Under(Version(5)));
    assert_eq!(follower.standing(1001.0), Standing::Alone);
    // Who is behind is no proof that the record is within reach.
    assert_eq!(follower.offer(1001.0, &view(4)), Offered::Older);
    assert_eq!(follower.standing(1001.0), Standing::Alone);
    assert_eq!(follower.offer(1002.0, &view(5)), Offered::Same);
    assert_eq!(follower.standing(1002.0), Standing::Under(Version(5)));
    let other = View { map: (99, 99), ..view(5) };
    assert_eq!(follower.offer(1003.0, &other), Offered::Split);
    let mut again = Follower::new(Some(&follower.bytes()), 1000.0);
    assert_eq!(again.standing(0.0), Standing::Alone, "kept, and not heard of since the start");
    assert_eq!(again.offer(0.0, &view(4)), Offered::Older);
    assert_eq!(again.offer(0.0, &view(5)), Offered::Same);
    assert_eq!(again.standing(0.0), Standing::Under(Version(5)));
}
