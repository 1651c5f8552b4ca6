//! The tasks of the coordinator. While this node holds the coordinator lease it allocates a fencing token, and then repeatedly
//! compares the wanted state with the current state, and submits commands and sends orders to reconcile them. The planners are in
//! [`crate::coordinator`].
//!
//! Only the holder of the newest fencing token coordinates (Burrows' Chubby calls such a token a sequencer). Stores that check
//! tokens reject the orders of former coordinators. Other stores are protected by time: the orders of two coordinators are at
//! least the lease time apart.

mod leadership;
mod load_task;
mod order_gate;
mod partitions;
mod weights;

use std::time::Duration;

use gingerledge_protocol::Settings;
use gingerledge_wire::{BackendReport, Command, CommandOutcome, Coordinator, NodeRecord, Registry};
use tokio::sync::mpsc::UnboundedSender;

use super::clock::Clock;
use super::commands::{CommandClient, CoordinatorCommand, CoordinatorOutcome};
use super::peers::PeerDirectory;
use super::relay_host::RelayHost;
use super::session_host::SessionHost;
use crate::state::{ConfigurationState, ControlState};

pub(super) use leadership::Leadership;
pub(super) use load_task::LoadResult;

use partitions::PartitionTask;
use weights::WeightTask;

/// Maximum time for which an order is in flight. The orders of two coordinators are kept further apart by this time.
const MAX_ORDER_FLIGHT_TIME: Duration = Duration::from_millis(400);
/// A previous coordinator that was not seen for this time has ended or is partitioned from this node.
const PREVIOUS_COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after the start by which all stores have sent a heartbeat, in percent of their heartbeat interval.
const FIRST_HEARTBEATS_PERCENT: u32 = 130;

/// Settings of the coordinator tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct CoordinatorSettings {
    /// Number of machines that may fail at the same time.
    fault_tolerance: usize,
    /// Minimum time between the orders of two coordinators.
    lease_time: Duration,
    /// Interval between the heartbeats of a store.
    store_heartbeat_interval: Duration,
    /// Whether stores check fencing tokens.
    stores_check_tokens: bool,
}

impl From<&Settings> for CoordinatorSettings {
    fn from(settings: &Settings) -> Self {
        Self {
            fault_tolerance: settings.fault_tolerance.machines,
            lease_time: Duration::from_millis(settings.bounds.lease_ms),
            store_heartbeat_interval: Duration::from_millis(settings.heartbeat_ms),
            stores_check_tokens: settings.bounds.fencing,
        }
    }
}

/// The input of the coordinator: the replicated state, the registry, and the directory of the control nodes.
#[derive(Clone, Copy, Debug)]
pub(super) struct CoordinatorView<'a> {
    pub state: &'a ControlState,
    pub registry: &'a Registry,
    pub directory: &'a PeerDirectory,
}

/// The coordinator tasks of this node.
#[derive(Debug)]
pub(super) struct CoordinatorTasks {
    clock: Clock,
    own_record: NodeRecord,
    settings: CoordinatorSettings,
    leadership: Leadership,
    is_handover_in_flight: bool,
    partitions: PartitionTask,
    weights: WeightTask,
}

impl CoordinatorTasks {
    /// Creates the coordinator tasks of a node. The results of loads are sent to `load_results` and have to be passed to
    /// [`Self::on_load_result`].
    pub(super) fn new(
        clock: Clock,
        own_record: NodeRecord,
        settings: CoordinatorSettings,
        load_results: UnboundedSender<LoadResult>,
    ) -> Self {
        Self {
            clock,
            settings,
            leadership: Leadership::Follower,
            is_handover_in_flight: false,
            partitions: PartitionTask::new(settings.fault_tolerance),
            weights: WeightTask::new(clock, own_record.name.clone(), load_results),
            own_record,
        }
    }

    /// The progress of this node in becoming the coordinator.
    pub(super) fn leadership(&self) -> Leadership {
        self.leadership
    }

    /// Processes the report of a backend.
    pub(super) fn on_backend_report(&mut self, now: Duration, node: &NodeRecord, report: BackendReport) {
        self.partitions.on_backend_report(now, node, report);
    }

    /// Restarts the time-outs of reports, after this process was suspended and received none.
    pub(super) fn restart_timeouts(&mut self, now: Duration) {
        self.partitions.restart_timeouts(now);
    }

    /// Processes a change of a registry entry that the weights depend on.
    pub(super) fn on_weight_inputs_changed(&mut self) {
        self.weights.mark_dirty();
    }

    /// Processes an edge's notice of a batch job for a model.
    pub(super) fn on_model_used(
        &mut self,
        configuration: &ConfigurationState,
        model: &str,
        host: &str,
        path: &str,
        min_version: u64,
    ) {
        self.weights.on_model_used(configuration, model, host, path, min_version);
    }

    /// Processes the result of a load at a store. A store that has received a newer fencing token ends the leadership.
    pub(super) fn on_load_result(
        &mut self,
        now: Duration,
        result: LoadResult,
        sessions: &mut SessionHost,
        relay: &mut RelayHost,
    ) {
        let is_fenced = self.weights.on_load_result(now, result, sessions, relay);
        if is_fenced {
            self.end_leadership();
        }
    }

    /// Processes the acquisition or renewal of the lease, which is held until `until`. Coordination starts with the next run.
    pub(super) fn on_lease_held(&mut self, until: Duration) {
        if let Leadership::Active { orders_from, .. } = self.leadership {
            if self.clock.now() >= orders_from {
                self.weights.allow_orders_until(until);
            }
        }
    }

