//! The sessions of stores and nodes at this node: processes their heartbeats, merges changes into the registry, and replicates
//! them to the other control nodes. The state machines are in [`crate::sessions`].

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{ControlMessage, Entry, Envelope, Key, NodeRecord, Registry, StoreRecord, Value};

use super::messenger::Messenger;
use super::relay_host::RelayHost;
use crate::sessions::{is_session, HeartbeatOutcome, SessionCounts, SessionReplication, Sessions};

/// The sessions, and their replication.
#[derive(Debug)]
pub(super) struct SessionHost {
    messenger: Messenger,
    sessions: Sessions,
    replication: SessionReplication,
    /// Version of this node's own entry in the registry.
    own_version: u64,
}

impl SessionHost {
    pub(super) fn new(messenger: Messenger, sessions: Sessions, replication: SessionReplication) -> Self {
        Self { messenger, sessions, replication, own_version: 0 }
    }

    /// The state of the replication to the other control nodes.
    pub(super) fn replication(&self) -> &SessionReplication {
        &self.replication
    }

    /// Numbers of sessions at this node.
    pub(super) fn counts(&self) -> SessionCounts {
        self.sessions.counts()
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.replication.next_timer()
    }

    /// Processes the heartbeat of a store. Returns whether it is the newest of that store.
    pub(super) fn on_store_heartbeat(
        &mut self,
        now: Duration,
        key: &Key,
        sequence: u64,
        store: StoreRecord,
        relay: &mut RelayHost,
    ) -> bool {
        let is_new = relay.registry().entry(key).is_none();
        let address = store.address;
        let is_newest = self.on_heartbeat(now, key.clone(), sequence, Value::Store(store), relay);
        if is_new {
            self.supersede_stores_at(address, key, relay);
        }
        is_newest
    }

    /// Ends the sessions of former stores at an address. Only one store serves at an address, so the former ones have ended, even
    /// if they have not deregistered.
    fn supersede_stores_at(&mut self, address: SocketAddr, current: &Key, relay: &mut RelayHost) {
        let former: Vec<Key> = relay
            .registry()
            .stores()
            .filter(|(_, store)| store.address == address)
            .map(|(id, _)| Key::Store(id.to_owned()))
            .filter(|key| key != current)
            .collect();
        for key in former {
            if let Some(entry) = self.sessions.supersede(key) {
                self.publish(entry, relay);
            }
        }
    }

    /// Processes the heartbeat of a node of the system.
    pub(super) fn on_node_heartbeat(
        &mut self,
        now: Duration,
        node: &NodeRecord,
        sequence: u64,
        relay: &mut RelayHost,
    ) {
        let key = Key::Node(node.incarnation);
        let is_new = relay.registry().entry(&key).is_none();
        self.on_heartbeat(now, key, sequence, Value::Node(node.clone()), relay);
        if is_new {
            self.end_former_incarnations(node, relay);
        }
    }

