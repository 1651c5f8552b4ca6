//! The nodes of the system itself, as they announce themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Serves clients: requests and batch jobs.
    Edge,
    /// Member of the control plane.
    Control,
    /// Stores batch jobs.
    Backend,
}

/// One incarnation of a node. Sent by the node with each heartbeat, and listed in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its role.
    pub role: Role,
    /// The machine's name in the operator's deploy file.
    pub name: String,
    /// Drawn at random by each start of the process; never 0.
    pub incarnation: u64,
    /// The identity of its disk, drawn when the disk was first used; 0 without a disk.
    pub member: u64,
    /// Its internal listen address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
}
