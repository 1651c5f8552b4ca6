//! What the HTTP side asks of the node, each with where the answer goes.

use std::sync::Arc;

use gingerledge_protocol::Heartbeat;
use gingerledge_wire::{Command, CommandOutcome, RetirementState};
use tokio::sync::oneshot::Sender;

/// The answer to a read that passed the chain; `None` if it could not be confirmed.
pub type Confirmed<T> = Option<T>;

/// What became of the wish to empty a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginRetire {
    /// It is under way, or done.
    Taken,
    /// No backend has this name.
    Unknown,
    /// Too few would be left.
    TooFew,
    /// It can't be said now.
    Unavailable,
}

/// What a store says is taken, and may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The control chain has confirmed this node a moment ago, so the store may keep to it.
    pub chain_is_fresh: bool,
}

/// One question of the HTTP side.
#[derive(Debug)]
pub enum Request {
    /// Pass a command through the chain; `None` if its outcome is not known in time.
    Submit {
        /// The command.
        command: Command,
        /// The outcome.
        reply: Sender<Option<CommandOutcome>>,
    },
    /// The newest configuration's bytes.
    ReadConfiguration {
        /// The bytes, if there is one.
        reply: Sender<Confirmed<Option<Arc<Vec<u8>>>>>,
    },
    /// How far the emptying of a backend is.
    ReadRetire {
        /// The machine.
        name: String,
        /// The state, if it was ever asked for.
        reply: Sender<Confirmed<Option<RetirementState>>>,
    },
    /// Empty a backend.
    BeginRetire {
        /// The machine.
        name: String,
        /// What became of it.
        reply: Sender<BeginRetire>,
    },
    /// A store's heartbeat.
    Heartbeat {
        /// The store's id.
        id: String,
        /// What it says.
        heartbeat: Heartbeat,
        /// Answered once it may be acknowledged.
        reply: Sender<Accepted>,
    },
    /// A store has ended.
    Deregister {
        /// The store's id.
        id: String,
        /// Answered once it may be acknowledged.
        reply: Sender<Accepted>,
    },
    /// For operators.
    Status {
        /// JSON.
        reply: Sender<String>,
    },
}
