//! Messages between coordinators, brokers and stores about blocks: postcard values after a frame's type byte.
//! Every list is bounded, so that no frame exceeds the limit of either side.

use core::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::holding::{Entry, OrderOutcome, Refusal};
use crate::map::{Cursor, Record};
use crate::types::{BlockId, Epoch, Span, StoreId};

pub use crate::holding::HeldBlock;

/// Frame type of an order to a store.
pub const ORDER: u8 = b's';
/// Frame type of a store's reply to an order.
pub const REPLY: u8 = b't';
/// Frame type of a request to copy a section of a log from another store.
pub const COPY: u8 = b'u';
/// Frame type of the reply to a copy request.
pub const COPIED: u8 = b'v';
/// Frame type of a request for a section of a log.
pub const READ_SECTION: u8 = b'w';
/// Frame type of a section of a log.
pub const SECTION: u8 = b'x';

/// Maximum number of blocks in one inventory message.
pub const MAX_INVENTORY_BLOCKS: usize = 400;
/// Maximum size of the entries in one log section, in bytes.
pub const MAX_SECTION_BYTES: u64 = 48 * 1024;

/// Reply of a store to an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order was carried out.
    Done(OrderOutcome),
    /// The order was rejected.
    Refused(Refusal),
    /// Inventory of the store, in the order of block identifiers, from the block named in the order on.
    Inventory {
        /// At most [`MAX_INVENTORY_BLOCKS`] blocks.
        held: Vec<HeldBlock>,
        /// Whether more blocks follow.
        more: bool,
    },
}

/// Request to copy a section of a log from another store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyRequest {
    /// Block to be copied.
    pub block: BlockId,
    /// Epoch of the change.
    pub epoch: Epoch,
    /// Address on which the source listens.
    pub from: SocketAddr,
    /// Index in the source's log at which the section begins.
    pub start: u64,
    /// Maximum size of the section, in bytes.
    pub bytes: u64,
}

/// Reply to a copy request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyReply {
    /// Index in the source's log up to which the target has copied, including what it had before this request.
    pub copied: u64,
    /// Length of the source's log.
    pub length: u64,
    /// Number of bytes transferred.
    pub bytes: u64,
}

/// Request for a section of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRequest {
    /// Weighers whose entries are requested.
    pub span: Span,
    /// Index in the log at which the section begins.
    pub start: u64,
    /// Maximum size of the section, in bytes.
    pub bytes: u64,
}

/// A section of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSection {
    /// Entries of the section.
    pub entries: Vec<Entry>,
    /// Index in the log after the section.
    pub next: u64,
    /// Length of the log.
    pub length: u64,
}

/// Map update for a broker that follows the map: records up to a version, or the complete map from its
/// beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapPage {
    /// All stores with their numbers and names.
    pub stores: Vec<(StoreId, String)>,
    /// Records in the order of versions.
    pub records: Vec<Record>,
    /// Position in the change history after these records.
    pub cursor: Cursor,
    /// Version of the coordinator's map. More updates follow until this version is reached.
    pub version: u64,
    /// Term of the coordinator.
    pub term: u32,
    /// Whether this update begins a complete map, which replaces the map that the broker had.
    pub is_full_map: bool,
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Serializing these types cannot fail.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a message. Returns `None` unless the bytes are exactly one message.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    let (message, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(message)
}
