//! Scheduler for background work with priorities and budgets, such as copies of blocks, draining of spools and compaction of logs.
//! The owner of the work passes it to [`Scheduler::submit`], starts what [`Scheduler::poll`] returns, and reports the actual cost to
//! [`Scheduler::finished`]. Sans I/O; the time is an argument.
//!
//! Guarantees:
//!
//! - The work that starts stays within the budgets of bytes and work per second, in total, and of bytes in each lane (a store, a
//!   disk).
//! - While queries wait, the budget shrinks, but not below the share reserved for work that others wait for
//!   ([`Priority::Urgent`]), which therefore never starves.
//! - Among jobs of equal priority, the one whose busiest lane has transferred the fewest bytes starts first, and jobs that wait for
//!   long rise in priority, so that no job waits forever.
//! - Queues and lanes are bounded, and unused lanes are removed.

mod bucket;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hash;

use bucket::Bucket;
pub use bucket::Rate;
use thiserror::Error;

/// Milliseconds on the host's clock.
pub type Millis = u64;

/// Priority of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Others wait for the job, such as a drain or an entry at a fence.
    Urgent,
    /// The job should start soon.
    Normal,
    /// The job may start whenever the budget allows.
    Idle,
}

/// Cost of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Number of bytes transferred.
    pub bytes: f64,
    /// Working time of a store, in milliseconds.
    pub work_ms: f64,
}

/// A job. `T` is the type of its identifier, `L` that of lanes.
#[derive(Clone, Debug, PartialEq)]
pub struct Job<T, L> {
    /// Identifier of the job, returned by [`Scheduler::poll`] when the job may start.
    pub id: T,
    /// Priority of the job.
    pub priority: Priority,
    /// Lanes that the job uses; each has a budget of its own.
    pub lanes: Vec<L>,
    /// Expected cost of the job.
    pub cost: Cost,
}

/// Settings of a [`Scheduler`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Rate of bytes in total.
    pub bytes: Rate,
    /// Rate of work in total, in milliseconds.
    pub work: Rate,
    /// Rate of bytes in each lane.
    pub lane_bytes: Rate,
    /// Maximum number of running jobs in a lane.
    pub max_lane_jobs: usize,
    /// Maximum number of running jobs in total.
    pub max_jobs: usize,
    /// Maximum number of waiting jobs.
    pub max_waiting: usize,
    /// Share of the rates that remains for urgent work while queries wait.
    pub urgent_share: f64,
    /// Number of waiting queries that reduces the rates to a half; twice as many reduce them to a third, and so on.
    pub half_rate_queries: f64,
    /// Waiting time after which a job rises by one priority level, in milliseconds.
    pub aging_ms: Millis,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            bytes: Rate { per_s: 20e6, burst: 4e6 },
            work: Rate { per_s: 500.0, burst: 100.0 },
            lane_bytes: Rate { per_s: 5e6, burst: 1e6 },
            max_lane_jobs: 2,
            max_jobs: 32,
            max_waiting: 1024,
            urgent_share: 0.1,
            half_rate_queries: 4.0,
            aging_ms: 10_000,
        }
    }
}

/// Reason why a job was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The queue holds the maximum number of jobs already.
    #[error("{0} jobs wait already")]
    QueueFull(usize),
    /// A job with this identifier is waiting or running already.
    #[error("work of this name is there already")]
    DuplicateId,
}

#[derive(Debug)]
struct Waiting<T, L> {
    job: Job<T, L>,
    submitted_at: Millis,
}

#[derive(Debug)]
struct Lane {
    bytes: Bucket,
    running: usize,
    /// Total cost in bytes of the jobs started so far: jobs on the lane with the least start first.
    bytes_started: f64,
    last_used: Millis,
}

/// The scheduler of background jobs; see the crate documentation.
#[derive(Debug)]
pub struct Scheduler<T, L> {
    budget: Budget,
    bytes: Bucket,
    work: Bucket,
    waiting: BTreeMap<u64, Waiting<T, L>>,
    running: HashMap<T, (Vec<L>, Cost)>,
    ids: HashSet<T>,
    lanes: HashMap<L, Lane>,
    last_sequence: u64,
    /// Number of waiting queries.
    queries: f64,
}

