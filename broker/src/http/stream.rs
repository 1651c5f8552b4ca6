//! A connection with its read buffer: reads messages incrementally, with a time-out for each wait.

use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::{parse_chunk, parse_head, Chunk, Fault, Framing, Head, Kind, BODY_MAX, HEAD_MAX};

/// Size of the buffer, in bytes, into which unneeded bytes are read before they are dropped. After `DROP_BURST` bytes other
/// tasks run for at least `DROP_PAUSE`: a peer that sends without end then uses a small part of the thread, and the data that
/// a closed peer left in the buffers of both machines (some MB) is dropped within some tens of milliseconds.
const DROP_BUFFER: usize = 16 * 1024;
const DROP_BURST: usize = 16 * DROP_BUFFER;
const DROP_PAUSE: Duration = Duration::from_millis(1);
/// Time-out for waits without a limit; a wait that times out is restarted.
const UNLIMITED: Duration = Duration::from_secs(3600);

/// Why reading from a peer ended.
#[derive(Debug)]
pub enum Ending {
    /// The peer closed between two messages.
    Closed,
    /// The peer closed, or the connection broke, inside a message.
    Cut,
    /// The wait timed out.
    Stalled,
    /// The message is invalid.
    Fault(Fault),
}

/// A connection to a peer with its read buffer.
#[derive(Debug)]
pub struct Stream {
    socket: Async<TcpStream>,
    buffer: Vec<u8>,
    ended: Cell<bool>,
    /// Maximum length of a body or a chunk, in bytes.
    body_max: usize,
    /// The chunks received so far of the current body.
    chunks: Vec<u8>,
    /// Whether received bytes were dropped, so that no further message can be read.
    has_dropped_bytes: bool,
}

impl Stream {
    /// Wraps an open connection.
    pub fn new(socket: Async<TcpStream>) -> Self {
        // Messages are small and the peer waits for them, so they must not be delayed for coalescing.
        let _ = socket.get_ref().set_nodelay(true);
        let (buffer, chunks, ended) = (Vec::new(), Vec::new(), Cell::new(false));
        Self { socket, buffer, ended, body_max: BODY_MAX, chunks, has_dropped_bytes: false }
    }

    /// Sets the maximum length of a body or a chunk, in bytes.
    pub fn up_to(self, body_max: usize) -> Self {
        Self { body_max, ..self }
    }

    /// Whether bytes of the next message have been received.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The socket, for callers that check conditions between two writes.
    pub fn socket(&self) -> &Async<TcpStream> {
        &self.socket
    }

    /// Reads more bytes to the buffer; false at the end of the stream.
    async fn read_more(&mut self, within: Duration) -> Result<bool, Ending> {
        let mut chunk_buffer = [0; 4096];
        let read = async { Some((&self.socket).read(&mut chunk_buffer).await) };
        let timed_out = async {
            Timer::after(within).await;
            None
        };
        match futures_lite::future::or(read, timed_out).await {
            None => Err(Ending::Stalled),
            Some(Err(_)) => Err(Ending::Cut),
            Some(Ok(0)) => {
                self.ended.set(true);
                Ok(false)
            }
            Some(Ok(n)) => {
                self.buffer.extend_from_slice(&chunk_buffer[..n]);
                Ok(true)
            }
        }
    }

    /// Waits for the first byte of a message.
    pub async fn wait_for_first_byte(&mut self, within: Duration) -> Result<(), Ending> {
        while self.buffer.is_empty() {
            if !self.read_more(within).await? {
                return Err(Ending::Closed);
            }
        }
        Ok(())
    }

    /// Reads a head. `within` bounds all of it, so that a peer that sends single bytes can't hold the connection forever.
    pub async fn head(&mut self, kind: Kind, within: Duration) -> Result<Head, Ending> {
        let deadline = Instant::now() + within;
        loop {
            if let Some((head, length)) = parse_head(&self.buffer, kind).map_err(Ending::Fault)? {
                self.buffer.drain(..length);
                return Ok(head);
            }
            self.read_more_before(deadline).await?;
        }
    }

