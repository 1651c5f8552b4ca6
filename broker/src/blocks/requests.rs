//! Requests of operators and of other brokers to the coordinator, and its replies.

use gingerledge_blocks::Cursor;

/// A request to the coordinator, through the admin endpoint or from a broker that follows the map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Start a change.
    Change(NamedChange),
    /// Abandon the change with this id and undo its steps.
    Abandon(u64),
    /// Pause changes (true), or resume them (false).
    Pause(bool),
    /// Return a page of the map and the changes.
    ShowMap {
        /// Lowest block number of the page.
        from: u32,
        /// Maximum number of blocks in the page.
        limit: usize,
    },
    /// Return the changes that the planner would start next.
    Plan {
        /// Whether these changes are also started.
        execute: bool,
    },
    /// Return a page of updates of the map.
    MapUpdates {
        /// Position after which the page begins.
        since: Cursor,
        /// Term in which the requesting broker received that position.
        term: u32,
    },
}

/// A requested change of a block, with stores given by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NamedChange {
    /// Move a replica of the block from one store to another.
    Move(u32, String, String),
    /// Add a replica at the store.
    Add(u32, String),
    /// Remove the replica from the store.
    Remove(u32, String),
    /// Split the block; the second half begins with this weigher.
    Split(u32, u64),
    /// Merge the block with this neighbour.
    Merge(u32, u32),
}

/// A reply of the coordinator.
#[derive(Debug)]
pub enum Reply {
    /// The request was accepted or carried out; carries a message.
    Done(String),
    /// The request was refused; carries the reason.
    Refused(String),
    /// A JSON document.
    Json(serde_json::Value),
    /// An encoded page of updates of the map.
    MapUpdates(Vec<u8>),
}
