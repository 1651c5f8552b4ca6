//! One connection to a store, which multiplexes many parts. Its own task opens it, writes queued frames ([`writing`]) and
//! reads responses ([`reading`]).
//!
//! Whatever ends it, every part on it gets its outcome: of a call that was not written whole none ran, of one that was each
//! may have. It ends when the store closes it (one half will do), resets it, sends what it should not have or takes nothing for
//! long, when a call must be left without its end, and by itself once it carries nothing: retired, or idle for nearly as
//! long as the store bears. Then nothing is owed to anyone on it, so that a reset by bytes that come just then loses nothing.
//! Its tables hold at most as many parts as it may carry, and its queue those and a frame for each that is given up.

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

/// Number of ended parts remembered for each part that a link may carry.
const REMEMBERED: usize = 4;

/// The limits of links.
pub struct Limits {
    /// Maximum of parts in flight.
    pub streams: usize,
    /// Maximum of parts of one turn in a call, which is one frame.
    pub batch: usize,
    /// Maximum of connections to stores, of both kinds.
    pub links: usize,
    /// Time-out for opening a connection.
    pub dial: Duration,
    /// Idle time after which a connection is closed instead of being used.
    pub idle: Duration,
}

#[derive(Debug)]
struct Flight {
    ended: Sender<AttemptOutcome>,
    stage: Stage,
    /// When it was queued.
    since: Instant,
}

/// How much of a part's call has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No byte.
    Queued,
    /// The first.
    Begun,
    /// The last: from here on it may be executed.
    Written,
}

/// An element of the write queue.
#[derive(Debug)]
enum Outgoing {
    /// A part and the number of its call; those of one call are adjacent.
    Part(Part, u64),
    /// A complete frame.
    Frame(Vec<u8>),
}

/// A part that has not been written.
#[derive(Debug)]
pub struct Part {
    /// Its id.
    pub id: Rc<str>,
    /// Its line and its text.
    pub bytes: Vec<u8>,
    /// The latest time at which it may be written.
    pub by: Option<Instant>,
    /// Its query: once that has finished, the part must not be written.
    pub query_id: QueryId,
}

/// A connection to a store, open or being opened.
pub struct Link {
    endpoint: Rc<Endpoint>,
    counters: Rc<Counters>,
    exchange: Rc<Exchange>,
    flights: RefCell<HashMap<Rc<str>, Flight>>,
    queue: RefCell<VecDeque<Outgoing>>,
    /// Number of the last call.
    calls: Cell<u64>,
    /// Recently ended parts: a response to one of them is late or a duplicate, and no error.
    ended: RefCell<VecDeque<Rc<str>>>,
    wake: (Sender<()>, Receiver<()>),
    last_used: Cell<Instant>,
    /// When the last response arrived.
    last_answer_at: Cell<Instant>,
    is_closing: Cell<bool>,
    /// Whether a response has been received in part.
    has_partial_answer: Cell<bool>,
    /// Whether a part was withdrawn while its call was being written, whose remainder must not be sent.
    is_aborted: Cell<bool>,
}

/// Why a link ended.
struct Ending {
    /// Whether the store sent invalid data: its parts may have been executed.
    is_corrupt: bool,
    why: String,
}

impl Ending {
    fn disconnected(why: impl Into<String>) -> Self {
        Self { is_corrupt: false, why: why.into() }
    }

    fn corrupt(why: impl ToString) -> Self {
        Self { is_corrupt: true, why: why.to_string() }
    }
}

impl Link {
    /// A link to be opened by [`Link::run`].
    pub fn new(endpoint: Rc<Endpoint>, counters: Rc<Counters>, exchange: Rc<Exchange>) -> Rc<Self> {
        Rc::new(Self {
            endpoint,
            counters,
            exchange,
            flights: RefCell::default(),
            queue: RefCell::default(),
            calls: Cell::new(0),
            ended: RefCell::default(),
            wake: async_channel::bounded(1),
            last_used: Cell::new(Instant::now()),
            last_answer_at: Cell::new(Instant::now()),
            is_closing: Cell::new(false),
            has_partial_answer: Cell::new(false),
            is_aborted: Cell::new(false),
        })
    }

    /// Whether it can carry this many more parts. One that was idle for nearly as long as the store permits is not used: a
    /// call that crosses the store's close would end in a reset. Nor is one with a partial response: should that never be
    /// completed, the next response would be taken for its remainder.
    pub fn can_carry(&self, parts: usize, limits: &Limits) -> bool {
        !self.is_closing.get()
            && !self.has_partial_answer.get()
            && self.flights.borrow().len() + parts <= limits.streams
            && (!self.is_idle() || self.last_used.get().elapsed() < limits.idle)
    }

    /// Whether it carries no part and has nothing to write.
    pub fn is_idle(&self) -> bool {
        self.flights.borrow().is_empty() && self.queue.borrow().is_empty()
    }

    /// Number of parts in flight.
    pub fn load(&self) -> usize {
        self.flights.borrow().len()
    }

