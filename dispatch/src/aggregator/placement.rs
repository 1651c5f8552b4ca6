//! Decides which replica serves a part: batch-filling over the replicas of the part's shard, ordered by
//! [`ReplicaRank`].

use super::{Aggregator, LATE_ANSWER_MIN_VALUE, MIN_WAIT_USUAL_LATENCIES};
use crate::batch_filling;
use crate::idle_connections::ConnectionUse;
use crate::interface::{Action, Millis, RequestId, ServerId};
use crate::pseudorandom::splitmix64;
use crate::state::{FailureAccrual, OpenCall, OutstandingAttempt, Part, PartState, RecentSend, Server};

/// Latency ratio from which a server is slow. The number of its calls is then multiplied by the ratio.
const SLOW_LATENCY_RATIO: f64 = 1.75;
/// Number of steps per unit of the latency ratio. Ties are broken by the ratio in steps.
const LATENCY_STEPS: f64 = 2.0;
/// Error rate from which a server fails some parts; it is reached with more than two failures. The number of
/// the server's calls is then multiplied by [`FLAKY_CALL_FACTOR`] and divided by its success rate.
const FLAKY_ERROR_RATE: f64 = 0.25;
/// Maximum error rate that is used for the success rate.
const FLAKY_ERROR_RATE_MAX: f64 = 0.8;
/// Factor for the number of calls of a server that fails some parts.
const FLAKY_CALL_FACTOR: f64 = 2.0;
/// Time constant of the decay of an error rate, in shortest latency targets.
const ERROR_RATE_MEMORY_TARGETS: f64 = 10.0;
/// Maximum number of failures in a row by which ejected replicas are ordered.
const EJECTION_LEVELS: u32 = 3;
/// Maximum share of its latency target for which a part is delayed to share a call.
const BATCHING_DELAY_MAX_SHARE: f64 = 0.3;
/// Minimum time-out of an attempt.
const TIMEOUT_MIN_MS: Millis = 1.0;

/// The order of preference among the replicas for a part. The replica with the lowest rank is chosen; ranks
/// are compared field by field, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReplicaRank {
    /// Number of failures in a row while the replica is ejected or a trial is outstanding there; otherwise 0.
    pub(super) ejection_level: u32,
    /// Number of outstanding calls after the placement, multiplied by [`Aggregator::work_scale`].
    pub(super) calls: u32,
    /// Number of failures in a row, whether the replica is ejected or not.
    consecutive_failures: u32,
    /// Whether the part would need a call of its own.
    opens_call: bool,
    /// The latency ratio in steps; see [`LATENCY_STEPS`].
    pub(super) latency_steps: u32,
    is_other_zone: bool,
    /// Pseudorandom number, so that ties are not always broken in favour of the same replica.
    tie_breaker: u64,
}

impl Aggregator {
    /// The rank of a server for a part of a class; `None` if the server may not be sent such a part.
    pub(super) fn rank(&self, now: Millis, id: ServerId, class: usize) -> Option<ReplicaRank> {
        let server = self.servers.get(&id)?;
        if !self.has_warm_up_capacity(now, server, class) {
            return None;
        }
        let joins_call = server.joinable_call(self.settings.max_parts_per_call).is_some();
        let failures = &server.failures[class];
        let process_failures = server.failures.last().unwrap_or(failures);
        let consecutive_failures =
            failures.consecutive_failures.max(process_failures.consecutive_failures).min(EJECTION_LEVELS);
        let ejected_until = failures.ejected_until.max(process_failures.ejected_until);
        let has_outstanding_trial = !server.outstanding.is_empty() && !joins_call;
        let is_ejected = now < ejected_until || has_outstanding_trial;
        let latency_ratio = self.latency_ratio(now, server);
        let calls = f64::from(server.outstanding_calls() + u32::from(!joins_call));
        Some(ReplicaRank {
            ejection_level: if is_ejected { consecutive_failures } else { 0 },
            calls: (calls * self.work_scale(now, server, failures, latency_ratio)).round() as u32,
            consecutive_failures,
            opens_call: !joins_call,
            latency_steps: (latency_ratio * LATENCY_STEPS).round().max(LATENCY_STEPS) as u32,
            is_other_zone: server.zone != self.settings.zone,
            tie_breaker: splitmix64(self.random_state ^ u64::from(id)),
        })
    }

