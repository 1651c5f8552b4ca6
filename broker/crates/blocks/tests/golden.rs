//! Checks stored and transmitted data about blocks against bytes that an earlier version of this package wrote.
//! The texts of findings and the JSON forms of findings and transitions are visible to operators, so they are
//! checked too. `GOLDEN_WRITE=1` rewrites the files.
#![allow(clippy::unwrap_used)]

use std::fmt::Debug;
use std::path::PathBuf;

use gingerledge_blocks::validate::{
    Bounds, Document, Draft, Fault, Finding, Names, Redundancy, Row, Site, Transition,
};
use gingerledge_blocks::validate::{EntryWait, Standing, Unfit};
use gingerledge_blocks::wire::{
    self, CopyReply, CopyRequest, HeldBlock, LogSection, MapPage, OrderReply, SectionRequest,
};
use gingerledge_blocks::*;
use gingerledge_golden::{compare, read, Sample};
use serde::de::DeserializeOwned;
use serde::Serialize;

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Reads recorded bytes of one value, compares the value, and encodes it again.
type Check = Box<dyn Fn(&[u8])>;

/// Named values. Compares their encoding with the file, then decodes the bytes of the file.
struct EncodedSamples {
    file: PathBuf,
    samples: Vec<Sample>,
    checks: Vec<Check>,
}

impl EncodedSamples {
    fn new(name: &str) -> Self {
        Self { file: file(name), samples: Vec::new(), checks: Vec::new() }
    }

    fn add<T: Serialize + DeserializeOwned + PartialEq + Debug + 'static>(&mut self, name: &str, value: T) {
        self.samples.push(Sample::new(name, wire::encode(&value)));
        let name = name.to_owned();
        self.checks.push(Box::new(move |bytes| {
            let read: T = wire::decode(bytes).unwrap_or_else(|| panic!("{name} can't be read"));
            assert!(read == value, "{name} reads as {read:?}");
            assert_eq!(wire::encode(&read), bytes, "{name}");
        }));
    }

    fn check(self) {
        compare(&self.file, &self.samples);
        let recorded = read(&self.file);
        for (sample, check) in self.samples.iter().zip(self.checks) {
            check(&recorded[&sample.name]);
        }
    }
}

fn span() -> Span {
    Span::new(300, 70_000)
}

fn epoch(n: u32) -> Epoch {
    Epoch::from_parts(Term(3), n)
}

fn every_step() -> Vec<(&'static str, Step)> {
    vec![
        ("preparing", Step::Preparing),
        ("copying", Step::Copying),
        ("fencing", Step::Fencing),
        ("catching up", Step::CatchingUp { watermark: 777 }),
        ("reading", Step::Reading),
        ("naming", Step::Naming),
        ("committing", Step::Committing),
        ("retiring", Step::Retiring),
        ("opening", Step::Opening),
        ("forgetting", Step::Forgetting),
        ("unnaming", Step::Unnaming),
        ("dropping", Step::Dropping),
        ("unfencing", Step::Unfencing),
        ("withdrawing", Step::Withdrawing),
        ("done", Step::Done),
        ("abandoned", Step::Abandoned),
    ]
}

fn every_mode() -> Vec<(&'static str, Mode)> {
    vec![
        ("copying", Mode::Copying),
        ("reading", Mode::Reading),
        ("open", Mode::Open),
        ("fenced", Mode::Fenced),
        ("retired", Mode::Retired),
    ]
}

fn every_refusal() -> Vec<(&'static str, Refusal)> {
    vec![
        ("deposed", Refusal::Deposed(Term(7))),
        ("mode", Refusal::Mode(Mode::Fenced)),
        ("unheld", Refusal::Unheld),
        ("old", Refusal::Old(epoch(9))),
        ("late", Refusal::Late),
        ("full", Refusal::Full),
        ("uneven", Refusal::Uneven),
    ]
}

fn every_reason() -> Vec<(&'static str, Reason)> {
    vec![
        ("asked", Reason::Asked),
        ("patience", Reason::Patience(Step::CatchingUp { watermark: 12 })),
        ("refused", Reason::Refused(StoreId(300), Refusal::Late)),
        ("unsound", Reason::Unsound("two holders".into())),
    ]
}

