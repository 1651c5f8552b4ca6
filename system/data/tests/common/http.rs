//! Reads HTTP/1.1 messages as text, for the simulated stores of the tests.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A header of a message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next().unwrap_or_default();
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// Reads a complete request from a connection; `None` at its end.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.ok().filter(|&count| count > 0)?;
        text.extend_from_slice(buffer.get(..count)?);
        let whole = String::from_utf8_lossy(&text).into_owned();
        if let Some(end) = whole.find("\r\n\r\n") {
            let length: usize =
                header(&whole, "content-length").map_or(0, |text| text.parse().expect("length"));
            if whole.len() >= end + 4 + length {
                return Some(whole);
            }
        }
    }
}
