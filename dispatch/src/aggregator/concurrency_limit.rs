//! An adaptive limit on the number of outstanding parts, learned from the latency of parts (additive
//! increase, multiplicative decrease, in the manner of Chiu and Jain, 1989, with latency as the signal).
//!
//! There is no limit until parts become late. It takes effect when the usual latency of this aggregator's own
//! parts shows that queries are about to miss their latency target. It could do harm if less work does not
//! lower the latency; therefore, some work is always admitted.

use super::Aggregator;
use crate::interface::{Millis, RequestId};
use crate::settings::Class;
use crate::state::Query;

/// Minimum of the limit over all aggregators, in parts per ready server. Each aggregator has an equal share
/// of it.
const LIMIT_MIN: f64 = 3.0;
/// Share of the latency target below which the usual latency of a part is short. Queries of the class that
/// are answered then raise the limit, if it is under pressure ([`PRESSURE_UTILISATION`]).
const SHORT_LATENCY_SHARE: f64 = 0.25;
/// Share of the latency target above which the usual latency of a part is long. Queries of the class that end
/// then lower the limit, at most once in the time that a query takes.
const LONG_LATENCY_SHARE: f64 = 0.3;
/// Maximum of the factor by which latency may be longer if partial answers are allowed. A late part costs
/// less the smaller the minimum share is, so the factor is the required share over the minimum share.
const PARTIAL_TOLERANCE_MAX: f64 = 3.0;
/// Share of recent queries up to which misses of the latency target are few.
const MISS_RATE_TOLERATED: f64 = 0.05;
/// Factor by which latency may be longer while misses are few.
const FEW_MISSES_TOLERANCE: f64 = 1.3;
/// Share of recent queries above which misses of the latency target are many.
///
/// If there are at least as many aggregators as servers, each aggregator has too few samples to avoid slow
/// servers. These delay most queries of many parts, but leave the usual latency of a part low. In this case,
/// queries that miss their target lower the limit while misses are many, and other queries do not.
const MISS_RATE_MAX: f64 = 0.1;
/// Gain of the miss rate.
const MISS_RATE_GAIN: f64 = 0.1;
/// Gain of the miss rate if there are at least as many aggregators as servers.
const MISS_RATE_GAIN_FEW_SAMPLES: f64 = 0.2;
/// Factor by which the limit grows in each shortest latency target while latency shows no overload, if there
/// are at least as many aggregators as servers. A limit that was learned from few queries must not outlast
/// the overload.
const REGROWTH_PER_TARGET: f64 = 1.2;
/// Limit in parts per ready server above which a growing limit is removed.
const REGROWTH_MAX: f64 = 100.0;
/// Factor of a multiplicative decrease of the limit.
const DECREASE_FACTOR: f64 = 0.8;
/// Share by which one increase raises the limit.
const INCREASE: f64 = 0.1;
/// Number of increases per latency target that has passed since the last change of the limit. It compensates
/// for few increases at an aggregator that has few queries.
const INCREASES_PER_TARGET: f64 = 5.0;
/// Maximum number of increases at once.
const INCREASES_MAX: f64 = 7.0;
/// Share of the limit in use at the admission of a query above which the limit was under pressure. It also
/// was if it has rejected a query since it last changed.
const PRESSURE_UTILISATION: f64 = 0.5;

/// The result of a query, from which the limit is learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryResult {
    Answered,
    GivenUp,
}

/// The limit, and the state from which it is learned.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    /// The number of parts that may be outstanding per ready server; `f64::MAX` while there is no limit.
    parts_per_server: f64,
    changed_at: Millis,
    decreased_at: Millis,
    /// Whether the limit has rejected a query since it last changed.
    has_rejected: bool,
    /// The number of admitted parts that count as not worked off yet; see [`Aggregator::work_off_backlog`].
    backlog: f64,
    backlog_updated_at: Millis,
    /// Moving average of the share of admitted queries that missed their latency target.
    miss_rate: f64,
}

impl ConcurrencyLimit {
    /// Creates the state of an aggregator without a limit.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            parts_per_server: f64::MAX,
            changed_at: now,
            decreased_at: now,
            has_rejected: false,
            backlog: 0.0,
            backlog_updated_at: now,
            miss_rate: 0.0,
        }
    }

    /// The number of parts that may be outstanding per ready server.
    pub(super) fn parts_per_server(&self) -> f64 {
        self.parts_per_server
    }

    /// Whether there is no limit: there has been no overload yet, or the limit was removed after one.
    pub(super) fn is_unlimited(&self) -> bool {
        self.parts_per_server == f64::MAX
    }

    /// Records that a query was rejected because of the limit.
    pub(super) fn on_rejected(&mut self) {
        self.has_rejected = true;
    }

    /// Records that a query was admitted with this many parts.
    pub(super) fn on_admitted(&mut self, parts: usize) {
        self.backlog += parts as f64;
    }

    fn increase(&mut self, now: Millis, class: &Class) {
        let increases = INCREASES_PER_TARGET * (now - self.changed_at) / class.latency_target_ms.max(1.0);
        self.parts_per_server *= (1.0 + INCREASE).powf(increases.clamp(1.0, INCREASES_MAX));
    }

    fn decrease(&mut self, now: Millis, level: f64, minimum: f64) {
        self.parts_per_server = (self.parts_per_server.min(level) * DECREASE_FACTOR).max(minimum);
        self.decreased_at = now;
    }
}

