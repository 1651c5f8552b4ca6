//! Sessions of stores and of the system's own nodes, sans I/O.
//!
//! A session is kept by every control node. The one that heard its source last owns it, and declares it gone after a few silent
//! intervals; the others take over the sessions of an owner that they lose, with a new grace. What is known of a source is an entry
//! of the registry, whose version is the sequence number of the heartbeat that changed it last; heartbeats that change nothing
//! stay where they arrive. A source that is declared gone by mistake is back with its next heartbeat.

mod announcements;
mod sharing;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Value, FINAL_VERSION, MAX_ENTRIES};

pub use announcements::{Announcements, Confirmation, MAX_ANNOUNCEMENTS};
pub use sharing::{Share, Sharing, SharingSettings};

/// How long sources may be silent.
#[derive(Clone, Copy, Debug)]
pub struct SessionSettings {
    /// Time between the heartbeats of a store.
    pub store_interval: Duration,
    /// Time between the heartbeats of a node of the system.
    pub node_interval: Duration,
    /// A source is gone after so many silent intervals.
    pub silent_intervals: u32,
}

/// What a heartbeat means.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// It is older than another one, or its source has ended.
    Late,
    /// Nothing new.
    Unchanged,
    /// The entry is to be learned and shared.
    Changed(Entry),
}

#[derive(Clone, Copy, Debug)]
struct Session {
    owner: SocketAddr,
    heard: Duration,
    sequence: u64,
    /// Whether the others know that this node owns it.
    announced: bool,
}

/// The sessions that one control node knows of.
#[derive(Debug)]
pub struct Sessions {
    settings: SessionSettings,
    me: SocketAddr,
    sessions: HashMap<Key, Session>,
}

impl Sessions {
    /// The sessions of the control node that takes internal messages at `me`.
    pub fn new(settings: SessionSettings, me: SocketAddr) -> Self {
        Self { settings, me, sessions: HashMap::new() }
    }

    /// A source has said `value` here itself, in the heartbeat numbered `sequence`. `known` is the registry's entry.
    pub fn heard(
        &mut self,
        now: Duration,
        key: Key,
        sequence: u64,
        value: Value,
        known: Option<&Entry>,
    ) -> Heard {
        if known.is_some_and(|entry| is_over(entry, sequence)) {
            return Heard::Late;
        }
        let full = self.sessions.len() >= MAX_ENTRIES;
        let moved = match self.sessions.get_mut(&key) {
            Some(session) if sequence < session.sequence => return Heard::Late,
            Some(session) => {
                let moved = session.owner != self.me || !session.announced;
                *session = Session { owner: self.me, heard: now, sequence, announced: true };
                moved
            }
            None if full => return Heard::Late,
            None => {
                let session = Session { owner: self.me, heard: now, sequence, announced: true };
                self.sessions.insert(key.clone(), session);
                true
            }
        };
        let known_value = known.map(|entry| &entry.value);
        let newer = known.is_none_or(|entry| entry.version < sequence);
        if newer && (moved || known_value != Some(&value)) {
            return Heard::Changed(Entry { key, version: sequence, value });
        }
        Heard::Unchanged
    }

    /// A source has said itself that it ends.
    pub fn ended(&mut self, key: Key) -> Entry {
        self.sessions.remove(&key);
        Entry { key, version: FINAL_VERSION, value: Value::Tombstone }
    }

    /// Another source has taken the place of this one. If it lives all the same, it is back with its next heartbeat.
    pub fn superseded(&mut self, key: Key) -> Option<Entry> {
        let session = self.sessions.remove(&key)?;
        Some(Entry { key, version: session.sequence, value: Value::Tombstone })
    }

    /// Another control node shares an entry that is new here.
    pub fn shared(&mut self, now: Duration, from: SocketAddr, entry: &Entry) {
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
        let session = Session { owner: from, heard: now, sequence: entry.version, announced: true };
        self.sessions.insert(entry.key.clone(), session);
    }

    /// The sessions of a control node that is lost are this one's from now on, until somebody hears their sources.
    pub fn adopt(&mut self, now: Duration, lost: SocketAddr) {
        for session in self.sessions.values_mut().filter(|session| session.owner == lost) {
            session.owner = self.me;
            session.heard = now;
            session.announced = false;
        }
    }

    /// This process did not run for a while, or was cut off, so it could not hear anybody.
    pub fn resumed(&mut self, now: Duration) {
        for session in self.sessions.values_mut() {
            session.heard = now;
        }
    }

    /// Own sessions whose sources have been silent for too long; they end here.
    pub fn expire(&mut self, now: Duration) -> Vec<Entry> {
        let silent = |key: &Key, session: &Session| {
            session.owner == self.me && now.saturating_sub(session.heard) > self.grace(key)
        };
        let gone: Vec<(Key, u64)> = self
            .sessions
            .iter()
            .filter(|(key, session)| silent(key, session))
            .map(|(key, session)| (key.clone(), session.sequence))
            .collect();
        for (key, _) in &gone {
            self.sessions.remove(key);
        }
        gone.into_iter().map(|(key, version)| Entry { key, version, value: Value::Tombstone }).collect()
    }

    fn grace(&self, key: &Key) -> Duration {
        let interval = match key {
            Key::Store(_) => self.settings.store_interval,
            _ => self.settings.node_interval,
        };
        interval * self.settings.silent_intervals
    }

    /// Who owns a session, if there is one.
    pub fn owner(&self, key: &Key) -> Option<SocketAddr> {
        self.sessions.get(key).map(|session| session.owner)
    }

    /// How many sessions there are, and how many of them this node owns.
    pub fn count(&self) -> (usize, usize) {
        let own = self.sessions.values().filter(|session| session.owner == self.me).count();
        (self.sessions.len(), own)
    }
}

/// Whether a heartbeat of that sequence can't change the entry any more.
fn is_over(entry: &Entry, sequence: u64) -> bool {
    let gone = matches!(entry.value, Value::Tombstone);
    entry.version > sequence || (gone && entry.version >= sequence)
}

/// Whether an entry is about a source of heartbeats.
pub fn is_session(key: &Key) -> bool {
    matches!(key, Key::Store(_) | Key::Node(_))
}
