//! A token bucket whose balance may become negative: work whose cost is known only afterwards is charged then, and later work waits
//! until the balance is restored. In any window of `w` ms, at most `burst + rate * w / 1000` plus one overdraft is spent.

use crate::Millis;

/// Rate and burst limit of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Number of units per second.
    pub per_s: f64,
    /// Maximum number of units that accumulate.
    pub burst: f64,
}

#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    rate: Rate,
    tokens: f64,
    refilled_at: Millis,
}

impl Bucket {
    pub(crate) fn new(rate: Rate, now: Millis) -> Self {
        Self { rate, tokens: rate.burst, refilled_at: now }
    }

    /// Adds the tokens since the last refill, at `share` of the rate.
    pub(crate) fn refill(&mut self, now: Millis, share: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_s * self.rate.per_s * share).min(self.rate.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether work of this cost may begin. Work that costs more than the burst limit may begin at a full bucket and overdraws it.
    pub(crate) fn can_start(&self, cost: f64) -> bool {
        self.tokens >= cost.min(self.rate.burst)
    }

    pub(crate) fn charge(&mut self, cost: f64) {
        self.tokens -= cost;
    }

    /// Time in milliseconds until work of this cost may begin, at `share` of the rate; at most one hour.
    pub(crate) fn wait_ms(&self, cost: f64, share: f64) -> Millis {
        let missing = cost.min(self.rate.burst) - self.tokens;
        let rate = self.rate.per_s * share;
        if missing <= 0.0 {
            0
        } else if rate > 0.0 {
            (missing / rate * 1000.0).ceil().min(3.6e6) as Millis
        } else {
            3_600_000
        }
    }
}
