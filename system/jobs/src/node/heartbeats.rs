//! The heartbeats of a backend: plain ones to the control node that keeps its session, and ones with a status report to the
//! coordinator. Sans I/O.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{BackendReport, ControlMessage, NodeRecord};

/// Interval of the heartbeats to the control node that keeps the session.
const SESSION_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the heartbeats to the coordinator.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time without an acknowledgement after which a control node is replaced by the next one.
const ACK_TIMEOUT: Duration = Duration::from_millis(1200);
/// Maximum number of control nodes known in addition to the seeds.
const MAX_LEARNED_CONTROL_NODES: usize = 32;

/// Schedule and receivers of the heartbeats of one node.
#[derive(Debug)]
pub(super) struct Heartbeats {
    node: NodeRecord,
    sequence: u64,
    seed_control_nodes: Vec<SocketAddr>,
    learned_control_nodes: Vec<SocketAddr>,
    /// Index of the control node that keeps the session, in the seeds followed by the learned control nodes.
    current_index: usize,
    /// Time of the last acknowledgement from that control node, or of the switch to it.
    acknowledged_at: Duration,
    next_session_heartbeat: Duration,
    next_report_heartbeat: Duration,
}

impl Heartbeats {
    /// Creates a schedule whose first heartbeats are due immediately. `start_offset` selects the first control node, so that nodes
    /// are spread over the control nodes.
    pub(super) fn new(node: NodeRecord, seed_control_nodes: Vec<SocketAddr>, start_offset: u64) -> Self {
        let current_index =
            usize::try_from(start_offset % seed_control_nodes.len().max(1) as u64).unwrap_or(0);
        Self {
            node,
            sequence: 0,
            seed_control_nodes,
            learned_control_nodes: Vec::new(),
            current_index,
            acknowledged_at: Duration::ZERO,
            next_session_heartbeat: Duration::ZERO,
            next_report_heartbeat: Duration::ZERO,
        }
    }

    /// Time at which [`Heartbeats::poll_messages`] next returns messages.
    pub(super) fn next_timer(&self) -> Duration {
        self.next_session_heartbeat.min(self.next_report_heartbeat)
    }

    /// Returns the heartbeats that are due, with their receivers.
    pub(super) fn poll_messages(
        &mut self,
        now: Duration,
        coordinator: Option<SocketAddr>,
        report: impl FnOnce() -> BackendReport,
    ) -> Vec<(SocketAddr, ControlMessage)> {
        let mut messages = Vec::new();
        if now >= self.next_report_heartbeat {
            self.next_report_heartbeat = now + REPORT_INTERVAL;
            if let Some(coordinator) = coordinator {
                let report = Some(report());
                messages.push((coordinator, self.heartbeat(report)));
            }
        }
        if now >= self.next_session_heartbeat {
            self.next_session_heartbeat = now + SESSION_INTERVAL;
            self.replace_timed_out_control_node(now);
            if let Some(to) = self.control_nodes().get(self.current_index).copied() {
                messages.push((to, self.heartbeat(None)));
            }
        }
        messages
    }

    /// Handles the acknowledgement of a heartbeat, which lists all control nodes that the sender knows.
    pub(super) fn on_acknowledged(
        &mut self,
        now: Duration,
        from: SocketAddr,
        control_nodes: Vec<SocketAddr>,
    ) {
        if self.control_nodes().get(self.current_index) == Some(&from) {
            self.acknowledged_at = now;
        }
        let unlisted = control_nodes.into_iter().filter(|address| !self.seed_control_nodes.contains(address));
        let mut learned_control_nodes: Vec<_> = unlisted.take(MAX_LEARNED_CONTROL_NODES).collect();
        learned_control_nodes.sort_unstable();
        learned_control_nodes.dedup();
        self.learned_control_nodes = learned_control_nodes;
    }

    /// The messages that announce a graceful shutdown, with their receivers.
    pub(super) fn goodbye_messages(
        &self,
        coordinator: Option<SocketAddr>,
    ) -> Vec<(SocketAddr, ControlMessage)> {
        let message = ControlMessage::Goodbye { incarnation: self.node.incarnation };
        let mut receivers = self.control_nodes();
        receivers.extend(coordinator);
        receivers.sort_unstable();
        receivers.dedup();
        receivers.into_iter().map(|to| (to, message.clone())).collect()
    }

    fn control_nodes(&self) -> Vec<SocketAddr> {
        self.seed_control_nodes.iter().chain(&self.learned_control_nodes).copied().collect()
    }

    /// Moves the session to the next control node if the current one has timed out.
    fn replace_timed_out_control_node(&mut self, now: Duration) {
        if now >= self.acknowledged_at + ACK_TIMEOUT {
            self.acknowledged_at = now;
            self.current_index = (self.current_index + 1) % self.control_nodes().len().max(1);
        }
    }

    fn heartbeat(&mut self, report: Option<BackendReport>) -> ControlMessage {
        self.sequence += 1;
        ControlMessage::Heartbeat { node: self.node.clone(), sequence: self.sequence, report }
    }
}
