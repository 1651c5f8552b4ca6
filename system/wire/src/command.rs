//! Commands of the control chain, applied by every control node in the order of the log, and their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::registry::PartitionRecord;

/// A change of the replicated control state. Submitted by control nodes, proposed by the head of the chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; its commit proves that the chain makes progress.
    Noop,
    /// Replaces the whole configuration by a validated one, if the base is the current version.
    ReplaceConfiguration {
        /// The operator's version that it replaces; 0 for the first configuration.
        base: u64,
        /// The operator's version of the new configuration.
        version: u64,
        /// The JSON text as the operator sent it.
        json: Arc<Vec<u8>>,
    },
    /// A trainer announces a version of a model's weights; lower ones than the known version change nothing.
    NameVersion {
        /// The model's name.
        model: String,
        /// The version of the weights.
        version: u64,
    },
    /// Allocates the next fencing token for a new owner of the coordinator lease (Burrows 2006: sequencers).
    AllocateFencingToken {
        /// The lease owner's incarnation.
        incarnation: u64,
        /// Its internal listen address.
        address: SocketAddr,
    },
    /// The coordinator with this fencing token has waited until orders of the machine before it can no longer be in flight.
    CompleteHandover {
        /// The coordinator's fencing token.
        token: u64,
    },
    /// Changes the chain of a partition; applies only on the epoch before, under the newest fencing token.
    SetPartition {
        /// Number of the partition.
        partition: u16,
        /// The new chain, with the current epoch plus one.
        record: PartitionRecord,
        /// The coordinator's fencing token.
        fencing_token: u64,
    },
    /// A member of a partition's chain has become in sync.
    ReplicaInSync {
        /// Number of the partition.
        partition: u16,
        /// The epoch of the view in which it is in sync.
        epoch: u64,
        /// The member.
        member: u64,
    },
    /// Records at which address the disk of a backend is.
    RegisterBackend {
        /// The identity of its disk.
        member: u64,
        /// The backend's internal listen address.
        address: SocketAddr,
    },
    /// Begins to move all replicas off a backend.
    BeginRetirement {
        /// The machine's name in the operator's deploy file.
        name: String,
        /// The identity of its disk.
        member: u64,
    },
    /// Changes named items of the configuration, if the base is the current version.
    UpdateConfiguration {
        /// The operator's version that it updates.
        base: u64,
        /// The operator's version of the result.
        version: u64,
        /// The JSON text as the operator sent it.
        json: Arc<Vec<u8>>,
    },
    /// Completes a retirement, if every partition has enough replicas without the backend.
    CompleteRetirement {
        /// The machine's name in the operator's deploy file.
        name: String,
        /// The identity of its disk.
        member: u64,
        /// How many replicas in sync every partition must have without it: one more than the disks that may be lost at once.
        replicas: u64,
    },
}

/// Outcome of a command: the same at every control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// Applied, by this command or by an equal one before.
    Applied,
    /// Applied; the allocated fencing token.
    FencingToken(u64),
    /// The base is not the current version.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// Rejected; a retry can't succeed.
    Invalid {
        /// The reason, for the client.
        reason: String,
    },
    /// Not applied now, and the outcome of an earlier equal command is not known any more: neither success nor failure may be
    /// reported.
    Indeterminate,
}

/// Progress of a backend's retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementState {
    /// Replicas are being moved off it.
    Active,
    /// It has no replicas any more.
    Completed,
}
