//! Rejection of a request by a store, and the load that stores report.

use std::time::Duration;

use hyper::StatusCode;

/// Load that a store reports in `Server-Load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreLoad {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are waiting for a slot.
    pub waiting: u32,
    /// Number of requests that the store can run concurrently.
    pub slots: u32,
}

/// Response of a store that did not run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// HTTP status.
    pub status: StatusCode,
    /// Delay after which the request may be retried at this store.
    pub retry_after: Option<Duration>,
    /// Load that the store reported, if any.
    pub load: Option<StoreLoad>,
}
