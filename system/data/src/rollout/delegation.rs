//! Delegation: an edge that carries as many streams as its processor admits passes a batch job that was submitted to it on to another edge.
//!
//! The delegate drives the batch job under the term that this edge was granted, and renews the driver lease; this edge never starts it
//! under that term. For the head of the partition the driver is still this edge: it replaces the driver if this edge ends, or
//! if nobody renews in time, and the term fences whoever drove before.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, Envelope, JobId, JobRecord, JobsMessage, Role};

use super::driver::Assignment;
use super::job_route::max_streams;
use super::plan::Groups;
use crate::Shared;

/// The most delegations that are remembered, the newest ones.
const MAX_DELEGATIONS: usize = 256;

/// A batch job that another edge drives for this one.
#[derive(Clone, Debug)]
struct Delegation {
    job: JobId,
    term: DriverTerm,
    delegate: SocketAddr,
}

/// The batch jobs that were passed on, so that none is started here under the same term.
#[derive(Default)]
pub(super) struct Delegations {
    recent: RefCell<VecDeque<Delegation>>,
}

impl Delegations {
    /// The edge that drives a batch job for this one under this term.
    pub(super) fn delegate_of(&self, job: &str, term: DriverTerm) -> Option<SocketAddr> {
        let recent = self.recent.borrow();
        let known = recent.iter().find(|delegation| delegation.job == job && delegation.term == term);
        known.map(|delegation| delegation.delegate)
    }

    fn record(&self, job: &str, term: DriverTerm, delegate: SocketAddr) {
        let mut recent = self.recent.borrow_mut();
        if recent.len() >= MAX_DELEGATIONS {
            recent.pop_front();
        }
        recent.push_back(Delegation { job: job.to_owned(), term, delegate });
    }
}

/// Passes a batch job that was submitted here on to another edge of this zone, if this edge drives others and carries too many streams
/// with this one. Returns whether another edge drives it now.
pub(super) fn delegate(shared: &Shared, assignment: &Assignment, age: Duration) -> bool {
    let Assignment { job, term, .. } = assignment;
    let delegations = &shared.rollout.delegations;
    if delegations.delegate_of(&job.id, *term).is_some() {
        return true;
    }
    if shared.rollout.jobs.is_running(&job.id) || has_capacity_for(shared, job) {
        return false;
    }
    let Some(delegate) = fastrand::choice(other_edges_of_zone(shared)) else { return false };
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

/// Whether this edge drives nothing else, or carries the streams of one more batch job.
fn has_capacity_for(shared: &Shared, job: &JobRecord) -> bool {
    let carried = shared.rollout.jobs.desired_items_left();
    carried == 0 || carried + Groups::new(job).desired_items() <= max_streams(shared) as usize
}

fn other_edges_of_zone(shared: &Shared) -> Vec<SocketAddr> {
    let zone = shared.zone();
    shared.registry(|registry| {
        let others = registry.nodes().filter(|node| {
            node.role == Role::Edge && node.zone == zone && node.incarnation != shared.incarnation
        });
        others.map(|node| node.address).collect()
    })
}
