//! Carries one event through the votes and the replica of a member of the control group, until nothing more follows.

use std::collections::VecDeque;
use std::time::Duration;

use crate::agreement::{Agreement, AgreementAction, Status, Vote};
use crate::{
    AgreementMessage, ChainAction, ChainEvent, ChainMessage, LogRecord, MemberId, Membership, Replica,
    ReplicaAction, ReplicaEvent,
};

/// The machines of one member: the votes on memberships, the replica, and the disk that both write to.
#[derive(Clone, Debug)]
pub(crate) struct Machines {
    pub agreement: Agreement,
    pub replica: Replica,
    pub disk: Disk,
    /// A disk that takes longer than this does not answer.
    pub disk_timeout: Duration,
    /// The first membership, where this member founds the group.
    pub founding: Option<Membership>,
}

/// On whose behalf records are being written.
#[derive(Clone, Debug)]
enum Owner {
    Replica { token: u64 },
    Vote(Vote),
}

/// The writes under way, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    next_token: u64,
    writes: VecDeque<(u64, Duration, Owner)>,
}

impl Disk {
    fn write(&mut self, now: Duration, owner: Owner) -> u64 {
        self.next_token += 1;
        self.writes.push_back((self.next_token, now, owner));
        self.next_token
    }

    fn done(&mut self, up_to: u64) -> Option<Owner> {
        self.writes.front().filter(|(token, ..)| *token <= up_to)?;
        self.writes.pop_front().map(|(_, _, owner)| owner)
    }

    fn is_ready(&self, now: Duration, within: Duration) -> bool {
        self.writes.front().is_none_or(|(_, since, _)| now < *since + within)
    }
}

/// One event on its way.
pub(crate) struct Turn<'a> {
    machines: &'a mut Machines,
    now: Duration,
    out: &'a mut Vec<ChainAction>,
    from_replica: Vec<ReplicaAction>,
    from_agreement: Vec<AgreementAction>,
    /// Votes from this member to itself.
    to_myself: VecDeque<AgreementMessage>,
}

impl<'a> Turn<'a> {
    pub fn new(machines: &'a mut Machines, now: Duration, out: &'a mut Vec<ChainAction>) -> Self {
        Self {
            machines,
            now,
            out,
            from_replica: Vec::new(),
            from_agreement: Vec::new(),
            to_myself: VecDeque::new(),
        }
    }

    pub fn run(&mut self, event: ChainEvent) {
        self.machines.agreement.passed(self.now);
        self.take(event);
        self.settle();
        while let Some(message) = self.to_myself.pop_front() {
            self.vote_message(self.machines.agreement.me(), message);
            self.settle();
        }
    }

    fn status(&self) -> Status {
        Status {
            in_sync: self.machines.replica.is_in_sync(),
            serving: self.machines.replica.is_serving(),
            disk_ready: self.machines.disk.is_ready(self.now, self.machines.disk_timeout),
        }
    }

    fn take(&mut self, event: ChainEvent) {
        match event {
            ChainEvent::Started => self.start(),
            ChainEvent::Message { from, message: ChainMessage::Replica(message) } => {
                self.replica(ReplicaEvent::Message { from, message })
            }
            ChainEvent::Message { from, message: ChainMessage::Agreement(message) } => {
                self.vote_message(from, message)
            }
            ChainEvent::Durable { token } => self.durable(token),
            ChainEvent::Submit { command } => self.replica(ReplicaEvent::Submit { command }),
            ChainEvent::Read { token } => self.replica(ReplicaEvent::Read { token }),
            ChainEvent::MemberAnnounced { member, replaces } => {
                self.machines.agreement.announced(member, replaces)
            }
            ChainEvent::SnapshotReady { index, bytes } => {
                self.replica(ReplicaEvent::SnapshotReady { index, bytes })
            }
            ChainEvent::TimerExpired => {
                let status = self.status();
                self.machines.agreement.on_tick(self.now, status, &mut self.from_agreement);
                self.replica(ReplicaEvent::TimerExpired);
            }
        }
    }

    fn start(&mut self) {
        self.machines.agreement.start(self.now);
        if let Some(members) = self.machines.founding.take() {
            self.machines.agreement.learn(self.now, members, &mut self.from_agreement);
        }
        self.replica(ReplicaEvent::Started);
        if let Some(epoch) = self.machines.agreement.sealed_epoch() {
            self.out.push(ChainAction::Sealed { epoch });
        }
        self.replica(ReplicaEvent::FollowAsLearner);
        // A crash may have come between the records of a membership and of its view.
        if let Some(members) =
            self.machines.agreement.members().filter(|members| members.epoch > self.machines.replica.epoch())
        {
            let view = members.view();
            if self.from_agreement.is_empty() {
                self.replica(ReplicaEvent::Install { view });
            }
        }
    }

