//! One change of one block or two: a replica that moves, joins or leaves, a split, a merge. The machine owns
//! where the change stands, what it waits for, and whether it may still go back; the state table is in
//! `docs/design/blocks.md`. It promises that nothing is committed before the source is fenced and followed
//! to its watermark, that every order may be lost, repeated or late, and that it ends. It knows no socket, no
//! disk and no clock: whoever drives it makes each [`Effect::Record`] durable before it carries out what follows it.

mod orders;
mod types;

use serde::{Deserialize, Serialize};

use crate::holding::{Done, Mode, Refusal};
use crate::types::{BlockId, ChangeId, Epoch, Span, StoreId};

pub use types::{Effect, Input, Kind, Millis, Patience, Reason, Step};

/// A change under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Which.
    pub id: ChangeId,
    /// The block.
    pub block: BlockId,
    /// Its weigher numbers.
    pub span: Span,
    /// What is done.
    pub kind: Kind,
    /// The epoch that it brings.
    pub epoch: Epoch,
    /// The epoch under which its source is let go on, should it go back.
    pub back: Epoch,
    /// Where it stands.
    pub step: Step,
    /// Why it goes back.
    pub reason: Option<Reason>,
    /// Rises with each step entered: what answers an earlier one is told apart by it.
    pub round: u32,
    /// Whether the source may have been fenced.
    fenced: bool,
    /// Stores that have not acknowledged this step yet.
    owed: Vec<StoreId>,
    /// Up to where the target has copied.
    copied: u64,
    /// Whether an order, a copy or a commit is under way.
    waits: bool,
    silences: u32,
    again_at: Millis,
    step_since: Millis,
}

impl Change {
    /// A change that has not begun. `back` is an epoch above `epoch`.
    pub fn new(id: ChangeId, block: BlockId, span: Span, kind: Kind, epoch: Epoch, back: Epoch) -> Self {
        let step = match kind {
            Kind::Split { .. } | Kind::Merge { .. } => Step::Naming,
            _ => Step::Preparing,
        };
        Self {
            id,
            block,
            span,
            kind,
            epoch,
            back,
            step,
            reason: None,
            round: 0,
            fenced: false,
            owed: Vec::new(),
            copied: 0,
            waits: false,
            silences: 0,
            again_at: 0,
            step_since: 0,
        }
    }

    /// Where the log says that it stands.
    pub fn recovered(&mut self, step: Step) {
        self.step = step;
        self.fenced |= !matches!(step, Step::Preparing | Step::Copying | Step::Naming);
    }

    /// It goes on in another's hands: its patience begins anew.
    pub fn resumed(&mut self, now: Millis) {
        (self.step_since, self.again_at, self.silences, self.waits) = (now, now, 0, false);
    }

    /// The blocks that no other change may touch meanwhile.
    pub fn blocks(&self) -> Vec<BlockId> {
        match &self.kind {
            Kind::Merge { with, new, .. } => {
                [self.block, *with].into_iter().chain(new.iter().map(|n| n.0)).collect()
            }
            Kind::Split { new, .. } => std::iter::once(self.block).chain(new.iter().map(|n| n.0)).collect(),
            _ => vec![self.block],
        }
    }

    /// Who copies from whom.
    pub fn copy(&self) -> Option<(StoreId, StoreId)> {
        match self.kind {
            Kind::Move { from, to } => Some((from, to)),
            Kind::Add { source, to } => Some((source, to)),
            Kind::Remove { from, keeper } => Some((from, keeper)),
            _ => None,
        }
    }

    /// The stores that it needs.
    pub fn stores(&self) -> Vec<StoreId> {
        match &self.kind {
            Kind::Split { holders, .. } | Kind::Merge { holders, .. } => holders.clone(),
            _ => self.copy().into_iter().flat_map(|(from, to)| [from, to]).collect(),
        }
    }

    /// When it has to be given a [`Input::Tick`], if nothing happens before.
    pub fn due(&self) -> Option<Millis> {
        (!self.step.ended() && !self.waits).then_some(self.again_at)
    }

    /// Whether it can only wait for a store that has been silent for long.
    pub fn stuck(&self, now: Millis, patience: &Patience) -> bool {
        !self.step.ended() && now.saturating_sub(self.step_since) > patience.step_ms
    }

