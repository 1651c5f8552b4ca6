//! Completing a query from the parts that have answered, starting the second step of a class that has two, and cancelling
//! the attempts of a client that disconnected.

use std::rc::Rc;

use gingerledge_dispatch::{Event, RequestId};

use super::{AttemptId, Core, FinalAnswer, FirstStep, OpenQuery, PartRequest, QueryId, Served};
use crate::routes::Target;

/// A part that has answered: the block number used by the client, its first weigher, its id, and its value.
type CompletedPart = (u32, u64, RequestId, Served);

impl Core {
    /// Completes the current step of a query: `Ok` with its final answer, or `Err` with the events that open the parts of
    /// its second step.
    pub(super) fn complete_step(&mut self, id: QueryId, whole: bool) -> Result<FinalAnswer, Vec<Event>> {
        let Some(query) = self.queries.get_mut(&id) else { return Err(Vec::new()) };
        let completed_part = |p: &RequestId| {
            let part = self.parts.get(p)?;
            Some((part.named, part.first, *p, part.served.clone()?))
        };
        let mut completed: Vec<CompletedPart> = query.parts.iter().filter_map(completed_part).collect();
        completed.sort_by_key(|(named, first, id, _)| (*named, *first, *id));
        let follow_up = self.follow_up.get(query.request.class).copied().unwrap_or(0) as usize;
        if follow_up == 0 || query.second.is_some() {
            self.remove_query(id);
            let values = completed.into_iter().map(|(named, _, _, served)| (named, served.value)).collect();
            return Ok(FinalAnswer::Answered { whole, values });
        }
        // Stores know current block numbers, not the ones that clients used.
        let shard = |part: &RequestId| self.parts.get(part).map(|part| part.shard);
        let from: Vec<u32> = completed.iter().filter_map(|(_, _, part, _)| shard(part)).collect();
        completed.sort_by_key(|(named, first, _, served)| (std::cmp::Reverse(served.score), *named, *first));
        completed.truncate(follow_up);
        let weight = 1.0 / completed.len().max(1) as f64;
        let second_step_part = |(named, _, part, _): &CompletedPart| {
            let part = self.parts.get(part)?;
            let request = PartRequest { shard: *named, weight, cost_ms: None, weigher: part.weigher };
            Some((request, Target { block: part.shard, first: part.first, share: 1.0, slice: part.slice }))
        };
        let next: Vec<(PartRequest, Target)> = completed.iter().filter_map(second_step_part).collect();
        query.second = Some(Rc::new(FirstStep { from, whole }));
        for part in std::mem::take(&mut query.parts) {
            self.parts.remove(&part);
        }
        Err(next.into_iter().map(|(request, target)| self.open_part(id, &request, target, 0)).collect())
    }

    /// Cancels the attempts in flight of a query whose client disconnected, which saves stores the work.
    pub(super) fn cancel_attempts(&mut self, query: QueryId) {
        let Some(open) = self.queries.get(&query).filter(|_| self.withdrawals) else { return };
        for part in &open.parts {
            let of = |number| AttemptId { part: *part, number };
            for (attempt, flight) in self.flights.range_mut(of(0)..=of(u32::MAX)) {
                flight.is_cancelled = true;
                self.cancelled.push(*attempt);
            }
        }
    }

    /// Removes a query and its parts from the tables.
    pub(super) fn remove_query(&mut self, query: QueryId) -> Option<OpenQuery> {
        let open = self.queries.remove(&query)?;
        for part in &open.parts {
            self.parts.remove(part);
        }
        Some(open)
    }
}
