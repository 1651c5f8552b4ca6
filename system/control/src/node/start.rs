//! Starts a control node: opens its disk, determines the identity of the member, and founds the system, joins it, or recovers
//! from the disk.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_chain::{ChainEvent, ControlChain, ControlChainSettings, LogRecord, MemberId};
use gingerledge_protocol::Settings;
use gingerledge_relay::{Relay, RelayEvent, RelaySettings};
use gingerledge_transport::{identity, Network, NetworkSettings, TransportError};
use gingerledge_wire::{stable_hash, NodeRecord, Role};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::sync::mpsc;

use super::acknowledgements::SessionEndAcknowledgements;
use super::chain_host::ChainHost;
use super::clock::Clock;
use super::commands::CommandClient;
use super::coordinator_tasks::{CoordinatorSettings, CoordinatorTasks};
use super::disk::{self, Disk, DiskContents, DiskError, DiskIdentity};
use super::lease::LeaseDriver;
use super::messenger::Messenger;
use super::peers::{PeerDirectory, Peers};
use super::reads::PendingReads;
use super::relay_host::RelayHost;
use super::request::Request;
use super::session_host::SessionHost;
use super::{Node, Sources};
use crate::sessions::{ReplicationSettings, SessionReplication, SessionSettings, Sessions};

/// Maximum number of queued requests from the HTTP server.
const REQUEST_QUEUE_LENGTH: usize = 1_024;
/// Interval between the heartbeats of the system's own nodes.
const NODE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of heartbeat intervals without a heartbeat after which a session expires.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// File descriptors that the internal network leaves to HTTP connections and files.
const RESERVED_DESCRIPTORS: u64 = 600;
const MAX_CONNECTIONS: usize = 2_048;
const MIN_CONNECTIONS: usize = 64;

/// An error that prevents the start of a control node.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings contain no folder for the node's disk.
    #[snafu(display("settings: dataDir: a control node needs a disk"))]
    NoDisk,
    /// The disk can't be used.
    #[snafu(display("disk: {source}"))]
    Disk {
        /// The error of the disk.
        source: DiskError,
    },
    /// The internal network can't be used.
    #[snafu(display("internal network: {source}"))]
    Network {
        /// The error of the transport.
        source: TransportError,
    },
}

/// A started node with the sources of its events and the sender of its request queue.
pub struct Handles {
    /// The started node.
    pub node: Node,
    /// The sources of the node's events.
    pub sources: Sources,
    /// The sender of the node's request queue.
    pub requests: mpsc::Sender<Request>,
}

/// The identity of a node.
struct Identity {
    disk: DiskIdentity,
    /// Whether this is the first incarnation of the node and of the whole system.
    is_founding: bool,
}

/// Starts a control node with its disk and its network.
///
/// # Errors
///
/// The disk or the internal network can't be used.
pub async fn start(settings: Arc<Settings>) -> Result<Handles, StartError> {
    let folder = settings.data_dir.clone().context(NoDiskSnafu)?;
    let (mut ring, mut contents) = disk::open(&folder, settings.limits.disk_mb).context(DiskSnafu)?;
    let draw = |purpose| identity::draw(&settings.node_name, settings.internal_address(), purpose);
    let identity = identify(&settings, &contents, draw("member"));
    if contents.identity.is_none() {
        let appended = ring.append(&[disk::encode(&identity.disk.to_record())]);
        appended.context(disk::StorageSnafu).context(DiskSnafu)?;
    }
    let (network, inbox) = Network::bind(network_settings(&settings)).await.context(NetworkSnafu)?;
    let clock = Clock::start();
    let (disk_events, disk_source) = mpsc::unbounded_channel();
    let (load_results, load_result_source) = mpsc::unbounded_channel();
    let (requests, request_source) = mpsc::channel(REQUEST_QUEUE_LENGTH);
    let disk = Disk::start(ring, identity.disk.clone(), disk_events)
        .context(disk::StorageSnafu)
        .context(DiskSnafu)?;
    let own_record = NodeRecord {
        role: Role::Control,
        name: settings.node_name.clone(),
        incarnation: draw("incarnation"),
        member: identity.disk.member,
        address: settings.internal_address(),
        zone: settings.zone.clone(),
    };
    let chain = make_chain(&settings, &identity, std::mem::take(&mut contents.chain), draw("chain"));
    let messenger = Messenger::new(network, own_record);
    let lease_time = Duration::from_millis(settings.bounds.lease_ms);
    let lease = LeaseDriver::start(clock, messenger.clone(), lease_time, identity.is_founding, draw("lease"));
    let records = founder_records(&settings, &identity, contents.peers);
    let directory = PeerDirectory::new(identity.disk.member, records);
    let relay_settings = RelaySettings::for_role(Role::Control, &settings.zone);
    let relay = Relay::new(relay_settings, messenger.own_record().address, true, draw("relay"));
    let sessions = Sessions::new(session_settings(&settings), messenger.own_record().address);
    let replication = SessionReplication::new(ReplicationSettings::default());
    let mut node = Node {
        peers: Peers::new(messenger.clone(), settings.internal_seeds(), directory),
        chain: ChainHost::new(clock, chain),
        disk,
        relay: RelayHost::new(clock, messenger.clone(), relay),
        sessions: SessionHost::new(messenger.clone(), sessions, replication),
        commands: CommandClient::new(clock, messenger.clone(), draw("submissions") >> 1),
        reads: PendingReads::default(),
        acknowledgements: SessionEndAcknowledgements::default(),
        lease,
        coordinator: CoordinatorTasks::new(
            clock,
            messenger.own_record().clone(),
            CoordinatorSettings::from(&*settings),
            load_results,
        ),
        fault_tolerance: settings.fault_tolerance.machines,
        last_housekeeping_at: Duration::ZERO,
        failure: None,
        clock,
        messenger,
    };
    node.begin();
    let sources =
        Sources { inbox, requests: request_source, disk: disk_source, load_results: load_result_source };
    Ok(Handles { node, sources, requests })
}

