//! A small world in virtual time: many aggregators side by side, stores of one processor that work off what they are
//! sent in order, and clients that come by chance. It knows which aggregators were told what, and notes each send and
//! each query's end.

use std::collections::{HashMap, VecDeque};

use gingerledge_dispatch::{
    Action, Aggregator, Event, ListKind, Millis, Outcome, RequestId, ServerEntry, ServerStatus, Settings,
};

pub const STEP_MS: Millis = 5.0;
/// There and back.
const ROUND_TRIP_MS: Millis = 2.0;
/// A store holds so many calls, and turns away what comes then.
const QUEUE: usize = 200;

/// Numbers that look random (SplitMix64).
pub struct RandomSource(pub u64);

impl RandomSource {
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, most: usize) -> usize {
        (self.unit() * most as f64) as usize
    }
}

struct Call {
    process: usize,
    part: RequestId,
    attempt: u32,
    sent: Millis,
    until: Millis,
    work: Millis,
    given_up: bool,
}

#[derive(Default)]
pub struct Store {
    pub up: bool,
    /// When it started cold, if it did.
    pub since: Option<Millis>,
    calls: VecDeque<Call>,
    begun: Option<Millis>,
    free_at: Millis,
}

pub struct AggregatorProcess {
    pub aggregator: Aggregator,
    number: u32,
    timer: Option<Millis>,
    events: Vec<Event>,
    /// Whether it was told of the last start.
    pub knows_restart: bool,
    pub dead: bool,
}

/// One send.
pub struct Sent {
    pub at: Millis,
    pub server: usize,
    pub class: usize,
    pub work: Millis,
    pub knows_restart: bool,
}

/// One query, and whether it was answered before its latency target (none: no end yet).
pub struct QueryRecord {
    pub at: Millis,
    pub class: usize,
    pub tenant: Option<usize>,
    pub served: Option<bool>,
}

pub struct FleetSimulation {
    pub now: Millis,
    pub set: Settings,
    /// Work of a part, by class.
    pub work_by_class: Vec<Millis>,
    pub stores: Vec<Store>,
    pub processes: Vec<AggregatorProcess>,
    pub sent: Vec<Sent>,
    pub queries: Vec<QueryRecord>,
    pub random: RandomSource,
    /// By so much of it a part's work is more or less than its class's, by chance.
    pub work_spread: f64,
    /// Parts rejected as the queue was full.
    pub rejected_parts: usize,
    attempts: HashMap<RequestId, u32>,
}

impl FleetSimulation {
    pub fn new(seed: u64, set: Settings, work_by_class: &[Millis], stores: usize) -> Self {
        let mut fleet_simulation = Self {
            now: 0.0,
            work_by_class: work_by_class.to_vec(),
            stores: (0..stores).map(|_| Store { up: true, ..Store::default() }).collect(),
            processes: Vec::new(),
            sent: Vec::new(),
            queries: Vec::new(),
            random: RandomSource(seed),
            work_spread: 0.0,
            rejected_parts: 0,
            attempts: HashMap::new(),
            set,
        };
        for number in 0..fleet_simulation.set.aggregators {
            let process = fleet_simulation.process(number);
            fleet_simulation.processes.push(process);
        }
        fleet_simulation
    }

    /// An aggregator that was told all there is to know.
    fn process(&mut self, number: u32) -> AggregatorProcess {
        let mut set = self.set.clone();
        set.index = set.index.map(|_| number);
        let seed = (self.random.unit() * 1e15) as u64;
        let aggregator = Aggregator::new(seed, set, self.now);
        let entries = (0..self.stores.len()).map(|server| self.entry(server)).collect();
        let events = vec![Event::ServerList { kind: ListKind::Complete, entries }];
        let knows_restart = self.stores.iter().any(|store| store.since.is_some());
        AggregatorProcess { aggregator, number, timer: None, events, knows_restart, dead: false }
    }

    fn entry(&self, server: usize) -> ServerEntry {
        let (id, started_at) = (server as u32, self.stores[server].since.unwrap_or(0.0));
        ServerEntry {
            server: id,
            cell: id,
            status: ServerStatus::Ready,
            started_at,
            ..ServerEntry::default()
        }
    }

    /// A new process of a broker; the old one goes on beside it. What discovery has told the broker, it knows at once.
    pub fn start_process(&mut self, process: usize) -> usize {
        let start_process = self.process(self.processes[process].number);
        self.processes.push(start_process);
        self.processes.len() - 1
    }

    /// A process ends; what it had taken is lost, and what it has sent is worked on all the same.
    pub fn kill_process(&mut self, process: usize) {
        self.processes[process].dead = true;
        let calls = self.stores.iter_mut().flat_map(|store| &mut store.calls);
        calls.filter(|call| call.process == process).for_each(|call| call.given_up = true);
    }

    pub fn announce(&mut self, process: usize, server: usize) {
        let entries = vec![self.entry(server)];
        self.processes[process].events.push(Event::ServerList { kind: ListKind::Changes, entries });
        self.processes[process].knows_restart = true;
    }

    /// A store's process ends; what it had taken is lost.
    pub fn stop(&mut self, server: usize) {
        self.stores[server].up = false;
        self.stores[server].begun = None;
        for call in std::mem::take(&mut self.stores[server].calls) {
            self.end(server, &call, Outcome::Broken);
        }
    }

    /// It starts again, cold, and nobody has been told yet.
    pub fn start(&mut self, server: usize) {
        let store = &mut self.stores[server];
        (store.up, store.since, store.free_at) = (true, Some(self.now), self.now);
        self.processes.iter_mut().for_each(|process| process.knows_restart = false);
    }

