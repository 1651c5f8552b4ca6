//! The decisions; their interface (types, events, actions, settings) is in `src/interface.rs`.
//!
//! The ordinary path is batch-filling: at the end of a turn each new query's parts are placed
//! together, one at a time, the part whose best replica shows the lowest count first, and every
//! placement raises that count before the next is looked at (`fill`, `rank`). Counts are of this
//! aggregator's own calls out; any outcome takes one off. Everything else is a departure for a
//! case that the paper's world does not have; each says where it acts, and when it could harm.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use crate::asking::Asking;
use crate::holders::Holders;
use crate::idle::{Connections, Idle};
use crate::interface::*;
use crate::numbers::{drop_until, mix, unit};
use crate::quotas::Quotas;
use crate::turns::turn;

/// Upkeep runs every so many turns while a query is open; final answers go out so many turns early.
const TICK_TURNS: f64 = 2.0;
const MARGIN_TURNS: f64 = 3.0;
/// The shortest aim where the settings state none.
const AIM_MS: Millis = 1000.0;
/// Weights may fall short of a share by rounding.
const ROUNDING: f64 = 5e-5;
/// How fast the usual latency of a class, and a server's own pace against it, follow new samples.
const TYPICAL_GAIN: f64 = 0.04;
const PACE_GAIN: f64 = 0.25;
/// A pace with no new sample returns to the usual with a time constant of so many times the shortest aim, so
/// it is tried again; where a server is seldom sampled, of so many times the usual time between samples.
const PACE_MEMORY_AIMS: f64 = 5.0;
const PACE_MEMORY_GAPS: f64 = 2.0;
const GAP_GAIN: f64 = 0.01;
/// A late part goes only to a server of whose last sample so much is remembered.
const KNOWN: f64 = 0.5;
/// A silence of so many usual latencies counts as a pace of 1.
const SILENCE: f64 = 2.0;
/// From this pace on, a server's count is multiplied by its pace; the tie-break tells so many steps apart.
const SLOW: f64 = 1.75;
const PACE_STEPS: f64 = 2.0;
/// The first and longest time that a failing server is kept out, in shortest aims: in absolute terms, where
/// aims are short, one late part would keep a server out for as long as whole queries may last, and its
/// neighbours on the ring would drown in its load.
const HOLD_AIMS: f64 = 0.2;
const HOLD_MAX_AIMS: f64 = 3.0;
/// So many failures in a row, each after the hold of the one before, show that a process went down.
const DOWN_AFTER: u32 = 2;
/// From this recent share of errors on (more than two make), a server's count is raised by it, up to a most,
/// and so many times more; it fades with so many shortest aims.
const FLAKY: f64 = 0.25;
const FLAKY_MOST: f64 = 0.8;
const FLAKY_COUNTS: f64 = 2.0;
const FLAKY_GAIN: f64 = 0.12;
const FLAKY_MEMORY_AIMS: f64 = 10.0;
/// Among distrusted replicas, fewer failures in a row come first, up to so many.
const DISTRUST_LEVELS: u32 = 3;
/// A second copy goes out after so many usual latencies, at the latest after this share of the aim.
const COPY_AFTER: f64 = 2.5;
const COPY_LATEST: f64 = 0.5;
/// None goes out while more than this share of the limit is in use: in a jam all parts are late.
const COPY_LIMIT: f64 = 0.3;
/// The ration of second copies where the settings have none.
const OWN_RATION: Budget = Budget { free: 5.0, ratio: 0.5, window_ms: 2000.0 };
/// Extra attempts that second copies leave to parts whose only attempt failed.
const RESERVE: f64 = 3.0;
/// An answer after the aim is waited for only where it earns this much.
const LATE_WORTH: f64 = 0.2;
/// The least limit on parts out, for each server ready, over all aggregators; each has an equal share.
/// There is no limit until parts get late.
const LIMIT_LEAST: f64 = 3.0;
/// While the usual latency of a part is above the second share of the aim, in any class, queries that end
/// cut the limit, at most once in the time that a query takes; below the first they raise it.
const SHORT_SHARE: f64 = 0.25;
const LONG_SHARE: f64 = 0.3;
/// Where an answer in part may be given, a late part costs little, and the limit acts so much later.
const PARTIAL_LENIENCE: f64 = 3.0;
/// While few recent queries miss their aim, latency may be so much longer uncut. Where there are as many
/// aggregators as servers, each sees too little to go round slow ones, which end most queries of many parts
/// and leave the usual latency low: there the limit is cut while more than the second share miss.
const MISS_GAIN: f64 = 0.1;
const MISSES_MOST: f64 = 0.1;
const MISS_GAIN_SELDOM: f64 = 0.2;
const MISSES_BORNE: f64 = 0.05;
/// There, too, a limit learned from few queries must not outlast its jam: only those that miss cut it; while
/// latency is no sign, it grows so many times in each shortest aim, and past so much it is lifted.
const REGROWTH: f64 = 1.2;
const LIMIT_MOST: f64 = 100.0;
const FEW_MISSES_LENIENCE: f64 = 1.3;
const CUT: f64 = 0.8;
const RAISE: f64 = 0.1;
/// An aggregator with few queries makes up for them: so many raises for each aim passed, up to so many.
const RAISES_EACH_AIM: f64 = 5.0;
const RAISES_AT_ONCE: f64 = 7.0;
/// The share of the limit for the class of least worth a part, and of that for over-quota tenants.
const RANK_SHARE: f64 = 0.5;
const OVER_QUOTA_SHARE: f64 = 0.6;
/// Nothing is begun for a client that waits less than so many usual latencies, and less than the aim.
const HASTE: f64 = 2.0;
/// A query none of whose parts has a server on the list is given up after this share of its time.
const UNSENT_SHARE: f64 = 0.45;
/// A query trimmed of light parts keeps so many times the least weight that may be answered.
const TRIM_RESERVE: f64 = 1.15;
/// An all-or-nothing query whose slowest shard is expected to take this share of the aim is let in for sure,
/// at the second share never, and in between with a chance.
const JAM_FROM: f64 = 0.5;
const JAM_TO: f64 = 1.2;
/// Advice to refused clients is no shorter, in shortest aims.
const RETRY_LEAST_AIMS: f64 = 0.08;