    /// Processes the loss of the lease.
    pub(super) fn on_lease_lost(&mut self) {
        self.end_leadership();
    }

    fn end_leadership(&mut self) {
        self.leadership = Leadership::Follower;
        self.weights.stop();
    }

    /// Runs all coordinator tasks once. `lease_until` is the time until which this node holds the coordinator lease, if it does.
    pub(super) fn run(
        &mut self,
        now: Duration,
        lease_until: Option<Duration>,
        view: CoordinatorView<'_>,
        commands: &mut CommandClient,
    ) {
        let Some(lease_until) = lease_until else {
            if self.leadership != Leadership::Follower {
                self.end_leadership();
            }
            return;
        };
        match self.leadership {
            Leadership::Follower => self.allocate_token(now, commands),
            Leadership::AllocatingToken { .. } => {}
            Leadership::TokenAllocated { token, lease_since } => {
                self.begin_coordinating(now, token, lease_since, view);
            }
            Leadership::Active { token, since, orders_from } => {
                if view.state.fencing_token() > token {
                    log::info!(token; "coordinator superseded by a newer fencing token");
                    self.end_leadership();
                    return;
                }
                self.partitions.run(now, token, since, view.state, commands);
                self.partitions.complete_retirement(view.state, commands);
                if now >= orders_from {
                    self.complete_handover(token, view.state, commands);
                    self.weights.allow_orders_until(lease_until);
                    self.weights.run(now, token, view.state, view.registry);
                }
            }
        }
    }

    fn allocate_token(&mut self, now: Duration, commands: &mut CommandClient) {
        self.leadership = Leadership::AllocatingToken { lease_since: now };
        let command = Command::AllocateFencingToken {
            incarnation: self.own_record.incarnation,
            address: self.own_record.address,
        };
        if commands.submit_for_coordinator(command, CoordinatorCommand::FencingToken).is_err() {
            self.on_token_outcome(None);
        }
    }

    fn on_token_outcome(&mut self, outcome: Option<CommandOutcome>) {
        let Leadership::AllocatingToken { lease_since } = self.leadership else { return };
        self.leadership = match outcome {
            Some(CommandOutcome::FencingToken(token)) => Leadership::TokenAllocated { token, lease_since },
            _ => Leadership::Follower,
        };
    }

    fn begin_coordinating(
        &mut self,
        now: Duration,
        token: u64,
        lease_since: Duration,
        view: CoordinatorView<'_>,
    ) {
        let Some(fencing) = view.state.fencing() else { return };
        if fencing.token > token {
            self.end_leadership();
            return;
        }
        if fencing.token < token {
            return;
        }
        let orders_from = if self.must_wait_for(fencing.previous_owner.as_ref(), now, view.directory) {
            lease_since + self.settings.lease_time + MAX_ORDER_FLIGHT_TIME
        } else {
            now
        };
        // After a start, the registry lacks stores whose first heartbeats are still to come, so the loads would be planned for
        // the wrong stores.
        let all_stores_known_at = FIRST_HEARTBEATS_PERCENT * self.settings.store_heartbeat_interval / 100;
        let orders_from = orders_from.max(all_stores_known_at);
        log::info!(token; "coordinator active");
        self.leadership = Leadership::Active { token, since: now, orders_from };
        self.weights.mark_dirty();
        self.partitions.clear_in_flight();
    }

    /// Whether orders of the previous coordinator may still arrive. It may have sent orders until its lease ended. Stores that
    /// check fencing tokens reject them from now on, so with such stores the wait is needed only for a process that is known to
    /// be alive.
    fn must_wait_for(
        &self,
        previous: Option<&Coordinator>,
        now: Duration,
        directory: &PeerDirectory,
    ) -> bool {
        let Some(previous) = previous.filter(|previous| previous.address != self.own_record.address) else {
            return false;
        };
        let seen_since = now.saturating_sub(PREVIOUS_COORDINATOR_TIMEOUT);
        !self.settings.stores_check_tokens
            || directory.is_alive(previous.address, previous.incarnation, seen_since)
    }

    /// Records for the next coordinator on this machine that orders of the previous coordinator's machine can't arrive any more.
    fn complete_handover(&mut self, token: u64, state: &ControlState, commands: &mut CommandClient) {
        let is_incomplete =
            state.fencing().is_some_and(|fencing| fencing.token == token && fencing.previous_owner.is_some());
        if !is_incomplete || self.is_handover_in_flight {
            return;
        }
        let command = Command::CompleteHandover { token };
        self.is_handover_in_flight =
            commands.submit_for_coordinator(command, CoordinatorCommand::Handover).is_ok();
    }

    /// Processes the outcome of a command of this coordinator, which is unknown if the command has expired.
    pub(super) fn on_command_outcome(&mut self, outcome: CoordinatorOutcome) {
        let CoordinatorOutcome { command, outcome } = outcome;
        match command {
            CoordinatorCommand::FencingToken => self.on_token_outcome(outcome),
            CoordinatorCommand::Handover => self.is_handover_in_flight = false,
            CoordinatorCommand::Partition(partition) => {
                self.partitions.on_partition_outcome(partition, outcome.as_ref());
            }
            CoordinatorCommand::Backend(member) => self.partitions.on_registration_outcome(member),
            CoordinatorCommand::Retirement => self.partitions.on_retirement_outcome(),
        }
    }
}
