//! The interface of an aggregator: the events that the host passes to it ([`Event`]), and the actions that
//! the host carries out for it ([`Action`]).
//!
//! All times and durations are in milliseconds on the host's clock.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
/// The id of a query or a part. The host chooses it and never reuses it.
pub type RequestId = u64;
/// The id of a server, chosen by the host.
pub type ServerId = u32;

/// The state of a server on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerStatus {
    /// The server may be sent parts.
    #[default]
    Ready,
    /// The server completes its outstanding parts and may not be sent further ones.
    Draining,
    /// The server has been removed from the list.
    Removed,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The id of the server.
    pub server: ServerId,
    /// When the server's process last started; 0 if that was so long ago that it does not warm up.
    pub started_at: Millis,
    /// The server's zone, by index.
    pub zone: u32,
    /// The server's cell, which determines the shards that it holds.
    pub cell: u32,
    /// The server's state.
    pub status: ServerStatus,
}

/// The meaning of the entries in [`Event::ServerList`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Changes,
    /// The complete list: servers without an entry have been removed.
    Complete,
    /// The complete list as it was stored before a restart; it may be out of date.
    Restored,
    /// A request for the list failed or the subscription broke; there are no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server served the part.
    Success,
    /// The server responded with an error. The attempt may have run.
    Failure,
    /// The server rejected the attempt before running it, because it is full or draining.
    Overloaded,
    /// No response arrived in time. The attempt may still run.
    TimedOut,
    /// No connection could be opened. The attempt never ran.
    Unreachable,
    /// The connection broke. The attempt may have run.
    Broken,
    /// The aggregator withdrew the attempt ([`Action::Withdraw`]). It may have run.
    Withdrawn,
    /// The attempt was never sent.
    Void,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran at the server.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Overloaded | Self::Unreachable | Self::Void)
    }
}

/// An event that the host passes to the aggregator.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers was updated, or could not be.
    ServerList {
        /// The meaning of the entries.
        kind: ListKind,
        /// The entries of the list.
        entries: Vec<ServerEntry>,
    },
    /// A query arrived. Its parts follow in the same turn.
    Query {
        /// The id of the query.
        id: RequestId,
        /// The number of the query, by which its parts refer to it.
        number: u64,
        /// The class of the query, by index.
        class: usize,
        /// The tenant of the query, by index.
        tenant: Option<usize>,
        /// When the client abandons this attempt at the query.
        deadline: Millis,
        /// The number of parts of the first step.
        parts: u32,
        /// Whether the client marked the query as a repeat.
        repeated: bool,
    },
    /// A part of a query arrived, of the query's first or second step.
    Part {
        /// The id of the part.
        id: RequestId,
        /// The number of the part's query.
        number: u64,
        /// The shard that serves the part.
        shard: u32,
        /// The weight of the part. The weights of the parts of a step add up to 1.
        weight: f64,
        /// A rough estimate of the part's processing time, if there is one.
        cost_ms: Option<Millis>,
    },
    /// An attempt ended. There is exactly one such event for each [`Action::Send`].
    AttemptEnded {
        /// The part that was attempted.
        part: RequestId,
        /// The number of the attempt within the part, from 0.
        attempt: u32,
        /// The server to which the attempt was sent.
        server: ServerId,
        /// Time since the attempt was sent.
        elapsed_ms: Millis,
        /// How the attempt ended.
        outcome: Outcome,
        /// The server's load report, empty if the response carried none.
        report: Vec<f64>,
    },
    /// A health check ended.
    ProbeResult {
        /// The server that was checked.
        server: ServerId,
        /// How the health check ended.
        outcome: Outcome,
        /// Time since the health check was sent.
        elapsed_ms: Millis,
        /// The server's load report, empty if the response carried none.
        report: Vec<f64>,
    },
    /// A timer expired.
    Timer {
        /// The token given in [`Action::Timer`].
        token: u64,
    },
    /// The number of aggregators changed. Two processes of one host count as two while both serve.
    Aggregators {
        /// The number of aggregators.
        count: u32,
    },
    /// This process is shutting down. Its successor, which has the same index, may already serve.
    ShuttingDown,
    /// The client of a query disconnected.
    ClientGone {
        /// The id of the query.
        query: RequestId,
    },
    /// The host assigned the replicas of a shard. After the first such event, the ring of cells is no longer
    /// used.
    ShardReplicas {
        /// The shard whose replicas are assigned.
        shard: u32,
        /// The servers that hold the shard's replicas; none if the shard no longer exists.
        servers: Vec<ServerId>,
    },
    /// The shard of a part no longer exists, and successor parts replace the part.
    ///
    /// Each successor inherits the part's attempts: its first attempt has the number that the part's next
    /// attempt would have had. The event is sent only while no attempt of the part is outstanding.
    SuccessorParts {
        /// The part that is replaced.
        part: RequestId,
        /// The parts that replace it. Their weights add up to its weight.
        successors: Vec<SuccessorPart>,
    },
}

/// A part that replaces a part whose shard no longer exists.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuccessorPart {
    /// The id of the part.
    pub id: RequestId,
    /// The shard that serves the part.
    pub shard: u32,
    /// The weight of the part.
    pub weight: f64,
}

/// The reason for which a query is given up. The host counts the queries of each reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The concurrency limit is exhausted.
    OverLimit,
    /// All replicas of a shard are ejected.
    NoHealthyReplica,
    /// A shard is too slow for the latency target of the query's class.
    Saturated,
    /// The client's deadline leaves less time than parts usually take.
    DeadlineTooShort,
    /// No server on the list holds the query's shards.
    NoReplicaListed,
    /// Too many parts can no longer be served.
    PartsLost,
    /// The missing parts would arrive too late to have any value.
    TooLate,
}

/// An action that the host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a part are numbered from 0 in the order of these actions.
    Send {
        /// The part to send.
        part: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Time-out of the attempt.
        timeout_ms: Millis,
    },
    /// Close the idle connections to a server, so that the next attempt opens a new connection.
    CloseIdleConnections {
        /// The server whose idle connections are to be closed.
        server: ServerId,
    },
    /// Stop waiting for an attempt. Its [`Event::AttemptEnded`] still follows, with [`Outcome::Withdrawn`]
    /// unless the attempt has already ended in another way.
    Withdraw {
        /// The part that was attempted.
        part: RequestId,
        /// The number of the attempt within the part, from 0.
        attempt: u32,
    },
    /// Answer a query from the parts received. The answer is final unless a second step follows.
    Answer {
        /// The id of the query.
        query: RequestId,
        /// Whether the answer is complete.
        is_complete: bool,
    },
    /// Give a query the final answer that it is rejected. The client may safely repeat it.
    Reject {
        /// The id of the query.
        query: RequestId,
        /// After how long the client should repeat the query; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Count the reason for which a query is given up. The next action is the query's final answer.
    ReportRejection {
        /// The id of the query.
        query: RequestId,
        /// The reason for which the query is given up.
        reason: RejectionReason,
    },
    /// Give a query the final answer that it failed. Whether it took effect is not known.
    Fail {
        /// The id of the query.
        query: RequestId,
    },
    /// Subscribe to changes of the list of servers.
    Subscribe,
    /// Set a timer.
    Timer {
        /// Time until the timer expires.
        wait_ms: Millis,
        /// The token to return in [`Event::Timer`].
        token: u64,
    },
}
