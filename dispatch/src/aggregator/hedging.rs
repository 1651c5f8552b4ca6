//! Hedged requests (Dean and Barroso, The Tail at Scale, 2013): sends late parts to another replica as well.
//!
//! Where a part may have one attempt at a time, the late one is withdrawn instead, and the part moves.

use super::retries::DEFAULT_BUDGET;
use super::Aggregator;
use crate::interface::{Action, Millis, RequestId, ServerId, ServerStatus};
use crate::settings::Repeat;
use crate::state::{OutstandingAttempt, Part, PartState, Query};

/// A part goes only to a server of whose last latency sample at least this much still counts.
const SAMPLE_WEIGHT_MIN: f64 = 0.5;
/// A part is late after this many usual latencies, or at the latest after this share of the latency target.
const LATE_AFTER_USUAL_LATENCIES: f64 = 2.5;
const LATE_AFTER_TARGET_SHARE: f64 = 0.5;
/// Nothing is hedged while more than this share of the concurrency limit is in use: under overload all parts are late.
const LIMIT_UTILISATION_MAX: f64 = 0.3;
/// Further attempts that hedging leaves to parts whose only attempt failed.
const RETRY_RESERVE: f64 = 3.0;
/// A replica has to be faster than the one tried by this factor.
const SPEEDUP_MIN: u32 = 2;

/// What can be done for a late part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Remedy {
    /// Send it to another replica.
    AnotherReplica,
    /// Send a spare part in its place, if one is left.
    SparePart,
}

/// A part that is late. Ordered by urgency: those with the fewest attempts outstanding first, then those of queries with the
/// fewest parts missing.
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
    /// Guards against whatever keeps a part from coming back: a stall, a slow or dead server, a lost response. It acts
    /// within the retry budget, where the other replica is trusted, known to be twice as fast, and has no more calls
    /// outstanding. It would do harm under overload or with a hot shard, and stops there ([`LIMIT_UTILISATION_MAX`]).
    pub(super) fn hedge_late_parts(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let limit = self.limit.parts_per_server();
        if self.outstanding_attempts() > LIMIT_UTILISATION_MAX * limit * self.ready_servers() {
            return;
        }
        let budget = self.settings.retry_budget.unwrap_or(DEFAULT_BUDGET);
        // Each part whose attempt is being withdrawn is about to be sent again.
        let mut withdrawing = self.parts.values().filter(|part| part.is_withdrawing).count() as f64;
        for late in self.late_parts(now) {
            if late.remedy == Remedy::SparePart && self.send_spare_instead(now, &late) {
                continue;
            }
            let reserve = if late.outstanding_attempts > 1 {
                (self.budget_allowance(budget) / 2.0).max(RETRY_RESERVE)
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
                if now - part.last_sent >= late_after && !part.is_withdrawing {
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

    /// What can be done for the late parts of a query, if anything.
    fn remedy(&self, id: RequestId, query: &Query) -> Option<Remedy> {
        let class = &self.settings.classes[query.class];
        // Where any parts will do, another takes the place of a late one.
        let takes_any_parts = class.required_share < 1.0 && !query.is_second_step();
        if takes_any_parts && self.spare_part(id).is_some() {
            return Some(Remedy::SparePart);
        }
        let has_means = self.settings.allows_parallel_attempts || self.settings.allows_withdrawals;
        (class.repeat != Repeat::Unsafe && has_means).then_some(Remedy::AnotherReplica)
    }

    /// After which time an attempt is late.
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

    /// Has a spare part sent in the place of a late one; returns whether there is one.
    fn send_spare_instead(&mut self, now: Millis, late: &LatePart) -> bool {
        let Some(spare) = self.spare_part(late.query) else { return false };
        if let Some(spare) = self.parts.get_mut(&spare) {
            spare.state = PartState::Waiting;
        }
        if let Some(part) = self.parts.get_mut(&late.part) {
            part.last_sent = now;
        }
        true
    }

    /// The replica that a late part should be sent to, if one is worth it.
    fn hedge_target(&self, now: Millis, late: &LatePart) -> Option<ServerId> {
        let query = self.queries.get(&late.query)?;
        let part = self.parts.get(&late.part)?;
        if !self.may_attempt(now, part, &self.settings.classes[query.class]) {
            return None;
        }
        let (rank, target) = self.best_replica(now, part, query.class)?;
        if rank.ejection_level > 0 || !self.is_sampled_recently(now, target) || self.is_being_served(part) {
            return None;
        }
        let tried = part.tried.last().filter(|tried| self.is_ready(**tried));
        if let Some(held) = tried.and_then(|&tried| self.rank(now, tried, query.class)) {
            let has_more_calls = rank.calls > held.calls;
            let is_not_faster = rank.latency_steps * SPEEDUP_MIN > held.latency_steps;
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

    /// Whether a part that can only move is better left where it is: its server has served since, so it does not hang;
    /// elsewhere the part would wait anew, and what was done for it is wasted.
    fn is_being_served(&self, part: &Part) -> bool {
        let server = part.tried.last().and_then(|server| self.servers.get(server));
        !self.settings.allows_parallel_attempts
            && server.is_some_and(|server| server.last_served > part.last_sent)
    }

    /// Withdraws the outstanding attempts of a part: they are of no more use, and some servers drop what waits.
    pub(super) fn withdraw(&self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.settings.allows_withdrawals {
            return;
        }
        let Some(part) = self.parts.get(&id) else { return };
        for (attempt, server) in (0u32..).zip(&part.tried) {
            let is_it = |out: &OutstandingAttempt| out.part == id && out.number == attempt;
            if self.servers.get(server).is_some_and(|server| server.outstanding.iter().any(is_it)) {
                actions.push(Action::Withdraw { part: id, attempt });
            }
        }
    }
}
