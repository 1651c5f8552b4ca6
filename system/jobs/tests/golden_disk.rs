//! Checks that the current code reads the disk of a backend written by an earlier version, and continues to write it in the same
//! format.
//!
//! The recorded disks are only written on request, by running
//! `GOLDEN_WRITE=1 cargo test -p gingerledge-jobs --test golden_disk -- the_present_code` twice, since the rewritten disk comes from
//! a recorded one.

mod common;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use common::settings::TestSettings;
use gingerledge_chain::{LogRecord, MemberId, View};
use gingerledge_golden::disk_image::DiskImage;
use gingerledge_jobs::backend::{Backend, BackendEvent, DiskContent, DiskRecord};
use gingerledge_jobs::store::{Caller, Command, EdgeProcess, Proposal, Store};
use gingerledge_storage::{FileDisk, Ring, RingSettings};
use gingerledge_wire::{ItemRecord, JobRecord, PartialText, PartitionRecord, ResultRecord, ScoringRecord};

/// Settings of a ring that is much smaller than that of a backend, with the same format.
const RING: RingSettings =
    RingSettings { files: 4, file_bytes: 64 * 1024, extent_bytes: RingSettings::PREALLOCATE_ALL };
const MEMBER: u64 = 0x1111_2222_3333_4444;
const OTHER_MEMBER: u64 = u64::MAX;
const SEED: u64 = 7;
/// Number of the partition with the batch jobs.
const PARTITION: u16 = 3;
/// Number of a partition that has a view and a seal, but no entries.
const EMPTY_PARTITION: u16 = 30;
/// Index of the last entry in the snapshot on the disk.
const SNAPSHOT_INDEX: u64 = 4;
/// Index of the last entry on the disk. The member is the tail, so that all entries on its disk are committed.
const LAST_INDEX: u64 = 11;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden_disk").join(name)
}

fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden-disk-jobs").join(name)
}

fn edge(incarnation: u64) -> EdgeProcess {
    EdgeProcess { incarnation, address: SocketAddr::from(([10, 1, 0, 1], 7000)) }
}

fn item(number: u32) -> ItemRecord {
    let scoring = ScoringRecord {
        id: format!("score-{number}"),
        host: "scores.example".to_owned(),
        path: "/score".to_owned(),
        body: vec![9, 8, 7],
    };
    ItemRecord {
        id: format!("item-{number}"),
        path: "/complete".to_owned(),
        headers: vec![("accept".to_owned(), "text/event-stream".to_owned())],
        body: format!("body of item {number}").into_bytes(),
        tokens: 100 + u64::from(number),
        group: "group".to_owned(),
        scoring: (number == 1).then_some(scoring),
    }
}

fn job(id: &str, items: u32) -> JobRecord {
    JobRecord {
        id: id.to_owned(),
        host: "host.example".to_owned(),
        path: "/jobs".to_owned(),
        step: 12,
        model: "model-a".to_owned(),
        min_version: 3,
        desired_groups: 2,
        items: (0..items).map(item).collect(),
    }
}

fn result(item: u32, completed: bool) -> ResultRecord {
    ResultRecord {
        item,
        completed,
        text: format!("result of item {item}").into_bytes(),
        versions: vec![3, 4],
        score: "0.5".to_owned(),
    }
}

fn text_part(item: u32, after: Option<u64>, last_id: u64, data: &str) -> PartialText {
    let data = data.as_bytes().to_vec();
    PartialText {
        item,
        origin: 31,
        previous_event_id: after,
        last_event_id: last_id,
        data,
        versions: vec![3],
        is_complete: after.is_some(),
    }
}

