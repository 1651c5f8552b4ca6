//! Queue of the writes of all partitions to the disk that they share: batches, their tokens, and the age of the oldest one.

use std::collections::VecDeque;
use std::time::Duration;

use gingerledge_chain::LogRecord;

use super::record::DiskRecord;

/// Number and newest write token of each partition that has records in a batch.
type PartitionTokens = Vec<(u16, u64)>;

/// A closed batch that is not yet durable.
#[derive(Debug)]
struct UnsyncedBatch {
    token: u64,
    bytes: u64,
    queued_at: Duration,
    partitions: PartitionTokens,
}

/// A batch for the host to write: it becomes durable as a whole or not at all.
#[derive(Debug)]
pub(super) struct Batch {
    pub token: u64,
    pub records: Vec<Vec<u8>>,
}

/// Collects the records of one event into a batch, and tracks batches until they are durable.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    last_token: u64,
    /// Batches that are not yet durable, oldest first.
    unsynced: VecDeque<UnsyncedBatch>,
    unsynced_bytes: u64,
    /// Encoded records of the event that is being handled.
    open_batch_records: Vec<Vec<u8>>,
    open_batch_partitions: PartitionTokens,
    /// Whether encoding a record has failed. No batch is written after that, so that nothing is acknowledged either.
    has_failed: bool,
}

impl WriteQueue {
    /// Adds records of a partition to the open batch.
    pub(super) fn push(&mut self, partition: u16, token: u64, records: Vec<LogRecord>) {
        for record in records {
            match DiskRecord::Partition(partition, record).encode() {
                Ok(bytes) => self.open_batch_records.push(bytes),
                Err(error) => {
                    log::error!(partition; "record not encoded, writes stopped: {error}");
                    self.has_failed = true;
                }
            }
        }
        match self.open_batch_partitions.iter_mut().find(|(number, _)| *number == partition) {
            Some((_, newest)) => *newest = token,
            None => self.open_batch_partitions.push((partition, token)),
        }
    }

    /// Closes the open batch and returns it. `None` if the event wrote nothing, or if encoding has failed.
    pub(super) fn close_batch(&mut self, now: Duration) -> Option<Batch> {
        let partitions = std::mem::take(&mut self.open_batch_partitions);
        let records = std::mem::take(&mut self.open_batch_records);
        if partitions.is_empty() || self.has_failed {
            return None;
        }
        self.last_token += 1;
        let token = self.last_token;
        let bytes = records.iter().map(|record| record.len() as u64).sum();
        self.unsynced_bytes += bytes;
        self.unsynced.push_back(UnsyncedBatch { token, bytes, queued_at: now, partitions });
        Some(Batch { token, records })
    }

    /// Given that all batches up to `token` are durable, removes the oldest batch if it is one of them and returns the tokens of
    /// its partitions. Called until it returns `None`.
    pub(super) fn pop_durable(&mut self, token: u64) -> Option<PartitionTokens> {
        self.unsynced.front().filter(|oldest| oldest.token <= token)?;
        let durable = self.unsynced.pop_front()?;
        self.unsynced_bytes -= durable.bytes;
        Some(durable.partitions)
    }

    /// Total size in bytes of the batches that are not yet durable.
    pub(super) fn unsynced_bytes(&self) -> u64 {
        self.unsynced_bytes
    }

    /// Time at which the oldest batch that is not yet durable was queued; `None` if all are durable.
    pub(super) fn oldest_queued_at(&self) -> Option<Duration> {
        self.unsynced.front().map(|oldest| oldest.queued_at)
    }
}
