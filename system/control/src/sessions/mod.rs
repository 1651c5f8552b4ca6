//! Heartbeat sessions of stores and of the system's own nodes, sans I/O.
//!
//! Every control node has every session. The control node that received a session's last heartbeat owns it, and expires it after
//! a number of missed heartbeats. When the other control nodes lose an owner, they take over its sessions with a new time-out.
//! The last known record of a source of heartbeats is an entry of the registry, whose version is the sequence number of the
//! heartbeat that changed it last; heartbeats that change nothing are not replicated. The next heartbeat of a source whose
//! session expired by mistake restores the session.

mod acknowledgements;
mod replication;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Value, FINAL_VERSION, MAX_ENTRIES};

pub use acknowledgements::{Confirmation, PendingAcknowledgements, MAX_PENDING_ACKNOWLEDGEMENTS};
pub use replication::{ReplicationBatch, ReplicationSettings, SessionReplication};

/// Heartbeat intervals, and how many heartbeats may be missed.
#[derive(Clone, Copy, Debug)]
pub struct SessionSettings {
    /// Interval between the heartbeats of a store.
    pub store_heartbeat_interval: Duration,
    /// Interval between the heartbeats of a node of the system.
    pub node_heartbeat_interval: Duration,
    /// Number of intervals without a heartbeat after which a session expires.
    pub max_missed_heartbeats: u32,
}

/// The effect of a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is older than a known one, its session has ended, or there is no capacity for another session.
    Stale,
    /// The heartbeat is the newest, and changes nothing.
    Unchanged,
    /// The heartbeat changes the entry of its source: the new entry must be merged into the registry and replicated.
    Changed(Entry),
}

#[derive(Clone, Copy, Debug)]
struct Session {
    owner: SocketAddr,
    last_heartbeat: Duration,
    sequence: u64,
    /// Whether the other control nodes know the owner.
    is_ownership_replicated: bool,
}

/// Numbers of sessions at a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionCounts {
    /// Number of all sessions.
    pub total: usize,
    /// Number of sessions that the node owns.
    pub owned: usize,
}

/// The sessions known to one control node.
#[derive(Debug)]
pub struct Sessions {
    settings: SessionSettings,
    own_address: SocketAddr,
    sessions: HashMap<Key, Session>,
}

impl Sessions {
    /// Creates an empty set of sessions for the control node that receives internal messages at `own_address`.
    #[must_use]
    pub fn new(settings: SessionSettings, own_address: SocketAddr) -> Self {
        Self { settings, own_address, sessions: HashMap::new() }
    }

    /// Processes a heartbeat that a source sent to this node: `value` with sequence number `sequence`. `registry_entry` is the
    /// source's entry in the registry.
    pub fn on_heartbeat(
        &mut self,
        now: Duration,
        key: Key,
        sequence: u64,
        value: Value,
        registry_entry: Option<&Entry>,
    ) -> HeartbeatOutcome {
        if registry_entry.is_some_and(|entry| supersedes_heartbeat(entry, sequence)) {
            return HeartbeatOutcome::Stale;
        }
        let is_full = self.sessions.len() >= MAX_ENTRIES;
        let is_new_owner = match self.sessions.get_mut(&key) {
            Some(session) if sequence < session.sequence => return HeartbeatOutcome::Stale,
            Some(session) => {
                let is_new_owner = session.owner != self.own_address || !session.is_ownership_replicated;
                *session = Session {
                    owner: self.own_address,
                    last_heartbeat: now,
                    sequence,
                    is_ownership_replicated: true,
                };
                is_new_owner
            }
            None if is_full => return HeartbeatOutcome::Stale,
            None => {
                let session = Session {
                    owner: self.own_address,
                    last_heartbeat: now,
                    sequence,
                    is_ownership_replicated: true,
                };
                self.sessions.insert(key.clone(), session);
                true
            }
        };
        let registered_value = registry_entry.map(|entry| &entry.value);
        let is_newer = registry_entry.is_none_or(|entry| entry.version < sequence);
        if is_newer && (is_new_owner || registered_value != Some(&value)) {
            return HeartbeatOutcome::Changed(Entry { key, version: sequence, value });
        }
        HeartbeatOutcome::Unchanged
    }

