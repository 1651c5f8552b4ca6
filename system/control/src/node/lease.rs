//! Drives the coordinator lease. The voters of the control chain grant the lease, and the members of the chain are its
//! candidates.

use std::time::Duration;

use gingerledge_chain::{MemberId, Membership};
use gingerledge_lease::{Lease, LeaseAction, LeaseEvent, LeaseSettings, VoterId};
use gingerledge_wire::{Envelope, LeaseMessage};

use super::clock::Clock;
use super::coordinator_tasks::CoordinatorTasks;
use super::messenger::Messenger;
use super::peers::PeerDirectory;

/// The term of a grant is the minimum time between the orders of two coordinators, divided by this number.
const LEASE_TERM_DIVISOR: u32 = 2;

/// The coordinator lease at this node, as voter and as candidate. Sends messages to the addresses in the directory, and notifies
/// the coordinator tasks when the lease is held or lost.
#[derive(Debug)]
pub(super) struct LeaseDriver {
    clock: Clock,
    messenger: Messenger,
    lease: Lease,
    actions: Vec<LeaseAction>,
    /// The members of the chain in order, starting with the head.
    chain: Vec<VoterId>,
    /// Whether this node is stopping, and so is no longer a candidate.
    is_released: bool,
}

impl LeaseDriver {
    /// Starts the lease of a new process. `lease_time` is the minimum time between the orders of two coordinators; `is_founding`
    /// is true if no process of the system has run before.
    pub(super) fn start(
        clock: Clock,
        messenger: Messenger,
        lease_time: Duration,
        is_founding: bool,
        seed: u64,
    ) -> Self {
        let settings = LeaseSettings::new(lease_time / LEASE_TERM_DIVISOR);
        let mut lease = Lease::new(VoterId(messenger.own_record().member), settings, seed);
        let mut actions = Vec::new();
        lease.handle(Duration::ZERO, LeaseEvent::Started { is_founding }, &mut actions);
        Self { clock, messenger, lease, actions, chain: Vec::new(), is_released: false }
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.lease.next_timer()
    }

    /// Time until which this node holds the lease, if it does.
    pub(super) fn held_until(&self, now: Duration) -> Option<Duration> {
        self.lease.held_until(now)
    }

    /// Processes a message from another voter or candidate.
    pub(super) fn on_message(
        &mut self,
        from: u64,
        message: LeaseMessage,
        directory: &PeerDirectory,
        coordinator: &mut CoordinatorTasks,
    ) {
        self.handle_event(LeaseEvent::Message { from: VoterId(from), message }, directory, coordinator);
    }

    /// Processes the lease's timer if it is due.
    pub(super) fn handle_timeout(
        &mut self,
        now: Duration,
        directory: &PeerDirectory,
        coordinator: &mut CoordinatorTasks,
    ) {
        if self.lease.next_timer().is_some_and(|due| due <= now) {
            self.handle_event(LeaseEvent::TimerExpired, directory, coordinator);
        }
    }

    /// Processes the sealing of a view: this node grants nothing in it any more.
    pub(super) fn on_view_sealed(
        &mut self,
        epoch: u64,
        directory: &PeerDirectory,
        coordinator: &mut CoordinatorTasks,
    ) {
        self.handle_event(LeaseEvent::Sealed { epoch }, directory, coordinator);
    }

    /// Processes the installation of a view: its voters grant the lease, and the members of its chain are the candidates.
    pub(super) fn on_view_installed(
        &mut self,
        membership: &Membership,
        last_coordinator: Option<u64>,
        directory: &PeerDirectory,
        coordinator: &mut CoordinatorTasks,
    ) {
        let voters = voter_ids(&membership.voters);
        let event = LeaseEvent::Voters { epoch: membership.epoch, voters };
        self.handle_event(event, directory, coordinator);
        self.chain = voter_ids(&membership.chain);
        self.update_candidates(last_coordinator, directory, coordinator);
    }

    /// Makes the members of the chain the candidates. The machine that coordinated last is preferred: it continues without a
    /// handover, whereas another machine may have to wait until orders of the previous coordinator can't arrive any more.
    pub(super) fn update_candidates(
        &mut self,
        last_coordinator: Option<u64>,
        directory: &PeerDirectory,
        coordinator: &mut CoordinatorTasks,
    ) {
        if self.is_released {
            return;
        }
        let mut order = self.chain.clone();
        order.sort_by_key(|member| Some(member.0) != last_coordinator);
        self.handle_event(LeaseEvent::Candidates { order }, directory, coordinator);
    }

    /// Releases the lease permanently, because this node is stopping.
    pub(super) fn release(&mut self, directory: &PeerDirectory, coordinator: &mut CoordinatorTasks) {
        self.is_released = true;
        self.handle_event(LeaseEvent::Candidates { order: Vec::new() }, directory, coordinator);
    }

    fn handle_event(
        &mut self,
        event: LeaseEvent,
        directory: &PeerDirectory,
        coordinator: &mut CoordinatorTasks,
    ) {
        self.lease.handle(self.clock.now(), event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                LeaseAction::Send { to, message } => self.send(to, message, directory),
                LeaseAction::Acquired { generation, held_until } => {
                    log::info!(generation; "coordinator lease acquired");
                    coordinator.on_lease_held(held_until);
                }
                LeaseAction::Renewed { held_until, .. } => coordinator.on_lease_held(held_until),
                LeaseAction::Lost { generation } => {
                    log::info!(generation; "coordinator lease lost");
                    coordinator.on_lease_lost();
                }
            }
        }
    }

    fn send(&self, to: VoterId, message: LeaseMessage, directory: &PeerDirectory) {
        if let Some(address) = directory.address(to.0) {
            let from = self.messenger.own_record().member;
            self.messenger.send(address, Envelope::Lease { from, message });
        }
    }
}

fn voter_ids(members: &[MemberId]) -> Vec<VoterId> {
    members.iter().map(|member| VoterId(member.0)).collect()
}
