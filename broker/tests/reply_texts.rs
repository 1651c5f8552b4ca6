//! The texts of refusals that clients and operators read, against those that an earlier version of the broker sent: short replies of
//! the admin endpoint, problem documents of the feature front, refusals of the platform front, and faults in an operator's file.
//!
//! `GOLDEN_WRITE=1` writes the files anew.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::PathBuf;

use gingerledge::blocks::admin;
use gingerledge::config::Config;
use gingerledge::http::{self, parse_head};
use gingerledge_golden::{compare, Sample};
use gingerledge_testkit::scripted::{exchange, run, Got, World};
use serde_json::{json, Value};

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// A request's text, with a length if it has a body.
fn request(start: &str, headers: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!("{start} HTTP/1.1\r\nHost: test\r\n{headers}{length}\r\n{body}")
}

/// Status, media type, `Allow` and body of a reply.
fn reply(got: &Got) -> String {
    let header = |name: &str| got.head.header(name).unwrap_or("-").to_owned();
    format!("{} {} {}\n{}", got.status, header("Content-Type"), header("Allow"), got.text())
}

/// Sends each request on a connection of its own. A sample is named after the request.
async fn replies(address: SocketAddr, requests: &[(&str, &str, &str)]) -> Vec<Sample> {
    let mut samples = Vec::new();
    for (start, headers, body) in requests {
        let got = exchange(address, request(start, headers, body).as_bytes()).await.unwrap();
        let name = [*start, *headers, *body].join(" | ").replace("\r\n", " ").replace(':', "=");
        samples.push(Sample::new(&name, reply(&got)));
    }
    samples
}

#[test]
fn short_replies_of_the_admin_endpoint_are_what_they_were() {
    run(2, |world| async move {
        world.env.borrow_mut().push(("LB_ADMIN_ADDR", "127.0.0.1:0"));
        let broker = world.broker(world.settings(), None).await;
        let requests = [
            ("GET /nowhere", "", ""),
            ("PUT /ready", "", ""),
            ("GET /drain", "", ""),
            ("GET /undrain", "", ""),
            ("GET /reading-stores/disable", "", ""),
            ("PUT /drain", "", "now"),
            ("PUT /reading-stores/disable", "", "two words"),
            ("PUT /reading-stores/disable", "", "s-99"),
            ("PUT /reading-stores/enable", "", "s-99"),
            ("PUT /reading-stores/disable", "", "s-1"),
            ("PUT /reading-stores/enable", "", "s-1"),
            ("GET /ready", "", ""),
            ("PUT /undrain", "", ""),
            ("PUT /drain", "", ""),
            ("GET /ready", "X-Drained: yes\r\n", ""),
            ("PUT /undrain", "X-Drained: yes\r\n", ""),
            ("GET /ready", "Transfer-Encoding: gzip\r\n", ""),
            ("GET /ready", "Content-Length: 70000\r\n", ""),
            ("no HTTP", "", ""),
        ];
        let samples = replies(broker.admin.unwrap(), &requests).await;
        compare(&file("admin_texts.txt"), &samples);
    });
}