impl Aggregator {
    /// Whether each aggregator has too few samples of the servers to rely on its own: there are at least as
    /// many aggregators as servers.
    fn sees_few_samples(&self) -> bool {
        f64::from(self.settings.aggregators) >= self.ready_servers()
    }

    /// Updates the limit and its backlog for the time that has passed.
    pub(super) fn update_limit(&mut self, now: Millis) {
        self.regrow_limit(now);
        self.work_off_backlog(now);
    }

    /// Raises a limit that was learned from few samples while latency shows no overload.
    fn regrow_limit(&mut self, now: Millis) {
        let has_limit = self.limit.parts_per_server < f64::MAX;
        if !self.sees_few_samples() || !has_limit || self.is_latency_long() {
            return;
        }
        let targets = (now - self.limit.backlog_updated_at) / self.shortest_latency_target;
        let grown = self.limit.parts_per_server * REGROWTH_PER_TARGET.powf(targets);
        self.limit.parts_per_server = if grown > REGROWTH_MAX { f64::MAX } else { grown };
    }

    /// Whether the usual latency of any class shows an overload.
    fn is_latency_long(&self) -> bool {
        let mut classes = self.settings.classes.iter().zip(&self.latencies);
        classes.any(|(class, latency)| latency.usual > LONG_LATENCY_SHARE * class.latency_target_ms)
    }

    /// Lowers the backlog by the parts that count as worked off in the time that has passed: the whole limit
    /// once per usual latency of a part.
    ///
    /// The backlog is needed where many aggregators share the servers, since the limit may be less than one
    /// query there.
    fn work_off_backlog(&mut self, now: Millis) {
        let turnover =
            self.latencies.iter().map(|latency| latency.usual).fold(self.settings.turn_ms, f64::max);
        let elapsed = now - self.limit.backlog_updated_at;
        let worked_off = self.limit_capacity() * elapsed / turnover;
        self.limit.backlog = (self.limit.backlog - worked_off).max(self.outstanding_attempts());
        self.limit.backlog_updated_at = now;
    }

    /// The number of parts that may be outstanding at all servers together.
    pub(super) fn limit_capacity(&self) -> f64 {
        self.limit.parts_per_server * self.ready_servers()
    }

    /// The share of the limit in use, as it counts for the admission of a query.
    pub(super) fn limit_utilisation(&self, query: &Query) -> f64 {
        let capacity = self.limit_capacity();
        let is_less_than_query = capacity < query.parts.len() as f64;
        let in_use = if is_less_than_query { self.limit.backlog } else { self.outstanding_attempts() };
        in_use / capacity
    }

    /// Raises or lowers the limit when a query has ended.
    pub(super) fn update_limit_on_end(&mut self, now: Millis, id: RequestId, result: QueryResult) {
        let Some(query) = self.queries.get(&id).filter(|query| query.is_admitted) else { return };
        let class = &self.settings.classes[query.class];
        let sees_few_samples = self.sees_few_samples();
        let is_missed = result == QueryResult::GivenUp || now > query.target_at;
        let gain = if sees_few_samples { MISS_RATE_GAIN_FEW_SAMPLES } else { MISS_RATE_GAIN };
        self.limit.miss_rate += gain * (f64::from(is_missed) - self.limit.miss_rate);

        let latency_share = self.latency_share(query.class);
        let few_misses = self.limit.miss_rate <= MISS_RATE_TOLERATED;
        let tolerance = if few_misses { FEW_MISSES_TOLERANCE } else { 1.0 };
        let has_many_misses = sees_few_samples && self.limit.miss_rate > MISS_RATE_MAX;
        let is_overloaded = (has_many_misses && is_missed) || latency_share > LONG_LATENCY_SHARE * tolerance;
        let is_under_pressure = query.limit_utilisation > PRESSURE_UTILISATION || self.limit.has_rejected;
        let is_answered = result == QueryResult::Answered;

        if latency_share < SHORT_LATENCY_SHARE && is_under_pressure && is_answered && !has_many_misses {
            self.limit.increase(now, class);
        } else if is_overloaded && query.arrived_at >= self.limit.decreased_at {
            let in_use = self.outstanding_attempts().max(query.parts.len() as f64);
            let level = in_use / self.ready_servers();
            let minimum = LIMIT_MIN / f64::from(self.settings.aggregators);
            self.limit.decrease(now, level, minimum);
        } else {
            return;
        }
        self.limit.changed_at = now;
        self.limit.has_rejected = false;
    }

    /// The usual latency of a class as a share of the part of its latency target that is left for it.
    fn latency_share(&self, class: usize) -> f64 {
        let class_settings = &self.settings.classes[class];
        let tolerance =
            (class_settings.required_share / class_settings.minimum_share).min(PARTIAL_TOLERANCE_MAX);
        // The batching delay uses its share of the target first.
        let share_left = 1.0 - self.batching_delay_share(class);
        self.latencies[class].usual / (class_settings.latency_target_ms.max(1.0) * tolerance * share_left)
    }
}
