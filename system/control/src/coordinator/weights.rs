//! Which stores should load which version of a model's weights.
//!
//! Each model has home stores: somewhat more than its even share of the stores of its engine, spread over zones, and each
//! store home of few models. Home stores are kept at the newest named version. A home store that goes is replaced by one that has
//! the version already, if there is one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::{hash_name, rendezvous};

/// How many times its even share of the stores are home of a model, as a fraction.
const SHARE: (usize, usize) = (5, 4);

/// A store that can be ordered about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStore {
    /// Its instance id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// The version of each model, as far as is known.
    pub versions: BTreeMap<String, u64>,
}

/// One service whose stores hold models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineService {
    /// The models.
    pub models: BTreeMap<String, WantedModel>,
    /// Its stores that take requests.
    pub stores: Vec<EngineStore>,
}

/// What is wanted of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WantedModel {
    /// The newest named version.
    pub version: u64,
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
    /// They run to their end first.
    Blocking,
    /// They go on under the new version.
    Preserve,
}

impl LoadMethod {
    /// The word that stores know.
    pub fn word(self) -> &'static str {
        match self {
            LoadMethod::Blocking => "blocking",
            LoadMethod::Preserve => "preserve",
        }
    }
}

/// The home stores of all models. They are remembered, so that they change only with the stores.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    homes: BTreeMap<(String, String), BTreeSet<String>>,
}

impl Homes {
    /// Chooses home stores anew where they are too few or too many, and returns the loads that are due.
    pub fn plan(&mut self, services: &BTreeMap<String, EngineService>) -> Vec<Load> {
        self.homes.retain(|(service, model), _| {
            services.get(service).is_some_and(|service| service.models.contains_key(model))
        });
        let mut loads = Vec::new();
        for (name, service) in services {
            self.choose(name, service);
            loads.extend(self.due(name, service));
        }
        loads
    }

    /// The home stores of a model.
    pub fn of(&self, service: &str, model: &str) -> Option<&BTreeSet<String>> {
        self.homes.get(&(service.to_owned(), model.to_owned()))
    }

    fn choose(&mut self, name: &str, service: &EngineService) {
        let wanted = homes_per_model(service);
        let present: BTreeSet<&str> = service.stores.iter().map(|store| store.id.as_str()).collect();
        let mut burden: BTreeMap<&str, usize> = BTreeMap::new();
        for model in service.models.keys() {
            let homes = self.homes.entry((name.to_owned(), model.clone())).or_default();
            homes.retain(|id| present.contains(id.as_str()));
            while homes.len() > wanted {
                homes.pop_last();
            }
            for store in service.stores.iter().filter(|store| homes.contains(&store.id)) {
                *burden.entry(store.id.as_str()).or_default() += 1;
            }
        }
        for model in service.models.keys() {
            let Some(homes) = self.homes.get_mut(&(name.to_owned(), model.clone())) else { continue };
            relieve(homes, model, service, &mut burden);
            fill(homes, wanted, model, service, &mut burden);
        }
    }

    fn due(&self, name: &str, service: &EngineService) -> Vec<Load> {
        let mut loads = Vec::new();
        for (model, &WantedModel { version, method }) in &service.models {
            let Some(homes) = self.of(name, model) else { continue };
            let behind = service.stores.iter().filter(|store| {
                homes.contains(&store.id) && store.versions.get(model).copied().unwrap_or(1) < version
            });
            loads.extend(behind.map(|store| Load {
                id: store.id.clone(),
                model: model.clone(),
                version,
                method,
            }));
        }
        loads
    }
}

/// A model's even share of the stores and a quarter more, so that its batch jobs can borrow room from the others' and the loss
/// of a store does not leave it short; each home beyond the even share costs a load for each version.
fn homes_per_model(service: &EngineService) -> usize {
    let (numerator, denominator) = SHARE;
    let share = (service.stores.len() * numerator).div_ceil(service.models.len().max(1) * denominator);
    share.min(service.stores.len())
}

/// Gives up home stores that are home of other models too where a store that is home of none has as new a version: the first
/// stores that come are homes of all models.
fn relieve<'a>(
    homes: &mut BTreeSet<String>,
    model: &str,
    service: &'a EngineService,
    burden: &mut BTreeMap<&'a str, usize>,
) {
    let version = |store: &EngineStore| store.versions.get(model).copied().unwrap_or(1);
    let burden_of = |burden: &BTreeMap<&str, usize>, store: &EngineStore| {
        burden.get(store.id.as_str()).copied().unwrap_or(0)
    };
    let mut free: Vec<u64> =
        service.stores.iter().filter(|store| burden_of(burden, store) == 0).map(version).collect();
    for store in &service.stores {
        if burden_of(burden, store) < 2 || !homes.contains(&store.id) {
            continue;
        }
        let Some(at) = free.iter().position(|other| *other >= version(store)) else { continue };
        free.swap_remove(at);
        homes.remove(&store.id);
        *burden.entry(store.id.as_str()).or_default() -= 1;
    }
}

/// Adds home stores: those with the newest version, then those that are home of the fewest models, in zones with few homes.
fn fill<'a>(
    homes: &mut BTreeSet<String>,
    wanted: usize,
    model: &str,
    service: &'a EngineService,
    burden: &mut BTreeMap<&'a str, usize>,
) {
    while homes.len() < wanted {
        let in_zone = |zone: &str| {
            service.stores.iter().filter(|store| store.zone == zone && homes.contains(&store.id)).count()
        };
        let rank = |store: &&EngineStore| {
            let version = store.versions.get(model).copied().unwrap_or(1);
            let models = burden.get(store.id.as_str()).copied().unwrap_or(0);
            let score = rendezvous(hash_name(model), hash_name(&store.id));
            (Reverse(version), models, in_zone(&store.zone), Reverse(score))
        };
        let candidates = service.stores.iter().filter(|store| !homes.contains(&store.id));
        let Some(best) = candidates.min_by_key(rank) else { break };
        homes.insert(best.id.clone());
        *burden.entry(best.id.as_str()).or_default() += 1;
    }
}
