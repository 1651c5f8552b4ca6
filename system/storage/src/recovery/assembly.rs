//! Assembles records from the frames of a batch.

use crate::frame::LENGTH_PREFIX_BYTES;

/// The records of a batch, assembled from the frames read so far.
pub(super) struct RecordAssembly {
    records: Vec<Vec<u8>>,
    /// The bytes read so far of the length prefix of the next record.
    prefix: Vec<u8>,
    /// The record that is being filled, and its full length.
    current: Option<(Vec<u8>, usize)>,
    /// Length of the batch in bytes; no record can be longer.
    batch_bytes: u64,
}

impl RecordAssembly {
    pub(super) fn new(batch_bytes: u64) -> Self {
        Self {
            records: Vec::new(),
            prefix: Vec::with_capacity(LENGTH_PREFIX_BYTES),
            current: None,
            batch_bytes,
        }
    }

    /// Adds the body of the next frame; returns false if a record would be longer than its batch.
    pub(super) fn push(&mut self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            match &mut self.current {
                None => {
                    fill(&mut self.prefix, LENGTH_PREFIX_BYTES, &mut bytes);
                    if !self.start_record() {
                        return false;
                    }
                }
                Some((record, length)) => fill(record, *length, &mut bytes),
            }
            self.finish_record();
        }
        true
    }

    /// Starts a record if its length prefix is complete; returns false if the record would be longer than its batch.
    fn start_record(&mut self) -> bool {
        let Some(prefix) = self.prefix.first_chunk::<LENGTH_PREFIX_BYTES>() else { return true };
        let length = u32::from_le_bytes(*prefix);
        if u64::from(length) > self.batch_bytes {
            return false;
        }
        self.prefix.clear();
        self.current = Some((Vec::with_capacity(length as usize), length as usize));
        true
    }

    /// Adds the current record to the list if it is complete.
    fn finish_record(&mut self) {
        if let Some((record, _)) = self.current.take_if(|(record, length)| record.len() == *length) {
            self.records.push(record);
        }
    }

    /// The records of the batch; `None` if the last one is incomplete.
    pub(super) fn finish(self) -> Option<Vec<Vec<u8>>> {
        (self.current.is_none() && self.prefix.is_empty()).then_some(self.records)
    }
}

/// Moves bytes from the start of `bytes` to the end of the target, until the target has this length.
fn fill(target: &mut Vec<u8>, length: usize, bytes: &mut &[u8]) {
    let (head, rest) = bytes.split_at((length - target.len()).min(bytes.len()));
    target.extend_from_slice(head);
    *bytes = rest;
}
