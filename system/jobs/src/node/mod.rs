//! The process around a [`Backend`]: its sockets, disk, clocks and signals, on one thread beside that of the disk.

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
use crate::error::{JobsError, NetworkSnafu, NoDiskSnafu, SignalsSnafu};
use crate::partition::EdgeState;
use crate::settings::JobsSettings;
use crate::store::Asker;
use disk::DiskWriter;
use heartbeats::Heartbeats;

/// A disk that refuses to be opened is tried again after this pause.
const OPEN_RETRY: Duration = Duration::from_millis(500);
/// How long a process that ends waits for its disk.
const LAST_SYNC: Duration = Duration::from_secs(1);
/// Messages taken in a row before signals and timers are looked at.
const MESSAGES_IN_A_ROW: usize = 64;
/// The most members of chains whose addresses are remembered.
const MOST_MEMBERS: usize = 16_384;
/// Without any timer the process wakes up this often.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Runs a backend until the platform stops it.
pub async fn run(settings: Settings) -> Result<(), JobsError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    // A changed settings file changes nothing here, but must not end the process.
    let _hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let mut node = Node::start(&settings).await?;
    loop {
        let deadline = node.deadline();
        tokio::select! {
            _ = terminate.recv() => break,
            incoming = node.inbox.next() => match incoming {
                Some(incoming) => node.receive_many(incoming),
                None => return Ok(()),
            },
            Some(event) = node.disk.next() => node.heard_disk(event),
            () = tokio::time::sleep_until(deadline) => {}
        }
        node.pass_time();
    }
    node.end().await;
    Ok(())
}

struct Node {
    started: Instant,
    settings: JobsSettings,
    network: Network<Envelope>,
    inbox: Inbox<Envelope>,
    disk: DiskWriter,
    backend: Backend,
    relay: Relay,
    heartbeats: Heartbeats,
    members: BTreeMap<MemberId, SocketAddr>,
    /// The last token given to the disk.
    last_token: u64,
}

