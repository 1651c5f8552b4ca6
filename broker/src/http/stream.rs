//! A socket with what has been read of it: messages piece by piece, with a time for each wait.

use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::{parse_chunk, parse_head, Chunk, Fault, Framing, Head, Kind, BODY_MAX, HEAD_MAX};

/// So much that comes after the last answer is read and dropped.
const DROPPED_MOST: usize = 4 * BODY_MAX;

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
