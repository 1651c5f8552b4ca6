//! [`Ring`]: the log of records in a ring of files.
//!
//! The log is a sequence of batches. A batch is written only after the previous one was synced. A snapshot is a batch that
//! replaces all earlier batches. Once it is durable, a superblock that makes it the start of the log is written. The space
//! before the snapshot is reused only after that superblock is durable.

use snafu::ensure;

use crate::batch::write_batch;
use crate::error::{OutOfSpaceSnafu, SnapshotRequiredSnafu};
use crate::frame::{batch_bytes, Batch, BatchKind};
use crate::layout::{file_name, is_ring_file, Layout, RingSettings};
use crate::recovery::{read_log, Log};
use crate::reservation::Reservation;
use crate::superblock::{read_slots, Slots, Superblock};
use crate::volume::Volume;
use crate::{Disk, StorageError};

/// The content of a ring as recovered from the disk.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The records of the last snapshot.
    pub snapshot: Vec<Vec<u8>>,
    /// All records appended after the last snapshot, in order.
    pub records: Vec<Vec<u8>>,
    /// Whether the disk held no ring, so that a new one was created.
    pub is_new: bool,
}

/// A log of records in a ring of files.
#[derive(Debug)]
pub struct Ring<D: Disk> {
    volume: Volume<D>,
    /// The reserved space, to which batches may be written.
    reservation: Reservation,
    /// The last superblock that is known to be durable.
    superblock: Superblock,
    /// Position after the snapshot at the start of the log; the start of the log if there is no snapshot.
    snapshot_end: u64,
    /// Position of the next batch.
    head: u64,
    /// Number of the next batch.
    next_batch_number: u64,
    /// Whether a write is in progress or a write or a sync has failed, so that the content of the disk at the head is unknown.
    requires_snapshot: bool,
    /// Buffer for writing batches, kept to avoid an allocation per batch.
    buffer: Vec<u8>,
}

impl<D: Disk> Ring<D> {
    /// Opens the ring on a disk, or creates one if there is none. An existing ring keeps its layout, regardless of the
    /// settings.
    ///
    /// # Errors
    ///
    /// [`StorageError::Corrupt`] if synced bytes are damaged, [`StorageError::Io`] if an operation on the disk fails, and
    /// [`StorageError::InvalidSettings`] if a new ring cannot have this layout.
    pub fn open(mut disk: D, settings: RingSettings) -> Result<(Self, Recovered), StorageError> {
        match read_slots(&mut disk)? {
            Slots::Newest(superblock) => Self::recover(disk, superblock, settings.aligned_extent_bytes()),
            Slots::Empty => Self::create(disk, Layout::new(settings)?, settings.aligned_extent_bytes()),
            Slots::Unreadable => Err(StorageError::Corrupt {
                file: file_name(0),
                offset: 0,
                reason: "no superblock is readable",
            }),
        }
    }

    fn create(mut disk: D, layout: Layout, extent_bytes: u64) -> Result<(Self, Recovered), StorageError> {
        remove_unfinished(&mut disk)?;
        let reservation = Reservation::create(&mut disk, &layout, extent_bytes)?;
        let mut volume = Volume { disk, layout };
        let superblock = Superblock {
            generation: 0,
            epoch: 0,
            layout,
            start: 0,
            start_batch_number: 1,
            has_snapshot: false,
            synced_to: 0,
        };
        superblock.write(&mut volume)?;
        let ring = Self::start(volume, reservation, superblock, Log::empty(&superblock))?;
        Ok((ring, Recovered { is_new: true, ..Recovered::default() }))
    }

    fn recover(
        mut disk: D,
        superblock: Superblock,
        extent_bytes: u64,
    ) -> Result<(Self, Recovered), StorageError> {
        let reservation = Reservation::find(&disk.list()?, &superblock.layout, extent_bytes)?;
        let mut volume = Volume { disk, layout: superblock.layout };
        let mut log = read_log(&mut volume, &reservation, &superblock)?;
        reservation.check_space_after(&volume, log.head)?;
        if log.head < volume.layout.capacity() {
            reservation.make_durable(&mut volume)?;
        }
        // The superblock and the last batch may be in the memory of the operating system only: after a kill between a write
        // and its sync, or after a failed sync, which leaves pages marked as clean. Writing and syncing them again makes them
        // durable.
        superblock.write(&mut volume)?;
        if let Some(last_batch) = log.last_batch.filter(|batch| batch.end > superblock.synced_to) {
            rewrite_batch(&mut volume, &last_batch)?;
        }
        let snapshot = std::mem::take(&mut log.snapshot);
        let records = std::mem::take(&mut log.records);
        let ring = Self::start(volume, reservation, superblock, log)?;
        Ok((ring, Recovered { snapshot, records, is_new: false }))
    }

    /// Starts a new epoch, so that the remains of an unfinished batch after the head are never mistaken for parts of the
    /// batches that are written there later.
    fn start(
        mut volume: Volume<D>,
        reservation: Reservation,
        previous: Superblock,
        log: Log,
    ) -> Result<Self, StorageError> {
        let superblock = Superblock {
            generation: previous.generation + 1,
            epoch: previous.epoch.max(log.epoch()) + 1,
            layout: previous.layout,
            start: log.start,
            start_batch_number: log.start_batch_number,
            has_snapshot: log.snapshot_end.is_some(),
            synced_to: log.head,
        };
        superblock.write(&mut volume)?;
        Ok(Self {
            volume,
            reservation,
            superblock,
            snapshot_end: log.snapshot_end.unwrap_or(log.start),
            head: log.head,
            next_batch_number: log.next_batch_number,
            requires_snapshot: false,
            buffer: Vec::new(),
        })
    }

