//! The hash that assigns batch jobs to partitions.

use gingerledge_wire::{partition_of, stable_hash};
use yare::parameterized;

/// Reference values of FNV-1a, 64 bits.
#[parameterized(
    empty = { "", 0xcbf2_9ce4_8422_2325 },
    one_letter = { "a", 0xaf63_dc4c_8601_ec8c },
    word = { "foobar", 0x8594_4171_f739_67e8 },
)]
fn the_hash_is_fnv_1a(name: &str, expected: u64) {
    assert_eq!(stable_hash(name), expected);
}

#[test]
fn partitions_of_batch_jobs_never_change() {
    assert_eq!(partition_of("foobar"), 0x28);
}
