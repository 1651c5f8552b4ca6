//! The division of the file descriptors under `limits.sockets`: how many each side of the broker may hold. The sum never
//! exceeds the limit, also while two processes of this broker run (`broker/tests/descriptors.rs`), so that no side can starve
//! another: idle clients leave descriptors for discovery and for connections to stores.
//!
//! A side that has used up its part waits for a slot of its own ([`ConnectionSlots`]) and never connects without one.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;

/// What the process holds besides: standard streams (3), the reactor's own (3), signals (2), the listeners of two fronts and
/// of the operators' door (3), the listener that it was started with (1), its place among the processes (2), brokers' datagrams
/// (1), and files that are open for a moment (3), with 2 to spare.
const PROCESS: usize = 20;
/// One call of discovery, and the next while the one before is being closed.
const DISCOVERY: usize = 2;
/// Where blocks move: the log, the lease, their folder, a file about to take another's place.
const BLOCK_FILES: usize = 4;
/// Clients of all fronts may hold one in so many of all descriptors. The platform's clients open a third at most and count
/// those that they keep: with as many left open they could ask nothing more until some are closed.
const CLIENTS_SHARE: usize = 4;
/// Beside them, one in so many of that for connections that are being ended, and for who comes meanwhile.
const ENDING_SHARE: usize = 4;
/// More client connections than this are of no use to a broker of one core.
const CLIENTS_MOST: usize = 512;
/// Connections to stores hold one in so many.
const STORES_SHARE: usize = 4;
/// Operators' calls, open and being ended, hold one in so many, between these.
const ADMIN_SHARE: usize = 16;
const ADMIN: std::ops::RangeInclusive<usize> = 2..=32;
/// Orders and copies to stores, where blocks move, hold one in so many.
const BLOCKS_SHARE: usize = 8;

/// The inputs of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetRequest {
    /// `limits.sockets`: for all processes of this broker together.
    pub sockets: usize,
    /// What the system lets this process hold, if it says.
    pub allowed: Option<usize>,
    /// Whether another process of this broker may be there: the listener is one that both were given.
    pub shared: bool,
    /// How many clients the feature front would have, if there is one.
    pub features: Option<usize>,
    /// Whether there is a door for operators.
    pub admin: bool,
    /// Whether blocks move.
    pub blocks: bool,
}

/// A front's part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clients {
    /// With more connections than this, those on which nothing is asked make room; no more requests are open at once.
    pub most: usize,
    /// So many more may be there for the moment in which others are being ended.
    pub ending: usize,
}

impl Clients {
    /// No more connections are accepted than this.
    pub fn all(self) -> usize {
        self.most + self.ending
    }
}

/// The parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The process itself and its files.
    pub process: usize,
    /// Calls of discovery.
    pub discovery: usize,
    /// Operators' calls, open and being ended.
    pub admin: usize,
    /// The platform's clients.
    pub platform: Clients,
    /// The feature front's clients.
    pub features: Clients,
    /// Connections to stores, of both forms, open or being opened.
    pub stores: usize,
    /// Orders and copies to stores, where blocks move.
    pub blocks: usize,
}

impl Budget {
    /// Divides the descriptors.
    pub fn of(wants: BudgetRequest) -> Self {
        let processes = if wants.shared { 2 } else { 1 };
        let own = (wants.sockets / processes).min(wants.allowed.unwrap_or(usize::MAX));
        let files = if wants.blocks { BLOCK_FILES } else { 0 };
        let process = PROCESS + files;
        let admin = if wants.admin { (own / ADMIN_SHARE).clamp(*ADMIN.start(), *ADMIN.end()) } else { 0 };
        let rest = own.saturating_sub(process + DISCOVERY + admin);
        let blocks = if wants.blocks { (rest / BLOCKS_SHARE).max(1) } else { 0 };
        let rest = rest.saturating_sub(blocks);
        // Of what is left, four parts in seven for clients, one for those being ended, and two for stores, where the shares of
        // the whole are not less; stores may have what those shares leave.
        let clients = (wants.sockets / CLIENTS_SHARE).min(rest * 4 / 7).max(1);
        let front = |most: usize| Clients { most, ending: most / ENDING_SHARE };
        let features = wants.features.map_or(0, |wanted| wanted.min(clients / 2).max(1));
        let platform = clients.saturating_sub(features).clamp(1, CLIENTS_MOST);
        let (platform, features) = (front(platform), front(features));
        let left = rest.saturating_sub(platform.all() + features.all());
        let stores = (wants.sockets / STORES_SHARE / processes).min(left).max(1);
        Self { process, discovery: DISCOVERY, admin, platform, features, stores, blocks }
    }

    /// All parts together.
    pub fn sum(&self) -> usize {
        let Self { process, discovery, admin, platform, features, stores, blocks } = self;
        process + discovery + admin + platform.all() + features.all() + stores + blocks
    }
}

/// What the system lets this process hold.
pub fn allowed() -> Option<usize> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.and_then(|most| most.try_into().ok())
}

/// A bounded number of connections; each connection holds a slot.
#[derive(Debug)]
pub struct ConnectionSlots {
    most: usize,
    taken: Cell<usize>,
    freed: Event,
}

/// The slot of one connection, released when dropped.
#[derive(Debug)]
pub struct ConnectionSlot(Rc<ConnectionSlots>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        self.0.freed.notify(1);
    }
}

impl ConnectionSlots {
    /// A bound of `most` connections.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self { most, taken: Cell::new(0), freed: Event::new() })
    }

    /// Number of slots in use.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Acquires a slot, if one is free.
    pub fn try_acquire(self: &Rc<Self>) -> Option<ConnectionSlot> {
        let free = self.taken.get() < self.most;
        free.then(|| {
            self.taken.set(self.taken.get() + 1);
            ConnectionSlot(self.clone())
        })
    }

    /// Resolves when a slot is released after this call; the caller must then try again.
    pub async fn freed(&self) {
        self.freed.listen().await;
    }
}
