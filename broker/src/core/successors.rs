//! Attempts that a store rejected for an out-of-date epoch, and parts whose block no longer exists. A rejected attempt was
//! not executed: it is parked until the block map names the current owners, and its part then continues with the remaining
//! attempts. If the block was split or merged, parts for its successor blocks replace the part.

use gingerledge_dispatch::{Action, Event, Millis, Outcome, RequestId, SuccessorPart};

use super::{AttemptId, AttemptOutcome, Core, FinalAnswer, InFlightAttempt, PartRequest, QueryId};
use crate::routes::{BlockOwners, Target};

/// Time for which a rejected attempt waits for an update of the block map, in milliseconds, by the number of earlier
/// attempts of its part. A change takes a few round trips from fencing to completion; if the second attempt is rejected too,
/// the change is delayed.
const BLOCK_MAP_WAIT_MS: [Millis; 2] = [20.0, 200.0];

/// An attempt whose epoch a store rejected, waiting for an update of the block map.
#[derive(Debug)]
pub(super) struct ParkedAttempt {
    attempt: AttemptId,
    in_flight: InFlightAttempt,
    /// The epoch of its block in the map when it was rejected.
    epoch: Option<gingerledge_blocks::Epoch>,
    /// Time until which it waits at most, in Unix milliseconds.
    pub(super) until: Millis,
}

impl Core {
    /// Parks an attempt that a store rejected because it knows `newer_epoch` of the block.
    pub(super) fn park(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        in_flight: InFlightAttempt,
        newer_epoch: u64,
    ) {
        let block = self.parts.get(&attempt.part).map(|part| part.shard);
        let epoch = self.routes.as_ref().and_then(|routes| routes.epoch(block?));
        self.refresh_block_map |= epoch.is_some_and(|epoch| epoch.0 < newer_epoch);
        let wait = BLOCK_MAP_WAIT_MS[(attempt.number as usize).min(BLOCK_MAP_WAIT_MS.len() - 1)];
        // If the map was updated while the attempt was in flight, there is nothing to wait for.
        let is_updated = in_flight.epoch.is_some() && in_flight.epoch < epoch;
        let until = if is_updated || epoch.is_none() { now } else { now + wait };
        self.parked.push(ParkedAttempt { attempt, in_flight, epoch, until });
    }

    /// Ends parked attempts whose wait is over or whose block has changed, and replaces parts whose block no longer exists.
    pub(super) fn release_parked(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(routes) = self.routes.clone() else { return };
        let (mut released, mut still_parked) = (Vec::new(), Vec::new());
        for parked in std::mem::take(&mut self.parked) {
            let block = self.parts.get(&parked.attempt.part).map(|part| part.shard);
            let epoch = block.and_then(|block| routes.epoch(block));
            if parked.until <= now || epoch != parked.epoch {
                released.push(parked)
            } else {
                still_parked.push(parked)
            }
        }
        self.parked = still_parked;
        for parked in released {
            let ended = AttemptOutcome::from(Outcome::Void);
            self.on_attempt_ended(now, parked.attempt, &parked.in_flight, ended, actions);
            if self.parts.get(&parked.attempt.part).is_some_and(|part| !routes.is_current(part.shard)) {
                self.replace_with_successors(now, parked.attempt.part, actions);
            }
        }
    }

    /// Passes the current owners of blocks to the decision module, and replaces waiting parts whose block no longer exists.
    pub(super) fn on_block_owners(&mut self, now: Millis, owners: BlockOwners, actions: &mut Vec<Action>) {
        let removed: Vec<u32> =
            owners.iter().filter(|(_, servers)| servers.is_empty()).map(|(block, _)| *block).collect();
        for (shard, servers) in owners {
            self.aggregator.handle(now, Event::ShardReplicas { shard, servers }, actions);
        }
        if removed.is_empty() {
            return;
        }
        let is_waiting =
            |part: &super::Part| !part.in_flight && part.served.is_none() && removed.contains(&part.shard);
        let parts: Vec<RequestId> =
            self.parts.iter().filter(|(_, part)| is_waiting(part)).map(|(id, _)| *id).collect();
        for part in parts {
            self.replace_with_successors(now, part, actions);
        }
    }

    /// Replaces a part by parts for the successors of its block.
    fn replace_with_successors(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let (Some(routes), Some(part)) = (self.routes.clone(), self.parts.get(&id)) else { return };
        let query = part.query;
        let class = self.queries.get(&query).map(|open| open.request.class);
        let is_entry = class.and_then(|class| self.at_most_once.get(class)).copied().unwrap_or(false);
        let targets = routes.successors(part.shard, part.slice, part.weigher, is_entry).unwrap_or_default();
        if targets.is_empty() {
            return self.end_unroutable(now, query, actions);
        }
        let (attempts, possibly_executed_at) = (part.attempts, part.possibly_executed_at);
        let request = PartRequest {
            shard: part.requested_block,
            weight: part.weight,
            cost_ms: None,
            weigher: part.weigher,
        };
        if let Some(open) = self.queries.get_mut(&query) {
            open.parts.retain(|other| *other != id);
        }
        self.parts.remove(&id);
        let mut successors = Vec::new();
        for target in targets {
            let successor = self.open_successor(query, &request, target, attempts, possibly_executed_at);
            successors.extend(successor);
        }
        self.aggregator.handle(now, Event::SuccessorParts { part: id, successors }, actions);
    }

    /// Opens a part for one successor block, which continues with the attempts of the part that it replaces.
    fn open_successor(
        &mut self,
        query: QueryId,
        request: &PartRequest,
        target: Target,
        attempts: u32,
        possibly_executed_at: Option<Millis>,
    ) -> Option<SuccessorPart> {
        let Event::Part { id, shard, weight, .. } = self.open_part(query, request, target, attempts) else {
            return None;
        };
        if let Some(part) = self.parts.get_mut(&id) {
            part.possibly_executed_at = possibly_executed_at;
        }
        Some(SuccessorPart { id, shard, weight })
    }

    /// Ends a query of which no block can serve a part, such as an entry for a block that now has several successors. The
    /// query is rejected as safe to retry only if none of its parts may have been executed.
    fn end_unroutable(&mut self, now: Millis, query: QueryId, actions: &mut Vec<Action>) {
        let Some(open) = self.queries.get(&query) else { return };
        let is_entry = self.at_most_once.get(open.request.class).copied().unwrap_or(false);
        let possibly_executed = |id: &RequestId| {
            self.parts.get(id).is_some_and(|part| part.in_flight || part.possibly_executed_at.is_some())
        };
        let may_have_run = is_entry && open.parts.iter().any(possibly_executed);
        let attempts: Vec<AttemptId> =
            self.in_flight.keys().filter(|attempt| open.parts.contains(&attempt.part)).copied().collect();
        self.withdrawn.extend(attempts);
        self.remove_query(query);
        self.aggregator.handle(now, Event::ClientGone { query }, actions);
        let answer =
            if may_have_run { FinalAnswer::Failed } else { FinalAnswer::Refused { retry_after_ms: 0.0 } };
        self.completed.push((query, answer));
    }
}
