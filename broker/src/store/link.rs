//! One connection to a store. It carries many parts at once; its own task opens it, writes what is
//! queued and reads what comes. Whatever ends it, every part on it gets its outcome.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use stoatlane::Outcome;

use super::frame::{self, End, Frame};
use super::Site;
use crate::core::{Ended, Served};
use crate::counters::{count, Counters};
use crate::faults;
use crate::http;

/// A store that takes no byte of a frame for so long is stalled.
const WRITE_WITHIN: Duration = Duration::from_secs(5);
/// An answer is written in one go; the rest of one that has begun comes within this time, or never.
const REST_WITHIN: Duration = Duration::from_millis(100);
/// So many bytes of what can't be used are logged.
const LOGGED: usize = 96;
/// For each part that a link may carry, so many of those it carried last are remembered.
const REMEMBERED: usize = 4;

/// What a link needs to know of its surroundings.
pub struct Limits {
    /// How many parts it carries at once.
    pub streams: usize,
    /// How many parts of one turn may share a call, which is a frame.
    pub batch: usize,
    /// How many links there may be, to all stores together, before parts have to share them.
    pub links: usize,
    /// It has failed if it is not up by then.
    pub dial: Duration,
    /// It is closed before use once it has stood idle so long.
    pub idle: Duration,
}

#[derive(Debug)]
struct Flight {
    ended: Sender<Ended>,
    /// Whether its frame's last byte has been written: from then on it may run.
    written: bool,
    /// When it was queued.
    since: Instant,
}

/// What waits to be written.
#[derive(Debug)]
enum Outgoing {
    /// A part; those of one call lie next to each other.
    Part(Part, u64),
    /// A whole frame.
    Frame(Vec<u8>),
}

/// A part that has not been written.
#[derive(Debug)]
pub struct Part {
    /// Its id.
    pub id: Rc<str>,
    /// Its line and its text.
    pub bytes: Vec<u8>,
    /// It must not be written later.
    pub by: Option<Instant>,
}

/// A connection, or one that is being opened.
pub struct Link {
    site: Rc<Site>,
    counters: Rc<Counters>,
    flights: RefCell<HashMap<Rc<str>, Flight>>,
    queue: RefCell<VecDeque<Outgoing>>,
    /// Numbers the calls.
    calls: Cell<u64>,
    /// Parts that ended here lately: an answer to one of them is late or a second copy, no more.
    ended: RefCell<VecDeque<Rc<str>>>,
    wake: (Sender<()>, Receiver<()>),
    used: Cell<Instant>,
    /// When an answer came last.
    heard: Cell<Instant>,
    closing: Cell<bool>,
    /// Part of an answer has come, and the rest not yet.
    partial: Cell<bool>,
}

/// Why a link ended.
struct Ending {
    /// The store sent what it should not have: its parts may have run, but it did not break.
    spoilt: bool,
    why: String,
}

impl Ending {
    fn broke(why: impl Into<String>) -> Self {
        Self { spoilt: false, why: why.into() }
    }

    fn spoilt(why: impl ToString) -> Self {
        Self { spoilt: true, why: why.to_string() }
    }
}

