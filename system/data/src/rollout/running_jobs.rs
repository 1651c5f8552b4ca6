//! Owns all batch jobs that this edge drives, and the outcomes of their tasks until the driver handles them.
//!
//! At most one execution runs for a batch job: a new term replaces the one before. All methods borrow the table for their own duration
//! only; closures given to them must not call back into it.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::time::Duration;

use gingerledge_wire::{DriverLeaseState, DriverTerm, JobId, ResultRecord};
use slotmap::SlotMap;
use tokio::sync::Notify;

pub(super) use super::job_execution::ExecutionKey;
use super::job_execution::{JobExecution, TaskOutcome};
use super::partial_texts::SharedPartialTexts;

/// The most batch jobs that one edge drives at a time.
const MAX_EXECUTIONS: usize = 256;

/// Whether an execution may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may; an execution of an earlier term was removed.
    Granted,
    /// An execution of this term, or of a later one, is running.
    TermIsNotNewer,
    /// Too many batch jobs are running.
    LimitReached,
}

/// The outcome of a task, and the execution that it belongs to.
pub(super) struct ReportedOutcome {
    pub(super) execution: ExecutionKey,
    pub(super) outcome: TaskOutcome,
}

#[derive(Default)]
struct Executions {
    all: SlotMap<ExecutionKey, JobExecution>,
    by_job: HashMap<JobId, ExecutionKey>,
}

/// The batch jobs that this edge drives.
#[derive(Default)]
pub(super) struct RunningJobs {
    executions: RefCell<Executions>,
    outcomes: RefCell<VecDeque<ReportedOutcome>>,
    /// The driver has something to do.
    work: Notify,
    /// A driver lease is to be renewed without waiting for the period's end.
    renewal: Notify,
    partial_texts: SharedPartialTexts,
}

impl RunningJobs {
    /// Checks whether an execution of a term may start, and ends one of an earlier term.
    pub(super) fn admit(&self, job: &str, term: DriverTerm, now: Duration) -> Admission {
        if let Some((key, running_term)) = self.find(job) {
            if running_term >= term {
                return Admission::TermIsNotNewer;
            }
            // Its texts go to the cache, for the new term.
            self.remove(key, now);
        }
        if self.executions.borrow().all.len() >= MAX_EXECUTIONS {
            return Admission::LimitReached;
        }
        Admission::Granted
    }

    /// Adds an execution that was admitted, and has its lease renewed.
    pub(super) fn insert(&self, execution: JobExecution) {
        let job = execution.job().id.clone();
        let mut executions = self.executions.borrow_mut();
        let key = executions.all.insert(execution);
        executions.by_job.insert(job, key);
        drop(executions);
        self.renewal.notify_one();
        self.work.notify_one();
    }

    /// Ends an execution: cancels its tasks and keeps its texts in the cache.
    pub(super) fn remove(&self, key: ExecutionKey, now: Duration) {
        let Some(mut execution) = self.executions.borrow_mut().remove(key) else { return };
        let job = execution.job();
        let time_left_s = execution.deadline().as_secs_f64() - now.as_secs_f64();
        log::info!(
            job = job.id.as_str(), step = job.step, model = job.model.as_str();
            "batch job execution ended, {time_left_s:.1} s before its deadline: {}",
            execution.timeline()
        );
        execution.release_texts(&mut self.partial_texts.borrow_mut());
    }

    /// Ends the execution of a batch job unless it is of a later term than `term`.
    pub(super) fn stop(&self, job: &str, term: DriverTerm, reason: DriverLeaseState, now: Duration) {
        let Some((key, running_term)) = self.find(job) else { return };
        if running_term <= term {
            log::debug!(job, term; "batch job execution stopped: {reason:?}");
            self.remove(key, now);
        }
    }

