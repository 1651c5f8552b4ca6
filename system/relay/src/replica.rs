//! This node's copy of the registry, with its digest, the ages of its tombstones and the addresses of nodes.
//!
//! A tombstone is kept for [`RelaySettings::tombstone_retention`] from when it was first learned at a root: its age goes along with
//! it, so that all copies drop it at about the same time, and none that has is sent it again, however often nodes come and go. Only a copy that still had the entry itself keeps its tombstone for at least half the time, so that its own children get
//! it. A copy that was separated for less than half the time finds every tombstone that it missed at any parent; one that was
//! separated for longer has its entries confirmed (see [`crate::unconfirmed`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Registry, Value};

use crate::digest::{fingerprint, BUCKETS};
use crate::directory::Directory;
use crate::settings::RelaySettings;

/// The registry, kept together with what is derived from it.
#[derive(Debug)]
pub(crate) struct Replica {
    registry: Registry,
    digest: Vec<u64>,
    directory: Directory,
    retention: Duration,
    /// Updates of the configuration came that don't build on the one here, so that it is needed in full.
    lacks_configuration: bool,
    /// When each tombstone expires.
    tombstones: BTreeMap<Key, Duration>,
    /// The same in the order of time.
    expiries: BTreeSet<(Duration, Key)>,
}

impl Replica {
    /// An empty copy.
    pub(crate) fn new(settings: &RelaySettings) -> Self {
        Self {
            registry: Registry::default(),
            digest: vec![0; BUCKETS],
            directory: Directory::new(settings.zone.clone()),
            retention: settings.tombstone_retention,
            lacks_configuration: false,
            tombstones: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// The entries.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The hash of each bucket.
    pub(crate) fn digest(&self) -> &[u64] {
        &self.digest
    }

    /// Where nodes are.
    pub(crate) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Takes an entry in if it is newer than what is known; returns whether it was. `tombstone_age` is the age of a tombstone.
    pub(crate) fn merge(&mut self, entry: &Entry, tombstone_age: Duration, now: Duration) -> bool {
        if !self.registry.accepts(entry) {
            return false;
        }
        if entry.key == Key::Configuration {
            return self.merge_configuration(entry);
        }
        let had_entry = self.registry.entry(&entry.key).is_some();
        self.remove_from_digest(&entry.key);
        self.remove_tombstone(&entry.key);
        self.add_to_digest(entry);
        self.directory.update(entry);
        if matches!(entry.value, Value::Tombstone) {
            let age = if had_entry { tombstone_age.min(self.retention / 2) } else { tombstone_age };
            self.add_tombstone(entry.key.clone(), now + self.retention.saturating_sub(age));
        }
        self.registry.merge(entry.clone())
    }

    fn merge_configuration(&mut self, entry: &Entry) -> bool {
        let before = self.registry.entry(&entry.key).cloned();
        let merged = self.registry.merge(entry.clone());
        self.lacks_configuration = !merged;
        if merged {
            before.iter().for_each(|before| self.add_to_digest(before));
            self.add_to_digest(entry);
        }
        merged
    }

    /// Whether the configuration here is behind, and updates can't bring it forward.
    pub(crate) fn lacks_configuration(&self) -> bool {
        self.lacks_configuration
    }

    /// The number of the change of the configuration that others may build on; 0 where it is needed in full.
    pub(crate) fn configuration_known(&self) -> u64 {
        match self.registry.configuration() {
            Some((sequence, _)) if !self.lacks_configuration => sequence,
            _ => 0,
        }
    }

    /// How long ago an entry was removed; zero if it wasn't.
    pub(crate) fn tombstone_age(&self, key: &Key, now: Duration) -> Duration {
        self.tombstones.get(key).map_or(Duration::ZERO, |until| (now + self.retention).saturating_sub(*until))
    }

    /// Drops expired tombstones.
    pub(crate) fn expire(&mut self, now: Duration) {
        while self.next_expiry().is_some_and(|at| at <= now) {
            let Some((_, key)) = self.expiries.pop_first() else { return };
            self.remove_from_digest(&key);
            self.tombstones.remove(&key);
            self.registry.remove(&key);
        }
    }

    /// When [`Replica::expire`] has something to do.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|(until, _)| *until)
    }

    fn add_tombstone(&mut self, key: Key, until: Duration) {
        self.tombstones.insert(key.clone(), until);
        self.expiries.insert((until, key));
    }

    fn remove_tombstone(&mut self, key: &Key) {
        if let Some((key, until)) = self.tombstones.remove_entry(key) {
            self.expiries.remove(&(until, key));
        }
    }

    fn add_to_digest(&mut self, entry: &Entry) {
        let (bucket, hash) = fingerprint(entry);
        if let Some(sum) = self.digest.get_mut(bucket) {
            *sum ^= hash;
        }
    }

    /// Removes the known entry of a key from the digest.
    fn remove_from_digest(&mut self, key: &Key) {
        let Some(entry) = self.registry.entry(key) else { return };
        let (bucket, hash) = fingerprint(entry);
        if let Some(sum) = self.digest.get_mut(bucket) {
            *sum ^= hash;
        }
    }
}
