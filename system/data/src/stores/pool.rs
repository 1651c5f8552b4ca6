//! A pool of connections to stores, bounded for each store and in all.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::timeout;

use super::connection::Connection;
use super::StoreTarget;

/// The idle time-out of connections to a store that has named none and closed none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Connections are closed this long before the store would close them.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// The least idle time-out.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection of the pool, and its slot at its store.
pub(super) type PooledConnection = Connection<ConnectionSlot>;

/// Where a connection may be taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionSource {
    /// An idle one, or else a new one.
    IdleOrNew,
    /// A new one only: an idle one was found closed.
    New,
}

/// The connections to all stores.
pub(super) struct ConnectionPool {
    stores: RefCell<HashMap<String, Rc<StorePool>>>,
    total: Rc<Cell<usize>>,
    total_limit: Cell<usize>,
    started: Instant,
}

/// The connections to one store.
pub(super) struct StorePool {
    address: SocketAddr,
    idle: RefCell<Vec<PooledConnection>>,
    open: Cell<usize>,
    total: Rc<Cell<usize>>,
    /// A connection became idle or was closed.
    released: Notify,
    idle_timeout: Cell<Duration>,
    started: Instant,
}

/// One of the connections that a store may have; dropping it frees the slot.
pub(super) struct ConnectionSlot {
    store: Rc<StorePool>,
}

impl ConnectionSlot {
    /// The connections of its store.
    pub(super) fn store(&self) -> Rc<StorePool> {
        Rc::clone(&self.store)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.store.open.set(self.store.open.get().saturating_sub(1));
        self.store.total.set(self.store.total.get().saturating_sub(1));
        self.store.released.notify_one();
    }
}

/// Why no connection could be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PoolError {
    /// No connection could be opened.
    Unreachable,
    /// All connections that the limits permit are in use.
    LimitReached,
}

impl ConnectionPool {
    /// A pool without connections.
    pub(super) fn new() -> Self {
        Self {
            stores: RefCell::default(),
            total: Rc::default(),
            total_limit: Cell::new(usize::MAX),
            started: Instant::now(),
        }
    }

    /// Sets the limit of connections to all stores together.
    pub(super) fn set_total_limit(&self, limit: usize) {
        self.total_limit.set(limit);
    }

    /// Acquires a connection to a store: an idle one if there is one, else a new one while there are fewer than `limit`.
    pub(super) async fn acquire(
        &self,
        target: &StoreTarget,
        limit: usize,
        connect_timeout: Duration,
        source: ConnectionSource,
    ) -> Result<PooledConnection, PoolError> {
        let store = self.store(target);
        if source == ConnectionSource::IdleOrNew {
            if let Some(connection) = store.take_idle().await {
                return Ok(connection);
            }
        }
        if store.open.get() < limit {
            return self.open(&store, connect_timeout).await;
        }
        let waiting = store.wait_for_release(limit, source);
        match timeout(connect_timeout, waiting).await {
            Err(_elapsed) => Err(PoolError::LimitReached),
            Ok(Some(connection)) => Ok(connection),
            Ok(None) => self.open(&store, connect_timeout).await,
        }
    }

