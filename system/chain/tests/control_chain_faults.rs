//! One fault at a time against a control group, and what must hold after it.

mod world;

use std::time::Duration;

use gingerledge_chain::MemberId;
use world::{millis, Shape, World};

const THREE: Shape = Shape { fault_tolerance: 1, founders: 3, places: 3 };
const SEEDS: std::ops::Range<u64> = 0..40;

/// A group that has been at work for a while.
fn calm(seed: u64, shape: Shape) -> World {
    let mut world = World::new(seed, shape);
    world.run(Duration::from_secs(3));
    assert_eq!(world.newest_view().map(|members| members.epoch), Some(1), "seed {seed}");
    assert!(world.ledger.acknowledgements > 0, "seed {seed}");
    world
}

fn chain_of(world: &World) -> Vec<MemberId> {
    world.newest_view().map(|members| members.chain.clone()).unwrap_or_default()
}

#[test]
fn calm_groups_keep_their_first_view_and_answer_everything() {
    for seed in SEEDS {
        let mut world = calm(seed, THREE);
        world.run(Duration::from_secs(20));
        assert_eq!(world.newest_view().map(|members| members.epoch), Some(1), "seed {seed}");
        assert_eq!(world.ledger.reads_failed, 0, "seed {seed}");
        assert!(world.ledger.ticks > 3 * 4 * 15, "seed {seed}: {} ticks", world.ledger.ticks);
    }
}

#[test]
fn after_all_were_killed_and_are_back_within_a_second_the_view_goes_on() {
    for seed in SEEDS {
        let mut world = calm(seed, THREE);
        for place in 0..3 {
            let back = millis(world.rng.u64(200..600));
            world.kill(place, back);
        }
        world.run(millis(600));
        let acknowledged = world.ledger.acknowledgements;
        world.run(Duration::from_secs(1));
        assert!(world.ledger.acknowledgements > acknowledged, "seed {seed}: nothing is committed");
        world.run(Duration::from_secs(3));
        assert_eq!(world.newest_view().map(|members| members.epoch), Some(1), "seed {seed}");
    }
}

#[yare::parameterized(head = { 0 }, middle = { 1 }, tail = { 2 })]
fn without_one_member_writes_and_reads_go_on_within_two_seconds(position: usize) {
    for seed in SEEDS {
        let mut world = calm(seed, THREE);
        let lost = world.place_of(chain_of(&world)[position]).expect("a place");
        world.kill(lost, Duration::from_secs(3600));
        world.run(Duration::from_secs(2));
        let (acknowledged, reads) = (world.ledger.acknowledgements, world.ledger.reads_done);
        world.run(millis(500));
        assert!(world.ledger.acknowledgements > acknowledged, "seed {seed}: nothing is committed");
        assert!(world.ledger.reads_done > reads, "seed {seed}: nothing is read");
        assert_eq!(chain_of(&world).len(), 2, "seed {seed}");
    }
}

#[yare::parameterized(head = { 0 }, tail = { 2 })]
fn a_member_that_is_cut_off_completes_nothing(position: usize) {
    for seed in SEEDS {
        let mut world = calm(seed, THREE);
        let member = chain_of(&world)[position];
        let alone = world.place_of(member).expect("a place");
        for other in (0..3).filter(|other| *other != alone) {
            world.cut.insert((alone, other));
            world.cut.insert((other, alone));
        }
        // What was on its way before the cut has arrived or is lost.
        world.run(millis(300));
        let before = world.hosts[alone].applied();
        let failed = world.ledger.reads_failed;
        for _ in 0..20 {
            world.submit(alone);
            world.read(alone);
            world.run(millis(100));
        }
        world.run(Duration::from_secs(2));
        assert_eq!(world.hosts[alone].applied(), before, "seed {seed}: applied while cut off");
        assert!(world.ledger.reads_failed >= failed + 20, "seed {seed}: reads were answered while cut off");
        world.heal();
        world.run(Duration::from_secs(4));
        assert_eq!(chain_of(&world).len(), 3, "seed {seed}: not taken back");
    }
}

