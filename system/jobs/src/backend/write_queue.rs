//! The writes of all partitions on their way to the common disk: batches, their tokens, and how long the oldest one takes.

use std::collections::VecDeque;
use std::time::Duration;

use gingerledge_chain::LogRecord;

use super::record::DiskRecord;

/// The newest token of each partition in a batch.
type PartitionTokens = Vec<(u16, u64)>;

/// A batch that is not yet durable.
#[derive(Debug)]
struct UnsyncedBatch {
    token: u64,
    bytes: u64,
    since: Duration,
    partitions: PartitionTokens,
}

/// A batch to be written: durable as a whole or not at all.
#[derive(Debug)]
pub(super) struct Batch {
    pub token: u64,
    pub records: Vec<Vec<u8>>,
}

/// Collects the records of one event into a batch, and follows batches until they are durable.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    last_token: u64,
    /// Oldest first.
    unsynced: VecDeque<UnsyncedBatch>,
    unsynced_bytes: u64,
    /// Records of the event that is being handled.
    open_records: Vec<Vec<u8>>,
    open_partitions: PartitionTokens,
    /// A record could not be encoded: nothing is written any more, so that nothing is acknowledged either.
    has_failed: bool,
}

impl WriteQueue {
    /// Adds records of a partition to the open batch.
    pub(super) fn push(&mut self, partition: u16, token: u64, records: Vec<LogRecord>) {
        for record in records {
            match DiskRecord::Partition(partition, record).encode() {
                Ok(bytes) => self.open_records.push(bytes),
                Err(error) => {
                    log::error!(partition; "record not encoded, writes stopped: {error}");
                    self.has_failed = true;
                }
            }
        }
        match self.open_partitions.iter_mut().find(|(number, _)| *number == partition) {
            Some((_, newest)) => *newest = token,
            None => self.open_partitions.push((partition, token)),
        }
    }

    /// Closes the open batch; none if the event wrote nothing.
    pub(super) fn close_batch(&mut self, now: Duration) -> Option<Batch> {
        let partitions = std::mem::take(&mut self.open_partitions);
        let records = std::mem::take(&mut self.open_records);
        if partitions.is_empty() || self.has_failed {
            return None;
        }
        self.last_token += 1;
        let token = self.last_token;
        let bytes = records.iter().map(|record| record.len() as u64).sum();
        self.unsynced_bytes += bytes;
        self.unsynced.push_back(UnsyncedBatch { token, bytes, since: now, partitions });
        Some(Batch { token, records })
    }

    /// Removes the oldest batch if all batches up to the token are durable and it is one of them; returns the tokens of its
    /// partitions.
    pub(super) fn pop_durable(&mut self, token: u64) -> Option<PartitionTokens> {
        self.unsynced.front().filter(|oldest| oldest.token <= token)?;
        let durable = self.unsynced.pop_front()?;
        self.unsynced_bytes -= durable.bytes;
        Some(durable.partitions)
    }

    /// Bytes of the batches that are not yet durable.
    pub(super) fn unsynced_bytes(&self) -> u64 {
        self.unsynced_bytes
    }

    /// Since when the oldest batch is being written; none if all are durable.
    pub(super) fn oldest_since(&self) -> Option<Duration> {
        self.unsynced.front().map(|oldest| oldest.since)
    }
}
