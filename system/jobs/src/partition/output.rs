//! What a partition asks of its surroundings, and the time that it is told.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_chain::{LogRecord, MemberId, ReplicaMessage};
use gingerledge_wire::{JobsMessage, JobsResponse};

use super::holds::Edges;
use crate::store::Asker;

/// What a partition is told with every event, and where it says what is to be done.
pub struct Context<'a> {
    /// The present moment: the time since the start of the process, by a steady clock.
    pub now: Duration,
    /// The edges that are there.
    pub edges: &'a Edges,
    /// What is to be done.
    pub out: &'a mut Vec<PartitionAction>,
}

/// Something to be done for a partition, in order.
#[derive(Clone, Debug)]
pub enum PartitionAction {
    /// Send to a replica.
    SendMember {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Send to an edge.
    SendEdge {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: JobsMessage,
    },
    /// Make records durable, then say so with the token.
    Persist {
        /// The replica's token.
        token: u64,
        /// The records.
        records: Vec<LogRecord>,
    },
}

/// An answer to an edge.
pub(crate) fn answer(asker: Asker, body: JobsResponse) -> PartitionAction {
    let message = JobsMessage::Response { request: asker.request, body };
    PartitionAction::SendEdge { to: asker.reply_to, message }
}
