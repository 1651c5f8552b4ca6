//! A simulation of a fleet in virtual time: many aggregators, stores with one processor each that process
//! parts in the order of arrival, and queries that the test submits. It tracks which aggregators know of a
//! store's restart, and records each send and the end of each query.

use std::collections::{HashMap, VecDeque};

use gingerledge_dispatch::{
    Action, Aggregator, Event, ListKind, Millis, Outcome, RequestId, ServerEntry, ServerStatus, Settings,
};

pub const STEP_MS: Millis = 5.0;
/// Network round-trip time between an aggregator and a store.
const ROUND_TRIP_MS: Millis = 2.0;
/// Maximum number of calls in a store's queue. A store rejects further ones.
const QUEUE_CAPACITY: usize = 200;

/// A source of pseudorandom numbers (SplitMix64).
pub struct RandomSource(pub u64);

impl RandomSource {
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }
}

/// A call in a store's queue, with one part.
struct Call {
    process: usize,
    part: RequestId,
    attempt: u32,
    sent_at: Millis,
    timeout_at: Millis,
    work: Millis,
    /// Whether the aggregator no longer waits for the call. The store processes it all the same.
    is_abandoned: bool,
}

#[derive(Default)]
pub struct Store {
    pub is_up: bool,
    /// When the store was restarted, if it was. It warms up from then on.
    pub restarted_at: Option<Millis>,
    calls: VecDeque<Call>,
    /// When the first call of the queue completes, once the store has begun to process it.
    completes_at: Option<Millis>,
    /// When the processor completed the latest call.
    free_at: Millis,
}

pub struct AggregatorProcess {
    pub aggregator: Aggregator,
    index: u32,
    timer_at: Option<Millis>,
    /// Events for the next turn.
    events: Vec<Event>,
    /// Whether the process knows of the latest restart of a store.
    pub knows_restart: bool,
    pub is_dead: bool,
}

/// A part that was sent to a store.
pub struct SentPart {
    pub at: Millis,
    pub server: usize,
    pub class: usize,
    pub work: Millis,
    /// Whether the sending process knew of the latest restart of a store.
    pub knows_restart: bool,
}

/// A query that was submitted.
pub struct QueryRecord {
    pub at: Millis,
    pub class: usize,
    pub tenant: Option<usize>,
    /// Whether the query was answered within its latency target; `None` while it has not ended.
    pub served_in_time: Option<bool>,
}

pub struct FleetSimulation {
    pub now: Millis,
    pub settings: Settings,
    /// Processing time of a part, by class.
    pub work_by_class: Vec<Millis>,
    pub stores: Vec<Store>,
    pub processes: Vec<AggregatorProcess>,
    pub sent: Vec<SentPart>,
    pub queries: Vec<QueryRecord>,
    pub random: RandomSource,
    /// Maximum random deviation of a part's processing time, as a share of that of its class.
    pub work_spread: f64,
    /// Number of parts that stores rejected because their queues were full.
    pub rejected_parts: usize,
    /// Number of the latest attempt, by part.
    attempts: HashMap<RequestId, u32>,
}

impl FleetSimulation {
    pub fn new(seed: u64, settings: Settings, work_by_class: &[Millis], stores: usize) -> Self {
        let mut fleet = Self {
            now: 0.0,
            work_by_class: work_by_class.to_vec(),
            stores: (0..stores).map(|_| Store { is_up: true, ..Store::default() }).collect(),
            processes: Vec::new(),
            sent: Vec::new(),
            queries: Vec::new(),
            random: RandomSource(seed),
            work_spread: 0.0,
            rejected_parts: 0,
            attempts: HashMap::new(),
            settings,
        };
        for index in 0..fleet.settings.aggregators {
            let process = fleet.new_process(index);
            fleet.processes.push(process);
        }
        fleet
    }

