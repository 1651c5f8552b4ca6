//! Table of client connections, with the phase of each connection and the timeouts of the phases.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use slotmap::{DefaultKey, SlotMap};
use tokio::task::AbortHandle;

/// Phase of a client connection; where the phase has a timeout, with its start on the clock of [`crate::Shared::now`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request is in flight.
    Idle(Duration),
    /// The head of a request is arriving.
    ReadingHead(Duration),
    /// A request is in flight.
    InRequest,
}

/// Timeouts of the phases of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Timeout of [`Phase::Idle`].
    pub idle: Duration,
    /// Timeout of [`Phase::ReadingHead`].
    pub head: Duration,
}

impl Phase {
    /// Whether the timeout of this phase has expired.
    #[must_use]
    pub fn is_expired(self, now: Duration, timeouts: ConnectionTimeouts) -> bool {
        match self {
            Phase::Idle(since) => now.saturating_sub(since) > timeouts.idle,
            Phase::ReadingHead(since) => now.saturating_sub(since) > timeouts.head,
            Phase::InRequest => false,
        }
    }
}

/// Phase of a connection, and the task that serves it.
struct TableEntry {
    phase: Rc<Cell<Phase>>,
    task: Option<AbortHandle>,
}

/// Table of all client connections, with a maximum size.
pub struct ConnectionTable {
    entries: RefCell<SlotMap<DefaultKey, TableEntry>>,
    limit: usize,
}

/// Handle of the entry of one connection in the table. Dropping it removes the entry.
pub struct ConnectionEntry {
    table: Rc<ConnectionTable>,
    key: DefaultKey,
    /// Phase of the connection, shared with the table.
    pub phase: Rc<Cell<Phase>>,
}

impl ConnectionTable {
    /// Creates an empty table for at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { entries: RefCell::default(), limit })
    }

    /// Adds a new connection. If the table is full, the connection that has been idle for longest is closed; `None` if no connection
    /// is idle.
    pub fn insert(self: &Rc<Self>, now: Duration) -> Option<ConnectionEntry> {
        if self.entries.borrow().len() >= self.limit && !self.close_longest_idle() {
            return None;
        }
        let phase = Rc::new(Cell::new(Phase::Idle(now)));
        let key = self.entries.borrow_mut().insert(TableEntry { phase: Rc::clone(&phase), task: None });
        Some(ConnectionEntry { table: Rc::clone(self), key, phase })
    }

    /// Closes connections whose timeout has expired.
    pub fn close_expired(&self, now: Duration, timeouts: ConnectionTimeouts) {
        self.close_if(|phase| phase.is_expired(now, timeouts));
    }

    /// Closes connections that have been idle for at least `min_idle`.
    pub fn close_idle(&self, now: Duration, min_idle: Duration) {
        self.close_if(|phase| matches!(phase, Phase::Idle(since) if now.saturating_sub(since) >= min_idle));
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether the table has no connections.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    /// Aborts the tasks of the connections whose phase satisfies a condition.
    fn close_if(&self, should_close: impl Fn(Phase) -> bool) {
        for entry in self.entries.borrow().values().filter(|entry| should_close(entry.phase.get())) {
            if let Some(task) = &entry.task {
                task.abort();
            }
        }
    }

    /// Closes the connection that has been idle for longest. Returns whether there was an idle one.
    fn close_longest_idle(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let idle = entries.iter().filter_map(|(key, entry)| match entry.phase.get() {
            Phase::Idle(since) => Some((since, key)),
            Phase::ReadingHead(_) | Phase::InRequest => None,
        });
        let Some((_, key)) = idle.min() else { return false };
        if let Some(task) = entries.remove(key).and_then(|entry| entry.task) {
            task.abort();
        }
        true
    }
}

impl ConnectionEntry {
    /// Sets the task that serves a connection; it is aborted to close the connection.
    pub fn set_task(table: &ConnectionTable, key: DefaultKey, task: AbortHandle) {
        if let Some(entry) = table.entries.borrow_mut().get_mut(key) {
            entry.task = Some(task);
        }
    }

    /// Key of the entry in the table.
    pub fn key(&self) -> DefaultKey {
        self.key
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.table.entries.borrow_mut().remove(self.key);
    }
}
