//! [`Volume`]: access to a [`Disk`] by log positions instead of files and offsets.

use std::collections::BTreeSet;

use crate::layout::{file_name, Layout};
use crate::{Disk, StorageError};

/// The files of a ring, addressed by log positions.
#[derive(Debug)]
pub(crate) struct Volume<D> {
    pub disk: D,
    pub layout: Layout,
}

impl<D: Disk> Volume<D> {
    pub(crate) fn read(&mut self, position: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        for segment in self.layout.segments(position, buffer.len()) {
            let Some(part) = buffer.get_mut(segment.range) else { continue };
            self.disk.read_at(&file_name(segment.file), segment.offset, part)?;
        }
        Ok(())
    }

    pub(crate) fn write(&mut self, position: u64, bytes: &[u8]) -> Result<(), StorageError> {
        for segment in self.layout.segments(position, bytes.len()) {
            let Some(part) = bytes.get(segment.range) else { continue };
            self.disk.write_at(&file_name(segment.file), segment.offset, part)?;
        }
        Ok(())
    }

    /// Syncs each file that holds a part of the range.
    pub(crate) fn sync(&mut self, start: u64, end: u64) -> Result<(), StorageError> {
        let length = usize::try_from(end.saturating_sub(start)).unwrap_or(usize::MAX);
        let files: BTreeSet<u64> = self.layout.segments(start, length).map(|segment| segment.file).collect();
        for file in files {
            self.disk.sync_file(&file_name(file))?;
        }
        Ok(())
    }

    /// The error for damage at a position.
    pub(crate) fn corrupt(&self, position: u64, reason: &'static str) -> StorageError {
        let (file, offset) = self.layout.locate(position);
        StorageError::Corrupt { file: file_name(file), offset, reason }
    }
}
