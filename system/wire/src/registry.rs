//! The registry: what every node knows of the whole system. It is a map whose entries carry versions that only rise, so that
//! copies merge in any order, from any source, any number of times, and never go back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use gingerledge_protocol::{AppliedUpdate, ConfigurationDocument, LoadedModel, StoreState};
use serde::{Deserialize, Serialize};

use crate::node::NodeRecord;

/// The most entries that a registry holds; what is new beyond that is not taken.
pub const MAX_ENTRIES: usize = 65_536;
/// At one version, an entry that says "gone" goes before one that says "there".
pub const TOMBSTONE_RANK: u8 = 1;

/// What an entry is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The operator's configuration; its version is the chain's sequence number of the change.
    Configuration,
    /// The newest version that a trainer named for a model; the entry's version is that version.
    NamedVersion(String),
    /// A store, by instance id; the entry's version is the heartbeat's sequence.
    Store(String),
    /// The version that the coordinator saw at a store, for a model: (instance id, model). Goes beside the heartbeats.
    Weights(String, String),
    /// A node of the system, by incarnation; the entry's version is its heartbeat's sequence at its last change.
    Node(u64),
    /// Who keeps a partition of the batch jobs; the entry's version is the epoch x 256 + the number of full members.
    Partition(u16),
    /// Who holds the coordinator's lease; the entry's version is its fencing token.
    Coordinator,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The configuration as the operator reads it back.
    Configuration(ConfigurationDocument),
    /// A version of weights.
    Version(u64),
    /// A store that is there.
    Store(StoreRecord),
    /// A node that is there.
    Node(NodeRecord),
    /// The chain of a partition.
    Partition(PartitionRecord),
    /// The holder of the coordinator's lease.
    Coordinator(Coordinator),
    /// It is gone.
    Tombstone,
    /// The updates that lead to a configuration, for a copy that has an earlier one. Only on its way, never in a registry.
    ConfigurationUpdates(Vec<AppliedUpdate>),
}

/// A store that is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// The service that it belongs to.
    pub service: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub software: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: StoreState,
    /// Its models and their weights' versions.
    pub models: Vec<LoadedModel>,
}

/// The chain of one partition of the batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// Rises by one with each change.
    pub epoch: u64,
    /// Member identities, head first; those that are full come first.
    pub chain: Vec<u64>,
    /// Which of them are known to hold everything.
    pub in_sync: Vec<u64>,
}

/// The holder of the coordinator's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordinator {
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it takes internal messages.
    pub address: SocketAddr,
}

/// The version of an entry that ends a session for good: its source said itself that it ends.
pub const FINAL_VERSION: u64 = u64::MAX;

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// What it is about.
    pub key: Key,
    /// Only a higher one replaces what is known.
    pub version: u64,
    /// What it says.
    pub value: Value,
}

impl Entry {
    /// Whether its source has said itself that it ends. One that only fell silent may come back.
    pub fn is_ended(&self) -> bool {
        self.version == FINAL_VERSION && matches!(self.value, Value::Tombstone)
    }

    /// The order among entries of one key.
    pub fn rank(&self) -> (u64, u8) {
        (self.version, if matches!(self.value, Value::Tombstone) { TOMBSTONE_RANK } else { 0 })
    }
}

/// A copy of the registry.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Key, Entry>,
}

impl Registry {
    /// Whether an entry is newer than what is known, and there is room for it.
    pub fn accepts(&self, entry: &Entry) -> bool {
        match self.entries.get(&entry.key) {
            Some(known) => known.rank() < entry.rank(),
            None => self.entries.len() < MAX_ENTRIES,
        }
    }

    /// Takes an entry in if it is newer than what is known; says whether it was. Updates of a configuration are applied to the one
    /// that is known, and are not taken where they don't lead on from it.
    pub fn merge(&mut self, entry: Entry) -> bool {
        if !self.accepts(&entry) {
            return false;
        }
        if let Value::ConfigurationUpdates(series) = &entry.value {
            return self.update_configuration(entry.version, series);
        }
        self.entries.insert(entry.key.clone(), entry);
        true
    }

    fn update_configuration(&mut self, version: u64, series: &[AppliedUpdate]) -> bool {
        let Some(known) = self.entries.get_mut(&Key::Configuration) else { return false };
        let Value::Configuration(document) = &known.value else { return false };
        let mut updated = document.clone();
        if updated.apply_series(known.version, series).ok() != Some(version) {
            return false;
        }
        *known = Entry { key: Key::Configuration, version, value: Value::Configuration(updated) };
        true
    }

    /// The entry of a key, also where it says that it is gone.
    pub fn entry(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All entries, those that say "gone" too.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The entries after a key in the order of keys, or all; those that say "gone" too.
    pub fn entries_after(&self, key: Option<&Key>) -> impl Iterator<Item = &Entry> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        self.entries.range((from, Bound::Unbounded)).map(|(_, entry)| entry)
    }

    /// How many entries there are, those that say "gone" too.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none at all.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Lets go of an entry for good, for instance of one that has said "gone" for long enough.
    pub fn forget(&mut self, key: &Key) {
        self.entries.remove(key);
    }

    /// The configuration and the sequence number of its change.
    pub fn configuration(&self) -> Option<(u64, &ConfigurationDocument)> {
        match self.entries.get(&Key::Configuration) {
            Some(Entry { version, value: Value::Configuration(document), .. }) => Some((*version, document)),
            _ => None,
        }
    }

    /// All stores that are there, with their ids.
    pub fn stores(&self) -> impl Iterator<Item = (&str, &StoreRecord)> {
        let from = Key::Store(String::new());
        self.entries
            .range(from..)
            .map_while(|(key, entry)| match key {
                Key::Store(id) => Some((id.as_str(), entry)),
                _ => None,
            })
            .filter_map(|(id, entry)| match &entry.value {
                Value::Store(store) => Some((id, store)),
                _ => None,
            })
    }

    /// All nodes that are there.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.entries.range(Key::Node(0)..=Key::Node(u64::MAX)).filter_map(|(_, entry)| match &entry.value {
            Value::Node(node) => Some(node),
            _ => None,
        })
    }

    /// The version of a model's weights at a store: the newest of what it told and what was seen.
    pub fn loaded_version(&self, id: &str, store: &StoreRecord, model: &str) -> u64 {
        let told = store.models.iter().find(|loaded| loaded.name == model).map_or(0, |loaded| loaded.version);
        let seen = match self.entries.get(&Key::Weights(id.to_owned(), model.to_owned())) {
            Some(Entry { value: Value::Version(version), .. }) => *version,
            _ => 0,
        };
        told.max(seen)
    }

    /// The chain of a partition.
    pub fn partition(&self, partition: u16) -> Option<&PartitionRecord> {
        match self.entries.get(&Key::Partition(partition)) {
            Some(Entry { value: Value::Partition(record), .. }) => Some(record),
            _ => None,
        }
    }

    /// The newest named version of a model; the first is 1.
    pub fn named_version(&self, model: &str) -> u64 {
        self.entries.get(&Key::NamedVersion(model.to_owned())).map_or(1, |entry| entry.version)
    }

    /// The holder of the coordinator's lease, as far as it is known.
    pub fn coordinator(&self) -> Option<&Coordinator> {
        match self.entries.get(&Key::Coordinator) {
            Some(Entry { value: Value::Coordinator(coordinator), .. }) => Some(coordinator),
            _ => None,
        }
    }
}
