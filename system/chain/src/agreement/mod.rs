//! Agreement on the memberships of the control group.
//!
//! Membership `e + 1` is decided exactly once, by single-decree Paxos among the voters of `e` (Lamport, "Paxos Made Simple"). A
//! promise or an acceptance seals epoch `e` at the voter: its replica stops taking part in that epoch, so that its log no longer
//! changes, and the promise reports whether the replica was in sync. The head of the next chain is a member that was in sync in
//! the chain of `e`; therefore it holds everything that was acknowledged.
//!
//! [`liveness`] tracks which members are reachable, [`proposer`] decides when the chain has to change and runs both phases of the
//! vote, [`voter`] makes promises and accepts values, and [`value`] derives the next membership from the promises.

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

/// The current status of the replica and the disk of this member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberStatus {
    /// Whether the replica is in sync in the chain of the current epoch.
    pub in_sync: bool,
    /// Whether the replica is in sync and has not sealed the epoch.
    pub serving: bool,
    /// Whether the disk completes writes in time.
    pub disk_ready: bool,
}

/// The vote that a write makes durable, with the address of the message that may be sent afterwards.
#[derive(Clone, Debug)]
pub(crate) enum Vote {
    /// A decided membership was learned; no message follows.
    Learned,
    /// A proposal number was promised.
    Promised { to: MemberId, epoch: u64, proposal: ProposalNumber },
    /// A value was accepted.
    Accepted { to: MemberId, epoch: u64, proposal: ProposalNumber },
}

/// An action of the agreement, carried out by [`EventDispatch`](crate::event_dispatch::EventDispatch).
#[derive(Clone, Debug)]
pub(crate) enum AgreementAction {
    Send { to: MemberId, message: AgreementMessage },
    Persist { record: LogRecord, vote: Vote },
    Seal { epoch: u64 },
    Install { membership: Membership },
}

/// The Paxos state of one member, as a voter and as a proposer.
#[derive(Clone, Debug)]
pub(crate) struct Agreement {
    local_id: MemberId,
    settings: ControlChainSettings,
    rng: fastrand::Rng,
    membership: Option<Membership>,
    /// The highest proposal number promised for the next epoch.
    promised: Option<ProposalNumber>,
    /// The value accepted for the next epoch.
    accepted: Option<(ProposalNumber, Membership)>,
    liveness: Liveness,
    proposer: Proposer,
    next_heartbeat_at: Duration,
    last_event_at: Duration,
    /// The time-out of a voter from which no heartbeat has arrived starts no earlier than this, because the other processes may
    /// still be starting as well.
    startup_grace_until: Duration,
}

impl Agreement {
    pub(crate) fn new(local_id: MemberId, settings: ControlChainSettings, seed: u64) -> Self {
        Self {
            local_id,
            rng: fastrand::Rng::with_seed(seed),
            membership: None,
            promised: None,
            accepted: None,
            liveness: Liveness::new(settings.max_non_voters),
            proposer: Proposer::default(),
            next_heartbeat_at: Duration::ZERO,
            last_event_at: Duration::ZERO,
            startup_grace_until: Duration::ZERO,
            settings,
        }
    }

    pub(crate) fn local_id(&self) -> MemberId {
        self.local_id
    }

