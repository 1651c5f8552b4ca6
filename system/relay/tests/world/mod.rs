//! A seeded world of relays: links with delay, cuts and order, processes that stop, freeze and start again, and a control chain
//! that is only a source of ticks. Every step is checked for what must always hold.

// Each file of tests uses a part of it.
#![allow(dead_code, unused_imports)]

mod check;
mod entries;
mod node;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

use fastrand::Rng;
use gingerledge_relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use gingerledge_wire::{Entry, FreshnessTick, Key, RelayMessage, Role};

pub use entries::{gone, store, store_key};
pub use node::Node;

/// How often the control chain confirms a tick.
pub const TICK_EVERY: Duration = Duration::from_millis(250);
/// After this time without acknowledgement, a connection is reported as lost.
const USER_TIMEOUT: Duration = Duration::from_secs(1);

/// The seeds to try: so many as usual, or as many as `RELAY_SEEDS` says; from 0 on, or from `RELAY_FIRST_SEED`.
pub fn seeds(usual: u64) -> Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("RELAY_FIRST_SEED").unwrap_or(0);
    first..first + number("RELAY_SEEDS").unwrap_or(usual)
}

/// Milliseconds.
pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// What lies ahead.
enum Step {
    Deliver { from: SocketAddr, to: SocketAddr, message: RelayMessage, bytes: usize },
    Lost { at: SocketAddr, peer: SocketAddr },
    Timer { at: SocketAddr, life: u32 },
    Learn { root: SocketAddr, entry: Entry },
    Tick,
    Thaw { at: SocketAddr },
    Start { at: SocketAddr },
}

/// The world.
pub struct World {
    pub now: Duration,
    pub rng: Rng,
    pub nodes: BTreeMap<SocketAddr, Node>,
    /// Whether the control chain makes ticks.
    pub chain_up: bool,
    /// Whether messages take processor time.
    pub processor_costs: bool,
    /// Directed pairs between which nothing passes.
    pub cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Roots that are out of touch with the control chain.
    pub outside_chain: BTreeSet<SocketAddr>,
    /// Entries that all roots in the chain learned, with the time by which they all had.
    pub learned: Vec<(Duration, Entry)>,
    /// How much newer than `last_tick_at` an entry may be that a node still lacks.
    pub slack: Duration,
    /// Sees every message sent.
    pub watch: Option<fn(&RelayMessage)>,
    /// When each tombstone was learned at the roots.
    pub buried: BTreeMap<(Key, u64), Duration>,
    tick: FreshnessTick,
    steps: BTreeMap<(Duration, u64), Step>,
    order: u64,
    last_delivery: BTreeMap<(SocketAddr, SocketAddr), Duration>,
    seed: u64,
}

