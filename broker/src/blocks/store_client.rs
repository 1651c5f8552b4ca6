//! Calls to stores about blocks. A call sends a frame and waits for its answer, one call at a time on a connection. These
//! connections are separate from those of queries. The orders to a store are sent in the order in which they were given.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::AsyncReadExt;

use crate::http;
use crate::store::frame::{self, split};

/// Time-out for a call, after which the store counts as unresponsive.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time-out for connecting to a store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The type of a call. Orders to a store are sent one after the other, copies in parallel to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// An order to a store about a block.
    Order,
    /// A copy of a block's data to a store.
    Copy,
}

/// Lock that is held while an order to a store is in progress.
type OrderLock = Rc<async_lock::Mutex<()>>;

/// Client for calls to stores about blocks. Keeps at most one idle connection for each store and type of call.
#[derive(Debug, Default)]
pub struct StoreClient {
    idle: RefCell<HashMap<(SocketAddr, CallKind), Async<TcpStream>>>,
    order_locks: RefCell<HashMap<(SocketAddr, CallKind), OrderLock>>,
}

impl StoreClient {
    /// Creates a client without connections.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Sends a frame and returns the rest of the answer, whose letter must be `answer`. `None` if the store did not answer
    /// in time or gave another answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        kind: CallKind,
        letter: u8,
        rest: &[u8],
        answer: u8,
    ) -> Option<Vec<u8>> {
        let order_lock = match kind {
            CallKind::Order => {
                Some(self.order_locks.borrow_mut().entry((address, kind)).or_default().clone())
            }
            CallKind::Copy => None,
        };
        let _guard = match &order_lock {
            Some(order_lock) => Some(order_lock.lock().await),
            None => None,
        };
        let idle = self.idle.borrow_mut().remove(&(address, kind));
        let timeout = async {
            Timer::after(CALL_TIMEOUT).await;
            None
        };
        let bytes = frame::frame(letter, rest);
        let call_on = |socket: Async<TcpStream>| {
            let bytes = &bytes;
            async move {
                let _ = socket.get_ref().set_nodelay(true);
                let reply = round_trip(&socket, bytes, answer, CALL_TIMEOUT).await?;
                Some((socket, reply))
            }
        };
        let call = async {
            // The store may have closed an idle connection meanwhile; it is safe to repeat any call on a new one.
            if let Some(socket) = idle {
                if let Some(result) = call_on(socket).await {
                    return Some(result);
                }
            }
            call_on(http::connect(address, CONNECT_TIMEOUT).await.ok()?).await
        };
        let (socket, reply) = or(call, timeout).await?;
        self.idle.borrow_mut().insert((address, kind), socket);
        Some(reply)
    }

    /// Closes idle connections to stores whose address is not among these.
    pub fn retain_stores(&self, addresses: &[SocketAddr]) {
        self.idle.borrow_mut().retain(|(address, _), _| addresses.contains(address));
        self.order_locks.borrow_mut().retain(|(address, _), _| addresses.contains(address));
    }
}

/// Writes a frame and returns the rest of its answer; `None` if the connection fails, the answer has another letter than
/// `answer`, or more bytes follow it.
pub async fn round_trip(
    mut socket: &Async<TcpStream>,
    frame: &[u8],
    answer: u8,
    write_timeout: Duration,
) -> Option<Vec<u8>> {
    http::write_all(socket, frame, write_timeout).await.ok()?;
    let (mut buffer, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    loop {
        if let Some((letter, rest, length)) = split(&buffer).ok()? {
            return (letter == answer && length == buffer.len()).then(|| rest.to_vec());
        }
        let n = socket.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
        buffer.extend_from_slice(&chunk[..n]);
    }
}
