//! Invariants that are checked after every event, and queries over all nodes.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Value};

use super::Cluster;

impl Cluster {
    /// Checks that no entry of a copy regresses, except that a tombstone may be dropped once it has expired.
    pub(super) fn check_changes(&mut self, at: SocketAddr, entries: &[Entry]) {
        let now = self.now;
        let mut regressed = None;
        if let Some(node) = self.nodes.get_mut(&at) {
            let retention = node.settings.tombstone_retention;
            for entry in entries {
                let Some((rank, seen_at)) = node.newest_seen.insert(entry.key.clone(), (entry.rank(), now))
                else {
                    continue;
                };
                let received_at =
                    self.tombstone_times.get(&(entry.key.clone(), rank.0)).copied().unwrap_or(seen_at);
                // A tombstone may be received again from a node that drops it slightly later.
                let expired_tombstone =
                    rank.1 > 0 && (rank == entry.rank() || received_at + retention <= now);
                if rank >= entry.rank() && !expired_tombstone {
                    regressed = Some(entry.key.clone());
                }
            }
        }
        self.assert_holds(regressed.is_none(), &format!("{regressed:?} regressed at {at}"));
    }

    /// Checks that the number of children is bounded, and that a node with a tick has all entries that the roots had at that tick.
    pub(super) fn check_node(&self, at: SocketAddr) {
        let node = &self.nodes[&at];
        let Some(relay) = &node.relay else { return };
        self.assert_holds(
            relay.child_count() <= node.settings.max_children,
            &format!("{at} has too many children"),
        );
        if !node.is_fresh(self.now) {
            return;
        }
        let guaranteed_until =
            (relay.last_tick_at().unwrap_or_default() + node.started_at).saturating_sub(self.freshness_slack);
        let confirmation_period = node.settings.tombstone_retention / 2;
        let guaranteed = self
            .received_at_roots
            .iter()
            .rev()
            .skip_while(|(received_by, _)| *received_by > guaranteed_until)
            .take(20);
        // A node that was partitioned for a long time may hold removed entries until its entries are confirmed.
        let mut guaranteed = guaranteed.filter(|(received_by, entry)| {
            !matches!(entry.value, Value::Tombstone) || *received_by + confirmation_period > self.now
        });
        let missing = guaranteed.find(|(_, entry)| !has_entry(relay, entry));
        self.assert_holds(missing.is_none(), &format!("{at} is fresh and lacks {missing:?}"));
    }

    /// Whether all running nodes are fresh.
    pub fn are_all_fresh(&self) -> bool {
        self.nodes.values().filter(|node| node.is_running()).all(|node| node.is_fresh(self.now))
    }

    /// The running nodes that have neither an entry nor a newer one of its key.
    pub fn nodes_lacking(&self, entry: &Entry) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter(|(_, node)| node.is_running());
        running
            .filter(|(_, node)| !node.relay.as_ref().is_some_and(|relay| has_entry(relay, entry)))
            .map(|(address, _)| *address)
            .collect()
    }

    /// The number of hops from a node to its root; `None` if it has no root.
    pub fn depth(&self, at: SocketAddr) -> Option<usize> {
        let mut current = at;
        for depth in 0..self.nodes.len() {
            match self.nodes.get(&current)?.relay.as_ref()?.parent() {
                Some(parent) => current = parent,
                None => {
                    return (self.nodes[&current].role == gingerledge_wire::Role::Control).then_some(depth)
                }
            }
        }
        None
    }

    /// Whether a node has an entry of a key that is not a tombstone.
    pub fn has_live_entry(&self, at: SocketAddr, key: &Key) -> bool {
        self.relay(at).registry().entry(key).is_some_and(|entry| !matches!(entry.value, Value::Tombstone))
    }
}

/// Whether a relay has an entry or a newer one of its key. A tombstone also counts if the relay has no entry of the key.
fn has_entry(relay: &gingerledge_relay::Relay, entry: &Entry) -> bool {
    match relay.registry().entry(&entry.key) {
        Some(known) => known.rank() >= entry.rank(),
        None => matches!(entry.value, Value::Tombstone),
    }
}
