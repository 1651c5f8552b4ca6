//! Backends on a simulated network with simulated disks, clocks and crashes. Deterministic for a given seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use gingerledge_chain::MemberId;
use gingerledge_jobs::backend::{Backend, BackendAction, BackendEvent, DiskContent, DiskRecord};
use gingerledge_jobs::partition::{ClientRequest, EdgeState};
use gingerledge_jobs::JobsSettings;
use gingerledge_wire::{JobsMessage, PartitionRecord};

use super::coordinator::Coordinator;
use super::disk::Disk;
use super::settings::TestSettings;

/// Number of partitions that are used, starting from 0.
pub const PARTITION_COUNT: u16 = 2;
const BACKEND_COUNT: usize = 4;
const MAX_DELAY_MS: u64 = 15;
const MAX_CLOCK_OFFSET_MS: u64 = 1_000_000_000;

/// An event of the simulation.
pub(super) enum SimulatedEvent {
    TimerExpired { backend: usize, incarnation: u64 },
    Sync { backend: usize, incarnation: u64 },
    Deliver { to: u64, event: BackendEvent },
    ToEdge { to: SocketAddr, message: JobsMessage },
    Restore { backend: usize },
    Coordinate,
    Wake,
}

/// The peers from which a machine is isolated, in both directions.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Isolation {
    None,
    /// Isolated from all but edges.
    Peers,
    Complete,
}

/// A machine with the process and the disk of one backend.
pub(super) struct Machine {
    pub(super) member: u64,
    incarnation: u64,
    pub(super) backend: Option<Backend>,
    pub(super) disk: Disk,
    last_token: u64,
    timer_at: Option<Duration>,
    is_syncing: bool,
    /// Reading of the monotonic clock of this incarnation at the start of the simulation; different for each incarnation.
    clock_offset: Duration,
    pub(super) isolation: Isolation,
    /// Whether the disk completes no writes.
    pub(super) is_disk_stalled: bool,
}

