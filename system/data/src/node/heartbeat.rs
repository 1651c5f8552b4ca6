//! Heartbeats of this edge to a control node: one in each interval, to the same node as long as it acknowledges them.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{ControlMessage, Envelope, NodeRecord, Role};

use crate::Shared;

/// The time between heartbeats.
const INTERVAL: Duration = Duration::from_millis(500);
/// After so many heartbeats without an acknowledgement, another control node is chosen.
const MAX_UNACKNOWLEDGED: u64 = 2;
/// The most control nodes that are remembered.
const MAX_CONTROL_NODES: usize = 64;

/// The target of the heartbeats, and what it has acknowledged.
pub struct Heartbeats {
    target: Option<SocketAddr>,
    /// Control nodes named by the last acknowledgement.
    advertised: Vec<SocketAddr>,
    sequence: u64,
    acknowledged: u64,
    next_at: Duration,
}

impl Default for Heartbeats {
    fn default() -> Self {
        Self::new()
    }
}

impl Heartbeats {
    /// The first heartbeat is due immediately.
    #[must_use]
    pub fn new() -> Self {
        Self { target: None, advertised: Vec::new(), sequence: 0, acknowledged: 0, next_at: Duration::ZERO }
    }

    /// When the next one is due.
    #[must_use]
    pub fn next_timer(&self) -> Duration {
        self.next_at
    }

    /// Sends a heartbeat if it is due.
    pub fn on_timer(&mut self, shared: &Shared, now: Duration) {
        if now < self.next_at {
            return;
        }
        self.next_at = now + INTERVAL;
        if self.target.is_none() || self.sequence >= self.acknowledged + MAX_UNACKNOWLEDGED {
            self.target = self.choose_other(shared);
            self.acknowledged = self.sequence;
        }
        self.sequence += 1;
        if let Some(target) = self.target {
            let node = node_record(shared);
            let message = ControlMessage::Heartbeat { node, sequence: self.sequence, report: None };
            shared.send(target, &Envelope::Control(message));
        }
    }

    /// A control node acknowledged a heartbeat, and named others.
    pub fn on_acknowledged(&mut self, from: SocketAddr, sequence: u64, control_nodes: &[SocketAddr]) {
        if Some(from) == self.target {
            self.acknowledged = self.acknowledged.max(sequence.min(self.sequence));
        }
        if !control_nodes.is_empty() {
            self.advertised = control_nodes.iter().copied().take(MAX_CONTROL_NODES).collect();
        }
    }

    /// The connection to a peer was lost.
    pub fn on_peer_lost(&mut self, peer: SocketAddr) {
        if self.target == Some(peer) {
            self.target = None;
        }
    }

    /// Announces the end of this process to the control node.
    pub fn send_goodbye(&self, shared: &Shared) {
        if let Some(target) = self.target {
            let message = ControlMessage::Goodbye { incarnation: shared.incarnation };
            shared.send(target, &Envelope::Control(message));
        }
    }

    /// All known control nodes: those of the settings, and those named by other control nodes.
    pub fn known_control_nodes(&self, shared: &Shared) -> Vec<SocketAddr> {
        let mut known = shared.settings().internal_seeds();
        known.extend(self.advertised.iter().copied());
        known.sort_unstable();
        known.dedup();
        known
    }

    /// A control node other than the current target: one of the own zone if there is any.
    fn choose_other(&self, shared: &Shared) -> Option<SocketAddr> {
        let zone = shared.zone();
        let own_zone = shared.registry(|registry| {
            let control = registry.nodes().filter(|node| node.role == Role::Control && node.zone == zone);
            control.map(|node| node.address).collect()
        });
        self.choose_from(own_zone)
            .or_else(|| self.choose_from(self.known_control_nodes(shared)))
            .or(self.target)
    }

    fn choose_from(&self, mut candidates: Vec<SocketAddr>) -> Option<SocketAddr> {
        candidates.retain(|address| Some(*address) != self.target);
        fastrand::choice(candidates)
    }
}

fn node_record(shared: &Shared) -> NodeRecord {
    let settings = shared.settings();
    NodeRecord {
        role: Role::Edge,
        name: settings.node_name.clone(),
        incarnation: shared.incarnation,
        member: 0,
        address: shared.address(),
        zone: settings.zone.clone(),
    }
}
