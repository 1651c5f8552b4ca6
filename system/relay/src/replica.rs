//! This node's copy of the registry, with its digest, the ages of its tombstones and the addresses of nodes.
//!
//! A tombstone is kept for [`RelaySettings::tombstone_retention`] from the time it was first received at a root. Its age is sent along
//! with it, so that all copies drop it at about the same time, and a copy that has dropped it is not sent it again, however often
//! nodes join and leave. Only a copy that still had the entry itself keeps its tombstone for at least half the retention, so that
//! its own children receive it. A copy that was partitioned for less than half the retention finds every tombstone that it missed
//! at any parent; the entries of a copy that was partitioned for longer have to be confirmed (see [`crate::unconfirmed`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Registry, Value};

use crate::digest::{fingerprint, BUCKETS};
use crate::directory::Directory;
use crate::settings::RelaySettings;

/// The registry, with the indexes derived from it.
#[derive(Debug)]
pub(crate) struct Replica {
    registry: Registry,
    digest: Vec<u64>,
    directory: Directory,
    retention: Duration,
    /// Updates to the configuration were received whose base is not the version here, so the full configuration is needed.
    needs_full_configuration: bool,
    /// The time at which each tombstone expires.
    tombstone_expiries: BTreeMap<Key, Duration>,
    /// The keys of the tombstones, ordered by the time at which they expire.
    expiry_order: BTreeSet<(Duration, Key)>,
}

impl Replica {
    /// Creates an empty copy.
    pub(crate) fn new(settings: &RelaySettings) -> Self {
        Self {
            registry: Registry::default(),
            digest: vec![0; BUCKETS],
            directory: Directory::new(settings.zone.clone()),
            retention: settings.tombstone_retention,
            needs_full_configuration: false,
            tombstone_expiries: BTreeMap::new(),
            expiry_order: BTreeSet::new(),
        }
    }

    /// The entries of the copy.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The hash of each bucket.
    pub(crate) fn digest(&self) -> &[u64] {
        &self.digest
    }

    /// The locations of the nodes in the registry.
    pub(crate) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Merges an entry if it is newer than the known one; returns whether it was. `tombstone_age` applies to tombstones only.
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
        let previous = self.registry.entry(&entry.key).cloned();
        let merged = self.registry.merge(entry.clone());
        self.needs_full_configuration = !merged;
        if merged {
            previous.iter().for_each(|previous| self.add_to_digest(previous));
            self.add_to_digest(entry);
        }
        merged
    }

    /// Whether updates were received that do not apply to the configuration here, so that it is needed in full.
    pub(crate) fn needs_full_configuration(&self) -> bool {
        self.needs_full_configuration
    }

    /// The version of the configuration to which a parent may send updates; 0 if the full configuration is needed.
    pub(crate) fn known_configuration_version(&self) -> u64 {
        match self.registry.configuration() {
            Some((version, _)) if !self.needs_full_configuration => version,
            _ => 0,
        }
    }

    /// The age of the tombstone of a key; zero if there is none.
    pub(crate) fn tombstone_age(&self, key: &Key, now: Duration) -> Duration {
        self.tombstone_expiries
            .get(key)
            .map_or(Duration::ZERO, |expires_at| (now + self.retention).saturating_sub(*expires_at))
    }

    /// Drops expired tombstones.
    pub(crate) fn expire(&mut self, now: Duration) {
        while self.next_expiry().is_some_and(|at| at <= now) {
            let Some((_, key)) = self.expiry_order.pop_first() else { return };
            self.remove_from_digest(&key);
            self.tombstone_expiries.remove(&key);
            self.registry.remove(&key);
        }
    }

    /// The time at which the next tombstone expires.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        self.expiry_order.first().map(|(expires_at, _)| *expires_at)
    }

    fn add_tombstone(&mut self, key: Key, expires_at: Duration) {
        self.tombstone_expiries.insert(key.clone(), expires_at);
        self.expiry_order.insert((expires_at, key));
    }

    fn remove_tombstone(&mut self, key: &Key) {
        if let Some((key, expires_at)) = self.tombstone_expiries.remove_entry(key) {
            self.expiry_order.remove(&(expires_at, key));
        }
    }

    fn add_to_digest(&mut self, entry: &Entry) {
        let (bucket, hash) = fingerprint(entry);
        if let Some(bucket_hash) = self.digest.get_mut(bucket) {
            *bucket_hash ^= hash;
        }
    }

    /// Removes the known entry of a key from the digest.
    fn remove_from_digest(&mut self, key: &Key) {
        let Some(entry) = self.registry.entry(key) else { return };
        let (bucket, hash) = fingerprint(entry);
        if let Some(bucket_hash) = self.digest.get_mut(bucket) {
            *bucket_hash ^= hash;
        }
    }
}
