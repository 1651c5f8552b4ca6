//! Which stores failed to answer lately. A store that failed is avoided for a short time that doubles with each further failure,
//! and is tried again after it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// The most stores that are remembered as failed.
const MAX_STORES: usize = 8_192;

#[derive(Clone, Copy)]
struct Failure {
    pause: Duration,
    until: Duration,
}

/// Stores that failed lately, by id.
#[derive(Default)]
pub struct Health {
    failed: RefCell<HashMap<String, Failure>>,
}

impl Health {
    /// The store could not be reached, broke off or was silent.
    pub fn failed(&self, id: &str, now: Duration) {
        let mut failed = self.failed.borrow_mut();
        if failed.len() >= MAX_STORES {
            failed.retain(|_, failure| failure.until > now);
        }
        let pause = match failed.get(id) {
            Some(failure) if failure.until > now => return,
            Some(failure) => (failure.pause * 2).min(LONGEST_PAUSE),
            None => FIRST_PAUSE,
        };
        if failed.len() < MAX_STORES || failed.contains_key(id) {
            failed.insert(id.to_owned(), Failure { pause, until: now + pause });
        }
    }

    /// The store answered.
    pub fn answered(&self, id: &str) {
        self.failed.borrow_mut().remove(id);
    }

    /// Whether the store is to be avoided now, if there are others.
    pub fn avoid(&self, id: &str, now: Duration) -> bool {
        self.failed.borrow().get(id).is_some_and(|failure| failure.until > now)
    }
}