/// One attempt that a server has not ended yet.
#[derive(Debug)]
struct Out {
    part: RequestId,
    attempt: u32,
    sent: Millis,
    call: u64,
    class: usize,
    /// Whether its connection had been idle for long.
    idle: bool,
}

/// Failures in a row, and until when they keep the server out; their recent share, and when it was learned.
#[derive(Clone, Debug, Default)]
struct Fault {
    count: u32,
    until: Millis,
    share: f64,
    learned: Millis,
}

impl Fault {
    fn learn(&mut self, now: Millis, failed: f64) {
        self.share += FLAKY_GAIN * (failed - self.share);
        self.learned = now;
    }
}

#[derive(Debug, Default)]
struct Server {
    zone: u32,
    cell: u32,
    status: Status,
    /// When it started, by the list or, if later, by its own behaviour.
    since: Millis,
    outs: Vec<Out>,
    /// The call opened this turn, and how many parts it carries.
    open: Option<(u64, u32)>,
    /// Failures by class; the last one is for what concerns the whole process.
    faults: Vec<Fault>,
    pace: f64,
    sampled: Millis,
    /// When it last served a part.
    served: Millis,
    /// Refused or lost connections since its last success.
    down: bool,
    cold_sends: VecDeque<Millis>,
    connections: Connections,
}

