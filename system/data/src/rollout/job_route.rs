//! What the route of a batch job says: when its results are due, until when its items are retained, and which service runs them.

use std::time::Duration;

use gingerledge_protocol::{Configuration, Route, RouteKind};
use gingerledge_wire::JobRecord;

use super::drive::KeptSince;
use super::plan::Rules;
use crate::Shared;

/// How much slower or faster than true time a steady clock may run; a span that must be over is measured that much longer.
const CLOCK_DRIFT: f64 = 0.01;

/// A whole core carries so many streams at once, with as much to spare; with more of them, generations that nobody waits for
/// would only delay those that somebody does.
const SPARE_STREAMS_PER_CORE: f64 = 1_500.0;

/// How long after its first send all results of a batch job are due, as far as the route is known.
pub(super) fn target(shared: &Shared, job: &JobRecord) -> Duration {
    let configuration = shared.configuration();
    let route = configuration.as_deref().and_then(|configuration| deployment(configuration, job));
    let target = route.map_or(0.0, |route| route.target_completion_ms);
    Duration::try_from_secs_f64(target / 1_000.0).unwrap_or_default()
}

/// The route of a batch job in a configuration.
pub(super) fn deployment<'a>(configuration: &'a Configuration, job: &JobRecord) -> Option<&'a Route> {
    let route = configuration.route(&job.host, &job.path);
    route.filter(|route| route.kind() == Some(RouteKind::Deployment))
}

/// What the route of a batch job says. Its items may be given up once the batch job is certainly old enough: its age is never taken
/// too high, and no time of day is asked.
pub(super) fn rules(shared: &Shared, kept_since: KeptSince, route: &Route) -> Rules {
    let retention = Duration::try_from_secs_f64(route.retention_s * (1.0 + CLOCK_DRIFT));
    let retention = retention.ok().filter(|retention| !retention.is_zero());
    let retained_until = retention.map(|retention| kept_since.reaches_age(retention));
    let spare_streams = shared.settings().limits.cpu_share * SPARE_STREAMS_PER_CORE;
    Rules {
        single_version: route.single_version,
        max_attempts: route.max_attempts,
        retained_until,
        spare_streams: spare_streams as u32,
    }
}

/// The service that a batch job goes to: by the weights of its route, the same each time.
pub(super) fn service_of<'a>(route: &'a Route, job: &str) -> &'a str {
    let services = route.services();
    let total: f64 = services.iter().map(|&(_, weight)| weight).sum();
    let spot =
        f64::from(gingerledge_wire::partition_of(job)) / f64::from(gingerledge_wire::PARTITION_COUNT) * total;
    let mut passed = 0.0;
    for &(service, weight) in &services {
        passed += weight;
        if spot < passed {
            return service;
        }
    }
    services.last().map_or("", |&(service, _)| service)
}
