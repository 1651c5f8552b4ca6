//! The operator's configuration and which changes of it were taken.

use std::collections::VecDeque;
use std::sync::Arc;

use gingerledge_wire::{Entry, Key, Outcome, Value};
use serde::{Deserialize, Serialize};

/// How many of the newest taken configurations are remembered, so that a repeated call is answered as taken.
pub const TAKEN_HISTORY: usize = 512;
/// How many changes that were refused on top of a version still to come are remembered.
pub const REFUSED_HISTORY: usize = 64;

/// A digest wide enough that two different configurations of one day never share it by chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Digest(u64, u64);

/// A configuration that was taken, now or before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Taken {
    base: u64,
    version: u64,
    digest: Digest,
}

/// The configuration in force, with the numbers of those before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    sequence: u64,
    version: u64,
    json: Option<Arc<Vec<u8>>>,
    taken: VecDeque<Taken>,
    refused: VecDeque<Taken>,
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
        let change = Taken { base, version, digest: digest(json) };
        if self.taken.contains(&change) {
            return Outcome::Taken;
        }
        if base != self.version || self.refused.contains(&change) {
            self.refuse(base, change);
            return Outcome::Conflict { current: self.version };
        }
        if version <= self.version {
            let reason = format!("version: {version} is not above the current one, {}", self.version);
            return Outcome::Invalid { reason };
        }
        self.sequence = sequence;
        self.version = version;
        self.json = Some(Arc::clone(json));
        self.taken.push_back(change);
        if self.taken.len() > TAKEN_HISTORY {
            self.taken.pop_front();
        }
        Outcome::Taken
    }

    /// A change on top of a version that may still come is remembered as refused: a second copy of the same call, behind
    /// that version, must not be taken after the first was answered.
    fn refuse(&mut self, base: u64, change: Taken) {
        if base <= self.version || self.refused.contains(&change) {
            return;
        }
        self.refused.push_back(change);
        if self.refused.len() > REFUSED_HISTORY {
            self.refused.pop_front();
        }
    }

    pub(super) fn entry(&self) -> Option<Entry> {
        let json = Arc::clone(self.json.as_ref()?);
        Some(Entry { key: Key::Configuration, version: self.sequence, value: Value::Configuration(json) })
    }
}

/// Two FNV-1a hashes with different starts.
fn digest(bytes: &[u8]) -> Digest {
    const FIRST_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const SECOND_OFFSET: u64 = 0x6c62_272e_07bb_0142;
    Digest(fnv(FIRST_OFFSET, bytes), fnv(SECOND_OFFSET, bytes))
}

fn fnv(offset: u64, bytes: &[u8]) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(offset, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