fn every_kind() -> Vec<(&'static str, ChangeKind)> {
    let holders = vec![StoreId(1), StoreId(300)];
    let halves = vec![(BlockId(8), Span::new(300, 5000)), (BlockId(9), Span::new(5000, 70_000))];
    vec![
        ("move", ChangeKind::Move { from: StoreId(1), to: StoreId(2) }),
        ("add", ChangeKind::Add { source: StoreId(1), to: StoreId(2) }),
        ("remove", ChangeKind::Remove { from: StoreId(1), remaining_holder: StoreId(2) }),
        ("split", ChangeKind::Split { holders: holders.clone(), new: halves }),
        ("merge", ChangeKind::Merge { with: BlockId(6), holders, new: vec![(BlockId(10), span())] }),
    ]
}

fn change(kind: ChangeKind) -> Change {
    Change::new(ChangeId(400), BlockId(5), span(), kind, epoch(1), epoch(2))
}

/// Returns a change that has reached its fence: its private fields have values that differ from one another.
fn fenced_change() -> Change {
    let patience = Timeouts::default();
    let done = |watermark| Ok(OrderOutcome { mode: Some(Mode::Copying), watermark, copied: 0 });
    let mut change = change(ChangeKind::Move { from: StoreId(1), to: StoreId(2) });
    change.handle(1000, Input::Resume, &patience);
    change.handle(1100, Input::Reply(StoreId(2), done(0)), &patience);
    change.handle(1200, Input::Copied { copied: 500, length: 501 }, &patience);
    change.handle(1300, Input::NoReply(StoreId(1)), &patience);
    change
}

fn block() -> Block {
    let replica = |store, state| Replica { store: StoreId(store), state };
    Block {
        id: BlockId(5),
        span: span(),
        epoch: epoch(1),
        replicas: vec![
            replica(1, ReplicaState::Serving),
            replica(2, ReplicaState::Joining),
            replica(300, ReplicaState::Leaving),
        ],
        extent: Some(Extent([-92.5, 41.0, -76.0, 49.25])),
    }
}

fn retired() -> Record {
    Record::Retired { id: BlockId(4), span: Span::new(0, 300), epoch: epoch(6) }
}

fn snapshot() -> Snapshot {
    let bare = Block { id: BlockId(6), extent: None, span: Span::new(70_000, 80_000), ..block() };
    let gone = vec![(BlockId(4), Span::new(0, 300), epoch(6))];
    Snapshot { version: 1234, active: vec![block(), bare], retired: gone }
}

fn stores() -> Vec<(StoreId, String)> {
    vec![
        (StoreId(1), "s-5be2a07c".into()),
        (StoreId(2), "s-0a4fb6d2".into()),
        (StoreId(300), "s-93d04c1e".into()),
    ]
}

fn state() -> State {
    let changes = every_kind().into_iter().map(|(_, kind)| change(kind)).chain([fenced_change()]).collect();
    State {
        term: Term(3),
        stores: stores(),
        map: snapshot(),
        changes,
        paused: true,
        last_assigned: (10, 400, 70_000),
    }
}

fn every_record() -> Vec<(String, LogRecord)> {
    let mut records = vec![
        ("start of an empty state".to_owned(), LogRecord::Start(Box::default())),
        ("start".to_owned(), LogRecord::Start(Box::new(state()))),
        ("store".to_owned(), LogRecord::Store(StoreId(300), "s-93d04c1e".into())),
        ("begin under way".to_owned(), LogRecord::Begin(fenced_change())),
        (
            "batch".to_owned(),
            LogRecord::Batch(Batch { version: 1235, records: vec![Record::Active(block()), retired()] }),
        ),
        ("paused".to_owned(), LogRecord::Paused(true)),
        ("resumed".to_owned(), LogRecord::Paused(false)),
        ("given".to_owned(), LogRecord::Assigned { blocks: 10, changes: 400, epochs: 70_000 }),
    ];
    let begin = |(name, kind)| (format!("begin {name}"), LogRecord::Begin(change(kind)));
    records.extend(every_kind().into_iter().map(begin));
    let step = |(name, step)| (format!("step {name}"), LogRecord::Step(ChangeId(400), step, None));
    records.extend(every_step().into_iter().map(step));
    let id = ChangeId(401);
    let reason = |(name, why)| (format!("step for {name}"), LogRecord::Step(id, Step::Dropping, Some(why)));
    records.extend(every_reason().into_iter().map(reason));
    let refused = |(name, refusal)| {
        let why = Reason::Refused(StoreId(300), refusal);
        (format!("step for refusal {name}"), LogRecord::Step(id, Step::Withdrawing, Some(why)))
    };
    records.extend(every_refusal().into_iter().map(refused));
    records
}