    /// Ends a session because its source has deregistered. The returned tombstone supersedes every heartbeat.
    pub fn end(&mut self, key: Key) -> Entry {
        self.sessions.remove(&key);
        Entry { key, version: FINAL_VERSION, value: Value::Tombstone }
    }

    /// Ends a session because another source runs at its address, and returns its tombstone. If the source is alive all the same,
    /// its next heartbeat restores the session.
    pub fn supersede(&mut self, key: Key) -> Option<Entry> {
        let session = self.sessions.remove(&key)?;
        Some(Entry { key, version: session.sequence, value: Value::Tombstone })
    }

    /// Processes an entry that another control node has replicated and that is new at this node: `from` owns the session from now
    /// on.
    pub fn on_replicated(&mut self, now: Duration, from: SocketAddr, entry: &Entry) {
        if !is_session(&entry.key) {
            return;
        }
        if matches!(entry.value, Value::Tombstone) {
            self.sessions.remove(&entry.key);
            return;
        }
        let known_sequence = self.sessions.get(&entry.key).map_or(0, |session| session.sequence);
        if known_sequence > entry.version || (known_sequence == 0 && self.sessions.len() >= MAX_ENTRIES) {
            return;
        }
        let session = Session {
            owner: from,
            last_heartbeat: now,
            sequence: entry.version,
            is_ownership_replicated: true,
        };
        self.sessions.insert(entry.key.clone(), session);
    }

    /// Takes over the sessions of a lost control node, until another node receives heartbeats from their sources.
    pub fn take_over(&mut self, now: Duration, lost_node: SocketAddr) {
        for session in self.sessions.values_mut().filter(|session| session.owner == lost_node) {
            session.owner = self.own_address;
            session.last_heartbeat = now;
            session.is_ownership_replicated = false;
        }
    }

    /// Restarts all time-outs, after this process was suspended or was partitioned from the network, and so received nothing.
    pub fn restart_timeouts(&mut self, now: Duration) {
        for session in self.sessions.values_mut() {
            session.last_heartbeat = now;
        }
    }

    /// Removes the sessions owned by this node that had no heartbeat for longer than their time-out, and returns their
    /// tombstones.
    pub fn expire(&mut self, now: Duration) -> Vec<Entry> {
        let has_expired = |key: &Key, session: &Session| {
            session.owner == self.own_address
                && now.saturating_sub(session.last_heartbeat) > self.session_timeout(key)
        };
        let expired: Vec<(Key, u64)> = self
            .sessions
            .iter()
            .filter(|(key, session)| has_expired(key, session))
            .map(|(key, session)| (key.clone(), session.sequence))
            .collect();
        for (key, _) in &expired {
            self.sessions.remove(key);
        }
        expired.into_iter().map(|(key, version)| Entry { key, version, value: Value::Tombstone }).collect()
    }

    fn session_timeout(&self, key: &Key) -> Duration {
        let interval = match key {
            Key::Store(_) => self.settings.store_heartbeat_interval,
            _ => self.settings.node_heartbeat_interval,
        };
        interval * self.settings.max_missed_heartbeats
    }

    /// The control node that owns a session, if the session exists.
    #[must_use]
    pub fn owner(&self, key: &Key) -> Option<SocketAddr> {
        self.sessions.get(key).map(|session| session.owner)
    }

    /// Numbers of sessions at this node.
    #[must_use]
    pub fn counts(&self) -> SessionCounts {
        let owned = self.sessions.values().filter(|session| session.owner == self.own_address).count();
        SessionCounts { total: self.sessions.len(), owned }
    }
}

/// Whether an entry supersedes a heartbeat with sequence number `sequence`: it has a newer version, or is a tombstone of the same
/// version.
fn supersedes_heartbeat(entry: &Entry, sequence: u64) -> bool {
    let is_tombstone = matches!(entry.value, Value::Tombstone);
    entry.version > sequence || (is_tombstone && entry.version >= sequence)
}

/// Whether an entry describes a source of heartbeats.
#[must_use]
pub fn is_session(key: &Key) -> bool {
    matches!(key, Key::Store(_) | Key::Node(_))
}
