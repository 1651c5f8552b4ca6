//! Messages between edges and backends, and the records of batch jobs.
//!
//! An edge sends [`JobsMessage::Request`] to the head or the tail of a partition, by the newest chain that it knows, and repeats it
//! until a response other than [`JobsResponse::Unavailable`] arrives or it gives up. All requests are idempotent. The head assigns
//! drivers by messages of its own, which need no response: the driver confirms them by renewing its lease.
//!
//! Replicas store these records too: their encoding is that of the disks (`gingerledge_jobs::store`).

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::stable_hash;

/// Number of partitions of the batch jobs; fixed, since [`partition_of`] depends on it.
pub const PARTITION_COUNT: u16 = 64;

/// The id of a batch job, chosen by its trainer.
pub type JobId = String;
/// Term of a batch job's driver: 1 for the first, and one more for each next driver. Requests with an older term are fenced.
pub type DriverTerm = u64;

/// The partition of a batch job.
#[must_use]
pub fn partition_of(job: &str) -> u16 {
    (stable_hash(job) % u64::from(PARTITION_COUNT)) as u16
}

/// A batch job as backends store it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its id, unique in its scope.
    pub id: JobId,
    /// The host to which it was submitted.
    pub host: String,
    /// The path to which it was submitted; each driver looks up the route of host and path in its present configuration.
    pub path: String,
    /// The trainer's step, from 0.
    pub step: u64,
    /// Name of the model that generates the texts.
    pub model: String,
    /// The oldest permitted version of the weights.
    pub min_version: u64,
    /// How many complete groups the trainer waits for.
    pub desired_groups: u64,
    /// Its items, in the trainer's order.
    pub items: Vec<ItemRecord>,
}

/// One item of a batch job as backends store it: a request for one generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Its id, unique in its scope.
    pub id: String,
    /// Path of the request to a store.
    pub path: String,
    /// Headers of the request: (name, value).
    pub headers: Vec<(String, String)>,
    /// The body, decoded from base64.
    pub body: Vec<u8>,
    /// Tokens of the prompt plus the maximum of generated tokens.
    pub tokens: u64,
    /// Its group, whose items share a prompt; empty if none.
    pub group: String,
    /// The reward call for its text, if any.
    pub scoring: Option<ScoringRecord>,
}

/// A reward call as backends store it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoringRecord {
    /// Its id, unique in its scope.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    /// Path of the call, which selects the route too.
    pub path: String,
    /// The body, decoded from base64.
    pub body: Vec<u8>,
}

/// One result as backends store it. Its position is its index among the results of the batch job, and never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResultRecord {
    /// The index of its item in the batch job.
    pub item: u32,
    /// Whether the item is completed; else it is abandoned.
    pub completed: bool,
    /// The data of all events, separated by line feeds.
    pub text: Vec<u8>,
    /// Versions of the weights that generated it.
    pub versions: Vec<u64>,
    /// The stamp in the response of the reward call; empty if there was none.
    pub score: String,
}

/// A part of the text of an item that has no result yet: the checkpoint that its driver saves, and the next driver continues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialText {
    /// The index of the item in the batch job.
    pub item: u32,
    /// Drawn at random whenever a text starts from its first event; parts of different origins are never joined.
    pub origin: u64,
    /// The id of the event that this part follows; none if it is the start of the text.
    pub previous_event_id: Option<u64>,
    /// The id of the last event in it.
    pub last_event_id: u64,
    /// The data of its events as in the text, with the line feed before the first event unless it is the start of the text.
    pub data: Vec<u8>,
    /// The versions of the weights that generated the text up to here.
    pub versions: Vec<u64>,
    /// Whether its last event is the last one of all.
    pub is_complete: bool,
}

