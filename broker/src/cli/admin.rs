//! A client of the admin endpoint, one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use super::AdminArguments;
use crate::http::{self, Kind, Stream};

const TIMEOUT: Duration = Duration::from_secs(5);

/// The endpoint's address.
fn address(admin: AdminArguments) -> Result<SocketAddr, String> {
    admin.address.ok_or_else(|| "no door: name it with --door ADDRESS:PORT or in LB_ADMIN_ADDR".to_owned())
}

/// Sends a request; returns the status and the body.
pub fn call(admin: AdminArguments, method: &str, path: &str, body: &str) -> Result<(u16, Vec<u8>), String> {
    let at = address(admin)?;
    let response = async_io::block_on(async {
        let socket = http::connect(at, TIMEOUT).await.map_err(|e| format!("can't connect: {e}"))?;
        let mut stream = Stream::new(socket);
        let length = body.len();
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write(text.as_bytes(), TIMEOUT).await.map_err(|e| format!("can't ask: {e}"))?;
        let head = stream.head(Kind::Response, TIMEOUT).await.map_err(|e| format!("no answer: {e:?}"))?;
        let body = stream.body(head.framing, TIMEOUT).await.map_err(|e| format!("no answer: {e:?}"))?;
        Ok((head.status, body))
    });
    response.map_err(|fault: String| format!("door {at}: {fault}"))
}

/// Sends a request; returns the body, or its text as the error unless the status is 2xx.
pub fn request(admin: AdminArguments, method: &str, path: &str, body: &str) -> Result<Vec<u8>, String> {
    let (status, response) = call(admin, method, path, body)?;
    match status {
        200..=299 => Ok(response),
        _ => Err(format!("{status}: {}", String::from_utf8_lossy(&response).trim())),
    }
}

/// Sends a request without a body; returns the JSON of the response.
pub fn json(admin: AdminArguments, method: &str, path: &str) -> Result<serde_json::Value, String> {
    let response = request(admin, method, path, "")?;
    serde_json::from_slice(&response).map_err(|e| format!("the door's answer can't be read: {e}"))
}

/// Sends a request and prints the text of the response.
pub fn print(admin: AdminArguments, method: &str, path: &str, body: &str) -> Result<(), String> {
    let response = request(admin, method, path, body)?;
    println!("{}", String::from_utf8_lossy(&response).trim());
    Ok(())
}
