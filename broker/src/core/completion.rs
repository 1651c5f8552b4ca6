//! Completing a query from the parts that have answered, starting the second step of a class that has two, and cancelling
//! the attempts of a client that disconnected.

use std::rc::Rc;

use gingerledge_dispatch::{Event, RequestId};

use super::{AttemptId, Core, FinalAnswer, FirstStep, OpenQuery, PartRequest, QueryId, Served};
use crate::routes::Target;

/// A part that has been answered: the block number that the client used, the part's first weigher, its id, and its value.
type CompletedPart = (u32, u64, RequestId, Served);

impl Core {
    /// Completes the current step of a query: `Ok` with its final answer, or `Err` with the events that open the parts of
    /// its second step.
    pub(super) fn complete_step(
        &mut self,
        id: QueryId,
        is_complete: bool,
    ) -> Result<FinalAnswer, Vec<Event>> {
        let Some(query) = self.queries.get_mut(&id) else { return Err(Vec::new()) };
        let completed_part = |id: &RequestId| {
            let part = self.parts.get(id)?;
            Some((part.requested_block, part.first_weigher, *id, part.served.clone()?))
        };
        let mut completed: Vec<CompletedPart> = query.parts.iter().filter_map(completed_part).collect();
        completed
            .sort_by_key(|(requested_block, first_weigher, id, _)| (*requested_block, *first_weigher, *id));
        let follow_up = self.follow_up.get(query.request.class).copied().unwrap_or(0) as usize;
        if follow_up == 0 || query.first_step.is_some() {
            self.remove_query(id);
            let values = completed
                .into_iter()
                .map(|(requested_block, _, _, served)| (requested_block, served.value))
                .collect();
            return Ok(FinalAnswer::Answered { is_complete, values });
        }
        // Stores know current block numbers, not the ones that clients used.
        let current_shard = |part: &RequestId| self.parts.get(part).map(|part| part.shard);
        let answered_shards: Vec<u32> =
            completed.iter().filter_map(|(_, _, part, _)| current_shard(part)).collect();
        completed.sort_by_key(|(requested_block, first_weigher, _, served)| {
            (std::cmp::Reverse(served.score), *requested_block, *first_weigher)
        });
        completed.truncate(follow_up);
        let weight = 1.0 / completed.len().max(1) as f64;
        let second_step_part = |(requested_block, _, part, _): &CompletedPart| {
            let part = self.parts.get(part)?;
            let request =
                PartRequest { shard: *requested_block, weight, cost_ms: None, weigher: part.weigher };
            Some((
                request,
                Target {
                    block: part.shard,
                    first_weigher: part.first_weigher,
                    share: 1.0,
                    slice: part.slice,
                },
            ))
        };
        let second_step: Vec<(PartRequest, Target)> = completed.iter().filter_map(second_step_part).collect();
        query.first_step = Some(Rc::new(FirstStep { answered_shards, is_complete }));
        for part in std::mem::take(&mut query.parts) {
            self.parts.remove(&part);
        }
        Err(second_step
            .into_iter()
            .map(|(request, target)| self.open_part(id, &request, target, 0))
            .collect())
    }

    /// Cancels the in-flight attempts of a query whose client has disconnected, to spare the stores their work.
    pub(super) fn cancel_attempts(&mut self, query: QueryId) {
        let Some(open) = self.queries.get(&query).filter(|_| self.allows_withdrawals) else { return };
        for part in &open.parts {
            let attempt_id = |number| AttemptId { part: *part, number };
            for (attempt, in_flight) in self.in_flight.range_mut(attempt_id(0)..=attempt_id(u32::MAX)) {
                in_flight.is_cancelled = true;
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
