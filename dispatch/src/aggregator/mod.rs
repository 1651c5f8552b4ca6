//! The decisions; their interface (types, events, actions) is in `src/interface.rs`.
//!
//! The ordinary path is batch-filling: at the end of a turn each new query's parts are placed
//! together, one at a time, the part whose best replica shows the lowest count first, and every
//! placement raises that count before the next is looked at (`fill`, `rank`). Counts are of this
//! aggregator's own calls out; any outcome takes one off. Everything else is a departure for a
//! case that the paper's world does not have; each says where it acts, and when it could harm.

mod admission;
mod attempts;
mod health;
mod placement;
mod settle;

use std::collections::{BTreeMap, VecDeque};

use crate::asking::Asking;
use crate::holders::Holders;
use crate::idle::Idle;
use crate::interface::*;
use crate::numbers::{mix, unit};
use crate::quotas::Quotas;
use crate::settings::*;
use crate::tables::*;

/// Upkeep runs every so many turns while a query is open.
const TICK_TURNS: f64 = 2.0;
/// Weights may fall short of a share by rounding.
const ROUNDING: f64 = 5e-5;
/// An answer after the aim is waited for only where it earns this much.
const LATE_WORTH: f64 = 0.2;
/// Nothing is begun for a client that waits less than so many usual latencies, and less than the aim.
const HASTE: f64 = 2.0;

/// The decisions of one aggregator. See the crate's documentation for an example.
#[derive(Debug)]
pub struct Aggregator {
    set: Settings,
    seed: u64,
    /// When this process began, and whether it is about to end.
    began: Millis,
    leaving: bool,
    /// How many numbers aggregators have, whatever they count as now.
    numbers: u32,
    random: u64,
    servers: BTreeMap<ServerId, Server>,
    holders: Holders,
    queries: BTreeMap<RequestId, Query>,
    parts: BTreeMap<RequestId, Part>,
    /// By class: the usual latency of a part, a low one close to its work, and the worth for each part.
    typical: Vec<f64>,
    light: Vec<f64>,
    density: Vec<f64>,
    /// The shortest aim of any class: the scale of all that is remembered of servers.
    aim: Millis,
    quotas: Quotas,
    limit: Limit,
    taken: VecDeque<Millis>,
    extras: VecDeque<Millis>,
    last_call: u64,
    idle: Idle,
    /// The usual time between two samples of a server's pace.
    gap: Millis,
    timer_at: Option<Millis>,
    asking: Asking,
}

impl Aggregator {
    /// An aggregator that knows no server yet. Equal seeds and events give equal actions.
    pub fn new(seed: u64, settings: Settings, now: Millis) -> Self {
        let set = settings.sane();
        let aim = set.shortest_aim();
        let random = mix(mix(seed));
        Self {
            quotas: Quotas::new(&set, now),
            asking: Asking::new(&set, now, unit(random)),
            random,
            seed,
            began: now,
            leaving: false,
            numbers: set.aggregators,
            servers: BTreeMap::new(),
            holders: Holders::new(set.cells, set.reach),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            typical: vec![0.0; set.classes.len()],
            light: vec![0.0; set.classes.len()],
            density: vec![0.0; set.classes.len()],
            aim,
            limit: Limit { parts: f64::MAX, changed: now, cut_at: now, counted: now, ..Limit::default() },
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            last_call: 0,
            idle: Idle::new(&set, aim, now),
            gap: 0.0,
            timer_at: None,
            set,
        }
    }

