//! The core's inputs ([`CoreEvent`]) and outputs ([`Command`]), and the types that both share: queries, attempt requests,
//! attempt outcomes and final answers. These are plain data without a wire format.

use std::rc::Rc;

use gingerledge_blocks::{Epoch, Span};
use gingerledge_dispatch::{ListKind, Millis, Outcome, RejectionReason, RequestId, ServerEntry, ServerId};

use super::IdempotencyKey;
use crate::routes::BlockOwners;

/// Bytes that pass through the broker unchanged.
pub type OpaqueBytes = Rc<[u8]>;

/// Identifies a query at this broker.
pub type QueryId = RequestId;

/// Identifies an attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The id of the part.
    pub part: RequestId,
    /// Number of the attempt within its part, from 0.
    pub number: u32,
}

/// A part of a query, as the client requested it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartRequest {
    /// The shard that the part addresses; a block number where blocks may move.
    pub shard: u32,
    /// The part's share of the complete answer, from 0 to 1.
    pub weight: f64,
    /// The client's estimate of the part's processing time.
    pub cost_ms: Option<Millis>,
    /// The only weigher that the part concerns, if the client names one.
    pub weigher: Option<u64>,
}

/// Formats in which a query's text may be sent to a store; the core only passes this on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueryFormat {
    /// Frames only.
    #[default]
    Opaque,
    /// Also as a feature request, to stores that serve the feature API.
    Features,
}

/// A validated query with its names resolved to indices, as a front submits it.
#[derive(Clone, Debug)]
pub struct Query {
    /// The query's id on the wire, from which the wire ids of its parts are derived.
    pub name: Rc<str>,
    /// Index of the query's class.
    pub class: usize,
    /// Index of the query's tenant.
    pub tenant: Option<usize>,
    /// Time at which the client stops waiting, in Unix milliseconds.
    pub deadline: Millis,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// Idempotency key by which stores detect retries; set in keyed classes only.
    pub key: Option<IdempotencyKey>,
    /// The parts of the query, at most one for each shard.
    pub parts: Vec<PartRequest>,
    /// The text that each part carries.
    pub text: OpaqueBytes,
    /// Formats in which the text may be sent.
    pub format: QueryFormat,
}

/// The value that a store returned for a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// Score by which shards are ranked for the second step of a class that has one.
    pub score: u64,
    /// The value, unchanged.
    pub value: OpaqueBytes,
}

/// The result of one attempt at one store.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// How the attempt ended; [`Outcome::Success`] only together with a value.
    pub outcome: Outcome,
    /// The value of a success.
    pub served: Option<Served>,
    /// The values of the store's load report; empty if the response had none.
    pub report: Vec<f64>,
    /// The newest epoch of the block known to the store, if it rejected the attempt's epoch.
    pub newer_epoch: Option<u64>,
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, served: None, report: Vec::new(), newer_epoch: None }
    }
}

/// The one answer that a query gets.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// An answer assembled from the parts that succeeded, in the order of their shards.
    Answered {
        /// Whether the answer is marked as complete.
        is_complete: bool,
        /// Shards and values.
        values: Vec<(u32, OpaqueBytes)>,
    },
    /// The query was rejected; a retry is harmless.
    Refused {
        /// Suggested delay before a retry, in milliseconds; 0 for no suggestion.
        retry_after_ms: Millis,
    },
    /// The query failed; whether it took effect is unknown.
    Failed,
}

/// An input of the core.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// A query was admitted.
    QuerySubmitted(QueryId, Query),
    /// The client of a query disconnected, or the query's deadline passed.
    ClientDisconnected(QueryId),
    /// An attempt ended.
    AttemptEnded(AttemptId, AttemptOutcome),
    /// Discovery reported a list of stores, changes to it, or a failure.
    EndpointsListed(ListKind, Vec<ServerEntry>),
    /// The stores that own some blocks have changed.
    BlockOwnersChanged(BlockOwners),
    /// The number of processes that share this broker's quotas has changed.
    ProcessCountChanged(u32),
    /// This process is shutting down; its successor may already serve.
    ShutdownStarted,
    /// Has no effect on the core. The sender is dropped once all events before it have been processed.
    Barrier(async_channel::Sender<()>),
}

/// Result of the first step, on which a part of the second step depends.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstStep {
    /// The current numbers of the shards that answered.
    pub answered_shards: Vec<u32>,
    /// Whether the first step was complete.
    pub is_complete: bool,
}

/// Fencing data of an attempt at a block that may move: the store rejects the attempt if its epoch is out of date.
#[derive(Clone, Debug, PartialEq)]
pub struct Fence {
    /// The block's epoch when the store was chosen.
    pub epoch: Epoch,
    /// The block number that the client used.
    pub requested_block: u32,
    /// The requested weighers of the block, if not all of them.
    pub slice: Option<Span>,
    /// The only weigher that the attempt concerns, if the client named one.
    pub weigher: Option<u64>,
    /// Whether the attempt is an entry (a write), which must be executed at most once.
    pub is_entry: bool,
}

/// A request for one attempt at one store.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// The store to send the attempt to.
    pub server: ServerId,
    /// Id of the attempt's query: no byte may be sent once that query has finished.
    pub query_id: QueryId,
    /// The query's id on the wire.
    pub query: Rc<str>,
    /// The shard to query.
    pub shard: u32,
    /// The text to send.
    pub text: OpaqueBytes,
    /// Formats in which the text may be sent.
    pub format: QueryFormat,
    /// Time-out for the response, in milliseconds.
    pub timeout_ms: Millis,
    /// Time within which the attempt must be sent, in milliseconds: later the store may no longer remember an earlier
    /// attempt of the part.
    pub send_within_ms: Option<Millis>,
    /// Idempotency key by which the store detects retries.
    pub key: Option<IdempotencyKey>,
    /// Result of the first step, for a part of the second.
    pub first_step: Option<Rc<FirstStep>>,
    /// Fencing data, where blocks may move.
    pub fence: Option<Fence>,
}

/// An output of the core.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt. Exactly one [`CoreEvent::AttemptEnded`] must follow.
    Send(AttemptRequest),
    /// Give up an attempt that did not answer in time. Its [`CoreEvent::AttemptEnded`] must still follow.
    Withdraw(AttemptId),
    /// Cancel an attempt whose result is no longer needed, through no fault of its store. Its
    /// [`CoreEvent::AttemptEnded`] must still follow.
    Cancel(AttemptId),
    /// Close the idle connections to a store.
    CloseIdleConnections(ServerId),
    /// Refresh the block map: a store reported a newer epoch.
    RefreshBlockMap,
    /// Open a watch on discovery.
    Subscribe,
    /// Count the reason for which a query is rejected.
    CountRejection(QueryId, RejectionReason),
    /// Give a query its final answer.
    Finish(QueryId, FinalAnswer),
}
