//! Replication of session changes to all other control nodes, sans I/O. For each peer it keeps a set of dirty keys, whose newest
//! entries the peer may not have. A batch is sent again until it is acknowledged; a peer that reconnects after it was lost gets
//! all entries again.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Registry};

/// Limits and time-outs of the replication.
#[derive(Clone, Copy, Debug)]
pub struct ReplicationSettings {
    /// A batch that is not acknowledged within this time is sent again.
    pub resend_interval: Duration,
    /// Maximum number of entries in one batch.
    pub max_batch_entries: usize,
    /// Maximum number of peers.
    pub max_peers: usize,
}

impl Default for ReplicationSettings {
    fn default() -> Self {
        Self { resend_interval: Duration::from_millis(250), max_batch_entries: 1_024, max_peers: 64 }
    }
}

/// One batch of entries for a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationBatch {
    /// Address of the peer that receives the batch.
    pub to: SocketAddr,
    /// Sequence number that identifies the batch in its acknowledgement.
    pub sequence: u64,
    /// The current registry entries of the keys in the batch.
    pub entries: Vec<Entry>,
}

#[derive(Debug, Default)]
struct Peer {
    dirty: BTreeSet<Key>,
    in_flight: Option<InFlight>,
}

#[derive(Debug)]
struct InFlight {
    sequence: u64,
    keys: BTreeSet<Key>,
    sent_at: Duration,
}

/// The entries that each of the other control nodes has not acknowledged yet.
#[derive(Debug, Default)]
pub struct SessionReplication {
    settings: ReplicationSettings,
    peers: BTreeMap<SocketAddr, Peer>,
    next_sequence: u64,
}

impl SessionReplication {
    /// Creates a replication without peers.
    #[must_use]
    pub fn new(settings: ReplicationSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Marks an entry that has changed at this node, so that every peer gets it.
    pub fn mark_dirty(&mut self, key: &Key) {
        for peer in self.peers.values_mut() {
            peer.dirty.insert(key.clone());
        }
    }

    /// Adds a peer that has connected or restarted. It gets the entries of all `keys`. Ignored if there are too many peers.
    pub fn on_peer_connected(&mut self, peer: SocketAddr, keys: impl Iterator<Item = Key>) {
        if self.peers.len() >= self.settings.max_peers && !self.peers.contains_key(&peer) {
            return;
        }
        self.peers.insert(peer, Peer { dirty: keys.collect(), in_flight: None });
    }

    /// Removes a lost peer. Nothing is sent to it until it connects again.
    pub fn on_peer_lost(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    /// Whether a control node is among the peers.
    #[must_use]
    pub fn has_peer(&self, peer: SocketAddr) -> bool {
        self.peers.contains_key(&peer)
    }

    /// Processes a peer's acknowledgement of a batch.
    pub fn on_acknowledged(&mut self, peer: SocketAddr, sequence: u64) {
        let Some(peer) = self.peers.get_mut(&peer) else { return };
        if peer.in_flight.as_ref().is_some_and(|batch| batch.sequence == sequence) {
            peer.in_flight = None;
        }
    }

    /// Whether a peer has acknowledged the newest entry of a key.
    #[must_use]
    pub fn is_replicated_to(&self, peer: SocketAddr, key: &Key) -> bool {
        let Some(peer) = self.peers.get(&peer) else { return false };
        let is_in_flight = peer.in_flight.as_ref().is_some_and(|batch| batch.keys.contains(key));
        !is_in_flight && !peer.dirty.contains(key)
    }

    /// Returns the batches that are due; each peer has at most one batch in flight.
    pub fn poll(&mut self, now: Duration, registry: &Registry) -> Vec<ReplicationBatch> {
        let mut batches = Vec::new();
        for (&to, peer) in &mut self.peers {
            let is_overdue =
                |batch: &mut InFlight| now.saturating_sub(batch.sent_at) >= self.settings.resend_interval;
            if let Some(mut unacknowledged) = peer.in_flight.take_if(is_overdue) {
                peer.dirty.append(&mut unacknowledged.keys);
            }
            if peer.in_flight.is_some() || peer.dirty.is_empty() {
                continue;
            }
            self.next_sequence += 1;
            let keys = take_batch_keys(&mut peer.dirty, self.settings.max_batch_entries);
            let entries = keys.iter().filter_map(|key| registry.entry(key).cloned()).collect();
            peer.in_flight = Some(InFlight { sequence: self.next_sequence, keys, sent_at: now });
            batches.push(ReplicationBatch { to, sequence: self.next_sequence, entries });
        }
        batches
    }

    /// Time at which the first batch in flight is due to be sent again.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        self.peers
            .values()
            .filter_map(|peer| peer.in_flight.as_ref())
            .map(|batch| batch.sent_at + self.settings.resend_interval)
            .min()
    }
}

fn take_batch_keys(dirty: &mut BTreeSet<Key>, max_keys: usize) -> BTreeSet<Key> {
    match dirty.iter().nth(max_keys).cloned() {
        Some(first_remaining) => {
            let remaining = dirty.split_off(&first_remaining);
            std::mem::replace(dirty, remaining)
        }
        None => std::mem::take(dirty),
    }
}
