//! What a backend keeps on its disk: its identity, and the records of all its partitions in one log.

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
    /// The identity of the disk. It comes first.
    Identity(u64),
    /// A record of a partition's replica.
    Partition(u16, LogRecord),
}

impl DiskRecord {
    /// The bytes that the disk holds.
    pub fn encode(&self) -> Result<Vec<u8>, JobsError> {
        codec::encode(self).context(RecordSnafu)
    }
}

/// All that a disk holds.
#[derive(Debug, Default)]
pub struct DiskContent {
    /// The identity of the disk, if it has one.
    pub member: Option<u64>,
    /// Records by partition, in the order written.
    pub partitions: BTreeMap<u16, Vec<LogRecord>>,
}

impl DiskContent {
    /// Reads the records of a disk in order.
    pub fn read(records: impl IntoIterator<Item = Vec<u8>>) -> Result<Self, JobsError> {
        let mut content = Self::default();
        for bytes in records {
            match codec::decode(&bytes).context(RecordSnafu)? {
                DiskRecord::Identity(member) => content.member = Some(member),
                DiskRecord::Partition(partition, record) if partition < PARTITION_COUNT => {
                    content.partitions.entry(partition).or_default().push(record);
                }
                DiskRecord::Partition(partition, _) => log::warn!("no partition has the number {partition}"),
            }
        }
        Ok(content)
    }
}
