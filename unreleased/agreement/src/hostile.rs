//! Tests that need to know the messages: what is said is on the disk by then, and peers that lie in good form fell nobody.
#![allow(clippy::unwrap_used, clippy::expect_used)]

#[path = "../tests/world/mod.rs"]
mod world;

use world::{bounds, Node, Weather, World};

use crate::frame::{decode, Snap, Standing};
use crate::store::Store;
use crate::wire::{self, Plain, Wire};
use crate::VoterId;

/// A2: the disk, as a crash right now would leave it, holds whatever this message promises.
fn kept(node: &Node, to: VoterId, bytes: &[u8]) {
    let (records, _) = decode(node.disk().bytes()).unwrap();
    let (head, store) = Store::replay(records).unwrap();
    let hard = &store.hard;
    match wire::decode(bytes).unwrap() {
        Wire::Ask { inc } | Wire::Fresh { inc, .. } | Wire::Founded { inc, .. } => {
            assert_eq!(inc, head.incarnation)
        }
        Wire::Confirm { inc, .. } => {
            assert_eq!((inc, head.standing), (head.incarnation, Standing::Fresh { awaiting: true }));
        }
        Wire::Challenge { .. } => {}
        Wire::Restore { snap, .. } => assert!(snap.index <= store.last()),
        Wire::Raft { message, .. } => {
            assert!(
                matches!(head.standing, Standing::Voting { .. }),
                "it speaks, and is no voter after a crash"
            );
            let (kind, last) = (message.kind, message.index + message.entries.len() as u64);
            // Pre-votes speak of the next term, and bind nobody.
            assert!(message.term <= hard.term || matches!(kind, 4 | 5), "term {} of {message:?}", hard.term);
            match kind {
                0 => assert!(store.last() >= last, "entries sent that are not kept: {message:?}"),
                1 if !message.reject => {
                    assert!(store.last() >= message.index, "acknowledged and not kept: {message:?}")
                }
                2 => assert_eq!(hard.vote, head.id, "its own vote: {message:?}"),
                3 if !message.reject => {
                    assert_eq!((hard.term, hard.vote), (message.term, to.0), "its vote: {message:?}")
                }
                _ => {}
            }
        }
    }
}

#[test]
fn nothing_is_said_that_is_not_kept() {
    for seed in 0..24 {
        let mut world = World::new([3, 5][(seed % 2) as usize], seed, bounds());
        world.audit = Some(kept);
        world.weather = Weather { lost: 0.05, twice: 0.1, delay_most: 200.0 };
        for round in 0..60 {
            let who = world.leader().unwrap_or(0);
            world.propose(who);
            let span = 100.0 * world.rng.f64();
            world.run(span);
            if round % 6 == 5 {
                let count = world.count();
                let other = world.rng.usize(..count);
                match world.rng.bool() {
                    true => drop(world.lose_disk(other)),
                    false => world.crash(other),
                }
                world.reopen_later(other, 100.0);
            }
        }
    }
}

fn near(rng: &mut fastrand::Rng, of: u64) -> u64 {
    match rng.u32(..8) {
        0 => 0,
        1 => u64::MAX,
        2 => 1 << 62,
        3 => rng.u64(..),
        _ => (of + rng.u64(..6)).saturating_sub(3),
    }
}

