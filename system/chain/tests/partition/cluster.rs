//! A simulated partition: replicas on machines with disks, and a decider that determines their views. Its views are valid, but
//! may arrive late or not at all.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use gingerledge_chain::{
    MemberId, Replica, ReplicaAction, ReplicaEvent, ReplicaMessage, ReplicaSettings, View, ViewEvent,
};

use crate::simulation::disk::{Disk, Write};
use crate::simulation::event_queue::EventQueue;
use crate::simulation::invariants::InvariantChecker;
use crate::simulation::state_machine::StateMachine;
use crate::simulation::{millis, small_bounds};

/// An event of the simulation.
pub enum SimulationEvent {
    MessageArrives {
        machine: usize,
        from: MemberId,
        message: ReplicaMessage,
    },
    DiskSynced {
        machine: usize,
        incarnation: u64,
    },
    Timer {
        machine: usize,
        incarnation: u64,
    },
    ProcessStarts {
        machine: usize,
    },
    /// A view reaches a machine.
    ViewArrives {
        machine: usize,
        view: View,
    },
    /// A report that a member is in sync reaches the decider.
    ReportArrives {
        member: MemberId,
        epoch: u64,
    },
    ClientRequest,
    DecideView,
    Fault,
}

/// A simulated machine.
pub struct Machine {
    pub identity: MemberId,
    pub replica: Option<Replica>,
    pub started_at: Duration,
    pub incarnation: u64,
    pub disk: Disk,
    pub state_machine: StateMachine,
    pub timer: Option<Duration>,
    pub frozen_until: Duration,
    /// Until this time the machine counts as under a fault or not yet recovered from one.
    pub recovering_until: Duration,
}

/// The simulated partition.
pub struct Partition {
    pub seed: u64,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub settings: ReplicaSettings,
    pub machines: Vec<Machine>,
    pub lost_disks: Vec<Disk>,
    pub invariants: InvariantChecker,
    pub blocked_links: HashSet<(usize, usize)>,
    queue: EventQueue<SimulationEvent>,
    /// The current view according to the decider.
    pub view: View,
    /// The members that have reported to the decider that they are in sync in the current view.
    pub in_sync: BTreeSet<MemberId>,
    pub faults_enabled: bool,
    pub last_command: u64,
    pub last_read: u64,
    pub last_identity: u64,
}

/// Length of a complete chain.
pub const CHAIN_LENGTH: usize = 2;

impl Partition {
    pub fn new(seed: u64, machines: usize) -> Self {
        let settings =
            small_bounds(ReplicaSettings { min_chain_length: CHAIN_LENGTH, ..ReplicaSettings::default() });
        let machine = |index: usize| Machine {
            identity: MemberId(index as u64 + 1),
            replica: None,
            started_at: Duration::ZERO,
            incarnation: 0,
            disk: Disk::default(),
            state_machine: StateMachine::default(),
            timer: None,
            frozen_until: Duration::ZERO,
            recovering_until: Duration::ZERO,
        };
        let view = View { epoch: 1, chain: (1..=CHAIN_LENGTH as u64).map(MemberId).collect() };
        let mut partition = Self {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            settings,
            machines: (0..machines).map(machine).collect(),
            lost_disks: Vec::new(),
            invariants: InvariantChecker::new(seed, CHAIN_LENGTH - 1, 0),
            blocked_links: HashSet::new(),
            queue: EventQueue::new(),
            view,
            in_sync: BTreeSet::new(),
            faults_enabled: true,
            last_command: 0,
            last_read: 0,
            last_identity: 100,
        };
        for machine in 0..machines {
            partition.after(millis(10 * machine as u64), SimulationEvent::ProcessStarts { machine });
        }
        partition.after(millis(500), SimulationEvent::ClientRequest);
        partition.after(millis(200), SimulationEvent::DecideView);
        partition.after(millis(1500), SimulationEvent::Fault);
        partition
    }

