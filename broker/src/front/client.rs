//! One client's connection, and all the ways in which it ends. A connection that may carry requests is a [`Client`]; one that
//! carries no more is [`Shut`], on which nothing can be read as a request; and [`Ended`] can be made here alone, so that
//! whoever serves a connection has to have ended it in order:
//!
//! ```text
//! Client --answer, the last--> Shut --linger--> Ended
//!   |----look, nothing there--> Shut               the write side is shut once nothing lay unread
//!   |----look, a request------> Client + Asked     it is served: its client could not know of the close
//!   |----too late-------------> Shut               what lies there was not read: its client sends it again elsewhere
//!   `----gone-----------------> Ended              the client closed, or the connection broke: nothing is owed
//! ```
//!
//! A client that closes has gone. So has one that shuts its write side alone: it looks the same, and no client of ours
//! does that and waits.

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

/// A request this long is like any other; the memory for longer ones is bounded.
const USUAL_BODY: usize = 4096;
/// A connection that has ended is heard for so long: the answer is on its way, and the client may be sending still. A reset
/// would take the answer with it. Longer than a round trip on a poor link.
const LINGER: Duration = Duration::from_millis(500);

/// The memory for long bodies.
pub struct Bodies {
    most: usize,
    held: Cell<usize>,
    presence: Rc<Presence>,
}

impl Bodies {
    /// So many bytes, for all processes together.
    pub fn new(most: usize, presence: &Rc<Presence>) -> Rc<Self> {
        Rc::new(Self { most, held: Cell::new(0), presence: presence.clone() })
    }

    fn hold(self: &Rc<Self>, framing: Framing) -> Option<Held> {
        let size = match framing {
            Framing::Length(length) if length <= USUAL_BODY => 0,
            Framing::Length(length) => length,
            Framing::Chunked | Framing::Close => http::BODY_MAX,
        };
        let held = self.held.get() + size;
        (held <= self.most / self.presence.processes()).then(|| {
            self.held.set(held);
            Held { all: self.clone(), size }
        })
    }
}

/// Memory for a long body; given back when dropped.
struct Held {
    all: Rc<Bodies>,
    size: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.held.set(self.all.held.get() - self.size);
    }
}

/// A request that has come whole.
pub struct Asked {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
    _held: Held,
}

/// Why there is no request.
pub enum NoRequest {
    /// The client has gone.
    Gone,
    /// It did not come whole in time.
    Stalled,
    /// It can't be read.
    Fault(Fault),
    /// There is no room for it now.
    NoRoom,
}

impl From<Ending> for NoRequest {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Fault(fault) => Self::Fault(fault),
            Ending::Stalled => Self::Stalled,
            Ending::Closed | Ending::Cut => Self::Gone,
        }
    }
}

/// A connection that may carry requests.
pub struct Client {
    stream: Stream,
    /// The head of a request whose body has not come whole.
    head: Option<(Head, Held)>,
}

/// What a last look found.
pub enum Look {
    /// A request.
    Asked(Client, Asked),
    /// What can't be read, or has no room.
    Unfit(Client, NoRequest),
    /// Nothing, or a part of a request, which was not taken.
    Nothing(Shut),
    /// The client has gone.
    Gone(Ended),
}

/// What became of a connection with its answer.
pub enum Answered {
    /// It may carry another request.
    Kept(Client),
    /// It was the last.
    Last(Shut),
    /// It could not be written.
    Unwritten(Ended),
}

impl Client {
    /// A connection that was accepted.
    pub fn new(socket: Async<TcpStream>) -> Self {
        Self { stream: Stream::new(socket), head: None }
    }

    /// Whether a request has begun.
    pub fn begun(&self) -> bool {
        self.head.is_some() || self.stream.begun()
    }

    /// Waits for the first byte of a request.
    pub async fn first(&mut self, within: Duration) -> Result<(), NoRequest> {
        Ok(self.stream.first(within).await?)
    }

    /// Reads a request. Dropped in the midst of it, it goes on where it was when it is called again.
    pub async fn request(&mut self, bodies: &Rc<Bodies>, by: Instant) -> Result<Asked, NoRequest> {
        let left = || by.saturating_duration_since(Instant::now());
        let (head, held) = match self.head.take() {
            Some(begun) => begun,
            None => {
                let head = self.stream.head(Kind::Request, left()).await?;
                let held = bodies.hold(head.framing).ok_or(NoRequest::NoRoom)?;
                if head.expects && head.framing != Framing::Length(0) {
                    let _ = self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n", left()).await;
                }
                (head, held)
            }
        };
        let framing = head.framing;
        self.head = Some((head, held));
        let body = self.stream.body(framing, left()).await?;
        match self.head.take() {
            Some((head, held)) => Ok(Asked { head, body, _held: held }),
            None => Err(NoRequest::Gone),
        }
    }

    /// Resolves once the client has gone.
    pub async fn left(&mut self) {
        self.stream.left().await;
    }

    /// Writes an answer; the last one where `keep_alive` is false, or bytes behind its request had to be dropped.
    pub async fn answer(mut self, reply: &Reply, keep_alive: bool, within: Duration) -> Answered {
        let keep_alive = keep_alive && !self.stream.spilt();
        let bytes = http::answer(reply.status, &reply.headers, &reply.body, keep_alive);
        match self.stream.write(&bytes, within).await {
            Err(e) => {
                log::debug!("answer not written: {e}");
                Answered::Unwritten(Ended(()))
            }
            Ok(()) if keep_alive => Answered::Kept(self),
            Ok(()) => Answered::Last(self.shut()),
        }
    }

    /// Looks once more, without waiting, before a connection is closed that owes no answer: what has come by now is no
    /// crossing.
    pub async fn look(mut self, bodies: &Rc<Bodies>) -> Look {
        match self.request(bodies, Instant::now()).await {
            Ok(asked) => Look::Asked(self, asked),
            Err(NoRequest::Stalled) => Look::Nothing(self.shut()),
            Err(NoRequest::Gone) => Look::Gone(Ended(())),
            Err(unfit) => Look::Unfit(self, unfit),
        }
    }

    /// Closes it without a look: what is taken now could be cut off by the end of the process.
    pub fn too_late(self) -> Shut {
        self.shut()
    }

    fn shut(self) -> Shut {
        // One that is broken already shows that when it lingers.
        let _ = self.stream.shut();
        Shut(self.stream)
    }

    /// The client has gone, and nothing is owed.
    pub fn gone(self) -> Ended {
        Ended(())
    }
}

/// A connection that carries no more requests: its client has been told.
pub struct Shut(Stream);

impl Shut {
    /// Drops what still comes until the client closes too, for a while, or until its place is needed.
    pub async fn linger(self, needed: impl Future<Output = ()>) -> Ended {
        or(self.0.finish(LINGER), needed).await;
        Ended(())
    }
}

/// Proof that a connection was ended in one of the ways above.
pub struct Ended(());
