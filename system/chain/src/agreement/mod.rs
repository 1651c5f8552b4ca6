//! The votes on the memberships of the control group.
//!
//! Membership `e + 1` is decided once, by single-decree Paxos among the voters of `e`. A promise or an acceptance seals
//! epoch `e` at the voter: its replica takes part in nothing more of it, and what it holds is part of the promise. The
//! next chain begins with a member that counted in the chain of `e`, so it holds everything that was acknowledged.

mod liveness;
mod proposer;
mod value;
mod voter;

use std::time::Duration;

use crate::{
    AgreementMessage, ControlChainSettings, Heartbeat, LogRecord, MemberId, Membership, ProposalNumber,
};
use liveness::Liveness;
use proposer::Proposer;

/// What the replica and the disk of this member are like now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Status {
    /// Whether the replica counts in the chain of the present epoch.
    pub in_sync: bool,
    /// Whether it counts and has not sealed the epoch.
    pub serving: bool,
    /// Whether the disk answers.
    pub disk_ready: bool,
}

/// What is durable once a sync ends, and what is then to be said.
#[derive(Clone, Debug)]
pub(crate) enum Vote {
    /// A membership was learned.
    Learned,
    /// A ballot was promised.
    Promised { to: MemberId, epoch: u64, proposal: ProposalNumber },
    /// A value was accepted.
    Accepted { to: MemberId, epoch: u64, proposal: ProposalNumber },
}

/// What the votes lead to.
#[derive(Clone, Debug)]
pub(crate) enum AgreementAction {
    Send { to: MemberId, message: AgreementMessage },
    Persist { record: LogRecord, vote: Vote },
    Seal { epoch: u64 },
    Install { members: Membership },
}

/// One member's part in the votes.
#[derive(Clone, Debug)]
pub(crate) struct Agreement {
    me: MemberId,
    settings: ControlChainSettings,
    rng: fastrand::Rng,
    members: Option<Membership>,
    /// The highest ballot promised for the next epoch.
    promised: Option<ProposalNumber>,
    /// The value accepted for the next epoch.
    accepted: Option<(ProposalNumber, Membership)>,
    liveness: Liveness,
    proposer: Proposer,
    heartbeat_at: Duration,
    last_event: Duration,
    /// After a start the others are given time to start as well.
    grace_until: Duration,
}

impl Agreement {
    pub fn new(me: MemberId, settings: ControlChainSettings, seed: u64) -> Self {
        Self {
            me,
            rng: fastrand::Rng::with_seed(seed),
            members: None,
            promised: None,
            accepted: None,
            liveness: Liveness::new(settings.max_candidates),
            proposer: Proposer::default(),
            heartbeat_at: Duration::ZERO,
            last_event: Duration::ZERO,
            grace_until: Duration::ZERO,
            settings,
        }
    }

    pub fn me(&self) -> MemberId {
        self.me
    }

    pub fn members(&self) -> Option<&Membership> {
        self.members.as_ref()
    }

    pub fn epoch(&self) -> u64 {
        self.members.as_ref().map_or(0, |members| members.epoch)
    }

    /// The present epoch, if it is sealed here.
    pub fn sealed_epoch(&self) -> Option<u64> {
        self.promised.map(|_| self.epoch())
    }

    /// Takes up a record found on the disk.
    pub fn restore(&mut self, record: &LogRecord) {
        match record {
            LogRecord::Membership { members } if members.epoch > self.epoch() => self.adopt(members.clone()),
            LogRecord::Promise { epoch, proposal } if *epoch == self.epoch() + 1 => {
                self.promised = self.promised.max(Some(*proposal));
            }
            LogRecord::Accepted { proposal, members } if members.epoch == self.epoch() + 1 => {
                self.promised = self.promised.max(Some(*proposal));
                self.accepted = Some((*proposal, members.clone()));
            }
            _ => {}
        }
    }

    /// Everything that must stay on the disk.
    pub fn checkpoint(&self) -> Vec<LogRecord> {
        let mut records = Vec::new();
        let Some(members) = self.members.clone() else { return records };
        let epoch = members.epoch + 1;
        records.push(LogRecord::Membership { members });
        if let Some((proposal, members)) = self.accepted.clone() {
            records.push(LogRecord::Accepted { proposal, members });
        }
        if let Some(proposal) = self.promised {
            records.push(LogRecord::Promise { epoch, proposal });
        }
        records
    }

    pub fn start(&mut self, now: Duration) {
        self.heartbeat_at = now;
        self.last_event = now;
        self.grace_until = now + self.settings.startup_grace_period;
        if let Some(members) = self.members.clone() {
            self.expect_voters(now, &members);
        }
    }

    fn expect_voters(&mut self, now: Duration, members: &Membership) {
        for voter in members.voters.iter().filter(|voter| **voter != self.me) {
            self.liveness.expect(*voter, now.max(self.grace_until));
        }
    }

