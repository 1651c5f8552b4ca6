//! Requests of clients, and the decisions of the head about write requests. Decisions depend on the state and do not change it.

use gingerledge_wire::{DriverTerm, JobId, JobsRequest, JobsResponse, PartialText, ResultRecord};

use crate::store::{Caller, Command, Job, Store};

/// A request of a client (an edge) to one partition.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The client that receives the response.
    pub caller: Caller,
    /// The epoch of the newest view of the partition that the client knows.
    pub epoch: u64,
    /// The request itself.
    pub body: JobsRequest,
}

impl ClientRequest {
    /// Whether the request is served by the tail; all others are served by the head.
    pub(super) fn is_for_tail(&self) -> bool {
        matches!(self.body, JobsRequest::ReadResults { .. } | JobsRequest::ReadItemBody { .. })
    }
}

/// Remaining capacity for writes of one partition, within the limits of the whole backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes that further batch jobs may take up in memory.
    pub state_bytes: u64,
    /// Whether the disk keeps up with the writes.
    pub is_disk_ready: bool,
}

/// Decision of the head about a write request.
#[derive(Debug)]
pub(super) enum WriteDecision {
    /// Respond immediately: nothing has to be written, or nothing can be written at present.
    Respond(JobsResponse),
    /// Propose a command; the caller receives the response once the command is committed.
    Propose(Command),
    /// Wait for the same change, which is already pending; its outcome is sent to this caller too.
    AwaitPending,
}

impl WriteDecision {
    /// Decides to propose a command, unless the response is already known or the disk does not keep up.
    fn new(known_response: Option<JobsResponse>, capacity: Capacity, command: Command) -> Self {
        match known_response {
            Some(response) => Self::Respond(response),
            None if capacity.is_disk_ready => Self::Propose(command),
            None => Self::Respond(JobsResponse::Unavailable),
        }
    }
}

/// Decides about results that a driver appends.
pub(super) fn decide_append(
    store: &Store,
    capacity: Capacity,
    job: JobId,
    term: DriverTerm,
    results: Vec<ResultRecord>,
) -> WriteDecision {
    let known_response = store.job(&job).and_then(|existing| known_append_response(existing, term, &results));
    WriteDecision::new(known_response, capacity, Command::AppendResults { job, term, results })
}

/// Decides about texts that a driver saves of items without a result.
pub(super) fn decide_checkpoint(
    store: &Store,
    capacity: Capacity,
    job: JobId,
    term: DriverTerm,
    texts: Vec<PartialText>,
) -> WriteDecision {
    let rejected = store.job(&job).and_then(|existing| rejection(existing, term));
    let bytes = texts.iter().map(|text| text.data.len() as u64).sum::<u64>();
    let is_too_large = bytes > capacity.state_bytes;
    let known_response = rejected.or(is_too_large.then_some(JobsResponse::CapacityExceeded));
    WriteDecision::new(known_response, capacity, Command::SaveCheckpoint { job, term, texts })
}

/// Decides about the end of a batch job that a client requests.
pub(super) fn decide_end(store: &Store, capacity: Capacity, job: JobId) -> WriteDecision {
    let is_ended = store.job(&job).is_some_and(Job::is_ended);
    WriteDecision::new(is_ended.then_some(JobsResponse::Ended), capacity, Command::End { job })
}

/// The response to an edge that is no longer the driver; `None` if it may still be the driver.
fn rejection(job: &Job, term: DriverTerm) -> Option<JobsResponse> {
    if job.is_ended() {
        return Some(JobsResponse::Ended);
    }
    (term < job.term()).then_some(JobsResponse::Fenced)
}

/// The response to results that need not be written: the term is older, the batch job is ended, or all their items have results
/// already.
fn known_append_response(job: &Job, term: DriverTerm, results: &[ResultRecord]) -> Option<JobsResponse> {
    let rejected = rejection(job, term);
    if rejected.is_some() {
        return rejected;
    }
    let has_all_results = results.iter().all(|result| job.has_result(result.item));
    (has_all_results && term == job.term()).then_some(JobsResponse::Appended)
}
