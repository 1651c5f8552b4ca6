//! Repairs the chains of the partitions of batch jobs, registers the addresses of backends, and completes retirements. At most
//! one command is in flight for each partition, for each backend, and for all retirements together.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerledge_wire::{BackendReport, Command, CommandOutcome, NodeRecord, RetirementState};

use crate::coordinator::backends::{BackendReports, BackendSettings};
use crate::coordinator::partitions::{Backends, ChainChange};
use crate::node::commands::{CommandClient, CoordinatorCommand};
use crate::state::ControlState;

/// The coordinator's task for partitions and backends.
#[derive(Debug)]
pub(super) struct PartitionTask {
    fault_tolerance: usize,
    reports: BackendReports,
    partitions_in_flight: BTreeSet<u16>,
    registrations_in_flight: BTreeSet<u64>,
    is_retirement_in_flight: bool,
}

impl PartitionTask {
    pub(super) fn new(fault_tolerance: usize) -> Self {
        Self {
            fault_tolerance,
            reports: BackendReports::new(BackendSettings::default()),
            partitions_in_flight: BTreeSet::new(),
            registrations_in_flight: BTreeSet::new(),
            is_retirement_in_flight: false,
        }
    }

    /// Processes the report of a backend.
    pub(super) fn on_backend_report(&mut self, now: Duration, node: &NodeRecord, report: BackendReport) {
        self.reports.on_report(now, node, report);
    }

    /// Restarts the time-outs of reports, after this process was suspended and received none.
    pub(super) fn restart_timeouts(&mut self, now: Duration) {
        self.reports.restart_timeouts(now);
    }

    /// Clears the record of commands in flight, since the outcomes of commands of a former leadership are not waited for.
    pub(super) fn clear_in_flight(&mut self) {
        self.partitions_in_flight.clear();
        self.registrations_in_flight.clear();
    }

    /// Submits all changes that are needed now. The node has coordinated under `token` since `coordinating_since`.
    pub(super) fn run(
        &mut self,
        now: Duration,
        token: u64,
        coordinating_since: Duration,
        state: &ControlState,
        commands: &mut CommandClient,
    ) {
        self.submit_replicas_in_sync(state, commands);
        self.submit_registrations(state, commands);
        for ChainChange { partition, record } in self.planned_changes(now, coordinating_since, state) {
            let command = Command::SetPartition { partition, record, fencing_token: token };
            self.submit_change(partition, command, commands);
        }
    }

    fn planned_changes(
        &self,
        now: Duration,
        coordinating_since: Duration,
        state: &ControlState,
    ) -> Vec<ChainChange> {
        let partitions = state.partitions();
        let chains = partitions.all().map(|(_, record)| record);
        let address_of = |member| state.backends().get(member);
        let is_retiring = |member| state.retirements().contains_member(member);
        let conditions = self.reports.conditions(now, coordinating_since, chains, address_of, is_retiring);
        let backends = Backends::new(conditions, self.fault_tolerance);
        let has_settled = self.reports.has_settled(now);
        let mut changes = backends.plan(|partition| partitions.get(partition));
        changes.retain(|change| has_settled || change.record.epoch > 1);
        changes
    }

    fn submit_replicas_in_sync(&mut self, state: &ControlState, commands: &mut CommandClient) {
        let partitions = state.partitions();
        for replica in self.reports.newly_in_sync(|partition| partitions.get(partition)) {
            let (partition, epoch, member) = (replica.partition, replica.epoch, replica.member);
            let command = Command::ReplicaInSync { partition, epoch, member };
            self.submit_change(partition, command, commands);
        }
    }

    /// Submits the change of a partition unless another change of it is in flight.
    fn submit_change(&mut self, partition: u16, command: Command, commands: &mut CommandClient) {
        if !self.partitions_in_flight.insert(partition) {
            return;
        }
        let id = CoordinatorCommand::Partition(partition);
        if commands.submit_for_coordinator(command, id).is_err() {
            self.on_partition_outcome(partition, None);
        }
    }

    /// Registers the addresses of backends. After a failover the next coordinator may know nothing else about where their disks
    /// are.
    fn submit_registrations(&mut self, state: &ControlState, commands: &mut CommandClient) {
        for (member, address) in self.reports.unregistered(|member| state.backends().get(member)) {
            if !self.registrations_in_flight.insert(member) {
                continue;
            }
            let command = Command::RegisterBackend { member, address };
            if commands.submit_for_coordinator(command, CoordinatorCommand::Backend(member)).is_err() {
                self.on_registration_outcome(member);
            }
        }
    }

    pub(super) fn on_registration_outcome(&mut self, member: u64) {
        self.registrations_in_flight.remove(&member);
    }

    pub(super) fn on_partition_outcome(&mut self, partition: u16, outcome: Option<&CommandOutcome>) {
        self.partitions_in_flight.remove(&partition);
        if outcome != Some(&CommandOutcome::Applied) {
            log::info!(partition, outcome:?; "partition change not applied");
        }
    }

    /// Completes the retirement of one backend that is not in a chain any more, once every chain has all its replicas on other
    /// backends. A chain that lost the backend while it was unreachable may still be filling its replacement: until then, losing
    /// the machine would be a second loss.
    pub(super) fn complete_retirement(&mut self, state: &ControlState, commands: &mut CommandClient) {
        let replicas = self.fault_tolerance as u64 + 1;
        if self.is_retirement_in_flight || !state.partitions().all_have_replicas(replicas) {
            return;
        }
        let completable = state.retirements().all().find(|(_, retirement)| {
            retirement.state == RetirementState::Active && !state.partitions().is_member(retirement.member)
        });
        let Some((name, retirement)) = completable else { return };
        let command =
            Command::CompleteRetirement { name: name.to_owned(), member: retirement.member, replicas };
        self.is_retirement_in_flight =
            commands.submit_for_coordinator(command, CoordinatorCommand::Retirement).is_ok();
    }

    pub(super) fn on_retirement_outcome(&mut self) {
        self.is_retirement_in_flight = false;
    }
}
