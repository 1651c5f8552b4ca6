//! The messages between candidates and voters. Their encoding depends on the order of variants and fields.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The identity of a process that grants or requests the lease: that of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u64);

/// A message between a candidate and a voter. Requests and grants carry the epoch of the set of voters that they belong to;
/// refusals and releases are safe in any epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Requests a grant or its renewal.
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
    /// Grants the lease for [`LeaseSettings::grant_duration`](crate::LeaseSettings::grant_duration) from the time at which the
    /// voter handled the request.
    Grant {
        /// Epoch of the voters.
        epoch: u64,
        /// The generation granted.
        generation: u64,
        /// The attempt that this responds to.
        attempt: u64,
    },
    /// Refuses a request.
    Refuse {
        /// The attempt that this responds to.
        attempt: u64,
        /// The highest generation that the voter has granted.
        highest_generation: u64,
        /// How long the voter will continue to refuse the candidate, because other grants may be outstanding.
        wait: Duration,
    },
    /// The sender has stopped acting under this generation and all lower ones.
    Release {
        /// The released generation.
        generation: u64,
    },
}
