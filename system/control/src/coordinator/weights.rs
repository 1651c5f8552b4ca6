//! Which stores should load which version of a model's weights.
//!
//! On average, each store has three models at a version that the next batch job may use: where a service has no more, all its stores have
//! all of them, and of six models each has half of the stores. So the next step of a trainer waits for fewer loads, and the trainers of
//! one service interfere less: each model prefers the same stores with each version, by rendezvous hashing (Thaler & Ravishankar 1998).
//! A store whose version is still allowed is not loaded, since each load costs time and interrupts the store for a moment. Where
//! batch jobs allow the version before the newest too, each store loads every other version, half of the stores for each: the other
//! half serves the next batch job at once.

use std::collections::BTreeMap;

use gingerledge_wire::stable_hash;

use super::rendezvous;

/// So many models are up to date at each store, on average: with fewer, a model in high demand has too few stores; with more, each step
/// waits for more loads, and trainers interfere with one another.
const MODELS_OF_A_STORE: usize = 3;
/// The version of the weights that stores begin with.
const FIRST_VERSION: u64 = 1;

/// A store that accepts orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStore {
    /// Its instance id.
    pub id: String,
    /// The version of each model, as far as is known.
    pub versions: BTreeMap<String, u64>,
}

impl EngineStore {
    fn version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or(FIRST_VERSION)
    }
}

/// One service whose stores have models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineService {
    /// The models.
    pub models: BTreeMap<String, WantedModel>,
    /// Its stores that are ready.
    pub stores: Vec<EngineStore>,
}

impl EngineService {
    /// How many stores are to have a version of a model that the next batch job may use.
    fn stores_for_a_model(&self) -> usize {
        let share = (MODELS_OF_A_STORE * self.stores.len()).div_ceil(self.models.len().max(1));
        share.min(self.stores.len())
    }
}

/// What is wanted of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WantedModel {
    /// The newest named version, which is what a store loads.
    pub version: u64,
    /// The oldest version that the next batch job may use; a store below it loads.
    pub floor: u64,
    /// How requests that run under an older one end.
    pub method: LoadMethod,
}

/// A store that should load a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// The store.
    pub id: String,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// How its running requests end.
    pub method: LoadMethod,
}

/// How requests that run under the version before end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadMethod {
    /// They end first.
    Blocking,
    /// They continue under the new version.
    Preserve,
}

impl LoadMethod {
    /// The name of the method in an order.
    #[must_use]
    pub fn wire_name(self) -> &'static str {
        match self {
            LoadMethod::Blocking => "blocking",
            LoadMethod::Preserve => "preserve",
        }
    }
}

/// The loads that are due at the stores of one service, the most urgent first: those of the model that the fewest stores can
/// serve now. The stores of one model come in an order of its own, so that models don't all wait for the same ones.
#[must_use]
pub fn due_loads(service: &EngineService) -> Vec<Load> {
    let mut models: Vec<_> = service
        .models
        .iter()
        .map(|(name, wanted)| {
            let serving = service.stores.iter().filter(|store| store.version(name) >= wanted.floor).count();
            (serving, name, wanted)
        })
        .collect();
    models.sort_by_key(|(serving, name, _)| (*serving, *name));
    models.into_iter().flat_map(|(_, name, wanted)| due_loads_of(service, name, *wanted)).collect()
}

fn due_loads_of(service: &EngineService, model: &str, wanted: WantedModel) -> Vec<Load> {
    let mut behind: Vec<&EngineStore> =
        service.stores.iter().filter(|store| store.version(model) < wanted.version).collect();
    let is_outdated = |store: &EngineStore| store.version(model) < wanted.floor;
    behind.sort_by_key(|store| (!is_outdated(store), rendezvous(stable_hash(model), stable_hash(&store.id))));
    // Those that the next version leaves behind, as far as they are more than half of all.
    let next_behind = behind.iter().filter(|store| store.version(model) <= wanted.floor).count();
    let excess = next_behind.saturating_sub(service.stores.len().div_ceil(2));
    let up_to_date = service.stores.iter().filter(|store| !is_outdated(store)).count();
    let missing = service.stores_for_a_model().saturating_sub(up_to_date);
    behind.truncate(missing.max(excess));
    let load = |store: &EngineStore| Load {
        id: store.id.clone(),
        model: model.to_owned(),
        version: wanted.version,
        method: wanted.method,
    };
    behind.into_iter().map(load).collect()
}
