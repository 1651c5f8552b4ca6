//! The context that a partition receives with every event, and the actions that it returns.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_chain::{LogRecord, MemberId, ReplicaMessage};
use gingerledge_wire::{JobsMessage, JobsResponse};

use super::edges::Edges;
use crate::store::Caller;

/// Inputs and output of a partition while it handles one event.
pub struct Context<'a> {
    /// Number of the partition, for log messages.
    pub partition: u16,
    /// Time since the start of the process, measured by a monotonic clock.
    pub now: Duration,
    /// The edges listed in the registry.
    pub edges: &'a Edges,
    /// Receives the actions of the partition, in order.
    pub out: &'a mut Vec<PartitionAction>,
}

impl Context<'_> {
    /// Sends a response to a client.
    pub(super) fn respond(&mut self, caller: Caller, body: JobsResponse) {
        let message = JobsMessage::Response { request: caller.request, body };
        self.send_to_edge(caller.reply_to, message);
    }

    /// Sends the same response to several clients, in order.
    pub(super) fn respond_all(&mut self, callers: impl IntoIterator<Item = Caller>, body: &JobsResponse) {
        for caller in callers {
            self.respond(caller, body.clone());
        }
    }

    /// Sends a message to an edge.
    pub(super) fn send_to_edge(&mut self, to: SocketAddr, message: JobsMessage) {
        self.out.push(PartitionAction::SendToEdge { to, message });
    }
}

/// Output action of a partition, for the backend to perform. Actions must be performed in order.
#[derive(Clone, Debug)]
pub enum PartitionAction {
    /// Send a message to another replica of the partition.
    SendToMember {
        /// Member that receives the message.
        to: MemberId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Send a message to an edge.
    SendToEdge {
        /// Internal address of the receiving edge.
        to: SocketAddr,
        /// The message.
        message: JobsMessage,
    },
    /// Make records durable, then call [`Partition::on_durable`](super::Partition::on_durable) with the token.
    Persist {
        /// Token of the write; increases with each write of the partition.
        token: u64,
        /// The records, in order.
        records: Vec<LogRecord>,
    },
}
