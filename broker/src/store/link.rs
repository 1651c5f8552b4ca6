//! One connection to a store, which multiplexes many parts. Its own task opens it, writes queued frames ([`writing`]) and
//! reads responses ([`reading`]).
//!
//! When the connection ends, for whatever reason, every part on it gets an outcome: no part of a call that was not
//! completely written was executed, and each part of a completely written call may have been. The connection ends when the
//! store closes it (closing one half suffices), resets it, sends invalid data, or accepts no bytes within the write
//! time-out; when a call must be left incomplete; and when it carries no part and is either marked to be closed or has been
//! idle for nearly as long as the store permits. In the last case no part is in flight, so that a reset caused by bytes that
//! arrive at that moment loses nothing. The tables hold at most as many parts as the link may carry, and the queue holds
//! those and one frame for each withdrawn part.

mod reading;
mod writing;

pub use writing::write_while;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use gingerledge_dispatch::Outcome;

use super::{frame, Endpoint};
use crate::core::{AttemptOutcome, QueryId};
use crate::counters::{count, Counters};
use crate::exchange::Exchange;
use crate::faults;
use crate::http;
use crate::limits::ConnectionSlot;

/// Number of ended parts that a link remembers for each part that it may carry.
const REMEMBERED_PER_PART: usize = 4;

/// Limits of the connections to stores.
pub struct Limits {
    /// Maximum number of parts in flight on a link.
    pub streams: usize,
    /// Maximum number of parts of one turn that share a call, which is one frame.
    pub batch: usize,
    /// Maximum number of connections to stores, both links and connections to feature APIs.
    pub links: usize,
    /// Time-out for opening a connection.
    pub dial_timeout: Duration,
    /// Time without use after which a connection is closed and no longer used.
    pub idle_timeout: Duration,
}

/// A part that was queued or written and has no outcome yet.
#[derive(Debug)]
struct InFlightPart {
    outcome: Sender<AttemptOutcome>,
    stage: Stage,
    queued_at: Instant,
}

/// The progress of writing a part's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No byte of the call has been written.
    Queued,
    /// The first byte of the call has been written, but not the last.
    Begun,
    /// The whole call has been written: the store may execute the part.
    Written,
}

/// An element of the write queue.
#[derive(Debug)]
enum Outgoing {
    /// A part and the number of its call. The parts of a call are adjacent in the queue.
    Part(Part, u64),
    /// A complete frame.
    Frame(Vec<u8>),
}

/// A part to be written to a link.
#[derive(Debug)]
pub struct Part {
    /// Id of the part on the wire.
    pub id: Rc<str>,
    /// The encoded part: a line, and the text of the query.
    pub bytes: Vec<u8>,
    /// Time until which the part may be written, if that is limited.
    pub send_by: Option<Instant>,
    /// Id of the part's query: once that has finished, the part must not be written.
    pub query_id: QueryId,
}

/// A connection to a store, open or being opened.
pub struct Link {
    endpoint: Rc<Endpoint>,
    counters: Rc<Counters>,
    exchange: Rc<Exchange>,
    in_flight: RefCell<HashMap<Rc<str>, InFlightPart>>,
    queue: RefCell<VecDeque<Outgoing>>,
    /// Number of the last call.
    last_call: Cell<u64>,
    /// Ids of recently ended parts: a response to one of them is late or a duplicate, and no error.
    recently_ended: RefCell<VecDeque<Rc<str>>>,
    /// Wakes the link's task when there is something to write or the link may close.
    wake: (Sender<()>, Receiver<()>),
    last_used: Cell<Instant>,
    /// Time at which the last response arrived.
    last_answer_at: Cell<Instant>,
    /// Whether the link accepts no more parts and closes once it is idle.
    is_closing: Cell<bool>,
    /// Whether a response has been received in part.
    has_partial_answer: Cell<bool>,
    /// Whether a part was withdrawn while its call was being written: the remainder of the call must not be sent.
    is_aborted: Cell<bool>,
}

/// The end of a link.
struct Ending {
    /// Whether the store sent invalid data.
    is_corrupt: bool,
    /// The reason, for the log.
    reason: String,
}

impl Ending {
    fn disconnected(reason: impl Into<String>) -> Self {
        Self { is_corrupt: false, reason: reason.into() }
    }

    fn corrupt(reason: impl ToString) -> Self {
        Self { is_corrupt: true, reason: reason.to_string() }
    }
}

impl Link {
    /// Creates a link, which [`Link::run`] then opens.
    pub fn new(endpoint: Rc<Endpoint>, counters: Rc<Counters>, exchange: Rc<Exchange>) -> Rc<Self> {
        Rc::new(Self {
            endpoint,
            counters,
            exchange,
            in_flight: RefCell::default(),
            queue: RefCell::default(),
            last_call: Cell::new(0),
            recently_ended: RefCell::default(),
            wake: async_channel::bounded(1),
            last_used: Cell::new(Instant::now()),
            last_answer_at: Cell::new(Instant::now()),
            is_closing: Cell::new(false),
            has_partial_answer: Cell::new(false),
            is_aborted: Cell::new(false),
        })
    }

    /// Whether the link can carry this many more parts. A link that was idle for nearly as long as the store permits is not
    /// used: a call sent while the store closes the connection would end in a reset. A link with a partial response is not
    /// used either: if the response were never completed, the next one would be taken for its remainder.
    pub fn can_carry(&self, parts: usize, limits: &Limits) -> bool {
        !self.is_closing.get()
            && !self.has_partial_answer.get()
            && self.in_flight.borrow().len() + parts <= limits.streams
            && (!self.is_idle() || self.last_used.get().elapsed() < limits.idle_timeout)
    }

