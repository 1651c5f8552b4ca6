//! Whose hands a cold store's budget is in, in virtual time, each crossing forced: all processes of a fleet use their whole part
//! again and again, and are killed, relieved, joined or told late in the middle of the ramp. What all of them send together stays
//! within N + 2 root N + 2 parts in any window, N being what the settings allow then.

mod common;

use common::fleet::{World, STEP_MS};
use common::{class, ready, settings, Rig};
use gingerledge_dispatch::{Class, Entry, Event, ListKind, Millis, Outcome, Settings};

const WORK_MS: Millis = 20.0;
/// The store that starts cold; the others teach what a part takes.
const COLD: usize = 0;
const STORES: usize = 13;
const FLEETS: [u32; 5] = [1, 3, 20, 30, 300];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Crossing {
    /// Every process is killed, and a new one takes its place at once.
    Killed,
    /// Every process is told to end, and a new one serves beside it.
    Relieved,
    /// A second process serves beside every one, and both are told.
    Joined,
}

fn set(aggregators: u32) -> Settings {
    let mut set = settings(STORES as u32, 1, STORES as u32);
    (set.aggregators, set.index) = (aggregators, Some(0));
    set.classes = vec![Class { deadline_ms: 1000.0, latency_target_ms: 4000.0, ..class() }];
    set
}

/// Asks the warm stores for a part each, spread over a second, so that every process knows what one takes.
fn teach(world: &mut World, sides: &[usize], since: Millis) {
    let from = (sides.len() as f64 * since / 1000.0) as usize;
    let to = (sides.len() as f64 * (since + STEP_MS) / 1000.0) as usize;
    for (n, &side) in sides.iter().enumerate().take(to).skip(from) {
        world.ask(side, 0, None, &[1 + n as u32 % (STORES as u32 - 1)]);
    }
}

/// The most by which any window passes the rule's figure, in parts, and how many were sent after the crossing.
fn play(aggregators: u32, crossing: Crossing, crosses_at: Millis) -> (f64, usize) {
    let mut world = World::new(3 + u64::from(aggregators), set(aggregators), &[WORK_MS], STORES);
    let starts_at = 3000.0;
    let mut serving: Vec<usize> = (0..aggregators as usize).collect();
    let mut old: Vec<usize> = Vec::new();
    while world.now < starts_at + world.set.warm_up_ms {
        let since = world.now - starts_at;
        if world.now == 2000.0 {
            world.stop(COLD);
        } else if since == 0.0 {
            world.start(COLD);
            serving.iter().for_each(|&side| world.tell(side, COLD));
        }
        if since == crosses_at {
            old = serving.clone();
            serving = old.iter().map(|&side| world.another(side)).collect();
            for (&old, &new) in old.iter().zip(&serving) {
                match crossing {
                    Crossing::Killed => world.kill(old),
                    Crossing::Relieved => world.hear(old, Event::Leaving),
                    Crossing::Joined => {
                        let count = 2 * aggregators;
                        [old, new].iter().for_each(|&side| world.hear(side, Event::Aggregators { count }));
                    }
                }
            }
        }
        let learns = if since >= crosses_at { since - crosses_at } else { world.now };
        teach(&mut world, &serving, learns);
        // Everybody wants to send it all that it may.
        let everybody = serving.iter().chain(if crossing == Crossing::Killed { &[] } else { &old[..] });
        let everybody: Vec<usize> = everybody.copied().collect();
        for (n, side) in everybody.into_iter().enumerate() {
            let every = if aggregators > 100 { 400.0 } else { 200.0 };
            if since >= 0.0 && (since + n as f64 * STEP_MS) % every == 0.0 {
                let many = (60 / aggregators).max(1);
                (0..many).for_each(|_| world.ask(side, 0, None, &[COLD as u32]));
            }
        }
        world.step();
    }
    let sent: Vec<Millis> =
        world.sent.iter().filter(|sent| sent.told && sent.server == COLD).map(|s| s.at).collect();
    let over = sent.iter().enumerate().map(|(n, &at)| {
        let window =
            sent[..=n].iter().rev().take_while(|one| **one > at - world.set.overload_window_ms).count();
        let allowed =
            world.set.overload_factor * world.capacity(COLD, at) * world.set.overload_window_ms / WORK_MS;
        window as f64 - (allowed + 2.0 * allowed.sqrt() + 2.0)
    });
    let after = sent.iter().filter(|at| **at >= starts_at + crosses_at).count();
    (over.fold(f64::NEG_INFINITY, f64::max), after)
}

