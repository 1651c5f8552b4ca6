//! The handle by which messages are sent, and what it shares with the tasks of its connections.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::ResultExt;
use tokio::runtime::Handle;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::error::{BindSnafu, DropReason, SendOutcome, TransportError};
use crate::frame::{self, Hello, LONGEST_HELLO_BYTES};
use crate::inbound;
use crate::inbox::{Inbox, InboxSender};
use crate::links::Links;
use crate::outbound;
use crate::settings::NetworkSettings;
use crate::socket;

/// Sends messages to other nodes, and listens for theirs. Cheap to clone. Once the last handle is dropped, all connections are
/// closed, what waits is dropped, and the inbox ends.
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
        formatter.debug_struct("Network").field("local", &self.shared.local).finish_non_exhaustive()
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Network<M> {
    /// Binds and starts accepting, on the runtime it is called on. Messages arrive in the inbox with the sender's advertised
    /// listen address, which it tells in the first frame of a connection.
    pub async fn bind(settings: NetworkSettings) -> Result<(Network<M>, Inbox<M>), TransportError> {
        settings.check()?;
        let listen = settings.listen;
        let listener = socket::listen(&settings).context(BindSnafu { address: listen })?;
        let local = listener.local_addr().context(BindSnafu { address: listen })?;
        let (inbox, receiver) = InboxSender::channel(settings.queue_bytes);
        let links = Mutex::new(Links::new(settings.clone(), hello(local), seed(local)));
        let shared = Arc::new(Shared {
            settings,
            local,
            inbox,
            links,
            runtime: Handle::current(),
            started: Instant::now(),
        });
        let accepting = tokio::spawn(inbound::accept(Arc::clone(&shared), listener)).abort_handle();
        let closing = Arc::new(CloseOnDrop { shared: Arc::clone(&shared), accepting });
        Ok((Network { shared, _closing: closing }, receiver))
    }

    /// Queues a message for the node that listens on the address, and opens a connection to it if there is none. Never blocks:
    /// the message is encoded here, or dropped.
    pub fn send(&self, to: SocketAddr, message: &M) -> SendOutcome {
        match self.shared.send(to, message) {
            Ok(()) => SendOutcome::Queued,
            Err(reason) => SendOutcome::Dropped(reason),
        }
    }

    /// The address the network listens on, which its peers are told.
    pub fn local_address(&self) -> SocketAddr {
        self.shared.local
    }

    /// Waits until all that is queued has been handed to the system or dropped, at most for a time; returns whether it has. For a
    /// program that is about to end.
    pub async fn flush(&self, limit: Duration) -> bool {
        let drained = self.shared.links().drained();
        let flushed = async {
            loop {
                let mut change = pin!(drained.notified());
                change.as_mut().enable();
                if self.shared.links().is_settled() {
                    return;
                }
                change.await;
            }
        };
        tokio::time::timeout(limit, flushed).await.is_ok()
    }

    /// Forgets a peer: closes the connection to it, without a [`Lost`](crate::Incoming::Lost), and drops what waits for it.
    pub fn close(&self, to: SocketAddr) {
        self.shared.links().forget(to);
    }
}

/// The hello frame of a node.
fn hello(local: SocketAddr) -> Vec<u8> {
    let mut bytes = Vec::new();
    if frame::append(&mut bytes, &Hello::new(local), LONGEST_HELLO_BYTES).is_err() {
        log::error!("the hello of {local} could not be encoded");
    }
    bytes
}

/// Differs from node to node, so that their retries do.
fn seed(local: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    local.hash(&mut hasher);
    hasher.finish()
}

/// What the handles of a network share with its tasks.
pub(crate) struct Shared<M> {
    pub(crate) settings: NetworkSettings,
    pub(crate) inbox: InboxSender<M>,
    local: SocketAddr,
    links: Mutex<Links>,
    runtime: Handle,
    started: Instant,
}

impl<M> Shared<M> {
    /// The table of peers. Never held across an await.
    pub(crate) fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time since the network was set up.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

impl<M: Serialize + Send + 'static> Shared<M> {
    fn send(self: &Arc<Self>, to: SocketAddr, message: &M) -> Result<(), DropReason> {
        if !frame::is_reachable(to) {
            return Err(DropReason::Address);
        }
        if self.inbox.is_closed() {
            return Err(DropReason::Closed);
        }
        let mut links = self.links();
        if let Some(opening) = links.send(to, message, || self.now())? {
            let id = opening.id;
            let task = self.runtime.spawn(outbound::run(Arc::clone(self), to, opening));
            links.started(to, id, task.abort_handle());
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
        self.shared.links().forget_all();
    }
}
