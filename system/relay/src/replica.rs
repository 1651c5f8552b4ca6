//! This node's copy of the registry with what belongs to it: digest, age of tombstones, addresses of nodes.
//!
//! A tombstone is kept for [`RelaySettings::tombstone_retention`] after this copy took it, but offered to children and counted in
//! the digest only for the first three quarters of that. In a connected tree all copies take a tombstone at nearly the same time,
//! so nobody who has let go of it is offered it again; and a copy that was cut off for less than half the time still finds it at
//! any parent. A copy cut off for longer doubts its entries (see [`crate::suspects`]). One that comes back all the same is
//! harmless: it says "gone" of a version that is, and fades again.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Registry, Value, MAX_ENTRIES};

use crate::digest::{fingerprint, BUCKETS};
use crate::directory::Directory;
use crate::settings::RelaySettings;

/// More tombstones than this are not aged; the oldest go early.
const MAX_TOMBSTONES: usize = 2 * MAX_ENTRIES;

/// The registry, kept together with what is derived from it.
#[derive(Debug)]
pub(crate) struct Replica {
    registry: Registry,
    digest: Vec<u64>,
    directory: Directory,
    retention: Duration,
    offered: VecDeque<Tombstone>,
    held: VecDeque<Tombstone>,
    held_back: BTreeSet<Key>,
}

#[derive(Debug)]
struct Tombstone {
    key: Key,
    version: u64,
    taken_at: Duration,
}

impl Replica {
    /// An empty copy.
    pub fn new(settings: &RelaySettings) -> Self {
        Self {
            registry: Registry::default(),
            digest: vec![0; BUCKETS],
            directory: Directory::new(settings.zone.clone()),
            retention: settings.tombstone_retention,
            offered: VecDeque::new(),
            held: VecDeque::new(),
            held_back: BTreeSet::new(),
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

    /// Takes an entry in if it is newer than what is known; says whether it was.
    pub fn merge(&mut self, entry: &Entry, now: Duration) -> bool {
        if !self.registry.accepts(entry) {
            return false;
        }
        self.uncount(&entry.key);
        self.held_back.remove(&entry.key);
        self.count(entry);
        self.directory.update(entry);
        if matches!(entry.value, Value::Gone) {
            self.note_tombstone(entry, now);
        }
        self.registry.merge(entry.clone())
    }

    /// Whether an entry may be offered to children: all but tombstones that are about to be let go.
    pub fn offers(&self, entry: &Entry) -> bool {
        !matches!(entry.value, Value::Gone) || !self.held_back.contains(&entry.key)
    }

    /// Ages the tombstones.
    pub fn expire(&mut self, now: Duration) {
        let offer_for = self.offer_for();
        while self.offered.front().is_some_and(|oldest| oldest.taken_at + offer_for <= now) {
            self.hold_back_oldest();
        }
        while self.held.front().is_some_and(|oldest| oldest.taken_at + self.retention <= now) {
            self.forget_oldest();
        }
    }

    /// When [`Replica::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Duration> {
        let offered = self.offered.front().map(|oldest| oldest.taken_at + self.offer_for());
        let held = self.held.front().map(|oldest| oldest.taken_at + self.retention);
        offered.into_iter().chain(held).min()
    }

    fn offer_for(&self) -> Duration {
        self.retention * 3 / 4
    }

    fn note_tombstone(&mut self, entry: &Entry, now: Duration) {
        let (key, version) = (entry.key.clone(), entry.version);
        self.offered.push_back(Tombstone { key, version, taken_at: now });
        if self.offered.len() > MAX_TOMBSTONES {
            self.hold_back_oldest();
        }
    }

    fn hold_back_oldest(&mut self) {
        let Some(tombstone) = self.offered.pop_front() else { return };
        if self.still_buried(&tombstone) {
            self.uncount(&tombstone.key);
            self.held_back.insert(tombstone.key.clone());
            self.held.push_back(tombstone);
        }
        if self.held.len() > MAX_TOMBSTONES {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(tombstone) = self.held.pop_front() else { return };
        if self.still_buried(&tombstone) {
            self.held_back.remove(&tombstone.key);
            self.registry.forget(&tombstone.key);
        }
    }

    fn still_buried(&self, tombstone: &Tombstone) -> bool {
        let entry = self.registry.entry(&tombstone.key);
        entry.is_some_and(|entry| entry.version == tombstone.version && matches!(entry.value, Value::Gone))
    }

    fn count(&mut self, entry: &Entry) {
        let (bucket, hash) = fingerprint(entry);
        if let Some(sum) = self.digest.get_mut(bucket) {
            *sum ^= hash;
        }
    }

    /// Takes the known entry of a key out of the digest, if it is counted.
    fn uncount(&mut self, key: &Key) {
        let Some(entry) = self.registry.entry(key).filter(|entry| self.offers(entry)) else { return };
        let (bucket, hash) = fingerprint(entry);
        if let Some(sum) = self.digest.get_mut(bucket) {
            *sum ^= hash;
        }
    }
}
