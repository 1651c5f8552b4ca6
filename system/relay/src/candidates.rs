//! Whom to ask next for a place in the tree.
//!
//! A round goes through the known control nodes, near ones first and each part in rendezvous order, so that nodes spread over
//! them evenly; those that failed lately come last. After a round in vain, a few edges at random are asked as well: a node may be
//! cut off from all control nodes and yet reach others. Who declines may name others, which are asked at once.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::digest::{hash_bytes, mix};
use crate::directory::{Directory, Place};

/// Of the addresses named in one answer, only so many are looked at.
const MAX_NAMED: usize = 4;
/// In one round, only so many named addresses are asked.
const MAX_NAMED_PER_ROUND: usize = 24;
/// Edges that are asked in a round after one in vain.
const EDGES_PER_ROUND: usize = 3;
/// Control nodes that the host may name.
const MAX_SEEDS: usize = 64;
/// Failed addresses that are remembered.
const MAX_FAILED: usize = 64;

/// Addresses to ask, in order.
#[derive(Debug)]
pub(crate) struct Candidates {
    me: SocketAddr,
    seeds: Vec<SocketAddr>,
    queue: VecDeque<SocketAddr>,
    named_in_round: usize,
    failed: BTreeMap<SocketAddr, Duration>,
    failure_memory: Duration,
}

impl Candidates {
    /// Of the node at an address, without any seeds yet. A failure counts for `failure_memory`.
    pub fn new(me: SocketAddr, failure_memory: Duration) -> Self {
        let failed = BTreeMap::new();
        Self { me, seeds: Vec::new(), queue: VecDeque::new(), named_in_round: 0, failed, failure_memory }
    }

    /// Replaces the control nodes that the host knows of; says whether there are others than before.
    pub fn set_seeds(&mut self, mut seeds: Vec<SocketAddr>) -> bool {
        seeds.truncate(MAX_SEEDS);
        let news = seeds.iter().any(|seed| !self.seeds.contains(seed));
        self.seeds = seeds;
        news
    }

    /// The next to ask in this round.
    pub fn next(&mut self) -> Option<SocketAddr> {
        self.queue.pop_front()
    }

    /// Puts those at the front whom another has named; says whether any is new.
    pub fn named(&mut self, others: Vec<SocketAddr>, rng: &mut Rng) -> bool {
        let mut others: Vec<SocketAddr> = others.into_iter().take(MAX_NAMED).collect();
        rng.shuffle(&mut others);
        let before = self.named_in_round;
        for other in others {
            if self.named_in_round < MAX_NAMED_PER_ROUND && !self.queue.contains(&other) {
                self.named_in_round += 1;
                self.queue.push_front(other);
            }
        }
        self.named_in_round > before
    }

    /// An address didn't answer.
    pub fn note_failure(&mut self, address: SocketAddr, now: Duration) {
        self.failed.retain(|_, until| *until > now);
        if self.failed.len() < MAX_FAILED {
            self.failed.insert(address, now + self.failure_memory);
        }
    }

    /// Forgets the rest of the round.
    pub fn clear(&mut self) {
        self.queue.clear();
    }

    /// Begins a round.
    pub fn refill(&mut self, directory: &Directory, with_edges: bool, now: Duration, rng: &mut Rng) {
        self.named_in_round = 0;
        self.failed.retain(|_, until| *until > now);
        let mut places: BTreeMap<SocketAddr, bool> = self.seeds.iter().map(|seed| (*seed, false)).collect();
        places.extend(directory.control().map(|place| (place.address, place.near)));
        let mut order: Vec<Place> =
            places.into_iter().map(|(address, near)| Place { address, near }).collect();
        order.sort_by_cached_key(|place| self.rank(place));
        self.queue = order.into_iter().map(|place| place.address).collect();
        if with_edges {
            self.add_edges(directory, rng);
        }
    }

    fn add_edges(&mut self, directory: &Directory, rng: &mut Rng) {
        for place in directory.edges_from(rng.u64(..)).take(EDGES_PER_ROUND) {
            if place.address != self.me {
                self.queue.push_back(place.address);
            }
        }
    }

    fn rank(&self, place: &Place) -> (bool, bool, u64) {
        let failed = self.failed.contains_key(&place.address);
        (failed, !place.near, rendezvous(self.me, place.address))
    }
}

/// The lower, the earlier `parent` is asked by `child`.
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
