//! A simulated control group: processes, disks that lose unsynced writes in a power failure, links that fail, and invariants that
//! are checked at every step. The whole run is determined by one seed.

// Each test file uses only a part of this module.
#![allow(dead_code)]

mod actions;
mod faults;
mod host;
#[path = "../simulation/mod.rs"]
pub mod simulation;

use std::collections::HashSet;
use std::time::Duration;

use gingerledge_chain::{
    ChainEvent, ChainMessage, ControlChain, ControlChainSettings, MemberId, Membership, MembershipEvent,
};
use host::{Host, Process};
use simulation::disk::Disk;
use simulation::event_queue::EventQueue;
use simulation::invariants::InvariantChecker;
pub use simulation::millis;
use simulation::small_bounds;

/// An event of the simulation.
#[derive(Debug)]
pub enum SimulationEvent {
    /// A message reaches a machine.
    MessageArrives { machine: usize, from: MemberId, message: ChainMessage },
    /// A sync of a disk completes.
    DiskSynced { machine: usize, incarnation: u64 },
    /// A timer of a process expires.
    Timer { machine: usize, incarnation: u64 },
    /// A host has encoded a snapshot.
    SnapshotEncoded { machine: usize, incarnation: u64, index: u64, bytes: Vec<u8> },
    /// A process starts.
    ProcessStarts { machine: usize },
    /// A client submits a command or a read at a random machine.
    ClientRequest,
    /// A random fault is injected, if faults are enabled.
    Fault,
    /// A fault is injected at a machine that has just voted.
    TargetedFault { machine: usize, wipe_disk: bool },
    /// Hosts announce their members to each other.
    AnnounceMembers,
}

/// The size of a group: its fault tolerance, its founders and its machines including spare ones.
#[derive(Clone, Copy, Debug)]
pub struct ClusterShape {
    pub fault_tolerance: usize,
    pub founders: usize,
    pub machines: usize,
}

/// The simulated group.
pub struct Cluster {
    pub seed: u64,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub shape: ClusterShape,
    pub settings: ControlChainSettings,
    pub hosts: Vec<Host>,
    pub lost_disks: Vec<Disk>,
    pub invariants: InvariantChecker,
    /// Blocked links, as pairs of the sending and the receiving machine.
    pub blocked_links: HashSet<(usize, usize)>,
    /// Fraction of messages that are lost.
    pub message_loss: f64,
    /// Whether faults are injected.
    pub faults_enabled: bool,
    /// Whether faults are also injected at machines that have just voted.
    pub targeted_faults_enabled: bool,
    /// Time between client requests; the actual time is random, between a quarter and twice of it.
    pub client_interval: Duration,
    trace_events: bool,
    trace_messages: bool,
    queue: EventQueue<SimulationEvent>,
    next_command: u64,
    next_read: u64,
    next_identity: u64,
    /// The first identity of each machine.
    founders: Vec<MemberId>,
}

impl Cluster {
    pub fn new(seed: u64, shape: ClusterShape) -> Self {
        let mut settings = ControlChainSettings::new(shape.fault_tolerance);
        settings.replica = small_bounds(settings.replica);
        let founders: Vec<_> = (0..shape.founders).map(|machine| MemberId(machine as u64 + 1)).collect();
        let mut cluster = Self {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            shape,
            settings,
            hosts: (0..shape.machines).map(|machine| Host::new(MemberId(machine as u64 + 1))).collect(),
            lost_disks: Vec::new(),
            invariants: InvariantChecker::new(seed, shape.fault_tolerance, shape.founders),
            blocked_links: HashSet::new(),
            message_loss: 0.0,
            faults_enabled: true,
            targeted_faults_enabled: false,
            client_interval: millis(20),
            trace_messages: std::env::var_os("CHAIN_TRACE_MESSAGES").is_some(),
            trace_events: std::env::var_os("CHAIN_TRACE").is_some(),
            queue: EventQueue::new(),
            next_command: 0,
            next_read: 0,
            next_identity: 1000,
            founders,
        };
        for machine in 0..shape.machines {
            let delay = millis(cluster.rng.u64(0..300));
            cluster.after(delay, SimulationEvent::ProcessStarts { machine });
        }
        cluster.after(millis(500), SimulationEvent::ClientRequest);
        cluster.after(millis(350), SimulationEvent::AnnounceMembers);
        cluster
    }

    pub fn after(&mut self, delay: Duration, event: SimulationEvent) {
        self.queue.add(self.now + delay, event);
    }

