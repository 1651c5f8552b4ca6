//! The replicated state of a partition, with the index of the last log entry that it contains.

use std::time::Duration;

use crate::error::JobsError;
use crate::store::{Command, Outcome, Store};

/// The state after a prefix of the log.
#[derive(Debug, Default)]
pub(super) struct AppliedState {
    store: Store,
    index: u64,
}

impl AppliedState {
    pub(super) fn store(&self) -> &Store {
        &self.store
    }

    /// Index of the last applied entry; 0 if none is applied.
    pub(super) fn index(&self) -> u64 {
        self.index
    }

    /// Applies the command of the entry at `index`. `age` is a lower bound of the age of the command's batch job.
    pub(super) fn apply(&mut self, index: u64, command: Command, age: Duration) -> Outcome {
        self.index = index;
        let job = command.job().cloned();
        let outcome = self.store.apply(command);
        if let Some(job) = job {
            self.store.raise_age(&job, age);
        }
        outcome
    }

    /// Replaces the state by a snapshot of the log up to `index`. An empty snapshot is the state of an empty log.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid encoded state.
    pub(super) fn install_snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<(), JobsError> {
        self.index = index;
        self.store = if bytes.is_empty() { Store::default() } else { Store::decode(bytes)? };
        Ok(())
    }
}
