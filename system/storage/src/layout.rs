//! The layout of the log on the disk: the mapping of an unbounded range of log positions onto a ring of files.
//!
//! A position is the number of bytes since the first batch that was ever written. Positions never repeat, so a batch that
//! remains from an earlier pass over the ring cannot be mistaken for one of the current pass. Each file starts with a header
//! block that is reserved for superblocks. The rest of the files holds the log, file by file and then from the first file
//! again. A batch may cross from one file to the next.

use std::ops::Range;

use snafu::ensure;

use crate::error::InvalidSettingsSnafu;
use crate::StorageError;

/// Alignment of batches, in bytes. No two batches share a sector, so no write touches a sector that was acknowledged.
pub(crate) const SECTOR_BYTES: u64 = 512;
/// Space at the start of each file that is reserved for superblocks, in bytes.
pub(crate) const FILE_HEADER_BYTES: u64 = 4096;
/// Upper bound of positions. It is far greater than the number of bytes that a disk can write in its lifetime, and low enough
/// that sums of a few lengths cannot overflow.
pub(crate) const MAX_POSITION: u64 = 1 << 62;
/// Maximum number of files of a ring; all of them stay open.
const MAX_FILES: u64 = 256;
/// Maximum length of a file in bytes, so that positions cannot overflow.
const MAX_FILE_BYTES: u64 = 1 << 40;
const FILE_PREFIX: &str = "ring-";

/// Settings of a ring. A ring that exists on the disk keeps the number and the length of the files with which it was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingSettings {
    /// Number of files, from 2 to 256.
    pub files: usize,
    /// Length of each file in bytes, at least 8,192; rounded down to a multiple of 4,096.
    pub file_bytes: u64,
    /// Length of an extent in bytes; rounded up to a multiple of 512. The files grow in extents, one to two of them ahead of the
    /// log. A ring that is no longer than an extent gets its full length when it is created. Not stored on the disk.
    pub extent_bytes: u64,
}

impl RingSettings {
    /// The value of [`RingSettings::extent_bytes`] for a ring that gets its full length when it is created.
    pub const PREALLOCATE_ALL: u64 = u64::MAX;

    /// The length of an extent in bytes, rounded up to whole sectors.
    pub(crate) fn aligned_extent_bytes(&self) -> u64 {
        let sectors = self.extent_bytes.max(1).checked_next_multiple_of(SECTOR_BYTES);
        sectors.unwrap_or(u64::MAX - u64::MAX % SECTOR_BYTES)
    }
}

/// The validated layout of a ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Layout {
    files: u64,
    file_bytes: u64,
}

/// A part of a range of positions that lies in one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// Index of the file in the ring.
    pub file: u64,
    /// Offset in the file, in bytes.
    pub offset: u64,
    /// The part of the range, relative to the start of the range.
    pub range: Range<usize>,
}

impl Layout {
    pub(crate) fn new(settings: RingSettings) -> Result<Self, StorageError> {
        Self::validated(settings.files as u64, settings.file_bytes - settings.file_bytes % FILE_HEADER_BYTES)
    }

    pub(crate) fn validated(files: u64, file_bytes: u64) -> Result<Self, StorageError> {
        ensure!(
            (2..=MAX_FILES).contains(&files),
            InvalidSettingsSnafu { reason: "the number of files must be 2 to 256" }
        );
        let bounds = 2 * FILE_HEADER_BYTES..=MAX_FILE_BYTES;
        ensure!(
            bounds.contains(&file_bytes),
            InvalidSettingsSnafu { reason: "the length of a file must be 8 KiB to 1 TiB" }
        );
        ensure!(
            file_bytes % SECTOR_BYTES == 0,
            InvalidSettingsSnafu { reason: "the length of a file must be a multiple of the sector size" }
        );
        Ok(Self { files, file_bytes })
    }

    pub(crate) fn files(&self) -> u64 {
        self.files
    }

    pub(crate) fn file_bytes(&self) -> u64 {
        self.file_bytes
    }

    /// Length of the log that fits in the ring, in bytes.
    pub(crate) fn capacity(&self) -> u64 {
        self.files * self.data_bytes()
    }

    /// Length of a file when all addresses below `reserved_end` are reserved, in bytes.
    pub(crate) fn file_length(&self, file: u64, reserved_end: u64) -> u64 {
        let reserved_bytes = reserved_end.saturating_sub(file * self.data_bytes());
        FILE_HEADER_BYTES + reserved_bytes.min(self.data_bytes())
    }

    /// Space of a file that holds the log, in bytes.
    fn data_bytes(&self) -> u64 {
        self.file_bytes - FILE_HEADER_BYTES
    }

    /// The index of the file that holds a position, and the offset in that file.
    pub(crate) fn locate(&self, position: u64) -> (u64, u64) {
        let address = position % self.capacity();
        (address / self.data_bytes(), FILE_HEADER_BYTES + address % self.data_bytes())
    }

    /// Splits a range of positions into parts that lie in one file each, in order.
    pub(crate) fn segments(self, position: u64, length: usize) -> impl Iterator<Item = Segment> {
        let mut covered = 0;
        std::iter::from_fn(move || {
            if covered == length {
                return None;
            }
            let (file, offset) = self.locate(position + covered as u64);
            let free_bytes = usize::try_from(self.file_bytes - offset).unwrap_or(usize::MAX);
            let range = covered..covered + free_bytes.min(length - covered);
            covered = range.end;
            Some(Segment { file, offset, range })
        })
    }
}

/// The name of a file of the ring.
pub(crate) fn file_name(index: u64) -> String {
    format!("{FILE_PREFIX}{index:03}")
}

/// Whether a file with this name belongs to a ring.
pub(crate) fn is_ring_file(name: &str) -> bool {
    name.starts_with(FILE_PREFIX)
}
