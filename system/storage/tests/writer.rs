//! The writer thread: group commit, order of events, bounds of the queue, and failures.

mod common;

use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};

use common::{open, record, Model, MEDIUM, SMALL};
use gingerledge_storage::{
    Disk, DiskFile, Ring, RingSettings, SimulatedDisk, StorageError, Writer, WriterEvent,
};

/// A disk whose syncs block while the gate is closed. The mutex holds whether it is closed.
#[derive(Clone)]
struct GatedDisk {
    disk: SimulatedDisk,
    gate: Arc<(Mutex<bool>, Condvar)>,
}

impl GatedDisk {
    fn new() -> Self {
        Self { disk: SimulatedDisk::new(), gate: Arc::default() }
    }

    fn set_closed(&self, is_closed: bool) {
        *self.gate.0.lock().unwrap() = is_closed;
        self.gate.1.notify_all();
    }
}

impl Disk for GatedDisk {
    fn list(&mut self) -> Result<Vec<DiskFile>, StorageError> {
        self.disk.list()
    }
    fn create(&mut self, name: &str, length: u64) -> Result<(), StorageError> {
        self.disk.create(name, length)
    }
    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        self.disk.read_at(name, offset, buffer)
    }
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), StorageError> {
        self.disk.write_at(name, offset, bytes)
    }
    fn sync_file(&mut self, name: &str) -> Result<(), StorageError> {
        let is_closed = self.gate.0.lock().unwrap();
        drop(self.gate.1.wait_while(is_closed, |is_closed| *is_closed).unwrap());
        self.disk.sync_file(name)
    }
    fn sync_folder(&mut self) -> Result<(), StorageError> {
        self.disk.sync_folder()
    }
    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.disk.remove(name)
    }
}

fn start(disk: &GatedDisk, settings: RingSettings) -> (Writer, Receiver<WriterEvent>) {
    let (ring, _) = Ring::open(disk.clone(), settings).unwrap();
    let (events, received): (Sender<WriterEvent>, _) = channel();
    let writer = Writer::start(ring, Box::new(move |event| events.send(event).unwrap())).unwrap();
    (writer, received)
}

/// The token and `needs_snapshot` of an event that must be `Durable`.
fn expect_durable(event: WriterEvent) -> (u64, bool) {
    match event {
        WriterEvent::Durable { token, needs_snapshot } => (token, needs_snapshot),
        WriterEvent::Failed { token, error } => panic!("{token} failed: {error}"),
    }
}

/// The token and the error of an event that must be `Failed`.
fn expect_failed(event: WriterEvent) -> (u64, StorageError) {
    match event {
        WriterEvent::Failed { token, error } => (token, error),
        WriterEvent::Durable { token, .. } => panic!("{token} is durable"),
    }
}

#[test]
fn queued_batches_are_committed_together_and_in_order() {
    let disk = GatedDisk::new();
    let (writer, events) = start(&disk, MEDIUM);
    disk.set_closed(true);
    writer.append(0, vec![record(0, 100)]).unwrap();
    for token in 1..200 {
        writer.append(token, vec![record(token, 100), record(token, 8)]).unwrap();
    }
    assert!(events.try_recv().is_err(), "no batch is durable before it is synced");
    let before = disk.disk.operations();
    disk.set_closed(false);
    let tokens: Vec<_> = (0..200).map(|_| expect_durable(events.recv().unwrap()).0).collect();
    assert_eq!(tokens, (0..200).collect::<Vec<_>>());
    // The first group holds any number of batches; the other batches are committed with one write and one sync.
    let operations = disk.disk.operations() - before;
    assert!(operations <= 4, "{operations} operations for 200 batches");
    drop(writer);
    disk.disk.power_loss(0);
    let expected: Vec<u64> = (0..1).chain((1..200).flat_map(|token| [token, token])).collect();
    assert_eq!(open(disk, MEDIUM).1.numbers().1, expected);
}

