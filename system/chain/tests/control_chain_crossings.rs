//! Combinations of faults, with a fault tolerance of one and of two: a minority that is isolated for twenty seconds, a loss of
//! disks right after a repair together with a power failure everywhere, and members that missed hundreds of entries. The
//! invariants on acknowledged entries, reads and barriers are checked at every step.

mod cluster;

use std::time::Duration;

use cluster::simulation::CATCH_UP;
use cluster::{millis, Cluster, ClusterShape};
use gingerledge_chain::MemberId;
use yare::parameterized;

const THREE: ClusterShape = ClusterShape { fault_tolerance: 1, founders: 3, machines: 3 };
const FIVE: ClusterShape = ClusterShape { fault_tolerance: 2, founders: 5, machines: 5 };
const SEEDS: std::ops::Range<u64> = 0..25;

/// Creates a group that has committed entries for 3 s.
fn steady_cluster(seed: u64, shape: ClusterShape) -> Cluster {
    let mut cluster = Cluster::new(seed, shape);
    cluster.run(Duration::from_secs(3));
    assert!(cluster.invariants.acknowledgements > 0, "seed {seed}");
    cluster
}

fn chain_of(cluster: &Cluster) -> Vec<MemberId> {
    cluster.newest_membership().map(|membership| membership.chain.clone()).unwrap_or_default()
}

/// Whether all machines are running, in the chain and in sync.
fn is_complete(cluster: &Cluster) -> bool {
    let chain = chain_of(cluster);
    cluster.hosts.iter().all(|host| {
        let is_serving = host.process.as_ref().is_some_and(|process| process.chain.is_serving());
        chain.contains(&host.identity) && is_serving && host.is_running(cluster.now)
    })
}

/// Runs the group for one second, and returns whether writes were acknowledged in that time.
fn continues_to_commit(cluster: &mut Cluster) -> bool {
    let acknowledgements_before = cluster.invariants.acknowledgements;
    cluster.run(Duration::from_secs(1));
    cluster.invariants.acknowledgements > acknowledgements_before
}

/// As many consecutive machines as may be lost at once, starting with `first`.
fn consecutive_machines(cluster: &Cluster, first: usize) -> Vec<usize> {
    let machines = cluster.shape.machines;
    (0..cluster.shape.fault_tolerance).map(|offset| (first + offset) % machines).collect()
}

/// Guards against a minority that continues to apply commands or to serve reads after the others have formed a new chain without
/// it.
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
            .map(|position| cluster.machine_of(chain[position]).expect("the member has a machine"))
            .collect();
        for &isolated in &isolated_machines {
            for other in (0..shape.machines).filter(|other| !isolated_machines.contains(other)) {
                cluster.blocked_links.insert((isolated, other));
                cluster.blocked_links.insert((other, isolated));
            }
        }
        cluster.run(millis(300));
        let applied_before: Vec<u64> = isolated_machines
            .iter()
            .map(|machine| cluster.hosts[*machine].state_machine.applied_index())
            .collect();
        let (reads_before, acknowledgements_before) =
            (cluster.invariants.reads_served, cluster.invariants.acknowledgements);
        for _ in 0..100 {
            for &isolated in &isolated_machines {
                cluster.submit(isolated);
                cluster.read(isolated);
            }
            cluster.run(millis(200));
        }
        let applied_after: Vec<u64> = isolated_machines
            .iter()
            .map(|machine| cluster.hosts[*machine].state_machine.applied_index())
            .collect();
        assert_eq!(applied_after, applied_before, "seed {seed}: applied entries while isolated");
        assert!(
            cluster.invariants.acknowledgements > acknowledgements_before + 100,
            "seed {seed}: the others do not commit"
        );
        assert!(cluster.invariants.reads_served > reads_before, "seed {seed}: the others serve no reads");
        cluster.heal();
        cluster.run(CATCH_UP);
        assert!(is_complete(&cluster), "seed {seed}: {:?}", cluster.newest_membership());
    }
}

/// Guards against a chain that counts as complete before all its members hold all acknowledged entries. As many disks as are
/// tolerated are lost at once, repeatedly as soon as the chain is complete, each time together with a power failure at all other
/// machines.
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
                        let restart_delay = millis(cluster.rng.u64(200..1_500));
                        cluster.kill(machine, restart_delay);
                    }
                }
            }
            // The next losses follow as soon as the chain is complete again, which must be within the time to catch up.
            let mut waited = Duration::ZERO;
            while !is_complete(&cluster) {
                assert!(
                    waited < CATCH_UP + millis(1_500),
                    "seed {seed}, round {round}: the chain is not complete again"
                );
                cluster.run(millis(20));
                waited += millis(20);
            }
        }
        assert!(continues_to_commit(&mut cluster), "seed {seed}: no more writes are committed");
    }
}

/// Guards against members that count as in sync before they have the entries that they missed. Once they have caught up, the
/// chain consists of them and only one other member.
#[parameterized(three = { THREE }, five = { FIVE })]
fn members_that_missed_hundreds_of_entries_catch_up_and_commit_without_the_others(shape: ClusterShape) {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, shape);
        cluster.client_interval = millis(4);
        let first = cluster.rng.usize(..shape.machines);
        let stopped = consecutive_machines(&cluster, first);
        let acknowledged_before = cluster.invariants.acknowledged_index;
        for &machine in &stopped {
            cluster.kill(machine, Duration::from_secs(10));
        }
        cluster.run(Duration::from_secs(10));
        let missed = cluster.invariants.acknowledged_index - acknowledged_before;
        assert!(missed > 300, "seed {seed}: only {missed} entries missed");
        cluster.run(CATCH_UP);
        assert!(is_complete(&cluster), "seed {seed}: {:?}", cluster.newest_membership());
        let others = (0..shape.machines).filter(|machine| !stopped.contains(machine));
        for machine in others.take(shape.fault_tolerance).collect::<Vec<_>>() {
            cluster.kill(machine, Duration::from_secs(3600));
        }
        cluster.run(Duration::from_secs(4));
        assert!(continues_to_commit(&mut cluster), "seed {seed}: nothing is committed without the others");
        let newest = cluster.invariants.acknowledged_index;
        for &machine in &stopped {
            let applied = cluster.hosts[machine].state_machine.applied_index();
            assert!(applied + 50 > newest, "seed {seed}: applied {applied} of {newest}");
        }
    }
}