/// Time after which an unused lane is removed, in milliseconds.
const LANE_RETENTION_MS: Millis = 60_000;

impl<T: Clone + Eq + Hash, L: Clone + Eq + Hash> Scheduler<T, L> {
    /// Creates a scheduler without jobs.
    pub fn new(budget: Budget, now: Millis) -> Self {
        Self {
            bytes: Bucket::new(budget.bytes, now),
            work: Bucket::new(budget.work, now),
            waiting: BTreeMap::new(),
            running: HashMap::new(),
            ids: HashSet::new(),
            lanes: HashMap::new(),
            last_sequence: 0,
            queries: 0.0,
            budget,
        }
    }

    /// Share of the rates that applies at the present number of waiting queries.
    fn share(&self) -> f64 {
        let pressure = if self.budget.half_rate_queries > 0.0 {
            self.queries / self.budget.half_rate_queries
        } else {
            0.0
        };
        (1.0 / (1.0 + pressure)).max(self.budget.urgent_share.clamp(0.0, 1.0))
    }

    /// Whether only urgent jobs may start: queries wait, and the rates are down to the share reserved for urgent jobs.
    fn only_urgent(&self) -> bool {
        self.queries > 0.0 && self.share() <= self.budget.urgent_share
    }

    /// Sets the number of queries that wait now.
    pub fn set_waiting_queries(&mut self, now: Millis, waiting: usize) {
        self.refill(now);
        self.queries = waiting as f64;
    }

    fn refill(&mut self, now: Millis) {
        let share = self.share();
        self.bytes.refill(now, share);
        self.work.refill(now, share);
        for lane in self.lanes.values_mut() {
            lane.bytes.refill(now, share);
        }
    }

    /// Queues a job.
    pub fn submit(&mut self, now: Millis, job: Job<T, L>) -> Result<(), SubmitError> {
        if self.waiting.len() >= self.budget.max_waiting {
            return Err(SubmitError::QueueFull(self.budget.max_waiting));
        }
        if !self.ids.insert(job.id.clone()) {
            return Err(SubmitError::DuplicateId);
        }
        self.last_sequence += 1;
        self.waiting.insert(self.last_sequence, Waiting { job, submitted_at: now });
        Ok(())
    }

    /// Removes a waiting job; returns false if no job with this identifier is waiting.
    pub fn cancel(&mut self, id: &T) -> bool {
        let sequence =
            self.waiting.iter().find(|(_, waiting)| waiting.job.id == *id).map(|(sequence, _)| *sequence);
        let Some(sequence) = sequence else { return false };
        self.waiting.remove(&sequence);
        self.ids.remove(id);
        true
    }

    /// Priority of a job after its waiting time is taken into account.
    fn effective_priority(&self, now: Millis, waiting: &Waiting<T, L>) -> Priority {
        let levels = now.saturating_sub(waiting.submitted_at).checked_div(self.budget.aging_ms).unwrap_or(0);
        match (waiting.job.priority, levels) {
            (Priority::Idle, 0) => Priority::Idle,
            (Priority::Normal | Priority::Idle, 0..=1) => Priority::Normal,
            _ => Priority::Urgent,
        }
    }

    /// Starts the jobs that may start now and returns their identifiers, the highest priority first.
    pub fn poll(&mut self, now: Millis) -> Vec<T> {
        self.refill(now);
        self.lanes
            .retain(|_, lane| lane.running > 0 || now.saturating_sub(lane.last_used) < LANE_RETENTION_MS);
        let mut started = Vec::new();
        while self.running.len() < self.budget.max_jobs {
            let Some(sequence) = self.next_job(now) else { break };
            let Some(Waiting { job, .. }) = self.waiting.remove(&sequence) else { break };
            self.bytes.charge(job.cost.bytes);
            self.work.charge(job.cost.work_ms);
            for lane in &job.lanes {
                let rate = self.budget.lane_bytes;
                let lane = self.lanes.entry(lane.clone()).or_insert_with(|| Lane::new(rate, now));
                lane.bytes.charge(job.cost.bytes);
                lane.running += 1;
                lane.bytes_started += job.cost.bytes;
                lane.last_used = now;
            }
            self.running.insert(job.id.clone(), (job.lanes, job.cost));
            started.push(job.id);
        }
        started
    }

