//! The addresses of control nodes and edges in the registry: the possible parents of a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gingerledge_wire::{Entry, Key, Role, Value};

/// The control nodes and edges in the registry.
#[derive(Debug)]
pub(crate) struct Directory {
    zone: String,
    control: BTreeMap<u64, NodeLocation>,
    edges: BTreeMap<u64, NodeLocation>,
}

/// The address of a node, and its zone compared with that of this one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeLocation {
    /// Where it takes internal messages.
    pub address: SocketAddr,
    /// Whether it is in the zone of this node.
    pub in_same_zone: bool,
}

impl Directory {
    /// An empty one, of a node in a zone.
    pub(crate) fn new(zone: String) -> Self {
        Self { zone, control: BTreeMap::new(), edges: BTreeMap::new() }
    }

    /// Applies an entry.
    pub(crate) fn update(&mut self, entry: &Entry) {
        let Key::Node(incarnation) = entry.key else { return };
        self.control.remove(&incarnation);
        self.edges.remove(&incarnation);
        let Value::Node(node) = &entry.value else { return };
        let location = NodeLocation { address: node.address, in_same_zone: node.zone == self.zone };
        match node.role {
            Role::Control => self.control.insert(incarnation, location),
            Role::Edge => self.edges.insert(incarnation, location),
            Role::Backend => None,
        };
    }

    /// All control nodes.
    pub(crate) fn control(&self) -> impl Iterator<Item = NodeLocation> + '_ {
        self.control.values().copied()
    }

    /// The edges that follow a random number; incarnations are random, so this picks evenly.
    pub(crate) fn edges_from(&self, random: u64) -> impl Iterator<Item = NodeLocation> + '_ {
        let after = self.edges.range(random..);
        after.chain(self.edges.range(..random)).map(|(_, location)| *location)
    }
}