impl Server {
    /// Calls out: parts of one call lie next to each other.
    fn calls(&self) -> u32 {
        let mut last = None;
        self.outs.iter().filter(|out| last.replace(out.call) != Some(out.call)).count() as u32
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum PartState {
    /// Not to be sent unless another fails.
    Spare,
    /// To be placed at the end of the turn.
    #[default]
    Waiting,
    Out,
    In,
    Dead,
}

#[derive(Debug, Default)]
struct Part {
    query: RequestId,
    shard: u32,
    weight: f64,
    state: PartState,
    /// Servers tried, in order.
    tried: Vec<ServerId>,
    out: u32,
    sent: Millis,
    /// When the latest attempt was sent.
    last: Millis,
    /// When the first attempt that may have run was sent.
    may_have_run: Option<Millis>,
    /// Its attempt has been withdrawn, and the outcome has not come yet.
    leaving: bool,
}

#[derive(Debug, Default)]
struct Query {
    number: u64,
    class: usize,
    aim: Millis,
    deadline: Millis,
    second_step: bool,
    first_whole: bool,
    expected: usize,
    parts: Vec<RequestId>,
    arrived: Millis,
    /// The share of the limit in use when it was admitted.
    used: f64,
    admitted: bool,
    over_quota: bool,
    /// It seems to bring down the servers that begin its parts.
    blamed: bool,
}

/// What is learned of how much may be let in; see `admit` and `learn_limit`.
#[derive(Debug, Default)]
struct Limit {
    /// How many parts may be out, for each server ready.
    parts: f64,
    changed: Millis,
    cut_at: Millis,
    /// Whether it has refused a query since it last changed.
    refused: bool,
    /// Parts let in that it has not worked off yet, and when that was last counted.
    backlog: f64,
    counted: Millis,
    /// The recent share of queries admitted that missed their aim.
    misses: f64,
}

/// The decisions of one aggregator. See the crate's documentation for an example.
#[derive(Debug)]
pub struct Aggregator {
    set: Settings,
    seed: u64,
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
        let mut set = settings;
        set.cells = set.cells.clamp(1, 1 << 16);
        set.batch = set.batch.max(1);
        set.aggregators = set.aggregators.max(1);
        set.max_attempts = set.max_attempts.max(1);
        set.turn_ms = if set.turn_ms.is_nan() { 1.0 } else { set.turn_ms.clamp(0.1, 1000.0) };
        for class in &mut set.classes {
            class.need = if class.need > 0.0 { class.need.min(1.0) } else { 1.0 };
            class.floor = if class.floor > 0.0 { class.floor.min(class.need) } else { class.need };
        }
        let aims = set.classes.iter().map(|class| class.aim_ms).filter(|aim| *aim > 0.0);
        let aim = aims.fold(f64::INFINITY, f64::min);
        let aim = if aim.is_finite() { aim } else { AIM_MS };
        let random = mix(mix(seed));
        Self {
            quotas: Quotas::new(&set, now),
            asking: Asking::new(&set, now, unit(random)),
            random,
            seed,
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
                    aim: (now + rules.aim_ms).min(deadline).max(now),
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
                    let stretch = self.set.classes[open.class].aim_stretch * cost_ms.unwrap_or(0.0);
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
            Event::ClientGone { query } => self.forget(query),
            Event::Holders { shard, servers } => self.holders.tell(shard, servers),
            Event::Heirs { part, heirs } => self.inherit(part, heirs),
        }
    }

    /// Puts other parts in the place of one whose shard is no more. What was tried for it counts for each.
    fn inherit(&mut self, id: RequestId, heirs: Vec<Heir>) {
        let Some(old) = self.parts.get(&id).filter(|part| part.out == 0) else { return };
        let Some(query) = self.queries.get_mut(&old.query) else { return };
        query.expected = (query.expected + heirs.len()).saturating_sub(1);
        query.parts.retain(|part| *part != id);
        query.parts.extend(heirs.iter().map(|heir| heir.id));
        let Some(old) = self.parts.remove(&id) else { return };
        for Heir { id, shard, weight } in heirs {
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
        open.iter().for_each(|&id| self.fill(now, id, actions));
        self.copies(now, actions);
        let tick = (!self.queries.is_empty()).then_some(now + self.set.turn_ms * TICK_TURNS);
        let next = [tick, self.asking.at()].into_iter().flatten().fold(f64::INFINITY, f64::min);
        if next.is_finite() && self.timer_at.is_none_or(|at| at > next || at < now) {
            self.timer_at = Some(next);
            actions.push(Action::Timer { wait_ms: (next - now).max(self.set.turn_ms), token: 0 });
        }
    }

    /// Follows the list. A server that is draining or gone gets nothing from this turn on, without
    /// using the grace. One listed with a new start begins anew: cold, and not suspected.
    fn list(&mut self, now: Millis, kind: ListKind, entries: Vec<Entry>) {
        if kind == ListKind::Failed {
            self.random = mix(self.random);
            self.asking.fail(now, self.set.aggregators, unit(self.random));
            return;
        }
        if kind != ListKind::Remembered {
            self.asking.told();
        }
        if kind != ListKind::Changes {
            self.servers.values_mut().for_each(|server| server.status = Status::Gone);
        }
        let faults = vec![Fault::default(); self.set.classes.len() + 1];
        for entry in entries {
            let server = self.servers.entry(entry.server).or_insert_with(|| Server {
                faults: faults.clone(),
                pace: 1.0,
                sampled: f64::NEG_INFINITY,
                served: f64::NEG_INFINITY,
                since: f64::NEG_INFINITY,
                ..Server::default()
            });
            server.status = entry.status;
            server.zone = entry.zone;
            server.cell = entry.cell % self.set.cells;
            let since = if entry.since > 0.0 { entry.since } else { f64::NEG_INFINITY };
            if since > server.since {
                server.since = since;
                server.faults.clone_from(&faults);
                server.pace = 1.0;
                server.down = false;
            }
        }
        // What is gone is let go: days are long, and whoever replaces a server has another id.
        self.servers.retain(|_, server| server.status != Status::Gone || !server.outs.is_empty());
        let ready = self.servers.iter().filter(|(_, server)| server.status == Status::Ready);
        self.holders.list(ready.map(|(&id, server)| (id, server.cell)));
    }

    /// Takes an attempt off its server's count and learns from how it ended.
    /// Suspicion goes by symptom. An answer with an error keeps the server out for its class, any
    /// other failure for all classes: for a short time that doubles with each failure in a row; then
    /// one call at a time is a trial, and until a success it loses ties. This covers servers that fail
    /// at once (and would look least loaded), fail one class, are full, dead, cut off, or fail by turns;
    /// what is withdrawn, too: a lost query still waited for it. It harms if a shared cause makes all
    /// replicas fail, or clients are impatient: all are equally suspect and counts decide.
    fn outcome(&mut self, now: Millis, of: (RequestId, u32, ServerId), wait: Millis, outcome: Outcome) {
        let (id, attempt, sid) = of;
        let mut class = None;
        if let Some(server) = self.servers.get_mut(&sid) {
            if let Some(at) = server.outs.iter().position(|out| out.part == id && out.attempt == attempt) {
                let out = server.outs.remove(at);
                class = Some(out.class);
                let late = wait > self.typical[out.class];
                self.idle.ended(now, &mut server.connections, out.idle, outcome, late);
            }
            let process = self.set.classes.len();
            let of = if outcome == Outcome::Failure { class.unwrap_or(process) } else { process };
            let served = outcome == Outcome::Success;
            // Guards against a herd: a server that answers, if too late, is slow and no worse. Kept out, it
            // stands idle while its load drowns the next replica, which is then late and kept out itself.
            let slow = matches!(outcome, Outcome::Withdrawn | Outcome::TimedOut);
            let answers = slow && server.served > now - wait;
            let usual = class.map_or(0.0, |class| self.typical[class]);
            if let (true, Some(class)) = (served, class) {
                server.served = now;
                if server.down {
                    // It was down and answers: a restart that the list has not told yet.
                    server.down = false;
                    server.since = server.since.max(now - wait);
                }
                let fault = &mut server.faults[class];
                fault.learn(now, 0.0);
                (fault.count, fault.until) = (0, 0.0);
                server.faults[process] = Fault::default();
                if usual == 0.0 {
                    self.typical[class] = wait;
                    self.light[class] = wait;
                }
                let light = &mut self.light[class];
                *light += if wait < *light { 0.1 } else { 0.01 } * (wait - *light);
            } else if !served && !answers && outcome != Outcome::Void {
                let fault = &mut server.faults[of];
                fault.learn(now, 1.0);
                // Failures within a hold are of sends before it, and say nothing new.
                if now >= fault.until {
                    fault.count = (fault.count + 1).min(8);
                    let hold = HOLD_AIMS * f64::from(1u32 << (fault.count - 1));
                    fault.until = now + hold.min(HOLD_MAX_AIMS) * self.aim;
                }
                // A single connection may break or fail to open while the process goes on; taken for a
                // restart, it would leave a warm server's load to the others for all its warm-up.
                let connection = matches!(outcome, Outcome::Unreachable | Outcome::Broken);
                server.down |= connection && fault.count >= DOWN_AFTER;
            }
            let ended = served || outcome == Outcome::TimedOut || outcome == Outcome::Withdrawn;
            if let (true, Some(class)) = (ended, class) {
                let typical = &mut self.typical[class];
                // What was cut short would have taken longer still.
                let pace = wait / typical.max(0.1);
                if served || (outcome == Outcome::Withdrawn && pace > server.pace) {
                    server.pace += PACE_GAIN * (pace.min(20.0) - server.pace);
                    let longest = 10.0 * PACE_MEMORY_AIMS * self.aim;
                    self.gap += GAP_GAIN * ((now - server.sampled).min(longest) - self.gap);
                    server.sampled = now;
                }
                let less = if served { 1.0 - TYPICAL_GAIN } else { 1.0 };
                *typical *= if wait > *typical { 1.0 + TYPICAL_GAIN } else { less };
            }
        }
        // Guards against keeping who is gone until the next list, which may be long in coming.
        if self.servers.get(&sid).is_some_and(|s| s.status == Status::Gone && s.outs.is_empty()) {
            self.servers.remove(&sid);
        }
        let Some(part) = self.parts.get_mut(&id) else { return };
        part.out = part.out.saturating_sub(1);
        part.leaving = false;
        // A part that takes a second server down with it is blamed itself: its query is not passed on to
        // the rest. Harms a query that meets two unrelated crashes; its client may come back.
        if outcome == Outcome::Broken && part.may_have_run.is_some() {
            self.queries.entry(part.query).and_modify(|query| query.blamed = true);
        }
        if outcome != Outcome::Success && !outcome.never_ran() && part.may_have_run.is_none() {
            part.may_have_run = Some(now - wait);
        }
        if outcome == Outcome::Success {
            part.state = PartState::In;
        } else if part.state == PartState::Out && part.out == 0 {
            part.state = PartState::Waiting;
        }
    }

    fn forget(&mut self, id: RequestId) {
        let Some(query) = self.queries.remove(&id) else { return };
        query.parts.iter().for_each(|part| drop(self.parts.remove(part)));
    }

    /// Decides whether a query ends now, and how.
    /// Whole as soon as it can be. Just before the aim, in part, if that may be and earns more than
    /// a late whole; past the aim, as soon as the floor is met. It is given up at once when it can no
    /// longer be answered, when the rest would come too late to earn, or just before its deadline.
    fn settle(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        let class = &self.set.classes[query.class];
        let margin = self.set.turn_ms * MARGIN_TURNS;
        let (mut inside, mut lost, mut pending, mut all_in) = (0.0, 0.0, 0, !query.parts.is_empty());
        for part in query.parts.iter().filter_map(|p| self.parts.get(p)) {
            all_in &= part.state == PartState::In;
            match part.state {
                PartState::In => inside += part.weight,
                PartState::Dead => lost += part.weight,
                PartState::Waiting | PartState::Out => pending += 1,
                PartState::Spare => {}
            }
        }
        all_in &= query.parts.len() >= query.expected;
        let need = if query.second_step { 1.0 } else { class.need };
        let whole = all_in || (!query.second_step && inside >= need - ROUNDING);
        let floor = if class.floor < class.need { class.floor } else { need };
        let in_part = class.floor < class.need && inside >= floor - ROUNDING && inside > 0.0;
        let due = now >= query.aim - margin && class.partial * inside / need >= class.late_share;
        let give_up = if class.late_share >= LATE_WORTH { query.deadline } else { query.aim } - margin;
        // Guards against holding what no server on the list may take: past half of its time a query of which
        // nothing has been sent is better refused, while its client has time to come back.
        let nowhere = |p: &RequestId| {
            self.parts
                .get(p)
                .is_none_or(|part| part.tried.is_empty() && self.holders.of(part.shard).next().is_none())
        };
        let stuck = now - query.arrived >= UNSENT_SHARE * (query.deadline - query.arrived)
            && !query.parts.is_empty()
            && query.parts.iter().all(nowhere);
        let hopeless = query.blamed || stuck || 1.0 - lost < floor - ROUNDING;
        if whole || (in_part && ((pending == 0) || due || now >= give_up || now > query.aim)) {
            let whole = whole && (!query.second_step || query.first_whole);
            actions.push(Action::Answer { query: id, whole });
            let follows = class.follow_up > 0 && !query.second_step;
            self.learn_limit(now, id, true);
            if follows {
                self.open_second_step(id, whole)
            } else {
                self.forget(id)
            }
        } else if hopeless || now >= give_up {
            let why = if stuck {
                Why::Unlisted
            } else if hopeless {
                Why::Lost
            } else {
                Why::Late
            };
            self.learn_limit(now, id, false);
            self.end(id, why, actions);
        }
    }

    /// The first step's answer brings further parts in a later turn; its own are of no more use.
    fn open_second_step(&mut self, id: RequestId, whole: bool) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let first = std::mem::take(&mut query.parts);
        let inside = |p: &RequestId| self.parts.get(p).is_some_and(|part| part.state == PartState::In);
        query.expected = first.iter().filter(|p| inside(p)).count();
        query.expected = query.expected.min(self.set.classes[query.class].follow_up as usize);
        query.second_step = true;
        query.first_whole = whole;
        first.iter().for_each(|part| drop(self.parts.remove(part)));
    }

    /// Gives a query up, at once and with advice on when to return. A refusal says that a repeat
    /// does no harm, so it is not given where an unsafe part may have run.
    fn end(&mut self, id: RequestId, why: Why, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        actions.push(Action::Because { query: id, why });
        let unsafe_class = self.set.classes[query.class].repeat == Repeat::Unsafe;
        let ran = |p: &Part| p.out > 0 || p.may_have_run.is_some() || p.state == PartState::In;
        let may_have_run =
            query.second_step || query.parts.iter().any(|p| self.parts.get(p).is_some_and(ran));
        if unsafe_class && may_have_run {
            actions.push(Action::Fail { query: id });
        } else {
            // Room comes as parts end: in about the usual latency of one. Longer advice would use up the
            // aim of whoever follows it.
            let usual = self.typical[query.class];
            let most = self.set.max_retry_after_ms;
            let retry_after_ms =
                if usual > 0.0 { usual.clamp((RETRY_LEAST_AIMS * self.aim).min(most), most) } else { most };
            actions.push(Action::Refuse { query: id, retry_after_ms });
        }
        query.parts.iter().for_each(|&part| self.withdraw(part, actions));
        self.forget(id);
    }

    /// Stops waiting for a part: its attempts are of no more use, and some servers drop what waits.
    fn withdraw(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id).filter(|_| self.set.withdrawals) else { return };
        for (attempt, sid) in (0u32..).zip(&part.tried) {
            let out = |out: &Out| (out.part, out.attempt) == (id, attempt);
            if self.servers.get(sid).is_some_and(|server| server.outs.iter().any(out)) {
                actions.push(Action::Withdraw { part: id, attempt });
            }
        }
    }

