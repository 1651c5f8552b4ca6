//! The schedule of loads of weights, sans I/O: which are in flight, which may start, and when a failed one is retried.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::load_window::{FinishedLoad, LoadWindow};
use super::weights::{Load, LoadMethod};

/// Most services whose load windows are kept; where there are more, all windows are dropped.
const MAX_SERVICES: usize = 64;

/// Bounds and times of loads.
#[derive(Clone, Copy, Debug)]
pub struct LoadScheduleSettings {
    /// The usual time of a load while none has been measured. A store that lets its running requests end first counts as loading for
    /// as long as a load usually takes. After that it is assumed to wait for them, which slows no other store down.
    pub assumed_load: Duration,
    /// A load at a store that was busy is retried after this long.
    pub busy_retry: Duration,
    /// A load that was rejected or not answered is retried after this long.
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

/// The outcome of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The store has the version.
    Done,
    /// Another order is in progress there.
    Busy,
    /// The store has seen a higher fencing token.
    Fenced,
    /// The store rejected the order, is another one now, or did not answer.
    Failed,
}

/// A load in flight.
#[derive(Clone, Debug)]
struct InFlightLoad {
    service: String,
    began: Duration,
    method: LoadMethod,
    concurrency: usize,
    /// It counts against the concurrency limit until then.
    counts_until: Duration,
}

/// The loads in flight, by store; a store processes one order at a time.
#[derive(Clone, Debug, Default)]
pub struct LoadSchedule {
    settings: LoadScheduleSettings,
    in_flight: BTreeMap<String, InFlightLoad>,
    not_before: BTreeMap<String, Duration>,
    /// Services with a load that was due and had to wait for those in flight.
    saturated: BTreeSet<String>,
    windows: BTreeMap<String, LoadWindow>,
}

/// A load that is to start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedLoad {
    /// The load.
    pub load: Load,
    /// How long it usually takes, if any was measured.
    pub usual: Option<Duration>,
}

impl LoadSchedule {
    /// A schedule without loads.
    #[must_use]
    pub fn new(settings: LoadScheduleSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The due loads of a service that start now, and are in flight from now on.
    pub fn start(&mut self, now: Duration, service: &str, due: &[Load]) -> Vec<StartedLoad> {
        if self.windows.len() >= MAX_SERVICES && !self.windows.contains_key(service) {
            self.windows.clear();
        }
        let window = self.windows.entry(service.to_owned()).or_default();
        let (limit, usual) = (window.limit(), window.usual());
        self.not_before.retain(|_, at| *at > now);
        let counts = |other: &&InFlightLoad| other.service == service && other.counts_until > now;
        let mut running = self.in_flight.values().filter(counts).count();
        let mut started = Vec::new();
        self.saturated.remove(service);
        for load in due {
            if self.in_flight.contains_key(&load.id) || self.not_before.contains_key(&load.id) {
                continue;
            }
            if running >= limit {
                self.saturated.insert(service.to_owned());
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
                concurrency: running,
                counts_until,
            };
            self.in_flight.insert(load.id.clone(), in_flight);
            started.push(StartedLoad { load: load.clone(), usual });
        }
        started
    }

    /// A load has ended.
    pub fn on_load_ended(&mut self, now: Duration, id: &str, outcome: LoadOutcome) {
        let load = self.in_flight.remove(id);
        let delay = match outcome {
            LoadOutcome::Done => {
                load.into_iter().for_each(|load| self.on_load_succeeded(now, &load));
                return;
            }
            LoadOutcome::Fenced => return,
            LoadOutcome::Busy => self.settings.busy_retry,
            LoadOutcome::Failed => self.settings.failed_retry,
        };
        self.not_before.insert(id.to_owned(), now + delay);
    }

    fn on_load_succeeded(&mut self, now: Duration, load: &InFlightLoad) {
        let Some(window) = self.windows.get_mut(&load.service) else { return };
        let may_have_waited = load.method == LoadMethod::Blocking;
        window.on_load_finished(
            now,
            FinishedLoad { began: load.began, may_have_waited, concurrency: load.concurrency },
        );
    }

    /// How many stores of a service may load concurrently now.
    #[must_use]
    pub fn limit(&self, service: &str) -> usize {
        self.windows.get(service).cloned().unwrap_or_default().limit()
    }

    /// When a load may start that could not before, though none has ended: a failed one may be retried, or one in flight stops counting
    /// against the limit.
    #[must_use]
    pub fn next_evaluation(&self) -> Option<Duration> {
        let blocking = self.in_flight.values().filter(|load| self.saturated.contains(&load.service));
        let counting = blocking.map(|load| load.counts_until);
        self.not_before.values().copied().chain(counting).min()
    }

    /// How many loads are in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Drops all loads in flight. The measured times are kept.
    pub fn clear(&mut self) {
        self.in_flight.clear();
        self.not_before.clear();
        self.saturated.clear();
    }
}
