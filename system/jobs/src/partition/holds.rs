//! Who drives the open batch jobs of a partition, as its head sees it.
//!
//! A hold lasts while its driver renews it. The head keeps them in memory only: a new head gives every driver the whole
//! time-out to show itself.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{DriverLeaseState, DriverTerm, JobId};

use crate::store::{EdgeProcess, Job, Store};

/// The most drivers remembered as silent for one batch job.
const SILENT_REMEMBERED: usize = 16;

/// How an edge is, as far as the control nodes know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeState {
    /// It is there, and takes messages at this address.
    There(SocketAddr),
    /// Nothing was heard of it for a while. It may live: a control node that is cut off hears nobody.
    Silent,
    /// It has said itself that it ends.
    Ended,
}

/// The edges that are there, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Edges {
    addresses: BTreeMap<u64, SocketAddr>,
    ended: BTreeSet<u64>,
}

impl Edges {
    /// The most edges remembered as ended.
    const ENDED_REMEMBERED: usize = 4096;

    /// Takes up news of an edge.
    pub fn set(&mut self, incarnation: u64, state: EdgeState) {
        match state {
            EdgeState::There(address) => {
                self.addresses.insert(incarnation, address);
            }
            EdgeState::Silent => {
                self.addresses.remove(&incarnation);
            }
            EdgeState::Ended => {
                self.addresses.remove(&incarnation);
                if self.ended.len() < Self::ENDED_REMEMBERED {
                    self.ended.insert(incarnation);
                }
            }
        }
    }

    /// Where an edge takes messages.
    pub fn address(&self, incarnation: u64) -> Option<SocketAddr> {
        self.addresses.get(&incarnation).copied()
    }

    /// The process that runs in place of one that is not there any more.
    pub fn successor(&self, edge: EdgeProcess) -> Option<EdgeProcess> {
        if self.addresses.contains_key(&edge.incarnation) {
            return None;
        }
        let there = self.addresses.iter().find(|(_, address)| **address == edge.address);
        there.map(|(&incarnation, &address)| EdgeProcess { incarnation, address })
    }

    /// Whether an edge has said that it ends.
    pub fn has_ended(&self, incarnation: u64) -> bool {
        self.ended.contains(&incarnation)
    }

    /// The first edge in the batch job's own order that is not among these.
    pub fn choose(&self, job: &str, without: &[u64]) -> Option<EdgeProcess> {
        let candidates = self.addresses.iter().filter(|(edge, _)| !without.contains(edge));
        let best = candidates.max_by_key(|(edge, _)| rendezvous(job, **edge));
        best.map(|(&incarnation, &address)| EdgeProcess { incarnation, address })
    }
}

fn rendezvous(job: &str, edge: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (job, edge).hash(&mut hasher);
    hasher.finish()
}

/// A driver's hold on a batch job.
#[derive(Debug)]
struct Hold {
    edge: EdgeProcess,
    term: DriverTerm,
    renewed: Duration,
    /// Whether the driver has shown itself under this term.
    seen: bool,
    /// When the driver was told last, if this head told it.
    told: Option<Duration>,
    /// A new driver has been proposed.
    replacing: bool,
    silent: Vec<u64>,
}

/// What is to be done about a hold.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum HoldAction {
    /// Propose another driver.
    Replace { job: JobId, term: DriverTerm, edge: EdgeProcess },
    /// Tell the driver again.
    Tell { job: JobId },
}

/// All holds of a partition.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    holds: BTreeMap<JobId, Hold>,
}

impl Holds {
    /// Starts at a new head.
    pub fn restart(&mut self, now: Duration, store: &Store) {
        self.holds.clear();
        for (id, job) in store.jobs() {
            self.follow(now, id, job);
        }
    }

    /// Nothing is held here.
    pub fn clear(&mut self) {
        self.holds.clear();
    }

    /// Takes up the newest state of a batch job. Says whether it has a new driver.
    pub fn follow(&mut self, now: Duration, id: &str, job: &Job) -> bool {
        if !job.needs_driver() {
            self.holds.remove(id);
            return false;
        }
        match self.holds.get_mut(id) {
            Some(hold) if hold.term == job.term() => false,
            Some(hold) => {
                let silent = std::mem::take(&mut hold.silent);
                *hold = Hold { silent, ..Hold::new(now, job) };
                true
            }
            None => {
                self.holds.insert(id.to_owned(), Hold::new(now, job));
                job.term() > 1
            }
        }
    }

