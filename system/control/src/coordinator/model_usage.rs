//! How batch jobs use models, as reported by edges. It decides how running requests end when a store loads a new version, and
//! which versions the next batch job may use.
//!
//! If a route requires that each text is generated under one version, running requests end before a load. If all known routes of
//! a model accept texts of several versions, loads do not wait for requests.

use std::collections::{BTreeMap, BTreeSet};

use gingerledge_protocol::{Configuration, Route};

use super::weights::LoadMethod;

/// Maximum number of models whose usage is retained.
pub const MAX_MODELS: usize = 1_024;
/// Maximum number of routes that are retained for one model.
pub const MAX_ROUTES: usize = 64;

/// Host and path prefix, which identify a route when its other properties change.
type RouteId = (String, String);

/// The observed usage of one model.
#[derive(Clone, Debug, Default)]
struct ObservedUsage {
    routes: BTreeSet<RouteId>,
    /// The oldest version that the newest batch job allows; `None` before the first batch job.
    min_version: Option<u64>,
    /// The newest named version at the last evaluation, and the oldest version that was wanted at that time.
    last_wanted: Option<WantedVersions>,
}

#[derive(Clone, Copy, Debug)]
struct WantedVersions {
    named_version: u64,
    floor: u64,
}

/// How batch jobs use each model.
#[derive(Clone, Debug, Default)]
pub struct ModelUsage {
    models: BTreeMap<String, ObservedUsage>,
}

impl ModelUsage {
    /// Processes a batch job for a model at a host and path, which allows versions from `min_version` on. Returns whether that
    /// changes which versions should be loaded.
    pub fn on_job_seen(
        &mut self,
        configuration: &Configuration,
        model: &str,
        host: &str,
        path: &str,
        min_version: u64,
    ) -> bool {
        let Some(route) = configuration.route(host, path) else { return false };
        let Some(usage) = self.entry(model) else { return false };
        let has_risen = usage.min_version < Some(min_version);
        usage.min_version = usage.min_version.max(Some(min_version));
        let route_id = (route.host.clone(), route.path_prefix.clone());
        let is_new_route = usage.routes.len() < MAX_ROUTES && usage.routes.insert(route_id);
        has_risen || is_new_route
    }

    /// The oldest version of a model that the next batch job may use, given the newest named version.
    ///
    /// Each step of a trainer allows versions starting one higher than the step before, and starts once a further version is
    /// named. So the oldest wanted version rises to one above that of the newest batch job when a version is named, and not
    /// before: until then the batch job may still use the stores that are at its oldest version. Before the first batch job, only
    /// the newest version is certain to be allowed.
    pub fn floor(&mut self, model: &str, named_version: u64) -> u64 {
        let Some(usage) = self.entry(model) else { return named_version };
        let floor = match (usage.min_version, usage.last_wanted) {
            (None, _) => return named_version,
            (Some(min), Some(wanted)) if wanted.named_version == named_version => wanted.floor.max(min),
            (Some(min), None) => min,
            (Some(min), Some(_)) => min.saturating_add(1),
        };
        let floor = floor.min(named_version);
        usage.last_wanted = Some(WantedVersions { named_version, floor });
        floor
    }

    fn entry(&mut self, model: &str) -> Option<&mut ObservedUsage> {
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(model) {
            return None;
        }
        Some(self.models.entry(model.to_owned()).or_default())
    }

    /// How loads treat requests of a model at the stores of a service. If no route of the model is known, the strictest route of
    /// the service decides.
    #[must_use]
    pub fn method(&self, configuration: &Configuration, service: &str, model: &str) -> LoadMethod {
        let known_routes: Vec<&Route> = self
            .models
            .get(model)
            .into_iter()
            .flat_map(|usage| &usage.routes)
            .filter_map(|route_id| configuration.routes.iter().find(|route| has_id(route, route_id)))
            .collect();
        let requires_single_version = if known_routes.is_empty() {
            configuration.routes.iter().any(|route| route.single_version && routes_to(route, service))
        } else {
            known_routes.iter().any(|route| route.single_version)
        };
        if requires_single_version {
            LoadMethod::Blocking
        } else {
            LoadMethod::Preserve
        }
    }
}

fn has_id(route: &Route, (host, prefix): &RouteId) -> bool {
    route.host == *host && route.path_prefix == *prefix
}

fn routes_to(route: &Route, service: &str) -> bool {
    route.services().iter().any(|(name, _)| *name == service)
}
