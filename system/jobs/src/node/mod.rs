//! The process that runs a [`Backend`]: its sockets, disk, clock and signals, on one thread in addition to the disk's own.

mod disk;
mod heartbeats;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_chain::MemberId;
use gingerledge_protocol::Settings;
use gingerledge_relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use gingerledge_storage::WriterEvent;
use gingerledge_transport::{identity, Inbox, Incoming, Network, NetworkSettings};
use gingerledge_wire::{ControlMessage, Entry, Envelope, JobsMessage, Key, NodeRecord, Role, Value};
use snafu::{OptionExt, ResultExt};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::Instant;

use crate::backend::{Backend, BackendAction, BackendEvent};
use crate::error::{JobsError, MissingDataDirSnafu, NetworkSnafu, SignalsSnafu};
use crate::partition::{ClientRequest, EdgeState};
use crate::settings::JobsSettings;
use crate::store::Caller;
use disk::DiskWriter;
use heartbeats::Heartbeats;

/// Time between a failed attempt to open the disk and the next one.
const OPEN_RETRY: Duration = Duration::from_millis(500);
/// Maximum time for which a shutdown waits until all writes are durable.
const SHUTDOWN_SYNC_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of messages handled before signals and timers are checked again.
const MAX_CONSECUTIVE_MESSAGES: usize = 64;
/// Time between the last sync of a shutdown and the end of the process, for the connections to send the announcements.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of members whose addresses are stored.
const MAX_KNOWN_MEMBERS: usize = 16_384;
/// Maximum time that the event loop waits when no timer is due earlier.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Runs a backend until it receives SIGTERM.
///
/// # Errors
///
/// The settings are incomplete, or the network, the disk or signals can't be set up.
pub async fn run(settings: Settings) -> Result<(), JobsError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    // SIGHUP announces a changed settings file. A backend does not reload its settings, but the signal must not end the process.
    let _hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let mut node = Node::start(&settings).await?;
    loop {
        let deadline = node.deadline();
        tokio::select! {
            _ = terminate.recv() => break,
            incoming = node.inbox.next() => match incoming {
                Some(incoming) => node.handle_messages(incoming),
                None => return Ok(()),
            },
            Some(event) = node.disk.next() => node.handle_disk_event(event),
            () = tokio::time::sleep_until(deadline) => {}
        }
        node.handle_timeouts();
    }
    node.shut_down().await;
    Ok(())
}

struct Node {
    started_at: Instant,
    settings: JobsSettings,
    network: Network<Envelope>,
    inbox: Inbox<Envelope>,
    disk: DiskWriter,
    backend: Backend,
    relay: Relay,
    heartbeats: Heartbeats,
    /// Addresses of backends by member id.
    member_addresses: BTreeMap<MemberId, SocketAddr>,
    /// Token of the last write passed to the disk.
    last_token: u64,
}

