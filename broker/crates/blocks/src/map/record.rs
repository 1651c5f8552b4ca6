//! Data types of the block map: blocks, batches of records, cursors into the change history, and errors.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::types::{BlockId, Epoch, Extent, Span, StoreId};

/// Maximum number of replicas of a block.
pub const MAX_REPLICAS: usize = 8;

/// State of a replica, which determines what it may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// The replica may be sent all requests.
    Serving,
    /// The replica is copying the block and must not be sent requests yet.
    Joining,
    /// The replica may be sent all requests until the change in progress is committed.
    Leaving,
}

/// A replica of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Store that holds the replica.
    pub store: StoreId,
    /// State of the replica.
    pub state: ReplicaState,
}

/// An active block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Block {
    /// Identifier of the block.
    pub id: BlockId,
    /// Weigher numbers in the block.
    pub span: Span,
    /// Epoch of the block, which increases with each change.
    pub epoch: Epoch,
    /// Replicas of the block.
    pub replicas: Vec<Replica>,
    /// Geographic bounding box of the block's weighers, for queries by location.
    pub extent: Option<Extent>,
}

impl Block {
    /// Iterates over the stores that may be sent requests for this block.
    pub fn holders(&self) -> impl Iterator<Item = StoreId> + '_ {
        self.replicas.iter().filter(|r| r.state != ReplicaState::Joining).map(|r| r.store)
    }

    /// Whether a store may be sent requests for this block.
    pub fn is_holder(&self, store: StoreId) -> bool {
        self.holders().any(|holder| holder == store)
    }
}

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The block is active with this content from now on.
    Active(Block),
    /// The block is retired; requests for its span go to other blocks.
    Retired {
        /// Identifier of the retired block.
        id: BlockId,
        /// Weigher numbers that the block covered.
        span: Span,
        /// Epoch of the retirement.
        epoch: Epoch,
    },
}

impl Record {
    /// Returns the block that the record describes.
    pub fn id(&self) -> BlockId {
        match self {
            Self::Active(block) => block.id,
            Self::Retired { id, .. } => *id,
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        match self {
            Self::Active(block) => block.epoch,
            Self::Retired { epoch, .. } => *epoch,
        }
    }
}

/// Records that are applied together, and the version of the map that results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Version of the map after this batch. Versions are consecutive.
    pub version: u64,
    /// Records of the batch.
    pub records: Vec<Record>,
}

/// Position in the change history: all changes up to and including one block in one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// Version of the map.
    pub version: u64,
    /// Last block of this version that has been delivered.
    pub block: BlockId,
}

impl Cursor {
    /// Creates a cursor after all changes of a version.
    pub fn after_version(version: u64) -> Self {
        Self { version, block: BlockId(u32::MAX) }
    }
}

/// Reason why a batch was rejected. The map is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MapError {
    /// One or more batches before this one are missing.
    #[error("version {found} does not follow version {held}: ask for what lies between")]
    Gap {
        /// Version of the map.
        held: u64,
        /// Version of the batch.
        found: u64,
    },
    /// The epoch of a record is not greater than the block's current epoch.
    #[error("{block}: {found} does not rise above {held}")]
    Stale {
        /// Block of the record.
        block: BlockId,
        /// Current epoch of the block.
        held: Epoch,
        /// Epoch in the batch.
        found: Epoch,
    },
    /// A retired block identifier is used again, or an identifier occurs twice in a batch.
    #[error("{0}: the number has been used before; a new block takes a new one")]
    Reused(BlockId),
    /// A block has no weighers, no holders, too many holders, or the same holder twice.
    #[error("{0}: {1}")]
    Malformed(BlockId, &'static str),
    /// The batch would leave weigher numbers uncovered or covered twice.
    #[error("the batch covers other weigher numbers than it gives up, first at {0}")]
    CoverageMismatch(u64),
    /// The map would exceed its limit on blocks.
    #[error("more than {0} blocks")]
    TooManyBlocks(usize),
}

/// Part of a requested span, and the active block that covers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Active block that covers the slice.
    pub block: BlockId,
    /// Part of the requested span that this block covers.
    pub slice: Span,
    /// Whether the slice is the complete span of the block.
    pub is_whole_block: bool,
}
