//! Discovery of stores: keeps the endpoint list current, removes stores that an operator disabled, and reports changes to
//! the core and the store side. A watch is opened when the core requests one and when the service's address changes; where
//! an agent pushes lists, it is opened at the start.

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

pub use list::{parse, Instance, Lifecycle, List, ListError, ListParser};
use watching::{CallTimeouts, Watching};

/// Number of retries for a file lock that another process holds.
const LOCK_RETRIES: u32 = 50;
/// Delay between two retries for a file lock.
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The reason for which a store could not be disabled or enabled.
#[derive(Debug)]
pub enum RotationError {
    /// The store is not listed.
    Unknown,
    /// No list has been received yet.
    NoList,
    /// The file could not be written.
    NotSaved(io::Error),
}

/// A listed store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the store.
    pub name: String,
    /// Index of the store's zone; [`u32::MAX`] if the settings do not name the zone.
    pub zone: u32,
    /// Whether the store accepts work: it is up and not disabled.
    pub is_ready: bool,
}

/// The discovery client and the current endpoint list.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// Version of the current list; `None` if the next watch must begin with a complete list.
    generation: Cell<Option<u64>>,
    /// Indices of the zones, by name.
    zones: std::collections::HashMap<String, u32>,
    exchange: Rc<Exchange>,
    stores: Rc<Stores>,
    counters: Rc<Counters>,
    /// Signals that the core requests a watch.
    watch_requests: (Sender<()>, Receiver<()>),
    /// Signals that the address of the service has changed.
    address_changes: (Sender<()>, Receiver<()>),
    /// The latest entry of each listed store.
    listed: RefCell<BTreeMap<String, Instance>>,
    rotation: Rc<Rotation>,
    watching: RefCell<Watching>,
    /// A channel whose sender is dropped once the service has sent a list.
    first_list: (RefCell<Option<Sender<()>>>, Receiver<()>),
}

impl Discovery {
    /// Creates a client of the discovery service at this address.
    pub fn new(
        address: SocketAddr,
        zones: std::collections::HashMap<String, u32>,
        exchange: Rc<Exchange>,
        stores: Rc<Stores>,
        rotation: Rc<Rotation>,
        counters: Rc<Counters>,
        timeouts: CallTimeouts,
    ) -> Rc<Self> {
        let (watch_requests, address_changes) = (async_channel::bounded(1), async_channel::bounded(1));
        let (address, generation) = (Cell::new(address), Cell::new(None));
        let (first_list_pending, first_list) = async_channel::bounded(1);
        let first_list = (RefCell::new(Some(first_list_pending)), first_list);
        Rc::new(Self {
            address,
            generation,
            zones,
            exchange,
            stores,
            counters,
            watch_requests,
            address_changes,
            listed: RefCell::default(),
            rotation,
            watching: RefCell::new(Watching::new(timeouts, Instant::now())),
            first_list,
        })
    }

    /// Switches to another address of the service. A call to the old address is dropped immediately: the service there
    /// closes its watches soon, and changes at the new address must be applied within 4 s.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            log::info!(address:%; "discovery address changed");
            // The versions of lists may differ at the new address, so the complete list is requested.
            self.generation.set(None);
            let _ = self.address_changes.0.try_send(());
        }
    }

    /// Requests a watch, unless one is open.
    pub fn subscribe(&self) {
        let _ = self.watch_requests.0.try_send(());
    }

    /// Delay before the first call of a process that has no list.
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
    pub fn members(&self) -> Vec<Member> {
        let member = |instance: &Instance| Member {
            name: instance.instance_id.clone(),
            zone: self.zones.get(&instance.zone).copied().unwrap_or(u32::MAX),
            is_ready: instance.lifecycle == Lifecycle::Up
                && !self.rotation.is_disabled(&instance.instance_id),
        };
        self.listed.borrow().values().map(member).collect()
    }

    /// Applies a list; disabled stores count as draining. `is_remembered` marks a list that was not received from the
    /// service.
    pub fn apply(&self, list: &List, is_remembered: bool) {
        self.generation.set(Some(list.generation));
        let mut listed = self.listed.borrow_mut();
        if is_remembered || list.reset {
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
        let kind = match (is_remembered, list.reset) {
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
        if !is_remembered {
            self.first_list.0.borrow_mut().take();
        }
    }

    /// Converts a list entry into the core's form; `None` if a removed store is not known or the address of a store is
    /// invalid.
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
            started_at: self.rotation.start_time(id, instance.started_at_ms),
            zone: self.zones.get(&instance.zone).copied().unwrap_or(u32::MAX),
            cell: instance.cell,
            status,
        })
    }

    /// Disables a store, or enables it again. The change is in effect once this resolves.
    ///
    /// # Errors
    ///
    /// If the store is not listed, no list has been received, or the state of the store could not be saved.
    pub async fn set_disabled(&self, id: &str, disabled: bool, now: Millis) -> Result<(), RotationError> {
        if !self.listed.borrow().contains_key(id) && !self.rotation.is_disabled(id) {
            // Another process of this broker may have disabled it just now.
            self.reload_rotation();
            if !self.rotation.is_disabled(id) {
                return Err(if self.has_list() { RotationError::Unknown } else { RotationError::NoList });
            }
        }
        let mut retries = 0..LOCK_RETRIES;
        let changed = loop {
            let changed =
                if disabled { self.rotation.disable(id, now) } else { self.rotation.enable(id, now) };
            match changed {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && retries.next().is_some() => {
                    Timer::after(LOCK_RETRY_DELAY).await;
                }
                changed => break changed.map_err(RotationError::NotSaved)?,
            }
        };
        self.report_again(&changed);
        self.exchange.flush().await;
        let started = self.listed.borrow().get(id).map_or(0.0, |instance| instance.started_at_ms);
        let age =
            if started > 0.0 { format!("{:.1} s ago", (now - started) / 1000.0) } else { "long ago".into() };
        log::info!(
            "store {id} {} by an operator; listed as started {age}",
            if disabled { "disabled" } else { "enabled" }
        );
        Ok(())
    }

    /// Applies changes by another process of this broker that disabled or enabled stores.
    pub fn reload_rotation(&self) {
        self.report_again(&self.rotation.reload());
    }

    /// Reports the listed stores among `ids` to the core again.
    fn report_again(&self, ids: &[String]) {
        let listed = self.listed.borrow();
        let entries: Vec<_> = ids.iter().filter_map(|id| self.entry(listed.get(id)?)).collect();
        if !entries.is_empty() {
            self.exchange.endpoints_listed(ListKind::Changes, entries);
        }
    }
}
