//! Backends on a simulated network with simulated disks, and the faults that befall them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use gingerledge_chain::MemberId;
use gingerledge_jobs::backend::{Backend, BackendAction, BackendEvent, DiskContent, DiskRecord};
use gingerledge_jobs::partition::EdgeState;
use gingerledge_jobs::store::Asker;
use gingerledge_jobs::JobsSettings;
use gingerledge_protocol::Settings;
use gingerledge_wire::{JobsMessage, JobsRequest, PartitionRecord};

use super::coordinator::Coordinator;
use super::disk::Disk;

/// Partitions that are used.
pub const PARTITION_COUNT: u16 = 2;
const BACKENDS: usize = 4;
const MOST_DELAY_MS: u64 = 15;
const MOST_CLOCK_OFFSET_MS: u64 = 1_000_000_000;

/// A question on its way to a backend.
#[derive(Clone, Debug)]
pub struct Ask {
    pub asker: Asker,
    pub partition: u16,
    pub epoch: u64,
    pub request: JobsRequest,
}

/// Something that happens at a time.
pub(super) enum Happening {
    Tick { backend: usize, life: u64 },
    Sync { backend: usize, life: u64 },
    Deliver { to: u64, event: BackendEvent },
    ToEdge { to: SocketAddr, message: JobsMessage },
    Return { backend: usize },
    Coordinate,
    Wake,
}

/// Whom a machine doesn't reach, and the other way round.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Cut {
    Nobody,
    /// All but edges.
    Peers,
    Everybody,
}

pub(super) struct Machine {
    pub(super) member: u64,
    life: u64,
    pub(super) backend: Option<Backend>,
    pub(super) disk: Disk,
    last_token: u64,
    tick_at: Option<Duration>,
    syncing: bool,
    /// What the steady clock of this life showed when the world began: each life counts from somewhere else.
    clock_offset: Duration,
    pub(super) cut: Cut,
    /// Its disk does not answer.
    pub(super) stalled: bool,
}

/// Everything but the edges.
pub struct World {
    pub now: Duration,
    pub rng: Rng,
    pub coordinator: Coordinator,
    /// Edges that are there.
    pub edges: BTreeMap<u64, SocketAddr>,
    settings: JobsSettings,
    pub(super) machines: Vec<Machine>,
    queue: BTreeMap<(Duration, u64), Happening>,
    next: u64,
    pub(super) next_member: u64,
    /// How likely a message is lost, in percent.
    pub loss: u8,
    pub faults: bool,
}

/// The settings that all backends have.
pub fn settings() -> JobsSettings {
    let text = r#"{"nodeName":"n","role":"r","machineClass":"c","ip":"10.0.0.1","zone":"z","internalPorts":[1,2],
        "seeds":["10.0.0.2:1"],"faultTolerance":{"machines":1},"limits":{"memoryMb":64,"diskMb":128}}"#;
    JobsSettings::new(&Settings::parse(text.as_bytes()).unwrap())
}

impl World {
    pub fn new(seed: u64) -> Self {
        let members: Vec<u64> = (1..=BACKENDS as u64).collect();
        let coordinator = Coordinator::new(PARTITION_COUNT, &members);
        let machines = members.iter().map(|member| Machine::new(*member)).collect();
        let mut world = Self {
            now: Duration::ZERO,
            rng: Rng::with_seed(seed),
            coordinator,
            edges: BTreeMap::new(),
            settings: settings(),
            machines,
            queue: BTreeMap::new(),
            next: 0,
            next_member: BACKENDS as u64 + 1,
            loss: 3,
            faults: true,
        };
        for backend in 0..BACKENDS {
            world.start(backend);
        }
        world.after(100, Happening::Coordinate);
        world
    }