/// A request of an edge to a backend; the head or the tail serves it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobsRequest {
    /// Create a batch job (head). If it is new, the sender becomes its driver. Response: [`JobsResponse::Created`].
    CreateJob {
        /// The batch job.
        job: Arc<JobRecord>,
    },
    /// Append results (head), from the driver. Those of items that have one already are ignored. Response:
    /// [`JobsResponse::Appended`].
    AppendResults {
        /// The batch job.
        job: JobId,
        /// The driver's term.
        term: DriverTerm,
        /// The results.
        results: Vec<ResultRecord>,
    },
    /// Save texts of items without result, for the next driver (head), from the driver. Response: [`JobsResponse::Appended`].
    SaveCheckpoint {
        /// The batch job.
        job: JobId,
        /// The driver's term.
        term: DriverTerm,
        /// The parts.
        texts: Vec<PartialText>,
    },
    /// End a batch job (head). Response: [`JobsResponse::Ended`].
    EndJob {
        /// The batch job.
        job: JobId,
    },
    /// Read results (tail). Response: [`JobsResponse::Results`].
    ReadResults {
        /// The batch job.
        job: JobId,
        /// The first position to read.
        start_after: u64,
        /// How long to wait if there is none, in milliseconds; the backend bounds it.
        wait_ms: u64,
        /// Bounds the bytes of results; the backend has a bound of its own. At least one result is sent if there is one.
        max_bytes: u64,
    },
    /// Read the body of an item without result (tail). Response: [`JobsResponse::ItemBody`].
    ReadItemBody {
        /// The batch job.
        job: JobId,
        /// The item's id.
        item: String,
    },
    /// Renew the driver leases of the sender in this partition (head). Response: [`JobsResponse::Renewed`].
    RenewDriverLeases {
        /// Batch jobs with the driver's terms.
        jobs: Vec<(JobId, DriverTerm)>,
    },
}

/// State of a driver lease after a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DriverLeaseState {
    /// The lease is renewed: the edge is the driver.
    Held,
    /// The batch job is ended, or all its items have results; the driver stops.
    Ended,
    /// Another edge is the driver, or is becoming it; this one stops.
    Fenced,
}

/// A response of a backend.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobsResponse {
    /// The batch job exists at the whole chain, by this request or an earlier one.
    Created {
        /// The term of the requesting edge if it is the driver; none if another is, or no driver is needed any more.
        driver_term: Option<DriverTerm>,
    },
    /// The results or texts are stored at the whole chain.
    Appended,
    /// The request has an older term than the batch job: the edge is not the driver any more.
    Fenced,
    /// The batch job is ended at the whole chain.
    Ended,
    /// Results from the requested position on.
    Results {
        /// Number of items of the batch job.
        total: u64,
        /// Results with their items' ids, by position.
        results: Vec<(String, ResultRecord)>,
        /// Whether the batch job is ended.
        ended: bool,
    },
    /// The body of an item that has no result yet.
    ItemBody(Vec<u8>),
    /// There is certainly no such batch job, or no such item without result.
    NotFound,
    /// States of the leases, in the order of the request.
    Renewed(Vec<DriverLeaseState>),
    /// This backend does not serve the request in its present role, or can't confirm its state. This message has changed nothing,
    /// but an earlier one of the same request may have. The edge retries, with a newer chain if it knows one.
    Unavailable,
    /// The memory budget is exhausted; this request has not been applied and won't be.
    CapacityExceeded,
}

/// One message between an edge and a backend.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobsMessage {
    /// From an edge to a backend.
    Request {
        /// The edge's number for the request; the response carries it.
        request: u64,
        /// Internal address of the edge, for the response.
        reply_to: SocketAddr,
        /// The edge's incarnation.
        edge: u64,
        /// Number of the partition.
        partition: u16,
        /// The epoch of the newest chain that the edge knows; a backend with an older one responds with `Unavailable`.
        epoch: u64,
        /// The request.
        body: JobsRequest,
    },
    /// From a backend to an edge.
    Response {
        /// The number of the request.
        request: u64,
        /// The response.
        body: JobsResponse,
    },
    /// From the head to an edge: it is the driver from now on. Sent again until the edge renews its lease.
    AssignDriver {
        /// The batch job.
        job: Arc<JobRecord>,
        /// The term.
        term: DriverTerm,
        /// Indices of the items that have results.
        items_with_results: Vec<u32>,
        /// Saved texts of items without result.
        texts: Vec<PartialText>,
        /// Lower bound of the batch job's age, in milliseconds.
        age_ms: u64,
    },
    /// From the head to the driver: the batch job is ended; running attempts are to be cancelled.
    StopDriver {
        /// The batch job.
        job: JobId,
        /// The term.
        term: DriverTerm,
    },
}
