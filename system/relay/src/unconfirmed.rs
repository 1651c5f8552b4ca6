//! Entries of sessions that a node held through a long time without a fresh parent.
//!
//! Their tombstones may have been created and expired everywhere else meanwhile, so nothing would ever remove them here. Such a
//! node requests a full copy from its next parent; entries that no parent has confirmed after the node has been fresh for the
//! confirmation period are removed. A node that kept its parent has missed nothing, for however long ticks stood still.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerledge_wire::{Key, Registry, Value};

/// The keys of the unconfirmed entries.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedEntries {
    keys: BTreeSet<Key>,
    fresh_since: Option<Duration>,
}

impl UnconfirmedEntries {
    /// Marks all entries of sessions as unconfirmed.
    pub(crate) fn mark_sessions(&mut self, registry: &Registry) {
        let sessions = registry
            .entries()
            .filter(|entry| matches!(entry.key, Key::Store(_) | Key::Weights(..) | Key::Node(_)))
            .filter(|entry| !matches!(entry.value, Value::Tombstone));
        self.keys = sessions.map(|entry| entry.key.clone()).collect();
        self.fresh_since = None;
    }

    /// Whether all entries are confirmed.
    pub(crate) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// A parent has this entry.
    pub(crate) fn confirm(&mut self, key: &Key) {
        if !self.keys.is_empty() {
            self.keys.remove(key);
        }
    }

    /// When [`UnconfirmedEntries::remove_overdue`] has something to do.
    pub(crate) fn next_timer(&self, confirmation_period: Duration) -> Option<Duration> {
        if self.keys.is_empty() {
            return None;
        }
        self.fresh_since.map(|since| since + confirmation_period)
    }

    /// Takes notice of whether the node is fresh; once it has been so for the confirmation period, removes and returns the keys.
    pub(crate) fn remove_overdue(
        &mut self,
        is_fresh: bool,
        confirmation_period: Duration,
        now: Duration,
    ) -> BTreeSet<Key> {
        if self.keys.is_empty() {
            return BTreeSet::new();
        }
        if !is_fresh {
            self.fresh_since = None;
            return BTreeSet::new();
        }
        let since = *self.fresh_since.get_or_insert(now);
        if now < since + confirmation_period {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.keys)
    }
}
