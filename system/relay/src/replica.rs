//! This node's copy of the registry with what belongs to it: digest, age of tombstones, addresses of nodes.
//!
//! A tombstone is kept for [`RelaySettings::tombstone_retention`] from when it was first learned at a root: its age goes along with
//! it, so that all copies let go of it at about the same time, and nobody who has is given it anew, however often nodes come and
//! go. Only a copy that still had the entry itself keeps its tombstone for at least half the time, so that its own children hear
//! of it. A copy that was cut off for less than half the time finds every tombstone that it missed at any parent; one that was
//! cut off for longer doubts its entries (see [`crate::suspects`]).

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
    /// Updates of the configuration came that don't lead on from the one here, so that the whole one is needed.
    lacks_configuration: bool,
    /// When each tombstone is let go.
    tombstones: BTreeMap<Key, Duration>,
    /// The same in the order of time.
    expiries: BTreeSet<(Duration, Key)>,
}

impl Replica {
    /// An empty copy.
    pub fn new(settings: &RelaySettings) -> Self {
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
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The hash of each bucket.
    pub fn digest(&self) -> &[u64] {
        &self.digest
    }

    /// Where nodes are.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Takes an entry in if it is newer than what is known; says whether it was. `gone_for` is the age of a tombstone.
    pub fn merge(&mut self, entry: &Entry, gone_for: Duration, now: Duration) -> bool {
        if !self.registry.accepts(entry) {
            return false;
        }
        if entry.key == Key::Configuration {
            return self.merge_configuration(entry);
        }
        let was_there = self.registry.entry(&entry.key).is_some();
        self.uncount(&entry.key);
        self.dig_up(&entry.key);
        self.count(entry);
        self.directory.update(entry);
        if matches!(entry.value, Value::Tombstone) {
            let age = if was_there { gone_for.min(self.retention / 2) } else { gone_for };
            self.bury(entry.key.clone(), now + self.retention.saturating_sub(age));
        }
        self.registry.merge(entry.clone())
    }

    fn merge_configuration(&mut self, entry: &Entry) -> bool {
        let before = self.registry.entry(&entry.key).cloned();
        let merged = self.registry.merge(entry.clone());
        self.lacks_configuration = !merged;
        if merged {
            before.iter().for_each(|before| self.count(before));
            self.count(entry);
        }
        merged
    }

    /// Whether the configuration here is behind, and updates can't bring it forward.
    pub fn lacks_configuration(&self) -> bool {
        self.lacks_configuration
    }

    /// The number of the change of the configuration that others may build on; 0 where the whole one is needed.
    pub fn configuration_known(&self) -> u64 {
        match self.registry.configuration() {
            Some((sequence, _)) if !self.lacks_configuration => sequence,
            _ => 0,
        }
    }

    /// How long ago an entry was first said to be gone; zero if it isn't.
    pub fn gone_for(&self, key: &Key, now: Duration) -> Duration {
        self.tombstones.get(key).map_or(Duration::ZERO, |until| (now + self.retention).saturating_sub(*until))
    }

    /// Lets go of tombstones whose time is over.
    pub fn expire(&mut self, now: Duration) {
        while self.next_expiry().is_some_and(|at| at <= now) {
            let Some((_, key)) = self.expiries.pop_first() else { return };
            self.uncount(&key);
            self.tombstones.remove(&key);
            self.registry.forget(&key);
        }
    }

    /// When [`Replica::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|(until, _)| *until)
    }

    fn bury(&mut self, key: Key, until: Duration) {
        self.tombstones.insert(key.clone(), until);
        self.expiries.insert((until, key));
    }

    fn dig_up(&mut self, key: &Key) {
        if let Some((key, until)) = self.tombstones.remove_entry(key) {
            self.expiries.remove(&(until, key));
        }
    }

    fn count(&mut self, entry: &Entry) {
        let (bucket, hash) = fingerprint(entry);
        if let Some(sum) = self.digest.get_mut(bucket) {
            *sum ^= hash;
        }
    }

    /// Takes the known entry of a key out of the digest.
    fn uncount(&mut self, key: &Key) {
        let Some(entry) = self.registry.entry(key) else { return };
        let (bucket, hash) = fingerprint(entry);
        if let Some(sum) = self.digest.get_mut(bucket) {
            *sum ^= hash;
        }
    }
}
