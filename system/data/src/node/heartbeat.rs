//! Heartbeats of this edge to a control node: one each half second, to the same one as long as it answers.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{ControlMessage, Envelope, NodeRecord, Role};

use crate::Shared;

/// The time between heartbeats.
const INTERVAL: Duration = Duration::from_millis(500);
/// After so many heartbeats without an answer, another control node gets them.
const PATIENCE: u64 = 2;
/// The most control nodes that are remembered.
const MAX_CONTROL: usize = 64;

/// Who gets heartbeats, and what has been answered.
pub struct Heartbeats {
    target: Option<SocketAddr>,
    told: Vec<SocketAddr>,
    sequence: u64,
    answered: u64,
    due: Duration,
}

impl Default for Heartbeats {
    fn default() -> Self {
        Self::new()
    }
}

impl Heartbeats {
    /// The first one is due at once.
    pub fn new() -> Self {
        Self { target: None, told: Vec::new(), sequence: 0, answered: 0, due: Duration::ZERO }
    }

    /// When the next one is due.
    pub fn due(&self) -> Duration {
        self.due
    }

    /// Sends one if it is due.
    pub fn beat(&mut self, shared: &Shared, now: Duration) {
        if now < self.due {
            return;
        }
        self.due = now + INTERVAL;
        if self.target.is_none() || self.sequence >= self.answered + PATIENCE {
            self.target = self.another(shared);
            self.answered = self.sequence;
        }
        self.sequence += 1;
        if let Some(target) = self.target {
            let node = record(shared);
            let message = ControlMessage::Heartbeat { node, sequence: self.sequence, report: None };
            shared.send(target, &Envelope::Control(message));
        }
    }

    /// A control node has answered, and named others.
    pub fn taken(&mut self, from: SocketAddr, sequence: u64, control: &[SocketAddr]) {
        if Some(from) == self.target {
            self.answered = self.answered.max(sequence.min(self.sequence));
        }
        if !control.is_empty() {
            self.told = control.iter().copied().take(MAX_CONTROL).collect();
        }
    }

    /// A peer is not reached any more.
    pub fn lost(&mut self, peer: SocketAddr) {
        if self.target == Some(peer) {
            self.target = None;
        }
    }

    /// Says to the control node that this edge ends.
    pub fn farewell(&self, shared: &Shared) {
        if let Some(target) = self.target {
            let message = ControlMessage::Goodbye { incarnation: shared.incarnation };
            shared.send(target, &Envelope::Control(message));
        }
    }

    /// All control nodes that are known: from the settings, and told by other control nodes.
    pub fn known(&self, shared: &Shared) -> Vec<SocketAddr> {
        let mut known = shared.settings().internal_seeds();
        known.extend(self.told.iter().copied());
        known.sort_unstable();
        known.dedup();
        known
    }

    /// A control node that is not the present target: one of the own zone if there is any.
    fn another(&self, shared: &Shared) -> Option<SocketAddr> {
        let zone = shared.zone();
        let own_zone = shared.registry(|registry| {
            let control = registry.nodes().filter(|node| node.role == Role::Control && node.zone == zone);
            control.map(|node| node.address).collect()
        });
        self.pick(own_zone).or_else(|| self.pick(self.known(shared))).or(self.target)
    }

    fn pick(&self, mut from: Vec<SocketAddr>) -> Option<SocketAddr> {
        from.retain(|address| Some(*address) != self.target);
        fastrand::choice(from)
    }
}

fn record(shared: &Shared) -> NodeRecord {
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
