//! Selects the store of the next attempt: by the weights of the route, then by load, affinity and health.

use std::rc::Rc;

use super::outgoing::OutgoingRequest;
use crate::headers;
use crate::index::KnownStore;
use crate::routing::{choose_store, exceeds_queueing_time, pick_service, Candidate, Prompt};
use crate::Shared;

/// Selects stores for one request.
pub(super) struct StoreSelection {
    /// The request's prompt at each service of its route, if the route has affinity; else empty.
    prompts: Vec<Prompt>,
    /// The stores of earlier attempts.
    tried: Vec<Rc<KnownStore>>,
}

impl StoreSelection {
    /// Without earlier attempts.
    pub(super) fn new(outgoing: &OutgoingRequest) -> Self {
        Self { prompts: prompts(outgoing), tried: Vec::new() }
    }

    /// The store of the next attempt: of a service picked by weight, else of another one of the route. `None` if no store could serve
    /// the request in time.
    pub(super) fn select(&self, shared: &Shared, outgoing: &OutgoingRequest) -> Option<Rc<KnownStore>> {
        let route = &outgoing.route;
        let picked = pick_service(&route.weights, fastrand::f64())?;
        let others =
            (0..route.services.len()).filter(|&position| position != picked && route.weights[position] > 0.0);
        let store = std::iter::once(picked)
            .chain(others)
            .find_map(|position| self.select_of_service(shared, outgoing, position))?;
        let load = store.load(shared.now());
        let time_left = outgoing.deadline.saturating_sub(shared.now());
        (!exceeds_queueing_time(load, route.latency.get(), time_left)).then_some(store)
    }

    fn select_of_service(
        &self,
        shared: &Shared,
        outgoing: &OutgoingRequest,
        service: usize,
    ) -> Option<Rc<KnownStore>> {
        let now = shared.now();
        let stores = shared.stores_of(outgoing.route.services.get(service)?);
        let affinity = shared.affinity.borrow();
        let preferred = self.prompts.get(service).and_then(|prompt| affinity.preferred_store(prompt));
        let reports: Vec<usize> = stores.iter().filter_map(|store| store.others_in_flight(now)).collect();
        let assumed_others = average(&reports);
        let candidates = stores.iter().map(|store| {
            let id = store.target.id.as_str();
            let bonus = preferred.filter(|&(preferred, _)| preferred == id).map_or(0, |(_, bonus)| bonus);
            Candidate {
                affinity_bonus: bonus,
                has_idle_connection: shared.stores.idle_connections(id) > 0,
                is_suspect: shared.health.is_suspect(id, now),
                was_tried: self.tried.iter().any(|tried| tried.target.id == id),
                ..store.candidate(now, assumed_others)
            }
        });
        choose_store(candidates, fastrand::u64(..)).and_then(|position| stores.get(position).cloned())
    }

    /// An attempt at a store starts; it is not selected again.
    pub(super) fn on_attempt(&mut self, store: &Rc<KnownStore>) {
        self.tried.push(Rc::clone(store));
    }

    /// A store responded, so it has the request's prompt in its prefix cache.
    pub(super) fn on_response(&self, shared: &Shared, outgoing: &OutgoingRequest, store: &KnownStore) {
        let services = &outgoing.route.services;
        let prompts =
            self.prompts.iter().zip(services).filter(|(_, service)| **service == store.target.service);
        for (prompt, _) in prompts {
            shared.affinity.borrow_mut().record(prompt, &store.target.id);
        }
    }
}

/// The average, rounded down; 0 of none. A store whose load is unknown counts as loaded as those that reported theirs: else a store would
/// look better for never having been asked, and each request would open a connection to another one.
fn average(values: &[usize]) -> usize {
    values.iter().sum::<usize>().checked_div(values.len()).unwrap_or_default()
}

fn prompts(outgoing: &OutgoingRequest) -> Vec<Prompt> {
    let parts =
        headers::text(&outgoing.headers, &headers::PROMPT_PREFIX).filter(|_| outgoing.route.route.sticky);
    let Some(parts) = parts else { return Vec::new() };
    let model = headers::text(&outgoing.headers, &headers::MODEL).unwrap_or_default();
    outgoing.route.services.iter().map(|service| Prompt::parse(service, model, parts)).collect()
}
