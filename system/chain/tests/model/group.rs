//! The whole group: three or more members, the network between them, and every step that the checker may take.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use gingerledge_chain::{
    AgreementMessage, ChainEvent, ChainMessage, ControlChainSettings, Heartbeat, MemberId, MembershipEvent,
};

use super::ledger::Ledger;
use super::node::{Loss, Node, Sent};

/// Time between two rounds of heartbeats.
const ROUND: Duration = Duration::from_millis(150);
/// So many rounds are played until a member that hears nothing of another takes it to be lost for good.
const ROUNDS_TO_LOSE: usize = 40;
/// So many rounds of calm a group gets to take writes again.
const ROUNDS_TO_SETTLE: usize = 120;

/// One step of the checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A message arrives; with `stays`, a second copy of it is still on its way.
    Deliver { message: usize, from: MemberId, stays: bool },
    /// A message is lost.
    Lose { message: usize, from: MemberId },
    /// All that a member wrote is synced.
    Sync { place: usize },
    /// A client writes at a member that takes itself for the head.
    Submit { place: usize },
    /// A client reads at a member.
    Read { place: usize },
    /// A member hears nothing of another for long, and all of the rest.
    Miss { place: usize, missed: usize },
    /// A process ends and starts again.
    End { place: usize, loss: Loss },
}

/// How often the checker may still do what would never end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    pub losses: u8,
    pub repetitions: u8,
    pub writes: u8,
    pub reads: u8,
    pub misses: u8,
    pub ends: u8,
    pub wipes: u8,
}

