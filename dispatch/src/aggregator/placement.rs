//! Where parts go: batch-filling over the replicas that hold their shards, in the order of `rank`.

use super::*;
use crate::batch_filling;
use crate::slots::slot;

/// From this pace on, a server's count is multiplied by its pace; the tie-break tells so many steps apart.
const SLOW: f64 = 1.75;
const PACE_STEPS: f64 = 2.0;
/// From this recent share of errors on (more than two make), a server's count is raised by it, up to a most,
/// and so many times more; it fades with so many shortest aims.
const FLAKY: f64 = 0.25;
const FLAKY_MOST: f64 = 0.8;
const FLAKY_COUNTS: f64 = 2.0;
const FLAKY_MEMORY_AIMS: f64 = 10.0;
/// Among distrusted replicas, fewer failures in a row come first, up to so many.
const DISTRUST_LEVELS: u32 = 3;
/// The most of its aim that a part waits for company.
const GATHER_MOST: f64 = 0.3;

impl Aggregator {
    /// The share of its full capacity that a server surely has by now.
    fn capacity(&self, now: Millis, server: &Server) -> f64 {
        let age = (now - server.since).max(0.0);
        let from = self.set.warm_up_start.clamp(0.01, 1.0);
        (from + (1.0 - from) * age / self.set.warm_up_ms.max(1.0)).min(1.0)
    }

    /// Whether a cold server may take one more part of a class. What all aggregators may send it in any
    /// window adds up to what the settings allow, taking the server to have one processor and a part's work
    /// to be a low latency of its class, or while none is known, a whole window. Each may send the work of
    /// the largest part as often as that goes into an equal share; once more whose slot has come: these
    /// make up for what is cut off, and open one by one in the first window and as the server warms. Where
    /// numbers are not told, slots lie by chance, and serve only for a share of less than a part. A process
    /// about to end leaves its part to its successor, which waits until no window holds what went before
    /// it. That harms where all holders are cold and all aggregators restart.
    fn cold_room(&self, now: Millis, server: &Server, class: usize) -> bool {
        let capacity = self.capacity(now, server);
        if capacity >= 1.0 {
            return true;
        }
        let fall = self.set.overload_window_ms;
        if self.leaving || (server.since < self.began && now < self.began + fall) {
            return false;
        }
        let work = |class: usize| if self.light[class] > 0.0 { self.light[class] } else { fall };
        let largest = self.light.iter().copied().fold(work(class), f64::max);
        let share = self.set.overload_factor * capacity * fall / f64::from(self.set.aggregators);
        let spread = unit(mix(self.seed ^ u64::from(server.cell)));
        let (whole, rest) = ((share / largest).floor(), (share / largest).fract());
        let opened = rest * ((now - server.since) / fall).min(1.0);
        let slotted = self.set.index.is_some() || whole == 0.0;
        let slotted = slotted && slot(&self.set, self.numbers, server.cell, spread) < opened;
        let own = (whole + f64::from(u8::from(slotted))) * largest;
        // What was sent before its start never reached this process.
        let from = (now - fall - self.set.turn_ms).max(server.since);
        let sent = server.cold_sends.iter().filter(|&&(at, _)| at >= from);
        let sent: f64 = sent.map(|&(_, of)| work(of)).sum();
        sent + work(class) <= own + ROUNDING
    }

    /// How good a place a server is for a part; the least is chosen.
    /// First trust, then the count after the placement, by call. The count of a slow or a cold server
    /// is scaled by how much longer work takes there, which acts only from `SLOW` on. Ties go to fewer
    /// failures since a success, a call that it joins, the better pace, the own zone, and a rotation by seed.
    pub(super) fn rank(&self, now: Millis, sid: ServerId, class: usize) -> Option<Rank> {
        let server = self.servers.get(&sid)?;
        if !self.cold_room(now, server, class) {
            return None;
        }
        let joins = server.room(self.set.batch).is_some();
        let process = server.faults.last().unwrap_or(&server.faults[class]);
        let doubt = server.faults[class].count.max(process.count).min(DISTRUST_LEVELS);
        let until = server.faults[class].until.max(process.until);
        let kept_out = now < until || (!server.outs.is_empty() && !joins);
        let calls = server.calls() + u32::from(!joins);
        let pace = self.pace(now, server);
        // Guards against who answers some parts with errors: they come at once, so that a count of calls out
        // makes light of it, and between its holds it would draw parts from the others.
        let fault = &server.faults[class];
        let errs = fault.share * (-(now - fault.learned) / (FLAKY_MEMORY_AIMS * self.aim)).exp();
        let flaky = if errs >= FLAKY { FLAKY_COUNTS / (1.0 - errs.min(FLAKY_MOST)) } else { 1.0 };
        let scale = flaky * if pace >= SLOW { pace } else { 1.0 } / self.capacity(now, server);
        Some(Rank {
            distrust: if kept_out { doubt } else { 0 },
            count: (f64::from(calls) * scale).round() as u32,
            doubt,
            alone: !joins,
            pace: (pace * PACE_STEPS).round().max(PACE_STEPS) as u32,
            far: server.zone != self.set.zone,
            turn: mix(self.random ^ u64::from(sid)),
        })
    }

