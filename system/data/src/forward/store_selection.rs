//! Selects the store for the next attempt: a service by the traffic weights of the route, then a store of the service by health,
//! load and affinity.

use std::rc::Rc;

use super::outgoing::OutgoingRequest;
use crate::headers;
use crate::index::KnownStore;
use crate::routing::{choose_store, pick_service, queueing_exceeds_time_left, Candidate, PromptPrefixes};
use crate::Shared;

/// Selects stores for one request.
pub(super) struct StoreSelection {
    /// Prompt prefixes of the request for each service of its route; empty if the route is not sticky or the request has no prompt.
    prompts: Vec<PromptPrefixes>,
    /// Stores of earlier attempts.
    tried_stores: Vec<Rc<KnownStore>>,
}

impl StoreSelection {
    /// Creates the selection before the first attempt.
    pub(super) fn new(outgoing: &OutgoingRequest) -> Self {
        Self { prompts: parse_prompts(outgoing), tried_stores: Vec::new() }
    }

    /// Selects the store for the next attempt, from a service picked by weight, or from another service of the route if that one has
    /// no store left. `None` if there is no store, or if the expected queueing time at the selected one exceeds the time left.
    pub(super) fn select(&self, shared: &Shared, outgoing: &OutgoingRequest) -> Option<Rc<KnownStore>> {
        let route = &outgoing.route;
        let picked = pick_service(&route.weights, fastrand::f64())?;
        let others =
            (0..route.services.len()).filter(|&position| position != picked && route.weights[position] > 0.0);
        let store = std::iter::once(picked)
            .chain(others)
            .find_map(|position| self.select_from_service(shared, outgoing, position))?;
        let load = store.load(shared.now());
        let time_left = outgoing.deadline.saturating_sub(shared.now());
        (!queueing_exceeds_time_left(load, route.average_latency.get(), time_left)).then_some(store)
    }

    fn select_from_service(
        &self,
        shared: &Shared,
        outgoing: &OutgoingRequest,
        service_position: usize,
    ) -> Option<Rc<KnownStore>> {
        let now = shared.now();
        let stores = shared.stores_for_service(outgoing.route.services.get(service_position)?);
        let affinity = shared.affinity.borrow();
        let preferred =
            self.prompts.get(service_position).and_then(|prompt| affinity.preferred_store(prompt));
        let reported_requests: Vec<usize> =
            stores.iter().filter_map(|store| store.in_flight_from_other_callers(now)).collect();
        let assumed_from_other_callers = average(&reported_requests);
        let candidates = stores.iter().map(|store| {
            let id = store.target.id.as_str();
            let bonus = preferred.filter(|&(preferred, _)| preferred == id).map_or(0, |(_, bonus)| bonus);
            Candidate {
                affinity_bonus: bonus,
                has_idle_connection: shared.stores.idle_connections(id) > 0,
                is_suspect: shared.health.is_suspect(id, now),
                was_tried: self.tried_stores.iter().any(|tried| tried.target.id == id),
                ..store.candidate(now, assumed_from_other_callers)
            }
        });
        choose_store(candidates, fastrand::u64(..)).and_then(|position| stores.get(position).cloned())
    }

    /// Records that an attempt at a store starts, so that the store is not selected again.
    pub(super) fn on_attempt(&mut self, store: &Rc<KnownStore>) {
        self.tried_stores.push(Rc::clone(store));
    }

    /// Records that a store responded, so that it has the prompt of the request in its prefix cache.
    pub(super) fn on_response(&self, shared: &Shared, outgoing: &OutgoingRequest, store: &KnownStore) {
        let services = &outgoing.route.services;
        let prompts =
            self.prompts.iter().zip(services).filter(|(_, service)| **service == store.target.service);
        for (prompt, _) in prompts {
            shared.affinity.borrow_mut().record(prompt, &store.target.id);
        }
    }
}

/// Returns the average, rounded down; 0 if there are no values. The average of the reported loads is assumed for stores without a
/// recent report: if they counted as idle instead, each request would prefer a store that got none before, and open a connection
/// to it.
fn average(values: &[usize]) -> usize {
    values.iter().sum::<usize>().checked_div(values.len()).unwrap_or_default()
}

/// Parses the prompt of a request once for each service of its route, since cached prefixes are specific to a service.
fn parse_prompts(outgoing: &OutgoingRequest) -> Vec<PromptPrefixes> {
    let parts =
        headers::text(&outgoing.headers, &headers::PROMPT_PREFIX).filter(|_| outgoing.route.route.sticky);
    let Some(parts) = parts else { return Vec::new() };
    let model = headers::text(&outgoing.headers, &headers::MODEL).unwrap_or_default();
    outgoing.route.services.iter().map(|service| PromptPrefixes::parse(service, model, parts)).collect()
}