    /// A batch job is not there any more.
    pub fn drop(&mut self, id: &str) {
        self.holds.remove(id);
    }

    /// The driver has been told.
    pub fn told(&mut self, now: Duration, id: &str) {
        if let Some(hold) = self.holds.get_mut(id) {
            hold.told = Some(now);
        }
    }

    /// The proposal of a new driver was not taken.
    pub fn not_replaced(&mut self, id: &str) {
        if let Some(hold) = self.holds.get_mut(id) {
            hold.replacing = false;
        }
    }

    /// The driver lives. The state must be confirmed to be the newest.
    pub fn renew(&mut self, now: Duration, id: &str, term: DriverTerm, store: &Store) -> DriverLeaseState {
        let Some(job) = store.job(id) else { return DriverLeaseState::Fenced };
        if !job.needs_driver() {
            return DriverLeaseState::Ended;
        }
        match self.holds.get_mut(id) {
            Some(hold) if hold.term == term && !hold.replacing => {
                hold.renewed = now;
                hold.seen = true;
                hold.silent.clear();
                DriverLeaseState::Held
            }
            _ => DriverLeaseState::Fenced,
        }
    }

    /// What is to be done now.
    pub fn due(&mut self, now: Duration, timeouts: Timeouts, edges: &Edges) -> Vec<HoldAction> {
        let holds = self.holds.iter_mut();
        holds.filter_map(|(id, hold)| hold.due(now, timeouts, id, edges)).collect()
    }

    /// When something may have to be done next.
    pub fn next_timer(&self, timeouts: Timeouts) -> Option<Duration> {
        self.holds.values().map(|hold| hold.next_timer(timeouts)).min()
    }
}

/// The time spans of holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    pub driver: Duration,
    pub tell_again: Duration,
}

impl Hold {
    fn new(now: Duration, job: &Job) -> Self {
        Self {
            edge: job.driver(),
            term: job.term(),
            renewed: now,
            seen: false,
            told: None,
            replacing: false,
            silent: Vec::new(),
        }
    }

    fn due(&mut self, now: Duration, timeouts: Timeouts, id: &str, edges: &Edges) -> Option<HoldAction> {
        let successor = edges.successor(self.edge);
        let silent = now >= self.renewed + timeouts.driver || edges.has_ended(self.edge.incarnation);
        if (silent || successor.is_some()) && !self.replacing {
            return self.replace(now, timeouts, id, edges, successor);
        }
        let told = self.told.filter(|_| !self.seen && !self.replacing)?;
        (now >= told + timeouts.tell_again).then(|| {
            self.told = Some(now);
            HoldAction::Tell { job: id.to_owned() }
        })
    }

    /// The process that runs in the driver's place takes over; else another edge.
    fn replace(
        &mut self,
        now: Duration,
        timeouts: Timeouts,
        id: &str,
        edges: &Edges,
        successor: Option<EdgeProcess>,
    ) -> Option<HoldAction> {
        let before = self.edge.incarnation;
        if !self.silent.contains(&before) {
            self.silent.truncate(SILENT_REMEMBERED - 1);
            self.silent.insert(0, before);
        }
        let successor = successor.filter(|edge| !self.silent.contains(&edge.incarnation));
        let edge = successor.or_else(|| edges.choose(id, &self.silent)).or_else(|| {
            self.silent.clear();
            edges.choose(id, &[before]).or_else(|| edges.choose(id, &[]))
        });
        let Some(edge) = edge else {
            // No edge is known yet: look again after a while.
            self.renewed = now.saturating_sub(timeouts.driver) + timeouts.tell_again;
            return None;
        };
        self.replacing = true;
        Some(HoldAction::Replace { job: id.to_owned(), term: self.term + 1, edge })
    }

    fn next_timer(&self, timeouts: Timeouts) -> Duration {
        if self.replacing {
            return Duration::MAX;
        }
        let silent = self.renewed + timeouts.driver;
        match self.told.filter(|_| !self.seen) {
            Some(told) => silent.min(told + timeouts.tell_again),
            None => silent,
        }
    }
}
