//! HTTP client for stores: makes one attempt of a request at one store over pooled connections, and returns the reason if the
//! attempt fails.

mod attempt;
mod carried_ids;
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

/// Identity and address of a store, from the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreTarget {
    /// Instance id of the store, sent as `Expected-Instance`.
    pub id: String,
    /// Address that the store listens on.
    pub address: SocketAddr,
    /// Service of the store, whose connection limit applies.
    pub service: String,
    /// Whether the store accepts requests, according to the newest update of the registry. It is checked again before a request is
    /// written, since an update may have removed the store while the request waited for a connection.
    pub accepts_requests: Rc<Cell<bool>>,
}
