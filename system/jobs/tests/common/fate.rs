//! What befalls the backends: the coordinator's changes, the registry's delays, and faults.

use gingerledge_jobs::backend::BackendEvent;

use super::disk::Disk;
use super::world::{identity, Cut, Happening, World};

impl World {
    /// One round of the coordinator, the registry, and fate.
    pub(super) fn coordinate(&mut self) {
        self.after(100, Happening::Coordinate);
        let alive: Vec<u64> = self.machines.iter().filter(|it| it.is_well()).map(|it| it.member).collect();
        // Reports come one by one.
        for machine in self.machines.iter().filter(|it| it.is_well()) {
            if let Some(backend) = machine.backend.as_ref().filter(|_| self.rng.u8(..100) < 30) {
                self.coordinator.report(machine.member, &backend.report(self.now).in_sync);
            }
        }
        let suspected = self.suspect(&alive);
        let rng = &mut self.rng;
        self.coordinator.plan(&suspected, |_| rng.u8(..100) < 40);
        // The registry passes over what a newer entry has replaced, and comes late.
        for (partition, record) in self.coordinator.records() {
            for member in alive.clone() {
                if self.rng.u8(..100) < 60 {
                    self.send(member, BackendEvent::Chain { partition, record: record.clone() });
                }
            }
        }
        if self.faults {
            self.fate(&alive);
        }
    }

    /// Those that the coordinator takes to be alive: now and then it is wrong about one, and one may have to leave.
    fn suspect(&mut self, alive: &[u64]) -> Vec<u64> {
        let mut believed = alive.to_vec();
        if self.faults && !alive.is_empty() && self.rng.u8(..100) < 5 {
            believed.remove(self.rng.usize(..believed.len()));
        }
        match self.coordinator.retiring {
            Some(member) if self.coordinator.is_empty(member) || !self.faults => {
                self.coordinator.retiring = None
            }
            None if self.faults && self.rng.u8(..100) < 5 => {
                self.coordinator.retiring = self.rng.choice(alive).copied();
            }
            _ => {}
        }
        believed
    }

    fn fate(&mut self, alive: &[u64]) {
        let all_well = alive.len() == self.machines.len();
        if !all_well || self.rng.u8(..100) >= 12 {
            return;
        }
        let backend = self.rng.usize(..self.machines.len());
        let pause = 200 + self.rng.u64(..2_500);
        match self.rng.u8(..10) {
            0 => {
                // Everything ends at once.
                for backend in 0..self.machines.len() {
                    self.crash(backend);
                    self.after(300, Happening::Return { backend });
                }
            }
            1 | 2 if self.coordinator.is_whole(alive) => {
                self.crash(backend);
                self.next_member += 1;
                self.machines[backend].member = self.next_member;
                self.machines[backend].disk = Disk::new(identity(self.next_member));
                self.after(pause, Happening::Return { backend });
            }
            3 | 4 => {
                self.machines[backend].cut = if self.rng.bool() { Cut::Peers } else { Cut::Everybody };
                self.after(pause, Happening::Return { backend });
            }
            5 => {
                self.machines[backend].stalled = true;
                self.after(pause, Happening::Return { backend });
            }
            _ => {
                self.crash(backend);
                self.after(pause, Happening::Return { backend });
            }
        }
    }
}
