//! Losses of power and kills at any step: what was acknowledged is there, and nothing else but the last operation.

mod common;

use common::{open, record, Model, GROWING, GROWING_MIDDLE, MIDDLE, SMALL};
use gingerledge_storage::{Disk, ForgetfulDisk, Ring, RingSettings, StorageError};
use yare::parameterized;

/// A ring with batches that take two writes, of which a loss of power can keep the second alone.
const WIDE: RingSettings =
    RingSettings { files: 3, file_bytes: 512 * 1024, extent_bytes: RingSettings::AT_ONCE };
/// Four frames, exactly as much as is written at once, with the header of each and the length of the record.
const ONE_WRITE: usize = 4 * (65_536 - 64) - 4;
const TWO_WRITES: usize = ONE_WRITE + 100_000;

/// A disk, and what may be on it: what was acknowledged, and the same with the operation that was interrupted.
struct CrashSimulation {
    seed: u64,
    rng: fastrand::Rng,
    disk: ForgetfulDisk,
    settings: RingSettings,
    max_record_bytes: usize,
    next_record: u64,
    /// The ring was opened with success before, so it must be found.
    was_created: bool,
    possible: Vec<Model>,
}

impl CrashSimulation {
    fn new(seed: u64, settings: RingSettings, max_record_bytes: usize) -> Self {
        Self {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            disk: ForgetfulDisk::new(),
            settings,
            max_record_bytes,
            next_record: 1,
            was_created: false,
            possible: vec![Model::default()],
        }
    }

    /// Opens the ring and compares what it recovers with what may be there. What was found once must stay.
    fn open(&mut self) -> Result<Ring<ForgetfulDisk>, StorageError> {
        let (ring, recovered) = Ring::open(self.disk.clone(), self.settings)?;
        assert!(!(self.was_created && recovered.empty), "seed {}: the ring is missing", self.seed);
        self.was_created = true;
        let found = Model::from(recovered);
        assert!(
            self.possible.contains(&found),
            "seed {}: {:?} was found, possible are {:?}",
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

    /// Does something until the power goes, or so many times.
    fn work(&mut self, ring: &mut Ring<ForgetfulDisk>, operations: usize) -> Result<(), StorageError> {
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
                Err(StorageError::Full { .. }) => self.possible = vec![before],
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn open_and_work(&mut self, operations: usize) -> Result<(), StorageError> {
        let mut ring = self.open()?;
        self.work(&mut ring, operations)
    }

    /// The power goes, or the process is killed.
    fn end(&mut self) {
        if self.rng.u8(0..3) == 0 {
            self.disk.restart();
        } else {
            self.disk.power_loss(self.rng.u64(..));
        }
    }

    fn must_open(&mut self) -> Ring<ForgetfulDisk> {
        let seed = self.seed;
        self.open().unwrap_or_else(|error| panic!("seed {seed}: {error}"))
    }
}

fn assert_power_is_off(result: Result<(), StorageError>, seed: u64) {
    match result {
        Ok(()) | Err(StorageError::Io { .. }) => {}
        Err(error) => panic!("seed {seed}: {error}"),
    }
}

#[parameterized(
    one_frame = { SMALL, 3_000, 1_500 },
    several_frames = { MIDDLE, 80_000, 300 },
    several_writes = { WIDE, 180_000, 100 },
    growing = { GROWING, 3_000, 1_500 },
    growing_by_less_than_a_batch = { GROWING_MIDDLE, 80_000, 300 },
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
            simulation.disk.stop_after(simulation.rng.u64(0..steps));
            let result = simulation.open_and_work(40);
            assert_power_is_off(result, seed);
            simulation.end();
        }
        simulation.must_open();
    }
}

/// One life with a snapshot in it, cut at each of its steps in turn, with many outcomes of the loss each. Afterwards
/// a record is appended, and the power goes once more: the remains of the first loss must not come back.
#[parameterized(
    one_frame = { SMALL, 3_000 },
    several_frames = { MIDDLE, 90_000 },
    growing = { GROWING, 3_000 },
    growing_by_less_than_a_batch = { GROWING_MIDDLE, 90_000 },
)]
fn a_loss_of_power_at_each_step_loses_no_acknowledged_record(
    settings: RingSettings,
    max_record_bytes: usize,
) {
    let life = |seed| CrashSimulation::new(seed, settings, max_record_bytes);
    let mut whole = life(1);
    whole.open_and_work(30).unwrap();
    for step in 0..whole.disk.operations() {
        for outcome in 0..12 {
            let mut simulation = life(1);
            simulation.disk.stop_after(step);
            assert_power_is_off(simulation.open_and_work(30), step);
            simulation.disk.power_loss(outcome);
            let mut ring = simulation.must_open();
            simulation.rng.seed(step * 100 + outcome);
            simulation.work(&mut ring, 2).unwrap();
            simulation.disk.power_loss(outcome + 1);
            simulation.must_open();
        }
    }
}

