//! Who holds a shard: the ring of cells, unless the host has told of holders by name. It owns that table and which servers are
//! ready; it decides nothing.

use std::collections::{BTreeSet, HashMap};

use crate::ServerId;

/// The table.
#[derive(Debug)]
pub(crate) struct Holders {
    reach: u32,
    /// The ready servers of each cell.
    cells: Vec<Vec<ServerId>>,
    ready: BTreeSet<ServerId>,
    /// Holders as told, by shard. From the first on the ring counts no more.
    told: Option<HashMap<u32, Vec<ServerId>>>,
}

impl Holders {
    /// An empty ring, of which so many cells hold each shard.
    pub(crate) fn new(cells: u32, reach: u32) -> Self {
        Self {
            reach: reach.min(cells),
            cells: vec![Vec::new(); cells as usize],
            ready: BTreeSet::new(),
            told: None,
        }
    }

    /// Takes these for all servers that are ready, each with its cell.
    pub(crate) fn list(&mut self, ready: impl Iterator<Item = (ServerId, u32)>) {
        self.cells.iter_mut().for_each(Vec::clear);
        self.ready.clear();
        for (id, cell) in ready {
            let cells = self.cells.len();
            self.cells[cell as usize % cells].push(id);
            self.ready.insert(id);
        }
    }

    /// Notes who holds a shard; nobody, once it is no more.
    pub(crate) fn tell(&mut self, shard: u32, servers: Vec<ServerId>) {
        let told = self.told.get_or_insert_with(HashMap::new);
        if servers.is_empty() {
            told.remove(&shard);
        } else {
            told.insert(shard, servers);
        }
    }

    /// The ready servers that hold a shard.
    pub(crate) fn of(&self, shard: u32) -> impl Iterator<Item = ServerId> + '_ {
        let named = self.told.as_ref().map(|told| told.get(&shard).map_or(&[][..], Vec::as_slice));
        let cells = self.cells.len() as u32;
        let reach = if named.is_some() { 0 } else { self.reach };
        let ring = (0..reach).flat_map(move |j| &self.cells[(shard.wrapping_add(j) % cells) as usize]);
        ring.chain(named.unwrap_or_default().iter().filter(|id| self.ready.contains(id))).copied()
    }

    /// How many servers are ready.
    pub(crate) fn ready(&self) -> usize {
        self.ready.len()
    }
}
