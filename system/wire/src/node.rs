//! What is known of a node of the system itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Takes requests from clients.
    Edge,
    /// Member of the control plane.
    Control,
    /// Keeps batch jobs.
    Backend,
}

/// One life of one process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// What it does.
    pub role: Role,
    /// The machine's name, as the operator knows it.
    pub name: String,
    /// Drawn at random at each start of the process.
    pub incarnation: u64,
    /// The identity of its disk, drawn when the disk was empty; 0 where there is no disk.
    pub member: u64,
    /// Where it takes internal messages.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}
