//! Event dispatch within a member: passes an event to its components, the agreement and the replica, and then passes their
//! outputs to each other and to the host until none is left.

use std::collections::VecDeque;
use std::time::Duration;

use crate::agreement::{Agreement, AgreementAction, MemberStatus};
use crate::pending_writes::{PendingWrites, WriteOwner};
use crate::{
    AgreementMessage, ChainAction, ChainEvent, ChainMessage, LogRecord, MemberId, Membership,
    MembershipAction, MembershipEvent, Replica, ReplicaAction, ReplicaEvent, ViewAction, ViewEvent,
};

/// All state of one member of the control group.
#[derive(Clone, Debug)]
pub(crate) struct MemberState {
    /// The agreement on memberships.
    pub agreement: Agreement,
    /// The replicated log.
    pub replica: Replica,
    /// The writes in flight of both components.
    pub pending_writes: PendingWrites,
    /// The disk counts as unresponsive if a write takes longer than this.
    pub disk_timeout: Duration,
    /// The first membership, if this member is a founder that has not started yet.
    pub founding: Option<Membership>,
}

/// The processing of one event.
pub(crate) struct EventDispatch<'a> {
    state: &'a mut MemberState,
    now: Duration,
    /// Actions for the host.
    out: &'a mut Vec<ChainAction>,
    replica_actions: Vec<ReplicaAction>,
    agreement_actions: Vec<AgreementAction>,
    /// Agreement messages that this member sends to itself.
    loopback: VecDeque<AgreementMessage>,
}

impl<'a> EventDispatch<'a> {
    /// Creates a dispatch that appends the actions for the host to `out`.
    pub(crate) fn new(state: &'a mut MemberState, now: Duration, out: &'a mut Vec<ChainAction>) -> Self {
        Self {
            state,
            now,
            out,
            replica_actions: Vec::new(),
            agreement_actions: Vec::new(),
            loopback: VecDeque::new(),
        }
    }

    /// Handles an event and all outputs that result from it.
    pub(crate) fn run_until_idle(&mut self, event: ChainEvent) {
        self.state.agreement.observe_time(self.now);
        self.handle_event(event);
        self.process_outputs();
        while let Some(message) = self.loopback.pop_front() {
            self.on_agreement_message(self.state.agreement.local_id(), message);
            self.process_outputs();
        }
    }

    fn status(&self) -> MemberStatus {
        let MemberState { replica, pending_writes, disk_timeout, .. } = &*self.state;
        MemberStatus {
            in_sync: replica.is_in_sync(),
            serving: replica.is_serving(),
            disk_ready: pending_writes.is_disk_responsive(self.now, *disk_timeout),
        }
    }

    fn handle_event(&mut self, event: ChainEvent) {
        match event {
            ChainEvent::Started => self.on_started(),
            ChainEvent::Message { from, message: ChainMessage::Replica(message) } => {
                self.replica_event(ReplicaEvent::Message { from, message });
            }
            ChainEvent::Message { from, message: ChainMessage::Agreement(message) } => {
                self.on_agreement_message(from, message);
            }
            ChainEvent::Durable { token } => self.on_durable(token),
            ChainEvent::Submit { command } => self.replica_event(ReplicaEvent::Submit { command }),
            ChainEvent::Read { token } => self.replica_event(ReplicaEvent::Read { token }),
            ChainEvent::SnapshotReady { index, bytes } => {
                self.replica_event(ReplicaEvent::SnapshotReady { index, bytes });
            }
            ChainEvent::TimerExpired => self.on_timer_expired(),
            ChainEvent::View(MembershipEvent::MemberAnnounced { member, replaces }) => {
                self.state.agreement.on_member_announced(member, replaces);
            }
        }
    }

    fn on_started(&mut self) {
        self.state.agreement.on_started(self.now);
        if let Some(membership) = self.state.founding.take() {
            self.state.agreement.learn_membership(self.now, membership, &mut self.agreement_actions);
        }
        self.replica_event(ReplicaEvent::Started);
        if let Some(epoch) = self.state.agreement.sealed_epoch() {
            self.out.push(ChainAction::View(MembershipAction::Sealed { epoch }));
        }
        self.replica_event(ReplicaEvent::View(ViewEvent::FollowAsLearner));
        self.install_recovered_view();
    }

