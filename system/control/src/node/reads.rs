//! Reads that wait until the control chain has confirmed that this node's state is up to date.

use std::collections::HashMap;
use std::sync::Arc;

use gingerledge_wire::RetirementState;
use tokio::sync::oneshot::Sender;

use super::request::{BeginRetirementOutcome, Confirmed};

/// Maximum number of reads that wait for the chain.
const MAX_PENDING_READS: usize = 256;

/// A read to be carried out once the chain has confirmed the state, with the channel for its result. Dropping a reply signals
/// that the read can't be confirmed.
#[derive(Debug)]
pub(super) enum PendingRead {
    /// Reads the newest configuration.
    Configuration {
        /// Receives the JSON of the configuration, if there is one.
        reply: Sender<Confirmed<Option<Arc<Vec<u8>>>>>,
    },
    /// Reads the state of a retirement.
    RetirementState {
        /// Name of the machine.
        name: String,
        /// Receives the state, if a retirement was ever begun.
        reply: Sender<Confirmed<Option<RetirementState>>>,
    },
    /// Begins the retirement of a machine. It needs a confirmed state, since only a node that is connected to the chain may
    /// decide that the machine is unknown, or that too few would remain.
    BeginRetirement {
        /// Name of the machine.
        name: String,
        /// Receives the decision.
        reply: Sender<BeginRetirementOutcome>,
    },
    /// Confirms the chain's membership for the acknowledgements that wait for this read's token.
    MembershipConfirmation,
}

/// The waiting reads, by the token of their request to the chain.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    reads: HashMap<u64, PendingRead>,
    last_token: u64,
}

impl PendingReads {
    /// Adds a read and returns its token. If too many reads wait, the read is dropped and `None` is returned.
    pub(super) fn add(&mut self, read: PendingRead) -> Option<u64> {
        if self.reads.len() >= MAX_PENDING_READS {
            return None;
        }
        self.last_token += 1;
        self.reads.insert(self.last_token, read);
        Some(self.last_token)
    }

    /// Removes and returns the read of a token.
    pub(super) fn remove(&mut self, token: u64) -> Option<PendingRead> {
        self.reads.remove(&token)
    }
}
