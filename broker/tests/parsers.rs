//! Every parser against random cuts of valid messages and against garbage.
#![allow(clippy::unwrap_used)]

mod common;

use common::cuts::{cuts, garbage};
use gingerledge::admin;
use gingerledge::config::Config;
use gingerledge::discovery::{self, ListParser};
use gingerledge::front::features::{link, query};
use gingerledge::front::platform::{encode_answer, parse_query, RequestNames};
use gingerledge::geojson::{self, merge_pages, FeatureId};
use gingerledge::http::{parse_chunk, parse_head, Chunk, Fault, Framing, Kind, BODY_MAX, HEAD_MAX};
use gingerledge::rotation::DisabledStores;
use gingerledge::store::frame::{self, Frame};

const REQUEST: &[u8] = b"POST /yard-compare HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f\r\n\
    X-Priority-Class: yard-compare\r\nX-Tenant-Id: club\r\nX-Timeout-Ms: 480\r\nContent-Length: 85\r\n\r\n";
const BODY: &[u8] =
    br#"{"ranges":[{"range":3,"portion":0.5,"price":9000},{"range":9,"portion":0.5}],"predicate":"c41e"}"#;
const CHUNKS: &[u8] = b"5\r\nhello\r\n7;a=b\r\n, world\r\n0\r\nTrailer: 1\r\n\r\n";
const LIST: &[u8] = br#"{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:8080","zone":"a","machineType":"m2","cell":3,"lifecycle":"up","weight":1.0,"startedAtMs":0}]}"#;
const PAGE: &[u8] = br#"{"type":"FeatureCollection","links":[{"rel":"next","href":"x"}],"features":[{"type":"Feature","id":"a","geometry":null,"properties":{"kg":1}},{"type":"Feature","id":"b","geometry":null,"properties":{}}]}"#;

/// Feeds pieces to a parser that works on a growing buffer; gives all that it took off the front.
fn grow<T>(pieces: &[&[u8]], mut front: impl FnMut(&[u8]) -> Option<(T, usize)>) -> Vec<T> {
    let (mut buffer, mut taken) = (Vec::new(), Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let Some((item, length)) = front(&buffer) {
            taken.push(item);
            buffer.drain(..length);
        }
    }
    assert!(buffer.is_empty(), "{} bytes left", buffer.len());
    taken
}

#[test]
fn heads_are_read_however_they_are_cut() {
    cuts(REQUEST, |pieces| grow(pieces, |bytes| parse_head(bytes, Kind::Request).unwrap()));
    let reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    cuts(reply, |pieces| grow(pieces, |bytes| parse_head(bytes, Kind::Response).unwrap()));
    for kind in [Kind::Request, Kind::Response] {
        garbage(REQUEST, |bytes| drop(parse_head(bytes, kind)));
        garbage(reply, |bytes| drop(parse_head(bytes, kind)));
    }
}

#[test]
fn operators_calls_are_read_whatever_comes() {
    let text: &[u8] = b"PUT /drain HTTP/1.1\r\nHost: broker\r\nContent-Length: 0\r\n\r\n";
    let read = |bytes: &[u8]| parse_head(bytes, Kind::Request).ok().flatten();
    cuts(text, |pieces| {
        grow(pieces, |bytes| read(bytes).map(|(head, at)| (admin::parse_call(&head, b""), at)))
    });
    garbage(text, |bytes| drop(read(bytes).map(|(head, at)| admin::parse_call(&head, &bytes[at..]))));
    let status = |line: &str, body: &[u8]| {
        let (head, _) = read(format!("{line} HTTP/1.1\r\n\r\n").as_bytes()).unwrap();
        admin::parse_call(&head, body).map_err(|(status, _)| status)
    };
    assert_eq!(status("GET /ready", b""), Ok(admin::Call::Ready));
    assert_eq!(status("PUT /undrain", b""), Ok(admin::Call::Undrain));
    let out = |id: &str| Ok(admin::Call::Store { id: id.to_owned(), out: true });
    assert_eq!(status("PUT /reading-stores/disable", b"s-5be2a07c\n"), out("s-5be2a07c"));
    for body in [&b""[..], b"two words", b"\xff", &[b'x'; 129]] {
        assert_eq!(status("PUT /reading-stores/enable", body), Err(400));
    }
    assert_eq!(status("PUT /nowhere", b""), Err(404));
    assert_eq!(status("GET /drain", b""), Err(405));
    assert_eq!(status("PUT /drain", b"now"), Err(400));
}

