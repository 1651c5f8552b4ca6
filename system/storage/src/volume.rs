//! A [`Disk`] addressed by positions of the log in place of files and offsets.

use std::collections::BTreeSet;

use crate::layout::{file_name, Layout};
use crate::{Disk, StorageError};

/// The files of a ring as one endless address space.
#[derive(Debug)]
pub(crate) struct Volume<D> {
    pub disk: D,
    pub layout: Layout,
}

impl<D: Disk> Volume<D> {
    pub fn read(&mut self, position: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        for piece in self.layout.pieces(position, buffer.len()) {
            let Some(part) = buffer.get_mut(piece.range) else { continue };
            self.disk.read_at(&file_name(piece.file), piece.offset, part)?;
        }
        Ok(())
    }

    pub fn write(&mut self, position: u64, bytes: &[u8]) -> Result<(), StorageError> {
        for piece in self.layout.pieces(position, bytes.len()) {
            let Some(part) = bytes.get(piece.range) else { continue };
            self.disk.write_at(&file_name(piece.file), piece.offset, part)?;
        }
        Ok(())
    }

    /// Syncs each file in which a part of the range lies.
    pub fn sync(&mut self, start: u64, end: u64) -> Result<(), StorageError> {
        let length = usize::try_from(end.saturating_sub(start)).unwrap_or(usize::MAX);
        let files: BTreeSet<u64> = self.layout.pieces(start, length).map(|piece| piece.file).collect();
        for file in files {
            self.disk.sync_file(&file_name(file))?;
        }
        Ok(())
    }

    /// The error for damage at a position.
    pub fn corrupt(&self, position: u64, reason: &'static str) -> StorageError {
        let (file, offset) = self.layout.locate(position);
        StorageError::Corrupt { file: file_name(file), offset, reason }
    }
}
