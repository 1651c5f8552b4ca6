//! The disk of a control node. It stores the node's identity, the founders, the known peers and the chain's records in one ring
//! of files. Writes run on the storage thread, which reports each batch when it is durable.
//!
//! After a failed write the disk lacks records, so nothing more is appended until a snapshot has replaced all contents.

use std::collections::VecDeque;
use std::path::Path;
use std::time::Duration;

use gingerledge_chain::LogRecord;
use gingerledge_storage::{FileDisk, Recovered, Ring, RingSettings, StorageError, Writer, WriterEvent};
use gingerledge_wire::NodeRecord;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc::UnboundedSender;

const MEBIBYTE: u64 = 1024 * 1024;
/// The ring is limited to the disk size divided by this number.
const RING_DIVISOR: u64 = 4;
const MIN_RING_BYTES: u64 = 16 * MEBIBYTE;
const MAX_RING_BYTES: u64 = 64 * MEBIBYTE;
const RING_FILES: u64 = 8;
/// Interval between attempts to replace all contents of a disk on which writes have failed.
const REWRITE_INTERVAL: Duration = Duration::from_millis(500);

/// One record in the ring. It is encoded with bincode, so the order of the variants and fields must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum DiskRecord {
    /// The identity of the member on this disk.
    Identity {
        /// Identity of the member.
        member: u64,
        /// Identities of all founders if this member is one of them, otherwise empty.
        founders: Vec<u64>,
    },
    /// The records of the known control nodes.
    Peers(Vec<NodeRecord>),
    /// A record of the control chain.
    Chain(LogRecord),
}

/// The identity of the member on a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DiskIdentity {
    /// Identity of the disk, which is that of its member.
    pub member: u64,
    /// Identities of all founders if this member is one of them, otherwise empty.
    pub founders: Vec<u64>,
}

impl DiskIdentity {
    /// Converts the identity into the record that stores it.
    pub(super) fn to_record(&self) -> DiskRecord {
        DiskRecord::Identity { member: self.member, founders: self.founders.clone() }
    }
}

/// The recovered contents of a disk.
#[derive(Debug, Default)]
pub(super) struct DiskContents {
    /// The identity; `None` if the disk was not used before.
    pub identity: Option<DiskIdentity>,
    /// The records of the known control nodes.
    pub peers: Vec<NodeRecord>,
    /// The chain's records, in order.
    pub chain: Vec<LogRecord>,
}

/// An error because of which a disk can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DiskError {
    /// The ring can't be opened or written.
    #[snafu(display("{source}"))]
    Storage {
        /// The error of the storage.
        source: StorageError,
    },
    /// A record has the correct checksum but can't be decoded. It may be a promise of the vote on memberships, so the disk must
    /// not be used without it.
    #[snafu(display("a record on the disk is unreadable: {source}"))]
    Record {
        /// The decoder's error.
        source: bincode::error::DecodeError,
    },
}

/// Opens the ring in a folder, and reads its contents. `disk_mb` is the size of the disk in MiB.
///
/// # Errors
///
/// The ring can't be opened, or one of its records can't be decoded.
pub(super) fn open(folder: &Path, disk_mb: u64) -> Result<(Ring<FileDisk>, DiskContents), DiskError> {
    let bytes = (disk_mb * MEBIBYTE / RING_DIVISOR).clamp(MIN_RING_BYTES, MAX_RING_BYTES);
    let file_bytes = bytes / RING_FILES;
    let settings =
        RingSettings { files: RING_FILES as usize, file_bytes, extent_bytes: RingSettings::PREALLOCATE_ALL };
    let disk = FileDisk::open(folder).context(StorageSnafu)?;
    let (ring, recovered) = Ring::open(disk, settings).context(StorageSnafu)?;
    Ok((ring, read(recovered)?))
}

fn read(recovered: Recovered) -> Result<DiskContents, DiskError> {
    let mut contents = DiskContents::default();
    for bytes in recovered.snapshot.iter().chain(&recovered.records) {
        let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
        let (record, _) = decoded.context(RecordSnafu)?;
        match record {
            DiskRecord::Identity { member, founders } => {
                contents.identity = Some(DiskIdentity { member, founders });
            }
            DiskRecord::Peers(peers) => contents.peers = peers,
            DiskRecord::Chain(record) => contents.chain.push(record),
        }
    }
    Ok(contents)
}

/// Encodes a record for the ring.
pub(super) fn encode(record: &DiskRecord) -> Vec<u8> {
    bincode::serde::encode_to_vec(record, bincode::config::standard()).unwrap_or_default()
}

/// An effect of an event of the storage thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiskOutput {
    /// All records of the chain up to this token are durable.
    Durable {
        /// Token of the append that is durable.
        token: u64,
    },
    /// The ring is filling up, so a snapshot should replace all contents.
    SnapshotNeeded,
}

/// A write that the storage thread has not finished.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    id: u64,
    /// Newest token of the chain's appends that the write covers.
    chain_token: Option<u64>,
}

/// A write that the storage thread has finished.
#[derive(Clone, Copy, Debug)]
struct FinishedWrite {
    was_snapshot: bool,
    /// Newest token of the chain's appends that is durable after the write.
    chain_token: Option<u64>,
}

