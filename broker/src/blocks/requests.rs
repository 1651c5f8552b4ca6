//! What operators and other brokers ask of the coordinator, and what it replies.

use gingerledge_blocks::Cursor;

/// A call at the operators' door, or of a broker that follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A change.
    Wish(NamedWish),
    /// To let a change go back.
    Abandon(u64),
    /// To pause changes, or to resume.
    Pause(bool),
    /// The map from a block on, and the changes.
    Show {
        /// From which block on.
        from: u32,
        /// How many.
        most: usize,
    },
    /// What would be done next; and whether it is to be done.
    Plan {
        /// Whether it is to be carried out.
        run: bool,
    },
    /// News of the map.
    News {
        /// Behind what.
        since: Cursor,
        /// As known of which term.
        term: u32,
    },
}

/// A wish in names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NamedWish {
    /// A replica from one store to another.
    Move(u32, String, String),
    /// One more replica.
    Add(u32, String),
    /// One fewer.
    Remove(u32, String),
    /// In two, from this weigher on.
    Split(u32, u64),
    /// With its neighbour.
    Merge(u32, u32),
}

/// The coordinator's reply.
#[derive(Debug)]
pub enum Reply {
    /// A change was taken on, or something done.
    Done(String),
    /// It can't be done, and why.
    No(String),
    /// JSON.
    Json(serde_json::Value),
    /// News of the map, packed.
    News(Vec<u8>),
}
