//! The store side: who the stores are ([`Site`]), the connections to them ([`link`]), and the
//! attempts on those connections. Each attempt is a task with a timer of its own; its end goes to the
//! [`Exchange`].

pub mod features;
pub mod frame;
pub mod link;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::or;
use stoatlane::{Outcome, ServerId};

use crate::clock::millis;
use crate::core::{AttemptId, Ended, Form, Order};
use crate::counters::{count, Counters};
use crate::exchange::Exchange;
use crate::handover::Presence;
use crate::routes::{Routes, Told};
use link::{Limits, Link};

/// After an attempt has been given up, its answer may still be under way, and another attempt that goes
/// out at once could reach its store before this one learns of it. Both are waited for so long: twice
/// the longest way between zones and a little more.
const GIVING_UP: Duration = Duration::from_millis(8);
/// After a spoilt answer, from any store, parts share no connections for so long where others can be had,
/// up to so many for a store: the next one then takes no more parts down with it.
const SPOILT_MEMORY: Duration = Duration::from_secs(30);
const LINKS_APART: usize = 6;
/// Nothing is written to a store so much before the grace after its drain ends.
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
    stops: RefCell<HashMap<AttemptId, Sender<()>>>,
    /// Told of the numbers that stores have, where blocks move.
    routes: Option<Rc<Routes>>,
    /// Links open, and when one ended by a spoilt answer.
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
            routes.noted(name, id);
        }
        id
    }

    /// What has changed of who holds blocks, for the core.
    pub fn holders(&self) -> Told {
        self.routes.as_ref().map(|routes| routes.take()).unwrap_or_default()
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
            routes.gone(name);
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

    /// Begins an attempt; its end goes to the exchange.
    pub fn send(self: &Rc<Self>, order: Order) {
        count(&self.counters.attempts);
        let (stop, stopped) = async_channel::bounded(1);
        self.stops.borrow_mut().insert(order.attempt, stop);
        let this = self.clone();
        let attempt = async move {
            let id = order.attempt;
            // Nobody pays for the text where it is not logged.
            let told = log::log_enabled!(log::Level::Debug).then(|| {
                let sites = this.sites.borrow();
                let store = sites.get(&order.server).map_or("?", |site| site.name.as_str());
                format!("{}.{} attempt {} at {store}", order.query, order.shard, id.number)
            });
            let began = Instant::now();
            let ended = this.attempt(order, stopped).await;
            if let Some(told) = told {
                log::debug!("{told}: {:?} after {:?}", ended.outcome, began.elapsed());
            }
            this.stops.borrow_mut().remove(&id);
            count(match ended.outcome {
                Outcome::Success => &this.counters.served,
                Outcome::Failure => &this.counters.errors,
                Outcome::Overloaded => &this.counters.turned_away,
                Outcome::TimedOut => &this.counters.timed_out,
                Outcome::Unreachable => &this.counters.unreachable,
                Outcome::Broken => &this.counters.broken,
                Outcome::Withdrawn => &this.counters.withdrawn,
                Outcome::Void => &this.counters.void,
            });
            this.exchange.ended(id, ended);
        };
        self.executor.spawn(attempt).detach();
    }

    /// Stops waiting for an attempt; its end still goes to the exchange.
    pub fn give_up(&self, attempt: AttemptId) {
        if let Some(stop) = self.stops.borrow().get(&attempt) {
            let _ = stop.try_send(());
        }
    }

    async fn attempt(self: &Rc<Self>, order: Order, stopped: Receiver<()>) -> Ended {
        let Some(site) = self.sites.borrow().get(&order.server).cloned() else {
            return Outcome::Void.into();
        };
        let patience = millis(order.patience_ms);
        let patience = async {
            Timer::after(patience).await;
            Outcome::TimedOut
        };
        let withdrawn = async {
            let _ = stopped.recv().await;
            Outcome::Withdrawn
        };
        let stop = or(patience, withdrawn);
        if let Some(driver) = site.features.as_ref().filter(|_| order.form == Form::Features) {
            return self.ask(&site, driver, &order, stop).await;
        }
        let link = self.link(&site);
        let (id, bytes) = call(&order);
        let ended = link.call(id.clone(), bytes);
        let end = async { Ok(ended.recv().await.unwrap_or(Outcome::Broken.into())) };
        let outcome = match or(end, async { Err(stop.await) }).await {
            Ok(ended) => return ended,
            Err(outcome) => outcome,
        };
        if link.give_up(&id) {
            return Outcome::Void.into();
        }
        let settled = async {
            Timer::after(GIVING_UP).await;
            outcome.into()
        };
        let last = async { ended.recv().await.unwrap_or(outcome.into()) };
        let ended = or(last, settled).await;
        link.forget(&id, &self.limits);
        ended
    }

    /// The same in feature form. Its connection carries nothing else: closing it gives the attempt up.
    async fn ask(
        &self,
        site: &Site,
        driver: &features::Driver,
        order: &Order,
        stop: impl Future<Output = Outcome>,
    ) -> Ended {
        let written = Cell::new(false);
        let end = async { Ok(driver.ask(site, order, &written, &self.counters).await) };
        match or(end, async { Err(stop.await) }).await {
            Ok(ended) => ended,
            Err(_) if !written.get() => Outcome::Void.into(),
            Err(outcome) => {
                Timer::after(GIVING_UP).await;
                outcome.into()
            }
        }
    }

    /// A connection with room for one more part; a new one where none has.
    fn link(self: &Rc<Self>, site: &Rc<Site>) -> Rc<Link> {
        let mut links = site.links.borrow_mut();
        let mut room = links.iter().filter(|link| link.has_room(&self.limits));
        let apart = self.spoilt.get().is_some_and(|at| at.elapsed() < SPOILT_MEMORY);
        if !apart {
            if let Some(link) = room.next() {
                return link.clone();
            }
        } else if let Some(link) = room.min_by_key(|link| link.load()) {
            let more =
                links.len() < LINKS_APART && self.links.get() < self.limits.links / self.presence.processes();
            if link.load() == 0 || !more {
                return link.clone();
            }
        }
        if !apart {
            links.iter().filter(|link| link.idle()).for_each(|link| link.retire());
        }
        let link = Link::new(site.clone(), self.counters.clone());
        links.push(link.clone());
        self.links.set(self.links.get() + 1);
        let (this, site, running) = (self.clone(), site.clone(), link.clone());
        let run = async move {
            if running.clone().run(this.limits.clone()).await {
                this.spoilt.set(Some(Instant::now()));
            }
            this.links.set(this.links.get() - 1);
            site.links.borrow_mut().retain(|link| !Rc::ptr_eq(link, &running));
        };
        self.executor.spawn(run).detach();
        link
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

/// A part's id and the frame that calls for it.
fn call(order: &Order) -> (Rc<str>, Vec<u8>) {
    let shard = order.shard;
    let mut id = format!("{}.{shard}", order.query);
    let mut list = format!("d={}", order.patience_ms.max(1.0).floor());
    if let Some(key) = &order.key {
        list.push_str(&format!(",k={}", key.as_str()));
    }
    if let Some(fence) = &order.fence {
        // The entry's key is what stands before the last dash: the same wherever its block goes.
        if fence.named != shard {
            id = format!("{}.{}-{shard}", order.query, fence.named);
        }
        list.push_str(&format!(",e={}", fence.epoch.0));
        if let Some(slice) = fence.slice {
            list.push_str(&format!(",s={}-{}", slice.first, slice.end));
        }
        if let Some(weigher) = fence.weigher {
            list.push_str(&format!(",i={weigher}"));
        }
        if fence.entry {
            list.push_str(",w=1");
        }
    }
    if let Some(first) = &order.second {
        id.push_str(".r");
        let from: Vec<String> = first.from.iter().map(u32::to_string).collect();
        list.push_str(&format!(",from={},whole={}", from.join("+"), u8::from(first.whole)));
    }
    let bytes = frame::call(&id, shard, &list, &order.text);
    (id.into(), bytes)
}
