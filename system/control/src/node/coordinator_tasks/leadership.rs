//! How far this node is in becoming the coordinator.

use std::fmt::{Display, Formatter};
use std::time::Duration;

/// The state of this node's leadership. Its text is what `status` shows to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::node) enum Leadership {
    /// It does not hold the coordinator lease.
    Follower,
    /// It holds the lease, and has submitted the command that allocates its fencing token.
    AllocatingToken {
        /// Since when it has held the lease.
        lease_since: Duration,
    },
    /// Its token is allocated; it coordinates once its own state shows the token.
    TokenAllocated {
        /// The fencing token.
        token: u64,
        /// Since when it has held the lease.
        lease_since: Duration,
    },
    /// It coordinates.
    Active {
        /// The fencing token.
        token: u64,
        /// Since when it coordinates.
        since: Duration,
        /// Orders may be sent to stores from then on.
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
