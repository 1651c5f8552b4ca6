//! Decides which replica serves a part: batch-filling over the replicas of its shard, in the order of [`ReplicaRank`].

use super::{Aggregator, LATE_ANSWER_MIN_VALUE, MIN_WAIT_USUAL_LATENCIES};
use crate::batch_filling;
use crate::idle_connections::ConnectionUse;
use crate::interface::{Action, Millis, RequestId, ServerId};
use crate::pseudorandom::splitmix64;
use crate::state::{FailureAccrual, OpenCall, OutstandingAttempt, Part, PartState, RecentSend, Server};

/// From this latency ratio on, a server's calls are multiplied by it.
const SLOW_LATENCY_RATIO: f64 = 1.75;
/// Ties are broken by the latency ratio in this many steps per unit.
const LATENCY_STEPS: f64 = 2.0;
/// From this error rate on (more than two failures make), a server's calls are multiplied by [`FLAKY_CALL_FACTOR`] and
/// divided by its success rate, for which the error rate counts up to a most.
const FLAKY_ERROR_RATE: f64 = 0.25;
const FLAKY_ERROR_RATE_MAX: f64 = 0.8;
const FLAKY_CALL_FACTOR: f64 = 2.0;
/// Time constant with which an error rate fades, in shortest latency targets.
const ERROR_RATE_MEMORY_TARGETS: f64 = 10.0;
/// Among ejected replicas, fewer failures in a row come first, up to this many.
const EJECTION_LEVELS: u32 = 3;
/// The most of its latency target that a part is delayed to share a call.
const BATCHING_DELAY_MAX_SHARE: f64 = 0.3;
/// The shortest time-out of an attempt.
const TIMEOUT_MIN_MS: Millis = 1.0;

/// The order of preference among the replicas of a part; the least is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReplicaRank {
    /// Failures in a row while it is ejected, or while its trial is outstanding; else 0.
    pub(super) ejection_level: u32,
    /// Outstanding calls after the placement, scaled by how much longer work takes there.
    pub(super) calls: u32,
    /// Failures in a row, ejected or not.
    consecutive_failures: u32,
    /// The part would need a call of its own.
    opens_call: bool,
    /// The latency ratio, in steps.
    pub(super) latency_steps: u32,
    is_other_zone: bool,
    /// Pseudorandom, so that ties rotate.
    tie_breaker: u64,
}

impl Aggregator {
    /// The rank of a server for a part of a class; none if it may not be sent one.
    pub(super) fn rank(&self, now: Millis, id: ServerId, class: usize) -> Option<ReplicaRank> {
        let server = self.servers.get(&id)?;
        if !self.has_warm_up_capacity(now, server, class) {
            return None;
        }
        let joins_call = server.joinable_call(self.settings.max_parts_per_call).is_some();
        let failures = &server.failures[class];
        let process_failures = server.failures.last().unwrap_or(failures);
        let consecutive = failures.consecutive.max(process_failures.consecutive).min(EJECTION_LEVELS);
        let ejected_until = failures.ejected_until.max(process_failures.ejected_until);
        let has_trial = !server.outstanding.is_empty() && !joins_call;
        let is_ejected = now < ejected_until || has_trial;
        let latency_ratio = self.latency_ratio(now, server);
        let calls = f64::from(server.outstanding_calls() + u32::from(!joins_call));
        Some(ReplicaRank {
            ejection_level: if is_ejected { consecutive } else { 0 },
            calls: (calls * self.work_scale(now, server, failures, latency_ratio)).round() as u32,
            consecutive_failures: consecutive,
            opens_call: !joins_call,
            latency_steps: (latency_ratio * LATENCY_STEPS).round().max(LATENCY_STEPS) as u32,
            is_other_zone: server.zone != self.settings.zone,
            tie_breaker: splitmix64(self.random_state ^ u64::from(id)),
        })
    }

    /// How much longer work takes at a server that is slow, warms up, or fails some parts.
    fn work_scale(&self, now: Millis, server: &Server, failures: &FailureAccrual, latency_ratio: f64) -> f64 {
        let slowness = if latency_ratio >= SLOW_LATENCY_RATIO { latency_ratio } else { 1.0 };
        self.flakiness(now, failures) * slowness / self.capacity(now, server)
    }

    /// Guards against a server that fails some parts: errors come fast, so that outstanding calls understate its load, and
    /// between its ejections it would draw parts from the others.
    fn flakiness(&self, now: Millis, failures: &FailureAccrual) -> f64 {
        let memory = ERROR_RATE_MEMORY_TARGETS * self.shortest_target;
        let error_rate = failures.error_rate * (-(now - failures.updated_at) / memory).exp();
        if error_rate >= FLAKY_ERROR_RATE {
            FLAKY_CALL_FACTOR / (1.0 - error_rate.min(FLAKY_ERROR_RATE_MAX))
        } else {
            1.0
        }
    }

