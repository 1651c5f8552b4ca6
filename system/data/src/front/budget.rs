//! Admission control: limits the number of requests in flight, and the total size of their bodies.

use std::cell::Cell;
use std::rc::Rc;

/// Number of requests in flight and bytes reserved for their bodies, with the limits of both.
pub struct RequestBudget {
    requests_in_flight: Cell<usize>,
    reserved_bytes: Cell<usize>,
    max_requests: usize,
    max_reserved_bytes: usize,
}

/// Share of one request in the budget. Dropping it returns the share.
pub struct RequestPermit {
    budget: Rc<RequestBudget>,
    reserved_bytes: usize,
}

impl RequestBudget {
    /// Creates a budget of which nothing is in use.
    #[must_use]
    pub fn new(max_requests: usize, max_reserved_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            requests_in_flight: Cell::new(0),
            reserved_bytes: Cell::new(0),
            max_requests,
            max_reserved_bytes,
        })
    }

    /// Number of requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.get()
    }

    /// Admits one more request, with no bytes reserved yet; `None` if the maximum number of requests is reached.
    pub fn admit(self: &Rc<Self>) -> Option<RequestPermit> {
        if self.requests_in_flight.get() >= self.max_requests {
            return None;
        }
        self.requests_in_flight.set(self.requests_in_flight.get() + 1);
        Some(RequestPermit { budget: Rc::clone(self), reserved_bytes: 0 })
    }
}

impl RequestPermit {
    /// Reserves more bytes for the body of the request. Returns false if that would exceed the limit.
    pub fn try_reserve(&mut self, bytes: usize) -> bool {
        let reserved = self.budget.reserved_bytes.get();
        // The reservation is always granted while no bytes are reserved: the configuration bounds the length of a single body.
        if reserved > 0 && reserved + bytes > self.budget.max_reserved_bytes {
            return false;
        }
        self.budget.reserved_bytes.set(reserved + bytes);
        self.reserved_bytes += bytes;
        true
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.requests_in_flight.set(budget.requests_in_flight.get().saturating_sub(1));
        budget.reserved_bytes.set(budget.reserved_bytes.get().saturating_sub(self.reserved_bytes));
    }
}
