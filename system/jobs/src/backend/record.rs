//! The records on a backend's disk: its identity, and the records of all its partitions in one log.
//!
//! Encoded by bincode: never reorder the variants.

use std::collections::BTreeMap;

use gingerledge_chain::LogRecord;
use gingerledge_wire::PARTITION_COUNT;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::codec;
use crate::error::{JobsError, RecordSnafu};

/// One record on the disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskRecord {
    /// The identity of the disk; the first record.
    Identity(u64),
    /// A record of a partition's replica.
    Partition(u16, LogRecord),
}

impl DiskRecord {
    /// The bytes of the record on the disk.
    ///
    /// # Errors
    ///
    /// The record can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, JobsError> {
        codec::encode(self).context(RecordSnafu)
    }
}

/// The content of a disk.
#[derive(Debug, Default)]
pub struct DiskContent {
    /// The identity of the disk, if it has one.
    pub member: Option<u64>,
    /// Records by partition, in the order written.
    pub partitions: BTreeMap<u16, Vec<LogRecord>>,
}

impl DiskContent {
    /// Reads the records of a disk, in order.
    ///
    /// # Errors
    ///
    /// A record can't be decoded.
    pub fn read(records: impl IntoIterator<Item = Vec<u8>>) -> Result<Self, JobsError> {
        let mut content = Self::default();
        for bytes in records {
            match codec::decode(&bytes).context(RecordSnafu)? {
                DiskRecord::Identity(member) => content.member = Some(member),
                DiskRecord::Partition(partition, record) if partition < PARTITION_COUNT => {
                    content.partitions.entry(partition).or_default().push(record);
                }
                DiskRecord::Partition(partition, _) => {
                    log::warn!(partition; "record of an unknown partition ignored");
                }
            }
        }
        Ok(content)
    }
}