    /// The share of its capacity that a store has.
    pub fn capacity(&self, server: usize, at: Millis) -> f64 {
        let Some(since) = self.stores[server].since else { return 1.0 };
        let from = self.set.warm_up_start_capacity;
        (from + (1.0 - from) * (at - since).max(0.0) / self.set.warm_up_ms).min(1.0)
    }

    pub fn send_query(&mut self, process: usize, class: usize, tenant: Option<usize>, shards: &[u32]) {
        let id = self.queries.len() as u64;
        self.queries.push(QueryRecord { at: self.now, class, tenant, served: None });
        let deadline = self.now + self.set.classes[class].deadline_ms;
        let parts = shards.len() as u32;
        let events = &mut self.processes[process].events;
        events.push(Event::Query { id, number: id, class, tenant, deadline, parts, repeated: false });
        for (n, &shard) in shards.iter().enumerate() {
            let (id, weight) = ((id << 8) + n as u64, 1.0 / shards.len() as f64);
            events.push(Event::Part { id, number: id >> 8, shard, weight, cost_ms: None });
        }
    }

    /// Something that a process is told by its host.
    pub fn send_event(&mut self, process: usize, event: Event) {
        self.processes[process].events.push(event);
    }

    fn end(&mut self, server: usize, call: &Call, outcome: Outcome) {
        let Call { part, attempt, sent, given_up, .. } = *call;
        if !given_up {
            let (server, elapsed_ms, report) = (server as u32, self.now - sent + ROUND_TRIP_MS, Vec::new());
            let event = Event::AttemptEnded { part, attempt, server, elapsed_ms, outcome, report };
            self.processes[call.process].events.push(event);
        }
    }

    /// One step: stores work, patience ends, and whoever heard something or waits for its timer has a turn.
    pub fn step(&mut self) {
        for server in 0..self.stores.len() {
            self.work(server);
        }
        for number in 0..self.processes.len() {
            let process = &mut self.processes[number];
            if process.dead {
                continue;
            }
            let due = process.timer.take_if(|at| *at <= self.now).is_some();
            if !due && process.events.is_empty() {
                continue;
            }
            let mut actions = Vec::new();
            if due {
                process.aggregator.handle(self.now, Event::Timer { token: 0 }, &mut actions);
            }
            for event in std::mem::take(&mut process.events) {
                process.aggregator.handle(self.now, event, &mut actions);
            }
            process.aggregator.end_turn(self.now, &mut actions);
            actions.into_iter().for_each(|action| self.act(number, action));
        }
        self.now += STEP_MS;
    }

    fn work(&mut self, server: usize) {
        loop {
            let capacity = self.capacity(server, self.now);
            let store = &mut self.stores[server];
            let Some(call) = store.calls.front() else { break };
            let free_at = store.free_at.max(call.sent);
            let done = *store.begun.get_or_insert(free_at + call.work / capacity);
            if done > self.now {
                break;
            }
            (store.free_at, store.begun) = (done, None);
            if let Some(call) = store.calls.pop_front() {
                self.end(server, &call, Outcome::Success);
            }
        }
        let now = self.now;
        let late = |call: &&mut Call| !call.given_up && now >= call.until;
        let mut lost = Vec::new();
        for call in self.stores[server].calls.iter_mut().filter(late) {
            lost.push(Call { ..*call });
            call.given_up = true;
        }
        lost.iter().for_each(|call| self.end(server, call, Outcome::TimedOut));
    }

    fn act(&mut self, process: usize, action: Action) {
        match action {
            Action::Send { part, server, timeout_ms } => {
                let attempt = *self.attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
                let (server, class) = (server as usize, self.queries[(part >> 8) as usize].class);
                let knows_restart = self.processes[process].knows_restart;
                let work_spread = if self.work_spread > 0.0 {
                    self.work_spread * (2.0 * self.random.unit() - 1.0)
                } else {
                    0.0
                };
                let work = self.work_by_class[class] * (1.0 + work_spread);
                self.sent.push(Sent { at: self.now, server, class, work, knows_restart });
                let (sent, until) = (self.now, self.now + timeout_ms);
                let call = Call { process, part, attempt, sent, until, work, given_up: false };
                if !self.stores[server].up {
                    self.end(server, &call, Outcome::Unreachable);
                } else if self.stores[server].calls.len() >= QUEUE {
                    self.rejected_parts += 1;
                    self.end(server, &call, Outcome::Overloaded);
                } else {
                    self.stores[server].calls.push_back(call);
                }
            }
            Action::Withdraw { part, attempt } => {
                let named = |call: &&mut Call| (call.part, call.attempt) == (part, attempt) && !call.given_up;
                let calls = self.stores.iter_mut().enumerate();
                let call =
                    calls.filter_map(|(s, store)| Some((s, store.calls.iter_mut().find(named)?))).next();
                if let Some((server, call)) = call {
                    let gone = Call { ..*call };
                    call.given_up = true;
                    self.end(server, &gone, Outcome::Withdrawn);
                }
            }
            Action::Answer { query, .. } => {
                let queries = &mut self.queries[query as usize];
                let aim = queries.at + self.set.classes[queries.class].latency_target_ms;
                queries.served = Some(queries.served.unwrap_or(true) && self.now <= aim);
            }
            Action::Reject { query, .. } | Action::Fail { query } => {
                self.queries[query as usize].served = Some(false);
            }
            Action::Timer { wait_ms, .. } => self.processes[process].timer = Some(self.now + wait_ms),
            _ => {}
        }
    }
}
