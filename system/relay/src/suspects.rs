//! Entries of sessions that a node held through a long time without a fresh parent.
//!
//! Their tombstones may have come and gone everywhere else meanwhile, so nothing would ever remove them here. Such a node asks
//! its next parent for the whole copy; what no parent has confirmed after the node has been fresh for the time of grace is let
//! go. A node that kept its parent all the while missed nothing and doubts nothing, for however long ticks stood still.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerledge_wire::{Key, Registry, Value};

/// The entries in doubt.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    keys: BTreeSet<Key>,
    fresh_since: Option<Duration>,
}

impl Suspects {
    /// Doubts all entries of sessions.
    pub fn doubt_sessions(&mut self, registry: &Registry) {
        let doubtful = registry
            .entries()
            .filter(|entry| matches!(entry.key, Key::Store(_) | Key::Weights(..) | Key::Node(_)))
            .filter(|entry| !matches!(entry.value, Value::Tombstone));
        self.keys = doubtful.map(|entry| entry.key.clone()).collect();
        self.fresh_since = None;
    }

    /// Whether there is any doubt.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// A parent has this entry.
    pub fn confirm(&mut self, key: &Key) {
        if !self.keys.is_empty() {
            self.keys.remove(key);
        }
    }

    /// When [`Suspects::judge`] has something to do.
    pub fn next_timer(&self, grace: Duration) -> Option<Duration> {
        if self.keys.is_empty() {
            return None;
        }
        self.fresh_since.map(|since| since + grace)
    }

    /// Notes whether the node is fresh, and gives the keys to let go of once it has been so for long enough.
    pub fn judge(&mut self, fresh: bool, grace: Duration, now: Duration) -> BTreeSet<Key> {
        if self.keys.is_empty() {
            return BTreeSet::new();
        }
        if !fresh {
            self.fresh_since = None;
            return BTreeSet::new();
        }
        let since = *self.fresh_since.get_or_insert(now);
        if now < since + grace {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.keys)
    }
}
