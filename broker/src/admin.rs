//! The admin endpoint of operators: HTTP/1.1, one request for each connection. A request is parsed to a [`Call`] and carried
//! out before its 2xx response. Requests below a subsystem's path are handled by it ([`subsystem`]).

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;

use crate::clock::Clock;
use crate::counters::{count, Counters};
use crate::discovery::{Discovery, RotationError};
use crate::http::{self, Ending, Fault, Head, Kind, Stream};
use crate::lifecycle::Lifecycle;
use crate::limits::ConnectionSlots;
use crate::rotation;
use crate::subsystem::{self, Subsystem};

/// Time-outs for reading a request and for writing its response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2000);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for which a connection is still read after its response: the response is in transit, and the caller may still be
/// sending.
const LINGER: Duration = Duration::from_millis(250);
/// Delay before the next attempt to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Disable a reading store, or enable it again.
    Store {
        /// Id of the store.
        id: String,
        /// Whether to disable it.
        out: bool,
    },
    /// Report whether this process is ready.
    Ready,
    /// Start to drain the broker.
    Drain,
    /// End the drain.
    Undrain,
}

/// An HTTP status and a text.
pub type Reply = (u16, String);

/// Parses a request.
///
/// # Errors
///
/// The response to an invalid request.
pub fn parse_call(head: &Head, body: &[u8]) -> Result<Call, Reply> {
    let id = std::str::from_utf8(body).unwrap_or_default().trim();
    let store = |out| ("PUT", Call::Store { id: id.to_owned(), out });
    let (method, call) = match head.path() {
        "/reading-stores/disable" => store(true),
        "/reading-stores/enable" => store(false),
        "/ready" => ("GET", Call::Ready),
        "/drain" => ("PUT", Call::Drain),
        "/undrain" => ("PUT", Call::Undrain),
        path => return Err((404, format!("no such path: {path}"))),
    };
    if head.method != method {
        return Err((405, format!("{} takes {method}", head.path())));
    }
    if matches!(call, Call::Store { .. }) {
        if !rotation::is_valid_id(id) {
            return Err((400, "the body is to be a store's id".to_owned()));
        }
    } else if !body.is_empty() {
        return Err((400, format!("{} takes no body", head.path())));
    }
    Ok(call)
}

/// Serves the admin endpoint.
pub struct AdminServer {
    lifecycle: Rc<Lifecycle>,
    discovery: Rc<Discovery>,
    subsystems: Rc<[Rc<dyn Subsystem>]>,
    clock: Clock,
    counters: Rc<Counters>,
    executor: Rc<LocalExecutor<'static>>,
    /// Connections without a complete request, oldest first.
    waiting: RefCell<VecDeque<Sender<()>>>,
}

impl AdminServer {
    /// Creates the admin endpoint of this broker.
    pub fn new(
        lifecycle: &Rc<Lifecycle>,
        discovery: &Rc<Discovery>,
        subsystems: Rc<[Rc<dyn Subsystem>]>,
        clock: Clock,
        counters: &Rc<Counters>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let (lifecycle, discovery) = (lifecycle.clone(), discovery.clone());
        let (counters, executor) = (counters.clone(), executor.clone());
        Rc::new(Self {
            lifecycle,
            discovery,
            subsystems,
            clock,
            counters,
            executor,
            waiting: RefCell::default(),
        })
    }

