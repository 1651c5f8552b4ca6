//! What a control node sends to a store whose weights are to be replaced, and what it says of itself, compared with approved transcripts.

use gingerledge_system_testkit::Transcript;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::common::{run, transcript, Call, Cluster};
use crate::exchanges::ready;

const LOADED_REPORT: &str = r#"{"stage":"both","models":[{"name":"a","version":2,"adapters":[]}],"utilization":false,"sequence":1,"waiting":0,"running":0,"kvCacheUsed":0,"kvCacheTotal":1,"handles":0}"#;
const EARLIER_REPORT: &str = r#"{"stage":"both","models":[{"name":"a","version":1,"adapters":[]}],"utilization":true,"sequence":1,"waiting":0,"running":1,"kvCacheUsed":0,"kvCacheTotal":1,"handles":0}"#;

/// Reads one request whole.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        assert!(stream.read_buf(&mut bytes).await.expect("a read") > 0, "the connection ended early");
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |length| length.parse().expect("a length")) {
            return text;
        }
    }
}

/// The text with what stands between a beginning and an end replaced, once.
fn masked(text: &str, begin: &str, end: &str, replacement: &str) -> String {
    let Some((before, rest)) = text.split_once(begin) else { return text.to_owned() };
    let Some(at) = rest.find(end) else { return text.to_owned() };
    format!("{before}{begin}{replacement}{}", &rest[at..])
}

/// Takes the requests of one connection, one for each answer.
async fn follow(listener: TcpListener, answers: &[(&str, &str)], transcript: &Transcript) {
    let address = listener.local_addr().expect("an address").to_string();
    let (mut stream, _) = listener.accept().await.expect("a connection");
    for (status, body) in answers {
        let heard = read_request(&mut stream).await.replace(&address, "(this store)");
        let heard = masked(&heard, r#""holder":""#, "\"", "(the holder)");
        transcript.note("node to store", &masked(&heard, r#""fencingToken":"#, "}", "(the token)"));
        let length = body.len();
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
        transcript.note("store to node", &answer);
        stream.write_all(answer.as_bytes()).await.expect("a write");
    }
}

/// A cluster whose only store has a version that is not the newest.
async fn ordered(number: u8, single_version: bool, answers: &[(&str, &str)], name: &str) {
    let cluster = Cluster::start(number);
    ready(&cluster).await;
    let transcript = transcript();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let configuration = format!(
        r#"{{"version":3,"routes":[{{"name":"r","host":"h","pathPrefix":"/g/","routeKind":"deployment","service":"s","singleVersion":{single_version}}}],
        "services":[{{"name":"s","healthPath":"/healthz","engine":{{"slots":4,"models":[{{"name":"a"}}]}}}}]}}"#
    );
    let replace = Call::post("/configuration/replace", "Base-Version: 0\r\n", &configuration);
    cluster.until(0, &replace, 200).await;
    let heartbeat = format!(
        r#"{{"service":"s","address":"{address}","zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"stage":"both","models":[{{"name":"a","version":1,"adapters":[]}}],"sequence":1}}"#
    );
    cluster.until(0, &Call::post("/instances/i-1/heartbeat", "", &heartbeat), 200).await;
    cluster.until(1, &Call::post("/version-put", "", r#"{"model":"a","version":2}"#), 200).await;
    follow(listener, answers, &transcript).await;
    transcript.check(name);
}

#[test]
fn a_version_is_ordered_again_until_the_store_has_it() {
    let answers = [("202 Accepted", ""), ("409 Conflict", ""), ("200 OK", "")];
    run(ordered(25, false, &answers, "order"));
}

#[test]
fn a_store_that_waits_for_its_requests_is_polled_by_reports() {
    let answers = [("202 Accepted", ""), ("200 OK", EARLIER_REPORT), ("200 OK", LOADED_REPORT)];
    run(ordered(26, true, &answers, "order-and-reports"));
}

/// Members, counts of messages and what depends on who leads differ from run to run.
const VARYING: [&str; 12] = [
    "member",
    "view",
    "voters",
    "chain",
    "applied",
    "fencingToken",
    "leadership",
    "holdsLease",
    "sessions",
    "ownSessions",
    "reachable",
    "diskQueue",
];

#[test]
fn the_status_of_a_node_has_the_keys_that_operators_read() {
    run(async {
        let cluster = Cluster::start(27);
        ready(&cluster).await;
        cluster.status_until(0, |status| status["serving"] == true).await;
        let answer = cluster.call(0, &Call::get("/status"), None).await.expect("an answer");
        let (head, body) = answer.text.split_once("\r\n\r\n").expect("a head");
        let mut status: Value = serde_json::from_str(body).expect("JSON");
        let fields = status.as_object_mut().expect("an object");
        for (_, value) in fields.iter_mut().filter(|(name, _)| VARYING.contains(&name.as_str())) {
            *value = "(varies)".into();
        }
        let transcript = transcript();
        let head = masked(head, "content-length: ", "\r\n", "(varies)");
        transcript.note("node 0 to client", &format!("{head}\r\n\r\n{status:#}"));
        transcript.check("status");
    });
}
