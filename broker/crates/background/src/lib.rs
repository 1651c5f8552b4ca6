//! Background work under priorities and budgets: copies of blocks, spools that drain, logs that are compacted. Whoever has
//! work [`Scheduler::submit`]s it, begins what [`Scheduler::poll`] lets begin, and says with [`Scheduler::finished`] what
//! it cost. Sans I/O; time is an argument.
//!
//! It promises:
//!
//! - no more bytes and work a second are begun than the budget has, in all and in each lane (a store, a disk);
//! - while queries wait the budget shrinks, down to the share that is kept for work others wait for ([`Class::Urgent`]), which
//!   therefore never starves;
//! - among equals the lane that has had least goes first, and what has waited for long rises in rank, so nothing waits
//!   for ever;
//! - queues and lanes are bounded, and what nobody uses is let go.

mod bucket;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hash;

use bucket::Bucket;
pub use bucket::Rate;
use thiserror::Error;

/// Milliseconds on the host's clock.
pub type Millis = u64;

/// How pressing work is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Somebody waits: a drain, an entry at a fence.
    Urgent,
    /// It should be soon.
    Normal,
    /// Whenever there is room.
    Idle,
}

/// What a piece of work costs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Bytes moved.
    pub bytes: f64,
    /// Milliseconds of a store's work.
    pub work_ms: f64,
}

/// A piece of work. `L` names lanes, `T` the work.
#[derive(Clone, Debug, PartialEq)]
pub struct Job<T, L> {
    /// Its name, given back when it may begin.
    pub id: T,
    /// How pressing it is.
    pub class: Class,
    /// What it passes through; each has a budget of its own.
    pub lanes: Vec<L>,
    /// What it is expected to cost.
    pub cost: Cost,
}

/// The settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Bytes, in all.
    pub bytes: Rate,
    /// Work, in all, in milliseconds.
    pub work: Rate,
    /// Bytes in each lane.
    pub lane_bytes: Rate,
    /// Jobs under way in a lane.
    pub lane_jobs: usize,
    /// Jobs under way in all.
    pub jobs: usize,
    /// Jobs that wait.
    pub waiting: usize,
    /// The share of the rates that is left for urgent work while queries wait.
    pub least: f64,
    /// So many queries waiting shrink the rates by half, twice as many to a third, and so on.
    pub pressed: f64,
    /// What has waited for so long rises one class.
    pub aging_ms: Millis,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            bytes: Rate { per_s: 20e6, burst: 4e6 },
            work: Rate { per_s: 500.0, burst: 100.0 },
            lane_bytes: Rate { per_s: 5e6, burst: 1e6 },
            lane_jobs: 2,
            jobs: 32,
            waiting: 1024,
            least: 0.1,
            pressed: 4.0,
            aging_ms: 10_000,
        }
    }
}

/// Why work was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    /// As much waits as may.
    #[error("{0} jobs wait already")]
    Full(usize),
    /// Work of this name waits or is under way.
    #[error("work of this name is there already")]
    Twice,
}

#[derive(Debug)]
struct Waiting<T, L> {
    job: Job<T, L>,
    since: Millis,
}

#[derive(Debug)]
struct Lane {
    bytes: Bucket,
    under_way: usize,
    /// Bytes let through so far: the lane with the fewest goes first.
    had: f64,
    used: Millis,
}

/// The scheduler. See the crate's description.
#[derive(Debug)]
pub struct Scheduler<T, L> {
    budget: Budget,
    bytes: Bucket,
    work: Bucket,
    waiting: BTreeMap<u64, Waiting<T, L>>,
    under_way: HashMap<T, (Vec<L>, Cost)>,
    names: HashSet<T>,
    lanes: HashMap<L, Lane>,
    next: u64,
    /// Queries that wait just now.
    queries: f64,
}

/// A lane that nobody has used for so long is let go.
const LANE_MEMORY_MS: Millis = 60_000;

impl<T: Clone + Eq + Hash, L: Clone + Eq + Hash> Scheduler<T, L> {
    /// A scheduler with nothing to do.
    pub fn new(budget: Budget, now: Millis) -> Self {
        Self {
            bytes: Bucket::new(budget.bytes, now),
            work: Bucket::new(budget.work, now),
            waiting: BTreeMap::new(),
            under_way: HashMap::new(),
            names: HashSet::new(),
            lanes: HashMap::new(),
            next: 0,
            queries: 0.0,
            budget,
        }
    }

    /// The share of the rates that the budget has while so many queries wait.
    fn share(&self) -> f64 {
        let pressed = if self.budget.pressed > 0.0 { self.queries / self.budget.pressed } else { 0.0 };
        (1.0 / (1.0 + pressed)).max(self.budget.least.clamp(0.0, 1.0))
    }

    /// Whether only urgent work is begun: queries wait, and the budget is down to what is kept for that.
    fn only_urgent(&self) -> bool {
        self.queries > 0.0 && self.share() <= self.budget.least
    }

    /// How many queries wait now.
    pub fn queries(&mut self, now: Millis, waiting: usize) {
        self.fill(now);
        self.queries = waiting as f64;
    }

    fn fill(&mut self, now: Millis) {
        let share = self.share();
        self.bytes.fill(now, share);
        self.work.fill(now, share);
        for lane in self.lanes.values_mut() {
            lane.bytes.fill(now, share);
        }
    }

    /// Takes work on.
    pub fn submit(&mut self, now: Millis, job: Job<T, L>) -> Result<(), Refused> {
        if self.waiting.len() >= self.budget.waiting {
            return Err(Refused::Full(self.budget.waiting));
        }
        if !self.names.insert(job.id.clone()) {
            return Err(Refused::Twice);
        }
        self.next += 1;
        self.waiting.insert(self.next, Waiting { job, since: now });
        Ok(())
    }

