//! Estimates how many requests of this edge each store has capacity for, from its rejections, because an edge does not know the load that
//! other edges put on a store.
//!
//! A store that rejects a request is assumed to have capacity for the other requests that this edge has in flight there, and no more. Each
//! completed generation, and each [`RECOVERY_INTERVAL`] without a rejection, raises the estimate by one, up to slightly more than the
//! store's slots: additive increase, as in congestion control. So excess requests wait at the edge, which can still place them at any
//! store.

use std::collections::HashMap;
use std::time::Duration;

/// The number of requests beyond a store's slots that may be queued there, so that a slot that becomes free gets work at once.
const MAX_QUEUED_PER_STORE: u32 = 2;
/// The time without a rejection after which the estimate for a store rises by one request.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// The backoff after a rejection by a store. It doubles with each further rejection in a row.
const FIRST_BACKOFF: Duration = Duration::from_millis(25);
/// The maximum backoff after rejections in a row by one store.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// The maximum number of stores with an estimate.
const MAX_STORES: usize = 8_192;

/// The last rejection by a store.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    /// The estimated capacity at the time of the rejection, plus one for each generation that completed since.
    limit: u32,
    rejected_at: Duration,
    backoff: Duration,
    /// The end of the backoff.
    retry_at: Duration,
}

/// The estimated capacity of each store that rejected a request recently.
#[derive(Debug, Default)]
pub struct StoreCapacities {
    rejections: HashMap<String, Rejection>,
}

impl StoreCapacities {
    /// Records that a store rejected a request while `in_flight` others of this edge were in flight there.
    pub fn on_rejected(&mut self, id: &str, in_flight: u32, now: Duration) {
        let last = self.rejections.get(id).copied();
        let backoff = match last {
            Some(last) if last.retry_at > now => last.backoff,
            Some(last) => (last.backoff * 2).min(MAX_BACKOFF),
            None => FIRST_BACKOFF,
        };
        if last.is_none() && self.rejections.len() >= MAX_STORES {
            self.rejections.retain(|_, rejection| rejection.retry_at + MAX_BACKOFF > now);
        }
        if last.is_some() || self.rejections.len() < MAX_STORES {
            let rejection =
                Rejection { limit: in_flight.max(1), rejected_at: now, backoff, retry_at: now + backoff };
            self.rejections.insert(id.to_owned(), rejection);
        }
    }

    /// Records that a generation completed at a store, which freed a slot there.
    pub fn on_completed(&mut self, id: &str) {
        if let Some(rejection) = self.rejections.get_mut(id) {
            rejection.limit = rejection.limit.saturating_add(1);
            rejection.backoff = FIRST_BACKOFF;
        }
    }

    /// The maximum number of requests that this edge may have in flight at a store with this number of slots; 0 during a backoff.
    pub fn limit(&mut self, id: &str, slots: u32, now: Duration) -> u32 {
        let max_limit = slots.max(1).saturating_add(MAX_QUEUED_PER_STORE);
        let Some(rejection) = self.rejections.get(id) else { return max_limit };
        if now < rejection.retry_at {
            return 0;
        }
        let recovered_requests =
            now.saturating_sub(rejection.rejected_at).as_millis() / RECOVERY_INTERVAL.as_millis();
        let limit = rejection.limit.saturating_add(u32::try_from(recovered_requests).unwrap_or(u32::MAX));
        if limit >= max_limit {
            self.rejections.remove(id);
        }
        limit.min(max_limit)
    }
}
