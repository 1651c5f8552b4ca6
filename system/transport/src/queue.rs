//! The frames queued for one peer, stored as the bytes to be written, so that one write takes them all.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use serde::Serialize;

use crate::error::DropReason;
use crate::frame::{self, EncodeFailure};
use crate::settings::NetworkSettings;

/// A larger buffer is freed once it is empty.
const MAX_IDLE_BUFFER_BYTES: usize = 32 * 1024;

/// Guaranteed to every queue, however much is queued for other peers.
const GUARANTEED_BYTES: usize = 64 * 1024;

/// A bounded queue of encoded frames, with the sizes of those that are being written.
#[derive(Debug)]
pub(crate) struct FrameQueue {
    queued: Vec<u8>,
    queued_frames: usize,
    written_bytes: usize,
    written_frames: usize,
    counted: CountedBytes,
}

impl FrameQueue {
    /// An empty queue whose bytes count in the total over all queues.
    pub(crate) fn new(total: &Arc<AtomicUsize>) -> Self {
        Self {
            queued: Vec::new(),
            queued_frames: 0,
            written_bytes: 0,
            written_frames: 0,
            counted: CountedBytes { total: Arc::clone(total), bytes: 0 },
        }
    }

    /// Drops all frames, and frees the buffer.
    pub(crate) fn clear(&mut self) {
        self.reset(&[]);
    }

    /// Drops all frames; the next bytes to be written are those given.
    pub(crate) fn reset(&mut self, first: &[u8]) {
        self.queued = first.to_vec();
        (self.queued_frames, self.written_bytes, self.written_frames) = (0, 0, 0);
        self.counted.set(first.len());
    }

    /// Whether no frame is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Whether no frame is queued or being written.
    pub(crate) fn is_drained(&self) -> bool {
        self.is_empty() && self.written_bytes == 0
    }

    /// Encodes the message at the end of the queue, if it fits.
    pub(crate) fn push<T: Serialize>(
        &mut self,
        message: &T,
        settings: &NetworkSettings,
    ) -> Result<(), DropReason> {
        if self.queued_frames + self.written_frames >= settings.queue_frames {
            return Err(DropReason::QueueFull);
        }
        let free_bytes =
            self.free_bytes(settings).checked_sub(frame::HEADER_BYTES).ok_or(DropReason::QueueFull)?;
        let max_payload = free_bytes.min(settings.max_frame_bytes);
        match frame::append(&mut self.queued, message, max_payload) {
            Ok(()) => {
                self.queued_frames += 1;
                self.counted.set(self.queued.len() + self.written_bytes);
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
    fn free_bytes(&self, settings: &NetworkSettings) -> usize {
        let bytes = self.queued.len() + self.written_bytes;
        let in_queue = if self.queued_frames + self.written_frames == 0 {
            usize::MAX
        } else {
            settings.queue_bytes.saturating_sub(bytes)
        };
        let in_total = settings.total_queue_bytes().saturating_sub(self.counted.total());
        in_queue.min(in_total.max(GUARANTEED_BYTES.saturating_sub(bytes)))
    }

    /// Moves the queue into the buffer, whose bytes have been written and are dropped.
    pub(crate) fn swap_into(&mut self, buffer: &mut Vec<u8>) {
        buffer.clear();
        if buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            *buffer = Vec::new();
        }
        std::mem::swap(&mut self.queued, buffer);
        self.written_bytes = buffer.len();
        self.written_frames = std::mem::take(&mut self.queued_frames);
        self.counted.set(self.written_bytes);
    }
}

/// The bytes of one queue in the total over all queues.
#[derive(Debug)]
struct CountedBytes {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl CountedBytes {
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

impl Drop for CountedBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
