//! Random faults within the fault tolerance of the group, determined by the seed.

use std::time::Duration;

use super::simulation::{millis, CATCH_UP};
use super::{Cluster, SimulationEvent};

impl Cluster {
    /// Starts to inject faults at random times.
    pub fn start_faults(&mut self) {
        self.targeted_faults_enabled = true;
        let delay = millis(self.rng.u64(500..3000));
        self.after(delay, SimulationEvent::Fault);
    }

    pub fn inject_fault(&mut self) {
        if !self.faults_enabled {
            return;
        }
        let machine = self.rng.usize(..self.hosts.len());
        match self.rng.u8(0..14) {
            0 | 1 => self.kill(machine, millis(300)),
            2 => self.lose_power(machine),
            3 | 4 => self.freeze(machine),
            5 => self.isolate(machine),
            6 => self.block_both_ways(machine),
            7 => self.block_one_way(machine),
            8 => self.stall_disk(machine),
            9 | 10 => self.wipe_disk(machine),
            11 => self.restart_all(),
            12 => self.power_loss_with_wipes(),
            _ => self.toggle_message_loss(),
        }
        // Half of the faults follow shortly after the previous one.
        let delay = if self.rng.bool() { self.rng.u64(20..400) } else { self.rng.u64(500..8000) };
        self.after(millis(delay), SimulationEvent::Fault);
    }

    /// Injects a fault at a machine that has just voted.
    pub fn inject_targeted_fault(&mut self, machine: usize, wipe_disk: bool) {
        if !self.faults_enabled {
            return;
        }
        match self.rng.u8(0..6) {
            0 | 1 => self.lose_power(machine),
            2 => self.freeze(machine),
            3 => self.isolate(machine),
            _ if wipe_disk => self.wipe_disk(machine),
            _ => self.restart_all(),
        }
    }

    fn mark_recovering(&mut self, machine: usize, duration: Duration) {
        let end = self.now + duration + CATCH_UP;
        self.hosts[machine].recovering_until = self.hosts[machine].recovering_until.max(end);
    }

    /// Ends the process, and restarts it after a delay.
    pub fn kill(&mut self, machine: usize, restart_delay: Duration) {
        let host = &mut self.hosts[machine];
        if host.process.is_none() {
            return;
        }
        host.stop();
        host.disk.lose_unsynced(&mut self.rng);
        self.trace(machine, "is killed");
        self.mark_recovering(machine, restart_delay);
        self.after(restart_delay, SimulationEvent::ProcessStarts { machine });
    }

    fn lose_power(&mut self, machine: usize) {
        let restart_delay = millis(self.rng.u64(300..4000));
        self.kill(machine, restart_delay);
    }

    pub fn freeze(&mut self, machine: usize) {
        let duration = millis(self.rng.u64(50..4000));
        let end = self.now + duration;
        if self.hosts[machine].process.is_some() {
            let frozen = self.hosts[machine].frozen_until.unwrap_or_default();
            self.hosts[machine].frozen_until = Some(frozen.max(end));
            self.mark_recovering(machine, duration);
            self.trace(machine, &format!("freezes for {duration:?}"));
        }
    }

    fn isolate(&mut self, machine: usize) {
        self.trace(machine, "is isolated");
        let other_machines: Vec<_> = (0..self.hosts.len()).filter(|other| *other != machine).collect();
        for other in other_machines {
            self.blocked_links.insert((machine, other));
            self.blocked_links.insert((other, machine));
        }
        self.mark_recovering(machine, Duration::from_secs(3600));
    }

    fn block_both_ways(&mut self, machine: usize) {
        let other = self.rng.usize(..self.hosts.len());
        self.trace(machine, &format!("can't reach {other}"));
        self.blocked_links.insert((machine, other));
        self.blocked_links.insert((other, machine));
        self.mark_recovering(machine, Duration::from_secs(3600));
        self.mark_recovering(other, Duration::from_secs(3600));
    }

    fn block_one_way(&mut self, machine: usize) {
        let other = self.rng.usize(..self.hosts.len());
        self.trace(machine, &format!("can't reach {other}"));
        self.blocked_links.insert((machine, other));
        self.mark_recovering(machine, Duration::from_secs(3600));
        self.mark_recovering(other, Duration::from_secs(3600));
    }

