//! The store side: the known stores ([`Endpoint`]), the connections to them ([`link`]), and the attempts on those
//! connections ([`attempts`]). Each attempt is a task with its own time-out; its outcome goes to the [`Exchange`].

pub mod attempts;
mod capacity;
pub mod features;
pub mod frame;
pub mod link;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use gingerledge_dispatch::ServerId;

use crate::core::{AttemptId, AttemptRequest};
use crate::counters::Counters;
use crate::exchange::Exchange;
use crate::handover::Presence;
use crate::limits::ConnectionSlots;
use crate::routes::{BlockOwners, Routes};
use link::{Limits, Link};

/// Nothing is written to a store so much before the grace after its drain ends: that counts from when discovery told
/// it, which may be read late, to the first byte, which may leave late. Neither follows from the length of the grace.
/// Where little or nothing of it remains, what still waits for its connection is placed anew at once, and no more lost.
const DRAIN_MARGIN: Duration = Duration::from_millis(200);

/// A store, as listed by discovery.
pub struct Endpoint {
    /// Its name, the same at every broker.
    pub name: String,
    /// Where it listens.
    pub address: Cell<SocketAddr>,
    drained: Cell<Option<Instant>>,
    grace: Duration,
    links: RefCell<Vec<Rc<Link>>>,
    /// Client of its feature API, if it serves one.
    features: Option<features::Driver>,
}

impl Endpoint {
    /// Whether new work may still be sent to it: it is not draining, or within the grace period.
    pub fn may_send(&self) -> bool {
        self.drained.get().is_none_or(|at| at.elapsed() < self.grace)
    }
}

/// Why the core stops an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The store did not answer in time.
    NoAnswer,
    /// The result is no longer needed, for reasons other than the store.
    NotNeeded,
}

/// The known stores and the attempts in flight.
pub struct Stores {
    executor: Rc<LocalExecutor<'static>>,
    exchange: Rc<Exchange>,
    counters: Rc<Counters>,
    limits: Rc<Limits>,
    presence: Rc<Presence>,
    grace: Duration,
    /// Listed stores. A removed one exists only in its links, until these have ended.
    endpoints: RefCell<BTreeMap<ServerId, Rc<Endpoint>>>,
    names: RefCell<HashMap<String, ServerId>>,
    /// The last assigned id; ids are never reused.
    last_id: Cell<ServerId>,
    /// Addresses of the feature APIs, by store.
    offers: HashMap<String, SocketAddr>,
    stops: RefCell<HashMap<AttemptId, Sender<StopReason>>>,
    /// Attempts to be started at the end of the turn.
    orders: RefCell<Vec<(AttemptRequest, Receiver<StopReason>)>>,
    /// The block map, where blocks may move; it needs the ids of stores.
    routes: Option<Rc<Routes>>,
    /// Slots for connections of both kinds, open or being opened.
    slots: Rc<ConnectionSlots>,
    /// Number of links open or waiting for a slot, and the time of the last corrupt answer.
    links: Cell<usize>,
    last_corruption: Cell<Option<Instant>>,
}

