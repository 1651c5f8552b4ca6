//! Inputs and outputs of a coordinator, its limits, and the changes that can be requested.

use thiserror::Error;

use crate::change::{Change, Millis, Step, Timeouts};
use crate::holding::{Holding, OrderOutcome, Refusal, StampedOrder};
use crate::log::LogRecord;
use crate::map::MapError;
use crate::types::{BlockId, ChangeId, Epoch, Span, StoreId, Term};

/// Limits of a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of active blocks.
    pub blocks: usize,
    /// Maximum number of retired blocks whose spans are remembered.
    pub retired: usize,
    /// Maximum number of stores.
    pub stores: usize,
    /// Maximum number of changes in progress.
    pub changes: usize,
    /// Maximum number of ended changes that are kept for inspection.
    pub ended: usize,
    /// Timeouts and retry limits of changes.
    pub timeouts: Timeouts,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            blocks: 100_000,
            retired: 20_000,
            stores: 1_000,
            changes: 256,
            ended: 256,
            timeouts: Timeouts::default(),
        }
    }
}

/// Identifies the order that a reply belongs to. Replies to a step that has ended are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderPurpose {
    /// An order of a change, with the round in which it was sent.
    Change(ChangeId, u32),
    /// A request for the inventory of a store.
    Inventory,
    /// An order that corrects a difference between map and store that no change explains.
    Repair(BlockId),
}

/// Work for the caller, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Append a record to the log and make it durable. After an error the coordinator must be dropped, because
    /// its next actions depend on this record.
    Append(LogRecord),
    /// Send an order to a store; its reply is expected as an event.
    Send(StoreId, OrderPurpose, StampedOrder),
    /// Copy a section of a log; its result is expected as an event.
    Copy(CopyJob),
    /// The map has a new version.
    Publish(u64),
    /// A change has ended.
    ChangeEnded(ChangeId, Step),
    /// A coordinator with this higher term exists; this one must stop.
    HigherTerm(Term),
}

/// A section of a log to be copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyJob {
    /// Change that the copy belongs to.
    pub change: ChangeId,
    /// Round of the change.
    pub round: u32,
    /// Block to be copied.
    pub block: BlockId,
    /// Epoch of the change.
    pub epoch: Epoch,
    /// Store that copies.
    pub to: StoreId,
    /// Store that is copied from.
    pub from: StoreId,
    /// Index in the source's log at which the section begins.
    pub start: u64,
    /// Whether entries are blocked until the copy is complete, because the source is fenced.
    pub urgent: bool,
}

/// Event that the coordinator processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Reply of a store to an order.
    Reply(StoreId, OrderPurpose, Result<OrderOutcome, Refusal>),
    /// A store could not be reached.
    NoReply(StoreId, OrderPurpose),
    /// Inventory of a store.
    Inventory(StoreId, Vec<(BlockId, Holding)>),
    /// A section of a log has been copied.
    Copied {
        /// Change that the copy belongs to.
        change: ChangeId,
        /// Round in which the copy was requested.
        round: u32,
        /// Index up to which the target has copied, and length of the source's log; `None` if a store did not
        /// reply.
        progress: Option<(u64, u64)>,
    },
    /// Time has passed.
    Tick,
}

/// Change requested by an operator or by the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeRequest {
    /// Move a replica of a block from the first store to the second.
    Move(BlockId, StoreId, StoreId),
    /// Add a replica at a store.
    Add(BlockId, StoreId),
    /// Remove the replica at a store.
    Remove(BlockId, StoreId),
    /// Split a block; the second new block begins at this weigher.
    Split(BlockId, u64),
    /// Merge two adjacent blocks.
    Merge(BlockId, BlockId),
}

/// Reason why a requested change was rejected. Nothing has been changed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The block is not active; the listed blocks cover its weighers.
    #[error("{0} is not living; its weighers are in {1:?} now")]
    NotActive(BlockId, Vec<BlockId>),
    /// Another change of the block is in progress.
    #[error("{0} is being changed already (change {n}); wait for it or abandon it", n = .1 .0)]
    Busy(BlockId, ChangeId),
    /// The store is unknown.
    #[error("{0} is not known")]
    UnknownStore(StoreId),
    /// The store already holds the block.
    #[error("{1} holds {0} already")]
    AlreadyHolds(BlockId, StoreId),
    /// The store does not hold the block.
    #[error("{1} does not hold {0}")]
    DoesNotHold(BlockId, StoreId),
    /// No other store would hold the block.
    #[error("{1} is the only holder of {0}: add another first, or move it")]
    LastHolder(BlockId, StoreId),
    /// The split position is outside the block.
    #[error("{0} covers {1}: split it at a number inside, above the first")]
    OutsideBlock(BlockId, Span),
    /// The blocks are not adjacent.
    #[error("{0} and {1} are no neighbours")]
    NotAdjacent(BlockId, BlockId),
    /// The blocks have different holders.
    #[error("{0} and {1} have other holders: move one of them first")]
    DifferentHolders(BlockId, BlockId),
    /// The limit on changes in progress has been reached.
    #[error("{0} changes are under way, which is the most: wait")]
    TooManyChanges(usize),
    /// The inventory of the store has not been received yet.
    #[error("{0} has not said yet what it holds")]
    NoInventory(StoreId),
    /// An operator has paused changes.
    #[error("changes are paused: resume them first")]
    Paused,
    /// The map rejects the result.
    #[error(transparent)]
    Map(#[from] MapError),
    /// The validator rejects the result.
    #[error("not sound: {0}")]
    Invalid(String),
}

/// A change that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedChange {
    /// The change with its final state.
    pub change: Change,
    /// Time at which the change ended, in milliseconds on the caller's clock.
    pub ended_at: Millis,
}
