//! The bytes that a connection has received and that are not decoded yet. The buffer grows with what arrives, never by what a
//! header claims, and gives its memory back after a large frame.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::frame::{self, FrameError};

/// Each read may take as much at least.
const SMALLEST_READ_BYTES: usize = 4 * 1024;

/// Reads grow to this while they are filled, and shrink while they are not.
const LARGEST_READ_BYTES: usize = 64 * 1024;

/// A buffer that has grown beyond this is given back once it is empty.
const KEPT_BUFFER_BYTES: usize = 16 * 1024;

/// The whole frames at the front of a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Complete {
    pub(crate) bytes: usize,
    pub(crate) frames: usize,
}

/// Bytes in the order of their arrival.
#[derive(Debug)]
pub(crate) struct ReceiveBuffer {
    bytes: Vec<u8>,
    read_size: usize,
}

impl Default for ReceiveBuffer {
    fn default() -> Self {
        Self { bytes: Vec::new(), read_size: SMALLEST_READ_BYTES }
    }
}

impl ReceiveBuffer {
    /// What has arrived and is not consumed.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Reads once, and returns how many bytes came: none at the end of the stream. Nothing is reserved before bytes are there.
    /// Cancel safe.
    pub(crate) async fn read_from(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        stream.readable().await?;
        self.bytes.reserve(self.read_size);
        let room = self.bytes.capacity() - self.bytes.len();
        let count = stream.read_buf(&mut self.bytes).await?;
        if count == room {
            self.read_size = (self.read_size * 2).min(LARGEST_READ_BYTES);
        } else if count < self.read_size / 8 {
            self.read_size = (self.read_size / 2).max(SMALLEST_READ_BYTES);
        }
        Ok(count)
    }

    /// Counts the whole frames at the front, up to the first that is not allowed.
    pub(crate) fn complete(&self, max_payload: usize) -> (Complete, Result<(), FrameError>) {
        let mut rest = self.bytes();
        let mut complete = Complete { bytes: 0, frames: 0 };
        loop {
            match frame::split(rest, max_payload) {
                Ok(Some(frame)) => {
                    complete.frames += 1;
                    rest = frame.rest;
                }
                Ok(None) => return (complete.up_to(&self.bytes, rest), Ok(())),
                Err(error) => return (complete.up_to(&self.bytes, rest), Err(error)),
            }
        }
    }

    /// Drops bytes from the front.
    pub(crate) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT_BUFFER_BYTES {
            self.bytes = Vec::new();
        }
    }
}

impl Complete {
    fn up_to(self, all: &[u8], rest: &[u8]) -> Self {
        Self { bytes: all.len() - rest.len(), ..self }
    }
}