    /// Goes on to the next event; gives what an edge is sent. None once the time is over.
    pub fn step(&mut self, end: Duration) -> Option<Option<(SocketAddr, JobsMessage)>> {
        let ((at, _), happening) = self.queue.pop_first()?;
        if at > end {
            self.queue.insert((at, 0), happening);
            self.now = end;
            return None;
        }
        self.now = at;
        match happening {
            Happening::Tick { backend, life } => {
                if self.machines[backend].life == life && self.machines[backend].tick_at == Some(at) {
                    self.machines[backend].tick_at = None;
                    self.drive(backend, BackendEvent::Tick);
                }
            }
            Happening::Sync { backend, life } => self.sync(backend, life),
            Happening::Deliver { to, event } => {
                let reached =
                    |it: &Machine| it.cut == Cut::Nobody || (it.cut == Cut::Peers && is_from_edge(&event));
                let found = self.machines.iter().position(|it| it.member == to && reached(it));
                if let Some(backend) = found {
                    self.drive(backend, event);
                }
            }
            Happening::ToEdge { to, message } => return Some(Some((to, message))),
            Happening::Return { backend } => self.restore(backend),
            Happening::Coordinate => self.coordinate(),
            Happening::Wake => {}
        }
        Some(None)
    }

    /// Makes a step come at this time.
    pub fn wake_in(&mut self, milliseconds: u64) {
        self.after(milliseconds, Happening::Wake);
    }

    /// Sends a question to a member, with the chances of the network.
    pub fn ask(&mut self, member: u64, ask: Ask) {
        let Ask { asker, partition, epoch, request } = ask;
        self.send(member, BackendEvent::Ask { asker, partition, epoch, request });
    }

    /// The newest chain of a partition.
    pub fn chain(&self, partition: u16) -> &PartitionRecord {
        self.coordinator.record(partition)
    }

    /// Ends all faults and waits for what is left of them.
    pub fn heal(&mut self) {
        self.faults = false;
        self.loss = 0;
        for backend in 0..self.machines.len() {
            self.restore(backend);
        }
    }

    /// The backends that run.
    pub fn backends(&self) -> impl Iterator<Item = (u64, &Backend)> {
        self.machines.iter().filter_map(|it| it.backend.as_ref().map(|backend| (it.member, backend)))
    }

    pub(super) fn after(&mut self, milliseconds: u64, happening: Happening) {
        self.next += 1;
        let at = self.now + Duration::from_millis(milliseconds);
        self.queue.insert((at, self.next), happening);
    }

    pub(super) fn send(&mut self, to: u64, event: BackendEvent) {
        if self.rng.u8(..100) >= self.loss {
            let delay = 1 + self.rng.u64(..MOST_DELAY_MS);
            self.after(delay, Happening::Deliver { to, event });
        }
    }

    fn drive(&mut self, backend: usize, event: BackendEvent) {
        let machine = &mut self.machines[backend];
        let moment = self.now + machine.clock_offset;
        let Some(running) = machine.backend.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        running.handle(moment, event, &mut actions);
        let (from, cut) = (MemberId(machine.member), machine.cut);
        for action in actions {
            match action {
                BackendAction::SendMember { to, partition, message } => {
                    if cut == Cut::Nobody {
                        self.send(to.0, BackendEvent::Replica { partition, from, message });
                    }
                }
                BackendAction::SendEdge { to, message } => {
                    if cut != Cut::Everybody && self.rng.u8(..100) >= self.loss {
                        let delay = 1 + self.rng.u64(..MOST_DELAY_MS);
                        self.after(delay, Happening::ToEdge { to, message });
                    }
                }
                BackendAction::Persist { token, records } => {
                    self.machines[backend].last_token = token;
                    self.machines[backend].disk.append(token, records);
                }
            }
        }
        self.maybe_snapshot(backend);
        self.schedule(backend);
    }

    fn maybe_snapshot(&mut self, backend: usize) {
        let due = self.rng.u16(..500) == 0;
        let machine = &mut self.machines[backend];
        let Some(running) = machine.backend.as_ref().filter(|_| due) else {
            return;
        };
        if let Some(records) = running.checkpoint().unwrap() {
            machine.disk.snapshot(machine.last_token, records);
        }
    }

