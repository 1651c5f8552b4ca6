//! One call at the operators' door.

use std::net::SocketAddr;
use std::time::Duration;

use super::Door;
use crate::http::{self, Kind, Stream};

const WITHIN: Duration = Duration::from_secs(5);

/// The address of the door, or how to name one.
fn address(door: Door) -> Result<SocketAddr, String> {
    door.door.ok_or_else(|| "no door: name it with --door ADDRESS:PORT or in LB_ADMIN_ADDR".to_owned())
}

/// Makes a call; its status and body.
pub fn call(door: Door, method: &str, path: &str, body: &str) -> Result<(u16, Vec<u8>), String> {
    let at = address(door)?;
    let said = async_io::block_on(async {
        let socket = http::connect(at, WITHIN).await.map_err(|e| format!("can't connect: {e}"))?;
        let mut stream = Stream::new(socket);
        let length = body.len();
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write(text.as_bytes(), WITHIN).await.map_err(|e| format!("can't ask: {e}"))?;
        let head = stream.head(Kind::Answer, WITHIN).await.map_err(|e| format!("no answer: {e:?}"))?;
        let body = stream.body(head.framing, WITHIN).await.map_err(|e| format!("no answer: {e:?}"))?;
        Ok((head.status, body))
    });
    said.map_err(|fault: String| format!("door {at}: {fault}"))
}

/// Makes a call and fails with its words unless it is done.
pub fn ask(door: Door, method: &str, path: &str, body: &str) -> Result<Vec<u8>, String> {
    let (status, said) = call(door, method, path, body)?;
    match status {
        200..=299 => Ok(said),
        _ => Err(format!("{status}: {}", String::from_utf8_lossy(&said).trim())),
    }
}

/// Makes a call without a body; what it shows.
pub fn json(door: Door, method: &str, path: &str) -> Result<serde_json::Value, String> {
    let said = ask(door, method, path, "")?;
    serde_json::from_slice(&said).map_err(|e| format!("the door's answer can't be read: {e}"))
}

/// Makes a call and prints its words.
pub fn say(door: Door, method: &str, path: &str, body: &str) -> Result<(), String> {
    let said = ask(door, method, path, body)?;
    println!("{}", String::from_utf8_lossy(&said).trim());
    Ok(())
}
