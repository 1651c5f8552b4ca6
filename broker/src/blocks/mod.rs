//! Blocks that move: the driver of `gingerledge-blocks`. A broker that may coordinate takes the lease and carries changes out
//! ([`coordinator`]); every broker follows the map ([`follow`]), tells the core who holds what, and keeps the map for its next
//! start. Operators reach it through the admin endpoint ([`admin`]).

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
use gingerledge_blocks::wire::{self, News};
use gingerledge_blocks::{Snapshot, StoreId};

use crate::clock::Clock;
use crate::config::blocks::Blocks as Set;
use crate::discovery::Discovery;
use crate::exchange::Exchange;
use crate::http::Head;
use crate::routes::{MapUpdate, MapUpdateError, Routes};
use crate::store::Stores;
use crate::subsystem::{Host, Reply, Subsystem};

/// The coordinator replies within this time, or counts as not there.
const ASK_WITHIN: Duration = Duration::from_millis(1500);
/// The map is kept this long after a change, together with what changed meanwhile.
const KEEP_AFTER: Duration = Duration::from_millis(500);

/// What the parts of this driver share.
pub struct Blocks {
    set: Set,
    name: String,
    clock: Clock,
    routes: Rc<Routes>,
    exchange: Rc<Exchange>,
    stores: Rc<Stores>,
    discovery: Rc<Discovery>,
    executor: Rc<LocalExecutor<'static>>,
    /// To the coordinator, while this broker is it.
    boss: RefCell<Option<Sender<coordinator::Ask>>>,
    /// News of the map is wanted.
    poke: (Sender<()>, Receiver<()>),
    /// The map has changed and is to be kept.
    changed: (Sender<()>, Receiver<()>),
    stopping: Cell<bool>,
    /// When the coordinator in charge here has let the lease go.
    released: (RefCell<Option<Sender<()>>>, Receiver<()>),
}

impl Blocks {
    /// Starts the driver. The map that was kept is there before this returns.
    pub fn start(set: Set, host: &Host, routes: Rc<Routes>) -> Rc<Self> {
        let (releasing, released) = async_channel::bounded(1);
        let this = Rc::new(Self {
            set,
            name: host.name.clone(),
            clock: host.clock,
            routes,
            exchange: host.exchange.clone(),
            stores: host.stores.clone(),
            discovery: host.discovery.clone(),
            executor: host.executor.clone(),
            boss: RefCell::default(),
            poke: async_channel::bounded(1),
            changed: async_channel::bounded(1),
            stopping: Cell::new(false),
            released: (RefCell::new(Some(releasing)), released),
        });
        this.restore();
        this.executor.spawn(this.clone().keep()).detach();
        this.executor.spawn(follow::run(this.clone())).detach();
        if this.set.coordinate {
            this.executor.spawn(coordinator::run(this.clone())).detach();
        } else {
            this.released.0.borrow_mut().take();
        }
        this
    }

    /// Passes a call on to the coordinator; nothing if it is not here.
    pub async fn ask(&self, call: requests::Call) -> Option<requests::Reply> {
        let boss = self.boss.borrow().clone()?;
        let (reply, replied) = async_channel::bounded(1);
        boss.try_send(coordinator::Ask::Call(call, reply)).ok()?;
        let late = async {
            Timer::after(ASK_WITHIN).await;
            None
        };
        futures_lite::future::or(async { replied.recv().await.ok() }, late).await
    }

    /// Takes a page of news in, and tells the core.
    fn learn(&self, news: News) -> Option<MapUpdate> {
        match self.routes.apply(news) {
            Ok(learned) => {
                if let MapUpdate::UpToDate(_) = learned {
                    self.exchange.block_owners_changed(self.stores.take_block_owner_changes());
                    let _ = self.changed.0.try_send(());
                }
                Some(learned)
            }
            Err(fault @ MapUpdateError::Unsound { .. }) => {
                log::error!(
                    "blocks: the map is not followed, the one held stays, and it is asked for again: {fault}"
                );
                None
            }
            Err(fault) => {
                log::warn!("blocks: news of the map can't be used: {fault}");
                None
            }
        }
    }

    fn file(&self) -> PathBuf {
        let name: String = self.name.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').collect();
        self.set.dir.join(format!("blocks-{name}.map"))
    }

    /// The map as it was kept, so that queries find their stores though no coordinator lives.
    fn restore(&self) {
        let Some(bytes) = lease::kept(&self.file()) else { return };
        let Some((snapshot, stores, term)) = wire::unpack::<(Snapshot, Vec<(StoreId, String)>, u32)>(&bytes)
        else {
            log::warn!("blocks: the map that was kept can't be read; waiting for a coordinator");
            return;
        };
        match self.routes.restore(&snapshot, &stores, term) {
            Ok(()) => {
                let version = self.routes.version();
                log::info!(version, term; "blocks: the map as it was kept");
                self.exchange.block_owners_changed(self.stores.take_block_owner_changes());
            }
            Err(fault) => log::warn!("blocks: the map that was kept is not sound: {fault}"),
        }
    }

    async fn keep(self: Rc<Self>) {
        while self.changed.1.recv().await.is_ok() {
            Timer::after(KEEP_AFTER).await;
            let _ = self.changed.1.try_recv();
            let (kept, path) = (self.routes.snapshot(), self.file());
            let bytes = wire::pack(&kept);
            if let Err(fault) = blocking::unblock(move || lease::keep(&path, &bytes)).await {
                log::warn!("blocks: the map was not kept: {fault}");
            }
        }
    }

    fn address(&self, store: &str) -> Option<SocketAddr> {
        self.stores.address_and_readiness(store).map(|(address, _)| address)
    }
}

impl Subsystem for Blocks {
    fn path(&self) -> &'static str {
        "blocks"
    }

    /// Passes a call on to the coordinator, if it is here.
    fn handle_request<'a>(&'a self, head: &'a Head, body: &'a [u8]) -> LocalBoxFuture<'a, Reply> {
        Box::pin(async move {
            let call = match admin::call(head, body) {
                Ok(call) => call,
                Err((status, words)) => return Reply::text(status, &words),
            };
            match self.ask(call).await {
                None => Reply::text(503, "another broker coordinates, or none does just now"),
                Some(requests::Reply::Done(words)) => Reply::text(200, &words),
                Some(requests::Reply::No(words)) => Reply::text(409, &words),
                Some(requests::Reply::Json(value)) => Reply::json(&value),
                Some(requests::Reply::News(bytes)) => Reply::bytes(bytes),
            }
        })
    }

    /// Asks for news of the map soon: a store has told of a newer epoch.
    fn on_newer_epoch(&self) {
        let _ = self.poke.0.try_send(());
    }

    /// Lets the lease go, so that another broker need not wait for its end.
    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(async {
            self.stopping.set(true);
            if let Some(boss) = self.boss.borrow().as_ref() {
                let _ = boss.try_send(coordinator::Ask::Wake);
            }
            let long = async {
                Timer::after(Duration::from_millis(500)).await;
            };
            let done = async {
                let _ = self.released.1.recv().await;
            };
            futures_lite::future::or(done, long).await;
        })
    }
}
