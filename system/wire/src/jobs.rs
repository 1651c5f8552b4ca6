//! Messages between edges and backends, and the records of batch jobs.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::stable_hash;

/// How many partitions batch jobs are spread over.
pub const PARTITION_COUNT: u16 = 64;

/// The id of a batch job, as its trainer gave it.
pub type JobId = String;
/// Rises each time that a batch job gets another driver; a driver with an older one is refused.
pub type DriverTerm = u64;

/// The partition of a batch job.
pub fn partition_of(job: &str) -> u16 {
    (stable_hash(job) % u64::from(PARTITION_COUNT)) as u16
}

/// A batch job as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its id.
    pub id: JobId,
    /// The host that it was sent to.
    pub host: String,
    /// The path that it was sent to; host and path pick its route anew whenever it is driven.
    pub path: String,
    /// The trainer's step.
    pub step: u64,
    /// The model.
    pub model: String,
    /// The oldest version of weights allowed.
    pub min_version: u64,
    /// How many whole groups the trainer waits for.
    pub desired_groups: u64,
    /// Its items, in the trainer's order.
    pub items: Vec<ItemRecord>,
}

/// One item as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Its id.
    pub id: String,
    /// The path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// The decoded body.
    pub body: Vec<u8>,
    /// Tokens of the prompt and most out.
    pub tokens: u64,
    /// Its group.
    pub group: String,
    /// Its reward call.
    pub scoring: Option<ScoringRecord>,
}

/// A reward call as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoringRecord {
    /// Its id.
    pub id: String,
    /// The host whose route is taken.
    pub host: String,
    /// The path.
    pub path: String,
    /// The decoded body.
    pub body: Vec<u8>,
}

/// One result as it is kept; its position is its place in the list of its batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResultRecord {
    /// The index of its item in the batch job.
    pub item: u32,
    /// True: completed; false: abandoned.
    pub completed: bool,
    /// The data of all events, parted by line feeds.
    pub text: Vec<u8>,
    /// Versions of weights that made it.
    pub versions: Vec<u64>,
    /// The stamp of the reward call's success.
    pub score: String,
}

/// A part of the text of an item that has no result yet, as its driver saves it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialText {
    /// The index of the item in the batch job.
    pub item: u32,
    /// Drawn anew whenever a text begins from its first event; parts of different ones never come together.
    pub origin: u64,
    /// The id of the event that this part goes on after; none if the text begins with it.
    pub previous_event_id: Option<u64>,
    /// The id of the last event in it.
    pub last_event_id: u64,
    /// The data of its events as they stand in the text, with the line feed before the first one where the text goes on.
    pub data: Vec<u8>,
    /// The versions of the weights that made the text up to here.
    pub versions: Vec<u64>,
    /// Whether its last event is the last one of all.
    pub is_complete: bool,
}

/// What an edge asks of a backend.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobsRequest {
    /// Keep a batch job (head). The asking edge drives it if nobody does.
    CreateJob {
        /// The batch job.
        job: Arc<JobRecord>,
    },
    /// Keep results (head). Those of items that have one already are passed over.
    AppendResults {
        /// The batch job.
        job: JobId,
        /// The driver's term.
        term: DriverTerm,
        /// The results.
        results: Vec<ResultRecord>,
    },
    /// Keep parts of texts, for whoever drives the batch job next (head).
    SaveCheckpoint {
        /// The batch job.
        job: JobId,
        /// The driver's term.
        term: DriverTerm,
        /// The parts.
        texts: Vec<PartialText>,
    },
    /// End a batch job (head).
    EndJob {
        /// The batch job.
        job: JobId,
    },
    /// Read results (tail).
    ReadResults {
        /// The batch job.
        job: JobId,
        /// The first position wanted.
        start_after: u64,
        /// How long it may wait for one, in milliseconds.
        wait_ms: u64,
        /// The most bytes of results.
        max_bytes: u64,
    },
    /// The body of an item (tail).
    ReadItemBody {
        /// The batch job.
        job: JobId,
        /// The item's id.
        item: String,
    },
    /// The driver of batch jobs of this partition lives (head).
    RenewDriverLeases {
        /// Batch jobs with the driver's terms.
        jobs: Vec<(JobId, DriverTerm)>,
    },
}

/// What becomes of a driver's hold on a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DriverLeaseState {
    /// It still drives it.
    Held,
    /// The batch job is ended, or all results are there.
    Ended,
    /// Another drives it.
    Fenced,
}

/// A backend's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobsResponse {
    /// Kept by the whole chain, now or before. `drive` holds the asking edge's term where it is the driver.
    Created {
        /// The term under which the asking edge drives the batch job; none if another does or it has ended.
        driver_term: Option<DriverTerm>,
    },
    /// Results, or parts of texts: kept by the whole chain.
    Appended,
    /// The term is an older one.
    Fenced,
    /// The batch job is ended; the whole chain knows.
    Ended,
    /// Results from the position asked for.
    Results {
        /// Items of the batch job.
        total: u64,
        /// Results with their items' ids, by position.
        results: Vec<(String, ResultRecord)>,
        /// Whether the batch job is ended.
        ended: bool,
    },
    /// The body of an item that isn't listed yet.
    ItemBody(Vec<u8>),
    /// There is surely no such batch job, or no such item that isn't listed.
    NotFound,
    /// States of the batch jobs asked about, in order.
    Renewed(Vec<DriverLeaseState>),
    /// This backend is not the one to ask, or can't be sure now; nothing was changed by this message, but an earlier copy
    /// of the same request may have been taken.
    Unavailable,
    /// No room; this request was not taken and never will be.
    CapacityExceeded,
}

/// One message between an edge and a backend.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobsMessage {
    /// From an edge.
    Request {
        /// Chosen by the edge; the answer carries it.
        request: u64,
        /// Where the answer goes.
        reply_to: SocketAddr,
        /// The edge's incarnation.
        edge: u64,
        /// The partition.
        partition: u16,
        /// The epoch of the partition's chain that the edge knows.
        epoch: u64,
        /// What is asked.
        body: JobsRequest,
    },
    /// From a backend.
    Response {
        /// From the question.
        request: u64,
        /// The answer.
        body: JobsResponse,
    },
    /// From the head: drive this batch job from now on. The edge shows by `Renew` that it does.
    AssignDriver {
        /// The batch job.
        job: Arc<JobRecord>,
        /// The term.
        term: DriverTerm,
        /// Items that have results.
        items_with_results: Vec<u32>,
        /// Texts so far of others.
        texts: Vec<PartialText>,
        /// How long the batch job has been kept, in milliseconds: at least that long.
        age_ms: u64,
    },
    /// From the head: stop what is under way for a batch job.
    StopDriver {
        /// The batch job.
        job: JobId,
        /// The term.
        term: DriverTerm,
    },
}
