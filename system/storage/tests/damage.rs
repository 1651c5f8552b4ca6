//! Damage to synced bytes is reported, and is distinguished from an unfinished write.

mod common;

use common::{open, record, reported_damage, Model, MEDIUM, SMALL};
use gingerledge_storage::{Disk, Ring, SimulatedDisk};
use yare::parameterized;

/// Length of the header of a file, in bytes.
const FILE_HEADER: u64 = 4096;
/// Length of a sector, and of a batch with one short record, in bytes.
const SECTOR: u64 = 512;

/// A disk with a batch for each of these records. The ring is dropped without a further operation.
fn disk_with(records: &[Vec<u8>]) -> SimulatedDisk {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), MEDIUM);
    for record in records {
        ring.append(std::slice::from_ref(record)).unwrap();
    }
    disk
}

#[parameterized(
    magic = { 0 },
    header_checksum = { 4 },
    epoch = { 8 },
    position = { 16 },
    batch_number = { 24 },
    batch_start = { 32 },
    batch_end = { 40 },
    body_length = { 48 },
    body_checksum = { 52 },
    kind = { 56 },
    length_of_content = { 64 },
    content = { 100 },
)]
fn a_damaged_batch_before_another_is_reported(byte: u64) {
    for bit in 0..8 {
        let disk = disk_with(&[record(1, 100), record(2, 100), record(3, 100)]);
        disk.flip_bit("ring-000", FILE_HEADER + SECTOR + byte, bit);
        assert_eq!(reported_damage(disk, MEDIUM), Some(("ring-000".to_owned(), FILE_HEADER + SECTOR)));
    }
}

#[test]
fn a_damaged_last_batch_is_dropped_if_it_may_be_unfinished() {
    let disk = disk_with(&[record(1, 100), record(2, 100)]);
    disk.flip_bit("ring-000", FILE_HEADER + SECTOR + 100, 0);
    assert_eq!(open(disk, MEDIUM).1.numbers().1, [1]);
}

#[test]
fn a_damaged_last_batch_is_reported_if_it_was_found_by_an_earlier_opening() {
    let disk = disk_with(&[record(1, 100), record(2, 100)]);
    open(disk.clone(), MEDIUM);
    disk.flip_bit("ring-000", FILE_HEADER + SECTOR + 100, 0);
    assert_eq!(reported_damage(disk, MEDIUM), Some(("ring-000".to_owned(), FILE_HEADER + SECTOR)));
}

/// Every frame holds the end of its batch, so the batch after a long batch is found also if the first frame is damaged.
#[parameterized(
    first_header = { 0 },
    first_body = { 1_000 },
    second_header = { 65_536 },
    last_body = { 140_000 },
)]
fn a_damaged_frame_of_a_long_batch_is_reported(byte: u64) {
    let disk = disk_with(&[record(1, 150_000), record(2, 100)]);
    disk.flip_bit("ring-000", FILE_HEADER + byte, 3);
    let frame = byte / 65_536 * 65_536;
    assert_eq!(reported_damage(disk, MEDIUM), Some(("ring-000".to_owned(), FILE_HEADER + frame)));
}

/// A record may contain the files of another ring. Frames in a record must not be taken for frames of the log.
#[test]
fn a_ring_inside_a_record_is_not_mistaken_for_the_log() {
    let inner = SimulatedDisk::new();
    let (mut ring, _) = open(inner.clone(), SMALL);
    for number in 0..20 {
        ring.append(&[record(number, 100)]).unwrap();
    }
    // The frame header and the length of the record take 68 bytes, so the inner frames start at sector boundaries as well.
    let mut outer = vec![0; SECTOR as usize - 68];
    outer.extend(inner.contents("ring-000").unwrap());
    let disk = disk_with(&[record(1, 100), outer]);
    disk.flip_bit("ring-000", FILE_HEADER + SECTOR + 100, 0);
    assert_eq!(open(disk, MEDIUM).1.numbers().1, [1]);
}

#[test]
fn a_damaged_snapshot_is_reported() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.snapshot(&[record(1, 1_000)]).unwrap();
    disk.flip_bit("ring-000", FILE_HEADER + 300, 0);
    assert_eq!(reported_damage(disk, SMALL), Some(("ring-000".to_owned(), FILE_HEADER)));
}

