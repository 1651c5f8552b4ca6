//! Hedged requests (Dean and Barroso, The Tail at Scale, 2013): sends late parts to another replica as well.
//!
//! If a part may have only one outstanding attempt at a time, the late attempt is withdrawn instead, and the
//! part moves to another replica.

use super::retries::DEFAULT_BUDGET;
use super::Aggregator;
use crate::interface::{Action, Millis, RequestId, ServerId, ServerStatus};
use crate::settings::Repeat;
use crate::state::{OutstandingAttempt, Part, PartState, Query};

/// A part is hedged only at a server whose latest latency sample has more than this weight left, which means
/// that it is recent.
const SAMPLE_WEIGHT_MIN: f64 = 0.5;
/// Number of usual latencies after which a part is late.
const LATE_AFTER_USUAL_LATENCIES: f64 = 2.5;
/// Share of the latency target after which a part is late in any case.
const LATE_AFTER_TARGET_SHARE: f64 = 0.5;
/// Share of the concurrency limit in use above which no part is hedged, because under overload all parts are
/// late.
const LIMIT_UTILISATION_MAX: f64 = 0.3;
/// Number of attempts of the retry budget that hedging leaves for parts whose only attempt failed.
const RETRY_RESERVE: f64 = 3.0;
/// Factor by which a replica has to be faster than the one that a late part was sent to.
const SPEEDUP_MIN: u32 = 2;

/// What can be done about a late part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Remedy {
    /// The part can be sent to another replica.
    AnotherReplica,
    /// A spare part can be sent in its place, if one is left.
    SparePart,
}

/// A part that is late. Late parts are ordered by urgency: those with the fewest outstanding attempts come
/// first, and among them, those of queries with the fewest missing parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LatePart {
    outstanding_attempts: u32,
    missing_parts: usize,
    query: RequestId,
    part: RequestId,
    remedy: Remedy,
}

impl Aggregator {
    /// Sends further attempts for late parts, the most urgent first.
    ///
    /// This covers everything that delays the response to a part: a stall, a slow or dead server, a lost
    /// response. A part is hedged only within the retry budget, and only at a replica that is not ejected, is
    /// known to be at least twice as fast ([`SPEEDUP_MIN`]), and has no more outstanding calls. Hedging would
    /// do harm under overload or with a hot shard, so it stops then ([`LIMIT_UTILISATION_MAX`]).
    pub(super) fn hedge_late_parts(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let limit = self.limit.parts_per_server();
        if self.outstanding_attempts() > LIMIT_UTILISATION_MAX * limit * self.ready_servers() {
            return;
        }
        let budget = self.settings.retry_budget.unwrap_or(DEFAULT_BUDGET);
        // Each part whose attempt is being withdrawn will need a further attempt.
        let mut withdrawing = self.parts.values().filter(|part| part.is_withdrawing).count() as f64;
        for late in self.late_parts(now) {
            if late.remedy == Remedy::SparePart && self.send_spare_instead(now, &late) {
                continue;
            }
            let reserve = if late.outstanding_attempts > 1 {
                (self.retry_allowance(budget) / 2.0).max(RETRY_RESERVE)
            } else {
                RETRY_RESERVE
            };
            if !self.has_budget(Some(budget), withdrawing + reserve) {
                return;
            }
            let Some(target) = self.hedge_target(now, &late) else { continue };
            if self.settings.allows_parallel_attempts {
                self.send(now, late.part, target, actions);
            } else if let Some(part) = self.parts.get_mut(&late.part) {
                part.is_withdrawing = true;
                withdrawing += 1.0;
                self.withdraw(late.part, actions);
            }
        }
    }

    /// The late parts of all queries, the most urgent first.
    fn late_parts(&self, now: Millis) -> Vec<LatePart> {
        let mut late_parts = Vec::new();
        for (&id, query) in &self.queries {
            let is_useful_in_time = now + self.latencies[query.class].low <= query.target_at;
            if !is_useful_in_time {
                continue;
            }
            let Some(remedy) = self.remedy(id, query) else { continue };
            let late_after = self.late_after(query.class, remedy);
            let parts = query.parts.iter().filter_map(|&id| Some((id, self.parts.get(&id)?)));
            let outstanding: Vec<(RequestId, &Part)> =
                parts.filter(|(_, part)| part.state == PartState::Outstanding).collect();
            for &(part_id, part) in &outstanding {
                if now - part.last_sent_at >= late_after && !part.is_withdrawing {
                    late_parts.push(LatePart {
                        outstanding_attempts: part.outstanding_attempts,
                        missing_parts: outstanding.len(),
                        query: id,
                        part: part_id,
                        remedy,
                    });
                }
            }
        }
        late_parts.sort_unstable();
        late_parts
    }

