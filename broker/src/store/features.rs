//! Attempts at stores with a feature API: a part is a GET for the features of one block, on a connection that carries one
//! request at a time. The body of the response is the part's value, unchanged.
//!
//! A connection is kept for a later request only if no bytes follow the answer, and is reused only if nothing has arrived on
//! it since: if the store has closed it or sent bytes on it, a new connection is opened. Before each write, the conditions
//! for sending are checked as on a link ([`write_while`]). A request that was not completely written was never executed; a
//! completely written one may have been, unless its answer rejects it. An answer without a length is complete once the store
//! closes the connection in order; after a reset it is incomplete, and the attempt's outcome is broken.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::AsyncReadExt;
use gingerledge_dispatch::Outcome;

use super::link::{write_while, Limits};
use super::{Endpoint, Stores};
use crate::core::{AttemptOutcome, AttemptRequest, Served};
use crate::counters::count;
use crate::front::key;
use crate::geojson;
use crate::http::{self, Ending, Kind, Stream};
use crate::limits::ConnectionSlot;

/// Maximum number of connections that are kept for later requests.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// Time-out for reads, longer than any attempt: the attempt's own time-out ends it earlier.
const READ_TIMEOUT: Duration = Duration::from_secs(600);

/// Client of one store's feature API.
pub struct FeatureClient {
    address: SocketAddr,
    dial_timeout: Duration,
    idle_timeout: Duration,
    /// Connections kept for later requests, each with its slot and the time since which it is idle.
    idle_connections: RefCell<Vec<(Stream, ConnectionSlot, Instant)>>,
}

impl FeatureClient {
    /// Creates a client of the feature API at this address.
    pub fn new(address: SocketAddr, limits: &Limits) -> Self {
        Self {
            address,
            dial_timeout: limits.dial_timeout,
            idle_timeout: limits.idle_timeout,
            idle_connections: RefCell::default(),
        }
    }

    /// Returns an idle or new connection.
    ///
    /// # Errors
    ///
    /// The attempt's outcome, if no connection is available.
    async fn connect(&self, stores: &Stores) -> Result<(Stream, ConnectionSlot), Outcome> {
        self.idle_connections.borrow_mut().retain(|(_, _, since)| since.elapsed() < self.idle_timeout);
        loop {
            let Some((stream, slot, _)) = self.idle_connections.borrow_mut().pop() else { break };
            if is_silent(&stream).await {
                return Ok((stream, slot));
            }
        }
        // A lack of slots is no evidence about the store's health.
        let slot = stores.acquire_slot().await.ok_or(Outcome::Void)?;
        count(&stores.counters.dials);
        let socket =
            http::connect(self.address, self.dial_timeout).await.map_err(|_| Outcome::Unreachable)?;
        Ok((Stream::new(socket), slot))
    }

    /// Closes idle connections.
    pub fn close_idle(&self) {
        drop(self.idle_connections.take());
    }

    /// Makes an attempt, unless `is_wanted` returns false before its last byte has been written. `written` is set once that
    /// has happened: from then on the attempt may be executed.
    pub async fn attempt(
        &self,
        stores: &Stores,
        endpoint: &Endpoint,
        request: &AttemptRequest,
        is_wanted: impl Fn() -> bool,
        written: &Cell<bool>,
    ) -> AttemptOutcome {
        let counters = &*stores.counters;
        let (mut stream, slot) = match self.connect(stores).await {
            Ok(connected) => connected,
            Err(outcome) => return outcome.into(),
        };
        let may_write = |has_begun: bool| (has_begun || endpoint.may_send()) && is_wanted();
        match write_while(stream.socket(), &encode_request(request, self.address), 0, may_write).await {
            Ok(true) => {}
            Ok(false) => return Outcome::Void.into(),
            Err(_) => return Outcome::Unreachable.into(),
        }
        written.set(true);
        let answer = async {
            let head = stream.head(Kind::Response, READ_TIMEOUT).await?;
            let body = stream.body(head.framing, READ_TIMEOUT).await?;
            Ok((head, body))
        };
        let (head, body) = match answer.await {
            Ok(answer) => answer,
            Err(Ending::Fault(fault)) => {
                log::debug!(store = endpoint.name, fault:%; "response of a store is invalid");
                count(&counters.bad_frames);
                return Outcome::Failure.into();
            }
            Err(_) => return Outcome::Broken.into(),
        };
        let is_reusable =
            head.keep_alive && head.framing != http::Framing::Close && !stream.has_buffered_bytes();
        if is_reusable && self.idle_connections.borrow().len() < IDLE_CONNECTIONS_MAX {
            self.idle_connections.borrow_mut().push((stream, slot, Instant::now()));
        }
        match head.status {
            200 if geojson::is_valid_page(&body) => {
                let served = Some(Served { score: 0, value: body.into() });
                AttemptOutcome { outcome: Outcome::Success, served, report: Vec::new(), newer_epoch: None }
            }
            200 => {
                count(&counters.bad_frames);
                Outcome::Failure.into()
            }
            // The store rejected the request without executing it.
            429 | 503 => {
                let newer_epoch = head.header(EPOCH).and_then(|text| text.parse().ok());
                AttemptOutcome { newer_epoch, ..Outcome::Overloaded.into() }
            }
            _ => Outcome::Failure.into(),
        }
    }
}

/// Whether nothing has arrived on an idle connection, neither bytes nor the end of the stream.
async fn is_silent(stream: &Stream) -> bool {
    let (mut socket, mut byte) = (stream.socket(), [0]);
    futures_lite::future::poll_once(socket.read(&mut byte)).await.is_none()
}

/// Header with the epoch of the block when the store was chosen, and in an answer that rejects the request, with the newest
/// epoch that the store knows.
const EPOCH: &str = "X-Block-Epoch";

/// Encodes the HTTP request of an attempt.
fn encode_request(request: &AttemptRequest, address: SocketAddr) -> Vec<u8> {
    let AttemptRequest { query, shard, timeout_ms, .. } = request;
    let fence = request.fence.as_ref().map_or(String::new(), |fence| {
        let slice = fence.slice.map(|s| format!("X-Block-Slice: {}-{}\r\n", s.first, s.end));
        format!("{EPOCH}: {}\r\n{}", fence.epoch.0, slice.unwrap_or_default())
    });
    let key = request
        .key
        .as_ref()
        .map_or(String::new(), |key| format!("{}: {}\r\n", key::IDEMPOTENCY_KEY_HEADER, key.as_str()));
    let wait = timeout_ms.max(1.0).floor();
    let mut bytes = b"GET /".to_vec();
    bytes.extend_from_slice(&request.text);
    let head = format!(
        "&block={shard} HTTP/1.1\r\nHost: {address}\r\nAccept: application/geo+json\r\n\
         X-Request-ID: {query}.{shard}\r\nX-Timeout-Ms: {wait}\r\n{key}{fence}\r\n"
    );
    bytes.extend_from_slice(head.as_bytes());
    bytes
}
