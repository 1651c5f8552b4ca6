//! Power losses and kills at any step: the ring recovers all acknowledged records, and besides them at most the interrupted operation.

mod common;

use common::{open, record, Model, GROWING, GROWING_MEDIUM, MEDIUM, SMALL};
use gingerledge_storage::{Disk, Ring, RingSettings, SimulatedDisk, StorageError};
use yare::parameterized;

/// A ring for batches that take two writes, of which a power loss may keep only the second one.
const LARGE: RingSettings =
    RingSettings { files: 3, file_bytes: 512 * 1024, extent_bytes: RingSettings::PREALLOCATE_ALL };
/// Length of a record whose batch fills exactly four frames, which are written at once.
const ONE_WRITE_BYTES: usize = 4 * (65_536 - 64) - 4;
/// Length of a record whose batch takes two writes.
const TWO_WRITES_BYTES: usize = ONE_WRITE_BYTES + 100_000;

/// A disk and the possible contents of its ring: the acknowledged content, and the content with the interrupted operation.
struct CrashSimulation {
    seed: u64,
    rng: fastrand::Rng,
    disk: SimulatedDisk,
    settings: RingSettings,
    max_record_bytes: usize,
    next_record: u64,
    /// Whether the ring was opened successfully before, so that it must be found again.
    was_created: bool,
    possible: Vec<Model>,
}

impl CrashSimulation {
    fn new(seed: u64, settings: RingSettings, max_record_bytes: usize) -> Self {
        Self {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            disk: SimulatedDisk::new(),
            settings,
            max_record_bytes,
            next_record: 1,
            was_created: false,
            possible: vec![Model::default()],
        }
    }

    /// Opens the ring and checks that its content is a possible one. Content that was recovered once must be recovered again.
    fn open(&mut self) -> Result<Ring<SimulatedDisk>, StorageError> {
        let (ring, recovered) = Ring::open(self.disk.clone(), self.settings)?;
        assert!(!(self.was_created && recovered.is_new), "seed {}: the ring is missing", self.seed);
        self.was_created = true;
        let found = Model::from(recovered);
        assert!(
            self.possible.contains(&found),
            "seed {}: found {:?}, expected one of {:?}",
            self.seed,
            found.numbers(),
            self.possible.iter().map(Model::numbers).collect::<Vec<_>>()
        );
        self.possible = vec![found];
        Ok(ring)
    }

    fn records(&mut self) -> Vec<Vec<u8>> {
        (0..self.rng.usize(1..4))
            .map(|_| {
                self.next_record += 1;
                let max_record_bytes = if self.rng.u8(0..4) == 0 { self.max_record_bytes } else { 600 };
                record(self.next_record, self.rng.usize(8..max_record_bytes))
            })
            .collect()
    }

