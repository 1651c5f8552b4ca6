//! A ring in ordinary use: what is appended comes back, snapshots replace it, files are reused.

mod common;

use common::{open, record, Model, MIDDLE, SMALL};
use gingerledge_storage::{ForgetfulDisk, Ring, RingSettings, StorageError};
use yare::parameterized;

#[test]
fn a_new_disk_is_empty_and_an_opened_one_is_not() {
    let disk = ForgetfulDisk::new();
    let (_, first) = Ring::open(disk.clone(), SMALL).unwrap();
    assert!(first.empty);
    let (_, second) = Ring::open(disk, SMALL).unwrap();
    assert!(!second.empty && second.records.is_empty() && second.snapshot.is_empty());
}

#[test]
fn a_snapshot_replaces_what_was_before() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    let snapshot = [record(2, 200), vec![], record(3, 10)];
    ring.snapshot(&snapshot).unwrap();
    ring.append(&[record(4, 1)]).unwrap();
    let (_, held) = open(disk, SMALL);
    assert_eq!(held, Model::with_snapshot(&snapshot).with_appended(&[record(4, 1)]));
}

#[test]
fn an_empty_snapshot_removes_all_records() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    ring.snapshot(&[]).unwrap();
    assert_eq!(open(disk, SMALL).1, Model::default());
}

#[test]
fn files_are_reused_over_many_passes() {
    let disk = ForgetfulDisk::new();
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
            let (reopened, held) = open(disk.clone(), SMALL);
            ring = reopened;
            assert_eq!(held.numbers(), model.numbers());
        }
    }
    assert_eq!(open(disk, SMALL).1, model);
}

#[test]
fn a_full_ring_rejects_records_and_still_accepts_a_snapshot() {
    let disk = ForgetfulDisk::new();
    let (mut ring, mut model) = open(disk.clone(), SMALL);
    let error = loop {
        let next = [record(model.records.len() as u64, 900)];
        match ring.append(&next) {
            Ok(()) => model = model.with_appended(&next),
            Err(error) => break error,
        }
    };
    assert!(matches!(error, StorageError::Full { .. }), "{error}");
    assert!(ring.needs_snapshot());
    let (mut ring, held) = open(disk.clone(), SMALL);
    assert_eq!(held, model);
    ring.snapshot(&[record(7, 10_000)]).unwrap();
    assert!(!ring.needs_snapshot());
    ring.append(&[record(8, 900)]).unwrap();
    assert_eq!(open(disk, SMALL).1.numbers(), (vec![7], vec![8]));
}

#[test]
fn a_snapshot_that_does_not_fit_changes_nothing() {
    let disk = ForgetfulDisk::new();
    let (mut ring, mut model) = open(disk.clone(), SMALL);
    let mut number = 0;
    while ring.append(&[record(number, 900)]).is_ok() {
        model = model.with_appended(&[record(number, 900)]);
        number += 1;
    }
    let error = ring.snapshot(&[record(0, 40_000)]).unwrap_err();
    assert!(matches!(error, StorageError::Full { .. }), "{error}");
    assert_eq!(open(disk, SMALL).1, model);
}

#[test]
fn the_largest_snapshot_can_always_be_replaced() {
    let disk = ForgetfulDisk::new();
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
    let (mut ring, _) = open(ForgetfulDisk::new(), SMALL);
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
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), MIDDLE);
    let records = [record(1, length), record(2, 5), record(3, 300)];
    ring.append(&records).unwrap();
    ring.append(&[record(4, 4)]).unwrap();
    let expected = Model::default().with_appended(&records).with_appended(&[record(4, 4)]);
    assert_eq!(open(disk, MIDDLE).1, expected);
}

#[test]
fn a_record_of_32_mb_crosses_the_files_of_a_128_mb_ring() {
    let settings =
        RingSettings { files: 16, file_bytes: 8 * 1024 * 1024, extent_bytes: RingSettings::AT_ONCE };
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), settings);
    let records = [record(1, 32 * 1024 * 1024), record(2, 10)];
    ring.append(&records).unwrap();
    drop(ring);
    assert!(open(disk, settings).1.records == records);
}

#[test]
fn an_append_is_one_write_and_one_sync() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    let before = disk.operations();
    ring.append(&[record(1, 100), record(2, 20_000)]).unwrap();
    assert_eq!(disk.operations() - before, 2);
}

#[test]
fn recovery_reads_little_more_than_what_was_written() {
    let settings =
        RingSettings { files: 4, file_bytes: 4 * 1024 * 1024, extent_bytes: RingSettings::AT_ONCE };
    let disk = ForgetfulDisk::new();
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
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    let (mut ring, held) = open(disk.clone(), MIDDLE);
    assert_eq!(held.numbers().1, [1]);
    ring.append(&[record(2, 100)]).unwrap();
    assert_eq!(open(disk, SMALL).1.numbers().1, [1, 2]);
}

#[parameterized(
    one_file = { RingSettings { files: 1, file_bytes: 1 << 20, extent_bytes: RingSettings::AT_ONCE } },
    too_many_files = { RingSettings { files: 1000, file_bytes: 1 << 20, extent_bytes: RingSettings::AT_ONCE } },
    no_room_in_a_file = { RingSettings { files: 4, file_bytes: 4096, extent_bytes: RingSettings::AT_ONCE } },
    no_bytes = { RingSettings { files: 4, file_bytes: 0, extent_bytes: RingSettings::AT_ONCE } },
    huge = { RingSettings { files: 4, file_bytes: u64::MAX, extent_bytes: RingSettings::AT_ONCE } },
)]
fn unusable_settings_are_rejected(settings: RingSettings) {
    let error = Ring::open(ForgetfulDisk::new(), settings).map(|_| ()).unwrap_err();
    assert!(matches!(error, StorageError::Settings { .. }), "{error}");
}
