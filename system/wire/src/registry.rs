//! The registry: the state of the whole system that every node has a replica of. It is a map whose entries carry versions that only
//! rise, so that replicas merge in any order, from any source, any number of times, and never go back (a state-based CRDT: Shapiro
//! et al. 2011).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use gingerledge_protocol::{AppliedUpdate, ConfigurationDocument, LoadedModel, StoreState};
use serde::{Deserialize, Serialize};

use crate::node::NodeRecord;

/// Bounds the entries of a registry; new keys beyond it are rejected.
pub const MAX_ENTRIES: usize = 65_536;
/// At the same version a tombstone outranks any other entry.
pub const TOMBSTONE_RANK: u8 = 1;

/// The subject of an entry. The order of keys is that of the variants and their fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The operator's configuration; the entry's version is the sequence number of the change in the control chain.
    Configuration,
    /// The newest version that a trainer announced for the weights of a model (its name); the entry's version is that version.
    NamedVersion(String),
    /// A store, by instance id; the entry's version is the heartbeat's sequence.
    Store(String),
    /// The version of the weights of a model that the coordinator observed at a store: (instance id, model). Independent of
    /// heartbeats.
    Weights(String, String),
    /// A node of the system, by incarnation; the entry's version is its heartbeat's sequence at its last change.
    Node(u64),
    /// The chain of a partition of the batch jobs; the entry's version is the epoch x 256 + the number of members in sync.
    Partition(u16),
    /// The owner of the coordinator lease; the entry's version is its fencing token.
    Coordinator,
}

/// The value of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The operator's configuration.
    Configuration(ConfigurationDocument),
    /// A version of weights.
    Version(u64),
    /// A store with a session.
    Store(StoreRecord),
    /// A node with a session.
    Node(NodeRecord),
    /// The chain of a partition.
    Partition(PartitionRecord),
    /// The owner of the coordinator lease.
    Coordinator(Coordinator),
    /// The session has ended or timed out.
    Tombstone,
    /// The updates that lead to a configuration, for a replica that has an earlier one. Only in messages, never in a registry.
    ConfigurationUpdates(Vec<AppliedUpdate>),
}

/// A store, as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// The service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// The version of its software.
    pub software: String,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: StoreState,
    /// Its models with the versions of their weights.
    pub models: Vec<LoadedModel>,
}

/// The chain of one partition of the batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// Rises by one with each change.
    pub epoch: u64,
    /// Members, head first; those in sync come first.
    pub chain: Vec<u64>,
    /// Members that are known to be in sync.
    pub in_sync: Vec<u64>,
}

/// The owner of the coordinator lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordinator {
    /// Its incarnation.
    pub incarnation: u64,
    /// Its internal listen address.
    pub address: SocketAddr,
}

/// The version of a tombstone after a graceful shutdown: no later entry replaces it.
pub const FINAL_VERSION: u64 = u64::MAX;

/// One entry of the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its subject.
    pub key: Key,
    /// Replaces an entry of the same key with a lower version.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

impl Entry {
    /// Whether its source announced its shutdown. A session that only timed out may come back.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.version == FINAL_VERSION && matches!(self.value, Value::Tombstone)
    }

    /// The rank among entries of the same key.
    #[must_use]
    pub fn rank(&self) -> (u64, u8) {
        (self.version, if matches!(self.value, Value::Tombstone) { TOMBSTONE_RANK } else { 0 })
    }
}

/// A replica of the registry.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Key, Entry>,
}

impl Registry {
    /// Whether an entry is newer than the known one, and there is capacity for it.
    #[must_use]
    pub fn accepts(&self, entry: &Entry) -> bool {
        match self.entries.get(&entry.key) {
            Some(known) => known.rank() < entry.rank(),
            None => self.entries.len() < MAX_ENTRIES,
        }
    }

    /// Merges an entry; returns whether it was newer than the known one. Updates of a configuration are applied to the known one, and
    /// rejected if they don't start from it.
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

    /// The entry of a key; it may be a tombstone.
    #[must_use]
    pub fn entry(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All entries, tombstones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The entries after a key in the order of keys, or all; tombstones included.
    pub fn entries_after(&self, key: Option<&Key>) -> impl Iterator<Item = &Entry> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        self.entries.range((from, Bound::Unbounded)).map(|(_, entry)| entry)
    }

    /// Number of entries, tombstones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes an entry, for instance a tombstone at the end of its retention.
    pub fn remove(&mut self, key: &Key) {
        self.entries.remove(key);
    }

    /// The configuration and the sequence number of its change.
    #[must_use]
    pub fn configuration(&self) -> Option<(u64, &ConfigurationDocument)> {
        match self.entries.get(&Key::Configuration) {
            Some(Entry { version, value: Value::Configuration(document), .. }) => Some((*version, document)),
            _ => None,
        }
    }

    /// All stores with a session, by instance id.
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

    /// All nodes with a session.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeRecord> {
        self.entries.range(Key::Node(0)..=Key::Node(u64::MAX)).filter_map(|(_, entry)| match &entry.value {
            Value::Node(node) => Some(node),
            _ => None,
        })
    }

    /// The version of a model's weights at a store: the newer of the reported and the observed one; 0 if neither is known.
    #[must_use]
    pub fn loaded_version(&self, id: &str, store: &StoreRecord, model: &str) -> u64 {
        let reported =
            store.models.iter().find(|loaded| loaded.name == model).map_or(0, |loaded| loaded.version);
        let observed = match self.entries.get(&Key::Weights(id.to_owned(), model.to_owned())) {
            Some(Entry { value: Value::Version(version), .. }) => *version,
            _ => 0,
        };
        reported.max(observed)
    }

    /// The chain of a partition.
    #[must_use]
    pub fn partition(&self, partition: u16) -> Option<&PartitionRecord> {
        match self.entries.get(&Key::Partition(partition)) {
            Some(Entry { value: Value::Partition(record), .. }) => Some(record),
            _ => None,
        }
    }

    /// The newest announced version of a model's weights; 1 before any is announced.
    #[must_use]
    pub fn named_version(&self, model: &str) -> u64 {
        self.entries.get(&Key::NamedVersion(model.to_owned())).map_or(1, |entry| entry.version)
    }

    /// The owner of the coordinator lease, if it is known.
    #[must_use]
    pub fn coordinator(&self) -> Option<&Coordinator> {
        match self.entries.get(&Key::Coordinator) {
            Some(Entry { value: Value::Coordinator(coordinator), .. }) => Some(coordinator),
            _ => None,
        }
    }
}
