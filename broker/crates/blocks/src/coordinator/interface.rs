//! What goes into a coordinator and what comes out of it: its bounds, what it hears, what it wants done, what may be wished
//! of it and why not.

use thiserror::Error;

use crate::change::{Change, Millis, Patience, Step};
use crate::holding::{Done, Holding, Ordered, Refusal};
use crate::log::LogRecord;
use crate::map::MapError;
use crate::types::{BlockId, ChangeId, Epoch, Span, StoreId, Term};

/// Bounds of a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Blocks living.
    pub blocks: usize,
    /// Retired blocks whose spans are remembered.
    pub retired: usize,
    /// Stores.
    pub stores: usize,
    /// Changes under way.
    pub changes: usize,
    /// Changes that have ended and can still be looked at.
    pub ended: usize,
    /// How patient changes are.
    pub patience: Patience,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            blocks: 100_000,
            retired: 20_000,
            stores: 1_000,
            changes: 256,
            ended: 256,
            patience: Patience::default(),
        }
    }
}

/// Which order a word answers: what comes to a step that has passed is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tag {
    /// An order of a change, given in one of its rounds.
    Change(ChangeId, u32),
    /// The question what a store holds.
    Inventory,
    /// An order that puts right what no change explains.
    Repair(BlockId),
}

/// Something to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Write to the log and make it last. After an error the coordinator is to be dropped: what it would do
    /// next rests on this.
    Append(LogRecord),
    /// Send an order; the store's word is owed.
    Send(StoreId, Tag, Ordered),
    /// Have a stretch copied; its end is owed.
    Copy(CopyJob),
    /// The map has a new version.
    Publish(u64),
    /// A change has ended.
    Ended(ChangeId, Step),
    /// Another coordinator has this term: it is over here.
    Deposed(Term),
}

/// A stretch to be copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyJob {
    /// For which change.
    pub change: ChangeId,
    /// In which of its rounds.
    pub round: u32,
    /// The block.
    pub block: BlockId,
    /// The change's epoch.
    pub epoch: Epoch,
    /// Who copies.
    pub to: StoreId,
    /// From whom.
    pub from: StoreId,
    /// From where in its log.
    pub at: u64,
    /// Whether entries wait for it: the source is fenced.
    pub urgent: bool,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// A store's word on an order.
    Said(StoreId, Tag, Result<Done, Refusal>),
    /// A store could not be asked.
    Silent(StoreId, Tag),
    /// What a store holds, with its highest term.
    Holds(StoreId, Vec<(BlockId, Holding)>),
    /// A stretch was copied.
    Copied {
        /// Which.
        change: ChangeId,
        /// In which round it was asked for.
        round: u32,
        /// Up to where, and the source's length; nothing if a store was silent.
        upto: Option<(u64, u64)>,
    },
    /// Time has passed.
    Tick,
}

/// What an operator or the planner wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wish {
    /// A replica to go from one store to another.
    Move(BlockId, StoreId, StoreId),
    /// One more replica.
    Add(BlockId, StoreId),
    /// One replica fewer.
    Remove(BlockId, StoreId),
    /// Two blocks out of one, the second from this weigher on.
    Split(BlockId, u64),
    /// One block out of two neighbours.
    Merge(BlockId, BlockId),
}

/// Why a wish can't be met; nothing has been done.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unmet {
    /// No such block lives; these cover what it covered.
    #[error("{0} is not living; its weighers are in {1:?} now")]
    NotLiving(BlockId, Vec<BlockId>),
    /// A change of it is under way.
    #[error("{0} is being changed already (change {n}); wait for it or abandon it", n = .1 .0)]
    Busy(BlockId, ChangeId),
    /// A store that is not known.
    #[error("{0} is not known")]
    NoStore(StoreId),
    /// It holds the block already.
    #[error("{1} holds {0} already")]
    Holds(BlockId, StoreId),
    /// It does not hold the block.
    #[error("{1} does not hold {0}")]
    HoldsNot(BlockId, StoreId),
    /// Nobody else would hold it.
    #[error("{1} is the only holder of {0}: add another first, or move it")]
    Last(BlockId, StoreId),
    /// Where to split does not lie inside.
    #[error("{0} covers {1}: split it at a number inside, above the first")]
    Outside(BlockId, Span),
    /// They do not touch.
    #[error("{0} and {1} are no neighbours")]
    Apart(BlockId, BlockId),
    /// Different holders.
    #[error("{0} and {1} have other holders: move one of them first")]
    OtherHolders(BlockId, BlockId),
    /// As many changes as may be are under way.
    #[error("{0} changes are under way, which is the most: wait")]
    Full(usize),
    /// What a store holds is not known yet.
    #[error("{0} has not said yet what it holds")]
    Unheard(StoreId),
    /// Operators have paused changes.
    #[error("changes are paused: resume them first")]
    Paused,
    /// The map would refuse the result.
    #[error(transparent)]
    Map(#[from] MapError),
    /// The validator would.
    #[error("not sound: {0}")]
    Unsound(String),
}

/// A change that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Past {
    /// Which, with all that it was to do.
    pub change: Change,
    /// When.
    pub at: Millis,
}
