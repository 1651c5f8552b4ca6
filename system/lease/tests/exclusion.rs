//! The lease under random faults of all kinds: at most one process holds it at any time, and one acquires it soon after the
//! faults have ended.

mod cluster;

use std::time::Duration;

use cluster::{millis, Cluster, Faults};
use gingerledge_lease::{LeaseEvent, VoterId};

const ALL: Faults = Faults { restarts: true, pauses: true, network_partitions: true, voter_changes: true };
const NO_RESTARTS: Faults = Faults { restarts: false, ..ALL };
const FIXED_VOTERS: Faults = Faults { voter_changes: false, ..ALL };

/// The seeds to run. `LEASE_SEEDS` sets their number (default: `default_count`), `LEASE_FIRST_SEED` the first one (default: 0).
fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let number_from_env = |name: &str| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    let first = number_from_env("LEASE_FIRST_SEED").unwrap_or(0);
    first..first + number_from_env("LEASE_SEEDS").unwrap_or(default_count)
}

#[yare::parameterized(
    three_voters = { 3, 3, FIXED_VOTERS },
    five_voters = { 5, 5, FIXED_VOTERS },
    changing_voters = { 5, 3, ALL },
    rising_generations = { 5, 3, NO_RESTARTS },
)]
fn at_most_one_process_holds_the_lease_under_faults_and_one_soon_after(
    process_count: usize,
    voters: usize,
    faults: Faults,
) {
    for seed in seeds(1000) {
        let mut cluster = Cluster::new(seed, process_count, voters, Some(faults));
        cluster.run(Duration::from_secs(30));
        cluster.heal();
        cluster.run(Duration::from_secs(8));
        assert!(cluster.holder().is_some(), "seed {seed}: no process holds the lease after the faults");
        assert!(cluster.acquisitions > 0);
    }
}

#[test]
fn without_faults_the_first_candidate_acquires_the_lease_and_renews_it() {
    for seed in seeds(200) {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        cluster.run(Duration::from_secs(20));
        let holders: Vec<_> = cluster.holders.iter().map(|(_, holder)| *holder).collect();
        assert!(holders.len() == 1, "seed {seed}: {:?}", cluster.holders);
        assert_eq!(cluster.acquisitions, 1, "seed {seed}: {:?}", cluster.holders);
        assert!(cluster.holder().is_some(), "seed {seed}");
    }
}

#[test]
fn another_candidate_acquires_the_lease_within_two_grants_of_the_loss_of_its_holder() {
    for seed in seeds(200) {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        cluster.run(Duration::from_secs(5));
        let first = cluster.holder().expect("a process holds the lease");
        cluster.processes[first].paused_until = Duration::from_secs(3600);
        cluster.run(cluster.settings.grant_duration * 2);
        let second = cluster.holder();
        assert!(second.is_some_and(|second| second != first), "seed {seed}: {second:?} after {first}");
    }
}

/// Guards against a restarted holder that waits until its old grants expire, or until it may vote again itself: the other voters
/// form a majority and may renew their grants to it.
#[test]
fn a_restarted_holder_acquires_the_lease_again_before_its_old_grants_end() {
    let (mut quick_restarts, mut reacquired) = (0, 0);
    for seed in seeds(200) {
        let mut cluster = Cluster::new(seed, 5, 5, None);
        cluster.run(Duration::from_secs(5));
        let first = cluster.holder().expect("a process holds the lease");
        cluster.restart(first);
        let down_since = cluster.now;
        while !cluster.processes[first].is_running {
            cluster.run(millis(10));
        }
        // If it is down for longer, another candidate acquires the lease first.
        if cluster.now - down_since < cluster.settings.grant_duration / 6 {
            quick_restarts += 1;
            cluster.run(cluster.settings.grant_duration / 3);
            reacquired += u64::from(cluster.holder() == Some(first));
        }
    }
    // Not all restarts succeed: if a renewal was due when the holder stopped, its grants expire earlier.
    assert!(
        quick_restarts > 10 && reacquired * 10 >= quick_restarts * 9,
        "reacquired after {reacquired} of {quick_restarts} restarts"
    );
}

#[test]
fn a_released_lease_is_acquired_by_another_before_its_grants_end() {
    let mut late_count = 0;
    let seeds = seeds(200);
    for seed in seeds.clone() {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        cluster.run(Duration::from_secs(5));
        let first = cluster.holder().expect("a process holds the lease");
        cluster.handle_event(first, LeaseEvent::Release);
        assert_eq!(cluster.holder(), None);
        cluster.run(cluster.settings.grant_duration / 2);
        assert_ne!(
            cluster.holder(),
            Some(first),
            "seed {seed}: the process that released the lease acquired it again"
        );
        late_count += u64::from(cluster.holder().is_none());
        // Renewals that arrive after the release at both other voters may delay the lease for the duration of a grant.
        cluster.run(cluster.settings.grant_duration);
        assert!(cluster.holder().is_some(), "seed {seed}: no holder after {first}");
    }
    assert!(
        late_count * 100 <= seeds.end - seeds.start,
        "{late_count} releases were followed by a late acquisition"
    );
}

#[test]
fn a_holder_that_is_no_longer_a_candidate_releases_the_lease() {
    let mut cluster = Cluster::new(1, 3, 3, None);
    cluster.run(Duration::from_secs(5));
    let first = cluster.holder().expect("a process holds the lease");
    let order: Vec<_> = (0..3).map(VoterId).filter(|voter| voter.0 as usize != first).collect();
    for process_index in 0..3 {
        cluster.handle_event(process_index, LeaseEvent::Candidates { order: order.clone() });
    }
    assert_eq!(cluster.holder(), None);
    cluster.run(millis(500));
    assert!(cluster.holder().is_some_and(|second| second != first));
}

#[test]
fn restarted_voters_grant_nothing_before_their_old_grants_end() {
    for seed in seeds(100) {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        cluster.run(Duration::from_secs(5));
        let before = cluster.acquisitions;
        (0..3).for_each(|process_index| cluster.restart(process_index));
        cluster.run(cluster.settings.grant_duration);
        assert_eq!(cluster.acquisitions, before, "seed {seed}: granted before the old grants ended");
        cluster.run(cluster.settings.grant_duration * 3);
        assert!(cluster.holder().is_some(), "seed {seed}");
    }
}
