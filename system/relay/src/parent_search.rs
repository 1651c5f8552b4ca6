//! The search for a parent. Attempts are hedged: if one gets no response within a short delay, the next one starts, and the first may
//! still be accepted while the next is pending.
//!
//! A search runs while a node has no parent, or a parent that delivers no new ticks. The present parent is kept until another node
//! accepts, since the control chain may have stopped ticking for all nodes; the tree then keeps its shape.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::children::ChildCapacity;
use crate::directory::Directory;
use crate::settings::RelaySettings;

/// Ratio of the longest time-out of an attempt to the shortest.
const MAX_TIMEOUT_FACTOR: u32 = 3;
/// Maximum number of attempts that are pending at a time.
const MAX_PENDING_ATTEMPTS: usize = 3;

/// A search in progress.
#[derive(Debug)]
pub(crate) struct ParentSearch {
    pending: VecDeque<Attempt>,
    round: u32,
    is_in_round: bool,
    backoff: Duration,
    /// The time at which the next attempt or round is due.
    next_at: Duration,
}

/// A request to subscribe without a response yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The receiver of the request.
    pub to: SocketAddr,
    /// The identifier of the subscription.
    pub subscription: u64,
    /// The capacity for children that the request reported.
    pub child_capacity: ChildCapacity,
    /// Whether the request asks for a full copy of the registry.
    pub full_copy: bool,
    /// The time until which a response is accepted.
    expires_at: Duration,
}

/// The content of a request to subscribe.
#[derive(Clone, Copy)]
pub(crate) struct SubscribeRequest<'a> {
    /// The locations of the nodes in the registry.
    pub directory: &'a Directory,
    /// The hash of each bucket; empty for a full copy.
    pub digest: &'a [u64],
    /// Version of the configuration that the node has; 0 to request the full configuration.
    pub configuration_version: u64,
    /// The capacity of this node for children.
    pub child_capacity: ChildCapacity,
}

impl ParentSearch {
    /// Creates a search whose first round is due now.
    pub(crate) fn new(now: Duration, settings: &RelaySettings) -> Self {
        Self {
            pending: VecDeque::new(),
            round: 0,
            is_in_round: false,
            backoff: settings.min_backoff,
            next_at: now,
        }
    }

    /// Whether an attempt at a node is pending.
    pub(crate) fn is_pending(&self, address: &SocketAddr) -> bool {
        self.pending.iter().any(|attempt| attempt.to == *address)
    }

    /// Whether the next attempt is due.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        self.next_at <= now
    }

    /// Whether an earlier round found no parent.
    pub(crate) fn is_repeated(&self) -> bool {
        self.round > 1
    }

    /// Called when no candidates are left. Begins the next round if it is due; otherwise ends the current round with a backoff, which
    /// doubles from round to round. Returns whether a round begins.
    pub(crate) fn begin_round(&mut self, now: Duration, settings: &RelaySettings, rng: &mut Rng) -> bool {
        if !self.is_in_round {
            self.is_in_round = true;
            self.round = self.round.saturating_add(1);
            return true;
        }
        self.is_in_round = false;
        self.next_at = now + self.backoff.mul_f64(0.5 + 0.5 * rng.f64());
        self.backoff = (self.backoff * 2).min(settings.max_backoff);
        false
    }

    /// Makes the next attempt due now, after an attempt has failed, unless the round has ended.
    pub(crate) fn expedite_next(&mut self, now: Duration) {
        if self.is_in_round {
            self.next_at = now;
        }
    }

    /// Continues the round, or the last one if it has ended, with new candidates.
    pub(crate) fn extend_round(&mut self, now: Duration) {
        self.is_in_round = true;
        self.next_at = now;
    }

    /// Makes a new round due now.
    pub(crate) fn expedite_round(&mut self, now: Duration) {
        self.is_in_round = false;
        self.next_at = now;
    }

    /// Starts an attempt.
    pub(crate) fn start_attempt(
        &mut self,
        to: SocketAddr,
        request: SubscribeRequest<'_>,
        now: Duration,
        settings: &RelaySettings,
        rng: &mut Rng,
    ) -> Attempt {
        let timeout_factor = self.round.clamp(1, MAX_TIMEOUT_FACTOR);
        let expires_at = now + settings.response_timeout * timeout_factor;
        let attempt = Attempt {
            to,
            subscription: rng.u64(1..),
            child_capacity: request.child_capacity,
            full_copy: request.digest.is_empty(),
            expires_at,
        };
        if self.pending.len() >= MAX_PENDING_ATTEMPTS {
            self.pending.pop_front();
        }
        self.pending.push_back(attempt);
        self.next_at = now + settings.hedge_delay * timeout_factor;
        attempt
    }

    /// Removes and returns the attempt that a message responds to.
    pub(crate) fn remove_attempt(&mut self, from: SocketAddr, subscription: u64) -> Option<Attempt> {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.to == from && pending.subscription == subscription)?;
        self.pending.remove(index)
    }

    /// Removes the attempts at a node that cannot be reached; returns whether there were any.
    pub(crate) fn remove_attempts_to(&mut self, peer: SocketAddr) -> bool {
        let previous_count = self.pending.len();
        self.pending.retain(|attempt| attempt.to != peer);
        self.pending.len() < previous_count
    }

    /// Removes and returns the attempts that got no response in time.
    pub(crate) fn remove_expired(&mut self, now: Duration) -> Vec<Attempt> {
        let expired = self.pending.iter().copied().filter(|attempt| attempt.expires_at <= now).collect();
        self.pending.retain(|attempt| attempt.expires_at > now);
        expired
    }

    /// The time at which an attempt or round is due, or a pending attempt expires.
    pub(crate) fn next_timer(&self) -> Duration {
        let expiry_times = self.pending.iter().map(|attempt| attempt.expires_at);
        expiry_times.fold(self.next_at, Duration::min)
    }
}
