//! A seeded simulation of relays: links deliver in order, with a delay, and can be blocked; processes stop, pause and restart; the
//! control chain is only a source of ticks. The invariants are checked after every event.

// Each test file uses only a part of this module.
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

pub use entries::{store, store_key, tombstone};
pub use node::Node;

/// Interval between the ticks that the control chain confirms.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without acknowledgement after which a connection is reported as lost.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The seeds to test: `default_count` seeds, or `RELAY_SEEDS` if that is set, starting from 0 or from `RELAY_FIRST_SEED`.
pub fn seeds(default_count: u64) -> Range<u64> {
    let variable = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = variable("RELAY_FIRST_SEED").unwrap_or(0);
    first..first + variable("RELAY_SEEDS").unwrap_or(default_count)
}

/// A duration of this many milliseconds.
pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// An event that the simulation has scheduled.
enum ScheduledEvent {
    MessageArrives { from: SocketAddr, to: SocketAddr, message: RelayMessage, bytes: usize },
    Disconnected { at: SocketAddr, peer: SocketAddr },
    TimerExpires { at: SocketAddr, incarnation: u32 },
    EntryReceived { root: SocketAddr, entry: Entry },
    Tick,
    Resume { at: SocketAddr },
    ProcessStarts { at: SocketAddr },
}

/// The simulated nodes, their network and the schedule of events.
pub struct Cluster {
    pub now: Duration,
    pub rng: Rng,
    pub nodes: BTreeMap<SocketAddr, Node>,
    /// Whether the control chain confirms ticks.
    pub ticks_enabled: bool,
    /// Whether handling a message takes processor time.
    pub charges_processor_time: bool,
    /// Directed pairs of sender and receiver whose messages are dropped.
    pub blocked_links: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Roots that are partitioned from the control chain.
    pub separated_roots: BTreeSet<SocketAddr>,
    /// Entries that all roots connected to the control chain have received, with the time by which all of them had.
    pub received_at_roots: Vec<(Duration, Entry)>,
    /// An entry received at the roots within this time before `last_tick_at` may still be missing at a fresh node.
    pub freshness_slack: Duration,
    /// Called for every message sent.
    pub message_observer: Option<fn(&RelayMessage)>,
    /// The time at which the roots received each tombstone, by key and version.
    pub tombstone_times: BTreeMap<(Key, u64), Duration>,
    tick: FreshnessTick,
    schedule: BTreeMap<(Duration, u64), ScheduledEvent>,
    scheduled_count: u64,
    last_delivery: BTreeMap<(SocketAddr, SocketAddr), Duration>,
    seed: u64,
}

impl Cluster {
    /// Creates a cluster without nodes. The seed determines all random choices.
    pub fn new(seed: u64) -> Self {
        let mut cluster = Self {
            now: Duration::from_secs(1),
            rng: Rng::with_seed(seed),
            nodes: BTreeMap::new(),
            ticks_enabled: true,
            charges_processor_time: false,
            blocked_links: BTreeSet::new(),
            separated_roots: BTreeSet::new(),
            received_at_roots: Vec::new(),
            freshness_slack: millis(50),
            message_observer: None,
            tombstone_times: BTreeMap::new(),
            tick: FreshnessTick { epoch: 1, number: 0 },
            schedule: BTreeMap::new(),
            scheduled_count: 0,
            last_delivery: BTreeMap::new(),
            seed,
        };
        cluster.schedule_after(TICK_INTERVAL, ScheduledEvent::Tick);
        cluster
    }

    /// Creates a cluster of control nodes, edges and backends that start at random times within `spread`.
    pub fn with_nodes(seed: u64, control: usize, edges: usize, backends: usize, spread: Duration) -> Self {
        let mut cluster = Self::new(seed);
        let roles = [(Role::Control, control), (Role::Edge, edges), (Role::Backend, backends)];
        for (role, count) in roles {
            for _ in 0..count {
                let after = spread.mul_f64(cluster.rng.f64());
                let address = cluster.add(role);
                cluster.schedule_after(after, ScheduledEvent::ProcessStarts { at: address });
            }
        }
        cluster
    }

