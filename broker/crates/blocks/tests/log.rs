//! Tests of the log: truncated at every byte, with every byte changed, and on disks that fill up or crash.
#![allow(clippy::unwrap_used)]

use gingerledge_blocks::*;
use quickcheck::{Gen, QuickCheck};

fn records() -> Vec<LogRecord> {
    let span = Span::new(0, 10);
    let replica = |store| Replica { store: StoreId(store), state: ReplicaState::Serving };
    let block = Block {
        id: BlockId(1),
        span,
        epoch: Epoch::from_parts(Term(1), 1),
        replicas: vec![replica(0), replica(1)],
        extent: Some(Extent([1.0, 2.0, 3.0, 4.0])),
    };
    let kind = ChangeKind::Move { from: StoreId(0), to: StoreId(2) };
    let change = Change::new(
        ChangeId(1),
        BlockId(1),
        span,
        kind,
        Epoch::from_parts(Term(1), 2),
        Epoch::from_parts(Term(1), 3),
    );
    vec![
        LogRecord::Start(Box::new(State { term: Term(1), ..State::default() })),
        LogRecord::Store(StoreId(0), "s-5be2a07c".into()),
        LogRecord::Batch(Batch { version: 1, records: vec![Record::Active(block)] }),
        LogRecord::Begin(change),
        LogRecord::Step(ChangeId(1), Step::CatchingUp { watermark: 77 }, None),
        LogRecord::Step(ChangeId(1), Step::Dropping, Some(Reason::Asked)),
        LogRecord::Paused(true),
        LogRecord::Assigned { blocks: 3, changes: 4, epochs: 5 },
    ]
}

fn bytes(records: &[LogRecord]) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = MAGIC.to_vec();
    let mut ends = vec![bytes.len()];
    for record in records {
        bytes.extend(encode(record));
        ends.push(bytes.len());
    }
    (bytes, ends)
}

#[test]
fn a_truncated_log_is_read_up_to_the_last_complete_record() {
    let all = records();
    let (complete_log, ends) = bytes(&all);
    for cut in 0..=complete_log.len() {
        let (read, valid_length) = decode(&complete_log[..cut]).unwrap();
        let expected = ends.iter().filter(|end| **end <= cut).count().saturating_sub(1);
        assert_eq!(read, all[..expected], "cut at {cut}");
        let end = ends.iter().copied().filter(|end| *end <= cut).max().unwrap_or(0);
        assert_eq!(valid_length, end, "cut at {cut}");
        // Opening the log repairs it, and new records follow the last complete one.
        let (mut log, again) = Log::open(SimulatedDisk::with(complete_log[..cut].to_vec())).unwrap();
        assert_eq!(again, read);
        log.append(&[LogRecord::Paused(false)]).unwrap();
        let (after, _) = decode(log.disk().bytes()).unwrap();
        assert_eq!(after.last(), Some(&LogRecord::Paused(false)));
        assert_eq!(after.len(), expected + 1);
    }
}

#[test]
fn a_log_with_a_changed_byte_is_never_misread() {
    let all = records();
    let (complete_log, ends) = bytes(&all);
    for at in 0..complete_log.len() {
        for flip in [1u8, 0x80, 0xff] {
            let mut damaged = complete_log.clone();
            damaged[at] ^= flip;
            match decode(&damaged) {
                Ok((read, _)) => {
                    // Only the last record may be mistaken for one that was being written.
                    assert!(at >= ends[ends.len() - 2], "the change of byte {at} was not detected");
                    assert_eq!(read, all[..all.len() - 1]);
                }
                Err(LogError::Magic(_)) => assert!(at < MAGIC.len()),
                Err(LogError::Damaged { number, at: begins }) => {
                    assert_eq!(begins, ends[number]);
                    assert!((begins..ends[number + 1]).contains(&at));
                }
                Err(other) => panic!("{other}"),
            }
        }
    }
}

#[test]
fn a_full_disk_or_a_crash_loses_only_unacknowledged_records() {
    let all = records();
    let (complete_log, ends) = bytes(&all);
    for capacity in 0..complete_log.len() {
        let mut disk = SimulatedDisk::default();
        disk.capacity = Some(capacity);
        let Ok((mut log, _)) = Log::open(disk) else {
            assert!(capacity < MAGIC.len());
            continue;
        };
        let durable_records: Vec<&LogRecord> =
            all.iter().take_while(|r| log.append(&[(*r).clone()]).is_ok()).collect();
        for kept_bytes in [0, 1, 7, 10_000] {
            let mut disk = log.disk().clone();
            disk.crash(kept_bytes);
            disk.capacity = None;
            let (mut log, read) = Log::open(disk).unwrap();
            assert_eq!(
                read.iter().collect::<Vec<_>>(),
                durable_records,
                "disk of {capacity}, {kept_bytes} kept"
            );
            log.append(&[LogRecord::Paused(true)]).unwrap();
        }
        assert!(ends.contains(&(log.len() as usize)));
    }
}

#[test]
fn random_bytes_are_rejected_or_read_as_an_empty_log() {
    fn read(garbage: Vec<u8>) -> bool {
        let headed = [MAGIC.as_slice(), &garbage].concat();
        decode(&headed).map_or(true, |(records, _)| records.is_empty())
            && decode(&garbage).map_or(true, |r| r.0.is_empty())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 11))
        .tests(2000)
        .quickcheck(read as fn(Vec<u8>) -> bool);
}
