//! Writing a batch: records are split into frames and written in large chunks, copied once.

use crate::frame::{Batch, FrameHeader, FRAME_BYTES, FRAME_HEADER_BYTES};
use crate::volume::Volume;
use crate::{Disk, StorageError};

/// Frames are collected up to this length before they are written.
const WRITE_BYTES: usize = 4 * FRAME_BYTES;

/// Writes all records of a batch, and syncs them.
///
/// The buffer is reused, so that it need not be allocated each time; it grows to [`WRITE_BYTES`] at most.
pub(crate) fn write_batch<D: Disk>(
    volume: &mut Volume<D>,
    batch: Batch,
    records: &[Vec<u8>],
    buffer: &mut Vec<u8>,
) -> Result<(), StorageError> {
    buffer.clear();
    let mut writer = BatchWriter { volume, batch, buffer, written_to: batch.start, frame_start: 0 };
    writer.start_frame();
    for record in records {
        writer.push(&(record.len() as u32).to_le_bytes())?;
        writer.push(record)?;
    }
    writer.finish_frame();
    writer.flush()?;
    volume.sync(batch.start, batch.end)
}

struct BatchWriter<'a, D> {
    volume: &'a mut Volume<D>,
    batch: Batch,
    /// Frames not yet written; the last of them is being filled.
    buffer: &'a mut Vec<u8>,
    /// Position of the start of the buffer.
    written_to: u64,
    /// Offset in the buffer at which the frame being filled starts.
    frame_start: usize,
}

impl<D: Disk> BatchWriter<'_, D> {
    fn start_frame(&mut self) {
        self.frame_start = self.buffer.len();
        self.buffer.resize(self.frame_start + FRAME_HEADER_BYTES, 0);
    }

    fn push(&mut self, mut bytes: &[u8]) -> Result<(), StorageError> {
        while !bytes.is_empty() {
            let free_bytes = self.frame_start + FRAME_BYTES - self.buffer.len();
            if free_bytes == 0 {
                self.finish_frame();
                if self.buffer.len() >= WRITE_BYTES {
                    self.flush()?;
                }
                self.start_frame();
                continue;
            }
            let (head, rest) = bytes.split_at(free_bytes.min(bytes.len()));
            self.buffer.extend_from_slice(head);
            bytes = rest;
        }
        Ok(())
    }

    fn finish_frame(&mut self) {
        let (header, body) = self.buffer[self.frame_start..].split_at_mut(FRAME_HEADER_BYTES);
        let frame = FrameHeader {
            batch: self.batch,
            position: self.written_to + self.frame_start as u64,
            body_bytes: body.len() as u32,
            body_crc: crc32fast::hash(body),
        };
        header.copy_from_slice(&frame.encode());
    }

    fn flush(&mut self) -> Result<(), StorageError> {
        self.volume.write(self.written_to, self.buffer)?;
        self.written_to += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }
}
