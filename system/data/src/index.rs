//! The stores that take requests, as the registry tells, arranged for look-ups and changed entry by entry.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::StoreState;
use gingerledge_wire::StoreRecord;

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
    fn new(id: &str, record: &StoreRecord, zone: &str, counts: &Counts) -> Self {
        let target = StoreTarget {
            id: id.to_owned(),
            address: record.address,
            service: record.service.clone(),
            takes_requests: Rc::new(Cell::new(true)),
        };
        Self {
            target,
            slots: record.slots.max(1) as usize,
            own_zone: record.zone == zone,
            out: counts.counter(id),
            told: Cell::new(None),
        }
    }

    /// Whether the record says the same as this.
    fn is(&self, record: &StoreRecord, zone: &str) -> bool {
        self.target.address == record.address
            && self.target.service == record.service
            && self.slots == record.slots.max(1) as usize
            && self.own_zone == (record.zone == zone)
    }

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
            bonus: 0,
            own_zone: self.own_zone,
            avoided,
            tried,
        }
    }
}

/// Stores that take requests, by service.
#[derive(Default)]
pub struct StoreIndex {
    known: HashMap<String, Rc<KnownStore>>,
    services: HashMap<String, Rc<Vec<Rc<KnownStore>>>>,
}

impl StoreIndex {
    /// Takes in what the registry says of a store now; none if it is gone. What was known of its load stays while it is the
    /// same.
    pub fn update(&mut self, id: &str, record: Option<&StoreRecord>, zone: &str, counts: &Counts) {
        let ready = record.filter(|record| record.state == StoreState::Ready);
        if let (Some(known), Some(record)) = (self.known.get(id), ready) {
            if known.is(record, zone) {
                return;
            }
        }
        self.remove(id);
        if let Some(record) = ready {
            self.insert(Rc::new(KnownStore::new(id, record, zone, counts)));
        }
    }

    /// The stores of a service that take requests.
    pub fn of(&self, service: &str) -> Rc<Vec<Rc<KnownStore>>> {
        self.services.get(service).cloned().unwrap_or_default()
    }

    /// Whether no store takes requests.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn insert(&mut self, store: Rc<KnownStore>) {
        let stores = self.services.entry(store.target.service.clone()).or_default();
        Rc::make_mut(stores).push(Rc::clone(&store));
        self.known.insert(store.target.id.clone(), store);
    }

    fn remove(&mut self, id: &str) {
        let Some(store) = self.known.remove(id) else { return };
        store.target.takes_requests.set(false);
        let Some(stores) = self.services.get_mut(&store.target.service) else { return };
        Rc::make_mut(stores).retain(|other| other.target.id != id);
        if stores.is_empty() {
            self.services.remove(&store.target.service);
        }
    }
}
