//! Session entries that have to be confirmed after a node had no fresh parent for a long time.
//!
//! In that time, tombstones of these entries may have been created and have expired at all other nodes, so that nothing would ever
//! remove the entries here. Such a node requests a full copy from its next parent; entries that no parent has confirmed by the time
//! the node has been fresh for the confirmation period are removed. A node that kept its parent has missed no tombstone, however
//! long no ticks came.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerledge_wire::{Key, Registry, Value};

/// The keys of the unconfirmed entries.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedEntries {
    keys: BTreeSet<Key>,
    /// Since when the node has been fresh without interruption.
    fresh_since: Option<Duration>,
}

impl UnconfirmedEntries {
    /// Marks all session entries of the registry as unconfirmed, except tombstones.
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

    /// Records that a parent has the entry of this key.
    pub(crate) fn confirm(&mut self, key: &Key) {
        if !self.keys.is_empty() {
            self.keys.remove(key);
        }
    }

    /// The time at which [`UnconfirmedEntries::remove_overdue`] returns keys, if the node stays fresh.
    pub(crate) fn next_timer(&self, confirmation_period: Duration) -> Option<Duration> {
        if self.keys.is_empty() {
            return None;
        }
        self.fresh_since.map(|since| since + confirmation_period)
    }

    /// Records whether the node is fresh. Once it has been fresh for the confirmation period, removes and returns all keys.
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
