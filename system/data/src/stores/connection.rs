//! One connection to a store: a hyper client, and the task that drives its I/O until the connection is dropped.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::carried_ids::CarriedIds;

/// Size of the read buffer, which bounds the response head and the part of a body that has not been forwarded yet.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Connection to a store, which occupies a slot of type `S` in its pool. Dropping it closes the connection.
pub(super) struct Connection<S> {
    /// Sends requests on the connection.
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// When the connection became idle, on the clock of its pool; `None` while it carries a request.
    pub idle_since: Rc<Cell<Option<Duration>>>,
    /// The ids of the requests that the connection has carried.
    pub carried_ids: CarriedIds,
    /// Slot that the connection occupies in its pool.
    pub slot: S,
    task: AbortHandle,
}

impl<S> Connection<S> {
    /// Opens a connection. `on_closed` is called with its [`Self::idle_since`] if the store closes it without an error.
    pub(super) async fn open(
        address: SocketAddr,
        slot: S,
        on_closed: impl FnOnce(Option<Duration>) + 'static,
    ) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.ok()?;
        let idle_since = Rc::new(Cell::new(None));
        let idle_since_at_close = Rc::clone(&idle_since);
        let task = tokio::task::spawn_local(async move {
            if driver.await.is_ok() {
                on_closed(idle_since_at_close.get());
            }
        });
        let carried_ids = CarriedIds::default();
        Some(Self { sender, idle_since, carried_ids, slot, task: task.abort_handle() })
    }
}

impl<S> Drop for Connection<S> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
