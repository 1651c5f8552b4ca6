//! The driver leases of a partition's open batch jobs, as its head grants them.
//!
//! A driver lease lasts while its edge renews it. Leases are in the memory of the head only: a new head gives every driver the
//! whole time-out to renew (Gray & Cheriton 1989: a server that recovers waits out the leases that it may have granted). Safety
//! does not depend on them: a driver's writes carry its term, and the replicated state rejects those of older terms.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::{DriverLeaseState, DriverTerm, JobId};

use super::edges::Edges;
use crate::store::{EdgeProcess, Job, Store};

/// Bounds the drivers remembered as timed out, for one batch job.
const MAX_TIMED_OUT: usize = 16;

/// The lease of one batch job's driver.
#[derive(Debug)]
struct DriverLease {
    edge: EdgeProcess,
    term: DriverTerm,
    renewed_at: Duration,
    /// Whether the driver has renewed under this term.
    is_confirmed: bool,
    /// When this head last sent the assignment to the driver, if it did.
    assigned_at: Option<Duration>,
    /// Whether another driver has been proposed.
    is_replacing: bool,
    /// Incarnations of drivers that timed out one after the other, newest first; chosen again only when no other is left.
    timed_out: Vec<u64>,
}

/// Something that the head does about a driver lease.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum LeaseAction {
    /// Propose another driver.
    Reassign { job: JobId, term: DriverTerm, edge: EdgeProcess },
    /// Send the assignment once more: the driver has not renewed yet.
    ResendAssignment { job: JobId },
}

/// Time spans of driver leases.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseTimeouts {
    /// A driver that has not renewed for this long is replaced.
    pub driver: Duration,
    /// An assignment that its driver has not confirmed is sent again after this long.
    pub resend: Duration,
}

/// All driver leases of a partition; empty where the replica is not the head.
#[derive(Debug)]
pub(super) struct DriverLeases {
    timeouts: LeaseTimeouts,
    by_job: BTreeMap<JobId, DriverLease>,
}

impl DriverLeases {
    pub(super) fn new(timeouts: LeaseTimeouts) -> Self {
        Self { timeouts, by_job: BTreeMap::new() }
    }

    /// The replica has become the head: grants a whole lease to every driver.
    pub(super) fn restart(&mut self, now: Duration, store: &Store) {
        self.by_job.clear();
        for (id, job) in store.jobs() {
            self.update(now, id, job);
        }
    }

    /// The replica is not the head any more.
    pub(super) fn clear(&mut self) {
        self.by_job.clear();
    }

    /// Follows the newest state of a batch job. Returns whether its driver has to be sent the assignment.
    pub(super) fn update(&mut self, now: Duration, id: &str, job: &Job) -> bool {
        if !job.needs_driver() {
            self.by_job.remove(id);
            return false;
        }
        match self.by_job.get_mut(id) {
            Some(lease) if lease.term == job.term() => false,
            Some(lease) => {
                let timed_out = std::mem::take(&mut lease.timed_out);
                *lease = DriverLease { timed_out, ..DriverLease::new(now, job) };
                true
            }
            None => {
                self.by_job.insert(id.to_owned(), DriverLease::new(now, job));
                job.term() > 1
            }
        }
    }

    /// The batch job is ended or deleted.
    pub(super) fn remove(&mut self, id: &str) {
        self.by_job.remove(id);
    }

    /// The assignment is sent to the driver.
    pub(super) fn on_assignment_sent(&mut self, now: Duration, id: &str) {
        if let Some(lease) = self.by_job.get_mut(id) {
            lease.assigned_at = Some(now);
        }
    }

    /// The replica rejected the proposal of another driver.
    pub(super) fn on_reassignment_rejected(&mut self, id: &str) {
        if let Some(lease) = self.by_job.get_mut(id) {
            lease.is_replacing = false;
        }
    }

