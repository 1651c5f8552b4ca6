//! The promise of `discovery/watching.rs`: whatever became of the calls before, what discovery has while it can be reached
//! is in hand 6 s later, less a margin; and the calls of a whole fleet stay as few as that lets them. In virtual time over
//! drawn failures and 1 to 300 brokers, and over sockets.
#![allow(clippy::unwrap_used)]

mod fleet;
mod sockets;

use fastrand::Rng;
use fleet::{Micros, Mood, Open, Phase, Play, FAULTS, MS, S};

/// Failures in any order, among them times at which discovery serves and what is open is reset or falls silent.
fn drawn(seed: u64) -> (u32, Vec<Phase>, Vec<Micros>, Micros) {
    let mut rng = Rng::with_seed(seed);
    let brokers = match rng.u8(..10) {
        0 => 300,
        1..5 => rng.u32(1..300),
        _ => rng.u32(1..12),
    };
    let (mut phases, mut changes, mut at) = (Vec::new(), Vec::new(), 0);
    for n in 0..rng.usize(4..30) {
        let mood = if rng.u8(..3) == 0 { Mood::Serves } else { FAULTS[rng.usize(..FAULTS.len())] };
        let open = if rng.bool() { Open::Silent } else { Open::Reset };
        phases.push(Phase { from: at, mood, open });
        // By the end of the first each has called once: before that none has failed.
        let longest = if rng.bool() { 3 * S } else { 20 * S };
        let lasts = if n == 0 { 8 * S } else { rng.u64(50 * MS..longest) };
        changes.extend((0..rng.usize(..4)).map(|_| at + rng.u64(..lasts)));
        at += lasts;
    }
    phases.push(Phase { from: at, mood: Mood::Serves, open: Open::Silent });
    changes.push(at.saturating_sub(1));
    changes.sort_unstable();
    changes.dedup();
    (brokers, phases, changes, at + 10 * S)
}

#[test]
fn after_any_sequence_of_failures_the_newest_list_is_in_hand_in_time() {
    for seed in 0..250 {
        let (brokers, phases, changes, end) = drawn(seed);
        let mut play = Play::new(seed, brokers, phases, changes);
        play.run(end);
        play.told_in_time(&format!("seed {seed}"));
    }
}

/// A watch that falls silent, a dial that hangs, a refusal, a reset, a list cut short, and so on: each but once a call.
#[test]
fn a_chain_in_which_each_call_fails_in_another_way_ends_in_time() {
    for seed in 0..40 {
        for brokers in [1, 7, 300] {
            let mut rng = Rng::with_seed(seed);
            let mut phases = vec![Phase { from: 0, mood: Mood::Serves, open: Open::Silent }];
            let mut at = 12 * S;
            for _ in 0..3 {
                let mut moods = FAULTS;
                rng.shuffle(&mut moods);
                for mood in moods {
                    phases.push(Phase { from: at, mood, open: Open::Silent });
                    at += rng.u64(S..5 * S);
                }
            }
            phases.push(Phase { from: at, mood: Mood::Serves, open: Open::Reset });
            let mut play = Play::new(seed, brokers, phases, vec![at - 1, at + S]);
            play.run(at + 10 * S);
            play.told_in_time(&format!("seed {seed}"));
        }
    }
}

#[test]
fn while_all_calls_fail_a_fleet_calls_evenly_and_as_seldom_as_the_promise_lets_it() {
    for mood in FAULTS {
        for brokers in [1, 3, 30, 100, 300] {
            for open in [Open::Reset, Open::Silent] {
                let phases = vec![
                    Phase { from: 0, mood: Mood::Serves, open },
                    Phase { from: 20 * S, mood, open },
                    Phase { from: 140 * S, mood: Mood::Serves, open },
                ];
                let mut play = Play::new(7, brokers, phases, vec![30 * S]);
                play.run(150 * S);
                let what = format!("{mood:?}, {brokers} brokers, {open:?}");
                play.told_in_time(&what);
                let standing = play.calls(12 * S, 20 * S).1;
                assert_eq!(standing, 0, "{what}: who has a watch calls nobody");
                // At first each calls three or four times in 8 s, at the most once in any second; fewer than 100, that call
                // more often, seven times, and three times in a second.
                let (most, all) = play.calls(20 * S, 28 * S);
                let often = if brokers < 100 { 3 } else { 1 };
                assert!(most <= often * brokers as usize, "{what}: {most} in a second at first");
                let few = if brokers < 100 { 7 * brokers } else { brokers * 7 / 2 };
                assert!(all <= few as usize, "{what}: {all} at first");
                // Then once a period.
                let (most, all) = play.calls(40 * S, 140 * S);
                // A period is 4 s, or 40 ms for each, but 1.5 s at least.
                let period = (f64::from(brokers) * 0.04).clamp(1.5, 4.0);
                assert!(all as f64 <= (100.0 / period + 1.0) * f64::from(brokers), "{what}: {all} in 100 s");
                let even = (brokers as usize).div_ceil(4).max(25.min(brokers as usize));
                assert!(most <= even + even / 2 + 1, "{what}: {most} in a second, {even} would be even");
                // And all come back within one.
                let (most, all) = play.calls(140 * S, 150 * S);
                assert!(all <= 2 * brokers as usize, "{what}: {all} at the return");
                assert!(most <= 3 * even + 1, "{what}: {most} in a second at the return");
            }
        }
    }
}

/// SIGHUP reaches all at once, be the watches open, silent or being asked for, and the new address can be reached.
#[test]
fn a_fleet_that_is_told_of_another_address_does_not_call_at_once_and_hears_it_in_time() {
    for open in [Open::Reset, Open::Silent] {
        for after in [0, 500 * MS, 3 * S, 4 * S, 5 * S] {
            let phases = vec![
                Phase { from: 0, mood: Mood::Serves, open },
                Phase { from: 20 * S, mood: Mood::Unanswered, open },
                Phase { from: 20 * S + after, mood: Mood::Serves, open },
            ];
            let mut play = Play::new(3, 300, phases, vec![20 * S + after]);
            play.run(20 * S + after + 1);
            play.moved();
            play.run(20 * S + after + 10 * S);
            play.told_in_time(&format!("{open:?}, {after}"));
            let (most, all) = play.calls(20 * S + after + 1, 30 * S + after);
            // One each; a call that went out in the same instant was left.
            assert!(all <= 302 && most <= 302, "{open:?}, {after}: {all}");
            let tenth = play.calls(20 * S + after + 1, 20 * S + after + 100 * MS).1;
            assert!(tenth <= 60, "{open:?}, {after}: {tenth} in the first tenth of a second");
        }
    }
}
