//! The search for a parent, one attempt after the other. One without a response doesn't delay the next for long (the next is hedged),
//! and may still be accepted while that is pending.
//!
//! A search runs while a node has no parent, or one through which no ticks come. The old parent is kept until another accepts,
//! since ticks may stand still for all: then the tree stays as it is.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::children::ChildCapacity;
use crate::directory::Directory;
use crate::settings::RelaySettings;

/// The longest time-out of an attempt is so many times the shortest.
const MAX_TIMEOUT_FACTOR: u32 = 3;
/// Attempts that may be pending at a time.
const MAX_PENDING_ATTEMPTS: usize = 3;

/// A search in progress.
#[derive(Debug)]
pub(crate) struct ParentSearch {
    pending: VecDeque<Attempt>,
    round: u32,
    is_in_round: bool,
    backoff: Duration,
    next_at: Duration,
}

/// A subscription without a response yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The receiver of the request.
    pub to: SocketAddr,
    /// The identifier of the subscription.
    pub subscription: u64,
    /// What the node reported of itself.
    pub child_capacity: ChildCapacity,
    /// Whether it requested a full copy.
    pub full_copy: bool,
    /// Until when a response counts.
    expires_at: Duration,
}

/// The content of a request to subscribe.
#[derive(Clone, Copy)]
pub(crate) struct SubscribeRequest<'a> {
    /// Where nodes are.
    pub directory: &'a Directory,
    /// The hash of each bucket; empty for a full copy.
    pub digest: &'a [u64],
    /// The number of the change of the configuration that the node has; 0 to be sent it in full.
    pub configuration: u64,
    /// How many children this node accepts itself.
    pub child_capacity: ChildCapacity,
}

impl ParentSearch {
    /// A search whose first round begins now.
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

    /// There are no candidates left. Begins the next round if its time has come; else the current round ends with a backoff, which
    /// grows from round to round. Returns whether a round begins.
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

    /// An attempt failed: the next one is due, unless the round is over.
    pub(crate) fn expedite_next(&mut self, now: Duration) {
        if self.is_in_round {
            self.next_at = now;
        }
    }

    /// There are new candidates, which belong to the same round.
    pub(crate) fn extend_round(&mut self, now: Duration) {
        self.is_in_round = true;
        self.next_at = now;
    }

    /// A new round is due now.
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

    /// Removes the attempt that a message responds to.
    pub(crate) fn remove_attempt(&mut self, from: SocketAddr, subscription: u64) -> Option<Attempt> {
        let at = self
            .pending
            .iter()
            .position(|pending| pending.to == from && pending.subscription == subscription)?;
        self.pending.remove(at)
    }

    /// Removes the attempts at a node that can't be reached; returns whether there were any.
    pub(crate) fn remove_attempts_to(&mut self, peer: SocketAddr) -> bool {
        let before = self.pending.len();
        self.pending.retain(|attempt| attempt.to != peer);
        self.pending.len() < before
    }

    /// Removes the attempts without a response in time, and returns them.
    pub(crate) fn remove_expired(&mut self, now: Duration) -> Vec<Attempt> {
        let expired = self.pending.iter().copied().filter(|attempt| attempt.expires_at <= now).collect();
        self.pending.retain(|attempt| attempt.expires_at > now);
        expired
    }

    /// When there is something to do.
    pub(crate) fn next_timer(&self) -> Duration {
        let answers = self.pending.iter().map(|attempt| attempt.expires_at);
        answers.fold(self.next_at, Duration::min)
    }
}
