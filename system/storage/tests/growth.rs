//! Growth of the files of a ring ahead of its log. Lost file length is reported, and is distinguished from space that was never reserved.

mod common;

use common::{open, record, reported_damage, Model, GROWING, MEDIUM, SMALL};
use gingerledge_storage::{Disk, Ring, RingSettings, SimulatedDisk, StorageError};
use yare::parameterized;

/// Length of the header of a file, in bytes.
const FILE_HEADER: u64 = 4096;
/// Length of a sector, in bytes.
const SECTOR: u64 = 512;
/// Number of files of the small ring.
const RING_FILES: usize = 4;

/// The lengths of all files in bytes, in the order of their names.
fn lengths(disk: &SimulatedDisk) -> Vec<u64> {
    let mut files = disk.clone().list().unwrap();
    files.sort_by(|left, right| left.name.cmp(&right.name));
    files.into_iter().map(|file| file.length).collect()
}

/// Appends batches of three sectors until the log is about this many bytes long.
fn fill(ring: &mut Ring<SimulatedDisk>, bytes: u64) -> Model {
    let mut model = Model::default();
    for number in 0..bytes / (3 * SECTOR) {
        let records = [record(number, 1_200)];
        ring.append(&records).unwrap();
        model = model.with_appended(&records);
    }
    model
}

#[test]
fn a_new_ring_takes_one_extent_and_the_headers_of_its_files() {
    let disk = SimulatedDisk::new();
    open(disk.clone(), GROWING);
    let extent = GROWING.extent_bytes;
    assert_eq!(lengths(&disk), [FILE_HEADER + extent, FILE_HEADER, FILE_HEADER, FILE_HEADER]);
}

#[test]
fn a_ring_of_one_extent_gets_its_full_length_when_created() {
    let disk = SimulatedDisk::new();
    open(disk.clone(), RingSettings { extent_bytes: SMALL.file_bytes * 4, ..SMALL });
    assert_eq!(lengths(&disk), [SMALL.file_bytes; RING_FILES]);
}

#[test]
fn one_to_two_extents_are_reserved_ahead_of_the_log() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    let capacity = (SMALL.file_bytes - FILE_HEADER) * RING_FILES as u64;
    let mut log_bytes = 0;
    while ring.append(&[record(log_bytes, 1_200)]).is_ok() {
        log_bytes += 3 * SECTOR;
        let reserved = lengths(&disk).iter().map(|length| length - FILE_HEADER).sum::<u64>();
        let expected = (log_bytes + GROWING.extent_bytes).min(capacity)
            ..=(log_bytes + 2 * GROWING.extent_bytes).min(capacity);
        assert!(expected.contains(&reserved), "{reserved} bytes are reserved for a log of {log_bytes} bytes");
    }
}

#[test]
fn a_growth_is_durable_before_the_batch_that_needs_it() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    let model = fill(&mut ring, 5 * GROWING.extent_bytes);
    for seed in 0..40 {
        disk.power_loss(seed);
        assert_eq!(open(disk.clone(), GROWING).1.numbers(), model.numbers(), "seed {seed}");
    }
}

#[test]
fn after_a_pass_all_files_have_their_full_length() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    for number in 0..400 {
        if ring.needs_snapshot() {
            ring.snapshot(&[record(number, 1_200)]).unwrap();
        }
        ring.append(&[record(number, 1_200)]).unwrap();
    }
    assert_eq!(lengths(&disk), [SMALL.file_bytes; RING_FILES]);
    open(disk, GROWING);
}

#[test]
fn a_preallocated_ring_opened_with_growth_keeps_its_full_length() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    let (mut ring, found) = open(disk.clone(), GROWING);
    assert_eq!(found.numbers().1, [1]);
    ring.append(&[record(2, 100)]).unwrap();
    assert_eq!(lengths(&disk), [SMALL.file_bytes; RING_FILES]);
    assert_eq!(open(disk, SMALL).1.numbers().1, [1, 2]);
}

#[test]
fn a_growing_ring_can_be_opened_with_settings_without_growth() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    ring.append(&[record(1, 100)]).unwrap();
    let (mut ring, found) = open(disk.clone(), SMALL);
    assert_eq!(found.numbers().1, [1]);
    ring.append(&[record(2, 100)]).unwrap();
    assert_eq!(open(disk, GROWING).1.numbers().1, [1, 2]);
}

