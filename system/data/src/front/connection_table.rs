//! The table of client connections: the phase of each, and which have exceeded its time-out.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use slotmap::{DefaultKey, SlotMap};
use tokio::task::AbortHandle;

/// The phase of a connection, and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request is in flight.
    Idle(Duration),
    /// The head of a request is arriving.
    ReadingHead(Duration),
    /// A request is in flight.
    InRequest,
}

/// The time-outs of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Of [`Phase::Idle`].
    pub idle: Duration,
    /// Of [`Phase::ReadingHead`].
    pub head: Duration,
}

impl Phase {
    /// Whether the time-out of this phase has expired.
    #[must_use]
    pub fn is_expired(self, now: Duration, timeouts: ConnectionTimeouts) -> bool {
        match self {
            Phase::Idle(since) => now.saturating_sub(since) > timeouts.idle,
            Phase::ReadingHead(since) => now.saturating_sub(since) > timeouts.head,
            Phase::InRequest => false,
        }
    }
}

struct TableEntry {
    phase: Rc<Cell<Phase>>,
    task: Option<AbortHandle>,
}

/// All client connections.
pub struct ConnectionTable {
    entries: RefCell<SlotMap<DefaultKey, TableEntry>>,
    limit: usize,
}

/// The entry of one connection in the table; dropping this removes it.
pub struct ConnectionEntry {
    table: Rc<ConnectionTable>,
    key: DefaultKey,
    /// The phase of the connection.
    pub phase: Rc<Cell<Phase>>,
}

impl ConnectionTable {
    /// An empty table for at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { entries: RefCell::default(), limit })
    }

    /// Adds a new connection. If the table is full, the one that was idle for longest is closed; `None` if none is idle.
    pub fn insert(self: &Rc<Self>, now: Duration) -> Option<ConnectionEntry> {
        if self.entries.borrow().len() >= self.limit && !self.close_longest_idle() {
            return None;
        }
        let phase = Rc::new(Cell::new(Phase::Idle(now)));
        let key = self.entries.borrow_mut().insert(TableEntry { phase: Rc::clone(&phase), task: None });
        Some(ConnectionEntry { table: Rc::clone(self), key, phase })
    }

    /// Closes connections whose time-out has expired.
    pub fn close_expired(&self, now: Duration, timeouts: ConnectionTimeouts) {
        self.close_if(|phase| phase.is_expired(now, timeouts));
    }

    /// Closes connections that were idle for at least that time.
    pub fn close_idle(&self, now: Duration, min_idle: Duration) {
        self.close_if(|phase| matches!(phase, Phase::Idle(since) if now.saturating_sub(since) >= min_idle));
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    fn close_if(&self, should_close: impl Fn(Phase) -> bool) {
        for entry in self.entries.borrow().values().filter(|entry| should_close(entry.phase.get())) {
            if let Some(task) = &entry.task {
                task.abort();
            }
        }
    }

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
    /// Sets the task that serves a connection, which is aborted to close it.
    pub fn set_task(table: &ConnectionTable, key: DefaultKey, task: AbortHandle) {
        if let Some(entry) = table.entries.borrow_mut().get_mut(key) {
            entry.task = Some(task);
        }
    }

    /// Its key in the table.
    pub fn key(&self) -> DefaultKey {
        self.key
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.table.entries.borrow_mut().remove(self.key);
    }
}