    /// What can be done about the late parts of a query, if anything.
    fn remedy(&self, id: RequestId, query: &Query) -> Option<Remedy> {
        let class = &self.settings.classes[query.class];
        // If the class does not require all parts, a spare part can replace a late one.
        let takes_any_parts = class.required_share < 1.0 && !query.is_second_step();
        if takes_any_parts && self.spare_part(id).is_some() {
            return Some(Remedy::SparePart);
        }
        let may_send_again = self.settings.allows_parallel_attempts || self.settings.allows_withdrawals;
        (class.repeat != Repeat::Unsafe && may_send_again).then_some(Remedy::AnotherReplica)
    }

    /// Time since its latest attempt after which a part is late.
    fn late_after(&self, class: usize, remedy: Remedy) -> Millis {
        let usual = self.latencies[class].usual;
        let latest = LATE_AFTER_TARGET_SHARE * self.settings.classes[class].latency_target_ms;
        let loses_nothing = remedy == Remedy::SparePart || self.settings.allows_parallel_attempts;
        if usual > 0.0 && loses_nothing {
            (LATE_AFTER_USUAL_LATENCIES * usual).min(latest)
        } else {
            latest
        }
    }

    /// Schedules a spare part to be sent in place of a late one. Returns whether there was a spare part.
    fn send_spare_instead(&mut self, now: Millis, late: &LatePart) -> bool {
        let Some(spare) = self.spare_part(late.query) else { return false };
        if let Some(spare) = self.parts.get_mut(&spare) {
            spare.state = PartState::Waiting;
        }
        if let Some(part) = self.parts.get_mut(&late.part) {
            part.last_sent_at = now;
        }
        true
    }

    /// The replica to which a late part should be sent, if it is worthwhile.
    fn hedge_target(&self, now: Millis, late: &LatePart) -> Option<ServerId> {
        let query = self.queries.get(&late.query)?;
        let part = self.parts.get(&late.part)?;
        if !self.may_attempt(now, part, &self.settings.classes[query.class]) {
            return None;
        }
        let (rank, target) = self.best_replica(now, part, query.class)?;
        if rank.ejection_level > 0
            || !self.is_sampled_recently(now, target)
            || self.should_stay_at_server(part)
        {
            return None;
        }
        let current = part.tried_servers.last().filter(|current| self.is_ready(**current));
        if let Some(current_rank) = current.and_then(|&current| self.rank(now, current, query.class)) {
            let has_more_calls = rank.calls > current_rank.calls;
            let is_not_faster = rank.latency_steps * SPEEDUP_MIN > current_rank.latency_steps;
            if has_more_calls || is_not_faster {
                return None;
            }
        }
        Some(target)
    }

    fn is_ready(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|server| server.status == ServerStatus::Ready)
    }

    fn is_sampled_recently(&self, now: Millis, server: ServerId) -> bool {
        let server = self.servers.get(&server);
        server.is_some_and(|server| self.sample_weight(now, server) > SAMPLE_WEIGHT_MIN)
    }

    /// Whether a part that may have only one outstanding attempt should stay at its server, because the
    /// server has served another part since and therefore does not hang. At another server, the part would
    /// have to wait again, and the work done for it so far would be wasted.
    fn should_stay_at_server(&self, part: &Part) -> bool {
        let server = part.tried_servers.last().and_then(|server| self.servers.get(server));
        !self.settings.allows_parallel_attempts
            && server.is_some_and(|server| server.last_served_at > part.last_sent_at)
    }

    /// Withdraws the outstanding attempts of a part, which are no longer needed. Some servers then drop
    /// requests that are still queued.
    pub(super) fn withdraw(&self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.settings.allows_withdrawals {
            return;
        }
        let Some(part) = self.parts.get(&id) else { return };
        for (attempt, server) in (0u32..).zip(&part.tried_servers) {
            let is_same_attempt =
                |outstanding: &OutstandingAttempt| outstanding.part == id && outstanding.number == attempt;
            if self.servers.get(server).is_some_and(|server| server.outstanding.iter().any(is_same_attempt)) {
                actions.push(Action::Withdraw { part: id, attempt });
            }
        }
    }
}
