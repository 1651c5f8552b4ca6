//! The stores that a batch job's generations may go to, as the placement sees them.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{Key, Value};

use super::plan::StoreView;
use crate::index::KnownStore;
use crate::Shared;

/// Versions of weights are read again after that long.
const REFRESH: Duration = Duration::from_millis(50);
/// The most lists that are kept, one for each service and model.
const MAX_LISTS: usize = 64;

/// Stores of one service.
pub(super) type Stores = Rc<Vec<Rc<KnownStore>>>;

/// The versions of one model at the stores of one service.
struct List {
    service: String,
    model: String,
    read: Duration,
    stores: Stores,
    /// Ids and versions, in the order of the stores.
    known: Vec<(Rc<str>, u64)>,
}

/// Lists of stores by service and model.
#[derive(Default)]
pub(super) struct StoreViews {
    lists: Vec<List>,
}

/// The stores of a service that take requests, as they stand now.
pub(super) fn views(shared: &Shared, service: &str, model: &str) -> (Stores, Vec<StoreView>) {
    let now = shared.now();
    let stores = shared.stores_of(service);
    let mut cache = shared.rollout.views.borrow_mut();
    let place = cache.lists.iter().position(|list| list.service == service && list.model == model);
    let fresh = |list: &List| list.read + REFRESH > now && Rc::ptr_eq(&list.stores, &stores);
    let list = match place.map(|place| cache.lists.swap_remove(place)).filter(fresh) {
        Some(list) => list,
        None => read(shared, service, model, &stores, now),
    };
    let mut rooms = shared.rollout.rooms.borrow_mut();
    let paces = shared.rollout.paces.borrow();
    let known = stores.iter().zip(&list.known);
    let loading = shared.rollout.loading.borrow();
    let views = known.map(|(store, (id, version))| {
        let out = u32::try_from(store.out.get()).unwrap_or(u32::MAX);
        let limit = rooms.limit(id, u32::try_from(store.slots).unwrap_or(u32::MAX), now);
        StoreView {
            id: Rc::clone(id),
            version: *version,
            out,
            limit: loading.limit(id, model, out, limit, now),
            avoided: shared.health.avoid(id, now),
            own_zone: store.own_zone,
            pace_percent: paces.percent(id, now),
        }
    });
    let views = views.collect();
    if cache.lists.len() >= MAX_LISTS {
        cache.lists.clear();
    }
    cache.lists.push(list);
    (stores, views)
}

fn read(shared: &Shared, service: &str, model: &str, stores: &Stores, now: Duration) -> List {
    let known = shared.registry(|registry| {
        let known = stores.iter().map(|store| {
            let id = store.target.id.as_str();
            let entry = registry.entry(&Key::Store(id.to_owned()));
            let version = match entry.map(|entry| &entry.value) {
                Some(Value::Store(record)) => registry.loaded_version(id, record, model),
                _ => 0,
            };
            (Rc::from(id), version)
        });
        known.collect()
    });
    List { service: service.to_owned(), model: model.to_owned(), read: now, stores: Rc::clone(stores), known }
}
