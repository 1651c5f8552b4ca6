//! The progress of this node in becoming the coordinator.

use std::fmt::{Display, Formatter};
use std::time::Duration;

/// The state of this node's leadership. The `status` response shows its `Display` text to operators, so that text must not
/// change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::node) enum Leadership {
    /// The node does not hold the coordinator lease.
    Follower,
    /// The node holds the lease, and has submitted the command that allocates its fencing token.
    AllocatingToken {
        /// Time since which the node has held the lease.
        lease_since: Duration,
    },
    /// The fencing token is allocated. The node coordinates once its own state contains the token.
    TokenAllocated {
        /// The fencing token.
        token: u64,
        /// Time since which the node has held the lease.
        lease_since: Duration,
    },
    /// The node is the coordinator.
    Active {
        /// The fencing token.
        token: u64,
        /// Time since which the node has been the coordinator.
        since: Duration,
        /// Time from which orders may be sent to stores.
        orders_from: Duration,
    },
}

impl Display for Leadership {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Follower => write!(formatter, "None"),
            Self::AllocatingToken { lease_since } => {
                write!(formatter, "TakingFence {{ held_since: {lease_since:?} }}")
            }
            Self::TokenAllocated { token, lease_since } => {
                write!(formatter, "Fenced {{ token: {token}, held_since: {lease_since:?} }}")
            }
            Self::Active { token, since, orders_from } => {
                write!(
                    formatter,
                    "Active {{ token: {token}, since: {since:?}, orders_from: {orders_from:?} }}"
                )
            }
        }
    }
}
