//! Admission control: decides which queries are admitted, and with which of their parts.

use std::cmp::Ordering;

use super::placement::ReplicaRank;
use super::{Aggregator, MIN_WAIT_USUAL_LATENCIES, ROUNDING_TOLERANCE};
use crate::interface::{Action, Millis, RejectionReason, RequestId};
use crate::pseudorandom::{splitmix64, unit_interval};
use crate::quotas::QuotaState;
use crate::settings::Class;
use crate::state::{PartState, Query};

/// Share of the concurrency limit that a class may use if its value per part is negligible. The class with
/// the highest value per part may use the whole limit.
const LOWEST_VALUE_LIMIT_SHARE: f64 = 0.5;
/// Factor applied to the usable share of the limit for a query beyond its tenant's quota.
const OVER_QUOTA_LIMIT_SHARE: f64 = 0.6;
/// A query that is admitted without its lightest parts keeps at least this multiple of the minimum weight for
/// an answer.
const TRIM_RESERVE: f64 = 1.15;
/// Share of the latency target at which a shard begins to count as saturated. A query that needs all its
/// parts is always admitted if its slowest shard is expected to take no longer than this. From here to
/// [`SATURATED_TO`], the probability of admission falls linearly to 0.
const SATURATED_FROM: f64 = 0.5;
/// Share of the latency target from which a shard is fully saturated.
const SATURATED_TO: f64 = 1.2;
/// Minimum probability of admission while nothing is outstanding. Without it, the end of the saturation would
/// never be noticed.
const SATURATED_MIN_PROBABILITY: f64 = 0.02;

/// The load of the best replica of a shard. Loads are compared field by field, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct ShardLoad {
    ejection_level: u32,
    calls: u32,
    latency_steps: u32,
}

impl ShardLoad {
    /// The load of a shard none of whose replicas may be sent a part.
    const UNAVAILABLE: Self = Self { ejection_level: u32::MAX, calls: 0, latency_steps: 0 };
}

impl From<ReplicaRank> for ShardLoad {
    fn from(rank: ReplicaRank) -> Self {
        Self { ejection_level: rank.ejection_level, calls: rank.calls, latency_steps: rank.latency_steps }
    }
}

/// A part of a query whose admission is being decided.
#[derive(Debug)]
struct Candidate {
    part: RequestId,
    weight: f64,
    load: ShardLoad,
    /// The latency ratio of the best replica for the part.
    latency_ratio: f64,
}

/// The parts of a query whose admission is being decided, in the order in which they are chosen.
#[derive(Debug)]
struct Candidates {
    parts: Vec<Candidate>,
    /// The total weight of the parts whose shards have no healthy replica.
    unhealthy_weight: f64,
}

/// The choice of candidates to send.
#[derive(Debug)]
struct Selection {
    /// The number of candidates to send, from the first.
    part_count: usize,
    /// The value earned per part by the smallest number of parts that allows an answer.
    value_density: f64,
}

impl Aggregator {
    /// Admits a new query, with all its parts or without the lightest ones, or rejects it.
    ///
    /// A query is rejected if it exceeds the [concurrency limit](super::concurrency_limit), or if starting it
    /// would be wasted work: because a shard without a healthy replica leaves too little weight for an
    /// answer, because it needs a saturated shard, or because its client's deadline is too early. Queries
    /// that need a saturated shard are rejected with a probability, so that the end of the saturation is
    /// noticed. This can do harm to a query that would have ended just in time.
    pub(super) fn admit(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        self.update_limit(now);
        let Some(query) = self.queries.get(&id).filter(|query| !query.is_admitted) else { return };
        let class = &self.settings.classes[query.class];
        let utilisation = self.limit_utilisation(query);
        let candidates = self.candidates(now, query, class);
        let selection = select_parts(&candidates.parts, class, utilisation, self.limit_capacity());
        let (selected, spare) = candidates.parts.split_at(selection.part_count);
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

    /// The parts of a query in the order in which they are chosen: by weight, the heaviest first. If the
    /// class does not require all parts, those of the least loaded shards come first.
    fn candidates(&self, now: Millis, query: &Query, class: &Class) -> Candidates {
        // Under a limit, which an overload has caused, one failure of a replica is enough to reject a query.
        // Without one, a single error must not reject any.
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

    /// The share of the concurrency limit that a query may use. Classes that earn more per part may use more
    /// of it, and queries beyond their tenant's quota less.
    fn limit_share(&self, query: &Query) -> f64 {
        let highest = self.value_densities.iter().copied().fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let density = self.value_densities[query.class];
        let share = LOWEST_VALUE_LIMIT_SHARE + (1.0 - LOWEST_VALUE_LIMIT_SHARE) * density / highest;
        match query.quota {
            QuotaState::Within => share,
            QuotaState::Exceeded => OVER_QUOTA_LIMIT_SHARE * share,
        }
    }

    /// Whether the weight without the parts that have no healthy replica is too little for an answer.
    fn lacks_healthy_replicas(&self, class: usize, unhealthy_weight: f64) -> bool {
        1.0 - unhealthy_weight < self.settings.classes[class].minimum_share - ROUNDING_TOLERANCE
    }

    /// Whether to reject a query that needs all its parts because one of its shards is too slow for its
    /// class.
    fn is_saturated(&self, id: RequestId, class: usize, selected: &[Candidate]) -> bool {
        let class_settings = &self.settings.classes[class];
        let slowest = selected.iter().map(|candidate| candidate.latency_ratio).fold(0.0, f64::max);
        let latency_share = slowest * self.latencies[class].usual / class_settings.latency_target_ms.max(1.0);
        let probability = (SATURATED_TO - latency_share) / (SATURATED_TO - SATURATED_FROM);
        let probability = if self.outstanding_attempts() > 0.0 {
            probability
        } else {
            probability.max(SATURATED_MIN_PROBABILITY)
        };
        let needs_all_parts = class_settings.minimum_share >= class_settings.required_share;
        needs_all_parts && unit_interval(splitmix64(self.random_state ^ id)) > probability
    }

    /// Whether a query's deadline leaves less time than its parts usually take.
    fn is_deadline_too_short(&self, now: Millis, query: &Query) -> bool {
        let usual = self.latencies[query.class].usual;
        let target = self.settings.classes[query.class].latency_target_ms;
        let needed = (MIN_WAIT_USUAL_LATENCIES * usual).min(target);
        query.deadline - now < needed && self.outstanding_attempts() > 0.0
    }
}

/// Chooses the number of candidates, from the first, with the highest gain: the share of the value that they
/// earn, less the price of the parts. It is at least the number that allows an answer.
///
/// The price of all parts together is the share of the concurrency limit that they would use, or the share
/// already in use if that is higher.
fn select_parts(candidates: &[Candidate], class: &Class, utilisation: f64, capacity: f64) -> Selection {
    let candidate_count = candidates.len() as f64;
    let price = utilisation.max(candidate_count / capacity) / candidate_count.max(1.0);
    let may_be_partial = class.minimum_share < class.required_share;
    let minimum_weight = if may_be_partial { class.minimum_share * TRIM_RESERVE } else { 1.0 };
    let mut selection = Selection { part_count: 0, value_density: 0.0 };
    let mut highest_gain = f64::NEG_INFINITY;
    let mut weight = 0.0;
    for (count, candidate) in (1..).zip(candidates) {
        weight += candidate.weight;
        let is_complete = count == candidates.len() || weight >= class.required_share - ROUNDING_TOLERANCE;
        if !is_complete && weight < minimum_weight {
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
            selection.part_count = count;
            highest_gain = gain;
        }
    }
    selection
}
