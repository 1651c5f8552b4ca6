//! The internal messages of the rollout scheduler, and the records that they carry. Every message is one [`Envelope`];
//! each plane has a module here with its own part of it. Nothing in this crate does I/O.

mod command;
mod control;
mod jobs;
mod node;
mod registry;
mod relay;
mod stable_hash;

use serde::{Deserialize, Serialize};

pub use gingerledge_chain::{ChainMessage, ReplicaMessage};
pub use gingerledge_lease::LeaseMessage;

pub use command::{Command, CommandOutcome, RetirementState};
pub use control::{BackendReport, ControlMessage};
pub use jobs::{
    partition_of, DriverLeaseState, DriverTerm, ItemRecord, JobId, JobRecord, JobsMessage, JobsRequest,
    JobsResponse, PartialText, ResultRecord, ScoringRecord, PARTITION_COUNT,
};
pub use node::{NodeRecord, Role};
pub use registry::{
    Coordinator, Entry, Key, PartitionRecord, Registry, StoreRecord, Value, FINAL_VERSION, MAX_ENTRIES,
    TOMBSTONE_RANK,
};
pub use relay::{FreshnessTick, RelayMessage};
pub use stable_hash::stable_hash;

/// One internal message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Envelope {
    /// Among control nodes: the control chain and its views.
    Chain {
        /// The sender's member identity.
        from: u64,
        /// The message.
        message: ChainMessage,
    },
    /// Among control nodes: the coordinator's lease.
    Lease {
        /// The sender's member identity.
        from: u64,
        /// The message.
        message: LeaseMessage,
    },
    /// Between any node and a control node.
    Control(ControlMessage),
    /// The relay tree.
    Relay(RelayMessage),
    /// Between edges and backends.
    Jobs(JobsMessage),
    /// Between backends: one partition's chain.
    Partition {
        /// The partition.
        partition: u16,
        /// The sender's member identity.
        from: u64,
        /// The message.
        message: ReplicaMessage,
    },
}
