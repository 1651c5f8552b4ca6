//! What all parts of one edge share: the registry, the configuration, the time, the way to stores and to other nodes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gingerledge_protocol::{read_configuration, Configuration, Settings};
use gingerledge_transport::Network;
use gingerledge_wire::{Entry, Envelope, Registry};

use crate::rollout;
use crate::stores::{Counts, Health, StoreClient};

/// The configuration that was read last, and the sequence number of its change.
#[derive(Default)]
struct Parsed {
    sequence: u64,
    configuration: Option<Rc<Configuration>>,
}

/// What all parts of one edge share.
pub struct Shared {
    /// Where stores are asked.
    pub stores: StoreClient,
    /// Requests that this edge has out, by store.
    pub counts: Counts,
    /// Which stores failed lately.
    pub health: Health,
    /// What the driver of batch jobs keeps.
    pub rollout: rollout::State,
    /// Random for this life of the process.
    pub incarnation: u64,
    settings: RefCell<Rc<Settings>>,
    network: Network<Envelope>,
    registry: RefCell<Registry>,
    parsed: RefCell<Parsed>,
    started: Instant,
    stopping: Cell<bool>,
}

impl Shared {
    /// An edge that knows nothing yet.
    pub fn new(settings: Settings, network: Network<Envelope>, incarnation: u64) -> Self {
        Self {
            stores: StoreClient::new(),
            counts: Counts::default(),
            health: Health::default(),
            rollout: rollout::State::default(),
            incarnation,
            settings: RefCell::new(Rc::new(settings)),
            network,
            registry: RefCell::new(Registry::default()),
            parsed: RefCell::new(Parsed::default()),
            started: Instant::now(),
            stopping: Cell::new(false),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes settings that were read again.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The time since this process started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The time of day, in milliseconds since 1970.
    pub fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |passed| u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
    }

    /// The zone of this edge.
    pub fn zone(&self) -> String {
        self.settings.borrow().zone.clone()
    }

    /// Where this edge takes internal messages.
    pub fn address(&self) -> SocketAddr {
        self.network.local_address()
    }

    /// Sends an internal message; it may be lost.
    pub fn send(&self, to: SocketAddr, message: &Envelope) {
        if !self.network.send(to, message).is_queued() {
            log::debug!("a message to {to} was dropped");
        }
    }

    /// Reads the registry. The closure must not call back into what changes it.
    pub fn registry<T>(&self, read: impl FnOnce(&Registry) -> T) -> T {
        read(&self.registry.borrow())
    }

    /// Takes entries of the registry in.
    pub fn merge(&self, entries: impl IntoIterator<Item = Entry>) {
        let mut registry = self.registry.borrow_mut();
        for entry in entries {
            registry.merge(entry);
        }
    }

    /// The newest configuration known, read once for each change.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        let registry = self.registry.borrow();
        let mut parsed = self.parsed.borrow_mut();
        if let Some((sequence, json)) = registry.configuration() {
            if sequence != parsed.sequence {
                match read_configuration(json) {
                    Ok(configuration) => {
                        parsed.configuration = Some(Rc::new(configuration));
                    }
                    Err(error) => {
                        log::error!("the configuration of change {sequence} can't be read: {error}")
                    }
                }
                parsed.sequence = sequence;
            }
        }
        parsed.configuration.clone()
    }

    /// Whether the process is about to end and takes nothing new.
    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }

    /// From now on nothing new is taken.
    pub fn stop(&self) {
        self.stopping.set(true);
    }
}
