//! Whom a backend tells that it lives, and when: one control node, and the coordinator with a report. Sans I/O.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{BackendReport, ControlMessage, NodeRecord};

/// Time between heartbeats to a control node.
const SESSION_EVERY: Duration = Duration::from_millis(500);
/// Time between heartbeats to the coordinator.
const REPORT_EVERY: Duration = Duration::from_millis(300);
/// A control node that hasn't answered for this long is left for the next one.
const SILENCE: Duration = Duration::from_millis(1200);
/// The most control nodes remembered besides the seeds.
const MOST_LEARNED: usize = 32;

/// The heartbeats of one node.
#[derive(Debug)]
pub(super) struct Heartbeats {
    node: NodeRecord,
    sequence: u64,
    seeds: Vec<SocketAddr>,
    learned: Vec<SocketAddr>,
    /// Which control node is told now.
    current: usize,
    answered: Duration,
    next_session: Duration,
    next_report: Duration,
}

impl Heartbeats {
    /// Heartbeats that begin at once; `start` spreads nodes over the control nodes.
    pub fn new(node: NodeRecord, seeds: Vec<SocketAddr>, start: u64) -> Self {
        let current = usize::try_from(start % seeds.len().max(1) as u64).unwrap_or(0);
        Self {
            node,
            sequence: 0,
            seeds,
            learned: Vec::new(),
            current,
            answered: Duration::ZERO,
            next_session: Duration::ZERO,
            next_report: Duration::ZERO,
        }
    }

    /// When [`Heartbeats::due`] has something next.
    pub fn next_timer(&self) -> Duration {
        self.next_session.min(self.next_report)
    }

    /// What is to be sent now.
    pub fn due(
        &mut self,
        now: Duration,
        coordinator: Option<SocketAddr>,
        report: impl FnOnce() -> BackendReport,
    ) -> Vec<(SocketAddr, ControlMessage)> {
        let mut messages = Vec::new();
        if now >= self.next_report {
            self.next_report = now + REPORT_EVERY;
            if let Some(coordinator) = coordinator {
                let report = Some(report());
                messages.push((coordinator, self.beat(report)));
            }
        }
        if now >= self.next_session {
            self.next_session = now + SESSION_EVERY;
            self.leave_silent(now);
            if let Some(to) = self.control().get(self.current).copied() {
                messages.push((to, self.beat(None)));
            }
        }
        messages
    }

    /// A control node has answered and named others.
    pub fn taken(&mut self, now: Duration, from: SocketAddr, control: Vec<SocketAddr>) {
        if self.control().get(self.current) == Some(&from) {
            self.answered = now;
        }
        let new = control.into_iter().filter(|address| !self.seeds.contains(address));
        let mut learned: Vec<_> = new.take(MOST_LEARNED).collect();
        learned.sort_unstable();
        learned.dedup();
        self.learned = learned;
    }

    /// What is sent before a planned end.
    pub fn farewells(&self, coordinator: Option<SocketAddr>) -> Vec<(SocketAddr, ControlMessage)> {
        let message = ControlMessage::Goodbye { incarnation: self.node.incarnation };
        let mut receivers = self.control();
        receivers.extend(coordinator);
        receivers.sort_unstable();
        receivers.dedup();
        receivers.into_iter().map(|to| (to, message.clone())).collect()
    }

    fn control(&self) -> Vec<SocketAddr> {
        self.seeds.iter().chain(&self.learned).copied().collect()
    }

    fn leave_silent(&mut self, now: Duration) {
        if now >= self.answered + SILENCE {
            self.answered = now;
            self.current = (self.current + 1) % self.control().len().max(1);
        }
    }

    fn beat(&mut self, report: Option<BackendReport>) -> ControlMessage {
        self.sequence += 1;
        ControlMessage::Heartbeat { node: self.node.clone(), sequence: self.sequence, report }
    }
}
