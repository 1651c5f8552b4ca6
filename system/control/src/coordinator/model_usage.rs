//! How batch jobs use models, as edges have reported it. It decides how running requests end when a store loads a new version, and which
//! versions the next batch job may use.
//!
//! Where a route requires that each text is generated under one version, running requests end before a load; where all known routes of a
//! model accept texts of several versions, nothing has to wait.

use std::collections::{BTreeMap, BTreeSet};

use gingerledge_protocol::{Configuration, Route};

use super::weights::LoadMethod;

/// Most models whose usage is retained.
pub const MAX_MODELS: usize = 1_024;
/// Most routes that are retained for one model.
pub const MAX_ROUTES: usize = 64;

/// Host and path prefix, which identify a route when its other properties change.
type RouteKey = (String, String);

/// What is known of one model.
#[derive(Clone, Debug, Default)]
struct ObservedUsage {
    routes_seen: BTreeSet<RouteKey>,
    /// The oldest version that the newest batch job allows; none before one was seen.
    min_version: Option<u64>,
    /// The newest named version at the last evaluation, and the oldest that was wanted with it.
    wanted: Option<Wanted>,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    named: u64,
    floor: u64,
}

/// How batch jobs use each model.
#[derive(Clone, Debug, Default)]
pub struct ModelUsage {
    models: BTreeMap<String, ObservedUsage>,
}

impl ModelUsage {
    /// A batch job for a model has come to a host and path, which allows versions from `min_version` on. Returns whether
    /// that changes what should be loaded.
    pub fn on_job_seen(
        &mut self,
        configuration: &Configuration,
        model: &str,
        host: &str,
        path: &str,
        min_version: u64,
    ) -> bool {
        let Some(route) = configuration.route(host, path) else { return false };
        let Some(known) = self.entry(model) else { return false };
        let has_risen = known.min_version < Some(min_version);
        known.min_version = known.min_version.max(Some(min_version));
        let route_key = (route.host.clone(), route.path_prefix.clone());
        let is_new_route = known.routes_seen.len() < MAX_ROUTES && known.routes_seen.insert(route_key);
        has_risen || is_new_route
    }

    /// The oldest version of a model that the next batch job may use, given the newest named version.
    ///
    /// Each step of a trainer allows versions from one higher on than the step before, and begins once a further version is named. So
    /// the oldest version that is wanted rises by one above that of the newest batch job when a version is named, and not before:
    /// until then the batch job may still use the stores that are at its oldest version. While no batch job was seen, only the
    /// newest version is sure to do.
    pub fn floor(&mut self, model: &str, named: u64) -> u64 {
        let Some(known) = self.entry(model) else { return named };
        let floor = match (known.min_version, known.wanted) {
            (None, _) => return named,
            (Some(min), Some(wanted)) if wanted.named == named => wanted.floor.max(min),
            (Some(min), None) => min,
            (Some(min), Some(_)) => min.saturating_add(1),
        };
        let floor = floor.min(named);
        known.wanted = Some(Wanted { named, floor });
        floor
    }

    fn entry(&mut self, model: &str) -> Option<&mut ObservedUsage> {
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(model) {
            return None;
        }
        Some(self.models.entry(model.to_owned()).or_default())
    }

    /// How requests of a model end at the stores of a service. While nothing is known of the model, the strictest route of the
    /// service counts.
    #[must_use]
    pub fn method(&self, configuration: &Configuration, service: &str, model: &str) -> LoadMethod {
        let known: Vec<&Route> = self
            .models
            .get(model)
            .into_iter()
            .flat_map(|known| &known.routes_seen)
            .filter_map(|route_key| configuration.routes.iter().find(|route| is_at(route, route_key)))
            .collect();
        let strict = if known.is_empty() {
            configuration.routes.iter().any(|route| route.single_version && leads_to(route, service))
        } else {
            known.iter().any(|route| route.single_version)
        };
        if strict {
            LoadMethod::Blocking
        } else {
            LoadMethod::Preserve
        }
    }
}

fn is_at(route: &Route, (host, prefix): &RouteKey) -> bool {
    route.host == *host && route.path_prefix == *prefix
}

fn leads_to(route: &Route, service: &str) -> bool {
    route.services().iter().any(|(name, _)| *name == service)
}
