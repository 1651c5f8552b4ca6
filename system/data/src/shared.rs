//! State that all parts of an edge share: registry, configuration, clock, the HTTP client for stores, and the internal network.

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

/// Timeout for flushing internal messages before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Newest configuration, parsed, with its routing table.
#[derive(Default)]
struct ParsedConfiguration {
    follower: ConfigurationFollower,
    routes: RouteTable,
}

/// State that all parts of an edge share.
pub struct Shared {
    /// HTTP client for stores.
    pub stores: StoreClient,
    /// Counters of the requests in flight at each store.
    pub in_flight_counts: InFlightCounts,
    /// Health of the stores, from recent failures.
    pub health: StoreHealth,
    /// Which store has cached which prompt prefix.
    pub affinity: RefCell<Affinity>,
    /// State of the driver of batch jobs.
    pub rollout: RolloutState,
    /// Number drawn at the start that identifies this run of the process.
    pub incarnation: u64,
    settings: RefCell<Rc<Settings>>,
    network: Network<Envelope>,
    relay: RefCell<Relay>,
    parsed_configuration: RefCell<ParsedConfiguration>,
    index: RefCell<StoreIndex>,
    clock: Clock,
    is_shutting_down: Cell<bool>,
}

impl Shared {
    /// Creates the state of an edge with an empty registry.
    #[must_use]
    pub fn new(settings: Settings, network: Network<Envelope>, incarnation: u64) -> Self {
        let relay_settings = RelaySettings::for_role(Role::Edge, &settings.zone);
        let relay = Relay::new(relay_settings, network.local_address(), false, incarnation);
        Self {
            stores: StoreClient::new(),
            in_flight_counts: InFlightCounts::default(),
            health: StoreHealth::default(),
            affinity: RefCell::default(),
            rollout: RolloutState::default(),
            incarnation,
            settings: RefCell::new(Rc::new(settings)),
            network,
            relay: RefCell::new(relay),
            parsed_configuration: RefCell::default(),
            index: RefCell::default(),
            clock: Clock::start(),
            is_shutting_down: Cell::new(false),
        }
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Time since this process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Clock of this process, for parts that need no other shared state.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Zone of this edge.
    pub fn zone(&self) -> String {
        self.settings.borrow().zone.clone()
    }

    /// Address at which this edge receives internal messages.
    pub fn address(&self) -> SocketAddr {
        self.network.local_address()
    }

    /// Sends an internal message; it may be lost.
    pub fn send(&self, to: SocketAddr, message: &Envelope) {
        self.try_send(to, message);
    }

    /// Sends an internal message, which may be lost. Returns false if it was dropped here.
    pub fn try_send(&self, to: SocketAddr, message: &Envelope) -> bool {
        let is_queued = self.network.send(to, message).is_queued();
        if !is_queued {
            log::debug!(to:%; "internal message dropped");
        }
        is_queued
    }

    /// Reads the registry. The closure must not call a method that changes the registry, since the registry is borrowed.
    pub fn registry<T>(&self, read: impl FnOnce(&Registry) -> T) -> T {
        read(self.relay.borrow().registry())
    }

    /// Whether the registry is fresh: whether it has all entries that the control chain had confirmed a short time ago.
    pub fn is_registry_fresh(&self) -> bool {
        self.relay.borrow().is_fresh(self.now())
    }

    /// Passes an event to the relay and carries out the resulting actions.
    pub fn handle_relay_event(&self, event: RelayEvent) {
        let mut actions = Vec::new();
        self.relay.borrow_mut().handle(self.now(), event, &mut actions);
        for action in actions {
            match action {
                RelayAction::Send { to, message } => self.send(to, &Envelope::Relay(message)),
                RelayAction::EntriesChanged(entries) => self.on_entries_changed(&entries),
            }
        }
    }

    /// When the relay needs [`RelayEvent::TimerExpired`], on the clock of [`Self::now`].
    pub fn relay_timer(&self) -> Option<Duration> {
        self.relay.borrow().next_timer()
    }

    /// Merges registry entries that come from another source than the relay tree.
    pub fn merge_entries(&self, entries: impl IntoIterator<Item = Entry>) {
        self.handle_relay_event(RelayEvent::EntriesReceived(entries.into_iter().collect()));
    }

    /// Returns the newest configuration known. It is parsed once for each change.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.with_parsed_configuration(|parsed| parsed.follower.configuration().cloned())
    }

    /// Returns the route for a host and path in the newest configuration known.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<RouteEntry>> {
        self.with_parsed_configuration(|parsed| parsed.routes.find(host, path).cloned())
    }

    /// Returns the stores of a service that accept requests.
    pub fn stores_for_service(&self, service: &str) -> Rc<Vec<Rc<KnownStore>>> {
        self.index.borrow().for_service(service)
    }

    /// Whether any store accepts requests.
    pub fn has_stores(&self) -> bool {
        !self.index.borrow().is_empty()
    }

    /// Closes expired connections to stores, and those to stores not in the registry, and removes unused counters.
    pub fn release_unused(&self) {
        let relay = self.relay.borrow();
        let is_registered = |id: &str| {
            let entry = relay.registry().entry(&Key::Store(id.to_owned()));
            entry.is_some_and(|entry| matches!(entry.value, Value::Store(_)))
        };
        self.stores.close_expired(is_registered);
        self.in_flight_counts.remove_unused();
    }

    /// Sends the internal messages that are still queued, within a timeout.
    pub async fn flush(&self) {
        if !self.network.flush(FLUSH_TIMEOUT).await {
            log::debug!("internal messages not flushed in time");
        }
    }

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Starts the shutdown: the edge is no longer ready, and sends `Connection: close` so that clients reconnect to another edge.
    pub fn start_shutdown(&self) {
        self.is_shutting_down.set(true);
    }

    /// Updates the index of stores and the connection limits after changes of the registry.
    fn on_entries_changed(&self, entries: &[Entry]) {
        let zone = self.zone();
        for entry in entries {
            if let Key::Store(id) = &entry.key {
                let record = match &entry.value {
                    Value::Store(record) => Some(record),
                    _ => None,
                };
                self.index.borrow_mut().update(id, record, &zone, &self.in_flight_counts);
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
                self.stores.set_connection_limit(&service.name, service.connection_limit as usize, edges);
            }
        }
    }

    /// Reads the parsed configuration, after applying changes of the registry to it.
    fn with_parsed_configuration<T>(&self, read: impl FnOnce(&ParsedConfiguration) -> T) -> T {
        let relay = self.relay.borrow();
        let mut parsed = self.parsed_configuration.borrow_mut();
        if let Some((sequence, document)) = relay.registry().configuration() {
            parsed.follow(sequence, document);
        }
        read(&parsed)
    }
}

impl ParsedConfiguration {
    fn follow(&mut self, sequence: u64, document: &ConfigurationDocument) {
        let change = self.follower.apply_document(sequence, document);
        let Some(configuration) = self.follower.configuration() else { return };
        match change {
            Ok(ConfigurationChange::None) => {}
            Ok(ConfigurationChange::Replaced) => self.routes = RouteTable::from_configuration(configuration),
            Ok(ConfigurationChange::Updated(updates)) => {
                updates.iter().for_each(|update| self.routes.apply(configuration, update));
            }
            Err(error) => log::error!(sequence; "configuration invalid: {error}"),
        }
    }
}
