//! Movable blocks: the driver of `gingerledge-blocks`. A broker that may coordinate acquires the lease and carries out
//! changes ([`coordinator`]). Every broker follows the map ([`follow`]), reports the owners of blocks to the core, and
//! stores the map for its next start. Operators use the admin endpoint ([`admin`]).

pub mod admin;
pub mod coordinator;
pub mod follow;
pub mod lease;
pub mod requests;
pub mod store_client;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_core::future::LocalBoxFuture;
use gingerledge_blocks::wire::{self, MapPage};
use gingerledge_blocks::{Snapshot, StoreId};

use crate::clock::Clock;
use crate::config::blocks::Blocks as BlockSettings;
use crate::discovery::Discovery;
use crate::exchange::Exchange;
use crate::http::Head;
use crate::routes::{MapUpdate, MapUpdateError, Routes};
use crate::store::Stores;
use crate::subsystem::{Host, Reply, Subsystem};

/// Time-out for a reply of the coordinator, after which it counts as absent.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay between a change of the map and its storage in the file, which then includes all changes made meanwhile.
const STORE_DELAY: Duration = Duration::from_millis(500);

/// The driver of movable blocks; the state that its tasks share.
pub struct Blocks {
    settings: BlockSettings,
    /// Name of this broker.
    name: String,
    clock: Clock,
    routes: Rc<Routes>,
    exchange: Rc<Exchange>,
    stores: Rc<Stores>,
    discovery: Rc<Discovery>,
    executor: Rc<LocalExecutor<'static>>,
    /// Sends inputs to the coordinator while this broker is the coordinator.
    coordinator: RefCell<Option<Sender<coordinator::Input>>>,
    /// Signals that the map must be refreshed.
    refresh_requests: (Sender<()>, Receiver<()>),
    /// Signals that the map has changed and must be stored.
    map_changes: (Sender<()>, Receiver<()>),
    /// Whether the broker is shutting down.
    is_stopping: Cell<bool>,
    /// A channel whose sender is dropped once this broker no longer coordinates and has released the lease.
    released: (RefCell<Option<Sender<()>>>, Receiver<()>),
}

impl Blocks {
    /// Starts the driver. The stored map is restored before this returns.
    pub fn start(settings: BlockSettings, host: &Host, routes: Rc<Routes>) -> Rc<Self> {
        let (release_pending, released) = async_channel::bounded(1);
        let this = Rc::new(Self {
            settings,
            name: host.name.clone(),
            clock: host.clock,
            routes,
            exchange: host.exchange.clone(),
            stores: host.stores.clone(),
            discovery: host.discovery.clone(),
            executor: host.executor.clone(),
            coordinator: RefCell::default(),
            refresh_requests: async_channel::bounded(1),
            map_changes: async_channel::bounded(1),
            is_stopping: Cell::new(false),
            released: (RefCell::new(Some(release_pending)), released),
        });
        this.restore();
        this.executor.spawn(this.clone().store_map_changes()).detach();
        this.executor.spawn(follow::run(this.clone())).detach();
        if this.settings.coordinate {
            this.executor.spawn(coordinator::run(this.clone())).detach();
        } else {
            this.released.0.borrow_mut().take();
        }
        this
    }

    /// Passes a request on to the coordinator; `None` if this broker does not coordinate or the reply takes too long.
    pub async fn request(&self, request: requests::Request) -> Option<requests::Reply> {
        let coordinator = self.coordinator.borrow().clone()?;
        let (reply_sender, reply) = async_channel::bounded(1);
        coordinator.try_send(coordinator::Input::Request(request, reply_sender)).ok()?;
        let timeout = async {
            Timer::after(COORDINATOR_TIMEOUT).await;
            None
        };
        futures_lite::future::or(async { reply.recv().await.ok() }, timeout).await
    }

