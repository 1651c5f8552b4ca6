//! The whole group: three or more members, the network between them, and every step that the checker may take.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use gingerledge_chain::{
    AgreementMessage, ChainEvent, ChainMessage, ControlChainSettings, Heartbeat, MemberId, MembershipEvent,
};

use super::node::{Loss, Node, Sent};
use super::observations::Observations;

/// Time between the heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// After so many intervals without a heartbeat a member counts as lost.
const INTERVALS_TO_LOSE: usize = 40;
/// Within so many intervals without faults a group must commit again.
const INTERVALS_TO_RECOVER: usize = 120;

/// One step of the checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A message arrives; with `is_duplicated`, a second copy of it stays in flight.
    Deliver { message: usize, from: MemberId, is_duplicated: bool },
    /// A message is lost.
    Drop { message: usize, from: MemberId },
    /// All that a member wrote is synced.
    Sync { machine: usize },
    /// A client submits a command at a member that takes itself for the head.
    Submit { machine: usize },
    /// A client reads at a member.
    Read { machine: usize },
    /// No heartbeat of one member reaches another for long; those of the rest do.
    Miss { machine: usize, missed: usize },
    /// A process ends and starts again, with some loss.
    Restart { machine: usize, loss: Loss },
}

/// How often the checker may still take those steps that could be taken without end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    pub losses: u8,
    pub repetitions: u8,
    pub writes: u8,
    pub reads: u8,
    pub misses: u8,
    pub restarts: u8,
    pub wipes: u8,
}

/// The group.
#[derive(Clone, Debug)]
pub struct Group {
    pub nodes: Vec<Node>,
    pub network: Vec<Sent>,
    pub observations: Observations,
    pub budget: Budget,
    settings: ControlChainSettings,
    next_command: u8,
    next_read: u64,
    next_identity: u64,
}

impl Group {
    /// Founders that have started and know each other.
    pub fn founded(fault_tolerance: usize) -> Self {
        let mut settings = ControlChainSettings::new(fault_tolerance);
        settings.replica.barrier_interval = None;
        settings.replica.retain_entries = 2;
        let founders: Vec<MemberId> = (1..=2 * fault_tolerance as u64 + 1).map(MemberId).collect();
        let nodes = founders.iter().map(|founder| Node::founder(*founder, &founders, &settings)).collect();
        let mut group = Self {
            nodes,
            network: Vec::new(),
            observations: Observations::default(),
            budget: Budget::default(),
            settings,
            next_command: 0,
            next_read: 0,
            next_identity: 100,
        };
        for machine in 0..group.nodes.len() {
            group.handle_event(machine, ChainEvent::Started);
        }
        group.run_without_faults(4);
        group
    }

    pub fn handle_event(&mut self, machine: usize, event: ChainEvent) {
        self.nodes[machine].handle_event(event, &mut self.observations, &mut self.network);
    }

    /// Delivers all messages and syncs all writes, until none is left.
    pub fn deliver_all(&mut self) {
        self.deliver_until(|_| false);
    }

    /// Lets time pass without faults: heartbeats, timers, deliveries.
    pub fn run_without_faults(&mut self, intervals: usize) {
        for _ in 0..intervals {
            self.heartbeats_and_timers();
            self.deliver_all();
        }
    }

    /// One interval without faults, which ends as soon as a member proposes a membership; that message has not arrived yet.
    pub fn run_until_proposal(&mut self) {
        self.heartbeats_and_timers();
        self.deliver_until(is_proposal);
    }

    /// One interval in which every member receives the heartbeats of all others.
    fn heartbeats_and_timers(&mut self) {
        for machine in 0..self.nodes.len() {
            self.nodes[machine].now += HEARTBEAT_INTERVAL;
            for other in 0..self.nodes.len() {
                self.deliver_heartbeat(machine, other);
            }
            self.handle_event(machine, ChainEvent::TimerExpired);
        }
    }

    /// Delivers only the messages of the agreement.
    pub fn deliver_agreement(&mut self) {
        for _ in 0..1_000 {
            if let Some(machine) = self.nodes.iter().position(Node::is_writing) {
                self.sync(machine);
                continue;
            }
            let votes = |sent: &Sent| matches!(sent.message, ChainMessage::Agreement(_));
            let Some(next) = self.network.iter().position(votes) else { return };
            let sent = self.network.remove(next);
            self.deliver(sent);
        }
    }

