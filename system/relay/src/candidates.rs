//! The candidates for the parent of a node, in the order in which they are tried.
//!
//! A round goes through the known control nodes, those of the same zone first and each part in rendezvous order, so that nodes
//! spread over them evenly; those that failed lately come last. After a round without success, a few random edges are tried as
//! well: a node may be separated from all control nodes and yet reach others. A node that declines may name alternatives, which
//! come next.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::digest::{hash_bytes, mix};
use crate::directory::{Directory, NodeLocation};

/// Of the alternatives named in one response, only so many count.
const MAX_ALTERNATIVES: usize = 4;
/// In one round, only so many alternatives are tried.
const MAX_ALTERNATIVES_PER_ROUND: usize = 24;
/// Edges that are tried in a round after one without success.
const EDGES_PER_ROUND: usize = 3;
/// Most control nodes that the host may name.
const MAX_SEEDS: usize = 64;
/// Most failed addresses that are remembered.
const MAX_FAILED: usize = 64;

/// Addresses to try, in order.
#[derive(Debug)]
pub(crate) struct Candidates {
    me: SocketAddr,
    seeds: Vec<SocketAddr>,
    queue: VecDeque<SocketAddr>,
    alternatives_in_round: usize,
    failed: BTreeMap<SocketAddr, Duration>,
    failure_penalty: Duration,
}

impl Candidates {
    /// Of the node at an address, without any seeds yet. A failure counts for `failure_penalty`.
    pub(crate) fn new(me: SocketAddr, failure_penalty: Duration) -> Self {
        let failed = BTreeMap::new();
        Self {
            me,
            seeds: Vec::new(),
            queue: VecDeque::new(),
            alternatives_in_round: 0,
            failed,
            failure_penalty,
        }
    }

    /// Replaces the control nodes that the host knows of; returns whether there are new ones.
    pub(crate) fn set_seeds(&mut self, mut seeds: Vec<SocketAddr>) -> bool {
        seeds.truncate(MAX_SEEDS);
        let has_new = seeds.iter().any(|seed| !self.seeds.contains(seed));
        self.seeds = seeds;
        has_new
    }

    /// Removes the next candidate of this round.
    pub(crate) fn next(&mut self) -> Option<SocketAddr> {
        self.queue.pop_front()
    }

    /// Puts alternatives that another node has named at the front; returns whether any is new.
    pub(crate) fn add_alternatives(&mut self, alternatives: Vec<SocketAddr>, rng: &mut Rng) -> bool {
        let mut alternatives: Vec<SocketAddr> = alternatives.into_iter().take(MAX_ALTERNATIVES).collect();
        rng.shuffle(&mut alternatives);
        let before = self.alternatives_in_round;
        for alternative in alternatives {
            if self.alternatives_in_round < MAX_ALTERNATIVES_PER_ROUND && !self.queue.contains(&alternative) {
                self.alternatives_in_round += 1;
                self.queue.push_front(alternative);
            }
        }
        self.alternatives_in_round > before
    }

    /// A node at an address didn't respond.
    pub(crate) fn record_failure(&mut self, address: SocketAddr, now: Duration) {
        self.failed.retain(|_, until| *until > now);
        if self.failed.len() < MAX_FAILED {
            self.failed.insert(address, now + self.failure_penalty);
        }
    }

    /// Discards the rest of the round.
    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }

    /// Begins a round.
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
        locations.extend(directory.control().map(|location| (location.address, location.in_same_zone)));
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
            if location.address != self.me {
                self.queue.push_back(location.address);
            }
        }
    }

    fn preference(&self, location: &NodeLocation) -> (bool, bool, u64) {
        let failed = self.failed.contains_key(&location.address);
        (failed, !location.in_same_zone, rendezvous(self.me, location.address))
    }
}

/// The lower, the earlier `parent` is tried by `child`.
fn rendezvous(child: SocketAddr, parent: SocketAddr) -> u64 {
    mix(hash_address(mix(hash_address(0, child)), parent))
}

fn hash_address(start: u64, address: SocketAddr) -> u64 {
    let port = address.port().to_le_bytes();
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => hash_bytes(start, &ip.octets()),
        std::net::IpAddr::V6(ip) => hash_bytes(start, &ip.octets()),
    };
    hash_bytes(ip, &port)
}