    async fn read_more_before(&mut self, deadline: Instant) -> Result<(), Ending> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match self.read_more(remaining).await? {
            true => Ok(()),
            false => Err(Ending::Cut),
        }
    }

    /// Reads a body; `within` bounds all of it. Chunks are decoded as they arrive, so that a body of many small chunks
    /// uses no more memory than another. After a time-out, or if the future is dropped, the next call resumes reading.
    pub async fn body(&mut self, framing: Framing, within: Duration) -> Result<Vec<u8>, Ending> {
        let deadline = Instant::now() + within;
        let mut body = Vec::new();
        match framing {
            Framing::Length(length) if length > self.body_max => {
                return Err(Ending::Fault(Fault::BodyTooLong))
            }
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.read_more_before(deadline).await?;
                }
                body.extend(self.buffer.drain(..length));
                // Releases the memory of a long body.
                self.buffer.shrink_to(HEAD_MAX);
            }
            Framing::Chunked => {
                while let Some(chunk) = self.chunk_before(deadline).await? {
                    self.chunks.extend_from_slice(&chunk);
                    if self.chunks.len() > self.body_max {
                        return Err(Ending::Fault(Fault::BodyTooLong));
                    }
                }
                body = std::mem::take(&mut self.chunks);
            }
            Framing::Close => {
                while !self.ended.get() {
                    match self.read_more_before(deadline).await {
                        Err(Ending::Cut) if self.ended.get() => {}
                        other => other?,
                    }
                    if self.buffer.len() > self.body_max {
                        return Err(Ending::Fault(Fault::BodyTooLong));
                    }
                }
                body = std::mem::take(&mut self.buffer);
            }
        }
        Ok(body)
    }

    /// Reads the next chunk of an unbounded body; `None` after the last.
    pub async fn chunk(&mut self, within: Duration) -> Result<Option<Vec<u8>>, Ending> {
        self.chunk_before(Instant::now() + within).await
    }

    async fn chunk_before(&mut self, deadline: Instant) -> Result<Option<Vec<u8>>, Ending> {
        loop {
            match parse_chunk(&self.buffer, self.body_max).map_err(Ending::Fault)? {
                Some(Chunk::Last { next }) => {
                    self.buffer.drain(..next);
                    return Ok(None);
                }
                Some(Chunk::Data { from, to, next }) => {
                    let data = self.buffer[from..to].to_vec();
                    self.buffer.drain(..next);
                    return Ok(Some(data));
                }
                None => self.read_more_before(deadline).await?,
            }
        }
    }

    /// Resolves once the peer has closed or the connection broke. Bytes of the next message that arrive meanwhile are
    /// kept, up to `HEAD_MAX`; further ones are dropped, and the connection can then carry no further message
    /// ([`Stream::has_dropped_bytes`]). Dropping them is needed to detect the disconnection of a peer that sends many
    /// bytes and then closes, since the end of the stream follows all of them.
    pub async fn peer_closed(&mut self) {
        while self.buffer.len() < HEAD_MAX {
            if !matches!(self.read_more(UNLIMITED).await, Ok(true) | Err(Ending::Stalled)) {
                return;
            }
        }
        self.drain().await;
    }

    /// Whether received bytes have been dropped.
    pub fn has_dropped_bytes(&self) -> bool {
        self.has_dropped_bytes
    }

    /// Reads and drops bytes until the peer closes or the connection breaks.
    async fn drain(&mut self) {
        let mut chunk_buffer = vec![0; DROP_BUFFER];
        loop {
            let mut dropped = 0;
            while dropped < DROP_BURST {
                match (&self.socket).read(&mut chunk_buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => dropped += n,
                }
                self.has_dropped_bytes = true;
            }
            Timer::after(DROP_PAUSE).await;
        }
    }

    /// Writes all bytes; `within` is the time-out.
    pub async fn write(&mut self, bytes: &[u8], within: Duration) -> io::Result<()> {
        write_all(&self.socket, bytes, within).await
    }

    /// Shuts the write side down.
    pub fn shut_down_write(&self) -> io::Result<()> {
        self.socket.get_ref().shutdown(std::net::Shutdown::Write)
    }

    /// Closes the connection so that the bytes written last still arrive: shuts the write side down, then reads and drops
    /// received bytes until the peer closes too or the time is over. Closing with unread bytes would reset the connection.
    pub async fn finish(mut self, within: Duration) {
        if self.shut_down_write().is_ok() {
            self.buffer = Vec::new();
            let timed_out = async {
                Timer::after(within).await;
            };
            futures_lite::future::or(self.drain(), timed_out).await;
        }
    }
}

/// Writes all bytes; `within` is the time-out, so that a peer that does not read results in an error.
pub async fn write_all(mut socket: &Async<TcpStream>, bytes: &[u8], within: Duration) -> io::Result<()> {
    let timed_out = async {
        Timer::after(within).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    futures_lite::future::or(socket.write_all(bytes), timed_out).await
}

/// Opens a connection; `within` is the time-out.
pub async fn connect(address: std::net::SocketAddr, within: Duration) -> io::Result<Async<TcpStream>> {
    let timed_out = async {
        Timer::after(within).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    futures_lite::future::or(Async::<TcpStream>::connect(address), timed_out).await
}
