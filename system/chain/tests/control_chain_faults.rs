//! Single faults in a control group, and the behaviour required after each of them.

mod cluster;

use std::time::Duration;

use cluster::{millis, Cluster, ClusterShape};
use gingerledge_chain::MemberId;

const THREE: ClusterShape = ClusterShape { fault_tolerance: 1, founders: 3, machines: 3 };
const SEEDS: std::ops::Range<u64> = 0..40;

/// Creates a group that has committed entries for 3 s and is still in its first epoch.
fn steady_cluster(seed: u64, shape: ClusterShape) -> Cluster {
    let mut cluster = Cluster::new(seed, shape);
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.newest_membership().map(|membership| membership.epoch), Some(1), "seed {seed}");
    assert!(cluster.invariants.acknowledgements > 0, "seed {seed}");
    cluster
}

fn chain_of(cluster: &Cluster) -> Vec<MemberId> {
    cluster.newest_membership().map(|membership| membership.chain.clone()).unwrap_or_default()
}

#[test]
fn a_group_without_faults_keeps_its_first_membership_and_serves_all_reads() {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, THREE);
        cluster.run(Duration::from_secs(20));
        assert_eq!(cluster.newest_membership().map(|membership| membership.epoch), Some(1), "seed {seed}");
        assert_eq!(cluster.invariants.reads_failed, 0, "seed {seed}");
        assert!(
            cluster.invariants.confirmed_barriers > 3 * 4 * 15,
            "seed {seed}: {} barriers",
            cluster.invariants.confirmed_barriers
        );
    }
}

#[test]
fn a_group_whose_processes_all_restart_within_a_second_keeps_its_membership() {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, THREE);
        for machine in 0..3 {
            let restart_delay = millis(cluster.rng.u64(200..600));
            cluster.kill(machine, restart_delay);
        }
        cluster.run(millis(600));
        let acknowledgements_before = cluster.invariants.acknowledgements;
        cluster.run(Duration::from_secs(1));
        assert!(
            cluster.invariants.acknowledgements > acknowledgements_before,
            "seed {seed}: nothing is committed"
        );
        cluster.run(Duration::from_secs(3));
        assert_eq!(cluster.newest_membership().map(|membership| membership.epoch), Some(1), "seed {seed}");
    }
}

#[yare::parameterized(head = { 0 }, middle = { 1 }, tail = { 2 })]
fn after_the_loss_of_one_member_writes_and_reads_continue_within_two_seconds(position: usize) {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, THREE);
        let failed_machine =
            cluster.machine_of(chain_of(&cluster)[position]).expect("the member has a machine");
        cluster.kill(failed_machine, Duration::from_secs(3600));
        cluster.run(Duration::from_secs(2));
        let (acknowledgements_before, reads_before) =
            (cluster.invariants.acknowledgements, cluster.invariants.reads_served);
        cluster.run(millis(500));
        assert!(
            cluster.invariants.acknowledgements > acknowledgements_before,
            "seed {seed}: nothing is committed"
        );
        assert!(cluster.invariants.reads_served > reads_before, "seed {seed}: no read was answered");
        assert_eq!(chain_of(&cluster).len(), 2, "seed {seed}");
    }
}

#[yare::parameterized(head = { 0 }, tail = { 2 })]
fn an_isolated_member_applies_and_serves_nothing(position: usize) {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, THREE);
        let member = chain_of(&cluster)[position];
        let isolated = cluster.machine_of(member).expect("the member has a machine");
        for other in (0..3).filter(|other| *other != isolated) {
            cluster.blocked_links.insert((isolated, other));
            cluster.blocked_links.insert((other, isolated));
        }
        // Messages that were in flight when the links were blocked have arrived or are lost.
        cluster.run(millis(300));
        let before = cluster.hosts[isolated].state_machine.applied_index();
        let reads_failed_before = cluster.invariants.reads_failed;
        for _ in 0..20 {
            cluster.submit(isolated);
            cluster.read(isolated);
            cluster.run(millis(100));
        }
        cluster.run(Duration::from_secs(2));
        assert_eq!(
            cluster.hosts[isolated].state_machine.applied_index(),
            before,
            "seed {seed}: applied entries while isolated"
        );
        assert!(
            cluster.invariants.reads_failed >= reads_failed_before + 20,
            "seed {seed}: reads were answered while isolated"
        );
        cluster.heal();
        cluster.run(Duration::from_secs(4));
        assert_eq!(chain_of(&cluster).len(), 3, "seed {seed}: not added to the chain again");
    }
}

