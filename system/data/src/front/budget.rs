//! Admission control: bounds on the requests in flight, and on the bytes of their bodies.

use std::cell::Cell;
use std::rc::Rc;

/// What requests use, and the limits.
pub struct RequestBudget {
    requests: Cell<usize>,
    bytes: Cell<usize>,
    max_requests: usize,
    max_bytes: usize,
}

/// The share of one request in the budget; dropping it returns the share.
pub struct RequestPermit {
    budget: Rc<RequestBudget>,
    bytes: usize,
}

impl RequestBudget {
    /// A budget of which nothing is in use.
    #[must_use]
    pub fn new(max_requests: usize, max_bytes: usize) -> Rc<Self> {
        Rc::new(Self { requests: Cell::new(0), bytes: Cell::new(0), max_requests, max_bytes })
    }

    /// The number of requests in flight.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    /// Admits one more request, without a body yet; `None` if the limit is reached.
    pub fn admit(self: &Rc<Self>) -> Option<RequestPermit> {
        if self.requests.get() >= self.max_requests {
            return None;
        }
        self.requests.set(self.requests.get() + 1);
        Some(RequestPermit { budget: Rc::clone(self), bytes: 0 })
    }
}

impl RequestPermit {
    /// Reserves more bytes of the body; returns whether the limit permits that.
    pub fn try_reserve(&mut self, bytes: usize) -> bool {
        let used = self.budget.bytes.get();
        // A single body is always admitted: the configuration bounds its length.
        if used > 0 && used + bytes > self.budget.max_bytes {
            return false;
        }
        self.budget.bytes.set(used + bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.requests.set(budget.requests.get().saturating_sub(1));
        budget.bytes.set(budget.bytes.get().saturating_sub(self.bytes));
    }
}
