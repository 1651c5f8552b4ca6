//! The interface of an aggregator: the events that the host passes in ([`Event`]), and the actions that it carries out
//! ([`Action`]). Times and durations are milliseconds on the host's clock.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
/// Identifies a query or a part; chosen by the host, never reused.
pub type RequestId = u64;
/// Identifies a server; chosen by the host.
pub type ServerId = u32;

/// A server's state on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerStatus {
    /// May be sent parts.
    #[default]
    Ready,
    /// Completes outstanding parts, and is sent no more.
    Draining,
    /// Removed.
    Removed,
}

/// A server on the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// When its process last started; 0 if that was long ago.
    pub started_at: Millis,
    /// Its zone, by index.
    pub zone: u32,
    /// Its cell, which determines the shards it holds.
    pub cell: u32,
    /// Its state.
    pub status: ServerStatus,
}

/// How the entries of a list event are to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list: servers that are absent are gone.
    Complete,
    /// The complete list as stored before a restart, possibly out of date.
    Restored,
    /// A call for the list failed or the subscription broke; no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server responded with an error; the attempt may have run.
    Failure,
    /// Rejected before it ran: the server is full, or draining.
    Overloaded,
    /// No response in time; it may still run.
    TimedOut,
    /// No connection could be opened; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    /// Withdrawn by the aggregator; it may have run.
    Withdrawn,
    /// Never sent.
    Void,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Overloaded | Self::Unreachable | Self::Void)
    }
}

/// Something that has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the list of servers, or its failure.
    ServerList {
        /// How to read the entries.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A query has arrived; its parts follow in the same turn.
    Query {
        /// Its id.
        id: RequestId,
        /// The number that its parts repeat.
        number: u64,
        /// Its class, by index.
        class: usize,
        /// Its tenant, by index.
        tenant: Option<usize>,
        /// When the client abandons this attempt at the query.
        deadline: Millis,
        /// How many parts its first step has.
        parts: u32,
        /// Whether the client marks it as a repeat.
        repeated: bool,
    },
    /// A part of a query, of its first or second step.
    Part {
        /// Its id.
        id: RequestId,
        /// The number of its query.
        number: u64,
        /// Its shard.
        shard: u32,
        /// Its weight; those of a step add up to 1.
        weight: f64,
        /// A rough estimate of its work, where there is one.
        cost_ms: Option<Millis>,
    },
    /// An attempt ended; exactly one for each [`Action::Send`].
    AttemptEnded {
        /// The part.
        part: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Time since it was sent.
        elapsed_ms: Millis,
        /// How it ended.
        outcome: Outcome,
        /// The server's load report, where one came along.
        report: Vec<f64>,
    },
    /// The result of a health check.
    ProbeResult {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed_ms: Millis,
        /// The server's load report, where one came along.
        report: Vec<f64>,
    },
    /// A timer fell due.
    Timer {
        /// As given in [`Action::Timer`].
        token: u64,
    },
    /// The number of aggregators has changed: two processes of one host count twice while both serve.
    Aggregators {
        /// How many.
        count: u32,
    },
    /// This process is shutting down, and its successor, with the same index, may already serve.
    ShuttingDown,
    /// The client of a query has disconnected.
    ClientGone {
        /// The query.
        query: RequestId,
    },
    /// The replicas of a shard. After the first of these events, the ring of cells is no longer used.
    ShardReplicas {
        /// The shard.
        shard: u32,
        /// Its replicas; none once the shard no longer exists.
        servers: Vec<ServerId>,
    },
    /// The shard of a part no longer exists: its successors take the part's place, each with the part's attempts. Sent while
    /// none of these is outstanding; the first attempt of each successor has the number that the part's next would have had.
    SuccessorParts {
        /// The part.
        part: RequestId,
        /// Its successors; their weights add up to its own.
        successors: Vec<SuccessorPart>,
    },
}

/// A part that takes the place of another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuccessorPart {
    /// Its id.
    pub id: RequestId,
    /// Its shard.
    pub shard: u32,
    /// Its weight.
    pub weight: f64,
}

/// Why a query is given up. Each reason has a counter in the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// As many parts are outstanding as the concurrency limit allows.
    OverLimit,
    /// A shard has only replicas that are ejected.
    NoHealthyReplica,
    /// A shard is too slow for the latency target of the class.
    Saturated,
    /// The client waits less than parts usually take.
    DeadlineTooShort,
    /// No server on the list holds its shards.
    NoReplicaListed,
    /// Too many parts can no longer be served.
    PartsLost,
    /// What is missing would come too late to have any value.
    TooLate,
}

/// Something that the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a part are numbered from 0 in the order of these actions.
    Send {
        /// The part.
        part: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out for the attempt.
        timeout_ms: Millis,
    },
    /// Close the idle connections to a server, so that the next attempt opens a new one.
    CloseIdleConnections {
        /// The server.
        server: ServerId,
    },
    /// Stop waiting for an attempt; its outcome follows: [`Outcome::Withdrawn`], unless another is already on its way.
    Withdraw {
        /// The part.
        part: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
    },
    /// Answer a query from the parts received; final, unless a second step follows.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer is complete.
        is_complete: bool,
    },
    /// Final answer: rejected; a repeat would do no harm.
    Reject {
        /// The query.
        query: RequestId,
        /// When the client should repeat the query; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Count why the query that the next action ends is given up.
    ReportRejection {
        /// The query.
        query: RequestId,
        /// Why.
        reason: RejectionReason,
    },
    /// Final answer: failed; it is not known whether it took effect.
    Fail {
        /// The query.
        query: RequestId,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// Set a timer.
    Timer {
        /// From now.
        wait_ms: Millis,
        /// Comes back in [`Event::Timer`].
        token: u64,
    },
}
