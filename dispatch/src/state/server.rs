//! Servers and the attempts outstanding there.

use std::collections::VecDeque;

use crate::idle_connections::{ConnectionUse, ServerConnections};
use crate::{Millis, RequestId, ServerStatus};

/// An attempt that its server has not ended yet.
#[derive(Debug)]
pub(crate) struct OutstandingAttempt {
    pub(crate) part: RequestId,
    /// Which of the part's attempts, from 0.
    pub(crate) number: u32,
    pub(crate) sent_at: Millis,
    /// The call that carries it.
    pub(crate) call: u64,
    pub(crate) class: usize,
    pub(crate) connection: ConnectionUse,
}

/// The failures of a server in one class, or of its process.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureAccrual {
    /// Failures in a row; those of attempts sent before an ejection count once.
    pub(crate) consecutive: u32,
    /// Until when they eject the server.
    pub(crate) ejected_until: Millis,
    /// Moving average of failures among attempts.
    pub(crate) error_rate: f64,
    pub(crate) updated_at: Millis,
}

/// A call opened in the present turn, which further parts may join.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenCall {
    pub(crate) id: u64,
    pub(crate) parts: u32,
}

/// A part that was sent to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentSend {
    pub(crate) at: Millis,
    pub(crate) class: usize,
}

/// A server, on the list or with attempts outstanding.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) status: ServerStatus,
    /// When its process started, by the list or, if later, by its own behaviour.
    pub(crate) started_at: Millis,
    pub(crate) outstanding: Vec<OutstandingAttempt>,
    /// The call opened in this turn.
    pub(crate) open_call: Option<OpenCall>,
    /// Failures by class; the last entry is for failures of the whole process.
    pub(crate) failures: Vec<FailureAccrual>,
    /// Moving average of its latency, relative to the usual one of the class.
    pub(crate) latency_ratio: f64,
    /// When `latency_ratio` was last updated.
    pub(crate) sampled_at: Millis,
    /// When it last served a part.
    pub(crate) last_served: Millis,
    /// Connections have been refused or lost since its last success.
    pub(crate) is_down: bool,
    /// The parts sent to it within the longest window that limits a server that is warming up.
    pub(crate) recent_sends: VecDeque<RecentSend>,
    pub(crate) connections: ServerConnections,
}

impl Server {
    /// The call opened in this turn, if it may carry one more part.
    pub(crate) fn joinable_call(&self, max_parts: u32) -> Option<OpenCall> {
        self.open_call.filter(|call| call.parts < max_parts)
    }

    /// The number of outstanding calls. The parts of one call are adjacent in `outstanding`.
    pub(crate) fn outstanding_calls(&self) -> u32 {
        let mut previous = None;
        let begins_call =
            |attempt: &&OutstandingAttempt| previous.replace(attempt.call) != Some(attempt.call);
        self.outstanding.iter().filter(begins_call).count() as u32
    }

    /// Removes an attempt that has ended.
    pub(crate) fn remove_attempt(&mut self, part: RequestId, number: u32) -> Option<OutstandingAttempt> {
        let is_it = |attempt: &OutstandingAttempt| attempt.part == part && attempt.number == number;
        let index = self.outstanding.iter().position(is_it)?;
        Some(self.outstanding.remove(index))
    }
}
