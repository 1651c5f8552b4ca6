//! The stores that may run a batch job's generations, with the values that the placement uses.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{Key, Value};

use super::plan::StoreView;
use crate::index::KnownStore;
use crate::Shared;

/// The time after which the versions of weights are read from the registry again.
const CACHE_TTL: Duration = Duration::from_millis(50);
/// The maximum number of entries of the cache, one for each service and model.
const MAX_ENTRIES: usize = 64;

/// The stores of one service.
pub(super) type StoreList = Rc<Vec<Rc<KnownStore>>>;

/// The stores of one service that accept requests, and the view of each at the same position.
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
    /// The id and the version of each store, in the order of `stores`.
    versions: Vec<(Rc<str>, u64)>,
}

/// A cache of the versions at the stores, by service and model.
#[derive(Default)]
pub(super) struct StoreViewCache {
    entries: Vec<StoreVersions>,
}

/// The stores of a service that accept requests, with a view of each for placing generations of a model.
pub(super) fn service_stores(shared: &Shared, service: &str, model: &str) -> ServiceStores {
    let now = shared.now();
    let stores = shared.stores_for_service(service);
    let mut cache = shared.rollout.store_observations.views.borrow_mut();
    let cached = cache.entries.iter().position(|entry| entry.service == service && entry.model == model);
    let is_fresh =
        |entry: &StoreVersions| entry.read_at + CACHE_TTL > now && Rc::ptr_eq(&entry.stores, &stores);
    let entry = match cached.map(|position| cache.entries.swap_remove(position)).filter(is_fresh) {
        Some(entry) => entry,
        None => read_versions(shared, service, model, &stores, now),
    };
    // A request beyond the connection limit would count as in flight at the store while it waits at this edge for a connection.
    let max_limit = u32::try_from(shared.stores.connection_limit(service)).unwrap_or(u32::MAX);
    let mut capacities = shared.rollout.store_observations.capacities.borrow_mut();
    let rates = shared.rollout.store_observations.progress_rates.borrow();
    let stores_with_versions = stores.iter().zip(&entry.versions);
    let weight_loading = shared.rollout.store_observations.weight_loading.borrow();
    let views = stores_with_versions.map(|(store, (id, version))| {
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