    /// Creates an aggregator process that knows the present list of stores.
    fn new_process(&mut self, index: u32) -> AggregatorProcess {
        let mut settings = self.settings.clone();
        settings.index = settings.index.map(|_| index);
        let seed = (self.random.unit() * 1e15) as u64;
        let aggregator = Aggregator::new(seed, settings, self.now);
        let entries = (0..self.stores.len()).map(|server| self.entry(server)).collect();
        let events = vec![Event::ServerList { kind: ListKind::Complete, entries }];
        let knows_restart = self.stores.iter().any(|store| store.restarted_at.is_some());
        AggregatorProcess { aggregator, index, timer_at: None, events, knows_restart, is_dead: false }
    }

    fn entry(&self, server: usize) -> ServerEntry {
        let (id, started_at) = (server as u32, self.stores[server].restarted_at.unwrap_or(0.0));
        ServerEntry {
            server: id,
            cell: id,
            status: ServerStatus::Ready,
            started_at,
            ..ServerEntry::default()
        }
    }

    /// Starts a new process of a broker, while the old one continues to run. The new process knows the
    /// present list of stores at once.
    pub fn start_process(&mut self, process: usize) -> usize {
        let new_process = self.new_process(self.processes[process].index);
        self.processes.push(new_process);
        self.processes.len() - 1
    }

    /// Kills a process. Its open queries are lost, but stores still process the parts that it has sent.
    pub fn kill_process(&mut self, process: usize) {
        self.processes[process].is_dead = true;
        let calls = self.stores.iter_mut().flat_map(|store| &mut store.calls);
        calls.filter(|call| call.process == process).for_each(|call| call.is_abandoned = true);
    }

    /// Sends a process the present list entry of a store.
    pub fn announce(&mut self, process: usize, server: usize) {
        let entries = vec![self.entry(server)];
        self.processes[process].events.push(Event::ServerList { kind: ListKind::Changes, entries });
        self.processes[process].knows_restart = true;
    }

    /// Stops a store's process. The calls in its queue are lost.
    pub fn stop_store(&mut self, server: usize) {
        self.stores[server].is_up = false;
        self.stores[server].completes_at = None;
        for call in std::mem::take(&mut self.stores[server].calls) {
            self.end_call(server, &call, Outcome::Broken);
        }
    }

    /// Restarts a store's process, which then warms up. No aggregator knows of the restart yet.
    pub fn restart_store(&mut self, server: usize) {
        let store = &mut self.stores[server];
        (store.is_up, store.restarted_at, store.free_at) = (true, Some(self.now), self.now);
        self.processes.iter_mut().for_each(|process| process.knows_restart = false);
    }

    /// The share of its full capacity that a store has at a time.
    pub fn capacity(&self, server: usize, at: Millis) -> f64 {
        let Some(restarted_at) = self.stores[server].restarted_at else { return 1.0 };
        let start = self.settings.warm_up_start_capacity;
        (start + (1.0 - start) * (at - restarted_at).max(0.0) / self.settings.warm_up_ms).min(1.0)
    }

    pub fn send_query(&mut self, process: usize, class: usize, tenant: Option<usize>, shards: &[u32]) {
        let id = self.queries.len() as u64;
        self.queries.push(QueryRecord { at: self.now, class, tenant, served_in_time: None });
        let deadline = self.now + self.settings.classes[class].deadline_ms;
        let parts = shards.len() as u32;
        let events = &mut self.processes[process].events;
        events.push(Event::Query { id, number: id, class, tenant, deadline, parts, repeated: false });
        for (n, &shard) in shards.iter().enumerate() {
            let (id, weight) = ((id << 8) + n as u64, 1.0 / shards.len() as f64);
            events.push(Event::Part { id, number: id >> 8, shard, weight, cost_ms: None });
        }
    }

    /// Passes an event to a process in its next turn.
    pub fn send_event(&mut self, process: usize, event: Event) {
        self.processes[process].events.push(event);
    }

    /// Reports the outcome of a call to its process, unless the process no longer waits for it.
    fn end_call(&mut self, server: usize, call: &Call, outcome: Outcome) {
        let Call { part, attempt, sent_at, is_abandoned, .. } = *call;
        if !is_abandoned {
            let (server, elapsed_ms, report) =
                (server as u32, self.now - sent_at + ROUND_TRIP_MS, Vec::new());
            let event = Event::AttemptEnded { part, attempt, server, elapsed_ms, outcome, report };
            self.processes[call.process].events.push(event);
        }
    }