    /// Whether the link carries no part and has nothing to write.
    pub fn is_idle(&self) -> bool {
        self.in_flight.borrow().is_empty() && self.queue.borrow().is_empty()
    }

    /// Number of parts in flight.
    pub fn load(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Accepts no more parts, and closes the link once it is idle.
    pub fn close_when_idle(&self) {
        self.is_closing.set(true);
        self.wake();
    }

    fn wake(&self) {
        let _ = self.wake.0.try_send(());
    }

    /// Queues parts that share a call. The outcome of each part arrives on the channel returned for it.
    pub fn enqueue_call(&self, parts: impl IntoIterator<Item = Part>) -> Vec<Receiver<AttemptOutcome>> {
        self.last_call.set(self.last_call.get() + 1);
        parts.into_iter().map(|part| self.enqueue_part(part)).collect()
    }

    /// Queues a part for the last call.
    fn enqueue_part(&self, part: Part) -> Receiver<AttemptOutcome> {
        let (sender, outcome) = async_channel::bounded(1);
        let id = part.id.clone();
        // A client may reuse an id while a part with that id is in flight here, whose response would be taken for that of
        // the new part.
        if self.in_flight.borrow().contains_key(&id) {
            let _ = sender.try_send(Outcome::Void.into());
            return outcome;
        }
        self.in_flight
            .borrow_mut()
            .insert(id, InFlightPart { outcome: sender, stage: Stage::Queued, queued_at: Instant::now() });
        self.queue.borrow_mut().push_back(Outgoing::Part(part, self.last_call.get()));
        self.last_used.set(Instant::now());
        self.wake();
        outcome
    }

    /// Withdraws a part. Returns true if its call was not completely written, so that it is never executed; otherwise the
    /// store is notified.
    pub fn withdraw(&self, id: &Rc<str>) -> bool {
        let mut queue = self.queue.borrow_mut();
        let queued =
            queue.iter().position(|element| matches!(element, Outgoing::Part(part, _) if part.id == *id));
        if let Some(index) = queued {
            queue.remove(index);
            self.in_flight.borrow_mut().remove(id);
            return true;
        }
        // With the remainder of the call, the store would execute the part besides the next attempt. The link closes
        // instead.
        let has_begun = |part: &InFlightPart| part.stage == Stage::Begun;
        if self.in_flight.borrow().get(id).is_some_and(has_begun) {
            self.in_flight.borrow_mut().remove(id);
            self.is_aborted.set(true);
            self.is_closing.set(true);
            return true;
        }
        queue.push_back(Outgoing::Frame(frame::frame(frame::WITHDRAW, id.as_bytes())));
        drop(queue);
        self.wake();
        false
    }

    /// Removes a part whose outcome is no longer awaited; `without_answer` if the store failed to answer the part in time.
    pub fn forget(&self, id: &Rc<str>, without_answer: bool, limits: &Limits) {
        let part = self.in_flight.borrow_mut().remove(id);
        // A connection to a healthy store may become unresponsive with no other sign than that nothing arrived while this
        // part was in flight. The next part then uses a new connection.
        let was_silent = without_answer
            && part.is_some_and(|part| {
                part.stage == Stage::Written && self.last_answer_at.get() < part.queued_at
            });
        if was_silent && !self.is_closing.replace(true) {
            count(&self.counters.links_silent);
        }
        self.remember(id.clone(), limits);
        self.last_used.set(Instant::now());
        self.wake();
    }

    /// Remembers a part that has ended.
    fn remember(&self, id: Rc<str>, limits: &Limits) {
        let mut recently_ended = self.recently_ended.borrow_mut();
        if recently_ended.len() >= limits.streams.saturating_mul(REMEMBERED_PER_PART) {
            recently_ended.pop_front();
        }
        recently_ended.push_back(id);
    }

    /// Opens the connection and serves it until it ends. Returns true if the store sent invalid data. Without a slot the
    /// connection is not opened, which is no evidence about the store's health.
    pub async fn run(self: Rc<Self>, limits: Rc<Limits>, slot: Option<ConnectionSlot>) -> bool {
        let lacks_slot = slot.is_none();
        let connected = match slot.is_some() && !faults::point("store.dial") {
            false => Err(std::io::ErrorKind::ConnectionRefused.into()),
            true => {
                count(&self.counters.dials);
                let dial = http::connect(self.endpoint.address.get(), limits.dial_timeout);
                let recheck = async {
                    loop {
                        Timer::after(writing::RECHECK_INTERVAL).await;
                        self.void_unsendable();
                    }
                };
                futures_lite::future::or(dial, recheck).await
            }
        };
        let ending = match connected {
            Ok(socket) => {
                let _ = socket.get_ref().set_nodelay(true);
                futures_lite::future::or(self.read(&socket, &limits), self.write(&socket, &limits)).await
            }
            Err(e) => Ending::disconnected(format!("connecting failed: {e}")),
        };
        log::debug!(store = self.endpoint.name, reason = ending.reason; "connection to a store closed");
        if ending.is_corrupt {
            count(&self.counters.bad_frames);
        }
        self.is_closing.set(true);
        self.queue.borrow_mut().clear();
        let in_flight = std::mem::take(&mut *self.in_flight.borrow_mut());
        for part in in_flight.into_values() {
            // A store that sent invalid data has not restarted: for `Broken`, the decision module would treat it as warming
            // up.
            let outcome = match (part.stage == Stage::Written, ending.is_corrupt) {
                (true, true) => Outcome::Failure,
                (true, false) => Outcome::Broken,
                (false, true) => Outcome::Void,
                (false, false) if lacks_slot => Outcome::Void,
                (false, false) => Outcome::Unreachable,
            };
            let _ = part.outcome.try_send(outcome.into());
        }
        ending.is_corrupt
    }
}
