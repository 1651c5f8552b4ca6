//! One connection to a store: a hyper client and the task that moves its bytes. It ends with its owner.

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

use super::pool::Place;

/// The most bytes of an answer that wait to be passed on, and so the longest head.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// What the connection and its task know of its rest.
#[derive(Default)]
pub(super) struct Rest {
    /// Since when nothing is under way on it.
    pub since: Cell<Option<Duration>>,
}

/// One connection. Dropped, it closes at once.
pub(super) struct Connection {
    /// Takes requests.
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// Since when it rests.
    pub rest: Rc<Rest>,
    /// Whether it has carried an answer before.
    pub used: bool,
    /// Counts it at its store.
    pub place: Place,
    task: AbortHandle,
}

impl Connection {
    /// Opens one.
    pub async fn open(address: SocketAddr, place: Place) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.ok()?;
        let rest = Rc::new(Rest::default());
        let (resting, store) = (Rc::clone(&rest), place.store());
        let task = tokio::task::spawn_local(async move {
            if driver.await.is_ok() {
                store.note_closed(resting.since.get());
            }
        });
        Some(Self { sender, rest, used: false, place, task: task.abort_handle() })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
