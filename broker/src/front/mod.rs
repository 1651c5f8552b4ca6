//! The client side: what all fronts share. A front reads requests, makes [`crate::core::Question`]s of
//! them, waits for their answers at the exchange and writes those in its own form.

pub mod features;
pub mod key;
pub mod platform;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};

use crate::config::Waits;
use crate::core::Final;
use crate::counters::{count, Counters};
use crate::exchange::Ticket;
use crate::handover::{Other, Presence};
use crate::http::{self, Ending, Head, Kind, Stream};
use crate::lifecycle::Lifecycle;

/// After a failed accept (no descriptor is left, say) the next is tried so much later.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// An answer, or what ends the connection instead of one.
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Whole header lines.
    pub headers: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A short text.
    pub fn text(status: u16, text: &str) -> Self {
        let headers = "Content-Type: text/plain; charset=utf-8\r\n".to_owned();
        Self { status, headers, body: format!("{text}\n").into_bytes() }
    }
}

/// What a front does with a request.
pub trait Service {
    /// Reads a request; a query that it asks for is taken in before this returns.
    fn accept(&self, head: &Head, body: Vec<u8>) -> Accepted;
    /// The reply to a request that could not be read.
    fn unreadable(&self, fault: http::Fault) -> Reply;
    /// The refusal of a request on a connection too many.
    fn shed(&self) -> Reply;
}

/// Makes the reply of a query's final answer.
pub type Replier = Box<dyn FnOnce(Final) -> Reply>;

/// What became of a request.
pub enum Accepted {
    /// It was a query, and an answer is owed.
    Query(Ticket, Replier),
    /// It is answered at once.
    Reply(Reply),
}

/// A connection that has ended is heard for so long: the answer is on its way, and the client may be sending still.
const LINGER: Duration = Duration::from_millis(500);
/// A client that sends bad requests is read again so much later, and closed after so many.
const BAD_PAUSE: Duration = Duration::from_millis(50);
const BAD_MOST: u32 = 8;
/// A request this long is like any other; the memory for longer ones is bounded.
const USUAL_BODY: usize = 4096;

/// A connection is given so long for its first request before it makes room ahead of one that has asked.
const JUST_CONNECTED: Duration = Duration::from_millis(50);

/// Connections on which no request is open, the one that has waited longest first: they make room when too
/// many are open, those that never asked before those that did.
#[derive(Debug, Default)]
struct Spare {
    fresh: VecDeque<(Instant, Sender<()>)>,
    kept: VecDeque<Sender<()>>,
}

impl Spare {
    fn make_room(&mut self) -> bool {
        // Guards who has just connected, in a crowd that asks and stays: its request may be here, and not read yet.
        let waited = self.fresh.front().is_some_and(|(since, _)| since.elapsed() >= JUST_CONNECTED);
        let longest =
            if waited { self.fresh.pop_front().map(|(_, wake)| wake) } else { self.kept.pop_front() };
        longest.is_some_and(|wake| wake.try_send(()).is_ok())
    }

    fn forget(&mut self, wake: &Sender<()>) {
        self.fresh.retain(|(_, other)| !other.same_channel(wake));
        self.kept.retain(|other| !other.same_channel(wake));
    }
}

/// Memory for a long body; given back when dropped.
struct Held<'a> {
    all: &'a Cell<usize>,
    size: usize,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.size);
    }
}

/// A request that has come whole.
struct Whole<'a> {
    head: Head,
    body: Vec<u8>,
    _held: Held<'a>,
}

/// Why there is no request.
enum NoRequest {
    /// The connection is to be closed.
    Over,
    /// It can't be read.
    Fault(http::Fault),
    /// There is no room for it now.
    NoRoom,
}

impl From<Ending> for NoRequest {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Fault(fault) => Self::Fault(fault),
            Ending::Stalled => Self::Fault(http::Fault::Stalled),
            Ending::Closed | Ending::Cut => Self::Over,
        }
    }
}

