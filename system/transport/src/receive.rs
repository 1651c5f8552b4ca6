//! The bytes that a connection has received and that are not decoded yet. The buffer grows with what arrives, never by the length in
//! a header, and its memory is freed after a large frame.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::frame::{self, FrameError};

/// The smallest size of a read.
const MIN_READ_BYTES: usize = 4 * 1024;

/// The largest size of a read; sizes grow while reads are filled, and shrink while they are not.
const MAX_READ_BYTES: usize = 64 * 1024;

/// A larger buffer is freed once it is empty.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// Size of the complete frames at the front of a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CompleteFrames {
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
        Self { bytes: Vec::new(), read_size: MIN_READ_BYTES }
    }
}

impl ReceiveBuffer {
    /// The bytes that have arrived and are not consumed.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Reads once, and returns the number of bytes: 0 at the end of the stream. No memory is reserved before bytes are there.
    /// Cancel safe.
    pub(crate) async fn read_from(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        stream.readable().await?;
        self.bytes.reserve(self.read_size);
        let free_bytes = self.bytes.capacity() - self.bytes.len();
        let count = stream.read_buf(&mut self.bytes).await?;
        if count == free_bytes {
            self.read_size = (self.read_size * 2).min(MAX_READ_BYTES);
        } else if count < self.read_size / 8 {
            self.read_size = (self.read_size / 2).max(MIN_READ_BYTES);
        }
        Ok(count)
    }

    /// Counts the complete frames at the front, up to the first with an invalid header, and returns that error with them.
    pub(crate) fn complete_frames(&self, max_payload: usize) -> (CompleteFrames, Result<(), FrameError>) {
        let mut remaining = self.bytes();
        let mut complete = CompleteFrames { bytes: 0, frames: 0 };
        loop {
            match frame::split(remaining, max_payload) {
                Ok(Some(frame)) => {
                    complete.frames += 1;
                    remaining = frame.remaining;
                }
                Ok(None) => return (complete.up_to(&self.bytes, remaining), Ok(())),
                Err(error) => return (complete.up_to(&self.bytes, remaining), Err(error)),
            }
        }
    }

    /// Drops bytes from the front.
    pub(crate) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.bytes = Vec::new();
        }
    }
}

impl CompleteFrames {
    fn up_to(self, all: &[u8], remaining: &[u8]) -> Self {
        Self { bytes: all.len() - remaining.len(), ..self }
    }
}
