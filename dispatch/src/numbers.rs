//! Small tools: mixing bits to numbers that look random, and sliding windows.

use std::collections::VecDeque;

use crate::Millis;

/// Lets go of the times up to `end`.
pub(crate) fn drop_until(times: &mut VecDeque<Millis>, end: Millis) {
    while times.front().is_some_and(|&at| at <= end) {
        times.pop_front();
    }
}

/// The next of a sequence that looks random (SplitMix64).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// From 0 up to, and without, 1.
pub(crate) fn unit(x: u64) -> f64 {
    (x >> 11) as f64 / (1u64 << 53) as f64
}
