//! The properties of a batch job that depend on its route: the deadline of its results, the rules for its items, and the service that runs
//! them.

use std::time::Duration;

use gingerledge_protocol::{Configuration, Route, RouteKind};
use gingerledge_wire::JobRecord;

use super::job_age::JobAge;
use super::plan::{JobRules, StartWindow};
use crate::Shared;

/// The assumed maximum drift of a monotonic clock, as a fraction. A duration that must certainly have passed is extended by it.
const MAX_CLOCK_DRIFT: f64 = 0.01;

/// The maximum number of streams in flight per core of an edge. With more streams, all of them progress more slowly, so that later groups
/// delay earlier ones; besides, each stream takes a connection of its own.
const MAX_STREAMS_PER_CORE: f64 = 3_000.0;
/// The maximum number of streams in flight, per core, for surplus generations to start. The trainer does not wait for them.
const MAX_STREAMS_FOR_SURPLUS_PER_CORE: f64 = MAX_STREAMS_PER_CORE / 2.0;

/// The window in which all groups that the trainer waits for are due to start, in percent of the target completion time. The window begins
/// with the submission; the rest of the target completion time is left for the longest texts.
const START_WINDOW_PERCENT: u32 = 25;

/// The time from submission to the deadline of all results; zero if the route is not in the configuration.
pub(super) fn target_completion(shared: &Shared, job: &JobRecord) -> Duration {
    let configuration = shared.configuration();
    let route = configuration.as_deref().and_then(|configuration| deployment_route(configuration, job));
    route.map_or(Duration::ZERO, route_target_completion)
}

fn route_target_completion(route: &Route) -> Duration {
    Duration::try_from_secs_f64(route.target_completion_ms / 1_000.0).unwrap_or_default()
}

/// The route of a batch job in a configuration; `None` if there is none or it is not a deployment.
pub(super) fn deployment_route<'a>(configuration: &'a Configuration, job: &JobRecord) -> Option<&'a Route> {
    let route = configuration.route(&job.host, &job.path);
    route.filter(|route| route.kind() == Some(RouteKind::Deployment))
}

/// The maximum number of streams that this edge can have in flight without slowing them down, see [`MAX_STREAMS_PER_CORE`].
pub(super) fn max_streams(shared: &Shared) -> u32 {
    (shared.settings().limits.cpu_share * MAX_STREAMS_PER_CORE) as u32
}

/// The rules of a route for a batch job. The items may be abandoned once the batch job has certainly reached the retention time: its age
/// is a lower bound, and no wall clock is read.
pub(super) fn rules(shared: &Shared, age: JobAge, route: &Route) -> JobRules {
    let retention = Duration::try_from_secs_f64(route.retention_s * (1.0 + MAX_CLOCK_DRIFT));
    let retention = retention.ok().filter(|retention| !retention.is_zero());
    let abandon_after = retention.map(|retention| age.reached_at(retention));
    let cpu_share = shared.settings().limits.cpu_share;
    let duration = route_target_completion(route) * START_WINDOW_PERCENT / 100;
    JobRules {
        single_version: route.single_version,
        max_attempts: route.max_attempts,
        abandon_after,
        max_streams: max_streams(shared),
        start_window: StartWindow { duration, end: age.reached_at(duration) },
        max_streams_for_surplus: (cpu_share * MAX_STREAMS_FOR_SURPLUS_PER_CORE) as u32,
    }
}

/// The service that runs a batch job, chosen by the weights of its route and the hash of its id. The choice is the same each time.
pub(super) fn service_for<'a>(route: &'a Route, job: &str) -> &'a str {
    let services = route.services();
    let total_weight: f64 = services.iter().map(|&(_, weight)| weight).sum();
    let position = f64::from(gingerledge_wire::partition_of(job))
        / f64::from(gingerledge_wire::PARTITION_COUNT)
        * total_weight;
    let mut cumulative_weight = 0.0;
    for &(service, weight) in &services {
        cumulative_weight += weight;
        if position < cumulative_weight {
            return service;
        }
    }
    services.last().map_or("", |&(service, _)| service)
}