#[parameterized(whole = { MIDDLE }, growing = { GROWING_MIDDLE })]
fn a_loss_of_power_at_each_step_of_a_recovery_loses_no_record(settings: RingSettings) {
    for seed in 0..60 {
        let mut simulation = CrashSimulation::new(seed, settings, 60_000);
        simulation.disk.stop_after(20 + seed);
        assert_power_is_off(simulation.open_and_work(40), seed);
        for step in 0..8 {
            simulation.disk.power_loss(seed + step);
            simulation.disk.stop_after(step);
            assert_power_is_off(simulation.open().map(|_| ()), seed);
        }
        simulation.disk.power_loss(seed);
        simulation.must_open();
    }
}

/// Whether each of the two writes of a batch that starts at this position left its beginning in the first file.
fn surviving_writes(disk: &ForgetfulDisk, position: usize) -> (bool, bool) {
    let file = disk.contents("ring-000").unwrap();
    let kept = |offset: usize| file[offset..offset + 8].iter().any(|byte| *byte != 0);
    let first = 4_096 + position;
    (kept(first), kept(first + 4 * 65_536))
}

/// A record is appended, and the power goes before the next batch is synced.
fn interrupted(attempt: &[u8], loss: u64) -> ForgetfulDisk {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), WIDE);
    ring.append(&[record(1, 100)]).unwrap();
    disk.stop_after(2);
    ring.append(&[attempt.to_vec()]).unwrap_err();
    disk.power_loss(loss);
    disk
}

/// Two unfinished batches at the same place, alike in length: what one left behind does not complete the other.
#[parameterized(
    sound = { false },
    with_the_newest_superblock_damaged = { true },
)]
fn unfinished_batches_are_not_mixed(damaged: bool) {
    let attempts = [record(2, TWO_WRITES), record(3, TWO_WRITES)];
    let second_is_left =
        |loss: &u64| surviving_writes(&interrupted(&attempts[0], *loss), 512) == (false, true);
    let first_losses: Vec<u64> = (0..60).filter(second_is_left).collect();
    assert!(!first_losses.is_empty());
    for (first_loss, second_loss) in
        first_losses.iter().flat_map(|first| (0..40).map(move |second| (first, second)))
    {
        let disk = interrupted(&attempts[0], *first_loss);
        if damaged {
            // The creation wrote the superblocks 0 and 1.
            disk.flip_bit("ring-001", 20, 1);
        }
        let (mut ring, found) = open(disk.clone(), WIDE);
        assert_eq!(found.numbers().1, [1]);
        disk.stop_after(2);
        ring.append(&attempts[1..]).unwrap_err();
        disk.power_loss(second_loss);
        let found = open(disk, WIDE).1;
        let whole = found.records.iter().skip(1).all(|record| *record == attempts[1]);
        assert!(whole, "losses {first_loss}, {second_loss}: {:?}", found.numbers());
    }
}

/// A snapshot after so many appends, and another one of two writes whose sync fails. What the failed sync leaves on
/// the disk differs with the number of operations before it.
fn failed_snapshot(appends: u64, attempt: &[u8]) -> (ForgetfulDisk, Ring<ForgetfulDisk>) {
    let disk = ForgetfulDisk::new();
    let (mut ring, _) = open(disk.clone(), WIDE);
    for number in 0..appends {
        ring.append(&[record(100 + number, 8)]).unwrap();
    }
    ring.snapshot(&[record(1, 100)]).unwrap();
    disk.fail_syncs(true);
    ring.snapshot(&[attempt.to_vec()]).unwrap_err();
    disk.fail_syncs(false);
    (disk, ring)
}