    /// Sequence number of the job to start next, if one may. A job that only its lane prevents from starting does not block the
    /// others; one that exceeds the total budget does, or small jobs would overtake a large one forever.
    fn next_job(&self, now: Millis) -> Option<u64> {
        let lane_bytes_started = |job: &Job<T, L>| {
            job.lanes
                .iter()
                .filter_map(|lane| self.lanes.get(lane))
                .map(|lane| lane.bytes_started)
                .fold(0.0, f64::max)
        };
        let only_urgent = self.only_urgent();
        let candidate = |(sequence, waiting): (&u64, &Waiting<T, L>)| {
            let priority = self.effective_priority(now, waiting);
            if !self.lanes_available(&waiting.job) || (only_urgent && priority != Priority::Urgent) {
                return None;
            }
            Some((priority, lane_bytes_started(&waiting.job), *sequence))
        };
        let order = |a: &(Priority, f64, u64), b: &(Priority, f64, u64)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
        };
        let (_, _, sequence) = self.waiting.iter().filter_map(candidate).min_by(order)?;
        let cost = self.waiting.get(&sequence)?.job.cost;
        (self.bytes.can_start(cost.bytes) && self.work.can_start(cost.work_ms)).then_some(sequence)
    }

    fn lanes_available(&self, job: &Job<T, L>) -> bool {
        job.lanes.iter().all(|lane| {
            self.lanes.get(lane).is_none_or(|lane| {
                lane.running < self.budget.max_lane_jobs && lane.bytes.can_start(job.cost.bytes)
            })
        })
    }

    /// Records the end of a job and its actual cost.
    pub fn finished(&mut self, now: Millis, id: &T, cost: Cost) {
        let Some((lanes, expected)) = self.running.remove(id) else { return };
        self.ids.remove(id);
        self.refill(now);
        let excess_bytes = cost.bytes - expected.bytes;
        self.bytes.charge(excess_bytes);
        self.work.charge(cost.work_ms - expected.work_ms);
        for lane in lanes {
            let Some(lane) = self.lanes.get_mut(&lane) else { continue };
            lane.bytes.charge(excess_bytes);
            lane.bytes_started += excess_bytes;
            lane.running = lane.running.saturating_sub(1);
            lane.last_used = now;
        }
    }

    /// Time at which [`Scheduler::poll`] may start a job if nothing happens before; `None` if no job can start until another one ends
    /// or none is waiting.
    pub fn due(&self, now: Millis) -> Option<Millis> {
        if self.running.len() >= self.budget.max_jobs {
            return None;
        }
        let share = self.share();
        let wait_ms = |waiting: &Waiting<T, L>| {
            let job = &waiting.job;
            let lanes = job.lanes.iter().filter_map(|lane| self.lanes.get(lane));
            if lanes.clone().any(|lane| lane.running >= self.budget.max_lane_jobs) {
                return None;
            }
            let lanes = lanes.map(|lane| lane.bytes.wait_ms(job.cost.bytes, share));
            let total_wait_ms =
                self.bytes.wait_ms(job.cost.bytes, share).max(self.work.wait_ms(job.cost.work_ms, share));
            let funded_in_ms = lanes.fold(total_wait_ms, Millis::max);
            if self.only_urgent() && self.effective_priority(now, waiting) != Priority::Urgent {
                // Only after the job has risen to `Urgent`.
                let levels = if job.priority == Priority::Idle { 2 } else { 1 };
                let urgent_at = waiting.submitted_at + levels * self.budget.aging_ms;
                return Some(funded_in_ms.max(urgent_at.saturating_sub(now)));
            }
            Some(funded_in_ms)
        };
        self.waiting.values().filter_map(wait_ms).min().map(|wait_ms| now + wait_ms.max(1))
    }

    /// Number of waiting jobs, and number of running jobs.
    pub fn job_counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    /// Number of lanes with recorded state.
    pub fn lane_count(&self) -> usize {
        self.lanes.len()
    }
}

impl Lane {
    fn new(rate: Rate, now: Millis) -> Self {
        Self { bytes: Bucket::new(rate, now), running: 0, bytes_started: 0.0, last_used: now }
    }
}
