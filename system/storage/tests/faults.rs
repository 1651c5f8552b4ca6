//! I/O errors: the ring reports them, rejects appends that would leave a gap in the log, and recovers with a snapshot.

mod common;

use common::{open, record, Model, GROWING_MEDIUM, MEDIUM, SMALL};
use gingerledge_storage::{Ring, RingSettings, SimulatedDisk, StorageError};
use yare::parameterized;

/// Switches a fault of the disk on or off.
type Fault = fn(&SimulatedDisk, bool);

const WRITE_ERRORS: Fault = SimulatedDisk::fail_writes;
const SYNC_ERRORS: Fault = SimulatedDisk::fail_syncs;
const NO_SPACE: Fault = SimulatedDisk::set_full;

#[parameterized(write_errors = { WRITE_ERRORS }, sync_errors = { SYNC_ERRORS }, no_space = { NO_SPACE })]
fn after_a_failed_write_only_a_snapshot_is_accepted(fault: Fault) {
    for seed in 0..50 {
        let disk = SimulatedDisk::new();
        let (mut ring, _) = open(disk.clone(), SMALL);
        ring.append(&[record(1, 100)]).unwrap();
        fault(&disk, true);
        assert!(matches!(ring.append(&[record(2, 3_000)]), Err(StorageError::Io { .. })));
        fault(&disk, false);
        assert!(matches!(ring.append(&[record(3, 100)]), Err(StorageError::SnapshotRequired)));
        assert!(ring.needs_snapshot());
        ring.snapshot(&[record(4, 100)]).unwrap();
        ring.append(&[record(5, 100)]).unwrap();
        disk.power_loss(seed);
        assert_eq!(open(disk, SMALL).1.numbers(), (vec![4], vec![5]), "seed {seed}");
    }
}

#[parameterized(write_errors = { WRITE_ERRORS }, sync_errors = { SYNC_ERRORS }, no_space = { NO_SPACE })]
fn a_failed_snapshot_keeps_the_previous_one(fault: Fault) {
    for seed in 0..50 {
        let disk = SimulatedDisk::new();
        let (mut ring, _) = open(disk.clone(), MEDIUM);
        ring.snapshot(&[record(1, 100_000)]).unwrap();
        ring.append(&[record(2, 100)]).unwrap();
        fault(&disk, true);
        assert!(matches!(ring.snapshot(&[record(3, 100_000)]), Err(StorageError::Io { .. })));
        assert!(matches!(ring.snapshot(&[record(4, 100_000)]), Err(StorageError::Io { .. })));
        fault(&disk, false);
        disk.power_loss(seed);
        let found = open(disk, MEDIUM).1.numbers();
        let possible = [(vec![1], vec![2]), (vec![3], vec![])];
        assert!(possible.contains(&found), "seed {seed}: {found:?}");
    }
}

/// The snapshot itself is written, but not the superblock that makes it the start of the log.
#[test]
fn a_snapshot_whose_superblock_is_not_written_fails() {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    disk.fail_after(2);
    assert!(matches!(ring.snapshot(&[record(2, 100)]), Err(StorageError::Io { .. })));
    disk.restart();
    assert!(matches!(ring.append(&[record(3, 100)]), Err(StorageError::SnapshotRequired)));
    assert!(ring.needs_snapshot());
    ring.snapshot(&[record(4, 100)]).unwrap();
    ring.append(&[record(5, 100)]).unwrap();
    disk.power_loss(0);
    assert_eq!(open(disk, SMALL).1.numbers(), (vec![4], vec![5]));
}

/// The sync of a batch fails, the process ends, and the next process reads the batch from the page cache. Since it recovers the
/// batch, it has to write it again: a later sync does not cover pages of a failed sync.
#[test]
fn records_recovered_after_a_failed_sync_are_durable() {
    for seed in 0..100 {
        let disk = SimulatedDisk::new();
        let (mut ring, _) = open(disk.clone(), SMALL);
        ring.append(&[record(1, 100)]).unwrap();
        disk.fail_syncs(true);
        ring.append(&[record(2, 3_000)]).unwrap_err();
        disk.fail_syncs(false);
        let (mut ring, found) = open(disk.clone(), SMALL);
        assert_eq!(found.numbers().1, [1, 2]);
        ring.append(&[record(3, 100)]).unwrap();
        disk.power_loss(seed);
        assert_eq!(open(disk, SMALL).1.numbers().1, [1, 2, 3], "seed {seed}");
    }
}

/// Superblocks whose syncs fail in repeated openings must not make the ring unreadable or lose records.
#[test]
fn failed_openings_lose_no_record() {
    for seed in 0..200 {
        let disk = SimulatedDisk::new();
        let (mut ring, _) = open(disk.clone(), SMALL);
        ring.snapshot(&[record(1, 100)]).unwrap();
        ring.append(&[record(2, 100)]).unwrap();
        for _ in 0..3 {
            disk.fail_syncs(true);
            assert!(Ring::open(disk.clone(), SMALL).is_err());
            disk.fail_syncs(false);
            disk.fail_after(3 + seed % 3);
            let opened = Ring::open(disk.clone(), SMALL);
            drop(opened);
            disk.restart();
        }
        disk.power_loss(seed);
        assert_eq!(open(disk, SMALL).1.numbers(), (vec![1], vec![2]), "seed {seed}");
    }
}

/// Acknowledged records are recovered after random faults, snapshots that recover from them, and power losses.
#[parameterized(preallocated = { MEDIUM }, growing = { GROWING_MEDIUM })]
fn acknowledged_records_survive_repeated_faults_and_losses_of_power(settings: RingSettings) {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let disk = SimulatedDisk::new();
        let mut possible = vec![Model::default()];
        let mut number = 0;
        for _ in 0..6 {
            let (mut ring, found) = open(disk.clone(), settings);
            assert!(possible.contains(&found), "seed {seed}: {:?}", found.numbers());
            let mut model = found;
            possible = vec![model.clone()];
            for _ in 0..15 {
                number += 1;
                let fault = [WRITE_ERRORS, SYNC_ERRORS, NO_SPACE][rng.usize(0..3)];
                let max_record_bytes = if rng.bool() { 300 } else { 70_000 };
                let records = [record(number, rng.usize(8..max_record_bytes))];
                let snapshot = ring.needs_snapshot();
                let after =
                    if snapshot { Model::with_snapshot(&records) } else { model.with_appended(&records) };
                fault(&disk, rng.u8(0..5) == 0);
                let result = if snapshot { ring.snapshot(&records) } else { ring.append(&records) };
                fault(&disk, false);
                match result {
                    Ok(()) => {
                        model = after;
                        possible = vec![model.clone()];
                    }
                    Err(StorageError::Io { .. }) => possible.push(after),
                    Err(StorageError::OutOfSpace { .. }) => {}
                    Err(error) => panic!("seed {seed}: {error}"),
                }
            }
            disk.power_loss(rng.u64(..));
        }
    }
}
