//! The operator's configuration, and what became of the changes before it.
//!
//! Each change names the version that it builds on, its base. Versions only rise, so one change at most is ever taken on a base,
//! and what became of a change hangs on its base alone:
//!
//! - Base is the current version: it is taken, or invalid for good, since a version that does not rise now never will.
//! - Base is older: the change that was taken on it is remembered for the newest [`TAKEN_HISTORY`] bases. The very same change is
//!   answered as taken, any other as in conflict. For a base that is older still, nobody knows: no clear answer.
//! - Base is still to come: it is refused, and remembered until the version has passed its base, so that a second copy of the same
//!   call is never taken after the first was answered. Where [`REFUSED_HISTORY`] are remembered already: no clear answer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gingerledge_wire::{Entry, Key, Outcome, Value};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// How many of the newest taken changes are remembered, so that a repeated call is answered as taken.
pub const TAKEN_HISTORY: usize = 4_096;
/// How many changes that were refused on top of a version still to come are remembered.
pub const REFUSED_HISTORY: usize = 1_024;

/// The first half of the SHA-256 of a configuration's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Digest([u8; 16]);

/// What tells a change from any other on the same base.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Change {
    version: u64,
    digest: Digest,
}

/// The configuration in force, with the changes before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    sequence: u64,
    version: u64,
    json: Option<Arc<Vec<u8>>>,
    /// The newest changes that were taken, by base.
    taken: BTreeMap<u64, Change>,
    /// Whether changes on bases before all of these were taken, and are forgotten.
    forgets: bool,
    /// Changes that were refused on bases that are still to come.
    refused: BTreeSet<(u64, Change)>,
}

impl ConfigurationState {
    /// The operator's version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The bytes in force, as the operator sent them.
    pub fn json(&self) -> Option<&Arc<Vec<u8>>> {
        self.json.as_ref()
    }

    /// The number of the change that put it in force.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) fn replace(&mut self, sequence: u64, base: u64, version: u64, json: &Arc<Vec<u8>>) -> Outcome {
        let change = Change { version, digest: digest(json) };
        if base < self.version {
            return self.outcome_on_older(base, change);
        }
        if base > self.version {
            return self.refuse(base, change);
        }
        if self.refused.contains(&(base, change)) {
            return self.conflict();
        }
        if version <= self.version {
            let reason = format!("version: {version} is not above the current one, {}", self.version);
            return Outcome::Invalid { reason };
        }
        self.take(sequence, base, change, json);
        Outcome::Taken
    }

    fn take(&mut self, sequence: u64, base: u64, change: Change, json: &Arc<Vec<u8>>) {
        self.sequence = sequence;
        self.version = change.version;
        self.json = Some(Arc::clone(json));
        self.taken.insert(base, change);
        if self.taken.len() > TAKEN_HISTORY {
            self.taken.pop_first();
            self.forgets = true;
        }
        // What was refused on a base that is passed by now can't be taken any more.
        self.refused.retain(|(base, _)| *base >= change.version);
    }

    /// What became of a change on a version that is not current any more.
    fn outcome_on_older(&self, base: u64, change: Change) -> Outcome {
        match self.taken.get(&base) {
            Some(taken) if *taken == change => Outcome::Taken,
            Some(_) => self.conflict(),
            None if self.is_forgotten(base) => Outcome::Unknown,
            None => self.conflict(),
        }
    }

    fn is_forgotten(&self, base: u64) -> bool {
        let oldest = self.taken.first_key_value().map(|(oldest, _)| *oldest);
        self.forgets && oldest.is_some_and(|oldest| base < oldest)
    }

    fn refuse(&mut self, base: u64, change: Change) -> Outcome {
        let refused = (base, change);
        if !self.refused.contains(&refused) && self.refused.len() >= REFUSED_HISTORY {
            return Outcome::Unknown;
        }
        self.refused.insert(refused);
        self.conflict()
    }

    fn conflict(&self) -> Outcome {
        Outcome::Conflict { current: self.version }
    }

    pub(super) fn entry(&self) -> Option<Entry> {
        let json = Arc::clone(self.json.as_ref()?);
        Some(Entry { key: Key::Configuration, version: self.sequence, value: Value::Configuration(json) })
    }
}

fn digest(bytes: &[u8]) -> Digest {
    let whole: [u8; 32] = Sha256::digest(bytes).into();
    let mut half = [0; 16];
    half.copy_from_slice(&whole[..16]);
    Digest(half)
}
