//! Reading a link: frames as they come, each answer to the part that waits for it. Whatever is no answer to a part that was
//! asked for ends the link as spoilt; the store's end of the stream, also of one half only, and a reset end it as broken.
//! Bytes on a link that carries nothing end it at once: what nobody waits for can't be told from an answer's beginning.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use gingerledge_dispatch::Outcome;

use super::super::frame::{self, End, Frame};
use super::{Ending, Flight, Limits, Link, Stage};
use crate::core::{AttemptOutcome, Served};
use crate::counters::count;

/// Time-out for the remainder of a response whose first bytes have arrived; stores write responses in one go.
const REMAINDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of bytes of an invalid frame that are logged.
const LOGGED: usize = 96;

impl Link {
    pub(super) async fn read(&self, mut socket: &Async<TcpStream>, limits: &Limits) -> Ending {
        let (mut buffer, mut piece) = (Vec::new(), [0; 4096]);
        loop {
            let read = async { Some(socket.read(&mut piece).await) };
            let late = async {
                match self.has_partial_answer.get() {
                    true => drop(Timer::after(REMAINDER_TIMEOUT).await),
                    false => futures_lite::future::pending().await,
                }
                None
            };
            match futures_lite::future::or(read, late).await {
                None => return Ending::corrupt("an answer without its end"),
                Some(Ok(0)) => return Ending::disconnected("closed by the store"),
                Some(Ok(n)) => buffer.extend_from_slice(&piece[..n]),
                Some(Err(e)) => return Ending::disconnected(format!("reading: {e}")),
            }
            let mut at = 0;
            loop {
                let taken = frame::split(&buffer[at..]).map_err(|fault| fault.to_string());
                let taken = taken.and_then(|frame| match frame {
                    Some((letter, rest, length)) => self.on_frame(letter, rest, limits).map(|()| length),
                    None => Ok(0),
                });
                match taken {
                    Ok(0) => break,
                    Ok(length) => at += length,
                    Err(fault) => {
                        log::debug!(store = self.endpoint.name, bytes:% = start(&buffer[at..]); "frame of a store is invalid");
                        return Ending::corrupt(fault);
                    }
                }
            }
            buffer.drain(..at);
            self.has_partial_answer.set(!buffer.is_empty());
            // Guards against noise that looks like the beginning of an answer: nobody waits for one. What is queued has not
            // been written; behind half a line its own answer could not be read.
            let waited = |flight: &Flight| flight.stage != Stage::Queued;
            if self.has_partial_answer.get() && !self.flights.borrow().values().any(waited) {
                log::debug!(store = self.endpoint.name, bytes:% = start(&buffer); "store sent more than an answer");
                return Ending::corrupt("more than belongs to an answer");
            }
        }
    }

    fn on_frame(&self, letter: u8, rest: &[u8], limits: &Limits) -> Result<(), String> {
        match frame::parse(letter, rest).map_err(|fault| fault.to_string())? {
            Frame::Answer { id, end, score, report, newer, value } => {
                self.last_used.set(Instant::now());
                self.last_answer_at.set(Instant::now());
                let Some((id, flight)) = self.flights.borrow_mut().remove_entry(id) else {
                    // A response with an unknown id means that some other part waits in vain.
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
                let _ = flight.ended.try_send(AttemptOutcome { outcome, served, report, newer_epoch: newer });
                if self.is_closing.get() {
                    self.wake();
                }
                Ok(())
            }
            Frame::Probed | Frame::Loaded(_) => Ok(()),
            Frame::Complaint(words) => Err(format!("the store complains: {}", start(words))),
        }
    }
}

/// The first bytes of a frame, for the log.
fn start(bytes: &[u8]) -> std::slice::EscapeAscii<'_> {
    bytes[..bytes.len().min(LOGGED)].escape_ascii()
}
