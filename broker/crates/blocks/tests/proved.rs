//! The validator where maps are held: a batch against the map that it changes says what the whole maps say, a coordinator goes back
//! before it commits what is not sound, and a log whose map is not sound is refused by the fault's name.
#![allow(clippy::unwrap_used)]

mod maps;

use std::collections::BTreeSet;

use fastrand::Rng;
use gingerledge_blocks::validate::{batch, faults, transition, Draft, Facts, Fault, Finding, Row, Standing};
use gingerledge_blocks::*;
use maps::{brute, change};

fn text(store: StoreId) -> String {
    store.to_string()
}

fn block(row: &Row) -> Block {
    let serving = |store: &StoreId| Replica { store: *store, state: ReplicaState::Serving };
    let replicas = row.holders.iter().map(serving).collect();
    Block { id: row.id, span: row.span, epoch: row.epoch, replicas, extent: None }
}

/// The records that lead from one map to the next.
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
fn a_batch_by_what_it_touches_says_what_the_whole_maps_say() {
    let (mut sound, mut refused) = (0, 0);
    for seed in 0..20_000 {
        let mut rng = Rng::with_seed(seed);
        let mut old = maps::sound(&mut rng);
        let mut new = change::next(&mut rng, &mut old);
        let n = rng.usize(..new.rows.len());
        match rng.u32(..8) {
            0 => new.rows[n].epoch = Epoch(10),
            1 => new.rows[n].epoch = Epoch(9),
            2 => old.rows.iter_mut().for_each(|row| row.copying.clear()),
            3 => new.rows[n].span.end -= 1,
            4 if new.rows[n].span.first > 0 => new.rows[n].span.first -= 1,
            5 => new.rows[n].holders[0] = maps::UNKNOWN,
            _ => {}
        }
        let mut map = BlockMap::new(100, 100);
        map.apply(&Batch {
            version: 1,
            records: old.rows.iter().map(|row| Record::Active(block(row))).collect(),
        })
        .unwrap();
        let records = records(&old, &new);
        let standing = |store: StoreId| (store < maps::UNKNOWN).then_some(Standing::Listed);
        let copies = |id, store| old.rows.iter().any(|row| row.id == id && row.copying.contains(&store));
        let facts = Facts { standing: &standing, text: &text, copies: &copies };
        let said = batch(&map, &records, &facts);
        let kind = |finding: &Finding| {
            let (whole, fault) = (finding.fault.clone(), &finding.fault);
            matches!(fault, Fault::Overlap { .. } | Fault::Gap | Fault::Empty | Fault::Holder { .. })
                .then_some(whole)
        };
        // The whole maps: what is wrong with the new one by its shape, and the passage. A gap is told as what was given up.
        let shape = faults(&new, &text).into_iter().filter(|finding| kind(finding).is_some());
        let shape: Vec<Finding> =
            shape.filter(|f| !matches!(&f.fault, Fault::Holder { copies: true, .. })).collect();
        let expected: BTreeSet<String> = brute::said(&shape)
            .into_iter()
            .map(|said| said.replace("gap", "given up"))
            .chain(brute::said(&transition(&old, &new, &text).findings))
            .collect();
        // What lies before the first key was nobody's, and nobody misses it.
        let found = brute::said(&said.findings);
        assert_eq!(found, expected, "seed {seed}\n{old:#?}\n{new:#?}");
        // What the map itself refuses, the validator does too, but for a new range beside the old ones.
        let taken = map.apply(&Batch { version: 2, records }).is_ok();
        if found.is_empty() {
            sound += 1;
        } else {
            refused += 1;
        }
        let beyond = new.rows.iter().any(|row| row.span.first < old.keys.first);
        assert!(taken || !found.is_empty() || beyond, "seed {seed}: {new:#?}");
    }
    assert!(sound > 5_000 && refused > 5_000, "{sound} sound, {refused} refused");
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
fn a_change_whose_outcome_is_not_sound_goes_back_before_it_is_committed() {
    let epoch = |n| Epoch::from_parts(Term(1), n);
    let split = |cut: u64| {
        let new = vec![(BlockId(2), Span::new(0, 4)), (BlockId(3), Span::new(cut, 10))];
        let kind = ChangeKind::Split { holders: vec![StoreId(0)], new };
        Change::new(ChangeId(1), BlockId(1), SPAN, kind, epoch(2), epoch(3))
    };
    for (cut, good) in [(4, true), (5, false), (3, false)] {
        let (mut coordinator, _) = begin(snapshot(&[0]), vec![LogRecord::Begin(split(cut))]).unwrap();
        coordinator.handle(0, Event::Tick);
        let holding =
            Holding { span: SPAN, epoch: epoch(1), since: epoch(1), mode: Mode::Open, peer: None, copied: 0 };
        let work = coordinator.handle(1, Event::Inventory(StoreId(0), vec![(BlockId(1), holding)]));
        let named = work.iter().find_map(|item| match item {
            Work::Send(store, tag @ OrderPurpose::Change(..), ordered)
                if matches!(ordered.order, Order::AddNames { .. }) =>
            {
                Some((*store, *tag))
            }
            _ => None,
        });
        let (store, tag) = named.unwrap();
        let done = OrderOutcome { mode: Some(Mode::Open), watermark: 0, copied: 0 };
        let work = coordinator.handle(2, Event::Reply(store, tag, Ok(done)));
        let committing = |item: &Work| {
            matches!(item, Work::Append(LogRecord::Step(_, Step::Committing, _) | LogRecord::Batch(_)))
        };
        assert_eq!(work.iter().any(committing), good, "cut at {cut}: {work:?}");
        assert_eq!(coordinator.map().version(), if good { 2 } else { 1 });
        let change = coordinator.changes().next().unwrap();
        assert_eq!(change.step, if good { Step::Unnaming } else { Step::Withdrawing });
        assert_eq!(matches!(&change.reason, Some(Reason::Unsound(why)) if !why.is_empty()), !good);
        // The stores are told to let the new names go, and so it ends.
        let Some(Work::Send(store, tag, _)) = work.iter().rev().find(|item| matches!(item, Work::Send(..)))
        else {
            panic!("{work:?}");
        };
        let done = OrderOutcome { mode: None, watermark: 0, copied: 0 };
        let work = coordinator.handle(3, Event::Reply(*store, *tag, Ok(done)));
        let step = if good { Step::Done } else { Step::Abandoned };
        assert!(work.contains(&Work::ChangeEnded(ChangeId(1), step)), "{work:?}");
    }
}

#[test]
fn a_log_whose_map_is_not_sound_is_refused_by_the_fault_s_name() {
    let refused = |map| match begin(map, vec![]) {
        Err(RecoverError::Invalid(why)) => why,
        other => panic!("{other:?}"),
    };
    assert!(begin(snapshot(&[0]), vec![]).is_ok());
    let why = refused(snapshot(&[0, 4]));
    assert!(why.contains("keys 0..10: block 1: store 4 is to hold it, and nobody has named it"), "{why}");
    // Block 7 had numbers that nobody has now; those beyond it nobody ever had.
    let ended = |span| vec![(BlockId(7), span, Epoch::from_parts(Term(1), 1))];
    assert!(begin(Snapshot { retired: ended(Span::new(3, 10)), ..snapshot(&[0]) }, vec![]).is_ok());
    let why = refused(Snapshot { retired: ended(Span::new(3, 11)), ..snapshot(&[0]) });
    assert!(why.contains("keys 10..11: block 7: no block has these keys"), "{why}");
}

#[test]
fn a_first_map_at_a_store_that_nobody_has_named_is_not_made() {
    let (mut coordinator, _) = Coordinator::begin(0, Term(1), vec![], Bounds::default()).unwrap();
    let store = coordinator.register_store("s-5be2a07c", &mut vec![]).unwrap();
    let found = |stores| vec![(BlockId(1), SPAN, stores, None)];
    let unmet = coordinator.create_map(found(vec![store, StoreId(8)])).unwrap_err();
    assert!(unmet.to_string().contains("store 8 is to hold it"), "{unmet}");
    assert_eq!(coordinator.map().version(), 0);
    coordinator.create_map(found(vec![store])).unwrap();
}
