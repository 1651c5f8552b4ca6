//! Sequential, buffered reading of the log.

use crate::frame::{FrameHeader, FRAME_BYTES, FRAME_HEADER_BYTES};
use crate::reservation::Reservation;
use crate::volume::Volume;
use crate::{Disk, StorageError};

/// Length of one read from the disk, in bytes. It covers several frames, so that small batches do not need a read each.
const READ_BYTES: usize = 4 * FRAME_BYTES;

/// Reads the log from a start position, at most the capacity of the ring.
pub(super) struct Reader<'a, D> {
    volume: &'a mut Volume<D>,
    reservation: Reservation,
    /// Position after the last readable byte.
    end: u64,
    buffer: Vec<u8>,
    /// Position of the first byte in the buffer.
    buffer_start: u64,
}

impl<'a, D: Disk> Reader<'a, D> {
    pub(super) fn new(volume: &'a mut Volume<D>, reservation: Reservation, start: u64) -> Self {
        let end = reservation.readable_end(&volume.layout, start);
        Self { volume, reservation, end, buffer: Vec::new(), buffer_start: start }
    }

    pub(super) fn capacity(&self) -> u64 {
        self.volume.layout.capacity()
    }

    /// Whether the space up to this position is reserved, so that a batch that ends there can have been written.
    pub(super) fn is_reserved(&self, end: u64) -> bool {
        self.reservation.covers(&self.volume.layout, end)
    }

    pub(super) fn corrupt(&self, position: u64, reason: &'static str) -> StorageError {
        self.volume.corrupt(position, reason)
    }

    /// The bytes at a position; fewer than `length` at the end of the readable space.
    fn bytes(&mut self, position: u64, length: usize) -> Result<&[u8], StorageError> {
        let available = length.min(self.remaining(position));
        if position < self.buffer_start || self.buffered(position) < available {
            self.fill(position)?;
        }
        let from = (position - self.buffer_start) as usize;
        Ok(self.buffer.get(from..from + available).unwrap_or_default())
    }

    /// The header of the frame at a position; `None` unless a valid header was written for that position.
    pub(super) fn header(&mut self, position: u64) -> Result<Option<FrameHeader>, StorageError> {
        let header = FrameHeader::decode(self.bytes(position, FRAME_HEADER_BYTES)?);
        Ok(header.filter(|header| header.position == position))
    }

    /// The header and the body of the frame at a position; `None` unless both are intact.
    pub(super) fn frame(&mut self, position: u64) -> Result<Option<(FrameHeader, &[u8])>, StorageError> {
        let Some(header) = self.header(position)? else { return Ok(None) };
        let frame = self.bytes(position, FRAME_HEADER_BYTES + header.body_bytes as usize)?;
        let body = frame.get(FRAME_HEADER_BYTES..).unwrap_or_default();
        let is_intact = body.len() == header.body_bytes as usize && crc32fast::hash(body) == header.body_crc;
        Ok(is_intact.then_some((header, body)))
    }

    /// Number of readable bytes from a position on.
    fn remaining(&self, position: u64) -> usize {
        usize::try_from(self.end.saturating_sub(position)).unwrap_or(usize::MAX)
    }

    /// Number of buffered bytes from a position on.
    fn buffered(&self, position: u64) -> usize {
        let buffer_end = self.buffer_start + self.buffer.len() as u64;
        buffer_end.saturating_sub(position) as usize
    }

    fn fill(&mut self, position: u64) -> Result<(), StorageError> {
        let length = READ_BYTES.min(self.remaining(position));
        self.buffer.clear();
        self.buffer.resize(length, 0);
        self.buffer_start = position;
        let filled = self.volume.read(position, &mut self.buffer);
        filled.inspect_err(|_| self.buffer.clear())
    }
}
