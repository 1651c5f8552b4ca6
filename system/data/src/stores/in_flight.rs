//! Counts of the requests that this edge has in flight at each store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// Requests in flight, by store id.
#[derive(Default)]
pub struct InFlightCounts {
    table: RefCell<HashMap<String, Rc<Cell<usize>>>>,
}

/// One request in flight; dropping it decrements the count of its store.
pub struct InFlightGuard {
    counter: Rc<Cell<usize>>,
}

impl InFlightGuard {
    /// Increments a counter until the guard is dropped.
    pub fn on(counter: &Rc<Cell<usize>>) -> Self {
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
    /// The number of requests in flight at a store.
    pub fn count(&self, id: &str) -> usize {
        self.table.borrow().get(id).map_or(0, |counter| counter.get())
    }

    /// The counter of a store.
    pub fn counter(&self, id: &str) -> Rc<Cell<usize>> {
        let mut table = self.table.borrow_mut();
        if let Some(counter) = table.get(id) {
            return Rc::clone(counter);
        }
        let counter = Rc::new(Cell::new(0));
        table.insert(id.to_owned(), Rc::clone(&counter));
        counter
    }

    /// Removes counters without any other owner.
    pub fn remove_unused(&self) {
        self.table.borrow_mut().retain(|_, counter| Rc::strong_count(counter) > 1);
    }
}
