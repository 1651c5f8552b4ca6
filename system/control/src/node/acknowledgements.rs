//! Acknowledges ends of stores to their callers once the whole chain has them: the driver of [`PendingAcknowledgements`].

use std::time::Duration;

use gingerledge_wire::Key;
use tokio::sync::oneshot::Sender;

use super::chain_replicas::ChainReplicas;
use super::reads::{PendingRead, PendingReads};
use super::request::Acknowledged;
use crate::sessions::{Confirmation, PendingAcknowledgements};

/// The ends of stores whose callers wait. Dropping a reply tells its caller that the change could not be acknowledged.
#[derive(Debug, Default)]
pub(super) struct EndAcknowledgements {
    pending: PendingAcknowledgements<Sender<Acknowledged>>,
}

impl EndAcknowledgements {
    /// Adds a change that is published already.
    pub(super) fn add(&mut self, now: Duration, key: Key, reply: Sender<Acknowledged>) {
        drop(self.pending.add(now, key, reply));
    }

    /// A member may have more than before, or the membership has changed.
    pub(super) fn reevaluate(&mut self) {
        self.pending.reevaluate();
    }

    /// Drops the callers whose time is over.
    pub(super) fn expire(&mut self, now: Duration) {
        drop(self.pending.expire(now));
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.pending.next_timer()
    }

    /// The token of the read that the chain should be asked for, if a change needs the confirmation of the membership.
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
            self.pending.reevaluate();
            return None;
        };
        let confirmation = Confirmation { token, epoch };
        self.pending.on_confirmation_requested(confirmation, |key| replicas.all_have(key));
        Some(token)
    }

    /// The chain has confirmed its membership, or could not.
    pub(super) fn on_read_finished(&mut self, token: u64, is_confirmed: bool, replicas: &ChainReplicas<'_>) {
        let Some(epoch) = replicas.epoch().filter(|_| is_confirmed) else {
            return self.pending.on_confirmation_failed(token);
        };
        for reply in self.pending.on_confirmed(token, epoch, |key| replicas.all_have(key)) {
            // The store may have given up.
            let _ = reply.send(Acknowledged { is_chain_fresh: true });
        }
    }
}