fn every(crossing: Crossing) {
    for aggregators in FLEETS {
        for crosses_at in [1000.0, 3000.0, 5000.0] {
            let (over, after) = play(aggregators, crossing, crosses_at);
            println!("{aggregators}, {crossing:?} at {crosses_at}: {over:.1} over, {after} sent after");
            assert!(over <= 0.0, "{aggregators}, {crossing:?} at {crosses_at}: {over:.1} over");
            assert!(after > 0, "{aggregators}, {crossing:?} at {crosses_at}: nothing sent after");
        }
    }
}

#[test]
fn a_fleet_killed_in_the_ramp_does_not_use_its_budget_twice() {
    every(Crossing::Killed);
}

#[test]
fn those_about_to_end_leave_the_budget_to_those_who_relieve_them() {
    every(Crossing::Relieved);
}

#[test]
fn two_processes_of_each_broker_share_its_part() {
    every(Crossing::Joined);
}

/// One of three that knows work of 100 ms: of 800 ms in a window two parts are its own.
fn one_of_three() -> Rig {
    let mut rig = Rig::new(settings(1, 1, 1), 1);
    rig.query(1, 0, &[0]);
    rig.now += 100.0;
    rig.end_from(0, Outcome::Success);
    rig.pass(2100.0);
    rig
}

fn told(rig: &mut Rig, since: Millis) {
    rig.list(ListKind::Changes, vec![Entry { since, ..ready(0) }]);
}

#[test]
fn what_was_sent_before_it_was_told_of_a_start_counts() {
    let mut rig = one_of_three();
    let since = rig.now;
    (2..4).for_each(|id| drop(rig.query(id, 0, &[0])));
    rig.now += 50.0;
    told(&mut rig, since);
    (4..14).for_each(|id| drop(rig.query(id, 0, &[0])));
    assert_eq!(rig.sent.len() - 1, 2);
}

#[test]
fn parts_sent_again_count() {
    let mut rig = one_of_three();
    let since = rig.now;
    told(&mut rig, since);
    (2..5).for_each(|id| drop(rig.query(id, 0, &[0])));
    let mut from = 1;
    while rig.now < since + 1900.0 {
        rig.now += 50.0;
        let sent = rig.sent.len();
        rig.end_from(from, Outcome::Overloaded);
        rig.pass(50.0);
        from = sent;
    }
    let sent = rig.sent.len() - 1;
    // It grows by 0.16 of its capacity meanwhile: 4 parts in the end.
    assert!((2..=4).contains(&sent), "{sent} sent to a server that turned all away");
    assert!(rig.sent.iter().any(|sent| sent.attempt > 0), "none was sent again");
}

#[test]
fn parts_whose_clients_left_count() {
    let mut rig = one_of_three();
    let since = rig.now;
    told(&mut rig, since);
    for id in 2..20 {
        rig.query(id, 0, &[0]);
        rig.event(Event::ClientGone { query: id });
        rig.turn();
    }
    assert_eq!(rig.sent.len() - 1, 2);
}

#[test]
fn second_copies_count() {
    // Two servers hold the shard; one is warm and falls silent, so that late parts get copies at the cold one.
    let mut rig = Rig::new(settings(1, 1, 1), 1);
    let cell = |server, since| Entry { server, cell: 0, since, ..ready(0) };
    rig.list(ListKind::Complete, vec![cell(0, 0.0), cell(1, 0.0)]);
    for id in 1..40 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0]);
        rig.now += 100.0;
        rig.end_from(from, Outcome::Success);
    }
    rig.list(ListKind::Changes, vec![cell(1, rig.now)]);
    let from = rig.sent.len();
    for id in 100..110 {
        rig.query(id, 0, &[0]);
        rig.pass(90.0);
    }
    let cold: Vec<_> = rig.sent[from..].iter().filter(|sent| sent.server == 1).collect();
    assert!(cold.iter().any(|sent| sent.attempt > 0), "no second copy went to it: {cold:?}");
    assert!(cold.len() <= 3, "{} sent, second copies among them", cold.len());
}