    pub(super) fn best(&self, now: Millis, part: &Part, class: usize) -> Option<(Rank, ServerId)> {
        self.holders
            .of(part.shard)
            .filter(|sid| part.out == 0 || !part.tried.contains(sid))
            .filter_map(|sid| Some((self.rank(now, sid, class)?, sid)))
            .min_by_key(|&(rank, sid)| (part.tried.contains(&sid), rank, sid))
    }

    /// Batch-filling: places a query's waiting parts together, the lowest count first. One that failed waits
    /// while all its replicas are kept out and there is time, and keeps its attempts.
    pub(super) fn fill(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        let (class, aim) = (query.class, query.aim);
        let gathers = now < query.arrived + self.gather(class) * (aim - query.arrived);
        let mut waiting = Vec::new();
        for p in query.parts.clone() {
            let Some(part) = self.parts.get(&p).filter(|part| part.state == PartState::Waiting) else {
                continue;
            };
            if self.may_repeat(now, part, &self.set.classes[class]) {
                waiting.push(p);
            } else {
                self.give_up_part(id, p);
                self.settle(now, id, actions);
            }
        }
        let best = |aggregator: &Self, p: &RequestId| {
            let (rank, sid) = aggregator.best(now, aggregator.parts.get(p)?, class)?;
            Some(((rank.distrust, rank.count), (rank, sid)))
        };
        batch_filling::fill(self, waiting, best, |aggregator, p, (rank, sid)| {
            let Some(part) = aggregator.parts.get(&p) else { return };
            let shut = rank.distrust > 0 && now + HASTE * aggregator.typical[class] <= aim;
            let batch = aggregator.set.batch;
            let open = |server: &Server| server.room(batch).is_some() || server.calls() == 0;
            let joins = aggregator.servers.get(&sid).is_some_and(open);
            if part.tried.is_empty() && gathers && !joins {
                return;
            }
            if !part.tried.is_empty() && (shut || !aggregator.may_spend(aggregator.set.budget, 0.0)) {
                return;
            }
            aggregator.send(now, p, sid, actions);
        });
    }

    /// For which share of its aim a new part may wait for a call to share: what a call of its own would add
    /// to its work, up to a most. While no call is out at its replica it goes at once; else a call out is
    /// answered first, and what came meanwhile goes as one. This guards against servers that spend on calls
    /// what parts need: the longer they take, the fuller the calls. It could harm where a call is stuck and
    /// its replica shows no worse than the others.
    pub(super) fn gather(&self, class: usize) -> f64 {
        let part = self.light[class];
        if self.set.batch > 1 && part > 0.0 {
            (self.set.call_cost_ms / part).clamp(0.0, GATHER_MOST)
        } else {
            0.0
        }
    }

    /// A part that may not be sent again is lost; a spare one takes its place.
    fn give_up_part(&mut self, id: RequestId, part: RequestId) {
        self.parts.entry(part).and_modify(|part| part.state = PartState::Dead);
        if let Some(part) = self.spare(id).and_then(|p| self.parts.get_mut(&p)) {
            part.state = PartState::Waiting;
        }
    }

    pub(super) fn spare(&self, id: RequestId) -> Option<RequestId> {
        let spare = |p: &&RequestId| self.parts.get(p).is_some_and(|part| part.state == PartState::Spare);
        self.queries.get(&id)?.parts.iter().find(spare).copied()
    }

    pub(super) fn send(&mut self, now: Millis, id: RequestId, sid: ServerId, actions: &mut Vec<Action>) {
        let (Some(part), Some(server)) = (self.parts.get_mut(&id), self.servers.get_mut(&sid)) else {
            return;
        };
        let Some(query) = self.queries.get(&part.query) else { return };
        if part.out > 0 && !self.set.parallel {
            return;
        }
        let class = &self.set.classes[query.class];
        let (call, members) = server.room(self.set.batch).unwrap_or((self.last_call + 1, 0));
        self.last_call = self.last_call.max(call);
        server.open = Some((call, members + 1));
        let attempt = part.tried.len() as u32;
        let mut idle = server.outs.is_empty() && self.idle.long(now, &server.connections);
        if idle && self.idle.close(now) {
            idle = false;
            actions.push(Action::Release { server: sid });
        }
        server.connections.used(now);
        server.outs.push(Out { part: id, attempt, sent: now, call, class: query.class, idle });
        let old = now - self.set.warm_up_ms.max(self.set.overload_window_ms);
        let old = server.cold_sends.partition_point(|&(at, _)| at <= old);
        server.cold_sends.drain(..old);
        server.cold_sends.push_back((now, query.class));
        if attempt > 0 {
            self.extras.push_back(now);
        }
        // Patience ends when the part is of no more use: some servers drop expired work.
        let end = if class.late_value_share >= LATE_WORTH { query.deadline } else { query.aim };
        part.sent = if part.out > 0 { part.sent } else { now };
        part.last = now;
        part.tried.push(sid);
        part.out += 1;
        part.state = PartState::Out;
        actions.push(Action::Send { part: id, server: sid, timeout_ms: (end - now).max(1.0) });
        self.random = mix(self.random);
    }
}
