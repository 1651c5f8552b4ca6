//! Helpers of the ring's tests: distinguishable records, and a model of the expected content of a ring.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use gingerledge_storage::{Disk, Recovered, Ring, RingSettings, StorageError};

/// A small ring, which is soon full, for batches of one frame.
pub const SMALL: RingSettings =
    RingSettings { files: 4, file_bytes: 32 * 1024, extent_bytes: RingSettings::PREALLOCATE_ALL };
/// A ring for batches of several frames that cross files.
pub const MEDIUM: RingSettings =
    RingSettings { files: 3, file_bytes: 192 * 1024, extent_bytes: RingSettings::PREALLOCATE_ALL };

/// The settings of the small ring, with growth in extents.
pub const GROWING: RingSettings = RingSettings { extent_bytes: 8 * 1024, ..SMALL };
/// The settings of the ring for batches of several frames, with extents shorter than a frame.
pub const GROWING_MEDIUM: RingSettings = RingSettings { extent_bytes: 20_000, ..MEDIUM };

/// A record whose first eight bytes are its number; the rest are random bytes.
pub fn record(number: u64, length: usize) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(number);
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.resize(length, 0);
    if let Some(rest) = bytes.get_mut(8..) {
        random.fill(rest);
    }
    bytes
}

/// The expected content of a ring: the snapshot and the records after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Model {
    pub snapshot: Vec<Vec<u8>>,
    pub records: Vec<Vec<u8>>,
}

impl Model {
    pub fn with_appended(&self, records: &[Vec<u8>]) -> Self {
        let mut next = self.clone();
        next.records.extend_from_slice(records);
        next
    }

    pub fn with_snapshot(records: &[Vec<u8>]) -> Self {
        Self { snapshot: records.to_vec(), records: Vec::new() }
    }

    /// The numbers of the records in the snapshot and after it, for short assertion messages.
    pub fn numbers(&self) -> (Vec<u64>, Vec<u64>) {
        (numbers(&self.snapshot), numbers(&self.records))
    }
}

impl From<Recovered> for Model {
    fn from(recovered: Recovered) -> Self {
        Self { snapshot: recovered.snapshot, records: recovered.records }
    }
}

fn numbers(records: &[Vec<u8>]) -> Vec<u64> {
    records.iter().map(|record| record.first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))).collect()
}

/// Opens a ring, or creates one; returns it with its recovered content.
pub fn open<D: Disk>(disk: D, settings: RingSettings) -> (Ring<D>, Model) {
    let (ring, recovered) = Ring::open(disk, settings).unwrap();
    (ring, recovered.into())
}

/// The file and the offset of the damage that opening a ring reports; `None` if the ring can be opened.
pub fn reported_damage<D: Disk>(disk: D, settings: RingSettings) -> Option<(String, u64)> {
    match Ring::open(disk, settings) {
        Err(StorageError::Corrupt { file, offset, .. }) => Some((file, offset)),
        Err(error) => panic!("unexpected error: {error}"),
        Ok(_) => None,
    }
}