#[test]
fn log_records_keep_their_encoding() {
    let samples: Vec<Sample> =
        every_record().iter().map(|(name, record)| Sample::new(name, encode(record))).collect();
    compare(&file("log_records.txt"), &samples);
    let recorded = read(&file("log_records.txt"));
    for (name, record) in every_record() {
        let bytes = [MAGIC.as_slice(), &recorded[&name]].concat();
        let (records, valid_length) = decode(&bytes).unwrap();
        assert!(records == [record], "{name}");
        assert_eq!(valid_length, bytes.len(), "{name}");
        assert_eq!(encode(&records[0]), recorded[&name], "{name}");
    }
}

#[test]
fn a_log_with_an_incomplete_last_record_is_repaired() {
    let records: Vec<LogRecord> = every_record().into_iter().map(|(_, record)| record).collect();
    let (mut log, _) = Log::open(SimulatedDisk::default()).unwrap();
    log.append(&records).unwrap();
    let complete = log.disk().bytes().to_vec();
    let torn = [&complete[..], &encode(&LogRecord::Store(StoreId(9), "torn".into()))[..11]].concat();
    let path = file("log.txt");
    compare(&path, &[Sample::new("whole", complete), Sample::new("torn", torn)]);
    let mut recorded = read(&path);
    let (torn, complete) = (recorded.remove("torn").unwrap(), recorded.remove("whole").unwrap());
    let (read, valid_length) = decode(&torn).unwrap();
    assert!(read == records);
    assert_eq!(valid_length, complete.len());
    let (log, opened) = Log::open(SimulatedDisk::with(torn)).unwrap();
    assert!(opened == records);
    assert_eq!(log.disk().bytes(), complete, "the torn record is cut off");
    let (mut again, _) = Log::open(SimulatedDisk::default()).unwrap();
    again.append(&read).unwrap();
    assert_eq!(again.disk().bytes(), complete);
}

/// Checks the initial state of a coordinator's term, which is the first record of its log.
#[test]
fn the_initial_record_of_a_term_keeps_its_encoding() {
    let bounds = gingerledge_blocks::Bounds::default();
    let mut old = State { changes: Vec::new(), ..state() };
    // The first active block covers what the retired block covered.
    old.map.active[0].span.first = 0;
    let old = LogRecord::Start(Box::new(old));
    let (coordinator, start) = Coordinator::begin(5000, Term(4), vec![old], bounds).unwrap();
    compare(&file("coordinator.txt"), &[Sample::new("start of the next term", encode(&start))]);
    let recorded = [MAGIC.as_slice(), &read(&file("coordinator.txt"))["start of the next term"]].concat();
    let (read, _) = decode(&recorded).unwrap();
    assert!(read == [start]);
    let (again, _) = Coordinator::begin(6000, Term(5), read, bounds).unwrap();
    assert!(again.map().snapshot() == coordinator.map().snapshot());
}

#[test]
fn orders_keep_their_encoding() {
    let orders = [
        ("inventory", Order::Inventory),
        ("found", Order::Create { span: span() }),
        ("prepare", Order::Prepare { span: span(), from: StoreId(300) }),
        ("fence", Order::Fence { to: StoreId(300) }),
        ("read", Order::AllowReads),
        ("retire", Order::Retire),
        ("open", Order::Open),
        ("forget", Order::Forget),
        ("unfence", Order::Unfence),
        ("name", Order::AddNames { old: vec![BlockId(1), BlockId(2)], new: vec![(BlockId(300), span())] }),
        ("unname", Order::RemoveNames { names: vec![BlockId(1), BlockId(300)] }),
    ];
    let mut samples = EncodedSamples::new("orders.txt");
    for (name, order) in orders {
        let (term, serial, block) = (Term(3), 999, BlockId(5));
        samples.add(name, StampedOrder { term, serial, block, epoch: epoch(1), order });
    }
    samples.check();
}

fn holding(mode: Mode) -> Holding {
    Holding {
        span: span(),
        epoch: epoch(2),
        held_since: epoch(1),
        mode,
        peer: Some(StoreId(300)),
        copied: 77_000,
    }
}

#[test]
fn order_replies_keep_their_encoding() {
    let mut samples = EncodedSamples::new("words.txt");
    for (name, mode) in every_mode() {
        samples.add(
            &format!("done {name}"),
            OrderReply::Done(OrderOutcome { mode: Some(mode), watermark: 400, copied: 399 }),
        );
    }
    samples.add("done and not held", OrderReply::Done(OrderOutcome { mode: None, watermark: 1, copied: 2 }));
    for (name, refusal) in every_refusal() {
        samples.add(&format!("refused {name}"), OrderReply::Refused(refusal));
    }
    let held = |mode| HeldBlock { block: BlockId(5), holding: holding(mode), bytes: 1_000_000, parts: 5 };
    let mut all: Vec<HeldBlock> = every_mode().into_iter().map(|(_, mode)| held(mode)).collect();
    all[0].holding.peer = None;
    samples.add("holds", OrderReply::Inventory { held: all, more: true });
    samples.add("holds nothing", OrderReply::Inventory { held: Vec::new(), more: false });
    samples.check();
}