    /// Installs the view of a recovered membership if the view is not on the disk, because the process ended between the writes
    /// of the two records.
    fn install_recovered_view(&mut self) {
        let epoch = self.state.replica.epoch();
        let newer = self.state.agreement.membership().filter(|membership| membership.epoch > epoch);
        if let Some(view) = newer.map(Membership::view) {
            if self.agreement_actions.is_empty() {
                self.replica_event(ReplicaEvent::View(ViewEvent::Install { view }));
            }
        }
    }

    fn on_durable(&mut self, synced_token: u64) {
        while let Some(owner) = self.state.pending_writes.complete_next(synced_token) {
            match owner {
                WriteOwner::Replica { token } => self.replica_event(ReplicaEvent::Durable { token }),
                WriteOwner::Agreement(vote) => {
                    let status = self.status();
                    self.state.agreement.on_vote_durable(vote, status, &mut self.agreement_actions);
                }
            }
            self.process_outputs();
        }
    }

    fn on_timer_expired(&mut self) {
        let status = self.status();
        self.state.agreement.on_timer_expired(self.now, status, &mut self.agreement_actions);
        self.replica_event(ReplicaEvent::TimerExpired);
    }

    fn on_agreement_message(&mut self, from: MemberId, message: AgreementMessage) {
        let status = self.status();
        self.state.agreement.on_message(self.now, from, message, status, &mut self.agreement_actions);
    }

    fn replica_event(&mut self, event: ReplicaEvent) {
        self.state.replica.handle(self.now, event, &mut self.replica_actions);
    }

    /// Passes the outputs of the two components to each other and to the host until there are none left.
    fn process_outputs(&mut self) {
        while !self.replica_actions.is_empty() || !self.agreement_actions.is_empty() {
            for action in std::mem::take(&mut self.agreement_actions) {
                self.on_agreement_action(action);
            }
            for action in std::mem::take(&mut self.replica_actions) {
                self.on_replica_action(action);
            }
        }
    }

    fn on_agreement_action(&mut self, action: AgreementAction) {
        match action {
            AgreementAction::Send { to, message } if to == self.state.agreement.local_id() => {
                self.loopback.push_back(message);
            }
            AgreementAction::Send { to, message } => {
                self.out.push(ChainAction::Send { to, message: ChainMessage::Agreement(message) });
            }
            AgreementAction::Persist { record, vote } => {
                self.persist(vec![record], WriteOwner::Agreement(vote));
            }
            AgreementAction::Seal { epoch } => {
                self.state.replica.seal_in_memory(epoch);
                self.out.push(ChainAction::View(MembershipAction::Sealed { epoch }));
            }
            AgreementAction::Install { membership } => {
                self.replica_event(ReplicaEvent::View(ViewEvent::Install { view: membership.view() }));
            }
        }
    }

    fn persist(&mut self, records: Vec<LogRecord>, owner: WriteOwner) {
        let token = self.state.pending_writes.start(self.now, owner);
        self.out.push(ChainAction::Persist { token, records });
    }

    fn on_replica_action(&mut self, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                self.out.push(ChainAction::Send { to, message: ChainMessage::Replica(message) });
            }
            ReplicaAction::Persist { token, records } => self.persist(records, WriteOwner::Replica { token }),
            ReplicaAction::View(action) => self.on_view_action(action),
            action => self.out.extend(host_action(action)),
        }
    }

    fn on_view_action(&mut self, action: ViewAction) {
        match action {
            ViewAction::Installed { .. } => {
                if let Some(membership) = self.state.agreement.membership().cloned() {
                    self.out.push(ChainAction::View(MembershipAction::Installed { membership }));
                }
            }
            ViewAction::LearnerProgress { member, lag } => {
                let status = self.status();
                let out = &mut self.agreement_actions;
                self.state.agreement.on_learner_progress(self.now, member, lag, status, out);
            }
            ViewAction::OwnViewStale { member, epoch } => {
                self.state.agreement.on_newer_epoch(member, epoch, &mut self.agreement_actions);
            }
            // This action follows only from `ViewEvent::Seal`, which a control chain does not use: its votes seal the epoch in
            // memory.
            ViewAction::Sealed { .. } => {}
        }
    }
}

/// Converts an action of the replica to one for the host of the control chain. `None` for actions that this module carries out
/// itself.
fn host_action(action: ReplicaAction) -> Option<ChainAction> {
    Some(match action {
        ReplicaAction::Apply { index, command, should_reply } => {
            ChainAction::Apply { index, command, should_reply }
        }
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
        ReplicaAction::Send { .. } | ReplicaAction::Persist { .. } | ReplicaAction::View(_) => return None,
    })
}
