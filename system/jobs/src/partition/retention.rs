//! Lower bounds of the ages of a partition's batch jobs, and the deletion of ended ones whose retention is over.
//!
//! An age is measured by the monotonic clock of this process, from the moment at which the batch job, or a command that carries
//! its age, was applied here; the head sends the ages that it knows along with its commands. So ages never depend on the time of
//! day of any machine. A restart loses what no command has carried since, which only makes a batch job look younger than it is:
//! it is never deleted too early.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::JobId;

use crate::settings::JobsSettings;
use crate::store::Store;

/// An age, and when it was observed.
#[derive(Clone, Copy, Debug)]
struct ObservedAge {
    age: Duration,
    at: Duration,
}

impl ObservedAge {
    fn age(self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.at)
    }
}

/// Ages of batch jobs, and the timers of the head that depend on them.
#[derive(Debug)]
pub(super) struct Retention {
    by_job: BTreeMap<JobId, ObservedAge>,
    /// An ended batch job is deleted once it is certainly older.
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

    /// Observes the age that the replicated state has for a batch job: the one that it had at some time before `now`.
    pub(super) fn observe(&mut self, now: Duration, id: &str, store: &Store) {
        let Some(job) = store.job(id) else {
            self.by_job.remove(id);
            return;
        };
        let observed = ObservedAge { age: job.age(), at: now };
        match self.by_job.get_mut(id) {
            Some(known) if known.age(now) >= observed.age => {}
            Some(known) => *known = observed,
            None => {
                self.by_job.insert(id.to_owned(), observed);
            }
        }
    }

    /// Observes all ages, after a snapshot or a command that carries many.
    pub(super) fn observe_all(&mut self, now: Duration, store: &Store) {
        self.by_job.retain(|id, _| store.job(id).is_some());
        for (id, _) in store.jobs() {
            self.observe(now, id, store);
        }
    }

    /// How old a batch job is at least.
    pub(super) fn age(&self, now: Duration, id: &str) -> Duration {
        self.by_job.get(id).map_or(Duration::ZERO, |observed| observed.age(now))
    }

    /// The replica has become the head.
    pub(super) fn restart_timers(&mut self, now: Duration) {
        self.next_expiry_check = now + self.expiry_check_interval;
        self.next_age_record = now + self.age_record_interval;
    }

    /// When the head checks for expired batch jobs next.
    pub(super) fn next_expiry_check(&self) -> Duration {
        self.next_expiry_check
    }

    /// Ended batch jobs whose retention is over; none before the time of the next check.
    pub(super) fn check_expiry(&mut self, now: Duration, store: &Store) -> Option<Vec<JobId>> {
        if now < self.next_expiry_check {
            return None;
        }
        self.next_expiry_check = now + self.expiry_check_interval;
        let ended = store.jobs().filter(|(_, job)| job.is_ended());
        let expired = ended.filter(|(id, _)| self.age(now, id) > self.retention);
        Some(expired.map(|(id, _)| id.clone()).collect())
    }

    /// Ages of ended batch jobs that are to be replicated, if that is due.
    ///
    /// No other command carries the age of an ended batch job. Without these, restarts in quick succession would keep it
    /// indefinitely.
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
