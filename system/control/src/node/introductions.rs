//! How control nodes find each other: each introduces itself to its seeds and to all that it knows, quickly until all
//! members of a view are known, then now and then. Who answers is announced to the chain.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_chain::{ChainEvent, MemberId, MembershipEvent};
use gingerledge_wire::{ControlMessage, Entry, Envelope, Key, NodeRecord, Role, Value};

use super::Node;

/// Time between introductions while no view, or not all members of it, are known.
const SEARCHING: Duration = Duration::from_millis(200);
/// Time between introductions otherwise.
const SETTLED: Duration = Duration::from_millis(500);
/// A control node that has said nothing for this long is not waited for.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_600);

impl Node {
    pub(super) fn introduce(&mut self, now: Duration) {
        if now < self.next_introduction || self.stopping {
            return;
        }
        let searching = !self.members_shared_with();
        self.next_introduction = now + if searching { SEARCHING } else { SETTLED };
        let known = self.book.records();
        let mut targets: Vec<SocketAddr> = known.iter().map(|record| record.address).collect();
        let unknown = self.settings.internal_seeds().into_iter().filter(|seed| !targets.contains(seed));
        targets.extend(unknown.collect::<Vec<_>>());
        for to in targets {
            let answer = !self.reachable.contains_key(&to);
            self.introduce_to(to, known.clone(), answer);
        }
        let control = self.control_addresses();
        self.relay.handle_event(gingerledge_relay::RelayEvent::ControlNodesKnown(control));
    }

    fn introduce_to(&mut self, to: SocketAddr, known: Vec<NodeRecord>, answer: bool) {
        let message = ControlMessage::Hello {
            node: self.messenger.own().clone(),
            known_peers: known,
            wants_reply: answer,
        };
        self.messenger.send(to, Envelope::Control(message));
    }

    pub(super) fn take_introduction(
        &mut self,
        from: SocketAddr,
        node: NodeRecord,
        known: Vec<NodeRecord>,
        answer: bool,
    ) {
        let now = self.clock.now();
        if node.role != Role::Control || node.address != from {
            return;
        }
        let introduced = self.book.introduced(now, &node);
        let mut changed = introduced.changed;
        for record in known {
            changed |= self.book.told(record);
        }
        if introduced.new_incarnation || !self.reachable.contains_key(&from) {
            let keys: Vec<Key> = self.relay.registry().entries().map(|entry| entry.key.clone()).collect();
            self.sharing.on_peer_connected(from, keys.into_iter().filter(is_shared));
        }
        self.reachable.insert(from, now);
        self.announcements.reevaluate();
        let member = MemberId(node.member);
        self.chain.handle_event(ChainEvent::View(MembershipEvent::MemberAnnounced {
            member,
            replaces: introduced.replaces.map(MemberId),
        }));
        if changed {
            log::info!("control node {} is at {}", node.name, node.address);
            self.disk.append_peers(self.book.records());
        }
        if answer {
            let known = self.book.records();
            self.introduce_to(from, known, false);
        }
    }

    /// Any message shows that a control node lives.
    pub(super) fn peer_heard(&mut self, from: SocketAddr) {
        let now = self.clock.now();
        if let Some(heard) = self.reachable.get_mut(&from) {
            *heard = now;
        }
    }

    /// Nothing listens there: its process has ended.
    pub(super) fn peer_refused(&mut self, peer: SocketAddr) {
        if self.reachable.contains_key(&peer) {
            self.lose_peer(peer);
        }
    }

    pub(super) fn expire_peers(&mut self, now: Duration) {
        let silent = |heard: &Duration| now.saturating_sub(*heard) > UNREACHABLE_AFTER;
        let lost: Vec<SocketAddr> =
            self.reachable.iter().filter(|(_, heard)| silent(heard)).map(|(peer, _)| *peer).collect();
        for peer in lost {
            self.lose_peer(peer);
        }
    }

    /// Its sessions are taken over; when it is back it is told everything.
    fn lose_peer(&mut self, peer: SocketAddr) {
        log::info!("the control node at {peer} is silent");
        let now = self.clock.now();
        self.reachable.remove(&peer);
        self.sharing.on_peer_lost(peer);
        self.sessions.take_over(now, peer);
    }

    /// Where control nodes that live take internal messages.
    pub(super) fn control_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self.reachable.keys().copied().collect();
        if !self.stopping {
            addresses.push(self.messenger.own().address);
        }
        addresses
    }

    /// This node's own entry, so that all others know it. One that says it is gone is overruled.
    pub(super) fn announce_self(&mut self) {
        let key = Key::Node(self.messenger.own().incarnation);
        let known = self.relay.registry().entry(&key);
        if known.is_some_and(|entry| matches!(entry.value, Value::Node(_))) {
            return;
        }
        self.own_sequence = self.own_sequence.max(known.map_or(0, |entry| entry.version)) + 1;
        let entry = Entry {
            key: key.clone(),
            version: self.own_sequence,
            value: Value::Node(self.messenger.own().clone()),
        };
        self.relay.learn(vec![entry]);
        self.sharing.mark_dirty(&key);
    }
}

/// Whether control nodes tell each other of such an entry; the chain brings the others.
pub(super) fn is_shared(key: &Key) -> bool {
    matches!(key, Key::Store(_) | Key::Node(_) | Key::Weights(..))
}
