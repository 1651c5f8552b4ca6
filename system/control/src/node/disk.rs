//! The disk of a control node: its identity, the founding, the address book and the chain's records, in one ring of files. Writes
//! run on the storage thread; the chain is told of each batch when it is durable.

use std::collections::VecDeque;
use std::path::Path;

use gingerledge_chain::LogRecord;
use gingerledge_storage::{FileDisk, Recovered, Ring, RingSettings, StorageError, Writer, WriterEvent};
use gingerledge_wire::NodeRecord;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc::UnboundedSender;

const MEBIBYTE: u64 = 1024 * 1024;
/// The ring takes this share of the disk.
const RING_SHARE: u64 = 4;
const LEAST_RING_BYTES: u64 = 16 * MEBIBYTE;
const MOST_RING_BYTES: u64 = 64 * MEBIBYTE;
const RING_FILES: u64 = 8;

/// One record in the ring.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DiskRecord {
    /// The identity of this disk.
    Identity {
        /// The identity.
        member: u64,
        /// All founders, if this member is one of them.
        founders: Vec<u64>,
    },
    /// The control nodes known.
    Book(Vec<NodeRecord>),
    /// A record of the chain.
    Chain(LogRecord),
}

/// What was on the disk.
#[derive(Debug, Default)]
pub struct Kept {
    /// The identity and the founders, if the disk was used before.
    pub identity: Option<(u64, Vec<u64>)>,
    /// The control nodes known.
    pub book: Vec<NodeRecord>,
    /// The chain's records, in order.
    pub chain: Vec<LogRecord>,
}

/// Why a disk can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DiskError {
    /// The ring can't be opened or written.
    #[snafu(display("{source}"))]
    Storage {
        /// What the storage said.
        source: StorageError,
    },
    /// A record has the right checksum and can't be read. It may be a promise, so the disk is not used without it.
    #[snafu(display("a record on the disk is unreadable: {source}"))]
    Record {
        /// What the decoder met.
        source: bincode::error::DecodeError,
    },
}

/// Opens the ring in a folder, and reads what it holds.
pub fn open(folder: &Path, disk_mb: u64) -> Result<(Ring<FileDisk>, Kept), DiskError> {
    let bytes = (disk_mb * MEBIBYTE / RING_SHARE).clamp(LEAST_RING_BYTES, MOST_RING_BYTES);
    let settings = RingSettings { files: RING_FILES as usize, file_bytes: bytes / RING_FILES };
    let disk = FileDisk::open(folder).context(StorageSnafu)?;
    let (ring, recovered) = Ring::open(disk, settings).context(StorageSnafu)?;
    Ok((ring, read(recovered)?))
}

fn read(recovered: Recovered) -> Result<Kept, DiskError> {
    let mut kept = Kept::default();
    for bytes in recovered.snapshot.iter().chain(&recovered.records) {
        let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
        let (record, _) = decoded.context(RecordSnafu)?;
        match record {
            DiskRecord::Identity { member, founders } => kept.identity = Some((member, founders)),
            DiskRecord::Book(book) => kept.book = book,
            DiskRecord::Chain(record) => kept.chain.push(record),
        }
    }
    Ok(kept)
}

/// Encodes a record for the ring.
pub fn encode(record: &DiskRecord) -> Vec<u8> {
    bincode::serde::encode_to_vec(record, bincode::config::standard()).unwrap_or_default()
}

/// What the disk has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskNews {
    /// The chain's records up to this token are durable.
    Durable(u64),
    /// Everything should be written anew, in place of all before.
    WantsSnapshot,
}

/// The queue of writes.
#[derive(Debug)]
pub struct DiskDriver {
    writer: Writer,
    next: u64,
    /// Writes under way, with the newest of the chain's tokens that each covers.
    under_way: VecDeque<(u64, Option<u64>)>,
    newest_chain_token: Option<u64>,
    snapshot: Option<u64>,
    /// A write failed or was refused; only a snapshot helps.
    broken: bool,
}

impl DiskDriver {
    /// Starts the storage thread; its events go to `events`.
    pub fn start(ring: Ring<FileDisk>, events: UnboundedSender<WriterEvent>) -> Result<Self, StorageError> {
        let on_event = Box::new(move |event| {
            // Nobody listens any more while the process ends.
            let _ = events.send(event);
        });
        Ok(Self {
            writer: Writer::start(ring, on_event)?,
            next: 0,
            under_way: VecDeque::new(),
            newest_chain_token: None,
            snapshot: None,
            broken: false,
        })
    }

    /// Writes records; `chain_token` names the chain's own among them.
    pub fn append(&mut self, records: &[DiskRecord], chain_token: Option<u64>) {
        self.newest_chain_token = chain_token.or(self.newest_chain_token);
        if self.broken {
            return;
        }
        self.next += 1;
        let encoded = records.iter().map(encode).collect();
        if let Err(error) = self.writer.append(self.next, encoded) {
            log::warn!("the disk takes no records: {error}");
            self.broken = true;
            return;
        }
        self.under_way.push_back((self.next, chain_token));
    }

    /// Writes everything anew, unless that is being done.
    pub fn snapshot(&mut self, records: &[DiskRecord]) {
        if self.snapshot.is_some() {
            return;
        }
        self.next += 1;
        let encoded = records.iter().map(encode).collect();
        if let Err(error) = self.writer.snapshot(self.next, encoded) {
            log::warn!("the disk takes no snapshot: {error}");
            return;
        }
        self.snapshot = Some(self.next);
        self.under_way.push_back((self.next, self.newest_chain_token));
        self.broken = false;
    }

    /// Whether a snapshot must be written before anything else is.
    pub fn is_broken(&self) -> bool {
        self.broken && self.snapshot.is_none()
    }

    /// How many writes are under way.
    pub fn waiting(&self) -> usize {
        self.under_way.len()
    }

    /// Takes an event of the storage thread.
    pub fn handle(&mut self, event: WriterEvent) -> Vec<DiskNews> {
        match event {
            WriterEvent::Durable { token, wants_snapshot } => {
                let was_snapshot = self.finish(token);
                let mut news: Vec<DiskNews> = was_snapshot.1.map(DiskNews::Durable).into_iter().collect();
                if wants_snapshot && !was_snapshot.0 && self.snapshot.is_none() {
                    news.push(DiskNews::WantsSnapshot);
                }
                news
            }
            WriterEvent::Failed { token, error } => {
                log::warn!("the disk has failed a write: {error}");
                self.finish(token);
                if self.snapshot.is_none() {
                    self.broken = true;
                }
                Vec::new()
            }
        }
    }

    /// Forgets a write; says whether it was the snapshot, and which of the chain's tokens it covered.
    fn finish(&mut self, token: u64) -> (bool, Option<u64>) {
        let was_snapshot = self.snapshot == Some(token);
        if was_snapshot {
            self.snapshot = None;
        }
        let mut covered = None;
        while let Some(&(first, chain_token)) = self.under_way.front() {
            if first > token {
                break;
            }
            covered = chain_token.or(covered);
            self.under_way.pop_front();
        }
        (was_snapshot, covered)
    }
}
