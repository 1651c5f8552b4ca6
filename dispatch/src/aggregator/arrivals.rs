//! Records queries and parts when they arrive, replaces parts whose shard was split, and removes queries that
//! have ended.

use super::Aggregator;
use crate::interface::{Action, Millis, RequestId, SuccessorPart};
use crate::state::{Part, Query};

/// The fields of [`Event::Query`](crate::Event::Query) that the decisions use.
pub(super) struct QueryArrival {
    pub(super) id: RequestId,
    pub(super) number: u64,
    pub(super) class: usize,
    pub(super) tenant: Option<usize>,
    pub(super) deadline: Millis,
    pub(super) parts: u32,
}

/// The fields of [`Event::Part`](crate::Event::Part).
pub(super) struct PartArrival {
    pub(super) id: RequestId,
    pub(super) number: u64,
    pub(super) shard: u32,
    pub(super) weight: f64,
    pub(super) cost_ms: Option<Millis>,
}

impl Aggregator {
    /// Records a query. A query of an unknown class fails.
    pub(super) fn on_query(&mut self, now: Millis, arrival: QueryArrival, actions: &mut Vec<Action>) {
        self.arrivals.push_back(now);
        let quota = self.quotas.charge(&self.settings, now, arrival.tenant);
        let Some(class) = self.settings.classes.get(arrival.class) else {
            actions.push(Action::Fail { query: arrival.id });
            return;
        };
        let query = Query {
            number: arrival.number,
            class: arrival.class,
            target_at: (now + class.latency_target_ms).min(arrival.deadline).max(now),
            deadline: arrival.deadline.min(now + class.deadline_ms.max(0.0)),
            expected_parts: arrival.parts as usize,
            arrived_at: now,
            quota,
            ..Query::default()
        };
        self.queries.insert(arrival.id, query);
    }

    /// Adds a part to its query. If the class stretches the latency target, extends the query's target by the
    /// part's work.
    pub(super) fn on_part(&mut self, now: Millis, arrival: PartArrival) {
        self.arrivals.push_back(now);
        let mut open_queries = self.queries.iter_mut();
        let Some((&id, query)) = open_queries.find(|(_, query)| query.number == arrival.number) else {
            return;
        };
        query.parts.push(arrival.id);
        if !query.is_second_step() {
            let class = &self.settings.classes[query.class];
            let extension = class.latency_target_stretch * arrival.cost_ms.unwrap_or(0.0);
            let latest = query.deadline.max(query.target_at);
            query.target_at = (query.target_at + extension.max(0.0)).min(latest);
        }
        let part = Part {
            query: id,
            shard: arrival.shard,
            // A comparison instead of `max` also replaces a weight that is not a number with 0.
            weight: if arrival.weight > 0.0 { arrival.weight } else { 0.0 },
            outstanding_since: now,
            last_sent_at: now,
            ..Part::default()
        };
        self.parts.insert(arrival.id, part);
    }

    /// Replaces a part whose shard no longer exists with its successors. Its attempts count for each of them.
    pub(super) fn replace_part(&mut self, id: RequestId, successors: Vec<SuccessorPart>) {
        let Some(replaced) = self.parts.get(&id).filter(|part| part.outstanding_attempts == 0) else {
            return;
        };
        let Some(query) = self.queries.get_mut(&replaced.query) else { return };
        query.expected_parts = (query.expected_parts + successors.len()).saturating_sub(1);
        query.parts.retain(|part| *part != id);
        query.parts.extend(successors.iter().map(|successor| successor.id));
        let Some(replaced) = self.parts.remove(&id) else { return };
        for SuccessorPart { id, shard, weight } in successors {
            let tried_servers = replaced.tried_servers.clone();
            self.parts.insert(id, Part { shard, weight, tried_servers, ..replaced });
        }
    }

    /// Removes a query and the parts of its present step.
    pub(super) fn remove_query(&mut self, id: RequestId) {
        let Some(query) = self.queries.remove(&id) else { return };
        for part in &query.parts {
            self.parts.remove(part);
        }
    }
}
