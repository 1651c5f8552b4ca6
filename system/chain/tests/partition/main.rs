//! Replicas whose views are decided by the host, as in the partitions of batch jobs. The decider of views follows the contract of
//! [`Replica`] and keeps only members that were in sync in the current view, but its views arrive late or are lost.

mod cluster;
mod faults;
#[path = "../simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use cluster::Partition;
use gingerledge_chain::{LogRecord, MemberId, Replica, ReplicaAction, ReplicaEvent, ReplicaSettings, View};

#[yare::parameterized(three_backends = { 3 }, five_backends = { 5 })]
fn acknowledged_entries_survive_faults_while_views_arrive_late_or_never(machines: usize) {
    let seeds = std::env::var("CHAIN_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(100);
    for seed in 0..seeds {
        let mut partition = Partition::new(seed, machines);
        partition.run(Duration::from_secs(30));
        partition.faults_enabled = false;
        partition.heal();
        partition.run(Duration::from_secs(10));
        let before = partition.invariants.acknowledgements;
        partition.run(Duration::from_secs(1));
        let after = partition.invariants.acknowledgements;
        if after == before {
            partition.dump();
        }
        assert!(after > before, "seed {seed}: nothing is committed in {:?}", partition.view);
        assert!(partition.invariants.reads_served > 0, "seed {seed}: no read was answered");
    }
}

#[test]
fn a_recovered_replica_applies_the_entries_that_its_records_left_committed() {
    let view = |epoch| View { epoch, chain: vec![MemberId(1)] };
    let records = vec![
        LogRecord::View { view: view(1), in_sync: true },
        LogRecord::Entry { epoch: 1, index: 1, commit_index: 0, command: vec![1] },
        LogRecord::Entry { epoch: 1, index: 2, commit_index: 1, command: vec![2] },
        LogRecord::Rejoined { view: view(3), last_index: 1 },
        LogRecord::Entry { epoch: 3, index: 2, commit_index: 1, command: vec![3] },
        LogRecord::InSync { epoch: 3 },
    ];
    let settings = ReplicaSettings { min_chain_length: 1, ..ReplicaSettings::default() };
    let mut replica = Replica::recover(MemberId(1), &records, settings, 1);
    let mut out = Vec::new();
    replica.handle(Duration::ZERO, ReplicaEvent::Started, &mut out);
    let applied: Vec<_> = out
        .into_iter()
        .filter_map(|action| match action {
            ReplicaAction::Apply { index, command, .. } => Some((index, command)),
            _ => None,
        })
        .collect();
    assert_eq!(applied, [(1, vec![1]), (2, vec![3])]);
}
