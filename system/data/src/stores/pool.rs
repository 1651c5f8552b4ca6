//! Pool of connections to stores, with a limit for each store and a total limit.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::timeout;

use super::carried_ids::IdHash;
use super::connection::Connection;
use super::StoreTarget;

/// Idle timeout of connections to a store that has sent no `Keep-Alive` timeout and closed no idle connection.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Connections are closed this long before the store is expected to close them.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Lower bound of the idle timeout.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// Connection of the pool with its slot.
pub(super) type PooledConnection = Connection<ConnectionSlot>;

/// Whether an idle connection may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionSource {
    /// Use an idle connection if there is one, or else open a new one.
    IdleOrNew,
    /// Open a new connection, since an idle one turned out to be closed.
    New,
}

/// Connections to all stores.
pub(super) struct ConnectionPool {
    /// Pool of each store, by store id.
    stores: RefCell<HashMap<String, Rc<StorePool>>>,
    /// Number of open connections to all stores together.
    total_connections: Rc<Cell<usize>>,
    total_connection_limit: Cell<usize>,
    /// Instant that [`Connection::idle_since`] is measured from.
    clock_origin: Instant,
}

/// Connections to one store.
pub(super) struct StorePool {
    address: SocketAddr,
    idle_connections: RefCell<Vec<PooledConnection>>,
    /// Number of open connections to this store, idle or in use.
    open_connections: Cell<usize>,
    total_connections: Rc<Cell<usize>>,
    /// Notified when a connection becomes idle or is closed.
    released: Notify,
    idle_timeout: Cell<Duration>,
    clock_origin: Instant,
}

/// Slot of one open connection within the limits of its store and of the pool. Dropping it frees the slot.
pub(super) struct ConnectionSlot {
    store: Rc<StorePool>,
}

