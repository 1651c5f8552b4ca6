//! Encoding of the coordinator's log: records that consist of a length, a checksum and a postcard value. A log
//! that is cut off anywhere can be read up to its last complete record, and a record with any changed byte is
//! rejected. [`Disk`] abstracts durable storage: the broker implements it with a file, and [`SimulatedDisk`]
//! here loses exactly what a crash would lose.

use std::io;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::{Change, Reason, Step};
use crate::map::{Batch, Snapshot};
use crate::types::{ChangeId, StoreId, Term};

/// Maximum length of a record, in bytes. A map of 100,000 blocks with its changes fits.
pub const MAX_RECORD_BYTES: usize = 64 << 20;
/// Length of the header of a record, in bytes: the length and the checksum of its body, little-endian.
const HEADER_BYTES: usize = 8;
/// First bytes of a log. The last byte is the version of the format.
pub const MAGIC: &[u8; 8] = b"ginglog\x01";

/// Record of the coordinator's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// Complete state at the beginning of this term; the first record of a log.
    Start(Box<State>),
    /// A store has been assigned a number.
    Store(StoreId, String),
    /// A change has been started.
    Begin(Change),
    /// A change has entered a step.
    Step(ChangeId, Step, Option<Reason>),
    /// The map has changed.
    Batch(Batch),
    /// Whether an operator has paused changes.
    Paused(bool),
    /// Last assigned identifiers of blocks and changes, and the number of assigned epochs.
    Assigned {
        /// Last assigned block identifier.
        blocks: u32,
        /// Last assigned change identifier.
        changes: u64,
        /// Number of epochs assigned in this term.
        epochs: u32,
    },
}

/// Durable state of a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Term of the coordinator.
    pub term: Term,
    /// Stores with their numbers and names.
    pub stores: Vec<(StoreId, String)>,
    /// Snapshot of the block map.
    pub map: Snapshot,
    /// Changes in progress.
    pub changes: Vec<Change>,
    /// Whether changes are paused.
    pub paused: bool,
    /// Last assigned block identifier, last assigned change identifier, and number of assigned epochs.
    pub last_assigned: (u32, u64, u32),
}

/// Reason why a log cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The data is not a log of this program, or has an unsupported version.
    #[error("no log of this program's: it begins with {0:02x?}, expected {MAGIC:02x?}")]
    Magic(Vec<u8>),
    /// A record cannot be read although complete records follow it.
    #[error("record {number} at byte {at} can't be read, and whole records follow it: the disk has lost data; restore the log or rebuild the map from the stores")]
    Damaged {
        /// Index of the record, from 0.
        number: usize,
        /// Offset of the record, in bytes.
        at: usize,
    },
    /// A complete record that is not valid at its position.
    #[error("record {number}: {what}")]
    InvalidRecord {
        /// Index of the record, from 0.
        number: usize,
        /// Description of the error.
        what: String,
    },
}

