//! HTTP/1.1 as all sides read it: the platform's front, the feature front, discovery's watch and
//! stores that speak the feature form. Parsing is by httparse on a bounded buffer and does no I/O;
//! [`Stream`] adds a socket and a timer for each wait.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// No head is longer.
pub const HEAD_MAX: usize = 16 * 1024;
/// No body is longer, but where a stream was told otherwise ([`Stream::up_to`]).
pub const BODY_MAX: usize = 64 * 1024;
const HEADERS_MAX: usize = 64;
/// So much that comes after the last answer is read and dropped.
const DROPPED_MOST: usize = 4 * BODY_MAX;
/// No line that names a chunk's length is longer, extensions included.
const CHUNK_LINE_MAX: usize = 256;

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Not HTTP, or framing that can't be trusted.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// A transfer coding other than `chunked`.
    Coding,
    /// It did not come in time.
    Stalled,
}

impl Fault {
    /// The status that tells a client of it.
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
    /// After so many bytes.
    Length(usize),
    /// With the last chunk.
    Chunked,
    /// With the connection (answers only).
    Close,
}

/// The head of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The method; empty in an answer.
    pub method: String,
    /// The target; empty in an answer.
    pub target: String,
    /// The status; 0 in a request.
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

    /// All headers of this name, as they came.
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

/// Which end's messages are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests, by a server.
    Request,
    /// Answers, by a client.
    Answer,
}

/// Reads a head; `None` until it is whole. Returns its length too.
pub fn parse_head(bytes: &[u8], kind: Kind) -> Result<Option<(Head, usize)>, Fault> {
    let seen = &bytes[..bytes.len().min(HEAD_MAX)];
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let (status, method, target, code, version, headers) = match kind {
        Kind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(seen);
            (status, request.method, request.path, 0, request.version, &*request.headers)
        }
        Kind::Answer => {
            let mut answer = httparse::Response::new(&mut headers);
            let status = answer.parse(seen);
            (status, None, None, answer.code.unwrap_or(0), answer.version, &*answer.headers)
        }
    };
    let length = match status {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= HEAD_MAX => return Err(Fault::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLong),
        Err(_) => return Err(Fault::Malformed),
    };
    let headers: Vec<(String, Vec<u8>)> =
        headers.iter().map(|h| (h.name.to_owned(), h.value.to_vec())).collect();
    let has = |name: &str, word: &str| {
        headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).any(|(_, value)| {
            let text = String::from_utf8_lossy(value);
            text.split(',').any(|part| part.trim().eq_ignore_ascii_case(word))
        })
    };
    let keep_alive = !has("connection", "close") && (version == Some(1) || has("connection", "keep-alive"));
    let head = Head {
        method: method.unwrap_or_default().to_owned(),
        target: target.unwrap_or_default().to_owned(),
        status: code,
        expects: has("expect", "100-continue"),
        framing: framing(&headers, kind, code)?,
        keep_alive,
        headers,
    };
    Ok(Some((head, length)))
}

/// How the body ends. A length beside a coding, or two lengths that differ, could hide a second
/// message from somebody on the way, so both end the connection.
fn framing(headers: &[(String, Vec<u8>)], kind: Kind, status: u16) -> Result<Framing, Fault> {
    let of = |name: &'static str| headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name));
    let mut length = None;
    for (_, value) in of("content-length") {
        let digits = std::str::from_utf8(value).map_err(|_| Fault::Malformed)?.trim();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Fault::Malformed);
        }
        let value: usize = digits.parse().map_err(|_| Fault::BodyTooLong)?;
        if length.is_some_and(|length| length != value) {
            return Err(Fault::Malformed);
        }
        length = Some(value);
    }
    let mut codings = of("transfer-encoding");
    match (codings.next(), codings.next(), length) {
        // An answer's length is held against its stream's bound once the body is read.
        (None, _, Some(length)) if length > BODY_MAX && kind == Kind::Request => Err(Fault::BodyTooLong),
        (None, _, Some(length)) => Ok(Framing::Length(length)),
        (None, _, None) if kind == Kind::Request || status == 204 || status == 304 => Ok(Framing::Length(0)),
        (None, _, None) => Ok(Framing::Close),
        (Some((_, coding)), None, None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        (Some(_), _, Some(_)) => Err(Fault::Malformed),
        (Some(_), _, None) => Err(Fault::Coding),
    }
}

