//! The frame: the unit that is written to the log and checked when it is read.
//!
//! A batch of records is one stream, each record preceded by its length, cut into frames of [`FRAME_BYTES`]; the
//! last frame is shorter. Frames start at sectors. A header says where its frame and its batch belong, so that a
//! frame found anywhere proves by itself when it was written.

use crate::layout::SECTOR_BYTES;

/// Length of a frame that is not the last of its batch, header included.
pub(crate) const FRAME_BYTES: usize = 64 * 1024;
/// Length of the header of a frame.
pub(crate) const FRAME_HEADER_BYTES: usize = 64;
/// The most that a frame carries.
pub(crate) const FRAME_BODY_BYTES: usize = FRAME_BYTES - FRAME_HEADER_BYTES;
/// Length of the prefix of a record that says how long the record is.
pub(crate) const LENGTH_BYTES: usize = 4;

const MAGIC: u32 = u32::from_le_bytes(*b"frm1");
const KIND_APPEND: u32 = 1;
const KIND_SNAPSHOT: u32 = 2;

/// What a batch does to the records before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchKind {
    /// Follows them.
    Append,
    /// Replaces them.
    Snapshot,
}

/// What all frames of a batch have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Batch {
    pub kind: BatchKind,
    /// Which opening of the ring wrote it. Never falls along the log; distinguishes a batch from the remains of an
    /// unfinished one at the same position.
    pub epoch: u64,
    /// Counts the batches of the log. A batch is written only after the one before it was synced.
    pub number: u64,
    /// Position of its first frame.
    pub start: u64,
    /// Position behind its last frame, at a sector: where the next batch starts.
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

    /// The header at the start of these bytes; none unless it is intact and consistent.
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

    /// Position behind this frame.
    pub(crate) fn end(&self) -> u64 {
        self.position.saturating_add(align(FRAME_HEADER_BYTES as u64 + u64::from(self.body_bytes)))
    }

    pub(crate) fn is_last(&self) -> bool {
        self.end() == self.batch.end
    }
}

/// Bytes of log that a batch of these records takes; none if a record is too long for its prefix.
pub(crate) fn batch_bytes(records: &[Vec<u8>]) -> Option<u64> {
    let mut content = 0;
    for record in records {
        u32::try_from(record.len()).ok()?;
        content += (LENGTH_BYTES + record.len()) as u64;
    }
    let body = FRAME_BODY_BYTES as u64;
    let full_frames = content.saturating_sub(1) / body;
    let last = FRAME_HEADER_BYTES as u64 + content - full_frames * body;
    Some(full_frames * FRAME_BYTES as u64 + align(last))
}

fn align(bytes: u64) -> u64 {
    bytes.next_multiple_of(SECTOR_BYTES)
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(at..)?.first_chunk()?))
}

fn read_u64(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(*bytes.get(at..)?.first_chunk()?))
}
