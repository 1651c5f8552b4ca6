//! State machine for one change of one or two blocks: moving, adding or removing a replica, a split, or a
//! merge. It owns the current step, the pending acknowledgements, and whether the change can still be rolled
//! back; the state table is in `docs/design/blocks.md`. Nothing is committed before the source is fenced and
//! its log copied up to the watermark; any order may be lost, repeated or late; and every change ends. The
//! machine uses no socket, disk or clock: the caller makes each [`Effect::Record`] durable before it carries
//! out the effects after it.

mod orders;
mod types;

use serde::{Deserialize, Serialize};

use crate::holding::{Mode, OrderOutcome, Refusal};
use crate::types::{BlockId, ChangeId, Epoch, Span, StoreId};

pub use types::{ChangeKind, Effect, Input, Millis, Reason, Step, Timeouts};

/// A change in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Identifier of the change.
    pub id: ChangeId,
    /// Block that is changed.
    pub block: BlockId,
    /// Weigher numbers in the block.
    pub span: Span,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Epoch of the block after the change.
    pub epoch: Epoch,
    /// Epoch under which the source accepts entries again if the change is rolled back.
    pub rollback_epoch: Epoch,
    /// Current step.
    pub step: Step,
    /// Reason for the rollback, if the change is rolled back.
    pub reason: Option<Reason>,
    /// Number of steps entered so far. Replies to an earlier step are recognised by their lower number.
    pub round: u32,
    /// Whether the source may have been fenced.
    fenced: bool,
    /// Stores that have not acknowledged the current step yet.
    pending_stores: Vec<StoreId>,
    /// Index in the source's log up to which the target has copied.
    copied: u64,
    /// Whether an order, a copy or a commit is in progress.
    awaiting_reply: bool,
    failed_attempts: u32,
    retry_at: Millis,
    last_progress_at: Millis,
}

impl Change {
    /// Creates a change that has not begun. `rollback_epoch` must be greater than `epoch`.
    pub fn new(
        id: ChangeId,
        block: BlockId,
        span: Span,
        kind: ChangeKind,
        epoch: Epoch,
        rollback_epoch: Epoch,
    ) -> Self {
        let step = match kind {
            ChangeKind::Split { .. } | ChangeKind::Merge { .. } => Step::Naming,
            _ => Step::Preparing,
        };
        Self {
            id,
            block,
            span,
            kind,
            epoch,
            rollback_epoch,
            step,
            reason: None,
            round: 0,
            fenced: false,
            pending_stores: Vec::new(),
            copied: 0,
            awaiting_reply: false,
            failed_attempts: 0,
            retry_at: 0,
            last_progress_at: 0,
        }
    }

    /// Sets the step that the log records for this change.
    pub fn restore_step(&mut self, step: Step) {
        self.step = step;
        self.fenced |= !matches!(step, Step::Preparing | Step::Copying | Step::Naming);
    }

    /// Restarts the timers after another coordinator has taken over the change.
    pub fn resume(&mut self, now: Millis) {
        (self.last_progress_at, self.retry_at, self.failed_attempts, self.awaiting_reply) =
            (now, now, 0, false);
    }

    /// Returns the blocks that no other change may modify in the meantime.
    pub fn blocks(&self) -> Vec<BlockId> {
        match &self.kind {
            ChangeKind::Merge { with, new, .. } => {
                [self.block, *with].into_iter().chain(new.iter().map(|n| n.0)).collect()
            }
            ChangeKind::Split { new, .. } => {
                std::iter::once(self.block).chain(new.iter().map(|n| n.0)).collect()
            }
            _ => vec![self.block],
        }
    }

    /// Returns the source and the target of the copy, if the change copies data.
    pub fn copy_endpoints(&self) -> Option<(StoreId, StoreId)> {
        match self.kind {
            ChangeKind::Move { from, to } => Some((from, to)),
            ChangeKind::Add { source, to } => Some((source, to)),
            ChangeKind::Remove { from, remaining_holder } => Some((from, remaining_holder)),
            _ => None,
        }
    }

