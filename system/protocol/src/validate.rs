//! Validation of configurations independently of the current one: those that can't be parsed as a whole, or contradict themselves, are
//! rejected. The version is compared with the current one by the control state.

use std::collections::HashSet;

use snafu::{ensure, OptionExt, ResultExt, Snafu};

use crate::configuration::{Configuration, Route};

/// Why a configuration or an update is rejected. The texts are part of responses to the operator.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InvalidConfiguration {
    /// It is not JSON of the expected form.
    #[snafu(display("configuration: {source}"))]
    Unreadable {
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// A route's kind is unknown.
    #[snafu(display("routes.{route}.routeKind: `{kind}` is not a kind of route"))]
    UnknownKind {
        /// The route.
        route: String,
        /// Its kind.
        kind: String,
    },
    /// A route names a service that is not listed.
    #[snafu(display("routes.{route}.service: `{service}` is not among the services"))]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes share host and prefix.
    #[snafu(display("routes.{route}.pathPrefix: another route has the same host and prefix"))]
    DuplicateMatch {
        /// The later route.
        route: String,
    },
    /// A route's weights add up to 0, or one is negative.
    #[snafu(display(
        "routes.{route}.trafficSplit: weights must not be negative, and add up to more than 0"
    ))]
    InvalidWeights {
        /// The route.
        route: String,
    },
    /// A route's time-out is missing or not above 0.
    #[snafu(display("routes.{route}.timeoutMs: must be above 0"))]
    InvalidTimeout {
        /// The route.
        route: String,
    },
    /// Two services have one name, or a name is empty.
    #[snafu(display("services: `{service}` is empty or stands twice"))]
    InvalidServiceName {
        /// The name.
        service: String,
    },
    /// The version is missing.
    #[snafu(display("version: must be above 0"))]
    MissingVersion,
    /// An update has a field of whole configurations outside of `upsert` and `remove`.
    #[snafu(display("{field}: an update changes named items, by `upsert` and `remove` only"))]
    NotInUpdate {
        /// The field.
        field: &'static str,
    },
    /// An item of an update has no name.
    #[snafu(display("upsert.{list}: an item has no name"))]
    MissingName {
        /// The list.
        list: &'static str,
    },
    /// Two items of an update have one name.
    #[snafu(display("upsert.{list}: `{name}` stands twice"))]
    DuplicateInUpdate {
        /// The list.
        list: &'static str,
        /// The name.
        name: String,
    },
    /// An update both upserts and removes an item.
    #[snafu(display("remove.{list}: `{name}` stands in `upsert` too"))]
    UpsertedAndRemoved {
        /// The list.
        list: &'static str,
        /// The name.
        name: String,
    },
    /// An update is for another change than the known one.
    #[snafu(display("the update is for change {base}, where change {known} is known"))]
    BaseMismatch {
        /// Sequence number of the change that it is for.
        base: u64,
        /// Sequence number of the known change.
        known: u64,
    },
}

/// Parses and validates a whole configuration.
///
/// # Errors
///
/// The text is not a configuration, or the configuration contradicts itself.
pub fn read_configuration(json: &[u8]) -> Result<Configuration, InvalidConfiguration> {
    let configuration: Configuration = serde_json::from_slice(json).context(UnreadableSnafu)?;
    ensure!(configuration.version > 0, MissingVersionSnafu);
    let mut services = HashSet::new();
    for service in &configuration.services {
        let name = service.name.as_str();
        ensure!(!name.is_empty() && services.insert(name), InvalidServiceNameSnafu { service: name });
    }
    let mut matches = HashSet::new();
    for route in &configuration.routes {
        check_route(route, &services)?;
        let route_match = (route.host.as_str(), route.path_prefix.as_str());
        ensure!(matches.insert(route_match), DuplicateMatchSnafu { route: &route.name });
    }
    Ok(configuration)
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<(), InvalidConfiguration> {
    check_route_alone(route)?;
    for (service, _) in route.services() {
        ensure!(services.contains(service), UnknownServiceSnafu { route: &route.name, service });
    }
    Ok(())
}

/// Validates a route without the services.
pub(crate) fn check_route_alone(route: &Route) -> Result<(), InvalidConfiguration> {
    let name = &route.name;
    route.kind().context(UnknownKindSnafu { route: name, kind: &route.route_kind })?;
    let has_timeout = route.timeout_ms.map_or(route.route_kind == "deployment", |timeout| timeout > 0.0);
    ensure!(has_timeout, InvalidTimeoutSnafu { route: name });
    let split = route.services();
    let total: f64 = split.iter().map(|&(_, weight)| weight).sum();
    let is_non_negative = split.iter().all(|&(_, weight)| weight >= 0.0);
    ensure!(is_non_negative && total > 0.0, InvalidWeightsSnafu { route: name });
    Ok(())
}
