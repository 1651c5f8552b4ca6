//! The coordinator's log as bytes: records of a length, a checksum and postcard. It promises that a log cut
//! off anywhere is read up to its last whole record, and that a record with any byte changed is not read. It
//! knows no file: [`Disk`] is a few bytes that last, with one implementation in the driver and one here
//! that forgets exactly what a crash would lose.

use std::io;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::change::{Change, Reason, Step};
use crate::map::{Batch, Snapshot};
use crate::types::{ChangeId, StoreId, Term};

/// No record is longer: a map of a hundred thousand blocks and its changes fit.
pub const RECORD_MOST: usize = 64 << 20;
/// Before each record: its length and its checksum, least significant byte first.
const HEAD: usize = 8;
/// A log begins with this; the last byte is the format's version.
pub const MAGIC: &[u8; 8] = b"ginglog\x01";

/// What a coordinator remembers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// All that held when this term began; the first record of a log.
    Start(Box<State>),
    /// A store has been given a number.
    Store(StoreId, String),
    /// A change has been taken on.
    Begin(Change),
    /// A change has come to a step.
    Step(ChangeId, Step, Option<Reason>),
    /// The map has changed.
    Batch(Batch),
    /// Whether operators have paused changes.
    Paused(bool),
    /// Numbers up to these have been given to blocks and changes, and so many epochs.
    Given {
        /// Blocks.
        blocks: u32,
        /// Changes.
        changes: u64,
        /// Epochs of this term.
        epochs: u32,
    },
}

/// A coordinator's state as it lasts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Whose term.
    pub term: Term,
    /// Stores by their numbers.
    pub stores: Vec<(StoreId, String)>,
    /// The map.
    pub map: Snapshot,
    /// Changes that have not ended.
    pub changes: Vec<Change>,
    /// Whether changes are paused.
    pub paused: bool,
    /// The last numbers given to blocks, changes and epochs.
    pub given: (u32, u64, u32),
}

/// Why a log can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// It is no log of ours, or of a later version.
    #[error("no log of this program's: it begins with {0:02x?}, expected {MAGIC:02x?}")]
    Magic(Vec<u8>),
    /// A record in its midst can't be read, though others follow it.
    #[error("record {number} at byte {at} can't be read, and whole records follow it: the disk has lost data; restore the log or rebuild the map from the stores")]
    Spoilt {
        /// Which, from 0.
        number: usize,
        /// Where it begins.
        at: usize,
    },
    /// A whole record that makes no sense here.
    #[error("record {number}: {what}")]
    Senseless {
        /// Which, from 0.
        number: usize,
        /// What is wrong with it.
        what: String,
    },
}

/// A record as bytes.
pub fn encode(record: &LogRecord) -> Vec<u8> {
    // Serializing to a vector of these types has no way to fail.
    let body = postcard::to_stdvec(record).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&sum(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// The checksum covers the length too, so that a changed length is not taken for a cut.
fn sum(body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn whole(bytes: &[u8]) -> Option<(LogRecord, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (check, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let body = rest.get(..length).filter(|_| length <= RECORD_MOST)?;
    if sum(body) != u32::from_le_bytes(*check) {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, HEAD + length))
}

/// Reads a log: its records, and the length of its sound part. What lies behind that is a record that was being
/// written when the power went, unless a whole record follows it anywhere: then the log is spoilt.
pub fn decode(bytes: &[u8]) -> Result<(Vec<LogRecord>, usize), LogError> {
    if bytes.len() < MAGIC.len() && MAGIC.starts_with(bytes) {
        return Ok((Vec::new(), 0));
    }
    if !bytes.starts_with(MAGIC) {
        return Err(LogError::Magic(bytes[..bytes.len().min(MAGIC.len())].to_vec()));
    }
    let (mut records, mut at) = (Vec::new(), MAGIC.len());
    while let Some((record, length)) = bytes.get(at..).and_then(whole) {
        records.push(record);
        at += length;
    }
    let tail = &bytes[at..];
    // Records are short but for the first, so a scan of the tail is cheap; it is bounded all the same.
    let follows =
        (1..tail.len().saturating_sub(HEAD).min(1 << 20)).any(|skip| whole(&tail[skip..]).is_some());
    if follows {
        return Err(LogError::Spoilt { number: records.len(), at });
    }
    Ok((records, at))
}

/// Bytes that last: what was synced survives a crash, what was only appended may not.
pub trait Disk {
    /// All that is there.
    fn read(&mut self) -> io::Result<Vec<u8>>;
    /// Cuts off what lies behind.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Adds bytes at the end.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once all of it lasts.
    fn sync(&mut self) -> io::Result<()>;
}

/// A disk in memory that can crash, fill up, and lose what was not synced.
#[derive(Clone, Debug, Default)]
pub struct ForgetfulDisk {
    bytes: Vec<u8>,
    synced: usize,
    /// It is full at so many bytes.
    pub most: Option<usize>,
}

impl ForgetfulDisk {
    /// One with these bytes, all of which last.
    pub fn with(bytes: Vec<u8>) -> Self {
        Self { synced: bytes.len(), bytes, most: None }
    }

    /// Loses what was not synced, but for the first `kept` bytes of it.
    pub fn crash(&mut self, kept: usize) {
        self.bytes.truncate(self.synced.saturating_add(kept).min(self.bytes.len()));
        self.synced = self.bytes.len();
    }

    /// What is there.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl Disk for ForgetfulDisk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.bytes.clone())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.bytes.truncate(length as usize);
        self.synced = self.synced.min(self.bytes.len());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let room = self.most.map_or(usize::MAX, |most| most.saturating_sub(self.bytes.len()));
        self.bytes.extend_from_slice(&bytes[..bytes.len().min(room)]);
        if bytes.len() > room {
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
    /// An append failed halfway: the sound part ends at `length`, and is cut to it before the next.
    torn: bool,
}

impl<D: Disk> Log<D> {
    /// Opens a log, cuts off a torn end, and gives its records.
    pub fn open(mut disk: D) -> Result<(Self, Vec<LogRecord>), OpenError> {
        let bytes = disk.read()?;
        let (records, sound) = decode(&bytes)?;
        if sound < bytes.len() {
            disk.truncate(sound as u64)?;
        }
        let mut log = Self { disk, length: sound as u64, torn: false };
        if sound == 0 {
            log.write(MAGIC)?;
        }
        Ok((log, records))
    }

    /// Adds records and returns once they last. After an error none of them counts.
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

    /// The length of its sound part, in bytes.
    pub fn len(&self) -> u64 {
        self.length
    }

    /// Whether nothing is in it but its beginning.
    pub fn is_empty(&self) -> bool {
        self.length <= MAGIC.len() as u64
    }

    /// Where it lies.
    pub fn disk(&self) -> &D {
        &self.disk
    }
}

/// Why a log could not be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The disk's fault.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The log's.
    #[error(transparent)]
    Log(#[from] LogError),
}
