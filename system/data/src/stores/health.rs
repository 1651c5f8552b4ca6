//! Passive health checking: a store that failed is suspect for a time that doubles with each further failure, up to a bound.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// How long a store is suspect after its first failure.
const FIRST_SUSPICION: Duration = Duration::from_millis(250);
/// The longest time for which a store is suspect.
const MAX_SUSPICION: Duration = Duration::from_secs(2);
/// The most stores that are remembered as failed.
const MAX_STORES: usize = 8_192;

#[derive(Clone, Copy)]
struct Failure {
    suspicion: Duration,
    until: Duration,
}

/// Stores that failed recently, by id.
#[derive(Default)]
pub struct StoreHealth {
    failed: RefCell<HashMap<String, Failure>>,
}

impl StoreHealth {
    /// The store was unreachable, interrupted a response, or timed out.
    pub fn on_failure(&self, id: &str, now: Duration) {
        let mut failed = self.failed.borrow_mut();
        if failed.len() >= MAX_STORES {
            failed.retain(|_, failure| failure.until > now);
        }
        let suspicion = match failed.get(id) {
            Some(failure) if failure.until > now => return,
            Some(failure) => (failure.suspicion * 2).min(MAX_SUSPICION),
            None => FIRST_SUSPICION,
        };
        if failed.len() < MAX_STORES || failed.contains_key(id) {
            failed.insert(id.to_owned(), Failure { suspicion, until: now + suspicion });
        }
    }

    /// The store responded.
    pub fn on_response(&self, id: &str) {
        self.failed.borrow_mut().remove(id);
    }

    /// Whether the store is suspect, and used only if there is no other.
    pub fn is_suspect(&self, id: &str, now: Duration) -> bool {
        self.failed.borrow().get(id).is_some_and(|failure| failure.until > now)
    }
}
