//! Drives the control chain: passes events to its state machine, collects its actions, and applies committed commands to the
//! control state. The event loop carries out the actions.

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

/// Maximum number of confirmed ticks that wait for the entries before them to be applied.
const MAX_UNAPPLIED_TICKS: usize = 16;

/// A confirmed tick that may be forwarded once everything committed before it is applied at this node.
#[derive(Clone, Copy, Debug)]
struct UnappliedTick {
    tick: FreshnessTick,
    commit_index: u64,
}

/// A committed command that has been applied to the state.
#[derive(Debug)]
pub(super) struct AppliedCommand {
    /// The command, with its submitter.
    pub submitted: SubmittedCommand,
    /// Outcome of the command.
    pub outcome: CommandOutcome,
    /// The registry entries that the command may have changed.
    pub entries: Vec<Entry>,
}

/// The control chain of this node, with the replicated state.
pub(super) struct ChainHost {
    clock: Clock,
    chain: ControlChain,
    actions: Vec<ChainAction>,
    state: ControlState,
    /// Index of the last chain entry that is applied to `state`. The chain may already have emitted actions for later entries.
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

    /// Passes an event to the chain. The resulting actions are returned by [`Self::poll_actions`].
    pub(super) fn handle_event(&mut self, event: ChainEvent) {
        self.chain.handle(self.clock.now(), event, &mut self.actions);
    }

    /// Passes a message from another member to the chain.
    pub(super) fn on_message(&mut self, from: u64, message: ChainMessage) {
        self.handle_event(ChainEvent::Message { from: MemberId(from), message });
    }

    /// Processes the chain's timer if it is due.
    pub(super) fn handle_timeout(&mut self, now: Duration) {
        if self.chain.next_timer().is_some_and(|due| due <= now) {
            self.handle_event(ChainEvent::TimerExpired);
        }
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.chain.next_timer()
    }

    /// Returns the actions since the last call, in order.
    pub(super) fn poll_actions(&mut self) -> Vec<ChainAction> {
        std::mem::take(&mut self.actions)
    }

    /// Applies a committed entry to the state.
    ///
    /// # Errors
    ///
    /// The entry can't be decoded. All other members have applied it, so this one must not continue.
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

    /// Replaces the state with a snapshot from another member.
    ///
    /// # Errors
    ///
    /// The snapshot can't be decoded.
    pub(super) fn install_snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<(), NodeError> {
        self.applied_index = index;
        self.state = ControlState::restore(bytes).map_err(|source| NodeError::Snapshot { source })?;
        Ok(())
    }

    /// Provides the chain with a snapshot of the state that it has requested.
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub(super) fn provide_snapshot(&mut self) -> Result<(), NodeError> {
        let bytes = self.encode_state()?;
        self.handle_event(ChainEvent::SnapshotReady { index: self.applied_index, bytes });
        Ok(())
    }

    /// The records that replace all others on the disk; `None` if the chain has no records yet. All actions must be carried out
    /// before this call: the state must include the last entry for which the chain has emitted an action.
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

    /// Processes a tick that has passed through the whole chain: everything up to `commit_index` was committed before it.
    pub(super) fn on_barrier_committed(&mut self, tick: FreshnessTick, commit_index: u64) {
        if self.unapplied_ticks.len() >= MAX_UNAPPLIED_TICKS {
            self.unapplied_ticks.pop_front();
        }
        self.unapplied_ticks.push_back(UnappliedTick { tick, commit_index });
    }

    /// Returns the newest tick whose preceding entries are all applied at this node. Each tick is returned at most once.
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

    /// The replicated state, up to the last entry applied at this node.
    pub(super) fn state(&self) -> &ControlState {
        &self.state
    }

    /// The newest membership in force that this node knows.
    pub(super) fn membership(&self) -> Option<&Membership> {
        self.chain.membership()
    }

    /// The member at the head of the chain, if one is known.
    pub(super) fn head(&self) -> Option<MemberId> {
        self.chain.head()
    }

    /// Whether this node serves in the view in force.
    pub(super) fn is_serving(&self) -> bool {
        self.chain.is_serving()
    }

    /// Index of the last entry for which the chain has emitted an action.
    pub(super) fn last_emitted_index(&self) -> u64 {
        self.chain.applied_index()
    }

    /// Identity of this member.
    pub(super) fn own_member(&self) -> MemberId {
        self.chain.local_id()
    }

    /// Whether this member is in the chain of the membership in force.
    pub(super) fn is_in_chain(&self) -> bool {
        let own_member = self.own_member();
        self.membership().is_some_and(|membership| membership.chain.contains(&own_member))
    }

    /// Whether this member is the head of the chain.
    pub(super) fn is_head(&self) -> bool {
        self.head() == Some(self.own_member())
    }
}
