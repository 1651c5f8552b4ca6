//! What the route of a batch job prescribes: the deadline of its results, the retention of its items, and the service that runs them.

use std::time::Duration;

use gingerledge_protocol::{Configuration, Route, RouteKind};
use gingerledge_wire::JobRecord;

use super::job_age::JobAge;
use super::plan::{Rules, StartWindow};
use crate::Shared;

/// The assumed bound on the drift of a monotonic clock; a span that must have passed is measured that much longer.
const CLOCK_DRIFT: f64 = 0.01;

/// What a core carries: with more streams in flight all of them progress more slowly, so that later groups delay earlier ones, and each
/// more takes a connection of its own.
const MAX_STREAMS_PER_CORE: f64 = 3_000.0;
/// Surplus generations, for which the trainer does not wait, start below half of that.
const MAX_STREAMS_FOR_SURPLUS_PER_CORE: f64 = MAX_STREAMS_PER_CORE / 2.0;

/// All groups that a trainer waits for are due to start in the first so many percent of the target completion time, so that the longest
/// texts have the rest of it.
const START_WINDOW_PERCENT: u32 = 25;

/// The time from submission to the deadline of all results; zero while the route is not known.
pub(super) fn target(shared: &Shared, job: &JobRecord) -> Duration {
    let configuration = shared.configuration();
    let route = configuration.as_deref().and_then(|configuration| deployment(configuration, job));
    route.map_or(Duration::ZERO, target_completion)
}

fn target_completion(route: &Route) -> Duration {
    Duration::try_from_secs_f64(route.target_completion_ms / 1_000.0).unwrap_or_default()
}

/// The route of a batch job in a configuration.
pub(super) fn deployment<'a>(configuration: &'a Configuration, job: &JobRecord) -> Option<&'a Route> {
    let route = configuration.route(&job.host, &job.path);
    route.filter(|route| route.kind() == Some(RouteKind::Deployment))
}

/// How many streams this edge carries before each further one slows the others down.
pub(super) fn max_streams(shared: &Shared) -> u32 {
    (shared.settings().limits.cpu_share * MAX_STREAMS_PER_CORE) as u32
}

/// The rules of a route for a batch job. Its items may be abandoned once the batch job is certainly old enough: its age is a lower
/// bound, and no wall clock is read.
pub(super) fn rules(shared: &Shared, age: JobAge, route: &Route) -> Rules {
    let retention = Duration::try_from_secs_f64(route.retention_s * (1.0 + CLOCK_DRIFT));
    let retention = retention.ok().filter(|retention| !retention.is_zero());
    let abandon_after = retention.map(|retention| age.reaches(retention));
    let cpu_share = shared.settings().limits.cpu_share;
    let duration = target_completion(route) * START_WINDOW_PERCENT / 100;
    Rules {
        single_version: route.single_version,
        max_attempts: route.max_attempts,
        abandon_after,
        max_streams: max_streams(shared),
        start_window: StartWindow { duration, end: age.reaches(duration) },
        max_streams_for_surplus: (cpu_share * MAX_STREAMS_FOR_SURPLUS_PER_CORE) as u32,
    }
}

/// The service that runs a batch job: chosen by the weights of its route and the hash of its id, so the same each time.
pub(super) fn service_of<'a>(route: &'a Route, job: &str) -> &'a str {
    let services = route.services();
    let total: f64 = services.iter().map(|&(_, weight)| weight).sum();
    let point =
        f64::from(gingerledge_wire::partition_of(job)) / f64::from(gingerledge_wire::PARTITION_COUNT) * total;
    let mut cumulative = 0.0;
    for &(service, weight) in &services {
        cumulative += weight;
        if point < cumulative {
            return service;
        }
    }
    services.last().map_or("", |&(service, _)| service)
}