    /// A member is known to exist, and maybe to have taken the place of another for good.
    pub fn announced(&mut self, member: MemberId, replaces: Option<MemberId>) {
        if member != self.me {
            self.liveness.announce(member, self.members.as_ref());
        }
        if let Some(gone) = replaces.filter(|gone| *gone != member) {
            self.liveness.gone(gone);
        }
    }

    /// Learns a decided membership.
    pub fn learn(&mut self, now: Duration, members: Membership, out: &mut Vec<AgreementAction>) {
        if members.epoch <= self.epoch() {
            return;
        }
        self.expect_voters(now, &members);
        out.push(AgreementAction::Persist {
            record: LogRecord::Membership { members: members.clone() },
            vote: Vote::Learned,
        });
        self.adopt(members.clone());
        out.push(AgreementAction::Install { members });
    }

    fn adopt(&mut self, members: Membership) {
        self.members = Some(members);
        self.promised = None;
        self.accepted = None;
        self.proposer.reset();
    }

    /// Notes that time has passed. After a pause of this process nobody's silence means anything.
    pub fn passed(&mut self, now: Duration) {
        if now.saturating_sub(self.last_event) > self.settings.heartbeat_interval * 2 {
            self.liveness.excuse(now);
        }
        self.last_event = now;
    }

    pub fn on_message(
        &mut self,
        now: Duration,
        from: MemberId,
        message: AgreementMessage,
        status: Status,
        out: &mut Vec<AgreementAction>,
    ) {
        match message {
            AgreementMessage::Heartbeat(heartbeat) => {
                let (theirs, mine) = (heartbeat.epoch, self.epoch());
                self.liveness.heard(now, from, heartbeat, self.members.as_ref());
                if theirs > mine {
                    self.ask_view(from, out);
                } else if theirs < mine {
                    self.tell_view(from, out);
                }
            }
            AgreementMessage::RequestMembership { epoch } if epoch < self.epoch() => {
                self.tell_view(from, out)
            }
            AgreementMessage::RequestMembership { .. } => {}
            AgreementMessage::MembershipDecided { members } => self.learn(now, members, out),
            AgreementMessage::Prepare { epoch, proposal } => self.on_prepare(now, from, epoch, proposal, out),
            AgreementMessage::Accept { proposal, members } => {
                self.on_accept(now, from, proposal, members, out)
            }
            AgreementMessage::Promise { epoch, proposal, accepted, in_sync } => {
                let promise = value::Promise { accepted, in_sync };
                self.on_promise(now, from, epoch, proposal, promise, status, out)
            }
            AgreementMessage::Accepted { epoch, proposal } => {
                self.on_accepted(now, from, epoch, proposal, out)
            }
            AgreementMessage::Rejected { epoch, promised } => self.on_rejected(now, epoch, promised),
        }
    }

    /// Somebody was seen to be in a newer epoch.
    pub fn behind(&mut self, member: MemberId, epoch: u64, out: &mut Vec<AgreementAction>) {
        if epoch > self.epoch() {
            self.ask_view(member, out);
        }
    }

    fn ask_view(&self, to: MemberId, out: &mut Vec<AgreementAction>) {
        out.push(AgreementAction::Send {
            to,
            message: AgreementMessage::RequestMembership { epoch: self.epoch() },
        });
    }

    fn tell_view(&self, to: MemberId, out: &mut Vec<AgreementAction>) {
        if let Some(members) = self.members.clone() {
            out.push(AgreementAction::Send { to, message: AgreementMessage::MembershipDecided { members } });
        }
    }

    pub fn on_tick(&mut self, now: Duration, status: Status, out: &mut Vec<AgreementAction>) {
        if self.heartbeat_at <= now {
            self.heartbeat_at = now + self.settings.heartbeat_interval;
            self.send_heartbeats(now, status, out);
            self.consider(now, status, out);
        }
        self.proposer_tick(now, status, out);
    }

    fn send_heartbeats(&self, now: Duration, status: Status, out: &mut Vec<AgreementAction>) {
        let live_peers = self.liveness.hears(now, self.settings.suspect_timeout);
        let sealed = self.promised.is_some();
        let heartbeat = Heartbeat { epoch: self.epoch(), disk_ready: status.disk_ready, sealed, live_peers };
        for to in self.liveness.receivers(now, self.me, self.members.as_ref(), self.settings.replace_after) {
            let message = AgreementMessage::Heartbeat(heartbeat.clone());
            out.push(AgreementAction::Send { to, message });
        }
    }

    pub fn next_timer(&self) -> Duration {
        let proposer = self.proposer.next_timer(&self.settings);
        proposer.map_or(self.heartbeat_at, |at| at.min(self.heartbeat_at))
    }
}
