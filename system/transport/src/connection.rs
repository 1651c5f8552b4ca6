//! An accepted connection: reads into a buffer, times out when idle, and receives large frames only one at a time over all
//! connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Instant, Sleep};

use crate::receive::ReceiveBuffer;
use crate::settings::NetworkSettings;

/// A frame of which more has arrived needs the permit for large frames before more of it is read.
const LARGE_FRAME_BYTES: usize = 1024 * 1024;

/// The permit to receive a large frame: bounds the memory of incomplete frames over all connections.
#[derive(Debug, Clone)]
pub(crate) struct LargeFrames {
    semaphore: Arc<Semaphore>,
}

impl LargeFrames {
    pub(crate) fn new() -> Self {
        Self { semaphore: Arc::new(Semaphore::new(1)) }
    }
}

/// An accepted connection, what it has received, and its idle time-out.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: ReceiveBuffer,
    large_frames: LargeFrames,
    /// Held while a large frame is being received.
    large_frame_permit: Option<OwnedSemaphorePermit>,
    last_read_at: Instant,
    /// The idle time-out outside of large frames.
    normal_timeout: Duration,
    /// The present idle time-out.
    timeout: Duration,
    timer: Pin<Box<Sleep>>,
}

impl Connection {
    /// A connection with the time-out of a stalled one, until its sender is [identified](Self::on_identified).
    pub(crate) fn new(stream: TcpStream, settings: &NetworkSettings, large_frames: LargeFrames) -> Self {
        let timeout = settings.stall_timeout();
        Self {
            stream,
            buffer: ReceiveBuffer::default(),
            large_frames,
            large_frame_permit: None,
            last_read_at: Instant::now(),
            normal_timeout: timeout,
            timeout,
            timer: Box::pin(sleep(timeout)),
        }
    }

    /// The sender is identified: from now on its connection may be idle.
    pub(crate) fn on_identified(&mut self, settings: &NetworkSettings) {
        self.normal_timeout = settings.inbound_idle_timeout();
        self.timeout = self.normal_timeout;
        self.timer.as_mut().reset(self.last_read_at + self.timeout);
    }

    /// The connection's socket.
    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// The bytes that have arrived and are not consumed.
    pub(crate) fn received(&self) -> &ReceiveBuffer {
        &self.buffer
    }

    /// Drops bytes from the front of the buffer.
    pub(crate) fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
        if self.large_frame_permit.is_some() && self.buffer.bytes().len() < LARGE_FRAME_BYTES {
            self.large_frame_permit = None;
            self.timeout = self.normal_timeout;
        }
    }

    /// Reads more bytes; false if the sender has closed the connection or timed out.
    pub(crate) async fn read(&mut self, settings: &NetworkSettings) -> io::Result<bool> {
        if self.large_frame_permit.is_none() && self.buffer.bytes().len() >= LARGE_FRAME_BYTES {
            self.large_frame_permit = Arc::clone(&self.large_frames.semaphore).acquire_owned().await.ok();
            self.last_read_at = Instant::now();
            self.timeout = settings.stall_timeout();
            self.timer.as_mut().reset(self.last_read_at + self.timeout);
        }
        loop {
            tokio::select! {
                biased;
                count = self.buffer.read_from(&mut self.stream) => {
                    self.last_read_at = Instant::now();
                    return Ok(count? > 0);
                }
                () = self.timer.as_mut() => {
                    let end = self.last_read_at + self.timeout;
                    if end <= Instant::now() {
                        return Ok(false);
                    }
                    self.timer.as_mut().reset(end);
                }
            }
        }
    }
}
