//! The interface of optional subsystems: the parts of the broker that they may use ([`Host`]) and the trait that they
//! implement ([`Subsystem`]). The admin
//! endpoint, the core's driver and the shutdown sequence know subsystems through this interface only.

use std::rc::Rc;

use async_executor::LocalExecutor;
use futures_core::future::LocalBoxFuture;

use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::Discovery;
use crate::exchange::Exchange;
use crate::http::Head;
use crate::store::Stores;

/// The parts of the broker that a subsystem may use.
pub struct Host {
    /// The broker's name.
    pub name: String,
    /// The program's clock.
    pub clock: Clock,
    /// Runs the subsystem's tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Counters that operators read.
    pub counters: Rc<Counters>,
    /// Open queries.
    pub exchange: Rc<Exchange>,
    /// Known stores.
    pub stores: Rc<Stores>,
    /// The endpoint list.
    pub discovery: Rc<Discovery>,
}

/// A response of the admin endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub kind: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A plain-text response.
    pub fn text(status: u16, text: &str) -> Self {
        Self { status, kind: "text/plain; charset=utf-8", body: format!("{text}\n").into_bytes() }
    }

    /// A successful JSON response.
    pub fn json(value: &serde_json::Value) -> Self {
        Self { status: 200, kind: "application/json", body: value.to_string().into_bytes() }
    }

    /// A successful response in binary form, for programs of this project only.
    pub fn bytes(body: Vec<u8>) -> Self {
        Self { status: 200, kind: "application/octet-stream", body }
    }
}

/// An optional part of the broker.
pub trait Subsystem {
    /// First segment of the paths that it serves at the admin endpoint.
    fn path(&self) -> &'static str;

    /// Handles a request for one of those paths.
    fn handle_request<'a>(&'a self, head: &'a Head, body: &'a [u8]) -> LocalBoxFuture<'a, Reply>;

    /// Called when a store reported a block epoch newer than the broker's map.
    fn on_newer_epoch(&self) {}

    /// Releases what other processes would wait for, before the process ends.
    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

/// Finds the subsystem that serves a path.
pub fn find<'a>(subsystems: &'a [Rc<dyn Subsystem>], path: &str) -> Option<&'a Rc<dyn Subsystem>> {
    let first = path.strip_prefix('/')?.split('/').next()?;
    subsystems.iter().find(|subsystem| subsystem.path() == first)
}
