//! The trouble that comes to the machines, and whether the decider sees it.

use std::time::Duration;

use gingerledge_chain::{MemberId, View};

use crate::world::{millis, Happens, Partition, CATCH_UP, CHAIN};

impl Partition {
    /// Whether the decider believes that a place is there; it may well be wrong.
    pub fn seems_well(&mut self, member: MemberId) -> bool {
        let now = self.now;
        let Some(place) = self.place_of(member) else { return false };
        let host = &self.places[place];
        let well = host.replica.is_some() && host.frozen_until <= now;
        well && (!self.troubled || self.rng.u8(0..50) > 0)
    }

    /// Changes the chain where that is needed and possible, and tells the present view to everybody.
    pub fn decide(&mut self) {
        let members = self.view.chain.clone();
        let well: Vec<_> = members.iter().copied().filter(|member| self.seems_well(*member)).collect();
        let keep: Vec<_> = well.iter().copied().filter(|member| self.in_sync.contains(member)).collect();
        let changes = well.len() < members.len() || members.len() < CHAIN;
        if changes && !keep.is_empty() {
            let mut chain = keep;
            let mut others: Vec<_> =
                (0..self.places.len()).map(|place| self.places[place].identity).collect();
            self.rng.shuffle(&mut others);
            for other in others {
                if chain.len() < CHAIN && !chain.contains(&other) && self.seems_well(other) {
                    chain.push(other);
                }
            }
            self.view = View { epoch: self.view.epoch + 1, chain };
            self.in_sync.clear();
        }
        for place in 0..self.places.len() {
            if self.rng.u8(0..4) > 0 {
                let slow = if self.rng.u8(0..8) == 0 { self.rng.u64(0..2000) } else { 0 };
                let delay = millis(self.rng.u64(1..100) + slow);
                let view = self.view.clone();
                self.after(delay, Happens::Told { place, view });
            }
        }
        self.after(millis(300), Happens::Decider);
    }

    pub fn kill(&mut self, place: usize, back: Duration) {
        let host = &mut self.places[place];
        if host.replica.take().is_none() {
            return;
        }
        host.life += 1;
        host.applied = 0;
        host.hash = 0;
        host.frozen_until = Duration::ZERO;
        host.disk.lose(&mut self.rng);
        self.lost(place, back);
        self.after(back, Happens::Starts { place });
    }

    pub fn lost(&mut self, place: usize, span: Duration) {
        self.places[place].lost_until = self.places[place].lost_until.max(self.now + span + CATCH_UP);
    }

    pub fn trouble(&mut self) {
        if !self.troubled {
            return;
        }
        let place = self.rng.usize(..self.places.len());
        let span = millis(self.rng.u64(50..3000));
        match self.rng.u8(0..8) {
            0 | 1 => self.kill(place, span),
            2 => (0..self.places.len()).for_each(|place| self.kill(place, millis(300))),
            3 => {
                self.places[place].frozen_until = self.now + span;
                self.lost(place, span);
            }
            4 => {
                let other = self.rng.usize(..self.places.len());
                self.cut.insert((place, other));
                self.lost(place, Duration::from_secs(3600));
            }
            5 => self.heal(),
            _ => self.wipe(place),
        }
        let delay = millis(self.rng.u64(20..4000));
        self.after(delay, Happens::Trouble);
    }

    /// Prints all there is to know, for a run of one seed.
    pub fn dump(&self) {
        println!("{:?}: {:?} with {:?}", self.now, self.view, self.in_sync);
        for host in &self.places {
            println!("{:?}: {:?}", host.identity, host.replica);
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        let until = self.now + CATCH_UP;
        for host in self.places.iter_mut().filter(|host| host.lost_until > self.now) {
            host.lost_until = until;
        }
    }

    /// A disk is lost, where all others are well and the chain is whole.
    pub fn wipe(&mut self, place: usize) {
        let whole = self.view.chain.len() == CHAIN && self.in_sync.len() == CHAIN;
        if !whole || self.places.iter().any(|host| host.lost_until > self.now) || self.now < CATCH_UP {
            return;
        }
        self.kill(place, millis(500));
        self.identities += 1;
        self.places[place].identity = MemberId(self.identities);
        let disk = std::mem::take(&mut self.places[place].disk);
        self.lost_disks.push(disk);
    }
}