impl Node {
    fn begin(&mut self) {
        let own_record = self.messenger.own_record();
        log::info!(member:% = format_args!("{:x}", own_record.member), address:% = own_record.address; "control node started");
        self.relay.handle_event(RelayEvent::Started);
        self.chain.handle_event(ChainEvent::Started);
        if let Some(members) = self.chain.membership().cloned() {
            self.on_view_installed(&members);
        }
        self.process_chain_actions();
    }
}

/// Determines the identity of the member: the one recorded on the disk, if any. A node with an empty disk founds the system if
/// the whole system is being started and the node is among its seeds; any other node with an empty disk is a new member with the
/// identity `drawn`.
fn identify(settings: &Settings, contents: &DiskContents, drawn: u64) -> Identity {
    if let Some(disk) = contents.identity.clone() {
        return Identity { disk, is_founding: false };
    }
    let own_address = settings.listen.control_plane;
    if settings.bootstrap && own_address.is_some_and(|address| settings.seeds.contains(&address)) {
        let mut founders: Vec<u64> = settings.seeds.iter().map(|seed| founder_identity(*seed)).collect();
        founders.sort_unstable();
        founders.dedup();
        let member = own_address.map_or(0, founder_identity);
        return Identity { disk: DiskIdentity { member, founders }, is_founding: true };
    }
    Identity { disk: DiskIdentity { member: drawn, founders: Vec::new() }, is_founding: false }
}

/// Derives the identity of a founder from its seed address, so that each founder knows the identities of all.
fn founder_identity(seed: SocketAddr) -> u64 {
    stable_hash(&seed.to_string())
}

/// The records of control nodes recovered from the disk; for a founder also those of all founders, whose identities are derived
/// from their seed addresses.
fn founder_records(settings: &Settings, identity: &Identity, recovered: Vec<NodeRecord>) -> Vec<NodeRecord> {
    let mut records = recovered;
    if identity.is_founding {
        let seeds = settings.seeds.iter().zip(settings.internal_seeds());
        records.extend(seeds.map(|(seed, address)| NodeRecord {
            role: Role::Control,
            name: String::new(),
            incarnation: 0,
            member: founder_identity(*seed),
            address,
            zone: String::new(),
        }));
    }
    records
}

fn make_chain(settings: &Settings, identity: &Identity, records: Vec<LogRecord>, seed: u64) -> ControlChain {
    let me = MemberId(identity.disk.member);
    let chain_settings = ControlChainSettings::new(settings.fault_tolerance.machines);
    if records.is_empty() && !identity.disk.founders.is_empty() {
        let founders = identity.disk.founders.iter().copied().map(MemberId).collect();
        return ControlChain::bootstrap(me, founders, chain_settings, seed);
    }
    ControlChain::recover(me, records, chain_settings, seed)
}

fn session_settings(settings: &Settings) -> SessionSettings {
    SessionSettings {
        store_heartbeat_interval: Duration::from_millis(settings.heartbeat_ms),
        node_heartbeat_interval: NODE_HEARTBEAT_INTERVAL,
        max_missed_heartbeats: MAX_MISSED_HEARTBEATS,
    }
}

fn network_settings(settings: &Settings) -> NetworkSettings {
    let connections =
        usize::try_from(settings.limits.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 4)
            .unwrap_or(MAX_CONNECTIONS)
            .clamp(MIN_CONNECTIONS, MAX_CONNECTIONS);
    NetworkSettings {
        max_inbound: connections,
        max_outbound: connections,
        ..NetworkSettings::new(settings.internal_address())
    }
}
