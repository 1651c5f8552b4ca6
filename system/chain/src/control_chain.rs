//! The control plane's replicated state: a replica whose views are decided by a majority of its own voters.
//!
//! The host owns the disk, the network and the time. It must keep three promises:
//!
//! - Records of [`ChainAction::Persist`] are written in the order of the actions, and [`ChainEvent::Durable`] is given
//!   only when they and all records before them are synced. One event may stand for all the tokens up to its own, so
//!   the host writes what has queued up with one sync.
//! - A member's identity is on its disk before it is announced, and a disk that has lost anything gets another.
//! - [`ChainEvent::TimerExpired`] is given at [`ControlChain::next_timer`] or soon after it.
//!
//! Messages may be lost, repeated and out of order. Each member that the host learns of is announced by
//! [`MembershipEvent::MemberAnnounced`](crate::MembershipEvent::MemberAnnounced); the host can then reach it under its
//! [`MemberId`].

use std::time::Duration;

use crate::agreement::Agreement;
use crate::event_dispatch::{EventDispatch, MemberState};
use crate::pending_writes::PendingWrites;
use crate::{
    ChainAction, ChainEvent, ControlChainSettings, LogRecord, MemberId, Membership, Replica, ReplicaSettings,
};

/// One member of the control group.
#[derive(Clone, Debug)]
pub struct ControlChain {
    state: MemberState,
}

impl ControlChain {
    /// A founder with an empty disk. All founders are given the same founders in the same order.
    #[must_use]
    pub fn bootstrap(
        local_id: MemberId,
        founders: Vec<MemberId>,
        settings: ControlChainSettings,
        seed: u64,
    ) -> Self {
        let fault_tolerance = settings.fault_tolerance;
        let members = Membership { epoch: 1, voters: founders.clone(), chain: founders, fault_tolerance };
        let mut chain = Self::recover(local_id, Vec::new(), settings, seed);
        chain.state.founding = Some(members);
        chain
    }

    /// A member with an empty disk that joins the group of the members announced to it.
    #[must_use]
    pub fn join(local_id: MemberId, settings: ControlChainSettings, seed: u64) -> Self {
        Self::recover(local_id, Vec::new(), settings, seed)
    }

    /// Recovers a member from what its disk holds. No record at all is the same as [`ControlChain::join`].
    /// The seed must differ from one start of the process to the next.
    #[must_use]
    pub fn recover(
        local_id: MemberId,
        records: Vec<LogRecord>,
        settings: ControlChainSettings,
        seed: u64,
    ) -> Self {
        let bounds =
            ReplicaSettings { min_chain_length: settings.fault_tolerance + 1, ..settings.replica.clone() };
        let replica = Replica::recover(local_id, &records, bounds, seed);
        let disk_timeout = settings.disk_timeout;
        let mut agreement = Agreement::new(local_id, settings, seed);
        for record in &records {
            agreement.restore(record);
        }
        Self {
            state: MemberState {
                agreement,
                replica,
                pending_writes: PendingWrites::default(),
                disk_timeout,
                founding: None,
            },
        }
    }

    /// Handles an event, and appends the actions that follow.
    pub fn handle(&mut self, now: Duration, event: ChainEvent, out: &mut Vec<ChainAction>) {
        EventDispatch::new(&mut self.state, now, out).run_until_idle(event);
    }

    /// When [`ChainEvent::TimerExpired`] is due next.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        let agreement = self.state.agreement.next_timer();
        Some(self.state.replica.next_timer().map_or(agreement, |at| at.min(agreement)))
    }

    /// This member's identity.
    #[must_use]
    pub fn local_id(&self) -> MemberId {
        self.state.agreement.local_id()
    }

    /// The membership in force as far as known here.
    #[must_use]
    pub fn members(&self) -> Option<&Membership> {
        self.state.agreement.members()
    }

    /// The head of the chain as far as known here.
    #[must_use]
    pub fn head(&self) -> Option<MemberId> {
        self.members()?.chain.first().copied()
    }

    /// Whether this member is in the chain, holds all that is committed, and hasn't sealed the view.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state.replica.is_serving()
    }

    /// The last entry given to the host to apply. It is in the host's state once all actions so far are carried out.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.state.replica.applied_index()
    }

    /// Everything that must stay on the disk once the state after the last applied entry is encoded as `state`. The
    /// host writes these records after all that it was to persist before, and may then drop all of that. It must
    /// have done all the actions so far; [`ControlChain::applied_index`] is the index of the state. None while the state is
    /// being replaced by another member's; a later call succeeds.
    #[must_use]
    pub fn checkpoint(&self, state: Vec<u8>) -> Option<Vec<LogRecord>> {
        let mut records = self.state.replica.checkpoint(state)?;
        records.extend(self.state.agreement.checkpoint());
        Some(records)
    }
}
