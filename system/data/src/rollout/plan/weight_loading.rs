//! Detects stores that are loading new weights of a model, from their rejections.
//!
//! Such a store has capacity and serves other models, but rejects requests for this model until its weights are loaded. It is probed with
//! single requests, and used again as soon as it accepts one: a circuit breaker for each store and model.

use std::collections::HashMap;
use std::time::Duration;

/// The backoff before the first probe. It doubles with each probe that is rejected.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The maximum backoff between two probes.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// The maximum number of circuit breakers, one for each store and model.
const MAX_BREAKERS: usize = 8_192;

/// The id of a store and the name of a model.
type StoreModel = (String, String);

/// An open circuit breaker, which allows no requests until the next probe.
#[derive(Clone, Copy, Debug)]
struct OpenBreaker {
    /// The time from which on the next probe may be sent.
    probe_at: Duration,
    backoff: Duration,
}

/// The stores that rejected requests for a model although they had capacity, with a circuit breaker for each store and model.
#[derive(Debug, Default)]
pub struct WeightLoadingStores {
    breakers: HashMap<StoreModel, OpenBreaker>,
}

impl WeightLoadingStores {
    /// Records that a store rejected a request for a model although it had capacity.
    pub fn on_rejected(&mut self, id: &str, model: &str, now: Duration) {
        let key = (id.to_owned(), model.to_owned());
        let backoff = match self.breakers.get(&key) {
            Some(last) if last.probe_at > now => return,
            Some(last) => (last.backoff * 2).min(MAX_BACKOFF),
            None => FIRST_BACKOFF,
        };
        if self.breakers.len() >= MAX_BREAKERS {
            self.breakers.retain(|_, breaker| breaker.probe_at + MAX_BACKOFF > now);
        }
        if self.breakers.len() < MAX_BREAKERS {
            self.breakers.insert(key, OpenBreaker { probe_at: now + backoff, backoff });
        }
    }

    /// Records that a store accepted a request for a model, which closes the circuit breaker.
    pub fn on_accepted(&mut self, id: &str, model: &str) {
        if !self.breakers.is_empty() {
            self.breakers.remove(&(id.to_owned(), model.to_owned()));
        }
    }

    /// Records that a request for a model is sent to a store. If the request is a probe, the next probe waits for another backoff.
    pub fn on_sent(&mut self, id: &str, model: &str, now: Duration) {
        if self.breakers.is_empty() {
            return;
        }
        if let Some(breaker) = self.breakers.get_mut(&(id.to_owned(), model.to_owned())) {
            breaker.probe_at = now + breaker.backoff;
        }
    }

    /// The maximum number of requests that this edge may have in flight at a store, with the next one being for this model. `in_flight` is
    /// the current number and `limit` the maximum for all models.
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
