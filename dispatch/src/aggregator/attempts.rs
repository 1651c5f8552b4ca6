//! Further attempts: which are safe, which the ration allows, and which are worth it.

use super::*;
use crate::numbers::drop_until;

/// A late part goes only to a server of whose last sample so much is remembered.
const KNOWN: f64 = 0.5;
/// A second copy goes out after so many usual latencies, at the latest after this share of the aim.
const COPY_AFTER: f64 = 2.5;
const COPY_LATEST: f64 = 0.5;
/// None goes out while more than this share of the limit is in use: in a jam all parts are late.
const COPY_LIMIT: f64 = 0.3;
/// The ration of second copies where the settings have none.
const OWN_RATION: Budget = Budget { free: 5.0, ratio: 0.5, window_ms: 2000.0 };
/// Extra attempts that second copies leave to parts whose only attempt failed.
const RESERVE: f64 = 3.0;

impl Aggregator {
    pub(super) fn forget_window(&mut self, now: Millis) {
        let window = self.set.budget.unwrap_or(OWN_RATION).window_ms;
        drop_until(&mut self.taken, now - window + self.set.turn_ms);
        drop_until(&mut self.extras, now - window - self.set.turn_ms);
    }

    /// Whether the ration allows a further attempt and leaves `reserve` for others.
    pub(super) fn may_spend(&self, budget: Option<Budget>, reserve: f64) -> bool {
        budget.is_none_or(|budget| {
            let allowed = budget.free + budget.ratio * self.taken.len() as f64;
            self.extras.len() as f64 + 1.0 + reserve <= allowed
        })
    }

    /// Until when a part that is asked once more, by this aggregator or by its client, has no effect twice:
    /// for ever where it is safe or every attempt is proved never to have run; a keyed one while the servers
    /// surely remember the first attempt; an unsafe one never. Whatever repeats or invites to asks here.
    pub(super) fn repeatable_until(part: &Part, class: &Class) -> Millis {
        let running = part.out > 0 || part.state == PartState::In;
        let first = part.may_have_run.into_iter().chain(running.then_some(part.sent)).reduce(f64::min);
        match (class.repeat, first) {
            (Repeat::Safe, _) | (_, None) => f64::INFINITY,
            (Repeat::Keyed, Some(first)) => first + class.deduplication_ms,
            (Repeat::Unsafe, Some(_)) => f64::NEG_INFINITY,
        }
    }

    /// Whether a part may be sent once more.
    pub(super) fn may_repeat(&self, now: Millis, part: &Part, class: &Class) -> bool {
        part.tried.is_empty()
            || (part.tried.len() < self.set.max_attempts as usize
                && now + self.set.turn_ms < Self::repeatable_until(part, class))
    }

    /// Sends further copies of parts that are late, first ones and the queries with fewest missing first;
    /// where a part may have one attempt at a time, it is withdrawn at half the aim, and moves.
    /// Guards against whatever keeps a part from coming back: a stall, a slow or dead server, a lost
    /// answer. It acts inside the ration, where the other replica is trusted, known to be of half the pace
    /// and of no higher count. It would harm in a jam or a hot shard, and stops there (`COPY_LIMIT`).
    pub(super) fn copies(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.out() > COPY_LIMIT * self.limit.parts * self.ready() {
            return;
        }
        let mut late = Vec::new();
        for (&id, query) in &self.queries {
            let class = &self.set.classes[query.class];
            let typical = self.typical[query.class];
            let in_time = now + self.light[query.class] <= query.aim;
            // Where any parts will do, another takes the place of a late one.
            let spares = class.required_share < 1.0 && !query.second_step && self.spare(id).is_some();
            let repeats = class.repeat != Repeat::Unsafe && (self.set.parallel || self.set.withdrawals);
            if !in_time || !(spares || repeats) {
                continue;
            }
            let latest = COPY_LATEST * class.latency_target_ms;
            let soon = typical > 0.0 && (spares || self.set.parallel);
            let after = if soon { (COPY_AFTER * typical).min(latest) } else { latest };
            let parts = query.parts.iter().filter_map(|&p| Some((p, self.parts.get(&p)?)));
            let missing = parts.clone().filter(|(_, part)| part.state == PartState::Out).count();
            for (p, part) in parts {
                if part.state == PartState::Out && now - part.last >= after && !part.leaving {
                    late.push((part.out, missing, id, p, spares));
                }
            }
        }
        late.sort_unstable();
        let ration = self.set.budget.unwrap_or(OWN_RATION);
        let mut leaving = self.parts.values().filter(|part| part.leaving).count() as f64;
        for (out, _, id, p, spares) in late {
            if let Some(spare) = self.spare(id).filter(|_| spares) {
                self.parts.entry(spare).and_modify(|part| part.state = PartState::Waiting);
                self.parts.entry(p).and_modify(|part| part.last = now);
                continue;
            }
            let half = (ration.free + ration.ratio * self.taken.len() as f64) / 2.0;
            if !self.may_spend(Some(ration), leaving + if out > 1 { half.max(RESERVE) } else { RESERVE }) {
                return;
            }
            let (Some(query), Some(part)) = (self.queries.get(&id), self.parts.get(&p)) else { continue };
            if !self.may_repeat(now, part, &self.set.classes[query.class]) {
                continue;
            }
            let Some((rank, sid)) = self.best(now, part, query.class) else { continue };
            let ready = |held: &&ServerId| self.servers.get(held).is_some_and(|s| s.status == Status::Ready);
            let held = part.tried.last().filter(ready).and_then(|&held| self.rank(now, held, query.class));
            // A server that has served since is not stuck: elsewhere the part would wait anew, and what was
            // done for it is wasted.
            let last = part.tried.last().and_then(|held| self.servers.get(held));
            let serves = !self.set.parallel && last.is_some_and(|held| held.served > part.last);
            let known = self.servers.get(&sid).is_some_and(|s| self.kept(now, s) > KNOWN);
            let worse = |held: Rank| rank.count > held.count || rank.pace * 2 > held.pace;
            if rank.distrust > 0 || held.is_some_and(worse) || !known || serves {
                continue;
            }
            if self.set.parallel {
                self.send(now, p, sid, actions);
            } else if let Some(part) = self.parts.get_mut(&p) {
                (part.leaving, leaving) = (true, leaving + 1.0);
                self.withdraw(p, actions);
            }
        }
    }

    /// Stops waiting for a part: its attempts are of no more use, and some servers drop what waits.
    pub(super) fn withdraw(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id).filter(|_| self.set.withdrawals) else { return };
        for (attempt, sid) in (0u32..).zip(&part.tried) {
            let out = |out: &Out| (out.part, out.attempt) == (id, attempt);
            if self.servers.get(sid).is_some_and(|server| server.outs.iter().any(out)) {
                actions.push(Action::Withdraw { part: id, attempt });
            }
        }
    }
}