    /// Ends the sessions of former processes at the address of a node. Only one process runs at an address, so the former ones
    /// have ended.
    fn end_former_incarnations(&mut self, node: &NodeRecord, relay: &mut RelayHost) {
        let former: Vec<u64> = relay
            .registry()
            .nodes()
            .filter(|other| other.address == node.address && other.incarnation != node.incarnation)
            .map(|other| other.incarnation)
            .collect();
        for incarnation in former {
            self.end(Key::Node(incarnation), relay);
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Duration,
        key: Key,
        sequence: u64,
        value: Value,
        relay: &mut RelayHost,
    ) -> bool {
        let registry_entry = relay.registry().entry(&key);
        match self.sessions.on_heartbeat(now, key, sequence, value, registry_entry) {
            HeartbeatOutcome::Changed(entry) => {
                self.publish(entry, relay);
                true
            }
            HeartbeatOutcome::Unchanged => true,
            HeartbeatOutcome::Stale => false,
        }
    }

    /// Ends the session of a source that has deregistered or sent a goodbye.
    pub(super) fn end(&mut self, key: Key, relay: &mut RelayHost) {
        let entry = self.sessions.end(key);
        self.publish(entry, relay);
    }

    /// Merges an entry into the registry and replicates it to the other control nodes.
    pub(super) fn publish(&mut self, entry: Entry, relay: &mut RelayHost) {
        self.replication.mark_dirty(&entry.key);
        relay.merge_entries(vec![entry]);
    }

    /// Publishes this node's own entry if the registry lacks it or has a tombstone of it, which the new entry supersedes.
    pub(super) fn publish_own_record(&mut self, relay: &mut RelayHost) {
        let own_record = self.messenger.own_record();
        let key = Key::Node(own_record.incarnation);
        let registry_entry = relay.registry().entry(&key);
        if registry_entry.is_some_and(|entry| matches!(entry.value, Value::Node(_))) {
            return;
        }
        self.own_version = self.own_version.max(registry_entry.map_or(0, |entry| entry.version)) + 1;
        let entry =
            Entry { key: key.clone(), version: self.own_version, value: Value::Node(own_record.clone()) };
        relay.merge_entries(vec![entry]);
        self.replication.mark_dirty(&key);
    }

    /// Removes the sessions owned by this node that have expired, and publishes their tombstones.
    pub(super) fn expire(&mut self, now: Duration, relay: &mut RelayHost) {
        for entry in self.sessions.expire(now) {
            log::info!(key:? = entry.key; "session expired");
            self.publish(entry, relay);
        }
    }

    /// Restarts all time-outs, after this process received nothing for some time.
    pub(super) fn restart_timeouts(&mut self, now: Duration) {
        self.sessions.restart_timeouts(now);
    }

    /// Starts the replication to a control node that has connected, and may have none of the entries that control nodes
    /// replicate.
    pub(super) fn on_peer_connected(&mut self, peer: SocketAddr, registry: &Registry) {
        let keys = registry.entries().map(|entry| &entry.key).filter(|key| is_replicated(key));
        self.replication.on_peer_connected(peer, keys.cloned());
    }

    /// Stops the replication to a lost control node, and takes over its sessions.
    pub(super) fn on_peer_lost(&mut self, now: Duration, peer: SocketAddr) {
        self.replication.on_peer_lost(peer);
        self.sessions.take_over(now, peer);
    }

    /// Processes a batch of entries from another control node, and acknowledges it.
    pub(super) fn on_batch(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sequence: u64,
        entries: Vec<Entry>,
        relay: &mut RelayHost,
    ) {
        let mut new_entries = Vec::new();
        for entry in entries {
            let registry_entry = relay.registry().entry(&entry.key);
            if registry_entry.is_some_and(|registered| registered.rank() >= entry.rank()) {
                continue;
            }
            if is_session(&entry.key) {
                self.sessions.on_replicated(now, from, &entry);
            }
            new_entries.push(entry);
        }
        relay.merge_entries(new_entries);
        self.messenger.send(from, Envelope::Control(ControlMessage::ReplicateSessionsAck { sequence }));
    }

    /// Processes a control node's acknowledgement of a batch.
    pub(super) fn on_batch_acknowledged(&mut self, from: SocketAddr, sequence: u64) {
        self.replication.on_acknowledged(from, sequence);
    }

    /// Sends the replication batches that are due.
    pub(super) fn send_due_batches(&mut self, now: Duration, registry: &Registry) {
        for batch in self.replication.poll(now, registry) {
            let message =
                ControlMessage::ReplicateSessions { sequence: batch.sequence, entries: batch.entries };
            self.messenger.send(batch.to, Envelope::Control(message));
        }
    }
}

/// Whether control nodes replicate the entry of a key to each other. All other entries are replicated by the chain.
fn is_replicated(key: &Key) -> bool {
    matches!(key, Key::Store(_) | Key::Node(_) | Key::Weights(..))
}
