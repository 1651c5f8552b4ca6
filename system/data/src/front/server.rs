//! Accepts and serves client connections, within limits derived from those of the process.

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

/// Number of file descriptors reserved for the platform and other files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// One in this many of the remaining descriptors is reserved for internal messages and readiness checks.
const INTERNAL_DESCRIPTOR_DIVISOR: u64 = 8;
/// Approximate memory use of an idle client connection.
const CONNECTION_MEMORY_BYTES: u64 = 32 * 1024;
/// Approximate memory use of a request in flight, without its body.
const REQUEST_MEMORY_BYTES: u64 = 32 * 1024;
/// Connections, requests and bodies may each use the memory of the process divided by this.
const MEMORY_SHARE_DIVISOR: u64 = 6;
const MEBIBYTE: u64 = 1024 * 1024;
/// Lower bound of the buffer size for a request head.
const MIN_HEAD_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of header fields in a request head.
const MAX_HEADER_FIELDS: usize = 256;
/// Timeouts of client connections if the configuration sets none.
const DEFAULT_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Duration::from_secs(60), head: Duration::from_secs(10) };
/// An idle connection is closed this long after the idle timeout that the configuration promises to clients.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Delay after an error of `accept`, for instance if no descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Limits of the front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontLimits {
    /// Maximum number of client connections.
    pub connections: usize,
    /// Maximum number of connections to all stores together.
    pub store_connections: usize,
    /// Maximum number of requests in flight.
    pub requests: usize,
    /// Maximum number of bytes of their bodies together.
    pub body_bytes: usize,
}

/// Derives the limits of the front end from those of the process.
#[must_use]
pub fn front_limits(limits: &ProcessLimits) -> FrontLimits {
    let descriptors = limits.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let descriptors = (descriptors - descriptors / INTERNAL_DESCRIPTOR_DIVISOR) / 2;
    let memory_share_bytes = limits.memory_mb * MEBIBYTE / MEMORY_SHARE_DIVISOR;
    let at_least_one = |count: u64| usize::try_from(count.max(1)).unwrap_or(usize::MAX);
    FrontLimits {
        connections: at_least_one(descriptors.min(memory_share_bytes / CONNECTION_MEMORY_BYTES)),
        store_connections: at_least_one(descriptors),
        requests: at_least_one(memory_share_bytes / REQUEST_MEMORY_BYTES),
        body_bytes: at_least_one(memory_share_bytes),
    }
}

/// State of the front end.
pub struct Front {
    /// Client connections.
    pub connections: Rc<ConnectionTable>,
    /// Admission control of requests.
    pub budget: Rc<RequestBudget>,
}

impl Front {
    /// Creates a front end without connections.
    #[must_use]
    pub fn new(limits: FrontLimits) -> Rc<Self> {
        let connections = ConnectionTable::new(limits.connections);
        Rc::new(Self { connections, budget: RequestBudget::new(limits.requests, limits.body_bytes) })
    }

    /// Closes connections whose timeout has expired.
    pub fn close_expired(&self, shared: &Shared) {
        self.connections.close_expired(shared.now(), connection_timeouts(shared));
    }
}

/// Accepts client connections until the task is aborted.
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
    let connection_task = serve_connection(Rc::clone(shared), Rc::clone(&front.budget), entry, stream);
    let task = tokio::task::spawn_local(connection_task);
    ConnectionEntry::set_task(&front.connections, key, task.abort_handle());
}

async fn serve_connection(
    shared: Rc<Shared>,
    budget: Rc<RequestBudget>,
    entry: ConnectionEntry,
    stream: TcpStream,
) {
    let socket = ClientStream::new(stream, Rc::clone(&entry.phase), Rc::clone(&shared));
    let head_buffer_bytes = head_buffer_bytes(&shared);
    let phase = Rc::clone(&entry.phase);
    let service = service_fn(move |request: Request<Incoming>| {
        let idle_on_drop = IdleOnDrop { phase: Rc::clone(&phase), shared: Rc::clone(&shared) };
        phase.set(Phase::InRequest);
        handle(Rc::clone(&shared), Rc::clone(&budget), request, idle_on_drop)
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head_buffer_bytes).max_headers(MAX_HEADER_FIELDS).auto_date_header(false);
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

fn configured_limits(shared: &Shared) -> Option<Limits> {
    shared.configuration().and_then(|configuration| configuration.limits.clone())
}

/// Returns the size of the buffer for a request head: twice the configured maximum of the header bytes, within bounds.
fn head_buffer_bytes(shared: &Shared) -> usize {
    let configured = configured_limits(shared).map_or(0, |limits| limits.max_header_bytes);
    usize::try_from(configured.saturating_mul(2))
        .unwrap_or(usize::MAX)
        .clamp(MIN_HEAD_BUFFER_BYTES, MEBIBYTE as usize)
}

/// Returns the timeouts of client connections from the configuration, or the default ones.
fn connection_timeouts(shared: &Shared) -> ConnectionTimeouts {
    let duration_or = |milliseconds: f64, default: Duration| {
        Duration::try_from_secs_f64(milliseconds / 1_000.0)
            .ok()
            .filter(|time| !time.is_zero())
            .unwrap_or(default)
    };
    configured_limits(shared).map_or(DEFAULT_TIMEOUTS, |limits| ConnectionTimeouts {
        idle: duration_or(limits.idle_timeout_ms, DEFAULT_TIMEOUTS.idle) + IDLE_TIMEOUT_MARGIN,
        head: duration_or(limits.header_timeout_ms, DEFAULT_TIMEOUTS.head),
    })
}

/// Marks the connection as idle when this is dropped.
struct IdleOnDrop {
    phase: Rc<std::cell::Cell<Phase>>,
    shared: Rc<Shared>,
}

impl Drop for IdleOnDrop {
    fn drop(&mut self) {
        self.phase.set(Phase::Idle(self.shared.now()));
    }
}

/// Body of a reply. When it is dropped, the connection becomes idle.
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
