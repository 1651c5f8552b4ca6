//! Where control nodes and edges are, as the registry tells; they are the parents that a node may ask.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gingerledge_wire::{Entry, Key, Role, Value};

/// The control nodes and edges in the registry.
#[derive(Debug)]
pub(crate) struct Directory {
    zone: String,
    control: BTreeMap<u64, Place>,
    edges: BTreeMap<u64, Place>,
}

/// Where a node is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// Where it takes internal messages.
    pub address: SocketAddr,
    /// Whether it is in the zone of this node.
    pub near: bool,
}

impl Directory {
    /// An empty one, of a node in a zone.
    pub fn new(zone: String) -> Self {
        Self { zone, control: BTreeMap::new(), edges: BTreeMap::new() }
    }

    /// Takes in what an entry says.
    pub fn update(&mut self, entry: &Entry) {
        let Key::Node(incarnation) = entry.key else { return };
        self.control.remove(&incarnation);
        self.edges.remove(&incarnation);
        let Value::Node(node) = &entry.value else { return };
        let place = Place { address: node.address, near: node.zone == self.zone };
        match node.role {
            Role::Control => self.control.insert(incarnation, place),
            Role::Edge => self.edges.insert(incarnation, place),
            Role::Backend => None,
        };
    }

    /// All control nodes.
    pub fn control(&self) -> impl Iterator<Item = Place> + '_ {
        self.control.values().copied()
    }

    /// The edges that follow a random number; incarnations are random, so this picks evenly.
    pub fn edges_from(&self, random: u64) -> impl Iterator<Item = Place> + '_ {
        let after = self.edges.range(random..);
        after.chain(self.edges.range(..random)).map(|(_, place)| *place)
    }
}
