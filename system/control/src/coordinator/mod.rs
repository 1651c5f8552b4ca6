//! The work of the one control node that holds the lease: planners that compare what is wanted with what is, sans I/O.
//!
//! [`backends`] says which backends can be used, [`partitions`] which chains of the partitions of batch jobs should change,
//! [`weights`] which stores should load which version, [`model_usage`] how their running requests may end, and and [`load_schedule`]
//! when loads start. Each is a function of what is known now; the caller carries the result out, and calls them again.

pub mod backends;
pub mod load_schedule;
pub mod load_window;
pub mod model_usage;
pub mod partitions;
pub mod weights;

/// The score of a candidate for a subject in rendezvous hashing (Thaler & Ravishankar 1998): the highest wins, and a candidate that goes
/// changes nothing for the others.
#[must_use]
pub fn rendezvous(subject: u64, candidate: u64) -> u64 {
    mix(subject.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ mix(candidate))
}

/// The finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
