//! The invariants after every event, and queries over all nodes.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Value};

use super::Cluster;

impl Cluster {
    /// Copies never go back, except that a tombstone may be dropped once it has expired.
    pub(super) fn check_changes(&mut self, at: SocketAddr, entries: &[Entry]) {
        let now = self.now;
        let mut regressed = None;
        if let Some(node) = self.nodes.get_mut(&at) {
            let retention = node.settings.tombstone_retention;
            for entry in entries {
                let Some((rank, since)) = node.newest_seen.insert(entry.key.clone(), (entry.rank(), now))
                else {
                    continue;
                };
                let learned =
                    self.tombstone_times.get(&(entry.key.clone(), rank.0)).copied().unwrap_or(since);
                // A tombstone may come again from a node that drops it a moment later.
                let expired_tombstone = rank.1 > 0 && (rank == entry.rank() || learned + retention <= now);
                if rank >= entry.rank() && !expired_tombstone {
                    regressed = Some(entry.key.clone());
                }
            }
        }
        self.assert_holds(regressed.is_none(), &format!("{regressed:?} went back at {at}"));
    }

    /// The fan-out is bounded, and a node with a tick has all that the roots had at that tick.
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
        let guaranteed = self.learned.iter().rev().skip_while(|(by, _)| *by > guaranteed_until).take(20);
        // A node that was separated for long may hold removed entries until its entries are confirmed.
        let mut guaranteed = guaranteed.filter(|(by, entry)| {
            !matches!(entry.value, Value::Tombstone) || *by + confirmation_period > self.now
        });
        let nodes_lacking = guaranteed.find(|(_, entry)| !has_entry(relay, entry));
        self.assert_holds(nodes_lacking.is_none(), &format!("{at} is fresh and lacks {nodes_lacking:?}"));
    }

    /// Whether all nodes that run are fresh.
    pub fn are_all_fresh(&self) -> bool {
        self.nodes.values().filter(|node| node.is_running()).all(|node| node.is_fresh(self.now))
    }

    /// The nodes that run and lack an entry, or anything newer of its key.
    pub fn nodes_lacking(&self, entry: &Entry) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter(|(_, node)| node.is_running());
        running
            .filter(|(_, node)| !node.relay.as_ref().is_some_and(|r| has_entry(r, entry)))
            .map(|(a, _)| *a)
            .collect()
    }

    /// Nodes between a node and its root; none if it has no root.
    pub fn depth(&self, at: SocketAddr) -> Option<usize> {
        let mut next = at;
        for depth in 0..self.nodes.len() {
            match self.nodes.get(&next)?.relay.as_ref()?.parent() {
                Some(parent) => next = parent,
                None => return (self.nodes[&next].role == gingerledge_wire::Role::Control).then_some(depth),
            }
        }
        None
    }

    /// Whether a node holds a key, and not as a tombstone.
    pub fn has_live_entry(&self, at: SocketAddr, key: &Key) -> bool {
        self.relay(at).registry().entry(key).is_some_and(|entry| !matches!(entry.value, Value::Tombstone))
    }
}

/// Whether a relay has an entry, or anything newer of its key, or has dropped its tombstone.
fn has_entry(relay: &gingerledge_relay::Relay, entry: &Entry) -> bool {
    match relay.registry().entry(&entry.key) {
        Some(known) => known.rank() >= entry.rank(),
        None => matches!(entry.value, Value::Tombstone),
    }
}
