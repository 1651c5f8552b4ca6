//! Attempts at stores with a feature API: a part is a GET for the features of one block, on a connection that carries one
//! request at a time. The body of the response is the part's value, unchanged.
//!
//! A connection is kept for a later request only where nothing lies behind the answer, and used again only while it is
//! silent: a store that closed it, or left bytes on it, is dialled anew. What may be written is looked at before each
//! write as on a link ([`write_while`]); a request that was not written whole never ran, and one that was may have unless its
//! answer says no. An answer without a length ends with an orderly close; a reset is no end, and the attempt is broken.

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

/// Connections kept for later requests.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// Longer than any attempt waits; the attempt's own timer is the one that ends it.
const READ_WITHIN: Duration = Duration::from_secs(600);

/// The client of one store's feature API.
pub struct Driver {
    address: SocketAddr,
    dial: Duration,
    idle: Duration,
    idle_connections: RefCell<Vec<(Stream, ConnectionSlot, Instant)>>,
}

impl Driver {
    /// A client of the feature API at this address.
    pub fn new(address: SocketAddr, limits: &Limits) -> Self {
        Self { address, dial: limits.dial, idle: limits.idle, idle_connections: RefCell::default() }
    }

    /// An idle or new connection; `Err` with the attempt's outcome if there is none.
    async fn connect(&self, stores: &Stores) -> Result<(Stream, ConnectionSlot), Outcome> {
        self.idle_connections.borrow_mut().retain(|(_, _, since)| since.elapsed() < self.idle);
        loop {
            let Some((stream, slot, _)) = self.idle_connections.borrow_mut().pop() else { break };
            if is_silent(&stream).await {
                return Ok((stream, slot));
            }
        }
        // A lack of slots says nothing about the store.
        let slot = stores.acquire_slot().await.ok_or(Outcome::Void)?;
        count(&stores.counters.dials);
        let socket = http::connect(self.address, self.dial).await.map_err(|_| Outcome::Unreachable)?;
        Ok((Stream::new(socket), slot))
    }

    /// Closes idle connections.
    pub fn close_idle(&self) {
        drop(self.idle_connections.take());
    }

    /// Makes an attempt, as long as it is `wanted` until its last byte is written. `written` is set then: from there on it may
    /// be executed.
    pub async fn attempt(
        &self,
        stores: &Stores,
        endpoint: &Endpoint,
        order: &AttemptRequest,
        wanted: impl Fn() -> bool,
        written: &Cell<bool>,
    ) -> AttemptOutcome {
        let counters = &*stores.counters;
        let (mut stream, slot) = match self.connect(stores).await {
            Ok(connected) => connected,
            Err(outcome) => return outcome.into(),
        };
        let may_write = |begun: bool| (begun || endpoint.may_send()) && wanted();
        match write_while(stream.socket(), &request(order, self.address), 0, may_write).await {
            Ok(true) => {}
            Ok(false) => return Outcome::Void.into(),
            Err(_) => return Outcome::Unreachable.into(),
        }
        written.set(true);
        let answer = async {
            let head = stream.head(Kind::Answer, READ_WITHIN).await?;
            let body = stream.body(head.framing, READ_WITHIN).await?;
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
        let reusable = head.keep_alive && head.framing != http::Framing::Close && !stream.begun();
        if reusable && self.idle_connections.borrow().len() < IDLE_CONNECTIONS_MAX {
            self.idle_connections.borrow_mut().push((stream, slot, Instant::now()));
        }
        match head.status {
            200 if geojson::readable(&body) => {
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

/// Whether nothing has arrived on an idle connection, not even its end.
async fn is_silent(stream: &Stream) -> bool {
    let (mut socket, mut byte) = (stream.socket(), [0]);
    futures_lite::future::poll_once(socket.read(&mut byte)).await.is_none()
}

/// Under which epoch the part was placed; in an answer that turns it away, the newest one.
const EPOCH: &str = "X-Block-Epoch";

fn request(order: &AttemptRequest, address: SocketAddr) -> Vec<u8> {
    let AttemptRequest { query, shard, timeout_ms, .. } = order;
    let fence = order.fence.as_ref().map_or(String::new(), |fence| {
        let slice = fence.slice.map(|s| format!("X-Block-Slice: {}-{}\r\n", s.first, s.end));
        format!("{EPOCH}: {}\r\n{}", fence.epoch.0, slice.unwrap_or_default())
    });
    let key =
        order.key.as_ref().map_or(String::new(), |key| format!("{}: {}\r\n", key::HEADER, key.as_str()));
    let wait = timeout_ms.max(1.0).floor();
    let mut bytes = b"GET /".to_vec();
    bytes.extend_from_slice(&order.text);
    let head = format!(
        "&block={shard} HTTP/1.1\r\nHost: {address}\r\nAccept: application/geo+json\r\n\
         X-Request-ID: {query}.{shard}\r\nX-Timeout-Ms: {wait}\r\n{key}{fence}\r\n"
    );
    bytes.extend_from_slice(head.as_bytes());
    bytes
}
