//! The files of a ring grow ahead of its log; what is missing of their length is told from what was never reserved.

mod common;

use common::{damage, open, record, Model, GROWING, MIDDLE, SMALL};
use gingerledge_storage::{Disk, ForgetfulDisk, Ring, RingSettings, StorageError};
use yare::parameterized;

const FILE_HEADER: u64 = 4096;
const SECTOR: u64 = 512;
const RING_FILES: usize = 4;

fn lengths(disk: &ForgetfulDisk) -> Vec<u64> {
    let mut files = disk.clone().list().unwrap();
    files.sort_by(|left, right| left.name.cmp(&right.name));
    files.into_iter().map(|file| file.length).collect()
}

/// Appends until this many bytes are in use; each batch takes three sectors.
fn fill(ring: &mut Ring<ForgetfulDisk>, bytes: u64) -> Model {
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
    let disk = ForgetfulDisk::new();
    open(disk.clone(), GROWING);
    let extent = GROWING.extent_bytes;
    assert_eq!(lengths(&disk), [FILE_HEADER + extent, FILE_HEADER, FILE_HEADER, FILE_HEADER]);
}

#[test]
fn a_ring_of_one_extent_is_complete_at_once() {
    let disk = ForgetfulDisk::new();
    open(disk.clone(), RingSettings { extent_bytes: SMALL.file_bytes * 4, ..SMALL });
    assert_eq!(lengths(&disk), [SMALL.file_bytes; RING_FILES]);
}

#[test]
fn one_to_two_extents_are_reserved_ahead_of_the_log() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    let capacity = (SMALL.file_bytes - FILE_HEADER) * RING_FILES as u64;
    let mut log = 0;
    while ring.append(&[record(log, 1_200)]).is_ok() {
        log += 3 * SECTOR;
        let reserved = lengths(&disk).iter().map(|length| length - FILE_HEADER).sum::<u64>();
        let ahead =
            (log + GROWING.extent_bytes).min(capacity)..=(log + 2 * GROWING.extent_bytes).min(capacity);
        assert!(ahead.contains(&reserved), "{reserved} bytes are reserved for a log of {log}");
    }
}

#[test]
fn a_growth_is_durable_before_the_batch_that_needs_it() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    let model = fill(&mut ring, 5 * GROWING.extent_bytes);
    for loss in 0..40 {
        disk.power_loss(loss);
        assert_eq!(open(disk.clone(), GROWING).1.numbers(), model.numbers(), "loss {loss}");
    }
}

#[test]
fn after_a_pass_all_files_have_their_length() {
    let disk = ForgetfulDisk::new();
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
fn a_ring_created_whole_is_opened_with_growth_and_stays_whole() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    let (mut ring, found) = open(disk.clone(), GROWING);
    assert_eq!(found.numbers().1, [1]);
    ring.append(&[record(2, 100)]).unwrap();
    assert_eq!(lengths(&disk), [SMALL.file_bytes; RING_FILES]);
    assert_eq!(open(disk, SMALL).1.numbers().1, [1, 2]);
}

#[test]
fn a_ring_that_grows_is_opened_by_settings_without_growth() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    ring.append(&[record(1, 100)]).unwrap();
    let (mut ring, found) = open(disk.clone(), SMALL);
    assert_eq!(found.numbers().1, [1]);
    ring.append(&[record(2, 100)]).unwrap();
    assert_eq!(open(disk, GROWING).1.numbers().1, [1, 2]);
}

