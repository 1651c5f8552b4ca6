//! Moving averages of the time between two events of a stream, for each store and over all stores, from the generations of this edge.

use std::collections::HashMap;
use std::time::Duration;

/// The weight of one generation in a store's exponential moving average.
const SMOOTHING: f64 = 0.2;
/// The most stores with an average.
const MAX_STORES: usize = 8_192;
/// Generations with fewer events are ignored.
const MIN_EVENTS: u64 = 3;
/// A store as fast as the average.
const AVERAGE_PERCENT: u32 = 100;
/// The largest deviation that is reported.
const MAX_PERCENT: f64 = 1_000.0;
/// The deviation of a store from the average halves in that time without samples: it may have recovered, and gets too little work
/// to show it.
const HALF_LIFE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
/// The moving average of one store.
struct StoreInterval {
    /// Milliseconds between two events.
    interval_ms: f64,
    /// When the last sample was taken.
    sampled_at: Duration,
}

/// Moving averages of the interval between two events.
#[derive(Debug, Default)]
pub struct ProgressRates {
    stores: HashMap<String, StoreInterval>,
    average_interval_ms: f64,
}

impl ProgressRates {
    /// A generation at a store brought so many events in that time.
    pub fn record_generation(&mut self, id: &str, events: u64, elapsed: Duration, now: Duration) {
        if events < MIN_EVENTS {
            return;
        }
        let interval_ms = elapsed.as_secs_f64() * 1_000.0 / events as f64;
        self.record_interval(id, interval_ms, now);
        let smoothing = SMOOTHING / (self.stores.len() as f64);
        self.average_interval_ms = if self.average_interval_ms > 0.0 {
            self.average_interval_ms + smoothing * (interval_ms - self.average_interval_ms)
        } else {
            interval_ms
        };
    }

    /// A stream was migrated away from a store because it was slow: it brought so many events in that time, maybe none. The average
    /// over all stores ignores it.
    pub fn record_migration(&mut self, id: &str, events: u64, elapsed: Duration, now: Duration) {
        self.record_interval(id, elapsed.as_secs_f64() * 1_000.0 / events.max(1) as f64, now);
    }

    fn record_interval(&mut self, id: &str, interval_ms: f64, now: Duration) {
        if self.stores.len() >= MAX_STORES && !self.stores.contains_key(id) {
            self.stores.clear();
        }
        let known =
            self.stores.entry(id.to_owned()).or_insert(StoreInterval { interval_ms, sampled_at: now });
        known.interval_ms += SMOOTHING * (interval_ms - known.interval_ms);
        known.sampled_at = now;
    }

    /// The interval of a store, in percent of the average over all stores.
    #[must_use]
    pub fn interval_percent(&self, id: &str, now: Duration) -> u32 {
        let Some(known) = self.stores.get(id).filter(|_| self.average_interval_ms > 0.0) else {
            return AVERAGE_PERCENT;
        };
        let percent = (known.interval_ms / self.average_interval_ms * 100.0).min(MAX_PERCENT);
        let age = now.saturating_sub(known.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let average = f64::from(AVERAGE_PERCENT);
        (average + (percent - average) * 0.5_f64.powf(age)) as u32
    }

    /// The average time between two events over all stores; zero before the first sample.
    #[must_use]
    pub fn average_interval(&self) -> Duration {
        Duration::from_secs_f64(self.average_interval_ms.max(0.0) / 1_000.0)
    }
}
