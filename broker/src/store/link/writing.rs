//! Writing a link, and the last check of what may be written.
//!
//! A part may begin to be written while its client waits, its store takes work and its window for repeats is open; all three are
//! looked at when the socket takes the first byte of its call, and while it takes none every [`RECHECK_INTERVAL`]. A part that may not
//! never ran: its end is void. Once the first byte is out the store's drain counts no more (a send counts from its first
//! byte), the client and the window do, for an attempt counts from its last byte; so does whether anyone still waits for the
//! part. A call of which one part must not go on is left without its end and the link is closed: none of its parts ran.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use gingerledge_dispatch::Outcome;

use super::super::frame;
use super::{Ending, Limits, Link, Outgoing, Part, Stage};
use crate::counters::count;

/// Time-out for a store that accepts no bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// What waits for a connection or behind a stalled write is looked at so often. Short against the 100 ms within which
/// nothing more may begin for a client that has left.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Writes as much as the socket accepts without waiting; 0 if it accepts nothing now.
fn write_available(socket: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match socket.get_ref().write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(0),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Waits until the socket is writable, at most for the recheck interval.
async fn writable_or_due(socket: &Async<TcpStream>) {
    let look = async {
        Timer::after(RECHECK_INTERVAL).await;
    };
    let writable = async {
        let _ = socket.writable().await;
    };
    futures_lite::future::or(writable, look).await;
}

/// Writes the bytes from `at` on; false if they may not go on. `may` is asked before each write, with whether any byte is out.
pub async fn write_while(
    socket: &Async<TcpStream>,
    bytes: &[u8],
    mut at: usize,
    may: impl Fn(bool) -> bool,
) -> io::Result<bool> {
    let mut moved = Instant::now();
    while at < bytes.len() {
        if !may(at > 0) {
            return Ok(false);
        }
        match write_available(socket, &bytes[at..])? {
            0 if moved.elapsed() >= WRITE_TIMEOUT => return Err(io::ErrorKind::TimedOut.into()),
            0 => writable_or_due(socket).await,
            n => (at, moved) = (at + n, Instant::now()),
        }
    }
    Ok(true)
}

/// A frame to be written.
struct Call {
    bytes: Vec<u8>,
    /// Its parts with the number of their call; empty in a frame of another kind.
    parts: Vec<(Part, u64)>,
}

impl Link {
    pub(super) async fn write(&self, socket: &Async<TcpStream>, limits: &Limits) -> Ending {
        let mut stalled = None;
        loop {
            if let Some(call) = self.next_frame(limits) {
                let taken = match write_available(socket, &call.bytes) {
                    Ok(taken) => taken,
                    Err(e) => return Ending::disconnected(format!("writing: {e}")),
                };
                if taken == 0 {
                    self.requeue(call);
                    if stalled.get_or_insert_with(Instant::now).elapsed() >= WRITE_TIMEOUT {
                        return Ending::disconnected("writing: the store takes nothing");
                    }
                    writable_or_due(socket).await;
                    self.void_unsendable();
                    continue;
                }
                stalled = None;
                if !call.parts.is_empty() {
                    count(&self.counters.calls);
                }
                self.set_stage(&call, Stage::Begun);
                let may = |_| {
                    self.void_unsendable();
                    call.parts.iter().all(|(part, _)| self.may_continue(part))
                };
                match write_while(socket, &call.bytes, taken, may).await {
                    Ok(true) => self.set_stage(&call, Stage::Written),
                    Ok(false) => return Ending::disconnected("a call was left without its end"),
                    Err(e) => return Ending::disconnected(format!("writing: {e}")),
                }
                continue;
            }
            if self.is_idle() && (self.is_closing.get() || self.last_used.get().elapsed() >= limits.idle) {
                return Ending::disconnected("idle");
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

    /// The next frame to be written. A call is assembled here, so that it holds no part withdrawn meanwhile.
    fn next_frame(&self, limits: &Limits) -> Option<Call> {
        let mut queue = self.queue.borrow_mut();
        let (mut rest, mut parts) = (Vec::new(), Vec::<(Part, u64)>::new());
        loop {
            match queue.pop_front() {
                None if parts.is_empty() => return None,
                Some(Outgoing::Frame(bytes)) if parts.is_empty() => return Some(Call { bytes, parts }),
                Some(Outgoing::Part(part, _)) if !self.may_begin(&part) => self.end_as_void(&part),
                Some(Outgoing::Part(part, call))
                    if parts.last().is_none_or(|(_, joint)| {
                        *joint == call
                            && parts.len() < limits.batch
                            && rest.len() + part.bytes.len() < frame::FRAME_MAX
                    }) =>
                {
                    rest.extend_from_slice(&part.bytes);
                    parts.push((part, call));
                }
                other => {
                    // Of another call.
                    other.into_iter().for_each(|out| queue.push_front(out));
                    return Some(Call { bytes: frame::frame(frame::CALL, &rest), parts });
                }
            }
        }
    }

    /// Returns a frame of which no byte was written to the queue, where its parts may still be withdrawn.
    fn requeue(&self, call: Call) {
        let mut queue = self.queue.borrow_mut();
        if call.parts.is_empty() {
            return queue.push_front(Outgoing::Frame(call.bytes));
        }
        call.parts.into_iter().rev().for_each(|(part, call)| queue.push_front(Outgoing::Part(part, call)));
    }

    /// Ends queued parts that may no longer be sent.
    pub(super) fn void_unsendable(&self) {
        self.queue.borrow_mut().retain(|out| match out {
            Outgoing::Part(part, _) if !self.may_begin(part) => {
                self.end_as_void(part);
                false
            }
            _ => true,
        });
    }

    fn end_as_void(&self, part: &Part) {
        if let Some(flight) = self.flights.borrow_mut().remove(&part.id) {
            let _ = flight.ended.try_send(Outcome::Void.into());
        }
    }

    fn set_stage(&self, call: &Call, stage: Stage) {
        let mut flights = self.flights.borrow_mut();
        for (part, _) in &call.parts {
            if let Some(flight) = flights.get_mut(&part.id) {
                flight.stage = stage;
            }
        }
    }

    fn may_begin(&self, part: &Part) -> bool {
        self.endpoint.may_send() && self.is_wanted(part)
    }

    fn may_continue(&self, part: &Part) -> bool {
        !self.is_aborted.get() && self.is_wanted(part)
    }

    /// Whether its query is open and its send deadline has not passed.
    fn is_wanted(&self, part: &Part) -> bool {
        part.by.is_none_or(|by| Instant::now() < by) && !self.exchange.is_finished(part.query_id)
    }
}