    /// Applies a page of updates of the map, and reports changed owners to the core; `None` if the page could not be
    /// applied.
    fn apply_update(&self, page: MapPage) -> Option<MapUpdate> {
        match self.routes.apply(page) {
            Ok(update) => {
                if let MapUpdate::UpToDate(_) = update {
                    self.exchange.block_owners_changed(self.stores.take_block_owner_changes());
                    let _ = self.map_changes.0.try_send(());
                }
                Some(update)
            }
            Err(fault @ MapUpdateError::Unsound { .. }) => {
                log::error!(
                    "blocks: update of the map rejected as invalid, keeping the current map and requesting the update again: {fault}"
                );
                None
            }
            Err(fault) => {
                log::warn!("blocks: update of the map does not fit the current map: {fault}");
                None
            }
        }
    }

    /// Path of the file in which this broker stores the map.
    fn map_file(&self) -> PathBuf {
        let name: String = self.name.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').collect();
        self.settings.dir.join(format!("blocks-{name}.map"))
    }

    /// Restores the stored map, so that queries can be routed to stores even while there is no coordinator.
    fn restore(&self) {
        let Some(bytes) = lease::read_checked(&self.map_file()) else { return };
        let Some((snapshot, stores, term)) = wire::decode::<(Snapshot, Vec<(StoreId, String)>, u32)>(&bytes)
        else {
            log::warn!("blocks: the stored map can't be decoded; waiting for a coordinator");
            return;
        };
        match self.routes.restore(&snapshot, &stores, term) {
            Ok(()) => {
                let version = self.routes.version();
                log::info!(version, term; "blocks: stored map restored");
                self.exchange.block_owners_changed(self.stores.take_block_owner_changes());
            }
            Err(fault) => log::warn!("blocks: the stored map is invalid: {fault}"),
        }
    }

    /// Stores the map after each change.
    async fn store_map_changes(self: Rc<Self>) {
        while self.map_changes.1.recv().await.is_ok() {
            Timer::after(STORE_DELAY).await;
            let _ = self.map_changes.1.try_recv();
            let (snapshot, path) = (self.routes.snapshot(), self.map_file());
            let bytes = wire::encode(&snapshot);
            if let Err(fault) = blocking::unblock(move || lease::write_checked(&path, &bytes)).await {
                log::warn!("blocks: storing the map failed: {fault}");
            }
        }
    }

    /// Address of a listed store.
    fn address(&self, store: &str) -> Option<SocketAddr> {
        self.stores.address_and_readiness(store).map(|(address, _)| address)
    }
}

impl Subsystem for Blocks {
    fn path(&self) -> &'static str {
        "blocks"
    }

    /// Passes an admin request on to the coordinator if this broker coordinates.
    fn handle_request<'a>(&'a self, head: &'a Head, body: &'a [u8]) -> LocalBoxFuture<'a, Reply> {
        Box::pin(async move {
            let request = match admin::parse_request(head, body) {
                Ok(request) => request,
                Err((status, message)) => return Reply::text(status, &message),
            };
            match self.request(request).await {
                None => Reply::text(503, "another broker coordinates, or none does just now"),
                Some(requests::Reply::Done(message)) => Reply::text(200, &message),
                Some(requests::Reply::Refused(reason)) => Reply::text(409, &reason),
                Some(requests::Reply::Json(value)) => Reply::json(&value),
                Some(requests::Reply::MapUpdates(bytes)) => Reply::bytes(bytes),
            }
        })
    }

    /// Requests updates of the map soon, since a store has reported a newer epoch.
    fn on_newer_epoch(&self) {
        let _ = self.refresh_requests.0.try_send(());
    }

    /// Stops coordinating and releases the lease, so that another broker need not wait for its end.
    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(async {
            self.is_stopping.set(true);
            if let Some(coordinator) = self.coordinator.borrow().as_ref() {
                let _ = coordinator.try_send(coordinator::Input::Wake);
            }
            let timeout = async {
                Timer::after(Duration::from_millis(500)).await;
            };
            let is_released = async {
                let _ = self.released.1.recv().await;
            };
            futures_lite::future::or(is_released, timeout).await;
        })
    }
}