/// The simulated cluster without its clients.
pub struct Cluster {
    pub now: Duration,
    pub rng: Rng,
    pub coordinator: Coordinator,
    /// Addresses of the running edges by incarnation.
    pub edges: BTreeMap<u64, SocketAddr>,
    settings: JobsSettings,
    pub(super) machines: Vec<Machine>,
    queue: BTreeMap<(Duration, u64), SimulatedEvent>,
    last_event_number: u64,
    pub(super) next_member: u64,
    /// Probability that a message is lost, in percent.
    pub loss_percent: u8,
    pub has_faults: bool,
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let members: Vec<u64> = (1..=BACKEND_COUNT as u64).collect();
        let coordinator = Coordinator::new(PARTITION_COUNT, &members);
        let machines = members.iter().map(|member| Machine::new(*member)).collect();
        let mut cluster = Self {
            now: Duration::ZERO,
            rng: Rng::with_seed(seed),
            coordinator,
            edges: BTreeMap::new(),
            settings: TestSettings { fault_tolerance: 1, memory_mb: 64, retention_s: None }.build(),
            machines,
            queue: BTreeMap::new(),
            last_event_number: 0,
            next_member: BACKEND_COUNT as u64 + 1,
            loss_percent: 3,
            has_faults: true,
        };
        for backend in 0..BACKEND_COUNT {
            cluster.start(backend);
        }
        cluster.after(100, SimulatedEvent::Coordinate);
        cluster
    }

    /// Handles the next event. Returns `Some(Some(..))` with the message if the event delivers one to an edge, and `None` once
    /// `end` is reached.
    pub fn step(&mut self, end: Duration) -> Option<Option<(SocketAddr, JobsMessage)>> {
        let ((at, _), event) = self.queue.pop_first()?;
        if at > end {
            self.queue.insert((at, 0), event);
            self.now = end;
            return None;
        }
        self.now = at;
        match event {
            SimulatedEvent::TimerExpired { backend, incarnation } => {
                if self.machines[backend].incarnation == incarnation
                    && self.machines[backend].timer_at == Some(at)
                {
                    self.machines[backend].timer_at = None;
                    self.handle_event(backend, BackendEvent::TimerExpired);
                }
            }
            SimulatedEvent::Sync { backend, incarnation } => self.sync(backend, incarnation),
            SimulatedEvent::Deliver { to, event } => {
                let is_reachable = |machine: &Machine| {
                    machine.isolation == Isolation::None
                        || (machine.isolation == Isolation::Peers && is_from_edge(&event))
                };
                let receiver =
                    self.machines.iter().position(|machine| machine.member == to && is_reachable(machine));
                if let Some(backend) = receiver {
                    self.handle_event(backend, event);
                }
            }
            SimulatedEvent::ToEdge { to, message } => return Some(Some((to, message))),
            SimulatedEvent::Restore { backend } => self.restore(backend),
            SimulatedEvent::Coordinate => self.coordinate(),
            SimulatedEvent::Wake => {}
        }
        Some(None)
    }

    /// Schedules a step that handles no event, so that the clients run their due actions.
    pub fn wake_in(&mut self, milliseconds: u64) {
        self.after(milliseconds, SimulatedEvent::Wake);
    }

    /// Sends a request to a member over the lossy network.
    pub fn send_request(&mut self, member: u64, partition: u16, request: ClientRequest) {
        self.send(member, BackendEvent::Request { partition, request });
    }

    /// The current chain of a partition.
    pub fn chain(&self, partition: u16) -> &PartitionRecord {
        self.coordinator.record(partition)
    }

    /// Ends all faults and restores all machines.
    pub fn end_faults(&mut self) {
        self.has_faults = false;
        self.loss_percent = 0;
        for backend in 0..self.machines.len() {
            self.restore(backend);
        }
    }

    /// The running backends by member.
    pub fn backends(&self) -> impl Iterator<Item = (u64, &Backend)> {
        self.machines
            .iter()
            .filter_map(|machine| machine.backend.as_ref().map(|backend| (machine.member, backend)))
    }

    pub(super) fn after(&mut self, milliseconds: u64, event: SimulatedEvent) {
        self.last_event_number += 1;
        let at = self.now + Duration::from_millis(milliseconds);
        self.queue.insert((at, self.last_event_number), event);
    }

    pub(super) fn send(&mut self, to: u64, event: BackendEvent) {
        if self.rng.u8(..100) >= self.loss_percent {
            let delay = 1 + self.rng.u64(..MAX_DELAY_MS);
            self.after(delay, SimulatedEvent::Deliver { to, event });
        }
    }

    fn handle_event(&mut self, backend: usize, event: BackendEvent) {
        let machine = &mut self.machines[backend];
        let local_now = self.now + machine.clock_offset;
        let Some(running_backend) = machine.backend.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        running_backend.handle(local_now, event, &mut actions);
        let (from, isolation) = (MemberId(machine.member), machine.isolation);
        for action in actions {
            match action {
                BackendAction::SendToMember { to, partition, message } => {
                    if isolation == Isolation::None {
                        self.send(to.0, BackendEvent::ReplicaMessage { partition, from, message });
                    }
                }
                BackendAction::SendToEdge { to, message } => {
                    if isolation != Isolation::Complete && self.rng.u8(..100) >= self.loss_percent {
                        let delay = 1 + self.rng.u64(..MAX_DELAY_MS);
                        self.after(delay, SimulatedEvent::ToEdge { to, message });
                    }
                }
                BackendAction::Persist { token, records } => {
                    self.machines[backend].last_token = token;
                    self.machines[backend].disk.append(token, records);
                }
            }
        }
        self.write_snapshot_sometimes(backend);
        self.schedule(backend);
    }

    fn write_snapshot_sometimes(&mut self, backend: usize) {
        let is_due = self.rng.u16(..500) == 0;
        let machine = &mut self.machines[backend];
        let Some(running_backend) = machine.backend.as_ref().filter(|_| is_due) else {
            return;
        };
        if let Some(records) = running_backend.checkpoint().unwrap() {
            machine.disk.snapshot(machine.last_token, records);
        }
    }

    fn schedule(&mut self, backend: usize) {
        let machine = &mut self.machines[backend];
        let incarnation = machine.incarnation;
        if machine.disk.is_busy() && !machine.is_syncing && !machine.is_disk_stalled {
            machine.is_syncing = true;
            let delay = 1 + self.rng.u64(..8);
            self.after(delay, SimulatedEvent::Sync { backend, incarnation });
        }
        let machine = &mut self.machines[backend];
        let timer = machine.backend.as_ref().and_then(Backend::next_timer);
        let timer = timer.map(|timer| timer.saturating_sub(machine.clock_offset));
        let Some(timer) = timer.map(|timer| timer.max(self.now + Duration::from_millis(1))) else {
            return;
        };
        if machine.timer_at.is_none_or(|at| timer < at) {
            machine.timer_at = Some(timer);
            self.last_event_number += 1;
            self.queue.insert(
                (timer, self.last_event_number),
                SimulatedEvent::TimerExpired { backend, incarnation },
            );
        }
    }

    fn sync(&mut self, backend: usize, incarnation: u64) {
        let machine = &mut self.machines[backend];
        if machine.incarnation != incarnation {
            return;
        }
        machine.is_syncing = false;
        if machine.is_disk_stalled {
            return;
        }
        match machine.disk.sync(&mut self.rng) {
            Some(token) => self.handle_event(backend, BackendEvent::Durable { token }),
            None => self.schedule(backend),
        }
    }

    pub(super) fn start(&mut self, backend: usize) {
        let seed = self.rng.u64(..);
        let clock_offset = Duration::from_millis(self.rng.u64(..MAX_CLOCK_OFFSET_MS));
        let machine = &mut self.machines[backend];
        machine.clock_offset = clock_offset;
        machine.incarnation += 1;
        machine.timer_at = None;
        machine.is_syncing = false;
        machine.last_token = 0;
        let content = DiskContent::read(machine.disk.records()).unwrap();
        assert_eq!(content.member, Some(machine.member));
        machine.backend = Some(Backend::new(MemberId(machine.member), content, self.settings.clone(), seed));
        self.handle_event(backend, BackendEvent::Started);
        for (incarnation, address) in self.edges.clone() {
            self.handle_event(
                backend,
                BackendEvent::EdgeChanged { incarnation, state: EdgeState::Reachable(address) },
            );
        }
    }

    /// Starts an edge at an address, or shuts it down with an announcement if there is none.
    pub fn set_edge(&mut self, incarnation: u64, address: Option<SocketAddr>) {
        match address {
            Some(address) => self.edges.insert(incarnation, address),
            None => self.edges.remove(&incarnation),
        };
        for backend in 0..self.machines.len() {
            let state = address.map_or(EdgeState::Ended, EdgeState::Reachable);
            self.handle_event(backend, BackendEvent::EdgeChanged { incarnation, state });
        }
    }

    pub(super) fn restore(&mut self, backend: usize) {
        let machine = &mut self.machines[backend];
        machine.isolation = Isolation::None;
        machine.is_disk_stalled = false;
        if machine.backend.is_none() {
            self.start(backend);
        }
        self.schedule(backend);
    }

    pub(super) fn crash(&mut self, backend: usize) {
        let machine = &mut self.machines[backend];
        machine.backend = None;
        machine.incarnation += 1;
        machine.disk.crash(&mut self.rng);
    }
}

impl Machine {
    fn new(member: u64) -> Self {
        Self {
            member,
            incarnation: 0,
            backend: None,
            disk: Disk::new(identity(member)),
            last_token: 0,
            timer_at: None,
            is_syncing: false,
            clock_offset: Duration::ZERO,
            isolation: Isolation::None,
            is_disk_stalled: false,
        }
    }

    pub(super) fn is_healthy(&self) -> bool {
        self.backend.is_some() && self.isolation == Isolation::None && !self.is_disk_stalled
    }
}

fn is_from_edge(event: &BackendEvent) -> bool {
    matches!(event, BackendEvent::Request { .. })
}

pub(super) fn identity(member: u64) -> Vec<u8> {
    DiskRecord::Identity(member).encode().unwrap()
}
