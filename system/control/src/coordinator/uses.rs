//! Which routes use which models, as edges have seen it in batch jobs: it decides how requests that run end when a store loads a new
//! version. A route that wants each text made under one version lets them run to their end first; where all known routes of a model
//! take texts of several versions, nothing has to wait.

use std::collections::{BTreeMap, BTreeSet};

use gingerledge_protocol::{Configuration, Route};

use super::weights::LoadMethod;

/// Most models that uses are remembered of.
pub const MAX_MODELS: usize = 1_024;
/// Most places that are remembered for one model.
pub const MAX_PLACES: usize = 64;

/// Host and path prefix of a route: what stays when its other properties change.
type Place = (String, String);

/// The routes that use each model.
#[derive(Clone, Debug, Default)]
pub struct ModelUses {
    places: BTreeMap<String, BTreeSet<Place>>,
}

impl ModelUses {
    /// A batch job for a model has come to a host and path.
    pub fn seen(&mut self, configuration: &Configuration, model: &str, host: &str, path: &str) {
        let Some(route) = configuration.route(host, path) else { return };
        if self.places.len() >= MAX_MODELS && !self.places.contains_key(model) {
            return;
        }
        let places = self.places.entry(model.to_owned()).or_default();
        if places.len() < MAX_PLACES {
            places.insert((route.host.clone(), route.path_prefix.clone()));
        }
    }

    /// How requests of a model end at the stores of a service. While nothing is known of the model, the strictest route of the
    /// service counts.
    pub fn method(&self, configuration: &Configuration, service: &str, model: &str) -> LoadMethod {
        let known: Vec<&Route> = self
            .places
            .get(model)
            .into_iter()
            .flatten()
            .filter_map(|place| configuration.routes.iter().find(|route| is_at(route, place)))
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

fn is_at(route: &Route, (host, prefix): &Place) -> bool {
    route.host == *host && route.path_prefix == *prefix
}

fn leads_to(route: &Route, service: &str) -> bool {
    route.services().iter().any(|(name, _)| *name == service)
}
