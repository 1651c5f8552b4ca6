//! The schedule of loads of weights, sans I/O: which loads are in flight, which may start, and when a failed one is retried.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::load_window::{FinishedLoad, LoadWindow};
use super::weights::{Load, LoadMethod};

/// Maximum number of services whose load windows are kept. When another service is added, all windows are dropped.
const MAX_SERVICES: usize = 64;

/// Assumed durations and retry delays of loads.
#[derive(Clone, Copy, Debug)]
pub struct LoadScheduleSettings {
    /// Assumed duration of a load until one has been measured. A store that lets its running requests end first counts as loading
    /// for the typical duration of a load. After that it is assumed to wait for those requests, which does not slow down other
    /// stores.
    pub assumed_load_duration: Duration,
    /// Delay before the retry of a load at a store that was busy.
    pub busy_retry_delay: Duration,
    /// Delay before the retry of a load that was rejected or not answered.
    pub failed_retry_delay: Duration,
}

impl Default for LoadScheduleSettings {
    fn default() -> Self {
        Self {
            assumed_load_duration: Duration::from_millis(500),
            busy_retry_delay: Duration::from_millis(300),
            failed_retry_delay: Duration::from_millis(1_200),
        }
    }
}

/// The outcome of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The store has loaded the version.
    Done,
    /// Another order is in progress at the store.
    Busy,
    /// The store has received a higher fencing token.
    Fenced,
    /// The store rejected the order, did not answer, or another store runs at its address now.
    Failed,
}

/// A load in flight.
#[derive(Clone, Debug)]
struct InFlightLoad {
    service: String,
    started_at: Duration,
    method: LoadMethod,
    concurrency: usize,
    /// Time until which the load counts against the concurrency limit.
    counted_until: Duration,
}

/// The loads in flight and their retries, by store. A store processes one order at a time.
#[derive(Clone, Debug, Default)]
pub struct LoadSchedule {
    settings: LoadScheduleSettings,
    in_flight: BTreeMap<String, InFlightLoad>,
    retry_at: BTreeMap<String, Duration>,
    /// Services with a due load that was delayed by the concurrency limit.
    saturated_services: BTreeSet<String>,
    windows: BTreeMap<String, LoadWindow>,
}

/// A load that has been scheduled to start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedLoad {
    /// The load to start.
    pub load: Load,
    /// Typical duration of a load of the service, if one was measured.
    pub typical_duration: Option<Duration>,
}

impl LoadSchedule {
    /// Creates a schedule without loads.
    #[must_use]
    pub fn new(settings: LoadScheduleSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Selects the due loads of a service that may start now. The selected loads are in flight from now on.
    pub fn start(&mut self, now: Duration, service: &str, due: &[Load]) -> Vec<StartedLoad> {
        if self.windows.len() >= MAX_SERVICES && !self.windows.contains_key(service) {
            self.windows.clear();
        }
        let window = self.windows.entry(service.to_owned()).or_default();
        let (limit, typical_duration) = (window.limit(), window.typical_duration());
        self.retry_at.retain(|_, at| *at > now);
        let is_counted = |other: &&InFlightLoad| other.service == service && other.counted_until > now;
        let mut running_loads = self.in_flight.values().filter(is_counted).count();
        let mut started = Vec::new();
        self.saturated_services.remove(service);
        for load in due {
            if self.in_flight.contains_key(&load.id) || self.retry_at.contains_key(&load.id) {
                continue;
            }
            if running_loads >= limit {
                self.saturated_services.insert(service.to_owned());
                break;
            }
            let counted_until = match load.method {
                LoadMethod::Blocking => now + typical_duration.unwrap_or(self.settings.assumed_load_duration),
                LoadMethod::Preserve => Duration::MAX,
            };
            running_loads += 1;
            let in_flight = InFlightLoad {
                service: service.to_owned(),
                started_at: now,
                method: load.method,
                concurrency: running_loads,
                counted_until,
            };
            self.in_flight.insert(load.id.clone(), in_flight);
            started.push(StartedLoad { load: load.clone(), typical_duration });
        }
        started
    }

    /// Processes the outcome of a load at the store `id`.
    pub fn on_load_ended(&mut self, now: Duration, id: &str, outcome: LoadOutcome) {
        let load = self.in_flight.remove(id);
        let delay = match outcome {
            LoadOutcome::Done => {
                load.into_iter().for_each(|load| self.on_load_succeeded(now, &load));
                return;
            }
            LoadOutcome::Fenced => return,
            LoadOutcome::Busy => self.settings.busy_retry_delay,
            LoadOutcome::Failed => self.settings.failed_retry_delay,
        };
        self.retry_at.insert(id.to_owned(), now + delay);
    }

    fn on_load_succeeded(&mut self, now: Duration, load: &InFlightLoad) {
        let Some(window) = self.windows.get_mut(&load.service) else { return };
        let may_have_waited = load.method == LoadMethod::Blocking;
        window.on_load_finished(
            now,
            FinishedLoad { started_at: load.started_at, may_have_waited, concurrency: load.concurrency },
        );
    }

    /// Number of stores of a service that may load concurrently now.
    #[must_use]
    pub fn limit(&self, service: &str) -> usize {
        self.windows.get(service).cloned().unwrap_or_default().limit()
    }

    /// Next time at which another load may start although none in flight has ended: a failed load may be retried, or a load in
    /// flight stops counting against the limit.
    #[must_use]
    pub fn next_evaluation(&self) -> Option<Duration> {
        let saturating_loads =
            self.in_flight.values().filter(|load| self.saturated_services.contains(&load.service));
        let count_ends = saturating_loads.map(|load| load.counted_until);
        self.retry_at.values().copied().chain(count_ends).min()
    }

    /// Number of loads in flight.
    #[must_use]
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Drops all loads in flight and their retries. The measured durations are kept.
    pub fn clear(&mut self) {
        self.in_flight.clear();
        self.retry_at.clear();
        self.saturated_services.clear();
    }
}
