//! Plans which stores should load which version of a model's weights.
//!
//! On average, each store has three models at a version that the next batch job may use: in a service with at most three models
//! all stores have all of them, and with six models each model is on half of the stores. With fewer loads per version, the next
//! step of a trainer starts earlier, and the trainers of one service interfere less. Each model prefers the same stores for each
//! of its versions, by rendezvous hashing (Thaler & Ravishankar 1998). A store whose version is still allowed is not reloaded,
//! since each load takes time and interrupts the store for a moment. Where batch jobs also allow the version before the newest,
//! each store loads every other version, half of the stores for each: the other half serves the next batch job at once.

use std::collections::BTreeMap;

use gingerledge_wire::stable_hash;

use super::rendezvous_score;

/// Average number of models that are up to date at each store. With fewer, a model in high demand has too few stores; with more,
/// each step waits for more loads, and trainers interfere with one another.
const MODELS_PER_STORE: usize = 3;
/// Version of the weights that stores start with.
const INITIAL_VERSION: u64 = 1;

/// A store that accepts orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStore {
    /// Instance id of the store.
    pub id: String,
    /// Known version of each model at the store.
    pub versions: BTreeMap<String, u64>,
}

impl EngineStore {
    fn version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or(INITIAL_VERSION)
    }
}

/// A service whose stores have models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineService {
    /// The models of the service, by name.
    pub models: BTreeMap<String, WantedModel>,
    /// The stores of the service that are ready.
    pub stores: Vec<EngineStore>,
}

impl EngineService {
    /// Number of stores that should have a version of a model that the next batch job may use.
    fn stores_per_model(&self) -> usize {
        let stores = (MODELS_PER_STORE * self.stores.len()).div_ceil(self.models.len().max(1));
        stores.min(self.stores.len())
    }
}

/// The wanted versions of a model, and how stores load them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WantedModel {
    /// The newest named version, which stores load.
    pub version: u64,
    /// The oldest version that the next batch job may use. A store with an older version should load `version`.
    pub floor: u64,
    /// How a load treats requests that run under an older version.
    pub method: LoadMethod,
}

/// A store that should load a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// Instance id of the store.
    pub id: String,
    /// Name of the model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// How the load treats the store's running requests.
    pub method: LoadMethod,
}

/// How a load treats requests that run under the previous version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadMethod {
    /// The load waits until they have ended.
    Blocking,
    /// They continue under the new version.
    Preserve,
}

impl LoadMethod {
    /// Name of the method in an order to a store.
    #[must_use]
    pub fn wire_name(self) -> &'static str {
        match self {
            LoadMethod::Blocking => "blocking",
            LoadMethod::Preserve => "preserve",
        }
    }
}

/// The loads that are due at the stores of one service, the most urgent first: those of the model that the fewest stores can
/// serve now. Each model has its own order of the stores, so that not all models wait for the same ones.
#[must_use]
pub fn due_loads(service: &EngineService) -> Vec<Load> {
    let mut models: Vec<_> = service
        .models
        .iter()
        .map(|(name, wanted)| {
            let serving_stores =
                service.stores.iter().filter(|store| store.version(name) >= wanted.floor).count();
            (serving_stores, name, wanted)
        })
        .collect();
    models.sort_by_key(|(serving_stores, name, _)| (*serving_stores, *name));
    models.into_iter().flat_map(|(_, name, wanted)| due_loads_of_model(service, name, *wanted)).collect()
}

fn due_loads_of_model(service: &EngineService, model: &str, wanted: WantedModel) -> Vec<Load> {
    let mut candidates: Vec<&EngineStore> =
        service.stores.iter().filter(|store| store.version(model) < wanted.version).collect();
    let is_outdated = |store: &EngineStore| store.version(model) < wanted.floor;
    candidates.sort_by_key(|store| {
        (!is_outdated(store), rendezvous_score(stable_hash(model), stable_hash(&store.id)))
    });
    // Among the candidates, the stores that would be outdated once the next version is named. Those beyond half of all stores are
    // loaded now.
    let outdated_by_next_version =
        candidates.iter().filter(|store| store.version(model) <= wanted.floor).count();
    let excess_stores = outdated_by_next_version.saturating_sub(service.stores.len().div_ceil(2));
    let usable_stores = service.stores.iter().filter(|store| !is_outdated(store)).count();
    let missing_stores = service.stores_per_model().saturating_sub(usable_stores);
    candidates.truncate(missing_stores.max(excess_stores));
    let load = |store: &EngineStore| Load {
        id: store.id.clone(),
        model: model.to_owned(),
        version: wanted.version,
        method: wanted.method,
    };
    candidates.into_iter().map(load).collect()
}
