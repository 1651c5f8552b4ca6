//! The coordinator's changes of chains, the delays of the registry, and the faults of a simulated cluster.

use gingerledge_jobs::backend::BackendEvent;

use super::cluster::{identity, Cluster, Isolation, SimulatedEvent};
use super::disk::Disk;

impl Cluster {
    /// One step of the coordinator, the registry, and the injection of faults.
    pub(super) fn coordinate(&mut self) {
        self.after(100, SimulatedEvent::Coordinate);
        let alive: Vec<u64> = self.machines.iter().filter(|it| it.is_healthy()).map(|it| it.member).collect();
        // Reports arrive one by one.
        for machine in self.machines.iter().filter(|it| it.is_healthy()) {
            if let Some(backend) = machine.backend.as_ref().filter(|_| self.rng.u8(..100) < 30) {
                self.coordinator.report(machine.member, &backend.report(self.now).in_sync);
            }
        }
        let believed = self.believed_alive(&alive);
        let rng = &mut self.rng;
        self.coordinator.plan(&believed, |_| rng.u8(..100) < 40);
        // The registry skips records that a newer one has replaced, and is late.
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

    /// Those that the coordinator believes to be alive: sometimes it is wrong about one, and sometimes one is retired.
    fn believed_alive(&mut self, alive: &[u64]) -> Vec<u64> {
        let mut believed = alive.to_vec();
        if self.has_faults && !alive.is_empty() && self.rng.u8(..100) < 5 {
            believed.remove(self.rng.usize(..believed.len()));
        }
        match self.coordinator.retiring {
            Some(member) if self.coordinator.is_empty(member) || !self.has_faults => {
                self.coordinator.retiring = None;
            }
            None if self.has_faults && self.rng.u8(..100) < 5 => {
                self.coordinator.retiring = self.rng.choice(alive).copied();
            }
            _ => {}
        }
        believed
    }

    fn inject_fault(&mut self, alive: &[u64]) {
        let all_healthy = alive.len() == self.machines.len();
        if !all_healthy || self.rng.u8(..100) >= 12 {
            return;
        }
        let backend = self.rng.usize(..self.machines.len());
        let pause = 200 + self.rng.u64(..2_500);
        match self.rng.u8(..10) {
            0 => {
                // All backends crash together.
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
                self.after(pause, SimulatedEvent::Restore { backend });
            }
            3 | 4 => {
                self.machines[backend].isolation =
                    if self.rng.bool() { Isolation::Peers } else { Isolation::Complete };
                self.after(pause, SimulatedEvent::Restore { backend });
            }
            5 => {
                self.machines[backend].is_disk_stalled = true;
                self.after(pause, SimulatedEvent::Restore { backend });
            }
            _ => {
                self.crash(backend);
                self.after(pause, SimulatedEvent::Restore { backend });
            }
        }
    }
}
