//! The events that a host sends to a lease, and the actions that the host carries out for it.

use std::time::Duration;

use crate::{LeaseMessage, VoterId};

/// An event that the host sends to the lease of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The process has started. Sent once, before all other events.
    Started {
        /// Whether this is the first start of this process and of all the voters, so that no grants can be outstanding.
        is_founding: bool,
    },
    /// The voters of an epoch. Events of older or repeated epochs are ignored.
    Voters {
        /// The epoch of the voters.
        epoch: u64,
        /// The voters of the epoch.
        voters: Vec<VoterId>,
    },
    /// This process has sealed an epoch: as a voter, it grants nothing more in it.
    Sealed {
        /// The sealed epoch.
        epoch: u64,
    },
    /// The processes that may hold the lease, the preferred one first. A process that is not on the list does not request the
    /// lease, and releases it if it holds it.
    Candidates {
        /// The candidates, in order of preference.
        order: Vec<VoterId>,
    },
    /// A message has arrived.
    Message {
        /// The sender.
        from: VoterId,
        /// The message.
        message: LeaseMessage,
    },
    /// Release the lease. This process requests it again only after the duration of a grant.
    Release,
    /// The time returned by [`Lease::next_timer`](crate::Lease::next_timer) has been reached.
    TimerExpired,
}

/// An action that the host carries out for the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send a message once.
    Send {
        /// The receiver.
        to: VoterId,
        /// The message.
        message: LeaseMessage,
    },
    /// The lease has been acquired.
    Acquired {
        /// The generation. It is higher than all earlier ones, unless a majority of the voters has restarted in this epoch.
        generation: u64,
        /// When the lease expires if it is not renewed.
        held_until: Duration,
    },
    /// The lease has been renewed.
    Renewed {
        /// The generation of the lease.
        generation: u64,
        /// When the lease expires if it is not renewed again.
        held_until: Duration,
    },
    /// The lease is no longer held.
    Lost {
        /// The generation of the lost lease.
        generation: u64,
    },
}
