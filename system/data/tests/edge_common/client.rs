//! A client that writes raw bytes and reads an answer whole, or what there is of it.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::http::header;
use gingerledge_system_testkit::Transcript;

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    transcript: Option<Transcript>,
}

/// What a client got.
#[derive(Debug)]
pub struct Reply {
    /// The bytes.
    pub text: String,
    /// Whether it ended as the protocol says that it ends.
    pub complete: bool,
}

impl Reply {
    pub fn status(&self) -> u16 {
        self.text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.text, name)
    }

    pub fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// The body of an answer in chunks, put together.
    pub fn unchunked(&self) -> String {
        let mut rest = self.body();
        let mut whole = String::new();
        while let Some((length, after)) = rest.split_once("\r\n") {
            let length = usize::from_str_radix(length, 16).unwrap_or(0);
            whole.push_str(after.get(..length).unwrap_or(after));
            rest = after.get(length + 2..).unwrap_or_default();
        }
        whole
    }
}

impl Client {
    pub async fn connect(address: SocketAddr, transcript: Option<&Transcript>) -> Client {
        let stream = TcpStream::connect(address).await.expect("connection");
        Client { stream, transcript: transcript.cloned() }
    }

    /// Sends a request of a method and path, with an id and a body.
    pub async fn ask(&mut self, method: &str, path: &str, id: &str, body: &str) -> Reply {
        self.send(&request(method, path, id, "", body)).await;
        self.read().await
    }

    pub async fn send(&mut self, text: &str) {
        if let Some(transcript) = &self.transcript {
            transcript.note("client to edge", text);
        }
        self.stream.write_all(text.as_bytes()).await.expect("write");
    }

    /// Reads until the answer is whole or the connection ends.
    pub async fn read(&mut self) -> Reply {
        let mut text = String::new();
        let complete = loop {
            if is_whole(&text) {
                break true;
            }
            match self.read_some().await {
                Some(some) => text.push_str(&some),
                None => break false,
            }
        };
        if let Some(transcript) = &self.transcript {
            let end = if complete { "" } else { "(closed)" };
            transcript.note("edge to client", &format!("{text}{end}"));
        }
        Reply { text, complete }
    }

    /// Reads what is there next; none at the end.
    pub async fn read_some(&mut self) -> Option<String> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer).await.ok().filter(|&count| count > 0)?;
        Some(String::from_utf8_lossy(buffer.get(..count)?).into_owned())
    }
}

/// A request's text.
pub fn request(method: &str, path: &str, id: &str, more_headers: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: example.test\r\nAttempt-Id: {id}\r\nDeadline-Ms: 5000\r\n{more_headers}{length}\r\n{body}"
    )
}

fn is_whole(text: &str) -> bool {
    let Some((_, body)) = text.split_once("\r\n\r\n") else { return false };
    match header(text, "content-length") {
        Some(length) => body.len() >= length.parse().expect("length"),
        None if header(text, "transfer-encoding").is_some() => body.ends_with("0\r\n\r\n"),
        None => true,
    }
}