impl ConnectionSlot {
    /// Pool of the store that the slot belongs to.
    pub(super) fn store(&self) -> Rc<StorePool> {
        Rc::clone(&self.store)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.store.open_connections.set(self.store.open_connections.get().saturating_sub(1));
        self.store.total_connections.set(self.store.total_connections.get().saturating_sub(1));
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
    /// Creates a pool without connections.
    pub(super) fn new() -> Self {
        Self {
            stores: RefCell::default(),
            total_connections: Rc::default(),
            total_connection_limit: Cell::new(usize::MAX),
            clock_origin: Instant::now(),
        }
    }

    /// Sets the maximum number of connections to all stores together.
    pub(super) fn set_total_connection_limit(&self, limit: usize) {
        self.total_connection_limit.set(limit);
    }

    /// Acquires a connection to a store for a request with the id `id`: an idle one that has carried no request with this id, or a
    /// new one if fewer than `limit` are open. Otherwise waits up to `connect_timeout` until a connection is released.
    pub(super) async fn acquire(
        &self,
        target: &StoreTarget,
        id: IdHash,
        limit: usize,
        connect_timeout: Duration,
        source: ConnectionSource,
    ) -> Result<PooledConnection, PoolError> {
        let store = self.store(target);
        let mut connection = match store.take_idle(id, source).await {
            Some(connection) => connection,
            None if store.make_room(limit) => self.open(&store, connect_timeout).await?,
            None => match timeout(connect_timeout, store.wait_for_release(id, limit, source)).await {
                Err(_elapsed) => return Err(PoolError::LimitReached),
                Ok(Some(connection)) => connection,
                Ok(None) => self.open(&store, connect_timeout).await?,
            },
        };
        connection.carried_ids.add(id);
        Ok(connection)
    }

    /// Opens a connection; at the total limit, an idle connection to any store is closed first.
    async fn open(
        &self,
        store: &Rc<StorePool>,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, PoolError> {
        if self.total_connections.get() >= self.total_connection_limit.get() && !self.close_any_idle() {
            return Err(PoolError::LimitReached);
        }
        store.open(connect_timeout).await
    }

    /// Closes one idle connection to any store. Returns whether there was one.
    fn close_any_idle(&self) -> bool {
        let stores = self.stores.borrow();
        let connection = stores.values().find_map(|store| store.idle_connections.borrow_mut().pop());
        connection.is_some()
    }

    /// Closes connections whose idle timeout has expired, and idle connections to stores for which `is_known` is false.
    pub(super) fn close_expired(&self, is_known: impl Fn(&str) -> bool) {
        self.stores.borrow_mut().retain(|id, store| {
            store.close_expired(is_known(id));
            store.open_connections.get() > 0 || is_known(id)
        });
    }

    /// Number of idle connections to a store.
    pub(super) fn idle_connections(&self, id: &str) -> usize {
        self.stores.borrow().get(id).map_or(0, |store| store.idle_connections.borrow().len())
    }

    /// Returns the pool of a store; creates a new one if there is none, or if the address of the store has changed.
    fn store(&self, target: &StoreTarget) -> Rc<StorePool> {
        let mut stores = self.stores.borrow_mut();
        if let Some(store) = stores.get(&target.id).filter(|store| store.address == target.address) {
            return Rc::clone(store);
        }
        let store =
            Rc::new(StorePool::new(target.address, Rc::clone(&self.total_connections), self.clock_origin));
        stores.insert(target.id.clone(), Rc::clone(&store));
        store
    }
}

impl StorePool {
    fn new(address: SocketAddr, total_connections: Rc<Cell<usize>>, clock_origin: Instant) -> Self {
        Self {
            address,
            idle_connections: RefCell::default(),
            open_connections: Cell::new(0),
            total_connections,
            released: Notify::new(),
            idle_timeout: Cell::new(DEFAULT_IDLE_TIMEOUT),
            clock_origin,
        }
    }

    /// Returns a connection to the pool after a complete response, or closes it if it may carry no further request.
    pub(super) fn release(self: &Rc<Self>, connection: PooledConnection) {
        if connection.carried_ids.is_full() {
            return;
        }
        connection.idle_since.set(Some(self.clock_origin.elapsed()));
        self.idle_connections.borrow_mut().push(connection);
        self.released.notify_one();
    }

    /// Sets the idle timeout from the timeout that the store sent in `Keep-Alive`.
    pub(super) fn on_keep_alive(&self, keep_alive: Duration) {
        self.idle_timeout.set(with_margin(keep_alive));
    }

    /// Reduces the idle timeout after the store closed a connection that was idle since `idle_since`: the keep-alive time of the
    /// store is not longer than the connection was idle.
    fn on_closed(&self, idle_since: Option<Duration>) {
        if let Some(since) = idle_since {
            let idle_time = self.clock_origin.elapsed().saturating_sub(since);
            self.idle_timeout.set(self.idle_timeout.get().min(with_margin(idle_time)).max(MIN_IDLE_TIMEOUT));
        }
    }

    fn is_expired(&self, connection: &PooledConnection) -> bool {
        let since = connection.idle_since.get().unwrap_or_default();
        self.clock_origin.elapsed().saturating_sub(since) >= self.idle_timeout.get()
    }

    fn close_expired(&self, is_known: bool) {
        let expired: Vec<PooledConnection> = {
            let mut idle_connections = self.idle_connections.borrow_mut();
            let (retained, expired) = idle_connections.drain(..).partition(|connection| {
                is_known && !connection.sender.is_closed() && !self.is_expired(connection)
            });
            *idle_connections = retained;
            expired
        };
        drop(expired);
    }

    /// Takes an idle connection, if the source permits one, that is open, ready to send a request, and has carried none with the id
    /// `id`; closes expired ones on the way.
    async fn take_idle(&self, id: IdHash, source: ConnectionSource) -> Option<PooledConnection> {
        if source == ConnectionSource::New {
            return None;
        }
        loop {
            let connection = self.remove_idle(id)?;
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

    /// Removes the idle connection that was used last among those that may carry a request with the id `id`.
    fn remove_idle(&self, id: IdHash) -> Option<PooledConnection> {
        let mut idle_connections = self.idle_connections.borrow_mut();
        let position = idle_connections.iter().rposition(|connection| connection.carried_ids.permits(id))?;
        Some(idle_connections.remove(position))
    }

    /// Makes room for a new connection, and returns whether there is any. Called when no idle connection can be used: at the limit,
    /// one of them is closed.
    fn make_room(&self, limit: usize) -> bool {
        if self.open_connections.get() >= limit {
            let replaced = self.idle_connections.borrow_mut().pop();
            drop(replaced);
        }
        self.open_connections.get() < limit
    }

    /// Waits for an idle connection. Returns `None` when a new connection may be opened instead.
    async fn wait_for_release(
        &self,
        id: IdHash,
        limit: usize,
        source: ConnectionSource,
    ) -> Option<PooledConnection> {
        loop {
            self.released.notified().await;
            if let Some(connection) = self.take_idle(id, source).await {
                return Some(connection);
            }
            if self.make_room(limit) {
                return None;
            }
        }
    }

    async fn open(self: &Rc<Self>, connect_timeout: Duration) -> Result<PooledConnection, PoolError> {
        self.open_connections.set(self.open_connections.get() + 1);
        self.total_connections.set(self.total_connections.get() + 1);
        let slot = ConnectionSlot { store: Rc::clone(self) };
        let store = Rc::clone(self);
        let opening = Connection::open(self.address, slot, move |idle_since| store.on_closed(idle_since));
        match timeout(connect_timeout, opening).await {
            Ok(Some(connection)) => Ok(connection),
            _ => Err(PoolError::Unreachable),
        }
    }
}

/// Returns the idle timeout for a keep-alive time: the margin is subtracted, but at most half of the keep-alive time.
fn with_margin(keep_alive: Duration) -> Duration {
    keep_alive.saturating_sub(IDLE_TIMEOUT_MARGIN).max(keep_alive / 2).max(MIN_IDLE_TIMEOUT)
}