#[test]
fn copy_section_and_map_messages_keep_their_encoding() {
    let entry = |key: &str| Entry { key: key.into(), weigher: 500, value: vec![1, 2, 255] };
    let from = |text: &str| CopyRequest {
        block: BlockId(5),
        epoch: epoch(1),
        from: text.parse().unwrap(),
        start: 300,
        bytes: 49_152,
    };
    let mut samples = EncodedSamples::new("messages.txt");
    samples.add("copy over IPv4", from("127.0.0.1:8080"));
    samples.add("copy over IPv6", from("[2001:db8::7]:8080"));
    samples.add("copied", Some(CopyReply { copied: 300, length: 400, bytes: 500 }));
    samples.add("not copied", None::<CopyReply>);
    samples.add("tail", SectionRequest { span: span(), start: 300, bytes: 49_152 });
    samples.add("stretch", LogSection { entries: vec![entry("q1.3"), entry("")], next: 4, length: 900 });
    let records = vec![Record::Active(block()), retired()];
    let cursor = Cursor { version: 1234, block: BlockId(5) };
    samples.add(
        "news",
        MapPage { stores: stores(), records, cursor, version: 1235, term: 3, is_full_map: true },
    );
    samples.add(
        "no news",
        MapPage {
            stores: vec![],
            records: vec![],
            cursor: Cursor::after_version(9),
            version: 9,
            term: 3,
            is_full_map: false,
        },
    );
    samples.check();
}

#[test]
fn stored_data_keeps_its_encoding() {
    let blocks = every_mode().into_iter().map(|(_, mode)| (BlockId(5), holding(mode))).collect();
    let entries = vec![Entry { key: "q1.3".into(), weigher: 500, value: vec![1, 2, 255] }];
    let (deleted, last_serials) = (vec![(BlockId(4), epoch(6))], vec![(BlockId(5), 999)]);
    let mut samples = EncodedSamples::new("kept.txt");
    samples.add("a store's disk", DurableState { term: Term(3), blocks, deleted, last_serials, entries });
    samples.add("a map", snapshot());
    samples.add("a broker's kept map", (snapshot(), stores(), 3u32));
    samples.check();
}

#[test]
fn frame_types_and_magic_bytes_are_unchanged() {
    let letters = [wire::ORDER, wire::REPLY, wire::COPY, wire::COPIED, wire::READ_SECTION, wire::SECTION];
    compare(&file("letters.txt"), &[Sample::new("letters", letters), Sample::new("magic", *MAGIC)]);
}

/// Checks the JSON form of the map. No program writes it at present; this test fixes the names of its fields.
#[test]
fn the_json_form_of_the_map_is_unchanged() {
    let path = file("map_json.txt");
    let map = serde_json::to_vec(&snapshot()).unwrap();
    compare(&path, &[Sample::new("map", map)]);
    let recorded = read(&path);
    let map: Snapshot = serde_json::from_slice(&recorded["map"]).unwrap();
    assert!(map == snapshot());
    assert_eq!(serde_json::to_vec(&map).unwrap(), recorded["map"]);
}

fn every_fault() -> Vec<(&'static str, Fault)> {
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let store = || "s-5be2a07c".to_owned();
    let holder = |why, copies| Fault::Holder { store: store(), why, copies };
    let (old, new) = (names(&["s-1", "s-2", "s-3"]), names(&["s-4"]));
    vec![
        ("gap", Fault::Gap),
        ("overlap", Fault::Overlap { more: 0 }),
        ("overlap of many", Fault::Overlap { more: 3 }),
        ("empty", Fault::Empty),
        ("reversed", Fault::Reversed),
        ("outside", Fault::Outside { all: span() }),
        ("used twice", Fault::UsedTwice),
        ("used again", Fault::UsedAgain),
        ("epoch", Fault::Epoch { held: epoch(2), found: epoch(1) }),
        ("holder unknown", holder(Unfit::Unknown, false)),
        ("holder draining", holder(Unfit::Draining, true)),
        ("holder gone", holder(Unfit::Gone, false)),
        ("held twice", Fault::HeldTwice { store: store() }),
        ("too many", Fault::TooMany { replicas: 9, most: 8 }),
        ("holders", Fault::Holders { sound: 1, least: 2 }),
        ("zones", Fault::Zones { sound: 1, least: 2 }),
        ("capacity", Fault::Capacity { store: store(), load: 2.5, room: 1.25 }),
        ("store twice", Fault::StoreTwice { store: store() }),
        ("figure", Fault::Figure { what: "capacity", value: "NaN".into() }),
        ("unfollowed", Fault::Unfollowed { old: old.clone(), new: new.clone() }),
        ("two sets", Fault::TwoSets { old: old.clone(), new: new.clone() }),
        ("unreadable", Fault::Unreadable { old, new }),
        ("given up", Fault::GivenUp),
        ("version", Fault::Version { held: 7, found: 9 }),
    ]
}