/// One step through a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// The chunk's data is `bytes[from..to]`; the next one begins at `next`.
    Data {
        /// Where it begins.
        from: usize,
        /// Where it ends.
        to: usize,
        /// Where the next chunk begins.
        next: usize,
    },
    /// The body ended; the next message begins at `next`.
    Last {
        /// Where the next message begins.
        next: usize,
    },
}

/// Reads the chunk at the front, of so many bytes at the most; `None` until it is whole. Trailers are passed over.
pub fn parse_chunk(bytes: &[u8], most: usize) -> Result<Option<Chunk>, Fault> {
    let (from, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((from, size))) => (from, size),
        Ok(httparse::Status::Partial) if bytes.len() > CHUNK_LINE_MAX => return Err(Fault::Malformed),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Fault::Malformed),
    };
    if size > most as u64 {
        return Err(Fault::BodyTooLong);
    }
    if size > 0 {
        let to = from + size as usize;
        return match bytes.get(to..to + 2) {
            Some(b"\r\n") => Ok(Some(Chunk::Data { from, to, next: to + 2 })),
            Some(_) => Err(Fault::Malformed),
            None => Ok(None),
        };
    }
    // Trailers, up to an empty line.
    let mut at = from;
    while let Some(end) = bytes[at..].windows(2).position(|pair| pair == b"\r\n") {
        at += end + 2;
        if end == 0 {
            return Ok(Some(Chunk::Last { next: at }));
        }
    }
    if bytes.len() - from > HEAD_MAX {
        return Err(Fault::HeadTooLong);
    }
    Ok(None)
}

/// Why reading from a peer ended.
#[derive(Debug)]
pub enum Ending {
    /// The peer closed between two messages.
    Closed,
    /// The peer closed, or the connection broke, inside a message.
    Cut,
    /// Nothing came for too long.
    Stalled,
    /// What came can't be read.
    Fault(Fault),
}

/// A peer's connection with what has been read of it.
#[derive(Debug)]
pub struct Stream {
    socket: Async<TcpStream>,
    buffer: Vec<u8>,
    ended: Cell<bool>,
    /// No body, and no chunk, is longer.
    most: usize,
}

impl Stream {
    /// Takes a connection over.
    pub fn new(socket: Async<TcpStream>) -> Self {
        // Answers are small and waited for.
        let _ = socket.get_ref().set_nodelay(true);
        Self { socket, buffer: Vec::new(), ended: Cell::new(false), most: BODY_MAX }
    }

    /// Reads bodies and chunks of so many bytes at the most.
    pub fn up_to(self, most: usize) -> Self {
        Self { most, ..self }
    }

    /// Whether bytes of a next message are there.
    pub fn begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads more; false at the end of the stream.
    async fn more(&mut self, within: Duration) -> Result<bool, Ending> {
        let mut piece = [0; 4096];
        let read = async { Some((&self.socket).read(&mut piece).await) };
        let late = async {
            Timer::after(within).await;
            None
        };
        match futures_lite::future::or(read, late).await {
            None => Err(Ending::Stalled),
            Some(Err(_)) => Err(Ending::Cut),
            Some(Ok(0)) => {
                self.ended.set(true);
                Ok(false)
            }
            Some(Ok(n)) => {
                self.buffer.extend_from_slice(&piece[..n]);
                Ok(true)
            }
        }
    }

    /// Waits for the first byte of a message.
    pub async fn first(&mut self, within: Duration) -> Result<(), Ending> {
        while self.buffer.is_empty() {
            if !self.more(within).await? {
                return Err(Ending::Closed);
            }
        }
        Ok(())
    }

    /// Reads a head. The whole of it has `within`, so that a peer who sends a byte now and then
    /// doesn't hold the connection for ever.
    pub async fn head(&mut self, kind: Kind, within: Duration) -> Result<Head, Ending> {
        let until = Instant::now() + within;
        loop {
            if let Some((head, length)) = parse_head(&self.buffer, kind).map_err(Ending::Fault)? {
                self.buffer.drain(..length);
                return Ok(head);
            }
            self.more_before(until).await?;
        }
    }

