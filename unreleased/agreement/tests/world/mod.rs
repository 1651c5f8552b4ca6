//! Voters in virtual time, on clocks of their own, over a network and disks that fail, and a ledger that holds them to what
//! they said. Everything follows from the seed.
#![allow(dead_code)]

mod diary;
mod ledger;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub use diary::{bounds, Diary};

use gingerledge_agreement::{Bounds, Event, ForgetfulDisk, Torn, Unmet, Voter, VoterId};

pub type Node = Voter<ForgetfulDisk, Diary>;

struct Seat {
    node: Option<Node>,
    disk: ForgetfulDisk,
    rate: f64,
    /// How often it was opened: what was meant for an earlier life is not for this one.
    life: u64,
    checked: usize,
    /// Whether it has ever voted on this disk.
    voted: bool,
}

enum Happens {
    Arrive { to: usize, from: usize, bytes: Vec<u8> },
    Wake { who: usize, life: u64 },
    Reopen { who: usize },
}

/// What the faults are like.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub lost: f64,
    pub twice: f64,
    pub delay_most: f64,
}

pub const FAIR: Weather = Weather { lost: 0.0, twice: 0.0, delay_most: 5.0 };

pub struct World {
    pub seed: u64,
    pub rng: fastrand::Rng,
    pub now: f64,
    pub weather: Weather,
    pub cut: BTreeSet<(usize, usize)>,
    seats: Vec<Seat>,
    ids: Vec<VoterId>,
    bounds: Bounds,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    coming: BTreeMap<u64, Happens>,
    given: u64,
    /// What stands where, by whoever applied it first.
    pub ledger: BTreeMap<u64, Vec<u8>>,
    commands: BTreeMap<u64, (usize, u64, Vec<u8>)>,
    reads: BTreeMap<u64, (usize, u64, u64)>,
    pub done: BTreeMap<u64, u64>,
    pub fresh: u64,
    pub unmet: BTreeMap<u64, Unmet>,
    pub lost_disks: u64,
    pub crashes: u64,
    /// Leaders by term.
    pub terms: BTreeMap<u64, VoterId>,
    pub trace: u64,
    /// Sees each message with its sender, before it goes out.
    pub audit: Option<fn(&Node, VoterId, &[u8])>,
    /// Some of what was sent.
    pub sent: Vec<Vec<u8>>,
    /// Whether peers may lie: then only that nobody falls is held.
    pub liars: bool,
}