    /// How many entries its tables hold, by name: what belongs to the gone has to be let go.
    pub fn sizes(&self) -> [(&'static str, usize); 7] {
        let of = |each: fn(&Server) -> usize| self.servers.values().map(each).sum();
        [
            ("servers", self.servers.len()),
            ("held by", self.holders.ready()),
            ("queries", self.queries.len()),
            ("parts", self.parts.len()),
            ("attempts", of(|server| server.outs.len())),
            ("sends to servers", of(|server| server.cold_sends.len())),
            ("taken and sent again", self.taken.len() + self.extras.len()),
        ]
    }

    /// Takes one event. Sends wait for [`Aggregator::end_turn`], so that a turn is placed together.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => self.list(now, kind, entries),
            Event::Query { id, number, class, tenant, deadline, parts, repeated: _ } => {
                self.taken.push_back(now);
                let over_quota = !self.quotas.within(&self.set, now, tenant);
                let Some(rules) = self.set.classes.get(class) else {
                    actions.push(Action::Fail { query: id });
                    return;
                };
                let query = Query {
                    number,
                    class,
                    aim: (now + rules.latency_target_ms).min(deadline).max(now),
                    deadline: deadline.min(now + rules.deadline_ms.max(0.0)),
                    expected: parts as usize,
                    arrived: now,
                    over_quota,
                    ..Query::default()
                };
                self.queries.insert(id, query);
            }
            Event::Part { id, number, shard, weight, cost_ms } => {
                self.taken.push_back(now);
                let of = |query: &(&RequestId, &mut Query)| query.1.number == number;
                let Some((&query, open)) = self.queries.iter_mut().find(of) else { return };
                open.parts.push(id);
                if !open.second_step {
                    let stretch =
                        self.set.classes[open.class].latency_target_stretch * cost_ms.unwrap_or(0.0);
                    open.aim = (open.aim + stretch.max(0.0)).min(open.deadline.max(open.aim));
                }
                let weight = if weight > 0.0 { weight } else { 0.0 };
                let part = Part { query, shard, weight, sent: now, last: now, ..Part::default() };
                self.parts.insert(id, part);
            }
            Event::Outcome { part, attempt, server, wait_ms, outcome, report: _ } => {
                self.outcome(now, (part, attempt, server), wait_ms, outcome);
            }
            Event::ProbeResult { .. } => {}
            Event::Timer { .. } => self.timer_at = None,
            Event::Aggregators { count } => self.set.aggregators = count.max(1),
            Event::Leaving => self.leaving = true,
            Event::ClientGone { query } => self.forget(query),
            Event::Holders { shard, servers } => self.holders.tell(shard, servers),
            Event::SuccessorParts { part, successors } => self.inherit(part, successors),
        }
    }

    /// Puts other parts in the place of one whose shard is no more. What was tried for it counts for each.
    fn inherit(&mut self, id: RequestId, heirs: Vec<SuccessorPart>) {
        let Some(old) = self.parts.get(&id).filter(|part| part.out == 0) else { return };
        let Some(query) = self.queries.get_mut(&old.query) else { return };
        query.expected = (query.expected + heirs.len()).saturating_sub(1);
        query.parts.retain(|part| *part != id);
        query.parts.extend(heirs.iter().map(|heir| heir.id));
        let Some(old) = self.parts.remove(&id) else { return };
        for SuccessorPart { id, shard, weight } in heirs {
            let tried = old.tried.clone();
            self.parts.insert(id, Part { shard, weight, tried, ..old });
        }
    }

    /// Ends a turn: answers, gives up, places what arrived and what must go again.
    pub fn end_turn(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.servers.values_mut().for_each(|server| server.open = None);
        if self.asking.due(now) {
            actions.push(Action::Subscribe);
        }
        self.forget_window(now);
        let open: Vec<RequestId> = self.queries.keys().copied().collect();
        open.iter().for_each(|&id| self.settle(now, id, actions));
        open.iter().for_each(|&id| self.admit(now, id, actions));
        // Twice where parts share calls: what is held back joins a call that a later query opens.
        for _ in 0..self.set.batch.min(2) {
            open.iter().for_each(|&id| self.fill(now, id, actions));
        }
        self.copies(now, actions);
        let tick = (!self.queries.is_empty()).then_some(now + self.set.turn_ms * TICK_TURNS);
        let next = [tick, self.asking.at()].into_iter().flatten().fold(f64::INFINITY, f64::min);
        if next.is_finite() && self.timer_at.is_none_or(|at| at > next || at < now) {
            self.timer_at = Some(next);
            actions.push(Action::Timer { wait_ms: (next - now).max(self.set.turn_ms), token: 0 });
        }
    }

    fn forget(&mut self, id: RequestId) {
        let Some(query) = self.queries.remove(&id) else { return };
        query.parts.iter().for_each(|part| drop(self.parts.remove(part)));
    }
}
