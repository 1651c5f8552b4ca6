//! HTTP/1.1 for all parts of the broker: both fronts, the admin endpoint, discovery, and stores with a feature API. Parsing is
//! by httparse on a bounded buffer and does no I/O; [`Stream`] adds a socket and a time-out for each wait.

mod parse;
mod stream;

use std::fmt;

pub use parse::{parse_chunk, parse_head, Chunk, Kind};
pub use stream::{connect, write_all, Ending, Stream};

/// Maximum length of a head, in bytes.
pub const HEAD_MAX: usize = 16 * 1024;
/// Maximum length of a body, in bytes, unless [`Stream::up_to`] sets another.
pub const BODY_MAX: usize = 64 * 1024;

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The message is not valid HTTP, or its framing is ambiguous.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The message has a transfer coding other than `chunked`.
    Coding,
    /// The message was not complete in time.
    Stalled,
}

impl Fault {
    /// The HTTP status for a client.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
            Self::Coding => 501,
            Self::Stalled => 408,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed HTTP",
            Self::HeadTooLong => "the head is too long",
            Self::BodyTooLong => "the body is too long",
            Self::Coding => "unknown transfer coding",
            Self::Stalled => "the request did not come in time",
        })
    }
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body ends after this number of bytes.
    Length(usize),
    /// The body ends with the last chunk.
    Chunked,
    /// The body ends with the connection (responses only).
    Close,
}

/// The head of a request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Method of a request; empty in a response.
    pub method: String,
    /// Target of a request; empty in a response.
    pub target: String,
    /// Status of a response; 0 in a request.
    pub status: u16,
    /// Whether the connection may carry another message.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue`.
    pub expects: bool,
    /// How the body ends.
    pub framing: Framing,
    headers: Vec<(String, Vec<u8>)>,
}

impl Head {
    /// The first header of this name, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// The values of all headers of this name, unchanged.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| &value[..])
    }

    /// The path, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The query, without the question mark.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }
}

/// Encodes a response. `headers` are complete lines, each with its line end.
pub fn encode_response(status: u16, headers: &str, body: &[u8], keep_alive: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    let connection = if keep_alive { "" } else { "Connection: close\r\n" };
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {length}\r\n{connection}\r\n")
            .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
