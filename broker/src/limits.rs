//! Divides the file descriptors under `limits.sockets` among the sides of the broker: clients, stores, discovery, the admin
//! endpoint and block transfers. The sum never exceeds the limit, also while two processes of this broker run
//! (`broker/tests/descriptors.rs`), so that no side can starve another: idle clients leave descriptors for discovery and for
//! connections to stores.
//!
//! A side that has used up its share waits for one of its own slots ([`ConnectionSlots`]) and never connects without one.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;

/// Descriptors of the process itself: standard streams (3), the reactor (3), signals (2), the listeners of two fronts and of
/// the admin endpoint (3), the inherited listener (1), the presence files of the two processes (2), the datagram socket
/// between brokers (1), and files that are open briefly (3), with 2 spare.
const PROCESS: usize = 20;
/// Descriptors of discovery: one call, and the next one while the one before is being closed.
const DISCOVERY: usize = 2;
/// Additional files where blocks may move: the log, the lease, their directory, and a new file that is about to replace
/// another.
const BLOCK_FILES: usize = 4;
/// The clients of all fronts may hold one in this many of all descriptors. The platform's clients open a third of the
/// descriptors at most, and count the connections that they keep open: if the broker left that many open, the clients could
/// send no further request until some are closed.
const CLIENTS_DIVISOR: usize = 4;
/// In addition, one in this many of a front's clients for connections that are being closed, and for clients that connect
/// meanwhile.
const CLOSING_DIVISOR: usize = 4;
/// Maximum number of the platform's client connections; a broker, which uses one core, has no use for more.
const CLIENTS_MAX: usize = 512;
/// Connections to stores may hold one in this many of all descriptors.
const STORES_DIVISOR: usize = 4;
/// Admin calls, open or being closed, may hold one in this many of the process's descriptors, within [`ADMIN_RANGE`].
const ADMIN_DIVISOR: usize = 16;
const ADMIN_RANGE: std::ops::RangeInclusive<usize> = 2..=32;
/// Orders and copies to stores, where blocks may move, may hold one in this many of the remaining descriptors.
const BLOCKS_DIVISOR: usize = 8;

/// The inputs of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetRequest {
    /// The setting `limits.sockets`: maximum number of descriptors of all processes of this broker together.
    pub sockets: usize,
    /// The system's limit on the descriptors of this process, if it is known.
    pub process_limit: Option<usize>,
    /// Whether another process of this broker may run: both inherit the same listener.
    pub is_shared: bool,
    /// Number of clients that the feature front is set up for, if there is one.
    pub feature_clients: Option<usize>,
    /// Whether there is an admin endpoint.
    pub has_admin: bool,
    /// Whether blocks may move.
    pub has_blocks: bool,
}

/// The share of a front's clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientBudget {
    /// Number of connections above which idle ones are closed; also the maximum number of open requests.
    pub soft_limit: usize,
    /// Number of further connections that are accepted while others are being closed.
    pub closing_reserve: usize,
}

impl ClientBudget {
    /// Maximum number of accepted connections.
    pub fn hard_limit(self) -> usize {
        self.soft_limit + self.closing_reserve
    }
}

/// The division of the descriptors: the share of each side of the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Descriptors of the process itself and its files.
    pub process: usize,
    /// Calls to the discovery service.
    pub discovery: usize,
    /// Calls to the admin endpoint, open or being closed.
    pub admin: usize,
    /// Clients of the platform front.
    pub platform: ClientBudget,
    /// Clients of the feature front.
    pub features: ClientBudget,
    /// Connections to stores, both links and connections to feature APIs, open or being opened.
    pub stores: usize,
    /// Orders and copies to stores, where blocks may move.
    pub blocks: usize,
}

impl Budget {
    /// Divides the descriptors.
    pub fn new(request: BudgetRequest) -> Self {
        let processes = if request.is_shared { 2 } else { 1 };
        let own = (request.sockets / processes).min(request.process_limit.unwrap_or(usize::MAX));
        let files = if request.has_blocks { BLOCK_FILES } else { 0 };
        let process = PROCESS + files;
        let admin = if request.has_admin {
            (own / ADMIN_DIVISOR).clamp(*ADMIN_RANGE.start(), *ADMIN_RANGE.end())
        } else {
            0
        };
        let rest = own.saturating_sub(process + DISCOVERY + admin);
        let blocks = if request.has_blocks { (rest / BLOCKS_DIVISOR).max(1) } else { 0 };
        let rest = rest.saturating_sub(blocks);
        // The rest is divided into sevenths: four for clients, one for client connections that are being closed, and two for
        // stores. The shares of all descriptors are upper bounds on these; stores may use what the other shares leave.
        let clients = (request.sockets / CLIENTS_DIVISOR).min(rest * 4 / 7).max(1);
        let front =
            |soft_limit: usize| ClientBudget { soft_limit, closing_reserve: soft_limit / CLOSING_DIVISOR };
        let features = request.feature_clients.map_or(0, |requested| requested.min(clients / 2).max(1));
        let platform = clients.saturating_sub(features).clamp(1, CLIENTS_MAX);
        let (platform, features) = (front(platform), front(features));
        let left = rest.saturating_sub(platform.hard_limit() + features.hard_limit());
        let stores = (request.sockets / STORES_DIVISOR / processes).min(left).max(1);
        Self { process, discovery: DISCOVERY, admin, platform, features, stores, blocks }
    }

    /// Sum of all shares.
    pub fn sum(&self) -> usize {
        let Self { process, discovery, admin, platform, features, stores, blocks } = self;
        process + discovery + admin + platform.hard_limit() + features.hard_limit() + stores + blocks
    }
}

/// The system's limit on the number of descriptors of this process, if there is one.
pub fn process_limit() -> Option<usize> {
    let limits = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limits.current.and_then(|limit| limit.try_into().ok())
}

/// A bounded number of connections; each connection holds a slot.
#[derive(Debug)]
pub struct ConnectionSlots {
    capacity: usize,
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
    /// Creates slots for at most `capacity` connections.
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(Self { capacity, taken: Cell::new(0), freed: Event::new() })
    }

    /// Number of slots in use.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Acquires a slot, if one is free.
    pub fn try_acquire(self: &Rc<Self>) -> Option<ConnectionSlot> {
        let has_free = self.taken.get() < self.capacity;
        has_free.then(|| {
            self.taken.set(self.taken.get() + 1);
            ConnectionSlot(self.clone())
        })
    }

    /// Resolves when a slot is released after this call; the caller must then try again.
    pub async fn freed(&self) {
        self.freed.listen().await;
    }
}
