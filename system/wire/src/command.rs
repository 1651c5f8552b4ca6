//! Commands of the control chain, applied by every control node in the same order, and their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::registry::PartitionRecord;

/// A change of the durable control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing; shows that the chain works.
    Noop,
    /// A whole configuration, valid in itself, on top of a version.
    ReplaceConfiguration {
        /// The operator's version that it builds on; 0 for the first.
        base: u64,
        /// The operator's version that it has.
        version: u64,
        /// The bytes that the operator sent.
        json: Arc<Vec<u8>>,
    },
    /// A trainer names a version of a model's weights.
    NameVersion {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// A new holder of the coordinator's lease takes the next fencing token.
    AllocateFencingToken {
        /// The holder's incarnation.
        incarnation: u64,
        /// Where it takes internal messages.
        address: SocketAddr,
    },
    /// The holder of a fencing token has waited until its turn is far enough from that of the machine before it.
    CompleteHandover {
        /// The token.
        token: u64,
    },
    /// A partition's chain changes; taken only on top of the epoch before, under the newest fencing token.
    SetPartition {
        /// The partition.
        partition: u16,
        /// The new chain, its epoch one above the current one.
        record: PartitionRecord,
        /// The coordinator's fencing token.
        fencing_token: u64,
    },
    /// A member of a partition's chain holds everything now.
    ReplicaInSync {
        /// The partition.
        partition: u16,
        /// The epoch in which it became so.
        epoch: u64,
        /// The member.
        member: u64,
    },
    /// The disk of a backend is at an address.
    RegisterBackend {
        /// The identity of its disk.
        member: u64,
        /// Where it takes internal messages.
        address: SocketAddr,
    },
    /// A backend is to be emptied.
    BeginRetirement {
        /// The machine's name.
        name: String,
        /// The identity of its disk.
        member: u64,
    },
    /// Named items of the configuration change, on top of a version.
    UpdateConfiguration {
        /// The operator's version that it builds on.
        base: u64,
        /// The operator's version that the result has.
        version: u64,
        /// The bytes that the operator sent.
        json: Arc<Vec<u8>>,
    },
    /// A backend is empty.
    CompleteRetirement {
        /// The machine's name.
        name: String,
        /// The identity of its disk.
        member: u64,
        /// How many full copies every partition must have without it: one more than the disks that may be lost at once.
        replicas: u64,
    },
}

/// What became of a command: the same at every control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// Taken now, or the very same was taken before.
    Applied,
    /// Taken; the fencing token.
    FencingToken(u64),
    /// Another version is current.
    Conflict {
        /// The current one.
        current: u64,
    },
    /// Refused whatever comes later.
    Invalid {
        /// Why.
        reason: String,
    },
    /// It was not taken now, and nobody knows any more what became of it before: no clear answer may be given.
    Indeterminate,
}

/// How far the emptying of a backend is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementState {
    /// Under way.
    Active,
    /// Nothing is on it any more.
    Completed,
}
