//! The entries of the control chain: a command, with its submitter.

use std::net::SocketAddr;

use bincode::error::DecodeError;
use gingerledge_wire::Command;
use serde::{Deserialize, Serialize};

/// One entry of the control chain. It is encoded with bincode, so the order of the fields must not change.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SubmittedCommand {
    /// Request number under which the submitter waits for the outcome.
    pub request: u64,
    /// Address to which the outcome is sent.
    pub reply_to: SocketAddr,
    /// The submitted command.
    pub command: Command,
}

impl SubmittedCommand {
    /// Decodes an entry.
    ///
    /// # Errors
    ///
    /// The bytes are not an entry.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        bincode::serde::decode_from_slice(bytes, bincode::config::standard()).map(|(entry, _)| entry)
    }

    /// Encodes the entry.
    pub(super) fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }
}
