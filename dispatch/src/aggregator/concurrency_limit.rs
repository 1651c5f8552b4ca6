//! An adaptive limit on the parts outstanding, learned from how long parts take (additive increase, multiplicative decrease,
//! in the manner of Chiu and Jain, 1989, with latency as the signal).
//!
//! There is no limit until parts become late. It acts when the usual latency of this aggregator's own parts shows that
//! queries are about to miss their latency target. It could do harm where less work does not cure the latency; some is
//! therefore always let through.

use super::Aggregator;
use crate::interface::{Millis, RequestId};
use crate::settings::Class;
use crate::state::Query;

/// The least limit, for each ready server, over all aggregators; each has an equal share.
const LIMIT_MIN: f64 = 3.0;
/// While the usual latency of a part is above the second share of the latency target, in any class, queries that end cut the
/// limit, at most once in the time that a query takes; below the first, they raise it.
const SHORT_LATENCY_SHARE: f64 = 0.25;
const LONG_LATENCY_SHARE: f64 = 0.3;
/// Where a partial answer may be given, a late part costs less the smaller the least share is: the tolerance for latency
/// is the required share over the least share, up to this.
const PARTIAL_TOLERANCE_MAX: f64 = 3.0;
/// While no more than this share of recent queries miss their target, latency may be longer by the factor.
const MISS_RATE_TOLERATED: f64 = 0.05;
const FEW_MISSES_TOLERANCE: f64 = 1.3;
/// Where there are as many aggregators as servers, each sees too little to avoid slow ones, which end most queries of many
/// parts and leave the usual latency low: there the limit is cut while more than this share of queries miss.
const MISS_RATE_MAX: f64 = 0.1;
/// Gain of the miss rate, and its gain where each aggregator sees few samples.
const MISS_RATE_GAIN: f64 = 0.1;
const MISS_RATE_GAIN_FEW_SAMPLES: f64 = 0.2;
/// There, too, a limit learned from few queries must not outlast the overload: only queries that miss cut it; while latency
/// is no sign of overload, it grows by this factor in each shortest latency target, and past the maximum it is lifted.
const REGROWTH_PER_TARGET: f64 = 1.2;
const REGROWTH_MAX: f64 = 100.0;
/// Multiplicative decrease and increase.
const DECREASE_FACTOR: f64 = 0.8;
const INCREASE: f64 = 0.1;
/// An aggregator with few queries makes up for them: this many increases for each latency target passed, up to a most.
const INCREASES_PER_TARGET: f64 = 5.0;
const INCREASES_MAX: f64 = 7.0;
/// The limit presses when more than this share of it was in use.
const PRESSURE_UTILISATION: f64 = 0.5;

/// How a query ended, as far as the limit learns from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryResult {
    Answered,
    GivenUp,
}

/// The limit, and what it is learned from.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    /// Parts that may be outstanding, for each ready server; `f64::MAX` while there is no limit.
    parts_per_server: f64,
    changed_at: Millis,
    decreased_at: Millis,
    /// Whether it has rejected a query since it last changed.
    has_rejected: bool,
    /// Parts admitted that the limit has not worked off yet.
    backlog: f64,
    backlog_updated_at: Millis,
    /// Moving average of the admitted queries that missed their latency target.
    miss_rate: f64,
}

impl ConcurrencyLimit {
    /// No limit.
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

    /// Parts that may be outstanding, for each ready server.
    pub(super) fn parts_per_server(&self) -> f64 {
        self.parts_per_server
    }

    /// Whether there has been no overload yet, or the limit was lifted.
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

    fn decrease(&mut self, now: Millis, level: f64, least: f64) {
        self.parts_per_server = (self.parts_per_server.min(level) * DECREASE_FACTOR).max(least);
        self.decreased_at = now;
    }
}

impl Aggregator {
    /// Whether each aggregator sees too few samples of the servers to go by its own alone.
    fn sees_few_samples(&self) -> bool {
        f64::from(self.settings.aggregators) >= self.ready_servers()
    }

    /// Brings the limit and its backlog to the present.
    pub(super) fn update_limit(&mut self, now: Millis) {
        self.regrow_limit(now);
        self.work_off_backlog(now);
    }

    /// Lets a limit that was learned from few samples grow while latency shows no overload.
    fn regrow_limit(&mut self, now: Millis) {
        let has_limit = self.limit.parts_per_server < f64::MAX;
        if !self.sees_few_samples() || !has_limit || self.is_latency_long() {
            return;
        }
        let targets = (now - self.limit.backlog_updated_at) / self.shortest_target;
        let grown = self.limit.parts_per_server * REGROWTH_PER_TARGET.powf(targets);
        self.limit.parts_per_server = if grown > REGROWTH_MAX { f64::MAX } else { grown };
    }

    /// Whether the usual latency of any class shows overload.
    fn is_latency_long(&self) -> bool {
        let mut classes = self.settings.classes.iter().zip(&self.latencies);
        classes.any(|(class, latency)| latency.usual > LONG_LATENCY_SHARE * class.latency_target_ms)
    }

    /// What was admitted counts until the limit, turned over once in the usual latency of a part, has worked it off: where
    /// many aggregators share the servers, the limit may be less than one query.
    fn work_off_backlog(&mut self, now: Millis) {
        let turnover =
            self.latencies.iter().map(|latency| latency.usual).fold(self.settings.turn_ms, f64::max);
        let elapsed = now - self.limit.backlog_updated_at;
        let worked_off = self.limit_capacity() * elapsed / turnover;
        self.limit.backlog = (self.limit.backlog - worked_off).max(self.outstanding_attempts());
        self.limit.backlog_updated_at = now;
    }

    /// The parts that may be outstanding at all servers.
    pub(super) fn limit_capacity(&self) -> f64 {
        self.limit.parts_per_server * self.ready_servers()
    }

    /// The share of the limit in use, as it counts for a query.
    pub(super) fn limit_utilisation(&self, query: &Query) -> f64 {
        let capacity = self.limit_capacity();
        let is_less_than_query = capacity < query.parts.len() as f64;
        let in_use = if is_less_than_query { self.limit.backlog } else { self.outstanding_attempts() };
        in_use / capacity
    }

    /// Learns from the end of a query how many parts may be outstanding.
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
        let is_pressed = query.limit_utilisation > PRESSURE_UTILISATION || self.limit.has_rejected;
        let is_answered = result == QueryResult::Answered;

        if latency_share < SHORT_LATENCY_SHARE && is_pressed && is_answered && !has_many_misses {
            self.limit.increase(now, class);
        } else if is_overloaded && query.arrived_at >= self.limit.decreased_at {
            let in_use = self.outstanding_attempts().max(query.parts.len() as f64);
            let level = in_use / self.ready_servers();
            let least = LIMIT_MIN / f64::from(self.settings.aggregators);
            self.limit.decrease(now, level, least);
        } else {
            return;
        }
        self.limit.changed_at = now;
        self.limit.has_rejected = false;
    }

    /// The usual latency of a class as a share of what its latency target leaves for it.
    fn latency_share(&self, class: usize) -> f64 {
        let rules = &self.settings.classes[class];
        let tolerance = (rules.required_share / rules.minimum_share).min(PARTIAL_TOLERANCE_MAX);
        // The batching delay takes its share of the target first.
        let share_left = 1.0 - self.batching_delay_share(class);
        self.latencies[class].usual / (rules.latency_target_ms.max(1.0) * tolerance * share_left)
    }
}
