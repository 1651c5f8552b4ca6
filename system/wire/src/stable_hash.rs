//! A hash function that is the same on all machines and in all versions of the programs.

use std::hash::Hasher;

use fnv::FnvHasher;

/// FNV-1a (64 bits) of a name. It must never change: batch jobs are assigned to partitions by it, across versions of the programs.
#[must_use]
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
