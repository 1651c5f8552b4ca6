//! What must hold after every step, and questions to ask of the whole.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Key, Value};

use super::World;

impl World {
    /// Copies never go back, except that a tombstone may be let go after its time.
    pub(super) fn check_changes(&mut self, at: SocketAddr, entries: &[Entry]) {
        let now = self.now;
        let mut back = None;
        if let Some(node) = self.nodes.get_mut(&at) {
            let retention = node.settings.tombstone_retention;
            for entry in entries {
                let Some((rank, since)) = node.seen.insert(entry.key.clone(), (entry.rank(), now)) else {
                    continue;
                };
                let learned = self.buried.get(&(entry.key.clone(), rank.0)).copied().unwrap_or(since);
                // A tombstone may come again from a node that let go of it a moment later.
                let let_go = rank.1 > 0 && (rank == entry.rank() || learned + retention <= now);
                if rank >= entry.rank() && !let_go {
                    back = Some(entry.key.clone());
                }
            }
        }
        self.expect(back.is_none(), &format!("{back:?} went back at {at}"));
    }

    /// The fan-out is bounded, and a node with a tick has all that the roots had at that tick.
    pub(super) fn check_node(&self, at: SocketAddr) {
        let node = &self.nodes[&at];
        let Some(relay) = &node.relay else { return };
        self.expect(relay.children() <= node.settings.max_children, &format!("{at} has too many children"));
        if !node.is_fresh(self.now) {
            return;
        }
        let sure = (relay.last_tick_at().unwrap_or_default() + node.born).saturating_sub(self.slack);
        let doubt_after = node.settings.tombstone_retention / 2;
        let promised = self.learned.iter().rev().skip_while(|(by, _)| *by > sure).take(20);
        // A node that was cut off for long may hold what is gone until its doubts have been settled.
        let mut promised = promised
            .filter(|(by, entry)| !matches!(entry.value, Value::Tombstone) || *by + doubt_after > self.now);
        let lacking = promised.find(|(_, entry)| !has(relay, entry));
        self.expect(lacking.is_none(), &format!("{at} is fresh and lacks {lacking:?}"));
    }

    /// Whether all nodes that run are fresh.
    pub fn all_fresh(&self) -> bool {
        self.nodes.values().filter(|node| node.runs()).all(|node| node.is_fresh(self.now))
    }

    /// The nodes that run and lack an entry, or anything newer of its key.
    pub fn lacking(&self, entry: &Entry) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter(|(_, node)| node.runs());
        running
            .filter(|(_, node)| !node.relay.as_ref().is_some_and(|r| has(r, entry)))
            .map(|(a, _)| *a)
            .collect()
    }

    /// Nodes between a node and its root; none if it hangs on no root.
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

    /// Whether a node holds a key, and not as gone.
    pub fn holds(&self, at: SocketAddr, key: &Key) -> bool {
        self.relay(at).registry().entry(key).is_some_and(|entry| !matches!(entry.value, Value::Tombstone))
    }
}

/// Whether a relay has an entry, or anything newer of its key, or has let go of it as gone.
fn has(relay: &gingerledge_relay::Relay, entry: &Entry) -> bool {
    match relay.registry().entry(&entry.key) {
        Some(known) => known.rank() >= entry.rank(),
        None => matches!(entry.value, Value::Tombstone),
    }
}
