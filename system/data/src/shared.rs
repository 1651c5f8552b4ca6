//! What all parts of one edge share: the registry, the configuration, the time, the way to stores and to other nodes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_protocol::{
    Configuration, ConfigurationChange, ConfigurationDocument, ConfigurationFollower, Settings,
};
use gingerledge_relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use gingerledge_transport::Network;
use gingerledge_wire::{Entry, Envelope, Key, Registry, Role, Value};

use crate::clock::Clock;
use crate::index::{KnownStore, StoreIndex};
use crate::rollout::RolloutState;
use crate::routing::{Affinity, RouteEntry, RouteTable};
use crate::stores::{Counts, Health, StoreClient};

/// How long the last internal messages get to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// The configuration that was read last, arranged for look-ups.
#[derive(Default)]
struct Parsed {
    followed: ConfigurationFollower,
    routes: RouteTable,
}

/// What all parts of one edge share.
pub struct Shared {
    /// Where stores are asked.
    pub stores: StoreClient,
    /// Requests that this edge has out, by store.
    pub counts: Counts,
    /// Which stores failed lately.
    pub health: Health,
    /// Which stores read which beginnings of prompts.
    pub affinity: RefCell<Affinity>,
    /// What the driver of batch jobs keeps.
    pub rollout: RolloutState,
    /// Random for this life of the process.
    pub incarnation: u64,
    settings: RefCell<Rc<Settings>>,
    network: Network<Envelope>,
    relay: RefCell<Relay>,
    parsed: RefCell<Parsed>,
    index: RefCell<StoreIndex>,
    clock: Clock,
    stopping: Cell<bool>,
}

impl Shared {
    /// An edge that knows nothing yet.
    pub fn new(settings: Settings, network: Network<Envelope>, incarnation: u64) -> Self {
        let relay_settings = RelaySettings::for_role(Role::Edge, &settings.zone);
        let relay = Relay::new(relay_settings, network.local_address(), false, incarnation);
        Self {
            stores: StoreClient::new(),
            counts: Counts::default(),
            health: Health::default(),
            affinity: RefCell::default(),
            rollout: RolloutState::default(),
            incarnation,
            settings: RefCell::new(Rc::new(settings)),
            network,
            relay: RefCell::new(relay),
            parsed: RefCell::default(),
            index: RefCell::default(),
            clock: Clock::start(),
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
        self.clock.now()
    }

    /// The clock of this process, for parts that need nothing else of this.
    pub fn clock(&self) -> Clock {
        self.clock
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
        read(self.relay.borrow().registry())
    }

    /// Whether the registry holds all that the control chain had confirmed a moment ago.
    pub fn fresh(&self) -> bool {
        self.relay.borrow().is_fresh(self.now())
    }

    /// Gives the relay an event and does what it wants done.
    pub fn relay(&self, event: RelayEvent) {
        let mut actions = Vec::new();
        self.relay.borrow_mut().handle(self.now(), event, &mut actions);
        for action in actions {
            match action {
                RelayAction::Send { to, message } => self.send(to, &Envelope::Relay(message)),
                RelayAction::EntriesChanged(entries) => self.note_changed(&entries),
            }
        }
    }

    /// When the relay wants [`RelayEvent::TimerExpired`].
    pub fn relay_timer(&self) -> Option<Duration> {
        self.relay.borrow().next_timer()
    }

    /// Takes entries of the registry in from another source than the relay tree.
    pub fn merge(&self, entries: impl IntoIterator<Item = Entry>) {
        self.relay(RelayEvent::EntriesLearned(entries.into_iter().collect()));
    }

    /// The newest configuration known, read once for each change.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.with_parsed(|parsed| parsed.followed.configuration().cloned())
    }

    /// The route of a host and path by the newest configuration known.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<RouteEntry>> {
        self.with_parsed(|parsed| parsed.routes.find(host, path).cloned())
    }

    /// The stores of a service that take requests.
    pub fn stores_of(&self, service: &str) -> Rc<Vec<Rc<KnownStore>>> {
        self.index.borrow().of(service)
    }

    /// Whether any store takes requests.
    pub fn has_stores(&self) -> bool {
        !self.index.borrow().is_empty()
    }

    /// Lets go of connections and counts that are of no use any more.
    pub fn sweep(&self) {
        let relay = self.relay.borrow();
        let there = |id: &str| {
            let entry = relay.registry().entry(&Key::Store(id.to_owned()));
            entry.is_some_and(|entry| matches!(entry.value, Value::Store(_)))
        };
        self.stores.sweep(there);
        self.counts.sweep();
    }

    /// Waits until the last internal messages have left, for a short time.
    pub async fn flush(&self) {
        if !self.network.flush(FLUSH_TIME).await {
            log::debug!("internal messages were left behind");
        }
    }

    /// Whether the process is about to end and takes nothing new.
    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }

    /// From now on nothing new is taken.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    fn note_changed(&self, entries: &[Entry]) {
        let zone = self.zone();
        for entry in entries {
            if let Key::Store(id) = &entry.key {
                let record = match &entry.value {
                    Value::Store(record) => Some(record),
                    _ => None,
                };
                self.index.borrow_mut().update(id, record, &zone, &self.counts);
            }
        }
        if entries.iter().any(|entry| matches!(entry.key, Key::Configuration | Key::Node(_))) {
            self.share_connections();
        }
    }

    /// Divides each service's connections among the edges.
    fn share_connections(&self) {
        let edges = self.registry(|registry| registry.nodes().filter(|node| node.role == Role::Edge).count());
        if let Some(configuration) = self.configuration() {
            for service in &configuration.services {
                self.stores.set_limit(&service.name, service.connection_limit as usize, edges);
            }
        }
    }

    fn with_parsed<T>(&self, read: impl FnOnce(&Parsed) -> T) -> T {
        let relay = self.relay.borrow();
        let mut parsed = self.parsed.borrow_mut();
        if let Some((sequence, document)) = relay.registry().configuration() {
            parsed.follow(sequence, document);
        }
        read(&parsed)
    }
}

impl Parsed {
    fn follow(&mut self, sequence: u64, document: &ConfigurationDocument) {
        let change = self.followed.apply_document(sequence, document);
        let Some(configuration) = self.followed.configuration() else { return };
        match change {
            Ok(ConfigurationChange::None) => {}
            Ok(ConfigurationChange::Replaced) => self.routes = RouteTable::of(configuration),
            Ok(ConfigurationChange::Updated(updates)) => {
                updates.iter().for_each(|update| self.routes.apply(configuration, update));
            }
            Err(error) => log::error!("the configuration of change {sequence} can't be read: {error}"),
        }
    }
}
