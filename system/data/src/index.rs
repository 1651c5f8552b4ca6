//! What the registry says of stores and routes, arranged for look-ups, and built anew only when it changed.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::StoreState;
use gingerledge_wire::Registry;

use crate::routing::Candidate;
use crate::stores::{Counts, Load, StoreTarget};

/// How long a store's word on its load is believed.
const LOAD_AGE: Duration = Duration::from_millis(500);

/// A store that takes requests.
pub struct KnownStore {
    /// How it is reached.
    pub target: StoreTarget,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Whether it is in this edge's zone.
    pub own_zone: bool,
    /// Requests that this edge has out there.
    pub out: Rc<Cell<usize>>,
    told: Cell<Option<Told>>,
}

#[derive(Clone, Copy)]
struct Told {
    load: Load,
    others: usize,
    at: Duration,
}

impl KnownStore {
    /// Takes in what the store told of its load.
    pub fn note_load(&self, load: Load, now: Duration) {
        let running = load.running as usize + load.waiting as usize;
        self.told.set(Some(Told { load, others: running.saturating_sub(self.out.get()), at: now }));
    }

    /// What the store told of its load lately.
    pub fn load(&self, now: Duration) -> Option<Load> {
        self.told(now).map(|told| told.load)
    }

    fn told(&self, now: Duration) -> Option<Told> {
        self.told.get().filter(|told| now.saturating_sub(told.at) < LOAD_AGE)
    }

    /// The store as the choice sees it.
    pub fn candidate(&self, now: Duration, avoided: bool, tried: bool) -> Candidate {
        Candidate {
            out: self.out.get(),
            others: self.told(now).map_or(0, |told| told.others),
            slots: self.slots,
            own_zone: self.own_zone,
            avoided,
            tried,
        }
    }
}

/// Stores that take requests, by service.
#[derive(Default)]
pub struct StoreIndex {
    ids: HashSet<String>,
    services: HashMap<String, Rc<Vec<Rc<KnownStore>>>>,
}

impl StoreIndex {
    /// Reads the registry; what was known of a store's load stays.
    pub fn build(registry: &Registry, zone: &str, counts: &Counts, old: &StoreIndex) -> Self {
        let known = old.by_id();
        let mut services: HashMap<String, Vec<Rc<KnownStore>>> = HashMap::new();
        for (id, record) in registry.stores().filter(|(_, record)| record.state == StoreState::Ready) {
            let target =
                StoreTarget { id: id.to_owned(), address: record.address, service: record.service.clone() };
            let store = match known.get(id).filter(|store| store.target == target) {
                Some(store) => Rc::clone(store),
                None => Rc::new(KnownStore {
                    slots: record.slots.max(1) as usize,
                    own_zone: record.zone == zone,
                    out: counts.counter(id),
                    told: Cell::new(None),
                    target,
                }),
            };
            services.entry(record.service.clone()).or_default().push(store);
        }
        let ids = registry.stores().map(|(id, _)| id.to_owned()).collect();
        Self { ids, services: services.into_iter().map(|(name, stores)| (name, Rc::new(stores))).collect() }
    }

    /// The stores of a service that take requests.
    pub fn of(&self, service: &str) -> Rc<Vec<Rc<KnownStore>>> {
        self.services.get(service).cloned().unwrap_or_default()
    }

    /// Whether a store is there, though it may be draining.
    pub fn knows(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Whether no store takes requests.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    fn by_id(&self) -> HashMap<&str, &Rc<KnownStore>> {
        self.services
            .values()
            .flat_map(|stores| stores.iter())
            .map(|store| (store.target.id.as_str(), store))
            .collect()
    }
}
