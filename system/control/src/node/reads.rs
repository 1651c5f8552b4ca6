//! Reads that wait until the control chain has confirmed that this node's state is up to date.

use std::collections::HashMap;
use std::sync::Arc;

use gingerledge_wire::RetirementState;
use tokio::sync::oneshot::Sender;

use super::request::{BeginRetirementOutcome, Confirmed};

/// Most reads that wait for the chain.
const MAX_PENDING_READS: usize = 256;

/// What is read once the chain has confirmed it, and where the result goes. Dropping a reply says that it can't be confirmed.
#[derive(Debug)]
pub(super) enum PendingRead {
    /// The newest configuration.
    Configuration {
        /// Gets its bytes, if there is one.
        reply: Sender<Confirmed<Option<Arc<Vec<u8>>>>>,
    },
    /// The state of a retirement.
    RetirementState {
        /// The machine.
        name: String,
        /// Gets the state, if it was ever retired.
        reply: Sender<Confirmed<Option<RetirementState>>>,
    },
    /// The retirement of a machine: only a node that is connected to the chain decides that it is unknown, or that too few are left.
    BeginRetirement {
        /// The machine.
        name: String,
        /// Gets the decision.
        reply: Sender<BeginRetirementOutcome>,
    },
    /// The chain confirms its membership for the acknowledgements that wait for this token.
    MembershipConfirmation,
}

/// The reads that wait, by the token under which the chain was asked.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    reads: HashMap<u64, PendingRead>,
    last_token: u64,
}

impl PendingReads {
    /// Adds a read and returns its token. None if too many wait; the read is dropped.
    pub(super) fn add(&mut self, read: PendingRead) -> Option<u64> {
        if self.reads.len() >= MAX_PENDING_READS {
            return None;
        }
        self.last_token += 1;
        self.reads.insert(self.last_token, read);
        Some(self.last_token)
    }

    /// Removes the read of a token.
    pub(super) fn remove(&mut self, token: u64) -> Option<PendingRead> {
        self.reads.remove(&token)
    }
}
