//! The store side: who the stores are ([`Site`]), the connections to them ([`link`]), and the
//! attempts on those connections ([`attempts`]). Each attempt is a task with a timer of its own; its end
//! goes to the [`Exchange`].

pub mod attempts;
pub mod features;
pub mod frame;
pub mod link;
mod room;

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
use crate::limits::Places;
use crate::routes::{BlockOwners, Routes};
use link::{Limits, Link};

/// Nothing is written to a store so much before the grace after its drain ends: that counts from when discovery told
/// it, which may be read late, to the first byte, which may leave late. Neither follows from the length of the grace.
/// Where little or nothing of it remains, what still waits for its connection is placed anew at once, and no more lost.
const DRAIN_MARGIN: Duration = Duration::from_millis(200);

/// A store as discovery names it.
pub struct Site {
    /// Its name, the same at every broker.
    pub name: String,
    /// Where it listens.
    pub address: Cell<SocketAddr>,
    drained: Cell<Option<Instant>>,
    grace: Duration,
    links: RefCell<Vec<Rc<Link>>>,
    /// Its feature form, if it offers one.
    features: Option<features::Driver>,
}

impl Site {
    /// Whether a frame may still be written to it.
    pub fn may_send(&self) -> bool {
        self.drained.get().is_none_or(|at| at.elapsed() < self.grace)
    }
}

/// Why the core stops an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It was waited for in vain.
    GiveUp,
    /// Nobody waits for it any more.
    Abandon,
}

/// The stores, and the attempts that are out at them.
pub struct Stores {
    executor: Rc<LocalExecutor<'static>>,
    exchange: Rc<Exchange>,
    counters: Rc<Counters>,
    limits: Rc<Limits>,
    presence: Rc<Presence>,
    grace: Duration,
    /// Those on the list. What is removed lives on only in its links, until they have ended.
    sites: RefCell<BTreeMap<ServerId, Rc<Site>>>,
    names: RefCell<HashMap<String, ServerId>>,
    /// The numbers given so far; none is used again.
    numbered: Cell<ServerId>,
    /// Stores that offer the feature form, and where.
    offers: HashMap<String, SocketAddr>,
    stops: RefCell<HashMap<AttemptId, Sender<Word>>>,
    /// What is to be sent once the turn is over.
    orders: RefCell<Vec<(AttemptRequest, Receiver<Word>)>>,
    /// Told of the numbers that stores have, where blocks move.
    routes: Option<Rc<Routes>>,
    /// For connections of both forms: open, or being opened.
    places: Rc<Places>,
    /// Links open or waiting for a place, and when one ended by a spoilt answer.
    links: Cell<usize>,
    spoilt: Cell<Option<Instant>>,
}

impl Stores {
    /// No stores yet.
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
            places: Places::new(limits.links),
            exchange,
            counters,
            limits: Rc::new(limits),
            presence,
            grace: drain_grace.saturating_sub(DRAIN_MARGIN),
            sites: RefCell::default(),
            names: RefCell::default(),
            numbered: Cell::new(0),
            offers,
            stops: RefCell::default(),
            orders: RefCell::default(),
            links: Cell::new(0),
            spoilt: Cell::new(None),
        })
    }

    /// Notes what discovery tells of a store; returns the number that the core knows it by.
    pub fn note(&self, name: &str, address: SocketAddr, ready: bool) -> ServerId {
        let mut sites = self.sites.borrow_mut();
        let id = *self.names.borrow_mut().entry(name.to_owned()).or_insert_with(|| {
            let id = self.numbered.replace(self.numbered.get() + 1);
            let site = Rc::new(Site {
                name: name.to_owned(),
                address: Cell::new(address),
                drained: Cell::new(None),
                grace: self.grace,
                links: RefCell::default(),
                features: self.offers.get(name).map(|at| features::Driver::new(*at, &self.limits)),
            });
            sites.insert(id, site);
            id
        });
        if let Some(site) = sites.get(&id) {
            if site.address.replace(address) != address {
                site.links.borrow().iter().for_each(|link| link.retire());
            }
            set_ready(site, ready);
        }
        if let Some(routes) = &self.routes {
            routes.store_listed(name, id);
        }
        id
    }

    /// What has changed of who holds blocks, for the core.
    pub fn take_block_owner_changes(&self) -> BlockOwners {
        self.routes.as_ref().map(|routes| routes.take_owner_changes()).unwrap_or_default()
    }

    /// Where a store listens, and whether it wants new work.
    pub fn site(&self, name: &str) -> Option<(SocketAddr, bool)> {
        let id = *self.names.borrow().get(name)?;
        let sites = self.sites.borrow();
        sites.get(&id).map(|site| (site.address.get(), site.drained.get().is_none()))
    }

    /// The names of all stores known.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.names.borrow().keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Lets a store go that is gone; returns the number that it had. Guards against keeping all the stores
    /// of a long day, which are replaced by others with other names again and again.
    pub fn remove(&self, name: &str) -> Option<ServerId> {
        let id = self.names.borrow_mut().remove(name)?;
        if let Some(routes) = &self.routes {
            routes.store_removed(name);
        }
        if let Some(site) = self.sites.borrow_mut().remove(&id) {
            set_ready(&site, false);
        }
        Some(id)
    }

    /// Lets every store go that is not among these.
    pub fn keep(&self, listed: &[ServerId]) {
        let gone = |(id, site): (&ServerId, &Rc<Site>)| (!listed.contains(id)).then(|| site.name.clone());
        let gone: Vec<String> = self.sites.borrow().iter().filter_map(gone).collect();
        for name in gone {
            self.remove(&name);
        }
    }

    /// How many stores are known.
    pub fn known(&self) -> usize {
        self.sites.borrow().len()
    }

    /// How many connections are open, or being opened.
    pub fn links(&self) -> usize {
        self.links.get()
    }

    /// How many attempts are out.
    pub fn attempts(&self) -> usize {
        self.stops.borrow().len()
    }

    /// Closes the idle connections to a store.
    pub fn release(&self, server: ServerId) {
        if let Some(site) = self.sites.borrow().get(&server) {
            site.links.borrow().iter().filter(|link| link.idle()).for_each(|link| link.retire());
        }
    }

    /// Stops waiting for an attempt; its end still goes to the exchange.
    pub fn stop(&self, attempt: AttemptId, word: Word) {
        if let Some(stop) = self.stops.borrow().get(&attempt) {
            let _ = stop.try_send(word);
        }
    }
}

fn set_ready(site: &Site, ready: bool) {
    match (ready, site.drained.get()) {
        (true, _) => site.drained.set(None),
        (false, None) => {
            site.drained.set(Some(Instant::now()));
            // Each closes once it carries nothing.
            site.links.borrow().iter().for_each(|link| link.retire());
        }
        (false, Some(_)) => {}
    }
}
