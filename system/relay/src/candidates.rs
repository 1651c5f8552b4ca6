//! The candidates for the parent of a node, in the order in which they are tried.
//!
//! A round tries the known control nodes: those in the same zone first, and within each group in rendezvous-hash order, so that
//! nodes spread evenly over them. Nodes that failed recently come last. After a round without success, a few random edges are tried
//! as well, since a node may be partitioned from all control nodes and still reach edges. A node that declines a subscription may
//! list alternatives, which are tried next.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::digest::{hash_bytes, mix};
use crate::directory::{Directory, NodeLocation};

/// Maximum number of alternatives that are used from one response.
const MAX_ALTERNATIVES: usize = 4;
/// Maximum number of alternatives that are tried in one round.
const MAX_ALTERNATIVES_PER_ROUND: usize = 24;
/// Number of edges that are tried in a round that follows an unsuccessful one.
const EDGES_PER_ROUND: usize = 3;
/// Maximum number of seed control nodes that the host may provide.
const MAX_SEEDS: usize = 64;
/// Maximum number of failed addresses that are remembered.
const MAX_FAILED: usize = 64;

/// The addresses to try, in order.
#[derive(Debug)]
pub(crate) struct Candidates {
    own_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    queue: VecDeque<SocketAddr>,
    alternatives_in_round: usize,
    /// For each address that failed, the time until which it is tried after all others.
    failed: BTreeMap<SocketAddr, Duration>,
    failure_penalty: Duration,
}

impl Candidates {
    /// Creates an empty list for the node at `own_address`. A failed address is tried last for `failure_penalty`.
    pub(crate) fn new(own_address: SocketAddr, failure_penalty: Duration) -> Self {
        let failed = BTreeMap::new();
        Self {
            own_address,
            seeds: Vec::new(),
            queue: VecDeque::new(),
            alternatives_in_round: 0,
            failed,
            failure_penalty,
        }
    }

    /// Replaces the control nodes provided by the host; returns whether any of them is new.
    pub(crate) fn set_seeds(&mut self, mut seeds: Vec<SocketAddr>) -> bool {
        seeds.truncate(MAX_SEEDS);
        let has_new = seeds.iter().any(|seed| !self.seeds.contains(seed));
        self.seeds = seeds;
        has_new
    }

    /// Removes and returns the next candidate of this round.
    pub(crate) fn next(&mut self) -> Option<SocketAddr> {
        self.queue.pop_front()
    }

    /// Inserts the alternatives from a declining node at the front of the queue; returns whether any was added.
    pub(crate) fn add_alternatives(&mut self, alternatives: Vec<SocketAddr>, rng: &mut Rng) -> bool {
        let mut alternatives: Vec<SocketAddr> = alternatives.into_iter().take(MAX_ALTERNATIVES).collect();
        rng.shuffle(&mut alternatives);
        let previous_count = self.alternatives_in_round;
        for alternative in alternatives {
            if self.alternatives_in_round < MAX_ALTERNATIVES_PER_ROUND && !self.queue.contains(&alternative) {
                self.alternatives_in_round += 1;
                self.queue.push_front(alternative);
            }
        }
        self.alternatives_in_round > previous_count
    }

    /// Records that the node at an address did not respond.
    pub(crate) fn record_failure(&mut self, address: SocketAddr, now: Duration) {
        self.failed.retain(|_, until| *until > now);
        if self.failed.len() < MAX_FAILED {
            self.failed.insert(address, now + self.failure_penalty);
        }
    }

    /// Discards the remaining candidates of the round.
    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }

    /// Starts a round; `with_edges` adds a few random edges after the control nodes.
    pub(crate) fn start_round(
        &mut self,
        directory: &Directory,
        with_edges: bool,
        now: Duration,
        rng: &mut Rng,
    ) {
        self.alternatives_in_round = 0;
        self.failed.retain(|_, until| *until > now);
        let mut locations: BTreeMap<SocketAddr, bool> =
            self.seeds.iter().map(|seed| (*seed, false)).collect();
        locations.extend(directory.control_nodes().map(|location| (location.address, location.in_same_zone)));
        let mut order: Vec<NodeLocation> = locations
            .into_iter()
            .map(|(address, in_same_zone)| NodeLocation { address, in_same_zone })
            .collect();
        order.sort_by_cached_key(|location| self.preference(location));
        self.queue = order.into_iter().map(|location| location.address).collect();
        if with_edges {
            self.add_edges(directory, rng);
        }
    }

    fn add_edges(&mut self, directory: &Directory, rng: &mut Rng) {
        for location in directory.edges_from(rng.u64(..)).take(EDGES_PER_ROUND) {
            if location.address != self.own_address {
                self.queue.push_back(location.address);
            }
        }
    }

    /// Sort key of a location; locations with lower keys are tried first.
    fn preference(&self, location: &NodeLocation) -> (bool, bool, u64) {
        let failed = self.failed.contains_key(&location.address);
        (failed, !location.in_same_zone, rendezvous(self.own_address, location.address))
    }
}

/// Rendezvous hash of a pair of nodes: `child` tries the parents with lower hashes first.
fn rendezvous(child: SocketAddr, parent: SocketAddr) -> u64 {
    mix(hash_address(mix(hash_address(0, child)), parent))
}

fn hash_address(seed: u64, address: SocketAddr) -> u64 {
    let port = address.port().to_le_bytes();
    let ip_hash = match address.ip() {
        std::net::IpAddr::V4(ip) => hash_bytes(seed, &ip.octets()),
        std::net::IpAddr::V6(ip) => hash_bytes(seed, &ip.octets()),
    };
    hash_bytes(ip_hash, &port)
}
