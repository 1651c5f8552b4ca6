//! Heartbeats of this edge to a control node, sent at a fixed interval to the same node as long as it acknowledges them.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{ControlMessage, Envelope, NodeRecord, Role};

use crate::Shared;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of unacknowledged heartbeats after which another control node is chosen.
const MAX_UNACKNOWLEDGED_HEARTBEATS: u64 = 2;
/// Maximum number of advertised control nodes that are kept.
const MAX_CONTROL_NODES: usize = 64;

/// State of the heartbeats: the control node that they are sent to, and the last heartbeat that it acknowledged.
pub struct Heartbeats {
    /// Control node that the heartbeats are sent to.
    target: Option<SocketAddr>,
    /// Control nodes that the last acknowledgement listed.
    advertised_nodes: Vec<SocketAddr>,
    /// Sequence number of the last heartbeat sent.
    last_sequence: u64,
    /// Sequence number of the last heartbeat that the target acknowledged, or of the last one sent before the target was chosen.
    acknowledged_sequence: u64,
    /// When the next heartbeat is due, on the clock of [`Shared::now`].
    next_heartbeat_at: Duration,
}

impl Default for Heartbeats {
    fn default() -> Self {
        Self::new()
    }
}

impl Heartbeats {
    /// Creates the state before the first heartbeat, which is due immediately.
    #[must_use]
    pub fn new() -> Self {
        Self {
            target: None,
            advertised_nodes: Vec::new(),
            last_sequence: 0,
            acknowledged_sequence: 0,
            next_heartbeat_at: Duration::ZERO,
        }
    }

    /// When the next heartbeat is due, on the clock of [`Shared::now`].
    #[must_use]
    pub fn next_timer(&self) -> Duration {
        self.next_heartbeat_at
    }

    /// Sends a heartbeat if it is due.
    pub fn on_timer(&mut self, shared: &Shared, now: Duration) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        if self.target.is_none()
            || self.last_sequence >= self.acknowledged_sequence + MAX_UNACKNOWLEDGED_HEARTBEATS
        {
            self.target = self.choose_new_target(shared);
            self.acknowledged_sequence = self.last_sequence;
        }
        self.last_sequence += 1;
        if let Some(target) = self.target {
            let node = node_record(shared);
            let message = ControlMessage::Heartbeat { node, sequence: self.last_sequence, report: None };
            shared.send(target, &Envelope::Control(message));
        }
    }

    /// Handles the acknowledgement of a heartbeat, which lists the control nodes known to its sender.
    pub fn on_acknowledged(&mut self, from: SocketAddr, sequence: u64, control_nodes: &[SocketAddr]) {
        if Some(from) == self.target {
            self.acknowledged_sequence = self.acknowledged_sequence.max(sequence.min(self.last_sequence));
        }
        if !control_nodes.is_empty() {
            self.advertised_nodes = control_nodes.iter().copied().take(MAX_CONTROL_NODES).collect();
        }
    }

    /// Clears the target if the connection to it was lost, so that a control node is chosen again for the next heartbeat.
    pub fn on_peer_lost(&mut self, peer: SocketAddr) {
        if self.target == Some(peer) {
            self.target = None;
        }
    }

    /// Notifies the control node that this process is about to exit.
    pub fn send_goodbye(&self, shared: &Shared) {
        if let Some(target) = self.target {
            let message = ControlMessage::Goodbye { incarnation: shared.incarnation };
            shared.send(target, &Envelope::Control(message));
        }
    }

    /// Returns all known control nodes: those of the settings and those that other control nodes advertised.
    pub fn known_control_nodes(&self, shared: &Shared) -> Vec<SocketAddr> {
        let mut control_nodes = shared.settings().internal_seeds();
        control_nodes.extend(self.advertised_nodes.iter().copied());
        control_nodes.sort_unstable();
        control_nodes.dedup();
        control_nodes
    }

    /// Chooses a control node other than the current target, from this edge's own zone if there is one. Keeps the target if no other
    /// control node is known.
    fn choose_new_target(&self, shared: &Shared) -> Option<SocketAddr> {
        let zone = shared.zone();
        let own_zone_nodes = shared.registry(|registry| {
            let control = registry.nodes().filter(|node| node.role == Role::Control && node.zone == zone);
            control.map(|node| node.address).collect()
        });
        self.choose_from(own_zone_nodes)
            .or_else(|| self.choose_from(self.known_control_nodes(shared)))
            .or(self.target)
    }

    fn choose_from(&self, mut candidates: Vec<SocketAddr>) -> Option<SocketAddr> {
        candidates.retain(|address| Some(*address) != self.target);
        fastrand::choice(candidates)
    }
}

/// Describes this edge for the registry.
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
