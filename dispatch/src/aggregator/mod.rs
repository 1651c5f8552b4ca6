//! The decisions; their interface (types, events, actions) is in `src/interface.rs`.
//!
//! The ordinary path is batch-filling: at the end of a turn, the parts of each new query are placed together, one at a
//! time, the part whose best replica has the fewest calls outstanding first, and every placement raises that count before
//! the next one is evaluated ([`placement`]). Counts are of this aggregator's own outstanding calls; any outcome takes
//! one off. All else is a departure for a case that the paper's model does not have; each says where it acts, and when it
//! could do harm.
//!
//! | module | decides |
//! | --- | --- |
//! | [`arrivals`] | how queries and parts are recorded, and replaced when their shard is split |
//! | [`membership`] | which servers may be sent work |
//! | [`admission`] | which queries are begun, and with which parts |
//! | [`concurrency_limit`] | how many parts may be outstanding |
//! | [`placement`] | which replica serves a part |
//! | [`warm_up`] | how much work a server gets while it warms up |
//! | [`retries`] | which attempts are safe to repeat, and how many the retry budget allows |
//! | [`hedging`] | when a late part is sent to another replica |
//! | [`health`] | which servers are ejected for failures |
//! | [`latency`] | which servers are slow, and what latency is usual |
//! | [`completion`] | when a query ends, and how |

mod admission;
mod arrivals;
mod completion;
mod concurrency_limit;
mod health;
mod hedging;
mod latency;
mod membership;
mod placement;
mod retries;
mod warm_up;

use std::collections::{BTreeMap, VecDeque};

use self::arrivals::{PartArrival, QueryArrival};
use self::concurrency_limit::ConcurrencyLimit;
use self::health::AttemptId;
use self::latency::ClassLatency;
use crate::idle_connections::IdleConnections;
use crate::interface::{Action, Event, Millis, RequestId, ServerId};
use crate::list_refresh::ListRefresh;
use crate::pseudorandom::{splitmix64, unit_interval};
use crate::quotas::TenantQuotas;
use crate::settings::Settings;
use crate::shard_replicas::ShardReplicas;
use crate::state::{Part, Query, Server};

/// While a query is open, a turn is taken at least every this many shortest turns.
const TICK_TURNS: f64 = 2.0;
/// Sums of weights may fall short of a share by this much, from rounding.
const ROUNDING: f64 = 5e-5;
/// An answer after the latency target is waited for only where it earns at least this share of the value.
const LATE_ANSWER_MIN_VALUE: f64 = 0.2;
/// Nothing is begun for a client that waits less than this many usual latencies, and less than the latency target.
const MIN_WAIT_USUAL_LATENCIES: f64 = 2.0;

/// The decisions of one aggregator. See the crate's documentation for an example.
#[derive(Debug)]
pub struct Aggregator {
    settings: Settings,
    seed: u64,
    /// When this process started.
    started_at: Millis,
    is_shutting_down: bool,
    /// How many aggregators there were at start: the number of slots, whatever they count as now.
    slot_count: u32,
    /// The state of the pseudorandom sequence, advanced with each send.
    random_state: u64,
    servers: BTreeMap<ServerId, Server>,
    replicas: ShardReplicas,
    queries: BTreeMap<RequestId, Query>,
    parts: BTreeMap<RequestId, Part>,
    /// Latencies by class.
    latencies: Vec<ClassLatency>,
    /// By class: the value that a query earns for each of its parts.
    value_densities: Vec<f64>,
    /// The shortest latency target of any class: the time scale of all that is remembered of servers.
    shortest_target: Millis,
    quotas: TenantQuotas,
    limit: ConcurrencyLimit,
    /// When queries and parts arrived, within the window of the retry budget.
    arrivals: VecDeque<Millis>,
    /// When further attempts were sent, within the window of the retry budget.
    retries: VecDeque<Millis>,
    last_call: u64,
    idle_connections: IdleConnections,
    /// The usual time between two samples of a server's latency.
    sample_interval: Millis,
    timer_at: Option<Millis>,
    list_refresh: ListRefresh,
}

