//! Tests of the validation of maps in memory: a batch gives the same findings as a comparison of the complete
//! maps, a coordinator rolls a change back instead of committing an invalid result, and a log with an invalid
//! map is rejected with the name of the fault.
#![allow(clippy::unwrap_used)]

mod validator_maps;

use std::collections::BTreeSet;

use fastrand::Rng;
use gingerledge_blocks::validate::{batch, faults, transition, Draft, Facts, Fault, Finding, Row, Standing};
use gingerledge_blocks::*;
use validator_maps::{brute, change};

fn text(store: StoreId) -> String {
    store.to_string()
}

fn block(row: &Row) -> Block {
    let serving = |store: &StoreId| Replica { store: *store, state: ReplicaState::Serving };
    let replicas = row.holders.iter().map(serving).collect();
    Block { id: row.id, span: row.span, epoch: row.epoch, replicas, extent: None }
}

/// Returns the records that lead from one map to the next.
fn records(old: &Draft, new: &Draft) -> Vec<Record> {
    let ended = old.rows.iter().filter(|row| new.rows.iter().all(|other| other.id != row.id));
    let ended = ended.map(|row| Record::Retired { id: row.id, span: row.span, epoch: Epoch(11) });
    let same = |row: &Row| {
        let before = old.rows.iter().find(|old| old.id == row.id);
        before.is_some_and(|old| (old.span, old.epoch, &old.holders) == (row.span, row.epoch, &row.holders))
    };
    ended.chain(new.rows.iter().filter(|row| !same(row)).map(|row| Record::Active(block(row)))).collect()
}

#[test]
fn validation_of_a_batch_matches_validation_of_the_complete_maps() {
    let (mut valid_count, mut rejected_count) = (0, 0);
    for seed in 0..20_000 {
        let mut rng = Rng::with_seed(seed);
        let mut old = validator_maps::valid_map(&mut rng);
        let mut new = change::next_version(&mut rng, &mut old);
        let n = rng.usize(..new.rows.len());
        match rng.u32(..8) {
            0 => new.rows[n].epoch = Epoch(10),
            1 => new.rows[n].epoch = Epoch(9),
            2 => old.rows.iter_mut().for_each(|row| row.copying.clear()),
            3 => new.rows[n].span.end -= 1,
            4 if new.rows[n].span.first > 0 => new.rows[n].span.first -= 1,
            5 => new.rows[n].holders[0] = validator_maps::UNKNOWN,
            _ => {}
        }
        let mut map = BlockMap::new(100, 100);
        map.apply(&Batch {
            version: 1,
            records: old.rows.iter().map(|row| Record::Active(block(row))).collect(),
        })
        .unwrap();
        let records = records(&old, &new);
        let standing = |store: StoreId| (store < validator_maps::UNKNOWN).then_some(Standing::Listed);
        let copies = |id, store| old.rows.iter().any(|row| row.id == id && row.copying.contains(&store));
        let facts = Facts { standing: &standing, store_name: &text, copies: &copies };
        let result = batch(&map, &records, &facts);
        let kind = |finding: &Finding| {
            let (copy, fault) = (finding.fault.clone(), &finding.fault);
            matches!(fault, Fault::Overlap { .. } | Fault::Gap | Fault::Empty | Fault::Holder { .. })
                .then_some(copy)
        };
        // Expected findings from the complete maps: the faults of the new map by itself, and of the
        // transition. A gap is reported as keys that were given up.
        let map_faults = faults(&new, &text).into_iter().filter(|finding| kind(finding).is_some());
        let map_faults: Vec<Finding> =
            map_faults.filter(|f| !matches!(&f.fault, Fault::Holder { copies: true, .. })).collect();
        let expected: BTreeSet<String> = brute::fault_set(&map_faults)
            .into_iter()
            .map(|finding| finding.replace("gap", "given up"))
            .chain(brute::fault_set(&transition(&old, &new, &text).findings))
            .collect();
        // Keys before the first block were never covered, so they are not reported.
        let found = brute::fault_set(&result.findings);
        assert_eq!(found, expected, "seed {seed}\n{old:#?}\n{new:#?}");
        // The validator rejects whatever the map rejects, except for a new range next to the old ones.
        let is_applied = map.apply(&Batch { version: 2, records }).is_ok();
        if found.is_empty() {
            valid_count += 1;
        } else {
            rejected_count += 1;
        }
        let is_outside = new.rows.iter().any(|row| row.span.first < old.keys.first);
        assert!(is_applied || !found.is_empty() || is_outside, "seed {seed}: {new:#?}");
    }
    assert!(valid_count > 5_000 && rejected_count > 5_000, "{valid_count} valid, {rejected_count} rejected");
}

const SPAN: Span = Span { first: 0, end: 10 };

fn snapshot(holders: &[u32]) -> Snapshot {
    let holders = holders.iter().map(|store| StoreId(*store)).collect();
    let epoch = Epoch::from_parts(Term(1), 1);
    let row = Row {
        id: BlockId(1),
        span: SPAN,
        epoch,
        holders,
        copying: vec![],
        load: 1.0,
        line: 0,
        lines: vec![],
    };
    Snapshot { version: 1, active: vec![block(&row)], retired: vec![] }
}