    fn schedule(&mut self, backend: usize) {
        let machine = &mut self.machines[backend];
        let life = machine.life;
        if machine.disk.is_busy() && !machine.syncing && !machine.stalled {
            machine.syncing = true;
            let delay = 1 + self.rng.u64(..8);
            self.after(delay, Happening::Sync { backend, life });
        }
        let machine = &mut self.machines[backend];
        let timer = machine.backend.as_ref().and_then(Backend::next_timer);
        let timer = timer.map(|timer| timer.saturating_sub(machine.clock_offset));
        let Some(timer) = timer.map(|timer| timer.max(self.now + Duration::from_millis(1))) else {
            return;
        };
        if machine.tick_at.is_none_or(|at| timer < at) {
            machine.tick_at = Some(timer);
            self.next += 1;
            self.queue.insert((timer, self.next), Happening::Tick { backend, life });
        }
    }

    fn sync(&mut self, backend: usize, life: u64) {
        let machine = &mut self.machines[backend];
        if machine.life != life {
            return;
        }
        machine.syncing = false;
        if machine.stalled {
            return;
        }
        match machine.disk.sync(&mut self.rng) {
            Some(token) => self.drive(backend, BackendEvent::Durable { token }),
            None => self.schedule(backend),
        }
    }

    pub(super) fn start(&mut self, backend: usize) {
        let seed = self.rng.u64(..);
        let clock_offset = Duration::from_millis(self.rng.u64(..MOST_CLOCK_OFFSET_MS));
        let machine = &mut self.machines[backend];
        machine.clock_offset = clock_offset;
        machine.life += 1;
        machine.tick_at = None;
        machine.syncing = false;
        machine.last_token = 0;
        let content = DiskContent::read(machine.disk.records()).unwrap();
        assert_eq!(content.member, Some(machine.member));
        machine.backend = Some(Backend::new(MemberId(machine.member), content, self.settings.clone(), seed));
        self.drive(backend, BackendEvent::Started);
        for (incarnation, address) in self.edges.clone() {
            self.drive(backend, BackendEvent::Edge { incarnation, state: EdgeState::There(address) });
        }
    }

    /// An edge comes or goes.
    pub fn set_edge(&mut self, incarnation: u64, address: Option<SocketAddr>) {
        match address {
            Some(address) => self.edges.insert(incarnation, address),
            None => self.edges.remove(&incarnation),
        };
        for backend in 0..self.machines.len() {
            let state = address.map_or(EdgeState::Ended, EdgeState::There);
            self.drive(backend, BackendEvent::Edge { incarnation, state });
        }
    }

    pub(super) fn restore(&mut self, backend: usize) {
        let machine = &mut self.machines[backend];
        machine.cut = Cut::Nobody;
        machine.stalled = false;
        if machine.backend.is_none() {
            self.start(backend);
        }
        self.schedule(backend);
    }

    pub(super) fn crash(&mut self, backend: usize) {
        let machine = &mut self.machines[backend];
        machine.backend = None;
        machine.life += 1;
        machine.disk.crash(&mut self.rng);
    }
}

impl Machine {
    fn new(member: u64) -> Self {
        Self {
            member,
            life: 0,
            backend: None,
            disk: Disk::new(identity(member)),
            last_token: 0,
            tick_at: None,
            syncing: false,
            clock_offset: Duration::ZERO,
            cut: Cut::Nobody,
            stalled: false,
        }
    }

    pub(super) fn is_well(&self) -> bool {
        self.backend.is_some() && self.cut == Cut::Nobody && !self.stalled
    }
}

fn is_from_edge(event: &BackendEvent) -> bool {
    matches!(event, BackendEvent::Ask { .. })
}

pub(super) fn identity(member: u64) -> Vec<u8> {
    DiskRecord::Identity(member).encode().unwrap()
}
