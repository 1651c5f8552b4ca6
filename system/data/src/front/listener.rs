//! Accepts clients' connections and serves them.

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

use super::budget::Budget;
use super::connection::Watched;
use super::connections::{Connections, Phase, Place, Times};
use super::service::answer;
use crate::{CloseConnection, ReplyBody, Shared};

/// Descriptors that the platform keeps for other files.
const KEPT_DESCRIPTORS: u64 = 200;
/// One in so many descriptors is kept for internal messages and readiness.
const INTERNAL_PART: u64 = 8;
/// About what an idle client connection takes of memory.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// About what a request under way takes of memory, its body apart.
const REQUEST_BYTES: u64 = 32 * 1024;
/// Connections get this part of the memory, and requests as much, and bodies as much.
const MEMORY_PART: u64 = 6;
const MEBIBYTE: u64 = 1024 * 1024;
/// The least buffer for heads.
const LEAST_HEAD_BYTES: usize = 16 * 1024;
/// The most header fields in a head.
const MAX_FIELDS: usize = 256;
/// How long heads may take and connections may rest while no configuration says.
const ASSUMED_TIMES: Times = Times { idle: Duration::from_secs(60), head: Duration::from_secs(10) };
/// A client that rests is served this much longer than the configuration lets it rest.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// The pause after the system refused a connection, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The most of everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients.
    pub connections: usize,
    /// Connections to stores.
    pub store_connections: usize,
    /// Requests under way.
    pub requests: usize,
    /// Bytes of their bodies.
    pub body_bytes: usize,
}

/// What a process of these limits may have at once.
pub fn bounds(limits: &ProcessLimits) -> Bounds {
    let descriptors = limits.file_descriptors.saturating_sub(KEPT_DESCRIPTORS);
    let descriptors = (descriptors - descriptors / INTERNAL_PART) / 2;
    let memory = limits.memory_mb * MEBIBYTE / MEMORY_PART;
    let bounded = |count: u64| usize::try_from(count.max(1)).unwrap_or(usize::MAX);
    Bounds {
        connections: bounded(descriptors.min(memory / CONNECTION_BYTES)),
        store_connections: bounded(descriptors),
        requests: bounded(memory / REQUEST_BYTES),
        body_bytes: bounded(memory),
    }
}

/// The front's state.
pub struct Front {
    /// Connections of clients.
    pub connections: Rc<Connections>,
    /// What requests may use.
    pub budget: Rc<Budget>,
}

impl Front {
    /// Without connections.
    pub fn new(bounds: Bounds) -> Rc<Self> {
        let connections = Connections::new(bounds.connections);
        Rc::new(Self { connections, budget: Budget::new(bounds.requests, bounds.body_bytes) })
    }

    /// Closes connections that have taken too long.
    pub fn sweep(&self, shared: &Shared) {
        self.connections.sweep(shared.now(), times(shared));
    }
}

/// Accepts connections until the task is aborted.
pub async fn serve(shared: Rc<Shared>, front: Rc<Front>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept(&shared, &front, stream),
            Err(error) => {
                log::warn!("no client connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn accept(shared: &Rc<Shared>, front: &Rc<Front>, stream: TcpStream) {
    let Some(place) = front.connections.add(shared.now()) else { return };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let key = place.key();
    let serving = connection(Rc::clone(shared), Rc::clone(&front.budget), place, stream);
    let task = tokio::task::spawn_local(serving);
    Place::served_by(&front.connections, key, task.abort_handle());
}

async fn connection(shared: Rc<Shared>, budget: Rc<Budget>, place: Place, stream: TcpStream) {
    let socket = Watched::new(stream, Rc::clone(&place.phase), Rc::clone(&shared));
    let head_bytes = max_head(&shared);
    let phase = Rc::clone(&place.phase);
    let service = service_fn(move |request: Request<Incoming>| {
        let done = Done { phase: Rc::clone(&phase), shared: Rc::clone(&shared) };
        phase.set(Phase::Busy);
        reply(Rc::clone(&shared), Rc::clone(&budget), request, done)
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head_bytes).max_headers(MAX_FIELDS).auto_date_header(false);
    if let Err(error) = builder.serve_connection(socket, service).await {
        log::debug!("a client connection ended: {error}");
    }
    drop(place);
}

async fn reply(
    shared: Rc<Shared>,
    budget: Rc<Budget>,
    request: Request<Incoming>,
    done: Done,
) -> Result<Response<Finishing>, CloseConnection> {
    let mut reply = answer(Rc::clone(&shared), budget, request).await?;
    if shared.stopping() {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(reply.map(|body| Finishing { body, _done: done }))
}

fn limits(shared: &Shared) -> Option<Limits> {
    shared.configuration().and_then(|configuration| configuration.limits.clone())
}

fn max_head(shared: &Shared) -> usize {
    let told = limits(shared).map_or(0, |limits| limits.max_header_bytes);
    usize::try_from(told.saturating_mul(2)).unwrap_or(usize::MAX).clamp(LEAST_HEAD_BYTES, MEBIBYTE as usize)
}

fn times(shared: &Shared) -> Times {
    let from = |milliseconds: f64, assumed: Duration| {
        Duration::try_from_secs_f64(milliseconds / 1_000.0)
            .ok()
            .filter(|time| !time.is_zero())
            .unwrap_or(assumed)
    };
    limits(shared).map_or(ASSUMED_TIMES, |limits| Times {
        idle: from(limits.idle_timeout_ms, ASSUMED_TIMES.idle) + IDLE_MARGIN,
        head: from(limits.header_timeout_ms, ASSUMED_TIMES.head),
    })
}

/// Notes that the connection rests again.
struct Done {
    phase: Rc<std::cell::Cell<Phase>>,
    shared: Rc<Shared>,
}

impl Drop for Done {
    fn drop(&mut self) {
        self.phase.set(Phase::Idle(self.shared.now()));
    }
}

/// The body of a reply; after it the connection rests.
struct Finishing {
    body: ReplyBody,
    _done: Done,
}

impl Body for Finishing {
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
