//! How many requests this edge has out at each store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// Requests out, by store id.
#[derive(Default)]
pub struct Counts {
    table: RefCell<HashMap<String, Rc<Cell<usize>>>>,
}

/// One request out; it counts until this is dropped.
pub struct CountGuard {
    counter: Rc<Cell<usize>>,
}

impl CountGuard {
    /// Counts one more until this is dropped.
    pub fn on(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self { counter: Rc::clone(counter) }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.counter.set(self.counter.get().saturating_sub(1));
    }
}

impl Counts {
    /// Counts one more request at a store until the guard is dropped.
    pub fn add(&self, id: &str) -> CountGuard {
        CountGuard::on(&self.counter(id))
    }

    /// Requests out at a store.
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

    /// Lets go of counters that nobody holds.
    pub fn sweep(&self) {
        self.table.borrow_mut().retain(|_, counter| Rc::strong_count(counter) > 1);
    }
}
