//! Combinations of faults: a minority isolated for twenty seconds, a second loss right after a repair with a loss of power
//! everywhere, and members that missed hundreds of entries. With a fault tolerance of one and of two. What was acknowledged, and what
//! reads and barriers may show, is checked by the invariants at every step.

mod cluster;

use std::time::Duration;

use cluster::simulation::CATCH_UP;
use cluster::{millis, Cluster, ClusterShape};
use gingerledge_chain::MemberId;
use yare::parameterized;

const THREE: ClusterShape = ClusterShape { fault_tolerance: 1, founders: 3, machines: 3 };
const FIVE: ClusterShape = ClusterShape { fault_tolerance: 2, founders: 5, machines: 5 };
const SEEDS: std::ops::Range<u64> = 0..25;

/// A group that has committed entries for a while.
fn steady_cluster(seed: u64, shape: ClusterShape) -> Cluster {
    let mut cluster = Cluster::new(seed, shape);
    cluster.run(Duration::from_secs(3));
    assert!(cluster.invariants.acknowledgements > 0, "seed {seed}");
    cluster
}

fn chain_of(cluster: &Cluster) -> Vec<MemberId> {
    cluster.newest_membership().map(|members| members.chain.clone()).unwrap_or_default()
}

/// Whether all machines are in the chain, and in sync.
fn is_complete(cluster: &Cluster) -> bool {
    let chain = chain_of(cluster);
    cluster.hosts.iter().all(|host| {
        let serves = host.process.as_ref().is_some_and(|process| process.chain.is_serving());
        chain.contains(&host.identity) && serves && host.is_running(cluster.now)
    })
}

/// Whether writes are acknowledged within the next second.
fn commits_more(cluster: &mut Cluster) -> bool {
    let before = cluster.invariants.acknowledgements;
    cluster.run(Duration::from_secs(1));
    cluster.invariants.acknowledgements > before
}

/// As many machines as may be lost at once, from one on.
fn consecutive_machines(cluster: &Cluster, first: usize) -> Vec<usize> {
    let machines = cluster.shape.machines;
    (0..cluster.shape.fault_tolerance).map(|offset| (first + offset) % machines).collect()
}

/// Point 1.
#[parameterized(
    head_of_three = { THREE, 0 },
    tail_of_three = { THREE, 2 },
    head_of_five = { FIVE, 0 },
    tail_of_five = { FIVE, 3 },
)]
fn a_minority_isolated_for_twenty_seconds_commits_and_serves_nothing(shape: ClusterShape, position: usize) {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, shape);
        let chain = chain_of(&cluster);
        let isolated_machines: Vec<usize> = (position..position + shape.fault_tolerance)
            .map(|position| cluster.machine_of(chain[position]).expect("a place"))
            .collect();
        for &isolated in &isolated_machines {
            for other in (0..shape.machines).filter(|other| !isolated_machines.contains(other)) {
                cluster.blocked_links.insert((isolated, other));
                cluster.blocked_links.insert((other, isolated));
            }
        }
        cluster.run(millis(300));
        let before: Vec<u64> = isolated_machines
            .iter()
            .map(|machine| cluster.hosts[*machine].state_machine.applied_index())
            .collect();
        let (done, acknowledged_index) =
            (cluster.invariants.reads_served, cluster.invariants.acknowledgements);
        for _ in 0..100 {
            for &isolated in &isolated_machines {
                cluster.submit(isolated);
                cluster.read(isolated);
            }
            cluster.run(millis(200));
        }
        let after: Vec<u64> = isolated_machines
            .iter()
            .map(|machine| cluster.hosts[*machine].state_machine.applied_index())
            .collect();
        assert_eq!(after, before, "seed {seed}: applied while cut off");
        assert!(
            cluster.invariants.acknowledgements > acknowledged_index + 100,
            "seed {seed}: the others stand still"
        );
        assert!(cluster.invariants.reads_served > done, "seed {seed}: the others read nothing");
        cluster.heal();
        cluster.run(CATCH_UP);
        assert!(is_complete(&cluster), "seed {seed}: {:?}", cluster.newest_membership());
    }
}

/// Point 3: as many disks as are tolerated, again and again as soon as the chain is complete, each time with a loss of power at all others.
#[parameterized(three = { THREE }, five = { FIVE })]
fn losses_of_disks_right_after_each_repair_lose_no_entry(shape: ClusterShape) {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, shape);
        for round in 0..4 {
            let first = cluster.rng.usize(..shape.machines);
            let wiped = consecutive_machines(&cluster, first);
            for machine in 0..shape.machines {
                match wiped.contains(&machine) {
                    true => cluster.force_wipe(machine),
                    false => {
                        let back = millis(cluster.rng.u64(200..1_500));
                        cluster.kill(machine, back);
                    }
                }
            }
            // The next losses come as soon as it is complete again, at the latest after the time to catch up.
            let mut waited = Duration::ZERO;
            while !is_complete(&cluster) {
                assert!(waited < CATCH_UP + millis(1_500), "seed {seed}, round {round}: not whole again");
                cluster.run(millis(20));
                waited += millis(20);
            }
        }
        assert!(commits_more(&mut cluster), "seed {seed}: nothing is committed any more");
    }
}

/// Point 4: those who were away are then all that is left but for one.
#[parameterized(three = { THREE }, five = { FIVE })]
fn members_that_missed_hundreds_of_entries_catch_up_and_commit_without_the_others(shape: ClusterShape) {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, shape);
        cluster.clients_every = millis(4);
        let first = cluster.rng.usize(..shape.machines);
        let away = consecutive_machines(&cluster, first);
        let before = cluster.invariants.acknowledged_index;
        for &machine in &away {
            cluster.kill(machine, Duration::from_secs(10));
        }
        cluster.run(Duration::from_secs(10));
        let missed = cluster.invariants.acknowledged_index - before;
        assert!(missed > 300, "seed {seed}: only {missed} entries");
        cluster.run(CATCH_UP);
        assert!(is_complete(&cluster), "seed {seed}: {:?}", cluster.newest_membership());
        let stayed = (0..shape.machines).filter(|machine| !away.contains(machine));
        for machine in stayed.take(shape.fault_tolerance).collect::<Vec<_>>() {
            cluster.kill(machine, Duration::from_secs(3600));
        }
        cluster.run(Duration::from_secs(4));
        assert!(commits_more(&mut cluster), "seed {seed}: nothing is committed without the others");
        let newest = cluster.invariants.acknowledged_index;
        for &machine in &away {
            let applied = cluster.hosts[machine].state_machine.applied_index();
            assert!(applied + 50 > newest, "seed {seed}: {applied} of {newest}");
        }
    }
}