    /// A renewal of a driver lease succeeded.
    pub(super) fn extend_lease(&self, job: &str, term: DriverTerm, until: Duration, now: Duration) {
        let mut executions = self.executions.borrow_mut();
        let Some(key) = executions.by_job.get(job).copied() else { return };
        let execution = executions.all.get_mut(key).filter(|execution| execution.lease.term() == term);
        let Some(execution) = execution else { return };
        if execution.lease.extend(until, now) {
            self.work.notify_one();
        }
    }

    /// Whether the driver lease of an execution permits sending.
    pub(super) fn may_send(&self, key: ExecutionKey, now: Duration) -> bool {
        let executions = self.executions.borrow();
        executions.all.get(key).is_some_and(|execution| execution.lease.is_valid(now))
    }

    /// Reports the outcome of a task to the driver.
    pub(super) fn report(&self, execution: ExecutionKey, outcome: TaskOutcome) {
        self.outcomes.borrow_mut().push_back(ReportedOutcome { execution, outcome });
        self.work.notify_one();
    }

    /// The outcomes reported since the last call.
    pub(super) fn take_outcomes(&self) -> VecDeque<ReportedOutcome> {
        std::mem::take(&mut *self.outcomes.borrow_mut())
    }

    /// Executions whose driver lease was not renewed in time.
    pub(super) fn abandoned(&self, now: Duration) -> Vec<ExecutionKey> {
        let executions = self.executions.borrow();
        let abandoned = executions.all.iter().filter(|(_, execution)| execution.lease.is_abandoned(now));
        abandoned.map(|(key, _)| key).collect()
    }

    /// All executions, the earliest deadline first.
    pub(super) fn by_deadline(&self) -> Vec<ExecutionKey> {
        let executions = self.executions.borrow();
        let mut keys: Vec<_> =
            executions.all.iter().map(|(key, execution)| (execution.deadline(), key)).collect();
        keys.sort();
        keys.into_iter().map(|(_, key)| key).collect()
    }

    /// Changes an execution; `None` if it has ended.
    pub(super) fn update<T>(
        &self,
        key: ExecutionKey,
        change: impl FnOnce(&mut JobExecution) -> T,
    ) -> Option<T> {
        self.executions.borrow_mut().all.get_mut(key).map(change)
    }

    /// Visits all executions.
    pub(super) fn for_each(&self, mut visit: impl FnMut(&JobExecution)) {
        self.executions.borrow().all.values().for_each(&mut visit);
    }

    /// Removes the results that an execution has collected.
    pub(super) fn take_results(&self, key: ExecutionKey) -> Vec<ResultRecord> {
        self.update(key, JobExecution::take_results).unwrap_or_default()
    }

    /// Whether no batch job is running.
    pub(super) fn is_empty(&self) -> bool {
        self.executions.borrow().all.is_empty()
    }

    /// Whether this edge drives a batch job.
    pub(super) fn is_running(&self, job: &str) -> bool {
        self.executions.borrow().by_job.contains_key(job)
    }

    /// Items of the groups that trainers wait for and whose texts are not complete, of all batch jobs; about as many streams are needed.
    pub(super) fn desired_items_left(&self) -> usize {
        self.executions.borrow().all.values().map(JobExecution::desired_items_left).sum()
    }

    /// The cache of partial texts.
    pub(super) fn partial_texts(&self) -> &SharedPartialTexts {
        &self.partial_texts
    }

    /// Completes when the driver has something to do.
    pub(super) fn work(&self) -> impl Future<Output = ()> + '_ {
        self.work.notified()
    }

    /// Completes when a driver lease is to be renewed without waiting.
    pub(super) fn renewal_requested(&self) -> impl Future<Output = ()> + '_ {
        self.renewal.notified()
    }

    fn find(&self, job: &str) -> Option<(ExecutionKey, DriverTerm)> {
        let executions = self.executions.borrow();
        let key = executions.by_job.get(job).copied()?;
        Some((key, executions.all.get(key)?.lease.term()))
    }
}

impl Executions {
    fn remove(&mut self, key: ExecutionKey) -> Option<JobExecution> {
        let execution = self.all.remove(key)?;
        self.by_job.remove(&execution.job().id);
        Some(execution)
    }
}
