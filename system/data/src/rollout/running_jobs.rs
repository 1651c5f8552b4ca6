//! The executions of all batch jobs that this edge drives, and the outcomes of their tasks until the driver handles them.
//!
//! At most one execution runs for a batch job: that of a new term replaces that of the previous term. Each method borrows the table for the
//! duration of the call; closures passed to a method must not call back into the table.

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

/// The maximum number of batch jobs that one edge drives at a time.
const MAX_EXECUTIONS: usize = 256;

/// Whether an execution may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The execution may start; an execution of an earlier term was removed.
    Granted,
    /// An execution of this term, or of a later one, is running.
    TermIsNotNewer,
    /// [`MAX_EXECUTIONS`] batch jobs are running.
    LimitReached,
}

/// The outcome of a task, and the execution that it belongs to.
pub(super) struct ReportedOutcome {
    pub(super) execution: ExecutionKey,
    pub(super) outcome: TaskOutcome,
}

/// The table of executions, with an index by the id of the batch job.
#[derive(Default)]
struct Executions {
    by_key: SlotMap<ExecutionKey, JobExecution>,
    keys_by_job: HashMap<JobId, ExecutionKey>,
}

/// The batch jobs that this edge drives.
#[derive(Default)]
pub(super) struct RunningJobs {
    executions: RefCell<Executions>,
    outcomes: RefCell<VecDeque<ReportedOutcome>>,
    /// Notified when the driver has work.
    work_available: Notify,
    /// Notified when a driver lease is to be renewed without waiting for the end of the renewal period.
    renewal_requested: Notify,
    partial_texts: SharedPartialTexts,
}

impl RunningJobs {
    /// Checks whether an execution of a term may start. Ends the execution of an earlier term, if there is one.
    pub(super) fn admit(&self, job: &str, term: DriverTerm, now: Duration) -> Admission {
        if let Some((key, running_term)) = self.find(job) {
            if running_term >= term {
                return Admission::TermIsNotNewer;
            }
            // This moves the texts to the cache, from which the execution of the new term restores them.
            self.remove(key, now);
        }
        if self.executions.borrow().by_key.len() >= MAX_EXECUTIONS {
            return Admission::LimitReached;
        }
        Admission::Granted
    }

    /// Adds an execution that was admitted, and requests a renewal of its lease.
    pub(super) fn insert(&self, execution: JobExecution) {
        let job = execution.job().id.clone();
        let mut executions = self.executions.borrow_mut();
        let key = executions.by_key.insert(execution);
        executions.keys_by_job.insert(job, key);
        drop(executions);
        self.renewal_requested.notify_one();
        self.work_available.notify_one();
    }

    /// Ends an execution: cancels its tasks and moves its texts to the cache.
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

    /// Ends the execution of a batch job unless its term is later than `term`.
    pub(super) fn stop(&self, job: &str, term: DriverTerm, reason: DriverLeaseState, now: Duration) {
        let Some((key, running_term)) = self.find(job) else { return };
        if running_term <= term {
            log::debug!(job, term; "batch job execution stopped: {reason:?}");
            self.remove(key, now);
        }
    }

    /// Extends a driver lease after a successful renewal.
    pub(super) fn extend_lease(&self, job: &str, term: DriverTerm, valid_until: Duration, now: Duration) {
        let mut executions = self.executions.borrow_mut();
        let Some(key) = executions.keys_by_job.get(job).copied() else { return };
        let execution = executions.by_key.get_mut(key).filter(|execution| execution.lease.term() == term);
        let Some(execution) = execution else { return };
        if execution.lease.extend(valid_until, now) {
            self.work_available.notify_one();
        }
    }

    /// Whether an execution may send requests: it has not ended, and its driver lease is valid.
    pub(super) fn may_send(&self, key: ExecutionKey, now: Duration) -> bool {
        let executions = self.executions.borrow();
        executions.by_key.get(key).is_some_and(|execution| execution.lease.is_valid(now))
    }

    /// Reports the outcome of a task to the driver.
    pub(super) fn report(&self, execution: ExecutionKey, outcome: TaskOutcome) {
        self.outcomes.borrow_mut().push_back(ReportedOutcome { execution, outcome });
        self.work_available.notify_one();
    }

    /// Removes and returns the outcomes that were reported since the last call.
    pub(super) fn take_outcomes(&self) -> VecDeque<ReportedOutcome> {
        std::mem::take(&mut *self.outcomes.borrow_mut())
    }

    /// The keys of the executions whose driver lease was not renewed in time.
    pub(super) fn keys_with_overdue_renewal(&self, now: Duration) -> Vec<ExecutionKey> {
        let executions = self.executions.borrow();
        let overdue =
            executions.by_key.iter().filter(|(_, execution)| execution.lease.is_renewal_overdue(now));
        overdue.map(|(key, _)| key).collect()
    }

    /// The keys of all executions, sorted by deadline, the earliest first.
    pub(super) fn keys_by_deadline(&self) -> Vec<ExecutionKey> {
        let executions = self.executions.borrow();
        let mut keys: Vec<_> =
            executions.by_key.iter().map(|(key, execution)| (execution.deadline(), key)).collect();
        keys.sort();
        keys.into_iter().map(|(_, key)| key).collect()
    }

    /// Calls `change` with an execution and returns its result; `None` if the execution has ended.
    pub(super) fn update<T>(
        &self,
        key: ExecutionKey,
        change: impl FnOnce(&mut JobExecution) -> T,
    ) -> Option<T> {
        self.executions.borrow_mut().by_key.get_mut(key).map(change)
    }

    /// Calls `visit` with each execution.
    pub(super) fn for_each(&self, mut visit: impl FnMut(&JobExecution)) {
        self.executions.borrow().by_key.values().for_each(&mut visit);
    }

    /// Removes and returns the results that an execution has collected; none if it has ended.
    pub(super) fn take_results(&self, key: ExecutionKey) -> Vec<ResultRecord> {
        self.update(key, JobExecution::take_results).unwrap_or_default()
    }

    /// Whether no batch job is running.
    pub(super) fn is_empty(&self) -> bool {
        self.executions.borrow().by_key.is_empty()
    }

    /// Whether this edge drives a batch job.
    pub(super) fn is_running(&self, job: &str) -> bool {
        self.executions.borrow().keys_by_job.contains_key(job)
    }

    /// An estimate, over all batch jobs, of the number of items whose texts are not complete in the groups that the trainers wait for. About
    /// as many streams are needed.
    pub(super) fn desired_items_left(&self) -> usize {
        self.executions.borrow().by_key.values().map(JobExecution::desired_items_left).sum()
    }

    /// The cache of partial texts.
    pub(super) fn partial_texts(&self) -> &SharedPartialTexts {
        &self.partial_texts
    }

    /// Completes when the driver has work.
    pub(super) fn work_available(&self) -> impl Future<Output = ()> + '_ {
        self.work_available.notified()
    }

    /// Completes when a driver lease is to be renewed without waiting for the end of the renewal period.
    pub(super) fn renewal_requested(&self) -> impl Future<Output = ()> + '_ {
        self.renewal_requested.notified()
    }

    fn find(&self, job: &str) -> Option<(ExecutionKey, DriverTerm)> {
        let executions = self.executions.borrow();
        let key = executions.keys_by_job.get(job).copied()?;
        Some((key, executions.by_key.get(key)?.lease.term()))
    }
}

impl Executions {
    fn remove(&mut self, key: ExecutionKey) -> Option<JobExecution> {
        let execution = self.by_key.remove(key)?;
        self.keys_by_job.remove(&execution.job().id);
        Some(execution)
    }
}
