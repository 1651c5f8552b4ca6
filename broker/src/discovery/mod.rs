//! Discovery: what is listed, less what was taken out by hand, and the core told of it. A watch on the list is
//! begun when the core asks for one, and where discovery has moved to another address; where lists are pushed,
//! from the first moment.

mod calls;
mod list;
pub mod watching;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use gingerledge_dispatch::{Entry, ListKind, Status};

use crate::clock::Millis;
use crate::counters::{count, Counters};
use crate::exchange::Exchange;
use crate::rotation::Rotation;
use crate::store::Stores;

pub use list::{parse, Fault, Instance, Lifecycle, List, Lists};
use watching::{Waits, Watching};

/// How often, and how long apart, a lock that another process holds is tried.
const LOCK_TRIES: u32 = 50;
const LOCK_AGAIN: Duration = Duration::from_millis(5);

/// Why a store could not be taken out or put back.
#[derive(Debug)]
pub enum Unrotated {
    /// No list has named it.
    Unknown,
    /// There is no list yet.
    NoList,
    /// The file could not be written.
    Unwritten(io::Error),
}

/// A store as the list has it, less what was taken out by hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone, by index.
    pub zone: u32,
    /// Whether it may be given work.
    pub ready: bool,
}

/// Begins watches.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// The version known.
    since: Cell<Option<u64>>,
    zones: std::collections::HashMap<String, u32>,
    exchange: Rc<Exchange>,
    stores: Rc<Stores>,
    counters: Rc<Counters>,
    asks: (Sender<()>, Receiver<()>),
    moved: (Sender<()>, Receiver<()>),
    /// What it told last of each store, and those that were taken out by hand.
    listed: RefCell<BTreeMap<String, Instance>>,
    rotation: Rc<Rotation>,
    watching: RefCell<Watching>,
    /// Closed once discovery itself has told its list.
    told: (RefCell<Option<Sender<()>>>, Receiver<()>),
}

impl Discovery {
    /// Discovery at this address.
    pub fn new(
        address: SocketAddr,
        zones: std::collections::HashMap<String, u32>,
        exchange: Rc<Exchange>,
        stores: Rc<Stores>,
        rotation: Rc<Rotation>,
        counters: Rc<Counters>,
        waits: Waits,
    ) -> Rc<Self> {
        let (asks, moved) = (async_channel::bounded(1), async_channel::bounded(1));
        let (address, since) = (Cell::new(address), Cell::new(None));
        let (telling, told) = async_channel::bounded(1);
        let told = (RefCell::new(Some(telling)), told);
        Rc::new(Self {
            address,
            since,
            zones,
            exchange,
            stores,
            counters,
            asks,
            moved,
            listed: RefCell::default(),
            rotation,
            watching: RefCell::new(Watching::new(waits, Instant::now())),
            told,
        })
    }

