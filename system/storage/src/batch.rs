//! Writing of a batch: its records are split into frames, copied once, and written in large chunks.

use crate::frame::{Batch, FrameHeader, FRAME_BYTES, FRAME_HEADER_BYTES};
use crate::volume::Volume;
use crate::{Disk, StorageError};

/// Buffer length at which collected frames are written, in bytes.
const WRITE_BYTES: usize = 4 * FRAME_BYTES;

/// Writes all records of a batch, and syncs them.
///
/// The caller passes the same buffer each time, to avoid an allocation per batch; it grows to [`WRITE_BYTES`] at most.
pub(crate) fn write_batch<D: Disk>(
    volume: &mut Volume<D>,
    batch: Batch,
    records: &[Vec<u8>],
    buffer: &mut Vec<u8>,
) -> Result<(), StorageError> {
    buffer.clear();
    let mut writer = BatchWriter { volume, batch, buffer, written_end: batch.start, frame_start: 0 };
    writer.start_frame();
    for record in records {
        writer.push(&(record.len() as u32).to_le_bytes())?;
        writer.push(record)?;
    }
    writer.finish_frame();
    writer.flush()?;
    volume.sync(batch.start, batch.end)
}

/// Writes the frames of one batch through a buffer.
struct BatchWriter<'a, D> {
    volume: &'a mut Volume<D>,
    batch: Batch,
    /// The frames that are not yet written; the last one is being filled.
    buffer: &'a mut Vec<u8>,
    /// Position in the log at which the buffer starts; everything before it is written.
    written_end: u64,
    /// Offset in the buffer of the frame that is being filled.
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
            position: self.written_end + self.frame_start as u64,
            body_bytes: body.len() as u32,
            body_crc: crc32fast::hash(body),
        };
        header.copy_from_slice(&frame.encode());
    }

    fn flush(&mut self) -> Result<(), StorageError> {
        self.volume.write(self.written_end, self.buffer)?;
        self.written_end += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }
}