    /// Takes a new query in, in full or without its lightest parts, or refuses it.
    /// The limit acts when the usual latency of this aggregator's own parts shows that queries are about
    /// to miss their aim, over-quota tenants first. It could harm where less work does not cure the
    /// latency; some is therefore always let through. Where many aggregators share the servers it may be
    /// less than one query: what was let in then counts until the limit, turned over once in the usual
    /// latency of a part, has worked it off. Without a limit, too, nothing is begun that a shard without
    /// a trusted replica would waste, that needs a jammed shard (with a chance, so that its end is seen; it
    /// could harm a query that would just make it), or whose client leaves before it can end.
    fn admit(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let long = |(class, typical): (&Class, &Millis)| *typical > LONG_SHARE * class.aim_ms;
        if self.seldom()
            && self.limit.parts < f64::MAX
            && !self.set.classes.iter().zip(&self.typical).any(long)
        {
            let grown = self.limit.parts * REGROWTH.powf((now - self.limit.counted) / self.aim);
            self.limit.parts = if grown > LIMIT_MOST { f64::MAX } else { grown };
        }
        let turnover = self.typical.iter().copied().fold(self.set.turn_ms, f64::max);
        let worked = self.limit.parts * self.ready() * (now - self.limit.counted) / turnover;
        (self.limit.backlog, self.limit.counted) = ((self.limit.backlog - worked).max(self.out()), now);
        let room = self.limit.parts * self.ready();
        let Some(query) = self.queries.get(&id).filter(|query| !query.admitted) else { return };
        let below = room < query.parts.len() as f64;
        let used = if below { self.limit.backlog } else { self.out() } / room;
        let class = &self.set.classes[query.class];
        // One failure in a row is enough once there has been a jam; before, a single error refuses nothing.
        let enough = u32::from(self.limit.parts == f64::MAX);
        let mut order: Vec<(Place, f64, RequestId, f64)> = Vec::new();
        let mut shut = 0.0;
        for &p in &query.parts {
            let Some(part) = self.parts.get(&p) else { continue };
            let best = self.best(now, part, query.class);
            shut += if best.is_some_and(|(rank, _)| rank.distrust > enough) { part.weight } else { 0.0 };
            // Where any parts will do, those whose shards are least loaded go first.
            let key =
                |r: Rank| if class.need < 1.0 { (r.distrust, r.count, r.pace) } else { Place::default() };
            let pace = best.and_then(|(_, sid)| self.servers.get(&sid)).map_or(1.0, |s| self.pace(now, s));
            order.push((best.map_or((u32::MAX, 0, 0), |(rank, _)| key(rank)), part.weight, p, pace));
        }
        order.sort_by(|a, b| (a.0, -a.1).partial_cmp(&(b.0, -b.1)).unwrap_or(std::cmp::Ordering::Equal));
        // How many parts, heaviest first, earn most beyond their price; and the least that may be answered.
        let all = order.len() as f64;
        let price = used.max(all / room) / all.max(1.0);
        let least = if class.floor < class.need { class.floor * TRIM_RESERVE } else { 1.0 };
        let (mut sum, mut sent, mut most, mut density) = (0.0, 0, f64::NEG_INFINITY, 0.0);
        for (n, (_, weight, _, _)) in order.iter().enumerate() {
            sum += weight;
            let whole = n + 1 == order.len() || sum >= class.need - ROUNDING;
            if !whole && sum < least {
                continue;
            }
            let earns = if whole { 1.0 } else { class.partial * sum / class.need };
            let parts = (n + 1) as f64;
            if density == 0.0 {
                density = class.worth * earns / (parts + f64::from(class.follow_up) / 2.0);
            }
            if earns - price * parts > most {
                (sent, most) = (n + 1, earns - price * parts);
            }
        }
        let worst = order[..sent].iter().fold(0.0, |a: f64, o| a.max(o.3));
        let share = worst * self.typical[query.class] / class.aim_ms.max(1.0);
        let chance = (JAM_TO - share) / (JAM_TO - JAM_FROM);
        let jammed = class.floor >= class.need && unit(mix(self.random ^ id)) > chance;
        self.density[query.class] = density;
        let best = self.density.iter().copied().fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let rank = RANK_SHARE + (1.0 - RANK_SHARE) * self.density[query.class] / best;
        let limit = if query.over_quota { OVER_QUOTA_SHARE * rank } else { rank };
        let shut = 1.0 - shut < class.floor - ROUNDING;
        let waits = (HASTE * self.typical[query.class]).min(class.aim_ms);
        let hasty = query.deadline - now < waits && self.out() > 0.0;
        let over = used > limit;
        let turned = [(over, Why::Limit), (shut, Why::Shut), (jammed, Why::Jammed), (hasty, Why::Hasty)];
        let turned = turned.into_iter().find(|(turned, _)| *turned).map(|(_, why)| why);
        if let Some(why) = turned.or(query.parts.is_empty().then_some(Why::Lost)) {
            self.limit.refused |= over;
            self.end(id, why, actions);
            return;
        }
        self.limit.backlog += sent as f64;
        self.queries.entry(id).and_modify(|query| (query.admitted, query.used) = (true, used));
        for (_, _, part, _) in order.drain(sent..) {
            self.parts.entry(part).and_modify(|part| part.state = PartState::Spare);
        }
    }

