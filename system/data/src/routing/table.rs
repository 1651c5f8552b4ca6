//! The routing table: the routes of a configuration by host, with what forwarding needs of each.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::{Configuration, ConfigurationUpdate, Route, RouteKind};

/// A route, prepared for forwarding.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// The operator's route.
    pub route: Route,
    /// Its kind, which says what may be retried.
    pub kind: RouteKind,
    /// Its services.
    pub services: Vec<String>,
    /// Their weights, in the same order.
    pub weights: Vec<f64>,
    /// The time-out of a request, if it has one.
    pub timeout: Option<Duration>,
    /// The latency target, within which a response has its full value.
    pub objective: Duration,
    /// Whether its services are inference engines, which honour `Priority`.
    pub is_engine: bool,
    /// The average latency of its stores.
    pub latency: LatencyAverage,
}

/// An exponential moving average of latencies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LatencyAverage {
    average: Cell<Option<Duration>>,
}

impl LatencyAverage {
    /// The average; `None` before the first sample.
    pub fn get(&self) -> Option<Duration> {
        self.average.get()
    }

    /// Adds a sample.
    pub fn record(&self, latency: Duration) {
        const SAMPLES: u32 = 8;
        let average =
            self.average.get().map_or(latency, |average| (average * (SAMPLES - 1) + latency) / SAMPLES);
        self.average.set(Some(average));
    }
}

impl RouteEntry {
    fn of(configuration: &Configuration, route: &Route) -> Option<Self> {
        let split = route.services();
        let is_engine = split
            .iter()
            .any(|(name, _)| configuration.service(name).is_some_and(|service| service.engine.is_some()));
        Some(Self {
            kind: route.kind()?,
            services: split.iter().map(|(name, _)| (*name).to_owned()).collect(),
            weights: split.iter().map(|&(_, weight)| weight).collect(),
            timeout: route.timeout_ms.map(from_milliseconds),
            objective: from_milliseconds(route.target_latency_ms),
            is_engine,
            latency: LatencyAverage::default(),
            route: route.clone(),
        })
    }

    /// Whether its requests may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.route.resumable,
            RouteKind::NonIdempotent | RouteKind::Deployment => false,
        }
    }

    /// The most attempts of one request.
    pub fn max_attempts(&self) -> usize {
        self.route.max_attempts.max(1) as usize
    }
}

/// All routes, by host.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Rc<RouteEntry>>>,
}

impl RouteTable {
    /// The routes of a configuration.
    #[must_use]
    pub fn of(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<RouteEntry>>> = HashMap::new();
        for route in &configuration.routes {
            if let Some(entry) = RouteEntry::of(configuration, route) {
                hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Rc::new(entry));
            }
        }
        for entries in hosts.values_mut() {
            sort_longest_first(entries);
        }
        Self { hosts }
    }

    /// Applies an update. `configuration` is its result, or a later one. Routes that the update doesn't affect keep their entries,
    /// and with them their averages.
    pub fn apply(&mut self, configuration: &Configuration, update: &ConfigurationUpdate) {
        let services: HashSet<&str> =
            update.upsert.services.iter().map(|service| service.name.as_str()).collect();
        let is_affected = |route: &Route| route.services().iter().any(|(name, _)| services.contains(name));
        let upserted = update.upsert.routes.iter().map(|route| route.name.as_str());
        let removed = update.remove.routes.iter().map(String::as_str);
        let mut affected: HashSet<&str> = upserted.chain(removed).collect();
        if !services.is_empty() {
            let users = configuration.routes.iter().filter(|route| is_affected(route));
            affected.extend(users.map(|route| route.name.as_str()));
        }
        for entries in self.hosts.values_mut() {
            entries.retain(|entry| !affected.contains(entry.route.name.as_str()));
        }
        let routes = configuration.routes.iter().filter(|route| affected.contains(route.name.as_str()));
        for entry in routes.filter_map(|route| RouteEntry::of(configuration, route)) {
            let entries = self.hosts.entry(entry.route.host.to_ascii_lowercase()).or_default();
            entries.push(Rc::new(entry));
            sort_longest_first(entries);
        }
        self.hosts.retain(|_, entries| !entries.is_empty());
    }

    /// The route of a host, with or without a port, and a path: the longest prefix wins.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteEntry>> {
        let lower = host.to_ascii_lowercase();
        let entries = self.hosts.get(&lower).or_else(|| self.hosts.get(without_port(&lower)))?;
        entries.iter().find(|entry| path.starts_with(&entry.route.path_prefix))
    }
}

fn sort_longest_first(entries: &mut [Rc<RouteEntry>]) {
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.path_prefix.len()));
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

fn from_milliseconds(milliseconds: f64) -> Duration {
    const MAX_MS: f64 = 86_400_000.0;
    let bounded = if milliseconds.is_finite() { milliseconds.clamp(0.0, MAX_MS) } else { MAX_MS };
    Duration::from_secs_f64(bounded / 1_000.0)
}