#[test]
fn disabled_stores_are_read_as_written_and_invalid_lines_skipped() {
    let text = b"out s-1 17\nout s-2 18\nback s-3 19 1764000000000\n";
    let (stores, unreadable) = DisabledStores::parse(text);
    assert_eq!((stores.disabled.len(), stores.enabled["s-3"], unreadable), (2, (19, 1_764_000_000_000), 0));
    assert_eq!(stores.to_text().as_bytes(), text);
    // Cut short, an id must not be taken for another.
    assert_eq!(DisabledStores::parse(&text[..20]), (DisabledStores::parse(b"out s-1 17\n").0, 1));
    garbage(text, |bytes| {
        let (stores, _) = DisabledStores::parse(bytes);
        assert_eq!(DisabledStores::parse(stores.to_text().as_bytes()), (stores, 0));
    });
    let many: String = (0..10_000).map(|n| format!("out s-{n} 1\nback t-{n} 1 2\n")).collect();
    let (stores, _) = DisabledStores::parse(many.as_bytes());
    assert!(stores.disabled.len() <= 512 && stores.enabled.len() <= 512);
}

#[test]
fn framing_that_could_hide_a_second_request_is_refused() {
    let fault = |headers: &str| {
        let text = format!("POST / HTTP/1.1\r\n{headers}\r\n");
        parse_head(text.as_bytes(), Kind::Request).err()
    };
    assert_eq!(fault("Content-Length: 3\r\nContent-Length: 4\r\n"), Some(Fault::Malformed));
    assert_eq!(fault("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), Some(Fault::Malformed));
    assert_eq!(fault("Content-Length: +3\r\n"), Some(Fault::Malformed));
    assert_eq!(fault("Transfer-Encoding: gzip\r\n"), Some(Fault::Coding));
    assert_eq!(fault("Content-Length: 65537\r\n"), Some(Fault::BodyTooLong));
    assert_eq!(fault("Content-Length: 99999999999999999999\r\n"), Some(Fault::BodyTooLong));
    assert_eq!(fault(&format!("A: {}\r\n", "x".repeat(HEAD_MAX))), Some(Fault::HeadTooLong));
    assert_eq!(fault("Content-Length: 65536\r\n"), None);
}

#[test]
fn chunks_are_read_however_they_are_cut() {
    let read = |pieces: &[&[u8]]| {
        let parts = grow(pieces, |bytes| match parse_chunk(bytes, BODY_MAX).unwrap()? {
            Chunk::Data { from, to, next } => Some((bytes[from..to].to_vec(), next)),
            Chunk::Last { next } => Some((Vec::new(), next)),
        });
        parts.concat()
    };
    assert_eq!(read(&[CHUNKS]), b"hello, world");
    cuts(CHUNKS, read);
    garbage(CHUNKS, |bytes| {
        let _ = parse_chunk(bytes, BODY_MAX);
    });
    assert_eq!(parse_chunk(b"fffffff\r\n", BODY_MAX), Err(Fault::BodyTooLong));
    assert_eq!(parse_chunk(b"2\r\nabc", BODY_MAX), Ok(None));
    assert_eq!(parse_chunk(b"2\r\nabcd", BODY_MAX), Err(Fault::Malformed));
}

#[test]
fn frames_are_read_however_they_are_cut() {
    let mut stream = frame::frame(frame::ANSWER, b"9b1f.3 good 1840277719 inflight=7,util=0.61\nvalue");
    stream.extend(frame::frame(frame::PROBE, b"good"));
    stream.extend(frame::frame(frame::ANSWER, b"9b1f.4.r later - -\n"));
    let read = |pieces: &[&[u8]]| {
        let whole = |bytes: &[u8]| {
            let (letter, rest, length) = frame::split(bytes).unwrap()?;
            Some(((letter, rest.to_vec()), length))
        };
        grow(pieces, whole)
    };
    cuts(&stream, read);
    let taken = read(&[&stream]);
    let Ok(Frame::Answer { id, outcome, score, report, value, .. }) = frame::parse(taken[0].0, &taken[0].1)
    else {
        panic!("not an answer: {taken:?}")
    };
    assert_eq!(
        (id, outcome, score, value),
        ("9b1f.3", frame::PartOutcome::Served, 1_840_277_719, &b"value"[..])
    );
    assert_eq!(report, [7.0, 0.61]);
    garbage(&stream, |bytes| {
        if let Ok(Some((letter, rest, length))) = frame::split(bytes) {
            assert!(length <= bytes.len());
            drop(frame::parse(letter, rest));
        }
    });
    for bad in ["", "a good 1 -", "a good 1\n", "a fine 1 -\n", "a good x -\n", "a good 1 - -\n"] {
        assert!(frame::parse(frame::ANSWER, bad.as_bytes()).is_err(), "{bad:?}");
    }
    // A report that can't be read takes nothing from the answer.
    for report in ["u", "=,=", "nan", "%%%", "util=nan", "util=0.5,queue=x"] {
        let line = format!("a good 1 {report}\nv");
        let Ok(Frame::Answer { report, value, .. }) = frame::parse(frame::ANSWER, line.as_bytes()) else {
            panic!("{line:?} is an answer")
        };
        assert_eq!((report, value), (vec![], &b"v"[..]));
    }
    assert!(frame::split(&[0, 0, 0, 0, b'q']).is_err() && frame::split(&[255; 5]).is_err());
}

/// All lists that these pieces hold, and whether something is left that is not whole.
fn lists(pieces: &[&[u8]]) -> (Vec<discovery::List>, bool) {
    let (mut lists, mut all) = (ListParser::default(), Vec::new());
    for piece in pieces {
        lists.push(piece);
        while let Some(list) = lists.next_list().unwrap() {
            all.push(list);
        }
    }
    (all, lists.has_partial_list())
}

#[test]
fn lists_are_read_however_they_are_cut_and_laid_out() {
    let mut tricky: serde_json::Value = serde_json::from_slice(LIST).unwrap();
    tricky["note"] = r#"}{ "[ \\"#.into();
    let indented = serde_json::to_string_pretty(&tricky).unwrap();
    let stream = [b"\n\n", LIST, b"\n\r\n", indented.as_bytes(), b"\n", LIST, b"\n"].concat();
    let list = discovery::parse(LIST).unwrap();
    assert_eq!(lists(&[&stream]), (vec![list.clone(); 3], false));
    cuts(&stream, lists);
    let bytes: Vec<&[u8]> = stream.chunks(1).collect();
    assert_eq!(lists(&bytes), (vec![list.clone(); 3], false));
    assert_eq!(lists(&[LIST, &LIST[..LIST.len() - 1]]), (vec![list], true), "what is cut short waits");
    garbage(&stream, |bytes| {
        drop(discovery::parse(bytes));
        let mut lists = ListParser::default();
        lists.push(bytes);
        while let Ok(Some(_)) = lists.next_list() {}
    });
    for (bad, why) in [
        (b"  x".to_vec(), "no list"),
        (b"[]".to_vec(), "no list"),
        (b"{\"generation\":true}".to_vec(), "not of its form"),
        (vec![b'{'; (1 << 20) + 1], "without end"),
    ] {
        let mut lists = ListParser::default();
        lists.push(&bad);
        assert!(lists.next_list().is_err(), "{why}");
    }
}

fn names() -> RequestNames {
    let one = |name: &str| [(name.to_owned(), 0)].into();
    RequestNames {
        classes: one("yard-compare"),
        keyed: vec![false],
        tenants: one("club"),
        shards: 10,
        has_movable_blocks: false,
    }
}

/// The status of a query whose head has `from` replaced by `to`, and whose body is `body`.
fn status(from: &str, to: &str, body: &[u8]) -> u16 {
    let head = String::from_utf8(REQUEST.to_vec()).unwrap().replace(from, to);
    let (head, _) = parse_head(head.as_bytes(), Kind::Request).unwrap().unwrap();
    parse_query(&head, body, &names(), 0.0).map_or_else(|bad| bad.status, |_| 200)
}

#[test]
fn queries_are_checked() {
    let (head, _) = parse_head(REQUEST, Kind::Request).unwrap().unwrap();
    assert_eq!(head.framing, Framing::Length(85));
    let read = parse_query(&head, BODY, &names(), 1000.0).unwrap();
    assert_eq!((read.deadline, &*read.text, read.parts.len()), (1480.0, &b"c41e"[..], 2));
    assert_eq!(read.parts[0].cost_ms, Some(9.0));
    garbage(BODY, |bytes| drop(parse_query(&head, bytes, &names(), 0.0)));
    for (from, to, expected) in [
        ("", "", 200),
        ("X-Priority-Class: yard", "X-Priority-Class: farm", 404),
        ("POST /yard", "POST /farm", 400),
        ("Tenant-Id: club", "Tenant-Id: bees", 403),
        ("X-Tenant-Id", "X-Other", 400),
        ("X-Timeout-Ms: 480", "X-Other: 1", 400),
        ("Ms: 480", "Ms: 0", 400),
        ("Ms: 480", "Ms: -5", 400),
        ("Ms: 480", "Ms: 99999999999", 400),
        ("ID: 9b1f", "ID: a b", 400),
        ("X-Request-ID", "X-Other", 400),
    ] {
        assert_eq!(status(from, to, BODY), expected, "{to}");
    }
    for body in [
        "",
        "{",
        "[]",
        "{}",
        r#"{"ranges":[],"predicate":"x"}"#,
        r#"{"ranges":[{"range":10,"portion":1}],"predicate":"x"}"#,
        r#"{"ranges":[{"range":-1,"portion":1}],"predicate":"x"}"#,
        r#"{"ranges":[{"range":1,"portion":0.5},{"range":1,"portion":0.5}],"predicate":"x"}"#,
        r#"{"ranges":[{"range":1,"portion":0.5}],"predicate":"x"}"#,
        r#"{"ranges":[{"range":1,"portion":1e999}],"predicate":"x"}"#,
        r#"{"ranges":[{"range":1,"portion":1,"hash":"xyz"}],"predicate":"x"}"#,
        r#"{"ranges":[{"range":1,"portion":1}],"predicate":7}"#,
    ] {
        assert_eq!(status("", "", body.as_bytes()), 400, "{body}");
    }
}

#[test]
fn values_go_on_as_they_came() {
    let of = |value: &[u8]| encode_answer(false, &[(3, value.into())]).map(|b| String::from_utf8(b).unwrap());
    let expected = r#"{"total":false,"answers":[{"range":3,"blob":"5be2a0"}]}"#;
    assert_eq!(of(b"5be2a0").unwrap(), expected);
    let read: serde_json::Value = serde_json::from_str(&of("a\"\\\n\u{e9}".as_bytes()).unwrap()).unwrap();
    assert_eq!(read["answers"][0]["blob"], "a\"\\\n\u{e9}");
    assert_eq!(of(&[0xff]), None, "no JSON text can carry it");
    assert_eq!(of(&[b'x'; 70_000]), None, "longer than a body may be");
}

#[test]
fn feature_parameters_are_checked() {
    let boxed = |text: &str| query::bbox(text).is_ok();
    assert!(boxed("-90,40,-80,45") && boxed("170,-10,-170,10") && boxed("1,1,1,1") && boxed("1,2,0,3,4,9"));
    for bad in [
        "",
        "1,2,3",
        "1,2,3,x",
        "1,9,2,3",
        "181,0,182,1",
        "0,-91,1,0",
        "1,2,9,3,4,0",
        "nan,0,1,1",
        "1,2,3,4,5",
    ] {
        assert!(!boxed(bad), "{bad}");
    }
    for good in [
        "2026-05-01T00:00:00Z",
        "2024-02-29T23:59:60.5+02:00",
        "../2026-05-01T00:00:00Z",
        "/",
        "2026-05-01/..",
    ] {
        assert!(query::datetime(good).is_ok(), "{good}");
    }
    for bad in [
        "",
        "may",
        "2026-02-29T00:00:00Z",
        "2026-05-01T00:00:00",
        "2026-05-02T00:00:00Z/2026-05-01T00:00:00Z",
        "2026-13-01",
        "\u{e9}026-01-01",
    ] {
        assert!(query::datetime(bad).is_err(), "{bad}");
    }
    let limit = |text| query::limit(text, 100).ok();
    assert_eq!((limit("5"), limit("500"), limit("99999999999999999999999")), (Some(5), Some(100), Some(100)));
    assert_eq!((limit("0"), limit("-1"), limit(""), limit("x")), (None, None, None, None));
    assert!(query::parameters("a=1&a=2").is_err() && query::parameters("a=%zz").is_err());
    assert_eq!(query::parameters("a=%2C+b").unwrap(), [("a".to_owned(), ",+b".to_owned())]);
    garbage(b"bbox=1,2,3,4&datetime=2026-05-01T00:00:00.25-05:00/..", |bytes| {
        let text = String::from_utf8_lossy(bytes);
        drop((query::bbox(&text), query::datetime(&text), query::limit(&text, 9)));
        for (_, value) in query::parameters(&text).unwrap_or_default() {
            drop((query::bbox(&value), query::datetime(&value)));
            assert_eq!(query::decode(&query::encode(&value)).unwrap(), value);
        }
    });
}

#[test]
fn a_cursor_changed_in_any_way_is_refused() {
    let position = link::Position {
        collection: "yards".to_owned(),
        bbox: Some("1,2,3,4".to_owned()),
        datetime: None,
        limit: 5,
        after: Some(FeatureId::Text("y-7".to_owned())),
    };
    let cursor = link::encode_cursor(&position, b"a key of the operator").unwrap();
    assert_eq!(link::decode_cursor(&cursor, b"a key of the operator").unwrap(), position);
    assert!(link::decode_cursor(&cursor, b"another operator's key").is_err());
    garbage(cursor.as_bytes(), |bytes| {
        if let Ok(text) = std::str::from_utf8(bytes) {
            assert!(text == cursor || link::decode_cursor(text, b"a key of the operator").is_err());
        }
    });
}

#[test]
fn pages_of_garbage_are_refused() {
    assert!(geojson::is_valid_page(PAGE));
    garbage(PAGE, |bytes| drop(merge_pages(&[(0, bytes.into())], None, 10, 1000)));
    let swapped = String::from_utf8(PAGE.to_vec()).unwrap().replace("\"a\"", "\"c\"");
    assert!(!geojson::is_valid_page(swapped.as_bytes()), "out of order");
    let after = FeatureId::Text("a".to_owned());
    assert!(merge_pages(&[(0, PAGE.into())], Some(&after), 10, 1000).is_err(), "not after the position");
}

#[test]
fn a_page_that_grows_too_large_goes_on_at_the_next() {
    let feature = |id: u32, size: usize| {
        format!(r#"{{"type":"Feature","id":{id},"properties":{{"text":"{}"}}}}"#, "x".repeat(size))
    };
    let features: Vec<String> = (1..=3).map(|id| feature(id, 400)).collect();
    let value = format!(r#"{{"type":"FeatureCollection","features":[{}]}}"#, features.join(","));
    let values = [(0, value.as_bytes().into())];
    let first = merge_pages(&values, None, 10, 1000).unwrap();
    assert_eq!((first.features.len(), first.next), (2, Some(FeatureId::Number(2))));
    assert_eq!(merge_pages(&values, None, 10, 9000).unwrap().next, None);
    assert!(merge_pages(&values, None, 10, 100).is_err(), "one that fits no page is no empty page");
}

#[test]
fn broken_configuration_is_refused() {
    garbage(br#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{}}"#, |bytes| {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let var = |key: &str| (key == "LB_CONFIG").then(|| "c".to_owned());
        assert!(Config::read(var, |_| Ok(text.clone())).is_err());
    });
}
