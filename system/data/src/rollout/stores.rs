//! The stores that a batch job's generations may go to, as the placement sees them.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::StoreState;

use super::plan::StoreView;
use crate::Shared;

/// What the registry says is read again after that long.
const REFRESH: Duration = Duration::from_millis(50);
/// The most lists that are kept, one for each service and model.
const MAX_LISTS: usize = 64;

struct List {
    service: String,
    model: String,
    read: Duration,
    /// With each store's slots.
    stores: Vec<(StoreView, u32)>,
}

/// Lists of stores by service and model.
#[derive(Default)]
pub(super) struct StoreViews {
    lists: Vec<List>,
}

/// The stores of a service that take requests, as they stand now.
pub(super) fn views(shared: &Shared, service: &str, model: &str) -> Vec<StoreView> {
    let now = shared.now();
    let mut cache = shared.rollout.views.borrow_mut();
    let known = cache.lists.iter().position(|list| list.service == service && list.model == model);
    let place = match known {
        Some(place) if cache.lists[place].read + REFRESH > now => place,
        Some(place) => {
            cache.lists[place] = read(shared, service, model, now);
            place
        }
        None => {
            if cache.lists.len() >= MAX_LISTS {
                cache.lists.clear();
            }
            cache.lists.push(read(shared, service, model, now));
            cache.lists.len() - 1
        }
    };
    let mut rooms = shared.rollout.rooms.borrow_mut();
    let paces = shared.rollout.paces.borrow();
    let stores = cache.lists.get(place).map_or(&[][..], |list| &list.stores);
    stores
        .iter()
        .map(|(view, slots)| StoreView {
            out: u32::try_from(shared.counts.count(&view.id)).unwrap_or(u32::MAX),
            limit: rooms.limit(&view.id, *slots, now),
            avoided: shared.health.avoid(&view.id, now),
            pace_percent: paces.percent(&view.id),
            ..view.clone()
        })
        .collect()
}

fn read(shared: &Shared, service: &str, model: &str, now: Duration) -> List {
    let zone = shared.zone();
    let stores = shared.registry(|registry| {
        let ready = registry
            .stores()
            .filter(|(_, store)| store.service == service && store.state == StoreState::Ready);
        let views = ready.map(|(id, store)| {
            let view = StoreView {
                id: Rc::from(id),
                address: store.address,
                version: registry.loaded_version(id, store, model),
                out: 0,
                limit: 0,
                avoided: false,
                own_zone: store.zone == zone,
                pace_percent: 0,
            };
            (view, store.slots)
        });
        views.collect()
    });
    List { service: service.to_owned(), model: model.to_owned(), read: now, stores }
}
