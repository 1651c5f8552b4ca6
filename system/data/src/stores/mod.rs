//! The HTTP client for stores: one attempt of a request at one store, over pooled connections, and the reason if it fails.

mod attempt;
mod client;
mod connection;
mod health;
mod in_flight;
mod pool;
mod rejection;
mod response;
pub mod response_class;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

pub use attempt::{AttemptError, AttemptTimeouts};
pub use client::StoreClient;
pub use health::StoreHealth;
pub use in_flight::{InFlightCounts, InFlightGuard};
pub use rejection::{Rejection, StoreLoad};
pub use response::{StoreBody, StoreResponse};

/// A store, as the registry names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreTarget {
    /// Its instance id, sent as `Expected-Instance`.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its service, whose connection limit applies.
    pub service: String,
    /// Whether it accepts requests, as far as this edge knows now. A request that waited for a connection checks it again before it
    /// is written, since an update may have removed the store meanwhile.
    pub takes_requests: Rc<Cell<bool>>,
}