    /// Restores all links and ends the loss of messages and the extra delays of disks.
    pub fn heal(&mut self) {
        self.trace(0, "and all others reach each other");
        self.blocked_links.clear();
        self.message_loss = 0.0;
        for host in &mut self.hosts {
            host.disk.extra_delay = Duration::ZERO;
            if host.recovering_until > self.now {
                host.recovering_until = self.now + CATCH_UP;
            }
        }
    }

    fn toggle_message_loss(&mut self) {
        if !self.blocked_links.is_empty() || self.message_loss > 0.0 || self.rng.bool() {
            self.heal();
        } else {
            self.message_loss = 0.2 * self.rng.f64();
            self.trace(0, &format!("and all others lose {} of the messages", self.message_loss));
            for machine in 0..self.hosts.len() {
                self.mark_recovering(machine, Duration::from_secs(3600));
            }
        }
    }

    fn stall_disk(&mut self, machine: usize) {
        let duration = millis(self.rng.u64(100..5000));
        self.trace(machine, &format!("'s disk stalls for {duration:?}"));
        let disk = &mut self.hosts[machine].disk;
        disk.stalled_until = disk.stalled_until.max(self.now + duration);
        if self.rng.bool() {
            disk.extra_delay = millis(self.rng.u64(0..150));
            self.mark_recovering(machine, Duration::from_secs(3600));
        }
        self.mark_recovering(machine, duration);
    }

    fn recovering_machines(&self, except: usize) -> usize {
        let is_recovering =
            |machine: &usize| *machine != except && self.hosts[*machine].recovering_until > self.now;
        (0..self.hosts.len()).filter(is_recovering).count()
    }

    /// Postpones the recovery of all machines while more of them are under faults than the group tolerates, since none can
    /// recover then.
    pub fn extend_recovery(&mut self) {
        if self.recovering_machines(usize::MAX) <= self.shape.fault_tolerance {
            return;
        }
        let end = self.now + CATCH_UP;
        for host in self.hosts.iter_mut().filter(|host| host.recovering_until > self.now) {
            host.recovering_until = host.recovering_until.max(end);
        }
    }

    /// Wipes the disk of a machine if the group tolerates that now.
    pub fn wipe_disk(&mut self, machine: usize) {
        if self.recovering_machines(machine) >= self.shape.fault_tolerance
            || self.now < millis(2000) + CATCH_UP
        {
            return;
        }
        self.force_wipe(machine);
    }

    /// Wipes the disk of a machine. It returns under another identity, at the same address or another one.
    pub fn force_wipe(&mut self, machine: usize) {
        let identity = self.new_identity();
        let same_address = self.rng.bool();
        self.trace(machine, &format!("loses its disk and becomes {identity:?}, same address {same_address}"));
        let host = &mut self.hosts[machine];
        host.stop();
        let disk = std::mem::take(&mut host.disk);
        self.lost_disks.push(disk);
        let host = &mut self.hosts[machine];
        host.replaced = same_address.then_some(host.identity);
        host.identity = identity;
        let restart_delay = millis(self.rng.u64(300..1500));
        self.mark_recovering(machine, restart_delay);
        self.after(restart_delay, SimulationEvent::ProcessStarts { machine });
    }

    /// Ends all processes, and restarts each within a second.
    pub fn restart_all(&mut self) {
        for machine in 0..self.hosts.len() {
            let restart_delay = millis(self.rng.u64(200..1000));
            self.kill(machine, restart_delay);
        }
        self.align_recovery();
    }

    /// Sets the recovery of all machines to the latest of them. After most of the group was down, it commits again only once
    /// enough machines are back.
    fn align_recovery(&mut self) {
        let last = self.hosts.iter().map(|host| host.recovering_until).max().unwrap_or_default();
        for host in &mut self.hosts {
            host.recovering_until = last;
        }
    }

    /// Makes all machines lose power, and wipes as many disks as the group tolerates.
    fn power_loss_with_wipes(&mut self) {
        let first_wiped = self.rng.usize(..self.hosts.len());
        let is_tolerable = self.recovering_machines(usize::MAX) == 0 && self.now > millis(2000) + CATCH_UP;
        let count = if is_tolerable { self.shape.fault_tolerance } else { 0 };
        let wiped: Vec<_> = (0..count).map(|index| (first_wiped + index) % self.hosts.len()).collect();
        for machine in 0..self.hosts.len() {
            match wiped.contains(&machine) {
                true => self.force_wipe(machine),
                false => self.lose_power(machine),
            }
        }
        self.align_recovery();
    }
}
