//! A store's response that it did not run a request, and the load that stores report.

use std::time::Duration;

use hyper::StatusCode;

/// The load that a store reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// A store's response that it did not run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Its status.
    pub status: StatusCode,
    /// After which time it may be retried there.
    pub retry_after: Option<Duration>,
    /// The load that it reported, if any.
    pub load: Option<StoreLoad>,
}