    /// Follows discovery to another address. What stands with the old one is left at once: it closes its
    /// watches soon, and what the new one has to tell counts as told 4 s from now.
    pub fn follow(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            log::info!("discovery: now at {address}");
            // Its versions may be others there, so the whole list is asked for.
            self.since.set(None);
            let _ = self.moved.0.try_send(());
        }
    }

    /// Asks for a watch; one that stands is kept.
    pub fn subscribe(&self) {
        let _ = self.asks.0.try_send(());
    }

    /// How long a process that has no list waits with its first call.
    pub fn first_call(&self) -> Duration {
        self.watching.borrow().first_call()
    }

    /// Resolves once discovery has told its list.
    pub async fn told(&self) {
        let _ = self.told.1.recv().await;
    }

    /// Whether discovery has told its list.
    pub fn has_told(&self) -> bool {
        self.told.0.borrow().is_none()
    }

    /// Whether any list names a store.
    pub fn known(&self) -> bool {
        self.stores.known() > 0
    }

    /// The stores on the list.
    pub fn fleet(&self) -> Vec<Member> {
        let member = |instance: &Instance| Member {
            name: instance.instance_id.clone(),
            zone: self.zones.get(&instance.zone).copied().unwrap_or(u32::MAX),
            ready: instance.lifecycle == Lifecycle::Up && !self.rotation.is_out(&instance.instance_id),
        };
        self.listed.borrow().values().map(member).collect()
    }

    /// Tells the core of a list, less what was taken out by hand.
    pub fn tell(&self, list: &List, remembered: bool) {
        self.since.set(Some(list.generation));
        let mut listed = self.listed.borrow_mut();
        if remembered || list.reset {
            listed.clear();
        }
        let mut entries = Vec::with_capacity(list.instances.len());
        for instance in &list.instances {
            // Of one that was never known there is nothing to tell.
            let entry = self.entry(instance);
            match instance.lifecycle {
                Lifecycle::Removed => drop(listed.remove(&instance.instance_id)),
                _ if entry.is_some() => drop(listed.insert(instance.instance_id.clone(), instance.clone())),
                _ => {}
            }
            entries.extend(entry);
        }
        let kind = match (remembered, list.reset) {
            (true, _) => ListKind::Remembered,
            (false, true) => ListKind::Complete,
            (false, false) => ListKind::Changes,
        };
        if kind != ListKind::Changes {
            let listed: Vec<_> = entries.iter().map(|entry| entry.server).collect();
            self.stores.keep(&listed);
        }
        count(&self.counters.lists);
        self.exchange.endpoints_listed(kind, entries);
        self.exchange.block_owners_changed(self.stores.take_block_owner_changes());
        if !remembered {
            self.told.0.borrow_mut().take();
        }
    }

    /// An entry as the core is told of it.
    fn entry(&self, instance: &Instance) -> Option<Entry> {
        let id = &instance.instance_id;
        let status = match instance.lifecycle {
            Lifecycle::Up if self.rotation.is_out(id) => Status::Draining,
            Lifecycle::Up => Status::Ready,
            Lifecycle::Draining => Status::Draining,
            Lifecycle::Removed => Status::Gone,
        };
        Some(Entry {
            server: match status {
                Status::Gone => self.stores.remove(id)?,
                _ => match instance.host_port.parse() {
                    Ok(address) => self.stores.note(id, address, status == Status::Ready),
                    Err(_) => {
                        log::warn!("discovery: `{}` is no address", instance.host_port);
                        return None;
                    }
                },
            },
            since: self.rotation.started(id, instance.started_at_ms),
            zone: self.zones.get(&instance.zone).copied().unwrap_or(u32::MAX),
            cell: instance.cell,
            status,
        })
    }

    /// Takes a store out by hand, or puts it back; done once this resolves.
    pub async fn rotate(&self, id: &str, out: bool, now: Millis) -> Result<(), Unrotated> {
        if !self.listed.borrow().contains_key(id) && !self.rotation.is_out(id) {
            // Another process may have been told so a moment ago.
            self.follow_rotation();
            if !self.rotation.is_out(id) {
                return Err(if self.has_told() { Unrotated::Unknown } else { Unrotated::NoList });
            }
        }
        let mut tries = 0..LOCK_TRIES;
        let changed = loop {
            let changed = if out { self.rotation.take_out(id, now) } else { self.rotation.put_back(id, now) };
            match changed {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && tries.next().is_some() => {
                    Timer::after(LOCK_AGAIN).await;
                }
                changed => break changed.map_err(Unrotated::Unwritten)?,
            }
        };
        self.retell(&changed);
        self.exchange.flush().await;
        let started = self.listed.borrow().get(id).map_or(0.0, |instance| instance.started_at_ms);
        let age =
            if started > 0.0 { format!("{:.1} s ago", (now - started) / 1000.0) } else { "long ago".into() };
        log::info!("store {id} {} by hand; listed as started {age}", if out { "out" } else { "back" });
        Ok(())
    }

    /// Follows what another process of this broker was told of stores out.
    pub fn follow_rotation(&self) {
        self.retell(&self.rotation.follow());
    }

    /// Tells the core once more of some stores on the list.
    fn retell(&self, ids: &[String]) {
        let listed = self.listed.borrow();
        let entries: Vec<_> = ids.iter().filter_map(|id| self.entry(listed.get(id)?)).collect();
        if !entries.is_empty() {
            self.exchange.endpoints_listed(ListKind::Changes, entries);
        }
    }
}
