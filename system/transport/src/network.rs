//! The handle by which messages are sent; it starts the tasks of the network and ends them.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::ResultExt;
use tokio::task::AbortHandle;

use crate::error::{BindSnafu, DropReason, SendOutcome, TransportError};
use crate::frame::{self, Hello, MAX_HELLO_BYTES};
use crate::inbound;
use crate::inbox::{Inbox, InboxSender};
use crate::links::Links;
use crate::outbound;
use crate::settings::NetworkSettings;
use crate::shared::Shared;
use crate::socket;

/// Sends messages to other nodes, and accepts theirs. Cheap to clone. When the last handle is dropped, all connections are closed,
/// queued messages are dropped, and the inbox ends.
pub struct Network<M> {
    shared: Arc<Shared<M>>,
    _closing: Arc<CloseOnDrop<M>>,
}

impl<M> Clone for Network<M> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared), _closing: Arc::clone(&self._closing) }
    }
}

impl<M> fmt::Debug for Network<M> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Network").field("local", &self.shared.local_address()).finish_non_exhaustive()
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Network<M> {
    /// Binds and starts accepting, on the runtime on which it is called. Messages arrive in the inbox with the sender's advertised
    /// listen address, which the first frame of a connection contains.
    ///
    /// # Errors
    ///
    /// The settings are out of range, or the address can't be bound.
    ///
    /// # Panics
    ///
    /// Without a Tokio runtime.
    pub async fn bind(settings: NetworkSettings) -> Result<(Network<M>, Inbox<M>), TransportError> {
        settings.check()?;
        let listen = settings.listen;
        let listener = socket::listen(&settings).context(BindSnafu { address: listen })?;
        let local = listener.local_addr().context(BindSnafu { address: listen })?;
        let (inbox, receiver) = InboxSender::channel(settings.queue_bytes);
        let links = Links::new(settings.clone(), hello(local), seed(local));
        let shared = Arc::new(Shared::new(settings, local, inbox, links));
        let accepting = tokio::spawn(inbound::accept(Arc::clone(&shared), listener)).abort_handle();
        let closing = Arc::new(CloseOnDrop { shared: Arc::clone(&shared), accepting });
        Ok((Network { shared, _closing: closing }, receiver))
    }

    /// Queues a message for the node that listens on the address, and opens a connection if there is none. Never blocks: the
    /// message is encoded and queued, or dropped, before it returns.
    pub fn send(&self, to: SocketAddr, message: &M) -> SendOutcome {
        match self.try_send(to, message) {
            Ok(()) => SendOutcome::Queued,
            Err(reason) => SendOutcome::Dropped(reason),
        }
    }

    /// The address that the network listens on and advertises to its peers.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.shared.local_address()
    }

    /// Waits until all queued frames have been written to sockets or dropped; returns false if `limit` passes before. For a
    /// graceful shutdown.
    pub async fn flush(&self, limit: Duration) -> bool {
        let drained = self.shared.links().drained();
        let flushed = async {
            loop {
                let mut change = pin!(drained.notified());
                change.as_mut().enable();
                if self.shared.links().is_drained() {
                    return;
                }
                change.await;
            }
        };
        tokio::time::timeout(limit, flushed).await.is_ok()
    }

    /// Removes a peer: closes the connection to it, without a [`Lost`](crate::Incoming::Lost), and drops its queue.
    pub fn close(&self, to: SocketAddr) {
        self.shared.links().remove(to);
    }
}

/// The hello frame of a node.
fn hello(local: SocketAddr) -> Vec<u8> {
    let mut bytes = Vec::new();
    if frame::append(&mut bytes, &Hello::new(local), MAX_HELLO_BYTES).is_err() {
        log::error!(local:%; "hello frame not encoded");
    }
    bytes
}

/// The seed of retry delays: differs between nodes, so that they don't retry in step.
fn seed(local: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    local.hash(&mut hasher);
    hasher.finish()
}

impl<M: Serialize + Send + 'static> Network<M> {
    /// Queues a message, and starts the task of its connection if the link has none.
    fn try_send(&self, to: SocketAddr, message: &M) -> Result<(), DropReason> {
        let shared = &self.shared;
        if !frame::is_reachable(to) {
            return Err(DropReason::Address);
        }
        if shared.inbox.is_closed() {
            return Err(DropReason::Closed);
        }
        let mut links = shared.links();
        if let Some(opening) = links.send(to, message, || shared.now())? {
            let id = opening.id;
            let task = shared.runtime().spawn(outbound::run(Arc::clone(shared), to, opening));
            links.on_task_started(to, id, task.abort_handle());
        }
        Ok(())
    }
}

/// Ends the network's tasks with its last handle.
struct CloseOnDrop<M> {
    shared: Arc<Shared<M>>,
    accepting: AbortHandle,
}

impl<M> Drop for CloseOnDrop<M> {
    fn drop(&mut self) {
        self.accepting.abort();
        self.shared.links().remove_all();
    }
}