    fn durable(&mut self, token: u64) {
        while let Some(owner) = self.machines.disk.done(token) {
            match owner {
                Owner::Replica { token } => self.replica(ReplicaEvent::Durable { token }),
                Owner::Vote(vote) => {
                    let status = self.status();
                    self.machines.agreement.durable(vote, status, &mut self.from_agreement);
                }
            }
            self.settle();
        }
    }

    fn replica(&mut self, event: ReplicaEvent) {
        self.machines.replica.handle(self.now, event, &mut self.from_replica);
    }

    fn vote_message(&mut self, from: MemberId, message: AgreementMessage) {
        let status = self.status();
        self.machines.agreement.on_message(self.now, from, message, status, &mut self.from_agreement);
    }

    /// Does what the two machines want of each other, and hands the rest to the host.
    fn settle(&mut self) {
        while !self.from_replica.is_empty() || !self.from_agreement.is_empty() {
            for action in std::mem::take(&mut self.from_agreement) {
                self.agreement_action(action);
            }
            for action in std::mem::take(&mut self.from_replica) {
                self.replica_action(action);
            }
        }
    }

    fn agreement_action(&mut self, action: AgreementAction) {
        match action {
            AgreementAction::Send { to, message } if to == self.machines.agreement.me() => {
                self.to_myself.push_back(message)
            }
            AgreementAction::Send { to, message } => {
                self.out.push(ChainAction::Send { to, message: ChainMessage::Agreement(message) })
            }
            AgreementAction::Persist { record, vote } => self.persist(vec![record], Owner::Vote(vote)),
            AgreementAction::Seal { epoch } => {
                self.machines.replica.seal_in_memory(epoch);
                self.out.push(ChainAction::Sealed { epoch });
            }
            AgreementAction::Install { members } => {
                self.replica(ReplicaEvent::Install { view: members.view() })
            }
        }
    }

    fn persist(&mut self, records: Vec<LogRecord>, owner: Owner) {
        let token = self.machines.disk.write(self.now, owner);
        self.out.push(ChainAction::Persist { token, records });
    }

    fn replica_action(&mut self, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                self.out.push(ChainAction::Send { to, message: ChainMessage::Replica(message) })
            }
            ReplicaAction::Persist { token, records } => self.persist(records, Owner::Replica { token }),
            ReplicaAction::Installed { .. } => {
                if let Some(members) = self.machines.agreement.members().cloned() {
                    self.out.push(ChainAction::ViewInstalled { members });
                }
            }
            ReplicaAction::LearnerProgress { member, behind } => {
                let status = self.status();
                let out = &mut self.from_agreement;
                self.machines.agreement.caught_up(self.now, member, behind, status, out);
            }
            ReplicaAction::OwnViewStale { member, epoch } => {
                self.machines.agreement.behind(member, epoch, &mut self.from_agreement)
            }
            ReplicaAction::Sealed { .. } => {}
            action => self.out.extend(for_host(action)),
        }
    }
}

/// The actions that mean the same to the host of a replica and of a control chain.
fn for_host(action: ReplicaAction) -> Option<ChainAction> {
    Some(match action {
        ReplicaAction::Apply { index, command, reply } => ChainAction::Apply { index, command, reply },
        ReplicaAction::TakeSnapshot => ChainAction::TakeSnapshot,
        ReplicaAction::InstallSnapshot { index, bytes } => ChainAction::InstallSnapshot { index, bytes },
        ReplicaAction::ReadReady { token, index } => ChainAction::ReadReady { token, index },
        ReplicaAction::ReadFailed { token } => ChainAction::ReadFailed { token },
        ReplicaAction::NotHead { command, head } => ChainAction::NotHead { command, head },
        ReplicaAction::Busy { command } => ChainAction::Busy { command },
        ReplicaAction::BecameInSync { epoch } => ChainAction::BecameInSync { epoch },
        ReplicaAction::BarrierCommitted { epoch, number, commit_index } => {
            ChainAction::BarrierCommitted { epoch, number, commit_index }
        }
        _ => return None,
    })
}