#[test]
fn refusals_of_calls_about_blocks_are_what_they_were() {
    let calls = [
        ("GET /blocks/nowhere", ""),
        ("PUT /blocks", ""),
        ("GET /blocks/move", r#"{"block":1,"to":"b"}"#),
        ("PUT /blocks/news", ""),
        ("GET /blocks?from=some", ""),
        ("GET /blocks?most=-1", ""),
        ("GET /blocks/news?since=x", ""),
        ("PUT /blocks/move", r#"{"block":1}"#),
        ("PUT /blocks/move", r#"{"to":"b"}"#),
        ("PUT /blocks/move", r#"{"block":1,"too":"b"}"#),
        ("PUT /blocks/split", r#"{"block":1}"#),
        ("PUT /blocks/merge", "no JSON"),
        ("PUT /blocks/abandon", r#"{"change":-1}"#),
    ];
    let samples = calls.map(|(start, body)| {
        let text = format!("{start} HTTP/1.1\r\n\r\n");
        let (head, _) = parse_head(text.as_bytes(), http::Kind::Request).unwrap().unwrap();
        let (status, words) = admin::parse_request(&head, body.as_bytes()).unwrap_err();
        Sample::new(&format!("{start} | {body}").replace(':', "="), format!("{status} {words}"))
    });
    compare(&file("block_call_texts.txt"), &samples);
}

#[test]
fn problems_of_the_feature_front_are_what_they_were() {
    run(3, |world| async move {
        let operator = world.operator(&[0]).replace("default_club = \"west-shore-club\"\n", "");
        let broker = world.broker(world.settings(), Some(operator)).await;
        let west = "X-Club: west\r\n";
        let requests = [
            ("GET /nowhere", west, ""),
            ("POST /collections", west, ""),
            ("GET /collections/rivers", west, ""),
            ("GET /collections/rivers/items", west, ""),
            ("GET /collections/yards/items/", west, ""),
            ("GET /%zz", west, ""),
            ("GET /collections?f=html", west, ""),
            ("GET /collections?colour=red", west, ""),
            ("GET /collections?f=json&f=json", west, ""),
            ("GET /collections", "X-Club: west\r\nAccept: text/html\r\n", ""),
            ("GET /collections/yards/items", "X-Club: west\r\nAccept: text/html\r\n", ""),
            ("GET /collections/yards/items", "", ""),
            ("GET /collections/yards/items", "X-Club: south\r\n", ""),
            ("GET /collections/yards/items?limit=0", west, ""),
            ("GET /collections/yards/items?limit=ten", west, ""),
            ("GET /collections/yards/items?bbox=1,2,3", west, ""),
            ("GET /collections/yards/items?bbox=a,b,c,d", west, ""),
            ("GET /collections/yards/items?bbox=0,80,10,70", west, ""),
            ("GET /collections/yards/items?bbox=-500,0,10,70", west, ""),
            ("GET /collections/yards/items?bbox=0,0,9,10,10,1", west, ""),
            ("GET /collections/yards/items?datetime=yesterday", west, ""),
            ("GET /collections/yards/items?datetime=2026-01-02/2026-01-01", west, ""),
            ("GET /collections/yards/items?cursor=broken", west, ""),
            ("GET /collections/yards/items?cursor=broken&limit=1", west, ""),
            ("GET /collections/yards/items/none-of-this-id", west, ""),
            ("GET /collections", "Content-Length: 70000\r\n", ""),
            ("GET /collections", "Transfer-Encoding: gzip\r\n", ""),
            ("no HTTP", "", ""),
        ];
        let samples = replies(broker.features.unwrap(), &requests).await;
        compare(&file("feature_texts.txt"), &samples);
    });
}

#[test]
fn refusals_of_the_platform_front_are_what_they_were() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let headers =
            "X-Request-ID: q1\r\nX-Priority-Class: yard-compare\r\nX-Tenant-Id: west-shore-club\r\n\
                       X-Timeout-Ms: 2000\r\n";
        let without = |name: &str| -> String {
            headers.split_inclusive("\r\n").filter(|line| !line.starts_with(name)).collect()
        };
        let with = |name: &str, value: &str| format!("{}{name}: {value}\r\n", without(name));
        let body = r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"x"}"#;
        let path = "POST /yard-compare";
        let given = [
            ("GET /nowhere", String::new(), ""),
            ("PUT /yard-compare", headers.to_owned(), body),
            ("POST /flow-report", headers.to_owned(), body),
            (path, without("X-Request-ID"), body),
            (path, without("X-Priority-Class"), body),
            (path, without("X-Timeout-Ms"), body),
            (path, with("X-Request-ID", "two words"), body),
            (path, with("X-Priority-Class", "none"), body),
            (path, with("X-Tenant-Id", "nobody"), body),
            (path, with("X-Timeout-Ms", "soon"), body),
            (path, headers.to_owned(), "no JSON"),
            (path, headers.to_owned(), r#"{"ranges":[],"predicate":"x"}"#),
            (path, headers.to_owned(), r#"{"ranges":[{"range":9,"portion":1.0}],"predicate":"x"}"#),
            (path, headers.to_owned(), r#"{"ranges":[{"range":0,"portion":2.0}],"predicate":"x"}"#),
            (path, headers.to_owned(), r#"{"ranges":[{"range":0,"portion":0.5}],"predicate":"x"}"#),
            (
                path,
                headers.to_owned(),
                r#"{"ranges":[{"range":0,"portion":0.5},{"range":0,"portion":0.5}],"predicate":"x"}"#,
            ),
            (
                path,
                headers.to_owned(),
                r#"{"ranges":[{"range":0,"portion":1.0,"hash":"x"}],"predicate":"x"}"#,
            ),
        ];
        let requests = given.each_ref().map(|(start, headers, body)| (*start, headers.as_str(), *body));
        let samples = replies(broker.platform, &requests).await;
        compare(&file("platform_texts.txt"), &samples);
    });
}

/// The text that a broker ends with where this file can't be used.
fn fault(world: &World, operator: &str) -> String {
    let config: Value = json!({
        "name": "b-1", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8081", "settings": world.settings(),
    });
    let variable = |key: &str| match key {
        "LB_CONFIG" => Some("config".to_owned()),
        "LB_OPERATOR" => Some("operator".to_owned()),
        _ => None,
    };
    let read = |path: &str| Ok(if path == "config" { config.to_string() } else { operator.to_owned() });
    Config::read(variable, read).unwrap_err().to_string()
}

#[test]
fn faults_in_the_operators_file_are_named_as_they_were() {
    run(2, |world| async move {
        let sound = world.operator(&[0]);
        let replacements = [
            ("listen = \"127.0.0.1:0\"", "listen = \"nowhere\""),
            ("listen = \"127.0.0.1:0\"", "listen = \"10.0.0.1:80\""),
            ("link_key = \"a key for the tests only\"", "link_key = \"short\""),
            ("limit = 4", "limit = 0"),
            ("limit = 4", "limit_max = 0"),
            ("limit = 4", "connections = 0"),
            ("limit = 4", "limits = 4"),
            ("default_club = \"west-shore-club\"", "default_club = \"nobody\""),
            ("club_header = \"X-Club\"\ndefault_club = \"west-shore-club\"\n", ""),
            ("west = \"west-shore-club\"", "west = \"nobody\""),
            ("id = \"yards\"", "id = \"two words\""),
            ("class = \"yard-compare\"", "class = \"none\""),
            ("class = \"yard-compare\"", "class = \"yard-compare\"\ntimeout_ms = 0"),
            ("shard = 1", "shard = 0"),
            ("shard = 1", "shard = 7"),
            ("id = \"s-0\"", "id = 7"),
        ];
        let samples = replacements.map(|(part, replacement)| {
            assert!(sound.contains(part), "{part} is not in the file");
            let name = format!("{part} -> {replacement}").replace('\n', " ").replace(':', "=");
            Sample::new(&name, fault(&world, &sound.replacen(part, replacement, 1)))
        });
        compare(&file("operator_file_texts.txt"), &samples);
    });
}
