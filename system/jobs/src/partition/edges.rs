//! The edges that may drive batch jobs, as the registry lists them.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use crate::store::EdgeProcess;

/// State of an edge, as far as the control nodes know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeState {
    /// It runs, and receives messages at this address.
    Reachable(SocketAddr),
    /// Its session timed out. It may still run: a control node that is cut off receives no heartbeats at all.
    Unreachable,
    /// It has announced its shutdown.
    Ended,
}

/// The edges that can be reached, by incarnation, and those that have announced their shutdown.
#[derive(Clone, Debug, Default)]
pub struct Edges {
    addresses: BTreeMap<u64, SocketAddr>,
    ended: BTreeSet<u64>,
}

impl Edges {
    /// Bounds the edges remembered as ended.
    const MAX_ENDED: usize = 4096;

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
                if self.ended.len() < Self::MAX_ENDED {
                    self.ended.insert(incarnation);
                }
            }
        }
    }

    /// Internal address of an edge that can be reached.
    #[must_use]
    pub fn address(&self, incarnation: u64) -> Option<SocketAddr> {
        self.addresses.get(&incarnation).copied()
    }

    /// The process that runs at the address of one that can't be reached any more: the next incarnation of the same edge.
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

    /// The edge with the highest weight for a batch job (rendezvous hashing: Thaler & Ravishankar 1998), some excluded.
    #[must_use]
    pub fn choose(&self, job: &str, excluded: &[u64]) -> Option<EdgeProcess> {
        let candidates = self.addresses.iter().filter(|(edge, _)| !excluded.contains(edge));
        let best = candidates.max_by_key(|(edge, _)| rendezvous_weight(job, **edge));
        best.map(|(&incarnation, &address)| EdgeProcess { incarnation, address })
    }
}

fn rendezvous_weight(job: &str, edge: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (job, edge).hash(&mut hasher);
    hasher.finish()
}
