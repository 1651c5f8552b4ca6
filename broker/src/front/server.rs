//! Accepts clients and serves them. A connection is accepted once a slot is free ([`ConnectionSlots`]); until then it waits in
//! the listener's backlog, and idle ones are evicted ([`ConnectionLimit`]). The states of a connection are in
//! [`client`](super::client).

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;

use super::client::{Answered, BodyMemory, Client, Closed, FinalRead, HalfClosed, NoRequest, Request};
use super::connection_limit::ConnectionLimit;
use super::{Accepted, Reply, Service};
use crate::config::ClientTimeouts;
use crate::counters::{count, Counters};
use crate::handover::{OtherProcess, Presence};
use crate::http::Fault;
use crate::lifecycle::Lifecycle;
use crate::limits::{ClientBudget, ConnectionSlot, ConnectionSlots};

/// Delay after a failed accept, such as for a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which connections to evict are looked for while no slot is free.
const SLOT_RECHECK_DELAY: Duration = Duration::from_millis(5);
/// Delay after each invalid request of a client, and the number of them after which its connection is closed.
const BAD_REQUEST_DELAY: Duration = Duration::from_millis(50);
const BAD_REQUESTS_MAX: u32 = 8;

/// Serves connections from a listener until the broker shuts down.
pub struct Server<S> {
    service: S,
    lifecycle: Rc<Lifecycle>,
    presence: Rc<Presence>,
    counters: Rc<Counters>,
    executor: Rc<LocalExecutor<'static>>,
    client_timeouts: ClientTimeouts,
    clients: ClientBudget,
    slots: Rc<ConnectionSlots>,
    /// Number of requests in progress.
    open: Cell<usize>,
    bodies: Rc<BodyMemory>,
    connection_limit: ConnectionLimit,
}

/// The next input of a connection.
enum Next {
    /// A request, and whether it is the last.
    Request(Client, Request, bool),
    /// An invalid request, or one over the limits: the reply, which is the last.
    Invalid(Client, Reply),
    /// The connection closes without a request.
    Ended(HalfClosed),
    /// The client disconnected.
    Disconnected(Closed),
}

/// Why the server stops waiting for a request.
enum Stop {
    /// It timed out, or the connection was evicted.
    Ended,
    /// The broker is draining or shutting down.
    ShuttingDown,
}

