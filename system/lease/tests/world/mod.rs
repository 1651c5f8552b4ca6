//! Simulated processes with a lease: clocks of different rates, links that fail, freezes, restarts, and voters that
//! change. A witness sees at every step who holds the lease. Everything follows from one seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::Duration;

use gingerledge_lease::{Lease, LeaseAction, LeaseEvent, LeaseMessage, LeaseSettings, VoterId};

/// What kinds of trouble there are.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub restarts: bool,
    pub freezes: bool,
    pub cuts: bool,
    pub voter_changes: bool,
}

pub struct Process {
    pub lease: Lease,
    started_at: Duration,
    /// How fast its clock runs.
    rate: f64,
    pub frozen_until: Duration,
    life: u64,
    pub running: bool,
    timer: Option<Duration>,
    /// The newest epoch it was told of.
    epoch: u64,
    /// The newest epoch that it has sealed; on its disk.
    sealed: u64,
}

impl Process {
    fn clock(&self, now: Duration) -> Duration {
        (now - self.started_at).mul_f64(self.rate)
    }

    pub fn holds(&self, now: Duration) -> bool {
        self.running && self.lease.is_held(self.clock(now))
    }
}

enum Happens {
    Arrives {
        place: usize,
        from: VoterId,
        message: LeaseMessage,
    },
    Timer {
        place: usize,
        life: u64,
    },
    Starts {
        place: usize,
    },
    Trouble,
    /// A process learns of the newest epoch.
    Learns {
        place: usize,
        epoch: u64,
    },
}

pub struct World {
    pub seed: u64,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub settings: LeaseSettings,
    pub processes: Vec<Process>,
    pub trouble: Option<Trouble>,
    pub cut: HashSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    what: BTreeMap<u64, Happens>,
    number: u64,
    epochs: Vec<Vec<VoterId>>,
    pub acquisitions: u64,
    pub holders: Vec<(Duration, usize)>,
    highest_round: u64,
    /// Whether rounds must rise: not once voters have forgotten.
    rounds_rise: bool,
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl World {
    pub fn new(seed: u64, places: usize, voters: usize, trouble: Option<Trouble>) -> Self {
        let settings = LeaseSettings::new(millis(1000));
        let mut rng = fastrand::Rng::with_seed(seed);
        let processes = (0..places)
            .map(|place| Process {
                lease: Lease::new(VoterId(place as u64), settings.clone(), rng.u64(..)),
                started_at: Duration::ZERO,
                rate: 1.0 + 0.009 * (rng.f64() - 0.5),
                frozen_until: Duration::ZERO,
                life: 0,
                running: false,
                timer: None,
                epoch: 0,
                sealed: 0,
            })
            .collect();
        let rounds_rise = trouble.is_none_or(|trouble| !trouble.restarts);
        let mut world = Self {
            seed,
            rng,
            now: Duration::ZERO,
            settings,
            processes,
            trouble,
            cut: HashSet::new(),
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            number: 0,
            epochs: vec![(0..voters as u64).map(VoterId).collect()],
            acquisitions: 0,
            holders: Vec::new(),
            highest_round: 0,
            rounds_rise,
        };
        for place in 0..places {
            let delay = millis(world.rng.u64(0..300));
            world.after(delay, Happens::Starts { place });
        }
        if trouble.is_some() {
            world.after(millis(2000), Happens::Trouble);
        }
        world
    }

    fn after(&mut self, delay: Duration, what: Happens) {
        self.number += 1;
        self.what.insert(self.number, what);
        self.queue.push(Reverse((self.now + delay, self.number)));
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            self.now = at;
            if let Some(what) = self.what.remove(&number) {
                self.happens(what);
            }
            self.witness();
        }
        self.now = end;
    }

    /// Nobody holds the lease beside another.
    fn witness(&mut self) {
        let now = self.now;
        let holders: Vec<_> =
            (0..self.processes.len()).filter(|place| self.processes[*place].holds(now)).collect();
        assert!(holders.len() <= 1, "seed {}: {holders:?} hold the lease at {now:?}", self.seed);
        if let [holder] = holders[..] {
            if self.holders.last().is_none_or(|(_, last)| *last != holder) {
                self.holders.push((now, holder));
            }
        }
    }

    pub fn holder(&self) -> Option<usize> {
        (0..self.processes.len()).find(|place| self.processes[*place].holds(self.now))
    }

    fn happens(&mut self, what: Happens) {
        let place = match &what {
            Happens::Arrives { place, .. } | Happens::Timer { place, .. } | Happens::Learns { place, .. } => {
                *place
            }
            Happens::Starts { place } => return self.start(*place),
            Happens::Trouble => return self.make_trouble(),
        };
        let frozen_until = self.processes[place].frozen_until;
        if frozen_until > self.now {
            self.after(frozen_until - self.now, what);
            return;
        }
        match what {
            Happens::Arrives { place, from, message } => {
                self.event(place, LeaseEvent::Message { from, message })
            }
            Happens::Timer { place, life } if self.processes[place].life == life => {
                self.processes[place].timer = None;
                self.event(place, LeaseEvent::TimerExpired);
            }
            Happens::Learns { place, epoch } => self.learn(place, epoch),
            _ => {}
        }
    }