/// Serves connections from a listener until the broker leaves.
pub struct Server<S> {
    service: S,
    lifecycle: Rc<Lifecycle>,
    presence: Rc<Presence>,
    counters: Rc<Counters>,
    executor: Rc<LocalExecutor<'static>>,
    waits: Waits,
    most: usize,
    bodies: usize,
    held: Cell<usize>,
    spare: RefCell<Spare>,
}

impl<S: Service + 'static> Server<S> {
    /// A server for a front that may have `most` connections open, and `bodies` bytes of long bodies.
    pub fn new(
        service: S,
        (lifecycle, presence): (&Rc<Lifecycle>, &Rc<Presence>),
        counters: &Rc<Counters>,
        executor: &Rc<LocalExecutor<'static>>,
        waits: Waits,
        most: usize,
        bodies: usize,
    ) -> Rc<Self> {
        let (lifecycle, presence) = (lifecycle.clone(), presence.clone());
        let (counters, executor) = (counters.clone(), executor.clone());
        let (held, spare) = (Cell::new(0), RefCell::default());
        Rc::new(Self { service, lifecycle, presence, counters, executor, waits, most, bodies, held, spare })
    }

    /// Accepts and serves. Where the listener is this process's own, what waits there when the broker leaves is
    /// taken too: it would be turned back when the listener closes.
    pub async fn run(self: Rc<Self>, listener: Async<TcpListener>, own: bool) {
        // Whoever waits where another process serves as well is left to it until this one can.
        if self.presence.other() != Other::None {
            self.lifecycle.able().await;
        }
        let open = Rc::new(Cell::new(0usize));
        loop {
            let accept = async { Some(listener.accept().await) };
            let closed = async {
                self.lifecycle.accepting_over().await;
                None
            };
            let taken = match futures_lite::future::or(closed, accept).await {
                None if own => {
                    listener.get_ref().accept().ok().map(|(socket, at)| Async::new(socket).map(|s| (s, at)))
                }
                taken => taken,
            };
            let socket = match taken {
                None => return,
                Some(Ok((socket, _))) => socket,
                Some(Err(e)) => {
                    log::warn!("accept: {e}");
                    Timer::after(ACCEPT_AGAIN).await;
                    continue;
                }
            };
            count(&self.counters.connections);
            let shed = open.get() >= self.most && !self.spare.borrow_mut().make_room();
            if open.get() >= self.most + self.most / 4 {
                count(&self.counters.connections_shed);
                continue;
            }
            // Counted before its task runs: many may be accepted in one go.
            open.set(open.get() + 1);
            let (this, open, connection) = (self.clone(), open.clone(), self.lifecycle.connection());
            let task = async move {
                this.serve(Stream::new(socket), shed).await;
                open.set(open.get() - 1);
                drop(connection);
            };
            self.executor.spawn(task).detach();
        }
    }

    /// Reads the next request of a connection; the first one by `first_by`, however little of it comes.
    async fn next(&self, stream: &mut Stream, first_by: Option<Instant>) -> Result<Whole<'_>, NoRequest> {
        let (wake, woken) = async_channel::bounded(1);
        match first_by {
            Some(_) => self.spare.borrow_mut().fresh.push_back((Instant::now(), wake.clone())),
            None => self.spare.borrow_mut().kept.push_back(wake.clone()),
        }
        let out = async {
            let _ = woken.recv().await;
        };
        let request = self.await_next(stream, first_by, &wake);
        let crowded = async {
            out.await;
            Err(NoRequest::Over)
        };
        let accepted = first_by.and_then(|by| by.checked_sub(self.waits.read));
        let late = async {
            self.lifecycle.reading_over(accepted).await;
            Err(NoRequest::Fault(http::Fault::Stalled))
        };
        let request = either(request, either(crowded, late)).await;
        self.spare.borrow_mut().forget(&wake);
        request
    }

    async fn await_next(
        &self,
        stream: &mut Stream,
        first_by: Option<Instant>,
        wake: &Sender<()>,
    ) -> Result<Whole<'_>, NoRequest> {
        if !stream.begun() {
            let accepted = first_by.and_then(|by| by.checked_sub(self.waits.read));
            let within = first_by.map_or(self.waits.idle, |by| by.saturating_duration_since(Instant::now()));
            let first = async { stream.first(within).await.is_ok() };
            let closed = async {
                self.lifecycle.idle_over(accepted).await;
                false
            };
            if !either(first, closed).await {
                return Err(NoRequest::Over);
            }
        }
        if first_by.is_none() {
            // A request has begun on a connection that has been of use: it is let finish.
            self.spare.borrow_mut().forget(wake);
        }
        let by = first_by.unwrap_or_else(|| Instant::now() + self.waits.read);
        let left = || by.saturating_duration_since(Instant::now());
        let head = stream.head(Kind::Request, left()).await?;
        let size = match head.framing {
            http::Framing::Length(length) if length <= USUAL_BODY => 0,
            http::Framing::Length(length) => length,
            http::Framing::Chunked | http::Framing::Close => http::BODY_MAX,
        };
        if self.held.get() + size > self.bodies / self.presence.processes() {
            return Err(NoRequest::NoRoom);
        }
        self.held.set(self.held.get() + size);
        let held = Held { all: &self.held, size };
        if head.expects && head.framing != http::Framing::Length(0) {
            let _ = stream.write(b"HTTP/1.1 100 Continue\r\n\r\n", left()).await;
        }
        let body = stream.body(head.framing, left()).await?;
        count(&self.counters.requests);
        Ok(Whole { head, body, _held: held })
    }

    async fn serve(&self, mut stream: Stream, shed: bool) {
        let (mut first_by, mut bad) = (Some(Instant::now() + self.waits.read), 0);
        loop {
            let request = match self.next(&mut stream, first_by.take()).await {
                Ok(_) if shed => Err(NoRequest::NoRoom),
                request => request,
            };
            let (reply, keep_alive) = match request {
                Err(NoRequest::NoRoom) => {
                    count(&self.counters.connections_shed);
                    (self.service.shed(), false)
                }
                Ok(whole) => match self.answer(&mut stream, whole).await {
                    Some(answer) => answer,
                    // The client has closed: nobody waits, and dropping the ticket tells the core.
                    None => return,
                },
                Err(NoRequest::Fault(fault)) => {
                    count(&self.counters.bad_requests);
                    (self.service.unreadable(fault), false)
                }
                Err(NoRequest::Over) => return,
            };
            // Guards against a client that sends the same again the moment it is turned away: it would
            // have the thread to itself.
            let unfit = (400..500).contains(&reply.status) && reply.status != 429;
            bad += u32::from(unfit);
            let keep_alive = keep_alive && !stream.spilt() && !self.lifecycle.closing() && bad < BAD_MOST;
            let bytes = http::answer(reply.status, &reply.headers, &reply.body, keep_alive);
            if let Err(e) = stream.write(&bytes, self.waits.write).await {
                count(&self.counters.unwritten);
                log::debug!("answer not written: {e}");
                return;
            }
            if !keep_alive {
                stream.finish(LINGER).await;
                return;
            }
            if unfit {
                Timer::after(BAD_PAUSE).await;
            }
        }
    }

    /// Waits for a request's answer; `None` if its client has left. Also tells whether the connection may
    /// carry another.
    async fn answer(&self, stream: &mut Stream, request: Whole<'_>) -> Option<(Reply, bool)> {
        let Whole { head, body, _held } = request;
        let (ticket, replier) = match self.service.accept(&head, body) {
            Accepted::Reply(reply) => {
                if (400..500).contains(&reply.status) && reply.status != 429 {
                    count(&self.counters.bad_requests);
                }
                return Some((reply, head.keep_alive));
            }
            Accepted::Query(ticket, replier) => (ticket, replier),
        };
        let answer = async { Some(ticket.answer().await) };
        let left = async {
            stream.left().await;
            None
        };
        Some((replier(either(answer, left).await?), head.keep_alive))
    }
}

async fn either<T>(one: impl Future<Output = T>, other: impl Future<Output = T>) -> T {
    futures_lite::future::or(one, other).await
}
