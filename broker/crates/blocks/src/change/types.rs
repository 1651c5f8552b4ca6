//! Types of a change: kinds, steps, inputs, effects and timeouts.

use serde::{Deserialize, Serialize};

use crate::holding::{Order, OrderOutcome, Refusal};
use crate::types::{BlockId, Epoch, Span, StoreId};

/// Time in milliseconds on the caller's clock.
pub type Millis = u64;

/// Kind of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeKind {
    /// Moves a replica from one store to another.
    Move {
        /// Store that loses the replica.
        from: StoreId,
        /// Store that receives the replica.
        to: StoreId,
    },
    /// Adds a replica.
    Add {
        /// Store whose log is copied.
        source: StoreId,
        /// Store that receives the replica.
        to: StoreId,
    },
    /// Removes a replica.
    Remove {
        /// Store that loses the replica.
        from: StoreId,
        /// Remaining holder that copies the store's log up to its end.
        remaining_holder: StoreId,
    },
    /// Splits a block in two at all its holders.
    Split {
        /// Stores that hold the block.
        holders: Vec<StoreId>,
        /// Identifiers and spans of the new blocks.
        new: Vec<(BlockId, Span)>,
    },
    /// Merges two adjacent blocks at all their holders.
    Merge {
        /// Identifier of the second block.
        with: BlockId,
        /// Stores that hold both blocks.
        holders: Vec<StoreId>,
        /// Identifier and span of the new block.
        new: Vec<(BlockId, Span)>,
    },
}

/// Step of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Step {
    /// The target prepares to copy.
    Preparing,
    /// The target copies the source's log.
    Copying,
    /// The source stops accepting entries.
    Fencing,
    /// The target copies the log up to the watermark.
    CatchingUp {
        /// Length of the source's log when it was fenced.
        watermark: u64,
    },
    /// The target starts to accept reads.
    Reading,
    /// All holders hold the block under the new identifiers too.
    Naming,
    /// The change of the map is made durable.
    Committing,
    /// The source stops accepting requests.
    Retiring,
    /// The target starts to accept entries.
    Opening,
    /// The source deletes its copy.
    Forgetting,
    /// The holders remove the old block identifiers.
    Unnaming,
    /// Rollback: the target deletes its copy.
    Dropping,
    /// Rollback: the source accepts entries again.
    Unfencing,
    /// Rollback: the holders remove the new block identifiers.
    Withdrawing,
    /// The change is complete.
    Done,
    /// The change has been rolled back; the state is as before.
    Abandoned,
}

impl Step {
    /// Whether the change has ended.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Done | Self::Abandoned)
    }

    /// Whether the change has reached its commit.
    pub fn is_committed(self) -> bool {
        use Step::{Committing, Done, Forgetting, Opening, Retiring, Unnaming};
        matches!(self, Committing | Retiring | Opening | Forgetting | Unnaming | Done)
    }

    /// Whether the change is being or has been rolled back.
    pub fn is_rolling_back(self) -> bool {
        matches!(self, Self::Dropping | Self::Unfencing | Self::Withdrawing | Self::Abandoned)
    }
}

/// Reason for a rollback.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// Requested by an operator.
    Asked,
    /// A step timed out.
    Patience(Step),
    /// A store rejected an order.
    Refused(StoreId, Refusal),
    /// The validator rejected the map that the change would produce.
    Unsound(String),
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The change begins, or continues after a restart.
    Resume,
    /// Reply of a store to an order of this change.
    Reply(StoreId, Result<OrderOutcome, Refusal>),
    /// A store could not be reached or did not reply.
    NoReply(StoreId),
    /// A section of the log has been copied.
    Copied {
        /// Index in the source's log up to which the target has copied.
        copied: u64,
        /// Length of the source's log.
        length: u64,
    },
    /// The change of the map is durable.
    Committed,
    /// The source has already retired the block for this change, because a deposed coordinator had committed
    /// it.
    AlreadyCommitted,
    /// The source has been opened again under a later epoch, because a deposed coordinator had rolled the
    /// change back.
    AlreadyRolledBack(Epoch),
    /// The validator rejected the records to be committed. None of them has been made durable.
    Invalid(String),
    /// An operator requests a rollback.
    Abandon,
    /// Time has passed.
    Tick,
}

/// Effect to carry out. Effects must be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Make the step durable before any later effect is carried out.
    Record(Step),
    /// Send an order; answered by [`Input::Reply`] or [`Input::NoReply`].
    Order(StoreId, BlockId, Epoch, Order),
    /// Make the target copy a section of the source's log, as the budget allows; answered by [`Input::Copied`]
    /// or [`Input::NoReply`].
    Copy {
        /// Store that copies.
        to: StoreId,
        /// Store that is copied from.
        from: StoreId,
        /// Index in the source's log at which the section begins.
        start: u64,
    },
    /// Change the map and make that durable; answered by [`Input::Committed`].
    Commit,
}

/// Timeouts and retry limits of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// First delay before an order is repeated, in milliseconds; doubled each time no reply arrives.
    pub retry_initial_ms: Millis,
    /// Longest delay before an order is repeated, in milliseconds.
    pub retry_max_ms: Millis,
    /// Time without progress, in milliseconds, after which a step that can be rolled back is rolled back.
    pub step_timeout_ms: Millis,
    /// The source is fenced once the target lacks at most this number of entries.
    pub max_lag_entries: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { retry_initial_ms: 50, retry_max_ms: 2_000, step_timeout_ms: 20_000, max_lag_entries: 64 }
    }
}