    /// Adds a node without starting it.
    pub fn add(&mut self, role: Role) -> SocketAddr {
        let index = self.nodes.len() + 1;
        let ip = Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8);
        let address = SocketAddr::from((ip, 7000));
        let zone = format!("zone-{}", index % 3);
        let settings = RelaySettings::for_role(role, &zone);
        self.nodes.insert(address, Node::new(role, settings));
        address
    }

    /// The addresses of the nodes with a role.
    pub fn with_role(&self, role: Role) -> Vec<SocketAddr> {
        self.nodes.iter().filter(|(_, node)| node.role == role).map(|(address, _)| *address).collect()
    }

    /// The relay of a node, which must be running or paused.
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

    /// Passes a control node the entries of the others, as its host does before the node acts as a root again.
    fn catch_up(&mut self, at: SocketAddr) {
        if self.nodes[&at].role == Role::Control && !self.separated_roots.contains(&at) {
            let known = self.received_at_roots.iter().map(|(_, entry)| entry.clone()).collect();
            self.handle(at, RelayEvent::EntriesReceived(known));
        }
    }

    /// Partitions a control node from the control chain.
    pub fn separate_root(&mut self, at: SocketAddr) {
        self.separated_roots.insert(at);
    }

    /// Connects a partitioned control node to the control chain again.
    pub fn reconnect_root(&mut self, at: SocketAddr) {
        self.separated_roots.remove(&at);
        self.catch_up(at);
    }

    /// Kills all control nodes and restarts them with empty copies; ticks start from the beginning.
    pub fn restart_control_nodes(&mut self) {
        self.received_at_roots.clear();
        self.tick.number = 0;
        for at in self.with_role(Role::Control) {
            self.kill(at);
            self.start_after(millis(300), at);
        }
    }

    /// Starts a process after a delay.
    pub fn start_after(&mut self, after: Duration, at: SocketAddr) {
        self.schedule_after(after, ScheduledEvent::ProcessStarts { at });
    }

    /// Kills a process; its peers see their connections close.
    pub fn kill(&mut self, at: SocketAddr) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.stop();
        for peer in std::mem::take(&mut node.peers) {
            self.schedule_after(millis(1), ScheduledEvent::Disconnected { at: peer, peer: at });
        }
    }

    /// Powers off a machine: its peers see no closed connection.
    pub fn power_off(&mut self, at: SocketAddr) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.stop();
        node.is_powered_off = true;
    }

    /// Pauses a process; its events are queued.
    pub fn pause(&mut self, at: SocketAddr, time: Duration) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.is_paused = true;
        self.schedule_after(time, ScheduledEvent::Resume { at });
    }

    /// Drops all messages between two nodes, in both directions.
    pub fn block_link(&mut self, first: SocketAddr, second: SocketAddr) {
        self.blocked_links.insert((first, second));
        self.blocked_links.insert((second, first));
    }

    /// Passes an entry to all roots connected to the control chain, to each after a random delay of less than 5 ms.
    pub fn receive_at_roots(&mut self, entry: Entry) {
        let roots: Vec<SocketAddr> = self.roots().collect();
        let mut latest = Duration::ZERO;
        for root in &roots {
            let after = millis(self.rng.u64(0..5));
            latest = latest.max(after);
            self.schedule_after(after, ScheduledEvent::EntryReceived { root: *root, entry: entry.clone() });
        }
        if !roots.is_empty() {
            self.received_at_roots.retain(|(_, known)| known.key != entry.key);
            self.tombstone_times.insert((entry.key.clone(), entry.version), self.now);
            self.received_at_roots.push((self.now + latest, entry));
        }
    }

    /// Runs the simulation for some time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(((at, _), event)) = self.pop_until(until) {
            self.now = at;
            self.process(event);
        }
        self.now = until;
    }

    /// Runs the simulation until a condition holds, which is checked every 5 ms, for at most `timeout`. Returns the time that it took;
    /// `None` after the time-out.
    pub fn run_until(&mut self, timeout: Duration, condition: impl Fn(&Cluster) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + timeout {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(millis(5));
        }
        condition(self).then_some(self.now - start)
    }

    /// Asserts a condition; the panic message names the seed and the simulated time.
    #[track_caller]
    pub fn assert_holds(&self, condition: bool, description: &str) {
        assert!(condition, "seed {} at {:?}: {description}", self.seed, self.now);
    }

    fn roots(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let control = self.nodes.iter().filter(|(_, node)| node.role == Role::Control && node.is_running());
        control.map(|(address, _)| *address).filter(|address| !self.separated_roots.contains(address))
    }

    fn schedule_after(&mut self, after: Duration, event: ScheduledEvent) {
        self.scheduled_count += 1;
        self.schedule.insert((self.now + after, self.scheduled_count), event);
    }

    fn pop_until(&mut self, until: Duration) -> Option<((Duration, u64), ScheduledEvent)> {
        let first = self.schedule.first_entry()?;
        if first.key().0 > until {
            return None;
        }
        Some(first.remove_entry())
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::MessageArrives { from, to, message, bytes } => {
                self.deliver(from, to, message, bytes);
            }
            ScheduledEvent::Disconnected { at, peer } => {
                self.handle(at, RelayEvent::PeerDisconnected { peer });
            }
            ScheduledEvent::TimerExpires { at, incarnation } => self.timer(at, incarnation),
            ScheduledEvent::EntryReceived { root, entry } => {
                self.handle(root, RelayEvent::EntriesReceived(vec![entry]));
            }
            ScheduledEvent::Tick => self.tick(),
            ScheduledEvent::Resume { at } => self.resume(at),
            ScheduledEvent::ProcessStarts { at } => self.start(at),
        }
    }

    fn tick(&mut self) {
        self.schedule_after(TICK_INTERVAL, ScheduledEvent::Tick);
        if !self.ticks_enabled {
            return;
        }
        self.tick.number += 1;
        for root in self.roots().collect::<Vec<_>>() {
            self.handle(root, RelayEvent::Tick(self.tick));
        }
    }

    fn timer(&mut self, at: SocketAddr, incarnation: u32) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        if node.incarnation == incarnation && node.timer_at == Some(now) {
            node.timer_at = None;
            self.handle(at, RelayEvent::TimerExpired);
        }
    }

    fn resume(&mut self, at: SocketAddr) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.is_paused = false;
        for event in std::mem::take(&mut node.queued_events) {
            self.handle(at, event);
        }
        self.handle(at, RelayEvent::TimerExpired);
        self.catch_up(at);
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, message: RelayMessage, bytes: usize) {
        let charges_time = self.charges_processor_time;
        let Some(node) = self.nodes.get_mut(&to) else { return };
        if node.relay.is_none() {
            if !node.is_powered_off {
                self.schedule_after(millis(1), ScheduledEvent::Disconnected { at: from, peer: to });
            }
            return;
        }
        if charges_time && node.busy_until > self.now {
            let after = node.busy_until - self.now;
            self.schedule_after(after, ScheduledEvent::MessageArrives { from, to, message, bytes });
            return;
        }
        node.charge(self.now, bytes);
        node.peers.insert(from);
        node.received.add(bytes);
        self.handle(to, RelayEvent::Message { from, message });
    }

    /// Passes an event to a relay, or queues it while the process is paused.
    pub fn handle(&mut self, at: SocketAddr, event: RelayEvent) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let Some(relay) = node.relay.as_mut() else { return };
        if node.is_paused {
            if !matches!(event, RelayEvent::TimerExpired) {
                node.queued_events.push(event);
            }
            return;
        }
        let mut actions = Vec::new();
        relay.handle(now - node.started_at, event, &mut actions);
        let timer = relay.next_timer().map(|timer| timer + node.started_at);
        self.schedule_timer(at, timer);
        for action in actions {
            match action {
                RelayAction::Send { to, message } => self.send(at, to, message),
                RelayAction::EntriesChanged(entries) => self.check_changes(at, &entries),
            }
        }
        self.check_node(at);
    }

    fn schedule_timer(&mut self, at: SocketAddr, timer: Option<Duration>) {
        let Some(timer) = timer else { return };
        self.assert_holds(
            timer > self.now,
            &format!("the timer of {at} is due immediately, which makes a busy loop"),
        );
        let Some(node) = self.nodes.get_mut(&at) else { return };
        if node.timer_at != Some(timer) {
            node.timer_at = Some(timer);
            let incarnation = node.incarnation;
            self.schedule_after(timer - self.now, ScheduledEvent::TimerExpires { at, incarnation });
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: RelayMessage) {
        if let Some(observe) = self.message_observer {
            observe(&message);
        }
        let bytes = node::encoded_bytes(&message);
        if let Some(node) = self.nodes.get_mut(&from) {
            node.sent.add(bytes);
            node.charge(self.now, bytes);
            node.peers.insert(to);
        }
        let is_unreachable = self.nodes.get(&to).is_none_or(|node| node.is_powered_off)
            || self.blocked_links.contains(&(from, to));
        if is_unreachable || self.blocked_links.contains(&(to, from)) && self.rng.bool() {
            self.schedule_after(DISCONNECT_TIMEOUT, ScheduledEvent::Disconnected { at: from, peer: to });
            return;
        }
        let mut delay = Duration::from_micros(self.rng.u64(100..2000));
        if self.charges_processor_time {
            delay += self.nodes[&from].busy_until.saturating_sub(self.now);
        }
        let last_delivery = self.last_delivery.entry((from, to)).or_default();
        *last_delivery = (*last_delivery).max(self.now + delay);
        let after = *last_delivery - self.now;
        self.schedule_after(after, ScheduledEvent::MessageArrives { from, to, message, bytes });
    }
}
