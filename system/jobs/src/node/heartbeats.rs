//! The heartbeats of a backend: to one control node, which keeps its session, and with a report to the coordinator. Sans I/O.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{BackendReport, ControlMessage, NodeRecord};

/// Time between heartbeats to a control node.
const SESSION_INTERVAL: Duration = Duration::from_millis(500);
/// Time between heartbeats to the coordinator.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// A control node that has not acknowledged for this long is replaced by the next one.
const ACK_TIMEOUT: Duration = Duration::from_millis(1200);
/// Bounds the control nodes remembered besides the seeds.
const MAX_LEARNED: usize = 32;

/// The heartbeats of one node.
#[derive(Debug)]
pub(super) struct Heartbeats {
    node: NodeRecord,
    sequence: u64,
    seeds: Vec<SocketAddr>,
    learned: Vec<SocketAddr>,
    /// Position of the control node that keeps the session.
    current: usize,
    /// When that control node last acknowledged.
    acknowledged_at: Duration,
    next_session: Duration,
    next_report: Duration,
}

impl Heartbeats {
    /// The first heartbeats are due immediately; `start` spreads nodes over the control nodes.
    pub(super) fn new(node: NodeRecord, seeds: Vec<SocketAddr>, start: u64) -> Self {
        let current = usize::try_from(start % seeds.len().max(1) as u64).unwrap_or(0);
        Self {
            node,
            sequence: 0,
            seeds,
            learned: Vec::new(),
            current,
            acknowledged_at: Duration::ZERO,
            next_session: Duration::ZERO,
            next_report: Duration::ZERO,
        }
    }

    /// When [`Heartbeats::poll_messages`] has messages next.
    pub(super) fn next_timer(&self) -> Duration {
        self.next_session.min(self.next_report)
    }

    /// The messages that are due.
    pub(super) fn poll_messages(
        &mut self,
        now: Duration,
        coordinator: Option<SocketAddr>,
        report: impl FnOnce() -> BackendReport,
    ) -> Vec<(SocketAddr, ControlMessage)> {
        let mut messages = Vec::new();
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            if let Some(coordinator) = coordinator {
                let report = Some(report());
                messages.push((coordinator, self.heartbeat(report)));
            }
        }
        if now >= self.next_session {
            self.next_session = now + SESSION_INTERVAL;
            self.replace_timed_out(now);
            if let Some(to) = self.control_nodes().get(self.current).copied() {
                messages.push((to, self.heartbeat(None)));
            }
        }
        messages
    }

    /// A control node has acknowledged a heartbeat, and lists all control nodes that it knows.
    pub(super) fn on_acknowledged(
        &mut self,
        now: Duration,
        from: SocketAddr,
        control_nodes: Vec<SocketAddr>,
    ) {
        if self.control_nodes().get(self.current) == Some(&from) {
            self.acknowledged_at = now;
        }
        let new = control_nodes.into_iter().filter(|address| !self.seeds.contains(address));
        let mut learned: Vec<_> = new.take(MAX_LEARNED).collect();
        learned.sort_unstable();
        learned.dedup();
        self.learned = learned;
    }

    /// The messages that announce a graceful shutdown.
    pub(super) fn goodbyes(&self, coordinator: Option<SocketAddr>) -> Vec<(SocketAddr, ControlMessage)> {
        let message = ControlMessage::Goodbye { incarnation: self.node.incarnation };
        let mut receivers = self.control_nodes();
        receivers.extend(coordinator);
        receivers.sort_unstable();
        receivers.dedup();
        receivers.into_iter().map(|to| (to, message.clone())).collect()
    }

    fn control_nodes(&self) -> Vec<SocketAddr> {
        self.seeds.iter().chain(&self.learned).copied().collect()
    }

    /// Moves the session to the next control node if the present one has timed out.
    fn replace_timed_out(&mut self, now: Duration) {
        if now >= self.acknowledged_at + ACK_TIMEOUT {
            self.acknowledged_at = now;
            self.current = (self.current + 1) % self.control_nodes().len().max(1);
        }
    }

    fn heartbeat(&mut self, report: Option<BackendReport>) -> ControlMessage {
        self.sequence += 1;
        ControlMessage::Heartbeat { node: self.node.clone(), sequence: self.sequence, report }
    }
}
