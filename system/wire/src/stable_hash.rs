//! A hash that is the same on all machines and in all versions of the programs.

use std::hash::Hasher;

use fnv::FnvHasher;

/// FNV-1a of a name. What is spread by it stays where it is when a program is replaced by a newer one, so it never changes.
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
