//! Heartbeats of stores and nodes, and the sharing of what they change among control nodes.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{BackendReport, ControlMessage, Entry, Envelope, Key, NodeRecord, Role, Value};

use super::Node;
use crate::sessions::{is_session, HeartbeatOutcome};

impl Node {
    /// A store or node has said something itself. Says whether it is the newest word of that source.
    pub(super) fn hear(&mut self, key: Key, sequence: u64, value: Value) -> bool {
        let now = self.clock.now();
        let known = self.relay.registry().entry(&key);
        match self.sessions.on_heartbeat(now, key, sequence, value, known) {
            HeartbeatOutcome::Changed(entry) => {
                self.learn_and_share(entry);
                true
            }
            HeartbeatOutcome::Unchanged => true,
            HeartbeatOutcome::Stale => false,
        }
    }

    pub(super) fn end_session(&mut self, key: Key) {
        let entry = self.sessions.end(key);
        self.learn_and_share(entry);
    }

    pub(super) fn learn_and_share(&mut self, entry: Entry) {
        self.sharing.mark_dirty(&entry.key);
        self.relay.learn(vec![entry]);
    }

    pub(super) fn take_node_heartbeat(
        &mut self,
        from: SocketAddr,
        node: NodeRecord,
        sequence: u64,
        report: Option<BackendReport>,
    ) {
        if node.role == Role::Control || node.address != from {
            return;
        }
        let now = self.clock.now();
        if let Some(report) = report {
            self.coordination.backend_reported(now, &node, report);
        }
        let key = Key::Node(node.incarnation);
        let is_new = self.relay.registry().entry(&key).is_none();
        self.hear(key, sequence, Value::Node(node.clone()));
        if is_new {
            self.end_former_lives(&node);
        }
        let control = self.peers.advertised_addresses();
        self.messenger
            .send(from, Envelope::Control(ControlMessage::HeartbeatAck { sequence, control_nodes: control }));
    }

    /// One process runs at an address: those before it are gone.
    fn end_former_lives(&mut self, node: &NodeRecord) {
        let former: Vec<u64> = self
            .relay
            .registry()
            .nodes()
            .filter(|other| other.address == node.address && other.incarnation != node.incarnation)
            .map(|other| other.incarnation)
            .collect();
        for incarnation in former {
            self.end_session(Key::Node(incarnation));
        }
    }

    pub(super) fn take_farewell(&mut self, incarnation: u64) {
        self.end_session(Key::Node(incarnation));
    }

    pub(super) fn take_share(&mut self, from: SocketAddr, number: u64, entries: Vec<Entry>) {
        let now = self.clock.now();
        let mut news = Vec::new();
        for entry in entries {
            let known = self.relay.registry().entry(&entry.key);
            if known.is_some_and(|known| known.rank() >= entry.rank()) {
                continue;
            }
            if is_session(&entry.key) {
                self.sessions.on_replicated(now, from, &entry);
            }
            news.push(entry);
        }
        self.relay.learn(news);
        self.messenger
            .send(from, Envelope::Control(ControlMessage::ReplicateSessionsAck { sequence: number }));
    }

    pub(super) fn send_shares(&mut self, now: Duration) {
        for share in self.sharing.poll(now, self.relay.registry()) {
            let message =
                ControlMessage::ReplicateSessions { sequence: share.sequence, entries: share.entries };
            self.messenger.send(share.to, Envelope::Control(message));
        }
    }

    /// A member that is cut off from the chain hears nobody, and lets no session end: it is the sources' silence only to itself.
    pub(super) fn expire_sessions(&mut self, now: Duration) {
        self.publish_own_record();
        if self.chain.is_in_chain(self.messenger.own().member) && !self.relay.is_fresh(now) {
            self.sessions.restart_timeouts(now);
            return;
        }
        for entry in self.sessions.expire(now) {
            log::info!("silent for too long: {:?}", entry.key);
            self.learn_and_share(entry);
        }
    }

    /// Whether the sharing knows all members of the chain: one that has not introduced itself yet would be passed over.
    pub(super) fn members_shared_with(&self) -> bool {
        let Some(members) = self.chain.membership() else { return false };
        let mut others = members.chain.iter().filter(|member| member.0 != self.messenger.own().member);
        others.all(|member| {
            self.peers.directory().address(member.0).is_some_and(|address| self.sharing.has_peer(address))
        })
    }

    pub(super) fn on_peer_connected(&mut self, peer: SocketAddr) {
        let keys: Vec<Key> = self.relay.registry().entries().map(|entry| entry.key.clone()).collect();
        self.sharing.on_peer_connected(peer, keys.into_iter().filter(is_replicated));
    }

    /// Its sessions are taken over; when it is back it gets everything again.
    pub(super) fn on_peer_lost(&mut self, peer: SocketAddr) {
        log::info!(address:% = peer; "control peer lost");
        self.sharing.on_peer_lost(peer);
        self.sessions.take_over(self.clock.now(), peer);
    }

    pub(super) fn expire_peers(&mut self, now: Duration) {
        for peer in self.peers.expire(now) {
            self.on_peer_lost(peer);
        }
    }

    /// This node's own entry, so that all others know it. A tombstone of it is overruled.
    fn publish_own_record(&mut self) {
        let own = self.messenger.own();
        let key = Key::Node(own.incarnation);
        let known = self.relay.registry().entry(&key);
        if known.is_some_and(|entry| matches!(entry.value, Value::Node(_))) {
            return;
        }
        self.own_sequence = self.own_sequence.max(known.map_or(0, |entry| entry.version)) + 1;
        let entry = Entry { key: key.clone(), version: self.own_sequence, value: Value::Node(own.clone()) };
        self.relay.learn(vec![entry]);
        self.sharing.mark_dirty(&key);
    }
}

/// Whether control nodes replicate such an entry to each other; the chain brings the others.
fn is_replicated(key: &Key) -> bool {
    matches!(key, Key::Store(_) | Key::Node(_) | Key::Weights(..))
}
