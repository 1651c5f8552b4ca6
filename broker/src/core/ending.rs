//! How a query ends: with the values of the parts that are in, or with its client, who has left; and what comes after the
//! first step of a class with two.

use std::rc::Rc;

use gingerledge_dispatch::{Event, RequestId};

use super::{Ask, AttemptId, Core, Final, FirstStep, Query, QueryId, Served};
use crate::routes::Target;

/// A part in answers: the client's number, where its weighers begin, its block, and what came.
type Inside = (u32, u64, RequestId, Served);

impl Core {
    /// The final answer of a query from the parts that are in; or, after the first step of a class
    /// with two, the parts of the second.
    pub(super) fn answer(&mut self, id: QueryId, whole: bool) -> Result<Final, Vec<Event>> {
        let Some(query) = self.queries.get_mut(&id) else { return Err(Vec::new()) };
        let in_hand = |p: &RequestId| {
            let part = self.parts.get(p)?;
            Some((part.named, part.first, *p, part.served.clone()?))
        };
        let mut inside: Vec<Inside> = query.parts.iter().filter_map(in_hand).collect();
        inside.sort_by_key(|(named, first, id, _)| (*named, *first, *id));
        let follow_up = self.follow_up.get(query.question.class).copied().unwrap_or(0) as usize;
        if follow_up == 0 || query.second.is_some() {
            self.forget(id);
            let values = inside.into_iter().map(|(named, _, _, served)| (named, served.value)).collect();
            return Ok(Final::Answered { whole, values });
        }
        // Stores know the blocks, not the numbers that clients used.
        let shard = |part: &RequestId| self.parts.get(part).map(|part| part.shard);
        let from: Vec<u32> = inside.iter().filter_map(|(_, _, part, _)| shard(part)).collect();
        inside.sort_by_key(|(named, first, _, served)| (std::cmp::Reverse(served.score), *named, *first));
        inside.truncate(follow_up);
        let weight = 1.0 / inside.len().max(1) as f64;
        let again = |(named, _, part, _): &Inside| {
            let part = self.parts.get(part)?;
            let ask = Ask { shard: *named, weight, cost_ms: None, weigher: part.weigher };
            Some((ask, Target { block: part.shard, first: part.first, share: 1.0, slice: part.slice }))
        };
        let next: Vec<(Ask, Target)> = inside.iter().filter_map(again).collect();
        query.second = Some(Rc::new(FirstStep { from, whole }));
        for part in std::mem::take(&mut query.parts) {
            self.parts.remove(&part);
        }
        Err(next.into_iter().map(|(ask, target)| self.part(id, &ask, target, 0)).collect())
    }

    /// Stops what is out for a query whose client has left: a store that can drop it is spared the work.
    pub(super) fn abandon(&mut self, query: QueryId) {
        let Some(open) = self.queries.get(&query).filter(|_| self.withdrawals) else { return };
        for part in &open.parts {
            let of = |number| AttemptId { part: *part, number };
            for (attempt, flight) in self.flights.range_mut(of(0)..=of(u32::MAX)) {
                flight.abandoned = true;
                self.abandoned.push(*attempt);
            }
        }
    }

    pub(super) fn forget(&mut self, query: QueryId) -> Option<Query> {
        let open = self.queries.remove(&query)?;
        for part in &open.parts {
            self.parts.remove(part);
        }
        Some(open)
    }
}