/// A message in good form, with numbers near those in force.
fn lie(rng: &mut fastrand::Rng, term: u64, applied: u64) -> Wire {
    let bytes = |rng: &mut fastrand::Rng, most: usize| {
        let length = rng.usize(..most);
        (0..length).map(|_| rng.u8(..)).collect::<Vec<u8>>()
    };
    let snap = |rng: &mut fastrand::Rng| {
        let table = std::collections::BTreeMap::from([(rng.u64(1..4), (rng.u64(..3), rng.u64(..3)))]);
        let seen: Vec<(u64, Vec<u8>)> = Vec::new();
        let whole = postcard::to_stdvec(&(table, postcard::to_stdvec(&seen).unwrap())).unwrap();
        let data = if rng.bool() { whole } else { bytes(rng, 40) };
        Snap { index: near(rng, applied), term: near(rng, term), data }
    };
    match rng.u32(..12) {
        0 => Wire::Ask { inc: rng.u64(..3) },
        1 => Wire::Fresh { inc: rng.u64(..), to: rng.u64(..) },
        2 => Wire::Confirm { inc: rng.u64(..3), nonce: rng.u64(..) },
        3 => Wire::Restore {
            to: rng.u64(..),
            generation: rng.u64(..3),
            term: near(rng, term),
            snap: snap(rng),
        },
        _ => {
            let entries = (0..rng.usize(..4)).map(|_| (near(rng, term), bytes(rng, 40))).collect();
            let message = Plain {
                kind: rng.u8(..12),
                term: if rng.u32(..3) > 0 { term } else { near(rng, term) },
                log_term: near(rng, term),
                index: near(rng, applied),
                entries: if rng.bool() { entries } else { Vec::new() },
                commit: near(rng, applied),
                commit_term: near(rng, term),
                snapshot: (rng.u32(..3) == 0).then(|| snap(rng)),
                reject: rng.bool(),
                reject_hint: near(rng, applied),
                context: if rng.u32(..4) == 0 { bytes(rng, 40) } else { Vec::new() },
            };
            Wire::Raft { generation: near(rng, 0), message }
        }
    }
}

#[test]
fn liars_in_good_form_fell_nobody() {
    let mut taken = 0;
    for seed in 0..120 {
        let mut world = World::new(3, seed, bounds());
        world.run(1_500.0);
        world.liars = true;
        for _ in 0..400 {
            let (to, from) = (world.rng.usize(..3), world.rng.usize(..3));
            let (term, applied) = world.node(to).map_or((0, 0), |node| (node.term(), node.applied()));
            let lie = lie(&mut world.rng, term, applied);
            taken += u64::from(world.garbage(to, from, wire::encode(&lie)).is_some());
            if world.rng.u32(..8) == 0 {
                let who = world.leader().unwrap_or(to);
                world.propose(who);
                world.run(15.0);
            }
        }
    }
    assert!(taken > 40_000, "{taken}");
}

#[test]
fn bytes_that_are_no_message_are_dropped() {
    fn holds(noise: Vec<u8>, at: usize, bit: u8, seed: u64) -> bool {
        let mut world = World::new(3, seed % 8, bounds());
        world.liars = true;
        world.run(600.0);
        let before = world.standing();
        world.garbage(0, 1, noise);
        let sent = world.sent.clone();
        for whole in sent.iter().skip(at % 50).step_by(50) {
            let mut changed = whole.clone();
            let at = at % changed.len();
            changed[at] ^= 1 << (bit % 8);
            world.garbage(0, 1, changed);
            world.garbage(0, 1, whole[..at].to_vec());
        }
        world.standing() == before
    }
    quickcheck::QuickCheck::new().tests(200).quickcheck(holds as fn(Vec<u8>, usize, u8, u64) -> bool);
}

#[test]
fn a_flood_costs_a_bounded_amount() {
    let mut world = World::new(3, 5, bounds());
    world.until(3_000.0, |world| world.leader().is_some());
    world.run(500.0);
    world.liars = true;
    let leader = world.leader().unwrap();
    let term = world.node(leader).unwrap().term();
    let from = (leader + 1) % 3;
    let before = world.node(leader).unwrap().log_bytes();
    let entries = |number: u64| vec![(0, number.to_le_bytes().to_vec())];
    for number in 0..20_000u64 {
        let read = Plain { kind: 9, entries: entries(number), ..Plain::default() };
        let response = Plain { kind: 1, term, reject: true, ..Plain::default() };
        for wire in [
            Wire::Ask { inc: number },
            Wire::Confirm { inc: number, nonce: number },
            Wire::Raft { generation: 0, message: read },
            Wire::Raft { generation: 0, message: response },
        ] {
            let caused = world.garbage(leader, from, wire::encode(&wire)).expect("it lives");
            assert!(caused <= 4, "{caused} actions for {wire:?}");
        }
        assert!(world.garbage(leader, from, vec![1; 100]).expect("it lives") == 0);
    }
    assert!(world.node(leader).unwrap().pending_reads() <= 12);
    assert!(world.node(leader).unwrap().log_bytes() <= before + 64);
    let long = vec![1; world.node(leader).unwrap().message_most() + 1];
    assert_eq!(world.garbage(leader, from, long), Some(0));
}
