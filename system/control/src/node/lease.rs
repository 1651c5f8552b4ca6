//! The coordinator's lease: its driver, and who may hold it. The voters of the control chain grant it, and the members of the chain
//! may hold it.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_chain::Membership;
use gingerledge_lease::{Lease, LeaseAction, LeaseEvent, LeaseSettings, VoterId};
use gingerledge_wire::{Envelope, LeaseMessage};

use super::Node;

/// A grant lasts for this part of the time that holders must not take turns in.
const TERM_DIVISOR: u32 = 2;

/// The lease, and who wants to know about it.
#[derive(Debug)]
pub(super) struct LeaseDriver {
    lease: Lease,
    /// The members of the chain, head first.
    members: Vec<VoterId>,
    actions: Vec<LeaseAction>,
    /// This node stops, so it is no candidate any more.
    is_released: bool,
}

impl LeaseDriver {
    /// The driver of a process that has just started; `founding` says that no process of the system has run before.
    pub(super) fn start(member: u64, lease_time: Duration, founding: bool, seed: u64) -> Self {
        let settings = LeaseSettings::new(lease_time / TERM_DIVISOR);
        let lease = Lease::new(VoterId(member), settings, seed);
        let mut driver = Self { lease, members: Vec::new(), actions: Vec::new(), is_released: false };
        driver.lease.handle(Duration::ZERO, LeaseEvent::Started { founding }, &mut driver.actions);
        driver
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.lease.next_timer()
    }

    /// Until when the lease is held, if it is.
    pub(super) fn held_until(&self, now: Duration) -> Option<Duration> {
        self.lease.held_until(now)
    }
}

impl Node {
    fn lease_event(&mut self, event: LeaseEvent) {
        let now = self.clock.now();
        self.lease.lease.handle(now, event, &mut self.lease.actions);
        self.carry_out_lease_actions();
    }

    fn carry_out_lease_actions(&mut self) {
        for action in std::mem::take(&mut self.lease.actions) {
            match action {
                LeaseAction::Send { to, message } => {
                    if let Some(address) = self.peers.directory().address(to.0) {
                        self.messenger
                            .send(address, Envelope::Lease { from: self.messenger.own().member, message });
                    }
                }
                LeaseAction::Acquired { generation, held_until } => {
                    log::info!("holds the coordinator's lease, generation {generation}");
                    self.lease_held(held_until);
                }
                LeaseAction::Renewed { held_until, .. } => self.lease_held(held_until),
                LeaseAction::Lost { generation } => {
                    log::info!("lost the coordinator's lease, generation {generation}");
                    self.lease_lost();
                }
            }
        }
    }

    pub(super) fn take_lease_message(&mut self, from: u64, message: LeaseMessage) {
        self.lease_event(LeaseEvent::Message { from: VoterId(from), message });
    }

    pub(super) fn run_lease_timer(&mut self, now: Duration) {
        if self.lease.next_timer().is_some_and(|due| due <= now) {
            self.lease_event(LeaseEvent::TimerExpired);
        }
    }

    /// This node has sealed a view, so it grants nothing in it any more.
    pub(super) fn lease_sealed(&mut self, epoch: u64) {
        self.lease_event(LeaseEvent::Sealed { epoch });
    }

    pub(super) fn release_lease(&mut self) {
        self.lease.is_released = true;
        self.lease_event(LeaseEvent::Candidates { order: Vec::new() });
    }

    /// The voters of a new view grant, and its chain's members may hold.
    pub(super) fn lease_voters(&mut self, members: &Membership) {
        let voters = members.voters.iter().map(|member| VoterId(member.0)).collect();
        self.lease_event(LeaseEvent::Voters { epoch: members.epoch, voters });
        self.lease.members = members.chain.iter().map(|member| VoterId(member.0)).collect();
        self.lease_candidates();
    }

    /// The members of the chain may hold the lease, before all others the machine that held it last: it goes on at once, where another
    /// one may have to wait until its first order is far enough from the last order of the one before.
    pub(super) fn lease_candidates(&mut self) {
        if self.lease.is_released {
            return;
        }
        let last = self.chain.state().fencing().and_then(|fence| self.address_member(fence.owner.address));
        let mut order = self.lease.members.clone();
        order.sort_by_key(|member| Some(*member) != last);
        self.lease_event(LeaseEvent::Candidates { order });
    }

    /// The control node's member at an address.
    fn address_member(&self, address: SocketAddr) -> Option<VoterId> {
        let member = if address == self.messenger.own().address {
            Some(self.messenger.own().member)
        } else {
            self.peers.directory().member_at(address)
        };
        member.map(VoterId)
    }
}
