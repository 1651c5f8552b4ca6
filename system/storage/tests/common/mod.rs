//! What the tests of the ring share: records that can be told apart, and a model of what must be on the disk.

#![allow(dead_code, reason = "each test file uses a part")]

use gingerledge_storage::{Disk, Recovered, Ring, RingSettings, StorageError};

/// A ring in which every batch is one frame, and which is soon full.
pub const SMALL: RingSettings =
    RingSettings { files: 4, file_bytes: 32 * 1024, extent_bytes: RingSettings::AT_ONCE };
/// A ring with batches of several frames that cross files.
pub const MIDDLE: RingSettings =
    RingSettings { files: 3, file_bytes: 192 * 1024, extent_bytes: RingSettings::AT_ONCE };

/// The small ring, which grows with its log.
pub const GROWING: RingSettings = RingSettings { extent_bytes: 8 * 1024, ..SMALL };
/// The ring with batches of several frames, which grows by less than a frame.
pub const GROWING_MIDDLE: RingSettings = RingSettings { extent_bytes: 20_000, ..MIDDLE };

/// A record that differs from those of other numbers in its first bytes, and hardly repeats itself.
pub fn record(number: u64, length: usize) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(number);
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.resize(length, 0);
    if let Some(rest) = bytes.get_mut(8..) {
        random.fill(rest);
    }
    bytes
}

/// What the ring holds: the snapshot and the records after it.
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

    /// The numbers of the records, short enough to be printed.
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

/// Opens a ring that must be there, and gives what it held.
pub fn open<D: Disk>(disk: D, settings: RingSettings) -> (Ring<D>, Model) {
    let (ring, recovered) = Ring::open(disk, settings).unwrap();
    (ring, recovered.into())
}

/// The place of the damage that opening reports.
pub fn damage<D: Disk>(disk: D, settings: RingSettings) -> Option<(String, u64)> {
    match Ring::open(disk, settings) {
        Err(StorageError::Corrupt { file, offset, .. }) => Some((file, offset)),
        Err(error) => panic!("another error than damage: {error}"),
        Ok(_) => None,
    }
}
