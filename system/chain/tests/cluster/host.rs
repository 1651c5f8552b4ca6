//! A simulated machine: its disk, its process, and the state in the memory of the process.

use std::time::Duration;

use gingerledge_chain::{ChainEvent, ControlChain, LogRecord, MemberId};

use super::simulation::disk::{Disk, Write};
use super::simulation::state_machine::StateMachine;
use super::{millis, Cluster, SimulationEvent};

/// A running process.
pub struct Process {
    pub chain: ControlChain,
    pub started_at: Duration,
    pub timer: Option<Duration>,
}

impl Process {
    pub fn new(chain: ControlChain, started_at: Duration) -> Self {
        Self { chain, started_at, timer: None }
    }
}

/// A simulated machine.
pub struct Host {
    pub identity: MemberId,
    /// The identity before the disk was wiped, if the machine kept its address.
    pub replaced: Option<MemberId>,
    pub incarnation: u64,
    pub process: Option<Process>,
    pub disk: Disk,
    pub frozen_until: Option<Duration>,
    /// Until this time the machine counts as under a fault or not yet recovered from one.
    pub recovering_until: Duration,
    /// The newest epoch that this member has sealed.
    pub sealed_epoch: u64,
    pub state_machine: StateMachine,
}

impl Host {
    pub fn new(identity: MemberId) -> Self {
        Self {
            identity,
            replaced: None,
            incarnation: 0,
            process: None,
            disk: Disk::default(),
            frozen_until: None,
            recovering_until: Duration::ZERO,
            sealed_epoch: 0,
            state_machine: StateMachine::default(),
        }
    }

    pub fn is_running(&self, now: Duration) -> bool {
        self.process.is_some() && self.frozen_until.is_none_or(|until| until <= now)
    }

    /// Ends the process and discards the state in its memory.
    pub fn stop(&mut self) {
        self.process = None;
        self.incarnation += 1;
        self.frozen_until = None;
        self.state_machine = StateMachine::default();
    }
}

impl Cluster {
    pub fn write(&mut self, machine: usize, token: u64, records: Vec<LogRecord>) {
        self.hosts[machine].disk.unsynced.push(Write::Append { token, records });
        self.sync(machine);
    }

    pub fn checkpoint(&mut self, machine: usize) {
        let host = &mut self.hosts[machine];
        let Some(process) = &host.process else { return };
        // While the host is carrying out actions, its state may lack entries that the member has already emitted.
        if process.chain.applied_index() != host.state_machine.applied_index() {
            return;
        }
        let state = host.state_machine.encode();
        if let Some(records) = process.chain.checkpoint(state) {
            host.disk.unsynced.push(Write::Replace { records });
            self.sync(machine);
        }
    }

    fn sync(&mut self, machine: usize) {
        let disk = &mut self.hosts[machine].disk;
        if !disk.start_sync() {
            return;
        }
        let stall = disk.stalled_until.saturating_sub(self.now);
        let delay = stall + disk.extra_delay + Duration::from_micros(self.rng.u64(2000..6000));
        let incarnation = self.hosts[machine].incarnation;
        self.after(delay, SimulationEvent::DiskSynced { machine, incarnation });
    }

    pub fn on_disk_synced(&mut self, machine: usize, incarnation: u64) {
        let host = &mut self.hosts[machine];
        if host.incarnation != incarnation {
            return;
        }
        if host.disk.stalled_until > self.now {
            let delay = host.disk.stalled_until - self.now + millis(1);
            self.after(delay, SimulationEvent::DiskSynced { machine, incarnation });
            return;
        }
        if let Some(token) = host.disk.complete_sync() {
            self.handle_event(machine, ChainEvent::Durable { token });
        }
        self.sync(machine);
    }
}
