//! The keeper in virtual time: two operators book at once, stores die, commands are late or lost, whoever decides changes; what the
//! record promises is held by brute force after each command.

#![allow(clippy::unwrap_used)]

#[path = "../../common/tests/fleet/mod.rs"]
mod fleet;

use std::collections::BTreeMap;

use fleet::*;
use gingerledge_common::*;
use gingerledge_maintenance::*;

const ZONES: [&str; 3] = ["A", "B", "C"];

fn fact(store: usize, state: StateFact) -> SiteFact {
    site(&format!("s{store}"), ZONES[store % 3], "near", 10_000, state)
}

struct World {
    record: Record,
    index: u64,
    log: Vec<(u64, Command, Answer)>,
}

impl World {
    /// Six stores in three zones; each block at three of them, one in each zone.
    fn new() -> Self {
        let mut world = Self { record: Record::default(), index: 0, log: Vec::new() };
        world.apply(0, Command::Sites { sites: (0..6).map(|s| fact(s, StateFact::Listed)).collect() });
        let blocks = (0..6_u32).map(|b| {
            let holders: Vec<String> = (0..3).map(|h| format!("s{}", (b as usize + h) % 6)).collect();
            let holders: Vec<&str> = holders.iter().map(String::as_str).collect();
            held(b, u64::from(b) * 10, u64::from(b) * 10 + 10, &holders, 1000)
        });
        let held = blocks.collect();
        let at = world.record.version();
        world.apply(0, Command::Map { at, from: 0, to: 1, hash: 1, held, gone: vec![] });
        world
    }

    fn apply(&mut self, now: u64, command: Command) -> Answer {
        self.index += 1;
        let answer = self.record.apply(self.index, &command);
        self.log.push((now, command, answer.clone()));
        self.promise();
        answer
    }

    /// A range is short only by facts: no window in force weakens it.
    fn promise(&self) {
        let (facts, left) = (sound(&self.record, false), sound(&self.record, true));
        for block in self.record.blocks() {
            let weakens = |plan: &Plan| plan.stores.iter().any(|store| block.holders.contains(store));
            let begun = self.record.bookings().filter(|(_, plan, begun)| *begun && weakens(plan));
            let least = begun.fold(self.record.least(), |least, (_, plan, _)| least.stricter(plan.least));
            let (have, by_facts) = (left[&block.block], facts[&block.block]);
            let short = have.0 < least.holders || have.1 < least.zones;
            assert!(
                !short || have == by_facts,
                "block {}: {have:?} of {least:?}; {:?}",
                block.block,
                self.log.last()
            );
        }
    }
}

fn book(world: &mut World, now: u64, stores: &[&str], from: u64, length: u64) -> BookingId {
    let plan = plan(stores, from, length, least(1, 1));
    let at = world.record.version();
    match &taken(world.apply(now, Command::Book { at, plan }))[..] {
        [Note::Booked(id)] => *id,
        other => panic!("expected a booking: {other:?}"),
    }
}

#[test]
fn a_booking_is_begun_put_off_asked_again_and_ended_when_its_stores_are_warm() {
    let mut world = World::new();
    let mut keeper = Keeper::new(Settings { ask_ms: 10, hold_ms: 50 });
    let id = book(&mut world, 0, &["s0", "s1"], 100, 100);
    assert_eq!(keeper.tick(99, &world.record, true), []);
    assert_eq!(keeper.tick(100, &world.record, false), []);
    // With its third holder gone block 0 would have none: put off, told once with the range, and asked again.
    let gone = |store, state| Command::Sites { sites: vec![fact(store, state)] };
    world.apply(100, gone(2, StateFact::Gone));
    let told = keeper.tick(100, &world.record, true);
    let [Action::Say(Event::PutOff { why: Refusal::Uncovered { example, .. }, .. })] = &told[..] else {
        panic!("expected to be put off: {told:?}");
    };
    assert_eq!(example.block, Some(0));
    assert_eq!(keeper.tick(105, &world.record, true), []);
    world.apply(110, gone(2, StateFact::Listed));
    let begin = Action::Propose(Command::Begin { at: world.record.version(), id });
    assert_eq!(keeper.tick(110, &world.record, true), vec![begin.clone()]);
    // It was lost: asked again, no sooner than settled, and at once by who takes over.
    assert_eq!(keeper.tick(119, &world.record, true), []);
    assert_eq!(
        Keeper::new(Settings { ask_ms: 10, hold_ms: 50 }).tick(119, &world.record, true),
        vec![begin.clone()]
    );
    assert_eq!(keeper.tick(120, &world.record, true), [begin]);
    world.apply(121, Command::Begin { at: world.record.version(), id });
    world.apply(122, gone(0, StateFact::Cold(300)));
    assert_eq!(keeper.tick(199, &world.record, true), []);
    let late = Event::Late { id, cold: vec!["s0".into()] };
    assert_eq!(keeper.tick(200, &world.record, true), [Action::Say(late)]);
    world.apply(201, gone(0, StateFact::Listed));
    assert_eq!(keeper.tick(201, &world.record, true), [Action::Propose(Command::End { id })]);
}

