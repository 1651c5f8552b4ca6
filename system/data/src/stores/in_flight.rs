//! Counters of the requests that this edge has in flight at each store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// Counters of the requests in flight, by store id.
#[derive(Default)]
pub struct InFlightCounts {
    counters: RefCell<HashMap<String, Rc<Cell<usize>>>>,
}

/// Guard of one request in flight. Dropping it decrements the counter of the store.
pub struct InFlightGuard {
    counter: Rc<Cell<usize>>,
}

impl InFlightGuard {
    /// Increments a counter; it is decremented when the guard is dropped.
    pub fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self { counter: Rc::clone(counter) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counter.set(self.counter.get().saturating_sub(1));
    }
}

impl InFlightCounts {
    /// Number of requests in flight at a store.
    pub fn count(&self, id: &str) -> usize {
        self.counters.borrow().get(id).map_or(0, |counter| counter.get())
    }

    /// Returns the counter of a store, and creates it if there is none.
    pub fn counter(&self, id: &str) -> Rc<Cell<usize>> {
        let mut counters = self.counters.borrow_mut();
        if let Some(counter) = counters.get(id) {
            return Rc::clone(counter);
        }
        let counter = Rc::new(Cell::new(0));
        counters.insert(id.to_owned(), Rc::clone(&counter));
        counter
    }

    /// Removes counters that have no owner outside this table.
    pub fn remove_unused(&self) {
        self.counters.borrow_mut().retain(|_, counter| Rc::strong_count(counter) > 1);
    }
}
