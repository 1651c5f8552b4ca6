//! Batch jobs whose creation has been proposed by the head and is not applied yet: each is proposed once, however many clients
//! submit it meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;

use gingerledge_wire::{JobId, JobRecord, JobsResponse};

use super::requests::{Capacity, WriteDecision};
use crate::store::{record_bytes, Caller, Command, EdgeProcess, Outcome, Store};

/// Bounds the callers remembered for one batch job; clients repeat their requests anyway.
const MAX_CALLERS: usize = 8;

#[derive(Debug)]
struct PendingCreation {
    /// Reserved in the memory budget.
    bytes: u64,
    /// Those that submitted the batch job after the first.
    callers: Vec<Caller>,
}

/// All pending creations of a partition; empty where the replica is not the head.
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

    /// Bytes reserved in the memory budget.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// A client submits a batch job. If the creation is to be proposed, its bytes are reserved until [`Self::remove`].
    pub(super) fn admit(
        &mut self,
        store: &Store,
        capacity: Capacity,
        caller: Caller,
        job: Arc<JobRecord>,
    ) -> WriteDecision {
        if let Some(known) = store.job(&job.id) {
            let driver = known.needs_driver().then(|| (known.driver().incarnation, known.term()));
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

    /// The creation is applied, or won't be. Returns the callers that joined it.
    pub(super) fn remove(&mut self, job: &str) -> Vec<Caller> {
        let Some(creation) = self.by_job.remove(job) else { return Vec::new() };
        self.bytes -= creation.bytes;
        creation.callers
    }

    /// The replica is not the head any more; the callers get no response and repeat their requests.
    pub(super) fn clear(&mut self) {
        self.by_job.clear();
        self.bytes = 0;
    }

    fn insert(&mut self, job: JobId, bytes: u64) {
        self.bytes += bytes;
        self.by_job.insert(job, PendingCreation { bytes, callers: Vec::new() });
    }

    /// Adds a caller to a pending creation; returns whether there is one.
    fn join_pending(&mut self, job: &str, caller: Caller) -> bool {
        let Some(creation) = self.by_job.get_mut(job) else { return false };
        if !creation.callers.contains(&caller) && creation.callers.len() < MAX_CALLERS {
            creation.callers.push(caller);
        }
        true
    }
}
