//! How far the loads of weights are, sans I/O: which are under way, which are due, and when one that failed is tried again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::weights::{Load, LoadMethod};

/// Bounds and times of loads.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Most stores of one service that load at once; more would slow all of them down.
    pub at_once: usize,
    /// A store that was asked to let its requests run to their end counts as loading for so long. After that it is taken to be
    /// waiting for them, which slows no other store down.
    pub blocking_counts: Duration,
    /// A store that was busy is asked again after this long.
    pub busy_retry: Duration,
    /// A store that refused or did not answer is asked again after this long.
    pub failed_retry: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            at_once: 6,
            blocking_counts: Duration::from_millis(500),
            busy_retry: Duration::from_millis(300),
            failed_retry: Duration::from_millis(1_200),
        }
    }
}

/// How an order to load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadEnd {
    /// The store has the version.
    Done,
    /// Another order is under way there.
    Busy,
    /// The store has seen a higher fencing token.
    Fenced,
    /// The store refused, is another one now, or did not answer.
    Failed,
}

/// A load under way.
#[derive(Clone, Debug)]
struct UnderWay {
    service: String,
    /// It counts among those that load at once until then.
    counts_until: Duration,
}

/// The loads under way, by store; a store takes one order at a time.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    settings: LoadSettings,
    under_way: BTreeMap<String, UnderWay>,
    not_before: BTreeMap<String, Duration>,
    /// Services of which a load was due that had to wait for those under way.
    crowded: BTreeSet<String>,
}

impl Loads {
    /// None under way.
    pub fn new(settings: LoadSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The loads of a service that start now. Each counts as under way.
    pub fn start(&mut self, now: Duration, service: &str, due: &[Load]) -> Vec<Load> {
        self.not_before.retain(|_, at| *at > now);
        let counts = |other: &&UnderWay| other.service == service && other.counts_until > now;
        let mut running = self.under_way.values().filter(counts).count();
        let mut started = Vec::new();
        self.crowded.remove(service);
        for load in due {
            if self.under_way.contains_key(&load.id) || self.not_before.contains_key(&load.id) {
                continue;
            }
            if running >= self.settings.at_once {
                self.crowded.insert(service.to_owned());
                break;
            }
            let counts_until = match load.method {
                LoadMethod::Blocking => now + self.settings.blocking_counts,
                LoadMethod::Preserve => Duration::MAX,
            };
            self.under_way.insert(load.id.clone(), UnderWay { service: service.to_owned(), counts_until });
            running += 1;
            started.push(load.clone());
        }
        started
    }

    /// A load has ended.
    pub fn ended(&mut self, now: Duration, id: &str, end: LoadEnd) {
        self.under_way.remove(id);
        let pause = match end {
            LoadEnd::Done | LoadEnd::Fenced => return,
            LoadEnd::Busy => self.settings.busy_retry,
            LoadEnd::Failed => self.settings.failed_retry,
        };
        self.not_before.insert(id.to_owned(), now + pause);
    }

    /// When a load may start that could not before, though nothing has ended: a store that failed may be asked again, or one that
    /// is under way counts no more.
    pub fn next_look(&self) -> Option<Duration> {
        let crowding = self.under_way.values().filter(|load| self.crowded.contains(&load.service));
        let counting = crowding.map(|load| load.counts_until);
        self.not_before.values().copied().chain(counting).min()
    }

    /// How many are under way.
    pub fn under_way(&self) -> usize {
        self.under_way.len()
    }

    /// Nothing is under way any more.
    pub fn clear(&mut self) {
        self.under_way.clear();
        self.not_before.clear();
        self.crowded.clear();
    }
}
