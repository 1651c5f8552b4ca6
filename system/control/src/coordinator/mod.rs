//! Planners of the control node that holds the coordinator lease, sans I/O. They compare the wanted state of the system with its
//! current state.
//!
//! [`backends`] determines which backends can be used, [`partitions`] plans changes to the chains of the partitions of batch
//! jobs, [`weights`] which stores should load which version, [`model_usage`] how the running requests of those stores may end,
//! and [`load_schedule`] when loads start. The planners decide from the information available at the call; the caller carries out
//! the result and calls them again.

pub mod backends;
pub mod load_schedule;
pub mod load_window;
pub mod model_usage;
pub mod partitions;
pub mod weights;

/// The score of a candidate for a subject in rendezvous hashing (Thaler & Ravishankar 1998): the candidate with the highest score
/// is chosen, and the removal of a candidate does not change the scores of the others.
#[must_use]
pub fn rendezvous_score(subject: u64, candidate: u64) -> u64 {
    mix(subject.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ mix(candidate))
}

/// The finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