impl Stores {
    /// A store side without stores.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        exchange: Rc<Exchange>,
        counters: Rc<Counters>,
        limits: Limits,
        presence: Rc<Presence>,
        drain_grace: Duration,
        offers: HashMap<String, SocketAddr>,
    ) -> Rc<Self> {
        Rc::new(Self {
            executor,
            routes: exchange.routes(),
            slots: ConnectionSlots::new(limits.links),
            exchange,
            counters,
            limits: Rc::new(limits),
            presence,
            grace: drain_grace.saturating_sub(DRAIN_MARGIN),
            endpoints: RefCell::default(),
            names: RefCell::default(),
            last_id: Cell::new(0),
            offers,
            stops: RefCell::default(),
            orders: RefCell::default(),
            links: Cell::new(0),
            last_corruption: Cell::new(None),
        })
    }

    /// Adds or updates a listed store; returns the core's id of it.
    pub fn upsert(&self, name: &str, address: SocketAddr, ready: bool) -> ServerId {
        let mut endpoints = self.endpoints.borrow_mut();
        let id = *self.names.borrow_mut().entry(name.to_owned()).or_insert_with(|| {
            let id = self.last_id.replace(self.last_id.get() + 1);
            let endpoint = Rc::new(Endpoint {
                name: name.to_owned(),
                address: Cell::new(address),
                drained: Cell::new(None),
                grace: self.grace,
                links: RefCell::default(),
                features: self.offers.get(name).map(|at| features::Driver::new(*at, &self.limits)),
            });
            endpoints.insert(id, endpoint);
            id
        });
        if let Some(endpoint) = endpoints.get(&id) {
            if endpoint.address.replace(address) != address {
                endpoint.links.borrow().iter().for_each(|link| link.retire());
            }
            set_ready(endpoint, ready);
        }
        if let Some(routes) = &self.routes {
            routes.store_listed(name, id);
        }
        id
    }

    /// Takes the owner changes of blocks that the core has not seen.
    pub fn take_block_owner_changes(&self) -> BlockOwners {
        self.routes.as_ref().map(|routes| routes.take_owner_changes()).unwrap_or_default()
    }

    /// A store's address, and whether it accepts new work.
    pub fn address_and_readiness(&self, name: &str) -> Option<(SocketAddr, bool)> {
        let id = *self.names.borrow().get(name)?;
        let endpoints = self.endpoints.borrow();
        endpoints.get(&id).map(|endpoint| (endpoint.address.get(), endpoint.drained.get().is_none()))
    }

    /// The names of all stores known.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.names.borrow().keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Removes a store; returns the id that it had. Stores are replaced under new names all the time, so the table must not
    /// keep old ones.
    pub fn remove(&self, name: &str) -> Option<ServerId> {
        let id = self.names.borrow_mut().remove(name)?;
        if let Some(routes) = &self.routes {
            routes.store_removed(name);
        }
        if let Some(endpoint) = self.endpoints.borrow_mut().remove(&id) {
            set_ready(&endpoint, false);
        }
        Some(id)
    }

    /// Removes all stores but these.
    pub fn retain(&self, listed: &[ServerId]) {
        let removed = |(id, endpoint): (&ServerId, &Rc<Endpoint>)| {
            (!listed.contains(id)).then(|| endpoint.name.clone())
        };
        let removed: Vec<String> = self.endpoints.borrow().iter().filter_map(removed).collect();
        for name in removed {
            self.remove(&name);
        }
    }

    /// Number of listed stores.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.borrow().len()
    }

    /// Number of links open or being opened.
    pub fn link_count(&self) -> usize {
        self.links.get()
    }

    /// Number of attempts in flight.
    pub fn attempt_count(&self) -> usize {
        self.stops.borrow().len()
    }

    /// Closes the idle connections to a store.
    pub fn close_idle_links(&self, server: ServerId) {
        if let Some(endpoint) = self.endpoints.borrow().get(&server) {
            endpoint.links.borrow().iter().filter(|link| link.is_idle()).for_each(|link| link.retire());
        }
    }

    /// Stops an attempt; its outcome still goes to the exchange.
    pub fn stop(&self, attempt: AttemptId, reason: StopReason) {
        if let Some(stop) = self.stops.borrow().get(&attempt) {
            let _ = stop.try_send(reason);
        }
    }
}

fn set_ready(endpoint: &Endpoint, ready: bool) {
    match (ready, endpoint.drained.get()) {
        (true, _) => endpoint.drained.set(None),
        (false, None) => {
            endpoint.drained.set(Some(Instant::now()));
            // Each closes once it carries nothing.
            endpoint.links.borrow().iter().for_each(|link| link.retire());
        }
        (false, Some(_)) => {}
    }
}
