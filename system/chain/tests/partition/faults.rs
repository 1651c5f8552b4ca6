//! The faults of the machines, and the decider that determines the views according to the members that appear alive.

use std::time::Duration;

use gingerledge_chain::{MemberId, View};

use crate::cluster::{Partition, SimulationEvent, CHAIN_LENGTH};
use crate::simulation::state_machine::StateMachine;
use crate::simulation::{millis, CATCH_UP};

impl Partition {
    /// Whether a member appears alive to the decider. While faults are enabled, a live member may also appear dead.
    pub fn appears_alive(&mut self, member: MemberId) -> bool {
        let now = self.now;
        let Some(machine) = self.machine_of(member) else { return false };
        let host = &self.machines[machine];
        let alive = host.replica.is_some() && host.frozen_until <= now;
        alive && (!self.faults_enabled || self.rng.u8(0..50) > 0)
    }

    /// Changes the chain if that is necessary and possible, and sends the current view to most machines, some of them late.
    pub fn decide_view(&mut self) {
        let members = self.view.chain.clone();
        let alive: Vec<_> = members.iter().copied().filter(|member| self.appears_alive(*member)).collect();
        let staying: Vec<_> = alive.iter().copied().filter(|member| self.in_sync.contains(member)).collect();
        let must_change = alive.len() < members.len() || members.len() < CHAIN_LENGTH;
        if must_change && !staying.is_empty() {
            let mut chain = staying;
            let mut others: Vec<_> =
                (0..self.machines.len()).map(|machine| self.machines[machine].identity).collect();
            self.rng.shuffle(&mut others);
            for other in others {
                if chain.len() < CHAIN_LENGTH && !chain.contains(&other) && self.appears_alive(other) {
                    chain.push(other);
                }
            }
            self.view = View { epoch: self.view.epoch + 1, chain };
            self.in_sync.clear();
        }
        for machine in 0..self.machines.len() {
            if self.rng.u8(0..4) > 0 {
                let extra_millis = if self.rng.u8(0..8) == 0 { self.rng.u64(0..2000) } else { 0 };
                let delay = millis(self.rng.u64(1..100) + extra_millis);
                let view = self.view.clone();
                self.after(delay, SimulationEvent::ViewArrives { machine, view });
            }
        }
        self.after(millis(300), SimulationEvent::DecideView);
    }

    pub fn kill(&mut self, machine: usize, restart_delay: Duration) {
        let host = &mut self.machines[machine];
        if host.replica.take().is_none() {
            return;
        }
        host.incarnation += 1;
        host.state_machine = StateMachine::default();
        host.frozen_until = Duration::ZERO;
        host.disk.lose_unsynced(&mut self.rng);
        self.mark_recovering(machine, restart_delay);
        self.after(restart_delay, SimulationEvent::ProcessStarts { machine });
    }

    pub fn mark_recovering(&mut self, machine: usize, duration: Duration) {
        self.machines[machine].recovering_until =
            self.machines[machine].recovering_until.max(self.now + duration + CATCH_UP);
    }

    pub fn inject_fault(&mut self) {
        if !self.faults_enabled {
            return;
        }
        let machine = self.rng.usize(..self.machines.len());
        let duration = millis(self.rng.u64(50..3000));
        match self.rng.u8(0..8) {
            0 | 1 => self.kill(machine, duration),
            2 => (0..self.machines.len()).for_each(|machine| self.kill(machine, millis(300))),
            3 => {
                self.machines[machine].frozen_until = self.now + duration;
                self.mark_recovering(machine, duration);
            }
            4 => {
                let other = self.rng.usize(..self.machines.len());
                self.blocked_links.insert((machine, other));
                self.mark_recovering(machine, Duration::from_secs(3600));
            }
            5 => self.heal(),
            _ => self.wipe_disk(machine),
        }
        let delay = millis(self.rng.u64(20..4000));
        self.after(delay, SimulationEvent::Fault);
    }

    /// Prints the complete state, to debug the run of one seed.
    pub fn dump(&self) {
        println!("{:?}: {:?} with {:?}", self.now, self.view, self.in_sync);
        for host in &self.machines {
            println!("{:?}: {:?}", host.identity, host.replica);
        }
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
        let until = self.now + CATCH_UP;
        for host in self.machines.iter_mut().filter(|host| host.recovering_until > self.now) {
            host.recovering_until = until;
        }
    }

    /// Wipes the disk of a machine, if no machine is under a fault or recovering and the chain is complete.
    pub fn wipe_disk(&mut self, machine: usize) {
        let is_complete = self.view.chain.len() == CHAIN_LENGTH && self.in_sync.len() == CHAIN_LENGTH;
        if !is_complete
            || self.machines.iter().any(|host| host.recovering_until > self.now)
            || self.now < CATCH_UP
        {
            return;
        }
        self.kill(machine, millis(500));
        self.last_identity += 1;
        self.machines[machine].identity = MemberId(self.last_identity);
        let disk = std::mem::take(&mut self.machines[machine].disk);
        self.lost_disks.push(disk);
    }
}
