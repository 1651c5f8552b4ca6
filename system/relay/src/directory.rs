//! The addresses of control nodes and edges in the registry: the possible parents of a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gingerledge_wire::{Entry, Key, Role, Value};

/// The control nodes and edges in the registry.
#[derive(Debug)]
pub(crate) struct Directory {
    zone: String,
    control_nodes: BTreeMap<u64, NodeLocation>,
    edges: BTreeMap<u64, NodeLocation>,
}

/// The address of a node, and whether it is in the zone of this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeLocation {
    /// The address at which the node receives internal messages.
    pub address: SocketAddr,
    /// Whether the node is in the zone of this node.
    pub in_same_zone: bool,
}

impl Directory {
    /// Creates the empty directory of a node in a zone.
    pub(crate) fn new(zone: String) -> Self {
        Self { zone, control_nodes: BTreeMap::new(), edges: BTreeMap::new() }
    }

    /// Applies an entry; only entries of nodes have an effect.
    pub(crate) fn update(&mut self, entry: &Entry) {
        let Key::Node(incarnation) = entry.key else { return };
        self.control_nodes.remove(&incarnation);
        self.edges.remove(&incarnation);
        let Value::Node(node) = &entry.value else { return };
        let location = NodeLocation { address: node.address, in_same_zone: node.zone == self.zone };
        match node.role {
            Role::Control => self.control_nodes.insert(incarnation, location),
            Role::Edge => self.edges.insert(incarnation, location),
            Role::Backend => None,
        };
    }

    /// The locations of all control nodes.
    pub(crate) fn control_nodes(&self) -> impl Iterator<Item = NodeLocation> + '_ {
        self.control_nodes.values().copied()
    }

    /// All edges, starting with the first incarnation from `random` on. Incarnations are random, so each edge comes first with about
    /// the same probability.
    pub(crate) fn edges_from(&self, random: u64) -> impl Iterator<Item = NodeLocation> + '_ {
        let after = self.edges.range(random..);
        after.chain(self.edges.range(..random)).map(|(_, location)| *location)
    }
}
