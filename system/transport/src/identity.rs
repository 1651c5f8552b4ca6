//! Random numbers that are unique among processes: identities of disks, incarnations of processes, seeds.
//!
//! A generator that is seeded from a clock alone draws the same numbers on machines that start at the same moment, and two members
//! with one identity would vote as one. So the operating system's randomness is mixed with the node, its address and the purpose. The
//! time of day only adds to it: nothing depends on its value.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Draws a number other than 0 for a process, by the name and the internal address of its node.
#[must_use]
pub fn draw(name: &str, address: SocketAddr, purpose: &str) -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
    let origin = (name, address, purpose, std::process::id());
    RandomState::new().hash_one((origin, time, Instant::now())).max(1)
}
