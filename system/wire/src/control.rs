//! Messages between nodes and control nodes, and those between control nodes other than the chain's and the lease's.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::command::{Command, CommandOutcome};
use crate::node::NodeRecord;
use crate::registry::Entry;

/// The report of a backend to the coordinator, with its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Partitions of which its replica is in sync, with the epoch of the view: (partition, epoch).
    pub in_sync: Vec<(u16, u64)>,
    /// Estimated bytes of batch jobs in its memory.
    pub bytes: u64,
    /// Whether a write to its disk takes longer than the stall time-out (1 s).
    pub disk_stalled: bool,
}

/// One message to or from a control node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlMessage {
    /// From a node to one control node, which keeps its session; from backends also to the coordinator, with a report.
    /// The receiver renews the session and responds with [`ControlMessage::HeartbeatAck`].
    Heartbeat {
        /// The sender.
        node: NodeRecord,
        /// Rises with each heartbeat of this incarnation.
        sequence: u64,
        /// From backends to the coordinator; none in other heartbeats.
        report: Option<BackendReport>,
    },
    /// The response to a heartbeat. A node without one for a time-out turns to the next control node.
    HeartbeatAck {
        /// The sequence of the heartbeat.
        sequence: u64,
        /// Internal addresses of the control nodes known to the sender.
        control_nodes: Vec<SocketAddr>,
    },
    /// A node announces its graceful shutdown; the receiver ends its session, which can't come back.
    Goodbye {
        /// The node's incarnation.
        incarnation: u64,
    },
    /// Between control nodes: the sender and the peers that it knows. The receiver adds them to its directory.
    Hello {
        /// The sender.
        node: NodeRecord,
        /// Control nodes known to the sender.
        known_peers: Vec<NodeRecord>,
        /// Whether the receiver is to send a hello in response.
        wants_reply: bool,
    },
    /// Between control nodes: a command, forwarded to the head of the chain, which proposes it.
    Submit {
        /// The sender's number for the submission; the response carries it.
        request: u64,
        /// Internal address for the response.
        reply_to: SocketAddr,
        /// The command.
        command: Command,
    },
    /// The outcome of a submission, from the tail of the chain.
    SubmitResponse {
        /// The number of the submission.
        request: u64,
        /// The outcome; none if the chain did not accept the command.
        outcome: Option<CommandOutcome>,
    },
    /// Between control nodes: changed sessions, for the receiver's registry.
    ReplicateSessions {
        /// The sender's number for the message; the acknowledgement carries it.
        sequence: u64,
        /// Changed entries.
        entries: Vec<Entry>,
    },
    /// The receiver has merged the changed sessions.
    ReplicateSessionsAck {
        /// The number of the acknowledged message.
        sequence: u64,
    },
    /// From an edge to the coordinator: a batch job uses the weights of this model on the route of this host and path. The
    /// coordinator keeps the stores of the route at a permitted version.
    ModelUsed {
        /// The model's name.
        model: String,
        /// The host that the batch job was sent to.
        host: String,
        /// The path that it was sent to.
        path: String,
        /// The oldest version of the weights that it allows.
        min_version: u64,
    },
}