/// The same within one process: a snapshot failed, and the power goes in the next one.
#[test]
fn a_snapshot_is_not_mixed_with_a_failed_one() {
    let attempts = [record(2, TWO_WRITES), record(3, TWO_WRITES)];
    let position = |appends: u64| (appends as usize + 1) * 512;
    let second_is_left = |appends: &u64| {
        let (disk, _) = failed_snapshot(*appends, &attempts[0]);
        disk.power_loss(0);
        surviving_writes(&disk, position(*appends)) == (false, true)
    };
    let left: Vec<u64> = (0..60).filter(second_is_left).collect();
    assert!(!left.is_empty());
    for (appends, loss) in left.iter().flat_map(|appends| (0..40).map(move |loss| (appends, loss))) {
        let (disk, mut ring) = failed_snapshot(*appends, &attempts[0]);
        disk.stop_after(4);
        ring.snapshot(&attempts[1..]).unwrap_err();
        disk.power_loss(loss);
        let found = open(disk, WIDE).1;
        let whole = found.snapshot == [record(1, 100)] || found.snapshot == attempts[1..];
        assert!(whole, "{appends} appends, loss {loss}: {:?}", found.numbers());
    }
}

/// The second write of an unfinished batch stays behind. The next batch ends just before it, where a frame of the
/// unfinished one now stands in the place of the next batch.
#[test]
fn remains_of_a_longer_batch_are_not_mistaken_for_the_next() {
    for loss in 0..40 {
        let disk = ForgetfulDisk::new();
        let (mut ring, _) = open(disk.clone(), WIDE);
        disk.stop_after(2);
        ring.append(&[record(1, TWO_WRITES)]).unwrap_err();
        disk.power_loss(loss);
        let (mut ring, found) = open(disk.clone(), WIDE);
        if !found.records.is_empty() {
            continue;
        }
        ring.append(&[record(2, ONE_WRITE)]).unwrap();
        assert_eq!(open(disk.clone(), WIDE).1.numbers().1, [2], "loss {loss}");
        ring.append(&[record(3, 100)]).unwrap();
        assert_eq!(open(disk, WIDE).1.numbers().1, [2, 3], "loss {loss}");
    }
}

/// A batch that was written and not synced is found after a kill. It was given back, so it must last.
#[test]
fn records_recovered_after_a_kill_are_durable() {
    for seed in 0..200 {
        let disk = ForgetfulDisk::new();
        let (mut ring, _) = open(disk.clone(), SMALL);
        ring.append(&[record(1, 50)]).unwrap();
        disk.stop_after(1);
        ring.append(&[record(2, 3_000)]).unwrap_err();
        disk.restart();
        let (_, found) = open(disk.clone(), SMALL);
        assert_eq!(found.numbers().1, [1, 2]);
        disk.power_loss(seed);
        assert_eq!(open(disk, SMALL).1.numbers().1, [1, 2], "seed {seed}");
    }
}

/// The files of an interrupted creation are of any length and any number; none of their names was synced.
#[test]
fn an_interrupted_creation_starts_again() {
    for seed in 0..200 {
        let disk = ForgetfulDisk::new();
        let mut simulation = CrashSimulation::new(seed, SMALL, 1_000);
        simulation.disk = disk.clone();
        disk.stop_after(seed % 16);
        assert_power_is_off(simulation.open().map(|_| ()), seed);
        disk.power_loss(seed / 16);
        let mut ring = simulation.must_open();
        simulation.work(&mut ring, 3).unwrap();
        disk.power_loss(0);
        simulation.must_open();
    }
}

#[test]
fn files_of_an_interrupted_creation_are_removed() {
    let mut disk = ForgetfulDisk::new();
    disk.stop_after(17);
    let many = RingSettings { files: 12, ..SMALL };
    Ring::open(disk.clone(), many).map(|_| ()).unwrap_err();
    disk.restart();
    let (_, recovered) = Ring::open(disk.clone(), SMALL).unwrap();
    assert!(recovered.empty);
    assert_eq!(disk.list().unwrap().len(), SMALL.files);
}

#[test]
fn the_disk_loses_what_was_not_synced() {
    let outcomes: Vec<Option<Vec<u8>>> = (0..400)
        .map(|seed| {
            let mut disk = ForgetfulDisk::new();
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
    let torn = |bytes: &Vec<u8>| bytes.contains(&0) && bytes.contains(&1);
    let kept = outcomes.iter().flatten();
    assert!(outcomes.contains(&None), "a name was lost");
    assert!(kept.clone().any(|bytes| *bytes == [1; 2_000]), "a write was kept");
    assert!(kept.clone().any(|bytes| *bytes == [0; 2_000]), "a write was lost");
    assert!(kept.clone().any(torn), "a write was torn");
}
