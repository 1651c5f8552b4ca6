//! Queries and their parts.

use crate::quotas::QuotaState;
use crate::{Millis, RequestId, ServerId};

/// The state of a part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum PartState {
    /// The part was left out at admission. It is sent only as a replacement for another part.
    Spare,
    /// The part is to be placed at the end of the turn.
    #[default]
    Waiting,
    /// At least one attempt of the part is outstanding.
    Outstanding,
    /// The part was served, and its response received.
    Received,
    /// The part was not served and must not be sent again.
    Failed,
}

/// A part of a query: the work that one shard does for it.
#[derive(Debug, Default)]
pub(crate) struct Part {
    pub(crate) query: RequestId,
    pub(crate) shard: u32,
    pub(crate) weight: f64,
    pub(crate) state: PartState,
    /// The servers to which its attempts were sent, in order of the attempts.
    pub(crate) tried_servers: Vec<ServerId>,
    pub(crate) outstanding_attempts: u32,
    /// Start of the latest period in which at least one attempt was outstanding; before the first, the part's
    /// arrival.
    pub(crate) outstanding_since: Millis,
    /// When the latest attempt was sent, or the part arrived.
    pub(crate) last_sent_at: Millis,
    /// Earliest send time of the attempts that ended without success but may have run at their servers.
    pub(crate) may_have_run_since: Option<Millis>,
    /// Whether its attempt is being withdrawn and the outcome is not known yet.
    pub(crate) is_withdrawing: bool,
}

/// The step of a query that is in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum QueryStep {
    #[default]
    First,
    Second {
        /// Whether the answer of the first step was complete.
        is_first_complete: bool,
    },
}

/// A query without a final answer yet.
#[derive(Debug, Default)]
pub(crate) struct Query {
    /// The number by which its parts refer to it.
    pub(crate) number: u64,
    pub(crate) class: usize,
    /// The latency target as a point in time: an answer by then earns the full value.
    pub(crate) target_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) step: QueryStep,
    pub(crate) expected_parts: usize,
    pub(crate) parts: Vec<RequestId>,
    pub(crate) arrived_at: Millis,
    /// The share of the concurrency limit that was in use when the query was admitted.
    pub(crate) limit_utilisation: f64,
    pub(crate) is_admitted: bool,
    pub(crate) quota: QuotaState,
    /// Whether the query seems to crash the servers that run its parts (a "query of death").
    pub(crate) is_query_of_death: bool,
}

impl Query {
    /// Whether the second step of the query is in progress.
    pub(crate) fn is_second_step(&self) -> bool {
        matches!(self.step, QueryStep::Second { .. })
    }
}
