//! Admission control: decides which queries are begun, and with which of their parts.

use std::cmp::Ordering;

use super::placement::ReplicaRank;
use super::{Aggregator, MIN_WAIT_USUAL_LATENCIES, ROUNDING};
use crate::interface::{Action, Millis, RejectionReason, RequestId};
use crate::pseudorandom::{splitmix64, unit_interval};
use crate::quotas::QuotaState;
use crate::settings::Class;
use crate::state::{PartState, Query};

/// The share of the limit that the class with the least value for each part may use.
const LEAST_VALUE_LIMIT_SHARE: f64 = 0.5;
/// The share of that for a query over its tenant's quota.
const OVER_QUOTA_LIMIT_SHARE: f64 = 0.6;
/// A query trimmed of its lightest parts keeps this many times the least weight that may be answered.
const TRIM_RESERVE: f64 = 1.15;
/// An all-or-nothing query whose slowest shard is expected to take the first share of the latency target is admitted, at the
/// second share it never is, and in between with a probability.
const SATURATED_FROM: f64 = 0.5;
const SATURATED_TO: f64 = 1.2;
/// The least probability of admission while nothing is outstanding: else nobody would see the end of the saturation.
const SATURATED_MIN_PROBABILITY: f64 = 0.02;

/// How loaded the best replica of a shard is; compared field by field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct ShardLoad {
    ejection_level: u32,
    calls: u32,
    latency_steps: u32,
}

impl ShardLoad {
    /// Of a shard without a replica that may be sent anything.
    const UNAVAILABLE: Self = Self { ejection_level: u32::MAX, calls: 0, latency_steps: 0 };
}

impl From<ReplicaRank> for ShardLoad {
    fn from(rank: ReplicaRank) -> Self {
        Self { ejection_level: rank.ejection_level, calls: rank.calls, latency_steps: rank.latency_steps }
    }
}

/// A part of a query that is to be admitted.
#[derive(Debug)]
struct Candidate {
    part: RequestId,
    weight: f64,
    load: ShardLoad,
    /// The latency ratio of its best replica.
    latency_ratio: f64,
}

/// The parts of a query that is to be admitted, in the order in which they are chosen.
#[derive(Debug)]
struct Candidates {
    parts: Vec<Candidate>,
    /// The weight of the parts whose shards have no healthy replica.
    unhealthy_weight: f64,
}

/// How many candidates to send.
#[derive(Debug)]
struct Selection {
    parts: usize,
    /// The value earned for each part by the fewest parts that may be answered.
    value_density: f64,
}

impl Aggregator {
    /// Admits a new query, with all its parts or without its lightest, or rejects it.
    ///
    /// Apart from the [concurrency limit](super::concurrency_limit), nothing is begun that a shard without a healthy replica
    /// would waste, that needs a saturated shard (with a probability, so that the end of the saturation is seen; it could
    /// do harm to a query that would just make it), or whose client leaves before it can end.
    pub(super) fn admit(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        self.update_limit(now);
        let Some(query) = self.queries.get(&id).filter(|query| !query.is_admitted) else { return };
        let class = &self.settings.classes[query.class];
        let utilisation = self.limit_utilisation(query);
        let candidates = self.candidates(now, query, class);
        let selection = select_parts(&candidates.parts, class, utilisation, self.limit_capacity());
        let (selected, spare) = candidates.parts.split_at(selection.parts);
        let class_index = query.class;
        let value_density = selection.value_density;

        let is_saturated = self.is_saturated(id, class_index, selected);
        self.value_densities[class_index] = value_density;
        let Some(query) = self.queries.get(&id) else { return };
        let reason = if utilisation > self.limit_share(query) {
            Some(RejectionReason::OverLimit)
        } else if self.lacks_healthy_replicas(query.class, candidates.unhealthy_weight) {
            Some(RejectionReason::NoHealthyReplica)
        } else if is_saturated {
            Some(RejectionReason::Saturated)
        } else if self.is_deadline_too_short(now, query) {
            Some(RejectionReason::DeadlineTooShort)
        } else if query.parts.is_empty() {
            Some(RejectionReason::PartsLost)
        } else {
            None
        };
        if let Some(reason) = reason {
            if reason == RejectionReason::OverLimit {
                self.limit.on_rejected();
            }
            self.reject(id, reason, actions);
            return;
        }
        self.limit.on_admitted(selected.len());
        for candidate in spare {
            if let Some(part) = self.parts.get_mut(&candidate.part) {
                part.state = PartState::Spare;
            }
        }
        if let Some(query) = self.queries.get_mut(&id) {
            query.is_admitted = true;
            query.limit_utilisation = utilisation;
        }
    }

