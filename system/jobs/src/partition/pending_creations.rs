//! Batch jobs whose creation has been proposed by the head and is not yet applied. Each creation is proposed only once, even if
//! several clients submit the same batch job in the meantime.

use std::collections::BTreeMap;
use std::sync::Arc;

use gingerledge_wire::{JobId, JobRecord, JobsResponse};

use super::requests::{Capacity, WriteDecision};
use crate::store::{record_bytes, Caller, Command, EdgeProcess, Outcome, Store};

/// Maximum number of callers stored for one batch job. Callers beyond it get no response and repeat their requests.
const MAX_CALLERS: usize = 8;

/// A creation that is proposed and not yet applied.
#[derive(Debug)]
struct PendingCreation {
    /// Bytes reserved in the memory budget.
    bytes: u64,
    /// Callers that submitted the batch job after the first one.
    callers: Vec<Caller>,
}

/// All pending creations of a partition; empty if the replica is not the head.
#[derive(Debug)]
pub(super) struct PendingCreations {
    reserved_bytes_per_result: u64,
    by_job: BTreeMap<JobId, PendingCreation>,
    bytes: u64,
}

impl PendingCreations {
    pub(super) fn new(reserved_bytes_per_result: u64) -> Self {
        Self { reserved_bytes_per_result, by_job: BTreeMap::new(), bytes: 0 }
    }

    /// Total bytes reserved in the memory budget.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Decides about a batch job that a client submits. If the decision is to propose the creation, its bytes are reserved until
    /// [`Self::remove`] is called.
    pub(super) fn admit(
        &mut self,
        store: &Store,
        capacity: Capacity,
        caller: Caller,
        job: Arc<JobRecord>,
    ) -> WriteDecision {
        if let Some(existing) = store.job(&job.id) {
            let driver = existing.needs_driver().then(|| (existing.driver().incarnation, existing.term()));
            return WriteDecision::Respond(Outcome::Created { driver }.response(caller.edge));
        }
        if self.join_pending(&job.id, caller) {
            return WriteDecision::AwaitPending;
        }
        let bytes = record_bytes(&job) + job.items.len() as u64 * self.reserved_bytes_per_result;
        if bytes > capacity.state_bytes {
            return WriteDecision::Respond(JobsResponse::CapacityExceeded);
        }
        if !capacity.is_disk_ready {
            return WriteDecision::Respond(JobsResponse::Unavailable);
        }
        self.insert(job.id.clone(), bytes);
        let edge = EdgeProcess { incarnation: caller.edge, address: caller.reply_to };
        WriteDecision::Propose(Command::Create { job, edge })
    }

    /// Removes a creation that has been applied or rejected. Returns the callers that submitted it after the first one.
    pub(super) fn remove(&mut self, job: &str) -> Vec<Caller> {
        let Some(creation) = self.by_job.remove(job) else { return Vec::new() };
        self.bytes -= creation.bytes;
        creation.callers
    }

    /// Removes all creations. Called when the replica is no longer the head; the callers get no response and repeat their requests.
    pub(super) fn clear(&mut self) {
        self.by_job.clear();
        self.bytes = 0;
    }

    fn insert(&mut self, job: JobId, bytes: u64) {
        self.bytes += bytes;
        self.by_job.insert(job, PendingCreation { bytes, callers: Vec::new() });
    }

    /// Adds a caller to the pending creation of a batch job; returns whether there is one.
    fn join_pending(&mut self, job: &str, caller: Caller) -> bool {
        let Some(creation) = self.by_job.get_mut(job) else { return false };
        if !creation.callers.contains(&caller) && creation.callers.len() < MAX_CALLERS {
            creation.callers.push(caller);
        }
        true
    }
}