    /// Accepts no more parts; closes once idle.
    pub fn retire(&self) {
        self.is_closing.set(true);
        self.wake();
    }

    fn wake(&self) {
        let _ = self.wake.0.try_send(());
    }

    /// Queues parts that share a call; the outcome of each arrives on its channel.
    pub fn call(&self, parts: impl IntoIterator<Item = Part>) -> Vec<Receiver<AttemptOutcome>> {
        self.calls.set(self.calls.get() + 1);
        parts.into_iter().map(|part| self.join(part)).collect()
    }

    /// Queues a part for the last call.
    fn join(&self, part: Part) -> Receiver<AttemptOutcome> {
        let (send, ended) = async_channel::bounded(1);
        let id = part.id.clone();
        // A client may reuse an id while a part of that id is in flight here: its response would be taken for the new part's.
        if self.flights.borrow().contains_key(&id) {
            let _ = send.try_send(Outcome::Void.into());
            return ended;
        }
        self.flights
            .borrow_mut()
            .insert(id, Flight { ended: send, stage: Stage::Queued, since: Instant::now() });
        self.queue.borrow_mut().push_back(Outgoing::Part(part, self.calls.get()));
        self.last_used.set(Instant::now());
        self.wake();
        ended
    }

    /// Withdraws a part. True if its call was not completely written, so that it never runs; otherwise the store is notified.
    pub fn withdraw(&self, id: &Rc<str>) -> bool {
        let mut queue = self.queue.borrow_mut();
        let queued = queue.iter().position(|out| matches!(out, Outgoing::Part(part, _) if part.id == *id));
        if let Some(at) = queued {
            queue.remove(at);
            self.flights.borrow_mut().remove(id);
            return true;
        }
        // The remainder of the call would let the part run beside the next attempt. The link closes.
        let begun = |flight: &Flight| flight.stage == Stage::Begun;
        if self.flights.borrow().get(id).is_some_and(begun) {
            self.flights.borrow_mut().remove(id);
            self.is_aborted.set(true);
            self.is_closing.set(true);
            return true;
        }
        queue.push_back(Outgoing::Frame(frame::frame(frame::GIVE_UP, id.as_bytes())));
        drop(queue);
        self.wake();
        false
    }

    /// Removes a part whose outcome is no longer awaited; `without_answer` if the store failed to answer it.
    pub fn forget(&self, id: &Rc<str>, without_answer: bool, limits: &Limits) {
        let flight = self.flights.borrow_mut().remove(id);
        // A connection may become unresponsive though its store is healthy, without any other sign: nothing arrived while
        // this part was in flight. The next part uses a new connection.
        let was_silent = without_answer
            && flight.is_some_and(|flight| {
                flight.stage == Stage::Written && self.last_answer_at.get() < flight.since
            });
        if was_silent && !self.is_closing.replace(true) {
            count(&self.counters.links_silent);
        }
        self.remember(id.clone(), limits);
        self.last_used.set(Instant::now());
        self.wake();
    }

    fn remember(&self, id: Rc<str>, limits: &Limits) {
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= limits.streams.saturating_mul(REMEMBERED) {
            ended.pop_front();
        }
        ended.push_back(id);
    }

    /// Opens the connection and serves it until it ends; true if the store sent invalid data. Without a slot it is not opened,
    /// which says nothing about the store.
    pub async fn run(self: Rc<Self>, limits: Rc<Limits>, slot: Option<ConnectionSlot>) -> bool {
        let full = slot.is_none();
        let dialled = match slot.is_some() && !faults::point("store.dial") {
            false => Err(std::io::ErrorKind::ConnectionRefused.into()),
            true => {
                count(&self.counters.dials);
                let dial = http::connect(self.endpoint.address.get(), limits.dial);
                let swept = async {
                    loop {
                        Timer::after(writing::RECHECK_INTERVAL).await;
                        self.void_unsendable();
                    }
                };
                futures_lite::future::or(dial, swept).await
            }
        };
        let ending = match dialled {
            Ok(socket) => {
                let _ = socket.get_ref().set_nodelay(true);
                futures_lite::future::or(self.read(&socket, &limits), self.write(&socket, &limits)).await
            }
            Err(e) => Ending::disconnected(format!("not opened: {e}")),
        };
        log::debug!(store = self.endpoint.name, reason = ending.why; "connection to a store closed");
        if ending.is_corrupt {
            count(&self.counters.bad_frames);
        }
        self.is_closing.set(true);
        self.queue.borrow_mut().clear();
        let flights = std::mem::take(&mut *self.flights.borrow_mut());
        for flight in flights.into_values() {
            // A store that sent invalid data did not restart: `Broken` would make the decision module treat it as warming up.
            let outcome = match (flight.stage == Stage::Written, ending.is_corrupt) {
                (true, true) => Outcome::Failure,
                (true, false) => Outcome::Broken,
                (false, true) => Outcome::Void,
                (false, false) if full => Outcome::Void,
                (false, false) => Outcome::Unreachable,
            };
            let _ = flight.ended.try_send(outcome.into());
        }
        ending.is_corrupt
    }
}
