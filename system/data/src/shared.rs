//! The state that all parts of one edge share: registry, configuration, clock, and the clients of stores and of other nodes.

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
use crate::stores::{InFlightCounts, StoreClient, StoreHealth};

/// The time-out of flushing internal messages at the end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The newest configuration, parsed.
#[derive(Default)]
struct ParsedConfiguration {
    followed: ConfigurationFollower,
    routes: RouteTable,
}

/// The state that all parts of one edge share.
pub struct Shared {
    /// The HTTP client for stores.
    pub stores: StoreClient,
    /// Requests in flight, by store.
    pub counts: InFlightCounts,
    /// Which stores failed recently.
    pub health: StoreHealth,
    /// Which stores have which prefixes of prompts in their caches.
    pub affinity: RefCell<Affinity>,
    /// The state of the driver of batch jobs.
    pub rollout: RolloutState,
    /// Identifies this incarnation of the process.
    pub incarnation: u64,
    settings: RefCell<Rc<Settings>>,
    network: Network<Envelope>,
    relay: RefCell<Relay>,
    parsed: RefCell<ParsedConfiguration>,
    index: RefCell<StoreIndex>,
    clock: Clock,
    is_shutting_down: Cell<bool>,
}

impl Shared {
    /// An edge with an empty registry.
    #[must_use]
    pub fn new(settings: Settings, network: Network<Envelope>, incarnation: u64) -> Self {
        let relay_settings = RelaySettings::for_role(Role::Edge, &settings.zone);
        let relay = Relay::new(relay_settings, network.local_address(), false, incarnation);
        Self {
            stores: StoreClient::new(),
            counts: InFlightCounts::default(),
            health: StoreHealth::default(),
            affinity: RefCell::default(),
            rollout: RolloutState::default(),
            incarnation,
            settings: RefCell::new(Rc::new(settings)),
            network,
            relay: RefCell::new(relay),
            parsed: RefCell::default(),
            index: RefCell::default(),
            clock: Clock::start(),
            is_shutting_down: Cell::new(false),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings.
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

    /// The address at which this edge receives internal messages.
    pub fn address(&self) -> SocketAddr {
        self.network.local_address()
    }

    /// Sends an internal message; it may be lost.
    pub fn send(&self, to: SocketAddr, message: &Envelope) {
        if !self.network.send(to, message).is_queued() {
            log::debug!(to:%; "internal message dropped");
        }
    }

    /// Reads the registry. The closure must not call back into what changes it.
    pub fn registry<T>(&self, read: impl FnOnce(&Registry) -> T) -> T {
        read(self.relay.borrow().registry())
    }

    /// Whether the registry holds all that the control chain had confirmed a moment ago.
    pub fn is_registry_fresh(&self) -> bool {
        self.relay.borrow().is_fresh(self.now())
    }

    /// Passes an event to the relay and carries out its actions.
    pub fn relay(&self, event: RelayEvent) {
        let mut actions = Vec::new();
        self.relay.borrow_mut().handle(self.now(), event, &mut actions);
        for action in actions {
            match action {
                RelayAction::Send { to, message } => self.send(to, &Envelope::Relay(message)),
                RelayAction::EntriesChanged(entries) => self.on_entries_changed(&entries),
            }
        }
    }

    /// When the relay expects [`RelayEvent::TimerExpired`].
    pub fn relay_timer(&self) -> Option<Duration> {
        self.relay.borrow().next_timer()
    }

    /// Merges entries that were learned from another source than the relay tree.
    pub fn merge(&self, entries: impl IntoIterator<Item = Entry>) {
        self.relay(RelayEvent::EntriesReceived(entries.into_iter().collect()));
    }

    /// The newest configuration known, parsed once for each change.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.with_parsed(|parsed| parsed.followed.configuration().cloned())
    }

    /// The route of a host and path by the newest configuration known.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<RouteEntry>> {
        self.with_parsed(|parsed| parsed.routes.find(host, path).cloned())
    }

    /// The stores of a service that accept requests.
    pub fn stores_of(&self, service: &str) -> Rc<Vec<Rc<KnownStore>>> {
        self.index.borrow().of_service(service)
    }

    /// Whether any store accepts requests.
    pub fn has_stores(&self) -> bool {
        !self.index.borrow().is_empty()
    }

    /// Closes expired connections to stores, and removes counters that nothing uses.
    pub fn release_unused(&self) {
        let relay = self.relay.borrow();
        let is_registered = |id: &str| {
            let entry = relay.registry().entry(&Key::Store(id.to_owned()));
            entry.is_some_and(|entry| matches!(entry.value, Value::Store(_)))
        };
        self.stores.close_expired(is_registered);
        self.counts.remove_unused();
    }

    /// Flushes internal messages, within a time-out.
    pub async fn flush(&self) {
        if !self.network.flush(FLUSH_TIMEOUT).await {
            log::debug!("internal messages not flushed in time");
        }
    }

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Starts the shutdown: the edge is not ready any more, and asks its clients to reconnect elsewhere.
    pub fn start_shutdown(&self) {
        self.is_shutting_down.set(true);
    }

    fn on_entries_changed(&self, entries: &[Entry]) {
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
            self.divide_connection_limits();
        }
    }

    /// Divides the connection limit of each service among the edges.
    fn divide_connection_limits(&self) {
        let edges = self.registry(|registry| registry.nodes().filter(|node| node.role == Role::Edge).count());
        if let Some(configuration) = self.configuration() {
            for service in &configuration.services {
                self.stores.set_limit(&service.name, service.connection_limit as usize, edges);
            }
        }
    }

    fn with_parsed<T>(&self, read: impl FnOnce(&ParsedConfiguration) -> T) -> T {
        let relay = self.relay.borrow();
        let mut parsed = self.parsed.borrow_mut();
        if let Some((sequence, document)) = relay.registry().configuration() {
            parsed.follow(sequence, document);
        }
        read(&parsed)
    }
}

impl ParsedConfiguration {
    fn follow(&mut self, sequence: u64, document: &ConfigurationDocument) {
        let change = self.followed.apply_document(sequence, document);
        let Some(configuration) = self.followed.configuration() else { return };
        match change {
            Ok(ConfigurationChange::None) => {}
            Ok(ConfigurationChange::Replaced) => self.routes = RouteTable::of(configuration),
            Ok(ConfigurationChange::Updated(updates)) => {
                updates.iter().for_each(|update| self.routes.apply(configuration, update));
            }
            Err(error) => log::error!(sequence; "configuration invalid: {error}"),
        }
    }
}
