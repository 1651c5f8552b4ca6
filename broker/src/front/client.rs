//! The connection of a client, and all the ways in which it ends. A connection that may carry requests is a [`Client`]; one
//! that carries no more requests is [`HalfClosed`]. Only this module can create [`Closed`], so code that serves a connection
//! has to end it in one of these ways:
//!
//! ```text
//! Client --last answer----------> HalfClosed --linger--> Closed
//!   |----final read, nothing----> HalfClosed           the write side is shut down once nothing is unread
//!   |----final read, a request--> Client + Request     it is served: its client could not know of the close
//!   |----close unread-----------> HalfClosed           unread bytes stay unread: the client sends them again elsewhere
//!   `----disconnected-----------> Closed               the client closed, or the connection broke: no answer is needed
//! ```
//!
//! A client that shuts down only its write side is treated as disconnected: the two cases look the same, and no supported
//! client does that and still waits for an answer.

use std::cell::Cell;
use std::future::Future;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future::or;

use super::Reply;
use crate::handover::Presence;
use crate::http::{self, Ending, Fault, Framing, Head, Kind, Stream};

/// Bodies up to this length need no reservation; the memory for longer ones is bounded.
const UNRESERVED_BODY_MAX: usize = 4096;
/// Time for which a half-closed connection is still read: the answer is in transit, and the client may still be sending. A
/// reset would discard the answer. It is longer than a round trip on a poor link.
const LINGER: Duration = Duration::from_millis(500);

/// Limit on memory for long request bodies.
pub struct BodyMemory {
    limit: usize,
    reserved: Cell<usize>,
    presence: Rc<Presence>,
}

impl BodyMemory {
    /// Creates a limit in bytes, shared by all processes of this broker.
    pub fn new(limit: usize, presence: &Rc<Presence>) -> Rc<Self> {
        Rc::new(Self { limit, reserved: Cell::new(0), presence: presence.clone() })
    }

    fn reserve(self: &Rc<Self>, framing: Framing) -> Option<BodyReservation> {
        let size = match framing {
            Framing::Length(length) if length <= UNRESERVED_BODY_MAX => 0,
            Framing::Length(length) => length,
            Framing::Chunked | Framing::Close => http::BODY_MAX,
        };
        let reserved = self.reserved.get() + size;
        (reserved <= self.limit / self.presence.process_count()).then(|| {
            self.reserved.set(reserved);
            BodyReservation { all: self.clone(), size }
        })
    }
}

/// Memory reserved for a long body, released when dropped.
struct BodyReservation {
    all: Rc<BodyMemory>,
    size: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.all.reserved.set(self.all.reserved.get() - self.size);
    }
}

/// A complete request.
pub struct Request {
    /// Head of the request.
    pub head: Head,
    /// Body of the request.
    pub body: Vec<u8>,
    _reservation: BodyReservation,
}

/// Reason why no request was read.
pub enum NoRequest {
    /// The client disconnected.
    Disconnected,
    /// The request was not complete in time.
    Stalled,
    /// The request is invalid.
    Fault(Fault),
    /// A limit on memory or requests is reached.
    NoCapacity,
}

impl From<Ending> for NoRequest {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Fault(fault) => Self::Fault(fault),
            Ending::Stalled => Self::Stalled,
            Ending::Closed | Ending::Cut => Self::Disconnected,
        }
    }
}

/// A connection that may carry requests.
pub struct Client {
    stream: Stream,
    /// The head of a request whose body is incomplete.
    head: Option<(Head, BodyReservation)>,
}

/// The result of a final read.
pub enum FinalRead {
    /// A request.
    Request(Client, Request),
    /// An invalid request, or one over the limits.
    Invalid(Client, NoRequest),
    /// Nothing, or an incomplete request.
    Nothing(HalfClosed),
    /// The client disconnected.
    Disconnected(Closed),
}

/// The state of a connection after an answer.
pub enum Answered {
    /// The connection may carry another request.
    Reusable(Client),
    /// The answer was the last one; the connection is half-closed.
    Last(HalfClosed),
    /// The answer could not be written.
    Unwritten(Closed),
}

