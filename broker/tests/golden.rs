//! What the broker stores, sends and answers, against bytes that an earlier version of it wrote.
//!
//! The operators' map shows a change's step and reason as `Debug` text: that text is part of the answer and pinned here.
//! `GOLDEN_WRITE=1` writes the files anew.
#![allow(clippy::unwrap_used)]

mod common;

use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use common::Sides;
use gingerledge::blocks::{admin, lease, requests};
use gingerledge::config::Config;
use gingerledge::counters::Counters;
use gingerledge::front::features::{describe, link};
use gingerledge::front::{platform, Reply};
use gingerledge::geojson::{merge_pages, FeatureId};
use gingerledge::handover::{OtherProcess, Presence};
use gingerledge::http::{self, parse_head, Head};
use gingerledge::rotation::{DisabledStores, Rotation};
use gingerledge::store::frame::{self, Frame, PartOutcome};
use gingerledge::subsystem::{self, Host, Subsystem};
use gingerledge_blocks::*;
use gingerledge_golden::{compare, read, Sample};
use gingerledge_testkit::scripted;
use serde_json::json;

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// An empty folder of one test.
fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("gingerledge-golden-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

/// The files of a folder with their names, as samples.
fn files(dir: &Path, when: &str) -> Vec<Sample> {
    let mut names: Vec<String> =
        fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
    names.sort_unstable();
    let sample = |name: &String| {
        Sample::new(&format!("{when}, {}", name.replace(':', "-")), fs::read(dir.join(name)).unwrap())
    };
    names.iter().map(sample).collect()
}

fn head(text: &str) -> Head {
    parse_head(format!("{text}\r\n\r\n").as_bytes(), http::Kind::Request).unwrap().unwrap().0
}

#[test]
fn the_file_of_disabled_stores_is_what_it_was() {
    let (dir, at) = (folder("rotation"), ([127, 0, 0, 1], 8080).into());
    let rotation = Rotation::open(Some(&dir), at, 1e12);
    for (store, now) in [("s-1", 1.7e12), ("s-2", 1.7e12 + 5.0), ("s-3", 1.7e12 + 7.0)] {
        rotation.disable(store, now).unwrap();
    }
    rotation.enable("s-2", 1.7e12 + 900.0).unwrap();
    compare(&file("rotation.txt"), &files(&dir, "changed"));
    let recorded = read(&file("rotation.txt")).remove("changed, gingerledge-127.0.0.1-8080.out").unwrap();
    let (stores, unreadable) = DisabledStores::parse(&recorded);
    assert_eq!((unreadable, stores.to_text().into_bytes()), (0, recorded.clone()));
    assert_eq!(stores.disabled.get("s-1"), Some(&1_700_000_000_000));
    assert_eq!(stores.enabled.get("s-2"), Some(&(1_700_000_000_005, 1_700_000_000_900)));
    // An earlier process's file is taken up by the next.
    let other = folder("rotation-next");
    fs::write(other.join("gingerledge-127.0.0.1:8080.out"), &recorded).unwrap();
    let next = Rotation::open(Some(&other), at, 1e12);
    assert!(next.is_disabled("s-1") && !next.is_disabled("s-2") && next.is_disabled("s-3"));
    next.enable("s-1", 1.7e12 + 901.0).unwrap();
    next.disable("s-1", 1.7e12).unwrap();
    assert_eq!(fs::read(other.join("gingerledge-127.0.0.1:8080.out")).unwrap(), recorded);
    let _ = (fs::remove_dir_all(dir), fs::remove_dir_all(other));
}

#[test]
fn the_files_of_a_handover_are_what_they_were() {
    let (dir, at) = (folder("handover"), ([127, 0, 0, 1], 8080).into());
    let first = Presence::register(Some(&dir), at);
    let mut samples = files(&dir, "one process");
    let second = Presence::register(Some(&dir), at);
    assert_eq!((first.refresh(), second.refresh()), (OtherProcess::Serves, OtherProcess::Serves));
    first.announce_shutdown();
    assert_eq!(second.refresh(), OtherProcess::Leaves);
    samples.extend(files(&dir, "two processes"));
    compare(&file("handover.txt"), &samples);
    let _ = fs::remove_dir_all(dir);
}

#[test]
fn the_lease_and_the_logs_are_what_they_were() {
    let dir = folder("lease");
    let now = 1_700_000_000_000;
    let term = lease::acquire(&dir, "b-1", now, 5000).unwrap().unwrap();
    let mut samples = files(&dir, "taken");
    let (mut log, _) = lease::open_log(&dir, term).unwrap();
    log.append(&[LogRecord::Paused(true)]).unwrap();
    assert!(lease::renew(&dir, term, now + 1000, 5000).unwrap());
    samples.extend(files(&dir, "renewed"));
    lease::release(&dir, term).unwrap();
    samples.extend(files(&dir, "released"));
    lease::write_checked(&dir.join("blocks-b-1.map"), b"bytes of a map").unwrap();
    samples.extend(files(&dir, "kept"));
    compare(&file("lease.txt"), &samples);
    let recorded = read(&file("lease.txt"));
    let lease = &recorded["renewed, blocks.lease"];
    fs::write(dir.join("blocks.lease"), lease).unwrap();
    let read = lease::read(&dir).unwrap();
    assert!(read == lease::Lease { term: 1, holder: "b-1".into(), until_ms: now + 6000 });
    assert_eq!(&serde_json::to_vec(&read).unwrap(), lease);
    fs::write(dir.join("kept.map"), &recorded["kept, blocks-b-1.map"]).unwrap();
    assert_eq!(lease::read_checked(&dir.join("kept.map")).unwrap(), b"bytes of a map");
    let (_, records) = lease::open_log(&dir, Term(2)).unwrap();
    assert!(records == [LogRecord::Paused(true)]);
    let _ = fs::remove_dir_all(dir);
}

fn coordinator() -> Coordinator {
    let replica = |store, state| Replica { store: StoreId(store), state };
    let block = |id, first, end| Block {
        id: BlockId(id),
        span: Span::new(first, end),
        epoch: Epoch::from_parts(Term(3), 1),
        replicas: vec![
            replica(1, ReplicaState::Serving),
            replica(2, ReplicaState::Joining),
            replica(3, ReplicaState::Leaving),
        ],
        extent: None,
    };
    let kinds = [
        ChangeKind::Move { from: StoreId(1), to: StoreId(2) },
        ChangeKind::Add { source: StoreId(1), to: StoreId(2) },
        ChangeKind::Remove { from: StoreId(1), remaining_holder: StoreId(3) },
        ChangeKind::Split { holders: vec![StoreId(1)], new: vec![(BlockId(20), Span::new(0, 10))] },
        ChangeKind::Merge {
            with: BlockId(5),
            holders: vec![StoreId(1)],
            new: vec![(BlockId(21), Span::new(0, 10))],
        },
    ];
    let reasons = [
        Some(Reason::Asked),
        Some(Reason::Patience(Step::CatchingUp { watermark: 7 })),
        Some(Reason::Refused(StoreId(2), Refusal::Deposed(Term(4)))),
        Some(Reason::Unsound("two \"holders\"".into())),
        None,
    ];
    let (epoch, back) = (Epoch::from_parts(Term(3), 2), Epoch::from_parts(Term(3), 3));
    let changes = (0..5u32).zip(kinds).zip(reasons).map(|((n, kind), reason)| {
        let span = Span::new(u64::from(n) * 10, u64::from(n) * 10 + 10);
        let mut change = Change::new(ChangeId(u64::from(n)), BlockId(n), span, kind, epoch, back);
        change.reason = reason;
        if n == 0 {
            change.step = Step::CatchingUp { watermark: 99 };
        }
        change
    });
    let state = State {
        term: Term(3),
        stores: (1..=3).map(|n| (StoreId(n), format!("s-{n}"))).collect(),
        map: Snapshot {
            version: 12,
            active: (0..6).map(|n| block(n, u64::from(n) * 10, u64::from(n) * 10 + 10)).collect(),
            retired: vec![],
        },
        changes: changes.collect(),
        paused: true,
        last_assigned: (30, 10, 5),
    };
    let records = vec![LogRecord::Start(Box::new(state))];
    Coordinator::begin(1000, Term(4), records, Bounds::default()).unwrap().0
}

#[test]
fn the_operators_documents_of_blocks_are_what_they_were() {
    let coordinator = coordinator();
    let site = |n: u32, evacuate: bool| StoreState {
        id: StoreId(n),
        zone: n,
        capacity: 1.0,
        accepts_blocks: !evacuate,
        evacuate,
        responds: true,
    };
    let sites = [site(1, false), site(2, false), site(3, true), site(4, false)];
    let load = BlockLoad { bytes: 1000, load: 1.0, is_changeable: true };
    let loads = (0..6).map(|n| (BlockId(n), load)).collect();
    let goal = Goal { split_above: 0.5, ..Goal::default() };
    let planned = plan(coordinator.map(), &sites, &loads, &[BlockId(0)].into(), &[], &goal);
    compare(
        &file("blocks.txt"),
        &[
            Sample::new("all", admin::map_page_json(&coordinator, 1000, 0, 150).to_string()),
            Sample::new(
                "a page, long after",
                admin::map_page_json(&coordinator, 10_000_000, 2, 2).to_string(),
            ),
            Sample::new("plan", admin::plan_json(&coordinator, &planned).to_string()),
        ],
    );
}

#[test]
fn calls_about_blocks_are_read_as_they_were() {
    use requests::{NamedChange, Request};
    let cursor = |version, block| Cursor { version, block: BlockId(block) };
    let calls = [
        ("GET /blocks", "", Request::ShowMap { from: 0, limit: 150 }),
        ("GET /blocks?from=3&most=7", "", Request::ShowMap { from: 3, limit: 7 }),
        ("GET /blocks/news", "", Request::MapUpdates { since: cursor(0, u32::MAX), term: 0 }),
        ("GET /blocks/news?since=5&block=6&term=7", "", Request::MapUpdates { since: cursor(5, 6), term: 7 }),
        ("GET /blocks/plan", "", Request::Plan { execute: false }),
        ("PUT /blocks/plan", "", Request::Plan { execute: true }),
        (
            "PUT /blocks/move",
            r#"{"block":1,"from":"a","to":"b"}"#,
            Request::Change(NamedChange::Move(1, "a".into(), "b".into())),
        ),
        ("PUT /blocks/move", r#"{"block":1,"to":"b"}"#, Request::Change(NamedChange::Add(1, "b".into()))),
        (
            "PUT /blocks/move",
            r#"{"block":1,"from":"a"}"#,
            Request::Change(NamedChange::Remove(1, "a".into())),
        ),
        ("PUT /blocks/split", r#"{"block":1,"at":9}"#, Request::Change(NamedChange::Split(1, 9))),
        ("PUT /blocks/merge", r#"{"block":1,"with":2}"#, Request::Change(NamedChange::Merge(1, 2))),
        ("PUT /blocks/abandon", r#"{"change":8}"#, Request::Abandon(8)),
        ("PUT /blocks/pause", "", Request::Pause(true)),
        ("PUT /blocks/resume", "", Request::Pause(false)),
    ];
    for (line, body, call) in calls {
        let read = admin::parse_request(&head(&format!("{line} HTTP/1.1")), body.as_bytes());
        assert!(read == Ok(call), "{line} {body}");
    }
}

#[test]
fn cursors_are_what_they_were() {
    let key = b"sixteen characters";
    let whole = link::Position {
        collection: "yards".into(),
        bbox: Some("-92.5,41,-76,49.25".into()),
        datetime: Some("2024-05-01T00:00:00Z/..".into()),
        limit: 10,
        after: Some(FeatureId::Text("w-\u{e9}17".into())),
    };
    let number =
        link::Position { after: Some(FeatureId::Number(-7)), bbox: None, datetime: None, ..whole.clone() };
    let first = link::Position { after: None, ..number.clone() };
    let positions = [("whole", whole), ("after a number", number), ("from the first", first)];
    let path = file("cursors.txt");
    let samples =
        positions.each_ref().map(|(name, p)| Sample::new(name, link::encode_cursor(p, key).unwrap()));
    compare(&path, &samples);
    let recorded = read(&path);
    for (name, position) in positions {
        let cursor = String::from_utf8(recorded[name].clone()).unwrap();
        let opened = link::decode_cursor(&cursor, key).unwrap();
        assert!(opened == position, "{name}");
        assert_eq!(link::encode_cursor(&opened, key).unwrap(), cursor, "{name}");
    }
}

#[test]
fn frames_are_what_they_were() {
    let letters =
        [frame::CALL, frame::WITHDRAW, frame::PROBE, frame::LOAD_PROBE, frame::ANSWER, frame::PROTOCOL_ERROR];
    let parts = [frame::part("q.3", 3, "k=abc", b"c41e"), frame::part("q.4", 4, "-", b"")].concat();
    let call = frame::frame(frame::CALL, &parts);
    let answers = [
        ("good", "q.3 good 17 util=0.5,queue=3\nvalue", PartOutcome::Served, 17, vec![0.5, 3.0], None),
        ("bad", "q.3 bad - -\n", PartOutcome::Failed, 0, vec![], None),
        ("later", "q.3 later 0 epoch=4294967297\n", PartOutcome::Rejected, 0, vec![], Some(4_294_967_297)),
    ];
    let path = file("frames.txt");
    let mut samples = vec![Sample::new("letters", letters), Sample::new("call", call)];
    for (name, text, ..) in &answers {
        samples.push(Sample::new(name, frame::frame(frame::ANSWER, text.as_bytes())));
    }
    compare(&path, &samples);
    let recorded = read(&path);
    for (name, _, outcome, score, report, newer_epoch) in answers {
        let (letter, rest, length) = frame::split(&recorded[name]).unwrap().unwrap();
        assert_eq!(length, recorded[name].len());
        let value: &[u8] = if name == "good" { b"value" } else { b"" };
        let expected = Frame::Answer { id: "q.3", outcome, score, report, newer_epoch, value };
        assert!(frame::parse(letter, rest).unwrap() == expected, "{name}");
    }
    let (letter, rest, _) = frame::split(&recorded["call"]).unwrap().unwrap();
    assert_eq!(frame::frame(letter, rest), recorded["call"]);
    assert!(frame::parse(b'p', b"util=0.5").unwrap() == Frame::Loaded(vec![0.5]));
    assert!(frame::parse(b'o', b"").unwrap() == Frame::Probed);
    assert!(frame::parse(b'r', b"no").unwrap() == Frame::ProtocolError(b"no"));
}

#[test]
fn answers_of_the_platform_and_pages_are_what_they_were() {
    let values = [(3, Rc::from(&b"plain"[..])), (9, Rc::from("q\"\\\n\u{e9}".as_bytes()))];
    let feature = |id: &str| format!(r#"{{"type":"Feature","id":{id},"geometry":null}}"#);
    let block = |ids: [&str; 2], links: &str| {
        let features = ids.map(feature).join(",");
        let text = format!(r#"{{"type":"FeatureCollection",{links}"features":[{features}]}}"#);
        Rc::from(text.as_bytes())
    };
    let blocks = [(0, block(["1", "\"b\""], "")), (1, block(["2", "\"a\""], r#""links":[{"rel":"next"}],"#))];
    let read = merge_pages(&blocks, None, 10, 10_000).unwrap();
    let next = serde_json::to_vec(&read.next).unwrap();
    let advice = Reply::text(503, "refused; trying again is harmless");
    compare(
        &file("answers.txt"),
        &[
            Sample::new("whole", platform::encode_answer(true, &values).unwrap()),
            Sample::new("in part", platform::encode_answer(false, &[]).unwrap()),
            Sample::new("retry after", platform::retry_after(1234.0)),
            Sample::new("headers", advice.headers),
            Sample::new("body", advice.body),
            Sample::new("answer", http::encode_response(503, "Retry-After: 1\r\n", b"later\n", false)),
            Sample::new("answer on a kept connection", http::encode_response(200, "", b"{}", true)),
            Sample::new("page", read.features.join(",")),
            Sample::new("next", next),
            Sample::new("admin words", subsystem::Reply::text(409, "paused").body),
            Sample::new("admin JSON", subsystem::Reply::json(&json!({ "b": 1, "a": [null, 0.5] })).body),
            Sample::new("counters", Counters::default().to_string()),
        ],
    );
}

fn deploy(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy").join(name)).unwrap()
}

/// A configuration and an operator's file with every key, read from what was recorded.
#[test]
fn configurations_are_read_as_they_were() {
    let mut settings = json!(null);
    scripted::run(2, |world| {
        settings = world.settings();
        async {}
    });
    settings["index"] = json!(1);
    let limits = [("max_open", 77), ("streams_per_conn", 5), ("dial_timeout_ms", 99), ("conn_idle_ms", 1234)];
    for (key, value) in limits {
        settings["limits"][key] = json!(value);
    }
    let config = json!({
        "name": "b-1", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8081", "admin_addr": "127.0.0.1:8082",
        "peer_listen": "127.0.0.1:8083", "peers": ["127.0.0.1:8083", "127.0.0.1:8084"], "seed": "ff",
        "known": { "generation": 1, "reset": true, "instances": [] },
        "limits": { "sockets": 512, "memory_mb": 64 }, "settings": settings,
    });
    let path = file("configuration.txt");
    compare(
        &path,
        &[
            Sample::new("configuration", config.to_string()),
            Sample::new("blocks.toml", deploy("blocks.toml")),
            Sample::new("fleet.toml", deploy("fleet.toml")),
        ],
    );
    let recorded = read(&path);
    let text = |name: &str| String::from_utf8(recorded[name].clone()).unwrap();
    let vars = |key: &str| match key {
        "LB_CONFIG" => Some("config".to_owned()),
        "LB_OPERATOR" => Some("operator".to_owned()),
        _ => None,
    };
    let config = Config::read(vars, |path| match path {
        "config" => Ok(text("configuration")),
        _ => Ok(format!("{}\n{}", text("fleet.toml"), text("blocks.toml"))),
    })
    .unwrap();
    assert_eq!((config.name.as_str(), config.seed, config.sockets, config.memory_mb), ("b-1", 255, 512, 64));
    let ports = [Some(config.listen), Some(config.discovery), config.admin].map(|at| at.unwrap().port());
    assert_eq!(ports, [8080, 8081, 8082]);
    assert_eq!((config.max_open, config.streams), (77, 5));
    assert_eq!((config.dial_timeout_ms, config.idle_ms), (99.0, 1234.0));
    assert!(config.remembered_list.is_some());
    let fleet = config.fleet.unwrap();
    assert_eq!((fleet.listen.port(), fleet.peers.len(), fleet.settings.own), (8083, 2, 1));
    assert_eq!(
        (fleet.settings.probe_ms, fleet.settings.answer_ms, fleet.settings.sent_per_s),
        (1000.0, 300.0, 20.0)
    );
    let blocks = config.blocks.unwrap();
    assert!(blocks.coordinate && blocks.coordinators.len() == 2 && blocks.initial_blocks.len() == 2);
    assert_eq!((blocks.lease_ms, blocks.follow_ms, blocks.plan_every_ms), (5000, 500, 2000));
    assert_eq!((blocks.rest_ms, blocks.goal.replicas, blocks.goal.imbalance_start), (60_000, 2, 0.25));
    assert_eq!(
        (blocks.initial_blocks[1].block, blocks.initial_blocks[1].span),
        (1, Span::new(50_000, 100_000))
    );
    assert_eq!(blocks.initial_blocks[1].stores, ["s-0d91c3fe", "s-77a0e2b1"]);
}

/// The fleet as operators see it, of a broker that has heard nobody: no counts that depend on time.
#[test]
fn the_operators_document_of_the_fleet_has_the_keys_it_had() {
    let sides = Sides::new(10);
    let host = Host {
        name: "b-0".into(),
        clock: gingerledge::clock::Clock::new(),
        executor: sides.executor.clone(),
        counters: sides.counters.clone(),
        exchange: sides.exchange.clone(),
        stores: sides.stores.clone(),
        discovery: sides.discovery.clone(),
    };
    let settings = gingerledge_fleet::Settings {
        members: 2,
        own: 0,
        probe_ms: 1000.0,
        answer_ms: 300.0,
        sent_per_s: 20.0,
    };
    let own = ([127, 0, 0, 1], 0).into();
    let set = gingerledge::config::fleet::Fleet {
        listen: own,
        peers: vec![own, ([127, 0, 0, 1], 9).into()],
        settings,
    };
    let fleet = gingerledge::fleet::Fleet::start(set, &host, 1).unwrap();
    let request = head("GET /fleet/members HTTP/1.1");
    let reply = futures_lite::future::block_on(fleet.handle_request(&request, b""));
    let mut shown: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    // The clock's time is the only thing in it that differs from run to run.
    for member in shown["members"].as_array_mut().unwrap() {
        if member["started_ms"].as_u64().unwrap() > 0 {
            member["started_ms"] = json!("some time");
        }
    }
    compare(&file("fleet.txt"), &[Sample::new("members", shown.to_string())]);
}

/// What the feature front says of itself.
#[test]
fn documents_of_the_feature_front_are_what_they_were() {
    let mut set = None;
    scripted::run(2, |world| {
        let config = json!({
            "name": "b-1", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8081", "settings": world.settings(),
        });
        let operator = world.operator(&[]);
        let vars = |key: &str| match key {
            "LB_CONFIG" => Some("config".to_owned()),
            "LB_OPERATOR" => Some("operator".to_owned()),
            _ => None,
        };
        let read = Config::read(vars, |path| match path {
            "config" => Ok(config.to_string()),
            _ => Ok(operator.clone()),
        });
        set = read.unwrap().features;
        async {}
    });
    let (set, base) = (set.unwrap(), "http://127.0.0.1:8480");
    compare(
        &file("features.txt"),
        &[
            Sample::new("landing", describe::landing(&set, base).to_string()),
            Sample::new("conformance", describe::conformance().to_string()),
            Sample::new("collections", describe::collections(&set, base).to_string()),
            Sample::new("api", describe::api(&set, base).to_string()),
        ],
    );
}