    /// Returns the stores that take part in the change.
    pub fn stores(&self) -> Vec<StoreId> {
        match &self.kind {
            ChangeKind::Split { holders, .. } | ChangeKind::Merge { holders, .. } => holders.clone(),
            _ => self.copy_endpoints().into_iter().flat_map(|(from, to)| [from, to]).collect(),
        }
    }

    /// Returns the time at which [`Input::Tick`] is due if no other input arrives before.
    pub fn due(&self) -> Option<Millis> {
        (!self.step.has_ended() && !self.awaiting_reply).then_some(self.retry_at)
    }

    /// Whether the current step has made no progress for longer than its timeout.
    pub fn is_stuck(&self, now: Millis, timeouts: &Timeouts) -> bool {
        !self.step.has_ended() && now.saturating_sub(self.last_progress_at) > timeouts.step_timeout_ms
    }

    /// Processes an input and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: Millis, input: Input, timeouts: &Timeouts) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.step.has_ended() {
            return effects;
        }
        match input {
            Input::Resume => {
                (self.awaiting_reply, self.failed_attempts, self.last_progress_at) = (false, 0, now);
                self.pending_stores = self.step_stores();
                if self.pending_stores.is_empty() && self.step != Step::Committing {
                    self.enter_next_step(now, timeouts, &mut effects);
                } else {
                    self.send_requests(now, timeouts, &mut effects);
                }
            }
            Input::Reply(store, Ok(outcome)) => {
                self.handle_reply(now, store, outcome, timeouts, &mut effects)
            }
            Input::Reply(store, Err(refusal)) => {
                self.handle_refusal(now, store, refusal, timeouts, &mut effects)
            }
            Input::NoReply(_) => {
                self.awaiting_reply = false;
                self.failed_attempts += 1;
                self.schedule_retry(now, timeouts);
                self.check_step_timeout(now, timeouts, &mut effects);
            }
            Input::Copied { copied, length } => {
                self.awaiting_reply = false;
                (self.failed_attempts, self.last_progress_at) = (0, now);
                self.copied = self.copied.max(copied);
                match self.step {
                    Step::Copying if length.saturating_sub(self.copied) <= timeouts.max_lag_entries => {
                        let next = if matches!(self.kind, ChangeKind::Add { .. }) {
                            Step::Reading
                        } else {
                            Step::Fencing
                        };
                        self.enter_step(now, next, timeouts, &mut effects);
                    }
                    Step::CatchingUp { watermark } if self.copied >= watermark => {
                        self.enter_step(now, Step::Reading, timeouts, &mut effects);
                    }
                    _ => self.send_requests(now, timeouts, &mut effects),
                }
            }
            Input::Committed if self.step == Step::Committing => {
                self.awaiting_reply = false;
                let next = match self.kind {
                    ChangeKind::Add { .. } => Step::Opening,
                    ChangeKind::Split { .. } | ChangeKind::Merge { .. } => Step::Unnaming,
                    _ => Step::Retiring,
                };
                self.enter_step(now, next, timeouts, &mut effects);
            }
            Input::Committed => {}
            Input::AlreadyCommitted if !self.step.is_committed() && self.step != Step::Unfencing => {
                self.reason = None;
                self.enter_step(now, Step::Committing, timeouts, &mut effects);
            }
            Input::AlreadyCommitted => {}
            Input::AlreadyRolledBack(epoch) => {
                if let Some((from, _)) = self.copy_endpoints() {
                    let reason = Reason::Refused(from, Refusal::Old(epoch));
                    self.roll_back(now, reason, timeouts, &mut effects);
                }
            }
            // The step was entered but not recorded, so the log and the stores still have the step before it.
            Input::Invalid(why) if self.step == Step::Committing => {
                self.reason = Some(Reason::Unsound(why));
                let is_rename = matches!(self.kind, ChangeKind::Split { .. } | ChangeKind::Merge { .. });
                let next = if is_rename { Step::Withdrawing } else { Step::Dropping };
                self.enter_step(now, next, timeouts, &mut effects);
            }
            Input::Invalid(_) => {}
            Input::Abandon => self.roll_back(now, Reason::Asked, timeouts, &mut effects),
            Input::Tick => {
                if !self.awaiting_reply && now >= self.retry_at {
                    self.check_step_timeout(now, timeouts, &mut effects);
                    if effects.is_empty() {
                        self.send_requests(now, timeouts, &mut effects);
                    }
                }
            }
        }
        effects
    }

    fn schedule_retry(&mut self, now: Millis, timeouts: &Timeouts) {
        let delay_ms = timeouts.retry_initial_ms << self.failed_attempts.saturating_sub(1).min(10);
        self.retry_at = now + delay_ms.min(timeouts.retry_max_ms);
    }

    fn check_step_timeout(&mut self, now: Millis, timeouts: &Timeouts, effects: &mut Vec<Effect>) {
        if now.saturating_sub(self.last_progress_at) < timeouts.step_timeout_ms {
            return;
        }
        match self.step {
            // The remaining copy is deleted after the next inventory of its store.
            Step::Forgetting => self.enter_step(now, Step::Done, timeouts, effects),
            step => self.roll_back(now, Reason::Patience(step), timeouts, effects),
        }
    }

    /// Rolls the change back if it has not been committed. A committed change can only be completed.
    fn roll_back(&mut self, now: Millis, reason: Reason, timeouts: &Timeouts, effects: &mut Vec<Effect>) {
        if self.step.is_committed() || self.step.is_rolling_back() {
            return;
        }
        self.reason = Some(reason);
        let next = if self.step == Step::Naming { Step::Withdrawing } else { Step::Dropping };
        self.enter_step(now, next, timeouts, effects);
    }

    fn enter_step(&mut self, now: Millis, step: Step, timeouts: &Timeouts, effects: &mut Vec<Effect>) {
        self.step = step;
        self.round += 1;
        // Replies to earlier requests are out of date from here on; they are recognised by the stores of the
        // step.
        (self.awaiting_reply, self.failed_attempts, self.last_progress_at) = (false, 0, now);
        self.fenced |= step == Step::Fencing;
        effects.push(Effect::Record(step));
        self.pending_stores = self.step_stores();
        if self.pending_stores.is_empty() && !step.has_ended() && step != Step::Committing {
            return self.enter_next_step(now, timeouts, effects);
        }
        self.send_requests(now, timeouts, effects);
    }

    fn send_requests(&mut self, now: Millis, timeouts: &Timeouts, effects: &mut Vec<Effect>) {
        if self.step.has_ended() {
            return;
        }
        self.awaiting_reply = true;
        self.schedule_retry(now, timeouts);
        if self.step == Step::Committing {
            return effects.push(Effect::Commit);
        }
        if matches!(self.step, Step::Copying | Step::CatchingUp { .. }) {
            if let Some((from, to)) = self.copy_endpoints() {
                effects.push(Effect::Copy { to, from, start: self.copied });
            }
            return;
        }
        let Some(order) = self.order() else { return };
        let epoch = if matches!(self.step, Step::Unfencing) { self.rollback_epoch } else { self.epoch };
        for store in self.pending_stores.clone() {
            effects.push(Effect::Order(store, self.block, epoch, order.clone()));
        }
    }

    fn handle_reply(
        &mut self,
        now: Millis,
        store: StoreId,
        outcome: OrderOutcome,
        timeouts: &Timeouts,
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = self.pending_stores.iter().position(|pending| *pending == store) else { return };
        // Ignores late replies to orders of an earlier step, which are recognised by the block's mode.
        let is_expected = matches!(
            (self.step, outcome.mode),
            (Step::Preparing, Some(Mode::Copying | Mode::Open))
                | (Step::Fencing, Some(Mode::Fenced | Mode::Retired))
                | (Step::Reading, Some(Mode::Reading | Mode::Open))
                | (Step::Retiring, Some(Mode::Retired))
                | (Step::Opening | Step::Unfencing, Some(Mode::Open))
                | (Step::Forgetting | Step::Dropping | Step::Unnaming, None)
                | (Step::Naming | Step::Withdrawing, _)
        );
        if !is_expected {
            return;
        }
        self.pending_stores.remove(index);
        (self.failed_attempts, self.last_progress_at) = (0, now);
        match self.step {
            Step::Preparing => self.copied = outcome.copied,
            Step::Fencing => {
                let step = Step::CatchingUp { watermark: outcome.watermark };
                return self.enter_step(now, step, timeouts, effects);
            }
            _ => {}
        }
        if self.pending_stores.is_empty() {
            self.enter_next_step(now, timeouts, effects);
        }
    }

    /// Enters the next step after all stores have acknowledged the current one.
    fn enter_next_step(&mut self, now: Millis, timeouts: &Timeouts, effects: &mut Vec<Effect>) {
        let next = match self.step {
            Step::Preparing => Step::Copying,
            Step::Reading | Step::Naming => Step::Committing,
            Step::Retiring if matches!(self.kind, ChangeKind::Move { .. }) => Step::Opening,
            Step::Retiring => Step::Forgetting,
            Step::Opening if matches!(self.kind, ChangeKind::Move { .. }) => Step::Forgetting,
            Step::Dropping => Step::Unfencing,
            Step::Unfencing | Step::Withdrawing => Step::Abandoned,
            _ => Step::Done,
        };
        self.enter_step(now, next, timeouts, effects);
    }

    fn handle_refusal(
        &mut self,
        now: Millis,
        store: StoreId,
        refusal: Refusal,
        timeouts: &Timeouts,
        effects: &mut Vec<Effect>,
    ) {
        if !self.pending_stores.contains(&store) || refusal == Refusal::Late {
            return;
        }
        match (self.step, &refusal) {
            // Another coordinator opened the target, so the change has been committed.
            (Step::Dropping, Refusal::Mode(Mode::Open)) => {
                self.reason = None;
                self.enter_step(now, Step::Committing, timeouts, effects);
            }
            // The old block identifiers are gone at one holder because a deposed coordinator had committed the
            // new ones. The new identifiers are sent to all holders again and the change is completed.
            (Step::Withdrawing, Refusal::Mode(Mode::Open)) => {
                self.reason = None;
                self.enter_step(now, Step::Naming, timeouts, effects);
            }
            // The store has no copy to delete, because a deposed coordinator had progressed further, or has
            // taken part in a later change. A target that has taken part in a later change may have been open,
            // so a source that was fenced for it stays fenced until an operator intervenes.
            (Step::Forgetting | Step::Retiring, Refusal::Unheld)
            | (Step::Forgetting, Refusal::Old(_))
            | (Step::Dropping, Refusal::Unheld) => {
                self.pending_stores.retain(|pending| *pending != store);
                self.enter_next_step(now, timeouts, effects);
            }
            (Step::Dropping, Refusal::Old(_)) if !self.fenced => {
                self.pending_stores.retain(|pending| *pending != store);
                self.enter_next_step(now, timeouts, effects);
            }
            // The source was not fenced, or has been opened again under a later epoch.
            (Step::Unfencing, Refusal::Unheld | Refusal::Old(_)) => {
                self.pending_stores.retain(|pending| *pending != store);
                self.enter_next_step(now, timeouts, effects);
            }
            // A target that has lost its copy cannot continue. Before the commit, the change is rolled back.
            _ if !self.step.is_committed() && !self.step.is_rolling_back() => {
                self.roll_back(now, Reason::Refused(store, refusal), timeouts, effects);
            }
            _ => {
                self.awaiting_reply = false;
                self.failed_attempts += 1;
                self.schedule_retry(now, timeouts);
            }
        }
    }
}
