//! Control groups under faults of all kinds: what was acknowledged survives, in one order; reads and barriers are never stale; each
//! epoch has one membership; and after the faults the chain is complete again in time.

mod cluster;

use std::time::Duration;

use cluster::{millis, Cluster, ClusterShape};

const SMALL: ClusterShape = ClusterShape { fault_tolerance: 1, founders: 3, machines: 3 };
const SPARES: ClusterShape = ClusterShape { fault_tolerance: 1, founders: 3, machines: 5 };
const LARGE: ClusterShape = ClusterShape { fault_tolerance: 2, founders: 5, machines: 5 };
const GROWING: ClusterShape = ClusterShape { fault_tolerance: 2, founders: 3, machines: 5 };

/// How many seeds each shape is run with; more by `CHAIN_SEEDS`, from `CHAIN_FIRST_SEED` on.
fn seeds(usual: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    let first = number("CHAIN_FIRST_SEED").unwrap_or(0);
    first..first + number("CHAIN_SEEDS").unwrap_or(usual)
}

/// Injects faults for a while, heals everything, and checks that the chain is complete within the time to catch up.
fn survives_faults(seed: u64, shape: ClusterShape) {
    let mut cluster = Cluster::new(seed, shape);
    cluster.run(millis(1500));
    cluster.start_faults();
    cluster.run(Duration::from_secs(30));
    cluster.faults_enabled = false;
    cluster.heal();
    // What is down, frozen or stalled comes back by itself.
    cluster.run(Duration::from_secs(6));
    // Voters that were replaced at another address are noticed, and the new members caught up.
    cluster.run(Duration::from_secs(9));
    let acknowledged_index = cluster.invariants.acknowledgements;
    let members = cluster.newest_membership().cloned().expect("there is a view");
    let expected = shape.machines.min(2 * shape.fault_tolerance + 1);
    if members.chain.len() != expected {
        cluster.dump();
    }
    assert_eq!(members.chain.len(), expected, "seed {seed}: not whole again: {members:?}");
    cluster.run(Duration::from_secs(1));
    if cluster.invariants.acknowledgements == acknowledged_index {
        cluster.dump();
    }
    assert!(
        cluster.invariants.acknowledgements > acknowledged_index,
        "seed {seed}: nothing is committed any more"
    );
    for member in &members.chain {
        let machine = cluster.machine_of(*member).expect("members of the chain are there");
        let applied = cluster.hosts[machine].state_machine.applied_index();
        assert!(
            applied + 100 > cluster.invariants.acknowledged_index,
            "seed {seed}: {member:?} lags at {applied}"
        );
    }
}

#[yare::parameterized(
    three = { SMALL, 150 },
    three_with_spares = { SPARES, 80 },
    five = { LARGE, 80 },
    growing = { GROWING, 60 },
)]
fn acknowledged_entries_survive_faults_within_the_tolerance(shape: ClusterShape, usual: u64) {
    for seed in seeds(usual) {
        survives_faults(seed, shape);
    }
}