    async fn more_before(&mut self, until: Instant) -> Result<(), Ending> {
        let left = until.saturating_duration_since(Instant::now());
        match self.more(left).await? {
            true => Ok(()),
            false => Err(Ending::Cut),
        }
    }

    /// Reads a body, within a time for the whole of it. Chunks are unpacked as they come, so that a
    /// body of many small ones holds no more memory than another.
    pub async fn body(&mut self, framing: Framing, within: Duration) -> Result<Vec<u8>, Ending> {
        let until = Instant::now() + within;
        let mut body = Vec::new();
        match framing {
            Framing::Length(length) if length > self.most => return Err(Ending::Fault(Fault::BodyTooLong)),
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.more_before(until).await?;
                }
                body.extend(self.buffer.drain(..length));
                // Guards against a connection that keeps the room of its longest body for good.
                self.buffer.shrink_to(HEAD_MAX);
            }
            Framing::Chunked => {
                while let Some(chunk) = self.chunk_before(until).await? {
                    body.extend_from_slice(&chunk);
                    if body.len() > self.most {
                        return Err(Ending::Fault(Fault::BodyTooLong));
                    }
                }
            }
            Framing::Close => {
                while !self.ended.get() {
                    match self.more_before(until).await {
                        Err(Ending::Cut) if self.ended.get() => {}
                        other => other?,
                    }
                    if self.buffer.len() > self.most {
                        return Err(Ending::Fault(Fault::BodyTooLong));
                    }
                }
                body = std::mem::take(&mut self.buffer);
            }
        }
        Ok(body)
    }

    /// Reads the next chunk of a body that goes on and on; `None` after the last.
    pub async fn chunk(&mut self, within: Duration) -> Result<Option<Vec<u8>>, Ending> {
        self.chunk_before(Instant::now() + within).await
    }

    async fn chunk_before(&mut self, until: Instant) -> Result<Option<Vec<u8>>, Ending> {
        loop {
            match parse_chunk(&self.buffer, self.most).map_err(Ending::Fault)? {
                Some(Chunk::Last { next }) => {
                    self.buffer.drain(..next);
                    return Ok(None);
                }
                Some(Chunk::Data { from, to, next }) => {
                    let data = self.buffer[from..to].to_vec();
                    self.buffer.drain(..next);
                    return Ok(Some(data));
                }
                None => self.more_before(until).await?,
            }
        }
    }

    /// Resolves once the peer has closed or the connection broke. Bytes of a next message that come
    /// meanwhile are kept, up to the longest head; past that they wait in the socket.
    pub async fn left(&mut self) {
        while self.buffer.len() < HEAD_MAX {
            if !matches!(self.more(Duration::from_secs(3600)).await, Ok(true) | Err(Ending::Stalled)) {
                return;
            }
        }
        futures_lite::future::pending().await
    }

    /// Writes all of it, within a time for the whole.
    pub async fn write(&mut self, bytes: &[u8], within: Duration) -> io::Result<()> {
        write_all(&self.socket, bytes, within).await
    }

    /// Ends the connection so that what was written last still arrives: the peer is told, and what it
    /// had still under way is read and dropped for a moment.
    pub async fn finish(mut self) {
        if self.socket.get_ref().shutdown(std::net::Shutdown::Write).is_ok() {
            let until = Instant::now() + Duration::from_millis(250);
            let mut dropped = 0;
            // No more than that: who sends without end would have it all read.
            while let (Ok(()), true) = (self.more_before(until).await, dropped < DROPPED_MOST) {
                dropped += self.buffer.len();
                self.buffer.clear();
            }
        }
    }
}

/// Writes all of it, within a time for the whole: a peer that reads nothing is given up.
pub async fn write_all(mut socket: &Async<TcpStream>, bytes: &[u8], within: Duration) -> io::Result<()> {
    let late = async {
        Timer::after(within).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    futures_lite::future::or(socket.write_all(bytes), late).await
}

/// Connects within a time.
pub async fn connect(address: std::net::SocketAddr, within: Duration) -> io::Result<Async<TcpStream>> {
    let late = async {
        Timer::after(within).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    futures_lite::future::or(Async::<TcpStream>::connect(address), late).await
}

/// An answer's bytes. `headers` are whole lines, each with its line end.
pub fn answer(status: u16, headers: &str, body: &[u8], keep_alive: bool) -> Vec<u8> {
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
