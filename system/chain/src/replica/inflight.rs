//! The entries that are in flight to one follower, for a limit on their size.

use std::collections::VecDeque;

/// A batch of entries that a follower has not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct InflightBatch {
    last_index: u64,
    bytes: usize,
}

/// The batches in flight to one follower, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct InflightBatches {
    batches: VecDeque<InflightBatch>,
    bytes: usize,
}

impl InflightBatches {
    /// Adds a batch whose last entry has an index, with the size of its entries in bytes.
    pub(super) fn push(&mut self, last_index: u64, bytes: usize) {
        self.bytes += bytes;
        self.batches.push_back(InflightBatch { last_index, bytes });
    }

    /// Size of all batches in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes the batches whose entries have all been acknowledged.
    pub(super) fn remove_acked(&mut self, acked_index: u64) {
        while let Some(batch) = self.batches.front().filter(|batch| batch.last_index <= acked_index) {
            self.bytes -= batch.bytes;
            self.batches.pop_front();
        }
    }
}