/// The queue of writes to the disk of one member.
#[derive(Debug)]
pub(super) struct Disk {
    writer: Writer,
    identity: DiskIdentity,
    next_id: u64,
    /// The pending writes, in the order of their ids.
    pending: VecDeque<PendingWrite>,
    newest_chain_token: Option<u64>,
    pending_snapshot: Option<u64>,
    /// Whether a write failed or was rejected. Nothing is appended then until a snapshot replaces all contents.
    has_failed: bool,
    next_rewrite: Duration,
}

impl Disk {
    /// Starts the storage thread, whose events go to `events`.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub(super) fn start(
        ring: Ring<FileDisk>,
        identity: DiskIdentity,
        events: UnboundedSender<WriterEvent>,
    ) -> Result<Self, StorageError> {
        let on_event = Box::new(move |event| {
            // The receiver has been dropped if the process is ending.
            let _ = events.send(event);
        });
        Ok(Self {
            writer: Writer::start(ring, on_event)?,
            identity,
            next_id: 0,
            pending: VecDeque::new(),
            newest_chain_token: None,
            pending_snapshot: None,
            has_failed: false,
            next_rewrite: Duration::ZERO,
        })
    }

    /// Appends records of the chain, which are reported durable under `token`.
    pub(super) fn append_chain(&mut self, records: Vec<LogRecord>, token: u64) {
        self.newest_chain_token = Some(token);
        let records: Vec<DiskRecord> = records.into_iter().map(DiskRecord::Chain).collect();
        self.append(&records, Some(token));
    }

    /// Appends the records of the known peers, which replace those appended before.
    pub(super) fn append_peers(&mut self, peers: Vec<NodeRecord>) {
        self.append(&[DiskRecord::Peers(peers)], None);
    }

    fn append(&mut self, records: &[DiskRecord], chain_token: Option<u64>) {
        if self.has_failed {
            return;
        }
        self.next_id += 1;
        let encoded = records.iter().map(encode).collect();
        if let Err(error) = self.writer.append(self.next_id, encoded) {
            log::warn!(error:% = error; "disk rejected an append");
            self.has_failed = true;
            return;
        }
        self.pending.push_back(PendingWrite { id: self.next_id, chain_token });
    }

    /// Replaces all contents of the disk with the identity, the peers and a checkpoint of the chain, unless a snapshot is already
    /// in progress.
    pub(super) fn write_snapshot(&mut self, peers: Vec<NodeRecord>, chain: Vec<LogRecord>) {
        if self.pending_snapshot.is_some() {
            return;
        }
        self.next_id += 1;
        let mut records = vec![self.identity.to_record(), DiskRecord::Peers(peers)];
        records.extend(chain.into_iter().map(DiskRecord::Chain));
        let encoded = records.iter().map(encode).collect();
        if let Err(error) = self.writer.snapshot(self.next_id, encoded) {
            log::warn!(error:% = error; "disk rejected a snapshot");
            return;
        }
        self.pending_snapshot = Some(self.next_id);
        self.pending.push_back(PendingWrite { id: self.next_id, chain_token: self.newest_chain_token });
        self.has_failed = false;
    }

    /// Whether a snapshot should be written now because a write has failed. Returns true at most once in [`REWRITE_INTERVAL`].
    pub(super) fn poll_rewrite(&mut self, now: Duration) -> bool {
        let is_due = self.has_failed && self.pending_snapshot.is_none() && now >= self.next_rewrite;
        if is_due {
            self.next_rewrite = now + REWRITE_INTERVAL;
        }
        is_due
    }

    /// Number of pending writes.
    pub(super) fn pending_writes(&self) -> usize {
        self.pending.len()
    }

    /// Processes an event of the storage thread.
    pub(super) fn handle_event(&mut self, event: WriterEvent) -> Vec<DiskOutput> {
        match event {
            WriterEvent::Durable { token, needs_snapshot } => {
                let finished = self.finish(token);
                let durable = finished.chain_token.map(|token| DiskOutput::Durable { token });
                let mut outputs: Vec<DiskOutput> = durable.into_iter().collect();
                if needs_snapshot && !finished.was_snapshot && self.pending_snapshot.is_none() {
                    outputs.push(DiskOutput::SnapshotNeeded);
                }
                outputs
            }
            WriterEvent::Failed { token, error } => {
                log::warn!(error:% = error; "disk write failed");
                self.finish(token);
                if self.pending_snapshot.is_none() {
                    self.has_failed = true;
                }
                Vec::new()
            }
        }
    }

    /// Removes a finished write and the writes before it.
    fn finish(&mut self, id: u64) -> FinishedWrite {
        let was_snapshot = self.pending_snapshot == Some(id);
        if was_snapshot {
            self.pending_snapshot = None;
        }
        let mut chain_token = None;
        while let Some(first) = self.pending.front().filter(|first| first.id <= id) {
            chain_token = first.chain_token.or(chain_token);
            self.pending.pop_front();
        }
        FinishedWrite { was_snapshot, chain_token }
    }
}