    fn ready(&self) -> f64 {
        self.holders.ready().max(1) as f64
    }

    /// Whether each aggregator sees too little of the servers to go by its own samples alone.
    fn seldom(&self) -> bool {
        f64::from(self.set.aggregators) >= self.ready()
    }

    fn out(&self) -> f64 {
        self.servers.values().map(|s| s.outs.len()).sum::<usize>() as f64
    }

    /// Learns from a query's end how many parts may be out; see the constants.
    fn learn_limit(&mut self, now: Millis, id: RequestId, served: bool) {
        let Some(query) = self.queries.get(&id).filter(|query| query.admitted) else { return };
        let class = &self.set.classes[query.class];
        let lenience = if class.floor < class.need { PARTIAL_LENIENCE } else { 1.0 };
        let share = self.typical[query.class] / (class.aim_ms.max(1.0) * lenience);
        let (seldom, missed) = (self.seldom(), !served || now > query.aim);
        let gain = if seldom { MISS_GAIN_SELDOM } else { MISS_GAIN };
        self.limit.misses += gain * (f64::from(missed) - self.limit.misses);
        let lenience = if self.limit.misses <= MISSES_BORNE { FEW_MISSES_LENIENCE } else { 1.0 };
        let pressed = query.used > 0.5 || self.limit.refused;
        let missing = seldom && self.limit.misses > MISSES_MOST;
        let over = (missing && missed) || share > LONG_SHARE * lenience;
        if share < SHORT_SHARE && pressed && served && !missing {
            let quiet = RAISES_EACH_AIM * (now - self.limit.changed) / class.aim_ms.max(1.0);
            self.limit.parts *= (1.0 + RAISE).powf(quiet.clamp(1.0, RAISES_AT_ONCE));
        } else if over && query.arrived >= self.limit.cut_at {
            let level = self.out().max(query.parts.len() as f64) / self.ready();
            let least = LIMIT_LEAST / f64::from(self.set.aggregators);
            self.limit.parts = (self.limit.parts.min(level) * CUT).max(least);
            self.limit.cut_at = now;
        } else {
            return;
        }
        (self.limit.changed, self.limit.refused) = (now, false);
    }

