//! Recovery: reads the log from its start to its end, and distinguishes an unfinished batch from damage.

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

/// How far behind an unreadable frame another one is looked for: more than the longest frame, so that damage to
/// one header does not hide what follows.
const SEARCH_BYTES: u64 = 2 * FRAME_BYTES as u64;

/// The log as it was read.
pub(crate) struct Log {
    pub snapshot: Vec<Vec<u8>>,
    pub records: Vec<Vec<u8>>,
    /// Position and number of the first batch that counts.
    pub start: u64,
    pub start_batch: u64,
    /// Where the snapshot ends, if the log starts with one.
    pub snapshot_end: Option<u64>,
    /// Position and number of the batch that is written next.
    pub head: u64,
    pub next_batch: u64,
    /// The last batch, which may have been read before it was synced.
    pub last: Option<Batch>,
}

/// Reads all complete batches from the start that the superblock names.
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
    /// Nothing read yet.
    pub(crate) fn empty(superblock: &Superblock) -> Self {
        Self {
            snapshot: Vec::new(),
            records: Vec::new(),
            start: superblock.start,
            start_batch: superblock.start_batch,
            snapshot_end: None,
            head: superblock.start,
            next_batch: superblock.start_batch,
            last: None,
        }
    }

    fn add(&mut self, batch: Batch, records: Vec<Vec<u8>>) {
        match batch.kind {
            BatchKind::Append => self.records.extend(records),
            BatchKind::Snapshot => {
                self.snapshot = records;
                self.records = Vec::new();
                self.start = batch.start;
                self.start_batch = batch.number;
                self.snapshot_end = Some(batch.end);
            }
        }
        self.head = batch.end;
        self.next_batch = batch.number + 1;
        self.last = Some(batch);
    }

    /// The epoch of the last batch.
    pub(crate) fn epoch(&self) -> u64 {
        self.last.map_or(0, |batch| batch.epoch)
    }
}

/// The next batch after the log read so far.
enum BatchRead {
    Complete(Batch, Vec<Vec<u8>>),
    Unreadable(Unreadable),
}

/// A frame that does not continue the log.
struct Unreadable {
    position: u64,
    /// The end of its batch, if an earlier frame of the batch holds it.
    batch_end: Option<u64>,
}

fn read_batch<D: Disk>(reader: &mut Reader<'_, D>, log: &Log) -> Result<BatchRead, StorageError> {
    let unreadable = |position, batch_end| Ok(BatchRead::Unreadable(Unreadable { position, batch_end }));
    let Some(FrameHeader { batch, .. }) = reader.header(log.head)? else {
        return unreadable(log.head, None);
    };
    let is_next = batch.start == log.head
        && batch.number == log.next_batch
        && batch.epoch >= log.epoch()
        && batch.end - batch.start <= reader.capacity();
    if !is_next {
        return unreadable(log.head, None);
    }
    if !reader.is_reserved(batch.end) {
        return Err(reader.corrupt(log.head, "a part of the space of a batch is missing"));
    }
    let mut assembly = RecordAssembly::new(batch.end - batch.start);
    let mut position = batch.start;
    while position < batch.end {
        let Some((_, body)) = reader.frame(position)?.filter(|(header, _)| header.batch == batch) else {
            return unreadable(position, Some(batch.end));
        };
        if !assembly.push(body) {
            return Err(reader.corrupt(position, "the records do not fit their batch"));
        }
        position += (FRAME_BYTES as u64).min(batch.end - position);
    }
    match assembly.finish() {
        Some(records) => Ok(BatchRead::Complete(batch, records)),
        None => Err(reader.corrupt(batch.start, "the last record of the batch is cut off")),
    }
}

/// An unreadable frame is the end of the log, if nothing proves that what stood there had been durable.
fn check_is_unfinished<D: Disk>(
    reader: &mut Reader<'_, D>,
    log: &Log,
    superblock: &Superblock,
    unreadable: &Unreadable,
) -> Result<(), StorageError> {
    if log.head < superblock.synced_to {
        return Err(reader.corrupt(unreadable.position, "a synced batch is unreadable"));
    }
    if later_batch_exists(reader, log, unreadable)? {
        return Err(reader.corrupt(unreadable.position, "a batch is unreadable, but later ones are there"));
    }
    Ok(())
}

/// Whether a batch was written after the unreadable one, which happens only once that one is durable.
///
/// Frames of the unreadable batch itself prove nothing: its writes may have been kept in any order. But they hold
/// its end.
fn later_batch_exists<D: Disk>(
    reader: &mut Reader<'_, D>,
    log: &Log,
    unreadable: &Unreadable,
) -> Result<bool, StorageError> {
    let end_of_ring = log.start + reader.capacity();
    let mut batch_ends: BTreeSet<u64> = unreadable.batch_end.into_iter().collect();
    let mut position = unreadable.position;
    while position < end_of_ring.min(unreadable.position + SEARCH_BYTES) {
        if let Some(header) = header_at(reader, log, position)? {
            if header.batch.number > log.next_batch {
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
            && header_at(reader, log, end)?.is_some_and(|it| it.batch.number > log.next_batch)
        {
            return Ok(true);
        }
    }
    Ok(false)
}

/// A header that may belong to this log: remains of earlier epochs and passes do not.
fn header_at<D: Disk>(
    reader: &mut Reader<'_, D>,
    log: &Log,
    position: u64,
) -> Result<Option<FrameHeader>, StorageError> {
    let header = reader.header(position)?;
    Ok(header.filter(|header| header.batch.epoch >= log.epoch() && header.batch.number >= log.next_batch))
}
