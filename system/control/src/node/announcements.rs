//! Acknowledges ends of stores once the whole chain holds them: the driver of [`PendingAcknowledgements`].

use std::time::Duration;

use gingerledge_chain::ChainEvent;
use gingerledge_wire::Key;
use tokio::sync::oneshot::Sender;

use super::request::Accepted;
use super::requests::Read;
use super::Node;
use crate::sessions::{Confirmation, PendingAcknowledgements};

/// Announcements with the callers that wait for them.
pub(super) type WaitingAnnouncements = PendingAcknowledgements<Sender<Accepted>>;

impl Node {
    /// Acknowledges a change, which is learned and shared already, once it may. If it can't in time, dropping the reply says so.
    pub(super) fn announce(&mut self, key: Key, reply: Sender<Accepted>) {
        let now = self.clock.now();
        drop(self.announcements.add(now, key, reply));
    }

    /// Gives up what has waited for too long, and has the chain confirm what its members hold.
    pub(super) fn look_after_announcements(&mut self, now: Duration) {
        drop(self.announcements.expire(now));
        let Some(epoch) = self.chain.membership().map(|members| members.epoch) else { return };
        let mut announcements = std::mem::take(&mut self.announcements);
        if announcements.needs_confirmation(|key| self.is_held_by_members(key)) {
            match self.add_read(Read::Announcements) {
                Some(token) => {
                    announcements.on_confirmation_requested(Confirmation { token, epoch }, |key| {
                        self.is_held_by_members(key)
                    });
                    self.chain.handle_event(ChainEvent::Read { token });
                }
                None => announcements.reevaluate(),
            }
        }
        self.announcements = announcements;
    }

    /// The chain has confirmed its membership, or could not.
    pub(super) fn finish_announcements(&mut self, token: u64, confirmed: bool) {
        let mut announcements = std::mem::take(&mut self.announcements);
        match self.chain.membership().map(|members| members.epoch).filter(|_| confirmed) {
            Some(epoch) => {
                for reply in announcements.on_confirmed(token, epoch, |key| self.is_held_by_members(key)) {
                    // The store may have given up.
                    let _ = reply.send(Accepted { chain_is_fresh: true });
                }
            }
            None => announcements.on_confirmation_failed(token),
        }
        self.announcements = announcements;
    }

    /// Whether all other members of the chain have answered that they hold the newest form of an entry. One that has not introduced
    /// itself to this process is not known to hold anything.
    fn is_held_by_members(&self, key: &Key) -> bool {
        let Some(members) = self.chain.membership() else { return false };
        let mut others = members.chain.iter().filter(|member| member.0 != self.messenger.own().member);
        others.all(|member| {
            self.peers
                .directory()
                .address(member.0)
                .is_some_and(|address| self.sharing.is_replicated_to(address, key))
        })
    }
}
