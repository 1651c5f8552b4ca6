//! When a connection to one peer may be retried: exponential backoff with jitter. Sans I/O. Delays double from failure to failure up
//! to a limit, each shortened at random by up to a half, so that nodes that lost a peer together do not retry together.

use std::time::Duration;

/// The delays between attempts to reach one peer. Times are counted from an origin of the caller's choice.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    limit: Duration,
    failures: u32,
    connected_at: Option<Duration>,
    ready_at: Duration,
    random: u64,
}

impl Backoff {
    /// Ready without a delay. Delays go from `first` to `limit`; the seed chooses their shortening.
    #[must_use]
    pub fn new(first: Duration, limit: Duration, seed: u64) -> Self {
        Self { first, limit, failures: 0, connected_at: None, ready_at: Duration::ZERO, random: seed }
    }

    /// From when on the next attempt may be made.
    #[must_use]
    pub fn ready_at(&self) -> Duration {
        self.ready_at
    }

    /// Whether an attempt may be made now.
    #[must_use]
    pub fn is_ready(&self, now: Duration) -> bool {
        now >= self.ready_at
    }

    /// A connection is established. Earlier failures count until it has lasted.
    pub fn on_connected(&mut self, now: Duration) {
        self.connected_at = Some(now);
    }

    /// An attempt failed, or a connection ended. If it had lasted for the longest delay, the delays are reset and the next attempt
    /// may be made without one. Returns whether it had.
    pub fn on_failed(&mut self, now: Duration) -> bool {
        let had_lasted =
            self.connected_at.take().is_some_and(|since| now.saturating_sub(since) >= self.limit);
        if had_lasted {
            self.failures = 0;
            self.ready_at = now;
        } else {
            self.ready_at = now.saturating_add(self.next_delay());
            self.failures = self.failures.saturating_add(1);
        }
        had_lasted
    }

    fn next_delay(&mut self) -> Duration {
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let full = self.first.saturating_mul(factor).min(self.limit);
        let half = full / 2;
        half + half.mul_f64(self.next_fraction())
    }

    /// A number from 0 to 1, by `SplitMix64`.
    fn next_fraction(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }
}