    fn forget_window(&mut self, now: Millis) {
        let window = self.set.budget.unwrap_or(OWN_RATION).window_ms;
        drop_until(&mut self.taken, now - window + self.set.turn_ms);
        drop_until(&mut self.extras, now - window - self.set.turn_ms);
    }

    /// Whether the ration allows a further attempt and leaves `reserve` for others.
    fn may_spend(&self, budget: Option<Budget>, reserve: f64) -> bool {
        budget.is_none_or(|budget| {
            let allowed = budget.free + budget.ratio * self.taken.len() as f64;
            self.extras.len() as f64 + 1.0 + reserve <= allowed
        })
    }

    /// Whether a part may be sent once more. Keyed parts only while the servers surely remember the
    /// first attempt, unsafe ones only when every attempt is proved never to have run.
    fn may_repeat(&self, now: Millis, part: &Part, class: &Class) -> bool {
        if part.tried.is_empty() {
            return true;
        }
        let first = if part.out > 0 { Some(part.sent) } else { None };
        let first = part.may_have_run.into_iter().chain(first).fold(f64::INFINITY, f64::min);
        part.tried.len() < self.set.max_attempts as usize
            && match class.repeat {
                Repeat::Safe => true,
                Repeat::Keyed => now < first + class.memory_ms - self.set.turn_ms,
                Repeat::Unsafe => part.out == 0 && part.may_have_run.is_none(),
            }
    }