    /// Accepts and serves connections until the process ends; `max_connections` is the limit on open ones.
    pub async fn run(self: Rc<Self>, listener: Async<TcpListener>, max_connections: usize) {
        let slots = ConnectionSlots::new(max_connections);
        loop {
            let Some(slot) = slots.try_acquire() else {
                // Callers that hold connections without a request must not delay others.
                self.evict_oldest();
                let recheck = async {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                };
                or(slots.freed(), recheck).await;
                continue;
            };
            let socket = match listener.accept().await {
                Ok((socket, _)) => socket,
                Err(e) => {
                    log::warn!(error:% = e; "accepting an operator's connection failed");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            // Half of the slots are reserved for connections whose request was answered and that are closing.
            if slots.taken() > max_connections.div_ceil(2) {
                self.evict_oldest();
            }
            let this = self.clone();
            let (evict, evicted) = async_channel::bounded(1);
            self.waiting.borrow_mut().push_back(evict.clone());
            let serve = async move {
                let mut stream = Stream::new(socket);
                let read = async { Some(this.read(&mut stream).await) };
                let eviction = async {
                    let _ = evicted.recv().await;
                    None
                };
                let call = or(read, eviction).await;
                this.waiting.borrow_mut().retain(|other| !other.same_channel(&evict));
                if let Some(Some(call)) = call {
                    let subsystem::Reply { status, kind, body } = match call {
                        Ok((head, body)) => this.answer(&head, &body).await,
                        Err((status, text)) => subsystem::Reply::text(status, &text),
                    };
                    log::debug!(status; "admin request answered");
                    count(&this.counters.admin_calls);
                    let bytes =
                        http::encode_response(status, &format!("Content-Type: {kind}\r\n"), &body, false);
                    if stream.write(&bytes, RESPONSE_TIMEOUT).await.is_ok() {
                        stream.finish(LINGER).await;
                    }
                } else if call.is_none() {
                    stream.finish(LINGER).await;
                }
                drop(slot);
            };
            self.executor.spawn(serve).detach();
        }
    }

    /// Evicts the oldest connection without a complete request.
    fn evict_oldest(&self) {
        if let Some(oldest) = self.waiting.borrow_mut().pop_front() {
            let _ = oldest.try_send(());
        }
    }

    /// Reads a request; `None` if the caller closed the connection before it was complete.
    async fn read(&self, stream: &mut Stream) -> Option<Result<(Head, Vec<u8>), Reply>> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let remaining = || deadline.saturating_duration_since(Instant::now());
        let request = async {
            let head = stream.head(Kind::Request, remaining()).await?;
            let body = stream.body(head.framing, remaining()).await?;
            Ok((head, body))
        };
        let fault = match request.await {
            Ok(request) => return Some(Ok(request)),
            Err(Ending::Closed | Ending::Cut) => return None,
            Err(Ending::Stalled) => Fault::Stalled,
            Err(Ending::Fault(fault)) => fault,
        };
        Some(Err((fault.status(), fault.to_string())))
    }

    /// Handles a request, or passes it to the subsystem whose path it names.
    async fn answer(&self, head: &Head, body: &[u8]) -> subsystem::Reply {
        if let Some(subsystem) = subsystem::find(&self.subsystems, head.path()) {
            return subsystem.handle_request(head, body).await;
        }
        let (status, text) = match parse_call(head, body) {
            Ok(call) => self.carry_out(call).await,
            Err(response) => response,
        };
        subsystem::Reply::text(status, &text)
    }

    async fn carry_out(&self, call: Call) -> Reply {
        let ok = |text: &str| (200, text.to_owned());
        match call {
            Call::Ready if self.lifecycle.is_ready() => ok("ready"),
            Call::Ready => (503, format!("not ready; {}", self.lifecycle.phase())),
            Call::Drain => {
                self.lifecycle.drain();
                ok("draining")
            }
            Call::Store { id, out } => match self.discovery.set_disabled(&id, out, self.clock.now()).await {
                Ok(()) => ok(if out { "out" } else { "back" }),
                Err(RotationError::Unknown) => (404, format!("no store {id}")),
                Err(RotationError::NoList) => (503, "no list of stores yet".to_owned()),
                Err(RotationError::NotSaved(e)) => (500, format!("not done: {e}")),
            },
            Call::Undrain if self.lifecycle.undrain() => ok("serving"),
            Call::Undrain => (409, "about to end".to_owned()),
        }
    }
}