/// Encodes a record with its header.
pub fn encode(record: &LogRecord) -> Vec<u8> {
    // Serializing these types to a vector cannot fail.
    let body = postcard::to_stdvec(record).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Computes the checksum. It covers the length too, so that a changed length is not mistaken for a truncated
/// log.
fn checksum(body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn decode_record(bytes: &[u8]) -> Option<(LogRecord, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (check, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let body = rest.get(..length).filter(|_| length <= MAX_RECORD_BYTES)?;
    if checksum(body) != u32::from_le_bytes(*check) {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, HEADER_BYTES + length))
}

/// Decodes a log and returns its records and the length of its valid part, in bytes. Data after the valid part
/// is taken for a record that was being written when the power failed, unless a complete record follows
/// anywhere in it: then the log is damaged.
pub fn decode(bytes: &[u8]) -> Result<(Vec<LogRecord>, usize), LogError> {
    if bytes.len() < MAGIC.len() && MAGIC.starts_with(bytes) {
        return Ok((Vec::new(), 0));
    }
    if !bytes.starts_with(MAGIC) {
        return Err(LogError::Magic(bytes[..bytes.len().min(MAGIC.len())].to_vec()));
    }
    let (mut records, mut at) = (Vec::new(), MAGIC.len());
    while let Some((record, length)) = bytes.get(at..).and_then(decode_record) {
        records.push(record);
        at += length;
    }
    let tail = &bytes[at..];
    // Only the first record is long, so scanning the tail is cheap; the scan is bounded all the same.
    let follows = (1..tail.len().saturating_sub(HEADER_BYTES).min(1 << 20))
        .any(|skip| decode_record(&tail[skip..]).is_some());
    if follows {
        return Err(LogError::Damaged { number: records.len(), at });
    }
    Ok((records, at))
}

/// Durable storage of bytes: synced data survives a crash, data that was only appended may not.
pub trait Disk {
    /// Reads all data.
    fn read(&mut self) -> io::Result<Vec<u8>>;
    /// Discards all data after the first `length` bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Appends bytes at the end.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once all data is durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// Disk in memory for tests, which can crash, fill up, and lose data that was not synced.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    bytes: Vec<u8>,
    synced: usize,
    /// Capacity of the disk, in bytes; unlimited if `None`.
    pub capacity: Option<usize>,
}

impl SimulatedDisk {
    /// Creates a disk with these bytes, all of which are durable.
    pub fn with(bytes: Vec<u8>) -> Self {
        Self { synced: bytes.len(), bytes, capacity: None }
    }

    /// Simulates a crash: discards data that was not synced, except for its first `kept` bytes.
    pub fn crash(&mut self, kept: usize) {
        self.bytes.truncate(self.synced.saturating_add(kept).min(self.bytes.len()));
        self.synced = self.bytes.len();
    }

    /// Returns the data on the disk.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl Disk for SimulatedDisk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.bytes.clone())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.bytes.truncate(length as usize);
        self.synced = self.synced.min(self.bytes.len());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let free_bytes =
            self.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(self.bytes.len()));
        self.bytes.extend_from_slice(&bytes[..bytes.len().min(free_bytes)]);
        if bytes.len() > free_bytes {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.synced = self.bytes.len();
        Ok(())
    }
}

/// A log on a disk.
#[derive(Debug)]
pub struct Log<D> {
    disk: D,
    length: u64,
    /// Whether an append failed midway. The valid part then ends at `length`, and the rest is cut off before
    /// the next append.
    torn: bool,
}

impl<D: Disk> Log<D> {
    /// Opens a log, removes an incomplete record at its end, and returns its records.
    pub fn open(mut disk: D) -> Result<(Self, Vec<LogRecord>), OpenError> {
        let bytes = disk.read()?;
        let (records, valid_length) = decode(&bytes)?;
        if valid_length < bytes.len() {
            disk.truncate(valid_length as u64)?;
        }
        let mut log = Self { disk, length: valid_length as u64, torn: false };
        if valid_length == 0 {
            log.write(MAGIC)?;
        }
        Ok((log, records))
    }

    /// Appends records and returns once they are durable. After an error none of them counts as written.
    pub fn append(&mut self, records: &[LogRecord]) -> io::Result<()> {
        let bytes: Vec<u8> = records.iter().flat_map(encode).collect();
        self.write(&bytes)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.torn {
            self.disk.truncate(self.length)?;
            self.torn = false;
        }
        self.torn = true;
        self.disk.append(bytes)?;
        self.disk.sync()?;
        self.torn = false;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Returns the length of the valid part, in bytes.
    pub fn len(&self) -> u64 {
        self.length
    }

    /// Whether the log has no records.
    pub fn is_empty(&self) -> bool {
        self.length <= MAGIC.len() as u64
    }

    /// Returns the disk that holds the log.
    pub fn disk(&self) -> &D {
        &self.disk
    }
}

/// Reason why a log could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The disk returned an error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The content of the log is not valid.
    #[error(transparent)]
    Log(#[from] LogError),
}
