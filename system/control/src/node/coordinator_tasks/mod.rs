//! The work of the coordinator: while this node holds the coordinator lease it allocates a fencing token, and then compares again and again
//! what is wanted with what is, and submits commands and sends orders to bring the two together. The planners are in
//! [`crate::coordinator`].
//!
//! Only the holder of the newest fencing token coordinates (Burrows' Chubby calls such a token a sequencer). Stores that check tokens reject
//! the orders of former coordinators; others are protected by time, since the orders of two coordinators keep a lease apart.

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

/// An order may be in flight for this long, so the orders of two coordinators keep so much more apart.
const MAX_ORDER_FLIGHT: Duration = Duration::from_millis(400);
/// A previous coordinator that was not seen for this long has ended or is partitioned from this node.
const PREVIOUS_COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1_000);
/// All stores have sent a heartbeat after this part of their interval, in percent.
const FIRST_HEARTBEATS_PERCENT: u32 = 130;

/// What the coordinator goes by.
#[derive(Clone, Copy, Debug)]
pub(super) struct CoordinatorSettings {
    /// How many machines may be lost at a time.
    fault_tolerance: usize,
    /// The orders of two coordinators keep this far apart.
    lease_time: Duration,
    /// Time between the heartbeats of a store.
    store_interval: Duration,
    /// Whether stores check fencing tokens.
    do_stores_check_tokens: bool,
}

impl From<&Settings> for CoordinatorSettings {
    fn from(settings: &Settings) -> Self {
        Self {
            fault_tolerance: settings.fault_tolerance.machines,
            lease_time: Duration::from_millis(settings.bounds.lease_ms),
            store_interval: Duration::from_millis(settings.heartbeat_ms),
            do_stores_check_tokens: settings.bounds.fencing,
        }
    }
}

/// What the coordinator compares: the replicated state, and what is known of the system.
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
    own: NodeRecord,
    settings: CoordinatorSettings,
    leadership: Leadership,
    is_handover_in_flight: bool,
    partitions: PartitionTask,
    weights: WeightTask,
}

impl CoordinatorTasks {
    /// The tasks of a node; the results of loads go to `load_results`, and come back in [`Self::on_load_result`].
    pub(super) fn new(
        clock: Clock,
        own: NodeRecord,
        settings: CoordinatorSettings,
        load_results: UnboundedSender<LoadResult>,
    ) -> Self {
        Self {
            clock,
            settings,
            leadership: Leadership::Follower,
            is_handover_in_flight: false,
            partitions: PartitionTask::new(settings.fault_tolerance),
            weights: WeightTask::new(clock, own.name.clone(), load_results),
            own,
        }
    }

    /// How far this node is in becoming the coordinator.
    pub(super) fn leadership(&self) -> Leadership {
        self.leadership
    }

    /// A backend has reported.
    pub(super) fn on_backend_report(&mut self, now: Duration, node: &NodeRecord, report: BackendReport) {
        self.partitions.on_backend_report(now, node, report);
    }

    /// This process stood still and received no reports.
    pub(super) fn restart_timeouts(&mut self, now: Duration) {
        self.partitions.restart_timeouts(now);
    }

    /// An entry of the registry has changed that the weights depend on.
    pub(super) fn on_weight_inputs_changed(&mut self) {
        self.weights.mark_dirty();
    }

    /// An edge has seen a batch job for a model.
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

    /// A load at a store has ended. A store that has seen a newer fencing token ends the leadership.
    pub(super) fn on_load_result(
        &mut self,
        now: Duration,
        result: LoadResult,
        sessions: &mut SessionHost,
        relay: &mut RelayHost,
    ) {
        let is_fenced = self.weights.on_load_result(now, result, sessions, relay);
        if is_fenced {
            self.end();
        }
    }

    /// The lease is held until then. The work begins with the next run.
    pub(super) fn on_lease_held(&mut self, until: Duration) {
        if let Leadership::Active { orders_from, .. } = self.leadership {
            if self.clock.now() >= orders_from {
                self.weights.allow_orders_until(until);
            }
        }
    }

    /// The lease is lost.
    pub(super) fn on_lease_lost(&mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.leadership = Leadership::Follower;
        self.weights.stop();
    }

    /// Compares everything once. `lease_until` says until when this node holds the coordinator lease, if it does.
    pub(super) fn run(
        &mut self,
        now: Duration,
        lease_until: Option<Duration>,
        view: CoordinatorView<'_>,
        commands: &mut CommandClient,
    ) {
        let Some(lease_until) = lease_until else {
            if self.leadership != Leadership::Follower {
                self.end();
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
                    self.end();
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
        let command =
            Command::AllocateFencingToken { incarnation: self.own.incarnation, address: self.own.address };
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
            self.end();
            return;
        }
        if fencing.token < token {
            return;
        }
        let orders_from = if self.must_wait_for(fencing.previous_owner.as_ref(), now, view.directory) {
            lease_since + self.settings.lease_time + MAX_ORDER_FLIGHT
        } else {
            now
        };
        // After a start, the registry lacks stores whose heartbeats are still to come: loads would go to the wrong ones.
        let all_stores_known = FIRST_HEARTBEATS_PERCENT * self.settings.store_interval / 100;
        let orders_from = orders_from.max(all_stores_known);
        log::info!(token; "coordinator active");
        self.leadership = Leadership::Active { token, since: now, orders_from };
        self.weights.mark_dirty();
        self.partitions.forget_in_flight();
    }

    /// Whether orders of the previous coordinator may still arrive: it may have sent them until its lease ended. Stores that check
    /// fencing tokens reject them from now on, so there only a process that is known to be alive is waited for.
    fn must_wait_for(
        &self,
        previous: Option<&Coordinator>,
        now: Duration,
        directory: &PeerDirectory,
    ) -> bool {
        let Some(previous) = previous.filter(|previous| previous.address != self.own.address) else {
            return false;
        };
        let seen_since = now.saturating_sub(PREVIOUS_COORDINATOR_TIMEOUT);
        !self.settings.do_stores_check_tokens
            || directory.is_alive(previous.address, previous.incarnation, seen_since)
    }

    /// Records, for the next coordinator on this machine, that orders of the previous machine can't arrive any more.
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

    /// The outcome of a command of this coordinator has come, or its time is over.
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