    /// Runs one time step: stores process calls, calls time out, and each process with an event or an expired
    /// timer has a turn.
    pub fn step(&mut self) {
        for server in 0..self.stores.len() {
            self.run_store(server);
        }
        for number in 0..self.processes.len() {
            let process = &mut self.processes[number];
            if process.is_dead {
                continue;
            }
            let due = process.timer_at.take_if(|at| *at <= self.now).is_some();
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
            actions.into_iter().for_each(|action| self.carry_out(number, action));
        }
        self.now += STEP_MS;
    }

    /// Processes the calls of a store up to the present time, and times out those that have waited too long.
    fn run_store(&mut self, server: usize) {
        loop {
            let capacity = self.capacity(server, self.now);
            let store = &mut self.stores[server];
            let Some(call) = store.calls.front() else { break };
            let free_at = store.free_at.max(call.sent_at);
            let completes_at = *store.completes_at.get_or_insert(free_at + call.work / capacity);
            if completes_at > self.now {
                break;
            }
            (store.free_at, store.completes_at) = (completes_at, None);
            if let Some(call) = store.calls.pop_front() {
                self.end_call(server, &call, Outcome::Success);
            }
        }
        let now = self.now;
        let is_timed_out = |call: &&mut Call| !call.is_abandoned && now >= call.timeout_at;
        let mut timed_out = Vec::new();
        for call in self.stores[server].calls.iter_mut().filter(is_timed_out) {
            timed_out.push(Call { ..*call });
            call.is_abandoned = true;
        }
        timed_out.iter().for_each(|call| self.end_call(server, call, Outcome::TimedOut));
    }

    fn carry_out(&mut self, process: usize, action: Action) {
        match action {
            Action::Send { part, server, timeout_ms } => {
                let attempt = *self.attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
                let (server, class) = (server as usize, self.queries[(part >> 8) as usize].class);
                let knows_restart = self.processes[process].knows_restart;
                let deviation = if self.work_spread > 0.0 {
                    self.work_spread * (2.0 * self.random.unit() - 1.0)
                } else {
                    0.0
                };
                let work = self.work_by_class[class] * (1.0 + deviation);
                self.sent.push(SentPart { at: self.now, server, class, work, knows_restart });
                let (sent_at, timeout_at) = (self.now, self.now + timeout_ms);
                let call = Call { process, part, attempt, sent_at, timeout_at, work, is_abandoned: false };
                if !self.stores[server].is_up {
                    self.end_call(server, &call, Outcome::Unreachable);
                } else if self.stores[server].calls.len() >= QUEUE_CAPACITY {
                    self.rejected_parts += 1;
                    self.end_call(server, &call, Outcome::Overloaded);
                } else {
                    self.stores[server].calls.push_back(call);
                }
            }
            Action::Withdraw { part, attempt } => {
                let is_withdrawn =
                    |call: &&mut Call| (call.part, call.attempt) == (part, attempt) && !call.is_abandoned;
                let calls = self.stores.iter_mut().enumerate();
                let call = calls
                    .filter_map(|(s, store)| Some((s, store.calls.iter_mut().find(is_withdrawn)?)))
                    .next();
                if let Some((server, call)) = call {
                    let withdrawn = Call { ..*call };
                    call.is_abandoned = true;
                    self.end_call(server, &withdrawn, Outcome::Withdrawn);
                }
            }
            Action::Answer { query, .. } => {
                let record = &mut self.queries[query as usize];
                let target_at = record.at + self.settings.classes[record.class].latency_target_ms;
                record.served_in_time = Some(record.served_in_time.unwrap_or(true) && self.now <= target_at);
            }
            Action::Reject { query, .. } | Action::Fail { query } => {
                self.queries[query as usize].served_in_time = Some(false);
            }
            Action::Timer { wait_ms, .. } => self.processes[process].timer_at = Some(self.now + wait_ms),
            _ => {}
        }
    }
}
