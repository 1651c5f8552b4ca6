//! Chain changes by the coordinator, delays of the registry, and fault injection in a simulated cluster.

use gingerledge_jobs::backend::BackendEvent;

use super::cluster::{identity, Cluster, Isolation, SimulatedEvent};
use super::disk::Disk;

impl Cluster {
    /// Performs one step of the coordinator, the registry and the fault injection.
    pub(super) fn coordinate(&mut self) {
        self.after(100, SimulatedEvent::Coordinate);
        let alive: Vec<u64> = self
            .machines
            .iter()
            .filter(|machine| machine.is_healthy())
            .map(|machine| machine.member)
            .collect();
        // Each report arrives with a probability of 30 %, so the coordinator receives them at different times.
        for machine in self.machines.iter().filter(|machine| machine.is_healthy()) {
            if let Some(backend) = machine.backend.as_ref().filter(|_| self.rng.u8(..100) < 30) {
                self.coordinator.report(machine.member, &backend.report(self.now).in_sync);
            }
        }
        let presumed_alive = self.choose_presumed_alive(&alive);
        let rng = &mut self.rng;
        self.coordinator.plan(&presumed_alive, |_| rng.u8(..100) < 40);
        // The registry delivers the newest record of each partition with a probability of 60 %, so members receive records late
        // and miss records that have been replaced in the meantime.
        for (partition, record) in self.coordinator.records() {
            for member in alive.clone() {
                if self.rng.u8(..100) < 60 {
                    self.send(member, BackendEvent::ChainChanged { partition, record: record.clone() });
                }
            }
        }
        if self.has_faults {
            self.inject_fault(&alive);
        }
    }

    /// The members that the coordinator considers alive. While there are faults, a live member is sometimes missing. Also starts
    /// and ends the retirement of a member.
    fn choose_presumed_alive(&mut self, alive: &[u64]) -> Vec<u64> {
        let mut presumed_alive = alive.to_vec();
        if self.has_faults && !alive.is_empty() && self.rng.u8(..100) < 5 {
            presumed_alive.remove(self.rng.usize(..presumed_alive.len()));
        }
        match self.coordinator.retiring {
            Some(member) if self.coordinator.has_no_partitions(member) || !self.has_faults => {
                self.coordinator.retiring = None;
            }
            None if self.has_faults && self.rng.u8(..100) < 5 => {
                self.coordinator.retiring = self.rng.choice(alive).copied();
            }
            _ => {}
        }
        presumed_alive
    }

    fn inject_fault(&mut self, alive: &[u64]) {
        let is_all_healthy = alive.len() == self.machines.len();
        if !is_all_healthy || self.rng.u8(..100) >= 12 {
            return;
        }
        let backend = self.rng.usize(..self.machines.len());
        let fault_ms = 200 + self.rng.u64(..2_500);
        match self.rng.u8(..10) {
            0 => {
                // All backends crash at the same time.
                for backend in 0..self.machines.len() {
                    self.crash(backend);
                    self.after(300, SimulatedEvent::Restore { backend });
                }
            }
            1 | 2 if self.coordinator.is_in_sync(alive) => {
                self.crash(backend);
                self.next_member += 1;
                self.machines[backend].member = self.next_member;
                self.machines[backend].disk = Disk::new(identity(self.next_member));
                self.after(fault_ms, SimulatedEvent::Restore { backend });
            }
            3 | 4 => {
                self.machines[backend].isolation =
                    if self.rng.bool() { Isolation::Peers } else { Isolation::Complete };
                self.after(fault_ms, SimulatedEvent::Restore { backend });
            }
            5 => {
                self.machines[backend].is_disk_stalled = true;
                self.after(fault_ms, SimulatedEvent::Restore { backend });
            }
            _ => {
                self.crash(backend);
                self.after(fault_ms, SimulatedEvent::Restore { backend });
            }
        }
    }
}
