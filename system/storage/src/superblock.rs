//! The superblock: the small record from which recovery starts.
//!
//! It is kept in two slots, each in a file of its own, that are written in turn: the new one replaces the
//! older one, once the newer one is known to be durable. The older one is as good a start as the newer one, as long
//! as the log behind it has not been reused: everything the newer one knows stands in the log too.

use crate::layout::{file_name, Layout, MAX_POSITION, SECTOR_BYTES};
use crate::volume::Volume;
use crate::{Disk, StorageError};

/// Number of slots; slot n is at the start of file n.
const SLOT_COUNT: u64 = 2;
const SUPERBLOCK_BYTES: usize = 80;
/// Names the format of the ring and of the records that the programs keep in it. It is raised whenever one of them changes, so that a
/// disk of another version is rejected and never misread.
const MAGIC: u64 = u64::from_le_bytes(*b"ringsup3");

/// What recovery starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Superblock {
    /// Counts the superblocks; the highest is the newest.
    pub generation: u64,
    /// The epoch of the batches that are written from now on.
    pub epoch: u64,
    /// The layout of the ring.
    pub layout: Layout,
    /// Position of the first batch that counts.
    pub start: u64,
    /// Number of that batch.
    pub start_batch: u64,
    /// Whether that batch is a snapshot; it is not in a ring that has never had one.
    pub has_snapshot: bool,
    /// Position below which everything was durable when this was written.
    pub synced_to: u64,
}

/// What the slots hold.
pub(crate) enum Slots {
    /// At least one readable superblock; this is the newest.
    Newest(Superblock),
    /// The disk holds no ring, or one whose creation was interrupted before anything could be written to it.
    Empty,
    /// A ring was created here, but no superblock is readable.
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
            self.start_batch,
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
        let [magic, crc, generation, epoch, files, file_bytes, start, start_batch, has_snapshot, synced_to] =
            fields;
        if magic != MAGIC || crc != u64::from(crc32fast::hash(bytes.get(16..)?)) || has_snapshot > 1 {
            return None;
        }
        let layout = Layout::checked(files, file_bytes).ok()?;
        let has_snapshot = has_snapshot == 1;
        let found = Self { generation, epoch, layout, start, start_batch, has_snapshot, synced_to };
        found.is_consistent().then_some(found)
    }

    fn is_consistent(&self) -> bool {
        let synced = self.start..=self.start.saturating_add(self.layout.capacity());
        self.start % SECTOR_BYTES == 0 && self.start < MAX_POSITION && synced.contains(&self.synced_to)
    }

    /// Writes this superblock to its slot and syncs it.
    pub(crate) fn write<D: Disk>(&self, volume: &mut Volume<D>) -> Result<(), StorageError> {
        let file = file_name(self.generation % SLOT_COUNT);
        volume.disk.write_at(&file, 0, &self.encode())?;
        volume.disk.sync_file(&file)
    }
}

/// Reads all slots. Files that are missing or too short count as zeros.
pub(crate) fn read_slots<D: Disk>(disk: &mut D) -> Result<Slots, StorageError> {
    let files = disk.list()?;
    let mut newest: Option<Superblock> = None;
    let mut second_is_used = false;
    for slot in 0..SLOT_COUNT {
        let file = file_name(slot);
        let mut bytes = [0; SUPERBLOCK_BYTES];
        if files.iter().any(|found| found.name == file && found.length >= SUPERBLOCK_BYTES as u64) {
            disk.read_at(&file, 0, &mut bytes)?;
        }
        // The first slot is synced before the second is written, and only then may a batch follow.
        second_is_used |= slot > 0 && bytes.iter().any(|byte| *byte != 0);
        let Some(found) = Superblock::decode(&bytes) else { continue };
        if newest.is_none_or(|newest| found.generation > newest.generation) {
            newest = Some(found);
        }
    }
    Ok(match newest {
        Some(newest) => Slots::Newest(newest),
        None if second_is_used => Slots::Unreadable,
        None => Slots::Empty,
    })
}