/// The group.
#[derive(Clone, Debug)]
pub struct Group {
    pub nodes: Vec<Node>,
    pub network: Vec<Sent>,
    pub ledger: Ledger,
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
            ledger: Ledger::default(),
            budget: Budget::default(),
            settings,
            next_command: 0,
            next_read: 0,
            next_identity: 100,
        };
        for place in 0..group.nodes.len() {
            group.event(place, ChainEvent::Started);
        }
        group.calm(4);
        group
    }

    pub fn event(&mut self, place: usize, event: ChainEvent) {
        self.nodes[place].event(event, &mut self.ledger, &mut self.network);
    }

    /// Everything on its way arrives, everything written is synced, until nothing is left.
    pub fn deliver_all(&mut self) {
        self.deliver_until(|_| false);
    }

    /// Time passes without faults: heartbeats, timers, deliveries.
    pub fn calm(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.heartbeats_and_timers();
            self.deliver_all();
        }
    }

    /// One round of calm, which ends as soon as somebody proposes a membership; that message has not arrived yet.
    pub fn calm_until_proposal(&mut self) {
        self.heartbeats_and_timers();
        self.deliver_until(is_proposal);
    }

    /// One round in which every member hears all others.
    fn heartbeats_and_timers(&mut self) {
        for place in 0..self.nodes.len() {
            self.nodes[place].now += ROUND;
            for other in 0..self.nodes.len() {
                self.hear(place, other);
            }
            self.event(place, ChainEvent::TimerExpired);
        }
    }

    /// Delivers only what belongs to the vote; entries wait.
    pub fn deliver_agreement(&mut self) {
        for _ in 0..1_000 {
            if let Some(place) = self.nodes.iter().position(Node::is_writing) {
                self.sync(place);
                continue;
            }
            let votes = |sent: &Sent| matches!(sent.message, ChainMessage::Agreement(_));
            let Some(next) = self.network.iter().position(votes) else { return };
            let sent = self.network.remove(next);
            self.arrive(sent);
        }
    }

    fn deliver_until(&mut self, stop: impl Fn(&Sent) -> bool) {
        for _ in 0..10_000 {
            if self.network.iter().any(&stop) {
                return;
            }
            if let Some(place) = self.nodes.iter().position(Node::is_writing) {
                self.sync(place);
            } else if self.network.is_empty() {
                return;
            } else {
                let sent = self.network.remove(0);
                self.arrive(sent);
            }
        }
        panic!("the group never comes to rest");
    }

    fn sync(&mut self, place: usize) {
        self.nodes[place].sync(&mut self.ledger, &mut self.network);
    }

    fn arrive(&mut self, sent: Sent) {
        let to = self.nodes.iter().position(|node| node.identity == sent.to);
        if let Some(place) = to {
            self.event(place, ChainEvent::Message { from: sent.from, message: sent.message });
        }
    }

    /// A member hears another's heartbeat as it would be now.
    fn hear(&mut self, place: usize, other: usize) {
        if place == other {
            return;
        }
        let from = &self.nodes[other];
        let epoch = from.chain.members().map_or(0, |members| members.epoch);
        let live_peers = self.nodes.iter().map(|node| node.identity).collect();
        let heartbeat =
            Heartbeat { epoch, disk_ready: true, sealed: epoch > 0 && from.sealed == epoch, live_peers };
        let message = ChainMessage::Agreement(AgreementMessage::Heartbeat(heartbeat));
        let from = from.identity;
        self.event(place, ChainEvent::Message { from, message });
    }

    /// A client writes; gives the command.
    pub fn submit(&mut self, place: usize) -> u8 {
        self.next_command += 1;
        self.event(place, ChainEvent::Submit { command: vec![self.next_command] });
        self.next_command
    }

    /// A member hears nothing of another until it wants it out of the chain, or for long.
    pub fn miss(&mut self, place: usize, missed: usize) {
        for _ in 0..ROUNDS_TO_LOSE {
            self.nodes[place].now += ROUND;
            for other in (0..self.nodes.len()).filter(|other| *other != missed) {
                self.hear(place, other);
            }
            let before = self.network.len();
            self.event(place, ChainEvent::TimerExpired);
            if self.network[before..].iter().any(is_proposal) {
                return;
            }
        }
    }

    /// A process ends and starts again; the others learn of a new identity.
    pub fn end(&mut self, place: usize, loss: Loss) {
        let old = self.nodes[place].identity;
        if loss == Loss::Disk {
            self.next_identity += 1;
        }
        let new_identity = MemberId(self.next_identity);
        self.nodes[place].end(loss, new_identity, &self.settings, &mut self.ledger);
        self.event(place, ChainEvent::Started);
        let new = self.nodes[place].identity;
        let replaces = (new != old).then_some(old);
        for other in (0..self.nodes.len()).filter(|other| *other != place) {
            self.event(other, ChainEvent::View(MembershipEvent::MemberAnnounced { member: new, replaces }));
            let member = self.nodes[other].identity;
            self.event(place, ChainEvent::View(MembershipEvent::MemberAnnounced { member, replaces: None }));
        }
    }

    /// Whether all members are in one chain and serve: the next loss of a disk is then one that must be borne.
    fn is_whole(&self) -> bool {
        let Some(newest) = self.ledger.views.values().next_back() else { return false };
        self.nodes.iter().all(|node| {
            newest.chain.contains(&node.identity)
                && node.chain.members() == Some(newest)
                && node.chain.is_serving()
        })
    }

    pub fn actions(&self, actions: &mut Vec<Action>) {
        for (message, sent) in self.network.iter().enumerate() {
            let from = sent.from;
            actions.push(Action::Deliver { message, from, stays: false });
            if self.budget.repetitions > 0 {
                actions.push(Action::Deliver { message, from, stays: true });
            }
            if self.budget.losses > 0 {
                actions.push(Action::Lose { message, from });
            }
        }
        for place in 0..self.nodes.len() {
            self.actions_at(place, actions);
        }
    }

    fn actions_at(&self, place: usize, actions: &mut Vec<Action>) {
        let node = &self.nodes[place];
        if node.is_writing() {
            actions.push(Action::Sync { place });
        }
        if self.budget.writes > 0 && node.chain.head() == Some(node.identity) {
            actions.push(Action::Submit { place });
        }
        if self.budget.reads > 0 && node.chain.members().is_some() {
            actions.push(Action::Read { place });
        }
        if self.budget.misses > 0 {
            let others = (0..self.nodes.len()).filter(|missed| *missed != place);
            actions.extend(others.map(|missed| Action::Miss { place, missed }));
        }
        if self.budget.ends > 0 {
            actions.push(Action::End { place, loss: Loss::Nothing });
            actions.push(Action::End { place, loss: Loss::Unsynced });
        }
        if self.budget.wipes > 0 && self.is_whole() {
            actions.push(Action::End { place, loss: Loss::Disk });
        }
    }

    pub fn take(&mut self, action: Action) {
        match action {
            Action::Deliver { message, stays, .. } => {
                let sent = match stays {
                    true => self.network[message].clone(),
                    false => self.network.remove(message),
                };
                self.budget.repetitions -= u8::from(stays);
                self.arrive(sent);
            }
            Action::Lose { message, .. } => {
                self.budget.losses -= 1;
                self.network.remove(message);
            }
            Action::Sync { place } => self.sync(place),
            Action::Submit { place } => {
                self.budget.writes -= 1;
                self.submit(place);
            }
            Action::Read { place } => {
                self.budget.reads -= 1;
                self.next_read += 1;
                self.ledger.read_asked(self.next_read);
                self.event(place, ChainEvent::Read { token: self.next_read });
            }
            Action::Miss { place, missed } => {
                self.budget.misses -= 1;
                self.miss(place, missed);
            }
            Action::End { place, loss } => {
                match loss {
                    Loss::Disk => self.budget.wipes -= 1,
                    Loss::Nothing | Loss::Unsynced => self.budget.ends -= 1,
                }
                self.end(place, loss);
            }
        }
    }

    /// Every head that serves has all that was acknowledged.
    pub fn heads_hold_what_was_acknowledged(&self) -> bool {
        let heads = self.nodes.iter().filter(|node| {
            // A view that was left behind may still look as if it were in force; only the newest decides.
            let newest = self.ledger.views.keys().next_back();
            node.chain.members().map(|members| &members.epoch) == newest
                && node.chain.head() == Some(node.identity)
                && node.chain.is_serving()
        });
        heads.into_iter().all(|head| (1..=self.ledger.acknowledged).all(|index| head.holds(index)))
    }

    /// Acknowledged only once f + 1 disks have synced it.
    pub fn acknowledged_is_on_enough_disks(&self) -> bool {
        let enough = self.settings.fault_tolerance + 1;
        (1..=self.ledger.acknowledged)
            .all(|index| self.ledger.synced.get(&index).is_some_and(|disks| disks.len() >= enough))
    }

    /// Calm comes: whether a write is then taken, and nothing that was acknowledged before is lost.
    pub fn settles(mut self) -> bool {
        let before = self.ledger.acknowledged;
        for _ in 0..ROUNDS_TO_SETTLE {
            self.calm(1);
            let head = self
                .nodes
                .iter()
                .position(|node| node.chain.head() == Some(node.identity) && node.chain.is_serving());
            let Some(head) = head else { continue };
            self.submit(head);
            self.deliver_all();
            if self.ledger.acknowledged > before {
                return self.ledger.contradiction.is_none() && self.heads_hold_what_was_acknowledged();
            }
        }
        false
    }

    /// Tells states apart by all of their fields.
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
