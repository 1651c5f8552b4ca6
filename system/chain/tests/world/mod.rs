//! A simulated control group: processes, disks that forget what a loss of power loses, links that fail, and a ledger
//! that knows what was acknowledged. Everything follows from one seed.
#![allow(dead_code)]

pub mod carry;
pub mod disk;
pub mod faults;
pub mod host;
pub mod ledger;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Duration;

use gingerledge_chain::{
    ChainEvent, ChainMessage, ControlChain, ControlChainSettings, MemberId, MembershipEvent,
};
use host::{Host, Process};
use ledger::Ledger;

/// What comes at a time.
#[derive(Debug)]
pub enum Happens {
    /// A message reaches a place.
    Arrives { place: usize, from: MemberId, message: ChainMessage },
    /// A sync of a disk ends.
    Synced { place: usize, life: u64 },
    /// A timer of a process.
    Timer { place: usize, life: u64 },
    /// The host hands over a snapshot it was asked for.
    Snapshot { place: usize, life: u64, index: u64, bytes: Vec<u8> },
    /// A process starts.
    Starts { place: usize },
    /// A client submits or reads somewhere.
    Client,
    /// Trouble, if there is any left.
    Trouble,
    /// Trouble at a place that has just done something that matters.
    Strike { place: usize, wipe: bool },
    /// Hosts tell each other who they are.
    Announce,
}

struct Scheduled {
    at: Duration,
    number: u64,
    what: Happens,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The shape of a group.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub fault_tolerance: usize,
    pub founders: usize,
    pub places: usize,
}

