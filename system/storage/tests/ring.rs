//! A ring without faults: appended records are recovered, snapshots replace them, and files are reused.

mod common;

use common::{open, record, Model, MEDIUM, SMALL};
use gingerledge_storage::{Ring, RingSettings, SimulatedDisk, StorageError};
use yare::parameterized;

#[test]
fn a_ring_is_new_only_when_it_is_first_opened() {
    let disk = SimulatedDisk::new();
    let (_, first) = Ring::open(disk.clone(), SMALL).unwrap();
    assert!(first.is_new);
    let (_, second) = Ring::open(disk, SMALL).unwrap();
    assert!(!second.is_new && second.records.is_empty() && second.snapshot.is_empty());
}

#[test]
fn a_snapshot_replaces_all_earlier_records() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    let snapshot = [record(2, 200), vec![], record(3, 10)];
    ring.snapshot(&snapshot).unwrap();
    ring.append(&[record(4, 1)]).unwrap();
    let (_, found) = open(disk, SMALL);
    assert_eq!(found, Model::with_snapshot(&snapshot).with_appended(&[record(4, 1)]));
}

#[test]
fn an_empty_snapshot_removes_all_records() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    ring.snapshot(&[]).unwrap();
    assert_eq!(open(disk, SMALL).1, Model::default());
}

#[test]
fn files_are_reused_over_many_passes() {
    let disk = SimulatedDisk::new();
    let (mut ring, mut model) = open(disk.clone(), SMALL);
    for number in 0..3000 {
        let next = [record(number, (number as usize * 37) % 2000)];
        ring.append(&next).unwrap();
        model = model.with_appended(&next);
        if ring.needs_snapshot() {
            model = Model::with_snapshot(&model.records[model.records.len() - 5..]);
            ring.snapshot(&model.snapshot).unwrap();
        }
        if number % 100 == 0 {
            let (reopened, found) = open(disk.clone(), SMALL);
            ring = reopened;
            assert_eq!(found.numbers(), model.numbers());
        }
    }
    assert_eq!(open(disk, SMALL).1, model);
}

#[test]
fn a_full_ring_rejects_records_and_still_accepts_a_snapshot() {
    let disk = SimulatedDisk::new();
    let (mut ring, mut model) = open(disk.clone(), SMALL);
    let error = loop {
        let next = [record(model.records.len() as u64, 900)];
        match ring.append(&next) {
            Ok(()) => model = model.with_appended(&next),
            Err(error) => break error,
        }
    };
    assert!(matches!(error, StorageError::OutOfSpace { .. }), "{error}");
    assert!(ring.needs_snapshot());
    let (mut ring, found) = open(disk.clone(), SMALL);
    assert_eq!(found, model);
    ring.snapshot(&[record(7, 10_000)]).unwrap();
    assert!(!ring.needs_snapshot());
    ring.append(&[record(8, 900)]).unwrap();
    assert_eq!(open(disk, SMALL).1.numbers(), (vec![7], vec![8]));
}

#[test]
fn a_snapshot_that_does_not_fit_changes_nothing() {
    let disk = SimulatedDisk::new();
    let (mut ring, mut model) = open(disk.clone(), SMALL);
    let mut number = 0;
    while ring.append(&[record(number, 900)]).is_ok() {
        model = model.with_appended(&[record(number, 900)]);
        number += 1;
    }
    let error = ring.snapshot(&[record(0, 40_000)]).unwrap_err();
    assert!(matches!(error, StorageError::OutOfSpace { .. }), "{error}");
    assert_eq!(open(disk, SMALL).1, model);
}

#[test]
fn the_largest_snapshot_can_always_be_replaced() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    let mut largest = 100_000;
    while ring.snapshot(&[record(1, largest)]).is_err() {
        largest -= 512;
    }
    for round in 0..20 {
        let mut number = 100 * round;
        while !ring.needs_snapshot() {
            number += 1;
            ring.append(&[record(number, 700)]).unwrap();
        }
        ring.snapshot(&[record(round, largest)]).unwrap();
    }
    assert_eq!(open(disk, SMALL).1.numbers(), (vec![19], vec![]));
}

