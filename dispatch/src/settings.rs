//! The settings of an aggregator, and how unusable values are replaced.

use crate::Millis;

/// The shortest latency target where the settings state none.
const DEFAULT_LATENCY_TARGET_MS: Millis = 1000.0;
/// The shortest gap between two turns: its default, least and most.
const DEFAULT_TURN_MS: Millis = 1.0;
const MIN_TURN_MS: Millis = 0.1;
const MAX_TURN_MS: Millis = 1000.0;
/// The most cells of a ring.
const MAX_CELLS: u32 = 1 << 16;

/// Whether a part may be attempted again after an attempt that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times.
    #[default]
    Safe,
    /// While the servers drop repeats of the first attempt ([`Class::deduplication_ms`]).
    Keyed,
    /// Never; only after outcomes that prove it did not run.
    Unsafe,
}

/// A class of queries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// The latency target: an answer within this time earns its full value.
    pub latency_target_ms: Millis,
    /// The latency target grows by this many times the query's own work (0: it does not).
    pub latency_target_stretch: f64,
    /// The client gives up after this long, over all its repeats.
    pub deadline_ms: Millis,
    /// The share of the value that an answer after the latency target earns.
    pub late_value_share: f64,
    /// The value of a complete answer.
    pub value: f64,
    /// Whether parts may be repeated.
    pub repeat: Repeat,
    /// How long servers drop repeats of a keyed part.
    pub deduplication_ms: Millis,
    /// The share of weight that makes an answer complete.
    pub required_share: f64,
    /// The least share of weight that may be answered.
    pub minimum_share: f64,
    /// What a partial answer earns, times its share over `required_share`.
    pub partial_value: f64,
    /// Parts of the second step; 0 where there is none.
    pub follow_up_parts: u32,
}

/// A tenant's quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Queries a second within its quota, over all aggregators.
    pub quota_per_s: f64,
}

/// A retry budget: the attempts allowed beyond the first of each part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts allowed whatever the traffic.
    pub free_attempts: f64,
    /// Attempts allowed for each query and part that arrived.
    pub attempts_per_arrival: f64,
    /// The sliding window.
    pub window_ms: Millis,
}

/// The meaning of a figure in a server's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in progress.
    InProgress,
    /// Requests waiting.
    Queued,
    /// Share of its processors in use.
    Utilisation,
    /// Recent service time without waiting, in milliseconds.
    ServiceMs,
    /// Requests served a second.
    ServedPerS,
    /// Errors a second.
    ErrorsPerS,
    /// A figure this version does not know.
    Other,
}

/// The settings of an aggregator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many aggregators share the servers.
    pub aggregators: u32,
    /// The aggregator's own index among them, from 0, where it is known; it determines the aggregator's slot.
    pub index: Option<u32>,
    /// The aggregator's own zone, by index.
    pub zone: u32,
    /// The shortest gap between two turns.
    pub turn_ms: Millis,
    /// The classes; events name them by index.
    pub classes: Vec<Class>,
    /// The tenants; events name them by index.
    pub tenants: Vec<Tenant>,
    /// The value of a query over its tenant's quota, as a share of its class's value.
    pub over_quota_value_share: f64,
    /// Number of cells; shard `s` is held by the servers of cells `(s + j) % cells`, `j < reach`.
    pub cells: u32,
    /// How many consecutive cells hold a shard.
    pub reach: u32,
    /// Number of shards.
    pub shards: u32,
    /// The most parts in one call; 1 where parts do not share calls.
    pub max_parts_per_call: u32,
    /// The work of a call beyond that of its parts.
    pub call_cost_ms: Millis,
    /// The most attempts for one part.
    pub max_attempts: u32,
    /// Whether two attempts of a part may be outstanding at the same time.
    pub allows_parallel_attempts: bool,
    /// Whether an attempt may be withdrawn ([`Action::Withdraw`](crate::Action::Withdraw)).
    pub allows_withdrawals: bool,
    /// Whether the list must be subscribed to.
    pub requires_subscription: bool,
    /// After how long without a call for the list the aggregator counts as informed of it anyway.
    pub list_refresh_ms: Millis,
    /// The retry budget, if any.
    pub retry_budget: Option<RetryBudget>,
    /// Time past a client's deadline in which a final answer still counts.
    pub answer_slack_ms: Millis,
    /// The time after a drain notice within which attempts must cease.
    pub drain_grace_ms: Millis,
    /// The least share of its capacity that a server starts with.
    pub warm_up_start_capacity: f64,
    /// The longest time until it has all its capacity.
    pub warm_up_ms: Millis,
    /// A server that warms up fails if it is sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... within a window of this length.
    pub overload_window_ms: Millis,
    /// The longest advice that clients follow; 0 where rejections carry none.
    pub max_retry_after_ms: Millis,
    /// Idle connections are closed after this long.
    pub idle_timeout_ms: Millis,
    /// What the figures of a load report are, in order.
    pub report_fields: Vec<ReportField>,
}

impl Settings {
    /// Replaces each unusable value by the nearest usable one.
    pub(crate) fn sanitized(self) -> Self {
        let mut settings = self;
        settings.cells = settings.cells.clamp(1, MAX_CELLS);
        settings.max_parts_per_call = settings.max_parts_per_call.max(1);
        settings.aggregators = settings.aggregators.max(1);
        settings.max_attempts = settings.max_attempts.max(1);
        settings.turn_ms = if settings.turn_ms.is_nan() {
            DEFAULT_TURN_MS
        } else {
            settings.turn_ms.clamp(MIN_TURN_MS, MAX_TURN_MS)
        };
        for class in &mut settings.classes {
            class.required_share =
                if class.required_share > 0.0 { class.required_share.min(1.0) } else { 1.0 };
            class.minimum_share = if class.minimum_share > 0.0 {
                class.minimum_share.min(class.required_share)
            } else {
                class.required_share
            };
        }
        settings
    }

    /// The shortest latency target of any class.
    pub(crate) fn shortest_latency_target(&self) -> Millis {
        let targets = self.classes.iter().map(|class| class.latency_target_ms);
        let shortest = targets.filter(|target| *target > 0.0).fold(f64::INFINITY, f64::min);
        if shortest.is_finite() {
            shortest
        } else {
            DEFAULT_LATENCY_TARGET_MS
        }
    }
}
