//! Random numbers that no other process draws: identities of disks, incarnations of processes, first numbers of requests.
//!
//! A generator that is seeded from a clock alone draws the same numbers on machines that start at the same moment, and two members
//! with one identity would vote as one. So the operating system's randomness is mixed with who draws, where, and for what. The time
//! of day only adds to it: nothing hangs on what it shows.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Draws a number other than 0 for the process of a machine that takes internal messages at an address.
pub fn draw(name: &str, address: SocketAddr, purpose: &str) -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
    let who = (name, address, purpose, std::process::id());
    RandomState::new().hash_one((who, time, Instant::now())).max(1)
}
