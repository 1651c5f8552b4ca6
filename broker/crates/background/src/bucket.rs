//! A token bucket that may go below nothing: work whose cost is known only afterwards is paid for then, and what follows
//! waits for it. In any window of `w` ms no more than `burst + rate * w / 1000` and one overdraft is spent.

use crate::Millis;

/// So much a second, and so much at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Units a second.
    pub per_s: f64,
    /// The most that is saved up.
    pub burst: f64,
}

#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    rate: Rate,
    tokens: f64,
    counted: Millis,
}

impl Bucket {
    pub(crate) fn new(rate: Rate, now: Millis) -> Self {
        Self { rate, tokens: rate.burst, counted: now }
    }

    /// Fills it at `share` of its rate since the last time.
    pub(crate) fn fill(&mut self, now: Millis, share: f64) {
        let passed = now.saturating_sub(self.counted) as f64 / 1000.0;
        self.tokens = (self.tokens + passed * self.rate.per_s * share).min(self.rate.burst);
        self.counted = self.counted.max(now);
    }

    /// Whether something may be begun: it pays at once, and may overdraw by what it costs beyond what is there.
    pub(crate) fn may(&self, cost: f64) -> bool {
        self.tokens >= cost.min(self.rate.burst)
    }

    pub(crate) fn pay(&mut self, cost: f64) {
        self.tokens -= cost;
    }

    /// How long until something of this cost may be begun, at this share of the rate.
    pub(crate) fn wait(&self, cost: f64, share: f64) -> Millis {
        let lacks = cost.min(self.rate.burst) - self.tokens;
        let rate = self.rate.per_s * share;
        if lacks <= 0.0 {
            0
        } else if rate > 0.0 {
            (lacks / rate * 1000.0).ceil().min(3.6e6) as Millis
        } else {
            3_600_000
        }
    }
}
