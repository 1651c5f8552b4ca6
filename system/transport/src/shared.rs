//! What the handles of a network share with the tasks of its connections.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::inbox::InboxSender;
use crate::links::Links;
use crate::settings::NetworkSettings;

/// State of one network, behind its handles and in its tasks.
pub(crate) struct Shared<M> {
    pub(crate) settings: NetworkSettings,
    pub(crate) inbox: InboxSender<M>,
    local: SocketAddr,
    links: Mutex<Links>,
    runtime: Handle,
    started_at: Instant,
}

impl<M> Shared<M> {
    /// The state of a network that listens on an address, with the runtime on which it is called.
    pub(crate) fn new(
        settings: NetworkSettings,
        local: SocketAddr,
        inbox: InboxSender<M>,
        links: Links,
    ) -> Self {
        Self {
            settings,
            inbox,
            local,
            links: Mutex::new(links),
            runtime: Handle::current(),
            started_at: Instant::now(),
        }
    }

    /// The node's own listen address.
    pub(crate) fn local_address(&self) -> SocketAddr {
        self.local
    }

    /// The runtime of the network's tasks.
    pub(crate) fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// The table of peers. Its lock is never held across an await.
    pub(crate) fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time since the network was set up.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}
