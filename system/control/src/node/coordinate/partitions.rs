//! Keeps the chains of the partitions of batch jobs, and empties backends.

use std::time::Duration;

use gingerledge_wire::{Command, CommandOutcome, RetirementState};

use super::super::commands::CoordinatorCommand;
use super::super::Node;
use crate::coordinator::partitions::{Backends, Change};

impl Node {
    pub(super) fn keep_partitions(&mut self, now: Duration, fence: u64, since: Duration) {
        self.note_full_members();
        self.note_backends();
        for Change { partition, record } in self.partition_changes(now, since) {
            if self.coordination.partitions_under_way.insert(partition) {
                let command = Command::SetPartition { partition, record, fencing_token: fence };
                self.submit_own(command, CoordinatorCommand::Partition(partition));
            }
        }
    }

    fn partition_changes(&self, now: Duration, since: Duration) -> Vec<Change> {
        let partitions = self.chain.state().partitions();
        let reports = &self.coordination.backends;
        let chains = partitions.all().map(|(_, record)| record);
        let is_retiring = |member| self.chain.state().retirements().contains_member(member);
        let address_of = |member| self.chain.state().backends().get(member);
        let conditions = reports.conditions(now, since, chains, address_of, is_retiring);
        let backends = Backends::new(conditions, self.settings.fault_tolerance.machines);
        let gathered = reports.has_settled(now);
        let mut changes = backends.plan(|partition| partitions.get(partition));
        changes.retain(|change| gathered || change.record.epoch > 1);
        changes
    }

    fn note_full_members(&mut self) {
        let partitions = self.chain.state().partitions();
        for full in self.coordination.backends.newly_in_sync(|partition| partitions.get(partition)) {
            if self.coordination.partitions_under_way.insert(full.partition) {
                let (partition, epoch, member) = (full.partition, full.epoch, full.member);
                let command = Command::ReplicaInSync { partition, epoch, member };
                self.submit_own(command, CoordinatorCommand::Partition(partition));
            }
        }
    }

    /// Keeps where the disks are: the next coordinator may know nothing but that.
    fn note_backends(&mut self) {
        for (member, address) in
            self.coordination.backends.unregistered(|member| self.chain.state().backends().get(member))
        {
            if self.coordination.backends_under_way.insert(member) {
                self.submit_own(
                    Command::RegisterBackend { member, address },
                    CoordinatorCommand::Backend(member),
                );
            }
        }
    }

    pub(in crate::node) fn backend_noted(&mut self, member: u64) {
        self.coordination.backends_under_way.remove(&member);
    }

    pub(in crate::node) fn partition_submitted(&mut self, partition: u16, outcome: Option<&CommandOutcome>) {
        self.coordination.partitions_under_way.remove(&partition);
        match outcome {
            Some(CommandOutcome::Applied) => {}
            other => log::info!("the change of partition {partition} was not taken: {other:?}"),
        }
    }

    /// A backend in no chain any more is empty once every chain has all its copies elsewhere. A chain that lost it while it was silent
    /// may still be filling its replacement: until then the machine's going would be a second loss.
    pub(super) fn keep_retiring(&mut self) {
        let copies = self.settings.fault_tolerance.machines as u64 + 1;
        if self.coordination.completion_under_way
            || !self.chain.state().partitions().all_have_replicas(copies)
        {
            return;
        }
        let empty = self.chain.state().retirements().all().find(|(_, retiring)| {
            retiring.state == RetirementState::Active
                && !self.chain.state().partitions().is_member(retiring.member)
        });
        let Some((name, member)) = empty.map(|(name, retiring)| (name.to_owned(), retiring.member)) else {
            return;
        };
        self.coordination.completion_under_way = true;
        self.submit_own(
            Command::CompleteRetirement { name, member, replicas: copies },
            CoordinatorCommand::Retirement,
        );
    }

    pub(in crate::node) fn completion_submitted(&mut self) {
        self.coordination.completion_under_way = false;
    }
}
