//! [`Ring`]: the log of records in its files.
//!
//! The log is a sequence of batches. A batch is written only after the one before it was synced. A snapshot is a
//! batch that replaces all before it; once it is durable, a superblock that starts with it is written, and
//! only once that is durable too, the space before it is used again.

use snafu::ensure;

use crate::batch::write_batch;
use crate::error::{BrokenSnafu, FullSnafu};
use crate::frame::{batch_bytes, Batch, BatchKind};
use crate::layout::{file_name, is_ring_file, Layout, RingSettings};
use crate::recovery::{read_log, Log};
use crate::reservation::Reservation;
use crate::superblock::{read_slots, Slots, Superblock};
use crate::volume::Volume;
use crate::{Disk, StorageError};

/// The content of the disk.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The records of the last snapshot.
    pub snapshot: Vec<Vec<u8>>,
    /// All records appended after it, in order.
    pub records: Vec<Vec<u8>>,
    /// The disk held no ring: this is a new member.
    pub empty: bool,
}

/// A log of records in a ring of files.
#[derive(Debug)]
pub struct Ring<D: Disk> {
    volume: Volume<D>,
    /// The part of the files that may be written.
    reservation: Reservation,
    /// The last superblock known to be durable.
    superblock: Superblock,
    /// Where the snapshot ends with which the log starts; the start of the log, if there is none.
    snapshot_end: u64,
    /// Position and number of the next batch.
    head: u64,
    next_batch: u64,
    /// A write or a sync failed: what stands at the head is unknown.
    is_broken: bool,
    buffer: Vec<u8>,
}

impl<D: Disk> Ring<D> {
    /// Opens the ring of a folder, or creates one if there is none. A ring that exists keeps its layout, whatever the
    /// settings are.
    ///
    /// # Errors
    ///
    /// [`StorageError::Corrupt`] if synced bytes are damaged, [`StorageError::Io`] if the disk fails, and
    /// [`StorageError::Settings`] if a new ring can't have this layout.
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
            start_batch: 1,
            has_snapshot: false,
            synced_to: 0,
        };
        superblock.write(&mut volume)?;
        let ring = Self::start(volume, reservation, superblock, Log::empty(&superblock))?;
        Ok((ring, Recovered { empty: true, ..Recovered::default() }))
    }

    fn recover(
        mut disk: D,
        superblock: Superblock,
        extent_bytes: u64,
    ) -> Result<(Self, Recovered), StorageError> {
        let reservation = Reservation::find(&disk.list()?, &superblock.layout, extent_bytes)?;
        let mut volume = Volume { disk, layout: superblock.layout };
        let mut log = read_log(&mut volume, &reservation, &superblock)?;
        reservation.check_head(&volume, log.head)?;
        if log.head < volume.layout.capacity() {
            reservation.make_durable(&mut volume)?;
        }
        // Both may have been read from the memory of the operating system only: after a kill between a write and
        // its sync, or after a failed sync, which leaves pages that look clean. Written again, they are durable.
        superblock.write(&mut volume)?;
        if let Some(last) = log.last.filter(|last| last.end > superblock.synced_to) {
            rewrite(&mut volume, &last)?;
        }
        let snapshot = std::mem::take(&mut log.snapshot);
        let records = std::mem::take(&mut log.records);
        let ring = Self::start(volume, reservation, superblock, log)?;
        Ok((ring, Recovered { snapshot, records, empty: false }))
    }

    /// Starts a new epoch, so that the remains of an unfinished batch behind the head are never mistaken for a part
    /// of what is written there now.
    fn start(
        mut volume: Volume<D>,
        reservation: Reservation,
        found: Superblock,
        log: Log,
    ) -> Result<Self, StorageError> {
        let superblock = Superblock {
            generation: found.generation + 1,
            epoch: found.epoch.max(log.epoch()) + 1,
            layout: found.layout,
            start: log.start,
            start_batch: log.start_batch,
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
            next_batch: log.next_batch,
            is_broken: false,
            buffer: Vec::new(),
        })
    }

    /// Appends records; they are durable when this returns. One write and one sync, if they fit in one file; another
    /// sync once in an extent of the ring, while the files still grow.
    ///
    /// # Errors
    ///
    /// [`StorageError::Full`] if the records don't fit, [`StorageError::Broken`] after a failed write, and
    /// [`StorageError::Io`] if the disk fails. After an error other than [`StorageError::Full`] the records may or may not be there after a recovery, and the
    /// ring accepts no more of them until a snapshot has succeeded.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        ensure!(!self.is_broken, BrokenSnafu);
        if records.is_empty() {
            return Ok(());
        }
        let needed = batch_bytes(records).unwrap_or(u64::MAX);
        let free = self.append_limit().saturating_sub(self.used());
        ensure!(needed <= free, FullSnafu { needed, free });
        self.write(BatchKind::Append, records, needed)
    }

    /// Whether a snapshot should be taken soon: about half of the ring is used, or the ring waits for one after a
    /// failed write.
    pub fn needs_snapshot(&self) -> bool {
        let midpoint = (self.snapshot_bytes() + self.append_limit()) / 2;
        self.is_broken || self.used() >= midpoint.max(self.capacity() / 2)
    }

    /// Replaces all records before by these. The old ones are valid until the new ones are durable; then their space is
    /// free. A snapshot may take up to 7/16 of the ring.
    ///
    /// # Errors
    ///
    /// [`StorageError::Full`] if the records don't fit, and [`StorageError::Io`] if the disk fails.
    pub fn snapshot(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let needed = batch_bytes(records).unwrap_or(u64::MAX);
        let free = (self.capacity() - self.used()).min(self.snapshot_limit());
        ensure!(needed <= free, FullSnafu { needed, free });
        if self.is_broken {
            let epoch = self.superblock.epoch + 1;
            self.write_superblock(Superblock { epoch, synced_to: self.head, ..self.superblock })?;
        }
        let (start, start_batch) = (self.head, self.next_batch);
        self.write(BatchKind::Snapshot, records, needed)?;
        self.is_broken = true;
        let synced_to = self.head;
        let next = Superblock { start, start_batch, has_snapshot: true, synced_to, ..self.superblock };
        self.write_superblock(next)?;
        self.snapshot_end = self.head;
        self.is_broken = false;
        Ok(())
    }

    fn write(&mut self, kind: BatchKind, records: &[Vec<u8>], bytes: u64) -> Result<(), StorageError> {
        let end = self.head + bytes;
        let batch =
            Batch { kind, epoch: self.superblock.epoch, number: self.next_batch, start: self.head, end };
        self.is_broken = true;
        self.reservation.grow(&mut self.volume, end)?;
        write_batch(&mut self.volume, batch, records, &mut self.buffer)?;
        self.is_broken = false;
        self.head = end;
        self.next_batch += 1;
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

    fn used(&self) -> u64 {
        self.head - self.superblock.start
    }

    fn snapshot_bytes(&self) -> u64 {
        self.snapshot_end - self.superblock.start
    }

    /// Appends leave space for a snapshot of the length of the last one, and of an eighth of the ring at least.
    fn append_limit(&self) -> u64 {
        self.capacity() - self.snapshot_bytes().max(self.capacity() / 8)
    }

    /// Two snapshots have to fit, with space for appends between them.
    fn snapshot_limit(&self) -> u64 {
        self.capacity() / 16 * 7
    }
}

/// Removes the files of a creation that was interrupted before anything could be written to them.
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

/// Writes a batch again as it was read, and syncs it.
fn rewrite<D: Disk>(volume: &mut Volume<D>, batch: &Batch) -> Result<(), StorageError> {
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