    /// Runs the simulation for `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.process_event(event);
        }
        self.now = end;
    }

    fn process_event(&mut self, event: SimulationEvent) {
        let frozen = |cluster: &Self, machine: usize| {
            cluster.hosts[machine].frozen_until.filter(|until| *until > cluster.now)
        };
        let machine = match &event {
            SimulationEvent::MessageArrives { machine, .. }
            | SimulationEvent::DiskSynced { machine, .. }
            | SimulationEvent::Timer { machine, .. }
            | SimulationEvent::SnapshotEncoded { machine, .. } => Some(*machine),
            _ => None,
        };
        if let Some(until) = machine.and_then(|machine| frozen(self, machine)) {
            self.after(until - self.now, event);
            return;
        }
        match event {
            SimulationEvent::MessageArrives { machine, from, message } => {
                self.handle_event(machine, ChainEvent::Message { from, message });
            }
            SimulationEvent::DiskSynced { machine, incarnation } => self.on_disk_synced(machine, incarnation),
            SimulationEvent::Timer { machine, incarnation } => self.on_timer(machine, incarnation),
            SimulationEvent::SnapshotEncoded { machine, incarnation, index, bytes } => {
                if self.hosts[machine].incarnation == incarnation {
                    self.handle_event(machine, ChainEvent::SnapshotReady { index, bytes });
                }
            }
            SimulationEvent::ProcessStarts { machine } => self.start(machine),
            SimulationEvent::ClientRequest => self.run_client(),
            SimulationEvent::Fault => self.inject_fault(),
            SimulationEvent::TargetedFault { machine, wipe_disk } => {
                self.inject_targeted_fault(machine, wipe_disk);
            }
            SimulationEvent::AnnounceMembers => self.announce_all(),
        }
    }

    pub fn start(&mut self, machine: usize) {
        if self.hosts[machine].process.is_some() {
            return;
        }
        let seed = self.rng.u64(..);
        let host = &mut self.hosts[machine];
        let member = host.identity;
        let settings = self.settings.clone();
        let is_founder = host.disk.records.is_empty() && self.founders.get(machine) == Some(&member);
        let chain = match is_founder {
            true => ControlChain::bootstrap(member, self.founders.clone(), settings, seed),
            false => ControlChain::recover(member, host.disk.records.clone(), settings, seed),
        };
        host.incarnation += 1;
        host.process = Some(Process::new(chain, self.now));
        host.disk.discard_unsynced();
        host.sealed_epoch = host.disk.sealed_epoch();
        self.trace(machine, "starts");
        self.handle_event(machine, ChainEvent::Started);
        self.announce_to(machine);
    }

    fn announce_to(&mut self, machine: usize) {
        let others: Vec<_> = (0..self.hosts.len()).filter(|other| *other != machine).collect();
        for other in others {
            if self.blocked_links.contains(&(other, machine)) || self.hosts[other].process.is_none() {
                continue;
            }
            let (member, replaces) = (self.hosts[other].identity, self.hosts[other].replaced);
            self.handle_event(
                machine,
                ChainEvent::View(MembershipEvent::MemberAnnounced { member, replaces }),
            );
        }
    }

    fn announce_all(&mut self) {
        for machine in 0..self.hosts.len() {
            if self.hosts[machine].is_running(self.now) {
                self.announce_to(machine);
            }
        }
        self.extend_recovery();
        self.after(millis(500), SimulationEvent::AnnounceMembers);
    }

    fn on_timer(&mut self, machine: usize, incarnation: u64) {
        let host = &mut self.hosts[machine];
        if host.incarnation != incarnation {
            return;
        }
        if let Some(process) = &mut host.process {
            process.timer = None;
            self.handle_event(machine, ChainEvent::TimerExpired);
        }
    }

    /// Passes an event to a process and carries out its actions.
    pub fn handle_event(&mut self, machine: usize, event: ChainEvent) {
        let now = self.now;
        let Some(process) = &mut self.hosts[machine].process else { return };
        let mut out = Vec::new();
        process.chain.handle(now - process.started_at, event, &mut out);
        for action in out {
            self.carry_out(machine, action);
        }
        self.maybe_checkpoint(machine);
        self.schedule_timer(machine);
    }

    fn schedule_timer(&mut self, machine: usize) {
        let now = self.now;
        let incarnation = self.hosts[machine].incarnation;
        let Some(process) = &mut self.hosts[machine].process else { return };
        let Some(at) = process.chain.next_timer().map(|at| (process.started_at + at).max(now)) else {
            return;
        };
        if process.timer.is_some_and(|timer| timer <= at) {
            return;
        }
        process.timer = Some(at);
        self.after(at - now + Duration::from_micros(100), SimulationEvent::Timer { machine, incarnation });
    }

    fn run_client(&mut self) {
        let machine = self.rng.usize(..self.hosts.len());
        if self.hosts[machine].is_running(self.now) {
            if self.rng.bool() {
                self.submit(machine);
            } else {
                self.read(machine);
            }
        }
        let interval_micros = self.client_interval.as_micros() as u64;
        let delay = Duration::from_micros(self.rng.u64(interval_micros / 4..interval_micros * 2));
        self.after(delay, SimulationEvent::ClientRequest);
    }

    /// Submits a command to the member that is the head according to a machine.
    pub fn submit(&mut self, machine: usize) {
        self.next_command += 1;
        let command = self.next_command.to_le_bytes().to_vec();
        let head = self.hosts[machine].process.as_ref().and_then(|process| process.chain.head());
        let target = self.hosts.iter().position(|host| Some(host.identity) == head);
        if let Some(target) = target.filter(|target| self.hosts[*target].is_running(self.now)) {
            self.handle_event(target, ChainEvent::Submit { command });
        }
    }

    pub fn read(&mut self, machine: usize) {
        self.next_read += 1;
        self.invariants.on_read_started(self.next_read);
        self.handle_event(machine, ChainEvent::Read { token: self.next_read });
    }

    pub fn new_identity(&mut self) -> MemberId {
        self.next_identity += 1;
        MemberId(self.next_identity)
    }

    pub fn machine_of(&self, member: MemberId) -> Option<usize> {
        self.hosts.iter().position(|host| host.identity == member)
    }

    /// The newest membership known to any running process.
    pub fn newest_membership(&self) -> Option<&Membership> {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        processes.filter_map(|process| process.chain.membership()).max_by_key(|membership| membership.epoch)
    }

    /// Prints an event if `CHAIN_TRACE` is set.
    pub fn trace(&self, machine: usize, event: &str) {
        if self.trace_events {
            println!("{:?} machine {machine} {:?} {event}", self.now, self.hosts[machine].identity);
        }
    }

    /// Prints the complete state, to debug the run of one seed.
    pub fn dump(&self) {
        println!("{:?} blocked {:?}", self.now, self.blocked_links);
        for host in &self.hosts {
            println!("{:?} {:?}", host.identity, host.process.as_ref().map(|process| &process.chain));
        }
    }
}
