//! Failure accrual and outlier ejection: records the outcome of each attempt, and ejects servers that fail.
//!
//! The kind of failure determines the scope of the ejection. A response with an error ejects the server for
//! the class of the attempt, any other failure for all classes. The ejection lasts for a short time, which
//! doubles with each failure in a row. After it, the server gets one call at a time as a trial, and until a
//! success it loses ties against other replicas.
//!
//! This covers servers that fail immediately (and would otherwise seem to be the least loaded), fail in one
//! class, are full, dead or cut off from the network, or fail intermittently. Withdrawn attempts count as
//! failures, too, since a query waited for them in vain. Ejection does harm if a common cause makes all
//! replicas fail, or if clients are impatient: all replicas are then equally suspect, and the numbers of
//! outstanding calls decide between them.

use super::Aggregator;
use crate::idle_connections::Lateness;
use crate::interface::{Millis, Outcome, RequestId, ServerId};
use crate::state::{FailureAccrual, PartState, Server};

/// Duration of the first ejection, in shortest latency targets.
///
/// If the duration were absolute and latency targets short, one late part would eject a server for as long as
/// entire queries may take, and its load would overload the neighbouring servers on the ring.
const EJECTION_MIN_TARGETS: f64 = 0.2;
/// Maximum duration of an ejection, in shortest latency targets.
const EJECTION_MAX_TARGETS: f64 = 3.0;
/// Maximum number of failures in a row that are counted.
const CONSECUTIVE_FAILURES_MAX: u32 = 8;
/// Number of failures in a row, each after the ejection for the previous one, that show that a process went
/// down.
const DOWN_AFTER_FAILURES: u32 = 2;
/// Gain of the moving average of a server's error rate.
const ERROR_RATE_GAIN: f64 = 0.12;

/// Identifies an attempt: one request for a part to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptId {
    pub(super) part: RequestId,
    /// The number of the attempt within the part, from 0.
    pub(super) number: u32,
    pub(super) server: ServerId,
}

impl FailureAccrual {
    fn update_error_rate(&mut self, now: Millis, sample: f64) {
        self.error_rate += ERROR_RATE_GAIN * (sample - self.error_rate);
        self.updated_at = now;
    }

    /// Records a success. It ends the ejection, but only lowers the error rate.
    fn on_success(&mut self, now: Millis) {
        self.update_error_rate(now, 0.0);
        self.consecutive_failures = 0;
        self.ejected_until = 0.0;
    }

    /// Records a failure, and ejects the server unless it is already ejected. Failures during an ejection
    /// belong to attempts sent before it, so they only raise the error rate.
    fn on_failure(&mut self, now: Millis, shortest_latency_target: Millis) {
        self.update_error_rate(now, 1.0);
        if now >= self.ejected_until {
            self.consecutive_failures = (self.consecutive_failures + 1).min(CONSECUTIVE_FAILURES_MAX);
            let targets = EJECTION_MIN_TARGETS * f64::from(1u32 << (self.consecutive_failures - 1));
            self.ejected_until = now + targets.min(EJECTION_MAX_TARGETS) * shortest_latency_target;
        }
    }
}

impl Server {
    fn on_success(&mut self, now: Millis, elapsed: Millis, class: usize, process_index: usize) {
        self.last_served_at = now;
        if self.is_down {
            // The process was down and responds again, so it has restarted; the list does not show this yet.
            self.is_down = false;
            self.started_at = self.started_at.max(now - elapsed);
        }
        self.failures[class].on_success(now);
        self.failures[process_index] = FailureAccrual::default();
    }

    fn on_failure(
        &mut self,
        now: Millis,
        outcome: Outcome,
        scope_index: usize,
        shortest_latency_target: Millis,
    ) {
        let failures = &mut self.failures[scope_index];
        failures.on_failure(now, shortest_latency_target);
        // A single connection may break or fail to open while the process continues to run. If that were
        // taken for a restart, the other servers would have to take a warm server's load for the duration of
        // a warm-up.
        let is_connection_failure = matches!(outcome, Outcome::Unreachable | Outcome::Broken);
        self.is_down |= is_connection_failure && failures.consecutive_failures >= DOWN_AFTER_FAILURES;
    }
}