    fn deliver_until(&mut self, stop: impl Fn(&Sent) -> bool) {
        for _ in 0..10_000 {
            if self.network.iter().any(&stop) {
                return;
            }
            if let Some(machine) = self.nodes.iter().position(Node::is_writing) {
                self.sync(machine);
            } else if self.network.is_empty() {
                return;
            } else {
                let sent = self.network.remove(0);
                self.deliver(sent);
            }
        }
        panic!("messages are sent without end");
    }

    fn sync(&mut self, machine: usize) {
        self.nodes[machine].sync(&mut self.observations, &mut self.network);
    }

    fn deliver(&mut self, sent: Sent) {
        let to = self.nodes.iter().position(|node| node.identity == sent.to);
        if let Some(machine) = to {
            self.handle_event(machine, ChainEvent::Message { from: sent.from, message: sent.message });
        }
    }

    /// Delivers the heartbeat that another member would send now.
    fn deliver_heartbeat(&mut self, machine: usize, other: usize) {
        if machine == other {
            return;
        }
        let from = &self.nodes[other];
        let epoch = from.chain.members().map_or(0, |members| members.epoch);
        let live_peers = self.nodes.iter().map(|node| node.identity).collect();
        let heartbeat = Heartbeat {
            epoch,
            disk_ready: true,
            sealed: epoch > 0 && from.sealed_epoch == epoch,
            live_peers,
        };
        let message = ChainMessage::Agreement(AgreementMessage::Heartbeat(heartbeat));
        let from = from.identity;
        self.handle_event(machine, ChainEvent::Message { from, message });
    }

    /// A client submits a command; returns it.
    pub fn submit(&mut self, machine: usize) -> u8 {
        self.next_command += 1;
        self.handle_event(machine, ChainEvent::Submit { command: vec![self.next_command] });
        self.next_command
    }

    /// Keeps the heartbeats of one member from another, until that proposes a membership without it or counts it as lost.
    pub fn miss(&mut self, machine: usize, missed: usize) {
        for _ in 0..INTERVALS_TO_LOSE {
            self.nodes[machine].now += HEARTBEAT_INTERVAL;
            for other in (0..self.nodes.len()).filter(|other| *other != missed) {
                self.deliver_heartbeat(machine, other);
            }
            let before = self.network.len();
            self.handle_event(machine, ChainEvent::TimerExpired);
            if self.network[before..].iter().any(is_proposal) {
                return;
            }
        }
    }

    /// A process ends and starts again; the others learn of a new identity.
    pub fn restart(&mut self, machine: usize, loss: Loss) {
        let old = self.nodes[machine].identity;
        if loss == Loss::Disk {
            self.next_identity += 1;
        }
        let new_identity = MemberId(self.next_identity);
        self.nodes[machine].restart(loss, new_identity, &self.settings, &mut self.observations);
        self.handle_event(machine, ChainEvent::Started);
        let new = self.nodes[machine].identity;
        let replaces = (new != old).then_some(old);
        for other in (0..self.nodes.len()).filter(|other| *other != machine) {
            self.handle_event(
                other,
                ChainEvent::View(MembershipEvent::MemberAnnounced { member: new, replaces }),
            );
            let member = self.nodes[other].identity;
            self.handle_event(
                machine,
                ChainEvent::View(MembershipEvent::MemberAnnounced { member, replaces: None }),
            );
        }
    }

    /// Whether all members are in one chain and serve: then the group tolerates the next loss of a disk.
    fn is_complete(&self) -> bool {
        let Some(newest) = self.observations.views.values().next_back() else { return false };
        self.nodes.iter().all(|node| {
            newest.chain.contains(&node.identity)
                && node.chain.members() == Some(newest)
                && node.chain.is_serving()
        })
    }

    pub fn actions(&self, actions: &mut Vec<Action>) {
        for (message, sent) in self.network.iter().enumerate() {
            let from = sent.from;
            actions.push(Action::Deliver { message, from, is_duplicated: false });
            if self.budget.repetitions > 0 {
                actions.push(Action::Deliver { message, from, is_duplicated: true });
            }
            if self.budget.losses > 0 {
                actions.push(Action::Drop { message, from });
            }
        }
        for machine in 0..self.nodes.len() {
            self.actions_at(machine, actions);
        }
    }