    fn start(&mut self, place: usize) {
        let founding = self.processes[place].life == 0 && self.epochs.len() == 1;
        let seed = self.rng.u64(..);
        let process = &mut self.processes[place];
        process.lease = Lease::new(VoterId(place as u64), self.settings.clone(), seed);
        process.started_at = self.now;
        process.life += 1;
        process.running = true;
        process.timer = None;
        let epoch = process.epoch.max(1);
        process.epoch = 0;
        self.event(place, LeaseEvent::Started { founding });
        let order = (0..self.processes.len() as u64).map(VoterId).collect();
        self.event(place, LeaseEvent::Candidates { order });
        // What it knew of the epochs is on its disk.
        self.learn(place, epoch);
        let sealed = self.processes[place].sealed;
        self.event(place, LeaseEvent::Sealed { epoch: sealed });
    }

    fn learn(&mut self, place: usize, epoch: u64) {
        if !self.processes[place].running || self.processes[place].epoch >= epoch {
            return;
        }
        self.processes[place].epoch = epoch;
        let voters = self.epochs[epoch as usize - 1].clone();
        self.event(place, LeaseEvent::Voters { epoch, voters });
    }

    pub fn event(&mut self, place: usize, event: LeaseEvent) {
        if !self.processes[place].running {
            return;
        }
        let mut out = Vec::new();
        let clock = self.processes[place].clock(self.now);
        self.processes[place].lease.handle(clock, event, &mut out);
        for action in out {
            match action {
                LeaseAction::Send { to, message } => self.send(place, to, message),
                LeaseAction::Acquired { generation, .. } => {
                    self.acquisitions += 1;
                    let rises = generation > self.highest_round || !self.rounds_rise;
                    assert!(
                        rises,
                        "seed {}: generation {generation} after {}",
                        self.seed, self.highest_round
                    );
                    self.highest_round = self.highest_round.max(generation);
                }
                LeaseAction::Renewed { .. } | LeaseAction::Lost { .. } => {}
            }
        }
        self.schedule_timer(place);
    }

    fn schedule_timer(&mut self, place: usize) {
        let now = self.now;
        let process = &mut self.processes[place];
        let Some(at) = process.lease.next_timer() else { return };
        let at = (process.started_at + at.div_f64(process.rate) + Duration::from_micros(50)).max(now);
        if process.timer.is_some_and(|timer| timer <= at) {
            return;
        }
        process.timer = Some(at);
        let life = process.life;
        self.after(at - now, Happens::Timer { place, life });
    }

    fn send(&mut self, place: usize, to: VoterId, message: LeaseMessage) {
        let target = to.0 as usize;
        if self.cut.contains(&(place, target)) || target >= self.processes.len() {
            return;
        }
        let late = if self.trouble.is_some() && self.rng.u8(..) < 4 { self.rng.u64(0..2_000_000) } else { 0 };
        let delay = Duration::from_micros(self.rng.u64(500..3000) + late);
        self.after(delay, Happens::Arrives { place: target, from: VoterId(place as u64), message });
    }

    fn make_trouble(&mut self) {
        let Some(trouble) = self.trouble else { return };
        let place = self.rng.usize(..self.processes.len());
        match self.rng.u8(0..6) {
            0 if trouble.restarts => self.restart(place),
            1 if trouble.restarts && self.rng.u8(0..4) == 0 => {
                (0..self.processes.len()).for_each(|place| self.restart(place));
            }
            2 if trouble.freezes => {
                self.processes[place].frozen_until = self.now + millis(self.rng.u64(10..3000));
            }
            3 if trouble.cuts => {
                let other = self.rng.usize(..self.processes.len());
                self.cut.insert((place, other));
                if self.rng.bool() {
                    self.cut.insert((other, place));
                }
            }
            4 if trouble.cuts => self.cut.clear(),
            5 if trouble.voter_changes => self.change_voters(),
            _ => {}
        }
        let delay = millis(self.rng.u64(10..1500));
        self.after(delay, Happens::Trouble);
    }

    pub fn restart(&mut self, place: usize) {
        if !self.processes[place].running {
            return;
        }
        self.processes[place].running = false;
        self.rounds_rise = false;
        self.processes[place].life += 1;
        let delay = millis(self.rng.u64(0..1500));
        self.after(delay, Happens::Starts { place });
    }

    /// Decides the next epoch as the chain does: a majority seals the present one, all learn of the next one later.
    fn change_voters(&mut self) {
        let epoch = self.epochs.len() as u64;
        let voters = self.epochs.last().cloned().unwrap_or_default();
        let majority = voters.len() / 2 + 1;
        let mut able: Vec<_> = voters.iter().map(|voter| voter.0 as usize).collect();
        able.retain(|place| {
            let process = &self.processes[*place];
            process.running && process.epoch == epoch && process.frozen_until <= self.now
        });
        if able.len() < majority {
            return;
        }
        self.rng.shuffle(&mut able);
        for place in able.into_iter().take(majority) {
            self.processes[place].sealed = epoch;
            self.event(place, LeaseEvent::Sealed { epoch });
        }
        let mut next = voters.clone();
        let outside: Vec<_> =
            (0..self.processes.len() as u64).map(VoterId).filter(|voter| !voters.contains(voter)).collect();
        if !outside.is_empty() && self.rng.bool() {
            let index = self.rng.usize(..next.len());
            next[index] = outside[self.rng.usize(..outside.len())];
        }
        self.epochs.push(next);
        for place in 0..self.processes.len() {
            let slow = if self.rng.u8(0..4) == 0 { self.rng.u64(0..5000) } else { 0 };
            let delay = millis(self.rng.u64(0..20) + slow);
            self.after(delay, Happens::Learns { place, epoch: epoch + 1 });
        }
    }

    /// Ends all trouble.
    pub fn heal(&mut self) {
        self.trouble = None;
        self.cut.clear();
        let epoch = self.epochs.len() as u64;
        for place in 0..self.processes.len() {
            self.after(millis(3500), Happens::Learns { place, epoch });
        }
    }
}
