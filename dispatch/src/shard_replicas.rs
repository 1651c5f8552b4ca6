//! Maps each shard to the ready servers that hold a replica of it: by the ring of cells, or as assigned by
//! the host.
//!
//! The module owns that mapping and the set of ready servers, and makes no decisions.

use std::collections::{BTreeSet, HashMap};

use crate::ServerId;

/// The replicas of each shard.
#[derive(Debug)]
pub(crate) struct ShardReplicas {
    /// Number of consecutive cells that hold a shard.
    reach: u32,
    ready_by_cell: Vec<Vec<ServerId>>,
    ready: BTreeSet<ServerId>,
    /// Replicas assigned by the host, by shard; `None` before the first assignment. With the first one, the
    /// ring is no longer used.
    assigned: Option<HashMap<u32, Vec<ServerId>>>,
}

impl ShardReplicas {
    /// Creates an empty ring of `cells` cells, where `reach` consecutive cells hold each shard.
    pub(crate) fn new(cells: u32, reach: u32) -> Self {
        Self {
            reach: reach.min(cells),
            ready_by_cell: vec![Vec::new(); cells as usize],
            ready: BTreeSet::new(),
            assigned: None,
        }
    }

    /// Replaces the set of ready servers, given as pairs of a server and its cell.
    pub(crate) fn set_ready_servers(&mut self, servers: impl Iterator<Item = (ServerId, u32)>) {
        for cell in &mut self.ready_by_cell {
            cell.clear();
        }
        self.ready.clear();
        let cells = self.ready_by_cell.len();
        for (server, cell) in servers {
            self.ready_by_cell[cell as usize % cells].push(server);
            self.ready.insert(server);
        }
    }

    /// Assigns the replicas of a shard. Without any, the shard no longer exists.
    pub(crate) fn assign(&mut self, shard: u32, servers: Vec<ServerId>) {
        let assigned = self.assigned.get_or_insert_with(HashMap::new);
        if servers.is_empty() {
            assigned.remove(&shard);
        } else {
            assigned.insert(shard, servers);
        }
    }

    /// The ready replicas of a shard.
    pub(crate) fn ready_replicas(&self, shard: u32) -> impl Iterator<Item = ServerId> + '_ {
        let assigned = self.assigned.as_ref();
        let named = assigned.map(|assigned| assigned.get(&shard).map_or(&[][..], Vec::as_slice));
        let cells_on_ring = if named.is_some() { 0 } else { self.reach };
        let cells = self.ready_by_cell.len() as u32;
        let on_ring = (0..cells_on_ring)
            .flat_map(move |step| &self.ready_by_cell[(shard.wrapping_add(step) % cells) as usize]);
        let named = named.unwrap_or_default().iter().filter(|server| self.ready.contains(server));
        on_ring.chain(named).copied()
    }

    /// The number of ready servers.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready.len()
    }
}
