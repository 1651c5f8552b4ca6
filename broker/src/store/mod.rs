//! The store side: the known stores ([`Endpoint`]), the connections to them ([`link`]), and the attempts on those
//! connections ([`attempts`]). Each attempt is a task with its own time-out that reports its outcome to the [`Exchange`].

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

/// Safety margin before the end of a store's drain grace period, within which no part is sent to it any more. The grace
/// period runs from the announcement of the drain by discovery, which this broker may read late, to the first byte of the
/// part, which may be sent late. Neither delay depends on the length of the grace period. If the margin leaves little or
/// none of the period, parts that wait for a connection are placed on another store immediately; nothing else is lost.
const DRAIN_MARGIN: Duration = Duration::from_millis(200);

/// A store, as listed by discovery.
pub struct Endpoint {
    /// Name of the store, the same at every broker.
    pub name: String,
    /// Address at which the store listens.
    pub address: Cell<SocketAddr>,
    /// Time at which this broker learned that the store is draining or removed; `None` if it is neither.
    draining_since: Cell<Option<Instant>>,
    /// Period after that time within which new work may still be sent to the store.
    drain_grace: Duration,
    links: RefCell<Vec<Rc<Link>>>,
    /// Client of the store's feature API, if it serves one.
    features: Option<features::FeatureClient>,
}

impl Endpoint {
    /// Whether new work may still be sent to the store: it is not draining, or it is within the grace period.
    pub fn may_send(&self) -> bool {
        self.draining_since.get().is_none_or(|since| since.elapsed() < self.drain_grace)
    }
}

/// The reason for which the core stops an attempt.
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
    /// Period after the beginning of a drain within which new work may still be sent to a store. [`DRAIN_MARGIN`] is already
    /// subtracted.
    drain_grace: Duration,
    /// Listed stores. A removed store is kept alive only by its links, until these have ended.
    endpoints: RefCell<BTreeMap<ServerId, Rc<Endpoint>>>,
    /// Ids of the listed stores, by name.
    names: RefCell<HashMap<String, ServerId>>,
    /// The next id to be assigned; ids are never reused.
    next_id: Cell<ServerId>,
    /// Addresses of the stores' feature APIs, by the name of the store.
    feature_addresses: HashMap<String, SocketAddr>,
    /// Channels that stop the attempts in flight, by attempt.
    stops: RefCell<HashMap<AttemptId, Sender<StopReason>>>,
    /// Attempts to be started at the end of the turn, each with the receiver of its stop channel.
    queued_attempts: RefCell<Vec<(AttemptRequest, Receiver<StopReason>)>>,
    /// The block map, where blocks may move; it records the ids of listed stores.
    routes: Option<Rc<Routes>>,
    /// Slots for connections of both kinds, open or being opened.
    slots: Rc<ConnectionSlots>,
    /// Number of links that are open, being opened, or waiting for a slot.
    links: Cell<usize>,
    /// Time at which a store last sent invalid data.
    last_corruption: Cell<Option<Instant>>,
}

impl Stores {
    /// Creates a store side without stores.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        exchange: Rc<Exchange>,
        counters: Rc<Counters>,
        limits: Limits,
        presence: Rc<Presence>,
        drain_grace: Duration,
        feature_addresses: HashMap<String, SocketAddr>,
    ) -> Rc<Self> {
        Rc::new(Self {
            executor,
            routes: exchange.routes(),
            slots: ConnectionSlots::new(limits.links),
            exchange,
            counters,
            limits: Rc::new(limits),
            presence,
            drain_grace: drain_grace.saturating_sub(DRAIN_MARGIN),
            endpoints: RefCell::default(),
            names: RefCell::default(),
            next_id: Cell::new(0),
            feature_addresses,
            stops: RefCell::default(),
            queued_attempts: RefCell::default(),
            links: Cell::new(0),
            last_corruption: Cell::new(None),
        })
    }

    /// Adds or updates a listed store; returns the core's id of the store.
    pub fn upsert(&self, name: &str, address: SocketAddr, is_ready: bool) -> ServerId {
        let mut endpoints = self.endpoints.borrow_mut();
        let id = *self.names.borrow_mut().entry(name.to_owned()).or_insert_with(|| {
            let id = self.next_id.replace(self.next_id.get() + 1);
            let endpoint = Rc::new(Endpoint {
                name: name.to_owned(),
                address: Cell::new(address),
                draining_since: Cell::new(None),
                drain_grace: self.drain_grace,
                links: RefCell::default(),
                features: self
                    .feature_addresses
                    .get(name)
                    .map(|address| features::FeatureClient::new(*address, &self.limits)),
            });
            endpoints.insert(id, endpoint);
            id
        });
        if let Some(endpoint) = endpoints.get(&id) {
            if endpoint.address.replace(address) != address {
                endpoint.links.borrow().iter().for_each(|link| link.close_when_idle());
            }
            set_ready(endpoint, is_ready);
        }
        if let Some(routes) = &self.routes {
            routes.store_listed(name, id);
        }
        id
    }

    /// Takes the changes of block owners that have not been reported to the core.
    pub fn take_block_owner_changes(&self) -> BlockOwners {
        self.routes.as_ref().map(|routes| routes.take_owner_changes()).unwrap_or_default()
    }

    /// A store's address, and whether the store accepts new work.
    pub fn address_and_readiness(&self, name: &str) -> Option<(SocketAddr, bool)> {
        let id = *self.names.borrow().get(name)?;
        let endpoints = self.endpoints.borrow();
        endpoints.get(&id).map(|endpoint| (endpoint.address.get(), endpoint.draining_since.get().is_none()))
    }

    /// The names of all listed stores, sorted.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.names.borrow().keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Removes a store; returns the id that it had. Nothing of it may stay in the tables: they would grow without bound,
    /// since stores are constantly replaced by others with new names.
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

    /// Removes all stores except the listed ones.
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

    /// Number of links that are open, being opened, or waiting for a slot.
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
            endpoint
                .links
                .borrow()
                .iter()
                .filter(|link| link.is_idle())
                .for_each(|link| link.close_when_idle());
        }
    }

    /// Stops an attempt; its outcome still goes to the exchange.
    pub fn stop(&self, attempt: AttemptId, reason: StopReason) {
        if let Some(stop) = self.stops.borrow().get(&attempt) {
            let _ = stop.try_send(reason);
        }
    }
}

/// Records whether a store accepts new work; the beginning of a drain closes its links once they are idle.
fn set_ready(endpoint: &Endpoint, is_ready: bool) {
    match (is_ready, endpoint.draining_since.get()) {
        (true, _) => endpoint.draining_since.set(None),
        (false, None) => {
            endpoint.draining_since.set(Some(Instant::now()));
            // Each link closes once it carries no part.
            endpoint.links.borrow().iter().for_each(|link| link.close_when_idle());
        }
        (false, Some(_)) => {}
    }
}