#[test]
fn a_snapshot_keeps_its_order_among_batches() {
    let disk = GatedDisk::new();
    let (writer, events) = start(&disk, MEDIUM);
    disk.set_closed(true);
    writer.append(1, vec![record(1, 100)]).unwrap();
    writer.append(2, vec![record(2, 100)]).unwrap();
    writer.snapshot(3, vec![record(3, 100)]).unwrap();
    writer.append(4, vec![record(4, 100)]).unwrap();
    writer.append(5, vec![]).unwrap();
    writer.snapshot(6, vec![record(6, 100)]).unwrap();
    writer.snapshot(7, vec![record(7, 100)]).unwrap();
    writer.append(8, vec![record(8, 100)]).unwrap();
    disk.set_closed(false);
    let tokens: Vec<_> = (0..8).map(|_| expect_durable(events.recv().unwrap()).0).collect();
    assert_eq!(tokens, [1, 2, 3, 4, 5, 6, 7, 8]);
    drop(writer);
    assert_eq!(open(disk, MEDIUM).1.numbers(), (vec![7], vec![8]));
}

#[test]
fn a_snapshot_is_requested_when_the_ring_is_half_used() {
    let disk = GatedDisk::new();
    let (writer, events) = start(&disk, SMALL);
    // With the frame header and the length of the record, a batch takes ten sectors. The first 4 KiB of each file hold no log.
    let batch_bytes = 10 * 512;
    let half_of_the_ring = 4 * (32 - 4) * 1024 / 2_u64;
    let mut batches = 0;
    let mut needs_snapshot = false;
    while !needs_snapshot {
        writer.append(batches, vec![record(batches, 5_000)]).unwrap();
        needs_snapshot = expect_durable(events.recv().unwrap()).1;
        batches += 1;
    }
    assert_eq!(batches, half_of_the_ring.div_ceil(batch_bytes));
    writer.snapshot(100, vec![record(1, 100)]).unwrap();
    assert_eq!(expect_durable(events.recv().unwrap()), (100, false));
}

#[test]
fn the_queue_is_bounded_by_batches() {
    let disk = GatedDisk::new();
    let (writer, events) = start(&disk, MEDIUM);
    disk.set_closed(true);
    let mut accepted = 0;
    let error = loop {
        match writer.append(accepted, vec![vec![1]]) {
            Ok(()) => accepted += 1,
            Err(error) => break error,
        }
    };
    assert!(matches!(error, StorageError::QueueFull));
    assert!((4096..20_000).contains(&accepted), "{accepted}");
    disk.set_closed(false);
    for token in 0..accepted {
        assert_eq!(expect_durable(events.recv().unwrap()).0, token);
    }
    writer.append(accepted, vec![vec![1]]).unwrap();
    expect_durable(events.recv().unwrap());
}

#[test]
fn the_queue_is_bounded_by_bytes() {
    let disk = GatedDisk::new();
    let (writer, events) = start(
        &disk,
        RingSettings { files: 4, file_bytes: 16 << 20, extent_bytes: RingSettings::PREALLOCATE_ALL },
    );
    let mut tokens = 0..;
    for _ in 0..2 {
        disk.set_closed(true);
        let accepted: Vec<u64> = tokens
            .by_ref()
            .take_while(|token| writer.append(*token, vec![vec![1; 1 << 20]]).is_ok())
            .collect();
        assert!((16..=18).contains(&accepted.len()), "{accepted:?}");
        disk.set_closed(false);
        for token in accepted {
            assert_eq!(expect_durable(events.recv().unwrap()).0, token);
        }
    }
}

#[test]
fn after_a_failure_every_batch_fails_until_a_snapshot_succeeds() {
    let disk = GatedDisk::new();
    let (writer, events) = start(&disk, MEDIUM);
    disk.disk.fail_syncs(true);
    writer.append(1, vec![record(1, 100)]).unwrap();
    assert!(matches!(expect_failed(events.recv().unwrap()), (1, StorageError::Io { .. })));
    disk.disk.fail_syncs(false);
    writer.append(2, vec![record(2, 100)]).unwrap();
    assert!(matches!(expect_failed(events.recv().unwrap()), (2, StorageError::SnapshotRequired)));
    writer.snapshot(3, vec![record(3, 100)]).unwrap();
    assert_eq!(expect_durable(events.recv().unwrap()), (3, false));
    writer.append(4, vec![record(4, 100)]).unwrap();
    assert_eq!(expect_durable(events.recv().unwrap()).0, 4);
    drop(writer);
    assert_eq!(open(disk, MEDIUM).1.numbers(), (vec![3], vec![4]));
}