impl World {
    /// An empty world. Its seed decides everything.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            rng: Rng::with_seed(seed),
            nodes: BTreeMap::new(),
            chain_up: true,
            processor_costs: false,
            cuts: BTreeSet::new(),
            outside_chain: BTreeSet::new(),
            learned: Vec::new(),
            slack: ms(50),
            watch: None,
            buried: BTreeMap::new(),
            tick: FreshnessTick { epoch: 1, number: 0 },
            steps: BTreeMap::new(),
            order: 0,
            last_delivery: BTreeMap::new(),
            seed,
        };
        world.plan(TICK_EVERY, Step::Tick);
        world
    }

    /// A world with so many control nodes, edges and backends, all started within the spread.
    pub fn with_nodes(seed: u64, control: usize, edges: usize, backends: usize, spread: Duration) -> Self {
        let mut world = Self::new(seed);
        let roles = [(Role::Control, control), (Role::Edge, edges), (Role::Backend, backends)];
        for (role, count) in roles {
            for _ in 0..count {
                let after = spread.mul_f64(world.rng.f64());
                let address = world.add(role);
                world.plan(after, Step::Start { at: address });
            }
        }
        world
    }

    /// Adds a node that isn't started yet.
    pub fn add(&mut self, role: Role) -> SocketAddr {
        let index = self.nodes.len() + 1;
        let ip = Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8);
        let address = SocketAddr::from((ip, 7000));
        let zone = format!("zone-{}", index % 3);
        let settings = RelaySettings::for_role(role, &zone);
        self.nodes.insert(address, Node::new(role, settings));
        address
    }

    /// Addresses of nodes with a role.
    pub fn with_role(&self, role: Role) -> Vec<SocketAddr> {
        self.nodes.iter().filter(|(_, node)| node.role == role).map(|(address, _)| *address).collect()
    }

    /// A node's relay; it must be up.
    pub fn relay(&self, at: SocketAddr) -> &Relay {
        self.nodes[&at].relay.as_ref().unwrap_or_else(|| panic!("{at} is down, seed {}", self.seed))
    }

    /// Starts a process with an empty copy.
    pub fn start(&mut self, at: SocketAddr) {
        let seed = self.rng.u64(..);
        let control = self.with_role(Role::Control);
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.start(at, seed, self.now);
        self.handle(at, RelayEvent::ControlNodesKnown(control));
        self.handle(at, RelayEvent::Started);
        self.catch_up(at);
    }

    /// Gives a control node what the others know, as its host does before it counts as a root again.
    fn catch_up(&mut self, at: SocketAddr) {
        if self.nodes[&at].role == Role::Control && !self.outside_chain.contains(&at) {
            let known = self.learned.iter().map(|(_, entry)| entry.clone()).collect();
            self.handle(at, RelayEvent::EntriesLearned(known));
        }
    }

    /// A control node loses touch with the others of its kind.
    pub fn leave_chain(&mut self, at: SocketAddr) {
        self.outside_chain.insert(at);
    }

    /// A control node is in touch again.
    pub fn rejoin_chain(&mut self, at: SocketAddr) {
        self.outside_chain.remove(&at);
        self.catch_up(at);
    }

    /// All control nodes end and start again with nothing, and count ticks anew.
    pub fn restart_core(&mut self) {
        self.learned.clear();
        self.tick.number = 0;
        for at in self.with_role(Role::Control) {
            self.kill(at);
            self.start_after(ms(300), at);
        }
    }

    /// Starts a process later.
    pub fn start_after(&mut self, after: Duration, at: SocketAddr) {
        self.plan(after, Step::Start { at });
    }

    /// Ends a process; those who talked with it learn that soon.
    pub fn kill(&mut self, at: SocketAddr) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.stop();
        for peer in std::mem::take(&mut node.peers) {
            self.plan(ms(1), Step::Lost { at: peer, peer: at });
        }
    }

    /// Takes a machine's power: nobody is told.
    pub fn darken(&mut self, at: SocketAddr) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.stop();
        node.dark = true;
    }

    /// Freezes a process; what comes for it waits.
    pub fn freeze(&mut self, at: SocketAddr, time: Duration) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.frozen = true;
        self.plan(time, Step::Thaw { at });
    }

    /// Nothing passes between two nodes any more.
    pub fn cut(&mut self, one: SocketAddr, other: SocketAddr) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    /// Lets all roots in the chain learn an entry, one after the other within a few milliseconds.
    pub fn learn(&mut self, entry: Entry) {
        let roots: Vec<SocketAddr> = self.roots().collect();
        let mut latest = Duration::ZERO;
        for root in &roots {
            let after = ms(self.rng.u64(0..5));
            latest = latest.max(after);
            self.plan(after, Step::Learn { root: *root, entry: entry.clone() });
        }
        if !roots.is_empty() {
            self.learned.retain(|(_, known)| known.key != entry.key);
            self.buried.insert((entry.key.clone(), entry.version), self.now);
            self.learned.push((self.now + latest, entry));
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(((at, _), step)) = self.pop_until(until) {
            self.now = at;
            self.step(step);
        }
        self.now = until;
    }

    /// Lets time pass until a condition holds, checked every 5 ms; the time that it took, if it came to hold.
    pub fn run_until(&mut self, most: Duration, condition: impl Fn(&World) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + most {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(ms(5));
        }
        condition(self).then_some(self.now - start)
    }

    /// Fails with the seed.
    #[track_caller]
    pub fn expect(&self, holds: bool, what: &str) {
        assert!(holds, "seed {} at {:?}: {what}", self.seed, self.now);
    }

    fn roots(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let control = self.nodes.iter().filter(|(_, node)| node.role == Role::Control && node.runs());
        control.map(|(address, _)| *address).filter(|address| !self.outside_chain.contains(address))
    }

    fn plan(&mut self, after: Duration, step: Step) {
        self.order += 1;
        self.steps.insert((self.now + after, self.order), step);
    }

    fn pop_until(&mut self, until: Duration) -> Option<((Duration, u64), Step)> {
        let first = self.steps.first_entry()?;
        if first.key().0 > until {
            return None;
        }
        Some(first.remove_entry())
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Deliver { from, to, message, bytes } => self.deliver(from, to, message, bytes),
            Step::Lost { at, peer } => self.handle(at, RelayEvent::PeerDisconnected { peer }),
            Step::Timer { at, life } => self.timer(at, life),
            Step::Learn { root, entry } => self.handle(root, RelayEvent::EntriesLearned(vec![entry])),
            Step::Tick => self.tick(),
            Step::Thaw { at } => self.thaw(at),
            Step::Start { at } => self.start(at),
        }
    }

    fn tick(&mut self) {
        self.plan(TICK_EVERY, Step::Tick);
        if !self.chain_up {
            return;
        }
        self.tick.number += 1;
        for root in self.roots().collect::<Vec<_>>() {
            self.handle(root, RelayEvent::Tick(self.tick));
        }
    }

    fn timer(&mut self, at: SocketAddr, life: u32) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        if node.life == life && node.armed == Some(now) {
            node.armed = None;
            self.handle(at, RelayEvent::TimerExpired);
        }
    }

    fn thaw(&mut self, at: SocketAddr) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.frozen = false;
        for event in std::mem::take(&mut node.waiting) {
            self.handle(at, event);
        }
        self.handle(at, RelayEvent::TimerExpired);
        self.catch_up(at);
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, message: RelayMessage, bytes: usize) {
        let costs = self.processor_costs;
        let Some(node) = self.nodes.get_mut(&to) else { return };
        if node.relay.is_none() {
            if !node.dark {
                self.plan(ms(1), Step::Lost { at: from, peer: to });
            }
            return;
        }
        if costs && node.busy_until > self.now {
            let after = node.busy_until - self.now;
            self.plan(after, Step::Deliver { from, to, message, bytes });
            return;
        }
        node.work(self.now, bytes);
        node.peers.insert(from);
        node.received.add(bytes);
        self.handle(to, RelayEvent::Message { from, message });
    }

    /// Gives an event to a relay, or lets it wait while the process is frozen.
    pub fn handle(&mut self, at: SocketAddr, event: RelayEvent) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let Some(relay) = node.relay.as_mut() else { return };
        if node.frozen {
            if !matches!(event, RelayEvent::TimerExpired) {
                node.waiting.push(event);
            }
            return;
        }
        let mut actions = Vec::new();
        relay.handle(now - node.born, event, &mut actions);
        let timer = relay.next_timer().map(|timer| timer + node.born);
        self.arm(at, timer);
        for action in actions {
            match action {
                RelayAction::Send { to, message } => self.send(at, to, message),
                RelayAction::EntriesChanged(entries) => self.check_changes(at, &entries),
            }
        }
        self.check_node(at);
    }

    fn arm(&mut self, at: SocketAddr, timer: Option<Duration>) {
        let Some(timer) = timer else { return };
        self.expect(timer > self.now, &format!("the timer of {at} is due at once, a busy loop"));
        let Some(node) = self.nodes.get_mut(&at) else { return };
        if node.armed != Some(timer) {
            node.armed = Some(timer);
            let life = node.life;
            self.plan(timer - self.now, Step::Timer { at, life });
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: RelayMessage) {
        if let Some(watch) = self.watch {
            watch(&message);
        }
        let bytes = node::encoded_bytes(&message);
        if let Some(node) = self.nodes.get_mut(&from) {
            node.sent.add(bytes);
            node.work(self.now, bytes);
            node.peers.insert(to);
        }
        let away = self.nodes.get(&to).is_none_or(|node| node.dark) || self.cuts.contains(&(from, to));
        if away || self.cuts.contains(&(to, from)) && self.rng.bool() {
            self.plan(USER_TIMEOUT, Step::Lost { at: from, peer: to });
            return;
        }
        let mut delay = Duration::from_micros(self.rng.u64(100..2000));
        if self.processor_costs {
            delay += self.nodes[&from].busy_until.saturating_sub(self.now);
        }
        let last = self.last_delivery.entry((from, to)).or_default();
        *last = (*last).max(self.now + delay);
        let after = *last - self.now;
        self.plan(after, Step::Deliver { from, to, message, bytes });
    }
}
