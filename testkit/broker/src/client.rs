//! A client of the platform's protocol, the feature front and the operators' door.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use gingerledge::http::{self, Kind, Stream};
use serde_json::{json, Value};

const WITHIN: Duration = Duration::from_secs(30);

/// What a client got.
#[derive(Debug)]
pub struct Got {
    /// The status.
    pub status: u16,
    /// The head.
    pub head: http::Head,
    /// The body.
    pub body: Vec<u8>,
}

impl Got {
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_owned()
    }

    /// The target of a link.
    pub fn link(&self, rel: &str) -> Option<String> {
        let json = self.json();
        let link = json["links"].as_array()?.iter().find(|link| link["rel"] == rel)?;
        let href = link["href"].as_str()?;
        Some(href[href.match_indices('/').nth(2)?.0..].to_owned())
    }
}

/// Sends a request's text on a connection of its own; nothing if there is no whole answer.
pub async fn exchange(at: SocketAddr, text: &[u8]) -> Option<Got> {
    let late = async {
        Timer::after(WITHIN).await;
        None
    };
    let exchange = async {
        let mut stream = Stream::new(Async::<TcpStream>::connect(at).await.ok()?);
        stream.write(text, WITHIN).await.ok()?;
        let head = stream.head(Kind::Response, WITHIN).await.ok()?;
        let body = stream.body(head.framing, WITHIN).await.ok()?;
        Some(Got { status: head.status, head, body })
    };
    futures_lite::future::or(exchange, late).await
}

/// Gets a target.
pub async fn get(at: SocketAddr, target: &str) -> Option<Got> {
    exchange(at, format!("GET {target} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n").as_bytes()).await
}

/// Puts a body to a path, as operators do.
pub async fn put(at: SocketAddr, path: &str, body: &str) -> Option<Got> {
    let length = body.len();
    exchange(
        at,
        format!("PUT {path} HTTP/1.1\r\nHost: test\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes(),
    )
    .await
}

/// A query's text. A part is a block and, for an entry, its weigher.
pub fn query(
    id: &str,
    class: &str,
    timeout_ms: u64,
    parts: &[(u32, Option<u64>)],
    predicate: &str,
) -> Vec<u8> {
    request(id, class, timeout_ms, "X-Tenant-Id: west-shore-club\r\n", parts, predicate)
}

/// The same with these further header lines.
pub fn request(
    id: &str,
    class: &str,
    timeout_ms: u64,
    headers: &str,
    parts: &[(u32, Option<u64>)],
    predicate: &str,
) -> Vec<u8> {
    let portion = 1.0 / parts.len() as f64;
    let range = |(block, weigher): &(u32, Option<u64>)| match weigher {
        None => json!({ "range": block, "portion": portion }),
        Some(weigher) => json!({ "range": block, "portion": portion, "weigher": weigher }),
    };
    let ranges: Vec<Value> = parts.iter().map(range).collect();
    let body = json!({ "ranges": ranges, "predicate": predicate }).to_string();
    format!(
        "POST /{class} HTTP/1.1\r\nHost: test\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         {headers}X-Timeout-Ms: {timeout_ms}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Waits for something that is on its way; false if it does not come.
pub async fn until(within: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = std::time::Instant::now() + within;
    while !done() {
        if std::time::Instant::now() > end {
            return false;
        }
        Timer::after(Duration::from_millis(2)).await;
    }
    true
}
