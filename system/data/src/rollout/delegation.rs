//! Delegation: an edge that has as many streams as its processor can handle passes a batch job that was submitted to it on to another
//! edge, the delegate.
//!
//! The delegate drives the batch job under the term that this edge was granted, and renews the driver lease; this edge never starts it
//! under that term. The head of the partition still regards this edge as the driver. It replaces the driver if this edge ends, or if the
//! lease is not renewed in time; the new term then fences the previous driver.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, Envelope, JobId, JobRecord, JobsMessage, Role};

use super::driver::Assignment;
use super::job_route::max_streams;
use super::plan::Groups;
use crate::Shared;

/// The maximum number of delegations that are remembered; the oldest is dropped first.
const MAX_DELEGATIONS: usize = 256;

/// A batch job that another edge drives for this one.
#[derive(Clone, Debug)]
struct Delegation {
    job: JobId,
    term: DriverTerm,
    delegate: SocketAddr,
}

/// The batch jobs that were delegated recently, so that none is started on this edge under the same term.
#[derive(Default)]
pub(super) struct Delegations {
    recent: RefCell<VecDeque<Delegation>>,
}

impl Delegations {
    /// The address of the edge to which a batch job was delegated under this term; `None` if it was not delegated.
    pub(super) fn delegate_of(&self, job: &str, term: DriverTerm) -> Option<SocketAddr> {
        let recent = self.recent.borrow();
        let delegation = recent.iter().find(|delegation| delegation.job == job && delegation.term == term);
        delegation.map(|delegation| delegation.delegate)
    }

    fn record(&self, job: &str, term: DriverTerm, delegate: SocketAddr) {
        let mut recent = self.recent.borrow_mut();
        if recent.len() >= MAX_DELEGATIONS {
            recent.pop_front();
        }
        recent.push_back(Delegation { job: job.to_owned(), term, delegate });
    }
}

/// Delegates a batch job that was submitted to this edge to another edge of the zone, if this edge drives other batch jobs and would
/// exceed its maximum number of streams with this one. Returns whether another edge drives the batch job now.
///
/// `age` is the time since this edge sent the batch job to its partition.
pub(super) fn delegate(shared: &Shared, assignment: &Assignment, age: Duration) -> bool {
    let Assignment { job, term, .. } = assignment;
    let delegations = &shared.rollout.delegations;
    if delegations.delegate_of(&job.id, *term).is_some() {
        return true;
    }
    if shared.rollout.jobs.is_running(&job.id) || has_capacity_for(shared, job) {
        return false;
    }
    let Some(delegate) = fastrand::choice(other_edges_in_zone(shared)) else { return false };
    log::info!(job = job.id.as_str(), delegate:%; "batch job delegated");
    delegations.record(&job.id, *term, delegate);
    let message = JobsMessage::AssignDriver {
        job: job.clone(),
        term: *term,
        items_with_results: Vec::new(),
        texts: Vec::new(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    };
    shared.send(delegate, &Envelope::Jobs(message));
    true
}

/// Whether this edge has capacity for the streams of one more batch job, or needs none for other batch jobs.
fn has_capacity_for(shared: &Shared, job: &JobRecord) -> bool {
    let needed_streams = shared.rollout.jobs.desired_items_left();
    needed_streams == 0 || needed_streams + Groups::new(job).desired_items() <= max_streams(shared) as usize
}

fn other_edges_in_zone(shared: &Shared) -> Vec<SocketAddr> {
    let zone = shared.zone();
    shared.registry(|registry| {
        let others = registry.nodes().filter(|node| {
            node.role == Role::Edge && node.zone == zone && node.incarnation != shared.incarnation
        });
        others.map(|node| node.address).collect()
    })
}