    /// The share of its full capacity that a server surely has by now.
    fn capacity(&self, now: Millis, server: &Server) -> f64 {
        let age = (now - server.since).max(0.0);
        let from = self.set.cold_from.clamp(0.01, 1.0);
        (from + (1.0 - from) * age / self.set.cold_ms.max(1.0)).min(1.0)
    }

    /// Whether a cold server may take one more part of a class: this aggregator's equal share of what
    /// all may send it in a window, taking the server to have one processor and a part's work to be
    /// a low latency of its class.
    fn cold_room(&self, now: Millis, server: &Server, class: usize) -> bool {
        let capacity = self.capacity(now, server);
        if capacity >= 1.0 {
            return true;
        }
        let work = if self.light[class] > 0.0 { self.light[class] } else { self.set.fall_ms };
        let room = self.set.overload_factor * capacity * self.set.fall_ms;
        let allowed = room / (work * f64::from(self.set.aggregators));
        // A share of less than one part is one part in a longer window, the first when its turn comes.
        let window = self.set.fall_ms / allowed.min(1.0);
        let spread = unit(mix(self.seed ^ u64::from(server.cell)));
        if allowed < 1.0 && now < server.since + turn(&self.set, server.cell, spread) * window {
            return false;
        }
        // What was sent before its start never reached this process.
        let from = (now - window - self.set.turn_ms).max(server.since);
        (server.cold_sends.iter().filter(|&&at| at >= from).count() as f64) < allowed.max(1.0).floor()
    }

    fn kept(&self, now: Millis, server: &Server) -> f64 {
        (-(now - server.sampled) / (PACE_MEMORY_GAPS * self.gap).max(PACE_MEMORY_AIMS * self.aim)).exp()
    }

    /// How a server's latency compares with the usual. Silence counts: a server whose oldest part has
    /// been out for long is slow whatever it did before. This guards against stalls, slow machines,
    /// neighbours and lost ones alike, and against a fresh stall that shows in no count yet.
    fn pace(&self, now: Millis, server: &Server) -> f64 {
        let pace = 1.0 + (server.pace - 1.0) * self.kept(now, server);
        let silence = |out: &Out| (now - out.sent) / (SILENCE * self.typical[out.class]).max(1.0);
        server.outs.first().filter(|o| self.typical[o.class] > 0.0).map_or(pace, |out| pace.max(silence(out)))
    }