    /// Lets go of work that waits; false if it does not.
    pub fn cancel(&mut self, id: &T) -> bool {
        let at = self.waiting.iter().find(|(_, waiting)| waiting.job.id == *id).map(|(at, _)| *at);
        let Some(at) = at else { return false };
        self.waiting.remove(&at);
        self.names.remove(id);
        true
    }

    /// The class after so long a wait.
    fn class(&self, now: Millis, waiting: &Waiting<T, L>) -> Class {
        let risen = now.saturating_sub(waiting.since).checked_div(self.budget.aging_ms).unwrap_or(0);
        match (waiting.job.class, risen) {
            (Class::Idle, 0) => Class::Idle,
            (Class::Normal | Class::Idle, 0..=1) => Class::Normal,
            _ => Class::Urgent,
        }
    }

    /// The work that may begin now, the most pressing first.
    pub fn poll(&mut self, now: Millis) -> Vec<T> {
        self.fill(now);
        self.lanes.retain(|_, lane| lane.under_way > 0 || now.saturating_sub(lane.used) < LANE_MEMORY_MS);
        let mut begun = Vec::new();
        while self.under_way.len() < self.budget.jobs {
            let Some(at) = self.next(now) else { break };
            let Some(Waiting { job, .. }) = self.waiting.remove(&at) else { break };
            self.bytes.pay(job.cost.bytes);
            self.work.pay(job.cost.work_ms);
            for lane in &job.lanes {
                let rate = self.budget.lane_bytes;
                let lane = self.lanes.entry(lane.clone()).or_insert_with(|| Lane::new(rate, now));
                lane.bytes.pay(job.cost.bytes);
                lane.under_way += 1;
                lane.had += job.cost.bytes;
                lane.used = now;
            }
            self.under_way.insert(job.id.clone(), (job.lanes, job.cost));
            begun.push(job.id);
        }
        begun
    }

    /// The job to begin next, if one may. A job that is held up by its lane alone does not hold up the others; one that
    /// the whole budget can't pay for yet does, or small ones would pass a large one for ever.
    fn next(&self, now: Millis) -> Option<u64> {
        let had = |job: &Job<T, L>| {
            job.lanes.iter().filter_map(|lane| self.lanes.get(lane)).map(|lane| lane.had).fold(0.0, f64::max)
        };
        let only_urgent = self.only_urgent();
        let open = |(at, waiting): (&u64, &Waiting<T, L>)| {
            let class = self.class(now, waiting);
            if !self.lanes_free(&waiting.job) || (only_urgent && class != Class::Urgent) {
                return None;
            }
            Some((class, had(&waiting.job), *at))
        };
        let order = |a: &(Class, f64, u64), b: &(Class, f64, u64)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
        };
        let (_, _, at) = self.waiting.iter().filter_map(open).min_by(order)?;
        let cost = self.waiting.get(&at)?.job.cost;
        (self.bytes.may(cost.bytes) && self.work.may(cost.work_ms)).then_some(at)
    }

    fn lanes_free(&self, job: &Job<T, L>) -> bool {
        job.lanes.iter().all(|lane| {
            self.lanes
                .get(lane)
                .is_none_or(|lane| lane.under_way < self.budget.lane_jobs && lane.bytes.may(job.cost.bytes))
        })
    }

    /// Work has ended, at this cost.
    pub fn finished(&mut self, now: Millis, id: &T, cost: Cost) {
        let Some((lanes, expected)) = self.under_way.remove(id) else { return };
        self.names.remove(id);
        self.fill(now);
        let more = cost.bytes - expected.bytes;
        self.bytes.pay(more);
        self.work.pay(cost.work_ms - expected.work_ms);
        for lane in lanes {
            let Some(lane) = self.lanes.get_mut(&lane) else { continue };
            lane.bytes.pay(more);
            lane.had += more;
            lane.under_way = lane.under_way.saturating_sub(1);
            lane.used = now;
        }
    }

    /// When [`Scheduler::poll`] may let something begin though nothing happens before.
    pub fn due(&self, now: Millis) -> Option<Millis> {
        if self.under_way.len() >= self.budget.jobs {
            return None;
        }
        let share = self.share();
        let wait = |waiting: &Waiting<T, L>| {
            let job = &waiting.job;
            let lanes = job.lanes.iter().filter_map(|lane| self.lanes.get(lane));
            if lanes.clone().any(|lane| lane.under_way >= self.budget.lane_jobs) {
                return None;
            }
            let lanes = lanes.map(|lane| lane.bytes.wait(job.cost.bytes, share));
            let all = self.bytes.wait(job.cost.bytes, share).max(self.work.wait(job.cost.work_ms, share));
            let paid = lanes.fold(all, Millis::max);
            if self.only_urgent() && self.class(now, waiting) != Class::Urgent {
                // Until it has risen to what others wait for.
                let rises = if job.class == Class::Idle { 2 } else { 1 };
                let risen = waiting.since + rises * self.budget.aging_ms;
                return Some(paid.max(risen.saturating_sub(now)));
            }
            Some(paid)
        };
        self.waiting.values().filter_map(wait).min().map(|wait| now + wait.max(1))
    }

    /// How many jobs wait, and how many are under way.
    pub fn load(&self) -> (usize, usize) {
        (self.waiting.len(), self.under_way.len())
    }

    /// How many lanes are remembered.
    pub fn lanes(&self) -> usize {
        self.lanes.len()
    }
}

impl Lane {
    fn new(rate: Rate, now: Millis) -> Self {
        Self { bytes: Bucket::new(rate, now), under_way: 0, had: 0.0, used: now }
    }
}
