//! The decisions of the aggregator. Their interface (types, events, actions) is in `src/interface.rs`.
//!
//! The basic algorithm is batch-filling: at the end of a turn, the parts of each new query are placed
//! together, one at a time. The part whose best replica has the fewest outstanding calls is placed first, and
//! every placement raises that count before the next one is chosen ([`placement`]). Only this aggregator's
//! own outstanding calls are counted, and an attempt ceases to count with any outcome. All other rules handle
//! cases that the model of Weng and Wang does not cover. The documentation of each such rule states the case
//! it handles and when it could do harm.
//!
//! | module | decides |
//! | --- | --- |
//! | [`arrivals`] | how queries and parts are recorded, and how parts are replaced when their shard is split |
//! | [`membership`] | which servers may be sent work |
//! | [`admission`] | which queries are admitted, and with which parts |
//! | [`concurrency_limit`] | how many parts may be outstanding |
//! | [`placement`] | which replica serves a part |
//! | [`warm_up`] | how much work a server is sent while it warms up |
//! | [`retries`] | which attempts are safe to repeat, and how many the retry budget allows |
//! | [`hedging`] | when a late part is sent to another replica |
//! | [`health`] | which servers are ejected for failures |
//! | [`latency`] | which servers are slow, and which latency is usual |
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

/// Maximum time until the next turn while a query is open, in multiples of [`Settings::turn_ms`].
const TICK_INTERVAL_TURNS: f64 = 2.0;
/// Tolerance for rounding errors when a sum of weights is compared with a share.
const ROUNDING_TOLERANCE: f64 = 5e-5;
/// Minimum of [`Class::late_value_share`](crate::Class::late_value_share) with which answers after the
/// latency target are worth waiting for.
const LATE_ANSWER_MIN_VALUE: f64 = 0.2;
/// Number of usual latencies that must be left until a deadline for work to be started. If that is longer
/// than the latency target, the latency target is enough.
const MIN_WAIT_USUAL_LATENCIES: f64 = 2.0;

/// Makes the decisions of one aggregator. See the documentation of the crate for an example.
#[derive(Debug)]
pub struct Aggregator {
    settings: Settings,
    seed: u64,
    /// When this process started.
    started_at: Millis,
    is_shutting_down: bool,
    /// Number of slots: the number of aggregators at the start, even if it has changed since.
    slot_count: u32,
    /// State of the pseudorandom sequence, which advances with each send.
    random_state: u64,
    servers: BTreeMap<ServerId, Server>,
    replicas: ShardReplicas,
    queries: BTreeMap<RequestId, Query>,
    parts: BTreeMap<RequestId, Part>,
    /// Latencies of parts, by class.
    latencies: Vec<ClassLatency>,
    /// Value that a query earns per part, by class.
    value_densities: Vec<f64>,
    /// The shortest latency target of any class. It is the time scale of everything learned about servers.
    shortest_latency_target: Millis,
    quotas: TenantQuotas,
    limit: ConcurrencyLimit,
    /// Arrival times of the queries and parts within the window of the retry budget.
    arrivals: VecDeque<Millis>,
    /// Send times of the attempts after the first of a part, within the window of the retry budget.
    retries: VecDeque<Millis>,
    last_call_id: u64,
    idle_connections: IdleConnections,
    /// Moving average of the time between two latency samples of a server.
    sample_interval: Millis,
    /// When the pending timer expires.
    timer_due_at: Option<Millis>,
    list_refresh: ListRefresh,
}

impl Aggregator {
    /// Creates an aggregator that knows no servers yet. Equal seeds and events give equal actions.
    #[must_use]
    pub fn new(seed: u64, settings: Settings, now: Millis) -> Self {
        let settings = settings.sanitized();
        let shortest_latency_target = settings.shortest_latency_target();
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
            shortest_latency_target,
            limit: ConcurrencyLimit::new(now),
            arrivals: VecDeque::new(),
            retries: VecDeque::new(),
            last_call_id: 0,
            idle_connections: IdleConnections::new(&settings, shortest_latency_target, now),
            sample_interval: 0.0,
            timer_due_at: None,
            settings,
        }
    }

    /// The number of entries in each table, with the name under which the host reports it. The tables must
    /// stay bounded: entries of servers and queries that no longer exist have to be removed.
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

    /// Handles one event. Parts are sent in [`Aggregator::end_turn`], so that all those that arrive in a turn
    /// are placed together.
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
                self.on_attempt_ended(now, AttemptId { part, number: attempt, server }, elapsed_ms, outcome);
            }
            Event::ProbeResult { .. } => {}
            Event::Timer { .. } => self.timer_due_at = None,
            Event::Aggregators { count } => self.settings.aggregators = count.max(1),
            Event::ShuttingDown => self.is_shutting_down = true,
            Event::ClientGone { query } => self.remove_query(query),
            Event::ShardReplicas { shard, servers } => self.replicas.assign(shard, servers),
            Event::SuccessorParts { part, successors } => self.replace_part(part, successors),
        }
    }

    /// Ends a turn: answers or rejects queries, and sends the parts that are new or have to be sent again.
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
        // If parts share calls, a second pass lets delayed parts join calls that later queries opened in the
        // first.
        for _ in 0..self.settings.max_parts_per_call.min(2) {
            for &query in &open_queries {
                self.place_waiting_parts(now, query, actions);
            }
        }
        self.hedge_late_parts(now, actions);
        self.schedule_next_turn(now, actions);
    }

    /// Sets a timer for the next turn, unless the pending timer expires early enough.
    fn schedule_next_turn(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let has_queries = !self.queries.is_empty();
        let tick = has_queries.then_some(now + self.settings.turn_ms * TICK_INTERVAL_TURNS);
        let due = [tick, self.list_refresh.next_call_at()];
        let next = due.into_iter().flatten().fold(f64::INFINITY, f64::min);
        let is_unscheduled = self.timer_due_at.is_none_or(|at| at > next || at < now);
        if next.is_finite() && is_unscheduled {
            self.timer_due_at = Some(next);
            let wait_ms = (next - now).max(self.settings.turn_ms);
            actions.push(Action::Timer { wait_ms, token: 0 });
        }
    }

    /// Number of outstanding attempts at all servers.
    fn outstanding_attempts(&self) -> f64 {
        self.servers.values().map(|server| server.outstanding.len()).sum::<usize>() as f64
    }

    /// Number of ready servers, or 1 if there is none.
    fn ready_servers(&self) -> f64 {
        self.replicas.ready_count().max(1) as f64
    }
}
