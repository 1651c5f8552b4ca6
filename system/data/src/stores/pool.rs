//! Connections to stores that rest until they are needed again. Each store has a bounded number of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::timeout;

use super::connection::Connection;
use super::StoreTarget;

/// How long a connection may rest where the store has told nothing and closed none.
const ASSUMED_REST: Duration = Duration::from_secs(4);
/// Connections are let go this long before the store would close them.
const REST_MARGIN: Duration = Duration::from_millis(500);
/// The least time that a connection may rest.
const LEAST_REST: Duration = Duration::from_millis(100);

/// All resting connections.
pub(super) struct Pool {
    stores: RefCell<HashMap<String, Rc<StorePool>>>,
    total: Rc<Cell<usize>>,
    most: Cell<usize>,
    started: Instant,
}

/// Connections to one store.
pub(super) struct StorePool {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    open: Cell<usize>,
    total: Rc<Cell<usize>>,
    freed: Notify,
    longest_rest: Cell<Duration>,
    started: Instant,
}

/// The place of one open connection among those of its store.
pub(super) struct Place {
    store: Rc<StorePool>,
}

impl Place {
    /// The store's connections.
    pub fn store(&self) -> Rc<StorePool> {
        Rc::clone(&self.store)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.store.open.set(self.store.open.get().saturating_sub(1));
        self.store.total.set(self.store.total.get().saturating_sub(1));
        self.store.freed.notify_one();
    }
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoConnection {
    /// None could be opened.
    Unreachable,
    /// All are in use.
    Busy,
}

impl Pool {
    /// Without connections.
    pub fn new() -> Self {
        Self {
            stores: RefCell::default(),
            total: Rc::default(),
            most: Cell::new(usize::MAX),
            started: Instant::now(),
        }
    }

    /// From now on there are at most so many connections to all stores together.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
    }

    /// A connection to a store, a resting one if there is one, else a new one while there are fewer than `limit`.
    pub async fn take(
        &self,
        target: &StoreTarget,
        limit: usize,
        within: Duration,
        fresh: bool,
    ) -> Result<Connection, NoConnection> {
        let store = self.store(target);
        if !fresh {
            if let Some(connection) = store.take_resting().await {
                return Ok(connection);
            }
        }
        if store.open.get() < limit {
            return self.open_one(&store, within).await;
        }
        let waiting = store.wait_for_place(limit, fresh);
        match timeout(within, waiting).await {
            Err(_elapsed) => Err(NoConnection::Busy),
            Ok(Some(connection)) => Ok(connection),
            Ok(None) => self.open_one(&store, within).await,
        }
    }

    async fn open_one(&self, store: &Rc<StorePool>, within: Duration) -> Result<Connection, NoConnection> {
        if self.total.get() >= self.most.get() && !self.close_one() {
            return Err(NoConnection::Busy);
        }
        store.open_one(within).await
    }

    /// Closes a resting connection to any store; says whether there was one.
    fn close_one(&self) -> bool {
        let stores = self.stores.borrow();
        let connection = stores.values().find_map(|store| store.idle.borrow_mut().pop());
        connection.is_some()
    }

    /// Lets go of connections that have rested too long, and of those to stores that `known` denies.
    pub fn sweep(&self, known: impl Fn(&str) -> bool) {
        self.stores.borrow_mut().retain(|id, store| {
            store.drop_overdue(known(id));
            store.open.get() > 0 || known(id)
        });
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
            freed: Notify::new(),
            longest_rest: Cell::new(ASSUMED_REST),
            started,
        }
    }

    /// Takes a connection back that has nothing under way.
    pub fn give_back(self: &Rc<Self>, connection: Connection) {
        connection.rest.since.set(Some(self.started.elapsed()));
        self.idle.borrow_mut().push(connection);
        self.freed.notify_one();
    }

    /// The store told how long it keeps connections.
    pub fn note_keep_alive(&self, time: Duration) {
        self.longest_rest.set(shortened(time));
    }

    /// The store closed a connection that had rested since then.
    pub fn note_closed(&self, since: Option<Duration>) {
        if let Some(since) = since {
            let rested = self.started.elapsed().saturating_sub(since);
            self.longest_rest.set(self.longest_rest.get().min(shortened(rested)).max(LEAST_REST));
        }
    }

    fn is_overdue(&self, connection: &Connection) -> bool {
        let since = connection.rest.since.get().unwrap_or_default();
        self.started.elapsed().saturating_sub(since) >= self.longest_rest.get()
    }

    fn drop_overdue(&self, known: bool) {
        let overdue: Vec<Connection> = {
            let mut idle = self.idle.borrow_mut();
            let (keep, go) = idle.drain(..).partition(|connection| {
                known && !connection.sender.is_closed() && !self.is_overdue(connection)
            });
            *idle = keep;
            go
        };
        drop(overdue);
    }

    async fn take_resting(&self) -> Option<Connection> {
        loop {
            let connection = self.idle.borrow_mut().pop()?;
            if connection.sender.is_closed() || self.is_overdue(&connection) {
                continue;
            }
            if !connection.sender.is_ready() {
                tokio::task::yield_now().await;
            }
            if connection.sender.is_ready() {
                connection.rest.since.set(None);
                return Some(connection);
            }
        }
    }

    /// Waits for a resting connection (some), or for room to open one (none).
    async fn wait_for_place(&self, limit: usize, fresh: bool) -> Option<Connection> {
        loop {
            self.freed.notified().await;
            if !fresh {
                if let Some(connection) = self.take_resting().await {
                    return Some(connection);
                }
            }
            if self.open.get() < limit {
                return None;
            }
        }
    }

    async fn open_one(self: &Rc<Self>, within: Duration) -> Result<Connection, NoConnection> {
        self.open.set(self.open.get() + 1);
        self.total.set(self.total.get() + 1);
        let place = Place { store: Rc::clone(self) };
        match timeout(within, Connection::open(self.address, place)).await {
            Ok(Some(connection)) => Ok(connection),
            _ => Err(NoConnection::Unreachable),
        }
    }
}

fn shortened(time: Duration) -> Duration {
    time.saturating_sub(REST_MARGIN).max(time / 2).max(LEAST_REST)
}
