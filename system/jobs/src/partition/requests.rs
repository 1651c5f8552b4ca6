//! Requests of clients, and what the head decides about those that write: from the state alone, without changing anything.

use gingerledge_wire::{DriverTerm, JobId, JobsRequest, JobsResponse, PartialText, ResultRecord};

use crate::store::{Caller, Command, Job, Store};

/// A request of a client (an edge) to one partition.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Who gets the response.
    pub caller: Caller,
    /// The epoch of the newest view of the partition that the client knows.
    pub epoch: u64,
    /// What it requests.
    pub body: JobsRequest,
}

impl ClientRequest {
    /// Whether the tail serves it; all others are served by the head.
    pub(super) fn is_for_tail(&self) -> bool {
        matches!(self.body, JobsRequest::ReadResults { .. } | JobsRequest::ReadItemBody { .. })
    }
}

/// What a partition may still accept, within the bounds of the whole backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes of batch jobs.
    pub state_bytes: u64,
    /// Whether the disk keeps up with the writes.
    pub is_disk_ready: bool,
}

/// What the head does about a request that writes.
#[derive(Debug)]
pub(super) enum WriteDecision {
    /// Respond: nothing has to be written, or it can't be now.
    Respond(JobsResponse),
    /// Propose a command; the caller gets the response once it is committed.
    Propose(Command),
    /// The same change is pending already, and its outcome is sent to this caller too.
    AwaitPending,
}

impl WriteDecision {
    /// Proposes a command, unless the response is known already or the disk does not keep up.
    fn new(known: Option<JobsResponse>, capacity: Capacity, command: Command) -> Self {
        match known {
            Some(response) => Self::Respond(response),
            None if capacity.is_disk_ready => Self::Propose(command),
            None => Self::Respond(JobsResponse::Unavailable),
        }
    }
}

/// A driver appends results.
pub(super) fn decide_append(
    store: &Store,
    capacity: Capacity,
    job: JobId,
    term: DriverTerm,
    results: Vec<ResultRecord>,
) -> WriteDecision {
    let known = store.job(&job).and_then(|known| known_append_response(known, term, &results));
    WriteDecision::new(known, capacity, Command::AppendResults { job, term, results })
}

/// A driver saves texts of items that have no result yet.
pub(super) fn decide_checkpoint(
    store: &Store,
    capacity: Capacity,
    job: JobId,
    term: DriverTerm,
    texts: Vec<PartialText>,
) -> WriteDecision {
    let rejected = store.job(&job).and_then(|known| rejection(known, term));
    let bytes = texts.iter().map(|text| text.data.len() as u64).sum::<u64>();
    let is_too_large = bytes > capacity.state_bytes;
    let known = rejected.or(is_too_large.then_some(JobsResponse::CapacityExceeded));
    WriteDecision::new(known, capacity, Command::SaveCheckpoint { job, term, texts })
}

/// A client ends a batch job.
pub(super) fn decide_end(store: &Store, capacity: Capacity, job: JobId) -> WriteDecision {
    let is_ended = store.job(&job).is_some_and(Job::is_ended);
    WriteDecision::new(is_ended.then_some(JobsResponse::Ended), capacity, Command::End { job })
}

/// The response to an edge that is not the driver any more.
fn rejection(job: &Job, term: DriverTerm) -> Option<JobsResponse> {
    if job.is_ended() {
        return Some(JobsResponse::Ended);
    }
    (term < job.term()).then_some(JobsResponse::Fenced)
}

/// The response to results that need not be written: the term is older, the batch job is ended, or all items have results.
fn known_append_response(job: &Job, term: DriverTerm, results: &[ResultRecord]) -> Option<JobsResponse> {
    let rejected = rejection(job, term);
    if rejected.is_some() {
        return rejected;
    }
    let is_complete = results.iter().all(|result| job.has_result(result.item));
    (is_complete && term == job.term()).then_some(JobsResponse::Appended)
}