impl Client {
    /// Wraps an accepted connection.
    pub fn new(socket: Async<TcpStream>) -> Self {
        Self { stream: Stream::new(socket), head: None }
    }

    /// Whether a part of a request has been received.
    pub fn has_partial_request(&self) -> bool {
        self.head.is_some() || self.stream.has_buffered_bytes()
    }

    /// Waits for the first byte of a request.
    pub async fn wait_for_first_byte(&mut self, within: Duration) -> Result<(), NoRequest> {
        Ok(self.stream.wait_for_first_byte(within).await?)
    }

    /// Reads a request. If the future is dropped before the request is complete, the next call resumes reading.
    pub async fn request(
        &mut self,
        body_memory: &Rc<BodyMemory>,
        deadline: Instant,
    ) -> Result<Request, NoRequest> {
        let remaining = || deadline.saturating_duration_since(Instant::now());
        let (head, reservation) = match self.head.take() {
            Some(partial) => partial,
            None => {
                let head = self.stream.head(Kind::Request, remaining()).await?;
                let reservation = body_memory.reserve(head.framing).ok_or(NoRequest::NoCapacity)?;
                if head.expects && head.framing != Framing::Length(0) {
                    let _ = self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n", remaining()).await;
                }
                (head, reservation)
            }
        };
        let framing = head.framing;
        self.head = Some((head, reservation));
        let body = self.stream.body(framing, remaining()).await?;
        match self.head.take() {
            Some((head, reservation)) => Ok(Request { head, body, _reservation: reservation }),
            None => Err(NoRequest::Disconnected),
        }
    }

    /// Resolves once the client has disconnected.
    pub async fn disconnected(&mut self) {
        self.stream.peer_closed().await;
    }

    /// Writes an answer; the last one where `keep_alive` is false, or bytes received after its request had to be dropped.
    pub async fn answer(mut self, reply: &Reply, keep_alive: bool, within: Duration) -> Answered {
        let keep_alive = keep_alive && !self.stream.has_dropped_bytes();
        let bytes = http::encode_response(reply.status, &reply.headers, &reply.body, keep_alive);
        match self.stream.write(&bytes, within).await {
            Err(e) => {
                log::debug!(error:% = e; "answer was not written");
                Answered::Unwritten(Closed(()))
            }
            Ok(()) if keep_alive => Answered::Reusable(self),
            Ok(()) => Answered::Last(self.half_close()),
        }
    }

    /// Reads once more, without waiting, before an idle connection is closed: a request that arrived by now is served.
    pub async fn final_read(mut self, body_memory: &Rc<BodyMemory>) -> FinalRead {
        match self.request(body_memory, Instant::now()).await {
            Ok(request) => FinalRead::Request(self, request),
            Err(NoRequest::Stalled) => FinalRead::Nothing(self.half_close()),
            Err(NoRequest::Disconnected) => FinalRead::Disconnected(Closed(())),
            Err(invalid) => FinalRead::Invalid(self, invalid),
        }
    }

    /// Closes without a final read: a request accepted now could be cut off by the end of the process.
    pub fn close_unread(self) -> HalfClosed {
        self.half_close()
    }

    fn half_close(self) -> HalfClosed {
        // An error occurs again when the connection lingers.
        let _ = self.stream.shut_down_write();
        HalfClosed(self.stream)
    }

    /// Ends a connection whose client disconnected.
    pub fn into_closed(self) -> Closed {
        Closed(())
    }
}

/// A connection that carries no more requests: its write side is shut down.
pub struct HalfClosed(Stream);

impl HalfClosed {
    /// Drops received bytes until the client closes too, for a bounded time, or until `needed` resolves.
    pub async fn linger(self, needed: impl Future<Output = ()>) -> Closed {
        or(self.0.finish(LINGER), needed).await;
        Closed(())
    }
}

/// Proof that a connection was ended in one of the ways above.
pub struct Closed(());
