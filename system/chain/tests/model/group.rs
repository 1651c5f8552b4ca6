//! The state of the model: a group of three or more members and the network between them, with all actions that the checker may
//! take.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use gingerledge_chain::{
    AgreementMessage, ChainEvent, ChainMessage, ControlChainSettings, Heartbeat, MemberId, MembershipEvent,
};

use super::node::{DataLoss, Envelope, Node};
use super::observations::Observations;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of intervals without a heartbeat until a member counts as lost.
const INTERVALS_UNTIL_LOST: usize = 40;
/// Number of intervals without faults within which a group must commit again.
const MAX_RECOVERY_INTERVALS: usize = 120;

/// An action of the checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A message arrives. With `is_duplicated`, a second copy of it remains in flight.
    Deliver { message: usize, from: MemberId, is_duplicated: bool },
    /// A message is lost.
    Drop { message: usize, from: MemberId },
    /// All writes of a member are synced.
    Sync { machine: usize },
    /// A client submits a command at a member that is the head according to its own membership.
    Submit { machine: usize },
    /// A client reads at a member.
    Read { machine: usize },
    /// No heartbeat of `sender` reaches `machine` until it proposes a membership without `sender` or counts it as lost; the
    /// heartbeats of the others arrive.
    SuppressHeartbeats { machine: usize, sender: usize },
    /// A process ends and starts again, with some loss of data.
    Restart { machine: usize, loss: DataLoss },
}

/// The remaining number of each kind of action that would otherwise make the exploration infinite.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    pub drops: u8,
    pub duplicates: u8,
    pub writes: u8,
    pub reads: u8,
    pub suppressions: u8,
    pub restarts: u8,
    pub wipes: u8,
}

/// A group of members and the network between them.
#[derive(Clone, Debug)]
pub struct Group {
    pub nodes: Vec<Node>,
    pub network: Vec<Envelope>,
    pub observations: Observations,
    pub budget: Budget,
    settings: ControlChainSettings,
    next_command: u8,
    next_read: u64,
    next_identity: u64,
}

impl Group {
    /// Creates a group of founders that have started and exchanged heartbeats.
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

    /// Runs a number of heartbeat intervals without faults.
    pub fn run_without_faults(&mut self, intervals: usize) {
        for _ in 0..intervals {
            self.heartbeats_and_timers();
            self.deliver_all();
        }
    }

    /// Runs one interval without faults, and stops as soon as a member has sent a proposal of a membership, before it arrives.
    pub fn run_until_proposal(&mut self) {
        self.heartbeats_and_timers();
        self.deliver_until(is_proposal);
    }

    /// Runs one interval in which every member receives the heartbeats of all others and its timer expires.
    fn heartbeats_and_timers(&mut self) {
        for machine in 0..self.nodes.len() {
            self.nodes[machine].now += HEARTBEAT_INTERVAL;
            for other in 0..self.nodes.len() {
                self.deliver_heartbeat(machine, other);
            }
            self.handle_event(machine, ChainEvent::TimerExpired);
        }
    }

    /// Syncs all writes and delivers the messages of the agreement, but no others, until there are none left.
    pub fn deliver_agreement(&mut self) {
        for _ in 0..1_000 {
            if let Some(machine) = self.nodes.iter().position(Node::is_writing) {
                self.sync(machine);
                continue;
            }
            let votes = |envelope: &Envelope| matches!(envelope.message, ChainMessage::Agreement(_));
            let Some(next) = self.network.iter().position(votes) else { return };
            let envelope = self.network.remove(next);
            self.deliver(envelope);
        }
    }

    fn deliver_until(&mut self, stop: impl Fn(&Envelope) -> bool) {
        for _ in 0..10_000 {
            if self.network.iter().any(&stop) {
                return;
            }
            if let Some(machine) = self.nodes.iter().position(Node::is_writing) {
                self.sync(machine);
            } else if self.network.is_empty() {
                return;
            } else {
                let envelope = self.network.remove(0);
                self.deliver(envelope);
            }
        }
        panic!("messages are sent indefinitely");
    }

    fn sync(&mut self, machine: usize) {
        self.nodes[machine].sync(&mut self.observations, &mut self.network);
    }

    fn deliver(&mut self, envelope: Envelope) {
        let to = self.nodes.iter().position(|node| node.identity == envelope.to);
        if let Some(machine) = to {
            self.handle_event(
                machine,
                ChainEvent::Message { from: envelope.from, message: envelope.message },
            );
        }
    }

