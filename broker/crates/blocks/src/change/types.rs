//! What a change is made of: its kinds, its steps, what happens to it, what it wants done, and how patient it is.

use serde::{Deserialize, Serialize};

use crate::holding::{Done, Order, Refusal};
use crate::types::{BlockId, Epoch, Span, StoreId};

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
