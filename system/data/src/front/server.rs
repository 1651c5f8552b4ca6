//! Accepts clients' connections, serves them, and bounds what they use.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::{Limits, ProcessLimits};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::http::{header, HeaderValue, Request, Response};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use tokio::net::{TcpListener, TcpStream};

use super::budget::RequestBudget;
use super::client_stream::ClientStream;
use super::connection_table::{ConnectionEntry, ConnectionTable, ConnectionTimeouts, Phase};
use super::service;
use crate::{CloseConnection, ReplyBody, Shared};

/// File descriptors reserved for the platform and other files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// One in so many descriptors is reserved for internal messages and readiness.
const INTERNAL_DESCRIPTOR_DIVISOR: u64 = 8;
/// The approximate memory of an idle client connection.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// The approximate memory of a request in flight, without its body.
const REQUEST_BYTES: u64 = 32 * 1024;
/// Connections, requests and bodies may each use one part in so many of the memory.
const MEMORY_DIVISOR: u64 = 6;
const MEBIBYTE: u64 = 1024 * 1024;
/// The least size of the buffer for a head.
const MIN_HEAD_BYTES: usize = 16 * 1024;
/// The most header fields in a head.
const MAX_FIELDS: usize = 256;
/// The time-outs where the configuration sets none.
const DEFAULT_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Duration::from_secs(60), head: Duration::from_secs(10) };
/// An idle connection is closed this much later than the configuration promises.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// The backoff after an error of `accept`, for instance for want of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The limits of the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontLimits {
    /// Connections of clients.
    pub connections: usize,
    /// Connections to stores.
    pub store_connections: usize,
    /// Requests in flight.
    pub requests: usize,
    /// Bytes of their bodies.
    pub body_bytes: usize,
}

/// Derives the limits of the front from those of the process.
#[must_use]
pub fn front_limits(limits: &ProcessLimits) -> FrontLimits {
    let descriptors = limits.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let descriptors = (descriptors - descriptors / INTERNAL_DESCRIPTOR_DIVISOR) / 2;
    let memory = limits.memory_mb * MEBIBYTE / MEMORY_DIVISOR;
    let bounded = |count: u64| usize::try_from(count.max(1)).unwrap_or(usize::MAX);
    FrontLimits {
        connections: bounded(descriptors.min(memory / CONNECTION_BYTES)),
        store_connections: bounded(descriptors),
        requests: bounded(memory / REQUEST_BYTES),
        body_bytes: bounded(memory),
    }
}

/// The state of the front.
pub struct Front {
    /// Connections of clients.
    pub connections: Rc<ConnectionTable>,
    /// The budget of requests.
    pub budget: Rc<RequestBudget>,
}

impl Front {
    /// A front without connections.
    #[must_use]
    pub fn new(limits: FrontLimits) -> Rc<Self> {
        let connections = ConnectionTable::new(limits.connections);
        Rc::new(Self { connections, budget: RequestBudget::new(limits.requests, limits.body_bytes) })
    }

    /// Closes connections whose time-out has expired.
    pub fn close_expired(&self, shared: &Shared) {
        self.connections.close_expired(shared.now(), timeouts(shared));
    }
}

/// Accepts connections until the task is aborted.
pub async fn serve(shared: Rc<Shared>, front: Rc<Front>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept(&shared, &front, stream),
            Err(error) => {
                log::warn!("accepting a client connection failed: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

fn accept(shared: &Rc<Shared>, front: &Rc<Front>, stream: TcpStream) {
    let Some(entry) = front.connections.insert(shared.now()) else { return };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let key = entry.key();
    let serving = serve_connection(Rc::clone(shared), Rc::clone(&front.budget), entry, stream);
    let task = tokio::task::spawn_local(serving);
    ConnectionEntry::set_task(&front.connections, key, task.abort_handle());
}

async fn serve_connection(
    shared: Rc<Shared>,
    budget: Rc<RequestBudget>,
    entry: ConnectionEntry,
    stream: TcpStream,
) {
    let socket = ClientStream::new(stream, Rc::clone(&entry.phase), Rc::clone(&shared));
    let max_head_bytes = max_head_bytes(&shared);
    let phase = Rc::clone(&entry.phase);
    let service = service_fn(move |request: Request<Incoming>| {
        let idle_on_drop = IdleOnDrop { phase: Rc::clone(&phase), shared: Rc::clone(&shared) };
        phase.set(Phase::InRequest);
        handle(Rc::clone(&shared), Rc::clone(&budget), request, idle_on_drop)
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(max_head_bytes).max_headers(MAX_FIELDS).auto_date_header(false);
    if let Err(error) = builder.serve_connection(socket, service).await {
        log::debug!("client connection failed: {error}");
    }
    drop(entry);
}

async fn handle(
    shared: Rc<Shared>,
    budget: Rc<RequestBudget>,
    request: Request<Incoming>,
    idle_on_drop: IdleOnDrop,
) -> Result<Response<TrackedBody>, CloseConnection> {
    let mut reply = service::handle(Rc::clone(&shared), budget, request).await?;
    if shared.is_shutting_down() {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(reply.map(|body| TrackedBody { body, _idle_on_drop: idle_on_drop }))
}

fn limits(shared: &Shared) -> Option<Limits> {
    shared.configuration().and_then(|configuration| configuration.limits.clone())
}

fn max_head_bytes(shared: &Shared) -> usize {
    let configured = limits(shared).map_or(0, |limits| limits.max_header_bytes);
    usize::try_from(configured.saturating_mul(2))
        .unwrap_or(usize::MAX)
        .clamp(MIN_HEAD_BYTES, MEBIBYTE as usize)
}

fn timeouts(shared: &Shared) -> ConnectionTimeouts {
    let from = |milliseconds: f64, default: Duration| {
        Duration::try_from_secs_f64(milliseconds / 1_000.0)
            .ok()
            .filter(|time| !time.is_zero())
            .unwrap_or(default)
    };
    limits(shared).map_or(DEFAULT_TIMEOUTS, |limits| ConnectionTimeouts {
        idle: from(limits.idle_timeout_ms, DEFAULT_TIMEOUTS.idle) + IDLE_MARGIN,
        head: from(limits.header_timeout_ms, DEFAULT_TIMEOUTS.head),
    })
}

/// Marks the connection as idle when it is dropped.
struct IdleOnDrop {
    phase: Rc<std::cell::Cell<Phase>>,
    shared: Rc<Shared>,
}

impl Drop for IdleOnDrop {
    fn drop(&mut self) {
        self.phase.set(Phase::Idle(self.shared.now()));
    }
}

/// The body of a reply; when it is dropped, the connection is idle.
struct TrackedBody {
    body: ReplyBody,
    _idle_on_drop: IdleOnDrop,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = CloseConnection;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CloseConnection>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
