//! The frames that wait for one peer, kept as the very bytes to be written, so that one write takes them all.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use serde::Serialize;

use crate::error::DropReason;
use crate::frame::{self, EncodeFailure};
use crate::settings::NetworkSettings;

/// A buffer larger than this is given back once it is empty.
const KEPT_BUFFER_BYTES: usize = 32 * 1024;

/// Every peer may have as much waiting, however much waits for the others.
const OWN_BYTES: usize = 64 * 1024;

/// A bounded queue of encoded frames, and what of it is being written.
#[derive(Debug)]
pub(crate) struct FrameQueue {
    waiting: Vec<u8>,
    waiting_frames: usize,
    written_bytes: usize,
    written_frames: usize,
    share: Share,
}

impl FrameQueue {
    /// An empty queue whose bytes count in a total over all queues.
    pub(crate) fn new(total: &Arc<AtomicUsize>) -> Self {
        Self {
            waiting: Vec::new(),
            waiting_frames: 0,
            written_bytes: 0,
            written_frames: 0,
            share: Share { total: Arc::clone(total), bytes: 0 },
        }
    }

    /// Drops everything, also the buffer.
    pub(crate) fn clear(&mut self) {
        self.restart(&[]);
    }

    /// Drops everything; the next bytes to be written are those given.
    pub(crate) fn restart(&mut self, first: &[u8]) {
        self.waiting = first.to_vec();
        (self.waiting_frames, self.written_bytes, self.written_frames) = (0, 0, 0);
        self.share.set(first.len());
    }

    /// Whether nothing waits to be written.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether nothing waits and nothing is being written.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_empty() && self.written_bytes == 0
    }

    /// Encodes the message at the end of the queue, if it fits.
    pub(crate) fn push<T: Serialize>(
        &mut self,
        message: &T,
        settings: &NetworkSettings,
    ) -> Result<(), DropReason> {
        if self.waiting_frames + self.written_frames >= settings.queue_frames {
            return Err(DropReason::QueueFull);
        }
        let room = self.room(settings).checked_sub(frame::HEADER_BYTES).ok_or(DropReason::QueueFull)?;
        let max_payload = room.min(settings.max_frame_bytes);
        match frame::append(&mut self.waiting, message, max_payload) {
            Ok(()) => {
                self.waiting_frames += 1;
                self.share.set(self.waiting.len() + self.written_bytes);
                Ok(())
            }
            Err(EncodeFailure::Encoding) => Err(DropReason::Encoding),
            Err(EncodeFailure::TooLarge) if max_payload < settings.max_frame_bytes => {
                Err(DropReason::QueueFull)
            }
            Err(EncodeFailure::TooLarge) => Err(DropReason::TooLarge),
        }
    }

    /// How many bytes another frame may have.
    fn room(&self, settings: &NetworkSettings) -> usize {
        let bytes = self.waiting.len() + self.written_bytes;
        let in_queue = if self.waiting_frames + self.written_frames == 0 {
            usize::MAX
        } else {
            settings.queue_bytes.saturating_sub(bytes)
        };
        let in_total = settings.total_queue_bytes().saturating_sub(self.share.total());
        in_queue.min(in_total.max(OWN_BYTES.saturating_sub(bytes)))
    }

    /// Exchanges what waits for the buffer of what has been written, which is emptied.
    pub(crate) fn take(&mut self, buffer: &mut Vec<u8>) {
        buffer.clear();
        if buffer.capacity() > KEPT_BUFFER_BYTES {
            *buffer = Vec::new();
        }
        std::mem::swap(&mut self.waiting, buffer);
        self.written_bytes = buffer.len();
        self.written_frames = std::mem::take(&mut self.waiting_frames);
        self.share.set(self.written_bytes);
    }
}

/// What one queue adds to the total over all queues.
#[derive(Debug)]
struct Share {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl Share {
    fn set(&mut self, bytes: usize) {
        if bytes >= self.bytes {
            self.total.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            self.total.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }

    fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.set(0);
    }
}