/// A ring rejects a batch that is too long. A later batch that would fit must fail as well, since the log would have a gap.
#[test]
fn a_batch_that_does_not_fit_makes_later_batches_fail() {
    let disk = GatedDisk::new();
    let (writer, events) = start(&disk, SMALL);
    writer.append(1, vec![record(1, 100)]).unwrap();
    expect_durable(events.recv().unwrap());
    writer.append(2, vec![record(2, 200_000)]).unwrap();
    assert!(matches!(expect_failed(events.recv().unwrap()), (2, StorageError::OutOfSpace { .. })));
    writer.append(3, vec![record(3, 100)]).unwrap();
    assert!(matches!(expect_failed(events.recv().unwrap()), (3, StorageError::SnapshotRequired)));
    writer.snapshot(4, vec![record(4, 100)]).unwrap();
    assert_eq!(expect_durable(events.recv().unwrap()), (4, false));
}

#[test]
fn dropping_the_writer_commits_all_accepted_batches() {
    let disk = GatedDisk::new();
    let (writer, events) = start(&disk, MEDIUM);
    for token in 0..50 {
        writer.append(token, vec![record(token, 100)]).unwrap();
    }
    drop(writer);
    assert_eq!(events.try_iter().count(), 50);
    disk.disk.power_loss(0);
    assert_eq!(open(disk, MEDIUM).1.records.len(), 50);
}

#[test]
fn batches_reported_as_durable_survive_a_power_loss() {
    for seed in 0..100 {
        let disk = SimulatedDisk::new();
        let (ring, _) = Ring::open(disk.clone(), MEDIUM).unwrap();
        let (events, received) = channel();
        let writer = Writer::start(ring, Box::new(move |event| events.send(event).unwrap())).unwrap();
        disk.fail_after(seed % 23);
        for token in 0..40 {
            writer.append(token, vec![record(token, 300)]).unwrap();
        }
        drop(writer);
        let acknowledged: Vec<u64> = received
            .iter()
            .filter_map(|event| match event {
                WriterEvent::Durable { token, .. } => Some(token),
                WriterEvent::Failed { .. } => None,
            })
            .collect();
        disk.power_loss(seed);
        let model: Model = open(disk, MEDIUM).1;
        let found = model.numbers().1;
        assert!(found.starts_with(&acknowledged), "seed {seed}: {found:?}, acknowledged {acknowledged:?}");
        assert_eq!(found, (0..found.len() as u64).collect::<Vec<_>>(), "seed {seed}");
    }
}

#[test]
fn a_writer_whose_thread_has_ended_rejects_writes() {
    let disk = GatedDisk::new();
    let (ring, _) = Ring::open(disk, MEDIUM).unwrap();
    let (events, received) = channel::<u64>();
    let on_event = move |event| {
        let WriterEvent::Durable { token, .. } = event else { return };
        events.send(token).unwrap();
        std::panic::resume_unwind(Box::new("on_event ends the thread"));
    };
    let writer = Writer::start(ring, Box::new(on_event)).unwrap();
    writer.append(1, vec![record(1, 10)]).unwrap();
    assert_eq!(received.recv(), Ok(1));
    // The channel is closed once the thread has dropped its state.
    assert!(received.recv().is_err());
    loop {
        match writer.append(2, vec![record(2, 10)]) {
            Ok(()) | Err(StorageError::QueueFull) => std::thread::yield_now(),
            Err(error) => break assert!(matches!(error, StorageError::WriterStopped), "{error}"),
        }
    }
}
