//! Driver leases of the open batch jobs of a partition, granted by the head of its chain.
//!
//! A driver lease is valid while its edge renews it. Leases are kept only in the memory of the head: a new head gives every driver
//! the full time-out to renew (Gray & Cheriton 1989: a recovering server waits until the leases that it may have granted have
//! expired). Safety does not depend on leases: a driver's writes carry its term, and the replicated state rejects writes of older
//! terms.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::{DriverLeaseState, DriverTerm, JobId};

use super::edges::Edges;
use crate::store::{EdgeProcess, Job, Store};

/// Maximum number of timed-out drivers stored for one batch job.
const MAX_TIMED_OUT_EDGES: usize = 16;

/// The lease of the driver of one batch job.
#[derive(Debug)]
struct DriverLease {
    edge: EdgeProcess,
    term: DriverTerm,
    renewed_at: Duration,
    /// Whether the driver has renewed its lease in this term.
    is_confirmed: bool,
    /// Time at which this head last sent the assignment to the driver, if it has sent one.
    assigned_at: Option<Duration>,
    /// Whether the assignment of another driver has been proposed.
    is_replacement_proposed: bool,
    /// Incarnations of consecutive drivers that have timed out, newest first. They are chosen again only if there is no other edge.
    timed_out_edges: Vec<u64>,
}

/// Action of the head that follows from a driver lease.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum LeaseAction {
    /// Propose the assignment of another driver.
    Reassign { job: JobId, term: DriverTerm, edge: EdgeProcess },
    /// Send the assignment again, because the driver has not renewed its lease yet.
    ResendAssignment { job: JobId },
}

/// Time-outs of driver leases.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseTimeouts {
    /// Time without a renewal after which a driver is replaced.
    pub driver_timeout: Duration,
    /// Interval at which an assignment is sent again until its driver confirms it by a renewal.
    pub resend_interval: Duration,
}

/// All driver leases of a partition; empty if the replica is not the head.
#[derive(Debug)]
pub(super) struct DriverLeases {
    timeouts: LeaseTimeouts,
    by_job: BTreeMap<JobId, DriverLease>,
}

impl DriverLeases {
    pub(super) fn new(timeouts: LeaseTimeouts) -> Self {
        Self { timeouts, by_job: BTreeMap::new() }
    }

    /// Grants a full lease to every driver. Called when the replica becomes the head.
    pub(super) fn restart(&mut self, now: Duration, store: &Store) {
        self.by_job.clear();
        for (id, job) in store.jobs() {
            self.update(now, id, job);
        }
    }

    /// Removes all leases. Called when the replica is no longer the head.
    pub(super) fn clear(&mut self) {
        self.by_job.clear();
    }

    /// Updates the lease to the newest state of a batch job. Returns whether the assignment must be sent to the driver.
    pub(super) fn update(&mut self, now: Duration, id: &str, job: &Job) -> bool {
        if !job.needs_driver() {
            self.by_job.remove(id);
            return false;
        }
        match self.by_job.get_mut(id) {
            Some(lease) if lease.term == job.term() => false,
            Some(lease) => {
                let timed_out_edges = std::mem::take(&mut lease.timed_out_edges);
                *lease = DriverLease { timed_out_edges, ..DriverLease::new(now, job) };
                true
            }
            None => {
                self.by_job.insert(id.to_owned(), DriverLease::new(now, job));
                job.term() > 1
            }
        }
    }

    /// Removes the lease of a batch job that is ended or deleted.
    pub(super) fn remove(&mut self, id: &str) {
        self.by_job.remove(id);
    }

    /// Records that the assignment is sent to the driver.
    pub(super) fn on_assignment_sent(&mut self, now: Duration, id: &str) {
        if let Some(lease) = self.by_job.get_mut(id) {
            lease.assigned_at = Some(now);
        }
    }

    /// Handles the rejection of a proposed driver by the replica, so that it is proposed again.
    pub(super) fn on_reassignment_rejected(&mut self, id: &str) {
        if let Some(lease) = self.by_job.get_mut(id) {
            lease.is_replacement_proposed = false;
        }
    }

    /// Renews the lease of a driver. The chain must have confirmed, after the request arrived, that `store` is the newest state.
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
            Some(lease) if lease.term == term && !lease.is_replacement_proposed => {
                lease.renewed_at = now;
                lease.is_confirmed = true;
                lease.timed_out_edges.clear();
                DriverLeaseState::Held
            }
            _ => DriverLeaseState::Fenced,
        }
    }

    /// Returns the actions that are due for all leases.
    pub(super) fn handle_timeout(&mut self, now: Duration, edges: &Edges) -> Vec<LeaseAction> {
        let timeouts = self.timeouts;
        let leases = self.by_job.iter_mut();
        leases.filter_map(|(id, lease)| lease.handle_timeout(now, timeouts, id, edges)).collect()
    }

    /// Time at which [`DriverLeases::handle_timeout`] must be called next.
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
            is_replacement_proposed: false,
            timed_out_edges: Vec::new(),
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
        let is_unavailable =
            now >= self.renewed_at + timeouts.driver_timeout || edges.has_ended(self.edge.incarnation);
        if (is_unavailable || successor.is_some()) && !self.is_replacement_proposed {
            return self.replace(now, timeouts, id, edges, successor);
        }
        let assigned_at = self.assigned_at.filter(|_| !self.is_confirmed && !self.is_replacement_proposed)?;
        (now >= assigned_at + timeouts.resend_interval).then(|| {
            self.assigned_at = Some(now);
            LeaseAction::ResendAssignment { job: id.to_owned() }
        })
    }

    /// Chooses the next driver: the next incarnation of the same edge if there is one, otherwise another edge.
    fn replace(
        &mut self,
        now: Duration,
        timeouts: LeaseTimeouts,
        id: &str,
        edges: &Edges,
        successor: Option<EdgeProcess>,
    ) -> Option<LeaseAction> {
        let previous = self.edge.incarnation;
        if !self.timed_out_edges.contains(&previous) {
            self.timed_out_edges.truncate(MAX_TIMED_OUT_EDGES - 1);
            self.timed_out_edges.insert(0, previous);
        }
        let successor = successor.filter(|edge| !self.timed_out_edges.contains(&edge.incarnation));
        let edge = successor.or_else(|| edges.choose(id, &self.timed_out_edges)).or_else(|| {
            self.timed_out_edges.clear();
            edges.choose(id, &[previous]).or_else(|| edges.choose(id, &[]))
        });
        let Some(edge) = edge else {
            // No edge is known yet. Retries after one resend interval.
            self.renewed_at = now.saturating_sub(timeouts.driver_timeout) + timeouts.resend_interval;
            return None;
        };
        self.is_replacement_proposed = true;
        Some(LeaseAction::Reassign { job: id.to_owned(), term: self.term + 1, edge })
    }

    fn next_timer(&self, timeouts: LeaseTimeouts) -> Duration {
        if self.is_replacement_proposed {
            return Duration::MAX;
        }
        let expiry = self.renewed_at + timeouts.driver_timeout;
        match self.assigned_at.filter(|_| !self.is_confirmed) {
            Some(assigned_at) => expiry.min(assigned_at + timeouts.resend_interval),
            None => expiry,
        }
    }
}