impl Node {
    async fn start(settings: &Settings) -> Result<Self, JobsError> {
        let started_at = Instant::now();
        let jobs_settings = JobsSettings::new(settings);
        let address = settings.internal_address();
        let data_dir = settings.data_dir.clone().context(MissingDataDirSnafu)?;
        let random_id = |purpose| identity::draw(&settings.node_name, address, purpose);
        let (network, inbox) = Network::bind(NetworkSettings::new(address)).await.context(NetworkSnafu)?;
        let opened_disk = loop {
            match disk::open(&data_dir, &jobs_settings, random_id("member")) {
                Ok(opened_disk) => break opened_disk,
                Err(error) => log::warn!("disk not opened, retrying: {error}"),
            }
            tokio::time::sleep(OPEN_RETRY).await;
        };
        let node = NodeRecord {
            role: Role::Backend,
            name: settings.node_name.clone(),
            incarnation: random_id("incarnation"),
            member: opened_disk.member,
            address,
            zone: settings.zone.clone(),
        };
        log::info!(member:% = format_args!("{:016x}", node.member), node = node.name.as_str(); "backend started");
        let relay_settings = RelaySettings::for_role(Role::Backend, &settings.zone);
        let backend = Backend::new(
            MemberId(opened_disk.member),
            opened_disk.content,
            jobs_settings.clone(),
            random_id("chain"),
        );
        let mut node = Self {
            started_at,
            settings: jobs_settings,
            network,
            inbox,
            disk: DiskWriter::start(opened_disk.ring)?,
            backend,
            relay: Relay::new(relay_settings, address, false, random_id("relay")),
            heartbeats: Heartbeats::new(node, settings.internal_seeds(), random_id("heartbeats")),
            member_addresses: BTreeMap::new(),
            last_token: 0,
        };
        node.handle_backend_event(BackendEvent::Started);
        node.handle_relay_event(RelayEvent::ControlNodesKnown(settings.internal_seeds()));
        node.handle_relay_event(RelayEvent::Started);
        Ok(node)
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Time at which the next timer expires.
    fn deadline(&self) -> Instant {
        let timers = [self.backend.next_timer(), self.relay.next_timer(), self.disk.next_timer()];
        let next = timers.into_iter().flatten().fold(self.heartbeats.next_timer(), Duration::min);
        let latest = self.now() + MAX_SLEEP;
        self.started_at + next.min(latest)
    }

    /// Handles all timers that have expired.
    fn handle_timeouts(&mut self) {
        let now = self.now();
        if self.backend.next_timer().is_some_and(|timer| timer <= now) {
            self.handle_backend_event(BackendEvent::TimerExpired);
        }
        if self.relay.next_timer().is_some_and(|timer| timer <= now) {
            self.handle_relay_event(RelayEvent::TimerExpired);
        }
        if self.heartbeats.next_timer() <= now {
            let coordinator = self.coordinator();
            let backend = &self.backend;
            for (to, message) in self.heartbeats.poll_messages(now, coordinator, || backend.report(now)) {
                self.send(to, &Envelope::Control(message));
            }
        }
        if self.disk.is_snapshot_due(now) {
            self.take_snapshot(now);
        }
    }

    fn coordinator(&self) -> Option<SocketAddr> {
        self.relay.registry().coordinator().map(|coordinator| coordinator.address)
    }

    fn take_snapshot(&mut self, now: Duration) {
        match self.backend.checkpoint() {
            Ok(Some(records)) => self.disk.snapshot(now, self.last_token, records),
            Ok(None) => self.disk.postpone_snapshot(now),
            Err(error) => {
                log::error!("state not encoded, snapshot postponed: {error}");
                self.disk.postpone_snapshot(now);
            }
        }
    }

    fn handle_messages(&mut self, first: Incoming<Envelope>) {
        self.handle_message(first);
        for _ in 1..MAX_CONSECUTIVE_MESSAGES {
            let Some(next) = self.inbox.try_next() else { return };
            self.handle_message(next);
        }
    }

    fn handle_message(&mut self, incoming: Incoming<Envelope>) {
        let (from, message) = match incoming {
            Incoming::Message { from, message } => (from, message),
            Incoming::Lost { peer, .. } => {
                return self.handle_relay_event(RelayEvent::PeerDisconnected { peer })
            }
        };
        match message {
            Envelope::Partition { partition, from: member, message } => {
                self.record_member_address(member, from);
                self.handle_backend_event(BackendEvent::ReplicaMessage {
                    partition,
                    from: MemberId(member),
                    message,
                });
            }
            Envelope::Jobs(JobsMessage::Request { request, reply_to, edge, partition, epoch, body }) => {
                let caller = Caller { request, reply_to, edge };
                let request = ClientRequest { caller, epoch, body };
                self.handle_backend_event(BackendEvent::Request { partition, request });
            }
            Envelope::Relay(message) => self.handle_relay_event(RelayEvent::Message { from, message }),
            Envelope::Control(ControlMessage::HeartbeatAck { control_nodes, .. }) => {
                let now = self.now();
                self.heartbeats.on_acknowledged(now, from, control_nodes);
            }
            Envelope::Jobs(_) | Envelope::Control(_) | Envelope::Chain { .. } | Envelope::Lease { .. } => {}
        }
    }

    fn handle_disk_event(&mut self, event: WriterEvent) {
        let now = self.now();
        if let Some(token) = self.disk.handle_event(now, event) {
            self.handle_backend_event(BackendEvent::Durable { token });
        }
    }

    fn handle_backend_event(&mut self, event: BackendEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        self.backend.handle(now, event, &mut actions);
        for action in actions {
            match action {
                BackendAction::SendToMember { to, partition, message } => {
                    if let Some(address) = self.member_addresses.get(&to).copied() {
                        let from = self.backend.member().0;
                        self.send(address, &Envelope::Partition { partition, from, message });
                    }
                }
                BackendAction::SendToEdge { to, message } => self.send(to, &Envelope::Jobs(message)),
                BackendAction::Persist { token, records } => {
                    self.last_token = token;
                    self.disk.append(token, records);
                }
            }
        }
    }

    fn handle_relay_event(&mut self, event: RelayEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        self.relay.handle(now, event, &mut actions);
        for action in actions {
            match action {
                RelayAction::Send { to, message } => self.send(to, &Envelope::Relay(message)),
                RelayAction::EntriesChanged(entries) => self.apply_registry(entries),
            }
        }
    }

    /// Applies changed registry entries: nodes first, since the members of a chain are addressed by them.
    fn apply_registry(&mut self, entries: Vec<Entry>) {
        let (nodes, others): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|entry| matches!(entry.key, Key::Node(_)));
        for entry in nodes {
            self.apply_node(entry);
        }
        for entry in others {
            if let (Key::Partition(partition), Value::Partition(record)) = (entry.key, entry.value) {
                self.handle_backend_event(BackendEvent::ChainChanged { partition, record });
            }
        }
    }