/// The simulated group.
pub struct World {
    pub seed: u64,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub shape: Shape,
    pub settings: ControlChainSettings,
    pub hosts: Vec<Host>,
    pub lost_disks: Vec<disk::Disk>,
    pub ledger: Ledger,
    /// Links that are cut, from place to place.
    pub cut: HashSet<(usize, usize)>,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Whether trouble still comes.
    pub troubled: bool,
    /// Whether those that vote or acknowledge are struck now and then.
    pub striking: bool,
    pub clients_every: Duration,
    trace: bool,
    trace_messages: bool,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    next_command: u64,
    next_read: u64,
    next_identity: u64,
    /// The first identity at each place.
    founders: Vec<MemberId>,
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl World {
    pub fn new(seed: u64, shape: Shape) -> Self {
        let mut settings = ControlChainSettings::new(shape.fault_tolerance);
        settings.replica.batch_entries = 4;
        settings.replica.max_inflight_entries = 16;
        settings.replica.retain_entries = 20;
        settings.replica.chunk_bytes = 16;
        let founders: Vec<_> = (0..shape.founders).map(|place| MemberId(place as u64 + 1)).collect();
        let mut world = Self {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            shape,
            settings,
            hosts: (0..shape.places).map(|place| Host::new(MemberId(place as u64 + 1))).collect(),
            lost_disks: Vec::new(),
            ledger: Ledger::new(seed, shape.fault_tolerance, shape.founders),
            cut: HashSet::new(),
            loss: 0.0,
            troubled: true,
            striking: false,
            clients_every: millis(20),
            trace_messages: std::env::var_os("CHAIN_TRACE_MESSAGES").is_some(),
            trace: std::env::var_os("CHAIN_TRACE").is_some(),
            queue: BinaryHeap::new(),
            scheduled: 0,
            next_command: 0,
            next_read: 0,
            next_identity: 1000,
            founders,
        };
        for place in 0..shape.places {
            let delay = millis(world.rng.u64(0..300));
            world.after(delay, Happens::Starts { place });
        }
        world.after(millis(500), Happens::Client);
        world.after(millis(350), Happens::Announce);
        world
    }

    pub fn after(&mut self, delay: Duration, what: Happens) {
        self.scheduled += 1;
        let scheduled = Scheduled { at: self.now + delay, number: self.scheduled, what };
        self.queue.push(Reverse(scheduled));
    }

    /// Runs for a span.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            if let Some(Reverse(next)) = self.queue.pop() {
                self.now = next.at;
                self.happens(next.what);
            }
        }
        self.now = end;
    }

    fn happens(&mut self, what: Happens) {
        let frozen =
            |world: &Self, place: usize| world.hosts[place].frozen_until.filter(|until| *until > world.now);
        let place = match &what {
            Happens::Arrives { place, .. }
            | Happens::Synced { place, .. }
            | Happens::Timer { place, .. }
            | Happens::Snapshot { place, .. } => Some(*place),
            _ => None,
        };
        if let Some(until) = place.and_then(|place| frozen(self, place)) {
            self.after(until - self.now, what);
            return;
        }
        match what {
            Happens::Arrives { place, from, message } => {
                self.event(place, ChainEvent::Message { from, message })
            }
            Happens::Synced { place, life } => self.synced(place, life),
            Happens::Timer { place, life } => self.timer(place, life),
            Happens::Snapshot { place, life, index, bytes } => {
                if self.hosts[place].life == life {
                    self.event(place, ChainEvent::SnapshotReady { index, bytes });
                }
            }
            Happens::Starts { place } => self.start(place),
            Happens::Client => self.client(),
            Happens::Trouble => self.trouble(),
            Happens::Strike { place, wipe } => self.strike(place, wipe),
            Happens::Announce => self.announce(),
        }
    }

    pub fn start(&mut self, place: usize) {
        if self.hosts[place].process.is_some() || self.hosts[place].removed {
            return;
        }
        let seed = self.rng.u64(..);
        let host = &mut self.hosts[place];
        let me = host.identity;
        let settings = self.settings.clone();
        let founds = host.disk.records.is_empty() && self.founders.get(place) == Some(&me);
        let chain = match founds {
            true => ControlChain::found(me, self.founders.clone(), settings, seed),
            false => ControlChain::recover(me, host.disk.records.clone(), settings, seed),
        };
        host.life += 1;
        host.process = Some(Process::new(chain, self.now));
        host.disk.restart();
        host.sealed = host.disk.sealed();
        self.note(place, "starts");
        self.event(place, ChainEvent::Started);
        self.announce_to(place);
    }

    fn announce_to(&mut self, place: usize) {
        let others: Vec<_> = (0..self.hosts.len()).filter(|other| *other != place).collect();
        for other in others {
            if self.cut.contains(&(other, place)) || self.hosts[other].process.is_none() {
                continue;
            }
            let (member, replaces) = (self.hosts[other].identity, self.hosts[other].replaced);
            self.event(place, ChainEvent::View(MembershipEvent::MemberAnnounced { member, replaces }));
        }
    }

    fn announce(&mut self) {
        for place in 0..self.hosts.len() {
            if self.hosts[place].is_running(self.now) {
                self.announce_to(place);
            }
        }
        self.keep_lost();
        self.after(millis(500), Happens::Announce);
    }

    fn timer(&mut self, place: usize, life: u64) {
        let host = &mut self.hosts[place];
        if host.life != life {
            return;
        }
        if let Some(process) = &mut host.process {
            process.timer = None;
            self.event(place, ChainEvent::TimerExpired);
        }
    }

    /// Gives an event to a process and does what it wants.
    pub fn event(&mut self, place: usize, event: ChainEvent) {
        let now = self.now;
        let Some(process) = &mut self.hosts[place].process else { return };
        let mut out = Vec::new();
        process.chain.handle(now - process.started_at, event, &mut out);
        for action in out {
            self.act(place, action);
        }
        self.maybe_checkpoint(place);
        self.schedule_timer(place);
    }

    fn schedule_timer(&mut self, place: usize) {
        let now = self.now;
        let life = self.hosts[place].life;
        let Some(process) = &mut self.hosts[place].process else { return };
        let Some(at) = process.chain.next_timer().map(|at| (process.started_at + at).max(now)) else {
            return;
        };
        if process.timer.is_some_and(|timer| timer <= at) {
            return;
        }
        process.timer = Some(at);
        self.after(at - now + Duration::from_micros(100), Happens::Timer { place, life });
    }

    fn client(&mut self) {
        let place = self.rng.usize(..self.hosts.len());
        if self.hosts[place].is_running(self.now) {
            if self.rng.bool() {
                self.submit(place);
            } else {
                self.read(place);
            }
        }
        let every = self.clients_every.as_micros() as u64;
        let delay = Duration::from_micros(self.rng.u64(every / 4..every * 2));
        self.after(delay, Happens::Client);
    }

    /// Submits a command at the head that a place believes in.
    pub fn submit(&mut self, place: usize) {
        self.next_command += 1;
        let command = self.next_command.to_le_bytes().to_vec();
        let head = self.hosts[place].process.as_ref().and_then(|process| process.chain.head());
        let target = self.hosts.iter().position(|host| Some(host.identity) == head);
        if let Some(target) = target.filter(|target| self.hosts[*target].is_running(self.now)) {
            self.event(target, ChainEvent::Submit { command });
        }
    }

    pub fn read(&mut self, place: usize) {
        self.next_read += 1;
        self.ledger.read_asked(self.next_read);
        self.event(place, ChainEvent::Read { token: self.next_read });
    }

    pub fn new_identity(&mut self) -> MemberId {
        self.next_identity += 1;
        MemberId(self.next_identity)
    }

    pub fn place_of(&self, member: MemberId) -> Option<usize> {
        self.hosts.iter().position(|host| host.identity == member)
    }

    /// The newest view that any running process knows.
    pub fn newest_view(&self) -> Option<&gingerledge_chain::Membership> {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        processes.filter_map(|process| process.chain.members()).max_by_key(|members| members.epoch)
    }

    /// Prints what happens, if `CHAIN_TRACE` is set.
    pub fn note(&self, place: usize, what: &str) {
        if self.trace {
            println!("{:?} place {place} {:?} {what}", self.now, self.hosts[place].identity);
        }
    }

    /// Prints all there is to know, for a run of one seed.
    pub fn dump(&self) {
        println!("{:?} cut {:?}", self.now, self.cut);
        for host in &self.hosts {
            println!("{:?} {:?}", host.identity, host.process.as_ref().map(|process| &process.chain));
        }
    }
}
