//! Failure accrual and outlier ejection: learns from the outcome of each attempt, and ejects servers that fail.
//!
//! Suspicion goes by symptom. A response with an error ejects the server for its class, any other failure for all classes:
//! for a short time that doubles with each failure in a row; then one call at a time is a trial, and until a success the
//! server loses ties. This covers servers that fail immediately (and would look least loaded), fail in one class, are full,
//! dead, cut off, or fail intermittently; attempts that were withdrawn, too: a lost query still waited for them. It does harm
//! if a shared cause makes all replicas fail, or clients are impatient: then all are equally suspect, and counts decide.

use super::Aggregator;
use crate::idle_connections::Lateness;
use crate::interface::{Millis, Outcome, RequestId, ServerId};
use crate::state::{FailureAccrual, PartState, Server};

/// The shortest and longest ejection, in shortest latency targets. In absolute terms, where targets are short, one late part
/// would eject a server for as long as whole queries may last, and its neighbours on the ring would drown in its load.
const EJECTION_MIN_TARGETS: f64 = 0.2;
const EJECTION_MAX_TARGETS: f64 = 3.0;
/// Failures in a row are counted up to this many.
const CONSECUTIVE_FAILURES_MAX: u32 = 8;
/// This many failures in a row, each after the ejection of the one before, show that a process went down.
const DOWN_AFTER_FAILURES: u32 = 2;
/// Gain of a server's error rate.
const ERROR_RATE_GAIN: f64 = 0.12;

/// Identifies an attempt: one request for a part to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptId {
    pub(super) part: RequestId,
    /// Which of the part's attempts, from 0.
    pub(super) number: u32,
    pub(super) server: ServerId,
}

impl FailureAccrual {
    fn update_error_rate(&mut self, now: Millis, sample: f64) {
        self.error_rate += ERROR_RATE_GAIN * (sample - self.error_rate);
        self.updated_at = now;
    }

    /// A success ends the ejection; the error rate only falls with it.
    fn on_success(&mut self, now: Millis) {
        self.update_error_rate(now, 0.0);
        self.consecutive = 0;
        self.ejected_until = 0.0;
    }

    /// Failures during an ejection are of attempts sent before it, and say nothing new.
    fn on_failure(&mut self, now: Millis, shortest_target: Millis) {
        self.update_error_rate(now, 1.0);
        if now >= self.ejected_until {
            self.consecutive = (self.consecutive + 1).min(CONSECUTIVE_FAILURES_MAX);
            let targets = EJECTION_MIN_TARGETS * f64::from(1u32 << (self.consecutive - 1));
            self.ejected_until = now + targets.min(EJECTION_MAX_TARGETS) * shortest_target;
        }
    }
}

impl Server {
    fn on_success(&mut self, now: Millis, wait: Millis, class: usize, process: usize) {
        self.last_served = now;
        if self.is_down {
            // It was down and responds: a restart that is not on the list yet.
            self.is_down = false;
            self.started_at = self.started_at.max(now - wait);
        }
        self.failures[class].on_success(now);
        self.failures[process] = FailureAccrual::default();
    }

    fn on_failure(&mut self, now: Millis, outcome: Outcome, scope: usize, shortest_target: Millis) {
        let failures = &mut self.failures[scope];
        failures.on_failure(now, shortest_target);
        // A single connection may break or fail to open while the process goes on; taken for a restart, it would leave
        // a warm server's load to the others for all its warm-up.
        let is_connection_failure = matches!(outcome, Outcome::Unreachable | Outcome::Broken);
        self.is_down |= is_connection_failure && failures.consecutive >= DOWN_AFTER_FAILURES;
    }
}

impl Aggregator {
    /// Ends an attempt: takes it off its server's count, and learns from how it ended.
    pub(super) fn on_outcome(&mut self, now: Millis, attempt: AttemptId, wait: Millis, outcome: Outcome) {
        let class = self.end_attempt(now, attempt, wait, outcome);
        self.accrue_failures(now, attempt.server, class, wait, outcome);
        if let Some(class) = class {
            self.sample_latency(now, attempt.server, class, wait, outcome);
        }
        self.remove_if_unused(attempt.server);
        self.update_part(now, attempt.part, wait, outcome);
    }

    /// Removes an attempt from those outstanding; returns its class, if it was one of them.
    fn end_attempt(&mut self, now: Millis, id: AttemptId, wait: Millis, outcome: Outcome) -> Option<usize> {
        let server = self.servers.get_mut(&id.server)?;
        let attempt = server.remove_attempt(id.part, id.number)?;
        let is_late = wait > self.latencies[attempt.class].usual;
        let lateness = if is_late { Lateness::Late } else { Lateness::InTime };
        let connections = &mut server.connections;
        self.idle_connections.on_attempt_ended(now, connections, attempt.connection, outcome, lateness);
        Some(attempt.class)
    }

    /// Counts a success or a failure of a server.
    fn accrue_failures(
        &mut self,
        now: Millis,
        id: ServerId,
        class: Option<usize>,
        wait: Millis,
        outcome: Outcome,
    ) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let process = self.settings.classes.len();
        // Guards against a herd: a server that responds, if too late, is slow and no worse. If it were ejected, it would
        // stand idle while its load drowns the next replica, which is then late and ejected itself.
        let was_cut_short = matches!(outcome, Outcome::Withdrawn | Outcome::TimedOut);
        let is_only_slow = was_cut_short && server.last_served > now - wait;
        match (outcome, class) {
            (Outcome::Success, Some(class)) => {
                server.on_success(now, wait, class, process);
                self.latencies[class].on_served(wait);
            }
            (Outcome::Success, None) | (Outcome::Void, _) => {}
            _ if is_only_slow => {}
            (Outcome::Failure, Some(class)) => server.on_failure(now, outcome, class, self.shortest_target),
            _ => server.on_failure(now, outcome, process, self.shortest_target),
        }
    }

    /// Updates the part of an attempt that has ended.
    fn update_part(&mut self, now: Millis, id: RequestId, wait: Millis, outcome: Outcome) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        part.outstanding_attempts = part.outstanding_attempts.saturating_sub(1);
        part.is_withdrawing = false;
        // A part that takes a second server down with it is blamed itself: its query is not passed on to the rest. Does
        // harm to a query that meets two unrelated crashes; its client may come back.
        if outcome == Outcome::Broken && part.may_have_run_since.is_some() {
            if let Some(query) = self.queries.get_mut(&part.query) {
                query.is_query_of_death = true;
            }
        }
        if outcome != Outcome::Success && !outcome.never_ran() {
            // Of two attempts, the one sent later may end first.
            let earliest = part.may_have_run_since.unwrap_or(f64::INFINITY);
            part.may_have_run_since = Some(earliest.min(now - wait));
        }
        if outcome == Outcome::Success {
            part.state = PartState::Received;
        } else if part.state == PartState::Outstanding && part.outstanding_attempts == 0 {
            part.state = PartState::Waiting;
        }
    }
}
