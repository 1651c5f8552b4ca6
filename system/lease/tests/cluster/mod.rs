//! Simulated processes with a lease: clocks of different rates, links that fail, pauses, restarts, and voters that change. After
//! every event a check counts the holders of the lease. The whole run is determined by one seed.

// Each test file uses only a part of this module.
#![allow(dead_code)]

mod clock;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::Duration;

pub use clock::ProcessClock;
use gingerledge_lease::{Lease, LeaseAction, LeaseEvent, LeaseMessage, LeaseSettings, VoterId};

/// Duration of a grant in all tests.
pub const GRANT_DURATION: Duration = Duration::from_millis(1000);

/// The settings of all tests.
pub fn settings() -> LeaseSettings {
    LeaseSettings::new(GRANT_DURATION)
}

/// The kinds of faults that are injected.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub restarts: bool,
    pub pauses: bool,
    pub network_partitions: bool,
    pub voter_changes: bool,
}

pub struct Process {
    pub lease: Lease,
    clock: ProcessClock,
    pub paused_until: Duration,
    incarnation: u64,
    pub is_running: bool,
    timer: Option<Duration>,
    /// The newest epoch that the process has learned.
    epoch: u64,
    /// The newest epoch that the process has sealed. It is stored on the disk, so that restarts keep it.
    sealed_epoch: u64,
}

impl Process {
    pub fn holds(&self, now: Duration) -> bool {
        self.is_running && self.lease.is_held(self.clock.read(now))
    }
}

enum SimulationEvent {
    MessageArrives {
        process_index: usize,
        from: VoterId,
        message: LeaseMessage,
    },
    Timer {
        process_index: usize,
        incarnation: u64,
    },
    ProcessStarts {
        process_index: usize,
    },
    Faults,
    /// A process learns of the newest epoch.
    EpochLearned {
        process_index: usize,
        epoch: u64,
    },
}