impl Node {
    async fn start(settings: &Settings) -> Result<Self, JobsError> {
        let started = Instant::now();
        let jobs = JobsSettings::new(settings);
        let address = settings.internal_address();
        let folder = settings.data_dir.clone().context(NoDiskSnafu)?;
        let draw = |purpose| identity::draw(&settings.node_name, address, purpose);
        let (network, inbox) = Network::bind(NetworkSettings::new(address)).await.context(NetworkSnafu)?;
        let opened = loop {
            match disk::open(&folder, &jobs, draw("member")) {
                Ok(opened) => break opened,
                Err(error) => log::warn!("tried again: {error}"),
            }
            tokio::time::sleep(OPEN_RETRY).await;
        };
        let node = NodeRecord {
            role: Role::Backend,
            name: settings.node_name.clone(),
            incarnation: draw("incarnation"),
            member: opened.member,
            address,
            zone: settings.zone.clone(),
        };
        log::info!("member {:016x} of {}", node.member, node.name);
        let relay_settings = RelaySettings::for_role(Role::Backend, &settings.zone);
        let backend = Backend::new(MemberId(opened.member), opened.content, jobs.clone(), draw("chain"));
        let mut node = Self {
            started,
            settings: jobs,
            network,
            inbox,
            disk: DiskWriter::start(opened.ring)?,
            backend,
            relay: Relay::new(relay_settings, address, false, draw("relay")),
            heartbeats: Heartbeats::new(node, settings.internal_seeds(), draw("heartbeats")),
            members: BTreeMap::new(),
            last_token: 0,
        };
        node.drive(BackendEvent::Started);
        node.drive_relay(RelayEvent::ControlNodesKnown(settings.internal_seeds()));
        node.drive_relay(RelayEvent::Started);
        Ok(node)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// When something is to be done without any event from outside.
    fn deadline(&self) -> Instant {
        let timers = [self.backend.next_timer(), self.relay.next_timer(), self.disk.next_timer()];
        let next = timers.into_iter().flatten().fold(self.heartbeats.next_timer(), Duration::min);
        let latest = self.now() + LONGEST_SLEEP;
        self.started + next.min(latest)
    }

    /// Does what is due by the time.
    fn pass_time(&mut self) {
        let now = self.now();
        if self.backend.next_timer().is_some_and(|timer| timer <= now) {
            self.drive(BackendEvent::Tick);
        }
        if self.relay.next_timer().is_some_and(|timer| timer <= now) {
            self.drive_relay(RelayEvent::TimerExpired);
        }
        if self.heartbeats.next_timer() <= now {
            let coordinator = self.coordinator();
            let backend = &self.backend;
            for (to, message) in self.heartbeats.due(now, coordinator, || backend.report(now)) {
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
            Ok(None) => self.disk.put_off(now),
            Err(error) => {
                log::error!("no snapshot: {error}");
                self.disk.put_off(now);
            }
        }
    }

    fn receive_many(&mut self, first: Incoming<Envelope>) {
        self.receive(first);
        for _ in 1..MESSAGES_IN_A_ROW {
            let Some(next) = self.inbox.try_next() else { return };
            self.receive(next);
        }
    }

    fn receive(&mut self, incoming: Incoming<Envelope>) {
        let (from, message) = match incoming {
            Incoming::Message { from, message } => (from, message),
            Incoming::Lost { peer, .. } => return self.drive_relay(RelayEvent::PeerDisconnected { peer }),
        };
        match message {
            Envelope::Partition { partition, from: member, message } => {
                self.know_member(member, from);
                self.drive(BackendEvent::Replica { partition, from: MemberId(member), message });
            }
            Envelope::Jobs(JobsMessage::Request { request, reply_to, edge, partition, epoch, body }) => {
                let asker = Asker { request, reply_to, edge };
                self.drive(BackendEvent::Ask { asker, partition, epoch, request: body });
            }
            Envelope::Relay(message) => self.drive_relay(RelayEvent::Message { from, message }),
            Envelope::Control(ControlMessage::HeartbeatAck { control_nodes, .. }) => {
                let now = self.now();
                self.heartbeats.taken(now, from, control_nodes);
            }
            Envelope::Jobs(_) | Envelope::Control(_) | Envelope::Chain { .. } | Envelope::Lease { .. } => {}
        }
    }

    fn heard_disk(&mut self, event: WriterEvent) {
        let now = self.now();
        if let Some(token) = self.disk.heard(now, event) {
            self.drive(BackendEvent::Durable { token });
        }
    }

    fn drive(&mut self, event: BackendEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        self.backend.handle(now, event, &mut actions);
        for action in actions {
            match action {
                BackendAction::SendMember { to, partition, message } => {
                    if let Some(address) = self.members.get(&to).copied() {
                        let from = self.backend.member().0;
                        self.send(address, &Envelope::Partition { partition, from, message });
                    }
                }
                BackendAction::SendEdge { to, message } => self.send(to, &Envelope::Jobs(message)),
                BackendAction::Persist { token, records } => {
                    self.last_token = token;
                    self.disk.append(token, records);
                }
            }
        }
    }

    fn drive_relay(&mut self, event: RelayEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        self.relay.handle(now, event, &mut actions);
        for action in actions {
            match action {
                RelayAction::Send { to, message } => self.send(to, &Envelope::Relay(message)),
                RelayAction::EntriesChanged(entries) => self.learn(entries),
            }
        }
    }

    /// Takes up what is new in the registry: nodes first, since chains consist of them.
    fn learn(&mut self, entries: Vec<Entry>) {
        let (nodes, others): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|entry| matches!(entry.key, Key::Node(_)));
        for entry in nodes {
            self.learn_node(entry);
        }
        for entry in others {
            if let (Key::Partition(partition), Value::Partition(record)) = (entry.key, entry.value) {
                self.drive(BackendEvent::Chain { partition, record });
            }
        }
    }

    fn learn_node(&mut self, entry: Entry) {
        let Key::Node(incarnation) = entry.key else { return };
        let ended = entry.is_ended();
        match entry.value {
            Value::Node(node) if node.role == Role::Edge => {
                self.drive(BackendEvent::Edge { incarnation, state: EdgeState::There(node.address) });
            }
            Value::Node(node) if node.role == Role::Backend => self.know_member(node.member, node.address),
            Value::Tombstone => {
                let state = if ended { EdgeState::Ended } else { EdgeState::Silent };
                self.drive(BackendEvent::Edge { incarnation, state });
            }
            _ => {}
        }
    }

    fn know_member(&mut self, member: u64, address: SocketAddr) {
        let member = MemberId(member);
        if self.members.len() < MOST_MEMBERS || self.members.contains_key(&member) {
            self.members.insert(member, address);
        }
    }

    fn send(&self, to: SocketAddr, message: &Envelope) {
        // What is dropped is sent again by whoever needs it.
        let _ = self.network.send(to, message);
    }

    /// Says farewell, and waits a little for what is on its way to the disk.
    async fn end(&mut self) {
        for (to, message) in self.heartbeats.farewells(self.coordinator()) {
            self.send(to, &Envelope::Control(message));
        }
        let deadline = Instant::now() + LAST_SYNC.min(self.settings.driver_timeout);
        while !self.backend.is_synced() {
            match tokio::time::timeout_at(deadline, self.disk.next()).await {
                Ok(Some(event)) => self.heard_disk(event),
                Ok(None) | Err(_) => return,
            }
        }
        // The farewells are on their way once the connections have had a moment.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