/// At least one command of each kind, in the order of the log. The first entry has index 1.
fn commands() -> Vec<Command> {
    let open = || "open".to_owned();
    vec![
        Command::Create { job: Arc::new(job("open", 4)), edge: edge(71) },
        Command::Create { job: Arc::new(job("ended", 2)), edge: edge(72) },
        Command::AppendResults { job: open(), term: 1, results: vec![result(2, true)] },
        Command::SaveCheckpoint { job: open(), term: 1, texts: vec![text_part(0, None, 5, "first ")] },
        Command::AssignDriver { job: open(), term: 2, edge: edge(73) },
        Command::SaveCheckpoint {
            job: open(),
            term: 2,
            texts: vec![text_part(0, Some(5), 9, "second"), text_part(1, None, 2, "third")],
        },
        Command::AppendResults { job: "ended".to_owned(), term: 1, results: vec![result(0, false)] },
        Command::End { job: "ended".to_owned() },
        Command::RecordAges { ages: vec![("ended".to_owned(), Duration::new(90, 5))] },
        Command::Create { job: Arc::new(job("second", 1)), edge: edge(71) },
        Command::End { job: "second".to_owned() },
        Command::Delete { job: "second".to_owned() },
    ]
}

fn proposal(number: u64) -> Proposal {
    let command = commands().swap_remove(usize::try_from(number).unwrap() - 1);
    let caller = Caller { request: number + 1000, reply_to: edge(71).address, edge: 71 };
    let age = Duration::from_millis(number * 10);
    Proposal { caller: command.job().is_some().then_some(caller), age, command }
}

fn entry(epoch: u64, index: u64, committed: u64) -> LogRecord {
    LogRecord::Entry { epoch, index, commit_index: committed, command: proposal(index).encode().unwrap() }
}

/// The state after the entries up to index `last`.
fn store_after(last: u64) -> Store {
    let mut store = Store::default();
    for number in 1..=last {
        let Proposal { age, command, .. } = proposal(number);
        let id = command.job().cloned();
        store.apply(command);
        if let Some(id) = id {
            store.raise_age(&id, age);
        }
    }
    store
}

fn view(epoch: u64, chain: &[u64]) -> View {
    View { epoch, chain: chain.iter().copied().map(MemberId).collect() }
}

/// Records of `PARTITION` in the snapshot on the disk.
fn records_in_snapshot() -> Vec<LogRecord> {
    vec![
        LogRecord::Snapshot { index: SNAPSHOT_INDEX, bytes: store_after(SNAPSHOT_INDEX).encode().unwrap() },
        LogRecord::View { view: view(1, &[MEMBER, OTHER_MEMBER]), in_sync: true },
        LogRecord::BarrierReservation { epoch: 1, reserved: 1024 },
        LogRecord::Sealed { epoch: 1 },
    ]
}

/// Records of `PARTITION` after the snapshot.
fn records_after_snapshot() -> Vec<LogRecord> {
    let mut records = vec![
        entry(1, 5, 4),
        entry(1, 6, 5),
        LogRecord::Rejoined { view: view(2, &[OTHER_MEMBER, MEMBER]), last_index: 5 },
        LogRecord::InSync { epoch: 2 },
        LogRecord::BarrierReservation { epoch: 2, reserved: 2048 },
    ];
    records.extend((6..=LAST_INDEX).map(|number| entry(2, number, number - 1)));
    records
}

/// Records of `EMPTY_PARTITION`.
fn records_of_empty_partition() -> Vec<LogRecord> {
    vec![
        LogRecord::View { view: view(7, &[OTHER_MEMBER, MEMBER]), in_sync: false },
        LogRecord::Sealed { epoch: 7 },
    ]
}

/// Records of a write that is interrupted by a power loss.
fn interrupted_records() -> Vec<DiskRecord> {
    let large = LogRecord::Entry { epoch: 2, index: 12, commit_index: 11, command: vec![0x5a; 3000] };
    vec![
        DiskRecord::Partition(PARTITION, large),
        DiskRecord::Partition(EMPTY_PARTITION, LogRecord::Sealed { epoch: 8 }),
    ]
}

fn partition_records(partition: u16, records: Vec<LogRecord>) -> Vec<DiskRecord> {
    records.into_iter().map(|record| DiskRecord::Partition(partition, record)).collect()
}