    /// Appends records and takes snapshots until the power fails, for at most this many operations.
    fn run_operations(
        &mut self,
        ring: &mut Ring<SimulatedDisk>,
        operations: usize,
    ) -> Result<(), StorageError> {
        for _ in 0..operations {
            let before = self.possible[0].clone();
            let records = self.records();
            let snapshot = ring.needs_snapshot() || self.rng.u8(0..12) == 0;
            let after =
                if snapshot { Model::with_snapshot(&records) } else { before.with_appended(&records) };
            self.possible = vec![before.clone(), after.clone()];
            let result = if snapshot { ring.snapshot(&records) } else { ring.append(&records) };
            match result {
                Ok(()) => self.possible = vec![after],
                Err(StorageError::OutOfSpace { .. }) => self.possible = vec![before],
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn open_and_run(&mut self, operations: usize) -> Result<(), StorageError> {
        let mut ring = self.open()?;
        self.run_operations(&mut ring, operations)
    }

    /// Simulates a kill of the process or a power loss, chosen at random.
    fn crash(&mut self) {
        if self.rng.u8(0..3) == 0 {
            self.disk.restart();
        } else {
            self.disk.power_loss(self.rng.u64(..));
        }
    }

    /// Opens the ring; panics on an error.
    fn must_open(&mut self) -> Ring<SimulatedDisk> {
        let seed = self.seed;
        self.open().unwrap_or_else(|error| panic!("seed {seed}: {error}"))
    }
}

/// Checks that an operation succeeded or failed with an I/O error, as after a simulated power loss.
fn assert_ok_or_io_error(result: Result<(), StorageError>, seed: u64) {
    match result {
        Ok(()) | Err(StorageError::Io { .. }) => {}
        Err(error) => panic!("seed {seed}: {error}"),
    }
}

#[parameterized(
    one_frame = { SMALL, 3_000, 1_500 },
    several_frames = { MEDIUM, 80_000, 300 },
    several_writes = { LARGE, 180_000, 100 },
    growing = { GROWING, 3_000, 1_500 },
    growing_by_less_than_a_batch = { GROWING_MEDIUM, 80_000, 300 },
)]
fn acknowledged_records_survive_repeated_losses_of_power(
    settings: RingSettings,
    max_record_bytes: usize,
    seeds: u64,
) {
    for seed in 0..seeds {
        let mut simulation = CrashSimulation::new(seed, settings, max_record_bytes);
        for _ in 0..8 {
            let steps = if simulation.rng.bool() { 8 } else { 60 };
            simulation.disk.fail_after(simulation.rng.u64(0..steps));
            let result = simulation.open_and_run(40);
            assert_ok_or_io_error(result, seed);
            simulation.crash();
        }
        simulation.must_open();
    }
}

/// A run that includes a snapshot is interrupted at each of its operations in turn, each with several outcomes of the power loss.
/// Records are then appended, and the power fails again: remains of the first loss must not be recovered.
#[parameterized(
    one_frame = { SMALL, 3_000 },
    several_frames = { MEDIUM, 90_000 },
    growing = { GROWING, 3_000 },
    growing_by_less_than_a_batch = { GROWING_MEDIUM, 90_000 },
)]
fn a_loss_of_power_at_each_step_loses_no_acknowledged_record(
    settings: RingSettings,
    max_record_bytes: usize,
) {
    let new_simulation = |seed| CrashSimulation::new(seed, settings, max_record_bytes);
    let mut uninterrupted = new_simulation(1);
    uninterrupted.open_and_run(30).unwrap();
    for step in 0..uninterrupted.disk.operations() {
        for outcome in 0..12 {
            let mut simulation = new_simulation(1);
            simulation.disk.fail_after(step);
            assert_ok_or_io_error(simulation.open_and_run(30), step);
            simulation.disk.power_loss(outcome);
            let mut ring = simulation.must_open();
            simulation.rng.seed(step * 100 + outcome);
            simulation.run_operations(&mut ring, 2).unwrap();
            simulation.disk.power_loss(outcome + 1);
            simulation.must_open();
        }
    }
}

#[parameterized(preallocated = { MEDIUM }, growing = { GROWING_MEDIUM })]
fn a_loss_of_power_at_each_step_of_a_recovery_loses_no_record(settings: RingSettings) {
    for seed in 0..60 {
        let mut simulation = CrashSimulation::new(seed, settings, 60_000);
        simulation.disk.fail_after(20 + seed);
        assert_ok_or_io_error(simulation.open_and_run(40), seed);
        for step in 0..8 {
            simulation.disk.power_loss(seed + step);
            simulation.disk.fail_after(step);
            assert_ok_or_io_error(simulation.open().map(|_| ()), seed);
        }
        simulation.disk.power_loss(seed);
        simulation.must_open();
    }
}

/// Whether the start of each of the two writes of a batch at this position is present in the first file.
fn surviving_writes(disk: &SimulatedDisk, position: usize) -> (bool, bool) {
    let file = disk.contents("ring-000").unwrap();
    let is_present = |offset: usize| file[offset..offset + 8].iter().any(|byte| *byte != 0);
    let first = 4_096 + position;
    (is_present(first), is_present(first + 4 * 65_536))
}

