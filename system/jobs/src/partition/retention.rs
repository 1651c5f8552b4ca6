//! Lower bounds of the ages of a partition's batch jobs, and the deletion of ended ones whose retention period has passed.
//!
//! An age is measured by the monotonic clock of this process, from the time at which the batch job, or a command that carries its
//! age, was applied here. The head adds the ages that it knows to its commands, so ages never depend on the time of day of any
//! machine. A restart loses the age gained since the last command that carried it. This only makes a batch job appear younger than
//! it is, so it is never deleted too early.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::JobId;

use crate::settings::JobsSettings;
use crate::store::Store;

/// An age, and the time at which it was observed.
#[derive(Clone, Copy, Debug)]
struct ObservedAge {
    age: Duration,
    observed_at: Duration,
}

impl ObservedAge {
    fn age(self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.observed_at)
    }
}

/// Ages of batch jobs, and the timers of the head that depend on them.
#[derive(Debug)]
pub(super) struct Retention {
    by_job: BTreeMap<JobId, ObservedAge>,
    /// Age above which an ended batch job is deleted.
    retention: Duration,
    expiry_check_interval: Duration,
    age_record_interval: Duration,
    next_expiry_check: Duration,
    next_age_record: Duration,
}

impl Retention {
    pub(super) fn new(settings: &JobsSettings) -> Self {
        Self {
            by_job: BTreeMap::new(),
            retention: settings.retention,
            expiry_check_interval: settings.expiry_check_interval,
            age_record_interval: settings.age_record_interval,
            next_expiry_check: Duration::ZERO,
            next_age_record: Duration::ZERO,
        }
    }

    /// Observes the age of a batch job in the replicated state: the batch job reached that age at some time before `now`.
    pub(super) fn observe(&mut self, now: Duration, id: &str, store: &Store) {
        let Some(job) = store.job(id) else {
            self.by_job.remove(id);
            return;
        };
        let observed = ObservedAge { age: job.age(), observed_at: now };
        match self.by_job.get_mut(id) {
            Some(previous) if previous.age(now) >= observed.age => {}
            Some(previous) => *previous = observed,
            None => {
                self.by_job.insert(id.to_owned(), observed);
            }
        }
    }

    /// Observes the ages of all batch jobs, after a snapshot or a command that carries several ages.
    pub(super) fn observe_all(&mut self, now: Duration, store: &Store) {
        self.by_job.retain(|id, _| store.job(id).is_some());
        for (id, _) in store.jobs() {
            self.observe(now, id, store);
        }
    }

    /// Lower bound of the age of a batch job.
    pub(super) fn age(&self, now: Duration, id: &str) -> Duration {
        self.by_job.get(id).map_or(Duration::ZERO, |observed| observed.age(now))
    }

    /// Restarts the timers. Called when the replica becomes the head.
    pub(super) fn restart_timers(&mut self, now: Duration) {
        self.next_expiry_check = now + self.expiry_check_interval;
        self.next_age_record = now + self.age_record_interval;
    }

    /// Time at which the head next checks for expired batch jobs.
    pub(super) fn next_expiry_check(&self) -> Duration {
        self.next_expiry_check
    }

    /// Ended batch jobs whose retention period has passed; `None` before the time of the next check.
    pub(super) fn check_expiry(&mut self, now: Duration, store: &Store) -> Option<Vec<JobId>> {
        if now < self.next_expiry_check {
            return None;
        }
        self.next_expiry_check = now + self.expiry_check_interval;
        let ended = store.jobs().filter(|(_, job)| job.is_ended());
        let expired = ended.filter(|(id, _)| self.age(now, id) > self.retention);
        Some(expired.map(|(id, _)| id.clone()).collect())
    }

    /// Ages of ended batch jobs to be replicated; `None` before they are due, or if no batch job is ended.
    ///
    /// No other command carries the age of an ended batch job. Without these ages, an ended batch job would never be deleted if the
    /// processes restarted in quick succession.
    pub(super) fn ages_to_record(&mut self, now: Duration, store: &Store) -> Option<Vec<(JobId, Duration)>> {
        if now < self.next_age_record {
            return None;
        }
        self.next_age_record = now + self.age_record_interval;
        let ended = store.jobs().filter(|(_, job)| job.is_ended());
        let ages: Vec<_> = ended.map(|(id, _)| (id.clone(), self.age(now, id))).collect();
        (!ages.is_empty()).then_some(ages)
    }
}
