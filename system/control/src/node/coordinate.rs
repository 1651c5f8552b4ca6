//! The coordinator's loops: while this node holds the lease it takes a fencing token, and then keeps comparing what is wanted with
//! what is. Its planners are in [`crate::coordinator`].

mod partitions;
mod weights;

use std::collections::BTreeSet;
use std::time::Duration;

use gingerledge_wire::{BackendReport, Command, CommandOutcome, Coordinator, NodeRecord};
use tokio::sync::mpsc::UnboundedSender;

use super::commands::CoordinatorCommand;
use super::orders::{OrderGate, OrderNews};
use super::Node;
use crate::coordinator::backends::{BackendReports, BackendSettings};
use crate::coordinator::load_schedule::{LoadSchedule, LoadScheduleSettings};
use crate::coordinator::model_usage::ModelUsage;

use weights::Engines;

/// An order may be on its way for this long, so that the turns of two holders keep so much more apart.
const ORDER_TRAVEL: Duration = Duration::from_millis(400);

/// A holder before that was not heard for so long is taken to have ended or to be cut off.
const HOLDER_SILENCE: Duration = Duration::from_millis(1_000);

/// All stores have announced themselves after this much of their intervals, in percent.
const HEARD_PERCENT: u32 = 130;

/// How far this node is in becoming the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leadership {
    /// Another node holds the lease, or none.
    None,
    /// It asks the chain for a fencing token.
    TakingFence {
        /// Since when it has held the lease.
        held_since: Duration,
    },
    /// It has the token, once its own state shows it.
    Fenced {
        /// The token.
        token: u64,
        /// Since when it has held the lease.
        held_since: Duration,
    },
    /// It does the work.
    Active {
        /// The fencing token.
        token: u64,
        /// Since when.
        since: Duration,
        /// Orders to stores may be sent from then on.
        orders_from: Duration,
    },
}

/// What the coordinator knows and does.
#[derive(Debug)]
pub(super) struct Coordination {
    pub leadership: Leadership,
    backends: BackendReports,
    partitions_under_way: BTreeSet<u16>,
    backends_under_way: BTreeSet<u64>,
    completion_under_way: bool,
    settlement_under_way: bool,
    engines: Engines,
    uses: ModelUsage,
    loads: LoadSchedule,
    weights_dirty: bool,
    gate: OrderGate,
    news: UnboundedSender<OrderNews>,
}

impl Coordination {
    pub(super) fn new(gate: OrderGate, news: UnboundedSender<OrderNews>) -> Self {
        Self {
            leadership: Leadership::None,
            backends: BackendReports::new(BackendSettings::default()),
            partitions_under_way: BTreeSet::new(),
            backends_under_way: BTreeSet::new(),
            completion_under_way: false,
            settlement_under_way: false,
            engines: Engines::default(),
            uses: ModelUsage::default(),
            loads: LoadSchedule::new(LoadScheduleSettings::default()),
            weights_dirty: true,
            gate,
            news,
        }
    }

    pub(super) fn backend_reported(&mut self, now: Duration, node: &NodeRecord, report: BackendReport) {
        self.backends.on_report(now, node, report);
    }

    pub(super) fn resumed(&mut self, now: Duration) {
        self.backends.restart_timeouts(now);
    }

    /// Something that the weights depend on has changed.
    pub(super) fn weights_changed(&mut self) {
        self.weights_dirty = true;
    }

    fn end(&mut self) {
        self.leadership = Leadership::None;
        self.gate.close();
        self.loads.clear();
    }
}

impl Node {
    /// The lease is held until then. The work begins with the next look.
    pub(super) fn lease_held(&mut self, until: Duration) {
        if let Leadership::Active { orders_from, .. } = self.coordination.leadership {
            if self.clock.now() >= orders_from {
                self.coordination.gate.open_until(until);
            }
        }
    }

