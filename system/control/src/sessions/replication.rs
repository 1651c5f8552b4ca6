//! Replication of session changes to all other control nodes, sans I/O: for each peer a set of dirty keys, whose newest entry it may not
//! have. A batch is resent until it is acknowledged; a peer that comes back after it was lost gets everything again.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Registry};

/// Bounds and times of the replication.
#[derive(Clone, Copy, Debug)]
pub struct ReplicationSettings {
    /// A batch that is not acknowledged for this long is sent again.
    pub resend: Duration,
    /// Most entries in one batch.
    pub batch_entries: usize,
    /// Most peers.
    pub max_peers: usize,
}

impl Default for ReplicationSettings {
    fn default() -> Self {
        Self { resend: Duration::from_millis(250), batch_entries: 1_024, max_peers: 64 }
    }
}

/// One batch of entries for a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationBatch {
    /// The peer.
    pub to: SocketAddr,
    /// Identifies the batch in its acknowledgement.
    pub sequence: u64,
    /// The entries, as the registry has them now.
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
    sent: Duration,
}

/// What each of the other control nodes has not acknowledged yet.
#[derive(Debug, Default)]
pub struct SessionReplication {
    settings: ReplicationSettings,
    peers: BTreeMap<SocketAddr, Peer>,
    next_sequence: u64,
}

impl SessionReplication {
    /// A replication without peers.
    #[must_use]
    pub fn new(settings: ReplicationSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// An entry has changed here: every peer has to get it.
    pub fn mark_dirty(&mut self, key: &Key) {
        for peer in self.peers.values_mut() {
            peer.dirty.insert(key.clone());
        }
    }

    /// A peer has come up, or has restarted: it gets the entries of all `keys`.
    pub fn on_peer_connected(&mut self, peer: SocketAddr, keys: impl Iterator<Item = Key>) {
        if self.peers.len() >= self.settings.max_peers && !self.peers.contains_key(&peer) {
            return;
        }
        self.peers.insert(peer, Peer { dirty: keys.collect(), in_flight: None });
    }

    /// A peer is lost: nothing is sent to it until it comes up again.
    pub fn on_peer_lost(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    /// Whether a control node is among the peers.
    #[must_use]
    pub fn has_peer(&self, peer: SocketAddr) -> bool {
        self.peers.contains_key(&peer)
    }

    /// A peer has acknowledged a batch.
    pub fn on_acknowledged(&mut self, peer: SocketAddr, sequence: u64) {
        let Some(peer) = self.peers.get_mut(&peer) else { return };
        if peer.in_flight.as_ref().is_some_and(|sent| sent.sequence == sequence) {
            peer.in_flight = None;
        }
    }

    /// Whether a peer has acknowledged the newest entry of a key.
    #[must_use]
    pub fn is_replicated_to(&self, peer: SocketAddr, key: &Key) -> bool {
        let Some(peer) = self.peers.get(&peer) else { return false };
        let sent = peer.in_flight.as_ref().is_some_and(|sent| sent.keys.contains(key));
        !sent && !peer.dirty.contains(key)
    }

    /// The batches that are due, at most one in flight for each peer.
    pub fn poll(&mut self, now: Duration, registry: &Registry) -> Vec<ReplicationBatch> {
        let mut batches = Vec::new();
        for (&to, peer) in &mut self.peers {
            let overdue = |sent: &mut InFlight| now.saturating_sub(sent.sent) >= self.settings.resend;
            if let Some(mut lost) = peer.in_flight.take_if(overdue) {
                peer.dirty.append(&mut lost.keys);
            }
            if peer.in_flight.is_some() || peer.dirty.is_empty() {
                continue;
            }
            self.next_sequence += 1;
            let keys = split_batch(&mut peer.dirty, self.settings.batch_entries);
            let entries = keys.iter().filter_map(|key| registry.entry(key).cloned()).collect();
            peer.in_flight = Some(InFlight { sequence: self.next_sequence, keys, sent: now });
            batches.push(ReplicationBatch { to, sequence: self.next_sequence, entries });
        }
        batches
    }

    /// When the first batch in flight may have to be sent again.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        self.peers
            .values()
            .filter_map(|peer| peer.in_flight.as_ref())
            .map(|sent| sent.sent + self.settings.resend)
            .min()
    }
}

fn split_batch(dirty: &mut BTreeSet<Key>, most: usize) -> BTreeSet<Key> {
    match dirty.iter().nth(most).cloned() {
        Some(first_left) => {
            let left = dirty.split_off(&first_left);
            std::mem::replace(dirty, left)
        }
        None => std::mem::take(dirty),
    }
}
