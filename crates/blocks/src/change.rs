//! One change of one block or two: a replica that moves, joins or leaves, a split, a merge. The machine owns
//! where the change stands, what it waits for, and whether it may still go back; the state table is in
//! `docs/design/blocks.md`. It promises that nothing is committed before the source is fenced and followed
//! to its watermark, that every order may be lost, repeated or late, and that it ends. It knows no socket, no
//! disk and no clock: whoever drives it makes each [`Effect::Record`] durable before it carries out what follows it.

use serde::{Deserialize, Serialize};

use crate::holding::{Done, Mode, Order, Refusal};
use crate::types::{BlockId, ChangeId, Epoch, Span, StoreId};

/// Milliseconds on the driver's clock.
pub type Millis = u64;

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A replica goes from one store to another.
    Move {
        /// Who gives it up.
        from: StoreId,
        /// Who takes it over.
        to: StoreId,
    },
    /// One more replica.
    Add {
        /// Whose log is copied.
        source: StoreId,
        /// Who takes it.
        to: StoreId,
    },
    /// One replica fewer.
    Remove {
        /// Who gives it up.
        from: StoreId,
        /// Which holder follows it to its end.
        keeper: StoreId,
    },
    /// One block becomes two, at all its holders.
    Split {
        /// Its holders.
        holders: Vec<StoreId>,
        /// The new blocks.
        new: Vec<(BlockId, Span)>,
    },
    /// Two neighbours become one, at all their holders.
    Merge {
        /// The other block.
        with: BlockId,
        /// The holders of both.
        holders: Vec<StoreId>,
        /// The new block.
        new: Vec<(BlockId, Span)>,
    },
}

/// Where a change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Step {
    /// The target gets ready.
    Preparing,
    /// The target copies.
    Copying,
    /// The source lets no more entries in.
    Fencing,
    /// The target copies up to the watermark.
    CatchingUp {
        /// The length of the source's log when it was fenced.
        watermark: u64,
    },
    /// The target lets reads in.
    Reading,
    /// All holders answer to the new names too.
    Naming,
    /// The map's change is being made durable.
    Committing,
    /// The source lets nothing in.
    Retiring,
    /// The target lets entries in.
    Opening,
    /// The source gives up its copy.
    Forgetting,
    /// The old names go.
    Unnaming,
    /// Back: the target gives up its copy.
    Dropping,
    /// Back: the source lets entries in again.
    Unfencing,
    /// Back: the new names go.
    Withdrawing,
    /// Done.
    Done,
    /// Gone back; all is as before.
    Abandoned,
}

impl Step {
    /// Whether it has ended.
    pub fn ended(self) -> bool {
        matches!(self, Self::Done | Self::Abandoned)
    }

    /// Whether the map already says so.
    pub fn committed(self) -> bool {
        use Step::{Committing, Done, Forgetting, Opening, Retiring, Unnaming};
        matches!(self, Committing | Retiring | Opening | Forgetting | Unnaming | Done)
    }

    /// Whether it is on its way back.
    pub fn back(self) -> bool {
        matches!(self, Self::Dropping | Self::Unfencing | Self::Withdrawing | Self::Abandoned)
    }
}

/// Why a change goes back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// An operator said so.
    Asked,
    /// A step did not come about in time.
    Patience(Step),
    /// A store refused.
    Refused(StoreId, Refusal),
    /// The map that it would make is not sound.
    Unsound(String),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// It begins, or goes on after a restart.
    Resume,
    /// A store's word on an order of this change.
    Said(StoreId, Result<Done, Refusal>),
    /// A store could not be asked, or said nothing.
    Silent(StoreId),
    /// A stretch was copied: up to here of the source's log, which is so long.
    Copied {
        /// Up to where.
        copied: u64,
        /// The source's length.
        length: u64,
    },
    /// The map's change is durable.
    Committed,
    /// The source says that it has retired for this change: a deposed coordinator had committed it.
    Overtaken,
    /// The source says that it has been let go on under a later epoch: a deposed coordinator had gone back.
    Undone(Epoch),
    /// What it would commit is not sound, says the validator, and nothing of it has been made durable.
    Unsound(String),
    /// An operator wants it back.
    Abandon,
    /// Time has passed.
    Tick,
}

/// Something to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Make the step durable, before anything behind this.
    Record(Step),
    /// Send an order; [`Input::Said`] or [`Input::Silent`] is owed.
    Order(StoreId, BlockId, Epoch, Order),
    /// Have the target copy a stretch from the source, as the budget allows; [`Input::Copied`] or
    /// [`Input::Silent`] is owed.
    Copy {
        /// Who copies.
        to: StoreId,
        /// From whom.
        from: StoreId,
        /// From where in the source's log.
        at: u64,
    },
    /// Change the map and make that durable; [`Input::Committed`] is owed.
    Commit,
}

/// How patient a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// The first wait before an order is repeated; it doubles with each silence.
    pub again_ms: Millis,
    /// The longest such wait.
    pub again_most_ms: Millis,
    /// A step that can go back does so after so long without progress.
    pub step_ms: Millis,
    /// The source is fenced once the target lacks no more than so many entries.
    pub lag: u64,
}

impl Default for Patience {
    fn default() -> Self {
        Self { again_ms: 50, again_most_ms: 2_000, step_ms: 20_000, lag: 64 }
    }
}

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

    /// Who has to acknowledge the present step.
    fn parties(&self) -> Vec<StoreId> {
        match (self.step, &self.kind) {
            (Step::Preparing | Step::Reading | Step::Opening, _) => {
                self.copy().map(|(_, to)| to).into_iter().collect()
            }
            // A keeper holds the block anyway: there is nothing to drop.
            (Step::Dropping, Kind::Remove { .. }) => Vec::new(),
            (Step::Dropping, _) => self.copy().map(|(_, to)| to).into_iter().collect(),
            (Step::Copying | Step::CatchingUp { .. }, _) => {
                self.copy().map(|(_, to)| to).into_iter().collect()
            }
            (Step::Fencing | Step::Retiring | Step::Forgetting, _) => {
                self.copy().map(|(from, _)| from).into_iter().collect()
            }
            (Step::Unfencing, _) if self.fenced => self.copy().map(|(from, _)| from).into_iter().collect(),
            (Step::Naming | Step::Unnaming | Step::Withdrawing, _) => self.stores(),
            _ => Vec::new(),
        }
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

    fn order(&self) -> Option<Order> {
        let (from, to) = self.copy().unwrap_or_default();
        let names = |new: &[(BlockId, Span)]| new.iter().map(|(id, _)| *id).collect();
        let old = || match &self.kind {
            Kind::Merge { with, .. } => vec![self.block, *with],
            _ => vec![self.block],
        };
        Some(match (self.step, &self.kind) {
            (Step::Preparing, _) => Order::Prepare { span: self.span, from },
            (Step::Fencing, _) => Order::Fence { to },
            (Step::Reading, _) => Order::Read,
            (Step::Retiring, _) => Order::Retire,
            (Step::Opening, _) => Order::Open,
            (Step::Forgetting | Step::Dropping, _) => Order::Forget,
            (Step::Unfencing, _) => Order::Unfence,
            (Step::Naming, Kind::Split { new, .. } | Kind::Merge { new, .. }) => {
                Order::Name { old: old(), new: new.clone() }
            }
            (Step::Unnaming, _) => Order::Unname { names: old() },
            (Step::Withdrawing, Kind::Split { new, .. } | Kind::Merge { new, .. }) => {
                Order::Unname { names: names(new) }
            }
            _ => return None,
        })
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