    /// How good a place a server is for a part; the least is chosen.
    /// First trust, then the count after the placement, by call. The count of a slow or a cold server
    /// is scaled by how much longer work takes there, which acts only from `SLOW` on. Ties go to fewer
    /// failures since a success, the better pace, the own zone, and a rotation by seed.
    fn rank(&self, now: Millis, sid: ServerId, class: usize) -> Option<Rank> {
        let server = self.servers.get(&sid)?;
        if !self.cold_room(now, server, class) {
            return None;
        }
        let joins = server.open.is_some_and(|(_, members)| members < self.set.batch);
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
            pace: (pace * PACE_STEPS).round().max(PACE_STEPS) as u32,
            far: server.zone != self.set.zone,
            turn: mix(self.random ^ u64::from(sid)),
        })
    }

    fn best(&self, now: Millis, part: &Part, class: usize) -> Option<(Rank, ServerId)> {
        self.holders
            .of(part.shard)
            .filter(|sid| part.out == 0 || !part.tried.contains(sid))
            .filter_map(|sid| Some((self.rank(now, sid, class)?, sid)))
            .min_by_key(|&(rank, sid)| (part.tried.contains(&sid), rank, sid))
    }

    /// Batch-filling: places a query's waiting parts together, the lowest count first. One that failed waits
    /// while all its replicas are kept out and there is time, and keeps its attempts.
    fn fill(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        let (class, aim) = (query.class, query.aim);
        let mut heap = BinaryHeap::new();
        for (order, p) in query.parts.clone().into_iter().enumerate() {
            let Some(part) = self.parts.get(&p).filter(|part| part.state == PartState::Waiting) else {
                continue;
            };
            if self.may_repeat(now, part, &self.set.classes[class]) {
                heap.push(Reverse(((0, 0), order, p)));
            } else {
                self.give_up_part(id, p);
                self.settle(now, id, actions);
            }
        }
        while let Some(Reverse((key, order, p))) = heap.pop() {
            let Some(part) = self.parts.get(&p) else { continue };
            let Some((rank, sid)) = self.best(now, part, class) else { continue };
            // Counts only rise within a turn, so a part is looked at again until its key holds.
            if (rank.distrust, rank.count) > key {
                heap.push(Reverse(((rank.distrust, rank.count), order, p)));
                continue;
            }
            let shut = rank.distrust > 0 && now + HASTE * self.typical[class] <= aim;
            if !part.tried.is_empty() && (shut || !self.may_spend(self.set.budget, 0.0)) {
                continue;
            }
            self.send(now, p, sid, actions);
        }
    }

    /// A part that may not be sent again is lost; a spare one takes its place.
    fn give_up_part(&mut self, id: RequestId, part: RequestId) {
        self.parts.entry(part).and_modify(|part| part.state = PartState::Dead);
        if let Some(part) = self.spare(id).and_then(|p| self.parts.get_mut(&p)) {
            part.state = PartState::Waiting;
        }
    }

    fn spare(&self, id: RequestId) -> Option<RequestId> {
        let spare = |p: &&RequestId| self.parts.get(p).is_some_and(|part| part.state == PartState::Spare);
        self.queries.get(&id)?.parts.iter().find(spare).copied()
    }

    fn send(&mut self, now: Millis, id: RequestId, sid: ServerId, actions: &mut Vec<Action>) {
        let (Some(part), Some(server)) = (self.parts.get_mut(&id), self.servers.get_mut(&sid)) else {
            return;
        };
        let Some(query) = self.queries.get(&part.query) else { return };
        if part.out > 0 && !self.set.parallel {
            return;
        }
        let class = &self.set.classes[query.class];
        let joined = server.open.filter(|&(_, members)| members < self.set.batch);
        let (call, members) = joined.unwrap_or((self.last_call + 1, 0));
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
        drop_until(&mut server.cold_sends, now - self.set.cold_ms.max(self.set.fall_ms));
        server.cold_sends.push_back(now);
        if attempt > 0 {
            self.extras.push_back(now);
        }
        // Patience ends when the part is of no more use: some servers drop expired work.
        let end = if class.late_share >= LATE_WORTH { query.deadline } else { query.aim };
        part.sent = if part.out > 0 { part.sent } else { now };
        part.last = now;
        part.tried.push(sid);
        part.out += 1;
        part.state = PartState::Out;
        actions.push(Action::Send { part: id, server: sid, patience_ms: (end - now).max(1.0) });
        self.random = mix(self.random);
    }

    /// Sends further copies of parts that are late, first ones and the queries with fewest missing first;
    /// where a part may have one attempt at a time, it is withdrawn at half the aim, and moves.
    /// Guards against whatever keeps a part from coming back: a stall, a slow or dead server, a lost
    /// answer. It acts inside the ration, where the other replica is trusted, known to be of half the pace
    /// and of no higher count. It would harm in a jam or a hot shard, and stops there (`COPY_LIMIT`).
    fn copies(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.out() > COPY_LIMIT * self.limit.parts * self.ready() {
            return;
        }
        let mut late = Vec::new();
        for (&id, query) in &self.queries {
            let class = &self.set.classes[query.class];
            let typical = self.typical[query.class];
            let in_time = now + self.light[query.class] <= query.aim;
            // Where any parts will do, another takes the place of a late one.
            let spares = class.need < 1.0 && !query.second_step && self.spare(id).is_some();
            let repeats = class.repeat != Repeat::Unsafe && (self.set.parallel || self.set.withdrawals);
            if !in_time || !(spares || repeats) {
                continue;
            }
            let latest = COPY_LATEST * class.aim_ms;
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
            let known = self.servers.get(&sid).is_some_and(|s| self.kept(now, s) > KNOWN);
            let worse = |held: Rank| rank.count > held.count || rank.pace * 2 > held.pace;
            if rank.distrust > 0 || held.is_some_and(worse) || !known {
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
}

/// How loaded a shard is: distrust, count and pace of its best replica.
type Place = (u32, u32, u32);

/// The order of preference among a part's replicas; see `rank`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    distrust: u32,
    count: u32,
    doubt: u32,
    pace: u32,
    far: bool,
    turn: u64,
}
