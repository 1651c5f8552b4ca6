//! The settings of an aggregator, and the replacement of unusable values.

use crate::Millis;

/// The shortest latency target if the settings state none.
const DEFAULT_LATENCY_TARGET_MS: Millis = 1000.0;
/// Replacement for a [`Settings::turn_ms`] that is not a number.
const DEFAULT_TURN_MS: Millis = 1.0;
/// Lower bound of [`Settings::turn_ms`].
const MIN_TURN_MS: Millis = 0.1;
/// Upper bound of [`Settings::turn_ms`].
const MAX_TURN_MS: Millis = 1000.0;
/// Upper bound of [`Settings::cells`].
const MAX_CELLS: u32 = 1 << 16;

/// Whether a part may be attempted again after an attempt that may have run at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// The part may be repeated any number of times.
    #[default]
    Safe,
    /// The part may be repeated while the servers still drop repeats of the first attempt
    /// ([`Class::deduplication_ms`]).
    Keyed,
    /// The part may be repeated only if the outcomes of all its attempts prove that none ran.
    Unsafe,
}

/// A class of queries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// The latency target: an answer within this time earns the full value.
    pub latency_target_ms: Millis,
    /// The latency target is extended by the estimated processing time of the query's parts, times this
    /// factor. With 0, it is not extended.
    pub latency_target_stretch: f64,
    /// Time after which the client gives up, over all its repeats of the query.
    pub deadline_ms: Millis,
    /// Share of the value that an answer after the latency target earns, from 0 to 1.
    pub late_value_share: f64,
    /// The value of a complete answer.
    pub value: f64,
    /// Whether parts may be attempted again.
    pub repeat: Repeat,
    /// How long servers drop repeats of a part of a [`Repeat::Keyed`] class.
    pub deduplication_ms: Millis,
    /// Share of the weight with which an answer is complete, from 0 to 1.
    pub required_share: f64,
    /// Minimum share of the weight for a partial answer, from 0 to 1. If it equals `required_share`, partial
    /// answers are not allowed.
    pub minimum_share: f64,
    /// Share of the value that a partial answer earns, before it is multiplied by the answer's weight over
    /// `required_share`.
    pub partial_value: f64,
    /// Maximum number of parts of the second step; 0 if there is no second step.
    pub follow_up_parts: u32,
}

/// The settings of a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Quota of the tenant in queries per second, over all aggregators.
    pub quota_per_s: f64,
}

/// A retry budget: the number of attempts allowed beyond the first attempt of each part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts allowed in a window regardless of the traffic.
    pub free_attempts: f64,
    /// Attempts allowed in a window for each query and part that arrived in it.
    pub attempts_per_arrival: f64,
    /// Length of the sliding window.
    pub window_ms: Millis,
}

/// The meaning of a number in a server's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Number of requests in progress.
    InProgress,
    /// Number of requests in the queue.
    Queued,
    /// Share of the server's processors in use, from 0 to 1.
    Utilisation,
    /// Recent service time without queueing, in milliseconds.
    ServiceMs,
    /// Number of requests served per second.
    ServedPerS,
    /// Number of errors per second.
    ErrorsPerS,
    /// A field that this version does not know.
    Other,
}

/// The settings of an aggregator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of aggregators that share the servers.
    pub aggregators: u32,
    /// This aggregator's index among them, from 0, if it is known. It determines the aggregator's slot.
    pub index: Option<u32>,
    /// This aggregator's zone, by index.
    pub zone: u32,
    /// Minimum time between two turns. A turn ends with
    /// [`Aggregator::end_turn`](crate::Aggregator::end_turn).
    pub turn_ms: Millis,
    /// The classes of queries. Events refer to them by index.
    pub classes: Vec<Class>,
    /// The tenants. Events refer to them by index.
    pub tenants: Vec<Tenant>,
    /// Share of the value of its class that a query beyond its tenant's quota earns, from 0 to 1.
    pub over_quota_value_share: f64,
    /// Number of cells on the ring. Shard `s` is held by the servers of the cells `(s + j) % cells`,
    /// `j < reach`.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub reach: u32,
    /// Number of shards.
    pub shards: u32,
    /// Maximum number of parts in one call. With 1, parts do not share calls.
    pub max_parts_per_call: u32,
    /// Processing time of a call beyond that of its parts.
    pub call_cost_ms: Millis,
    /// Maximum number of attempts of a part, including the first.
    pub max_attempts: u32,
    /// Whether two attempts of a part may be outstanding at the same time.
    pub allows_parallel_attempts: bool,
    /// Whether an attempt may be withdrawn ([`Action::Withdraw`](crate::Action::Withdraw)).
    pub allows_withdrawals: bool,
    /// Whether the aggregator has to subscribe to the list of servers
    /// ([`Action::Subscribe`](crate::Action::Subscribe)).
    pub requires_subscription: bool,
    /// Time without a request for the list after which the aggregator is assumed to know its present content.
    pub list_refresh_ms: Millis,
    /// The retry budget. Without one, hedged requests have a default budget, and other retries are limited
    /// only by `max_attempts`.
    pub retry_budget: Option<RetryBudget>,
    /// Time past a client's deadline within which a final answer still counts.
    pub answer_slack_ms: Millis,
    /// Time after a drain notice within which attempts at the server have to cease.
    pub drain_grace_ms: Millis,
    /// Minimum share of its capacity that a server has when it starts, from 0 to 1.
    pub warm_up_start_capacity: f64,
    /// Maximum time from its start until a server has its full capacity.
    pub warm_up_ms: Millis,
    /// Multiple of its present capacity beyond which a server that warms up fails, if it is sent that much
    /// work within `overload_window_ms`.
    pub overload_factor: f64,
    /// Length of the sliding window to which `overload_factor` applies.
    pub overload_window_ms: Millis,
    /// Maximum of [`Action::Reject::retry_after_ms`](crate::Action::Reject::retry_after_ms) that clients
    /// follow. With 0, rejections carry no advice.
    pub max_retry_after_ms: Millis,
    /// Time after which idle connections are closed.
    pub idle_timeout_ms: Millis,
    /// The meaning of the numbers in a load report, in their order.
    pub report_fields: Vec<ReportField>,
}

impl Settings {
    /// Replaces each unusable value with the nearest usable one.
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
