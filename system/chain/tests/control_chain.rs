//! Control groups under random faults of all kinds. Acknowledged entries survive, in one order; reads and barriers are never
//! stale; each epoch has only one membership; and after the faults the chain is complete again in time.

mod cluster;

use std::time::Duration;

use cluster::{millis, Cluster, ClusterShape};

const SMALL: ClusterShape = ClusterShape { fault_tolerance: 1, founders: 3, machines: 3 };
const SPARES: ClusterShape = ClusterShape { fault_tolerance: 1, founders: 3, machines: 5 };
const LARGE: ClusterShape = ClusterShape { fault_tolerance: 2, founders: 5, machines: 5 };
const GROWING: ClusterShape = ClusterShape { fault_tolerance: 2, founders: 3, machines: 5 };

/// The seeds to run. `CHAIN_SEEDS` sets their number (default: `default_count`), `CHAIN_FIRST_SEED` the first one (default: 0).
fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let number_from_env = |name: &str| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    let first = number_from_env("CHAIN_FIRST_SEED").unwrap_or(0);
    first..first + number_from_env("CHAIN_SEEDS").unwrap_or(default_count)
}

/// Injects faults for 30 s, ends them, and checks that the chain becomes complete and commits again within the time to catch up.
fn survives_faults(seed: u64, shape: ClusterShape) {
    let mut cluster = Cluster::new(seed, shape);
    cluster.run(millis(1500));
    cluster.start_faults();
    cluster.run(Duration::from_secs(30));
    cluster.faults_enabled = false;
    cluster.heal();
    // Processes that are down, frozen or stalled resume without intervention.
    cluster.run(Duration::from_secs(6));
    // Voters whose machine returned under another address are replaced, and the new members catch up.
    cluster.run(Duration::from_secs(9));
    let acknowledgements_before = cluster.invariants.acknowledgements;
    let membership = cluster.newest_membership().cloned().expect("a process has a membership");
    let expected = shape.machines.min(2 * shape.fault_tolerance + 1);
    if membership.chain.len() != expected {
        cluster.dump();
    }
    assert_eq!(
        membership.chain.len(),
        expected,
        "seed {seed}: the chain is not complete again: {membership:?}"
    );
    cluster.run(Duration::from_secs(1));
    if cluster.invariants.acknowledgements == acknowledgements_before {
        cluster.dump();
    }
    assert!(
        cluster.invariants.acknowledgements > acknowledgements_before,
        "seed {seed}: no more writes are committed"
    );
    for member in &membership.chain {
        let machine = cluster.machine_of(*member).expect("each member of the chain has a machine");
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
fn acknowledged_entries_survive_faults_within_the_tolerance(shape: ClusterShape, default_count: u64) {
    for seed in seeds(default_count) {
        survives_faults(seed, shape);
    }
}
