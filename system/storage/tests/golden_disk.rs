//! Compatibility of the disk format: the current code reads rings recorded by earlier versions, and writes rings of the same bytes.
//!
//! To record the rings again, run `GOLDEN_WRITE=1 cargo test -p gingerledge-storage --test golden_disk -- the_current_code` twice,
//! since the rewritten ring is made from a recorded one.

use std::path::{Path, PathBuf};

use gingerledge_golden::disk_image::DiskImage;
use gingerledge_storage::{FileDisk, Ring, RingSettings, StorageError};

/// A small ring, whose log soon wraps around.
const SMALL: RingSettings =
    RingSettings { files: 3, file_bytes: 12 * 1024, extent_bytes: RingSettings::PREALLOCATE_ALL };
/// A ring for batches of several frames.
const LARGE: RingSettings =
    RingSettings { files: 3, file_bytes: 192 * 1024, extent_bytes: RingSettings::PREALLOCATE_ALL };
/// Number of batches and snapshots written to the small ring. Their length is more than twice the capacity of the ring.
const BATCHES: u64 = 41;
/// Number of batches after which the ring is opened again, which starts a new epoch.
const RESTART_AFTER: u64 = 25;
/// Each batch whose number is a multiple of this is a snapshot.
const SNAPSHOT_INTERVAL: u64 = 6;
/// Length of a large record in bytes: longer than a frame, and longer than the rest of a file of the large ring after an earlier batch.
const LARGE_RECORD_BYTES: usize = 150_000;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden_disk").join(name)
}

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden-disk-storage").join(name)
}

