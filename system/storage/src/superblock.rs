//! The superblock: the record from which recovery starts.
//!
//! It is stored in two slots, each in a separate file, that are written alternately: a new superblock replaces the older
//! one only after the newer one is known to be durable. Recovery can start from the older superblock as well as from the newer
//! one, as long as the log after it has not been overwritten, since the log holds all information of the newer one.

use crate::layout::{file_name, Layout, MAX_POSITION, SECTOR_BYTES};
use crate::volume::Volume;
use crate::{Disk, StorageError};

/// Number of slots; slot N is at the start of file N.
const SLOT_COUNT: u64 = 2;
const SUPERBLOCK_BYTES: usize = 80;
/// Identifies the format of the ring and of the records that programs store in it. Its number must be increased whenever one of these
/// formats changes, so that a disk in another format is rejected and never misread.
const MAGIC: u64 = u64::from_le_bytes(*b"ringsup3");

/// The start of the log and the layout of the ring, as needed by recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Superblock {
    /// Sequence number of the superblock; the highest one is the newest.
    pub generation: u64,
    /// Epoch of the batches that are written after this superblock.
    pub epoch: u64,
    /// The layout of the ring.
    pub layout: Layout,
    /// Position of the first batch that is part of the log.
    pub start: u64,
    /// Number of the first batch.
    pub start_batch_number: u64,
    /// Whether the first batch is a snapshot; false in a ring without a snapshot so far.
    pub has_snapshot: bool,
    /// Position below which the log was durable when the superblock was written.
    pub synced_to: u64,
}

/// The content of the superblock slots.
pub(crate) enum Slots {
    /// At least one slot holds a readable superblock; this is the newest one.
    Newest(Superblock),
    /// The disk holds no ring, or one whose creation was interrupted before anything could be written to it.
    Empty,
    /// A ring was created on the disk, but no superblock is readable.
    Unreadable,
}

impl Superblock {
    fn encode(&self) -> Vec<u8> {
        let mut fields = Vec::with_capacity(SUPERBLOCK_BYTES);
        for value in [
            self.generation,
            self.epoch,
            self.layout.files(),
            self.layout.file_bytes(),
            self.start,
            self.start_batch_number,
            u64::from(self.has_snapshot),
            self.synced_to,
        ] {
            fields.extend_from_slice(&value.to_le_bytes());
        }
        let mut bytes = Vec::with_capacity(SUPERBLOCK_BYTES);
        bytes.extend_from_slice(&MAGIC.to_le_bytes());
        bytes.extend_from_slice(&u64::from(crc32fast::hash(&fields)).to_le_bytes());
        bytes.extend_from_slice(&fields);
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..SUPERBLOCK_BYTES)?;
        let mut fields = [0; SUPERBLOCK_BYTES / 8];
        for (field, chunk) in fields.iter_mut().zip(bytes.chunks_exact(8)) {
            *field = u64::from_le_bytes(*chunk.first_chunk()?);
        }
        let [magic, crc, generation, epoch, files, file_bytes, start, start_batch_number, has_snapshot, synced_to] =
            fields;
        if magic != MAGIC || crc != u64::from(crc32fast::hash(bytes.get(16..)?)) || has_snapshot > 1 {
            return None;
        }
        let layout = Layout::validated(files, file_bytes).ok()?;
        let has_snapshot = has_snapshot == 1;
        let decoded = Self { generation, epoch, layout, start, start_batch_number, has_snapshot, synced_to };
        decoded.is_consistent().then_some(decoded)
    }

    fn is_consistent(&self) -> bool {
        let synced_range = self.start..=self.start.saturating_add(self.layout.capacity());
        self.start % SECTOR_BYTES == 0 && self.start < MAX_POSITION && synced_range.contains(&self.synced_to)
    }

    /// Writes this superblock to its slot and syncs it.
    pub(crate) fn write<D: Disk>(&self, volume: &mut Volume<D>) -> Result<(), StorageError> {
        let file = file_name(self.generation % SLOT_COUNT);
        volume.disk.write_at(&file, 0, &self.encode())?;
        volume.disk.sync_file(&file)
    }
}

/// Reads all slots. A slot whose file is missing or too short is treated as zeros.
pub(crate) fn read_slots<D: Disk>(disk: &mut D) -> Result<Slots, StorageError> {
    let files = disk.list()?;
    let mut newest: Option<Superblock> = None;
    let mut second_slot_is_used = false;
    for slot in 0..SLOT_COUNT {
        let file = file_name(slot);
        let mut bytes = [0; SUPERBLOCK_BYTES];
        if files.iter().any(|found| found.name == file && found.length >= SUPERBLOCK_BYTES as u64) {
            disk.read_at(&file, 0, &mut bytes)?;
        }
        // The first slot is synced before the second one is written, and batches are written only after both.
        second_slot_is_used |= slot > 0 && bytes.iter().any(|byte| *byte != 0);
        let Some(superblock) = Superblock::decode(&bytes) else { continue };
        if newest.is_none_or(|newest| superblock.generation > newest.generation) {
            newest = Some(superblock);
        }
    }
    Ok(match newest {
        Some(newest) => Slots::Newest(newest),
        None if second_slot_is_used => Slots::Unreadable,
        None => Slots::Empty,
    })
}
