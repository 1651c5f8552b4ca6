//! A coordinator for simulations: changes the chains of partitions with the state and the planner of the control plane.

use std::collections::BTreeMap;

use gingerledge_control::coordinator::partitions::{Backend, BackendCondition, Backends};
use gingerledge_control::state::ControlState;
use gingerledge_wire::{Command, CommandOutcome, PartitionRecord};

const FAULT_TOLERANCE: usize = 1;

/// Control state with the chains of the partitions numbered from 0 up to `partitions`, exclusive.
pub struct Coordinator {
    state: ControlState,
    sequence: u64,
    partitions: u16,
    /// The member that is being retired.
    pub retiring: Option<u64>,
}

impl Coordinator {
    /// Creates the first chains from these members.
    pub fn new(partitions: u16, members: &[u64]) -> Self {
        let mut coordinator =
            Self { state: ControlState::default(), sequence: 0, partitions, retiring: None };
        coordinator.plan(members, |_| true);
        coordinator
    }

    /// The current chain of a partition.
    pub fn record(&self, partition: u16) -> &PartitionRecord {
        self.state.partitions().get(partition).unwrap()
    }

    /// The current chains by partition.
    pub fn records(&self) -> BTreeMap<u16, PartitionRecord> {
        (0..self.partitions).map(|partition| (partition, self.record(partition).clone())).collect()
    }

    /// Handles a report of a member about the epochs in which it is in sync. Epochs reported before are not applied again.
    pub fn report(&mut self, member: u64, in_sync: &[(u16, u64)]) {
        for (partition, epoch) in in_sync.iter().copied() {
            let current = self.state.partitions().get(partition);
            if current.is_some_and(|record| record.epoch == epoch && !record.in_sync.contains(&member)) {
                self.sequence += 1;
                self.state.apply(self.sequence, &Command::ReplicaInSync { partition, epoch, member });
            }
        }
    }

    /// Whether all members of all chains are in sync and alive.
    pub fn is_in_sync(&self, alive: &[u64]) -> bool {
        self.records().values().all(|record| {
            record.in_sync.len() == record.chain.len()
                && record.chain.iter().all(|member| alive.contains(member))
        })
    }

    /// Whether a member belongs to no chain.
    pub fn has_no_partitions(&self, member: u64) -> bool {
        self.records().values().all(|record| !record.chain.contains(&member))
    }

    /// Changes the chains that have a member that is not alive or is being retired, for the partitions selected by `is_planned`.
    pub fn plan(&mut self, alive: &[u64], mut is_planned: impl FnMut(u16) -> bool) {
        let condition = |member: u64| {
            if Some(member) == self.retiring {
                BackendCondition::Retiring
            } else {
                BackendCondition::Usable
            }
        };
        let backends = alive.iter().map(|member| Backend {
            member: *member,
            zone: format!("zone {member}"),
            condition: condition(*member),
        });
        let backends = Backends::new(backends, FAULT_TOLERANCE);
        let changes = backends.plan(|partition| self.state.partitions().get(partition));
        for change in changes {
            if change.partition < self.partitions && is_planned(change.partition) {
                let set = Command::SetPartition {
                    partition: change.partition,
                    record: change.record,
                    fencing_token: 0,
                };
                self.sequence += 1;
                let outcome = self.state.apply(self.sequence, &set);
                assert_eq!(outcome, CommandOutcome::Applied, "{set:?}");
            }
        }
    }
}
