//! How fast stores make events, from the generations that this edge had there.

use std::collections::HashMap;
use std::time::Duration;

/// The weight of one generation in a store's average.
const SHARE: f64 = 0.2;
/// The most stores that are remembered.
const MAX_STORES: usize = 8_192;
/// Generations of fewer events say too little.
const FEWEST_EVENTS: u64 = 3;
const USUAL_PERCENT: u32 = 100;
const MOST_PERCENT: f64 = 1_000.0;

/// What is known of the speed of stores.
#[derive(Debug, Default)]
pub struct Paces {
    /// Milliseconds for one event, by store.
    stores: HashMap<String, f64>,
    usual_ms: f64,
}

impl Paces {
    /// A generation at a store made so many events in so long.
    pub fn seen(&mut self, id: &str, events: u64, took: Duration) {
        if events < FEWEST_EVENTS {
            return;
        }
        let pause_ms = took.as_secs_f64() * 1_000.0 / events as f64;
        if self.stores.len() >= MAX_STORES && !self.stores.contains_key(id) {
            self.stores.clear();
        }
        let known = self.stores.entry(id.to_owned()).or_insert(pause_ms);
        *known += SHARE * (pause_ms - *known);
        let share = SHARE / (self.stores.len() as f64);
        self.usual_ms =
            if self.usual_ms > 0.0 { self.usual_ms + share * (pause_ms - self.usual_ms) } else { pause_ms };
    }

    /// A stream there was so slow that it was moved: it brought so many events in that time, maybe none.
    pub fn seen_slow(&mut self, id: &str, events: u64, took: Duration) {
        self.seen(
            id,
            FEWEST_EVENTS,
            took * FEWEST_EVENTS as u32 / u32::try_from(events.max(1)).unwrap_or(u32::MAX),
        );
    }

    /// How long a store takes, in percent of what is usual.
    pub fn percent(&self, id: &str) -> u32 {
        match self.stores.get(id) {
            Some(pause) if self.usual_ms > 0.0 => (pause / self.usual_ms * 100.0).min(MOST_PERCENT) as u32,
            _ => USUAL_PERCENT,
        }
    }

    /// The usual time between two events.
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.usual_ms.max(0.0) / 1_000.0)
    }
}