/// A disk on which the power failed during an append, after another record was appended.
fn interrupted_append(attempt: &[u8], seed: u64) -> SimulatedDisk {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), LARGE);
    ring.append(&[record(1, 100)]).unwrap();
    disk.fail_after(2);
    ring.append(&[attempt.to_vec()]).unwrap_err();
    disk.power_loss(seed);
    disk
}

/// Two unfinished batches have the same position and length: the remains of the first must not complete the second.
#[parameterized(
    with_both_superblocks = { false },
    with_the_newest_superblock_damaged = { true },
)]
fn unfinished_batches_are_not_mixed(damages_superblock: bool) {
    let attempts = [record(2, TWO_WRITES_BYTES), record(3, TWO_WRITES_BYTES)];
    let only_second_is_present =
        |loss: &u64| surviving_writes(&interrupted_append(&attempts[0], *loss), 512) == (false, true);
    let first_losses: Vec<u64> = (0..60).filter(only_second_is_present).collect();
    assert!(!first_losses.is_empty());
    for (first_loss, second_loss) in
        first_losses.iter().flat_map(|first| (0..40).map(move |second| (first, second)))
    {
        let disk = interrupted_append(&attempts[0], *first_loss);
        if damages_superblock {
            // The creation wrote the superblocks of generations 0 and 1; the newer one is in the second file.
            disk.flip_bit("ring-001", 20, 1);
        }
        let (mut ring, found) = open(disk.clone(), LARGE);
        assert_eq!(found.numbers().1, [1]);
        disk.fail_after(2);
        ring.append(&attempts[1..]).unwrap_err();
        disk.power_loss(second_loss);
        let found = open(disk, LARGE).1;
        let is_intact = found.records.iter().skip(1).all(|record| *record == attempts[1]);
        assert!(is_intact, "losses {first_loss}, {second_loss}: {:?}", found.numbers());
    }
}

/// A ring with a number of appends, a snapshot, and another snapshot of two writes whose sync fails. The number of operations before
/// the failed sync determines which of its writes are on the disk.
fn failed_snapshot(appends: u64, attempt: &[u8]) -> (SimulatedDisk, Ring<SimulatedDisk>) {
    let disk = SimulatedDisk::new();
    let (mut ring, _) = open(disk.clone(), LARGE);
    for number in 0..appends {
        ring.append(&[record(100 + number, 8)]).unwrap();
    }
    ring.snapshot(&[record(1, 100)]).unwrap();
    disk.fail_syncs(true);
    ring.snapshot(&[attempt.to_vec()]).unwrap_err();
    disk.fail_syncs(false);
    (disk, ring)
}

/// Within one process, a snapshot fails, and the power fails during the next one: the remains of the first must not complete the
/// second.
#[test]
fn a_snapshot_is_not_mixed_with_a_failed_one() {
    let attempts = [record(2, TWO_WRITES_BYTES), record(3, TWO_WRITES_BYTES)];
    let position = |appends: u64| (appends as usize + 1) * 512;
    let only_second_is_present = |appends: &u64| {
        let (disk, _) = failed_snapshot(*appends, &attempts[0]);
        disk.power_loss(0);
        surviving_writes(&disk, position(*appends)) == (false, true)
    };
    let append_counts: Vec<u64> = (0..60).filter(only_second_is_present).collect();
    assert!(!append_counts.is_empty());
    for (appends, loss) in append_counts.iter().flat_map(|appends| (0..40).map(move |loss| (appends, loss))) {
        let (disk, mut ring) = failed_snapshot(*appends, &attempts[0]);
        disk.fail_after(4);
        ring.snapshot(&attempts[1..]).unwrap_err();
        disk.power_loss(loss);
        let found = open(disk, LARGE).1;
        let is_intact = found.snapshot == [record(1, 100)] || found.snapshot == attempts[1..];
        assert!(is_intact, "{appends} appends, loss {loss}: {:?}", found.numbers());
    }
}

