//! The client side: what all fronts share. A front reads requests, makes [`crate::core::Question`]s of
//! them, waits for their answers at the exchange and writes those in its own form.

pub mod features;
pub mod platform;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};

use crate::config::Waits;
use crate::core::Final;
use crate::counters::{count, Counters};
use crate::exchange::Ticket;
use crate::http::{self, Ending, Head, Kind, Stream};

/// After a failed accept (no descriptor is left, say) the next is tried so much later.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Whether requests are still taken; shared by all fronts.
#[derive(Debug)]
pub struct Gate {
    draining: Cell<bool>,
    close: RefCell<Option<Sender<()>>>,
    closed: Receiver<()>,
    connections: Cell<usize>,
}

impl Gate {
    /// An open gate.
    pub fn new() -> Rc<Self> {
        let (close, closed) = async_channel::bounded(1);
        let close = RefCell::new(Some(close));
        Rc::new(Self { draining: Cell::new(false), close, closed, connections: Cell::new(0) })
    }

    /// From now on every answer ends its connection, and the broker says that it is not ready.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Whether it drains.
    pub fn draining(&self) -> bool {
        self.draining.get()
    }

    /// Takes no more connections and closes those between requests.
    pub fn close(&self) {
        self.close.borrow_mut().take();
    }

    /// Resolves once it is closed.
    pub async fn closed(&self) {
        let _ = self.closed.recv().await;
    }

    /// Client connections that are open.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }
}

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

/// Serves connections from a listener until the gate closes.
pub struct Server<S> {
    service: S,
    gate: Rc<Gate>,
    counters: Rc<Counters>,
    executor: Rc<LocalExecutor<'static>>,
    waits: Waits,
    most: usize,
}

impl<S: Service + 'static> Server<S> {
    /// A server for a front that may have `most` connections open.
    pub fn new(
        service: S,
        gate: &Rc<Gate>,
        counters: &Rc<Counters>,
        executor: &Rc<LocalExecutor<'static>>,
        waits: Waits,
        most: usize,
    ) -> Rc<Self> {
        let (gate, counters, executor) = (gate.clone(), counters.clone(), executor.clone());
        Rc::new(Self { service, gate, counters, executor, waits, most })
    }

    /// Accepts and serves.
    pub async fn run(self: Rc<Self>, listener: Async<TcpListener>) {
        let open = Rc::new(Cell::new(0usize));
        // Those between requests, the longest so first: they make room when too many are open.
        let idle: Rc<RefCell<VecDeque<Sender<()>>>> = Rc::default();
        loop {
            let accept = async { Some(listener.accept().await) };
            let closed = async {
                self.gate.closed().await;
                None
            };
            let socket = match futures_lite::future::or(accept, closed).await {
                None => return,
                Some(Ok((socket, _))) => socket,
                Some(Err(e)) => {
                    log::warn!("accept: {e}");
                    Timer::after(ACCEPT_AGAIN).await;
                    continue;
                }
            };
            count(&self.counters.connections);
            let shed = open.get() >= self.most && !Self::make_room(&idle);
            if open.get() >= self.most + self.most / 8 {
                count(&self.counters.connections_shed);
                continue;
            }
            let (this, open, idle) = (self.clone(), open.clone(), idle.clone());
            let task = async move {
                open.set(open.get() + 1);
                this.gate.connections.set(this.gate.connections.get() + 1);
                this.serve(Stream::new(socket), shed, &idle).await;
                open.set(open.get() - 1);
                this.gate.connections.set(this.gate.connections.get() - 1);
            };
            self.executor.spawn(task).detach();
        }
    }

    fn make_room(idle: &RefCell<VecDeque<Sender<()>>>) -> bool {
        let longest = idle.borrow_mut().pop_front();
        longest.is_some_and(|wake| wake.try_send(()).is_ok())
    }

    /// Waits for the first byte of a request; false if the connection is to be closed instead.
    async fn first(&self, stream: &mut Stream, idle: &RefCell<VecDeque<Sender<()>>>) -> bool {
        if stream.begun() {
            return true;
        }
        let (wake, woken) = async_channel::bounded(1);
        idle.borrow_mut().push_back(wake.clone());
        let first = async { stream.first(self.waits.idle).await.is_ok() };
        let out = async {
            let _ = woken.recv().await;
            false
        };
        let closed = async {
            self.gate.closed().await;
            false
        };
        let begun = either(first, either(out, closed)).await;
        idle.borrow_mut().retain(|other| !other.same_channel(&wake));
        begun
    }

    async fn serve(&self, mut stream: Stream, shed: bool, idle: &RefCell<VecDeque<Sender<()>>>) {
        while self.first(&mut stream, idle).await {
            let (reply, keep_alive) = match self.request(&mut stream, shed).await {
                Ok(served) => served,
                Err(Some(fault)) => {
                    count(&self.counters.bad_requests);
                    (self.service.unreadable(fault), false)
                }
                Err(None) => return,
            };
            let keep_alive = keep_alive && !self.gate.draining() && !shed;
            let bytes = http::answer(reply.status, &reply.headers, &reply.body, keep_alive);
            if let Err(e) = stream.write(&bytes, self.waits.write).await {
                count(&self.counters.unwritten);
                log::debug!("answer not written: {e}");
                return;
            }
            if !keep_alive {
                stream.finish().await;
                return;
            }
        }
    }

    /// Reads a request and waits for its answer. `Err` ends the connection, with a reply if there is
    /// a fault to tell of.
    async fn request(&self, stream: &mut Stream, shed: bool) -> Result<(Reply, bool), Option<http::Fault>> {
        let fault = |ending| match ending {
            Ending::Fault(fault) => Some(fault),
            Ending::Stalled => Some(http::Fault::Stalled),
            Ending::Closed | Ending::Cut => None,
        };
        let head = stream.head(Kind::Request, self.waits.read).await.map_err(fault)?;
        if head.expects && head.framing != http::Framing::Length(0) {
            let _ = stream.write(b"HTTP/1.1 100 Continue\r\n\r\n", self.waits.write).await;
        }
        let body = stream.body(head.framing, self.waits.read).await.map_err(fault)?;
        count(&self.counters.requests);
        if shed {
            count(&self.counters.connections_shed);
            return Ok((self.service.shed(), false));
        }
        let (ticket, replier) = match self.service.accept(&head, body) {
            Accepted::Reply(reply) => {
                if (400..500).contains(&reply.status) && reply.status != 429 {
                    count(&self.counters.bad_requests);
                }
                return Ok((reply, head.keep_alive));
            }
            Accepted::Query(ticket, replier) => (ticket, replier),
        };
        let answer = async { Some(ticket.answer().await) };
        let left = async {
            stream.left().await;
            None
        };
        match either(answer, left).await {
            Some(answer) => Ok((replier(answer), head.keep_alive)),
            // The client has closed: nobody waits, and dropping the ticket tells the core.
            None => Err(None),
        }
    }
}

async fn either<T>(one: impl Future<Output = T>, other: impl Future<Output = T>) -> T {
    futures_lite::future::or(one, other).await
}