    /// Renews the lease of a driver. The chain must have confirmed `store` to be the newest state since the request came.
    pub(super) fn renew(
        &mut self,
        now: Duration,
        id: &str,
        term: DriverTerm,
        store: &Store,
    ) -> DriverLeaseState {
        let Some(job) = store.job(id) else { return DriverLeaseState::Fenced };
        if !job.needs_driver() {
            return DriverLeaseState::Ended;
        }
        match self.by_job.get_mut(id) {
            Some(lease) if lease.term == term && !lease.is_replacing => {
                lease.renewed_at = now;
                lease.is_confirmed = true;
                lease.timed_out.clear();
                DriverLeaseState::Held
            }
            _ => DriverLeaseState::Fenced,
        }
    }

    /// What has to be done about leases by now.
    pub(super) fn handle_timeout(&mut self, now: Duration, edges: &Edges) -> Vec<LeaseAction> {
        let timeouts = self.timeouts;
        let leases = self.by_job.iter_mut();
        leases.filter_map(|(id, lease)| lease.handle_timeout(now, timeouts, id, edges)).collect()
    }

    /// When [`DriverLeases::handle_timeout`] is to be called next.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.by_job.values().map(|lease| lease.next_timer(self.timeouts)).min()
    }
}

impl DriverLease {
    fn new(now: Duration, job: &Job) -> Self {
        Self {
            edge: job.driver(),
            term: job.term(),
            renewed_at: now,
            is_confirmed: false,
            assigned_at: None,
            is_replacing: false,
            timed_out: Vec::new(),
        }
    }

    fn handle_timeout(
        &mut self,
        now: Duration,
        timeouts: LeaseTimeouts,
        id: &str,
        edges: &Edges,
    ) -> Option<LeaseAction> {
        let successor = edges.successor(self.edge);
        let is_lost = now >= self.renewed_at + timeouts.driver || edges.has_ended(self.edge.incarnation);
        if (is_lost || successor.is_some()) && !self.is_replacing {
            return self.replace(now, timeouts, id, edges, successor);
        }
        let assigned_at = self.assigned_at.filter(|_| !self.is_confirmed && !self.is_replacing)?;
        (now >= assigned_at + timeouts.resend).then(|| {
            self.assigned_at = Some(now);
            LeaseAction::ResendAssignment { job: id.to_owned() }
        })
    }

    /// Chooses the next driver: the next incarnation of the same edge if there is one, or else another edge.
    fn replace(
        &mut self,
        now: Duration,
        timeouts: LeaseTimeouts,
        id: &str,
        edges: &Edges,
        successor: Option<EdgeProcess>,
    ) -> Option<LeaseAction> {
        let previous = self.edge.incarnation;
        if !self.timed_out.contains(&previous) {
            self.timed_out.truncate(MAX_TIMED_OUT - 1);
            self.timed_out.insert(0, previous);
        }
        let successor = successor.filter(|edge| !self.timed_out.contains(&edge.incarnation));
        let edge = successor.or_else(|| edges.choose(id, &self.timed_out)).or_else(|| {
            self.timed_out.clear();
            edges.choose(id, &[previous]).or_else(|| edges.choose(id, &[]))
        });
        let Some(edge) = edge else {
            // No edge is known yet: try again after a resend interval.
            self.renewed_at = now.saturating_sub(timeouts.driver) + timeouts.resend;
            return None;
        };
        self.is_replacing = true;
        Some(LeaseAction::Reassign { job: id.to_owned(), term: self.term + 1, edge })
    }

    fn next_timer(&self, timeouts: LeaseTimeouts) -> Duration {
        if self.is_replacing {
            return Duration::MAX;
        }
        let expiry = self.renewed_at + timeouts.driver;
        match self.assigned_at.filter(|_| !self.is_confirmed) {
            Some(assigned_at) => expiry.min(assigned_at + timeouts.resend),
            None => expiry,
        }
    }
}