    /// The factor by which work takes longer at a server because it is slow, warms up, or fails some parts.
    fn work_scale(&self, now: Millis, server: &Server, failures: &FailureAccrual, latency_ratio: f64) -> f64 {
        let slowness_factor = if latency_ratio >= SLOW_LATENCY_RATIO { latency_ratio } else { 1.0 };
        self.flakiness_factor(now, failures) * slowness_factor / self.capacity(now, server)
    }

    /// The factor for a server that fails some parts. Errors are returned fast, so the number of outstanding
    /// calls understates the load of such a server, and between its ejections it would attract parts from the
    /// others.
    fn flakiness_factor(&self, now: Millis, failures: &FailureAccrual) -> f64 {
        let memory = ERROR_RATE_MEMORY_TARGETS * self.shortest_latency_target;
        let error_rate = failures.error_rate * (-(now - failures.updated_at) / memory).exp();
        if error_rate >= FLAKY_ERROR_RATE {
            FLAKY_CALL_FACTOR / (1.0 - error_rate.min(FLAKY_ERROR_RATE_MAX))
        } else {
            1.0
        }
    }

    /// The best replica for a part. Replicas to which it has not been sent yet come first.
    pub(super) fn best_replica(
        &self,
        now: Millis,
        part: &Part,
        class: usize,
    ) -> Option<(ReplicaRank, ServerId)> {
        let was_tried = |server: &ServerId| part.tried_servers.contains(server);
        self.replicas
            .ready_replicas(part.shard)
            .filter(|server| part.outstanding_attempts == 0 || !was_tried(server))
            .filter_map(|server| Some((self.rank(now, server, class)?, server)))
            .min_by_key(|&(rank, server)| (was_tried(&server), rank, server))
    }

    /// Places the waiting parts of a query together by batch-filling: the part whose best replica has the
    /// fewest calls first.
    pub(super) fn place_waiting_parts(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        let (class, target_at) = (query.class, query.target_at);
        let delay = self.batching_delay_share(class) * (target_at - query.arrived_at);
        let delay_until = query.arrived_at + delay;
        let waiting = self.parts_to_place(now, id, class, actions);
        let best = |aggregator: &Self, part: &RequestId| {
            let part = aggregator.parts.get(part)?;
            let (rank, server) = aggregator.best_replica(now, part, class)?;
            Some(((rank.ejection_level, rank.calls), (rank, server)))
        };
        batch_filling::fill(self, waiting, best, |aggregator, id, (rank, server)| {
            let Some(part) = aggregator.parts.get(&id) else { return };
            let may_send = if part.tried_servers.is_empty() {
                now >= delay_until || aggregator.needs_no_delay(server)
            } else {
                aggregator.may_retry_now(now, rank, class, target_at)
            };
            if may_send {
                aggregator.send(now, id, server, actions);
            }
        });
    }

    /// The waiting parts of a query that may be attempted. The other waiting parts are given up, which may
    /// end the query.
    fn parts_to_place(
        &mut self,
        now: Millis,
        id: RequestId,
        class: usize,
        actions: &mut Vec<Action>,
    ) -> Vec<RequestId> {
        let Some(query) = self.queries.get(&id) else { return Vec::new() };
        let mut waiting = Vec::new();
        for part_id in query.parts.clone() {
            let Some(part) = self.parts.get(&part_id) else { continue };
            if part.state != PartState::Waiting {
                continue;
            }
            if self.may_attempt(now, part, &self.settings.classes[class]) {
                waiting.push(part_id);
            } else {
                self.give_up_part(id, part_id);
                self.end_if_due(now, id, actions);
            }
        }
        waiting
    }

    /// Whether a new part has no reason to wait for a server: it can join a call that was opened in this
    /// turn, or no call is outstanding there.
    fn needs_no_delay(&self, server: ServerId) -> bool {
        let Some(server) = self.servers.get(&server) else { return false };
        server.joinable_call(self.settings.max_parts_per_call).is_some() || server.outstanding_calls() == 0
    }

    /// Whether a failed part may be sent again to its best replica now. While all its replicas are ejected
    /// and there is time left, it waits instead, which does not use up its attempts.
    fn may_retry_now(&self, now: Millis, rank: ReplicaRank, class: usize, target_at: Millis) -> bool {
        let has_time = now + MIN_WAIT_USUAL_LATENCIES * self.latencies[class].usual <= target_at;
        let should_wait = rank.ejection_level > 0 && has_time;
        !should_wait && self.has_budget(self.settings.retry_budget, 0.0)
    }

