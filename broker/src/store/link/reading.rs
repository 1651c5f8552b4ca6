//! Reading from a link: splits the received bytes into frames and delivers each answer to its part. Anything that is not an
//! answer to a part of this link ends the link as corrupt. It ends as disconnected if the store closes the connection, also
//! if only in one direction, or resets it. Bytes on a link without parts in flight end it at once, since they can't be told
//! from the beginning of an answer.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use gingerledge_dispatch::Outcome;

use super::super::frame::{self, Frame, PartOutcome};
use super::{Ending, InFlightPart, Limits, Link, Stage};
use crate::core::{AttemptOutcome, Served};
use crate::counters::count;

/// Time-out for the remainder of a response whose first bytes have arrived; stores write a response at once.
const REMAINDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of bytes of an invalid frame that are logged.
const LOGGED_BYTES_MAX: usize = 96;

impl Link {
    pub(super) async fn read(&self, mut socket: &Async<TcpStream>, limits: &Limits) -> Ending {
        let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
        loop {
            let read = async { Some(socket.read(&mut chunk).await) };
            let remainder_timeout = async {
                match self.has_partial_answer.get() {
                    true => drop(Timer::after(REMAINDER_TIMEOUT).await),
                    false => futures_lite::future::pending().await,
                }
                None
            };
            match futures_lite::future::or(read, remainder_timeout).await {
                None => return Ending::corrupt("an answer was not completed in time"),
                Some(Ok(0)) => return Ending::disconnected("closed by the store"),
                Some(Ok(n)) => buffer.extend_from_slice(&chunk[..n]),
                Some(Err(e)) => return Ending::disconnected(format!("reading: {e}")),
            }
            let mut consumed = 0;
            loop {
                let handled = frame::split(&buffer[consumed..]).map_err(|fault| fault.to_string());
                let handled = handled.and_then(|frame| match frame {
                    Some((letter, rest, length)) => self.on_frame(letter, rest, limits).map(|()| length),
                    None => Ok(0),
                });
                match handled {
                    Ok(0) => break,
                    Ok(length) => consumed += length,
                    Err(fault) => {
                        log::debug!(store = self.endpoint.name, bytes:% = excerpt(&buffer[consumed..]); "frame of a store is invalid");
                        return Ending::corrupt(fault);
                    }
                }
            }
            buffer.drain(..consumed);
            self.has_partial_answer.set(!buffer.is_empty());
            // Guards against invalid bytes that look like the beginning of an answer while no written part awaits one.
            // Queued parts have not been written, and behind such bytes their answers could not be read.
            let awaits_answer = |part: &InFlightPart| part.stage != Stage::Queued;
            if self.has_partial_answer.get() && !self.in_flight.borrow().values().any(awaits_answer) {
                log::debug!(store = self.endpoint.name, bytes:% = excerpt(&buffer); "store sent more than an answer");
                return Ending::corrupt("bytes that belong to no answer");
            }
        }
    }

    fn on_frame(&self, letter: u8, rest: &[u8], limits: &Limits) -> Result<(), String> {
        match frame::parse(letter, rest).map_err(|fault| fault.to_string())? {
            Frame::Answer { id, outcome, score, report, newer_epoch, value } => {
                self.last_used.set(Instant::now());
                self.last_answer_at.set(Instant::now());
                let Some((id, part)) = self.in_flight.borrow_mut().remove_entry(id) else {
                    // A response with an unknown id means that another part will not get its answer.
                    if !self.recently_ended.borrow().iter().any(|ended| **ended == *id) {
                        return Err("an answer to an unknown part".to_owned());
                    }
                    count(&self.counters.late_answers);
                    return Ok(());
                };
                self.remember(id, limits);
                let attempt_outcome = match outcome {
                    PartOutcome::Served => Outcome::Success,
                    PartOutcome::Failed => Outcome::Failure,
                    PartOutcome::Rejected => Outcome::Overloaded,
                };
                let served = (outcome == PartOutcome::Served).then(|| Served { score, value: value.into() });
                let _ = part.outcome.try_send(AttemptOutcome {
                    outcome: attempt_outcome,
                    served,
                    report,
                    newer_epoch,
                });
                if self.is_closing.get() {
                    self.wake();
                }
                Ok(())
            }
            Frame::Probed | Frame::Loaded(_) => Ok(()),
            Frame::ProtocolError(message) => {
                Err(format!("the store reports a protocol error: {}", excerpt(message)))
            }
        }
    }
}

/// The first bytes of a frame, for the log.
fn excerpt(bytes: &[u8]) -> std::slice::EscapeAscii<'_> {
    bytes[..bytes.len().min(LOGGED_BYTES_MAX)].escape_ascii()
}
