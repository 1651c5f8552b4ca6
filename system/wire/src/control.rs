//! Messages between nodes and control nodes, and among control nodes beside the chain and the lease.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::command::{Command, CommandOutcome};
use crate::node::NodeRecord;
use crate::registry::Entry;

/// What a backend tells the coordinator with its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Partitions of which it holds everything in their current epoch: (partition, epoch).
    pub in_sync: Vec<(u16, u64)>,
    /// Bytes of batch jobs that it holds.
    pub bytes: u64,
    /// Its disk has not answered for longer than it should.
    pub disk_stalled: bool,
}

/// One message to or from a control node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlMessage {
    /// A node says that it lives: to any control node, and by backends to the coordinator as well.
    Heartbeat {
        /// The node.
        node: NodeRecord,
        /// Rises with each heartbeat of this incarnation.
        sequence: u64,
        /// From backends.
        report: Option<BackendReport>,
    },
    /// The answer: where control nodes are.
    HeartbeatAck {
        /// The sequence answered.
        sequence: u64,
        /// Control nodes.
        control_nodes: Vec<SocketAddr>,
    },
    /// A node stops on purpose.
    Goodbye {
        /// Its incarnation.
        incarnation: u64,
    },
    /// A control node tells another who it is and whom it knows.
    Hello {
        /// Itself.
        node: NodeRecord,
        /// Control nodes that it knows.
        known_peers: Vec<NodeRecord>,
        /// Whether an answer is wanted.
        wants_reply: bool,
    },
    /// A command, on its way to the head of the chain.
    Submit {
        /// Chosen by the sender; the outcome carries it.
        request: u64,
        /// Where the outcome goes.
        reply_to: SocketAddr,
        /// The command.
        command: Command,
    },
    /// The outcome, from the tail.
    SubmitResponse {
        /// From the submission.
        request: u64,
        /// What became of it; none if it was not taken by a chain at all.
        outcome: Option<CommandOutcome>,
    },
    /// Session changes for another control node.
    ReplicateSessions {
        /// Chosen by the sender.
        sequence: u64,
        /// Changed entries.
        entries: Vec<Entry>,
    },
    /// They were taken.
    ReplicateSessionsAck {
        /// From the message answered.
        sequence: u64,
    },
    /// From edges to the coordinator: a batch job has come, so the weights of this model are used by the route of this host and
    /// path.
    ModelUsed {
        /// The model.
        model: String,
        /// The host that the batch job was sent to.
        host: String,
        /// The path that it was sent to.
        path: String,
        /// The oldest version of the weights that it allows.
        min_version: u64,
    },
}
