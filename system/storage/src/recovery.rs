//! Recovery: reads the log from start to end, and distinguishes an unfinished batch at the end from damage.

mod assembly;
mod reader;

use std::collections::BTreeSet;

use crate::frame::{Batch, BatchKind, FrameHeader, FRAME_BYTES};
use crate::layout::SECTOR_BYTES;
use crate::reservation::Reservation;
use crate::superblock::Superblock;
use crate::volume::Volume;
use crate::{Disk, StorageError};

use assembly::RecordAssembly;
use reader::Reader;

/// Length of the search for readable frames after an unreadable one, in bytes. It is greater than the longest frame, so that
/// a damaged header does not hide the frame after it.
const SEARCH_BYTES: u64 = 2 * FRAME_BYTES as u64;

/// The log as read from the disk.
pub(crate) struct Log {
    pub snapshot: Vec<Vec<u8>>,
    pub records: Vec<Vec<u8>>,
    /// Position of the first batch that is part of the log.
    pub start: u64,
    /// Number of the first batch.
    pub start_batch_number: u64,
    /// Position after the snapshot, if the log starts with one.
    pub snapshot_end: Option<u64>,
    /// Position of the batch that is written next.
    pub head: u64,
    /// Number of the batch that is written next.
    pub next_batch_number: u64,
    /// The last batch. Its data may have been read from the page cache before it was synced.
    pub last_batch: Option<Batch>,
}

/// Reads all complete batches, from the start position in the superblock.
pub(crate) fn read_log<D: Disk>(
    volume: &mut Volume<D>,
    reservation: &Reservation,
    superblock: &Superblock,
) -> Result<Log, StorageError> {
    let mut log = Log::empty(superblock);
    let mut reader = Reader::new(volume, *reservation, superblock.start);
    loop {
        match read_batch(&mut reader, &log)? {
            BatchRead::Complete(batch, records) => log.add(batch, records),
            BatchRead::Unreadable(unreadable) => {
                check_is_unfinished(&mut reader, &log, superblock, &unreadable)?;
                return Ok(log);
            }
        }
    }
}

impl Log {
    /// Creates a log of which nothing has been read yet.
    pub(crate) fn empty(superblock: &Superblock) -> Self {
        Self {
            snapshot: Vec::new(),
            records: Vec::new(),
            start: superblock.start,
            start_batch_number: superblock.start_batch_number,
            snapshot_end: None,
            head: superblock.start,
            next_batch_number: superblock.start_batch_number,
            last_batch: None,
        }
    }

    fn add(&mut self, batch: Batch, records: Vec<Vec<u8>>) {
        match batch.kind {
            BatchKind::Append => self.records.extend(records),
            BatchKind::Snapshot => {
                self.snapshot = records;
                self.records = Vec::new();
                self.start = batch.start;
                self.start_batch_number = batch.number;
                self.snapshot_end = Some(batch.end);
            }
        }
        self.head = batch.end;
        self.next_batch_number = batch.number + 1;
        self.last_batch = Some(batch);
    }

    /// The epoch of the last batch; 0 without a batch.
    pub(crate) fn epoch(&self) -> u64 {
        self.last_batch.map_or(0, |batch| batch.epoch)
    }
}

/// The result of reading the next batch.
enum BatchRead {
    /// The batch and its records.
    Complete(Batch, Vec<Vec<u8>>),
    /// There is no batch that continues the log, or one of its frames is unreadable.
    Unreadable(UnreadableFrame),
}

/// A frame that is not valid or does not continue the log.
struct UnreadableFrame {
    position: u64,
    /// The end of the batch, if an earlier frame of the same batch was readable.
    batch_end: Option<u64>,
}

fn read_batch<D: Disk>(reader: &mut Reader<'_, D>, log: &Log) -> Result<BatchRead, StorageError> {
    let unreadable = |position, batch_end| Ok(BatchRead::Unreadable(UnreadableFrame { position, batch_end }));
    let Some(FrameHeader { batch, .. }) = reader.header(log.head)? else {
        return unreadable(log.head, None);
    };
    let continues_log = batch.start == log.head
        && batch.number == log.next_batch_number
        && batch.epoch >= log.epoch()
        && batch.end - batch.start <= reader.capacity();
    if !continues_log {
        return unreadable(log.head, None);
    }
    if !reader.is_reserved(batch.end) {
        return Err(reader.corrupt(log.head, "a part of the reserved space of a batch is missing"));
    }
    let mut assembly = RecordAssembly::new(batch.end - batch.start);
    let mut position = batch.start;
    while position < batch.end {
        let Some((_, body)) = reader.frame(position)?.filter(|(header, _)| header.batch == batch) else {
            return unreadable(position, Some(batch.end));
        };
        if !assembly.push(body) {
            return Err(reader.corrupt(position, "a record is longer than its batch"));
        }
        position += (FRAME_BYTES as u64).min(batch.end - position);
    }
    match assembly.finish() {
        Some(records) => Ok(BatchRead::Complete(batch, records)),
        None => Err(reader.corrupt(batch.start, "the last record of the batch is cut off")),
    }
}

/// Checks that an unreadable frame can be part of an unfinished write, that is, that the log proves no durable batch there.
///
/// # Errors
///
/// [`StorageError::Corrupt`] if the unreadable batch had been durable.
fn check_is_unfinished<D: Disk>(
    reader: &mut Reader<'_, D>,
    log: &Log,
    superblock: &Superblock,
    unreadable: &UnreadableFrame,
) -> Result<(), StorageError> {
    if log.head < superblock.synced_to {
        return Err(reader.corrupt(unreadable.position, "a synced batch is unreadable"));
    }
    if later_batch_exists(reader, log, unreadable)? {
        return Err(reader.corrupt(unreadable.position, "a batch is unreadable, but later batches exist"));
    }
    Ok(())
}

/// Whether a batch was written after the unreadable one, which happens only once the unreadable one was durable.
///
/// Frames of the unreadable batch itself are no proof, since a power loss may keep any of its writes. But their headers
/// hold the end of the batch, where the next batch would start.
fn later_batch_exists<D: Disk>(
    reader: &mut Reader<'_, D>,
    log: &Log,
    unreadable: &UnreadableFrame,
) -> Result<bool, StorageError> {
    let end_of_ring = log.start + reader.capacity();
    let mut batch_ends: BTreeSet<u64> = unreadable.batch_end.into_iter().collect();
    let mut position = unreadable.position;
    while position < end_of_ring.min(unreadable.position + SEARCH_BYTES) {
        if let Some(header) = header_at(reader, log, position)? {
            if header.batch.number > log.next_batch_number {
                return Ok(true);
            }
            if header.batch.start == log.head {
                batch_ends.insert(header.batch.end);
            }
        }
        position += SECTOR_BYTES;
    }
    for end in batch_ends {
        if end < end_of_ring
            && header_at(reader, log, end)?.is_some_and(|header| header.batch.number > log.next_batch_number)
        {
            return Ok(true);
        }
    }
    Ok(false)
}

/// The header at a position, if it may belong to this log. Remains of earlier epochs and earlier passes are ignored.
fn header_at<D: Disk>(
    reader: &mut Reader<'_, D>,
    log: &Log,
    position: u64,
) -> Result<Option<FrameHeader>, StorageError> {
    let header = reader.header(position)?;
    Ok(header
        .filter(|header| header.batch.epoch >= log.epoch() && header.batch.number >= log.next_batch_number))
}
