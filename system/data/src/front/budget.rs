//! How much may be under way at once: requests, and the bytes of their bodies.

use std::cell::Cell;
use std::rc::Rc;

/// What is in use, and the most that may be.
pub struct Budget {
    requests: Cell<usize>,
    bytes: Cell<usize>,
    max_requests: usize,
    max_bytes: usize,
}

/// The part of one request; it is given back when this is dropped.
pub struct Room {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Budget {
    /// Nothing is in use.
    pub fn new(max_requests: usize, max_bytes: usize) -> Rc<Self> {
        Rc::new(Self { requests: Cell::new(0), bytes: Cell::new(0), max_requests, max_bytes })
    }

    /// Requests under way.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    /// Room for one more request, without a body yet.
    pub fn admit(self: &Rc<Self>) -> Option<Room> {
        if self.requests.get() >= self.max_requests {
            return None;
        }
        self.requests.set(self.requests.get() + 1);
        Some(Room { budget: Rc::clone(self), bytes: 0 })
    }
}

impl Room {
    /// Takes room for more bytes of the body; says whether there is any.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.bytes.get();
        // A single body may always come: the configuration's limit holds for it.
        if used > 0 && used + bytes > self.budget.max_bytes {
            return false;
        }
        self.budget.bytes.set(used + bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.requests.set(budget.requests.get().saturating_sub(1));
        budget.bytes.set(budget.bytes.get().saturating_sub(self.bytes));
    }
}