pub struct Cluster {
    pub seed: u64,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub settings: LeaseSettings,
    pub processes: Vec<Process>,
    pub faults: Option<Faults>,
    pub blocked_links: HashSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, SimulationEvent>,
    last_event_id: u64,
    epochs: Vec<Vec<VoterId>>,
    pub acquisitions: u64,
    pub holders: Vec<(Duration, usize)>,
    highest_generation: u64,
    /// Whether generations must increase, which is no longer guaranteed once voters have restarted.
    generations_must_rise: bool,
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Cluster {
    pub fn new(seed: u64, process_count: usize, voters: usize, faults: Option<Faults>) -> Self {
        let settings = settings();
        let mut rng = fastrand::Rng::with_seed(seed);
        let processes = (0..process_count)
            .map(|process_index| Process {
                lease: Lease::new(VoterId(process_index as u64), settings.clone(), rng.u64(..)),
                clock: ProcessClock { started_at: Duration::ZERO, rate: 1.0 + 0.009 * (rng.f64() - 0.5) },
                paused_until: Duration::ZERO,
                incarnation: 0,
                is_running: false,
                timer: None,
                epoch: 0,
                sealed_epoch: 0,
            })
            .collect();
        let generations_must_rise = faults.is_none_or(|faults| !faults.restarts);
        let mut cluster = Self {
            seed,
            rng,
            now: Duration::ZERO,
            settings,
            processes,
            faults,
            blocked_links: HashSet::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
            epochs: vec![(0..voters as u64).map(VoterId).collect()],
            acquisitions: 0,
            holders: Vec::new(),
            highest_generation: 0,
            generations_must_rise,
        };
        for process_index in 0..process_count {
            let delay = millis(cluster.rng.u64(0..300));
            cluster.after(delay, SimulationEvent::ProcessStarts { process_index });
        }
        if faults.is_some() {
            cluster.after(millis(2000), SimulationEvent::Faults);
        }
        cluster
    }

    fn after(&mut self, delay: Duration, event: SimulationEvent) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        self.queue.push(Reverse((self.now + delay, self.last_event_id)));
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, event_id))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&event_id) {
                self.process_event(event);
            }
            self.check_holders();
        }
        self.now = end;
    }

    /// Checks that at most one process holds the lease, and records each new holder.
    fn check_holders(&mut self) {
        let now = self.now;
        let holders: Vec<_> = (0..self.processes.len())
            .filter(|process_index| self.processes[*process_index].holds(now))
            .collect();
        assert!(holders.len() <= 1, "seed {}: {holders:?} hold the lease at {now:?}", self.seed);
        if let [holder] = holders[..] {
            if self.holders.last().is_none_or(|(_, last)| *last != holder) {
                self.holders.push((now, holder));
            }
        }
    }

    pub fn holder(&self) -> Option<usize> {
        (0..self.processes.len()).find(|process_index| self.processes[*process_index].holds(self.now))
    }

    fn process_event(&mut self, event: SimulationEvent) {
        let process_index = match &event {
            SimulationEvent::MessageArrives { process_index, .. }
            | SimulationEvent::Timer { process_index, .. }
            | SimulationEvent::EpochLearned { process_index, .. } => *process_index,
            SimulationEvent::ProcessStarts { process_index } => return self.start(*process_index),
            SimulationEvent::Faults => return self.inject_fault(),
        };
        let paused_until = self.processes[process_index].paused_until;
        if paused_until > self.now {
            self.after(paused_until - self.now, event);
            return;
        }
        match event {
            SimulationEvent::MessageArrives { process_index, from, message } => {
                self.handle_event(process_index, LeaseEvent::Message { from, message });
            }
            SimulationEvent::Timer { process_index, incarnation }
                if self.processes[process_index].incarnation == incarnation =>
            {
                self.processes[process_index].timer = None;
                self.handle_event(process_index, LeaseEvent::TimerExpired);
            }
            SimulationEvent::EpochLearned { process_index, epoch } => self.learn_epoch(process_index, epoch),
            _ => {}
        }
    }

    fn start(&mut self, process_index: usize) {
        let is_founding = self.processes[process_index].incarnation == 0 && self.epochs.len() == 1;
        let seed = self.rng.u64(..);
        let process = &mut self.processes[process_index];
        process.lease = Lease::new(VoterId(process_index as u64), self.settings.clone(), seed);
        process.clock.started_at = self.now;
        process.incarnation += 1;
        process.is_running = true;
        process.timer = None;
        let epoch = process.epoch.max(1);
        process.epoch = 0;
        self.handle_event(process_index, LeaseEvent::Started { is_founding });
        let order = (0..self.processes.len() as u64).map(VoterId).collect();
        self.handle_event(process_index, LeaseEvent::Candidates { order });
        // The epoch that the process had learned is on its disk.
        self.learn_epoch(process_index, epoch);
        let sealed_epoch = self.processes[process_index].sealed_epoch;
        self.handle_event(process_index, LeaseEvent::Sealed { epoch: sealed_epoch });
    }

    fn learn_epoch(&mut self, process_index: usize, epoch: u64) {
        if !self.processes[process_index].is_running || self.processes[process_index].epoch >= epoch {
            return;
        }
        self.processes[process_index].epoch = epoch;
        let voters = self.epochs[epoch as usize - 1].clone();
        self.handle_event(process_index, LeaseEvent::Voters { epoch, voters });
    }

    pub fn handle_event(&mut self, process_index: usize, event: LeaseEvent) {
        if !self.processes[process_index].is_running {
            return;
        }
        let mut out = Vec::new();
        let clock = self.processes[process_index].clock.read(self.now);
        self.processes[process_index].lease.handle(clock, event, &mut out);
        for action in out {
            match action {
                LeaseAction::Send { to, message } => self.send(process_index, to, message),
                LeaseAction::Acquired { generation, .. } => {
                    self.acquisitions += 1;
                    let is_higher = generation > self.highest_generation || !self.generations_must_rise;
                    assert!(
                        is_higher,
                        "seed {}: generation {generation} after {}",
                        self.seed, self.highest_generation
                    );
                    self.highest_generation = self.highest_generation.max(generation);
                }
                LeaseAction::Renewed { .. } | LeaseAction::Lost { .. } => {}
            }
        }
        self.schedule_timer(process_index);
    }

    fn schedule_timer(&mut self, process_index: usize) {
        let now = self.now;
        let process = &mut self.processes[process_index];
        let Some(at) = process.lease.next_timer() else { return };
        let at = (process.clock.true_time(at) + Duration::from_micros(50)).max(now);
        if process.timer.is_some_and(|timer| timer <= at) {
            return;
        }
        process.timer = Some(at);
        let incarnation = process.incarnation;
        self.after(at - now, SimulationEvent::Timer { process_index, incarnation });
    }

    fn send(&mut self, process_index: usize, to: VoterId, message: LeaseMessage) {
        let target = to.0 as usize;
        if self.blocked_links.contains(&(process_index, target)) || target >= self.processes.len() {
            return;
        }
        let extra_micros =
            if self.faults.is_some() && self.rng.u8(..) < 4 { self.rng.u64(0..2_000_000) } else { 0 };
        let delay = Duration::from_micros(self.rng.u64(500..3000) + extra_micros);
        self.after(
            delay,
            SimulationEvent::MessageArrives {
                process_index: target,
                from: VoterId(process_index as u64),
                message,
            },
        );
    }

    fn inject_fault(&mut self) {
        let Some(faults) = self.faults else { return };
        let process_index = self.rng.usize(..self.processes.len());
        match self.rng.u8(0..6) {
            0 if faults.restarts => self.restart(process_index),
            1 if faults.restarts && self.rng.u8(0..4) == 0 => {
                (0..self.processes.len()).for_each(|process_index| self.restart(process_index));
            }
            2 if faults.pauses => {
                self.processes[process_index].paused_until = self.now + millis(self.rng.u64(10..3000));
            }
            3 if faults.network_partitions => {
                let other = self.rng.usize(..self.processes.len());
                self.blocked_links.insert((process_index, other));
                if self.rng.bool() {
                    self.blocked_links.insert((other, process_index));
                }
            }
            4 if faults.network_partitions => self.blocked_links.clear(),
            5 if faults.voter_changes => self.change_voters(),
            _ => {}
        }
        let delay = millis(self.rng.u64(10..1500));
        self.after(delay, SimulationEvent::Faults);
    }

    pub fn restart(&mut self, process_index: usize) {
        if !self.processes[process_index].is_running {
            return;
        }
        self.processes[process_index].is_running = false;
        self.generations_must_rise = false;
        self.processes[process_index].incarnation += 1;
        let delay = millis(self.rng.u64(0..1500));
        self.after(delay, SimulationEvent::ProcessStarts { process_index });
    }

    /// Decides the next epoch as the chain does: a majority of the voters seals the current epoch, and all processes learn of the
    /// next one later.
    fn change_voters(&mut self) {
        let epoch = self.epochs.len() as u64;
        let voters = self.epochs.last().cloned().unwrap_or_default();
        let majority = voters.len() / 2 + 1;
        let mut available: Vec<_> = voters.iter().map(|voter| voter.0 as usize).collect();
        available.retain(|process_index| {
            let process = &self.processes[*process_index];
            process.is_running && process.epoch == epoch && process.paused_until <= self.now
        });
        if available.len() < majority {
            return;
        }
        self.rng.shuffle(&mut available);
        for process_index in available.into_iter().take(majority) {
            self.processes[process_index].sealed_epoch = epoch;
            self.handle_event(process_index, LeaseEvent::Sealed { epoch });
        }
        let mut next = voters.clone();
        let non_voters: Vec<_> =
            (0..self.processes.len() as u64).map(VoterId).filter(|voter| !voters.contains(voter)).collect();
        if !non_voters.is_empty() && self.rng.bool() {
            let index = self.rng.usize(..next.len());
            next[index] = non_voters[self.rng.usize(..non_voters.len())];
        }
        self.epochs.push(next);
        for process_index in 0..self.processes.len() {
            let extra_millis = if self.rng.u8(0..4) == 0 { self.rng.u64(0..5000) } else { 0 };
            let delay = millis(self.rng.u64(0..20) + extra_millis);
            self.after(delay, SimulationEvent::EpochLearned { process_index, epoch: epoch + 1 });
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.faults = None;
        self.blocked_links.clear();
        let epoch = self.epochs.len() as u64;
        for process_index in 0..self.processes.len() {
            self.after(millis(3500), SimulationEvent::EpochLearned { process_index, epoch });
        }
    }
}
