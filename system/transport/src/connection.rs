//! An accepted connection: reads into a buffer, notices silence, and lets large frames arrive only one by one.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Instant, Sleep};

use crate::receive::ReceiveBuffer;
use crate::settings::NetworkSettings;

/// A frame of which as much has arrived waits for its turn before more of it is read.
const LARGE_FRAME_BYTES: usize = 1024 * 1024;

/// Whose turn it is to receive a large frame: bounds what half-received frames hold over all connections.
#[derive(Debug, Clone)]
pub(crate) struct LargeFrames {
    turn: Arc<Semaphore>,
}

impl LargeFrames {
    pub(crate) fn new() -> Self {
        Self { turn: Arc::new(Semaphore::new(1)) }
    }
}

/// An accepted connection, what it has received, and how long it may be silent.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: ReceiveBuffer,
    large_frames: LargeFrames,
    turn: Option<OwnedSemaphorePermit>,
    heard: Instant,
    usual_silence: Duration,
    silence: Duration,
    alarm: Pin<Box<Sleep>>,
}

impl Connection {
    /// A connection that may be silent for no longer than a stalled one, until it is [identified](Self::identified).
    pub(crate) fn new(stream: TcpStream, settings: &NetworkSettings, large_frames: LargeFrames) -> Self {
        let silence = settings.stall_limit();
        Self {
            stream,
            buffer: ReceiveBuffer::default(),
            large_frames,
            turn: None,
            heard: Instant::now(),
            usual_silence: silence,
            silence,
            alarm: Box::pin(sleep(silence)),
        }
    }

    /// The sender is known: from now on its connection may be idle.
    pub(crate) fn identified(&mut self, settings: &NetworkSettings) {
        self.usual_silence = settings.inbound_idle_limit();
        self.silence = self.usual_silence;
        self.alarm.as_mut().reset(self.heard + self.silence);
    }

    /// The connection's socket.
    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// What has arrived and is not consumed.
    pub(crate) fn received(&self) -> &ReceiveBuffer {
        &self.buffer
    }

    /// Drops bytes from the front of what has arrived.
    pub(crate) fn consume(&mut self, count: usize) {
        self.buffer.consume(count);
        if self.turn.is_some() && self.buffer.bytes().len() < LARGE_FRAME_BYTES {
            self.turn = None;
            self.silence = self.usual_silence;
        }
    }

    /// Reads more bytes; false if the sender has closed or been silent for too long.
    pub(crate) async fn read(&mut self, settings: &NetworkSettings) -> io::Result<bool> {
        if self.turn.is_none() && self.buffer.bytes().len() >= LARGE_FRAME_BYTES {
            self.turn = Arc::clone(&self.large_frames.turn).acquire_owned().await.ok();
            self.heard = Instant::now();
            self.silence = settings.stall_limit();
            self.alarm.as_mut().reset(self.heard + self.silence);
        }
        loop {
            tokio::select! {
                biased;
                count = self.buffer.read_from(&mut self.stream) => {
                    self.heard = Instant::now();
                    return Ok(count? > 0);
                }
                () = self.alarm.as_mut() => {
                    let end = self.heard + self.silence;
                    if end <= Instant::now() {
                        return Ok(false);
                    }
                    self.alarm.as_mut().reset(end);
                }
            }
        }
    }
}