    /// The best replica for a part; one that it was not sent to yet comes first.
    pub(super) fn best_replica(
        &self,
        now: Millis,
        part: &Part,
        class: usize,
    ) -> Option<(ReplicaRank, ServerId)> {
        let was_tried = |server: &ServerId| part.tried.contains(server);
        self.replicas
            .of_shard(part.shard)
            .filter(|server| part.outstanding_attempts == 0 || !was_tried(server))
            .filter_map(|server| Some((self.rank(now, server, class)?, server)))
            .min_by_key(|&(rank, server)| (was_tried(&server), rank, server))
    }

    /// Batch-filling: places the waiting parts of a query together, the one with the fewest calls first.
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
            let may_send = if part.tried.is_empty() {
                now >= delay_until || aggregator.has_call_to_share(server)
            } else {
                aggregator.may_retry_at(now, rank, class, target_at)
            };
            if may_send {
                aggregator.send(now, id, server, actions);
            }
        });
    }

    /// The waiting parts of a query that may be attempted. The others are given up, which may end the query.
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

    /// Whether a new part has no reason to wait at a server: it joins a call opened in this turn, or no call is outstanding.
    fn has_call_to_share(&self, server: ServerId) -> bool {
        let Some(server) = self.servers.get(&server) else { return false };
        server.joinable_call(self.settings.max_parts_per_call).is_some() || server.outstanding_calls() == 0
    }

    /// Whether a failed part is sent again to its best replica. It waits while all its replicas are ejected and there is
    /// time, and keeps its attempts.
    fn may_retry_at(&self, now: Millis, rank: ReplicaRank, class: usize, target_at: Millis) -> bool {
        let has_time = now + MIN_WAIT_USUAL_LATENCIES * self.latencies[class].usual <= target_at;
        let should_wait = rank.ejection_level > 0 && has_time;
        !should_wait && self.has_budget(self.settings.retry_budget, 0.0)
    }

    /// The batching delay: for which share of its latency target a new part may wait for a call to share.
    ///
    /// It is what a call of its own would add to its work, up to a most. While no call is outstanding at its replica, the
    /// part is sent at once; else it waits for an outstanding call to end, and what arrived meanwhile goes as one call. This
    /// guards against servers that spend on calls what parts need: the longer they take, the fuller the calls. It could
    /// do harm where a call hangs and its replica looks no worse than the others.
    pub(super) fn batching_delay_share(&self, class: usize) -> f64 {
        let part_work = self.latencies[class].low;
        if self.settings.max_parts_per_call > 1 && part_work > 0.0 {
            (self.settings.call_cost_ms / part_work).clamp(0.0, BATCHING_DELAY_MAX_SHARE)
        } else {
            0.0
        }
    }

    /// Sends a part to a server.
    pub(super) fn send(&mut self, now: Millis, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id) else { return };
        let Some(query) = self.queries.get(&part.query) else { return };
        if !self.servers.contains_key(&to)
            || (part.outstanding_attempts > 0 && !self.settings.allows_parallel_attempts)
        {
            return;
        }
        let class = query.class;
        let attempt = part.tried.len() as u32;
        // The time-out ends when the part is of no more use: some servers drop expired work.
        let earns_when_late = self.settings.classes[class].late_value_share >= LATE_ANSWER_MIN_VALUE;
        let useful_until = if earns_when_late { query.deadline } else { query.target_at };
        let timeout_ms = (useful_until - now).max(TIMEOUT_MIN_MS);

        let call = self.join_or_open_call(to);
        let connection = self.prepare_connection(now, to, actions);
        let outstanding =
            OutstandingAttempt { part: id, number: attempt, sent_at: now, call, class, connection };
        self.record_at_server(now, to, outstanding);
        if attempt > 0 {
            self.retries.push_back(now);
        }
        self.record_at_part(now, id, to);
        actions.push(Action::Send { part: id, server: to, timeout_ms });
        self.random_state = splitmix64(self.random_state);
    }

    /// The call that carries the next part to a server: one opened in this turn that has room, or a new one.
    fn join_or_open_call(&mut self, server: ServerId) -> u64 {
        let next_call = self.last_call + 1;
        let Some(server) = self.servers.get_mut(&server) else { return next_call };
        let open = server
            .joinable_call(self.settings.max_parts_per_call)
            .unwrap_or(OpenCall { id: next_call, parts: 0 });
        server.open_call = Some(OpenCall { parts: open.parts + 1, ..open });
        self.last_call = self.last_call.max(open.id);
        open.id
    }

    /// Closes a long idle connection before use where that is worth it; returns how long the connection used was idle.
    fn prepare_connection(&mut self, now: Millis, id: ServerId, actions: &mut Vec<Action>) -> ConnectionUse {
        let Some(server) = self.servers.get_mut(&id) else { return ConnectionUse::Recent };
        let is_unused = server.outstanding.is_empty();
        let is_long_idle = is_unused && self.idle_connections.is_long_idle(now, &server.connections);
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

    /// Records a send at its server, and forgets sends too old to count for its warm-up.
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

    /// Records a send at its part.
    fn record_at_part(&mut self, now: Millis, id: RequestId, server: ServerId) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        if part.outstanding_attempts == 0 {
            part.outstanding_since = now;
        }
        part.last_sent = now;
        part.tried.push(server);
        part.outstanding_attempts += 1;
        part.state = PartState::Outstanding;
    }
}