    async fn open(
        &self,
        store: &Rc<StorePool>,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, PoolError> {
        if self.total.get() >= self.total_limit.get() && !self.close_any_idle() {
            return Err(PoolError::LimitReached);
        }
        store.open(connect_timeout).await
    }

    /// Closes an idle connection to any store; returns whether there was one.
    fn close_any_idle(&self) -> bool {
        let stores = self.stores.borrow();
        let connection = stores.values().find_map(|store| store.idle.borrow_mut().pop());
        connection.is_some()
    }

    /// Closes connections that were idle for too long, and idle ones to stores for which `is_known` is false.
    pub(super) fn close_expired(&self, is_known: impl Fn(&str) -> bool) {
        self.stores.borrow_mut().retain(|id, store| {
            store.close_expired(is_known(id));
            store.open.get() > 0 || is_known(id)
        });
    }

    /// The number of idle connections to a store.
    pub(super) fn idle_connections(&self, id: &str) -> usize {
        self.stores.borrow().get(id).map_or(0, |store| store.idle.borrow().len())
    }

    fn store(&self, target: &StoreTarget) -> Rc<StorePool> {
        let mut stores = self.stores.borrow_mut();
        if let Some(store) = stores.get(&target.id).filter(|store| store.address == target.address) {
            return Rc::clone(store);
        }
        let store = Rc::new(StorePool::new(target.address, Rc::clone(&self.total), self.started));
        stores.insert(target.id.clone(), Rc::clone(&store));
        store
    }
}

impl StorePool {
    fn new(address: SocketAddr, total: Rc<Cell<usize>>, started: Instant) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            open: Cell::new(0),
            total,
            released: Notify::new(),
            idle_timeout: Cell::new(DEFAULT_IDLE_TIMEOUT),
            started,
        }
    }

    /// Takes back a connection whose response is complete.
    pub(super) fn release(self: &Rc<Self>, connection: PooledConnection) {
        connection.idle_since.set(Some(self.started.elapsed()));
        self.idle.borrow_mut().push(connection);
        self.released.notify_one();
    }

    /// The store named its keep-alive time.
    pub(super) fn on_keep_alive(&self, time: Duration) {
        self.idle_timeout.set(with_margin(time));
    }

    /// The store closed a connection, idle since then: its keep-alive time is no longer than that.
    fn on_closed(&self, idle_since: Option<Duration>) {
        if let Some(since) = idle_since {
            let idle_time = self.started.elapsed().saturating_sub(since);
            self.idle_timeout.set(self.idle_timeout.get().min(with_margin(idle_time)).max(MIN_IDLE_TIMEOUT));
        }
    }

    fn is_expired(&self, connection: &PooledConnection) -> bool {
        let since = connection.idle_since.get().unwrap_or_default();
        self.started.elapsed().saturating_sub(since) >= self.idle_timeout.get()
    }

    fn close_expired(&self, is_known: bool) {
        let expired: Vec<PooledConnection> = {
            let mut idle = self.idle.borrow_mut();
            let (kept, expired) = idle.drain(..).partition(|connection| {
                is_known && !connection.sender.is_closed() && !self.is_expired(connection)
            });
            *idle = kept;
            expired
        };
        drop(expired);
    }

    async fn take_idle(&self) -> Option<PooledConnection> {
        loop {
            let connection = self.idle.borrow_mut().pop()?;
            if connection.sender.is_closed() || self.is_expired(&connection) {
                continue;
            }
            if !connection.sender.is_ready() {
                tokio::task::yield_now().await;
            }
            if connection.sender.is_ready() {
                connection.idle_since.set(None);
                return Some(connection);
            }
        }
    }

    /// Waits for an idle connection, or (`None`) until a new one may be opened.
    async fn wait_for_release(&self, limit: usize, source: ConnectionSource) -> Option<PooledConnection> {
        loop {
            self.released.notified().await;
            if source == ConnectionSource::IdleOrNew {
                if let Some(connection) = self.take_idle().await {
                    return Some(connection);
                }
            }
            if self.open.get() < limit {
                return None;
            }
        }
    }

    async fn open(self: &Rc<Self>, connect_timeout: Duration) -> Result<PooledConnection, PoolError> {
        self.open.set(self.open.get() + 1);
        self.total.set(self.total.get() + 1);
        let slot = ConnectionSlot { store: Rc::clone(self) };
        let store = Rc::clone(self);
        let opening = Connection::open(self.address, slot, move |idle_since| store.on_closed(idle_since));
        match timeout(connect_timeout, opening).await {
            Ok(Some(connection)) => Ok(connection),
            _ => Err(PoolError::Unreachable),
        }
    }
}

fn with_margin(time: Duration) -> Duration {
    time.saturating_sub(IDLE_TIMEOUT_MARGIN).max(time / 2).max(MIN_IDLE_TIMEOUT)
}