    pub(super) fn lease_lost(&mut self) {
        self.coordination.end();
    }

    /// One look at everything.
    pub(super) fn coordinate(&mut self, now: Duration) {
        let Some(until) = self.lease.held_until(now) else {
            if self.coordination.leadership != Leadership::None {
                self.coordination.end();
            }
            return;
        };
        match self.coordination.leadership {
            Leadership::None => self.take_fence(now),
            Leadership::TakingFence { .. } => {}
            Leadership::Fenced { token, held_since } => self.begin_coordinating(now, token, held_since),
            Leadership::Active { token, since, orders_from } => {
                if self.chain.state().fencing_token() > token {
                    log::info!("another coordinator has taken a newer fencing token");
                    self.coordination.end();
                    return;
                }
                self.keep_partitions(now, token, since);
                self.keep_retiring();
                if now >= orders_from {
                    self.settle_fence(token);
                    self.coordination.gate.open_until(until);
                    self.keep_weights(now, token);
                }
            }
        }
    }

    fn take_fence(&mut self, now: Duration) {
        self.coordination.leadership = Leadership::TakingFence { held_since: now };
        let command = Command::AllocateFencingToken {
            incarnation: self.messenger.own().incarnation,
            address: self.messenger.own().address,
        };
        self.submit_own(command, CoordinatorCommand::FencingToken);
    }

    pub(super) fn fence_taken(&mut self, outcome: Option<CommandOutcome>) {
        let Leadership::TakingFence { held_since } = self.coordination.leadership else { return };
        self.coordination.leadership = match outcome {
            Some(CommandOutcome::FencingToken(token)) => Leadership::Fenced { token, held_since },
            _ => Leadership::None,
        };
    }

    /// Notes for whoever follows on this machine that the machine before needs to be waited for no more.
    fn settle_fence(&mut self, token: u64) {
        let unsettled = self
            .chain
            .state()
            .fencing()
            .is_some_and(|fence| fence.token == token && fence.previous_owner.is_some());
        if unsettled && !self.coordination.settlement_under_way {
            self.coordination.settlement_under_way = true;
            self.submit_own(Command::CompleteHandover { token }, CoordinatorCommand::Handover);
        }
    }

    pub(super) fn fence_settled(&mut self) {
        self.coordination.settlement_under_way = false;
    }

    /// Whether the holder before may still be at work: it may have sent orders until its lease ended. Stores that check fencing
    /// tokens refuse it from now on, so there only a process that is known to live is waited for.
    fn must_wait_for(&self, previous: Option<&Coordinator>, now: Duration) -> bool {
        let Some(previous) = previous.filter(|previous| previous.address != self.messenger.own().address)
        else {
            return false;
        };
        let heard_since = now.saturating_sub(HOLDER_SILENCE);
        !self.settings.bounds.fencing
            || self.peers.directory().is_alive(previous.address, previous.incarnation, heard_since)
    }

    fn begin_coordinating(&mut self, now: Duration, token: u64, held_since: Duration) {
        let Some(fence) = self.chain.state().fencing() else { return };
        if fence.token > token {
            self.coordination.end();
            return;
        }
        if fence.token < token {
            return;
        }
        let orders_from = if self.must_wait_for(fence.previous_owner.as_ref(), now) {
            held_since + Duration::from_millis(self.settings.bounds.lease_ms) + ORDER_TRAVEL
        } else {
            now
        };
        // After a start all stores have to be heard first, else loads go to the wrong ones.
        let all_heard = HEARD_PERCENT * Duration::from_millis(self.settings.heartbeat_ms) / 100;
        let orders_from = orders_from.max(all_heard);
        log::info!("coordinates under fencing token {token}");
        self.coordination.leadership = Leadership::Active { token, since: now, orders_from };
        self.coordination.weights_dirty = true;
        self.coordination.partitions_under_way.clear();
        self.coordination.backends_under_way.clear();
    }
}