    fn actions_at(&self, machine: usize, actions: &mut Vec<Action>) {
        let node = &self.nodes[machine];
        if node.is_writing() {
            actions.push(Action::Sync { machine });
        }
        if self.budget.writes > 0 && node.chain.head() == Some(node.identity) {
            actions.push(Action::Submit { machine });
        }
        if self.budget.reads > 0 && node.chain.members().is_some() {
            actions.push(Action::Read { machine });
        }
        if self.budget.misses > 0 {
            let others = (0..self.nodes.len()).filter(|missed| *missed != machine);
            actions.extend(others.map(|missed| Action::Miss { machine, missed }));
        }
        if self.budget.restarts > 0 {
            actions.push(Action::Restart { machine, loss: Loss::Nothing });
            actions.push(Action::Restart { machine, loss: Loss::Unsynced });
        }
        if self.budget.wipes > 0 && self.is_complete() {
            actions.push(Action::Restart { machine, loss: Loss::Disk });
        }
    }

    pub fn apply(&mut self, action: Action) {
        match action {
            Action::Deliver { message, is_duplicated, .. } => {
                let sent = match is_duplicated {
                    true => self.network[message].clone(),
                    false => self.network.remove(message),
                };
                self.budget.repetitions -= u8::from(is_duplicated);
                self.deliver(sent);
            }
            Action::Drop { message, .. } => {
                self.budget.losses -= 1;
                self.network.remove(message);
            }
            Action::Sync { machine } => self.sync(machine),
            Action::Submit { machine } => {
                self.budget.writes -= 1;
                self.submit(machine);
            }
            Action::Read { machine } => {
                self.budget.reads -= 1;
                self.next_read += 1;
                self.observations.on_read_started(self.next_read);
                self.handle_event(machine, ChainEvent::Read { token: self.next_read });
            }
            Action::Miss { machine, missed } => {
                self.budget.misses -= 1;
                self.miss(machine, missed);
            }
            Action::Restart { machine, loss } => {
                match loss {
                    Loss::Disk => self.budget.wipes -= 1,
                    Loss::Nothing | Loss::Unsynced => self.budget.restarts -= 1,
                }
                self.restart(machine, loss);
            }
        }
    }

    /// Every head that serves has all that was acknowledged.
    pub fn heads_hold_acknowledged_entries(&self) -> bool {
        let heads = self.nodes.iter().filter(|node| {
            // An older view may still look as if it were in force; only the newest counts.
            let newest = self.observations.views.keys().next_back();
            node.chain.members().map(|members| &members.epoch) == newest
                && node.chain.head() == Some(node.identity)
                && node.chain.is_serving()
        });
        heads
            .into_iter()
            .all(|head| (1..=self.observations.acknowledged_index).all(|index| head.holds(index)))
    }

    /// Acknowledged only once f + 1 disks have synced it.
    pub fn acknowledged_entries_are_on_enough_disks(&self) -> bool {
        let enough = self.settings.fault_tolerance + 1;
        (1..=self.observations.acknowledged_index)
            .all(|index| self.observations.synced.get(&index).is_some_and(|disks| disks.len() >= enough))
    }

    /// Whether the group commits again once there are no more faults, with all that was acknowledged before.
    pub fn recovers(mut self) -> bool {
        let before = self.observations.acknowledged_index;
        for _ in 0..INTERVALS_TO_RECOVER {
            self.run_without_faults(1);
            let head = self
                .nodes
                .iter()
                .position(|node| node.chain.head() == Some(node.identity) && node.chain.is_serving());
            let Some(head) = head else { continue };
            self.submit(head);
            self.deliver_all();
            if self.observations.acknowledged_index > before {
                return self.observations.contradiction.is_none() && self.heads_hold_acknowledged_entries();
            }
        }
        false
    }

    /// A hash of all fields of the state.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

impl Hash for Group {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

fn is_proposal(sent: &Sent) -> bool {
    matches!(sent.message, ChainMessage::Agreement(AgreementMessage::Prepare { .. }))
}

impl PartialEq for Group {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}
