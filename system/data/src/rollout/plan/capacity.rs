//! Estimates how many requests of this edge a store has capacity for, from its rejections: an edge does not see the load of others.
//!
//! A store that rejects has capacity for what is in flight there and no more. Each success, and each short time without a rejection,
//! raises the estimate by one, up to the store's slots and a few: additive increase, as in congestion control. So excess work waits
//! here, where any store can still get it.

use std::collections::HashMap;
use std::time::Duration;

/// Requests beyond a store's slots, queued there so that a slot that becomes free has work.
const QUEUED_AT_STORE: u32 = 2;
/// The estimate of a store rises by one request that often.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// The backoff after rejections by one store in a row: the first, and the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(25);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// The most stores that are remembered.
const MAX_STORES: usize = 8_192;

#[derive(Clone, Copy, Debug)]
/// The last rejection of a store.
struct Rejection {
    /// The capacity that it had then.
    limit: u32,
    at: Duration,
    backoff: Duration,
    retry_at: Duration,
}

/// The estimated capacity of each store that rejected a request recently.
#[derive(Debug, Default)]
pub struct StoreCapacities {
    rejections: HashMap<String, Rejection>,
}

impl StoreCapacities {
    /// A store had no capacity for a request while `in_flight` others of this edge were there.
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
            let rejection = Rejection { limit: in_flight.max(1), at: now, backoff, retry_at: now + backoff };
            self.rejections.insert(id.to_owned(), rejection);
        }
    }

    /// A generation completed at a store, which freed a slot there.
    pub fn on_completed(&mut self, id: &str) {
        if let Some(rejection) = self.rejections.get_mut(id) {
            rejection.limit = rejection.limit.saturating_add(1);
            rejection.backoff = FIRST_BACKOFF;
        }
    }

    /// The most requests that this edge may have in flight at a store with so many slots; 0 during a backoff.
    pub fn limit(&mut self, id: &str, slots: u32, now: Duration) -> u32 {
        let max_limit = slots.max(1).saturating_add(QUEUED_AT_STORE);
        let Some(rejection) = self.rejections.get(id) else { return max_limit };
        if now < rejection.retry_at {
            return 0;
        }
        let recovered = now.saturating_sub(rejection.at).as_millis() / RECOVERY_INTERVAL.as_millis();
        let limit = rejection.limit.saturating_add(u32::try_from(recovered).unwrap_or(u32::MAX));
        if limit >= max_limit {
            self.rejections.remove(id);
        }
        limit.min(max_limit)
    }
}
