//! The records on a backend's disk: the identity of the disk, and the records of all partitions in one log.
//!
//! Records are encoded with bincode, which identifies a variant by its position: never reorder the variants.

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
    /// Identity of the disk, which is the member id of its backend. Always the first record.
    Identity(u64),
    /// Number of a partition, and a record of its replica.
    Partition(u16, LogRecord),
}

impl DiskRecord {
    /// Encodes the record as it is stored on the disk.
    ///
    /// # Errors
    ///
    /// The record can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, JobsError> {
        codec::encode(self).context(RecordSnafu)
    }
}

/// The decoded content of a backend's disk.
#[derive(Debug, Default)]
pub struct DiskContent {
    /// Identity of the disk, if it has one already.
    pub member: Option<u64>,
    /// Records by partition, in the order in which they were written.
    pub partitions: BTreeMap<u16, Vec<LogRecord>>,
}

impl DiskContent {
    /// Decodes the records of a disk, given in the order in which they were written.
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