    /// Delivers the heartbeat that another member would send now, which lists all members as live.
    fn deliver_heartbeat(&mut self, machine: usize, other: usize) {
        if machine == other {
            return;
        }
        let from = &self.nodes[other];
        let epoch = from.chain.membership().map_or(0, |membership| membership.epoch);
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

    /// Submits a command and returns it.
    pub fn submit(&mut self, machine: usize) -> u8 {
        self.next_command += 1;
        self.handle_event(machine, ChainEvent::Submit { command: vec![self.next_command] });
        self.next_command
    }

    /// Withholds the heartbeats of `sender` from `machine` until it proposes a membership without `sender` or counts it as lost.
    pub fn suppress_heartbeats(&mut self, machine: usize, sender: usize) {
        for _ in 0..INTERVALS_UNTIL_LOST {
            self.nodes[machine].now += HEARTBEAT_INTERVAL;
            for other in (0..self.nodes.len()).filter(|other| *other != sender) {
                self.deliver_heartbeat(machine, other);
            }
            let sent_before = self.network.len();
            self.handle_event(machine, ChainEvent::TimerExpired);
            if self.network[sent_before..].iter().any(is_proposal) {
                return;
            }
        }
    }

    /// Restarts a process. The other members are told of its identity if that is new.
    pub fn restart(&mut self, machine: usize, loss: DataLoss) {
        let old_identity = self.nodes[machine].identity;
        if loss == DataLoss::Disk {
            self.next_identity += 1;
        }
        let new_identity = MemberId(self.next_identity);
        self.nodes[machine].restart(loss, new_identity, &self.settings, &mut self.observations);
        self.handle_event(machine, ChainEvent::Started);
        let current_identity = self.nodes[machine].identity;
        let replaces = (current_identity != old_identity).then_some(old_identity);
        for other in (0..self.nodes.len()).filter(|other| *other != machine) {
            self.handle_event(
                other,
                ChainEvent::View(MembershipEvent::MemberAnnounced { member: current_identity, replaces }),
            );
            let member = self.nodes[other].identity;
            self.handle_event(
                machine,
                ChainEvent::View(MembershipEvent::MemberAnnounced { member, replaces: None }),
            );
        }
    }

    /// Whether all members are in the same chain and are serving, so that the group tolerates the loss of another disk.
    fn is_complete(&self) -> bool {
        let Some(newest) = self.observations.memberships.values().next_back() else { return false };
        self.nodes.iter().all(|node| {
            newest.chain.contains(&node.identity)
                && node.chain.membership() == Some(newest)
                && node.chain.is_serving()
        })
    }

    pub fn actions(&self, actions: &mut Vec<Action>) {
        for (message, envelope) in self.network.iter().enumerate() {
            let from = envelope.from;
            actions.push(Action::Deliver { message, from, is_duplicated: false });
            if self.budget.duplicates > 0 {
                actions.push(Action::Deliver { message, from, is_duplicated: true });
            }
            if self.budget.drops > 0 {
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
        if self.budget.reads > 0 && node.chain.membership().is_some() {
            actions.push(Action::Read { machine });
        }
        if self.budget.suppressions > 0 {
            let others = (0..self.nodes.len()).filter(|sender| *sender != machine);
            actions.extend(others.map(|sender| Action::SuppressHeartbeats { machine, sender }));
        }
        if self.budget.restarts > 0 {
            actions.push(Action::Restart { machine, loss: DataLoss::Nothing });
            actions.push(Action::Restart { machine, loss: DataLoss::Unsynced });
        }
        if self.budget.wipes > 0 && self.is_complete() {
            actions.push(Action::Restart { machine, loss: DataLoss::Disk });
        }
    }

    pub fn apply(&mut self, action: Action) {
        match action {
            Action::Deliver { message, is_duplicated, .. } => {
                let envelope = match is_duplicated {
                    true => self.network[message].clone(),
                    false => self.network.remove(message),
                };
                self.budget.duplicates -= u8::from(is_duplicated);
                self.deliver(envelope);
            }
            Action::Drop { message, .. } => {
                self.budget.drops -= 1;
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
            Action::SuppressHeartbeats { machine, sender } => {
                self.budget.suppressions -= 1;
                self.suppress_heartbeats(machine, sender);
            }
            Action::Restart { machine, loss } => {
                match loss {
                    DataLoss::Disk => self.budget.wipes -= 1,
                    DataLoss::Nothing | DataLoss::Unsynced => self.budget.restarts -= 1,
                }
                self.restart(machine, loss);
            }
        }
    }

    /// Whether every serving head of the newest membership holds all acknowledged entries.
    pub fn heads_hold_acknowledged_entries(&self) -> bool {
        let heads = self.nodes.iter().filter(|node| {
            // A member in an older epoch may still count as serving; only the newest epoch is checked.
            let newest = self.observations.memberships.keys().next_back();
            node.chain.membership().map(|membership| &membership.epoch) == newest
                && node.chain.head() == Some(node.identity)
                && node.chain.is_serving()
        });
        heads
            .into_iter()
            .all(|head| (1..=self.observations.acknowledged_index).all(|index| head.holds(index)))
    }

    /// Whether every acknowledged entry has been synced by at least f + 1 disks.
    pub fn acknowledged_entries_are_on_enough_disks(&self) -> bool {
        let enough = self.settings.fault_tolerance + 1;
        (1..=self.observations.acknowledged_index)
            .all(|index| self.observations.synced.get(&index).is_some_and(|disks| disks.len() >= enough))
    }

    /// Whether the group commits again without further faults, and still holds everything acknowledged before.
    pub fn recovers(mut self) -> bool {
        let acknowledged_before = self.observations.acknowledged_index;
        for _ in 0..MAX_RECOVERY_INTERVALS {
            self.run_without_faults(1);
            let head = self
                .nodes
                .iter()
                .position(|node| node.chain.head() == Some(node.identity) && node.chain.is_serving());
            let Some(head) = head else { continue };
            self.submit(head);
            self.deliver_all();
            if self.observations.acknowledged_index > acknowledged_before {
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

fn is_proposal(envelope: &Envelope) -> bool {
    matches!(envelope.message, ChainMessage::Agreement(AgreementMessage::Prepare { .. }))
}

impl PartialEq for Group {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}
