//! Stores that take new weights of one model, as far as their refusals tell.
//!
//! Such a store has room, and serves other models; it refuses what is for this one until the weights are there. It is tried with one
//! request now and then, and is open again with the first that it takes.

use std::collections::HashMap;
use std::time::Duration;

/// The pauses between two tries: the first, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// The most stores and models that are remembered.
const MAX_KNOWN: usize = 8_192;

/// A store and a model.
type Place = (String, String);

#[derive(Clone, Copy, Debug)]
struct Closed {
    until: Duration,
    pause: Duration,
}

/// Stores that refused requests for one model though they had room.
#[derive(Debug, Default)]
pub struct LoadingStores {
    closed: HashMap<Place, Closed>,
}

impl LoadingStores {
    /// A store refused a request for a model though it had room.
    pub fn refused(&mut self, id: &str, model: &str, now: Duration) {
        let place = (id.to_owned(), model.to_owned());
        let pause = match self.closed.get(&place) {
            Some(last) if last.until > now => return,
            Some(last) => (last.pause * 2).min(LONGEST_PAUSE),
            None => FIRST_PAUSE,
        };
        if self.closed.len() >= MAX_KNOWN {
            self.closed.retain(|_, closed| closed.until + LONGEST_PAUSE > now);
        }
        if self.closed.len() < MAX_KNOWN {
            self.closed.insert(place, Closed { until: now + pause, pause });
        }
    }

    /// A store took a request for a model.
    pub fn accepted(&mut self, id: &str, model: &str) {
        if !self.closed.is_empty() {
            self.closed.remove(&(id.to_owned(), model.to_owned()));
        }
    }

    /// A request for a model goes to a store; one that is closed is not tried with another meanwhile.
    pub fn tried(&mut self, id: &str, model: &str, now: Duration) {
        if self.closed.is_empty() {
            return;
        }
        if let Some(closed) = self.closed.get_mut(&(id.to_owned(), model.to_owned())) {
            closed.until = now + closed.pause;
        }
    }

    /// The most requests of this edge that a store may have now, with one more for this model, given how many it has and how many
    /// it may have of all kinds.
    pub fn limit(&self, id: &str, model: &str, out: u32, limit: u32, now: Duration) -> u32 {
        if self.closed.is_empty() {
            return limit;
        }
        match self.closed.get(&(id.to_owned(), model.to_owned())) {
            None => limit,
            Some(closed) if closed.until > now => 0,
            Some(_) => limit.min(out.saturating_add(1)),
        }
    }
}
