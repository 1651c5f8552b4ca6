//! Deterministic pseudorandom numbers: SplitMix64 (Steele, Lea and Flood, 2014), used as a hash function of
//! 64 bits.

/// Hashes 64 bits to 64 pseudorandom bits, by one step of SplitMix64.
pub(crate) fn splitmix64(seed: u64) -> u64 {
    let mut bits = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}

/// Maps 64 bits to a number from 0 to below 1.
pub(crate) fn unit_interval(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
