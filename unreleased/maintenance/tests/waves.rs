//! Waves held against brute force, and against their lower bound.

#![allow(clippy::unwrap_used)]

mod world;

use std::collections::BTreeSet;

use gingerledge_coverage::*;
use gingerledge_maintenance::*;
use world::*;

fn away(coverage: &Coverage, stores: &[Store], least: &Requirements) -> Result<(), Counterexample> {
    let proposal = Proposal { excluded_stores: stores.iter().copied().collect(), ..Proposal::default() };
    coverage.check(&proposal, least)
}

/// The fewest waves by trying each store in each wave so far and in a new one.
fn brute(
    coverage: &Coverage,
    left: &[Store],
    least: &Requirements,
    waves: &mut Vec<Vec<Store>>,
    best: &mut usize,
) {
    let Some((store, rest)) = left.split_first() else {
        if waves.iter().all(|wave| away(coverage, wave, least).is_ok()) {
            *best = waves.len().min(*best);
        }
        return;
    };
    for n in 0..waves.len() {
        waves[n].push(*store);
        brute(coverage, rest, least, waves, best);
        waves[n].pop();
    }
    if waves.len() + 1 < *best {
        waves.push(vec![*store]);
        brute(coverage, rest, least, waves, best);
        waves.pop();
    }
}

/// Fleets with a goal, of which some sets are small enough for brute force.
fn small(seed: u64) -> (Coverage, Requirements, BTreeSet<Store>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let coverage =
        fleet(seed, rng.u32(6..12), rng.u16(2..5), rng.u32(4..16), (2, 5), 0.55 * rng.f64(), false);
    let least = Requirements { holders: 1, zones: rng.u32(1..=2), headroom: 0.3 * rng.f64() };
    let set = coverage.sites().map(|site| site.store).filter(|_| rng.u32(0..4) > 0).take(7).collect();
    (coverage, least, set)
}

#[test]
fn small_sets_take_as_few_waves_as_brute_force_finds_and_no_bound_lies_above() {
    let (mut told, mut several) = (0, 0);
    for seed in 0..300 {
        let (coverage, least, set) = small(seed);
        let Ok(found) = waves(&coverage, &set, &least, &Effort::default()) else { continue };
        let mut best = usize::MAX;
        let stores: Vec<Store> = set.iter().copied().collect();
        brute(&coverage, &stores, &least, &mut Vec::new(), &mut best);
        assert_eq!(found.waves.len(), best, "seed {seed}");
        assert!(found.exact);
        // The heuristic finds no fewer, and its bound is none above the best.
        let effort = Effort { exact_most: 0, ..Effort::default() };
        let fitted = waves(&coverage, &set, &least, &effort).unwrap();
        assert!(
            fitted.at_least <= best && best <= fitted.waves.len(),
            "seed {seed}: {fitted:?}, best {best}"
        );
        assert!(!fitted.exact || fitted.waves.len() == best, "seed {seed}");
        for wave in found.waves.iter().chain(&fitted.waves) {
            away(&coverage, wave, &least).unwrap();
        }
        told += 1;
        several += usize::from(best > 1);
    }
    assert!(told > 100 && several > 50, "{told} fleets, {several} with several waves");
}

#[test]
fn holders_and_zones_are_closed_downward_and_room_is_not() {
    for seed in 0..200 {
        let (coverage, mut least, set) = small(seed);
        least.headroom = 0.0;
        let mut rng = fastrand::Rng::with_seed(seed);
        let part: BTreeSet<Store> = set.iter().copied().filter(|_| rng.bool()).collect();
        if remains(&coverage, &set, &least) {
            assert!(remains(&coverage, &part, &least), "seed {seed}");
        }
        // Coverage says no other: short of holders or zones by brute force is refused.
        for set in [&set, &part] {
            let stores: Vec<Store> = set.iter().copied().collect();
            let checked = away(&coverage, &stores, &least);
            assert!(checked.is_err() || remains(&coverage, set, &least), "seed {seed}");
        }
    }
    // What store 0 drew falls on store 1 alone nearly whole, and zone 1 has no room; with both away it falls where there is room.
    let mut coverage = Coverage::new(Bounds::default());
    for (store, zone, capacity) in [(0, 0, 10.0), (1, 1, 10.0), (2, 2, 1.0), (3, 2, 20.0)] {
        let (store, zone, region) = (Store(store), Zone(zone), Region(0));
        coverage.set_site(Site { store, zone, region, capacity, state: State::Listed }).unwrap();
    }
    let holders = vec![Store(0), Store(1), Store(2)];
    coverage
        .set_block(BlockAssignment { block: Block(0), keys: KeyRange::new(0, 1), holders, load: 18.0 })
        .unwrap();
    let least = Requirements { holders: 1, zones: 1, headroom: 0.0 };
    assert!(away(&coverage, &[], &least).is_ok());
    let one = away(&coverage, &[Store(0)], &least).unwrap_err();
    assert!(matches!(one.shortage, Shortage::Capacity { zone: Zone(1), .. }), "{one:?}");
    assert!(away(&coverage, &[Store(0), Store(1)], &least).is_ok());
}

#[test]
fn a_store_that_can_not_go_is_named_with_its_range() {
    let mut coverage = fleet(1, 6, 3, 6, (3, 3), 0.1, true);
    let lone =
        BlockAssignment { block: Block(9), keys: KeyRange::new(60, 65), holders: vec![Store(4)], load: 0.0 };
    coverage.set_block(lone).unwrap();
    let least = Requirements { holders: 1, zones: 1, headroom: 0.0 };
    let set = (0..6).map(Store).collect();
    let Err(NoWaves::Alone { store, example }) = waves(&coverage, &set, &least, &Effort::default()) else {
        panic!("expected a store that can't go");
    };
    assert_eq!((store, example.block), (Store(4), Some(Block(9))));
}

#[test]
fn fifty_large_fleets_come_near_their_bound_and_the_same_for_a_seed() {
    let (mut sum, mut bound, mut met, mut most) = (0, 0, 0, 0);
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let stores = rng.u32(60..=200);
        let coverage = fleet(seed, stores, 4, stores * 2, (3, 4), 0.3, true);
        let least = Requirements { holders: 2, zones: 1 + u32::from(rng.bool()), headroom: 0.1 };
        let set: BTreeSet<Store> = (0..stores).map(Store).collect();
        let effort = Effort { seed, restarts: 8, ..Effort::default() };
        let found = waves(&coverage, &set, &least, &effort).unwrap();
        assert_eq!(found.waves.iter().map(Vec::len).sum::<usize>(), set.len());
        assert_eq!(found.waves.iter().flatten().copied().collect::<BTreeSet<_>>(), set);
        for wave in &found.waves {
            away(&coverage, wave, &least).unwrap();
            assert!(remains(&coverage, &wave.iter().copied().collect(), &least), "seed {seed}");
        }
        if seed < 5 {
            assert_eq!(waves(&coverage, &set, &least, &effort).unwrap(), found, "seed {seed}");
        }
        (sum, bound) = (sum + found.waves.len(), bound + found.at_least);
        met += usize::from(found.exact);
        most = most.max(found.waves.len() - found.at_least);
    }
    println!("waves {sum}, lower bounds {bound}, met by {met} of 50, {most} above at most");
    assert!(sum * 2 <= bound * 3, "waves {sum}, bounds {bound}");
}
