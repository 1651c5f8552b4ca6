//! The table of client connections: what each one is doing, and which have taken too long.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use slotmap::{DefaultKey, SlotMap};
use tokio::task::AbortHandle;

/// What a connection is doing, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It rests between requests.
    Idle(Duration),
    /// The head of a request has begun to come.
    Head(Duration),
    /// A request is under way.
    Busy,
}

/// How long connections may stay in a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The longest rest.
    pub idle: Duration,
    /// The longest time for a head.
    pub head: Duration,
}

impl Phase {
    /// Whether a connection has been in this phase for too long.
    pub fn overdue(self, now: Duration, times: Times) -> bool {
        match self {
            Phase::Idle(since) => now.saturating_sub(since) > times.idle,
            Phase::Head(since) => now.saturating_sub(since) > times.head,
            Phase::Busy => false,
        }
    }
}

struct Entry {
    phase: Rc<Cell<Phase>>,
    task: Option<AbortHandle>,
}

/// All client connections.
pub struct Connections {
    entries: RefCell<SlotMap<DefaultKey, Entry>>,
    most: usize,
}

/// One connection's place in the table; it is freed when this is dropped.
pub struct Place {
    table: Rc<Connections>,
    key: DefaultKey,
    /// What the connection is doing.
    pub phase: Rc<Cell<Phase>>,
}

impl Connections {
    /// An empty table with room for `most`.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self { entries: RefCell::default(), most })
    }

    /// A place for a new connection. If there is none, the connection that has rested longest is closed; none if none rests.
    pub fn add(self: &Rc<Self>, now: Duration) -> Option<Place> {
        if self.entries.borrow().len() >= self.most && !self.close_oldest() {
            return None;
        }
        let phase = Rc::new(Cell::new(Phase::Idle(now)));
        let key = self.entries.borrow_mut().insert(Entry { phase: Rc::clone(&phase), task: None });
        Some(Place { table: Rc::clone(self), key, phase })
    }

    /// Closes connections that have taken too long.
    pub fn sweep(&self, now: Duration, times: Times) {
        self.close_if(|phase| phase.overdue(now, times));
    }

    /// Closes connections that have rested for a time.
    pub fn close_resting(&self, now: Duration, rest: Duration) {
        self.close_if(|phase| matches!(phase, Phase::Idle(since) if now.saturating_sub(since) >= rest));
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    fn close_if(&self, close: impl Fn(Phase) -> bool) {
        for entry in self.entries.borrow().values().filter(|entry| close(entry.phase.get())) {
            if let Some(task) = &entry.task {
                task.abort();
            }
        }
    }

    fn close_oldest(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let idle = entries.iter().filter_map(|(key, entry)| match entry.phase.get() {
            Phase::Idle(since) => Some((since, key)),
            Phase::Head(_) | Phase::Busy => None,
        });
        let Some((_, key)) = idle.min() else { return false };
        if let Some(task) = entries.remove(key).and_then(|entry| entry.task) {
            task.abort();
        }
        true
    }
}

impl Place {
    /// Names the task that serves the connection.
    pub fn served_by(table: &Connections, key: DefaultKey, task: AbortHandle) {
        if let Some(entry) = table.entries.borrow_mut().get_mut(key) {
            entry.task = Some(task);
        }
    }

    /// The place's key.
    pub fn key(&self) -> DefaultKey {
        self.key
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.table.entries.borrow_mut().remove(self.key);
    }
}