impl<S: Service + 'static> Server<S> {
    /// Creates the server of a front; `bodies` is the limit on memory for long request bodies, in bytes.
    pub fn new(
        service: S,
        (lifecycle, presence): (&Rc<Lifecycle>, &Rc<Presence>),
        counters: &Rc<Counters>,
        executor: &Rc<LocalExecutor<'static>>,
        client_timeouts: ClientTimeouts,
        clients: ClientBudget,
        bodies: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            service,
            lifecycle: lifecycle.clone(),
            presence: presence.clone(),
            counters: counters.clone(),
            executor: executor.clone(),
            client_timeouts,
            clients,
            slots: ConnectionSlots::new(clients.hard_limit()),
            open: Cell::new(0),
            bodies: BodyMemory::new(bodies, presence),
            connection_limit: ConnectionLimit::default(),
        })
    }

    /// Accepts and serves connections until the broker shuts down. If the listener belongs to this process alone, connections
    /// in its backlog at shutdown are accepted too, since closing the listener would reset them.
    pub async fn run(self: Rc<Self>, listener: Async<TcpListener>, is_own_listener: bool) {
        // Connections on a listener shared with a serving process are left to that process until this one can serve.
        if self.presence.other() != OtherProcess::None {
            self.lifecycle.wait_until_able().await;
        }
        loop {
            let slot = async { Some(self.acquire_slot().await) };
            let shutdown = async {
                match is_own_listener {
                    true => self.lifecycle.slot_deadline().await,
                    false => self.lifecycle.accept_deadline().await,
                }
                None
            };
            let Some(slot) = or(shutdown, slot).await else { return };
            let accept = async { Some(listener.accept().await) };
            let closed = async {
                self.lifecycle.accept_deadline().await;
                None
            };
            let accepted = match or(closed, accept).await {
                None if is_own_listener => {
                    listener.get_ref().accept().ok().map(|(socket, at)| Async::new(socket).map(|s| (s, at)))
                }
                accepted => accepted,
            };
            match accepted {
                None => return,
                Some(Ok((socket, _))) => self.clone().spawn_connection(socket, slot),
                Some(Err(e)) => {
                    log::warn!(error:% = e; "accepting a client failed");
                    // Descriptors ran out below the configured limits, so an idle connection is evicted here too.
                    self.connection_limit.evict_idle();
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits for a free slot. Idle connections above the soft limit are evicted as soon as they may be: of many connections
    /// that arrive at once, none may be evicted yet. Closing connections may linger for a short time before their eviction.
    async fn acquire_slot(&self) -> ConnectionSlot {
        loop {
            if let Some(slot) = self.slots.try_acquire() {
                return slot;
            }
            self.connection_limit.evict_closing();
            let excess = self
                .slots
                .taken()
                .saturating_sub(self.clients.soft_limit + self.connection_limit.closing_count());
            for _ in 0..excess {
                self.connection_limit.evict_idle();
            }
            let recheck = async {
                Timer::after(SLOT_RECHECK_DELAY).await;
            };
            or(self.slots.freed(), recheck).await;
        }
    }

    fn spawn_connection(self: Rc<Self>, socket: Async<std::net::TcpStream>, slot: ConnectionSlot) {
        count(&self.counters.connections);
        if self.slots.taken() > self.clients.soft_limit {
            self.connection_limit.evict_idle();
        }
        let (this, connection) = (self.clone(), self.lifecycle.track_connection());
        let task = async move {
            let Closed { .. } = this.serve(Client::new(socket)).await;
            drop((slot, connection));
        };
        self.executor.spawn(task).detach();
    }

    /// Reads the next request of a connection. `accepted` is the time of acceptance if it is the first one.
    async fn next(&self, mut client: Client, accepted: Option<Instant>) -> Next {
        if self.lifecycle.is_too_late() {
            return Next::Ended(client.close_unread());
        }
        let eviction = accepted
            .map_or_else(|| self.connection_limit.track_reused(), |_| self.connection_limit.track_new());
        let first_by = accepted.map(|at| at + self.client_timeouts.read);
        if !client.has_partial_request() {
            let within =
                first_by.map_or(self.client_timeouts.idle, |by| by.saturating_duration_since(Instant::now()));
            let first = async { client.wait_for_first_byte(within).await.map_err(Some) };
            let ended = async {
                or(eviction.requested(), self.lifecycle.idle_deadline(accepted)).await;
                Err(None)
            };
            match or(first, ended).await {
                Ok(()) => {}
                Err(Some(NoRequest::Disconnected)) => return Next::Disconnected(client.into_closed()),
                Err(_) => return self.on_stop(client, Stop::Ended).await,
            }
        }
        // A reused connection may complete a request that has begun: only new ones are evicted while they send.
        let eviction = accepted.is_some().then_some(eviction);
        let by = first_by.unwrap_or_else(|| Instant::now() + self.client_timeouts.read);
        let request = async { Ok(client.request(&self.bodies, by).await) };
        let evicted = async {
            match &eviction {
                Some(eviction) => eviction.requested().await,
                None => futures_lite::future::pending().await,
            }
            Err(Stop::Ended)
        };
        let shutdown_deadline = async {
            self.lifecycle.read_deadline(accepted).await;
            Err(Stop::ShuttingDown)
        };
        match or(request, or(evicted, shutdown_deadline)).await {
            Ok(request) => self.on_request(client, request, false),
            Err(stop) => self.on_stop(client, stop).await,
        }
    }

    /// Checks a connection a last time for a request before it is closed.
    async fn on_stop(&self, mut client: Client, stop: Stop) -> Next {
        if self.lifecycle.is_too_late() {
            return Next::Ended(client.close_unread());
        }
        match stop {
            Stop::Ended => match client.final_read(&self.bodies).await {
                FinalRead::Request(client, request) => self.on_request(client, Ok(request), true),
                FinalRead::Invalid(client, invalid) => self.on_request(client, Err(invalid), true),
                FinalRead::Nothing(half_closed) => Next::Ended(half_closed),
                FinalRead::Disconnected(ended) => Next::Disconnected(ended),
            },
            // A part of a request was received: the client gets a time-out reply if the rest is missing.
            Stop::ShuttingDown => {
                let request = client.request(&self.bodies, Instant::now()).await;
                self.on_request(client, request, true)
            }
        }
    }

    fn on_request(&self, client: Client, request: Result<Request, NoRequest>, last: bool) -> Next {
        let fault = match request {
            Ok(_) if self.open.get() >= self.clients.soft_limit => NoRequest::NoCapacity,
            Ok(request) => {
                count(&self.counters.requests);
                return Next::Request(client, request, last);
            }
            Err(fault) => fault,
        };
        let unreadable = |fault| {
            count(&self.counters.bad_requests);
            self.service.unreadable(fault)
        };
        match fault {
            NoRequest::Disconnected => Next::Disconnected(client.into_closed()),
            NoRequest::NoCapacity => {
                count(&self.counters.connections_shed);
                Next::Invalid(client, self.service.overloaded())
            }
            NoRequest::Stalled => Next::Invalid(client, unreadable(Fault::Stalled)),
            NoRequest::Fault(fault) => Next::Invalid(client, unreadable(fault)),
        }
    }

    async fn serve(&self, mut client: Client) -> Closed {
        let (mut accepted, mut bad_request_count) = (Some(Instant::now()), 0);
        loop {
            let (mut answered_client, reply, keep_alive) = match self.next(client, accepted.take()).await {
                Next::Request(client, request, last) => match self.answer(client, request).await {
                    Ok((client, reply, keep_alive)) => (client, reply, keep_alive && !last),
                    Err(ended) => return ended,
                },
                Next::Invalid(client, reply) => (client, reply, false),
                Next::Ended(half_closed) => return self.linger(half_closed).await,
                Next::Disconnected(ended) => return ended,
            };
            // Delays clients that repeat an invalid request immediately: they would otherwise monopolize the thread.
            let invalid = (400..500).contains(&reply.status) && reply.status != 429;
            bad_request_count += u32::from(invalid);
            let keep_alive =
                keep_alive && !self.lifecycle.closes_connections() && bad_request_count < BAD_REQUESTS_MAX;
            answered_client =
                match answered_client.answer(&reply, keep_alive, self.client_timeouts.write).await {
                    Answered::Reusable(client) => client,
                    Answered::Last(half_closed) => return self.linger(half_closed).await,
                    Answered::Unwritten(ended) => {
                        count(&self.counters.unwritten);
                        return ended;
                    }
                };
            if invalid {
                Timer::after(BAD_REQUEST_DELAY).await;
            }
            client = answered_client;
        }
    }

    async fn linger(&self, half_closed: HalfClosed) -> Closed {
        let eviction = self.connection_limit.track_closing();
        half_closed.linger(eviction.requested()).await
    }

    /// Waits for the answer to a request, unless its client disconnects first; dropping the ticket then notifies the core.
    /// Also returns whether the connection may carry another request.
    async fn answer(&self, mut client: Client, request: Request) -> Result<(Client, Reply, bool), Closed> {
        let Request { head, body, .. } = request;
        let (ticket, replier) = match self.service.accept(&head, body) {
            Accepted::Reply(reply) => {
                if (400..500).contains(&reply.status) && reply.status != 429 {
                    count(&self.counters.bad_requests);
                }
                return Ok((client, reply, head.keep_alive));
            }
            Accepted::Query(ticket, replier) => (ticket, replier),
        };
        self.open.set(self.open.get() + 1);
        let answer = async { Some(ticket.answer().await) };
        let disconnected = async {
            client.disconnected().await;
            None
        };
        let answer = or(answer, disconnected).await;
        self.open.set(self.open.get() - 1);
        drop(ticket);
        match answer {
            Some(answer) => Ok((client, replier(answer), head.keep_alive)),
            None => Err(client.into_closed()),
        }
    }
}
