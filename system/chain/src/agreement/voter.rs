//! The voter: promises proposal numbers and accepts values. Each vote is durable before it is sent.

use std::time::Duration;

use super::{Agreement, AgreementAction, MemberStatus, Vote};
use crate::{AgreementMessage, LogRecord, MemberId, Membership, ProposalNumber};

impl Agreement {
    /// Whether this member may vote on an epoch now. A proposer in an older epoch is sent the newer membership; from a proposer
    /// in a newer epoch, the membership is requested.
    fn check_may_vote(&self, from: MemberId, epoch: u64, out: &mut Vec<AgreementAction>) -> bool {
        if epoch <= self.epoch() {
            self.send_membership(from, out);
            return false;
        }
        if epoch > self.epoch() + 1 {
            self.request_membership(from, out);
            return false;
        }
        self.membership
            .as_ref()
            .is_some_and(|membership| membership.is_voter(self.local_id) && membership.is_voter(from))
    }

    /// Adopts a proposal number if this member may vote and has promised no higher one, and seals the preceding epoch. Returns
    /// whether the number was adopted.
    fn adopt_proposal_number(
        &mut self,
        now: Duration,
        from: MemberId,
        epoch: u64,
        proposal: ProposalNumber,
        out: &mut Vec<AgreementAction>,
    ) -> bool {
        if !self.check_may_vote(from, epoch, out) {
            return false;
        }
        if let Some(promised) = self.promised.filter(|promised| *promised > proposal) {
            let message = AgreementMessage::Rejected { epoch, promised };
            out.push(AgreementAction::Send { to: from, message });
            return false;
        }
        self.defer_to(now, from);
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
        if !self.adopt_proposal_number(now, from, epoch, proposal, out) {
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
        membership: Membership,
        out: &mut Vec<AgreementAction>,
    ) {
        let epoch = membership.epoch;
        if !self.adopt_proposal_number(now, from, epoch, proposal, out) {
            return;
        }
        self.accepted = Some((proposal, membership.clone()));
        out.push(AgreementAction::Persist {
            record: LogRecord::Accepted { proposal, membership },
            vote: Vote::Accepted { to: from, epoch, proposal },
        });
    }

    /// Handles a vote that has become durable. Its message is sent unless a higher proposal number has been promised since.
    pub(crate) fn on_vote_durable(
        &mut self,
        vote: Vote,
        status: MemberStatus,
        out: &mut Vec<AgreementAction>,
    ) {
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
