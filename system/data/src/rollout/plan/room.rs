//! How many requests of this edge a store has room for, as far as its refusals tell: an edge does not see what others send.
//!
//! A store that refuses has room for what is out there now and no more. Each success there, and each short time without a
//! refusal, gives room for one more, up to its slots and a few. So work that is in excess waits here, where any store can take
//! it, and does not knock in vain.

use std::collections::HashMap;
use std::time::Duration;

/// Requests beyond a store's slots, which are there when a slot falls free.
const QUEUED_AT_STORE: u32 = 2;
/// A store with less room than it could have is tried with one more request that often.
const REGAIN: Duration = Duration::from_millis(200);
/// The pauses after refusals by one store in a row: the first, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(25);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// The most stores that are remembered.
const MAX_STORES: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Refusals {
    /// The room that it had at its last refusal.
    limit: u32,
    since: Duration,
    pause: Duration,
    until: Duration,
}

/// Stores that refused lately.
#[derive(Debug, Default)]
pub struct Rooms {
    refused: HashMap<String, Refusals>,
}

impl Rooms {
    /// A store had no room for a request, with so many others of this edge out there.
    pub fn refused(&mut self, id: &str, out: u32, now: Duration) {
        let last = self.refused.get(id).copied();
        let pause = match last {
            Some(last) if last.until > now => last.pause,
            Some(last) => (last.pause * 2).min(LONGEST_PAUSE),
            None => FIRST_PAUSE,
        };
        if last.is_none() && self.refused.len() >= MAX_STORES {
            self.refused.retain(|_, refusals| refusals.until + LONGEST_PAUSE > now);
        }
        if last.is_some() || self.refused.len() < MAX_STORES {
            let refusals = Refusals { limit: out.max(1), since: now, pause, until: now + pause };
            self.refused.insert(id.to_owned(), refusals);
        }
    }

    /// A generation went well at a store, so a place fell free there.
    pub fn succeeded(&mut self, id: &str) {
        if let Some(refusals) = self.refused.get_mut(id) {
            refusals.limit = refusals.limit.saturating_add(1);
            refusals.pause = FIRST_PAUSE;
        }
    }

    /// The most requests of this edge that a store of so many slots may have now.
    pub fn limit(&mut self, id: &str, slots: u32, now: Duration) -> u32 {
        let most = slots.max(1).saturating_add(QUEUED_AT_STORE);
        let Some(refusals) = self.refused.get(id) else { return most };
        if now < refusals.until {
            return 0;
        }
        let regained = now.saturating_sub(refusals.since).as_millis() / REGAIN.as_millis();
        let limit = refusals.limit.saturating_add(u32::try_from(regained).unwrap_or(u32::MAX));
        if limit >= most {
            self.refused.remove(id);
        }
        limit.min(most)
    }
}
