//! The layout of the log on the disk: the mapping of one endless address space onto a ring of files.
//!
//! Positions count bytes from the first batch ever and never repeat, so a batch left from an earlier pass over the ring
//! cannot be mistaken for one of this pass. Each file starts with a header block, in which only superblocks are kept; the rest
//! of the files, one after the other and again from the first, holds the log. A batch may cross from a file to the next.

use std::ops::Range;

use snafu::ensure;

use crate::error::SettingsSnafu;
use crate::StorageError;

/// The unit of alignment: a batch shares no sector with another, so no write touches an acknowledged sector.
pub(crate) const SECTOR_BYTES: u64 = 512;
/// What each file keeps free at its start for superblocks.
pub(crate) const FILE_HEADER_BYTES: u64 = 4096;
/// Bound on positions, far beyond what a disk can write in its life: sums of a few lengths cannot overflow.
pub(crate) const MAX_POSITION: u64 = 1 << 62;
/// Bound on the files of a ring; each stays open.
const MAX_FILES: u64 = 256;
/// Bound on the length of a file, so that positions cannot overflow.
const MAX_FILE_BYTES: u64 = 1 << 40;
const FILE_PREFIX: &str = "ring-";

/// The layout of a new ring. A ring that is on the disk already keeps the layout it was created with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingSettings {
    /// Number of files, from 2 to 256.
    pub files: usize,
    /// Length of each file; rounded down to a multiple of 4,096, at least 8,192.
    pub file_bytes: u64,
    /// The files get their length in extents of so many bytes, one to two of them ahead of the log; rounded up to a
    /// multiple of 512. A ring that is no longer than an extent gets its whole length at once. Not kept on the disk.
    pub extent_bytes: u64,
}

impl RingSettings {
    /// The [`RingSettings::extent_bytes`] of a ring that gets its whole length when it is created.
    pub const AT_ONCE: u64 = u64::MAX;

    /// The length of an extent in whole sectors.
    pub(crate) fn aligned_extent_bytes(&self) -> u64 {
        let sectors = self.extent_bytes.max(1).checked_next_multiple_of(SECTOR_BYTES);
        sectors.unwrap_or(u64::MAX - u64::MAX % SECTOR_BYTES)
    }
}

/// The layout of a ring, checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Layout {
    files: u64,
    file_bytes: u64,
}

/// A part of a range of positions that lies in one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// Index of the file.
    pub file: u64,
    /// Offset in the file.
    pub offset: u64,
    /// The part of the range, counted from its start.
    pub range: Range<usize>,
}

impl Layout {
    pub(crate) fn new(settings: RingSettings) -> Result<Self, StorageError> {
        Self::checked(settings.files as u64, settings.file_bytes - settings.file_bytes % FILE_HEADER_BYTES)
    }

    pub(crate) fn checked(files: u64, file_bytes: u64) -> Result<Self, StorageError> {
        ensure!((2..=MAX_FILES).contains(&files), SettingsSnafu { reason: "the files must be 2 to 256" });
        let bounds = 2 * FILE_HEADER_BYTES..=MAX_FILE_BYTES;
        ensure!(bounds.contains(&file_bytes), SettingsSnafu { reason: "a file must have 8 KiB to 1 TiB" });
        ensure!(file_bytes % SECTOR_BYTES == 0, SettingsSnafu { reason: "a file must end with a sector" });
        Ok(Self { files, file_bytes })
    }

    pub(crate) fn files(&self) -> u64 {
        self.files
    }

    pub(crate) fn file_bytes(&self) -> u64 {
        self.file_bytes
    }

    /// Bytes of log that fit in the ring.
    pub(crate) fn capacity(&self) -> u64 {
        self.files * self.data_bytes()
    }

    /// Length of a file when all addresses below this one are reserved.
    pub(crate) fn file_length(&self, file: u64, reserved_end: u64) -> u64 {
        let reserved = reserved_end.saturating_sub(file * self.data_bytes());
        FILE_HEADER_BYTES + reserved.min(self.data_bytes())
    }

    fn data_bytes(&self) -> u64 {
        self.file_bytes - FILE_HEADER_BYTES
    }

    /// The file and the offset in it of a position.
    pub(crate) fn locate(&self, position: u64) -> (u64, u64) {
        let address = position % self.capacity();
        (address / self.data_bytes(), FILE_HEADER_BYTES + address % self.data_bytes())
    }

    /// The parts of a range of positions, in order; each lies in one file.
    pub(crate) fn segments(self, position: u64, length: usize) -> impl Iterator<Item = Segment> {
        let mut done = 0;
        std::iter::from_fn(move || {
            if done == length {
                return None;
            }
            let (file, offset) = self.locate(position + done as u64);
            let free_bytes = usize::try_from(self.file_bytes - offset).unwrap_or(usize::MAX);
            let range = done..done + free_bytes.min(length - done);
            done = range.end;
            Some(Segment { file, offset, range })
        })
    }
}

/// The name of a file of the ring.
pub(crate) fn file_name(index: u64) -> String {
    format!("{FILE_PREFIX}{index:03}")
}

/// Whether a file of the folder belongs to a ring.
pub(crate) fn is_ring_file(name: &str) -> bool {
    name.starts_with(FILE_PREFIX)
}