#[test]
fn a_booking_that_never_could_begin_is_called_off_when_its_time_is_over() {
    let mut world = World::new();
    let mut keeper = Keeper::new(Settings { ask_ms: 10, hold_ms: 50 });
    let id = book(&mut world, 0, &["s0", "s1"], 100, 100);
    world.apply(50, Command::Sites { sites: vec![fact(2, StateFact::Gone)] });
    assert!(!keeper.tick(199, &world.record, true).iter().any(|a| matches!(a, Action::Propose(_))));
    let told = keeper.tick(200, &world.record, true);
    assert_eq!(told[0], Action::Say(Event::Passed { id }));
    assert!(matches!(&told[1], Action::Propose(Command::Cancel { id: called, .. }) if *called == id));
}

#[test]
fn an_end_that_would_overfill_a_zone_waits_for_the_other_window_and_not_for_ever() {
    // With y away x draws what zone A has no room for; with both away it falls on zone C, which has.
    let mut world = World { record: Record::default(), index: 0, log: Vec::new() };
    let stores =
        [("x", "A", 10_000), ("y", "B", 10_000), ("y2", "B", 100_000), ("w", "C", 1000), ("w2", "C", 20_000)];
    let sites = stores.map(|(s, z, c)| site(s, z, "near", c, StateFact::Listed)).to_vec();
    world.apply(0, Command::Sites { sites });
    let map = vec![held(0, 0, 10, &["x", "y", "w"], 18_000)];
    world.apply(0, Command::Map { at: Version(1), from: 0, to: 1, hash: 1, held: map, gone: vec![] });
    let x = book(&mut world, 0, &["x"], 0, 10);
    let y = book(&mut world, 0, &["y"], 0, 10);
    for id in [x, y] {
        taken(world.apply(0, Command::Begin { at: Version(4), id }));
    }
    let mut keeper = Keeper::new(Settings { ask_ms: 5, hold_ms: 50 });
    // Its time is over too, and it is not warm yet.
    let is = |state| Command::Sites { sites: vec![site("y", "B", "near", 10_000, state)] };
    world.apply(9, is(StateFact::Cold(100)));
    let held = Event::Held { id: x, zone: "A".into() };
    let cold = Event::Late { id: y, cold: vec!["y".into()] };
    assert_eq!(keeper.tick(10, &world.record, true), [Action::Say(held), Action::Say(cold)]);
    world.apply(19, is(StateFact::Listed));
    assert_eq!(keeper.tick(20, &world.record, true), [Action::Propose(Command::End { id: y })]);
    let late = Keeper::new(Settings { ask_ms: 5, hold_ms: 10 }).tick(20, &world.record, true);
    assert!(late.contains(&Action::Propose(Command::End { id: x })), "{late:?}");
    world.apply(21, Command::End { id: y });
    assert_eq!(keeper.tick(21, &world.record, true), [Action::Propose(Command::End { id: x })]);
}

