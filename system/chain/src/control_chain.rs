//! The replicated state of the control plane: a replica whose views are decided by a majority of its own voters.
//!
//! The host owns the disk, the network and the clock. It must meet three requirements:
//!
//! - It writes the records of [`ChainAction::Persist`] in the order of the actions, and sends [`ChainEvent::Durable`] only when
//!   they and all records before them are synced. One event covers all tokens up to its own, so that the host can write all
//!   queued records with one sync.
//! - It stores the identity of a member on the disk before it announces the member, and gives a disk that has lost any data a new
//!   identity.
//! - It sends [`ChainEvent::TimerExpired`] at [`ControlChain::next_timer`] or soon after it.
//!
//! Messages may be lost, duplicated and reordered. The host announces each member that it learns of by
//! [`MembershipEvent::MemberAnnounced`](crate::MembershipEvent::MemberAnnounced); from then on it must be able to send messages
//! to that [`MemberId`].

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
    /// Creates a founding member with an empty disk. All founders must be given the same list of founders in the same order.
    #[must_use]
    pub fn bootstrap(
        local_id: MemberId,
        founders: Vec<MemberId>,
        settings: ControlChainSettings,
        seed: u64,
    ) -> Self {
        let fault_tolerance = settings.fault_tolerance;
        let membership = Membership { epoch: 1, voters: founders.clone(), chain: founders, fault_tolerance };
        let mut chain = Self::recover(local_id, Vec::new(), settings, seed);
        chain.state.founding = Some(membership);
        chain
    }

    /// Creates a member with an empty disk, which joins the group of the members that are announced to it.
    #[must_use]
    pub fn join(local_id: MemberId, settings: ControlChainSettings, seed: u64) -> Self {
        Self::recover(local_id, Vec::new(), settings, seed)
    }

    /// Recovers a member from the records on its disk. Without records it is the same as [`ControlChain::join`]. The seed must
    /// differ from one start of the process to the next.
    #[must_use]
    pub fn recover(
        local_id: MemberId,
        records: Vec<LogRecord>,
        settings: ControlChainSettings,
        seed: u64,
    ) -> Self {
        let replica_settings =
            ReplicaSettings { min_chain_length: settings.fault_tolerance + 1, ..settings.replica.clone() };
        let replica = Replica::recover(local_id, &records, replica_settings, seed);
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

    /// The time at which [`ChainEvent::TimerExpired`] is due next.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        let agreement = self.state.agreement.next_timer();
        Some(self.state.replica.next_timer().map_or(agreement, |at| at.min(agreement)))
    }

    /// The identity of this member.
    #[must_use]
    pub fn local_id(&self) -> MemberId {
        self.state.agreement.local_id()
    }

    /// The newest membership known to this member.
    #[must_use]
    pub fn membership(&self) -> Option<&Membership> {
        self.state.agreement.membership()
    }

    /// The head of the chain in the newest membership known to this member.
    #[must_use]
    pub fn head(&self) -> Option<MemberId> {
        self.membership()?.chain.first().copied()
    }

    /// Whether this member is in the chain, holds all committed entries, and has not sealed the view.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state.replica.is_serving()
    }

    /// Index of the last entry handed to the host to apply. The host's state includes it once the host has carried out all
    /// actions so far.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.state.replica.applied_index()
    }

    /// The records that must stay on the disk once the state after the last applied entry is encoded as `state`. The host writes
    /// them after all records of earlier actions, which it may then delete. It must have carried out all actions so far;
    /// [`ControlChain::applied_index`] is the index of the state. `None` while the state is being replaced by the snapshot of
    /// another member; a later call succeeds.
    #[must_use]
    pub fn checkpoint(&self, state: Vec<u8>) -> Option<Vec<LogRecord>> {
        let mut records = self.state.replica.checkpoint(state)?;
        records.extend(self.state.agreement.checkpoint());
        Some(records)
    }
}