#[test]
fn a_snapshot_is_needed_at_about_half_of_the_ring() {
    let (mut ring, _) = open(SimulatedDisk::new(), SMALL);
    let mut appended = 0;
    while !ring.needs_snapshot() {
        ring.append(&[record(appended, 1024 - 68)]).unwrap();
        appended += 1;
    }
    let capacity = 4 * (32 - 4);
    assert_eq!(appended, capacity / 2);
}

#[parameterized(
    one_frame_exactly = { 65_536 - 64 - 4 },
    one_byte_more = { 65_536 - 64 - 3 },
    prefix_cut_by_a_frame = { 65_536 - 64 - 4 - 2 },
    several_frames = { 180_000 },
    none = { 0 },
)]
fn records_of_any_length_are_recovered(length: usize) {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), MEDIUM);
    let records = [record(1, length), record(2, 5), record(3, 300)];
    ring.append(&records).unwrap();
    ring.append(&[record(4, 4)]).unwrap();
    let expected = Model::default().with_appended(&records).with_appended(&[record(4, 4)]);
    assert_eq!(open(disk, MEDIUM).1, expected);
}

#[test]
fn a_record_of_32_mb_crosses_the_files_of_a_128_mb_ring() {
    let settings =
        RingSettings { files: 16, file_bytes: 8 * 1024 * 1024, extent_bytes: RingSettings::PREALLOCATE_ALL };
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), settings);
    let records = [record(1, 32 * 1024 * 1024), record(2, 10)];
    ring.append(&records).unwrap();
    drop(ring);
    assert!(open(disk, settings).1.records == records);
}

#[test]
fn an_append_is_one_write_and_one_sync() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    let before = disk.operations();
    ring.append(&[record(1, 100), record(2, 20_000)]).unwrap();
    assert_eq!(disk.operations() - before, 2);
}

#[test]
fn recovery_reads_little_more_than_what_was_written() {
    let settings =
        RingSettings { files: 4, file_bytes: 4 * 1024 * 1024, extent_bytes: RingSettings::PREALLOCATE_ALL };
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), settings);
    ring.append(&[record(1, 100_000)]).unwrap();
    ring.append(&[record(2, 100)]).unwrap();
    let before = disk.bytes_read();
    open(disk.clone(), settings);
    let read = disk.bytes_read() - before;
    assert!(read < 700_000, "{read} bytes of 16 MiB");
}

#[test]
fn a_ring_keeps_the_layout_it_was_created_with() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    let (mut ring, found) = open(disk.clone(), MEDIUM);
    assert_eq!(found.numbers().1, [1]);
    ring.append(&[record(2, 100)]).unwrap();
    assert_eq!(open(disk, SMALL).1.numbers().1, [1, 2]);
}

#[parameterized(
    one_file = { RingSettings { files: 1, file_bytes: 1 << 20, extent_bytes: RingSettings::PREALLOCATE_ALL } },
    too_many_files = { RingSettings { files: 1000, file_bytes: 1 << 20, extent_bytes: RingSettings::PREALLOCATE_ALL } },
    files_without_log_space = { RingSettings { files: 4, file_bytes: 4096, extent_bytes: RingSettings::PREALLOCATE_ALL } },
    empty_files = { RingSettings { files: 4, file_bytes: 0, extent_bytes: RingSettings::PREALLOCATE_ALL } },
    too_long_files = { RingSettings { files: 4, file_bytes: u64::MAX, extent_bytes: RingSettings::PREALLOCATE_ALL } },
)]
fn unusable_settings_are_rejected(settings: RingSettings) {
    let error = Ring::open(SimulatedDisk::new(), settings).map(|_| ()).unwrap_err();
    assert!(matches!(error, StorageError::InvalidSettings { .. }), "{error}");
}