fn begin(map: Snapshot, more: Vec<LogRecord>) -> Result<(Coordinator, LogRecord), RecoverError> {
    let stores = vec![(StoreId(0), "s-5be2a07c".to_owned())];
    let state = State { term: Term(1), stores, map, last_assigned: (9, 9, 9), ..State::default() };
    let records = [vec![LogRecord::Start(Box::new(state))], more].concat();
    Coordinator::begin(0, Term(2), records, Bounds::default())
}

#[test]
fn a_change_with_an_invalid_result_is_rolled_back_before_its_commit() {
    let epoch = |n| Epoch::from_parts(Term(1), n);
    let split = |cut: u64| {
        let new = vec![(BlockId(2), Span::new(0, 4)), (BlockId(3), Span::new(cut, 10))];
        let kind = ChangeKind::Split { holders: vec![StoreId(0)], new };
        Change::new(ChangeId(1), BlockId(1), SPAN, kind, epoch(2), epoch(3))
    };
    for (cut, good) in [(4, true), (5, false), (3, false)] {
        let (mut coordinator, _) = begin(snapshot(&[0]), vec![LogRecord::Begin(split(cut))]).unwrap();
        coordinator.handle(0, Event::Tick);
        let holding = Holding {
            span: SPAN,
            epoch: epoch(1),
            held_since: epoch(1),
            mode: Mode::Open,
            peer: None,
            copied: 0,
        };
        let work = coordinator.handle(1, Event::Inventory(StoreId(0), vec![(BlockId(1), holding)]));
        let named = work.iter().find_map(|item| match item {
            Work::Send(store, purpose @ OrderPurpose::Change(..), stamped)
                if matches!(stamped.order, Order::AddNames { .. }) =>
            {
                Some((*store, *purpose))
            }
            _ => None,
        });
        let (store, purpose) = named.unwrap();
        let done = OrderOutcome { mode: Some(Mode::Open), watermark: 0, copied: 0 };
        let work = coordinator.handle(2, Event::Reply(store, purpose, Ok(done)));
        let committing = |item: &Work| {
            matches!(item, Work::Append(LogRecord::Step(_, Step::Committing, _) | LogRecord::Batch(_)))
        };
        assert_eq!(work.iter().any(committing), good, "cut at {cut}: {work:?}");
        assert_eq!(coordinator.map().version(), if good { 2 } else { 1 });
        let change = coordinator.changes().next().unwrap();
        assert_eq!(change.step, if good { Step::Unnaming } else { Step::Withdrawing });
        assert_eq!(matches!(&change.reason, Some(Reason::Unsound(reason)) if !reason.is_empty()), !good);
        // The stores are ordered to remove the new identifiers, and the change ends.
        let Some(Work::Send(store, purpose, _)) =
            work.iter().rev().find(|item| matches!(item, Work::Send(..)))
        else {
            panic!("{work:?}");
        };
        let done = OrderOutcome { mode: None, watermark: 0, copied: 0 };
        let work = coordinator.handle(3, Event::Reply(*store, *purpose, Ok(done)));
        let step = if good { Step::Done } else { Step::Abandoned };
        assert!(work.contains(&Work::ChangeEnded(ChangeId(1), step)), "{work:?}");
    }
}

#[test]
fn a_log_with_an_invalid_map_is_rejected_with_the_name_of_the_fault() {
    let refused = |map| match begin(map, vec![]) {
        Err(RecoverError::Invalid(reason)) => reason,
        other => panic!("{other:?}"),
    };
    assert!(begin(snapshot(&[0]), vec![]).is_ok());
    let reason = refused(snapshot(&[0, 4]));
    assert!(
        reason.contains("keys 0..10: block 1: store 4 is to hold it, and nobody has named it"),
        "{reason}"
    );
    // Block 7 covered numbers that no block covers now; the numbers after them were never covered.
    let ended = |span| vec![(BlockId(7), span, Epoch::from_parts(Term(1), 1))];
    assert!(begin(Snapshot { retired: ended(Span::new(3, 10)), ..snapshot(&[0]) }, vec![]).is_ok());
    let reason = refused(Snapshot { retired: ended(Span::new(3, 11)), ..snapshot(&[0]) });
    assert!(reason.contains("keys 10..11: block 7: no block has these keys"), "{reason}");
}

#[test]
fn an_initial_map_with_an_unknown_store_is_rejected() {
    let (mut coordinator, _) = Coordinator::begin(0, Term(1), vec![], Bounds::default()).unwrap();
    let store = coordinator.register_store("s-5be2a07c", &mut vec![]).unwrap();
    let found = |stores| vec![(BlockId(1), SPAN, stores, None)];
    let error = coordinator.create_map(found(vec![store, StoreId(8)])).unwrap_err();
    assert!(error.to_string().contains("store 8 is to hold it"), "{error}");
    assert_eq!(coordinator.map().version(), 0);
    coordinator.create_map(found(vec![store])).unwrap();
}
