//! How far the loads of weights are, sans I/O: which are under way, which are due, and when one that failed is tried again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::load_window::{FinishedLoad, LoadWindow};
use super::weights::{Load, LoadMethod};

/// Services of which is remembered how loads go; where there are more, all are forgotten.
const MAX_SERVICES: usize = 64;

/// Bounds and times of loads.
#[derive(Clone, Copy, Debug)]
pub struct LoadScheduleSettings {
    /// How long a load is taken to last before one was seen. A store that was asked to let its requests run to their end counts as
    /// loading for as long as a load usually lasts. After that it is taken to be waiting for them, which slows no other store down.
    pub assumed_load: Duration,
    /// A store that was busy is asked again after this long.
    pub busy_retry: Duration,
    /// A store that refused or did not answer is asked again after this long.
    pub failed_retry: Duration,
}

impl Default for LoadScheduleSettings {
    fn default() -> Self {
        Self {
            assumed_load: Duration::from_millis(500),
            busy_retry: Duration::from_millis(300),
            failed_retry: Duration::from_millis(1_200),
        }
    }
}

/// How an order to load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
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
struct InFlightLoad {
    service: String,
    began: Duration,
    method: LoadMethod,
    among: usize,
    /// It counts among those that load at once until then.
    counts_until: Duration,
}

/// The loads under way, by store; a store takes one order at a time.
#[derive(Clone, Debug, Default)]
pub struct LoadSchedule {
    settings: LoadScheduleSettings,
    in_flight: BTreeMap<String, InFlightLoad>,
    not_before: BTreeMap<String, Duration>,
    /// Services of which a load was due that had to wait for those under way.
    crowded: BTreeSet<String>,
    windows: BTreeMap<String, LoadWindow>,
}

/// A load that is to start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedLoad {
    /// What is loaded where.
    pub load: Load,
    /// How long it usually takes, as far as that is known.
    pub usual: Option<Duration>,
}

impl LoadSchedule {
    /// None under way.
    pub fn new(settings: LoadScheduleSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The loads of a service that start now. Each counts as under way.
    pub fn start(&mut self, now: Duration, service: &str, due: &[Load]) -> Vec<StartedLoad> {
        if self.windows.len() >= MAX_SERVICES && !self.windows.contains_key(service) {
            self.windows.clear();
        }
        let window = self.windows.entry(service.to_owned()).or_default();
        let (at_once, usual) = (window.limit(), window.usual());
        self.not_before.retain(|_, at| *at > now);
        let counts = |other: &&InFlightLoad| other.service == service && other.counts_until > now;
        let mut running = self.in_flight.values().filter(counts).count();
        let mut started = Vec::new();
        self.crowded.remove(service);
        for load in due {
            if self.in_flight.contains_key(&load.id) || self.not_before.contains_key(&load.id) {
                continue;
            }
            if running >= at_once {
                self.crowded.insert(service.to_owned());
                break;
            }
            let counts_until = match load.method {
                LoadMethod::Blocking => now + usual.unwrap_or(self.settings.assumed_load),
                LoadMethod::Preserve => Duration::MAX,
            };
            running += 1;
            let in_flight = InFlightLoad {
                service: service.to_owned(),
                began: now,
                method: load.method,
                among: running,
                counts_until,
            };
            self.in_flight.insert(load.id.clone(), in_flight);
            started.push(StartedLoad { load: load.clone(), usual });
        }
        started
    }

    /// A load has ended.
    pub fn on_load_ended(&mut self, now: Duration, id: &str, end: LoadOutcome) {
        let load = self.in_flight.remove(id);
        let pause = match end {
            LoadOutcome::Done => {
                load.into_iter().for_each(|load| self.succeeded(now, &load));
                return;
            }
            LoadOutcome::Fenced => return,
            LoadOutcome::Busy => self.settings.busy_retry,
            LoadOutcome::Failed => self.settings.failed_retry,
        };
        self.not_before.insert(id.to_owned(), now + pause);
    }

    fn succeeded(&mut self, now: Duration, load: &InFlightLoad) {
        let Some(window) = self.windows.get_mut(&load.service) else { return };
        let may_have_waited = load.method == LoadMethod::Blocking;
        window.on_load_finished(now, FinishedLoad { began: load.began, may_have_waited, among: load.among });
    }

    /// How many stores of a service may load at once now.
    pub fn at_once(&self, service: &str) -> usize {
        self.windows.get(service).cloned().unwrap_or_default().limit()
    }

    /// When a load may start that could not before, though nothing has ended: a store that failed may be asked again, or one that
    /// is under way counts no more.
    pub fn next_evaluation(&self) -> Option<Duration> {
        let crowding = self.in_flight.values().filter(|load| self.crowded.contains(&load.service));
        let counting = crowding.map(|load| load.counts_until);
        self.not_before.values().copied().chain(counting).min()
    }

    /// How many are under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Nothing is under way any more. How loads have gone is still known.
    pub fn clear(&mut self) {
        self.in_flight.clear();
        self.not_before.clear();
        self.crowded.clear();
    }
}
