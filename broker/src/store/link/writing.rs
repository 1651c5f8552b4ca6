//! Writing to a link, and the last check of what may be written.
//!
//! A part may be started as long as its client waits, its store accepts work and its send deadline has not passed. These
//! three conditions are checked when the socket accepts the first byte of the part's call, and every [`RECHECK_INTERVAL`] as
//! long as it accepts none. A part that may no longer be started was never executed, so its outcome is void. Once the first
//! byte has been written, the store's drain no longer matters, since a send counts from its first byte. The client and the
//! send deadline still matter, since an attempt counts from its last byte, and so does a withdrawal of the part. If one part
//! of a call must not be continued, the call is left incomplete and the link is closed: none of the call's parts was
//! executed.

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
/// Interval at which parts that wait for a connection or behind a stalled write are rechecked. Short compared with the 100
/// ms after which no work may be started any more for a client that has disconnected.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Writes as many bytes as the socket accepts without waiting, and returns their number; 0 if it accepts none now.
fn write_available(socket: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match socket.get_ref().write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(0),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Waits until the socket is writable, at most for [`RECHECK_INTERVAL`].
async fn writable_or_due(socket: &Async<TcpStream>) {
    let recheck = async {
        Timer::after(RECHECK_INTERVAL).await;
    };
    let writable = async {
        let _ = socket.writable().await;
    };
    futures_lite::future::or(writable, recheck).await;
}

/// Writes the bytes from `written` on, as long as `may_write` permits it. `may_write` is called before each write with
/// whether any byte has been written. Returns false if it stopped the writing.
///
/// # Errors
///
/// If the socket fails, or accepts no byte within the write time-out.
pub async fn write_while(
    socket: &Async<TcpStream>,
    bytes: &[u8],
    mut written: usize,
    may_write: impl Fn(bool) -> bool,
) -> io::Result<bool> {
    let mut last_progress = Instant::now();
    while written < bytes.len() {
        if !may_write(written > 0) {
            return Ok(false);
        }
        match write_available(socket, &bytes[written..])? {
            0 if last_progress.elapsed() >= WRITE_TIMEOUT => return Err(io::ErrorKind::TimedOut.into()),
            0 => writable_or_due(socket).await,
            n => (written, last_progress) = (written + n, Instant::now()),
        }
    }
    Ok(true)
}

/// A frame to be written.
struct OutgoingFrame {
    bytes: Vec<u8>,
    /// The parts of a call, each with the number of the call; empty in a frame of another type.
    parts: Vec<(Part, u64)>,
}

impl Link {
    /// Writes queued frames until the link ends, and returns the reason for its end.
    pub(super) async fn write(&self, socket: &Async<TcpStream>, limits: &Limits) -> Ending {
        let mut stalled_since = None;
        loop {
            if let Some(frame) = self.next_frame(limits) {
                let written = match write_available(socket, &frame.bytes) {
                    Ok(written) => written,
                    Err(e) => return Ending::disconnected(format!("writing: {e}")),
                };
                if written == 0 {
                    self.requeue(frame);
                    if stalled_since.get_or_insert_with(Instant::now).elapsed() >= WRITE_TIMEOUT {
                        return Ending::disconnected("writing: the store accepts no bytes");
                    }
                    writable_or_due(socket).await;
                    self.void_unsendable();
                    continue;
                }
                stalled_since = None;
                if !frame.parts.is_empty() {
                    count(&self.counters.calls);
                }
                self.set_stage(&frame, Stage::Begun);
                let may_write = |_| {
                    self.void_unsendable();
                    frame.parts.iter().all(|(part, _)| self.may_continue(part))
                };
                match write_while(socket, &frame.bytes, written, may_write).await {
                    Ok(true) => self.set_stage(&frame, Stage::Written),
                    Ok(false) => return Ending::disconnected("a call was left incomplete"),
                    Err(e) => return Ending::disconnected(format!("writing: {e}")),
                }
                continue;
            }
            if self.is_idle()
                && (self.is_closing.get() || self.last_used.get().elapsed() >= limits.idle_timeout)
            {
                return Ending::disconnected("idle");
            }
            let idle = async {
                Timer::after(limits.idle_timeout).await;
            };
            let woken = async {
                let _ = self.wake.1.recv().await;
            };
            futures_lite::future::or(woken, idle).await;
        }
    }

    /// Takes the next frame from the queue. A call is assembled only here, so that it contains no part that was withdrawn
    /// meanwhile.
    fn next_frame(&self, limits: &Limits) -> Option<OutgoingFrame> {
        let mut queue = self.queue.borrow_mut();
        let (mut rest, mut parts) = (Vec::new(), Vec::<(Part, u64)>::new());
        loop {
            match queue.pop_front() {
                None if parts.is_empty() => return None,
                Some(Outgoing::Frame(bytes)) if parts.is_empty() => {
                    return Some(OutgoingFrame { bytes, parts })
                }
                Some(Outgoing::Part(part, _)) if !self.may_begin(&part) => self.end_as_void(&part),
                Some(Outgoing::Part(part, call))
                    if parts.last().is_none_or(|(_, current)| {
                        *current == call
                            && parts.len() < limits.batch
                            && rest.len() + part.bytes.len() < frame::FRAME_MAX
                    }) =>
                {
                    rest.extend_from_slice(&part.bytes);
                    parts.push((part, call));
                }
                other => {
                    // The element belongs to the next frame.
                    other.into_iter().for_each(|element| queue.push_front(element));
                    return Some(OutgoingFrame { bytes: frame::frame(frame::CALL, &rest), parts });
                }
            }
        }
    }

    /// Puts a frame of which no byte was written back to the front of the queue, where its parts may still be withdrawn.
    fn requeue(&self, frame: OutgoingFrame) {
        let mut queue = self.queue.borrow_mut();
        if frame.parts.is_empty() {
            return queue.push_front(Outgoing::Frame(frame.bytes));
        }
        frame.parts.into_iter().rev().for_each(|(part, call)| queue.push_front(Outgoing::Part(part, call)));
    }

    /// Removes queued parts that may no longer be sent, with the outcome void.
    pub(super) fn void_unsendable(&self) {
        self.queue.borrow_mut().retain(|element| match element {
            Outgoing::Part(part, _) if !self.may_begin(part) => {
                self.end_as_void(part);
                false
            }
            _ => true,
        });
    }

    fn end_as_void(&self, part: &Part) {
        if let Some(in_flight) = self.in_flight.borrow_mut().remove(&part.id) {
            let _ = in_flight.outcome.try_send(Outcome::Void.into());
        }
    }

    fn set_stage(&self, frame: &OutgoingFrame, stage: Stage) {
        let mut in_flight = self.in_flight.borrow_mut();
        for (part, _) in &frame.parts {
            if let Some(in_flight) = in_flight.get_mut(&part.id) {
                in_flight.stage = stage;
            }
        }
    }

    fn may_begin(&self, part: &Part) -> bool {
        self.endpoint.may_send() && self.is_wanted(part)
    }

    fn may_continue(&self, part: &Part) -> bool {
        !self.is_aborted.get() && self.is_wanted(part)
    }

    /// Whether the part's query is open and its send deadline has not passed.
    fn is_wanted(&self, part: &Part) -> bool {
        part.send_by.is_none_or(|send_by| Instant::now() < send_by)
            && !self.exchange.is_finished(part.query_id)
    }
}