#[test]
fn a_member_with_a_stalled_disk_leaves_the_chain_and_rejoins_it() {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, THREE);
        let machine = cluster.rng.usize(..3);
        cluster.hosts[machine].disk.stalled_until = cluster.now + Duration::from_secs(5);
        cluster.run(Duration::from_secs(3));
        let acknowledgements_before = cluster.invariants.acknowledgements;
        cluster.run(Duration::from_secs(1));
        assert!(
            cluster.invariants.acknowledgements > acknowledgements_before,
            "seed {seed}: nothing is committed"
        );
        assert_eq!(chain_of(&cluster).len(), 2, "seed {seed}");
        cluster.run(Duration::from_secs(4));
        assert_eq!(chain_of(&cluster).len(), 3, "seed {seed}: not added to the chain again");
    }
}

#[test]
fn a_wiped_disk_rejoins_as_a_new_voter_within_the_time_to_catch_up() {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, THREE);
        let machine = cluster.rng.usize(..3);
        let old_identity = cluster.hosts[machine].identity;
        cluster.force_wipe(machine);
        cluster.run(Duration::from_secs(5));
        let membership = cluster.newest_membership().cloned().expect("a process has a membership");
        let new_identity = cluster.hosts[machine].identity;
        assert!(
            membership.chain.contains(&new_identity),
            "seed {seed}: {new_identity:?} is not in {membership:?}"
        );
        assert!(
            !membership.voters.contains(&old_identity),
            "seed {seed}: {old_identity:?} still votes in {membership:?}"
        );
        assert_eq!(membership.voters.len(), 3, "seed {seed}");
    }
}

#[test]
fn a_spare_member_follows_and_becomes_a_voter_once_one_is_lost() {
    let shape = ClusterShape { machines: 4, ..THREE };
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, shape);
        let spare = cluster.hosts[3].identity;
        assert!(
            !cluster.newest_membership().expect("a process has a membership").is_voter(spare),
            "seed {seed}"
        );
        cluster.run(Duration::from_secs(1));
        assert!(
            cluster.hosts[3].state_machine.applied_index() > 0,
            "seed {seed}: the spare member applies nothing"
        );
        cluster.kill(1, Duration::from_secs(3600));
        cluster.run(Duration::from_secs(5));
        let membership = cluster.newest_membership().cloned().expect("a process has a membership");
        assert!(
            membership.is_voter(spare) && membership.chain.contains(&spare),
            "seed {seed}: {membership:?}"
        );
    }
}

#[test]
fn a_group_of_too_few_founders_grows_to_two_f_plus_one_voters() {
    let shape = ClusterShape { fault_tolerance: 2, founders: 3, machines: 5 };
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, shape);
        cluster.run(Duration::from_secs(4));
        let membership = cluster.newest_membership().cloned().expect("a process has a membership");
        assert_eq!((membership.voters.len(), membership.chain.len()), (5, 5), "seed {seed}: {membership:?}");
    }
}

#[test]
fn a_single_remaining_member_commits_nothing() {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, THREE);
        let tail = cluster.machine_of(chain_of(&cluster)[2]).expect("the member has a machine");
        let middle = cluster.machine_of(chain_of(&cluster)[1]).expect("the member has a machine");
        cluster.kill(tail, Duration::from_secs(3600));
        cluster.run(Duration::from_secs(2));
        cluster.kill(middle, Duration::from_secs(3600));
        cluster.run(millis(200));
        let acknowledgements_before = cluster.invariants.acknowledgements;
        cluster.run(Duration::from_secs(3));
        assert_eq!(
            cluster.invariants.acknowledgements, acknowledgements_before,
            "seed {seed}: committed with one disk"
        );
    }
}

#[test]
fn the_membership_changes_although_each_sync_takes_half_a_second() {
    for seed in SEEDS {
        let mut cluster = steady_cluster(seed, THREE);
        cluster.hosts.iter_mut().for_each(|host| host.disk.extra_delay = millis(450));
        cluster.run(Duration::from_secs(1));
        let failed_machine = cluster.rng.usize(..3);
        cluster.kill(failed_machine, Duration::from_secs(3600));
        cluster.run(Duration::from_secs(12));
        assert_eq!(chain_of(&cluster).len(), 2, "seed {seed}");
        let acknowledgements_before = cluster.invariants.acknowledgements;
        cluster.run(Duration::from_secs(3));
        assert!(
            cluster.invariants.acknowledgements > acknowledgements_before,
            "seed {seed}: nothing is committed"
        );
    }
}