    /// Appends records as one batch; they are durable when this returns. A batch of up to four frames within one file takes one
    /// write and one sync. While the files still grow, each extent takes one more sync.
    ///
    /// # Errors
    ///
    /// [`StorageError::OutOfSpace`] if the records do not fit, [`StorageError::SnapshotRequired`] after a failed write, and
    /// [`StorageError::Io`] if an operation on the disk fails. After [`StorageError::Io`], a recovery may or may not find the
    /// records, and the ring accepts no more records until a snapshot has succeeded.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        ensure!(!self.requires_snapshot, SnapshotRequiredSnafu);
        if records.is_empty() {
            return Ok(());
        }
        let needed = batch_bytes(records).unwrap_or(u64::MAX);
        let free = self.append_limit().saturating_sub(self.used_bytes());
        ensure!(needed <= free, OutOfSpaceSnafu { needed, free });
        self.write(BatchKind::Append, records, needed)
    }

    /// Whether a snapshot should be taken soon: about half of the ring is used, or the ring accepts no records until a snapshot
    /// succeeds, after a failed write.
    pub fn needs_snapshot(&self) -> bool {
        let midpoint = (self.snapshot_bytes() + self.append_limit()) / 2;
        self.requires_snapshot || self.used_bytes() >= midpoint.max(self.capacity() / 2)
    }

    /// Replaces all earlier records by these. The earlier records stay valid until the new ones are durable; then their space
    /// is free. A snapshot may take up to 7/16 of the ring.
    ///
    /// # Errors
    ///
    /// [`StorageError::OutOfSpace`] if the records do not fit, and [`StorageError::Io`] if an operation on the disk fails.
    pub fn snapshot(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let needed = batch_bytes(records).unwrap_or(u64::MAX);
        let free = (self.capacity() - self.used_bytes()).min(self.snapshot_limit());
        ensure!(needed <= free, OutOfSpaceSnafu { needed, free });
        if self.requires_snapshot {
            let epoch = self.superblock.epoch + 1;
            self.write_superblock(Superblock { epoch, synced_to: self.head, ..self.superblock })?;
        }
        let (start, start_batch_number) = (self.head, self.next_batch_number);
        self.write(BatchKind::Snapshot, records, needed)?;
        self.requires_snapshot = true;
        let synced_to = self.head;
        let superblock =
            Superblock { start, start_batch_number, has_snapshot: true, synced_to, ..self.superblock };
        self.write_superblock(superblock)?;
        self.snapshot_end = self.head;
        self.requires_snapshot = false;
        Ok(())
    }

    fn write(&mut self, kind: BatchKind, records: &[Vec<u8>], bytes: u64) -> Result<(), StorageError> {
        let end = self.head + bytes;
        let batch = Batch {
            kind,
            epoch: self.superblock.epoch,
            number: self.next_batch_number,
            start: self.head,
            end,
        };
        self.requires_snapshot = true;
        self.reservation.grow(&mut self.volume, end)?;
        write_batch(&mut self.volume, batch, records, &mut self.buffer)?;
        self.requires_snapshot = false;
        self.head = end;
        self.next_batch_number += 1;
        Ok(())
    }

    fn write_superblock(&mut self, next: Superblock) -> Result<(), StorageError> {
        let next = Superblock { generation: self.superblock.generation + 1, ..next };
        next.write(&mut self.volume)?;
        self.superblock = next;
        Ok(())
    }

    fn capacity(&self) -> u64 {
        self.volume.layout.capacity()
    }

    /// Space between the start of the log and its head, in bytes.
    fn used_bytes(&self) -> u64 {
        self.head - self.superblock.start
    }

    fn snapshot_bytes(&self) -> u64 {
        self.snapshot_end - self.superblock.start
    }

    /// Maximum space that appends may use, in bytes. The rest is kept free for a snapshot as long as the last one, and for at
    /// least an eighth of the ring.
    fn append_limit(&self) -> u64 {
        self.capacity() - self.snapshot_bytes().max(self.capacity() / 8)
    }

    /// Maximum length of a snapshot, in bytes. Two snapshots must fit in the ring, with space for appends between them.
    fn snapshot_limit(&self) -> u64 {
        self.capacity() / 16 * 7
    }
}

/// Removes the files of an interrupted creation of a ring, which hold no batch yet.
fn remove_unfinished<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    let files = disk.list()?;
    let mut unfinished = files.iter().filter(|file| is_ring_file(&file.name)).peekable();
    if unfinished.peek().is_none() {
        return Ok(());
    }
    for file in unfinished {
        disk.remove(&file.name)?;
    }
    disk.sync_folder()
}

/// Writes a batch again with its present content, and syncs it.
fn rewrite_batch<D: Disk>(volume: &mut Volume<D>, batch: &Batch) -> Result<(), StorageError> {
    const CHUNK_BYTES: u64 = 256 * 1024;
    let mut buffer = Vec::new();
    let mut position = batch.start;
    while position < batch.end {
        let length = CHUNK_BYTES.min(batch.end - position);
        buffer.resize(length as usize, 0);
        volume.read(position, &mut buffer)?;
        volume.write(position, &buffer)?;
        position += length;
    }
    volume.sync(batch.start, batch.end)
}
