//! Index of the stores that accept requests, by service, updated with each changed entry of the registry.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::StoreState;
use gingerledge_wire::StoreRecord;

use crate::routing::Candidate;
use crate::stores::{InFlightCounts, StoreLoad, StoreTarget};

/// Age from which a load report is ignored.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);

/// Store that accepts requests.
pub struct KnownStore {
    /// Identity and address of the store.
    pub target: StoreTarget,
    /// Number of requests that the store runs concurrently.
    pub slots: usize,
    /// Whether the store is in this edge's own zone.
    pub is_in_own_zone: bool,
    /// Number of requests that this edge has in flight at the store.
    pub in_flight_requests: Rc<Cell<usize>>,
    load_report: Cell<Option<LoadReport>>,
}

/// Load report of a store.
#[derive(Clone, Copy)]
struct LoadReport {
    load: StoreLoad,
    /// Number of requests of other callers that ran or waited at the store.
    in_flight_from_other_callers: usize,
    received_at: Duration,
}

impl KnownStore {
    fn new(id: &str, record: &StoreRecord, zone: &str, in_flight_counts: &InFlightCounts) -> Self {
        let target = StoreTarget {
            id: id.to_owned(),
            address: record.address,
            service: record.service.clone(),
            accepts_requests: Rc::new(Cell::new(true)),
        };
        Self {
            target,
            slots: record.slots.max(1) as usize,
            is_in_own_zone: record.zone == zone,
            in_flight_requests: in_flight_counts.counter(id),
            load_report: Cell::new(None),
        }
    }

    /// Whether the store still has the properties of a registry record.
    fn matches(&self, record: &StoreRecord, zone: &str) -> bool {
        self.target.address == record.address
            && self.target.service == record.service
            && self.slots == record.slots.max(1) as usize
            && self.is_in_own_zone == (record.zone == zone)
    }

    /// Records a load report that the store sent.
    pub fn on_load_report(&self, load: StoreLoad, now: Duration) {
        let total = load.running as usize + load.waiting as usize;
        let in_flight_from_other_callers = total.saturating_sub(self.in_flight_requests.get());
        self.load_report.set(Some(LoadReport { load, in_flight_from_other_callers, received_at: now }));
    }

    /// Returns the load that the store reported recently.
    pub fn load(&self, now: Duration) -> Option<StoreLoad> {
        self.recent_report(now).map(|report| report.load)
    }

    fn recent_report(&self, now: Duration) -> Option<LoadReport> {
        self.load_report.get().filter(|report| now.saturating_sub(report.received_at) < LOAD_REPORT_TTL)
    }

    /// Number of requests of other callers that ran or waited at the store, from a recent load report.
    pub fn in_flight_from_other_callers(&self, now: Duration) -> Option<usize> {
        self.recent_report(now).map(|report| report.in_flight_from_other_callers)
    }

    /// Returns the store as a candidate for a request, with the properties that this index has. Without a recent load report,
    /// `assumed_from_other_callers` requests of other callers are assumed.
    pub fn candidate(&self, now: Duration, assumed_from_other_callers: usize) -> Candidate {
        Candidate {
            in_flight_requests: self.in_flight_requests.get(),
            in_flight_from_other_callers: self
                .in_flight_from_other_callers(now)
                .unwrap_or(assumed_from_other_callers),
            slots: self.slots,
            is_in_own_zone: self.is_in_own_zone,
            ..Candidate::default()
        }
    }
}

/// Index of the stores that accept requests, by id and by service.
#[derive(Default)]
pub struct StoreIndex {
    by_id: HashMap<String, Rc<KnownStore>>,
    by_service: HashMap<String, Rc<Vec<Rc<KnownStore>>>>,
}

impl StoreIndex {
    /// Applies a change of a store in the registry; `record` is `None` if the store was removed. The load report of the store is kept
    /// unless its address, service, slots or zone have changed.
    pub fn update(
        &mut self,
        id: &str,
        record: Option<&StoreRecord>,
        zone: &str,
        in_flight_counts: &InFlightCounts,
    ) {
        let ready_record = record.filter(|record| record.state == StoreState::Ready);
        if let (Some(known), Some(record)) = (self.by_id.get(id), ready_record) {
            if known.matches(record, zone) {
                return;
            }
        }
        self.remove(id);
        if let Some(record) = ready_record {
            self.insert(Rc::new(KnownStore::new(id, record, zone, in_flight_counts)));
        }
    }

    /// Returns the stores of a service that accept requests.
    #[must_use]
    pub fn for_service(&self, service: &str) -> Rc<Vec<Rc<KnownStore>>> {
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
        store.target.accepts_requests.set(false);
        let Some(stores) = self.by_service.get_mut(&store.target.service) else { return };
        Rc::make_mut(stores).retain(|other| other.target.id != id);
        if stores.is_empty() {
            self.by_service.remove(&store.target.service);
        }
    }
}
