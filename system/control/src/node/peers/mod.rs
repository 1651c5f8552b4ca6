//! The other control nodes: their records ([`PeerDirectory`]), and which of them this node can reach now.
//!
//! Each node sends hellos to its seeds and to all known peers: often until all members of the view are connected, less often
//! after that. A peer becomes reachable with its hello and stays reachable as long as messages of any kind arrive from it.

mod directory;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{ControlMessage, Envelope, NodeRecord, Role};

use super::messenger::Messenger;

pub use directory::{HelloOutcome, PeerDirectory, MAX_PEERS};

/// Interval between hellos while no view is known or not all its members are connected.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between hellos while all members of the view are connected.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// A peer that has sent nothing for this long is unreachable.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(1_600);

/// The effect of an accepted hello.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerHello {
    /// Whether the directory has changed.
    pub is_directory_changed: bool,
    /// Whether the peer may lack entries that this node replicated before, because it has restarted or was not reachable.
    pub is_new_connection: bool,
    /// The member that had the peer's address before, if any. Its disk is lost.
    pub replaces: Option<u64>,
}

/// The other control nodes, and the hellos to them.
#[derive(Debug)]
pub(super) struct Peers {
    messenger: Messenger,
    seeds: Vec<SocketAddr>,
    directory: PeerDirectory,
    /// The time at which each reachable peer last sent a message.
    last_seen: BTreeMap<SocketAddr, Duration>,
    next_hello: Duration,
    is_stopped: bool,
}

impl Peers {
    pub(super) fn new(messenger: Messenger, seeds: Vec<SocketAddr>, directory: PeerDirectory) -> Self {
        Self {
            messenger,
            seeds,
            directory,
            last_seen: BTreeMap::new(),
            next_hello: Duration::ZERO,
            is_stopped: false,
        }
    }

    /// The directory of the peers.
    pub(super) fn directory(&self) -> &PeerDirectory {
        &self.directory
    }

    /// The addresses of the peers that this node can reach.
    pub(super) fn reachable(&self) -> impl Iterator<Item = &SocketAddr> {
        self.last_seen.keys()
    }

    /// Sends hellos to all seeds and peers if they are due; returns whether they were.
    pub(super) fn send_due_hellos(&mut self, now: Duration, are_members_connected: bool) -> bool {
        if now < self.next_hello || self.is_stopped {
            return false;
        }
        self.next_hello = now + if are_members_connected { HELLO_INTERVAL } else { DISCOVERY_INTERVAL };
        let known_peers = self.directory.records();
        let mut targets: Vec<SocketAddr> = known_peers.iter().map(|record| record.address).collect();
        let unknown_seeds: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| !targets.contains(seed)).collect();
        targets.extend(unknown_seeds);
        for to in targets {
            let wants_reply = !self.last_seen.contains_key(&to);
            self.send_hello(to, known_peers.clone(), wants_reply);
        }
        true
    }

    /// Replies to a hello.
    pub(super) fn reply_to_hello(&self, to: SocketAddr) {
        self.send_hello(to, self.directory.records(), false);
    }

    fn send_hello(&self, to: SocketAddr, known_peers: Vec<NodeRecord>, wants_reply: bool) {
        let node = self.messenger.own_record().clone();
        self.messenger.send(to, Envelope::Control(ControlMessage::Hello { node, known_peers, wants_reply }));
    }

    /// Processes a hello: the sender is reachable, and may know further peers. Returns `None` if the sender is not a control node
    /// at its own address.
    pub(super) fn on_hello(
        &mut self,
        now: Duration,
        from: SocketAddr,
        node: &NodeRecord,
        known_peers: Vec<NodeRecord>,
    ) -> Option<PeerHello> {
        if node.role != Role::Control || node.address != from {
            return None;
        }
        let hello = self.directory.on_hello(now, node);
        let mut is_directory_changed = hello.is_changed;
        for record in known_peers {
            is_directory_changed |= self.directory.on_peer_update(record);
        }
        let was_reachable = self.last_seen.insert(from, now).is_some();
        Some(PeerHello {
            is_directory_changed,
            is_new_connection: hello.is_new_incarnation || !was_reachable,
            replaces: hello.replaces,
        })
    }

    /// Records that a message of any kind was received from an address.
    pub(super) fn on_message(&mut self, now: Duration, from: SocketAddr) {
        if let Some(last_seen) = self.last_seen.get_mut(&from) {
            *last_seen = now;
        }
    }

    /// Records that a message of the chain was received from a member.
    pub(super) fn on_chain_message(&mut self, now: Duration, member: u64) {
        self.directory.on_message(now, member);
    }

    /// Processes a refused connection to an address, whose process has therefore ended. Returns whether a reachable peer is lost
    /// by that.
    pub(super) fn on_refused(&mut self, address: SocketAddr) -> bool {
        self.last_seen.remove(&address).is_some()
    }

    /// Removes and returns the peers that have become unreachable.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<SocketAddr> {
        let has_expired = |last_seen: Duration| now.saturating_sub(last_seen) > REACHABILITY_TIMEOUT;
        let lost: Vec<SocketAddr> = self
            .last_seen
            .iter()
            .filter(|(_, last_seen)| has_expired(**last_seen))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in &lost {
            self.last_seen.remove(peer);
        }
        lost
    }

    /// Restarts the time-outs of all peers, after this process was suspended and received nothing.
    pub(super) fn restart_timeouts(&mut self, now: Duration) {
        self.last_seen.values_mut().for_each(|last_seen| *last_seen = now);
    }

    /// Addresses of the control nodes that other nodes should use: the reachable peers, and this node unless it is stopping.
    pub(super) fn advertised_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self.last_seen.keys().copied().collect();
        if !self.is_stopped {
            addresses.push(self.messenger.own_record().address);
        }
        addresses
    }

    /// Stops sending hellos, because this node will not be reachable any more.
    pub(super) fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Sends a goodbye to all known peers, because this process is ending.
    pub(super) fn send_goodbyes(&self) {
        let goodbye = ControlMessage::Goodbye { incarnation: self.messenger.own_record().incarnation };
        for record in self.directory.records() {
            self.messenger.send(record.address, Envelope::Control(goodbye.clone()));
        }
    }
}
