//! Acknowledgements of draining stores and of ended sessions, deferred until all members of the control chain have the change.
//! Sans I/O.
//!
//! Every edge that is connected to the control plane must respect such an acknowledgement, whichever control node sent it. So it
//! is sent only after
//!
//! 1. every other member of the control chain has acknowledged the replicated change, and
//! 2. after that, the whole chain has confirmed that this membership is still in force.
//!
//! Only members of the chain in force send fresh ticks to edges, and a tick passes through all members of the chain, so every
//! node that updates an edge has the change. A node that is partitioned from the chain never gets the confirmation and
//! acknowledges nothing; its callers get a response that redirects them to another control node.

use std::time::Duration;

use gingerledge_wire::Key;

/// Time-out for acknowledging a change. A store waits one second for its response, so it must be redirected to another control
/// node before that.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of changes that wait for their acknowledgement.
pub const MAX_PENDING_ACKNOWLEDGEMENTS: usize = 8_192;

/// A request to the chain to confirm that the membership of an epoch is still in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Token of the chain read that requests the confirmation.
    pub token: u64,
    /// Epoch of the membership whose members have the change.
    pub epoch: u64,
}

#[derive(Debug)]
struct PendingAcknowledgement<R> {
    key: Key,
    deadline: Duration,
    reply: R,
    confirmation: Option<Confirmation>,
}

/// Changes that are acknowledged once all members of the chain have them, each with the destination `R` of its acknowledgement.
#[derive(Debug)]
pub struct PendingAcknowledgements<R> {
    /// The waiting changes, in the order of their deadlines.
    pending: Vec<PendingAcknowledgement<R>>,
    /// Whether an event since the last evaluation may have completed the replication of a change to all members.
    needs_evaluation: bool,
}

impl<R> Default for PendingAcknowledgements<R> {
    fn default() -> Self {
        Self { pending: Vec::new(), needs_evaluation: false }
    }
}

impl<R> PendingAcknowledgements<R> {
    /// Adds a change that is already in the registry and being replicated. Returns `reply` if too many changes wait.
    pub fn add(&mut self, now: Duration, key: Key, reply: R) -> Option<R> {
        if self.pending.len() >= MAX_PENDING_ACKNOWLEDGEMENTS {
            return Some(reply);
        }
        self.pending.push(PendingAcknowledgement {
            key,
            deadline: now + ACKNOWLEDGEMENT_TIMEOUT,
            reply,
            confirmation: None,
        });
        self.needs_evaluation = true;
        None
    }

    /// Makes the next call of [`Self::needs_confirmation`] evaluate all changes again, because a member has acknowledged a batch
    /// or the membership has changed.
    pub fn request_evaluation(&mut self) {
        self.needs_evaluation = true;
    }

    /// Removes the changes whose deadline has passed without an acknowledgement, and returns their replies.
    pub fn expire(&mut self, now: Duration) -> Vec<R> {
        if self.next_timer().is_none_or(|first| now < first) {
            return Vec::new();
        }
        self.remove_where(|acknowledgement| acknowledgement.deadline <= now)
    }

    /// Whether the chain should confirm its membership, because a change without a requested confirmation is replicated to all
    /// members. Returns false without evaluating the changes if nothing relevant has happened since the last call.
    pub fn needs_confirmation(&mut self, is_replicated: impl Fn(&Key) -> bool) -> bool {
        if !std::mem::take(&mut self.needs_evaluation) {
            return false;
        }
        self.pending.iter().any(|acknowledgement| {
            acknowledgement.confirmation.is_none() && is_replicated(&acknowledgement.key)
        })
    }

    /// Records that a confirmation was requested from the chain. It counts for the changes that are replicated to all members
    /// already.
    pub fn on_confirmation_requested(
        &mut self,
        confirmation: Confirmation,
        is_replicated: impl Fn(&Key) -> bool,
    ) {
        let unconfirmed =
            self.pending.iter_mut().filter(|acknowledgement| acknowledgement.confirmation.is_none());
        for acknowledgement in unconfirmed.filter(|acknowledgement| is_replicated(&acknowledgement.key)) {
            acknowledgement.confirmation = Some(confirmation);
        }
    }

    /// Processes the chain's confirmation that the membership of `epoch` is in force. Returns the replies of the changes that may
    /// be acknowledged; the other changes that waited for this confirmation need another one.
    pub fn on_confirmed(&mut self, token: u64, epoch: u64, is_replicated: impl Fn(&Key) -> bool) -> Vec<R> {
        let confirmation = Some(Confirmation { token, epoch });
        let acknowledged = self.remove_where(|acknowledgement| {
            acknowledgement.confirmation == confirmation && is_replicated(&acknowledgement.key)
        });
        self.on_confirmation_failed(token);
        acknowledged
    }

    /// Processes a failed confirmation: the changes that waited for it need another one.
    pub fn on_confirmation_failed(&mut self, token: u64) {
        for acknowledgement in &mut self.pending {
            acknowledgement.confirmation =
                acknowledgement.confirmation.filter(|confirmation| confirmation.token != token);
        }
        self.needs_evaluation = true;
    }

    /// Time at which the first waiting change expires.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        self.pending.first().map(|acknowledgement| acknowledgement.deadline)
    }

    fn remove_where(&mut self, predicate: impl Fn(&PendingAcknowledgement<R>) -> bool) -> Vec<R> {
        let (removed, remaining) = std::mem::take(&mut self.pending).into_iter().partition(predicate);
        self.pending = remaining;
        let removed: Vec<PendingAcknowledgement<R>> = removed;
        removed.into_iter().map(|acknowledgement| acknowledgement.reply).collect()
    }
}
