//! The requests of the HTTP side to the node, each with the channel for its response.

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
    /// Too few backends would be left.
    TooFewBackends,
    /// The outcome is not known now.
    Unavailable,
}

/// The change that a store has sent may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledged {
    /// The control chain has confirmed this node a moment ago, so the store may send its next heartbeats here too.
    pub is_chain_fresh: bool,
}

/// One request of the HTTP side. Dropping the reply says that there is no response.
#[derive(Debug)]
pub enum Request {
    /// Pass a command through the chain; `None` if its outcome is not known in time.
    Submit {
        /// The command.
        command: Command,
        /// Gets the outcome.
        reply: Sender<Option<CommandOutcome>>,
    },
    /// Read the newest configuration.
    ReadConfiguration {
        /// Gets its bytes, if there is one.
        reply: Sender<Confirmed<Option<Arc<Vec<u8>>>>>,
    },
    /// Read the state of a backend's retirement.
    ReadRetirement {
        /// The machine.
        name: String,
        /// Gets the state, if a retirement was ever begun.
        reply: Sender<Confirmed<Option<RetirementState>>>,
    },
    /// Begin the retirement of a backend.
    BeginRetirement {
        /// The machine.
        name: String,
        /// Gets the result.
        reply: Sender<BeginRetirementOutcome>,
    },
    /// Process the heartbeat of a store.
    Heartbeat {
        /// The store's id.
        id: String,
        /// Its contents.
        heartbeat: Heartbeat,
        /// Gets the acknowledgement.
        reply: Sender<Acknowledged>,
    },
    /// End the session of a store.
    Deregister {
        /// The store's id.
        id: String,
        /// Gets the acknowledgement.
        reply: Sender<Acknowledged>,
    },
    /// Report the status of this node.
    Status {
        /// Gets the status as JSON.
        reply: Sender<String>,
    },
}