impl Aggregator {
    /// Handles the end of an attempt: it no longer counts as outstanding, and its outcome is recorded for its
    /// server and part.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        elapsed: Millis,
        outcome: Outcome,
    ) {
        let class = self.end_attempt(now, attempt, elapsed, outcome);
        self.accrue_failures(now, attempt.server, class, elapsed, outcome);
        if let Some(class) = class {
            self.sample_latency(now, attempt.server, class, elapsed, outcome);
        }
        self.remove_if_unused(attempt.server);
        self.update_part(now, attempt.part, elapsed, outcome);
    }

    /// Removes an attempt from the outstanding ones. Returns its class if it was outstanding.
    fn end_attempt(
        &mut self,
        now: Millis,
        id: AttemptId,
        elapsed: Millis,
        outcome: Outcome,
    ) -> Option<usize> {
        let server = self.servers.get_mut(&id.server)?;
        let attempt = server.remove_attempt(id.part, id.number)?;
        let is_late = elapsed > self.latencies[attempt.class].usual;
        let lateness = if is_late { Lateness::Late } else { Lateness::InTime };
        let connections = &mut server.connections;
        self.idle_connections.on_attempt_ended(now, connections, attempt.connection, outcome, lateness);
        Some(attempt.class)
    }

    /// Records an outcome as a success or a failure of a server.
    fn accrue_failures(
        &mut self,
        now: Millis,
        id: ServerId,
        class: Option<usize>,
        elapsed: Millis,
        outcome: Outcome,
    ) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let process_index = self.settings.classes.len();
        // A server that has responded while the attempt was outstanding is slow, but has not failed. If it
        // were ejected, it would be idle while its load overloads the next replica, which would then respond
        // late and be ejected, and so on.
        let was_cut_short = matches!(outcome, Outcome::Withdrawn | Outcome::TimedOut);
        let is_only_slow = was_cut_short && server.last_served_at > now - elapsed;
        match (outcome, class) {
            (Outcome::Success, Some(class)) => {
                server.on_success(now, elapsed, class, process_index);
                self.latencies[class].on_served(elapsed);
            }
            (Outcome::Success, None) | (Outcome::Void, _) => {}
            _ if is_only_slow => {}
            (Outcome::Failure, Some(class)) => {
                server.on_failure(now, outcome, class, self.shortest_latency_target)
            }
            _ => server.on_failure(now, outcome, process_index, self.shortest_latency_target),
        }
    }

    /// Updates the part whose attempt has ended.
    fn update_part(&mut self, now: Millis, id: RequestId, elapsed: Millis, outcome: Outcome) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        part.outstanding_attempts = part.outstanding_attempts.saturating_sub(1);
        part.is_withdrawing = false;
        // If a connection broke and an earlier attempt of the part had already failed after it may have run,
        // the part itself is assumed to crash servers, and its query is not sent to further ones. This does
        // harm to a query that meets two unrelated crashes, but its client may repeat it.
        if outcome == Outcome::Broken && part.may_have_run_since.is_some() {
            if let Some(query) = self.queries.get_mut(&part.query) {
                query.is_query_of_death = true;
            }
        }
        if outcome != Outcome::Success && !outcome.never_ran() {
            // If two attempts were outstanding, the one sent later may have ended first.
            let earliest = part.may_have_run_since.unwrap_or(f64::INFINITY);
            part.may_have_run_since = Some(earliest.min(now - elapsed));
        }
        if outcome == Outcome::Success {
            part.state = PartState::Received;
        } else if part.state == PartState::Outstanding && part.outstanding_attempts == 0 {
            part.state = PartState::Waiting;
        }
    }
}