impl World {
    pub fn new(count: usize, seed: u64, bounds: Bounds) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let seat = |rng: &mut fastrand::Rng| Seat {
            node: None,
            disk: ForgetfulDisk::default(),
            rate: 0.8 + 0.45 * rng.f64(),
            life: 0,
            checked: 0,
            voted: false,
        };
        let seats = (0..count).map(|_| seat(&mut rng)).collect();
        let ids = (1..=count as u64).map(VoterId).collect();
        let mut world = Self {
            seed,
            rng,
            now: 0.0,
            weather: FAIR,
            cut: BTreeSet::new(),
            seats,
            ids,
            bounds,
            queue: BinaryHeap::new(),
            coming: BTreeMap::new(),
            given: 0,
            ledger: BTreeMap::new(),
            commands: BTreeMap::new(),
            reads: BTreeMap::new(),
            done: BTreeMap::new(),
            fresh: 0,
            unmet: BTreeMap::new(),
            lost_disks: 0,
            crashes: 0,
            terms: BTreeMap::new(),
            trace: seed,
            audit: None,
            sent: Vec::new(),
            liars: false,
        };
        for who in 0..count {
            let later = 200.0 * world.rng.f64();
            world.at(later, Happens::Reopen { who });
        }
        world
    }

    pub fn count(&self) -> usize {
        self.seats.len()
    }

    pub fn node(&self, who: usize) -> Option<&Node> {
        self.seats[who].node.as_ref()
    }

    pub fn is_up(&self, who: usize) -> bool {
        self.seats[who].node.is_some()
    }

    /// For a message: who votes, in which term, and whom each takes for the leader.
    pub fn standing(&self) -> String {
        let says = |node: &Node| (node.votes(), node.term(), node.leader().map(|id| id.0), node.applied());
        format!("{:?}", self.seats.iter().map(|seat| seat.node.as_ref().map(says)).collect::<Vec<_>>())
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |who: &usize| self.node(*who).is_some_and(|node| node.leader() == Some(self.ids[*who]));
        (0..self.count()).filter(leads).max_by_key(|who| self.node(*who).map(Node::term))
    }

    fn at(&mut self, later: f64, happens: Happens) {
        self.given += 1;
        self.coming.insert(self.given, happens);
        self.queue.push(Reverse((((self.now + later.max(0.0)) * 1000.0).ceil() as u64, self.given)));
    }

    /// Lets so much time pass.
    pub fn run(&mut self, span: f64) {
        let end = ((self.now + span) * 1000.0) as u64;
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            self.now = at as f64 / 1000.0;
            match self.coming.remove(&number).unwrap() {
                Happens::Arrive { to, from, bytes } => {
                    if !self.cut.contains(&(from, to)) {
                        self.tell(to, Event::Message { from: self.ids[from], bytes });
                    }
                }
                Happens::Wake { who, life } if life == self.seats[who].life => self.tell(who, Event::Tick),
                Happens::Wake { .. } => {}
                Happens::Reopen { who } => self.reopen(who),
            }
        }
        self.now = end as f64 / 1000.0;
    }

    /// Runs until something holds, and says whether it came to hold in time.
    pub fn until(&mut self, span: f64, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + span;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.run(10.0);
        }
        true
    }

    fn local(&self, who: usize) -> f64 {
        self.now * self.seats[who].rate
    }

    fn reopen(&mut self, who: usize) {
        if self.is_up(who) {
            return;
        }
        let disk = self.seats[who].disk.reborn();
        let (seed, now, id) = (self.rng.u64(..), self.local(who), self.ids[who]);
        let node = Voter::open(id, &self.ids, disk, Diary::default(), self.bounds.clone(), seed, now)
            .unwrap_or_else(|error| panic!("seed {}: voter {who} can't be opened: {error}", self.seed));
        let seat = &mut self.seats[who];
        seat.life += 1;
        seat.checked = 0;
        assert!(!seat.voted || node.votes(), "seed {}: voter {who} forgot that it votes", self.seed);
        seat.node = Some(node);
        self.watch(who);
        self.wake(who);
    }

    fn wake(&mut self, who: usize) {
        let seat = &self.seats[who];
        if let Some(node) = &seat.node {
            let (due, life) = (node.due() / seat.rate - self.now, seat.life);
            self.at(due.max(0.0) + 0.01, Happens::Wake { who, life });
        }
    }

    /// The power goes now, or in the write after so many.
    pub fn crash(&mut self, who: usize) {
        if let Some(node) = self.seats[who].node.take() {
            self.crashes += 1;
            self.seats[who].disk = node.disk().reborn();
            self.seats[who].life += 1;
        }
    }

    pub fn doom(&mut self, who: usize, after: u32, torn: Torn) {
        // The disk belongs to the voter: it is opened again on one that is doomed.
        if self.is_up(who) {
            self.crash(who);
            let mut disk = self.seats[who].disk.reborn();
            disk.doom(after, torn);
            let (seed, now, id) = (self.rng.u64(..), self.local(who), self.ids[who]);
            let kept = disk.bytes().to_vec();
            match Voter::open(id, &self.ids, disk, Diary::default(), self.bounds.clone(), seed, now) {
                Ok(node) => self.seats[who].node = Some(node),
                Err(_) => self.seats[who].disk = ForgetfulDisk::with(kept),
            }
            self.seats[who].checked = 0;
            self.wake(who);
        }
    }

    pub fn reopen_later(&mut self, who: usize, later: f64) {
        self.at(later, Happens::Reopen { who });
    }

    /// Takes a disk away, if no more than a minority is then without what it promised.
    pub fn lose_disk(&mut self, who: usize) -> bool {
        let without = self.seats.iter().filter(|seat| !seat.voted).count();
        let founded = self.seats.iter().all(|seat| seat.voted) || without <= (self.count() - 1) / 2;
        if !founded || without + usize::from(self.seats[who].voted) > (self.count() - 1) / 2 {
            return false;
        }
        self.crash(who);
        self.seats[who].disk = ForgetfulDisk::default();
        self.seats[who].voted = false;
        self.lost_disks += 1;
        true
    }

    /// Takes a disk away, whatever that does.
    pub fn wipe(&mut self, who: usize) {
        self.crash(who);
        self.seats[who].disk = ForgetfulDisk::default();
        self.seats[who].voted = false;
    }

    /// A peer says this; the actions that it causes, or `None` if the voter died of it.
    pub fn garbage(&mut self, to: usize, from: usize, bytes: Vec<u8>) -> Option<usize> {
        let (now, from) = (self.local(to), self.ids[from]);
        let node = self.seats[to].node.as_mut()?;
        let actions = node.handle(now, Event::Message { from, bytes }).ok()?;
        let count = actions.len();
        actions.into_iter().for_each(|action| self.act(to, action));
        Some(count)
    }

    pub fn propose(&mut self, who: usize) -> u64 {
        self.given += 1;
        let ticket = self.given;
        let command = format!("command {ticket}").into_bytes();
        self.commands.insert(ticket, (who, self.seats[who].life, command.clone()));
        self.tell(who, Event::Propose { ticket, command });
        ticket
    }

    pub fn read(&mut self, who: usize) -> u64 {
        self.given += 1;
        let ticket = self.given;
        let least = self.done.values().copied().max().unwrap_or(0);
        self.reads.insert(ticket, (who, self.seats[who].life, least));
        self.tell(who, Event::Read { ticket });
        ticket
    }

    fn tell(&mut self, who: usize, event: Event) {
        let now = self.local(who);
        let tick = event == Event::Tick;
        let Some(node) = &mut self.seats[who].node else {
            return;
        };
        let Ok(actions) = node.handle(now, event) else {
            self.crash(who);
            let later = 50.0 + 900.0 * self.rng.f64();
            return self.reopen_later(who, later);
        };
        self.watch(who);
        for action in actions {
            self.act(who, action);
        }
        if tick {
            self.wake(who);
        }
    }

    /// Ends all faults and opens all voters.
    pub fn heal(&mut self) {
        self.weather = FAIR;
        self.cut.clear();
        for who in 0..self.count() {
            // A disk that is doomed still is one that fails.
            self.crash(who);
            self.reopen(who);
        }
    }

    /// Everything asked has its answer, or went with its voter.
    pub fn unanswered(&self) -> usize {
        let lives = |who: usize, life| self.is_up(who) && self.seats[who].life == life;
        let commands = self.commands.values().filter(|(who, life, _)| lives(*who, *life)).count();
        commands + self.reads.values().filter(|(who, life, _)| lives(*who, *life)).count()
    }
}
