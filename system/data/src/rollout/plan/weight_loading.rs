//! Detects, from rejections, stores that are loading new weights of a model.
//!
//! Such a store has capacity and serves other models, but rejects requests for this one until its weights are loaded. It is probed
//! with single requests, and used again with the first that it accepts: a circuit breaker for each store and model.

use std::collections::HashMap;
use std::time::Duration;

/// The backoff between two probes: the first, and the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// The most stores and models that are remembered.
const MAX_ENTRIES: usize = 8_192;

/// The ids of a store and a model.
type StoreModel = (String, String);

#[derive(Clone, Copy, Debug)]
/// Holds requests back until the next probe.
struct OpenBreaker {
    probe_at: Duration,
    backoff: Duration,
}

/// Stores that rejected requests for a model although they had capacity.
#[derive(Debug, Default)]
pub struct LoadingStores {
    breakers: HashMap<StoreModel, OpenBreaker>,
}

impl LoadingStores {
    /// A store rejected a request for a model although it had capacity.
    pub fn on_rejected(&mut self, id: &str, model: &str, now: Duration) {
        let key = (id.to_owned(), model.to_owned());
        let backoff = match self.breakers.get(&key) {
            Some(last) if last.probe_at > now => return,
            Some(last) => (last.backoff * 2).min(MAX_BACKOFF),
            None => FIRST_BACKOFF,
        };
        if self.breakers.len() >= MAX_ENTRIES {
            self.breakers.retain(|_, breaker| breaker.probe_at + MAX_BACKOFF > now);
        }
        if self.breakers.len() < MAX_ENTRIES {
            self.breakers.insert(key, OpenBreaker { probe_at: now + backoff, backoff });
        }
    }

    /// A store accepted a request for a model.
    pub fn on_accepted(&mut self, id: &str, model: &str) {
        if !self.breakers.is_empty() {
            self.breakers.remove(&(id.to_owned(), model.to_owned()));
        }
    }

    /// A request for a model is sent to a store. If it is a probe, the next one waits for another backoff.
    pub fn on_sent(&mut self, id: &str, model: &str, now: Duration) {
        if self.breakers.is_empty() {
            return;
        }
        if let Some(breaker) = self.breakers.get_mut(&(id.to_owned(), model.to_owned())) {
            breaker.probe_at = now + breaker.backoff;
        }
    }

    /// The most requests that this edge may have in flight at a store when it sends one for this model, given how many there are and
    /// the limit for all models.
    #[must_use]
    pub fn limit(&self, id: &str, model: &str, in_flight: u32, limit: u32, now: Duration) -> u32 {
        if self.breakers.is_empty() {
            return limit;
        }
        match self.breakers.get(&(id.to_owned(), model.to_owned())) {
            None => limit,
            Some(breaker) if breaker.probe_at > now => 0,
            Some(_) => limit.min(in_flight.saturating_add(1)),
        }
    }
}
