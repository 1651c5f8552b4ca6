//! A simulated process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_relay::{Relay, RelayEvent, RelaySettings};
use gingerledge_wire::{Key, RelayMessage, Role};

/// Processor time per message on one full core.
const MESSAGE_COST: Duration = Duration::from_micros(15);
/// Processor time per message byte on one full core.
const BYTE_COST: Duration = Duration::from_nanos(10);
/// Number of cores of a control node.
const CONTROL_CORES: f64 = 0.25;
/// Number of cores of any other node.
const OTHER_CORES: f64 = 0.047;

/// Counts of messages and of their encoded bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

impl Traffic {
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// A simulated process.
pub struct Node {
    pub role: Role,
    pub settings: RelaySettings,
    /// `None` while the process is down.
    pub relay: Option<Relay>,
    pub incarnation: u32,
    /// The time at which the process started. The clock of the process starts at zero then.
    pub started_at: Duration,
    pub is_paused: bool,
    pub is_powered_off: bool,
    pub timer_at: Option<Duration>,
    pub queued_events: Vec<RelayEvent>,
    pub busy_until: Duration,
    pub peers: BTreeSet<SocketAddr>,
    pub newest_seen: BTreeMap<Key, ((u64, u8), Duration)>,
    pub sent: Traffic,
    pub received: Traffic,
}

impl Node {
    pub fn new(role: Role, settings: RelaySettings) -> Self {
        Self {
            role,
            settings,
            relay: None,
            incarnation: 0,
            started_at: Duration::ZERO,
            is_paused: false,
            is_powered_off: false,
            timer_at: None,
            queued_events: Vec::new(),
            busy_until: Duration::ZERO,
            peers: BTreeSet::new(),
            newest_seen: BTreeMap::new(),
            sent: Traffic::default(),
            received: Traffic::default(),
        }
    }

    /// Whether the process is up and its relay is fresh.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.relay.as_ref().is_some_and(|relay| relay.is_fresh(now - self.started_at))
    }

    /// Whether the process is up and not paused.
    pub fn is_running(&self) -> bool {
        self.relay.is_some() && !self.is_paused
    }

    pub fn start(&mut self, address: SocketAddr, seed: u64, now: Duration) {
        self.stop();
        self.is_powered_off = false;
        self.incarnation += 1;
        self.started_at = now;
        self.relay = Some(Relay::new(self.settings.clone(), address, self.role == Role::Control, seed));
    }

    pub fn stop(&mut self) {
        self.relay = None;
        self.is_paused = false;
        self.timer_at = None;
        self.queued_events.clear();
        self.newest_seen.clear();
    }

    /// Charges the processor time of a message.
    pub fn charge(&mut self, now: Duration, bytes: usize) {
        let cores = if self.role == Role::Control { CONTROL_CORES } else { OTHER_CORES };
        let cost = (MESSAGE_COST + BYTE_COST * bytes as u32).div_f64(cores);
        self.busy_until = self.busy_until.max(now) + cost;
    }
}

/// The size of a message in bytes, as the transport encodes it.
pub fn encoded_bytes(message: &RelayMessage) -> usize {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
    bytes.map_or(0, |bytes| bytes.len())
}
