//! An index of the stores that accept requests, by service, updated with each entry of the registry.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::StoreState;
use gingerledge_wire::StoreRecord;

use crate::routing::Candidate;
use crate::stores::{InFlightCounts, StoreLoad, StoreTarget};

/// A load report older than this is ignored.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);

/// A store that accepts requests.
pub struct KnownStore {
    /// Its identity and address.
    pub target: StoreTarget,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Whether it is in this edge's zone.
    pub is_own_zone: bool,
    /// Requests that this edge has in flight there.
    pub in_flight: Rc<Cell<usize>>,
    load_report: Cell<Option<LoadReport>>,
}

#[derive(Clone, Copy)]
/// A store's report of its load.
struct LoadReport {
    load: StoreLoad,
    /// Requests of others that ran or waited there.
    others_in_flight: usize,
    received_at: Duration,
}

impl KnownStore {
    fn new(id: &str, record: &StoreRecord, zone: &str, counts: &InFlightCounts) -> Self {
        let target = StoreTarget {
            id: id.to_owned(),
            address: record.address,
            service: record.service.clone(),
            takes_requests: Rc::new(Cell::new(true)),
        };
        Self {
            target,
            slots: record.slots.max(1) as usize,
            is_own_zone: record.zone == zone,
            in_flight: counts.counter(id),
            load_report: Cell::new(None),
        }
    }

    /// Whether this agrees with the record.
    fn matches(&self, record: &StoreRecord, zone: &str) -> bool {
        self.target.address == record.address
            && self.target.service == record.service
            && self.slots == record.slots.max(1) as usize
            && self.is_own_zone == (record.zone == zone)
    }

    /// Records a load report of the store.
    pub fn on_load_report(&self, load: StoreLoad, now: Duration) {
        let total = load.running as usize + load.waiting as usize;
        let others_in_flight = total.saturating_sub(self.in_flight.get());
        self.load_report.set(Some(LoadReport { load, others_in_flight, received_at: now }));
    }

    /// The load that the store reported recently.
    pub fn load(&self, now: Duration) -> Option<StoreLoad> {
        self.recent_report(now).map(|report| report.load)
    }

    fn recent_report(&self, now: Duration) -> Option<LoadReport> {
        self.load_report.get().filter(|report| now.saturating_sub(report.received_at) < LOAD_REPORT_TTL)
    }

    /// Requests of others that ran or waited there by a recent report.
    pub fn others_in_flight(&self, now: Duration) -> Option<usize> {
        self.recent_report(now).map(|report| report.others_in_flight)
    }

    /// The store as a candidate for a request, as far as its own state tells; without a recent report, `assumed_others` requests of
    /// others count.
    pub fn candidate(&self, now: Duration, assumed_others: usize) -> Candidate {
        Candidate {
            in_flight: self.in_flight.get(),
            others_in_flight: self.others_in_flight(now).unwrap_or(assumed_others),
            slots: self.slots,
            is_own_zone: self.is_own_zone,
            ..Candidate::default()
        }
    }
}

/// The stores that accept requests.
#[derive(Default)]
pub struct StoreIndex {
    by_id: HashMap<String, Rc<KnownStore>>,
    by_service: HashMap<String, Rc<Vec<Rc<KnownStore>>>>,
}

impl StoreIndex {
    /// Applies a change of a store in the registry, `None` if it was removed. Its load report stays while its record does.
    pub fn update(&mut self, id: &str, record: Option<&StoreRecord>, zone: &str, counts: &InFlightCounts) {
        let ready = record.filter(|record| record.state == StoreState::Ready);
        if let (Some(known), Some(record)) = (self.by_id.get(id), ready) {
            if known.matches(record, zone) {
                return;
            }
        }
        self.remove(id);
        if let Some(record) = ready {
            self.insert(Rc::new(KnownStore::new(id, record, zone, counts)));
        }
    }

    /// The stores of a service that accept requests.
    #[must_use]
    pub fn of_service(&self, service: &str) -> Rc<Vec<Rc<KnownStore>>> {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Whether no store accepts requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn insert(&mut self, store: Rc<KnownStore>) {
        let stores = self.by_service.entry(store.target.service.clone()).or_default();
        Rc::make_mut(stores).push(Rc::clone(&store));
        self.by_id.insert(store.target.id.clone(), store);
    }

    fn remove(&mut self, id: &str) {
        let Some(store) = self.by_id.remove(id) else { return };
        store.target.takes_requests.set(false);
        let Some(stores) = self.by_service.get_mut(&store.target.service) else { return };
        Rc::make_mut(stores).retain(|other| other.target.id != id);
        if stores.is_empty() {
            self.by_service.remove(&store.target.service);
        }
    }
}
