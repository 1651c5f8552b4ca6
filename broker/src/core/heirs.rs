//! Parts that meet a fence, and parts whose block is no more. A part turned away at a fence never ran; it waits a moment
//! for the map to say who holds its block now, and goes on with the attempts it has left. Where its block has split or
//! merged, parts of the living blocks take its place.

use gingerledge_dispatch::{Action, Event, Millis, Outcome, RequestId, SuccessorPart};

use super::{Ask, AttemptId, Core, Ended, Final, Flight, QueryId};
use crate::routes::{Target, Told};

/// How long a part turned away waits for news of its block, by its attempts so far: a change takes a few exchanges
/// from its fence to its end; the second time something holds it up.
const FENCE_WAIT_MS: [Millis; 2] = [20.0, 200.0];

/// An attempt that met a fence.
#[derive(Debug)]
pub(super) struct Held {
    attempt: AttemptId,
    flight: Flight,
    /// The epoch of its block when it came back.
    epoch: Option<gingerledge_blocks::Epoch>,
    pub(super) until: Millis,
}

impl Core {
    pub(super) fn hold(&mut self, now: Millis, attempt: AttemptId, flight: Flight, newer: u64) {
        let block = self.parts.get(&attempt.part).map(|part| part.shard);
        let epoch = self.routes.as_ref().and_then(|routes| routes.epoch(block?));
        self.learn |= epoch.is_some_and(|epoch| epoch.0 < newer);
        let wait = FENCE_WAIT_MS[(attempt.number as usize).min(FENCE_WAIT_MS.len() - 1)];
        // The map may have learned of the change while the part was out: then there is nothing to wait for.
        let known = flight.epoch.is_some() && flight.epoch < epoch;
        let until = if known || epoch.is_none() { now } else { now + wait };
        self.held.push(Held { attempt, flight, epoch, until });
    }

    /// Lets go of held parts whose time is over or whose block has changed, and finds heirs where it is no more.
    pub(super) fn release(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(routes) = self.routes.clone() else { return };
        let (mut free, mut rest) = (Vec::new(), Vec::new());
        for held in std::mem::take(&mut self.held) {
            let block = self.parts.get(&held.attempt.part).map(|part| part.shard);
            let epoch = block.and_then(|block| routes.epoch(block));
            if held.until <= now || epoch != held.epoch {
                free.push(held)
            } else {
                rest.push(held)
            }
        }
        self.held = rest;
        for held in free {
            let ended = Ended::from(Outcome::Void);
            self.over(now, held.attempt, &held.flight, ended, actions);
            if self.parts.get(&held.attempt.part).is_some_and(|part| !routes.lives(part.shard)) {
                self.replace(now, held.attempt.part, actions);
            }
        }
    }

    /// Tells the module who holds blocks now, and finds heirs for parts that wait for one that is no more.
    pub(super) fn told(&mut self, now: Millis, told: Told, actions: &mut Vec<Action>) {
        let ended: Vec<u32> =
            told.iter().filter(|(_, servers)| servers.is_empty()).map(|(block, _)| *block).collect();
        for (shard, servers) in told {
            self.aggregator.handle(now, Event::Holders { shard, servers }, actions);
        }
        if ended.is_empty() {
            return;
        }
        let waits = |part: &super::Part| !part.out && part.served.is_none() && ended.contains(&part.shard);
        let parts: Vec<RequestId> =
            self.parts.iter().filter(|(_, part)| waits(part)).map(|(id, _)| *id).collect();
        for part in parts {
            self.replace(now, part, actions);
        }
    }

    /// Puts the heirs of a part's block in its place.
    fn replace(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let (Some(routes), Some(part)) = (self.routes.clone(), self.parts.get(&id)) else { return };
        let query = part.query;
        let class = self.queries.get(&query).map(|open| open.question.class);
        let entry = class.and_then(|class| self.entries.get(class)).copied().unwrap_or(false);
        let targets = routes.heirs(part.shard, part.slice, part.weigher, entry).unwrap_or_default();
        if targets.is_empty() {
            return self.give_up(now, query, actions);
        }
        let (attempts, ran) = (part.attempts, part.ran);
        let ask = Ask { shard: part.named, weight: part.weight, cost_ms: None, weigher: part.weigher };
        if let Some(open) = self.queries.get_mut(&query) {
            open.parts.retain(|other| *other != id);
        }
        self.parts.remove(&id);
        let mut heirs = Vec::new();
        for target in targets {
            let heir = self.heir(query, &ask, target, attempts, ran);
            heirs.extend(heir);
        }
        self.aggregator.handle(now, Event::SuccessorParts { part: id, successors: heirs }, actions);
    }

    fn heir(
        &mut self,
        query: QueryId,
        ask: &Ask,
        target: Target,
        attempts: u32,
        ran: Option<Millis>,
    ) -> Option<SuccessorPart> {
        let Event::Part { id, shard, weight, .. } = self.part(query, ask, target, attempts) else {
            return None;
        };
        if let Some(part) = self.parts.get_mut(&id) {
            part.ran = ran;
        }
        Some(SuccessorPart { id, shard, weight })
    }

    /// Ends a query that has a part which nobody can be asked for: an entry that names a block with several heirs.
    /// Refused only if a repeat does no harm.
    fn give_up(&mut self, now: Millis, query: QueryId, actions: &mut Vec<Action>) {
        let Some(open) = self.queries.get(&query) else { return };
        let entry = self.entries.get(open.question.class).copied().unwrap_or(false);
        let ran = |id: &RequestId| self.parts.get(id).is_some_and(|part| part.out || part.ran.is_some());
        let harm = entry && open.parts.iter().any(ran);
        let out: Vec<AttemptId> =
            self.flights.keys().filter(|flight| open.parts.contains(&flight.part)).copied().collect();
        self.withdrawn.extend(out);
        self.forget(query);
        self.aggregator.handle(now, Event::ClientGone { query }, actions);
        let answer = if harm { Final::Failed } else { Final::Refused { retry_after_ms: 0.0 } };
        self.ended.push((query, answer));
    }
}