fn open(folder: &Path, settings: RingSettings) -> (Ring<FileDisk>, Content) {
    let (ring, recovered) = Ring::open(FileDisk::open(folder).unwrap(), settings).unwrap();
    let content =
        Content { snapshot: recovered.snapshot, records: recovered.records, is_new: recovered.is_new };
    (ring, content)
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Content {
    snapshot: Vec<Vec<u8>>,
    records: Vec<Vec<u8>>,
    is_new: bool,
}

/// The records of a batch: one to three, and in every fifth batch an empty one and one that is longer than a sector.
fn batch(number: u64) -> Vec<Vec<u8>> {
    let record = |part: u64| format!("record {part} of batch {number};").into_bytes();
    let mut records: Vec<_> = (0..1 + number % 3).map(record).collect();
    if number % 5 == 0 {
        records.push(Vec::new());
        records.push(record(9).repeat(40));
    }
    records
}

fn snapshot(number: u64) -> Vec<Vec<u8>> {
    vec![format!("snapshot at batch {number}").into_bytes().repeat(20), vec![0, 255, 0]]
}

/// The expected content of the small ring after the last batch.
fn expected() -> Content {
    let last_snapshot = BATCHES / SNAPSHOT_INTERVAL * SNAPSHOT_INTERVAL;
    let records = (last_snapshot + 1..=BATCHES).flat_map(batch).collect();
    Content { snapshot: snapshot(last_snapshot), records, is_new: false }
}

/// Writes a ring whose log has wrapped around more than once.
fn write_ring(folder: &Path) -> Ring<FileDisk> {
    DiskImage::default().lay_out(folder);
    let (mut ring, content) = open(folder, SMALL);
    assert!(content.is_new);
    for number in 1..=BATCHES {
        if number % SNAPSHOT_INTERVAL == 0 {
            ring.snapshot(&snapshot(number)).unwrap();
        } else {
            ring.append(&batch(number)).unwrap();
        }
        if number == RESTART_AFTER {
            drop(ring);
            (ring, _) = open(folder, SMALL);
        }
    }
    ring
}

/// A large record with few non-zero bytes, so that the recording of the ring is small.
fn large_record(first: u8) -> Vec<u8> {
    let mut record = vec![0; LARGE_RECORD_BYTES];
    record[0] = first;
    record[LARGE_RECORD_BYTES / 2] = 0x7f;
    record[LARGE_RECORD_BYTES - 1] = first;
    record
}

fn last_batch() -> Vec<Vec<u8>> {
    vec![b"the unfinished write ".repeat(100)]
}

fn lay_out(recorded: &str, test: &str) -> PathBuf {
    let folder = folder(test);
    DiskImage::read(&fixture(recorded)).lay_out(&folder);
    folder
}

#[test]
fn the_current_code_writes_the_recorded_ring() {
    let folder = folder("writes");
    drop(write_ring(&folder));
    DiskImage::of_folder(&folder).compare(&fixture("ring.txt"));
}

#[test]
fn the_current_code_writes_the_recorded_ring_with_a_torn_tail() {
    let folder = folder("writes-torn");
    let mut ring = write_ring(&folder);
    let before = DiskImage::of_folder(&folder);
    ring.append(&last_batch()).unwrap();
    before.torn(&DiskImage::of_folder(&folder)).compare(&fixture("ring_torn.txt"));
}

#[test]
fn the_current_code_writes_the_recorded_batches_of_several_frames() {
    let folder = folder("writes-large");
    DiskImage::default().lay_out(&folder);
    let (mut ring, _) = open(&folder, LARGE);
    ring.append(&[large_record(1), b"small".to_vec()]).unwrap();
    ring.append(&[b"next".to_vec(), large_record(2)]).unwrap();
    drop(ring);
    DiskImage::of_folder(&folder).compare(&fixture("ring_large.txt"));
}

#[test]
fn a_recorded_ring_is_recovered() {
    // A ring keeps the layout with which it was created, regardless of the settings.
    let (_, content) = open(&lay_out("ring.txt", "recovered"), LARGE);
    assert!(content == expected());
}

#[test]
fn a_recorded_ring_with_a_torn_tail_is_recovered_without_the_unfinished_batch() {
    let folder = lay_out("ring_torn.txt", "recovered-torn");
    let (mut ring, content) = open(&folder, SMALL);
    assert!(content == expected());
    ring.append(&last_batch()).unwrap();
    drop(ring);
    let mut with_last = expected();
    with_last.records.extend(last_batch());
    let (_, content) = open(&folder, SMALL);
    assert!(content == with_last);
}

#[test]
fn recorded_batches_of_several_frames_are_recovered() {
    let (_, content) = open(&lay_out("ring_large.txt", "recovered-large"), LARGE);
    let records = vec![large_record(1), b"small".to_vec(), b"next".to_vec(), large_record(2)];
    assert!(content == Content { records, ..Content::default() });
}

#[test]
fn a_recorded_ring_starts_from_either_superblock() {
    let image = DiskImage::read(&fixture("ring.txt"));
    for slot in ["ring-000", "ring-001"] {
        let mut damaged = image.clone();
        let file = damaged.files.keys().find(|name| name.starts_with(slot)).unwrap().clone();
        damaged.files.get_mut(&file).unwrap()[20] ^= 1;
        let folder = folder(slot);
        damaged.lay_out(&folder);
        let (_, content) = open(&folder, SMALL);
        assert!(content == expected(), "{slot}");
    }
}

#[test]
fn a_damaged_byte_of_a_recorded_batch_is_reported() {
    let mut image = DiskImage::read(&fixture("ring.txt"));
    let text = format!("snapshot at batch {}", BATCHES / SNAPSHOT_INTERVAL * SNAPSHOT_INTERVAL).into_bytes();
    let contents = image
        .files
        .values_mut()
        .find(|contents| contents.windows(text.len()).any(|window| window == text))
        .unwrap();
    let offset = contents.windows(text.len()).position(|window| window == text).unwrap();
    contents[offset] ^= 1;
    let folder = folder("damaged");
    image.lay_out(&folder);
    let opened = Ring::open(FileDisk::open(&folder).unwrap(), SMALL);
    assert!(matches!(opened, Err(StorageError::Corrupt { .. })));
}

#[test]
fn the_current_code_rewrites_the_recorded_ring_as_recorded() {
    let folder = lay_out("ring.txt", "rewritten");
    let (mut ring, content) = open(&folder, SMALL);
    ring.snapshot(&[content.snapshot, content.records].concat()).unwrap();
    ring.append(&batch(BATCHES + 1)).unwrap();
    drop(ring);
    DiskImage::of_folder(&folder).compare(&fixture("ring_rewritten.txt"));
}