fn encode_all(records: &[DiskRecord]) -> Vec<Vec<u8>> {
    records.iter().map(|record| record.encode().unwrap()).collect()
}

/// Opens the ring and reads its content as a backend does.
fn open(directory: &Path) -> (Ring<FileDisk>, DiskContent) {
    let (ring, recovered) = Ring::open(FileDisk::open(directory).unwrap(), RING).unwrap();
    let content = DiskContent::read(recovered.snapshot.into_iter().chain(recovered.records)).unwrap();
    (ring, content)
}

/// Writes a disk: a log with the first entries, then a snapshot, and the records after it.
fn write_disk(directory: &Path) -> Ring<FileDisk> {
    DiskImage::default().lay_out(directory);
    let (mut ring, content) = open(directory);
    assert!(content.member.is_none() && content.partitions.is_empty());
    ring.append(&encode_all(&[DiskRecord::Identity(MEMBER)])).unwrap();
    let first = LogRecord::View { view: view(1, &[MEMBER, OTHER_MEMBER]), in_sync: true };
    ring.append(&encode_all(&[DiskRecord::Partition(PARTITION, first)])).unwrap();
    for number in 1..=SNAPSHOT_INDEX {
        let entry = DiskRecord::Partition(PARTITION, entry(1, number, number - 1));
        ring.append(&encode_all(&[entry])).unwrap();
    }
    let mut snapshot = vec![DiskRecord::Identity(MEMBER)];
    snapshot.extend(partition_records(PARTITION, records_in_snapshot()));
    ring.snapshot(&encode_all(&snapshot)).unwrap();
    ring.append(&encode_all(&partition_records(EMPTY_PARTITION, records_of_empty_partition()))).unwrap();
    for records in partition_records(PARTITION, records_after_snapshot()).chunks(3) {
        ring.append(&encode_all(records)).unwrap();
    }
    ring
}

/// Copies a recorded disk to a separate directory for one test; returns the directory.
fn copy_recorded_disk(recorded: &str, test: &str) -> PathBuf {
    let directory = directory(test);
    DiskImage::read(&fixture(recorded)).lay_out(&directory);
    directory
}

fn assert_is_recorded_content(content: &DiskContent) {
    assert_eq!(content.member, Some(MEMBER));
    assert_eq!(content.partitions.keys().copied().collect::<Vec<_>>(), [PARTITION, EMPTY_PARTITION]);
    let expected = [records_in_snapshot(), records_after_snapshot()].concat();
    for (number, (found, expected)) in content.partitions[&PARTITION].iter().zip(&expected).enumerate() {
        assert!(found == expected, "record {number} of the partition");
    }
    assert_eq!(content.partitions[&PARTITION].len(), expected.len());
    assert!(content.partitions[&EMPTY_PARTITION] == records_of_empty_partition(), "the empty partition");
}

/// Starts a backend with the content of its disk.
fn start(content: DiskContent) -> Backend {
    let member = MemberId(content.member.unwrap());
    let settings = TestSettings { fault_tolerance: 1, memory_mb: 16, retention_s: Some(100) }.build();
    let mut backend = Backend::new(member, content, settings, SEED);
    backend.handle(Duration::ZERO, BackendEvent::Started, &mut Vec::new());
    backend
}

#[test]
fn the_present_code_writes_the_recorded_disk() {
    let directory = directory("writes");
    drop(write_disk(&directory));
    DiskImage::of_folder(&directory).compare(&fixture("backend.txt"));
}

#[test]
fn the_present_code_writes_the_recorded_disk_with_a_torn_tail() {
    let directory = directory("writes-torn");
    let mut ring = write_disk(&directory);
    let before = DiskImage::of_folder(&directory);
    ring.append(&encode_all(&interrupted_records())).unwrap();
    before.torn(&DiskImage::of_folder(&directory)).compare(&fixture("backend_torn.txt"));
}

#[test]
fn a_recorded_disk_is_recovered() {
    let (_, content) = open(&copy_recorded_disk("backend.txt", "recovered"));
    assert_is_recorded_content(&content);
}

