//! The internal messages of the rollout scheduler, and the records that they carry. Every message is one [`Envelope`]; each plane has
//! a module here with its own messages. Nothing in this crate does I/O.
//!
//! Messages and records are encoded by bincode, which writes fields and variants by position: never reorder them, and add new ones
//! at the end. Delivery is at most once and in order only within a connection (`gingerledge-transport`); the protocols retry.
//! Unless a field says otherwise: an *incarnation* is drawn at random by each start of a process, a *member* is the identity of a
//! disk, an address is a node's internal listen address, a number of milliseconds ends with `_ms`.

#![warn(unreachable_pub)]

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

/// One internal message, from one node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Envelope {
    /// Between control nodes: replication of the control chain and agreement on its views.
    Chain {
        /// The sender's member identity.
        from: u64,
        /// The message.
        message: ChainMessage,
    },
    /// Between control nodes: the coordinator lease.
    Lease {
        /// The sender's member identity.
        from: u64,
        /// The message.
        message: LeaseMessage,
    },
    /// Between any node and a control node: sessions, commands, peers.
    Control(ControlMessage),
    /// Between parent and child of the relay tree: distribution of the registry.
    Relay(RelayMessage),
    /// Between edges and backends: batch jobs.
    Jobs(JobsMessage),
    /// Between backends: replication of one partition.
    Partition {
        /// Number of the partition, below [`PARTITION_COUNT`].
        partition: u16,
        /// The sender's member identity.
        from: u64,
        /// The message.
        message: ReplicaMessage,
    },
}
