//! Sessions of stores and of the system's own nodes, sans I/O.
//!
//! Every control node has every session. The node that received the last heartbeat owns it, and lets it expire after a few missed
//! heartbeats; the others take over the sessions of an owner that they lose, with a new time-out. What is known of a source is an
//! entry of the registry, whose version is the sequence number of the heartbeat that changed it last; heartbeats that change nothing
//! are not replicated. A source whose session expired by mistake is back with its next heartbeat.

mod acknowledgements;
mod replication;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Value, FINAL_VERSION, MAX_ENTRIES};

pub use acknowledgements::{Confirmation, PendingAcknowledgements, MAX_PENDING_ACKNOWLEDGEMENTS};
pub use replication::{ReplicationBatch, ReplicationSettings, SessionReplication};

/// Intervals of heartbeats, and how many may be missed.
#[derive(Clone, Copy, Debug)]
pub struct SessionSettings {
    /// Time between the heartbeats of a store.
    pub store_interval: Duration,
    /// Time between the heartbeats of a node of the system.
    pub node_interval: Duration,
    /// A session expires after so many intervals without a heartbeat.
    pub missed_heartbeats: u32,
}

/// The effect of a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// It is older than a known one, or its source has ended.
    Stale,
    /// It is the newest, and changes nothing.
    Unchanged,
    /// The entry is to be merged into the registry and replicated.
    Changed(Entry),
}

#[derive(Clone, Copy, Debug)]
struct Session {
    owner: SocketAddr,
    last_heartbeat: Duration,
    sequence: u64,
    /// Whether the other control nodes know its owner.
    is_ownership_replicated: bool,
}

/// How many sessions there are at a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionCounts {
    /// All sessions.
    pub all: usize,
    /// The sessions that the node owns.
    pub owned: usize,
}

/// The sessions known to one control node.
#[derive(Debug)]
pub struct Sessions {
    settings: SessionSettings,
    me: SocketAddr,
    sessions: HashMap<Key, Session>,
}

impl Sessions {
    /// The sessions of the control node that takes internal messages at `me`.
    #[must_use]
    pub fn new(settings: SessionSettings, me: SocketAddr) -> Self {
        Self { settings, me, sessions: HashMap::new() }
    }

    /// Processes a heartbeat that a source sent to this node: `value` under the number `sequence`. `known` is the registry's entry.
    pub fn on_heartbeat(
        &mut self,
        now: Duration,
        key: Key,
        sequence: u64,
        value: Value,
        known: Option<&Entry>,
    ) -> HeartbeatOutcome {
        if known.is_some_and(|entry| overrules(entry, sequence)) {
            return HeartbeatOutcome::Stale;
        }
        let full = self.sessions.len() >= MAX_ENTRIES;
        let is_new_owner = match self.sessions.get_mut(&key) {
            Some(session) if sequence < session.sequence => return HeartbeatOutcome::Stale,
            Some(session) => {
                let is_new_owner = session.owner != self.me || !session.is_ownership_replicated;
                *session =
                    Session { owner: self.me, last_heartbeat: now, sequence, is_ownership_replicated: true };
                is_new_owner
            }
            None if full => return HeartbeatOutcome::Stale,
            None => {
                let session =
                    Session { owner: self.me, last_heartbeat: now, sequence, is_ownership_replicated: true };
                self.sessions.insert(key.clone(), session);
                true
            }
        };
        let known_value = known.map(|entry| &entry.value);
        let is_newer = known.is_none_or(|entry| entry.version < sequence);
        if is_newer && (is_new_owner || known_value != Some(&value)) {
            return HeartbeatOutcome::Changed(Entry { key, version: sequence, value });
        }
        HeartbeatOutcome::Unchanged
    }

    /// Ends a session because its source has deregistered; the tombstone overrules every heartbeat.
    pub fn end(&mut self, key: Key) -> Entry {
        self.sessions.remove(&key);
        Entry { key, version: FINAL_VERSION, value: Value::Tombstone }
    }

    /// Ends a session because another source runs at its address. A source that is alive all the same comes back with its next heartbeat.
    pub fn supersede(&mut self, key: Key) -> Option<Entry> {
        let session = self.sessions.remove(&key)?;
        Some(Entry { key, version: session.sequence, value: Value::Tombstone })
    }

    /// Processes an entry, new here, that another control node has replicated: it owns the session from now on.
    pub fn on_replicated(&mut self, now: Duration, from: SocketAddr, entry: &Entry) {
        if !is_session(&entry.key) {
            return;
        }
        if matches!(entry.value, Value::Tombstone) {
            self.sessions.remove(&entry.key);
            return;
        }
        let known = self.sessions.get(&entry.key).map_or(0, |session| session.sequence);
        if known > entry.version || (known == 0 && self.sessions.len() >= MAX_ENTRIES) {
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

    /// Takes over the sessions of a control node that is lost, until another node receives a heartbeat from their sources.
    pub fn take_over(&mut self, now: Duration, lost: SocketAddr) {
        for session in self.sessions.values_mut().filter(|session| session.owner == lost) {
            session.owner = self.me;
            session.last_heartbeat = now;
            session.is_ownership_replicated = false;
        }
    }

    /// Restarts all time-outs: this process stood still or was partitioned from the network, and received nothing.
    pub fn restart_timeouts(&mut self, now: Duration) {
        for session in self.sessions.values_mut() {
            session.last_heartbeat = now;
        }
    }

    /// Removes the own sessions without a heartbeat for longer than the time-out, and returns their tombstones.
    pub fn expire(&mut self, now: Duration) -> Vec<Entry> {
        let has_expired = |key: &Key, session: &Session| {
            session.owner == self.me && now.saturating_sub(session.last_heartbeat) > self.session_timeout(key)
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
            Key::Store(_) => self.settings.store_interval,
            _ => self.settings.node_interval,
        };
        interval * self.settings.missed_heartbeats
    }

    /// Who owns a session, if there is one.
    #[must_use]
    pub fn owner(&self, key: &Key) -> Option<SocketAddr> {
        self.sessions.get(key).map(|session| session.owner)
    }

    /// How many sessions there are.
    #[must_use]
    pub fn counts(&self) -> SessionCounts {
        let owned = self.sessions.values().filter(|session| session.owner == self.me).count();
        SessionCounts { all: self.sessions.len(), owned }
    }
}

/// Whether the entry has a newer version than a heartbeat of that sequence, or a tombstone that overrules it.
fn overrules(entry: &Entry, sequence: u64) -> bool {
    let is_tombstone = matches!(entry.value, Value::Tombstone);
    entry.version > sequence || (is_tombstone && entry.version >= sequence)
}

/// Whether an entry is about a source of heartbeats.
#[must_use]
pub fn is_session(key: &Key) -> bool {
    matches!(key, Key::Store(_) | Key::Node(_))
}
