//! The driver of the control chain: feeds events to the machine, collects its actions, and applies committed commands to the control
//! state. Carrying out the actions is the event loop's part.

use std::collections::VecDeque;
use std::time::Duration;

use gingerledge_chain::{
    ChainAction, ChainEvent, ChainMessage, ControlChain, LogRecord, MemberId, Membership,
};
use gingerledge_wire::{Command, CommandOutcome, Entry, FreshnessTick};

use super::clock::Clock;
use super::submitted_command::SubmittedCommand;
use super::NodeError;
use crate::state::ControlState;

/// Most confirmed ticks that wait for the entries before them to be applied.
const MAX_UNAPPLIED_TICKS: usize = 16;

/// A confirmed tick that may be sent on once everything committed before it is applied here.
#[derive(Clone, Copy, Debug)]
struct UnappliedTick {
    tick: FreshnessTick,
    commit_index: u64,
}

/// A committed command that has been applied.
#[derive(Debug)]
pub(super) struct AppliedCommand {
    /// The command, with who submitted it.
    pub submitted: SubmittedCommand,
    /// Its outcome.
    pub outcome: CommandOutcome,
    /// The entries of the registry that it may have changed.
    pub entries: Vec<Entry>,
}

/// The control chain of this node, with the state that it replicates.
pub(super) struct ChainHost {
    clock: Clock,
    chain: ControlChain,
    actions: Vec<ChainAction>,
    state: ControlState,
    /// The last entry of the chain in `state`; the chain itself may have handed out more by now.
    applied_index: u64,
    unapplied_ticks: VecDeque<UnappliedTick>,
}

impl ChainHost {
    pub(super) fn new(clock: Clock, chain: ControlChain) -> Self {
        Self {
            clock,
            chain,
            actions: Vec::new(),
            state: ControlState::default(),
            applied_index: 0,
            unapplied_ticks: VecDeque::new(),
        }
    }

    /// Feeds an event to the chain. Its actions wait for [`Self::poll_actions`].
    pub(super) fn handle_event(&mut self, event: ChainEvent) {
        self.chain.handle(self.clock.now(), event, &mut self.actions);
    }

    /// Feeds a message of another member to the chain.
    pub(super) fn on_message(&mut self, from: u64, message: ChainMessage) {
        self.handle_event(ChainEvent::Message { from: MemberId(from), message });
    }

    /// Runs the chain's timer if it is due.
    pub(super) fn handle_timeout(&mut self, now: Duration) {
        if self.chain.next_timer().is_some_and(|due| due <= now) {
            self.handle_event(ChainEvent::TimerExpired);
        }
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.chain.next_timer()
    }

    /// The actions since the last call, in order.
    pub(super) fn poll_actions(&mut self) -> Vec<ChainAction> {
        std::mem::take(&mut self.actions)
    }

    /// Applies a committed entry to the state.
    ///
    /// # Errors
    ///
    /// The entry can't be decoded. All other members applied it, so this one must not go on.
    pub(super) fn apply(&mut self, index: u64, bytes: &[u8]) -> Result<AppliedCommand, NodeError> {
        self.applied_index = index;
        let submitted = SubmittedCommand::decode(bytes).map_err(|_| NodeError::Entry { index })?;
        let command = &submitted.command;
        let outcome = self.state.apply(index, command);
        if let Command::NameVersion { model, version } = command {
            log::info!(model:% = model, version = version; "weight version named");
        }
        let entries =
            if matches!(command, Command::Noop) { Vec::new() } else { self.state.changed_entries(command) };
        Ok(AppliedCommand { submitted, outcome, entries })
    }

    /// Replaces the state by a snapshot of another member.
    ///
    /// # Errors
    ///
    /// The snapshot can't be decoded.
    pub(super) fn install_snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<(), NodeError> {
        self.applied_index = index;
        self.state = ControlState::restore(bytes).map_err(|source| NodeError::Snapshot { source })?;
        Ok(())
    }

    /// Gives the chain a snapshot of the state, which it asked for.
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub(super) fn provide_snapshot(&mut self) -> Result<(), NodeError> {
        let bytes = self.encode_state()?;
        self.handle_event(ChainEvent::SnapshotReady { index: self.applied_index, bytes });
        Ok(())
    }

    /// The records that replace all others on the disk, if the chain has any yet. Every action has to be carried out before: the state
    /// must be that of the last entry that the chain has handed out.
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub(super) fn checkpoint(&self) -> Result<Option<Vec<LogRecord>>, NodeError> {
        Ok(self.chain.checkpoint(self.encode_state()?))
    }

    fn encode_state(&self) -> Result<Vec<u8>, NodeError> {
        self.state.snapshot().map_err(|source| NodeError::Snapshot { source })
    }

    /// A tick has passed the whole chain: everything up to `commit_index` was committed before it.
    pub(super) fn on_barrier_committed(&mut self, tick: FreshnessTick, commit_index: u64) {
        if self.unapplied_ticks.len() >= MAX_UNAPPLIED_TICKS {
            self.unapplied_ticks.pop_front();
        }
        self.unapplied_ticks.push_back(UnappliedTick { tick, commit_index });
    }

    /// The newest tick whose preceding entries are all applied here, once.
    pub(super) fn poll_applied_tick(&mut self) -> Option<FreshnessTick> {
        let mut newest = None;
        while let Some(unapplied) = self.unapplied_ticks.front() {
            if unapplied.commit_index > self.applied_index {
                break;
            }
            newest = Some(unapplied.tick);
            self.unapplied_ticks.pop_front();
        }
        newest
    }

    /// The replicated state, as far as it is applied here.
    pub(super) fn state(&self) -> &ControlState {
        &self.state
    }

    /// The membership in force, as far as this node knows.
    pub(super) fn membership(&self) -> Option<&Membership> {
        self.chain.members()
    }

    /// The member at the head of the chain.
    pub(super) fn head(&self) -> Option<MemberId> {
        self.chain.head()
    }

    /// Whether this node serves in the view in force.
    pub(super) fn is_serving(&self) -> bool {
        self.chain.is_serving()
    }

    /// The last entry that the chain has handed out.
    pub(super) fn handed_out_index(&self) -> u64 {
        self.chain.applied_index()
    }

    /// The identity of this member.
    pub(super) fn own_member(&self) -> MemberId {
        self.chain.me()
    }

    /// Whether this member is in the chain of the membership in force.
    pub(super) fn is_in_chain(&self) -> bool {
        let own = self.own_member();
        self.membership().is_some_and(|membership| membership.chain.contains(&own))
    }

    /// Whether this member is the head of the chain.
    pub(super) fn is_head(&self) -> bool {
        self.head() == Some(self.own_member())
    }
}