    fn apply_node(&mut self, entry: Entry) {
        let Key::Node(incarnation) = entry.key else { return };
        let has_ended = entry.is_ended();
        match entry.value {
            Value::Node(node) if node.role == Role::Edge => {
                self.handle_backend_event(BackendEvent::EdgeChanged {
                    incarnation,
                    state: EdgeState::Reachable(node.address),
                });
            }
            Value::Node(node) if node.role == Role::Backend => {
                self.record_member_address(node.member, node.address);
            }
            Value::Tombstone => {
                let state = if has_ended { EdgeState::Ended } else { EdgeState::Unreachable };
                self.handle_backend_event(BackendEvent::EdgeChanged { incarnation, state });
            }
            _ => {}
        }
    }

    fn record_member_address(&mut self, member: u64, address: SocketAddr) {
        let member = MemberId(member);
        if self.member_addresses.len() < MAX_KNOWN_MEMBERS || self.member_addresses.contains_key(&member) {
            self.member_addresses.insert(member, address);
        }
    }

    fn send(&self, to: SocketAddr, message: &Envelope) {
        // Delivery is best effort: senders resend messages that must arrive.
        let _ = self.network.send(to, message);
    }

    /// Announces the shutdown, and waits for a limited time until all writes are durable.
    async fn shut_down(&mut self) {
        for (to, message) in self.heartbeats.goodbye_messages(self.coordinator()) {
            self.send(to, &Envelope::Control(message));
        }
        let deadline = Instant::now() + SHUTDOWN_SYNC_TIMEOUT.min(self.settings.driver_timeout);
        while !self.backend.is_synced() {
            match tokio::time::timeout_at(deadline, self.disk.next()).await {
                Ok(Some(event)) => self.handle_disk_event(event),
                Ok(None) | Err(_) => return,
            }
        }
        // The connections need time to send the announcements.
        tokio::time::sleep(SHUTDOWN_DELAY).await;
    }
}
