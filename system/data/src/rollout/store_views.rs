//! The stores that may run a batch job's generations, as the placement sees them.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{Key, Value};

use super::plan::StoreView;
use crate::index::KnownStore;
use crate::Shared;

/// Versions of weights are read from the registry again after that time.
const CACHE_TTL: Duration = Duration::from_millis(50);
/// The most entries of the cache, one for each service and model.
const MAX_ENTRIES: usize = 64;

/// Stores of one service.
pub(super) type StoreList = Rc<Vec<Rc<KnownStore>>>;

/// Stores that may run generations, and the view of each, at the same position.
pub(super) struct ServiceStores {
    pub(super) stores: StoreList,
    pub(super) views: Vec<StoreView>,
}

/// The versions of one model at the stores of one service.
struct StoreVersions {
    service: String,
    model: String,
    read_at: Duration,
    stores: StoreList,
    /// Ids and versions, in the order of the stores.
    versions: Vec<(Rc<str>, u64)>,
}

/// The versions at the stores by service and model, as read from the registry recently.
#[derive(Default)]
pub(super) struct StoreViewCache {
    entries: Vec<StoreVersions>,
}

/// The stores of a service that accept requests, with what the placement needs to know of each for a model.
pub(super) fn current(shared: &Shared, service: &str, model: &str) -> ServiceStores {
    let now = shared.now();
    let stores = shared.stores_for_service(service);
    let mut cache = shared.rollout.stores.views.borrow_mut();
    let cached = cache.entries.iter().position(|entry| entry.service == service && entry.model == model);
    let is_fresh =
        |entry: &StoreVersions| entry.read_at + CACHE_TTL > now && Rc::ptr_eq(&entry.stores, &stores);
    let entry = match cached.map(|position| cache.entries.swap_remove(position)).filter(is_fresh) {
        Some(entry) => entry,
        None => read_versions(shared, service, model, &stores, now),
    };
    // A request beyond that would hold a place in the store's count while it waits here for a connection.
    let max_limit = u32::try_from(shared.stores.connection_limit(service)).unwrap_or(u32::MAX);
    let mut capacities = shared.rollout.stores.capacities.borrow_mut();
    let rates = shared.rollout.stores.progress_rates.borrow();
    let known = stores.iter().zip(&entry.versions);
    let weight_loading = shared.rollout.stores.weight_loading.borrow();
    let views = known.map(|(store, (id, version))| {
        let in_flight = u32::try_from(store.in_flight_requests.get()).unwrap_or(u32::MAX);
        let slots = u32::try_from(store.slots).unwrap_or(u32::MAX);
        let limit = capacities.limit(id, slots, now).min(max_limit);
        StoreView {
            id: Rc::clone(id),
            version: *version,
            in_flight,
            idle_connections: u32::try_from(shared.stores.idle_connections(id)).unwrap_or(u32::MAX),
            limit: weight_loading.limit(id, model, in_flight, limit, now),
            is_suspect: shared.health.is_suspect(id, now),
            is_own_zone: store.is_in_own_zone,
            interval_percent: rates.interval_percent(id, now),
        }
    });
    let views = views.collect();
    if cache.entries.len() >= MAX_ENTRIES {
        cache.entries.clear();
    }
    cache.entries.push(entry);
    ServiceStores { stores, views }
}

fn read_versions(
    shared: &Shared,
    service: &str,
    model: &str,
    stores: &StoreList,
    now: Duration,
) -> StoreVersions {
    let versions = shared.registry(|registry| {
        let versions = stores.iter().map(|store| {
            let id = store.target.id.as_str();
            let entry = registry.entry(&Key::Store(id.to_owned()));
            let version = match entry.map(|entry| &entry.value) {
                Some(Value::Store(record)) => registry.loaded_version(id, record, model),
                _ => 0,
            };
            (Rc::from(id), version)
        });
        versions.collect()
    });
    StoreVersions {
        service: service.to_owned(),
        model: model.to_owned(),
        read_at: now,
        stores: Rc::clone(stores),
        versions,
    }
}