/// One day of a fleet: what each kind of command came to.
fn day(seed: u64, counts: &mut BTreeMap<&'static str, u32>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = World::new();
    let mut keepers =
        [Keeper::new(Settings { ask_ms: 5, hold_ms: 50 }), Keeper::new(Settings { ask_ms: 5, hold_ms: 50 })];
    let mut under_way: Vec<(u64, Command)> = Vec::new();
    let mut decides = 0;
    for now in 1..1200_u64 {
        // From 600 on nobody books, dies or is lost: all that was booked comes to an end.
        let busy = now < 600;
        if busy && rng.u32(0..20) == 0 {
            decides = rng.usize(0..2);
        }
        if busy && rng.u32(0..15) == 0 {
            // Both operators have seen the same version.
            for _ in 0..2 {
                let stores: Vec<String> =
                    (0..6).filter(|_| rng.u32(0..3) == 0).map(|s| format!("s{s}")).collect();
                let stores: Vec<&str> = stores.iter().map(String::as_str).collect();
                let plan = plan(&stores, now + rng.u64(0..60), rng.u64(5..60), least(1, rng.u32(1..=2)));
                under_way.push((now + rng.u64(0..4), Command::Book { at: world.record.version(), plan }));
            }
        }
        for store in 0..6 {
            let name = format!("s{store}");
            let (known, window) = world.record.site(&name).unwrap();
            let next = match (known.state, window.is_some()) {
                (StateFact::Listed, true) if busy && rng.u32(0..4) == 0 => StateFact::Gone,
                (StateFact::Listed, false) if busy && rng.u32(0..150) == 0 => StateFact::Gone,
                (StateFact::Gone, _) if rng.u32(0..20) == 0 => StateFact::Cold(300),
                (StateFact::Cold(_), _) if rng.u32(0..5) == 0 => StateFact::Listed,
                _ => continue,
            };
            world.apply(now, Command::Sites { sites: vec![fact(store, next)] });
        }
        for (n, keeper) in keepers.iter_mut().enumerate() {
            for action in keeper.tick(now, &world.record, n == decides) {
                match action {
                    Action::Propose(_) if busy && rng.u32(0..5) == 0 => {
                        *counts.entry("lost").or_default() += 1
                    }
                    Action::Propose(command) => under_way.push((now + rng.u64(0..4), command)),
                    Action::Say(Event::PutOff { .. }) => *counts.entry("put off").or_default() += 1,
                    Action::Say(Event::Passed { .. }) => *counts.entry("passed").or_default() += 1,
                    Action::Say(Event::Held { .. }) => *counts.entry("held").or_default() += 1,
                    Action::Say(Event::Late { .. }) => *counts.entry("late").or_default() += 1,
                }
            }
        }
        let (arrived, rest) = under_way.into_iter().partition(|(at, _)| *at <= now);
        under_way = rest;
        let arrived: Vec<(u64, Command)> = arrived;
        for (_, command) in arrived {
            let bookings: BTreeMap<BookingId, Plan> =
                world.record.bookings().map(|(id, plan, _)| (id, plan.clone())).collect();
            match &command {
                Command::Begin { id, .. } if bookings.contains_key(id) => {
                    assert!(bookings[id].from_unix_ms <= now, "seed {seed}: {id:?} begun early");
                }
                Command::End { id } if bookings.contains_key(id) => {
                    assert!(bookings[id].end_unix_ms() <= now, "seed {seed}: {id:?} ended early");
                }
                _ => (),
            }
            let kind = match (&command, world.apply(now, command.clone())) {
                (Command::Book { .. }, Answer::Taken { .. }) => "booked",
                (Command::Book { .. }, _) => "not booked",
                (Command::Begin { .. }, Answer::Taken { .. }) => "begun",
                (Command::Begin { .. }, _) => "not begun",
                _ => "over",
            };
            *counts.entry(kind).or_default() += 1;
        }
    }
    assert_eq!(
        world.record.bookings().count(),
        0,
        "seed {seed}: {:?}",
        world.record.bookings().collect::<Vec<_>>()
    );
    let called = world.log.iter().filter_map(|(_, _, answer)| match answer {
        Answer::Taken { notes, .. } => Some(notes),
        _ => None,
    });
    let called = called.flatten().filter(|note| matches!(note, Note::CalledBack { .. })).count();
    *counts.entry("called back").or_default() += called as u32;
}

#[test]
fn no_bookings_leave_a_range_short_whoever_books_dies_or_takes_over() {
    let mut counts = BTreeMap::new();
    for seed in 0..60 {
        day(seed, &mut counts);
    }
    println!("{counts:?}");
    for kind in ["booked", "not booked", "begun", "over", "put off", "passed", "late", "called back", "lost"]
    {
        assert!(counts.get(kind).is_some_and(|count| *count > 20), "{kind}: {counts:?}");
    }
}