impl Aggregator {
    /// An aggregator that knows no server yet. Equal seeds and events give equal actions.
    #[must_use]
    pub fn new(seed: u64, settings: Settings, now: Millis) -> Self {
        let settings = settings.sanitized();
        let shortest_target = settings.shortest_latency_target();
        let random_state = splitmix64(splitmix64(seed));
        let classes = settings.classes.len();
        Self {
            quotas: TenantQuotas::new(&settings, now),
            list_refresh: ListRefresh::new(&settings, now, unit_interval(random_state)),
            random_state,
            seed,
            started_at: now,
            is_shutting_down: false,
            slot_count: settings.aggregators,
            servers: BTreeMap::new(),
            replicas: ShardReplicas::new(settings.cells, settings.reach),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            latencies: vec![ClassLatency::default(); classes],
            value_densities: vec![0.0; classes],
            shortest_target,
            limit: ConcurrencyLimit::new(now),
            arrivals: VecDeque::new(),
            retries: VecDeque::new(),
            last_call: 0,
            idle_connections: IdleConnections::new(&settings, shortest_target, now),
            sample_interval: 0.0,
            timer_at: None,
            settings,
        }
    }

    /// The number of entries in each of its tables, by the names that the host's status shows. What belongs to servers and
    /// queries that are gone has to be removed, so that these stay bounded.
    #[must_use]
    pub fn table_sizes(&self) -> [(&'static str, usize); 7] {
        let total = |count: fn(&Server) -> usize| self.servers.values().map(count).sum();
        [
            ("servers", self.servers.len()),
            ("held by", self.replicas.ready_count()),
            ("queries", self.queries.len()),
            ("parts", self.parts.len()),
            ("attempts", total(|server| server.outstanding.len())),
            ("sends to servers", total(|server| server.recent_sends.len())),
            ("taken and sent again", self.arrivals.len() + self.retries.len()),
        ]
    }

    /// Handles one event. Sends wait for [`Aggregator::end_turn`], so that what arrives in a turn is placed together.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ServerList { kind, entries } => self.on_list(now, kind, entries),
            Event::Query { id, number, class, tenant, deadline, parts, repeated: _ } => {
                let query = QueryArrival { id, number, class, tenant, deadline, parts };
                self.on_query(now, query, actions);
            }
            Event::Part { id, number, shard, weight, cost_ms } => {
                self.on_part(now, PartArrival { id, number, shard, weight, cost_ms });
            }
            Event::AttemptEnded { part, attempt, server, elapsed_ms, outcome, report: _ } => {
                self.on_outcome(now, AttemptId { part, number: attempt, server }, elapsed_ms, outcome);
            }
            Event::ProbeResult { .. } => {}
            Event::Timer { .. } => self.timer_at = None,
            Event::Aggregators { count } => self.settings.aggregators = count.max(1),
            Event::ShuttingDown => self.is_shutting_down = true,
            Event::ClientGone { query } => self.remove_query(query),
            Event::ShardReplicas { shard, servers } => self.replicas.assign(shard, servers),
            Event::SuccessorParts { part, successors } => self.replace_part(part, successors),
        }
    }

    /// Ends a turn: answers, rejects, places what has arrived and what has to be sent again.
    pub fn end_turn(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for server in self.servers.values_mut() {
            server.open_call = None;
        }
        if self.list_refresh.start_due_call(now) {
            actions.push(Action::Subscribe);
        }
        self.slide_budget_window(now);
        let open_queries: Vec<RequestId> = self.queries.keys().copied().collect();
        for &query in &open_queries {
            self.end_if_due(now, query, actions);
        }
        for &query in &open_queries {
            self.admit(now, query, actions);
        }
        // Twice where parts share calls: what was delayed joins a call that a later query opens.
        for _ in 0..self.settings.max_parts_per_call.min(2) {
            for &query in &open_queries {
                self.place_waiting_parts(now, query, actions);
            }
        }
        self.hedge_late_parts(now, actions);
        self.schedule_next_turn(now, actions);
    }

    /// Sets a timer, unless one is pending that is due early enough.
    fn schedule_next_turn(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let has_queries = !self.queries.is_empty();
        let tick = has_queries.then_some(now + self.settings.turn_ms * TICK_TURNS);
        let due = [tick, self.list_refresh.next_call_at()];
        let next = due.into_iter().flatten().fold(f64::INFINITY, f64::min);
        let is_unscheduled = self.timer_at.is_none_or(|at| at > next || at < now);
        if next.is_finite() && is_unscheduled {
            self.timer_at = Some(next);
            let wait_ms = (next - now).max(self.settings.turn_ms);
            actions.push(Action::Timer { wait_ms, token: 0 });
        }
    }

    /// The number of attempts outstanding at all servers.
    fn outstanding_attempts(&self) -> f64 {
        self.servers.values().map(|server| server.outstanding.len()).sum::<usize>() as f64
    }

    /// The number of ready servers, at least 1.
    fn ready_servers(&self) -> f64 {
        self.replicas.ready_count().max(1) as f64
    }
}
