//! What coordinators, brokers and stores say to each other about blocks, as bytes: postcard behind a letter of the frames'.
//! Every list has a bound, so that no frame outgrows what both sides take.

use core::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::holding::{Done, Entry, Refusal};
use crate::map::{Cursor, Record};
use crate::types::{BlockId, Epoch, Span, StoreId};

pub use crate::holding::Held;

/// An order to a store.
pub const ORDER: u8 = b's';
/// A store's word on an order.
pub const WORD: u8 = b't';
/// To copy a stretch from another store.
pub const COPY: u8 = b'u';
/// How far that came.
pub const COPIED: u8 = b'v';
/// A stretch of a log is asked for.
pub const TAIL: u8 = b'w';
/// The stretch.
pub const STRETCH: u8 = b'x';

/// Blocks in one word on what a store holds.
pub const HOLDS_MOST: usize = 400;
/// Bytes of entries in one stretch.
pub const STRETCH_MOST: u64 = 48 * 1024;

/// A store's word.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// On an order that was carried out.
    Done(Done),
    /// On an order that was not.
    Refused(Refusal),
    /// What is held, from the block named in the order on, in the order of numbers.
    Holds {
        /// At most [`HOLDS_MOST`] of them.
        held: Vec<Held>,
        /// Whether there are more behind the last.
        more: bool,
    },
}

/// A call to copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyCall {
    /// The block.
    pub block: BlockId,
    /// The change's epoch.
    pub epoch: Epoch,
    /// Where the source listens.
    pub from: SocketAddr,
    /// From where in its log.
    pub at: u64,
    /// At most so many bytes.
    pub bytes: u64,
}

/// How far a copy came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copied {
    /// Up to where of the source's log; what the target has, whether this call moved it or not.
    pub copied: u64,
    /// The length of the source's log.
    pub length: u64,
    /// Bytes moved.
    pub bytes: u64,
}

/// A call for a stretch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailCall {
    /// Whose entries.
    pub span: Span,
    /// From where in the log.
    pub at: u64,
    /// At most so many bytes.
    pub bytes: u64,
}

/// A stretch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stretch {
    /// The entries.
    pub entries: Vec<Entry>,
    /// The index behind them.
    pub next: u64,
    /// The log's length.
    pub length: u64,
}

/// What a broker that follows the map is told: records up to a version, or the whole map from its beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Stores by their numbers, all of them.
    pub stores: Vec<(StoreId, String)>,
    /// Records in the order of versions.
    pub records: Vec<Record>,
    /// How far they go.
    pub upto: Cursor,
    /// The coordinator's version: there is more until all of it has been told.
    pub version: u64,
    /// The coordinator's term.
    pub term: u32,
    /// Whether these begin a whole map, after which nothing held before counts.
    pub whole: bool,
}

/// Bytes of a message.
pub fn pack<T: Serialize>(message: &T) -> Vec<u8> {
    // These types have no way to fail.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// The message, if the bytes are one and nothing else.
pub fn unpack<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    let (message, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(message)
}
