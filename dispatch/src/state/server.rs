//! Servers, and the attempts outstanding at them.

use std::collections::VecDeque;

use crate::idle_connections::{ConnectionUse, ServerConnections};
use crate::{Millis, RequestId, ServerStatus};

/// An attempt whose outcome has not been received yet.
#[derive(Debug)]
pub(crate) struct OutstandingAttempt {
    pub(crate) part: RequestId,
    /// The number of the attempt within the part, from 0.
    pub(crate) number: u32,
    pub(crate) sent_at: Millis,
    /// The call that carries the attempt.
    pub(crate) call: u64,
    pub(crate) class: usize,
    pub(crate) connection: ConnectionUse,
}

/// The failures of a server in one class, or of its process as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureAccrual {
    /// Number of failures in a row. Failures during an ejection do not count, since their attempts were sent
    /// before it.
    pub(crate) consecutive_failures: u32,
    /// The end of the ejection that these failures caused.
    pub(crate) ejected_until: Millis,
    /// Moving average of the share of attempts that failed.
    pub(crate) error_rate: f64,
    /// When `error_rate` was last updated.
    pub(crate) updated_at: Millis,
}

/// A call that was opened in the present turn and that further parts may join.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenCall {
    pub(crate) id: u64,
    pub(crate) parts: u32,
}

/// The record of a part that was sent to a server.
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
    /// When its process started, according to the list or, if that is later, inferred from a response after
    /// it was down.
    pub(crate) started_at: Millis,
    pub(crate) outstanding: Vec<OutstandingAttempt>,
    /// The call opened to the server in the present turn.
    pub(crate) open_call: Option<OpenCall>,
    /// Failures by class. The last entry is for failures of the process as a whole.
    pub(crate) failures: Vec<FailureAccrual>,
    /// Moving average of its latency, as a multiple of the usual latency of the class.
    pub(crate) latency_ratio: f64,
    /// When `latency_ratio` was last updated.
    pub(crate) latency_sampled_at: Millis,
    /// When the server last served a part.
    pub(crate) last_served_at: Millis,
    /// Whether its process seems to be down: since its last success, connections repeatedly broke or could
    /// not be opened.
    pub(crate) is_down: bool,
    /// The parts sent to the server within the longest window that matters for its warm-up, in order.
    pub(crate) recent_sends: VecDeque<RecentSend>,
    pub(crate) connections: ServerConnections,
}

impl Server {
    /// The call opened to the server in the present turn, if it may carry one more part.
    pub(crate) fn joinable_call(&self, max_parts: u32) -> Option<OpenCall> {
        self.open_call.filter(|call| call.parts < max_parts)
    }

    /// The number of outstanding calls. Attempts of the same call are adjacent in `outstanding`.
    pub(crate) fn outstanding_calls(&self) -> u32 {
        let mut previous_call = None;
        let begins_call =
            |attempt: &&OutstandingAttempt| previous_call.replace(attempt.call) != Some(attempt.call);
        self.outstanding.iter().filter(begins_call).count() as u32
    }

    /// Removes an attempt that has ended; returns it if it was outstanding.
    pub(crate) fn remove_attempt(&mut self, part: RequestId, number: u32) -> Option<OutstandingAttempt> {
        let is_same_attempt = |attempt: &OutstandingAttempt| attempt.part == part && attempt.number == number;
        let index = self.outstanding.iter().position(is_same_attempt)?;
        Some(self.outstanding.remove(index))
    }
}
