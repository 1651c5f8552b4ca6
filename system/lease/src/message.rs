//! What candidates and voters say to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A process that grants or asks, by the identity of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u64);

/// One message. Each carries the epoch of the set of voters it belongs to, except those that are safe in any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Grant me the lease, or renew it.
    Request {
        /// Epoch of the voters.
        epoch: u64,
        /// The round asked for.
        generation: u64,
        /// Whether the asker holds this round and goes on with it.
        renewal: bool,
        /// Names this question.
        attempt: u64,
    },
    /// Granted, for a term from now.
    Grant {
        /// Epoch of the voters.
        epoch: u64,
        /// The round granted.
        generation: u64,
        /// The question answered.
        attempt: u64,
    },
    /// Not granted.
    Refuse {
        /// The question answered.
        attempt: u64,
        /// The highest round that the voter knows of.
        highest_generation: u64,
        /// How long it will grant nothing to the asker.
        wait: Duration,
    },
    /// The sender won't act under this round any more.
    Release {
        /// The round.
        generation: u64,
    },
}
