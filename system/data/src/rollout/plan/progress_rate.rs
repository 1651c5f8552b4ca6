//! Moving averages of the interval, that is the time between two events of a stream, for each store and over all stores. They are computed
//! from the generations of this edge.

use std::collections::HashMap;
use std::time::Duration;

/// The weight of one generation in a store's exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.2;
/// The maximum number of stores with an average.
const MAX_STORES: usize = 8_192;
/// The minimum number of events of a generation; shorter generations are ignored.
const MIN_EVENTS: u64 = 3;
/// The interval of an average store, in percent of the average.
const AVERAGE_PERCENT: u32 = 100;
/// The maximum interval of a store that is returned, in percent of the average.
const MAX_INTERVAL_PERCENT: f64 = 1_000.0;
/// The time without samples in which the deviation of a store from the average halves. A slow store may have recovered, but gets too few
/// generations for new samples to show it.
const DEVIATION_HALF_LIFE: Duration = Duration::from_secs(1);

/// The moving average of one store.
#[derive(Clone, Copy, Debug)]
struct StoreInterval {
    /// The average time between two events, in milliseconds.
    interval_ms: f64,
    /// The time of the last sample.
    sampled_at: Duration,
}

/// Moving averages of the interval between two events, for each store and over all stores.
#[derive(Debug, Default)]
pub struct ProgressRates {
    stores: HashMap<String, StoreInterval>,
    average_interval_ms: f64,
}

impl ProgressRates {
    /// Records a generation that completed at a store, with its number of events and its duration.
    pub fn record_generation(&mut self, id: &str, events: u64, elapsed: Duration, now: Duration) {
        if events < MIN_EVENTS {
            return;
        }
        let interval_ms = elapsed.as_secs_f64() * 1_000.0 / events as f64;
        self.record_interval(id, interval_ms, now);
        let smoothing_factor = SMOOTHING_FACTOR / (self.stores.len() as f64);
        self.average_interval_ms = if self.average_interval_ms > 0.0 {
            self.average_interval_ms + smoothing_factor * (interval_ms - self.average_interval_ms)
        } else {
            interval_ms
        };
    }

    /// Records a stream that was migrated away from a store because it was slow, with its number of events (maybe none) in the observation
    /// window and the duration of the window. The average over all stores ignores the sample.
    pub fn record_migration(&mut self, id: &str, events: u64, elapsed: Duration, now: Duration) {
        self.record_interval(id, elapsed.as_secs_f64() * 1_000.0 / events.max(1) as f64, now);
    }

    fn record_interval(&mut self, id: &str, interval_ms: f64, now: Duration) {
        if self.stores.len() >= MAX_STORES && !self.stores.contains_key(id) {
            self.stores.clear();
        }
        let store =
            self.stores.entry(id.to_owned()).or_insert(StoreInterval { interval_ms, sampled_at: now });
        store.interval_ms += SMOOTHING_FACTOR * (interval_ms - store.interval_ms);
        store.sampled_at = now;
    }

    /// The interval of a store, in percent of the average over all stores; 100 for a store without samples.
    #[must_use]
    pub fn interval_percent(&self, id: &str, now: Duration) -> u32 {
        let Some(store) = self.stores.get(id).filter(|_| self.average_interval_ms > 0.0) else {
            return AVERAGE_PERCENT;
        };
        let percent = (store.interval_ms / self.average_interval_ms * 100.0).min(MAX_INTERVAL_PERCENT);
        let age = now.saturating_sub(store.sampled_at).as_secs_f64() / DEVIATION_HALF_LIFE.as_secs_f64();
        let average = f64::from(AVERAGE_PERCENT);
        (average + (percent - average) * 0.5_f64.powf(age)) as u32
    }

    /// The average interval over all stores; zero before the first sample.
    #[must_use]
    pub fn average_interval(&self) -> Duration {
        Duration::from_secs_f64(self.average_interval_ms.max(0.0) / 1_000.0)
    }
}
