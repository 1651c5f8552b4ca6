//! Acknowledgements of draining stores and of ended sessions, deferred until the whole control chain has the change. Sans I/O.
//!
//! Every edge that is connected to the control plane must respect such an acknowledgement, whichever control node gave it. So it is given only once
//!
//! 1. every other member of the control chain has acknowledged the replicated change, and
//! 2. after that, the whole chain has confirmed that this membership is still in force.
//!
//! Only members of the chain in force send fresh ticks to edges, and a tick passes the whole chain, so whoever updates an edge has the
//! change. A node that is partitioned from the chain never gets the confirmation and acknowledges nothing; its callers get an answer
//! that sends them to another control node.

use std::time::Duration;

use gingerledge_wire::Key;

/// A store waits one second for its answer; before that it has to be sent to another control node.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(900);
/// Most changes that wait for their acknowledgement.
pub const MAX_PENDING_ACKNOWLEDGEMENTS: usize = 8_192;

/// A request to the chain to confirm that the membership of an epoch is still in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The token of the read that asks for it.
    pub token: u64,
    /// The epoch whose members have the change.
    pub epoch: u64,
}

#[derive(Debug)]
struct PendingAcknowledgement<R> {
    key: Key,
    deadline: Duration,
    reply: R,
    confirmation: Option<Confirmation>,
}

/// Changes that are acknowledged once the whole chain has them, each with where its acknowledgement goes (`R`).
#[derive(Debug)]
pub struct PendingAcknowledgements<R> {
    /// In the order of their deadlines.
    pending: Vec<PendingAcknowledgement<R>>,
    /// Something has happened since the last evaluation, so that a change may be replicated to all members now.
    needs_evaluation: bool,
}

impl<R> Default for PendingAcknowledgements<R> {
    fn default() -> Self {
        Self { pending: Vec::new(), needs_evaluation: false }
    }
}

impl<R> PendingAcknowledgements<R> {
    /// Adds a change that is in the registry and being replicated already. Returns the reply if too many wait.
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

    /// Has the next call of [`Self::needs_confirmation`] look at all changes again: a member has acknowledged a batch, or the
    /// membership has changed.
    pub fn reevaluate(&mut self) {
        self.needs_evaluation = true;
    }

    /// Removes the changes whose time is over, unacknowledged, and returns their replies.
    pub fn expire(&mut self, now: Duration) -> Vec<R> {
        if self.next_timer().is_none_or(|first| now < first) {
            return Vec::new();
        }
        self.remove_where(|acknowledgement| acknowledgement.deadline <= now)
    }

    /// Whether the chain should confirm its membership: a change without a confirmation is replicated to all members. Evaluates nothing
    /// where nothing has happened since the last call.
    pub fn needs_confirmation(&mut self, is_replicated: impl Fn(&Key) -> bool) -> bool {
        if !std::mem::take(&mut self.needs_evaluation) {
            return false;
        }
        self.pending.iter().any(|acknowledgement| {
            acknowledgement.confirmation.is_none() && is_replicated(&acknowledgement.key)
        })
    }

    /// The chain has been asked for a confirmation, which counts for the changes that are replicated to all members already.
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

    /// The chain has confirmed the membership in force, that of `epoch`. Returns the replies of the changes that may be acknowledged; the
    /// others that waited for this confirmation need another one.
    pub fn on_confirmed(&mut self, token: u64, epoch: u64, is_replicated: impl Fn(&Key) -> bool) -> Vec<R> {
        let confirmation = Some(Confirmation { token, epoch });
        let acknowledged = self.remove_where(|acknowledgement| {
            acknowledgement.confirmation == confirmation && is_replicated(&acknowledgement.key)
        });
        self.on_confirmation_failed(token);
        acknowledged
    }

    /// The chain could not confirm its membership: the changes that waited for it need another confirmation.
    pub fn on_confirmation_failed(&mut self, token: u64) {
        for acknowledgement in &mut self.pending {
            acknowledgement.confirmation =
                acknowledgement.confirmation.filter(|confirmation| confirmation.token != token);
        }
        self.needs_evaluation = true;
    }

    /// When the first one expires.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        self.pending.first().map(|acknowledgement| acknowledgement.deadline)
    }

    fn remove_where(&mut self, test: impl Fn(&PendingAcknowledgement<R>) -> bool) -> Vec<R> {
        let (removed, left) = std::mem::take(&mut self.pending).into_iter().partition(test);
        self.pending = left;
        let removed: Vec<PendingAcknowledgement<R>> = removed;
        removed.into_iter().map(|acknowledgement| acknowledgement.reply).collect()
    }
}