#[test]
fn findings_keep_their_texts_and_json_forms() {
    let mut samples = Vec::new();
    for (n, (name, fault)) in every_fault().into_iter().enumerate() {
        let placed = n % 2 == 0;
        let finding = Finding {
            fault,
            keys: placed.then(span),
            blocks: if placed { vec![BlockId(5), BlockId(6)] } else { vec![BlockId(5)] },
            lines: if placed { vec![12, 17] } else { Vec::new() },
        };
        samples.push(Sample::new(&format!("{name}, JSON"), serde_json::to_vec(&finding).unwrap()));
        samples.push(Sample::new(&format!("{name}, text"), finding.to_string()));
    }
    let wait =
        EntryWait { keys: span(), block: BlockId(5), from: vec!["s-1".into()], to: vec!["s-2".into()] };
    let finding = Finding { fault: Fault::Gap, keys: None, blocks: Vec::new(), lines: Vec::new() };
    let passage = Transition { findings: vec![finding], waits: vec![wait] };
    samples.push(Sample::new("passage, JSON", serde_json::to_vec(&passage).unwrap()));
    compare(&file("findings.txt"), &samples);
}

/// A map document with every key and every store state.
const DOCUMENT: &str = r#"version = 7
keys = [0, 200]
retired = [3]
goal = { replicas = 2, zones = 3 }

[[store]]
name = "s-1"
zone = "a"
region = "north"
capacity = 100.0
state = "listed"

[[store]]
name = "s-2"
zone = "b"
capacity = 50.0
state = "cold"

[[store]]
name = "s-3"
zone = "b"
capacity = 25.0
state = "draining"

[[store]]
name = "s-4"
zone = "c"
capacity = 12.0
state = "gone"

[[block]]
block = 1
first = 0
end = 200
epoch = 4294967297
load = 1.5
stores = ["s-1", "s-2"]
copying = ["s-3"]
"#;

#[test]
fn a_map_document_is_parsed_as_before() {
    let path = file("document.txt");
    compare(&path, &[Sample::new("document", DOCUMENT)]);
    let text = String::from_utf8(read(&path).remove("document").unwrap()).unwrap();
    let mut names = Names::default();
    let ids: Vec<StoreId> = ["s-1", "s-2", "s-3", "s-4"].map(|name| names.id(name)).to_vec();
    let document = Document::read(&text, &mut names, &Bounds::default()).unwrap();
    let site = |n: usize, zone, region, capacity, standing, line| Site {
        store: ids[n],
        zone,
        region,
        capacity,
        standing,
        line,
    };
    let read = &document.draft;
    // Zones and regions are numbered in the order of their first occurrence.
    let (north, none) = (read.sites[0].region, read.sites[1].region);
    let (a, b, c) = (read.sites[0].zone, read.sites[1].zone, read.sites[3].zone);
    assert!(north != none && a != b && b != c && a != c);
    let lines = |n: usize| read.sites[n].line;
    assert!(lines(0) < lines(1) && lines(1) < lines(2) && lines(2) < lines(3));
    let row = Row {
        id: BlockId(1),
        span: Span::new(0, 200),
        epoch: Epoch(4_294_967_297),
        holders: vec![ids[0], ids[1]],
        copying: vec![ids[2]],
        load: 1.5,
        line: read.rows[0].line,
        lines: read.rows[0].lines.clone(),
    };
    let expected = Draft {
        keys: Span::new(0, 200),
        minimum: Redundancy { holders: 2, zones: 3 },
        sites: vec![
            site(0, a, north, 100.0, Standing::Listed, lines(0)),
            site(1, b, none, 50.0, Standing::Cold, lines(1)),
            site(2, b, none, 25.0, Standing::Draining, lines(2)),
            site(3, c, none, 12.0, Standing::Gone, lines(3)),
        ],
        rows: vec![row],
        retired: vec![BlockId(3)],
    };
    assert_eq!(document.version, Some(7));
    assert!(*read == expected);
}
