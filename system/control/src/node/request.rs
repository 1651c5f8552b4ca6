//! The requests of the HTTP server to the node, each with the channel for its response.

use std::sync::Arc;

use gingerledge_protocol::Heartbeat;
use gingerledge_wire::{Command, CommandOutcome, RetirementState};
use tokio::sync::oneshot::Sender;

/// The result of a read through the control chain; `None` if it could not be confirmed.
pub type Confirmed<T> = Option<T>;

/// The result of a call that begins a retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginRetirementOutcome {
    /// The retirement has begun, or is completed.
    Accepted,
    /// No backend has this name.
    UnknownBackend,
    /// Too few backends would remain.
    TooFewBackends,
    /// The outcome is not known now.
    Unavailable,
}

/// The acknowledgement of a change that a store has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Whether the control chain has confirmed this node recently, so that the store may send its next heartbeats to this node
    /// too.
    pub is_chain_fresh: bool,
}

/// A request of the HTTP server. Dropping the reply signals that there is no response.
#[derive(Debug)]
pub enum Request {
    /// Submits a command to the chain.
    Submit {
        /// The command to submit.
        command: Command,
        /// Receives the outcome; `None` if it is not known in time.
        reply: Sender<Option<CommandOutcome>>,
    },
    /// Reads the newest configuration.
    ReadConfiguration {
        /// Receives the JSON of the configuration, if there is one.
        reply: Sender<Confirmed<Option<Arc<Vec<u8>>>>>,
    },
    /// Reads the state of a backend's retirement.
    ReadRetirement {
        /// Name of the backend's machine.
        name: String,
        /// Receives the state, if a retirement was ever begun.
        reply: Sender<Confirmed<Option<RetirementState>>>,
    },
    /// Begins the retirement of a backend.
    BeginRetirement {
        /// Name of the backend's machine.
        name: String,
        /// Receives the result.
        reply: Sender<BeginRetirementOutcome>,
    },
    /// Processes the heartbeat of a store.
    Heartbeat {
        /// Instance id of the store.
        id: String,
        /// Contents of the heartbeat.
        heartbeat: Heartbeat,
        /// Receives the acknowledgement.
        reply: Sender<Acknowledgement>,
    },
    /// Ends the session of a store that deregisters.
    Deregister {
        /// Instance id of the store.
        id: String,
        /// Receives the acknowledgement.
        reply: Sender<Acknowledgement>,
    },
    /// Reads the status of this node.
    Status {
        /// Receives the status as JSON.
        reply: Sender<String>,
    },
}