    pub(crate) fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.membership.as_ref().map_or(0, |membership| membership.epoch)
    }

    /// The current epoch, if this member has sealed it.
    pub(crate) fn sealed_epoch(&self) -> Option<u64> {
        self.promised.map(|_| self.epoch())
    }

    /// Restores the state from a record on the disk. Called for all records in the order written.
    pub(crate) fn restore(&mut self, record: &LogRecord) {
        match record {
            LogRecord::Membership { membership } if membership.epoch > self.epoch() => {
                self.adopt(membership.clone());
            }
            LogRecord::Promise { epoch, proposal } if *epoch == self.epoch() + 1 => {
                self.promised = self.promised.max(Some(*proposal));
            }
            LogRecord::Accepted { proposal, membership } if membership.epoch == self.epoch() + 1 => {
                self.promised = self.promised.max(Some(*proposal));
                self.accepted = Some((*proposal, membership.clone()));
            }
            _ => {}
        }
    }

    /// The records that must stay on the disk.
    pub(crate) fn checkpoint(&self) -> Vec<LogRecord> {
        let mut records = Vec::new();
        let Some(membership) = self.membership.clone() else { return records };
        let epoch = membership.epoch + 1;
        records.push(LogRecord::Membership { membership });
        if let Some((proposal, membership)) = self.accepted.clone() {
            records.push(LogRecord::Accepted { proposal, membership });
        }
        if let Some(proposal) = self.promised {
            records.push(LogRecord::Promise { epoch, proposal });
        }
        records
    }

    pub(crate) fn on_started(&mut self, now: Duration) {
        self.next_heartbeat_at = now;
        self.last_event_at = now;
        self.startup_grace_until = now + self.settings.startup_grace_period;
        if let Some(membership) = self.membership.clone() {
            self.expect_voters(now, &membership);
        }
    }

    fn expect_voters(&mut self, now: Duration, membership: &Membership) {
        for voter in membership.voters.iter().filter(|voter| **voter != self.local_id) {
            self.liveness.expect_heartbeat(*voter, now.max(self.startup_grace_until));
        }
    }

    /// Handles the announcement of a member, which may replace an earlier identity at the same address.
    pub(crate) fn on_member_announced(&mut self, member: MemberId, replaces: Option<MemberId>) {
        if member != self.local_id {
            self.liveness.on_announced(member, self.membership.as_ref());
        }
        if let Some(replaced) = replaces.filter(|replaced| *replaced != member) {
            self.liveness.mark_replaced(replaced);
        }
    }

    /// Adopts a decided membership if it is newer than the current one.
    pub(crate) fn learn_membership(
        &mut self,
        now: Duration,
        membership: Membership,
        out: &mut Vec<AgreementAction>,
    ) {
        if membership.epoch <= self.epoch() {
            return;
        }
        self.expect_voters(now, &membership);
        out.push(AgreementAction::Persist {
            record: LogRecord::Membership { membership: membership.clone() },
            vote: Vote::Learned,
        });
        self.adopt(membership.clone());
        out.push(AgreementAction::Install { membership });
    }

    fn adopt(&mut self, membership: Membership) {
        self.membership = Some(membership);
        self.promised = None;
        self.accepted = None;
        self.proposer.reset();
    }

    /// Detects a pause of this process from the time since the last event. Heartbeats may have arrived unprocessed during the
    /// pause, so the time-outs of the other members are restarted.
    pub(crate) fn observe_time(&mut self, now: Duration) {
        if now.saturating_sub(self.last_event_at) > self.settings.heartbeat_interval * 2 {
            self.liveness.restart_timeouts(now);
        }
        self.last_event_at = now;
    }

    pub(crate) fn on_message(
        &mut self,
        now: Duration,
        from: MemberId,
        message: AgreementMessage,
        status: MemberStatus,
        out: &mut Vec<AgreementAction>,
    ) {
        match message {
            AgreementMessage::Heartbeat(heartbeat) => {
                let (sender_epoch, own_epoch) = (heartbeat.epoch, self.epoch());
                self.liveness.on_heartbeat(now, from, heartbeat, self.membership.as_ref());
                if sender_epoch > own_epoch {
                    self.request_membership(from, out);
                } else if sender_epoch < own_epoch {
                    self.send_membership(from, out);
                }
            }
            AgreementMessage::RequestMembership { epoch } if epoch < self.epoch() => {
                self.send_membership(from, out);
            }
            AgreementMessage::RequestMembership { .. } => {}
            AgreementMessage::MembershipDecided { membership } => self.learn_membership(now, membership, out),
            AgreementMessage::Prepare { epoch, proposal } => self.on_prepare(now, from, epoch, proposal, out),
            AgreementMessage::Accept { proposal, membership } => {
                self.on_accept(now, from, proposal, membership, out);
            }
            AgreementMessage::Promise { epoch, proposal, accepted, in_sync } => {
                let promise = value::Promise { accepted, in_sync };
                if self.record_promise(now, from, epoch, proposal, promise) {
                    self.try_accept(now, status, out);
                }
            }
            AgreementMessage::Accepted { epoch, proposal } => {
                self.on_accepted(now, from, epoch, proposal, out);
            }
            AgreementMessage::Rejected { epoch, promised } => self.on_rejected(now, epoch, promised),
        }
    }

    /// Requests the membership of a member that is in a newer epoch.
    pub(crate) fn on_newer_epoch(&mut self, member: MemberId, epoch: u64, out: &mut Vec<AgreementAction>) {
        if epoch > self.epoch() {
            self.request_membership(member, out);
        }
    }

    fn request_membership(&self, to: MemberId, out: &mut Vec<AgreementAction>) {
        out.push(AgreementAction::Send {
            to,
            message: AgreementMessage::RequestMembership { epoch: self.epoch() },
        });
    }

    fn send_membership(&self, to: MemberId, out: &mut Vec<AgreementAction>) {
        if let Some(membership) = self.membership.clone() {
            out.push(AgreementAction::Send {
                to,
                message: AgreementMessage::MembershipDecided { membership },
            });
        }
    }

    pub(crate) fn on_timer_expired(
        &mut self,
        now: Duration,
        status: MemberStatus,
        out: &mut Vec<AgreementAction>,
    ) {
        if self.next_heartbeat_at <= now {
            self.next_heartbeat_at = now + self.settings.heartbeat_interval;
            self.send_heartbeats(now, status, out);
            self.propose_if_needed(now, status, out);
        }
        self.on_proposer_timer(now, status, out);
    }

    fn send_heartbeats(&self, now: Duration, status: MemberStatus, out: &mut Vec<AgreementAction>) {
        let live_peers = self.liveness.live_peers(now, self.settings.suspect_timeout);
        let sealed = self.promised.is_some();
        let heartbeat = Heartbeat { epoch: self.epoch(), disk_ready: status.disk_ready, sealed, live_peers };
        for to in self.liveness.heartbeat_receivers(
            now,
            self.local_id,
            self.membership.as_ref(),
            self.settings.replace_after,
        ) {
            let message = AgreementMessage::Heartbeat(heartbeat.clone());
            out.push(AgreementAction::Send { to, message });
        }
    }

    pub(crate) fn next_timer(&self) -> Duration {
        let proposer = self.proposer.next_timer(&self.settings);
        proposer.map_or(self.next_heartbeat_at, |at| at.min(self.next_heartbeat_at))
    }
}
