//! The crossings of the worst days, forced: a minority cut off for twenty seconds, a second loss right after a repair with all power
//! gone, and members that missed hundreds of entries. With one and with two disks to be lost at once. What was acknowledged, and what
//! reads and ticks may show, is judged by the ledger at every step.

mod world;

use std::time::Duration;

use gingerledge_chain::MemberId;
use world::{millis, Shape, World};
use yare::parameterized;

const THREE: Shape = Shape { fault_tolerance: 1, founders: 3, places: 3 };
const FIVE: Shape = Shape { fault_tolerance: 2, founders: 5, places: 5 };
const SEEDS: std::ops::Range<u64> = 0..25;
/// A machine counts as lost for so long after it is back.
const CATCH_UP: Duration = Duration::from_secs(5);

/// A group that has been at work for a while.
fn calm(seed: u64, shape: Shape) -> World {
    let mut world = World::new(seed, shape);
    world.run(Duration::from_secs(3));
    assert!(world.ledger.acknowledgements > 0, "seed {seed}");
    world
}

fn chain_of(world: &World) -> Vec<MemberId> {
    world.newest_view().map(|members| members.chain.clone()).unwrap_or_default()
}

/// Whether the disks that are there now are all in the chain, and hold everything.
fn is_whole(world: &World) -> bool {
    let chain = chain_of(world);
    world.hosts.iter().all(|host| {
        let serves = host.process.as_ref().is_some_and(|process| process.chain.is_serving());
        chain.contains(&host.identity) && serves && host.is_running(world.now)
    })
}

/// Whether writes are acknowledged now.
fn goes_on(world: &mut World) -> bool {
    let before = world.ledger.acknowledgements;
    world.run(Duration::from_secs(1));
    world.ledger.acknowledgements > before
}

/// As many places as may be lost at once, from one on.
fn some_places(world: &World, first: usize) -> Vec<usize> {
    let places = world.shape.places;
    (0..world.shape.fault_tolerance).map(|offset| (first + offset) % places).collect()
}

/// Point 1.
#[parameterized(
    head_of_three = { THREE, 0 },
    tail_of_three = { THREE, 2 },
    head_of_five = { FIVE, 0 },
    tail_of_five = { FIVE, 3 },
)]
fn a_minority_cut_off_for_twenty_seconds_completes_and_shows_nothing(shape: Shape, position: usize) {
    for seed in SEEDS {
        let mut world = calm(seed, shape);
        let chain = chain_of(&world);
        let cut_off: Vec<usize> = (position..position + shape.fault_tolerance)
            .map(|position| world.place_of(chain[position]).expect("a place"))
            .collect();
        for &alone in &cut_off {
            for other in (0..shape.places).filter(|other| !cut_off.contains(other)) {
                world.cut.insert((alone, other));
                world.cut.insert((other, alone));
            }
        }
        world.run(millis(300));
        let before: Vec<u64> = cut_off.iter().map(|place| world.hosts[*place].applied()).collect();
        let (done, acknowledged) = (world.ledger.reads_done, world.ledger.acknowledgements);
        for _ in 0..100 {
            for &alone in &cut_off {
                world.submit(alone);
                world.read(alone);
            }
            world.run(millis(200));
        }
        let after: Vec<u64> = cut_off.iter().map(|place| world.hosts[*place].applied()).collect();
        assert_eq!(after, before, "seed {seed}: applied while cut off");
        assert!(world.ledger.acknowledgements > acknowledged + 100, "seed {seed}: the others stand still");
        assert!(world.ledger.reads_done > done, "seed {seed}: the others read nothing");
        world.heal();
        world.run(CATCH_UP);
        assert!(is_whole(&world), "seed {seed}: {:?}", world.newest_view());
    }
}

/// Point 3: as many disks as are borne, again and again as soon as the group is whole, each time with all other power gone.
#[parameterized(three = { THREE }, five = { FIVE })]
fn losses_right_after_each_repair_lose_nothing(shape: Shape) {
    for seed in SEEDS {
        let mut world = calm(seed, shape);
        for round in 0..4 {
            let first = world.rng.usize(..shape.places);
            let wiped = some_places(&world, first);
            for place in 0..shape.places {
                match wiped.contains(&place) {
                    true => world.wipe_anyway(place),
                    false => {
                        let back = millis(world.rng.u64(200..1_500));
                        world.kill(place, back);
                    }
                }
            }
            // The next losses come as soon as it is whole again, at the latest after the time to catch up.
            let mut waited = Duration::ZERO;
            while !is_whole(&world) {
                assert!(waited < CATCH_UP + millis(1_500), "seed {seed}, round {round}: not whole again");
                world.run(millis(20));
                waited += millis(20);
            }
        }
        assert!(goes_on(&mut world), "seed {seed}: nothing is committed any more");
    }
}

/// Point 4: those who were away are then all that is left but for one.
#[parameterized(three = { THREE }, five = { FIVE })]
fn members_that_missed_hundreds_of_entries_catch_up_and_lead(shape: Shape) {
    for seed in SEEDS {
        let mut world = calm(seed, shape);
        world.clients_every = millis(4);
        let first = world.rng.usize(..shape.places);
        let away = some_places(&world, first);
        let before = world.ledger.acknowledged;
        for &place in &away {
            world.kill(place, Duration::from_secs(10));
        }
        world.run(Duration::from_secs(10));
        let missed = world.ledger.acknowledged - before;
        assert!(missed > 300, "seed {seed}: only {missed} entries");
        world.run(CATCH_UP);
        assert!(is_whole(&world), "seed {seed}: {:?}", world.newest_view());
        let stayed = (0..shape.places).filter(|place| !away.contains(place));
        for place in stayed.take(shape.fault_tolerance).collect::<Vec<_>>() {
            world.kill(place, Duration::from_secs(3600));
        }
        world.run(Duration::from_secs(4));
        assert!(goes_on(&mut world), "seed {seed}: nothing is committed without the others");
        let newest = world.ledger.acknowledged;
        for &place in &away {
            let applied = world.hosts[place].applied();
            assert!(applied + 50 > newest, "seed {seed}: {applied} of {newest}");
        }
    }
}
