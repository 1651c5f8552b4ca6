//! The operator's configuration, and the history of changes that decides the outcome of repeated calls.
//!
//! Each change names the version that it builds on, its base. Versions only increase, so at most one change is ever applied on a
//! base, and the outcome of a change depends on its base alone:
//!
//! - The base is the current version: the change is applied, or it is invalid and stays invalid, since a version that is not
//!   above the current one now never will be.
//! - The base is older: the change that was applied on it is remembered for the newest [`APPLIED_HISTORY`] bases. A repetition of
//!   that change is answered as applied, any other change as a conflict. For bases older than that history the outcome is
//!   indeterminate.
//! - The base is newer: the change is rejected, and remembered until the version has passed its base, so that a repetition of the
//!   call is never applied after the first call was answered. If [`REJECTED_HISTORY`] changes are remembered already, the outcome
//!   is indeterminate.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gingerledge_protocol::{AppliedUpdate, ConfigurationDocument};
use gingerledge_wire::{CommandOutcome, Entry, Key, Value};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Number of newest applied changes that are remembered, so that a repeated call is answered as applied.
pub const APPLIED_HISTORY: usize = 4_096;
/// Maximum number of remembered changes that were rejected because their base was newer than the current version.
pub const REJECTED_HISTORY: usize = 1_024;

/// The first 16 bytes of the SHA-256 of a configuration's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Digest([u8; 16]);

/// The kind of a change. A replacement and an update are never the same change, even with equal bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
enum ChangeKind {
    Replacement,
    Update,
}

/// Identifies a change among all changes on the same base.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Change {
    kind: ChangeKind,
    version: u64,
    digest: Digest,
}

/// The configuration in force, with the history of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    sequence: u64,
    version: u64,
    document: Option<ConfigurationDocument>,
    /// The newest applied changes, by base.
    applied: BTreeMap<u64, Change>,
    /// Whether applied changes were evicted from `applied`: the outcomes of changes on bases older than its first entry are not
    /// known any more.
    has_evicted_applied: bool,
    /// Changes that were rejected because their base was newer than the current version, with that base.
    rejected: BTreeSet<(u64, Change)>,
}

impl ConfigurationState {
    /// The operator's version of the configuration in force; 0 before the first configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration in force.
    #[must_use]
    pub fn document(&self) -> Option<&ConfigurationDocument> {
        self.document.as_ref()
    }

    /// Index of the control chain entry that put the configuration in force; 0 before the first configuration.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) fn replace(
        &mut self,
        sequence: u64,
        base: u64,
        version: u64,
        json: &Arc<Vec<u8>>,
    ) -> CommandOutcome {
        let change = Change { kind: ChangeKind::Replacement, version, digest: digest(json) };
        if let Some(outcome) = self.outcome_by_version(base, change) {
            return outcome;
        }
        self.apply(sequence, base, change, ConfigurationDocument::from_text(Arc::clone(json)));
        CommandOutcome::Applied
    }

    pub(super) fn update(
        &mut self,
        sequence: u64,
        base: u64,
        version: u64,
        json: &Arc<Vec<u8>>,
    ) -> CommandOutcome {
        let change = Change { kind: ChangeKind::Update, version, digest: digest(json) };
        if let Some(outcome) = self.outcome_by_version(base, change) {
            return outcome;
        }
        let Some(mut document) = self.document.clone() else {
            return CommandOutcome::Invalid { reason: "there is no configuration yet to update".to_owned() };
        };
        // The configuration with a given version never changes, so an update that is invalid on it now stays invalid.
        match document.apply(AppliedUpdate { base: self.sequence, sequence, json: Arc::clone(json) }) {
            Ok(()) => {
                self.apply(sequence, base, change, document);
                CommandOutcome::Applied
            }
            Err(error) => CommandOutcome::Invalid { reason: error.to_string() },
        }
    }

    /// The outcome of a change if its base and version decide it; `None` if the change may be applied.
    fn outcome_by_version(&mut self, base: u64, change: Change) -> Option<CommandOutcome> {
        if base < self.version {
            return Some(self.outcome_on_older_base(base, change));
        }
        if base > self.version {
            return Some(self.reject(base, change));
        }
        if self.rejected.contains(&(base, change)) {
            return Some(self.conflict());
        }
        if change.version <= self.version {
            let reason =
                format!("version: {} is not above the current one, {}", change.version, self.version);
            return Some(CommandOutcome::Invalid { reason });
        }
        None
    }

    fn apply(&mut self, sequence: u64, base: u64, change: Change, document: ConfigurationDocument) {
        self.sequence = sequence;
        self.version = change.version;
        self.document = Some(document);
        self.applied.insert(base, change);
        if self.applied.len() > APPLIED_HISTORY {
            self.applied.pop_first();
            self.has_evicted_applied = true;
        }
        // Changes that were rejected on bases below the new version can't be applied any more.
        self.rejected.retain(|(base, _)| *base >= change.version);
    }

    /// The outcome of a change whose base is older than the current version.
    fn outcome_on_older_base(&self, base: u64, change: Change) -> CommandOutcome {
        match self.applied.get(&base) {
            Some(applied) if *applied == change => CommandOutcome::Applied,
            Some(_) => self.conflict(),
            None if self.is_evicted(base) => CommandOutcome::Indeterminate,
            None => self.conflict(),
        }
    }

    fn is_evicted(&self, base: u64) -> bool {
        let oldest = self.applied.first_key_value().map(|(oldest, _)| *oldest);
        self.has_evicted_applied && oldest.is_some_and(|oldest| base < oldest)
    }

    fn reject(&mut self, base: u64, change: Change) -> CommandOutcome {
        let rejected = (base, change);
        if !self.rejected.contains(&rejected) && self.rejected.len() >= REJECTED_HISTORY {
            return CommandOutcome::Indeterminate;
        }
        self.rejected.insert(rejected);
        self.conflict()
    }

    fn conflict(&self) -> CommandOutcome {
        CommandOutcome::Conflict { current: self.version }
    }

    pub(super) fn entry(&self) -> Option<Entry> {
        let document = self.document.clone()?;
        Some(Entry { key: Key::Configuration, version: self.sequence, value: Value::Configuration(document) })
    }
}

fn digest(bytes: &[u8]) -> Digest {
    let full: [u8; 32] = Sha256::digest(bytes).into();
    let mut first_half = [0; 16];
    first_half.copy_from_slice(&full[..16]);
    Digest(first_half)
}
