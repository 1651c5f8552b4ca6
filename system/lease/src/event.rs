//! The events that go into the lease, and the actions that come out.

use std::time::Duration;

use crate::{LeaseMessage, VoterId};

/// An event that the host gives to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The process has started; given once, first.
    Started {
        /// Whether this is the first start of this process and of all the voters, so that no grants can be outstanding.
        is_founding: bool,
    },
    /// The voters of an epoch. Older and repeated ones are ignored.
    Voters {
        /// The epoch.
        epoch: u64,
        /// The voters.
        voters: Vec<VoterId>,
    },
    /// This process has sealed an epoch: it grants nothing more in it.
    Sealed {
        /// The epoch.
        epoch: u64,
    },
    /// Who may hold the lease, the preferred one first. A process that isn't named doesn't request the lease, and releases it.
    Candidates {
        /// The candidates.
        order: Vec<VoterId>,
    },
    /// A message has arrived.
    Message {
        /// The sender.
        from: VoterId,
        /// The message.
        message: LeaseMessage,
    },
    /// Release the lease; this process requests it again only after the duration of a grant.
    Release,
    /// The time of [`Lease::next_timer`](crate::Lease::next_timer) has come.
    TimerExpired,
}

/// An action that the host carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send a message, once.
    Send {
        /// The receiver.
        to: VoterId,
        /// The message.
        message: LeaseMessage,
    },
    /// The lease is held.
    Acquired {
        /// The generation: higher than those before, unless a majority of the voters has started again in this epoch.
        generation: u64,
        /// When it expires, if it isn't renewed.
        held_until: Duration,
    },
    /// The lease is held for longer.
    Renewed {
        /// The generation.
        generation: u64,
        /// When it expires.
        held_until: Duration,
    },
    /// The lease isn't held any more.
    Lost {
        /// The generation.
        generation: u64,
    },
}
