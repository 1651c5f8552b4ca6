//! Hashes that summarize a copy of the registry; they are the same in every process.
//!
//! Only the key, version and rank of an entry are hashed: two entries that agree in these are equal. The hash of a bucket is the
//! exclusive or of the hashes of its entries, so an entry can be added or removed without rehashing the others.

use std::hash::Hasher;

use fnv::FnvHasher;
use gingerledge_wire::{Entry, Key};

/// Number of buckets into which keys are divided. With many buckets, a differing entry causes only a few other entries to be sent.
pub(crate) const BUCKETS: usize = 512;

/// The offset basis of the 64-bit FNV hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// The bucket of a key.
pub(crate) fn bucket_of(key: &Key) -> usize {
    bucket_of_hash(hash_key(key))
}

/// The bucket of an entry, and the entry's contribution to the hash of that bucket.
pub(crate) fn fingerprint(entry: &Entry) -> (usize, u64) {
    let key_hash = hash_key(&entry.key);
    let (version, rank) = entry.rank();
    let hash =
        mix(key_hash ^ mix(version.wrapping_mul(2).wrapping_add(u64::from(rank)).wrapping_add(FNV_OFFSET)));
    (bucket_of_hash(key_hash), hash)
}

/// The 64-bit FNV-1a hash of bytes, with `seed` mixed into its offset basis. Digests are sent to other nodes, so this function
/// must not change (`tests/digest.rs`).
pub(crate) fn hash_bytes(seed: u64, bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::with_key(seed ^ FNV_OFFSET);
    hasher.write(bytes);
    hasher.finish()
}

/// Spreads a hash over all its bits (the finalizer of splitmix64).
pub(crate) fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

fn bucket_of_hash(hash: u64) -> usize {
    (hash % BUCKETS as u64) as usize
}

fn hash_key(key: &Key) -> u64 {
    let hash = match key {
        Key::Configuration => hash_bytes(1, &[]),
        Key::NamedVersion(model) => hash_bytes(2, model.as_bytes()),
        Key::Store(id) => hash_bytes(3, id.as_bytes()),
        Key::Weights(id, model) => hash_bytes(mix(hash_bytes(4, id.as_bytes())), model.as_bytes()),
        Key::Node(incarnation) => hash_bytes(5, &incarnation.to_le_bytes()),
        Key::Partition(partition) => hash_bytes(6, &partition.to_le_bytes()),
        Key::Coordinator => hash_bytes(7, &[]),
    };
    mix(hash)
}
