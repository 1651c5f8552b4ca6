//! Passive health checking: a store that failed is suspect for a period that doubles with each further failure, up to a maximum.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Period for which a store is suspect after its first failure.
const INITIAL_SUSPECT_PERIOD: Duration = Duration::from_millis(250);
/// Longest period for which a store is suspect.
const MAX_SUSPECT_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of stores whose failures are recorded.
const MAX_FAILED_STORES: usize = 8_192;

/// Last failure of a store.
#[derive(Clone, Copy)]
struct Failure {
    suspect_period: Duration,
    suspect_until: Duration,
}

/// Health of the stores, from the outcomes of the requests sent to them.
#[derive(Default)]
pub struct StoreHealth {
    /// Last failure of each store that has not responded since, by store id.
    failures: RefCell<HashMap<String, Failure>>,
}

impl StoreHealth {
    /// Records a failure: the store was unreachable, interrupted a response, or timed out. Further failures are ignored while the
    /// store is suspect.
    pub fn on_failure(&self, id: &str, now: Duration) {
        let mut failures = self.failures.borrow_mut();
        if failures.len() >= MAX_FAILED_STORES {
            failures.retain(|_, failure| failure.suspect_until > now);
        }
        let suspect_period = match failures.get(id) {
            Some(failure) if failure.suspect_until > now => return,
            Some(failure) => (failure.suspect_period * 2).min(MAX_SUSPECT_PERIOD),
            None => INITIAL_SUSPECT_PERIOD,
        };
        if failures.len() < MAX_FAILED_STORES || failures.contains_key(id) {
            failures.insert(id.to_owned(), Failure { suspect_period, suspect_until: now + suspect_period });
        }
    }

    /// Records that the store responded, which ends the suspicion and resets its period.
    pub fn on_response(&self, id: &str) {
        self.failures.borrow_mut().remove(id);
    }

    /// Whether the store is suspect, so that it is chosen only if there is no other store.
    pub fn is_suspect(&self, id: &str, now: Duration) -> bool {
        self.failures.borrow().get(id).is_some_and(|failure| failure.suspect_until > now)
    }
}