/// A full disk takes what was reserved and then refuses; once it has space again, a snapshot heals the ring.
#[test]
fn a_full_disk_is_used_to_the_end_of_its_reserved_space() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    ring.append(&[record(0, 1_200)]).unwrap();
    disk.refuse_growth(true);
    let mut log = 3 * SECTOR;
    let error = loop {
        match ring.append(&[record(log, 1_200)]) {
            Ok(()) => log += 3 * SECTOR,
            Err(error) => break error,
        }
    };
    assert!(matches!(error, StorageError::Io { .. }), "{error}");
    assert!(log + 3 * SECTOR >= 2 * GROWING.extent_bytes, "{log} bytes were taken");
    assert!(matches!(ring.snapshot(&[record(1, 1_200)]), Err(StorageError::Io { .. })));
    disk.refuse_growth(false);
    ring.snapshot(&[record(2, 1_200)]).unwrap();
    ring.append(&[record(3, 1_200)]).unwrap();
    disk.power_loss(0);
    assert_eq!(open(disk, GROWING).1.numbers(), (vec![2], vec![3]));
}

/// The growth was read from memory only: the process ended before the sync, and the next one relies on it.
#[test]
fn an_unsynced_growth_found_after_a_kill_is_made_durable() {
    for seed in 0..60 {
        let disk = ForgetfulDisk::new();
        let (mut ring, _) = open(disk.clone(), GROWING);
        // The next append has to reserve an extent: the power of the first operation lasts, that of its sync does not.
        disk.stop_after(1);
        ring.append(&[record(1, 1_200)]).unwrap_err();
        disk.restart();
        let (mut ring, _) = open(disk.clone(), GROWING);
        ring.append(&[record(2, 1_200)]).unwrap();
        disk.power_loss(seed);
        assert_eq!(open(disk, GROWING).1.numbers().1, [2], "seed {seed}");
    }
}

/// Cuts each file at each sector: either the damage is reported, or nothing that was acknowledged is missing.
#[parameterized(
    within_the_first_file = { 2 * 8 * 1024 },
    over_two_files = { 5 * 8 * 1024 },
)]
fn no_lost_length_hides_a_record(log_bytes: u64) {
    let mut reported = 0;
    for file in 0..RING_FILES {
        for length in (0..SMALL.file_bytes).step_by(SECTOR as usize) {
            let mut disk = ForgetfulDisk::new();
            let (mut ring, _) = open(disk.clone(), GROWING);
            let model = fill(&mut ring, log_bytes);
            if length >= lengths(&disk)[file] {
                continue;
            }
            disk.create(&format!("ring-{file:03}"), length).unwrap();
            match Ring::open(disk, GROWING) {
                Err(StorageError::Corrupt { .. }) => reported += 1,
                Err(error) => panic!("file {file}, length {length}: {error}"),
                Ok((_, found)) => assert_eq!(Model::from(found), model, "file {file}, length {length}"),
            }
        }
    }
    assert!(reported > 0);
}

#[test]
fn a_file_that_is_not_cut_at_a_sector_is_reported() {
    let mut disk = ForgetfulDisk::new();
    open(disk.clone(), GROWING);
    disk.create("ring-000", FILE_HEADER + 700).unwrap();
    assert_eq!(damage(disk, GROWING), Some(("ring-000".to_owned(), FILE_HEADER + 700)));
}

#[test]
fn a_gap_between_grown_files_is_reported() {
    let mut disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), GROWING);
    fill(&mut ring, 4 * GROWING.extent_bytes);
    disk.create("ring-000", FILE_HEADER + 8 * SECTOR).unwrap();
    assert_eq!(damage(disk, GROWING), Some(("ring-000".to_owned(), FILE_HEADER + 8 * SECTOR)));
}

/// Whatever the settings say when it is opened, a ring after its first pass reports a file that is cut.
#[test]
fn a_cut_file_of_a_complete_ring_in_a_later_pass_is_reported() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), MIDDLE);
    for number in 0..40 {
        if ring.needs_snapshot() {
            ring.snapshot(&[record(number, 1_200)]).unwrap();
        }
        ring.append(&[record(number, 40_000)]).unwrap();
    }
    let mut cut = disk;
    cut.create("ring-002", MIDDLE.file_bytes - 4 * SECTOR).unwrap();
    assert!(damage(cut, MIDDLE).is_some());
}