impl Link {
    /// A link to be opened by [`Link::run`].
    pub fn new(site: Rc<Site>, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self {
            site,
            counters,
            flights: RefCell::default(),
            queue: RefCell::default(),
            calls: Cell::new(0),
            ended: RefCell::default(),
            wake: async_channel::bounded(1),
            used: Cell::new(Instant::now()),
            heard: Cell::new(Instant::now()),
            closing: Cell::new(false),
            partial: Cell::new(false),
        })
    }

    /// Whether it can carry so many more parts now. One that has stood idle for nearly as long as the store
    /// bears is not used: a call that crosses the store's close would end as a reset. Nor is one in the
    /// midst of an answer: if that never ends, the next answer would be taken for its rest.
    pub fn has_room(&self, parts: usize, limits: &Limits) -> bool {
        !self.closing.get()
            && !self.partial.get()
            && self.flights.borrow().len() + parts <= limits.streams
            && (!self.idle() || self.used.get().elapsed() < limits.idle)
    }

    /// Whether it carries nothing.
    pub fn idle(&self) -> bool {
        self.flights.borrow().is_empty() && self.queue.borrow().is_empty()
    }

    /// How many parts it carries.
    pub fn load(&self) -> usize {
        self.flights.borrow().len()
    }

    /// Takes no more parts; closes once it carries nothing.
    pub fn retire(&self) {
        self.closing.set(true);
        self.wake();
    }

    fn wake(&self) {
        let _ = self.wake.0.try_send(());
    }

    /// Queues parts that share a call. The end of each comes on its channel.
    pub fn call(&self, parts: impl IntoIterator<Item = Part>) -> Vec<Receiver<Ended>> {
        self.calls.set(self.calls.get() + 1);
        parts.into_iter().map(|part| self.join(part)).collect()
    }

    /// Queues a part for the last call.
    fn join(&self, part: Part) -> Receiver<Ended> {
        let (send, ended) = async_channel::bounded(1);
        let id = part.id.clone();
        // Guards against a client that uses an id again while a part of that id is still out here: the
        // answer to the one would be taken for the other's.
        if self.flights.borrow().contains_key(&id) {
            let _ = send.try_send(Outcome::Void.into());
            return ended;
        }
        self.flights.borrow_mut().insert(id, Flight { ended: send, written: false, since: Instant::now() });
        self.queue.borrow_mut().push_back(Outgoing::Part(part, self.calls.get()));
        self.used.set(Instant::now());
        self.wake();
        ended
    }

    /// Gives a part up: takes it back if no byte of its call has been written (true), or tells the store.
    pub fn give_up(&self, id: &Rc<str>) -> bool {
        let mut queue = self.queue.borrow_mut();
        let queued = queue.iter().position(|out| matches!(out, Outgoing::Part(part, _) if part.id == *id));
        if let Some(at) = queued {
            queue.remove(at);
            self.flights.borrow_mut().remove(id);
            return true;
        }
        queue.push_back(Outgoing::Frame(frame::frame(frame::GIVE_UP, id.as_bytes())));
        drop(queue);
        self.wake();
        false
    }

    /// Forgets a part that is no longer waited for, and may have been waited for in vain.
    pub fn forget(&self, id: &Rc<str>, in_vain: bool, limits: &Limits) {
        let flight = self.flights.borrow_mut().remove(id);
        // Guards against a connection that fell silent while its store is well, and shows no other sign of it:
        // nothing came while this part waited. The next part is better off on a new one.
        let silent =
            in_vain && flight.is_some_and(|flight| flight.written && self.heard.get() < flight.since);
        if silent && !self.closing.replace(true) {
            count(&self.counters.links_silent);
        }
        self.remember(id.clone(), limits);
        self.used.set(Instant::now());
        self.wake();
    }

    fn remember(&self, id: Rc<str>, limits: &Limits) {
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= limits.streams.saturating_mul(REMEMBERED) {
            ended.pop_front();
        }
        ended.push_back(id);
    }

    /// Opens the connection and serves it until it ends; true if the store sent what it should not have.
    pub async fn run(self: Rc<Self>, limits: Rc<Limits>) -> bool {
        count(&self.counters.dials);
        let dialled = match faults::point("store.dial") {
            true => Err(std::io::ErrorKind::ConnectionRefused.into()),
            false => http::connect(self.site.address.get(), limits.dial).await,
        };
        let ending = match dialled {
            Ok(socket) => {
                let _ = socket.get_ref().set_nodelay(true);
                futures_lite::future::or(self.read(&socket, &limits), self.write(&socket, &limits)).await
            }
            Err(e) => Ending::broke(format!("not opened: {e}")),
        };
        log::debug!("{}: connection ended: {}", self.site.name, ending.why);
        if ending.spoilt {
            count(&self.counters.bad_frames);
        }
        self.closing.set(true);
        self.queue.borrow_mut().clear();
        let flights = std::mem::take(&mut *self.flights.borrow_mut());
        for flight in flights.into_values() {
            // Guards against taking a store that answers, if badly, for one that went down and is cold when
            // it comes back: that is what a break tells the module.
            let outcome = match (flight.written, ending.spoilt) {
                (true, true) => Outcome::Failure,
                (true, false) => Outcome::Broken,
                (false, true) => Outcome::Void,
                (false, false) => Outcome::Unreachable,
            };
            let _ = flight.ended.try_send(outcome.into());
        }
        ending.spoilt
    }

    async fn write(&self, socket: &Async<TcpStream>, limits: &Limits) -> Ending {
        loop {
            if let Some((bytes, parts)) = self.next_frame(limits) {
                if let Err(e) = http::write_all(socket, &bytes, WRITE_WITHIN).await {
                    return Ending::broke(format!("writing: {e}"));
                }
                for id in parts {
                    self.flights.borrow_mut().entry(id).and_modify(|flight| flight.written = true);
                }
                continue;
            }
            if self.idle() && (self.closing.get() || self.used.get().elapsed() >= limits.idle) {
                return Ending::broke("idle");
            }
            let idle = async {
                Timer::after(limits.idle).await;
            };
            let woken = async {
                let _ = self.wake.1.recv().await;
            };
            futures_lite::future::or(woken, idle).await;
        }
    }

    /// The next frame to be written, and the parts in it. A call is put together now, so that what has been given up
    /// meanwhile is not in it.
    fn next_frame(&self, limits: &Limits) -> Option<(Vec<u8>, Vec<Rc<str>>)> {
        let mut queue = self.queue.borrow_mut();
        let (mut rest, mut ids, mut joint) = (Vec::new(), Vec::new(), None);
        loop {
            match queue.pop_front() {
                None if ids.is_empty() => return None,
                Some(Outgoing::Frame(bytes)) if ids.is_empty() => return Some((bytes, ids)),
                // Guards the rules on drains and on repeats: what waited too long behind others stays unsent.
                Some(Outgoing::Part(part, _)) if !self.may_write(&part) => {
                    if let Some(flight) = self.flights.borrow_mut().remove(&part.id) {
                        let _ = flight.ended.try_send(Outcome::Void.into());
                    }
                }
                Some(Outgoing::Part(part, call))
                    if ids.is_empty()
                        || (joint == Some(call)
                            && ids.len() < limits.batch
                            && rest.len() + part.bytes.len() < frame::FRAME_MAX) =>
                {
                    joint = Some(call);
                    rest.extend_from_slice(&part.bytes);
                    ids.push(part.id);
                }
                other => {
                    // Of another call.
                    other.into_iter().for_each(|out| queue.push_front(out));
                    count(&self.counters.calls);
                    return Some((frame::frame(frame::CALL, &rest), ids));
                }
            }
        }
    }

    fn may_write(&self, part: &Part) -> bool {
        self.site.may_send() && part.by.is_none_or(|by| Instant::now() < by)
    }

    async fn read(&self, mut socket: &Async<TcpStream>, limits: &Limits) -> Ending {
        let (mut buffer, mut piece) = (Vec::new(), [0; 4096]);
        loop {
            let read = async { Some(socket.read(&mut piece).await) };
            let late = async {
                match self.partial.get() {
                    true => drop(Timer::after(REST_WITHIN).await),
                    false => futures_lite::future::pending().await,
                }
                None
            };
            match futures_lite::future::or(read, late).await {
                None => return Ending::spoilt("an answer without its end"),
                Some(Ok(0)) => return Ending::broke("closed by the store"),
                Some(Ok(n)) => buffer.extend_from_slice(&piece[..n]),
                Some(Err(e)) => return Ending::broke(format!("reading: {e}")),
            }
            let mut at = 0;
            loop {
                let taken = frame::split(&buffer[at..]).map_err(|fault| fault.to_string());
                let taken = taken.and_then(|frame| match frame {
                    Some((letter, rest, length)) => self.take(letter, rest, limits).map(|()| length),
                    None => Ok(0),
                });
                match taken {
                    Ok(0) => break,
                    Ok(length) => at += length,
                    Err(fault) => {
                        log::debug!("{}: unusable: {}", self.site.name, start(&buffer[at..]));
                        return Ending::spoilt(fault);
                    }
                }
            }
            buffer.drain(..at);
            self.partial.set(!buffer.is_empty());
            // Guards against noise that looks like the beginning of an answer: nobody waits for one.
            if self.partial.get() && self.flights.borrow().is_empty() {
                log::debug!("{}: left over: {}", self.site.name, start(&buffer));
                return Ending::spoilt("more than belongs to an answer");
            }
        }
    }

    fn take(&self, letter: u8, rest: &[u8], limits: &Limits) -> Result<(), String> {
        match frame::parse(letter, rest).map_err(|fault| fault.to_string())? {
            Frame::Answer { id, end, score, report, newer, value } => {
                self.used.set(Instant::now());
                self.heard.set(Instant::now());
                let Some((id, flight)) = self.flights.borrow_mut().remove_entry(id) else {
                    // Guards against an answer that bears another's id: who waits for it waits in vain.
                    if !self.ended.borrow().iter().any(|ended| **ended == *id) {
                        return Err("an answer to a part that was not asked for".to_owned());
                    }
                    count(&self.counters.late_answers);
                    return Ok(());
                };
                self.remember(id, limits);
                let outcome = match end {
                    End::Good => Outcome::Success,
                    End::Bad => Outcome::Failure,
                    End::Later => Outcome::Overloaded,
                };
                let served = (end == End::Good).then(|| Served { score, value: value.into() });
                let _ = flight.ended.try_send(Ended { outcome, served, report, newer });
                if self.closing.get() {
                    self.wake();
                }
                Ok(())
            }
            Frame::Probed | Frame::Loaded(_) => Ok(()),
            Frame::Complaint(words) => Err(format!("the store complains: {}", start(words))),
        }
    }
}

/// The first bytes of what came, for the log.
fn start(bytes: &[u8]) -> std::slice::EscapeAscii<'_> {
    bytes[..bytes.len().min(LOGGED)].escape_ascii()
}
