//! Appends results at the head of a batch job's partition, in batches; each append is repeated until it is acknowledged.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{DriverLeaseState, DriverTerm, JobRecord, JobsRequest, JobsResponse, ResultRecord};

use super::backend_client::ChainMember;
use super::running_jobs::ExecutionKey;
use crate::Shared;

/// The time for which results are collected before they are appended together.
const BATCHING_DELAY: Duration = Duration::from_millis(20);
/// How long one request is repeated before the driver lease is checked again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// The backoff after a backend could not append the results, for example for lack of capacity, and while the driver lease is not valid.
const BACKOFF: Duration = Duration::from_millis(100);

/// The outcome of an append.
pub(super) enum AppendOutcome {
    /// The results are durable.
    Acknowledged,
    /// The batch job has ended, or has a driver of a later term: the execution has to stop.
    Stopped(DriverLeaseState),
}

/// Appends the results that an execution has collected, after the batching delay. While the driver lease is not valid, the append waits. It
/// is cancelled when the execution ends.
pub(super) async fn append_collected(
    shared: &Rc<Shared>,
    key: ExecutionKey,
    job: &JobRecord,
    term: DriverTerm,
) -> AppendOutcome {
    tokio::time::sleep(BATCHING_DELAY).await;
    let results = shared.rollout.jobs.take_results(key);
    append(shared, key, job, term, results).await
}

async fn append(
    shared: &Rc<Shared>,
    key: ExecutionKey,
    job: &JobRecord,
    term: DriverTerm,
    results: Vec<ResultRecord>,
) -> AppendOutcome {
    loop {
        if !shared.rollout.jobs.may_send(key, shared.now()) {
            tokio::time::sleep(BACKOFF).await;
            continue;
        }
        let body = JobsRequest::AppendResults { job: job.id.clone(), term, results: results.clone() };
        let backends = &shared.rollout.backends;
        let outcome = backends.request(shared, &job.id, ChainMember::Head, body, REQUEST_TIMEOUT).await;
        match outcome.response {
            Some(JobsResponse::Appended) => return AppendOutcome::Acknowledged,
            Some(JobsResponse::Fenced) => return AppendOutcome::Stopped(DriverLeaseState::Fenced),
            Some(JobsResponse::Ended) => return AppendOutcome::Stopped(DriverLeaseState::Ended),
            Some(_) => tokio::time::sleep(BACKOFF).await,
            None => {}
        }
    }
}
