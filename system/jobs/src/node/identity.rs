//! Random numbers that no other process draws, also none that starts at the same moment on a machine just like this one.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Draws a number other than 0.
pub(super) fn draw(name: &str, address: SocketAddr, purpose: &str) -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
    RandomState::new().hash_one((name, address, purpose, time, std::process::id())).max(1)
}