/// No damaged bit loses a record without a report or adds a record, except that the last batch may be dropped.
#[test]
fn no_damaged_bit_adds_or_hides_records() {
    let batches = [record(1, 700), record(2, 100), record(3, 900), record(4, 10)];
    let model = Model::default().with_appended(&batches);
    let without_last = Model::default().with_appended(&batches[..3]);
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..3_000 {
        let disk = disk_with(&batches);
        let offset = if random.bool() { random.u64(0..100) } else { FILE_HEADER + random.u64(0..4_096) };
        let (file, bit) = (if random.u8(0..4) == 0 { "ring-001" } else { "ring-000" }, random.u8(0..8));
        disk.flip_bit(file, offset, bit);
        if let Ok((_, recovered)) = Ring::open(disk, MEDIUM) {
            let found = Model::from(recovered);
            assert!(found == model || found == without_last, "{file} {offset} {bit}: {:?}", found.numbers());
        }
    }
}

/// Either superblock suffices: the log after the older one leads to the same content.
#[parameterized(
    first = { "ring-000" },
    second = { "ring-001" },
)]
fn one_damaged_superblock_loses_no_record(file: &str) {
    for batches in 0..4 {
        let disk = SimulatedDisk::new();
        let (mut ring, _) = open(disk.clone(), SMALL);
        ring.append(&[record(1, 100)]).unwrap();
        ring.snapshot(&[record(2, 100)]).unwrap();
        let mut expected = Model::with_snapshot(&[record(2, 100)]);
        for number in 0..batches {
            ring.append(&[record(10 + number, 100)]).unwrap();
            expected = expected.with_appended(&[record(10 + number, 100)]);
        }
        disk.flip_bit(file, 20, 1);
        let (mut ring, found) = open(disk.clone(), SMALL);
        assert_eq!(found, expected);
        ring.append(&[record(50, 100)]).unwrap();
        ring.append(&[record(51, 100)]).unwrap();
        expected = expected.with_appended(&[record(50, 100), record(51, 100)]);
        assert_eq!(open(disk, SMALL).1, expected);
    }
}

/// The log contains a later epoch than the remaining superblock.
#[test]
fn a_damaged_superblock_after_many_openings_loses_no_record() {
    let disk = SimulatedDisk::new();
    let mut expected = Vec::new();
    for number in 1..5 {
        let (mut ring, _) = open(disk.clone(), SMALL);
        ring.append(&[record(number, 100)]).unwrap();
        expected.push(number);
    }
    // After four openings, the newest superblock, of generation 4, is in the first file.
    disk.flip_bit("ring-000", 20, 1);
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(5, 100)]).unwrap();
    expected.push(5);
    assert_eq!(open(disk, SMALL).1.numbers().1, expected);
}

#[test]
fn a_reused_log_is_not_read_from_an_old_superblock() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    let mut snapshots = 0;
    let mut number = 0;
    while snapshots < 6 {
        number += 1;
        ring.append(&[record(number, 2_000)]).unwrap();
        if ring.needs_snapshot() {
            ring.snapshot(&[record(number, 2_000)]).unwrap();
            snapshots += 1;
        }
    }
    while ring.append(&[record(number, 2_000)]).is_ok() {
        number += 1;
    }
    // The creation writes the generations 0 and 1, and each snapshot one more. The newest is 7, in the second file.
    disk.flip_bit("ring-001", 20, 1);
    assert!(reported_damage(disk, SMALL).is_some());
}

#[test]
fn two_damaged_superblocks_are_reported() {
    let disk = disk_with(&[record(1, 100)]);
    disk.flip_bit("ring-000", 20, 1);
    disk.flip_bit("ring-001", 20, 1);
    assert_eq!(reported_damage(disk, MEDIUM), Some(("ring-000".to_owned(), 0)));
}

#[parameterized(
    with_a_superblock = { "ring-001" },
    without_a_superblock = { "ring-002" },
)]
fn a_missing_file_is_reported(file: &str) {
    let mut disk = disk_with(&[record(1, 100)]);
    disk.remove(file).unwrap();
    assert_eq!(reported_damage(disk, MEDIUM), Some((file.to_owned(), 0)));
}

#[test]
fn a_truncated_file_is_reported() {
    let mut disk = disk_with(&[record(1, 100)]);
    disk.create("ring-002", 5_000).unwrap();
    assert_eq!(reported_damage(disk, MEDIUM), Some(("ring-002".to_owned(), 5_000)));
}

#[test]
fn other_files_in_the_folder_are_unchanged() {
    let mut disk = SimulatedDisk::new();
    disk.create("identity", 7).unwrap();
    let (_, recovered) = Ring::open(disk.clone(), SMALL).unwrap();
    assert!(recovered.is_new);
    assert_eq!(disk.contents("identity"), Some(vec![0; 7]));
}
