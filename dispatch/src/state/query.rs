//! Queries and their parts.

use crate::quotas::QuotaState;
use crate::{Millis, RequestId, ServerId};

/// The state of a part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum PartState {
    /// Left out at admission; sent only in the place of another part.
    Spare,
    /// To be placed at the end of the turn.
    #[default]
    Waiting,
    /// At least one attempt is outstanding.
    Outstanding,
    /// Served.
    Received,
    /// Not served, and not to be sent again.
    Lost,
}

/// A part of a query: the work at one shard.
#[derive(Debug, Default)]
pub(crate) struct Part {
    pub(crate) query: RequestId,
    pub(crate) shard: u32,
    pub(crate) weight: f64,
    pub(crate) state: PartState,
    /// The servers of its attempts, in order.
    pub(crate) tried: Vec<ServerId>,
    pub(crate) outstanding_attempts: u32,
    /// Since when at least one attempt has been outstanding.
    pub(crate) outstanding_since: Millis,
    /// When the latest attempt was sent.
    pub(crate) last_sent: Millis,
    /// When the first attempt that may have run was sent, once its outcome is known.
    pub(crate) may_have_run_since: Option<Millis>,
    /// Its attempt has been withdrawn, and the outcome is not known yet.
    pub(crate) is_withdrawing: bool,
}

/// Which step of a query is in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum QueryStep {
    #[default]
    First,
    Second {
        /// Whether the answer of the first step was complete.
        is_first_complete: bool,
    },
}

/// A query that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct Query {
    /// The number that its parts repeat.
    pub(crate) number: u64,
    pub(crate) class: usize,
    /// An answer up to this time earns its full value.
    pub(crate) target_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) step: QueryStep,
    pub(crate) expected_parts: usize,
    pub(crate) parts: Vec<RequestId>,
    pub(crate) arrived_at: Millis,
    /// The share of the concurrency limit in use when it was admitted.
    pub(crate) limit_utilisation: f64,
    pub(crate) is_admitted: bool,
    pub(crate) quota: QuotaState,
    /// It seems to crash the servers that begin its parts ("query of death").
    pub(crate) is_query_of_death: bool,
}

impl Query {
    /// Whether its second step is in progress.
    pub(crate) fn is_second_step(&self) -> bool {
        matches!(self.step, QueryStep::Second { .. })
    }
}