    /// Takes what happened; says what is to be done, in order.
    pub fn handle(&mut self, now: Millis, input: Input, patience: &Patience) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.step.ended() {
            return effects;
        }
        match input {
            Input::Resume => {
                (self.waits, self.silences, self.step_since) = (false, 0, now);
                self.owed = self.parties();
                if self.owed.is_empty() && self.step != Step::Committing {
                    self.onward(now, patience, &mut effects);
                } else {
                    self.ask(now, patience, &mut effects);
                }
            }
            Input::Said(store, Ok(done)) => self.said(now, store, done, patience, &mut effects),
            Input::Said(store, Err(refusal)) => self.refused(now, store, refusal, patience, &mut effects),
            Input::Silent(_) => {
                self.waits = false;
                self.silences += 1;
                self.pause(now, patience);
                self.lose_patience(now, patience, &mut effects);
            }
            Input::Copied { copied, length } => {
                self.waits = false;
                (self.silences, self.step_since) = (0, now);
                self.copied = self.copied.max(copied);
                match self.step {
                    Step::Copying if length.saturating_sub(self.copied) <= patience.lag => {
                        let next =
                            if matches!(self.kind, Kind::Add { .. }) { Step::Reading } else { Step::Fencing };
                        self.enter(now, next, patience, &mut effects);
                    }
                    Step::CatchingUp { watermark } if self.copied >= watermark => {
                        self.enter(now, Step::Reading, patience, &mut effects);
                    }
                    _ => self.ask(now, patience, &mut effects),
                }
            }
            Input::Committed if self.step == Step::Committing => {
                self.waits = false;
                let next = match self.kind {
                    Kind::Add { .. } => Step::Opening,
                    Kind::Split { .. } | Kind::Merge { .. } => Step::Unnaming,
                    _ => Step::Retiring,
                };
                self.enter(now, next, patience, &mut effects);
            }
            Input::Committed => {}
            Input::Overtaken if !self.step.committed() && self.step != Step::Unfencing => {
                self.reason = None;
                self.enter(now, Step::Committing, patience, &mut effects);
            }
            Input::Overtaken => {}
            Input::Undone(epoch) => {
                if let Some((from, _)) = self.copy() {
                    let reason = Reason::Refused(from, Refusal::Old(epoch));
                    self.turn_back(now, reason, patience, &mut effects);
                }
            }
            // The step was entered and not recorded: to whoever reads the log, and to the stores, it is still the one before.
            Input::Unsound(why) if self.step == Step::Committing => {
                self.reason = Some(Reason::Unsound(why));
                let names = matches!(self.kind, Kind::Split { .. } | Kind::Merge { .. });
                let next = if names { Step::Withdrawing } else { Step::Dropping };
                self.enter(now, next, patience, &mut effects);
            }
            Input::Unsound(_) => {}
            Input::Abandon => self.turn_back(now, Reason::Asked, patience, &mut effects),
            Input::Tick => {
                if !self.waits && now >= self.again_at {
                    self.lose_patience(now, patience, &mut effects);
                    if effects.is_empty() {
                        self.ask(now, patience, &mut effects);
                    }
                }
            }
        }
        effects
    }

    fn pause(&mut self, now: Millis, patience: &Patience) {
        let longer = patience.again_ms << self.silences.saturating_sub(1).min(10);
        self.again_at = now + longer.min(patience.again_most_ms);
    }

    fn lose_patience(&mut self, now: Millis, patience: &Patience, effects: &mut Vec<Effect>) {
        if now.saturating_sub(self.step_since) < patience.step_ms {
            return;
        }
        match self.step {
            // The copy that stays behind is let go when its store is next asked what it holds.
            Step::Forgetting => self.enter(now, Step::Done, patience, effects),
            step => self.turn_back(now, Reason::Patience(step), patience, effects),
        }
    }

    /// Goes back if that may still be; what is committed only goes forward.
    fn turn_back(&mut self, now: Millis, reason: Reason, patience: &Patience, effects: &mut Vec<Effect>) {
        if self.step.committed() || self.step.back() {
            return;
        }
        self.reason = Some(reason);
        let next = if self.step == Step::Naming { Step::Withdrawing } else { Step::Dropping };
        self.enter(now, next, patience, effects);
    }

    fn enter(&mut self, now: Millis, step: Step, patience: &Patience, effects: &mut Vec<Effect>) {
        self.step = step;
        self.round += 1;
        // What goes out under way is stale from here on, and its word is told apart by the step's stores.
        (self.waits, self.silences, self.step_since) = (false, 0, now);
        self.fenced |= step == Step::Fencing;
        effects.push(Effect::Record(step));
        self.owed = self.parties();
        if self.owed.is_empty() && !step.ended() && step != Step::Committing {
            return self.onward(now, patience, effects);
        }
        self.ask(now, patience, effects);
    }

    fn ask(&mut self, now: Millis, patience: &Patience, effects: &mut Vec<Effect>) {
        if self.step.ended() {
            return;
        }
        self.waits = true;
        self.pause(now, patience);
        if self.step == Step::Committing {
            return effects.push(Effect::Commit);
        }
        if matches!(self.step, Step::Copying | Step::CatchingUp { .. }) {
            if let Some((from, to)) = self.copy() {
                effects.push(Effect::Copy { to, from, at: self.copied });
            }
            return;
        }
        let Some(order) = self.order() else { return };
        let epoch = if matches!(self.step, Step::Unfencing) { self.back } else { self.epoch };
        for store in self.owed.clone() {
            effects.push(Effect::Order(store, self.block, epoch, order.clone()));
        }
    }

    fn said(
        &mut self,
        now: Millis,
        store: StoreId,
        done: Done,
        patience: &Patience,
        effects: &mut Vec<Effect>,
    ) {
        let Some(at) = self.owed.iter().position(|owed| *owed == store) else { return };
        // Guards against a word on an order of an earlier step, which came late: the mode shows it.
        let fits = matches!(
            (self.step, done.mode),
            (Step::Preparing, Some(Mode::Copying | Mode::Open))
                | (Step::Fencing, Some(Mode::Fenced | Mode::Retired))
                | (Step::Reading, Some(Mode::Reading | Mode::Open))
                | (Step::Retiring, Some(Mode::Retired))
                | (Step::Opening | Step::Unfencing, Some(Mode::Open))
                | (Step::Forgetting | Step::Dropping | Step::Unnaming, None)
                | (Step::Naming | Step::Withdrawing, _)
        );
        if !fits {
            return;
        }
        self.owed.remove(at);
        (self.silences, self.step_since) = (0, now);
        match self.step {
            Step::Preparing => self.copied = done.copied,
            Step::Fencing => {
                let step = Step::CatchingUp { watermark: done.watermark };
                return self.enter(now, step, patience, effects);
            }
            _ => {}
        }
        if self.owed.is_empty() {
            self.onward(now, patience, effects);
        }
    }

    /// The step after this one, all of whose stores have acknowledged.
    fn onward(&mut self, now: Millis, patience: &Patience, effects: &mut Vec<Effect>) {
        let next = match self.step {
            Step::Preparing => Step::Copying,
            Step::Reading | Step::Naming => Step::Committing,
            Step::Retiring if matches!(self.kind, Kind::Move { .. }) => Step::Opening,
            Step::Retiring => Step::Forgetting,
            Step::Opening if matches!(self.kind, Kind::Move { .. }) => Step::Forgetting,
            Step::Dropping => Step::Unfencing,
            Step::Unfencing | Step::Withdrawing => Step::Abandoned,
            _ => Step::Done,
        };
        self.enter(now, next, patience, effects);
    }

    fn refused(
        &mut self,
        now: Millis,
        store: StoreId,
        refusal: Refusal,
        patience: &Patience,
        effects: &mut Vec<Effect>,
    ) {
        if !self.owed.contains(&store) || refusal == Refusal::Late {
            return;
        }
        match (self.step, &refusal) {
            // Another coordinator's word has come before: the target is open, so the change has been committed.
            (Step::Dropping, Refusal::Mode(Mode::Open)) => {
                self.reason = None;
                self.enter(now, Step::Committing, patience, effects);
            }
            // The old names are gone at a holder: a deposed coordinator had committed the new ones. All holders are given
            // them again, and it goes forward.
            (Step::Withdrawing, Refusal::Mode(Mode::Open)) => {
                self.reason = None;
                self.enter(now, Step::Naming, patience, effects);
            }
            // It has nothing to give up any more (a deposed coordinator had come further), or has moved on since. A target that has moved on may have been open, so
            // a source that was fenced for it stays so until an operator has looked.
            (Step::Forgetting | Step::Retiring, Refusal::Unheld)
            | (Step::Forgetting, Refusal::Old(_))
            | (Step::Dropping, Refusal::Unheld) => {
                self.owed.retain(|owed| *owed != store);
                self.onward(now, patience, effects);
            }
            (Step::Dropping, Refusal::Old(_)) if !self.fenced => {
                self.owed.retain(|owed| *owed != store);
                self.onward(now, patience, effects);
            }
            // Nothing was fenced, or it is open again under a later epoch.
            (Step::Unfencing, Refusal::Unheld | Refusal::Old(_)) => {
                self.owed.retain(|owed| *owed != store);
                self.onward(now, patience, effects);
            }
            // A target that has lost its copy can't go on; while nothing is committed that is a way back.
            _ if !self.step.committed() && !self.step.back() => {
                self.turn_back(now, Reason::Refused(store, refusal), patience, effects);
            }
            _ => {
                self.waits = false;
                self.silences += 1;
                self.pause(now, patience);
            }
        }
    }
}