    pub fn after(&mut self, delay: Duration, event: SimulationEvent) {
        self.queue.add(self.now + delay, event);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.process_event(event);
        }
        self.now = end;
    }

    pub fn process_event(&mut self, event: SimulationEvent) {
        let machine = match &event {
            SimulationEvent::MessageArrives { machine, .. }
            | SimulationEvent::DiskSynced { machine, .. }
            | SimulationEvent::Timer { machine, .. }
            | SimulationEvent::ViewArrives { machine, .. } => Some(*machine),
            _ => None,
        };
        if let Some(until) =
            machine.map(|machine| self.machines[machine].frozen_until).filter(|until| *until > self.now)
        {
            self.after(until - self.now, event);
            return;
        }
        match event {
            SimulationEvent::MessageArrives { machine, from, message } => {
                self.handle_event(machine, ReplicaEvent::Message { from, message });
            }
            SimulationEvent::DiskSynced { machine, incarnation }
                if self.machines[machine].incarnation == incarnation =>
            {
                if let Some(token) = self.machines[machine].disk.complete_sync() {
                    self.handle_event(machine, ReplicaEvent::Durable { token });
                }
                self.sync(machine);
            }
            SimulationEvent::Timer { machine, incarnation }
                if self.machines[machine].incarnation == incarnation =>
            {
                self.machines[machine].timer = None;
                self.handle_event(machine, ReplicaEvent::TimerExpired);
            }
            SimulationEvent::ViewArrives { machine, view } => {
                self.handle_event(machine, ReplicaEvent::View(ViewEvent::Install { view }));
            }
            SimulationEvent::ReportArrives { member, epoch } if epoch == self.view.epoch => {
                self.in_sync.insert(member);
            }
            SimulationEvent::ProcessStarts { machine } => self.start(machine),
            SimulationEvent::ClientRequest => self.run_client(),
            SimulationEvent::DecideView => self.decide_view(),
            SimulationEvent::Fault => self.inject_fault(),
            _ => {}
        }
    }

    pub fn start(&mut self, machine: usize) {
        let seed = self.rng.u64(..);
        let now = self.now;
        let settings = self.settings.clone();
        let host = &mut self.machines[machine];
        if host.replica.is_some() {
            return;
        }
        host.replica = Some(Replica::recover(host.identity, &host.disk.records, settings, seed));
        host.started_at = now;
        host.incarnation += 1;
        host.timer = None;
        host.disk.discard_unsynced();
        self.handle_event(machine, ReplicaEvent::Started);
        self.handle_event(machine, ReplicaEvent::View(ViewEvent::FollowAsLearner));
    }

    pub fn handle_event(&mut self, machine: usize, event: ReplicaEvent) {
        let now = self.now;
        let host = &mut self.machines[machine];
        let Some(replica) = &mut host.replica else { return };
        let mut out = Vec::new();
        replica.handle(now - host.started_at, event, &mut out);
        let snapshot = out.contains(&ReplicaAction::TakeSnapshot);
        for action in out {
            self.carry_out(machine, action);
        }
        if snapshot {
            let host = &self.machines[machine];
            let (index, bytes) = (host.state_machine.applied_index(), host.state_machine.encode());
            self.handle_event(machine, ReplicaEvent::SnapshotReady { index, bytes });
        }
        if self.rng.u8(..) == 0 {
            self.checkpoint(machine);
        }
        self.schedule_timer(machine);
    }

    pub fn schedule_timer(&mut self, machine: usize) {
        let now = self.now;
        let host = &mut self.machines[machine];
        let Some(at) = host.replica.as_ref().and_then(Replica::next_timer) else { return };
        let at = (host.started_at + at).max(now) + Duration::from_micros(100);
        if host.timer.is_some_and(|timer| timer <= at) {
            return;
        }
        host.timer = Some(at);
        let incarnation = host.incarnation;
        self.after(at - now, SimulationEvent::Timer { machine, incarnation });
    }

    pub fn carry_out(&mut self, machine: usize, action: ReplicaAction) {
        let identity = self.machines[machine].identity;
        match action {
            ReplicaAction::Send { to, message } => self.send(machine, to, message),
            ReplicaAction::Persist { token, records } => {
                self.machines[machine].disk.unsynced.push(Write::Append { token, records });
                self.sync(machine);
            }
            ReplicaAction::Apply { index, command, should_reply } => {
                self.invariants.on_applied(identity, index, &command, should_reply);
                if should_reply {
                    let disks = self.machines.iter().map(|host| &host.disk).chain(&self.lost_disks);
                    let synced = disks.filter(|disk| disk.has_synced(index, &command));
                    self.invariants.on_acknowledged(index, synced.count());
                }
                self.machines[machine].state_machine.apply(self.seed, identity, index, &command);
            }
            ReplicaAction::InstallSnapshot { index, bytes } => {
                let state_machine = &mut self.machines[machine].state_machine;
                state_machine.install(index, &bytes);
                self.invariants.on_snapshot_installed(identity, index, state_machine.hash());
            }
            ReplicaAction::ReadReady { token, index } => self.invariants.on_read_ready(token, index),
            ReplicaAction::ReadFailed { token } => self.invariants.on_read_failed(token),
            ReplicaAction::BecameInSync { epoch } => {
                let delay = millis(self.rng.u64(1..400));
                self.after(delay, SimulationEvent::ReportArrives { member: identity, epoch });
            }
            _ => {}
        }
    }

    pub fn checkpoint(&mut self, machine: usize) {
        let host = &mut self.machines[machine];
        let Some(replica) = &host.replica else { return };
        if replica.applied_index() != host.state_machine.applied_index() {
            return;
        }
        if let Some(records) = replica.checkpoint(host.state_machine.encode()) {
            host.disk.unsynced.push(Write::Replace { records });
            self.sync(machine);
        }
    }

    pub fn sync(&mut self, machine: usize) {
        if self.machines[machine].disk.start_sync() {
            let incarnation = self.machines[machine].incarnation;
            let delay =
                Duration::from_micros(self.rng.u64(2000..6000)) + self.machines[machine].disk.extra_delay;
            self.after(delay, SimulationEvent::DiskSynced { machine, incarnation });
        }
    }

    pub fn send(&mut self, machine: usize, to: MemberId, message: ReplicaMessage) {
        let Some(target) = self.machine_of(to) else { return };
        if self.blocked_links.contains(&(machine, target)) {
            return;
        }
        let from = self.machines[machine].identity;
        let extra_micros = if self.rng.u8(..) == 0 { self.rng.u64(0..200_000) } else { 0 };
        let delay = Duration::from_micros(self.rng.u64(500..4000) + extra_micros);
        self.after(delay, SimulationEvent::MessageArrives { machine: target, from, message });
    }

    pub fn machine_of(&self, member: MemberId) -> Option<usize> {
        self.machines.iter().position(|host| host.identity == member)
    }

    pub fn run_client(&mut self) {
        let machine = self.rng.usize(..self.machines.len());
        if self.rng.bool() {
            self.last_command += 1;
            let command = self.last_command.to_le_bytes().to_vec();
            self.handle_event(machine, ReplicaEvent::Submit { command });
        } else if self.machines[machine].replica.is_some() {
            self.last_read += 1;
            self.invariants.on_read_started(self.last_read);
            self.handle_event(machine, ReplicaEvent::Read { token: self.last_read });
        }
        let delay = millis(self.rng.u64(2..20));
        self.after(delay, SimulationEvent::ClientRequest);
    }
}
