//! Discovery of stores: keeps the endpoint list current, removes stores that an operator disabled, and reports changes to
//! the core and the store side. A watch is opened when the core requests one and when the service's address changes; where
//! an agent pushes lists, at the start.

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
use gingerledge_dispatch::{ListKind, ServerEntry, ServerStatus};

use crate::clock::Millis;
use crate::counters::{count, Counters};
use crate::exchange::Exchange;
use crate::rotation::Rotation;
use crate::store::Stores;

pub use list::{parse, Fault, Instance, Lifecycle, List, Lists};
use watching::{Waits, Watching};

/// Retries for a file lock that another process holds, and the delay between them.
const LOCK_RETRIES: u32 = 50;
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Why a store could not be disabled or enabled.
#[derive(Debug)]
pub enum RotationError {
    /// No list names the store.
    Unknown,
    /// No list has been received yet.
    NoList,
    /// The file could not be written.
    Unwritten(io::Error),
}

/// A listed store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone, by index.
    pub zone: u32,
    /// Whether it accepts work: it is up and not disabled.
    pub ready: bool,
}

/// The discovery client and the current endpoint list.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// Version of the current list.
    since: Cell<Option<u64>>,
    zones: std::collections::HashMap<String, u32>,
    exchange: Rc<Exchange>,
    stores: Rc<Stores>,
    counters: Rc<Counters>,
    subscriptions: (Sender<()>, Receiver<()>),
    moved: (Sender<()>, Receiver<()>),
    /// The latest entry of each store.
    listed: RefCell<BTreeMap<String, Instance>>,
    rotation: Rc<Rotation>,
    watching: RefCell<Watching>,
    /// The sender is dropped once the service has sent a list.
    first_list: (RefCell<Option<Sender<()>>>, Receiver<()>),
}

impl Discovery {
    /// A client of the service at this address.
    pub fn new(
        address: SocketAddr,
        zones: std::collections::HashMap<String, u32>,
        exchange: Rc<Exchange>,
        stores: Rc<Stores>,
        rotation: Rc<Rotation>,
        counters: Rc<Counters>,
        waits: Waits,
    ) -> Rc<Self> {
        let (subscriptions, moved) = (async_channel::bounded(1), async_channel::bounded(1));
        let (address, since) = (Cell::new(address), Cell::new(None));
        let (first_list_pending, first_list) = async_channel::bounded(1);
        let first_list = (RefCell::new(Some(first_list_pending)), first_list);
        Rc::new(Self {
            address,
            since,
            zones,
            exchange,
            stores,
            counters,
            subscriptions,
            moved,
            listed: RefCell::default(),
            rotation,
            watching: RefCell::new(Watching::new(waits, Instant::now())),
            first_list,
        })
    }

