//! [`Reservation`]: the space that has been reserved in the files of a ring.
//!
//! If a ring took its full length when it is created, every copy of its disk would be as long as that of a full ring. The
//! files therefore grow in the order of the log, some space ahead of it, until the log has filled all of them once. Space is
//! durable before a batch is written into it, and at least one sector is reserved after every durable batch. Recovery relies
//! on both: a batch or a log that ends after the reserved space proves that a file has lost a part of its length.

use crate::error::StorageError;
use crate::layout::{file_name, Layout, FILE_HEADER_BYTES, SECTOR_BYTES};
use crate::volume::Volume;
use crate::{Disk, DiskFile};

/// Minimum space that is reserved after the end of every batch, in bytes.
const MIN_AHEAD_BYTES: u64 = SECTOR_BYTES;

/// The reserved space of a ring, to which batches may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    /// End of the reserved space: all addresses below it lie within the lengths of the files. The ring is complete when it
    /// reaches the capacity.
    end: u64,
    /// Length of an extent in bytes; space is reserved one to two extents ahead of the log.
    extent_bytes: u64,
}

impl Reservation {
    /// Creates all files of a new ring, with space for the first extent, and makes them durable.
    pub(crate) fn create<D: Disk>(
        disk: &mut D,
        layout: &Layout,
        extent_bytes: u64,
    ) -> Result<Self, StorageError> {
        let reservation = Self { end: layout.capacity().min(extent_bytes), extent_bytes };
        for file in 0..layout.files() {
            disk.create(&file_name(file), layout.file_length(file, reservation.end))?;
            disk.sync_file(&file_name(file))?;
        }
        disk.sync_folder()?;
        Ok(reservation)
    }

    /// Determines the reserved space from the lengths of the files. All files must exist, since their names were durable
    /// before the first superblock was written.
    pub(crate) fn find(found: &[DiskFile], layout: &Layout, extent_bytes: u64) -> Result<Self, StorageError> {
        let mut end = 0;
        let mut incomplete: Option<StorageError> = None;
        for file in 0..layout.files() {
            let name = file_name(file);
            let length = found.iter().find(|found| found.name == name).map(|found| found.length);
            let length = length.ok_or_else(|| corrupt(name.clone(), 0, "the file is missing"))?;
            let too_short = corrupt(name, length, "the file is too short");
            let reserved = length.min(layout.file_bytes()).checked_sub(FILE_HEADER_BYTES);
            let Some(reserved) = reserved.filter(|reserved| reserved % SECTOR_BYTES == 0) else {
                return Err(too_short);
            };
            // A file grows only after the previous one is complete.
            if let Some(error) = incomplete.take_if(|_| reserved > 0) {
                return Err(error);
            }
            end += reserved;
            if length < layout.file_bytes() {
                incomplete.get_or_insert(too_short);
            }
        }
        Ok(Self { end, extent_bytes })
    }

    /// Repeats the last growth of a file and syncs it, since the length found may be in the memory of the operating system only.
    pub(crate) fn make_durable<D: Disk>(&self, volume: &mut Volume<D>) -> Result<(), StorageError> {
        let (last, _) = volume.layout.locate(self.end.saturating_sub(1));
        set_length(volume, last, self.end)
    }

    /// Checks that the minimum space after the last complete batch, which ends at `head`, is still reserved.
    pub(crate) fn check_space_after<D: Disk>(
        &self,
        volume: &Volume<D>,
        head: u64,
    ) -> Result<(), StorageError> {
        if self.covers(&volume.layout, head + MIN_AHEAD_BYTES) {
            return Ok(());
        }
        Err(volume.corrupt(self.end, "the reserved space after the log is missing"))
    }

    /// Whether the space up to this position is reserved, so that a batch that ends there can have been written.
    pub(crate) fn covers(&self, layout: &Layout, end: u64) -> bool {
        self.is_complete(layout) || end <= self.end
    }

    /// Position after the last byte that can be read in a log that starts at `start`.
    pub(crate) fn readable_end(&self, layout: &Layout, start: u64) -> u64 {
        let end_of_ring = start + layout.capacity();
        if self.is_complete(layout) {
            return end_of_ring;
        }
        end_of_ring.min(self.end)
    }

    /// Reserves space for a batch that ends at `end`, and one to two extents after it. If the growth fails, the batch may still
    /// use the space that was reserved earlier; the error is returned only if that space is too small.
    pub(crate) fn grow<D: Disk>(&mut self, volume: &mut Volume<D>, end: u64) -> Result<(), StorageError> {
        if self.is_complete(&volume.layout) {
            return Ok(());
        }
        let result = self.grow_to(volume, self.target(&volume.layout, end));
        match result {
            Err(error) if !self.covers(&volume.layout, end + MIN_AHEAD_BYTES) => Err(error),
            _ => Ok(()),
        }
    }

    /// Whether all files have their full length.
    fn is_complete(&self, layout: &Layout) -> bool {
        self.end >= layout.capacity()
    }

    /// The end of the space to reserve for a log that ends at `position`: the first multiple of the extent length that is at
    /// least one extent ahead, so that it changes once per extent.
    fn target(&self, layout: &Layout, position: u64) -> u64 {
        let ahead = position.checked_add(self.extent_bytes);
        let target = ahead.and_then(|ahead| ahead.checked_next_multiple_of(self.extent_bytes));
        target.map_or(layout.capacity(), |target| target.min(layout.capacity()))
    }

    fn grow_to<D: Disk>(&mut self, volume: &mut Volume<D>, target: u64) -> Result<(), StorageError> {
        if target <= self.end {
            return Ok(());
        }
        let (first, _) = volume.layout.locate(self.end);
        let (last, _) = volume.layout.locate(target - 1);
        for file in first..=last {
            set_length(volume, file, target)?;
        }
        self.end = target;
        Ok(())
    }
}

/// Sets the length that a file has when all addresses below `end` are reserved, and syncs the file.
fn set_length<D: Disk>(volume: &mut Volume<D>, file: u64, end: u64) -> Result<(), StorageError> {
    volume.disk.create(&file_name(file), volume.layout.file_length(file, end))?;
    volume.disk.sync_file(&file_name(file))
}

fn corrupt(file: String, offset: u64, reason: &'static str) -> StorageError {
    StorageError::Corrupt { file, offset, reason }
}
