//! The voter's part: promises and acceptances, each on the disk before it is given.

use std::time::Duration;

use super::{Agreement, AgreementAction, Status, Vote};
use crate::{AgreementMessage, LogRecord, MemberId, Membership, ProposalNumber};

impl Agreement {
    /// Whether this member may vote for an epoch now; if not, the asker is told why where that helps.
    fn may_vote(&self, from: MemberId, epoch: u64, out: &mut Vec<AgreementAction>) -> bool {
        if epoch <= self.epoch() {
            self.tell_view(from, out);
            return false;
        }
        if epoch > self.epoch() + 1 {
            self.ask_view(from, out);
            return false;
        }
        self.members.as_ref().is_some_and(|members| members.is_voter(self.me) && members.is_voter(from))
    }

    /// Takes a ballot if this member may vote and has promised no higher one; the epoch before it is sealed with it.
    fn take_ballot(
        &mut self,
        now: Duration,
        from: MemberId,
        epoch: u64,
        proposal: ProposalNumber,
        out: &mut Vec<AgreementAction>,
    ) -> bool {
        if !self.may_vote(from, epoch, out) {
            return false;
        }
        if let Some(promised) = self.promised.filter(|promised| *promised > proposal) {
            let message = AgreementMessage::Rejected { epoch, promised };
            out.push(AgreementAction::Send { to: from, message });
            return false;
        }
        self.make_way(now, from);
        self.promised = Some(proposal);
        out.push(AgreementAction::Seal { epoch: epoch - 1 });
        true
    }

    pub(super) fn on_prepare(
        &mut self,
        now: Duration,
        from: MemberId,
        epoch: u64,
        proposal: ProposalNumber,
        out: &mut Vec<AgreementAction>,
    ) {
        if !self.take_ballot(now, from, epoch, proposal, out) {
            return;
        }
        out.push(AgreementAction::Persist {
            record: LogRecord::Promise { epoch, proposal },
            vote: Vote::Promised { to: from, epoch, proposal },
        });
    }

    pub(super) fn on_accept(
        &mut self,
        now: Duration,
        from: MemberId,
        proposal: ProposalNumber,
        members: Membership,
        out: &mut Vec<AgreementAction>,
    ) {
        let epoch = members.epoch;
        if !self.take_ballot(now, from, epoch, proposal, out) {
            return;
        }
        self.accepted = Some((proposal, members.clone()));
        out.push(AgreementAction::Persist {
            record: LogRecord::Accepted { proposal, members },
            vote: Vote::Accepted { to: from, epoch, proposal },
        });
    }

    /// A vote is on the disk: it is given, if it still holds.
    pub fn durable(&mut self, vote: Vote, status: Status, out: &mut Vec<AgreementAction>) {
        match vote {
            Vote::Learned => {}
            Vote::Promised { to, epoch, proposal } => {
                if epoch == self.epoch() + 1 && self.promised == Some(proposal) {
                    let accepted = self.accepted.clone();
                    let in_sync = status.in_sync;
                    let message = AgreementMessage::Promise { epoch, proposal, accepted, in_sync };
                    out.push(AgreementAction::Send { to, message });
                }
            }
            Vote::Accepted { to, epoch, proposal } => {
                if epoch == self.epoch() + 1 && self.promised == Some(proposal) {
                    out.push(AgreementAction::Send {
                        to,
                        message: AgreementMessage::Accepted { epoch, proposal },
                    });
                }
            }
        }
    }
}