#[test]
fn a_recorded_disk_with_a_torn_tail_is_recovered_without_the_unfinished_write() {
    let directory = copy_recorded_disk("backend_torn.txt", "recovered-torn");
    let (mut ring, content) = open(&directory);
    assert_is_recorded_content(&content);
    ring.append(&encode_all(&interrupted_records())).unwrap();
    drop(ring);
    let (_, content) = open(&directory);
    assert!(content.partitions[&EMPTY_PARTITION].last() == Some(&LogRecord::Sealed { epoch: 8 }), "the seal");
}

#[test]
fn recorded_entries_carry_the_commands() {
    let (_, content) = open(&copy_recorded_disk("backend.txt", "entries"));
    let mut numbers = Vec::new();
    for record in &content.partitions[&PARTITION] {
        if let LogRecord::Entry { index, command, .. } = record {
            assert!(Proposal::decode(command).unwrap() == proposal(*index), "entry {index}");
            numbers.push(*index);
        }
    }
    assert_eq!(numbers, [5, 6, 6, 7, 8, 9, 10, 11]);
}

#[test]
fn recorded_batch_jobs_are_restored_by_a_start() {
    let (_, content) = open(&copy_recorded_disk("backend.txt", "jobs"));
    let backend = start(content);
    let partition = backend.partition(PARTITION).unwrap();
    assert!(partition.view() == Some(&view(2, &[OTHER_MEMBER, MEMBER])), "the view");
    assert_eq!(partition.in_sync_epoch(), Some(2));
    let empty = backend.partition(EMPTY_PARTITION).unwrap();
    assert!(empty.view() == Some(&view(7, &[OTHER_MEMBER, MEMBER])), "the view of the empty partition");
    assert_eq!(empty.in_sync_epoch(), None);

    let store = partition.store();
    assert!(*store == store_after(LAST_INDEX), "the state");
    let open = store.job("open").unwrap();
    assert!(open.driver() == edge(73) && open.term() == 2 && !open.is_ended());
    assert!(open.results() == [result(2, true)], "the results");
    assert_eq!(open.items_with_results(), [2]);
    assert_eq!(open.body("item-0"), Some(&b"body of item 0"[..]));
    let joined = PartialText { previous_event_id: None, ..text_part(0, Some(5), 9, "first second") };
    assert!(open.partial_texts() == [joined, text_part(1, None, 2, "third")], "the texts");
    let ended = store.job("ended").unwrap();
    assert!(ended.is_ended() && ended.results() == [result(0, false)]);
    assert_eq!(ended.age(), Duration::new(90, 5));
    assert_eq!(store.jobs().count(), 3);
}

#[test]
fn a_recorded_seal_keeps_its_epoch_sealed() {
    let (_, content) = open(&copy_recorded_disk("backend.txt", "sealed"));
    let mut backend = start(content);
    let old =
        PartitionRecord { epoch: 6, chain: vec![MEMBER, OTHER_MEMBER], in_sync: vec![MEMBER, OTHER_MEMBER] };
    let event = BackendEvent::ChainChanged { partition: EMPTY_PARTITION, record: old };
    backend.handle(Duration::ZERO, event, &mut Vec::new());
    assert!(backend.partition(EMPTY_PARTITION).unwrap().view() == Some(&view(7, &[OTHER_MEMBER, MEMBER])));
    let records = DiskContent::read(backend.checkpoint().unwrap().unwrap()).unwrap();
    assert!(records.partitions[&EMPTY_PARTITION].contains(&LogRecord::Sealed { epoch: 7 }), "the seal");
}

#[test]
fn the_present_code_rewrites_the_recorded_disk_as_recorded() {
    let directory = copy_recorded_disk("backend.txt", "rewritten");
    let (mut ring, content) = open(&directory);
    let checkpoint = start(content).checkpoint().unwrap().unwrap();
    ring.snapshot(&checkpoint).unwrap();
    drop(ring);
    DiskImage::of_folder(&directory).compare(&fixture("backend_rewritten.txt"));
}
