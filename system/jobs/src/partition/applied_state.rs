//! The replicated state of a partition, with the number of the last entry that it contains.

use std::time::Duration;

use crate::error::JobsError;
use crate::store::{Command, Outcome, Store};

/// The state after some prefix of the log.
#[derive(Debug, Default)]
pub(super) struct AppliedState {
    store: Store,
    index: u64,
}

impl AppliedState {
    pub(super) fn store(&self) -> &Store {
        &self.store
    }

    /// Number of the last entry applied.
    pub(super) fn index(&self) -> u64 {
        self.index
    }

    /// Applies the command of the next entry; its batch job has certainly reached the age.
    pub(super) fn apply(&mut self, index: u64, command: Command, age: Duration) -> Outcome {
        self.index = index;
        let job = command.job().cloned();
        let outcome = self.store.apply(command);
        if let Some(job) = job {
            self.store.raise_age(&job, age);
        }
        outcome
    }

    /// Replaces the state by a snapshot; an empty one is that of an empty log.
    ///
    /// # Errors
    ///
    /// The bytes are not a state.
    pub(super) fn install_snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<(), JobsError> {
        self.index = index;
        self.store = if bytes.is_empty() { Store::default() } else { Store::decode(bytes)? };
        Ok(())
    }
}
