//! Messages of the relay tree, which distributes the registry from the control nodes to all other nodes.

use serde::{Deserialize, Serialize};

use crate::registry::Entry;

/// A proof of freshness: numbered by the head of the control chain, and distributed only after it has passed the whole chain. A node
/// with a young tick knows all that was committed before the tick was numbered.
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
    /// From a node to a possible parent: a request to become its child. The digest describes the child's replica by one hash for each
    /// bucket of keys; the parent sends the entries of differing buckets.
    Subscribe {
        /// Drawn at random for each attempt, so that late responses are recognized.
        subscription: u64,
        /// The hash of the replica's entries, by bucket; if empty, the parent sends all entries.
        digest: Vec<u64>,
        /// The sequence number of the child's configuration, on which the parent may send updates; 0 for the whole configuration.
        configuration: u64,
        /// How many more children the node itself accepts.
        free_child_slots: u16,
        /// How many children the node accepts at most; 0 if it is always a leaf.
        capacity: u16,
    },
    /// From the parent: the child is accepted; differing entries follow as updates.
    SubscribeAccepted {
        /// The subscription that it belongs to.
        subscription: u64,
    },
    /// From the requested parent: it has no capacity, or is not fresh itself.
    SubscribeDeclined {
        /// The subscription that it belongs to.
        subscription: u64,
        /// Internal addresses of nodes that may have capacity.
        alternatives: Vec<std::net::SocketAddr>,
    },
    /// From the parent: changed entries, in the order of `sequence` without gaps within one subscription. Sent also without entries,
    /// for its tick.
    Update {
        /// The subscription that it belongs to.
        subscription: u64,
        /// Starts at 1, and rises by 1 with each update.
        sequence: u64,
        /// The changed entries.
        entries: Vec<Entry>,
        /// The age of each tombstone among the entries, in order. All nodes remove a tombstone at the same age.
        tombstone_ages_ms: Vec<u32>,
        /// The newest tick such that the child has, with this update, all entries that the parent had when it received the tick.
        tick: FreshnessTick,
        /// Age of the tick, added up along the whole path from the root.
        tick_age_ms: u32,
    },
    /// From the child, also as its heartbeat: all updates up to a sequence are applied.
    Ack {
        /// The subscription that it belongs to.
        subscription: u64,
        /// The sequence of the newest applied update.
        sequence: u64,
        /// How many more children the node itself accepts.
        free_child_slots: u16,
    },
    /// From either side: the subscription is ended.
    Unsubscribe {
        /// The subscription that it belongs to.
        subscription: u64,
    },
}
