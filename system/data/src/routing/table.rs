//! Routing table: the routes of a configuration by host, prepared for forwarding.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::{Configuration, ConfigurationUpdate, Route, RouteKind};

/// Route of the configuration with the values that forwarding derives from it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// Route as configured by the operator.
    pub route: Route,
    /// Kind of the route, which determines whether requests may be retried.
    pub kind: RouteKind,
    /// Names of the services that the route sends requests to.
    pub services: Vec<String>,
    /// Traffic weights, in the order of `services`.
    pub weights: Vec<f64>,
    /// Timeout of a request, if the route sets one.
    pub timeout: Option<Duration>,
    /// Latency target: a response within it has its full value.
    pub target_latency: Duration,
    /// Whether at least one of the services is an inference engine, which honours the `Priority` header.
    pub has_inference_engine: bool,
    /// Average time from the start of an attempt to the response head, over all stores of the route.
    pub average_latency: LatencyAverage,
}

/// Exponential moving average of latencies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LatencyAverage {
    average: Cell<Option<Duration>>,
}

impl LatencyAverage {
    /// Returns the average; `None` before the first sample.
    pub fn get(&self) -> Option<Duration> {
        self.average.get()
    }

    /// Adds a sample.
    pub fn record(&self, latency: Duration) {
        /// A new sample has a weight of one in this many.
        const SMOOTHING_SAMPLES: u32 = 8;
        let average = self
            .average
            .get()
            .map_or(latency, |average| (average * (SMOOTHING_SAMPLES - 1) + latency) / SMOOTHING_SAMPLES);
        self.average.set(Some(average));
    }
}

impl RouteEntry {
    /// Prepares a route; `None` if its kind is unknown.
    fn from_route(configuration: &Configuration, route: &Route) -> Option<Self> {
        let split = route.services();
        let has_inference_engine = split
            .iter()
            .any(|(name, _)| configuration.service(name).is_some_and(|service| service.engine.is_some()));
        Some(Self {
            kind: route.kind()?,
            services: split.iter().map(|(name, _)| (*name).to_owned()).collect(),
            weights: split.iter().map(|&(_, weight)| weight).collect(),
            timeout: route.timeout_ms.map(duration_from_milliseconds),
            target_latency: duration_from_milliseconds(route.target_latency_ms),
            has_inference_engine,
            average_latency: LatencyAverage::default(),
            route: route.clone(),
        })
    }

    /// Whether a request of the route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.route.resumable,
            RouteKind::NonIdempotent | RouteKind::Deployment => false,
        }
    }

    /// Maximum number of attempts of one request.
    pub fn max_attempts(&self) -> usize {
        self.route.max_attempts.max(1) as usize
    }
}

/// All routes by lower-case host, those with the longest path prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    entries_by_host: HashMap<String, Vec<Rc<RouteEntry>>>,
}

impl RouteTable {
    /// Builds the table from a configuration.
    #[must_use]
    pub fn from_configuration(configuration: &Configuration) -> Self {
        let mut entries_by_host: HashMap<String, Vec<Rc<RouteEntry>>> = HashMap::new();
        for route in &configuration.routes {
            if let Some(entry) = RouteEntry::from_route(configuration, route) {
                entries_by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Rc::new(entry));
            }
        }
        for entries in entries_by_host.values_mut() {
            sort_by_descending_prefix_length(entries);
        }
        Self { entries_by_host }
    }

    /// Applies an update. `configuration` is the result of the update, or a later configuration. Routes that the update does not
    /// affect keep their entries, and thereby their average latencies.
    pub fn apply(&mut self, configuration: &Configuration, update: &ConfigurationUpdate) {
        let updated_services: HashSet<&str> =
            update.upsert.services.iter().map(|service| service.name.as_str()).collect();
        let uses_updated_service =
            |route: &Route| route.services().iter().any(|(name, _)| updated_services.contains(name));
        let upserted = update.upsert.routes.iter().map(|route| route.name.as_str());
        let removed = update.remove.routes.iter().map(String::as_str);
        let mut affected_routes: HashSet<&str> = upserted.chain(removed).collect();
        if !updated_services.is_empty() {
            let dependent_routes = configuration.routes.iter().filter(|route| uses_updated_service(route));
            affected_routes.extend(dependent_routes.map(|route| route.name.as_str()));
        }
        for entries in self.entries_by_host.values_mut() {
            entries.retain(|entry| !affected_routes.contains(entry.route.name.as_str()));
        }
        let routes =
            configuration.routes.iter().filter(|route| affected_routes.contains(route.name.as_str()));
        for entry in routes.filter_map(|route| RouteEntry::from_route(configuration, route)) {
            let entries = self.entries_by_host.entry(entry.route.host.to_ascii_lowercase()).or_default();
            entries.push(Rc::new(entry));
            sort_by_descending_prefix_length(entries);
        }
        self.entries_by_host.retain(|_, entries| !entries.is_empty());
    }

    /// Finds the route with the longest prefix of a path at a host, which may include a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteEntry>> {
        let lowercase_host = host.to_ascii_lowercase();
        let entries = self
            .entries_by_host
            .get(&lowercase_host)
            .or_else(|| self.entries_by_host.get(strip_port(&lowercase_host)))?;
        entries.iter().find(|entry| path.starts_with(&entry.route.path_prefix))
    }
}

fn sort_by_descending_prefix_length(entries: &mut [Rc<RouteEntry>]) {
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.path_prefix.len()));
}

fn strip_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

fn duration_from_milliseconds(milliseconds: f64) -> Duration {
    const MAX_MS: f64 = 86_400_000.0;
    let bounded = if milliseconds.is_finite() { milliseconds.clamp(0.0, MAX_MS) } else { MAX_MS };
    Duration::from_secs_f64(bounded / 1_000.0)
}
