//! Acknowledges the draining and deregistration of stores once all members of the chain have the change. Drives
//! [`PendingAcknowledgements`].

use std::time::Duration;

use gingerledge_wire::Key;
use tokio::sync::oneshot::Sender;

use super::chain_replicas::ChainReplicas;
use super::reads::{PendingRead, PendingReads};
use super::request::Acknowledgement;
use crate::sessions::{Confirmation, PendingAcknowledgements};

/// The drained and deregistered stores whose callers wait for the acknowledgement. Dropping a reply signals to its caller that
/// the change could not be acknowledged.
#[derive(Debug, Default)]
pub(super) struct SessionEndAcknowledgements {
    pending: PendingAcknowledgements<Sender<Acknowledgement>>,
}

impl SessionEndAcknowledgements {
    /// Adds a change that has already been published.
    pub(super) fn add(&mut self, now: Duration, key: Key, reply: Sender<Acknowledgement>) {
        drop(self.pending.add(now, key, reply));
    }

    /// Makes the pending acknowledgements be evaluated again, because a member may have received more entries or the membership
    /// has changed.
    pub(super) fn request_evaluation(&mut self) {
        self.pending.request_evaluation();
    }

    /// Drops the replies whose time-out has passed.
    pub(super) fn expire(&mut self, now: Duration) {
        drop(self.pending.expire(now));
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.pending.next_timer()
    }

    /// Returns the token of the chain read to be started if a change needs a confirmation of the membership.
    pub(super) fn request_confirmation(
        &mut self,
        replicas: &ChainReplicas<'_>,
        reads: &mut PendingReads,
    ) -> Option<u64> {
        let epoch = replicas.epoch()?;
        if !self.pending.needs_confirmation(|key| replicas.all_have(key)) {
            return None;
        }
        let Some(token) = reads.add(PendingRead::MembershipConfirmation) else {
            self.pending.request_evaluation();
            return None;
        };
        let confirmation = Confirmation { token, epoch };
        self.pending.on_confirmation_requested(confirmation, |key| replicas.all_have(key));
        Some(token)
    }

    /// Processes the result of a membership confirmation: acknowledges the changes that it covers, or requests another one.
    pub(super) fn on_read_finished(&mut self, token: u64, is_confirmed: bool, replicas: &ChainReplicas<'_>) {
        let Some(epoch) = replicas.epoch().filter(|_| is_confirmed) else {
            return self.pending.on_confirmation_failed(token);
        };
        for reply in self.pending.on_confirmed(token, epoch, |key| replicas.all_have(key)) {
            // The store may have stopped waiting.
            let _ = reply.send(Acknowledgement { is_chain_fresh: true });
        }
    }
}
