//! The chains of partitions as the control plane changes them: its state and its planner, over the members of a simulation.

use std::collections::BTreeMap;

use gingerledge_control::coordinator::partitions::{Backend, BackendCondition, Backends};
use gingerledge_control::state::ControlState;
use gingerledge_wire::{Command, CommandOutcome, PartitionRecord};

const FAULT_TOLERANCE: usize = 1;

/// The chains of some partitions.
pub struct Coordinator {
    state: ControlState,
    sequence: u64,
    partitions: u16,
    /// The member that is being retired.
    pub retiring: Option<u64>,
}

impl Coordinator {
    /// First chains over these members.
    pub fn new(partitions: u16, members: &[u64]) -> Self {
        let mut coordinator =
            Self { state: ControlState::default(), sequence: 0, partitions, retiring: None };
        coordinator.plan(members, |_| true);
        coordinator
    }

    /// The newest chain of a partition.
    pub fn record(&self, partition: u16) -> &PartitionRecord {
        self.state.partitions().get(partition).unwrap()
    }

    /// The newest chains.
    pub fn records(&self) -> BTreeMap<u16, PartitionRecord> {
        (0..self.partitions).map(|partition| (partition, self.record(partition).clone())).collect()
    }

    /// A member reports the epochs in which it is in sync; what is known already is not applied again.
    pub fn report(&mut self, member: u64, in_sync: &[(u16, u64)]) {
        for (partition, epoch) in in_sync.iter().copied() {
            let known = self.state.partitions().get(partition);
            if known.is_some_and(|record| record.epoch == epoch && !record.in_sync.contains(&member)) {
                self.sequence += 1;
                self.state.apply(self.sequence, &Command::ReplicaInSync { partition, epoch, member });
            }
        }
    }

    /// Whether every member of every chain is in sync and alive.
    pub fn is_in_sync(&self, alive: &[u64]) -> bool {
        self.records().values().all(|record| {
            record.in_sync.len() == record.chain.len()
                && record.chain.iter().all(|member| alive.contains(member))
        })
    }

    /// Whether a member is in no chain.
    pub fn is_empty(&self, member: u64) -> bool {
        self.records().values().all(|record| !record.chain.contains(&member))
    }

    /// Changes the chains of some partitions, where a member is not alive or is to leave.
    pub fn plan(&mut self, alive: &[u64], mut looks_at: impl FnMut(u16) -> bool) {
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
            if change.partition < self.partitions && looks_at(change.partition) {
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
