//! Messages of the relay tree, which brings the registry from the control nodes to all others.

use serde::{Deserialize, Serialize};

use crate::registry::Entry;

/// A proof of freshness: numbered by the head of the control chain, sent on only once the whole chain has passed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FreshnessTick {
    /// The epoch of the control chain's view.
    pub epoch: u64,
    /// Rises within the epoch.
    pub number: u64,
}

/// One message between a parent and a child of the tree.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RelayMessage {
    /// A node asks to become a child. Its copy is described by one hash for each bucket of keys.
    Subscribe {
        /// Drawn anew for each try, so that late answers are told apart.
        subscription: u64,
        /// The hash of the copy's entries, by bucket; an empty one asks for everything.
        digest: Vec<u64>,
        /// The number of the change of the configuration that it has; 0 to be sent the whole one.
        configuration: u64,
        /// How many more children of its own the node would take.
        free_child_slots: u16,
        /// How many children the node takes at most; 0 if none ever.
        capacity: u16,
    },
    /// The parent has taken the child; what differs follows as updates.
    SubscribeAccepted {
        /// From the subscription.
        subscription: u64,
    },
    /// The parent has no room, or is not fresh itself; others to ask.
    SubscribeDeclined {
        /// From the subscription.
        subscription: u64,
        /// Nodes that may have room.
        alternatives: Vec<std::net::SocketAddr>,
    },
    /// Entries that are new, in order of `sequence` without gaps within one subscription.
    Update {
        /// From the subscription.
        subscription: u64,
        /// From 1, by one for each update.
        sequence: u64,
        /// What is new.
        entries: Vec<Entry>,
        /// For each entry that says "gone", in order, for how long it has; such an entry is let go everywhere at the same time.
        tombstone_ages_ms: Vec<u32>,
        /// The newest tick for which the child has, with this update, all that the parent had when it saw the tick.
        tick: FreshnessTick,
        /// For how long the parent has had that tick, as counted along the whole path from the root.
        tick_age_ms: u32,
    },
    /// The child lives, and has taken everything up to a sequence.
    Ack {
        /// From the subscription.
        subscription: u64,
        /// The newest sequence taken.
        sequence: u64,
        /// How many more children of its own the node would take.
        free_child_slots: u16,
    },
    /// Either side ends it.
    Unsubscribe {
        /// From the subscription.
        subscription: u64,
    },
}