    /// The batching delay: the share of its latency target for which a new part may wait to share a call.
    ///
    /// It is the share that a call of its own would add to the part's work, up to
    /// [`BATCHING_DELAY_MAX_SHARE`]. If no call is outstanding at the replica, the part is sent at once.
    /// Otherwise, it waits until an outstanding call ends, and is sent in one call with the parts that have
    /// arrived meanwhile. This prevents servers from spending on calls the time that they need for parts: the
    /// longer calls take, the more parts share one. It could do harm if a call hangs and its replica seems no
    /// worse than the others.
    pub(super) fn batching_delay_share(&self, class: usize) -> f64 {
        let part_work = self.latencies[class].low;
        if self.settings.max_parts_per_call > 1 && part_work > 0.0 {
            (self.settings.call_cost_ms / part_work).clamp(0.0, BATCHING_DELAY_MAX_SHARE)
        } else {
            0.0
        }
    }

    /// Sends a part to a server.
    pub(super) fn send(&mut self, now: Millis, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id) else { return };
        let Some(query) = self.queries.get(&part.query) else { return };
        if !self.servers.contains_key(&server)
            || (part.outstanding_attempts > 0 && !self.settings.allows_parallel_attempts)
        {
            return;
        }
        let class = query.class;
        let attempt = part.tried_servers.len() as u32;
        // The time-out ends when the part ceases to be useful, since some servers drop expired work.
        let earns_when_late = self.settings.classes[class].late_value_share >= LATE_ANSWER_MIN_VALUE;
        let useful_until = if earns_when_late { query.deadline } else { query.target_at };
        let timeout_ms = (useful_until - now).max(TIMEOUT_MIN_MS);

        let call = self.join_or_open_call(server);
        let connection = self.prepare_connection(now, server, actions);
        let outstanding =
            OutstandingAttempt { part: id, number: attempt, sent_at: now, call, class, connection };
        self.record_at_server(now, server, outstanding);
        if attempt > 0 {
            self.retries.push_back(now);
        }
        self.record_at_part(now, id, server);
        actions.push(Action::Send { part: id, server, timeout_ms });
        self.random_state = splitmix64(self.random_state);
    }

    /// The id of the call that carries the next part to a server: a call opened in this turn that may carry
    /// one more part, or a new one.
    fn join_or_open_call(&mut self, server: ServerId) -> u64 {
        let next_call_id = self.last_call_id + 1;
        let Some(server) = self.servers.get_mut(&server) else { return next_call_id };
        let call = server
            .joinable_call(self.settings.max_parts_per_call)
            .unwrap_or(OpenCall { id: next_call_id, parts: 0 });
        server.open_call = Some(OpenCall { parts: call.parts + 1, ..call });
        self.last_call_id = self.last_call_id.max(call.id);
        call.id
    }

    /// Closes a connection that has been idle for long if that is worthwhile. Returns the kind of connection
    /// that the next attempt uses.
    fn prepare_connection(&mut self, now: Millis, id: ServerId, actions: &mut Vec<Action>) -> ConnectionUse {
        let Some(server) = self.servers.get_mut(&id) else { return ConnectionUse::Recent };
        let has_no_attempts = server.outstanding.is_empty();
        let is_long_idle = has_no_attempts && self.idle_connections.is_long_idle(now, &server.connections);
        server.connections.mark_used(now);
        if !is_long_idle {
            return ConnectionUse::Recent;
        }
        if self.idle_connections.should_close(now) {
            actions.push(Action::CloseIdleConnections { server: id });
            return ConnectionUse::Recent;
        }
        ConnectionUse::LongIdle
    }

    /// Records a sent attempt at its server, and drops the records that are too old to matter for its
    /// warm-up.
    fn record_at_server(&mut self, now: Millis, id: ServerId, attempt: OutstandingAttempt) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let class = attempt.class;
        server.outstanding.push(attempt);
        let longest_window = self.settings.warm_up_ms.max(self.settings.overload_window_ms);
        let expired_at = now - longest_window;
        let expired = server.recent_sends.partition_point(|send| send.at <= expired_at);
        server.recent_sends.drain(..expired);
        server.recent_sends.push_back(RecentSend { at: now, class });
    }

    /// Records a sent attempt at its part.
    fn record_at_part(&mut self, now: Millis, id: RequestId, server: ServerId) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        if part.outstanding_attempts == 0 {
            part.outstanding_since = now;
        }
        part.last_sent_at = now;
        part.tried_servers.push(server);
        part.outstanding_attempts += 1;
        part.state = PartState::Outstanding;
    }
}