#[test]
fn a_member_whose_disk_stalls_is_left_out_and_comes_back() {
    for seed in SEEDS {
        let mut world = calm(seed, THREE);
        let place = world.rng.usize(..3);
        world.hosts[place].disk.stalled_until = world.now + Duration::from_secs(5);
        world.run(Duration::from_secs(3));
        let acknowledged = world.ledger.acknowledgements;
        world.run(Duration::from_secs(1));
        assert!(world.ledger.acknowledgements > acknowledged, "seed {seed}: nothing is committed");
        assert_eq!(chain_of(&world).len(), 2, "seed {seed}");
        world.run(Duration::from_secs(4));
        assert_eq!(chain_of(&world).len(), 3, "seed {seed}: not taken back");
    }
}

#[test]
fn a_lost_disk_is_replaced_by_the_new_identity_in_the_time_to_catch_up() {
    for seed in SEEDS {
        let mut world = calm(seed, THREE);
        let place = world.rng.usize(..3);
        let old = world.hosts[place].identity;
        world.wipe_anyway(place);
        world.run(Duration::from_secs(5));
        let members = world.newest_view().cloned().expect("a view");
        let new = world.hosts[place].identity;
        assert!(members.chain.contains(&new), "seed {seed}: {new:?} is not in {members:?}");
        assert!(!members.voters.contains(&old), "seed {seed}: {old:?} still votes in {members:?}");
        assert_eq!(members.voters.len(), 3, "seed {seed}");
    }
}

#[test]
fn a_spare_stands_by_and_votes_once_a_voter_is_gone() {
    let spare = Shape { places: 4, ..THREE };
    for seed in SEEDS {
        let mut world = calm(seed, spare);
        let fourth = world.hosts[3].identity;
        assert!(!world.newest_view().expect("a view").is_voter(fourth), "seed {seed}");
        world.run(Duration::from_secs(1));
        assert!(world.hosts[3].applied() > 0, "seed {seed}: the spare isn't fed");
        world.kill(1, Duration::from_secs(3600));
        world.run(Duration::from_secs(5));
        let members = world.newest_view().cloned().expect("a view");
        assert!(members.is_voter(fourth) && members.chain.contains(&fourth), "seed {seed}: {members:?}");
    }
}

#[test]
fn a_group_of_too_few_founders_grows_to_two_f_and_one_voters() {
    let growing = Shape { fault_tolerance: 2, founders: 3, places: 5 };
    for seed in SEEDS {
        let mut world = World::new(seed, growing);
        world.run(Duration::from_secs(4));
        let members = world.newest_view().cloned().expect("a view");
        assert_eq!((members.voters.len(), members.chain.len()), (5, 5), "seed {seed}: {members:?}");
    }
}

#[test]
fn one_member_alone_commits_nothing() {
    for seed in SEEDS {
        let mut world = calm(seed, THREE);
        let tail = world.place_of(chain_of(&world)[2]).expect("a place");
        let middle = world.place_of(chain_of(&world)[1]).expect("a place");
        world.kill(tail, Duration::from_secs(3600));
        world.run(Duration::from_secs(2));
        world.kill(middle, Duration::from_secs(3600));
        world.run(millis(200));
        let acknowledged = world.ledger.acknowledgements;
        world.run(Duration::from_secs(3));
        assert_eq!(world.ledger.acknowledgements, acknowledged, "seed {seed}: committed by one disk");
    }
}

#[test]
fn the_view_changes_with_disks_that_take_half_a_second() {
    for seed in SEEDS {
        let mut world = calm(seed, THREE);
        world.hosts.iter_mut().for_each(|host| host.disk.slow = millis(450));
        world.run(Duration::from_secs(1));
        let lost = world.rng.usize(..3);
        world.kill(lost, Duration::from_secs(3600));
        world.run(Duration::from_secs(12));
        assert_eq!(chain_of(&world).len(), 2, "seed {seed}");
        let acknowledged = world.ledger.acknowledgements;
        world.run(Duration::from_secs(3));
        assert!(world.ledger.acknowledgements > acknowledged, "seed {seed}: nothing is committed");
    }
}