    /// The parts of a query: where any parts will do, those of the least loaded shards first; then the heaviest first.
    fn candidates(&self, now: Millis, query: &Query, class: &Class) -> Candidates {
        // One failure in a row is enough once there has been an overload; before, a single error rejects nothing.
        let tolerated_failures = u32::from(self.limit.is_unlimited());
        let takes_any_parts = class.required_share < 1.0;
        let mut parts = Vec::new();
        let mut unhealthy_weight = 0.0;
        for &id in &query.parts {
            let Some(part) = self.parts.get(&id) else { continue };
            let best = self.best_replica(now, part, query.class);
            if best.is_some_and(|(rank, _)| rank.ejection_level > tolerated_failures) {
                unhealthy_weight += part.weight;
            }
            let load = match best {
                None => ShardLoad::UNAVAILABLE,
                Some((rank, _)) if takes_any_parts => ShardLoad::from(rank),
                Some(_) => ShardLoad::default(),
            };
            let server = best.and_then(|(_, server)| self.servers.get(&server));
            let latency_ratio = server.map_or(1.0, |server| self.latency_ratio(now, server));
            parts.push(Candidate { part: id, weight: part.weight, load, latency_ratio });
        }
        parts.sort_by(|a, b| {
            let by_weight = || b.weight.partial_cmp(&a.weight).unwrap_or(Ordering::Equal);
            a.load.cmp(&b.load).then_with(by_weight)
        });
        Candidates { parts, unhealthy_weight }
    }

    /// The share of the limit that a query may use: classes that earn more for each part may use more, and queries over their
    /// tenant's quota less.
    fn limit_share(&self, query: &Query) -> f64 {
        let highest = self.value_densities.iter().copied().fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let density = self.value_densities[query.class];
        let share = LEAST_VALUE_LIMIT_SHARE + (1.0 - LEAST_VALUE_LIMIT_SHARE) * density / highest;
        match query.quota {
            QuotaState::Within => share,
            QuotaState::Exceeded => OVER_QUOTA_LIMIT_SHARE * share,
        }
    }

    /// Whether too little weight is left without the shards that have no healthy replica.
    fn lacks_healthy_replicas(&self, class: usize, unhealthy_weight: f64) -> bool {
        1.0 - unhealthy_weight < self.settings.classes[class].minimum_share - ROUNDING
    }

    /// Whether an all-or-nothing query is rejected because one of its shards is too slow for its class.
    fn is_saturated(&self, id: RequestId, class: usize, selected: &[Candidate]) -> bool {
        let rules = &self.settings.classes[class];
        let slowest = selected.iter().map(|candidate| candidate.latency_ratio).fold(0.0, f64::max);
        let latency_share = slowest * self.latencies[class].usual / rules.latency_target_ms.max(1.0);
        let probability = (SATURATED_TO - latency_share) / (SATURATED_TO - SATURATED_FROM);
        let probability = if self.outstanding_attempts() > 0.0 {
            probability
        } else {
            probability.max(SATURATED_MIN_PROBABILITY)
        };
        let needs_all_parts = rules.minimum_share >= rules.required_share;
        needs_all_parts && unit_interval(splitmix64(self.random_state ^ id)) > probability
    }

    /// Whether the client of a query waits less than its parts usually take.
    fn is_deadline_too_short(&self, now: Millis, query: &Query) -> bool {
        let usual = self.latencies[query.class].usual;
        let target = self.settings.classes[query.class].latency_target_ms;
        let needed = (MIN_WAIT_USUAL_LATENCIES * usual).min(target);
        query.deadline - now < needed && self.outstanding_attempts() > 0.0
    }
}

/// Chooses how many parts, in order, earn most beyond their price, and at least as many as may be answered.
///
/// The price of a part is its share of the limit, or of what is in use of it where that is more.
fn select_parts(candidates: &[Candidate], class: &Class, utilisation: f64, capacity: f64) -> Selection {
    let all = candidates.len() as f64;
    let price = utilisation.max(all / capacity) / all.max(1.0);
    let may_be_partial = class.minimum_share < class.required_share;
    let least_weight = if may_be_partial { class.minimum_share * TRIM_RESERVE } else { 1.0 };
    let mut selection = Selection { parts: 0, value_density: 0.0 };
    let mut highest_gain = f64::NEG_INFINITY;
    let mut weight = 0.0;
    for (count, candidate) in (1..).zip(candidates) {
        weight += candidate.weight;
        let is_complete = count == candidates.len() || weight >= class.required_share - ROUNDING;
        if !is_complete && weight < least_weight {
            continue;
        }
        let earned_share =
            if is_complete { 1.0 } else { class.partial_value * weight / class.required_share };
        let parts = count as f64;
        if selection.value_density == 0.0 {
            let parts_of_both_steps = parts + f64::from(class.follow_up_parts) / 2.0;
            selection.value_density = class.value * earned_share / parts_of_both_steps;
        }
        let gain = earned_share - price * parts;
        if gain > highest_gain {
            selection.parts = count;
            highest_gain = gain;
        }
    }
    selection
}
