//! The aggregator's interface: what it is told ([`Event`]) and what it asks
//! for ([`Action`]). Times and durations are milliseconds on the host's clock.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
/// Identifies a query or a part; chosen by the host, never reused.
pub type RequestId = u64;
/// Identifies a server; chosen by the host.
pub type ServerId = u32;

/// A server's state on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// May be sent work.
    #[default]
    Ready,
    /// Completes its work; to be sent nothing more.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// When its process last started; 0 means long ago.
    pub since: Millis,
    /// Its zone, by index.
    pub zone: u32,
    /// Its cell, which tells the shards it holds.
    pub cell: u32,
    /// Its state.
    pub status: Status,
}

/// How a list event is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list: who is absent is gone.
    Complete,
    /// The complete list as last held before a restart, possibly out of date.
    Remembered,
    /// A call for the list failed or the subscription broke; no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server answered with an error; it may have run.
    Failure,
    /// Turned away unseen: full, or draining.
    Overloaded,
    /// No answer in time; it may still run.
    TimedOut,
    /// No connection; it never ran.
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

/// Something the aggregator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the servers.
    List {
        /// How to read the entries.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A query arrived; its parts follow in the same turn.
    Query {
        /// Its id.
        id: RequestId,
        /// The number that its parts repeat.
        number: u64,
        /// Its class, by index.
        class: usize,
        /// Its tenant, by index.
        tenant: Option<usize>,
        /// When the client abandons this try.
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
        /// A rough idea of its work, where there is one.
        cost_ms: Option<Millis>,
    },
    /// An attempt ended; exactly one for each [`Action::Send`].
    Outcome {
        /// The part.
        part: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Time since it was sent.
        wait_ms: Millis,
        /// How it ended.
        outcome: Outcome,
        /// The server's load report, where one came along.
        report: Vec<f64>,
    },
    /// The result of a probe.
    ProbeResult {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        wait_ms: Millis,
        /// The server's load report, where one came along.
        report: Vec<f64>,
    },
    /// A timer fell due.
    Timer {
        /// As given in [`Action::Timer`].
        token: u64,
    },
    /// There are so many aggregators now: two processes of one host count twice while both serve.
    Aggregators {
        /// How many.
        count: u32,
    },
    /// This process is about to end, and another may serve in its place already, under the same number.
    Leaving,
    /// The client of a query has left.
    ClientGone {
        /// The query.
        query: RequestId,
    },
    /// Who holds a shard. From the first of these on the ring of cells counts no more.
    Holders {
        /// The shard.
        shard: u32,
        /// Its holders; none, once the shard is no more.
        servers: Vec<ServerId>,
    },
    /// A part's shard is no more: others take its place, each with what was tried for it. Told while none of the
    /// part's attempts is out; the first attempt of each heir has the number that the part's next would have had.
    SuccessorParts {
        /// The part.
        part: RequestId,
        /// What takes its place; their weights make up its own.
        successors: Vec<SuccessorPart>,
    },
}

/// A part in the place of another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuccessorPart {
    /// Its id.
    pub id: RequestId,
    /// Its shard.
    pub shard: u32,
    /// Its weight.
    pub weight: f64,
}

/// Why a query is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// As many parts are out as the learned limit allows.
    OverLimit,
    /// A shard has no replica that is trusted.
    NoHealthyReplica,
    /// A shard is too slow for the class's aim.
    Saturated,
    /// Its client waits less than its parts usually take.
    DeadlineTooShort,
    /// No server on the list holds its shards.
    NoReplicaListed,
    /// Too many parts can't be had any more.
    PartsLost,
    /// What is missing would come too late to be worth anything.
    TooLate,
}

/// Something the host is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. Attempts of a part count from 0 in the order of their sends.
    Send {
        /// The part.
        part: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out for the attempt.
        timeout_ms: Millis,
    },
    /// Close the idle connections to a server, so that the next send opens a new one.
    Release {
        /// The server.
        server: ServerId,
    },
    /// Give up waiting for an attempt; its outcome follows, [`Outcome::Withdrawn`] unless another is under way.
    Withdraw {
        /// The part.
        part: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
    },
    /// Answer a query from the parts that are in; final, unless a second step follows.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer is whole.
        whole: bool,
    },
    /// Final answer: refused; a repeat would do no harm.
    Refuse {
        /// The query.
        query: RequestId,
        /// Advice on when to come back; 0 for none.
        retry_after_ms: Millis,
    },
    /// Why the query that the next action ends is given up; for the host's counters, nothing is to be done.
    ReportRejection {
        /// The query.
        query: RequestId,
        /// Why.
        reason: RejectionReason,
    },
    /// Final answer: failed, with no word on its effect.
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
