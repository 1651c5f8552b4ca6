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
/// What is known of a store's slowness is worth half after that long without news: it may have recovered, and gets little work
/// that could show it.
const HALF_LIFE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Milliseconds for one event.
    pause_ms: f64,
    /// When a generation last told it.
    told: Duration,
}

/// What is known of the speed of stores.
#[derive(Debug, Default)]
pub struct Paces {
    stores: HashMap<String, Pace>,
    usual_ms: f64,
}

impl Paces {
    /// A generation at a store made so many events in so long.
    pub fn seen(&mut self, id: &str, events: u64, took: Duration, now: Duration) {
        if events < FEWEST_EVENTS {
            return;
        }
        let pause_ms = took.as_secs_f64() * 1_000.0 / events as f64;
        self.note(id, pause_ms, now);
        let share = SHARE / (self.stores.len() as f64);
        self.usual_ms =
            if self.usual_ms > 0.0 { self.usual_ms + share * (pause_ms - self.usual_ms) } else { pause_ms };
    }

    /// A stream there was so slow that it was moved: it brought so many events in that time, maybe none. This tells nothing of
    /// what is usual.
    pub fn seen_slow(&mut self, id: &str, events: u64, took: Duration, now: Duration) {
        self.note(id, took.as_secs_f64() * 1_000.0 / events.max(1) as f64, now);
    }

    fn note(&mut self, id: &str, pause_ms: f64, now: Duration) {
        if self.stores.len() >= MAX_STORES && !self.stores.contains_key(id) {
            self.stores.clear();
        }
        let known = self.stores.entry(id.to_owned()).or_insert(Pace { pause_ms, told: now });
        known.pause_ms += SHARE * (pause_ms - known.pause_ms);
        known.told = now;
    }

    /// How long a store takes, in percent of what is usual.
    pub fn percent(&self, id: &str, now: Duration) -> u32 {
        let Some(known) = self.stores.get(id).filter(|_| self.usual_ms > 0.0) else { return USUAL_PERCENT };
        let percent = (known.pause_ms / self.usual_ms * 100.0).min(MOST_PERCENT);
        let age = now.saturating_sub(known.told).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let usual = f64::from(USUAL_PERCENT);
        (usual + (percent - usual) * 0.5_f64.powf(age)) as u32
    }

    /// The usual time between two events.
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.usual_ms.max(0.0) / 1_000.0)
    }
}
