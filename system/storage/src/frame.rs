//! Frames: the units in which the log is written, each with a checksum.
//!
//! A batch is a stream of records, each preceded by its length. The stream is split into frames of [`FRAME_BYTES`]; the
//! last frame may be shorter. Frames start at sector boundaries. The header of a frame holds the positions of the frame and
//! of its batch, so that any frame found on the disk identifies the place in the log for which it was written.

use crate::layout::SECTOR_BYTES;

/// Length of a frame that is not the last one of its batch, including its header, in bytes.
pub(crate) const FRAME_BYTES: usize = 64 * 1024;
/// Length of the header of a frame, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 64;
/// Maximum length of the body of a frame, in bytes.
pub(crate) const FRAME_BODY_BYTES: usize = FRAME_BYTES - FRAME_HEADER_BYTES;
/// Length of the prefix of a record that holds the length of the record, in bytes.
pub(crate) const LENGTH_PREFIX_BYTES: usize = 4;

const MAGIC: u32 = u32::from_le_bytes(*b"frm1");
const KIND_APPEND: u32 = 1;
const KIND_SNAPSHOT: u32 = 2;

/// The effect of a batch on the records before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchKind {
    /// The batch is appended to the earlier records.
    Append,
    /// The batch replaces all earlier records.
    Snapshot,
}

/// The header fields that all frames of a batch share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Batch {
    pub kind: BatchKind,
    /// The epoch in which the batch was written; each opening of the ring starts a new one. Epochs never decrease along the
    /// log. The epoch distinguishes a batch from the remains of an unfinished one at the same position.
    pub epoch: u64,
    /// Sequence number of the batch in the log. A batch is written only after the previous one was synced.
    pub number: u64,
    /// Position of the first frame.
    pub start: u64,
    /// Position after the last frame, at a sector boundary, where the next batch starts.
    pub end: u64,
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    pub batch: Batch,
    /// Position of this frame.
    pub position: u64,
    pub body_bytes: u32,
    pub body_crc: u32,
}

impl FrameHeader {
    pub(crate) fn encode(&self) -> [u8; FRAME_HEADER_BYTES] {
        let kind = match self.batch.kind {
            BatchKind::Append => KIND_APPEND,
            BatchKind::Snapshot => KIND_SNAPSHOT,
        };
        let mut fields = Vec::with_capacity(FRAME_HEADER_BYTES);
        for value in [self.batch.epoch, self.position, self.batch.number, self.batch.start, self.batch.end] {
            fields.extend_from_slice(&value.to_le_bytes());
        }
        for value in [self.body_bytes, self.body_crc, kind, 0] {
            fields.extend_from_slice(&value.to_le_bytes());
        }
        let mut bytes = [0; FRAME_HEADER_BYTES];
        bytes[..4].copy_from_slice(&MAGIC.to_le_bytes());
        bytes[4..8].copy_from_slice(&crc32fast::hash(&fields).to_le_bytes());
        bytes[8..].copy_from_slice(&fields);
        bytes
    }

    /// Decodes the header at the start of these bytes; `None` unless it is intact and consistent.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let header = bytes.first_chunk::<FRAME_HEADER_BYTES>()?;
        if read_u32(header, 0)? != MAGIC || read_u32(header, 4)? != crc32fast::hash(&header[8..]) {
            return None;
        }
        let kind = match read_u32(header, 56)? {
            KIND_APPEND => BatchKind::Append,
            KIND_SNAPSHOT => BatchKind::Snapshot,
            _ => return None,
        };
        let batch = Batch {
            kind,
            epoch: read_u64(header, 8)?,
            number: read_u64(header, 24)?,
            start: read_u64(header, 32)?,
            end: read_u64(header, 40)?,
        };
        let decoded = Self {
            batch,
            position: read_u64(header, 16)?,
            body_bytes: read_u32(header, 48)?,
            body_crc: read_u32(header, 52)?,
        };
        decoded.is_consistent().then_some(decoded)
    }

    fn is_consistent(&self) -> bool {
        let batch = &self.batch;
        self.body_bytes as usize <= FRAME_BODY_BYTES
            && batch.start <= self.position
            && self.end() <= batch.end
            && (self.is_last() || self.body_bytes as usize == FRAME_BODY_BYTES)
    }

    /// Position after this frame, at a sector boundary.
    pub(crate) fn end(&self) -> u64 {
        self.position.saturating_add(align_to_sector(FRAME_HEADER_BYTES as u64 + u64::from(self.body_bytes)))
    }

    /// Whether this is the last frame of its batch.
    pub(crate) fn is_last(&self) -> bool {
        self.end() == self.batch.end
    }
}

/// Length that a batch of these records takes in the log, in bytes; `None` if a record is too long for its length prefix.
pub(crate) fn batch_bytes(records: &[Vec<u8>]) -> Option<u64> {
    let mut content_bytes = 0;
    for record in records {
        u32::try_from(record.len()).ok()?;
        content_bytes += (LENGTH_PREFIX_BYTES + record.len()) as u64;
    }
    let body_bytes = FRAME_BODY_BYTES as u64;
    let full_frames = content_bytes.saturating_sub(1) / body_bytes;
    let last_frame_bytes = FRAME_HEADER_BYTES as u64 + content_bytes - full_frames * body_bytes;
    Some(full_frames * FRAME_BYTES as u64 + align_to_sector(last_frame_bytes))
}

fn align_to_sector(bytes: u64) -> u64 {
    bytes.next_multiple_of(SECTOR_BYTES)
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}

fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    Some(u64::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}