/// The second write of an unfinished batch remains on the disk. The next batch ends just before it, so that a frame of the unfinished
/// batch is at the position of the batch after that.
#[test]
fn remains_of_a_longer_batch_are_not_mistaken_for_the_next() {
    for loss in 0..40 {
        let disk = SimulatedDisk::new();
        let (mut ring, _) = open(disk.clone(), LARGE);
        disk.fail_after(2);
        ring.append(&[record(1, TWO_WRITES_BYTES)]).unwrap_err();
        disk.power_loss(loss);
        let (mut ring, found) = open(disk.clone(), LARGE);
        if !found.records.is_empty() {
            continue;
        }
        ring.append(&[record(2, ONE_WRITE_BYTES)]).unwrap();
        assert_eq!(open(disk.clone(), LARGE).1.numbers().1, [2], "loss {loss}");
        ring.append(&[record(3, 100)]).unwrap();
        assert_eq!(open(disk, LARGE).1.numbers().1, [2, 3], "loss {loss}");
    }
}

/// A batch that was written and not synced is recovered after a kill, so it must be durable from then on.
#[test]
fn records_recovered_after_a_kill_are_durable() {
    for seed in 0..200 {
        let disk = SimulatedDisk::new();
        let (mut ring, _) = open(disk.clone(), SMALL);
        ring.append(&[record(1, 50)]).unwrap();
        disk.fail_after(1);
        ring.append(&[record(2, 3_000)]).unwrap_err();
        disk.restart();
        let (_, found) = open(disk.clone(), SMALL);
        assert_eq!(found.numbers().1, [1, 2]);
        disk.power_loss(seed);
        assert_eq!(open(disk, SMALL).1.numbers().1, [1, 2], "seed {seed}");
    }
}

/// An interrupted creation leaves any number of files of any length, whose names are not synced.
#[test]
fn an_interrupted_creation_is_repeated() {
    for seed in 0..200 {
        let disk = SimulatedDisk::new();
        let mut simulation = CrashSimulation::new(seed, SMALL, 1_000);
        simulation.disk = disk.clone();
        disk.fail_after(seed % 16);
        assert_ok_or_io_error(simulation.open().map(|_| ()), seed);
        disk.power_loss(seed / 16);
        let mut ring = simulation.must_open();
        simulation.run_operations(&mut ring, 3).unwrap();
        disk.power_loss(0);
        simulation.must_open();
    }
}

#[test]
fn files_of_an_interrupted_creation_are_removed() {
    let mut disk = SimulatedDisk::new();
    disk.fail_after(17);
    let more_files = RingSettings { files: 12, ..SMALL };
    Ring::open(disk.clone(), more_files).map(|_| ()).unwrap_err();
    disk.restart();
    let (_, recovered) = Ring::open(disk.clone(), SMALL).unwrap();
    assert!(recovered.is_new);
    assert_eq!(disk.list().unwrap().len(), SMALL.files);
}

#[test]
fn the_simulated_disk_loses_unsynced_changes() {
    let outcomes: Vec<Option<Vec<u8>>> = (0..400)
        .map(|seed| {
            let mut disk = SimulatedDisk::new();
            disk.create("old", 2_000).unwrap();
            disk.sync_file("old").unwrap();
            disk.sync_folder().unwrap();
            disk.write_at("old", 0, &[1; 2_000]).unwrap();
            disk.create("new", 10).unwrap();
            disk.power_loss(seed);
            assert!(disk.contents("old").is_some_and(|bytes| bytes.len() == 2_000));
            if disk.contents("new").is_some() {
                disk.contents("old")
            } else {
                None
            }
        })
        .collect();
    let is_torn = |bytes: &Vec<u8>| bytes.contains(&0) && bytes.contains(&1);
    let contents = outcomes.iter().flatten();
    assert!(outcomes.contains(&None), "a name was lost");
    assert!(contents.clone().any(|bytes| *bytes == [1; 2_000]), "a write was kept");
    assert!(contents.clone().any(|bytes| *bytes == [0; 2_000]), "a write was lost");
    assert!(contents.clone().any(is_torn), "a write was torn");
}