    /// Switches to another address of the service. The call to the old one is dropped immediately: it closes its watches
    /// soon, and changes at the new one must be applied within 4 s.
    pub fn follow(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            log::info!(address:%; "discovery address changed");
            // Versions may differ there, so the complete list is requested.
            self.since.set(None);
            let _ = self.moved.0.try_send(());
        }
    }

    /// Requests a watch, unless one is open.
    pub fn subscribe(&self) {
        let _ = self.subscriptions.0.try_send(());
    }

    /// Delay of the first call of a process that has no list.
    pub fn first_call_delay(&self) -> Duration {
        self.watching.borrow().first_call_delay()
    }

    /// Resolves once the service has sent a list.
    pub async fn first_list(&self) {
        let _ = self.first_list.1.recv().await;
    }

    /// Whether the service has sent a list.
    pub fn has_list(&self) -> bool {
        self.first_list.0.borrow().is_none()
    }

    /// Whether any store is listed.
    pub fn has_stores(&self) -> bool {
        self.stores.endpoint_count() > 0
    }

    /// The listed stores.
    pub fn fleet(&self) -> Vec<Member> {
        let member = |instance: &Instance| Member {
            name: instance.instance_id.clone(),
            zone: self.zones.get(&instance.zone).copied().unwrap_or(u32::MAX),
            ready: instance.lifecycle == Lifecycle::Up && !self.rotation.is_disabled(&instance.instance_id),
        };
        self.listed.borrow().values().map(member).collect()
    }

    /// Applies a list, without the stores that are disabled. `remembered` marks one that is not from the service itself.
    pub fn apply(&self, list: &List, remembered: bool) {
        self.since.set(Some(list.generation));
        let mut listed = self.listed.borrow_mut();
        if remembered || list.reset {
            listed.clear();
        }
        let mut entries = Vec::with_capacity(list.instances.len());
        for instance in &list.instances {
            // The removal of a store that was never listed is ignored.
            let entry = self.entry(instance);
            match instance.lifecycle {
                Lifecycle::Removed => drop(listed.remove(&instance.instance_id)),
                _ if entry.is_some() => drop(listed.insert(instance.instance_id.clone(), instance.clone())),
                _ => {}
            }
            entries.extend(entry);
        }
        let kind = match (remembered, list.reset) {
            (true, _) => ListKind::Restored,
            (false, true) => ListKind::Complete,
            (false, false) => ListKind::Changes,
        };
        if kind != ListKind::Changes {
            let listed: Vec<_> = entries.iter().map(|entry| entry.server).collect();
            self.stores.retain(&listed);
        }
        count(&self.counters.lists);
        self.exchange.endpoints_listed(kind, entries);
        self.exchange.block_owners_changed(self.stores.take_block_owner_changes());
        if !remembered {
            self.first_list.0.borrow_mut().take();
        }
    }

    /// The core's entry of a store; `None` if it is not known or its address is invalid.
    fn entry(&self, instance: &Instance) -> Option<ServerEntry> {
        let id = &instance.instance_id;
        let status = match instance.lifecycle {
            Lifecycle::Up if self.rotation.is_disabled(id) => ServerStatus::Draining,
            Lifecycle::Up => ServerStatus::Ready,
            Lifecycle::Draining => ServerStatus::Draining,
            Lifecycle::Removed => ServerStatus::Removed,
        };
        Some(ServerEntry {
            server: match status {
                ServerStatus::Removed => self.stores.remove(id)?,
                _ => match instance.host_port.parse() {
                    Ok(address) => self.stores.upsert(id, address, status == ServerStatus::Ready),
                    Err(_) => {
                        log::warn!(store = instance.instance_id, address = instance.host_port; "listed store has an invalid address");
                        return None;
                    }
                },
            },
            started_at: self.rotation.started(id, instance.started_at_ms),
            zone: self.zones.get(&instance.zone).copied().unwrap_or(u32::MAX),
            cell: instance.cell,
            status,
        })
    }

    /// Disables a store (`out`), or enables it again. In effect once this resolves.
    ///
    /// # Errors
    ///
    /// If the store is not listed or its state could not be saved.
    pub async fn set_disabled(&self, id: &str, out: bool, now: Millis) -> Result<(), RotationError> {
        if !self.listed.borrow().contains_key(id) && !self.rotation.is_disabled(id) {
            // Another process of this broker may have disabled it just now.
            self.follow_rotation();
            if !self.rotation.is_disabled(id) {
                return Err(if self.has_list() { RotationError::Unknown } else { RotationError::NoList });
            }
        }
        let mut retries = 0..LOCK_RETRIES;
        let changed = loop {
            let changed = if out { self.rotation.disable(id, now) } else { self.rotation.enable(id, now) };
            match changed {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && retries.next().is_some() => {
                    Timer::after(LOCK_RETRY_DELAY).await;
                }
                changed => break changed.map_err(RotationError::Unwritten)?,
            }
        };
        self.report_again(&changed);
        self.exchange.flush().await;
        let started = self.listed.borrow().get(id).map_or(0.0, |instance| instance.started_at_ms);
        let age =
            if started > 0.0 { format!("{:.1} s ago", (now - started) / 1000.0) } else { "long ago".into() };
        log::info!("store {id} {} by hand; listed as started {age}", if out { "out" } else { "back" });
        Ok(())
    }

    /// Applies the stores that another process of this broker disabled or enabled.
    pub fn follow_rotation(&self) {
        self.report_again(&self.rotation.follow());
    }

    /// Reports some listed stores to the core again.
    fn report_again(&self, ids: &[String]) {
        let listed = self.listed.borrow();
        let entries: Vec<_> = ids.iter().filter_map(|id| self.entry(listed.get(id)?)).collect();
        if !entries.is_empty() {
            self.exchange.endpoints_listed(ListKind::Changes, entries);
        }
    }
}