/// When the disk is full, appends succeed until the reserved space is used. Once the disk has space again, a snapshot makes the ring
/// accept records again.
#[test]
fn a_full_disk_is_used_to_the_end_of_its_reserved_space() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    ring.append(&[record(0, 1_200)]).unwrap();
    disk.fail_growth(true);
    let mut log_bytes = 3 * SECTOR;
    let error = loop {
        match ring.append(&[record(log_bytes, 1_200)]) {
            Ok(()) => log_bytes += 3 * SECTOR,
            Err(error) => break error,
        }
    };
    assert!(matches!(error, StorageError::Io { .. }), "{error}");
    assert!(log_bytes + 3 * SECTOR >= 2 * GROWING.extent_bytes, "{log_bytes} bytes were accepted");
    assert!(matches!(ring.snapshot(&[record(1, 1_200)]), Err(StorageError::Io { .. })));
    disk.fail_growth(false);
    ring.snapshot(&[record(2, 1_200)]).unwrap();
    ring.append(&[record(3, 1_200)]).unwrap();
    disk.power_loss(0);
    assert_eq!(open(disk, GROWING).1.numbers(), (vec![2], vec![3]));
}

/// The process ends between a growth and its sync. The next process finds the greater length in the page cache and relies on it.
#[test]
fn an_unsynced_growth_found_after_a_kill_is_made_durable() {
    for seed in 0..60 {
        let disk = SimulatedDisk::new();
        let (mut ring, _) = open(disk.clone(), GROWING);
        // The next append has to reserve an extent: setting the length succeeds, and its sync fails.
        disk.fail_after(1);
        ring.append(&[record(1, 1_200)]).unwrap_err();
        disk.restart();
        let (mut ring, _) = open(disk.clone(), GROWING);
        ring.append(&[record(2, 1_200)]).unwrap();
        disk.power_loss(seed);
        assert_eq!(open(disk, GROWING).1.numbers().1, [2], "seed {seed}");
    }
}

/// Truncates each file at each sector: either the damage is reported, or all acknowledged records are recovered.
#[parameterized(
    within_the_first_file = { 2 * 8 * 1024 },
    across_two_files = { 5 * 8 * 1024 },
)]
fn no_lost_length_hides_a_record(log_bytes: u64) {
    let mut reported_count = 0;
    for file in 0..RING_FILES {
        for length in (0..SMALL.file_bytes).step_by(SECTOR as usize) {
            let mut disk = SimulatedDisk::new();
            let (mut ring, _) = open(disk.clone(), GROWING);
            let model = fill(&mut ring, log_bytes);
            if length >= lengths(&disk)[file] {
                continue;
            }
            disk.create(&format!("ring-{file:03}"), length).unwrap();
            match Ring::open(disk, GROWING) {
                Err(StorageError::Corrupt { .. }) => reported_count += 1,
                Err(error) => panic!("file {file}, length {length}: {error}"),
                Ok((_, found)) => assert_eq!(Model::from(found), model, "file {file}, length {length}"),
            }
        }
    }
    assert!(reported_count > 0);
}

#[test]
fn a_file_whose_length_is_not_a_multiple_of_the_sector_is_reported() {
    let mut disk = SimulatedDisk::new();
    open(disk.clone(), GROWING);
    disk.create("ring-000", FILE_HEADER + 700).unwrap();
    assert_eq!(reported_damage(disk, GROWING), Some(("ring-000".to_owned(), FILE_HEADER + 700)));
}

#[test]
fn a_gap_between_grown_files_is_reported() {
    let mut disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    fill(&mut ring, 4 * GROWING.extent_bytes);
    disk.create("ring-000", FILE_HEADER + 8 * SECTOR).unwrap();
    assert_eq!(reported_damage(disk, GROWING), Some(("ring-000".to_owned(), FILE_HEADER + 8 * SECTOR)));
}

/// After its first pass, a ring reports a truncated file, regardless of the settings with which it is opened.
#[test]
fn a_truncated_file_of_a_complete_ring_in_a_later_pass_is_reported() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), MEDIUM);
    for number in 0..40 {
        if ring.needs_snapshot() {
            ring.snapshot(&[record(number, 1_200)]).unwrap();
        }
        ring.append(&[record(number, 40_000)]).unwrap();
    }
    let mut truncated = disk;
    truncated.create("ring-002", MEDIUM.file_bytes - 4 * SECTOR).unwrap();
    assert!(reported_damage(truncated, MEDIUM).is_some());
}
