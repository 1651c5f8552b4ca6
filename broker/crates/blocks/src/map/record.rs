//! What a map is told in: blocks, batches of records, how far they have been told, and why a batch is refused.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::types::{BlockId, Epoch, Extent, Span, StoreId};

/// A block has no more replicas.
pub const REPLICAS_MOST: usize = 8;

/// What a replica may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// Everything.
    Serving,
    /// It copies; nothing is to be sent to it yet.
    Joining,
    /// Everything until the change under way has been committed.
    Leaving,
}

/// One holder of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Where.
    pub store: StoreId,
    /// What it may be sent.
    pub state: ReplicaState,
}

/// A living block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Block {
    /// Its number.
    pub id: BlockId,
    /// The weigher numbers in it.
    pub span: Span,
    /// Rises with each change.
    pub epoch: Epoch,
    /// Its holders.
    pub replicas: Vec<Replica>,
    /// Where its weighers stand, for those who ask by place.
    pub extent: Option<Extent>,
}

impl Block {
    /// The stores that may be sent parts.
    pub fn holders(&self) -> impl Iterator<Item = StoreId> + '_ {
        self.replicas.iter().filter(|r| r.state != ReplicaState::Joining).map(|r| r.store)
    }

    /// Whether a store may be sent its parts.
    pub fn held_by(&self, store: StoreId) -> bool {
        self.holders().any(|holder| holder == store)
    }
}

/// One line of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The block is so from now on.
    Living(Block),
    /// The block is no more; its span is asked at others.
    Retired {
        /// Which.
        id: BlockId,
        /// What it covered.
        span: Span,
        /// The epoch of its end.
        epoch: Epoch,
    },
}

impl Record {
    /// The block it speaks of.
    pub fn id(&self) -> BlockId {
        match self {
            Self::Living(block) => block.id,
            Self::Retired { id, .. } => *id,
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        match self {
            Self::Living(block) => block.epoch,
            Self::Retired { epoch, .. } => *epoch,
        }
    }
}

/// Changes that are taken together, and the version of the map that they make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Versions follow each other without gap.
    pub version: u64,
    /// The changes.
    pub records: Vec<Record>,
}

/// How far the changes of a map have been told: all up to a version's block.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The version.
    pub version: u64,
    /// The last block told of it.
    pub block: BlockId,
}

impl Cursor {
    /// Behind all of a version.
    pub fn at(version: u64) -> Self {
        Self { version, block: BlockId(u32::MAX) }
    }
}

/// Why a batch was refused; the map is as before.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapError {
    /// A batch is missing before this one.
    #[error("version {found} does not follow version {held}: ask for what lies between")]
    Gap {
        /// The map's version.
        held: u64,
        /// The batch's.
        found: u64,
    },
    /// An epoch that does not rise.
    #[error("{block}: {found} does not rise above {held}")]
    Stale {
        /// Which block.
        block: BlockId,
        /// Its epoch.
        held: Epoch,
        /// The batch's.
        found: Epoch,
    },
    /// A number that was retired comes back, or one stands twice in a batch.
    #[error("{0}: the number has been used before; a new block takes a new one")]
    Reused(BlockId),
    /// A block without weighers, holders, or with a holder twice or too many.
    #[error("{0}: {1}")]
    Malformed(BlockId, &'static str),
    /// The batch would leave numbers uncovered, or covered twice.
    #[error("the batch covers other weigher numbers than it gives up, first at {0}")]
    Uneven(u64),
    /// More blocks than the map may have.
    #[error("more than {0} blocks")]
    Full(usize),
}

/// One slice of what was asked for, and the block that answers for it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The living block.
    pub block: BlockId,
    /// The weigher numbers asked of it.
    pub slice: Span,
    /// Whether that is all the block has.
    pub all: bool,
}
