//! Brings changed entries to all other control nodes, sans I/O: for each of them a set of keys that it may not know in their newest
//! form. A message is repeated until it is answered; a peer that was lost is told everything again.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Registry};

/// Bounds and times of sharing.
#[derive(Clone, Copy, Debug)]
pub struct SharingSettings {
    /// A message that is not answered for this long is sent again.
    pub resend: Duration,
    /// Most entries in one message.
    pub batch_entries: usize,
    /// Most control nodes shared with.
    pub max_peers: usize,
}

impl Default for SharingSettings {
    fn default() -> Self {
        Self { resend: Duration::from_millis(250), batch_entries: 1_024, max_peers: 64 }
    }
}

/// One message to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The peer.
    pub to: SocketAddr,
    /// Its answer carries it.
    pub number: u64,
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
    number: u64,
    keys: BTreeSet<Key>,
    sent: Duration,
}

/// What other control nodes still have to be told.
#[derive(Debug, Default)]
pub struct Sharing {
    settings: SharingSettings,
    peers: BTreeMap<SocketAddr, Peer>,
    next_number: u64,
}

impl Sharing {
    /// Shares with nobody yet.
    pub fn new(settings: SharingSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// An entry has changed here.
    pub fn changed(&mut self, key: &Key) {
        for peer in self.peers.values_mut() {
            peer.dirty.insert(key.clone());
        }
    }

    /// A control node has come, or has started anew: it is told all that this one shares.
    pub fn peer_up(&mut self, peer: SocketAddr, keys: impl Iterator<Item = Key>) {
        if self.peers.len() >= self.settings.max_peers && !self.peers.contains_key(&peer) {
            return;
        }
        self.peers.insert(peer, Peer { dirty: keys.collect(), in_flight: None });
    }

    /// A control node is lost.
    pub fn peer_down(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    /// Whether a control node is shared with.
    pub fn has_peer(&self, peer: SocketAddr) -> bool {
        self.peers.contains_key(&peer)
    }

    /// A peer has taken a message.
    pub fn acknowledged(&mut self, peer: SocketAddr, number: u64) {
        let Some(peer) = self.peers.get_mut(&peer) else { return };
        if peer.in_flight.as_ref().is_some_and(|sent| sent.number == number) {
            peer.in_flight = None;
        }
    }

    /// Whether a peer has answered that it holds the newest form of an entry.
    pub fn is_held_by(&self, peer: SocketAddr, key: &Key) -> bool {
        let Some(peer) = self.peers.get(&peer) else { return false };
        let sent = peer.in_flight.as_ref().is_some_and(|sent| sent.keys.contains(key));
        !sent && !peer.dirty.contains(key)
    }

    /// The messages that are due.
    pub fn poll(&mut self, now: Duration, registry: &Registry) -> Vec<Share> {
        let mut shares = Vec::new();
        for (&to, peer) in &mut self.peers {
            let overdue = |sent: &mut InFlight| now.saturating_sub(sent.sent) >= self.settings.resend;
            if let Some(mut lost) = peer.in_flight.take_if(overdue) {
                peer.dirty.append(&mut lost.keys);
            }
            if peer.in_flight.is_some() || peer.dirty.is_empty() {
                continue;
            }
            self.next_number += 1;
            let keys = take_batch(&mut peer.dirty, self.settings.batch_entries);
            let entries = keys.iter().filter_map(|key| registry.entry(key).cloned()).collect();
            peer.in_flight = Some(InFlight { number: self.next_number, keys, sent: now });
            shares.push(Share { to, number: self.next_number, entries });
        }
        shares
    }

    /// When a message may have to be repeated.
    pub fn next_timer(&self) -> Option<Duration> {
        self.peers
            .values()
            .filter_map(|peer| peer.in_flight.as_ref())
            .map(|sent| sent.sent + self.settings.resend)
            .min()
    }
}

fn take_batch(dirty: &mut BTreeSet<Key>, most: usize) -> BTreeSet<Key> {
    match dirty.iter().nth(most).cloned() {
        Some(first_left) => {
            let left = dirty.split_off(&first_left);
            std::mem::replace(dirty, left)
        }
        None => std::mem::take(dirty),
    }
}
