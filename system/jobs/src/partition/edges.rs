//! The edges that may drive batch jobs, as listed in the registry.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use crate::store::EdgeProcess;

/// State of an edge, as known to the control nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeState {
    /// The edge is running and receives messages at this address.
    Reachable(SocketAddr),
    /// The session of the edge has timed out. The edge may still be running: an isolated control node receives no heartbeats.
    Unreachable,
    /// The edge has announced its shutdown.
    Ended,
}

/// Addresses of the reachable edges by incarnation, and the incarnations that have announced their shutdown.
#[derive(Clone, Debug, Default)]
pub struct Edges {
    addresses: BTreeMap<u64, SocketAddr>,
    ended: BTreeSet<u64>,
}

impl Edges {
    /// Maximum number of ended incarnations stored.
    const MAX_ENDED_EDGES: usize = 4096;

    /// Records the newest state of an edge.
    pub fn set_state(&mut self, incarnation: u64, state: EdgeState) {
        match state {
            EdgeState::Reachable(address) => {
                self.addresses.insert(incarnation, address);
            }
            EdgeState::Unreachable => {
                self.addresses.remove(&incarnation);
            }
            EdgeState::Ended => {
                self.addresses.remove(&incarnation);
                if self.ended.len() < Self::MAX_ENDED_EDGES {
                    self.ended.insert(incarnation);
                }
            }
        }
    }

    /// Internal address of a reachable edge.
    #[must_use]
    pub fn address(&self, incarnation: u64) -> Option<SocketAddr> {
        self.addresses.get(&incarnation).copied()
    }

    /// The next incarnation of an edge that is no longer reachable: a reachable edge with the same address.
    #[must_use]
    pub fn successor(&self, edge: EdgeProcess) -> Option<EdgeProcess> {
        if self.addresses.contains_key(&edge.incarnation) {
            return None;
        }
        let same_address = self.addresses.iter().find(|(_, address)| **address == edge.address);
        same_address.map(|(&incarnation, &address)| EdgeProcess { incarnation, address })
    }

    /// Whether an edge has announced its shutdown.
    #[must_use]
    pub fn has_ended(&self, incarnation: u64) -> bool {
        self.ended.contains(&incarnation)
    }

    /// The edge with the highest weight for a batch job (rendezvous hashing: Thaler & Ravishankar 1998), without the excluded
    /// incarnations.
    #[must_use]
    pub fn choose(&self, job: &str, excluded: &[u64]) -> Option<EdgeProcess> {
        let candidates = self.addresses.iter().filter(|(edge, _)| !excluded.contains(edge));
        let highest = candidates.max_by_key(|(edge, _)| rendezvous_weight(job, **edge));
        highest.map(|(&incarnation, &address)| EdgeProcess { incarnation, address })
    }
}

fn rendezvous_weight(job: &str, edge: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (job, edge).hash(&mut hasher);
    hasher.finish()
}
