//! A ring in ordinary use: what is appended comes back, snapshots replace it, files are reused.

use gingerledge_storage::{FileDisk, ForgetfulDisk, Ring, RingSettings, StorageError};

const SMALL: RingSettings = RingSettings { files: 4, file_bytes: 32 * 1024 };

fn record(number: u64, length: usize) -> Vec<u8> {
    (0..length).map(|at| (number as usize * 31 + at * 7 + at / 251) as u8).collect()
}

#[test]
fn a_new_disk_is_empty_and_an_opened_one_is_not() {
    let disk = ForgetfulDisk::new();
    let (_, first) = Ring::open(disk.clone(), SMALL).unwrap();
    assert!(first.empty);
    let (_, second) = Ring::open(disk, SMALL).unwrap();
    assert!(!second.empty && second.records.is_empty() && second.snapshot.is_empty());
}

#[test]
fn records_come_back_in_order_also_through_files() {
    let folder = std::env::temp_dir().join(format!("gingerledge-storage-{}-order", std::process::id()));
    let records: Vec<_> = (0..40).map(|number| record(number, number as usize * 57)).collect();
    {
        let (mut ring, recovered) = Ring::open(FileDisk::open(&folder).unwrap(), SMALL).unwrap();
        assert!(recovered.empty);
        for batch in records.chunks(3) {
            ring.append(batch).unwrap();
        }
    }
    let (_, recovered) = Ring::open(FileDisk::open(&folder).unwrap(), SMALL).unwrap();
    assert_eq!(recovered.records, records);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_snapshot_replaces_what_was_before() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = Ring::open(disk.clone(), SMALL).unwrap();
    ring.append(&[record(1, 100)]).unwrap();
    ring.snapshot(&[record(2, 200), vec![], record(3, 10)]).unwrap();
    ring.append(&[record(4, 1)]).unwrap();
    let (_, recovered) = Ring::open(disk, SMALL).unwrap();
    assert_eq!(recovered.snapshot, [record(2, 200), vec![], record(3, 10)]);
    assert_eq!(recovered.records, [record(4, 1)]);
}

#[test]
fn files_are_reused_over_many_rounds() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = Ring::open(disk.clone(), SMALL).unwrap();
    let (mut snapshot, mut records) = (Vec::new(), Vec::new());
    for number in 0..3000 {
        let next = record(number, (number as usize * 37) % 2000);
        ring.append(std::slice::from_ref(&next)).unwrap();
        records.push(next);
        if ring.needs_snapshot() {
            snapshot = records.split_off(records.len() - 5);
            records.clear();
            ring.snapshot(&snapshot).unwrap();
        }
        if number % 100 == 0 {
            let recovered;
            (ring, recovered) = Ring::open(disk.clone(), SMALL).unwrap();
            assert_eq!((&recovered.snapshot, &recovered.records), (&snapshot, &records));
        }
    }
}

#[test]
fn a_full_ring_refuses_records_and_still_takes_a_snapshot() {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = Ring::open(disk.clone(), SMALL).unwrap();
    let mut appended = Vec::new();
    let error = loop {
        let next = record(appended.len() as u64, 900);
        match ring.append(std::slice::from_ref(&next)) {
            Ok(()) => appended.push(next),
            Err(error) => break error,
        }
    };
    assert!(matches!(error, StorageError::Full { .. }), "{error}");
    assert!(ring.needs_snapshot());
    let (mut ring, recovered) = Ring::open(disk, SMALL).unwrap();
    assert_eq!(recovered.records, appended);
    ring.snapshot(&[record(7, 10_000)]).unwrap();
    assert!(!ring.needs_snapshot());
    ring.append(&[record(8, 900)]).unwrap();
}
