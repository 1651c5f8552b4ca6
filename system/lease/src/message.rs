//! The messages between candidates and voters. Their encoded form goes by the order of variants and fields.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A process that grants or requests, by the identity of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u64);

/// One message. Each carries the epoch of the set of voters it belongs to, except those that are safe in any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks for a grant, or for its renewal.
    Request {
        /// Epoch of the voters.
        epoch: u64,
        /// The generation requested.
        generation: u64,
        /// Whether the sender holds this generation and renews it.
        is_renewal: bool,
        /// Number of the attempt.
        attempt: u64,
    },
    /// Granted, for [`LeaseSettings::grant_duration`](crate::LeaseSettings::grant_duration) from now.
    Grant {
        /// Epoch of the voters.
        epoch: u64,
        /// The generation granted.
        generation: u64,
        /// The attempt that this responds to.
        attempt: u64,
    },
    /// Not granted.
    Refuse {
        /// The attempt that this responds to.
        attempt: u64,
        /// The highest generation that the voter knows of.
        highest_generation: u64,
        /// For how long it will grant nothing to the candidate.
        wait: Duration,
    },
    /// The sender won't act under this generation any more.
    Release {
        /// The generation.
        generation: u64,
    },
}
